//! Messages between gateways.

use {
    crate::{BackendRecord, GatewayLoad, GatewayRecord, LoadReport, RegionDelta, TotalsDelta},
    gullglade_units::{Incarnation, RegionName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(50);

/// Unit of queued prompt tokens in messages.
const PREFILL_UNIT: u64 = 64;

/// Four-byte identifier of one run of a backend server or gateway. An announcement whose identifier
/// collides with that of another name in the region is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId([u8; 4]);

impl RunId {
    /// Computes the identifier of the run `incarnation` of `name`.
    pub fn new(name: &str, incarnation: Incarnation) -> Self {
        let hash = xxh3_64_with_seed(name.as_bytes(), incarnation.0);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self([a, b, c, d])
    }
}

/// Dissemination step of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayStep {
    /// First step: from the gateway that received the update to the gateways of its row, which
    /// relay it.
    Row,
    /// Second step: from a relay to gateways of other rows, which do not forward it.
    Across,
}

/// Gossip message between two gateways of a region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipDelta {
    /// Dissemination step.
    pub step: RelayStep,
    /// Heartbeat of the sender.
    #[serde(rename = "pulse")]
    pub heartbeat: GatewayHeartbeat,
    /// Digest of the sender's membership. A persistent mismatch triggers a sync.
    pub digest: [u8; 4],
    /// Backend servers whose membership changed.
    pub backends: Vec<AgedRecord<BackendRecord>>,
    /// Gateways whose membership changed.
    pub gateways: Vec<AgedRecord<GatewayRecord>>,
    /// Loads that changed.
    pub loads: Vec<LoadDelta>,
    /// Heartbeats of the gateways in the sender's row.
    #[serde(rename = "pulses")]
    pub row_heartbeats: Vec<GatewayHeartbeat>,
    /// Totals of the sender's row, for region reporters.
    pub row_totals: TotalsDelta,
    /// Updates about other regions.
    pub regions: Vec<RegionDelta>,
}

/// Reply to a [`GossipDelta`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaReply {
    /// True if the receiver knows this run of the sender and does not consider it dead. Otherwise
    /// the receiver has not sent anything to the sender either, which the sender cannot detect by
    /// itself. The sender must introduce itself and fetch what it missed by a sync.
    pub known: bool,
}

/// A record with its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedRecord<T> {
    /// The record.
    pub record: T,
    /// Time since the newest report, in milliseconds.
    pub age_millis: u32,
    /// Time since it began to serve, in milliseconds.
    pub serving_millis: u32,
}

impl<T> AgedRecord<T> {
    /// Creates a record last reported `age` ago that has been serving for `serving`.
    pub fn new(record: T, age: Duration, serving: Duration) -> Self {
        Self {
            record,
            age_millis: saturating_millis(age),
            serving_millis: saturating_millis(serving),
        }
    }

    /// Returns the time since the newest report.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_millis))
    }

    /// Returns the time since it began to serve.
    pub fn serving(&self) -> Duration {
        Duration::from_millis(u64::from(self.serving_millis))
    }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Compact form of the newest load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDelta {
    /// Run of the backend server.
    pub id: RunId,
    /// Low 16 bits of the announcement's sequence number.
    pub sequence: u16,
    /// Age of the report, in units of `AGE_UNIT`.
    age: u8,
    running: u16,
    waiting: u16,
    prefill: u16,
    /// Cache utilization in percent.
    cached: u8,
}

impl LoadDelta {
    /// Creates the delta for a report of `age` from an engine with a cache of `cache_tokens`.
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

    /// Returns the age of the report at the time of sending.
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }

    /// Returns the load, for an engine with a cache of `cache_tokens`.
    pub fn load(&self, cache_tokens: u64) -> LoadReport {
        LoadReport {
            running: u32::from(self.running),
            waiting: u32::from(self.waiting),
            queued_prefill_tokens: u64::from(self.prefill) * PREFILL_UNIT,
            cached_tokens: cache_tokens / 100 * u64::from(self.cached),
        }
    }
}

/// Heartbeat of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHeartbeat {
    /// Run of the gateway.
    pub id: RunId,
    /// Low 16 bits of the heartbeat's sequence number.
    pub sequence: u16,
    /// Current load.
    pub load: GatewayLoad,
}

/// Request for the records in which a peer differs from the requester.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Record of the requester. Introduces a gateway that has just started.
    pub from: AgedRecord<GatewayRecord>,
    /// Hashes of the requester's membership buckets. The reply contains all records of every bucket
    /// whose hash differs. Empty if the requester has no records yet.
    #[serde(rename = "parts")]
    pub bucket_hashes: Vec<u32>,
}

/// Reply to a [`SyncRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SyncReply {
    /// Backend servers in the buckets that differ.
    pub backends: Vec<AgedRecord<BackendRecord>>,
    /// All gateways of the region.
    pub gateways: Vec<AgedRecord<GatewayRecord>>,
    /// Region of the replying gateway. A requester from another region receives only this field and
    /// `regions`.
    pub region: Option<RegionName>,
    /// Other regions, if the requester has no records yet. For a requester from another region, the
    /// contacts in each known region.
    pub regions: Vec<RegionDelta>,
}

/// Returns the low 16 bits of a sequence number.
pub(crate) fn low_bits(sequence: u64) -> u16 {
    (sequence & u64::from(u16::MAX)) as u16
}

/// Returns the sequence number nearest to `known` whose low 16 bits are `low`. Correct as long as
/// the two differ by less than 2^15, which is 18 hours of announcements at an interval of 2 s.
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
