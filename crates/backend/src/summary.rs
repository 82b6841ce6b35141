//! Aggregated capacity and load of the backend servers of a region or of a row of gateways.

use {
    crate::{BackendKind, BackendRecord, BackendTarget},
    gullglade_units::RegionName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Unit of prompt tokens in messages.
const TOKEN_UNIT: u64 = 64;

/// Changes of the free slots up to this fraction (1/n) of all slots are not sent, unless the number
/// becomes zero or non-zero.
const MIN_SLOT_CHANGE_DIVISOR: u32 = 10;

/// Changes of the prefill queue up to this time, in seconds of prefill throughput, are not sent.
const MIN_PREFILL_CHANGE_SECONDS: f64 = 0.25;

/// Fraction (1/n) of all slots that a region reserves for its own callers and does not offer to
/// other regions.
const RESERVE_DIVISOR: u32 = 10;

/// Four-byte identifier of a model or plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId([u8; 4]);

impl From<BackendTarget<'_>> for TargetId {
    fn from(target: BackendTarget<'_>) -> Self {
        let hash = match target {
            BackendTarget::Model(model) => xxh3_64_with_seed(model.as_str().as_bytes(), 0),
            BackendTarget::Service(name) => xxh3_64_with_seed(name.as_str().as_bytes(), 1),
        };
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self([a, b, c, d])
    }
}

/// Aggregated capacity and load of the backend servers of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetTotals {
    /// Number of backend servers.
    pub engines: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Free slots.
    pub free_slots: u32,
    /// Prompt tokens queued for prefill.
    pub prefill_tokens: u64,
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_rate: u64,
}

pub(crate) type TotalsMap = BTreeMap<TargetId, TargetTotals>;

impl TargetTotals {
    fn add(&mut self, other: &TargetTotals) {
        self.engines = self.engines.saturating_add(other.engines);
        self.slots = self.slots.saturating_add(other.slots);
        self.free_slots = self.free_slots.saturating_add(other.free_slots);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.prefill_rate = self.prefill_rate.saturating_add(other.prefill_rate);
    }

    /// Subtracts the reserve for the region's own callers from the free slots.
    pub(crate) fn without_reserve(mut self) -> Self {
        self.free_slots = self.free_slots.saturating_sub(self.slots / RESERVE_DIVISOR);
        self
    }

    fn same_capacity(&self, other: &TargetTotals) -> bool {
        let capacity = |t: &TargetTotals| (t.engines, t.slots, t.prefill_rate);
        capacity(self) == capacity(other)
    }

    /// Returns whether the difference from `sent` is large enough to affect routing decisions.
    fn differs_materially(&self, sent: &TargetTotals) -> bool {
        let emptied = (self.free_slots == 0) != (sent.free_slots == 0);
        let freed =
            self.free_slots.abs_diff(sent.free_slots) > self.slots / MIN_SLOT_CHANGE_DIVISOR;
        let queued = self.prefill_tokens.abs_diff(sent.prefill_tokens) as f64;
        emptied || freed || queued > self.prefill_rate as f64 * MIN_PREFILL_CHANGE_SECONDS
    }
}

/// Adds `other` to `sum`.
pub(crate) fn add_totals(sum: &mut TotalsMap, other: &TotalsMap) {
    for (target, totals) in other {
        sum.entry(*target).or_default().add(totals);
    }
}

/// Adds one backend server to `sum`.
pub(crate) fn add_backend(sum: &mut TotalsMap, record: &BackendRecord) {
    let Some(profile) = record.profile() else { return };
    let (capacity, load) = (profile.capacity, &record.load);
    let busy = load.running.saturating_add(load.waiting);
    let totals = TargetTotals {
        engines: 1,
        slots: capacity.slots,
        free_slots: capacity.slots.saturating_sub(busy),
        prefill_tokens: load.queued_prefill_tokens,
        prefill_rate: u64::from(capacity.prefill_tokens_per_second),
    };
    let models = profile.models.iter().filter(|_| profile.kind == BackendKind::Engine);
    let targets = models
        .map(|model| TargetId::from(BackendTarget::Model(model)))
        .chain(profile.services.iter().map(|s| TargetId::from(BackendTarget::Service(s))));
    for target in targets {
        sum.entry(target).or_default().add(&totals);
    }
}

/// Capacity and load of one target, sent if its capacity is new to the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullTotals {
    target: TargetId,
    engines: u32,
    slots: u32,
    free_slots: u32,
    prefill: u32,
    rate: u32,
}

/// Load of one target whose capacity the receiver knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTotals {
    target: TargetId,
    free_slots: u32,
    prefill: u32,
}

