//! Settings of a control process.

use {
    gullglade_units::{RegionName, VmName},
    std::{net::SocketAddr, time::Duration},
};

/// One of the voters that found the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialVoter {
    /// Its VM.
    pub vm: VmName,
    /// Where its peer sessions are accepted.
    pub address: SocketAddr,
}

/// How a control process finds the others, where nobody lists the voters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedSettings {
    /// Where this process's own peer sessions are accepted.
    pub own: SocketAddr,
    /// Peer addresses of some control processes, this one's among them or not. At the first start
    /// of a deployment all processes are given the same ones, and those found the log.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole deployment. Kept in the data folder when that
    /// is created: a folder that was lost and made anew later never founds a log.
    pub is_first_start: bool,
    /// The most voters. Twice the number of disks that may be lost at once, and one more.
    pub max_voters: usize,
}

/// How the members of a log come together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Formation {
    /// An operator lists the first voters and orders each replacement.
    Listed,
    /// The seeds found the log; everybody else joins, and lost voters are replaced, by themselves.
    Seeded(SeedSettings),
}

/// Settings of a [`ControlNode`](crate::ControlNode).
#[derive(Debug, Clone)]
pub struct ControlConfig {
    pub(crate) formation: Formation,
    pub(crate) trusts_disk: bool,
    pub(crate) cluster: String,
    pub(crate) vm: VmName,
    pub(crate) region: RegionName,
    pub(crate) voters: Vec<InitialVoter>,
    pub(crate) heartbeat: Duration,
    pub(crate) election_least: Duration,
    pub(crate) election_spread: Duration,
    pub(crate) call_limit: Duration,
    pub(crate) change_limit: Duration,
    pub(crate) snapshot_limit: Duration,
    pub(crate) batch_bytes: usize,
    pub(crate) chunk_bytes: usize,
    pub(crate) compact_entries: usize,
    pub(crate) compact_bytes: u64,
    pub(crate) poll_hold: Duration,
}

impl ControlConfig {
    /// The settings of the process on `vm`, with the defaults that each method below names.
    /// `voters` found the log when none of them has one: 1, 3 or 5 of them, the same list in the
    /// same order on every control process.
    pub fn new(cluster: &str, vm: VmName, region: RegionName, voters: Vec<InitialVoter>) -> Self {
        Self {
            formation: Formation::Listed,
            trusts_disk: false,
            cluster: cluster.to_owned(),
            vm,
            region,
            voters,
            heartbeat: Duration::from_millis(250),
            election_least: Duration::from_millis(1_200),
            election_spread: Duration::from_millis(1_200),
            call_limit: Duration::from_millis(600),
            change_limit: Duration::from_secs(5),
            snapshot_limit: Duration::from_secs(20),
            batch_bytes: 256 << 10,
            chunk_bytes: 1 << 20,
            compact_entries: 4_096,
            compact_bytes: 32 << 20,
            poll_hold: Duration::from_secs(2),
        }
    }

    /// The settings of a process that finds the others through seeds and takes its place among
    /// them by itself.
    pub fn seeded(cluster: &str, vm: VmName, region: RegionName, seeds: SeedSettings) -> Self {
        let mut config = Self::new(cluster, vm, region, Vec::new());
        config.formation = Formation::Seeded(seeds);
        config
    }

    /// States that the disk keeps what it reports as synced. A damaged end of the log is then
    /// always the remains of an append that was never acknowledged, and casts no doubt on this
    /// member's vote. Default no.
    ///
    /// Without it, voters that all lost power during an append elect nobody unless every voter
    /// answers, which one lost disk makes impossible.
    pub fn trust_disk(mut self) -> Self {
        self.trusts_disk = true;
        self
    }

    pub(crate) fn seed_settings(&self) -> Option<&SeedSettings> {
        match &self.formation {
            Formation::Listed => None,
            Formation::Seeded(settings) => Some(settings),
        }
    }

    /// How often a leader speaks to each member. Default 250 ms: two round trips between regions.
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// How long a member waits without a leader before it asks to be one: at least `least`, and a
    /// random part of `spread` more, so that not all ask at once. Default 1.2 s and 1.2 s: one lost
    /// call (600 ms) and a heartbeat must fit into the least.
    pub fn election_timeout(mut self, least: Duration, spread: Duration) -> Self {
        self.election_least = least;
        self.election_spread = spread;
        self
    }

    /// The limit on one call to another member. Default 600 ms.
    pub fn call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// How long an operator's change may take before its outcome is called unknown. Default 5 s.
    pub fn change_limit(mut self, limit: Duration) -> Self {
        self.change_limit = limit;
        self
    }

    /// Compact the log when it holds this many entries, or this many bytes. Default 4,096 entries
    /// or 32 MiB.
    pub fn compact_after(mut self, entries: usize, bytes: u64) -> Self {
        self.compact_entries = entries;
        self.compact_bytes = bytes;
        self
    }

    /// The bytes of entries in one call to another member; one entry at least. Default 256 KiB.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// The bytes of one chunk of a snapshot on its way to another member. Default 1 MiB.
    pub fn chunk_bytes(mut self, bytes: usize) -> Self {
        self.chunk_bytes = bytes;
        self
    }

    /// How long a request for newer configuration waits for some. Default 2 s.
    pub fn poll_hold(mut self, hold: Duration) -> Self {
        self.poll_hold = hold;
        self
    }
}
