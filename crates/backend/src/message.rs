//! The messages between gateways.

use {
    crate::{BackendRecord, GatewayLoad, GatewayRecord, LoadReport, RegionDelta, TotalsDelta},
    gullglade_units::{Incarnation, RegionName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// The unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(50);

/// The unit of queued prompt tokens in messages.
const PREFILL_UNIT: u64 = 64;

/// Names one run of a backend server or gateway in four bytes. Two names of one region that share
/// an id are refused where the second is first announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId([u8; 4]);

impl RunId {
    /// The id of the run `incarnation` of `name`.
    pub fn new(name: &str, incarnation: Incarnation) -> Self {
        let hash = xxh3_64_with_seed(name.as_bytes(), incarnation.0);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self([a, b, c, d])
    }
}

/// Which step of the relaying a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayStep {
    /// From who heard it to its row, which relays it.
    Row,
    /// From a row's relay to other rows, where it ends.
    Across,
}

/// One message between two gateways of a region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipDelta {
    /// Which step this is.
    pub step: RelayStep,
    /// The sender's heartbeat.
    #[serde(rename = "pulse")]
    pub heartbeat: GatewayHeartbeat,
    /// A hash of the sender's membership; unequal hashes are healed by a sync.
    pub digest: [u8; 4],
    /// Backend servers whose membership changed.
    pub backends: Vec<AgedRecord<BackendRecord>>,
    /// Gateways whose membership changed.
    pub gateways: Vec<AgedRecord<GatewayRecord>>,
    /// Loads that changed.
    pub loads: Vec<LoadDelta>,
    /// Heartbeats of the sender's row.
    #[serde(rename = "pulses")]
    pub row_heartbeats: Vec<GatewayHeartbeat>,
    /// Totals of the sender's row, for gateways that speak for the region.
    pub row_totals: TotalsDelta,
    /// News of other regions.
    pub regions: Vec<RegionDelta>,
}

/// The answer to a [`GossipDelta`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaReply {
    /// The receiver knows this run of the sender and had not taken it for dead. If not, it has not
    /// called the sender either, and the sender would not notice that nobody tells it anything: it
    /// must make itself known and ask for what it missed.
    pub known: bool,
}

/// A record and its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord<T> {
    /// The record.
    pub record: T,
    /// Since its newest report, in milliseconds.
    pub age_millis: u32,
    /// Since it began to serve, in milliseconds.
    pub serving_millis: u32,
}

impl<T> AgedRecord<T> {
    /// A record last reported `age` ago that has served for `serving`.
    pub fn new(record: T, age: Duration, serving: Duration) -> Self {
        Self {
            record,
            age_millis: saturating_millis(age),
            serving_millis: saturating_millis(serving),
        }
    }

    /// Since its newest report.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_millis))
    }

    /// Since it began to serve.
    pub fn serving(&self) -> Duration {
        Duration::from_millis(u64::from(self.serving_millis))
    }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// The newest load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDelta {
    /// The run.
    pub id: RunId,
    /// The low bits of the announcement's sequence.
    pub sequence: u16,
    /// The report's age.
    age: u8,
    running: u16,
    waiting: u16,
    prefill: u16,
    /// The cache's filling, percent.
    cached: u8,
}

impl LoadDelta {
    /// The delta of a report of `age`; `cache_tokens` is the cache's size.
    pub fn new(
        id: RunId,
        sequence: u64,
        age: Duration,
        load: &LoadReport,
        cache_tokens: u64,
    ) -> Self {
        let percent = load.cached_tokens.saturating_mul(100) / cache_tokens.max(1);
        Self {
            id,
            sequence: low_bits(sequence),
            age: u8::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u8::MAX),
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            waiting: u16::try_from(load.waiting).unwrap_or(u16::MAX),
            prefill: saturating_u16(load.queued_prefill_tokens.div_ceil(PREFILL_UNIT)),
            cached: u8::try_from(percent.min(100)).unwrap_or(100),
        }
    }

    /// The report's age when it was sent.
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }

    /// The load, of an engine whose cache holds `cache_tokens`.
    pub fn load(&self, cache_tokens: u64) -> LoadReport {
        LoadReport {
            running: u32::from(self.running),
            waiting: u32::from(self.waiting),
            queued_prefill_tokens: u64::from(self.prefill) * PREFILL_UNIT,
            cached_tokens: cache_tokens / 100 * u64::from(self.cached),
        }
    }
}

/// The heartbeat of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHeartbeat {
    /// The run.
    pub id: RunId,
    /// The low bits of the heartbeat's number.
    pub sequence: u16,
    /// What it carries.
    pub load: GatewayLoad,
}

/// Asks a peer for what it knows and this gateway does not.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Who asks: a gateway that just started is made known by this.
    pub from: AgedRecord<GatewayRecord>,
    /// Hashes of the asker's membership by part; a part that differs is answered whole. Empty:
    /// the asker knows nothing.
    #[serde(rename = "parts")]
    pub bucket_hashes: Vec<u32>,
}

/// The answer to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Backend servers of the parts that differ.
    pub backends: Vec<AgedRecord<BackendRecord>>,
    /// All gateways of the region.
    pub gateways: Vec<AgedRecord<GatewayRecord>>,
    /// The region that answers. A gateway of another one gets nothing but `regions`.
    pub region: Option<RegionName>,
    /// Other regions, for an asker that knows nothing; for one of another region, whom to turn to
    /// in each.
    pub regions: Vec<RegionDelta>,
}

/// The low bits of a sequence.
pub(crate) fn low_bits(sequence: u64) -> u16 {
    (sequence & u64::from(u16::MAX)) as u16
}

/// The sequence nearest to `known` whose low bits are `low`. Right as long as the two are less
/// than 2^15 apart, 18 hours of announcements every 2 s.
pub(crate) fn nearest_sequence(known: u64, low: u16) -> u64 {
    let forward = low.wrapping_sub(low_bits(known));
    let backward = low_bits(known).wrapping_sub(low);
    if forward <= backward {
        known.saturating_add(u64::from(forward))
    } else {
        known.saturating_sub(u64::from(backward))
    }
}

fn saturating_u16(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
