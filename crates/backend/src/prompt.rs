//! Prompts as a prefix cache sees them: what decides whether a backend server has read the start
//! of a prompt before.

use {crate::PrefixHash, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Prompt tokens in one cache block.
pub const BLOCK_TOKENS: u64 = 64;

/// Bytes of prompt text taken as one token; engines count exactly, the estimate need not.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text in one cache block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// A prompt cut into cache blocks, each named by the hash of its own text and of the block before
/// it, so that equal hashes mean equal prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// Tokens of the whole prompt, estimated.
    pub tokens: u64,
    /// Its full blocks from the start; the last, partial block is never cached.
    pub blocks: Vec<PrefixHash>,
}

impl PromptBlocks {
    /// Cuts the prompt text given to `model`. The text of a chat is each message's role, `": "`,
    /// its content and a line feed, one after the other.
    pub fn new(model: &str, prompt: &str) -> Self {
        let mut last = xxh3_64_with_seed(model.as_bytes(), 0);
        let chain = |block: &[u8]| {
            last = xxh3_64_with_seed(block, last);
            PrefixHash(last)
        };
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).map(chain).collect();
        Self { tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u64, blocks }
    }
}
