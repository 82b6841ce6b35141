//! Deterministic tokens: the text of token `i` of the answer to a prompt depends on the prompt and
//! `i` alone. So two runs of one request, a run resumed at an offset and a restarted one all give
//! the same answer, and a caller can compute the answer it must get.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The words that answers are made of.
const VOCABULARY: [&str; 64] = [
    "ballast", "quarry", "siding", "hopper", "tonnage", "track", "window", "crew", "weld", "dent",
    "seam", "pipe", "survey", "dig", "crack", "gauge", "basalt", "granite", "screen", "grade",
    "yard", "spur", "switch", "tie", "rail", "train", "order", "quote", "ton", "car", "consist",
    "mile", "post", "valve", "joint", "girth", "metal", "loss", "depth", "wall", "coat", "report",
    "run", "log", "note", "plan", "crane", "truck", "load", "haul", "dump", "spread", "tamp",
    "line", "north", "south", "east", "west", "first", "next", "late", "clear", "safe", "done",
];

/// The answer to one prompt, as a function of the token index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSource {
    seed: u64,
}

impl TokenSource {
    /// The answer of `model` to `prompt`.
    pub fn new(model: &str, prompt: &str) -> Self {
        Self { seed: xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes())) }
    }

    /// The word of token `index`, without the space before it.
    pub fn word(&self, index: u64) -> &'static str {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        VOCABULARY[(hash % VOCABULARY.len() as u64) as usize]
    }

    /// Token `index` as it is sent: every token but the first begins with a space.
    pub fn text(&self, index: u64) -> String {
        match index {
            0 => self.word(0).to_owned(),
            _ => format!(" {}", self.word(index)),
        }
    }

    /// Tokens `from..to`, joined.
    pub fn join(&self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.text(index)).collect()
    }
}
