//! What an engine's prompt cache probably holds.
//!
//! Two sources feed the estimate: own dispatches (the engine read this prompt, so it holds it) and
//! the engine's cache events, which come late and with gaps. Neither is certain, so a belief
//! decays, and a gap in the events halves all earlier beliefs: an eviction may have been among
//! those lost. Memory is bounded by two generations of equal size; when the younger is full, the
//! older is dropped, which approximates least-recently-used order at no cost per look-up.

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

/// The estimate for one engine.
#[derive(Debug)]
pub(crate) struct CacheEstimate {
    /// Entries of one generation, at most.
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
    /// An empty estimate of at most `limit` prefixes.
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

    /// Forgets everything: the engine restarted.
    pub(crate) fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
        self.next_event = None;
    }

    /// The engine read a prompt with these prefixes.
    pub(crate) fn record_dispatch(&mut self, prefixes: &[PrefixHash], now: MonotonicTime) {
        for prefix in prefixes {
            self.store(*prefix, now);
        }
    }

    /// Takes in events; those seen before change nothing.
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

    /// How many of these prefixes, shortest first, the engine is expected to hold. A longer prefix
    /// counts only as far as the shorter ones are held.
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

    /// The half-lives that the belief in `prefix` has lost, a gap counting as one; `None`: it is
    /// not believed to be held.
    fn decay(&self, prefix: PrefixHash, now: MonotonicTime) -> Option<f32> {
        let record = self.young.get(&prefix).or_else(|| self.old.get(&prefix))?;
        let half_lives = now.since(record.stored_at).as_secs_f32() / self.half_life.as_secs_f32();
        let gaps = self.gaps - record.gaps;
        Some(half_lives + gaps as f32)
    }
}

/// Hashes a [`PrefixHash`] to itself: it is a good hash already, and the decision looks up every
/// block of a prompt at every engine.
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
