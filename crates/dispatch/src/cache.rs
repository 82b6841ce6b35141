//! Estimates which prompt parts are in the prefix cache of a model engine.
//!
//! The load pattern: requests share long prefixes, and an engine that holds a prefix computes only
//! the rest of the prompt. A repeated prefill of a shared part takes as long as a hundred
//! generation steps, so placement without regard to caches loses much of the capacity of a pool.

use {
    crate::{PromptPart, PromptShape},
    gullglade_units::MonotonicTime,
    std::collections::HashMap,
};

/// The share of an engine's memory that is assumed to hold cached parts. The rest is used by
/// running requests. A larger share would count parts that were already evicted.
const CACHE_SHARE: f64 = 0.6;

/// The cached parts of one engine, estimated from the requests that the gateways of the region sent
/// to it. Evicts the least recently used part.
#[derive(Debug, Default)]
pub struct CacheEstimate {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_used: MonotonicTime,
}

impl CacheEstimate {
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
        let capacity = (memory_tokens as f64 * CACHE_SHARE) as u64;
        while self.tokens > capacity {
            let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.last_used);
            let Some(id) = oldest.map(|(id, _)| *id) else { return };
            self.remove(id);
        }
    }

    fn insert(&mut self, part: PromptPart, now: MonotonicTime) {
        let cached = CachedPart { tokens: part.tokens, last_used: now };
        match self.parts.insert(part.id, cached) {
            Some(old) => self.tokens = self.tokens + u64::from(part.tokens) - u64::from(old.tokens),
            None => self.tokens += u64::from(part.tokens),
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(cached) = self.parts.remove(&id) {
            self.tokens -= u64::from(cached.tokens);
        }
    }
}
