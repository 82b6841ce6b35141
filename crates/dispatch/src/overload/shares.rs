//! The use of engines by workspace during a shortage.
//!
//! The load pattern: one workspace sends six times its usual rate for some seconds. In order of
//! arrival its requests take most of the capacity, and the workspaces that keep to their usual
//! rates lose as much as it does. So the queue places requests of workspaces that used more than
//! their share behind the others. Nothing is held back: what the others leave is used.

use {
    crate::decay::decayed,
    gullglade_traffic::TrafficWorkspace,
    gullglade_units::{MonotonicTime, rendezvous},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Half-life of the recorded use. It spans a few dozen requests of a workspace at one gateway, and
/// a workspace that has stopped a surge is forgiven within some seconds.
const USE_HALF_LIFE: Duration = Duration::from_secs(3);

/// A workspace is above its share from this multiple of it. Random arrivals make the use of equal
/// workspaces differ by a quarter. At twice its share, a workspace already takes a tenth of the
/// requests in time from the others.
const TOLERANCE: f64 = 1.6;

/// Use below this is never above a share, milliseconds: about one long prompt.
const MIN_USE_MS: f64 = 100.0;

/// Entries with less use than this are removed, milliseconds.
const FORGOTTEN_USE_MS: f64 = 1.0;

/// A workspace counts as above its share for this time after its last use beyond it.
const ABOVE_TIME: Duration = Duration::from_secs(1);

/// The interval at which entries are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// The engine time that a request of a workspace takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// The predicted engine time, milliseconds.
    pub engine_ms: u32,
}

/// Returns the hash by which gateways refer to a workspace.
pub(super) fn workspace_hash(workspace: &TrafficWorkspace) -> u32 {
    (rendezvous::score("workspace", workspace.name.as_str()) >> 32) as u32
}

#[derive(Clone, Copy, Debug, Default)]
struct UseEntry {
    used_ms: f64,
    at: MonotonicTime,
    /// The rate of the quota, once a request with a quota was seen here.
    quota: Option<f64>,
}

impl UseEntry {
    fn used_ms(&self, now: MonotonicTime) -> f64 {
        decayed(self.used_ms, now.since(self.at), USE_HALF_LIFE)
    }
}

/// The recent use of one service by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceShares {
    /// Ordered, so that sums do not depend on the order of a hash table.
    entries: BTreeMap<u32, UseEntry>,
    /// Decaying sum of the use of all workspaces.
    total: UseEntry,
    /// Sum of the known quotas of the entries, and their number.
    quotas: (f64, usize),
    cleaned_at: MonotonicTime,
    /// When a workspace last used more than its share.
    above_at: Option<MonotonicTime>,
}

impl WorkspaceShares {
    /// Records the quota of a workspace whose request was queued.
    pub(super) fn note_quota(&mut self, workspace: &TrafficWorkspace, now: MonotonicTime) {
        let entry = self
            .entries
            .entry(workspace_hash(workspace))
            .or_insert(UseEntry { at: now, ..UseEntry::default() });
        let quota = workspace.quota.map(|quota| quota.rate).filter(|rate| *rate > 0.0);
        if entry.quota != quota {
            entry.quota = quota;
            self.sum_quotas();
        }
    }

    /// Records the use of a request that was sent by any gateway.
    pub(super) fn note_use(&mut self, used: WorkspaceUse, now: MonotonicTime) {
        let added_ms = f64::from(used.engine_ms);
        for entry in [self.entries.entry(used.workspace).or_default(), &mut self.total] {
            *entry = UseEntry { used_ms: entry.used_ms(now) + added_ms, at: now, ..*entry };
        }
        if self.is_above(used.workspace, now) {
            self.above_at = Some(now);
        }
        if now.since(self.cleaned_at) >= CLEANUP_INTERVAL {
            self.cleaned_at = now;
            self.entries.retain(|_, entry| entry.used_ms(now) >= FORGOTTEN_USE_MS);
            self.sum_quotas();
        }
    }

    /// Returns whether a workspace used more than its share.
    pub(super) fn is_above(&self, workspace: u32, now: MonotonicTime) -> bool {
        let Some(entry) = self.entries.get(&workspace) else { return false };
        self.is_entry_above(entry, now)
    }

    /// Returns whether any workspace used more than its share recently.
    pub(super) fn has_above(&self, now: MonotonicTime) -> bool {
        self.above_at.is_some_and(|at| now.since(at) < ABOVE_TIME)
    }

    /// Returns the number of workspaces that used more than their share.
    pub(super) fn count_above(&self, now: MonotonicTime) -> usize {
        self.entries.values().filter(|entry| self.is_entry_above(entry, now)).count()
    }

    fn is_entry_above(&self, entry: &UseEntry, now: MonotonicTime) -> bool {
        let (sum, count) = self.quotas;
        // A workspace without a known quota weighs as much as the mean of the others.
        let mean = if count == 0 { 1.0 } else { sum / count as f64 };
        let weights = mean * self.entries.len() as f64;
        let share = entry.quota.unwrap_or(mean) / weights;
        let used_ms = entry.used_ms(now);
        used_ms > MIN_USE_MS && used_ms > TOLERANCE * share * self.total.used_ms(now)
    }

    fn sum_quotas(&mut self) {
        let known = self.entries.values().filter_map(|entry| entry.quota);
        self.quotas = known.fold((0.0, 0), |(sum, count), quota| (sum + quota, count + 1));
    }
}
