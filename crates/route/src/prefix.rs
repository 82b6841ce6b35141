//! Where prompt prefixes are expected in caches.

use {
    gullglade_units::MonotonicTime,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// A gateway's own number for an engine, stable while the engine's incarnation lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineIndex(pub u32);

/// A prefix of a prompt: the hash of its first `tokens` tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the prefix, chained over its blocks.
    pub hash: u64,
    /// Its length.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct HolderRow {
    engine: EngineIndex,
    seen: MonotonicTime,
}

/// Engines remembered for one prefix; the one seen longest ago gives way.
const HOLDER_LIMIT: usize = 8;

/// A bounded table of prefix holders, from own dispatches and from the engines' cache events. Both
/// can be wrong: events come late and with gaps and evictions may never be told, so an entry is
/// believed for a time only.
#[derive(Debug)]
pub struct PrefixTable {
    holders: HashMap<u64, Vec<HolderRow>>,
    order: VecDeque<u64>,
    limit: usize,
    belief: Duration,
}

impl PrefixTable {
    /// A table of at most `limit` prefixes, each believed for `belief` after it was last seen.
    pub fn new(limit: usize, belief: Duration) -> Self {
        Self { holders: HashMap::new(), order: VecDeque::new(), limit: limit.max(1), belief }
    }

    /// Prefixes in the table.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Notes that `engine` holds these prefixes now.
    pub fn record_stored(
        &mut self,
        engine: EngineIndex,
        marks: &[PromptPrefix],
        now: MonotonicTime,
    ) {
        for mark in marks {
            self.store_one(engine, mark.hash, now);
        }
    }

    /// Notes that `engine` has dropped a prefix.
    pub fn record_evicted(&mut self, engine: EngineIndex, hash: u64) {
        if let Some(rows) = self.holders.get_mut(&hash) {
            rows.retain(|row| row.engine != engine);
        }
    }

    /// Forgets an engine that restarted or left.
    pub fn remove_engine(&mut self, engine: EngineIndex) {
        for rows in self.holders.values_mut() {
            rows.retain(|row| row.engine != engine);
        }
    }

    /// Calls `found` with each engine and the tokens expected there, longest prefix first; an engine
    /// may be told several times.
    pub fn for_each_holder(
        &self,
        marks: &[PromptPrefix],
        now: MonotonicTime,
        mut found: impl FnMut(EngineIndex, u32),
    ) {
        for mark in marks.iter().rev() {
            let rows = self.holders.get(&mark.hash).map_or(&[][..], Vec::as_slice);
            for row in rows.iter().filter(|row| now.since(row.seen) <= self.belief) {
                found(row.engine, mark.tokens);
            }
        }
    }

    fn store_one(&mut self, engine: EngineIndex, hash: u64, now: MonotonicTime) {
        if !self.holders.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        let rows = self.holders.entry(hash).or_default();
        if let Some(row) = rows.iter_mut().find(|row| row.engine == engine) {
            row.seen = row.seen.max(now);
            return;
        }
        if rows.len() == HOLDER_LIMIT {
            let oldest = rows.iter().enumerate().min_by_key(|(_, row)| row.seen);
            let index = oldest.map_or(0, |(index, _)| index);
            rows.swap_remove(index);
        }
        rows.push(HolderRow { engine, seen: now });
    }

    fn make_room(&mut self) {
        while self.holders.len() >= self.limit {
            let Some(oldest) = self.order.pop_front() else { return };
            self.holders.remove(&oldest);
        }
    }
}
