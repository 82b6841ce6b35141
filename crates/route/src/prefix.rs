//! Table of the engines that are expected to hold a prompt prefix in their caches.

use {
    gullglade_units::MonotonicTime,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Number that a gateway assigns to an engine, stable for the lifetime of the engine's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineIndex(pub u32);

/// Prefix of a prompt, identified by the hash of its first `tokens` tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the prefix, chained over its blocks.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct PrefixHolder {
    engine: EngineIndex,
    last_seen: MonotonicTime,
}

/// Engines recorded per prefix; the least recently seen one is replaced.
const MAX_HOLDERS: usize = 8;

/// Bounded table of the engines that hold each prefix, filled from the gateway's dispatches and the
/// engines' cache events. Both can be wrong: events arrive late and with gaps, and evictions may
/// never be reported, so an entry expires.
#[derive(Debug)]
pub struct PrefixTable {
    holders: HashMap<u64, Vec<PrefixHolder>>,
    insertion_order: VecDeque<u64>,
    limit: usize,
    ttl: Duration,
}

impl PrefixTable {
    /// Creates a table of at most `limit` prefixes. An entry expires `ttl` after the prefix was
    /// last seen on the engine.
    pub fn new(limit: usize, ttl: Duration) -> Self {
        Self { holders: HashMap::new(), insertion_order: VecDeque::new(), limit: limit.max(1), ttl }
    }

    /// Returns the number of prefixes in the table.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Records that `engine` holds these prefixes.
    pub fn record_stored(
        &mut self,
        engine: EngineIndex,
        prefixes: &[PromptPrefix],
        now: MonotonicTime,
    ) {
        for prefix in prefixes {
            self.record_holder(engine, prefix.hash, now);
        }
    }

    /// Records that `engine` evicted a prefix.
    pub fn record_evicted(&mut self, engine: EngineIndex, hash: u64) {
        if let Some(rows) = self.holders.get_mut(&hash) {
            rows.retain(|row| row.engine != engine);
        }
    }

    /// Removes an engine that restarted or left.
    pub fn remove_engine(&mut self, engine: EngineIndex) {
        for rows in self.holders.values_mut() {
            rows.retain(|row| row.engine != engine);
        }
    }

    /// Calls `found` with each engine and the number of prompt tokens expected in its cache,
    /// longest prefix first. An engine may be reported several times.
    pub fn for_each_holder(
        &self,
        prefixes: &[PromptPrefix],
        now: MonotonicTime,
        mut found: impl FnMut(EngineIndex, u32),
    ) {
        for prefix in prefixes.iter().rev() {
            let rows = self.holders.get(&prefix.hash).map_or(&[][..], Vec::as_slice);
            for row in rows.iter().filter(|row| now.since(row.last_seen) <= self.ttl) {
                found(row.engine, prefix.tokens);
            }
        }
    }

    fn record_holder(&mut self, engine: EngineIndex, hash: u64, now: MonotonicTime) {
        if !self.holders.contains_key(&hash) {
            self.evict_oldest();
            self.insertion_order.push_back(hash);
        }
        let rows = self.holders.entry(hash).or_default();
        if let Some(row) = rows.iter_mut().find(|row| row.engine == engine) {
            row.last_seen = row.last_seen.max(now);
            return;
        }
        if rows.len() == MAX_HOLDERS {
            let oldest = rows.iter().enumerate().min_by_key(|(_, row)| row.last_seen);
            let index = oldest.map_or(0, |(index, _)| index);
            rows.swap_remove(index);
        }
        rows.push(PrefixHolder { engine, last_seen: now });
    }

    fn evict_oldest(&mut self) {
        while self.holders.len() >= self.limit {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            self.holders.remove(&oldest);
        }
    }
}
