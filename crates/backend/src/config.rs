//! Durations and bounds of membership.

use {crate::interval_scale::IntervalScale, std::time::Duration};

/// How long announcements hold and how much is kept. Start from [`BackendConfig::default`]. In a
/// region of more than 24 gateways the first five durations grow with it, up to twofold.
#[derive(Clone, Copy, Debug)]
pub struct BackendConfig {
    /// When a backend server should announce again; 2 s.
    pub renew_interval: Duration,
    /// Silence after which it is suspect: used only where nothing better is left; 5 s.
    pub suspect_after: Duration,
    /// Silence after which it is out: no new work; 10 s. This is the lease.
    pub lease: Duration,
    /// What relaying between gateways may add to the age of a report before the two limits above
    /// count; 4 s.
    pub relay_slack: Duration,
    /// Loads that differ little are told on only this long after the last ones; 4 s.
    pub load_refresh_interval: Duration,
    /// How long the record of one that left or fell silent is kept, so that nothing late or
    /// repeated brings an old incarnation back; 10 min.
    pub retention: Duration,
    /// A restart counts as flapping together with those not longer before; 60 s.
    pub flap_window: Duration,
    /// So many restarts in a row make a backend server suspect for the window; 3.
    pub flap_limit: u32,
    /// The most backend servers of the region that are remembered; 4096. Guards memory against a
    /// program that announces ever new names.
    pub backend_limit: usize,
    /// The most prefixes remembered for one engine; 4096.
    pub prefix_limit: usize,
    /// How long until an unconfirmed belief that a prefix is cached counts half; 2 min.
    pub prefix_half_life: Duration,
}

impl BackendConfig {
    /// The configuration at the pace of a region.
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
