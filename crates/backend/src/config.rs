//! Timeouts and limits of backend server membership.

use {crate::interval_scale::IntervalScale, std::time::Duration};

/// Configuration of backend server membership, based on [`BackendConfig::default`].
///
/// In regions of more than 24 gateways, `renew_interval`, `suspect_after`, `lease`, `relay_slack`
/// and `load_refresh_interval` are scaled up by a factor of at most 2.
#[derive(Clone, Copy, Debug)]
pub struct BackendConfig {
    /// Interval between the announcements of a backend server. Default 2 s.
    pub renew_interval: Duration,
    /// Time without a report after which a backend server is suspect and used only if no better one
    /// is left. Default 5 s.
    pub suspect_after: Duration,
    /// Lease duration: time without a report after which a backend server gets no new requests.
    /// Default 10 s.
    pub lease: Duration,
    /// Additional age allowed for reports relayed by other gateways before `suspect_after` and
    /// `lease` apply. Default 4 s.
    pub relay_slack: Duration,
    /// Maximum age of the load advertised to peers. Smaller load changes are advertised only at
    /// this interval. Default 4 s.
    pub load_refresh_interval: Duration,
    /// Retention of the records of backend servers that left or expired. Prevents late or repeated
    /// messages from restoring an old incarnation. Default 10 min.
    pub retention: Duration,
    /// Maximum time between two restarts that count as consecutive for flap detection. Default 60
    /// s.
    pub flap_window: Duration,
    /// Number of consecutive restarts after which a backend server is suspect until `flap_window`
    /// has passed. Default 3.
    pub flap_limit: u32,
    /// Maximum number of backend servers tracked per region. Bounds memory if a program keeps
    /// announcing new names. Default 4096.
    pub backend_limit: usize,
    /// Maximum number of prefixes tracked per engine. Default 4096.
    pub prefix_limit: usize,
    /// Half-life of the probability that an unconfirmed prefix is still cached. Default 2 min.
    pub prefix_half_life: Duration,
}

impl BackendConfig {
    /// Returns the configuration scaled for the size of the region.
    pub(crate) fn scaled(&self, interval_scale: &IntervalScale) -> Self {
        Self {
            renew_interval: interval_scale.scale(self.renew_interval),
            suspect_after: interval_scale.scale(self.suspect_after),
            lease: interval_scale.scale(self.lease),
            relay_slack: interval_scale.scale(self.relay_slack),
            load_refresh_interval: interval_scale.scale(self.load_refresh_interval),
            ..*self
        }
    }
}

impl Default for BackendConfig {
    fn default() -> Self {
        Self {
            renew_interval: Duration::from_secs(2),
            suspect_after: Duration::from_secs(5),
            lease: Duration::from_secs(10),
            relay_slack: Duration::from_secs(4),
            load_refresh_interval: Duration::from_secs(4),
            retention: Duration::from_secs(600),
            flap_window: Duration::from_secs(60),
            flap_limit: 3,
            backend_limit: 4_096,
            prefix_limit: 4_096,
            prefix_half_life: Duration::from_secs(120),
        }
    }
}
