//! Ticks and limits of the relaying.

use {
    crate::SubsetConfig,
    std::{net::SocketAddr, time::Duration},
};

/// How the gateways of a region keep in touch. Start from [`RelayConfig::default`].
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Peer addresses known from the settings; some of them may be of other regions or down.
    pub seeds: Vec<SocketAddr>,
    /// Between two messages to a gateway that this one watches; 1 s. It bounds how long a dead
    /// gateway goes unnoticed.
    pub watch_interval: Duration,
    /// Between two messages to another gateway of the plan; 2 s, and up to twice as long in a
    /// region of more than 24 gateways.
    pub relay_interval: Duration,
    /// How long a peer may take to answer; 350 ms. A member of the own row that fails to answer
    /// two calls in a row is declared dead.
    pub call_timeout: Duration,
    /// How long the answer to `leaving` waits for the peers; 500 ms.
    pub urgent_timeout: Duration,
    /// Between two checks of leases and plans; 500 ms.
    pub check_interval: Duration,
    /// How long a peer's digest may differ before a sync; 4 s, two relay ticks.
    pub divergence_timeout: Duration,
    /// The least time between two syncs of one gateway, and between two tries to reach gateways
    /// that seem dead; 3 s.
    pub sync_interval: Duration,
    /// How long a sync with a seed may take when this gateway starts; 2 s.
    pub sync_timeout: Duration,
    /// How long a later sync may take; 500 ms, for most of them try somebody who is dead.
    pub background_sync_timeout: Duration,
    /// A gateway that was declared dead and answered others is not declared dead again by the same
    /// gateway for this long; 10 s.
    pub dead_declaration_cooldown: Duration,
    /// Between two messages to another region; 3 s.
    pub region_interval: Duration,
    /// How long another region may take to answer; 1 s.
    pub region_timeout: Duration,
    /// After so many messages all totals are told anew; 12. It heals what was lost on the way.
    pub full_refresh_messages: u32,
    /// How many follow whom.
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
