//! Settings of a [`QuotaLedger`](crate::QuotaLedger).

use {
    gullglade_traffic::WorkspaceQuota,
    gullglade_units::{RegionName, VmName},
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum excess over a limit, by all gateways together, in a time window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Excess as a fraction of what the limit allows in a window.
    pub over: f64,
    /// Additional excess in units.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Returns the maximum excess in a window, in units.
    pub(crate) fn margin(&self, quota: &WorkspaceQuota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        (self.over * allowed + self.slack).max(0.0)
    }
}

/// Settings of a [`QuotaLedger`](crate::QuotaLedger).
#[derive(Clone, Debug)]
pub struct QuotaSettings {
    /// The VM of the gateway.
    pub vm: VmName,
    /// The region of the gateway.
    pub region: RegionName,
    /// The regions of the deployment. All may have gateways until it is known which do.
    pub regions: BTreeSet<RegionName>,
    /// Distinguishes this run of the gateway from its other runs.
    pub run: u64,
    /// Time after which a gateway without contact accepts no more keys. Spending that it does not
    /// report later did not happen. `None` if such a gateway keeps serving.
    pub revocation: Option<Duration>,
    /// Maximum excess over a limit by all gateways together.
    pub tolerance: QuotaTolerance,
}