/// Difference between two `TotalsMap`s, without insignificant changes of load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsDelta {
    /// The delta lists all targets. The receiver drops any others.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Targets whose capacity changed. A target with zero engines is removed.
    #[serde(rename = "rows")]
    pub full_totals: Vec<FullTotals>,
    /// Targets of which only the load changed.
    #[serde(rename = "moves")]
    pub load_totals: Vec<LoadTotals>,
}

impl TotalsDelta {
    /// Computes the delta from `sent`, the totals last sent, to `current`, and updates `sent`
    /// accordingly.
    pub(crate) fn between(sent: &mut TotalsMap, current: &TotalsMap) -> Self {
        let mut delta = Self { is_full: sent.is_empty(), ..Self::default() };
        for (target, totals) in current {
            let known = sent.get(target).filter(|before| before.same_capacity(totals));
            if known.is_some_and(|before| !totals.differs_materially(before)) {
                continue;
            }
            delta.push(*target, totals, known.is_none());
            sent.insert(*target, *totals);
        }
        let removed: Vec<TargetId> =
            sent.keys().filter(|target| !current.contains_key(target)).copied().collect();
        for target in removed {
            sent.remove(&target);
            delta.push(target, &TargetTotals::default(), true);
        }
        delta
    }

    /// Adds one target, with its capacity if `is_full` is true, otherwise with its load alone.
    pub(crate) fn push(&mut self, target: TargetId, totals: &TargetTotals, is_full: bool) {
        if is_full {
            self.full_totals.push(full_totals(target, totals));
        } else {
            self.load_totals.push(load_totals(target, totals));
        }
    }

    /// Applies the delta to `known`. Returns the affected targets, each with a flag that is true if
    /// its capacity was included.
    pub(crate) fn apply(&self, known: &mut TotalsMap) -> Vec<(TargetId, bool)> {
        let mut sent = Vec::with_capacity(self.full_totals.len() + self.load_totals.len());
        if self.is_full {
            sent.extend(known.keys().map(|target| (*target, true)));
            known.clear();
        }
        for full in &self.full_totals {
            known.insert(full.target, full.totals());
            sent.push((full.target, true));
        }
        for change in &self.load_totals {
            if let Some(totals) = known.get_mut(&change.target) {
                totals.free_slots = change.free_slots;
                totals.prefill_tokens = u64::from(change.prefill) * TOKEN_UNIT;
                sent.push((change.target, false));
            }
        }
        known.retain(|_, totals| totals.engines > 0);
        sent
    }
}

fn full_totals(target: TargetId, totals: &TargetTotals) -> FullTotals {
    FullTotals {
        target,
        engines: totals.engines,
        slots: totals.slots,
        free_slots: totals.free_slots,
        prefill: token_units(totals.prefill_tokens),
        rate: token_units(totals.prefill_rate),
    }
}

fn load_totals(target: TargetId, totals: &TargetTotals) -> LoadTotals {
    LoadTotals {
        target,
        free_slots: totals.free_slots,
        prefill: token_units(totals.prefill_tokens),
    }
}

fn token_units(tokens: u64) -> u32 {
    u32::try_from(tokens.div_ceil(TOKEN_UNIT)).unwrap_or(u32::MAX)
}

impl FullTotals {
    fn totals(&self) -> TargetTotals {
        TargetTotals {
            engines: self.engines,
            slots: self.slots,
            free_slots: self.free_slots,
            prefill_tokens: u64::from(self.prefill) * TOKEN_UNIT,
            prefill_rate: u64::from(self.rate) * TOKEN_UNIT,
        }
    }
}

/// Capacity and load of another region for one target, as known to this gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSummary {
    /// Name of the region.
    pub region: RegionName,
    /// Whether an update about the region was received recently.
    pub is_reachable: bool,
    /// Last measured one-way delay between gateways of the two regions. Zero if not yet measured.
    pub delay: Duration,
    /// Totals of its backend servers. `free_slots` is the number offered to other regions.
    pub totals: TargetTotals,
    /// Age of the totals.
    pub age: Duration,
    /// Time since the region became reachable, for the first time or after a loss of contact.
    pub reachable_for: Duration,
}

/// Contact data of a gateway, for use by other regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayContact {
    /// VM of the gateway.
    pub vm: gullglade_units::VmName,
    /// Address for connections from other processes of the cluster.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}

impl AsRef<str> for GatewayContact {
    fn as_ref(&self) -> &str {
        self.vm.as_str()
    }
}

/// Report of one region to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionDelta {
    /// Region that the report describes.
    pub region: RegionName,
    /// Age of the report, in units of 50 ms.
    pub age: u8,
    /// One-way delay to the region, in milliseconds.
    pub delay_millis: u16,
    /// Changes of the totals.
    pub totals: TotalsDelta,
    /// Gateways that other regions may contact, if changed.
    pub contacts: Option<Vec<GatewayContact>>,
}
