//! Estimates which prompt parts are in the prefix cache of a model engine.
//!
//! The load pattern: requests share long prefixes, and an engine that holds a prefix computes only
//! the rest of the prompt. A repeated prefill of a shared part takes as long as a hundred
//! generation steps, so placement without regard to caches loses much of the capacity of a pool.

use {
    crate::{PromptPart, PromptShape},
    gullglade_units::MonotonicTime,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// The share of an engine's memory that is assumed to hold cached parts. The rest is used by
/// running requests. A larger share would count parts that were already evicted.
const CACHE_SHARE: f64 = 0.6;

/// The most parts that are remembered of an engine. Parts without tokens use none of its memory, so
/// the memory alone does not bound their number.
const MAX_PARTS: usize = 4_096;

/// A part that is asked for again within this time would have saved a prefill. The load of an
/// engine and the parts in use change over longer times.
const REUSE_HORIZON: Duration = Duration::from_secs(5);

/// The probability that a part which was used once is used again soon. Most of these parts are the
/// unshared ends of prompts.
const SINGLE_USE_PROBABILITY: f64 = 0.3;

/// The least interval between uses. Several requests may use a part at the same time.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// The cached parts of one engine, estimated from the requests that the gateways of the region sent
/// to it. Evicts the least recently used part.
#[derive(Debug, Default)]
pub struct CacheEstimate {
    parts: HashMap<u64, CachedPart>,
    /// The parts from the least to the most recently used.
    by_use: BTreeSet<(MonotonicTime, u64)>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: MonotonicTime,
    /// The time between the last two uses, or `None` if it was used once.
    interval: Option<Duration>,
}

impl CachedPart {
    /// Returns the probability that the part is asked for again within [`REUSE_HORIZON`].
    fn reuse_probability(&self, now: MonotonicTime) -> f64 {
        let unused = now.since(self.last_used);
        match self.interval {
            // A part that was not used for longer than its interval has become rarer.
            Some(interval) => {
                let interval = interval.max(unused).max(MIN_INTERVAL);
                1.0 - (-REUSE_HORIZON.as_secs_f64() / interval.as_secs_f64()).exp()
            }
            None => {
                SINGLE_USE_PROBABILITY * REUSE_HORIZON.as_secs_f64()
                    / (REUSE_HORIZON + unused).as_secs_f64()
            }
        }
    }
}

impl CacheEstimate {
    /// Returns the number of parts that are remembered.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of leading prompt tokens that are probably cached: the parts up to the
    /// first one that is not.
    pub fn held_tokens(&self, shape: &PromptShape) -> u32 {
        let held = shape.parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        held.map(|p| p.tokens).sum()
    }

    /// Records that the engine processed these parts.
    pub fn note(&mut self, parts: &[PromptPart], memory_tokens: u64, now: MonotonicTime) {
        for part in parts {
            self.insert(*part, now);
        }
        while self.tokens > capacity(memory_tokens) || self.parts.len() > MAX_PARTS {
            let Some((_, id)) = self.by_use.first().copied() else { return };
            self.remove(id);
        }
    }

    /// Returns the tokens of the cached parts that `needed` more tokens would evict, each part
    /// multiplied by the probability that it is asked for again soon. The parts of `shape` stay,
    /// since a request that uses them is the most recent one.
    pub(crate) fn evicted_tokens(
        &self,
        shape: &PromptShape,
        needed: u32,
        memory_tokens: u64,
        now: MonotonicTime,
    ) -> f64 {
        let free = capacity(memory_tokens).saturating_sub(self.tokens);
        let mut missing = u64::from(needed).saturating_sub(free);
        let mut kept: Vec<u64> = shape.parts.iter().map(|part| part.id).collect();
        kept.sort_unstable();
        let mut lost = 0.0;
        for (_, id) in &self.by_use {
            if missing == 0 {
                break;
            }
            let Some(cached) = self.parts.get(id) else { continue };
            if kept.binary_search(id).is_ok() {
                continue;
            }
            missing = missing.saturating_sub(cached.tokens.into());
            lost += f64::from(cached.tokens) * cached.reuse_probability(now);
        }
        lost
    }

    fn insert(&mut self, part: PromptPart, now: MonotonicTime) {
        let old = self.remove(part.id);
        let interval = old.map(|old| now.since(old.last_used));
        let cached = CachedPart { tokens: part.tokens, last_used: now, interval };
        self.parts.insert(part.id, cached);
        self.by_use.insert((now, part.id));
        self.tokens += u64::from(part.tokens);
    }

    fn remove(&mut self, id: u64) -> Option<CachedPart> {
        let cached = self.parts.remove(&id)?;
        self.by_use.remove(&(cached.last_used, id));
        self.tokens -= u64::from(cached.tokens);
        Some(cached)
    }
}

/// Returns the number of tokens of cached parts that an engine is assumed to hold.
fn capacity(memory_tokens: u64) -> u64 {
    (memory_tokens as f64 * CACHE_SHARE) as u64
}
