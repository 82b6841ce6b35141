//! Which prompt parts a model engine probably still holds.
//!
//! The load pattern: requests share long prefixes, and an engine that holds one reads only the
//! rest. Reading a shared part again takes as long as a hundred steps of generation, so placing
//! without regard to caches costs a good part of a pool's capacity.

use {
    crate::{PromptPart, PromptShape},
    gullglade_units::MonotonicTime,
    std::collections::HashMap,
};

/// The part of an engine's memory that is assumed to hold cached parts; the rest is taken by
/// running requests. Too large a figure expects parts that were evicted.
const CACHE_SHARE: f64 = 0.6;

/// The cached parts of one engine, as an estimate from what the region's gateways sent there.
#[derive(Debug, Default)]
pub struct CacheEstimate {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: MonotonicTime,
}

impl CacheEstimate {
    /// The tokens at the beginning of the prompt that are probably held: parts up to the first
    /// one that is not.
    pub fn held_tokens(&self, shape: &PromptShape) -> u32 {
        let held = shape.parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        held.map(|p| p.tokens).sum()
    }

    /// Notes that the engine read these parts.
    pub fn note(&mut self, parts: &[PromptPart], memory_tokens: u64, now: MonotonicTime) {
        for part in parts {
            self.keep(*part, now);
        }
        let bound = (memory_tokens as f64 * CACHE_SHARE) as u64;
        while self.tokens > bound {
            let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.used);
            let Some(id) = oldest.map(|(id, _)| *id) else { return };
            self.forget(id);
        }
    }

    fn keep(&mut self, part: PromptPart, now: MonotonicTime) {
        let cached = CachedPart { tokens: part.tokens, used: now };
        match self.parts.insert(part.id, cached) {
            Some(old) => self.tokens = self.tokens + u64::from(part.tokens) - u64::from(old.tokens),
            None => self.tokens += u64::from(part.tokens),
        }
    }

    fn forget(&mut self, id: u64) {
        if let Some(cached) = self.parts.remove(&id) {
            self.tokens -= u64::from(cached.tokens);
        }
    }
}
