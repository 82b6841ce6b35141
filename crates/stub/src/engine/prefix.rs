//! The prefix cache of an engine: blocks of prompt tokens, limited in number.

use {
    gullglade_backend::{BLOCK_TOKENS, PrefixHash, PromptBlocks},
    std::collections::{BTreeMap, HashMap},
};

/// What an insertion changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CacheChange {
    /// Blocks that are new.
    pub stored: Vec<PrefixHash>,
    /// Blocks that had to leave.
    pub evicted: Vec<PrefixHash>,
}

/// Blocks by time of last use, limited in number; the one unused longest leaves first.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    last_use: u64,
    by_hash: HashMap<PrefixHash, u64>,
    by_use: BTreeMap<u64, PrefixHash>,
}

impl PrefixCache {
    /// An empty cache for `tokens` tokens.
    pub fn new(tokens: u64) -> Self {
        let limit = usize::try_from(tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        Self { limit, last_use: 0, by_hash: HashMap::new(), by_use: BTreeMap::new() }
    }

    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        self.by_hash.len() as u64 * BLOCK_TOKENS
    }

    /// How many tokens of `prompt` are held, from its start on.
    pub fn matched(&self, prompt: &PromptBlocks) -> u64 {
        let held = prompt.blocks.iter().take_while(|block| self.by_hash.contains_key(block));
        held.count() as u64 * BLOCK_TOKENS
    }

    /// Takes in the blocks of a prompt and marks them as used now. The blocks are touched from the
    /// last to the first, so that a prefix outlives what continues it.
    pub fn insert(&mut self, blocks: &[PrefixHash]) -> CacheChange {
        let mut change = CacheChange::default();
        let kept = &blocks[..blocks.len().min(self.limit)];
        for block in kept.iter().rev() {
            if !self.touch(*block) {
                change.stored.push(*block);
            }
        }
        change.stored.reverse();
        while self.by_hash.len() > self.limit {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.by_hash.remove(&block);
            change.evicted.push(block);
        }
        change
    }

    /// Every block held, the one used last first; the format of cache export.
    pub fn export(&self) -> Vec<PrefixHash> {
        self.by_use.values().rev().copied().collect()
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.by_use.clear();
        self.by_hash.clear();
    }

    /// Marks `block` as used now; true where it was held before.
    fn touch(&mut self, block: PrefixHash) -> bool {
        self.last_use += 1;
        let before = self.by_hash.insert(block, self.last_use);
        if let Some(use_before) = before {
            self.by_use.remove(&use_before);
        }
        self.by_use.insert(self.last_use, block);
        before.is_some()
    }
}
