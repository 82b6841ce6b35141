//! Estimate of the contents of an engine's prompt cache.
//!
//! The estimate has two sources: requests dispatched by this gateway, whose prompts the engine has
//! cached, and the engine's cache events, which arrive late and with gaps. Both are uncertain, so
//! the probability of an entry decays exponentially with its age. A gap in the events halves the
//! probability of all earlier entries, because an eviction may be among the lost events.
//!
//! Memory is bounded by two generations of equal size. When the young generation is full, it
//! replaces the old one. This approximates LRU eviction without any cost on lookup.

#[cfg(test)]
mod tests;

use {
    crate::{CacheEvent, CacheEvents, PrefixHash},
    gullglade_units::MonotonicTime,
    std::{
        collections::{HashMap, hash_map::Entry},
        hash::{BuildHasherDefault, Hasher},
        time::Duration,
    },
};

type PrefixMap = HashMap<PrefixHash, PrefixRecord, BuildHasherDefault<IdentityHasher>>;

/// Estimated prompt cache contents of one engine.
#[derive(Debug)]
pub(crate) struct CacheEstimate {
    /// Maximum number of entries per generation.
    generation_limit: usize,
    half_life: Duration,
    young: PrefixMap,
    old: PrefixMap,
    gaps: u32,
    next_event: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct PrefixRecord {
    stored_at: MonotonicTime,
    gaps: u32,
}

impl CacheEstimate {
    /// Creates an empty estimate for at most `limit` prefixes.
    pub(crate) fn new(limit: usize, half_life: Duration) -> Self {
        Self {
            generation_limit: (limit / 2).max(1),
            half_life,
            young: PrefixMap::default(),
            old: PrefixMap::default(),
            gaps: 0,
            next_event: None,
        }
    }

    /// Removes all entries, after a restart of the engine.
    pub(crate) fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
        self.next_event = None;
    }

    /// Records that a prompt with these prefixes was dispatched to the engine.
    pub(crate) fn record_dispatch(&mut self, prefixes: &[PrefixHash], now: MonotonicTime) {
        for prefix in prefixes {
            self.store(*prefix, now);
        }
    }

    /// Applies cache events. Events that were already applied are skipped.
    pub(crate) fn apply_events(&mut self, events: &CacheEvents, now: MonotonicTime) {
        let expected = self.next_event.unwrap_or(events.first);
        if events.first > expected {
            self.gaps += 1;
        }
        let seen = usize::try_from(expected.saturating_sub(events.first)).unwrap_or(usize::MAX);
        for event in events.events.iter().skip(seen) {
            self.apply(*event, now);
        }
        let length = u64::try_from(events.events.len()).unwrap_or(u64::MAX);
        self.next_event = Some(expected.max(events.first.saturating_add(length)));
    }

    fn apply(&mut self, event: CacheEvent, now: MonotonicTime) {
        match event {
            CacheEvent::Stored(prefix) => self.store(prefix, now),
            CacheEvent::Evicted(prefix) => {
                self.young.remove(&prefix);
                self.old.remove(&prefix);
            }
            CacheEvent::Cleared => {
                self.young.clear();
                self.old.clear();
            }
        }
    }

    fn store(&mut self, prefix: PrefixHash, now: MonotonicTime) {
        let record = PrefixRecord { stored_at: now, gaps: self.gaps };
        if let Entry::Occupied(mut entry) = self.young.entry(prefix) {
            entry.insert(record);
            return;
        }
        if self.young.len() >= self.generation_limit {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, record);
    }

    /// Returns the expected number of leading `prefixes` in the cache, where `prefixes` is ordered
    /// from the shortest to the longest. The probability of a prefix is at most that of all shorter
    /// ones.
    pub(crate) fn expected_blocks(&self, prefixes: &[PrefixHash], now: MonotonicTime) -> f32 {
        let mut max_decay = 0.0_f32;
        let mut probability = 1.0_f32;
        let mut expected = 0.0;
        for prefix in prefixes {
            let Some(decay) = self.decay(*prefix, now) else { break };
            if decay > max_decay {
                max_decay = decay;
                probability = (-decay).exp2();
            }
            expected += probability;
        }
        expected
    }

    /// Returns the decay of the entry for `prefix` in half-lives, where each gap in the events
    /// counts as one, or `None` if there is no entry.
    fn decay(&self, prefix: PrefixHash, now: MonotonicTime) -> Option<f32> {
        let record = self.young.get(&prefix).or_else(|| self.old.get(&prefix))?;
        let half_lives = now.since(record.stored_at).as_secs_f32() / self.half_life.as_secs_f32();
        let gaps = self.gaps - record.gaps;
        Some(half_lives + gaps as f32)
    }
}

/// Identity hasher for [`PrefixHash`], which already is a uniform hash. The routing decision looks
/// up every block of a prompt for every engine, so that a second hash would be costly.
#[derive(Clone, Copy, Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.0 = self.0.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}
