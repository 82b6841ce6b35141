//! Division of prompts into prefix cache blocks.

use {crate::PrefixHash, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Prompt tokens per cache block.
pub const BLOCK_TOKENS: u64 = 64;

/// Bytes of prompt text counted as one token. The estimate need not match the exact count of the
/// engines.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text per cache block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;

/// A prompt divided into cache blocks. Each block is identified by the hash of its text chained
/// with the hash of the preceding block, so that equal hashes mean equal prefixes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// Estimated number of tokens of the whole prompt.
    pub tokens: u64,
    /// Hashes of the full blocks from the start. A partial last block is never cached and not
    /// included.
    pub blocks: Vec<PrefixHash>,
}

impl PromptBlocks {
    /// Divides a prompt for `model` into blocks. The text of a chat is the concatenation of each
    /// message's role, `": "`, content and a line feed.
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
