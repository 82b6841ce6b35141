//! Input of a scheduler: its settings and the backend servers of its region.

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
    /// The VM of this gateway.
    pub own: VmName,
    /// The region of this gateway.
    pub region: RegionName,
    /// Number of regions in the deployment.
    pub regions: usize,
    /// Repeats per request that all gateways together may send to a service.
    pub repeat_ratio: f64,
    /// Additional repeats per window for all gateways together.
    pub repeat_slack: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Duration,
    /// The factor by which the load of a cold backend server may exceed its configured cold rate.
    pub cold_rate_factor: f64,
    /// Additional requests per second for a cold backend server.
    pub cold_rate_slack: f64,
    /// Whether overload control applies: the order of the queue, the limits on what requests use of
    /// engines, and the shares of workspaces are those for callers that compete for too little
    /// capacity.
    pub overload_control: bool,
    /// Whether the placement of prompts weighs the prefill that a cached prefix saves against the
    /// load and the memory of each engine. Otherwise prefill has a fixed weight.
    pub weighs_cached_prefixes: bool,
}

/// A backend server of this region.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendInfo {
    /// Its name.
    pub name: BackendName,
    /// The incarnation of the backend server. Observations of an earlier one do not apply to it.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub is_serving: bool,
    /// Whether its announcements are overdue.
    pub is_silent: bool,
    /// When it stops being cold.
    pub cold_until: MonotonicTime,
}

impl BackendInfo {
    /// Returns the run, which is the name together with the incarnation.
    pub fn run(&self) -> BackendRun {
        BackendRun { backend: self.name.clone(), incarnation: self.incarnation }
    }
}
