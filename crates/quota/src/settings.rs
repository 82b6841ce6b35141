//! Settings of a ledger.

use {
    gullglade_traffic::WorkspaceQuota,
    gullglade_units::{RegionName, VmName},
    std::{collections::BTreeSet, time::Duration},
};

/// How far beyond a limit all gateways together may come in a window of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The window.
    pub window: Duration,
    /// The part of what the limit allows in a window that may come on top.
    pub over: f64,
    /// Units that may come on top of that.
    pub slack: f64,
}

impl QuotaTolerance {
    /// The units that may come on top in a window.
    pub(crate) fn margin(&self, quota: &WorkspaceQuota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        (self.over * allowed + self.slack).max(0.0)
    }
}

/// Settings of a ledger.
#[derive(Clone, Debug)]
pub struct QuotaSettings {
    /// The VM of its gateway.
    pub vm: VmName,
    /// The region of its gateway.
    pub region: RegionName,
    /// The regions of the deployment. Until it is known which of them have gateways, all may.
    pub regions: BTreeSet<RegionName>,
    /// Tells the gateway's run from its other runs.
    pub run: u64,
    /// A gateway without contact takes no more keys after this time, and what it does not report later
    /// it has not spent; `None` where it goes on.
    pub revocation: Option<Duration>,
    /// How far beyond a limit all gateways together may come.
    pub tolerance: QuotaTolerance,
}
