//! Settings of a control process.

use {
    gullglade_units::{RegionName, VmName},
    std::{net::SocketAddr, time::Duration},
};

/// A member of the initial voter set, which founds the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InitialVoter {
    /// The VM on which it runs.
    pub vm: VmName,
    /// The address on which it accepts peer sessions.
    pub address: SocketAddr,
}

/// Settings for discovering the other control processes through seeds, used when no voter list is
/// configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedSettings {
    /// The address on which this process accepts peer sessions.
    pub own: SocketAddr,
    /// Peer addresses of some control processes, which may include this one. At the first start of
    /// a deployment all processes are given the same seeds, and the seeds found the log.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole deployment. The value is stored in the data
    /// folder when the folder is created, so that a folder recreated after a loss never founds a
    /// second log.
    pub is_first_start: bool,
    /// The maximum number of voters: 2f + 1 to survive the simultaneous loss of f disks.
    pub max_voters: usize,
}

/// The way in which the members of a log are determined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum VoterDiscovery {
    /// The operator lists the initial voters and requests each replacement.
    Listed,
    /// The seeds found the log. Other processes join, and lost voters are replaced, without an
    /// operator.
    Seeded(SeedSettings),
}

/// Settings of a [`ControlNode`](crate::ControlNode).
#[derive(Debug, Clone)]
pub struct ControlConfig {
    pub(crate) voter_discovery: VoterDiscovery,
    pub(crate) trusts_disk: bool,
    pub(crate) cluster: String,
    pub(crate) vm: VmName,
    pub(crate) region: RegionName,
    pub(crate) voters: Vec<InitialVoter>,
    pub(crate) heartbeat: Duration,
    pub(crate) election_min: Duration,
    pub(crate) election_jitter: Duration,
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
    /// Creates the settings of the process on `vm`, with the defaults stated at each method below.
    /// `voters` found the log if none of them has one yet: 1, 3 or 5 of them, the same list in the
    /// same order on every control process.
    pub fn new(cluster: &str, vm: VmName, region: RegionName, voters: Vec<InitialVoter>) -> Self {
        Self {
            voter_discovery: VoterDiscovery::Listed,
            trusts_disk: false,
            cluster: cluster.to_owned(),
            vm,
            region,
            voters,
            heartbeat: Duration::from_millis(250),
            election_min: Duration::from_millis(1_200),
            election_jitter: Duration::from_millis(1_200),
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

    /// Creates the settings of a process that discovers the other control processes through seeds
    /// and joins them without an operator.
    pub fn seeded(cluster: &str, vm: VmName, region: RegionName, seeds: SeedSettings) -> Self {
        let mut config = Self::new(cluster, vm, region, Vec::new());
        config.voter_discovery = VoterDiscovery::Seeded(seeds);
        config
    }

    /// Declares that the disk retains everything it has reported as synced. A damaged tail of the
    /// log is then always the remains of an append that was never acknowledged, and does not make
    /// this member's vote doubtful. Off by default.
    ///
    /// Without this setting, if all voters lose power during an append, no leader can be elected
    /// until every voter answers, which a single lost disk prevents.
    pub fn trust_disk(mut self) -> Self {
        self.trusts_disk = true;
        self
    }

    pub(crate) fn seed_settings(&self) -> Option<&SeedSettings> {
        match &self.voter_discovery {
            VoterDiscovery::Listed => None,
            VoterDiscovery::Seeded(settings) => Some(settings),
        }
    }

    /// Sets the interval of a leader's heartbeats to each member. The default is 250 ms, two round
    /// trips between regions.
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets the election timeout: a member campaigns after it has not heard from a leader for
    /// `min` plus a random part of `jitter`, which keeps members from campaigning at the same
    /// time. Both default to 1.2 s: a lost call (600 ms) and a heartbeat must fit into `min`.
    pub fn election_timeout(mut self, min: Duration, jitter: Duration) -> Self {
        self.election_min = min;
        self.election_jitter = jitter;
        self
    }

    /// Sets the timeout of a call to another member. The default is 600 ms.
    pub fn call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// Sets the time after which the outcome of an operator's change is reported as unknown. The
    /// default is 5 s.
    pub fn change_limit(mut self, limit: Duration) -> Self {
        self.change_limit = limit;
        self
    }

    /// Sets the number of entries and of bytes at either of which the log is compacted. The
    /// defaults are 4,096 entries and 32 MiB.
    pub fn compact_after(mut self, entries: usize, bytes: u64) -> Self {
        self.compact_entries = entries;
        self.compact_bytes = bytes;
        self
    }

    /// Sets the maximum size in bytes of the entries in one append request, which carries at least
    /// one entry. The default is 256 KiB.
    pub fn batch_bytes(mut self, bytes: usize) -> Self {
        self.batch_bytes = bytes;
        self
    }

    /// Sets the size in bytes of a chunk when a snapshot is sent to another member. The default is
    /// 1 MiB.
    pub fn chunk_bytes(mut self, bytes: usize) -> Self {
        self.chunk_bytes = bytes;
        self
    }

    /// Sets the long-poll timeout of a request for newer configuration. The default is 2 s.
    pub fn poll_hold(mut self, hold: Duration) -> Self {
        self.poll_hold = hold;
        self
    }
}
