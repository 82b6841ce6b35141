//! The times at which refused requests may return.
//!
//! The load pattern: during a shortage hundreds of callers are refused within a second and are told
//! the same time. They return together, find the same shortage and are refused again. So each
//! refusal takes a part of the capacity that is expected at the time that it names, and the next
//! one names a later time.

use {
    crate::WorkItem,
    gullglade_units::{MonotonicTime, rendezvous},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The period for which promises are counted together. Retry times are spread over as much, so
/// shorter periods would not be kept.
const PERIOD: Duration = Duration::from_millis(500);

/// The first time that is promised: earlier retries only add load.
const MIN_WAIT: Duration = Duration::from_millis(250);

/// The last time that is promised: predictions further ahead are unreliable.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The retries promised for one service by this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryCalendar {
    /// Number of promised retries by period.
    promised: BTreeMap<u128, u32>,
    /// The promise to each refused request that may be recognised.
    known: HashMap<u64, MonotonicTime>,
}

impl RetryCalendar {
    /// Returns the time after which a refused request may return, and counts its return.
    /// `per_second` is the rate at which this gateway recently placed requests.
    pub(super) fn promise(
        &mut self,
        item: &WorkItem,
        per_second: f64,
        now: MonotonicTime,
    ) -> Duration {
        let current = period_at(now);
        self.promised = self.promised.split_off(&current);
        self.known.retain(|_, at| *at > now);
        let fingerprint = fingerprint(item);
        // A caller that returns early is told the rest of its time, and takes no further capacity.
        if let Some(at) = fingerprint.and_then(|f| self.known.get(&f)) {
            return at.since(now).max(MIN_WAIT);
        }
        let capacity = (per_second * PERIOD.as_secs_f64()).max(1.0) as u32;
        let (first, last) = (period_at(now + MIN_WAIT), period_at(now + MAX_WAIT));
        let is_open = |p: &u128| self.promised.get(p).copied().unwrap_or_default() < capacity;
        let period = (first..last).find(is_open).unwrap_or(last);
        *self.promised.entry(period).or_default() += 1;
        let begin = MonotonicTime(PERIOD * u32::try_from(period).unwrap_or(u32::MAX));
        let wait = begin.since(now).clamp(MIN_WAIT, MAX_WAIT);
        if let Some(fingerprint) = fingerprint {
            self.known.insert(fingerprint, now + wait);
        }
        wait
    }
}

fn period_at(at: MonotonicTime) -> u128 {
    at.0.as_millis() / PERIOD.as_millis()
}

/// Returns a hash of what a retry has in common with the refused request, which has another id.
/// Requests without a prompt are too similar to be told apart.
fn fingerprint(item: &WorkItem) -> Option<u64> {
    let prompt = item.prompt.as_ref()?;
    let workspace = item.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let scope = rendezvous::score(workspace, &item.route.name);
    Some(prompt.parts.iter().fold(scope, |hash, part| {
        hash.rotate_left(5).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ part.id
    }))
}
