//! Intervals and timeouts of the relay.

use {
    crate::SubsetConfig,
    std::{net::SocketAddr, time::Duration},
};

/// Configuration of the relay, based on [`RelayConfig::default`].
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Peer addresses from the settings. Some may be in other regions or down.
    pub seeds: Vec<SocketAddr>,
    /// Interval between messages to a gateway watched by this one. Bounds the time to detect its
    /// failure. Default 1 s.
    pub watch_interval: Duration,
    /// Interval between messages to the other gateways of the plan. Default 2 s, scaled up by a
    /// factor of at most 2 in regions of more than 24 gateways.
    pub relay_interval: Duration,
    /// Timeout of a call to a peer. A gateway of the same row that fails to answer two consecutive
    /// calls is declared dead. Default 350 ms.
    pub call_timeout: Duration,
    /// Maximum time for which the reply to a `leaving` announcement waits for the peers. Default
    /// 500 ms.
    pub urgent_timeout: Duration,
    /// Interval between checks of leases and plans. Default 500 ms.
    pub check_interval: Duration,
    /// Time for which the digest of a peer must differ before a sync. Default 4 s, which is two
    /// relay intervals.
    pub divergence_timeout: Duration,
    /// Minimum interval between syncs of one gateway, including attempts to reach gateways
    /// considered dead. Default 3 s.
    pub sync_interval: Duration,
    /// Timeout of a sync with a seed at the start of this gateway. Default 2 s.
    pub sync_timeout: Duration,
    /// Timeout of later syncs. Default 500 ms, because most of them try to reach a dead gateway.
    pub background_sync_timeout: Duration,
    /// Time for which this gateway does not declare a gateway dead again after an earlier
    /// declaration was refuted. Default 10 s.
    pub dead_declaration_cooldown: Duration,
    /// Interval between reports to another region. Default 3 s.
    pub region_interval: Duration,
    /// Timeout of a call to another region. Default 1 s.
    pub region_timeout: Duration,
    /// Number of messages after which all totals are sent again, which recovers lost updates.
    /// Default 12.
    pub full_refresh_messages: u32,
    /// Configuration of subsetting.
    pub subset: SubsetConfig,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            watch_interval: Duration::from_secs(1),
            relay_interval: Duration::from_secs(2),
            call_timeout: Duration::from_millis(350),
            urgent_timeout: Duration::from_millis(500),
            check_interval: Duration::from_millis(500),
            divergence_timeout: Duration::from_secs(4),
            sync_interval: Duration::from_secs(3),
            sync_timeout: Duration::from_secs(2),
            background_sync_timeout: Duration::from_millis(500),
            dead_declaration_cooldown: Duration::from_secs(10),
            region_interval: Duration::from_secs(3),
            region_timeout: Duration::from_secs(1),
            full_refresh_messages: 12,
            subset: SubsetConfig::default(),
        }
    }
}
