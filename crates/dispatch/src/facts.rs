//! What a scheduler is told of the deployment around it.

use {
    gullglade_units::{
        BackendName, BackendRun, FailureDomain, Incarnation, MonotonicTime, RegionName,
        ServiceName, VmName,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// This gateway's VM.
    pub own: VmName,
    /// This gateway's region.
    pub region: RegionName,
    /// The regions of the deployment.
    pub regions: usize,
    /// Repeats per request that all gateways together may send to a service.
    pub repeat_ratio: f64,
    /// Repeats beyond that in each window.
    pub repeat_slack: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Duration,
    /// How many times the cold rate a cold backend server bears at most.
    pub cold_over: f64,
    /// Requests beyond that in each second.
    pub cold_slack: f64,
}

/// A backend server of the own region.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendInfo {
    /// Its name.
    pub name: BackendName,
    /// Which run of that name it is. What was learned of an earlier run says nothing of it.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_serving: bool,
    /// Whether its announcements are overdue.
    pub is_silent: bool,
    /// When it stops being cold.
    pub cold_until: MonotonicTime,
}

impl BackendInfo {
    /// Which run of which backend server it is.
    pub fn run(&self) -> BackendRun {
        BackendRun { backend: self.name.clone(), incarnation: self.incarnation }
    }
}
