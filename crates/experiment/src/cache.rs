//! The prefix cache of a stand-in engine: least recently used blocks go first.

use {
    gullglade_route::PromptPrefix,
    std::collections::{BTreeMap, HashMap},
};

#[derive(Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    used: u64,
}

/// Prefix blocks; a block is what one mark adds to the one before it.
pub(crate) struct PrefixCache {
    limit: u64,
    size: u64,
    sequence: u64,
    entries: HashMap<u64, CacheEntry>,
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(crate) fn new(limit: u64) -> Self {
        Self { limit, size: 0, sequence: 0, entries: HashMap::new(), order: BTreeMap::new() }
    }

    /// Tokens of the longest prefix held.
    pub(crate) fn held(&self, marks: &[PromptPrefix]) -> u32 {
        let held = marks.iter().take_while(|mark| self.entries.contains_key(&mark.hash));
        held.last().map_or(0, |mark| mark.tokens)
    }

    /// Puts the prefixes in and returns the hashes that had to go.
    pub(crate) fn store(&mut self, marks: &[PromptPrefix]) -> Vec<u64> {
        let mut before = 0;
        for mark in marks {
            self.touch(mark.hash, mark.tokens - before);
            before = mark.tokens;
        }
        self.shrink()
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        self.sequence += 1;
        let used = self.sequence;
        if let Some(entry) = self.entries.get_mut(&hash) {
            self.order.remove(&entry.used);
            entry.used = used;
        } else {
            self.entries.insert(hash, CacheEntry { tokens, used });
            self.size += u64::from(tokens);
        }
        self.order.insert(used, hash);
    }

    fn shrink(&mut self) -> Vec<u64> {
        let mut gone = Vec::new();
        while self.size > self.limit {
            let Some((_, hash)) = self.order.pop_first() else { break };
            if let Some(entry) = self.entries.remove(&hash) {
                self.size -= u64::from(entry.tokens);
            }
            gone.push(hash);
        }
        gone
    }
}
