//! Copies of shared prompt parts from the cache of one engine to another, instead of a new prefill.
//!
//! The load pattern: at a peak the engine that holds a long shared part is full, and the prompt
//! goes to another one. Prefill of 13,000 tokens takes a quarter of a second there, during which
//! everything else on that engine runs at a tenth of its speed. Copying them from the engine that
//! holds them takes a few milliseconds. If that engine no longer holds them, the target performs
//! the prefill as usual.

use {
    super::Backend,
    crate::{PromptCopy, PromptShape, WorkCost},
    gullglade_traffic::EngineProfile,
    gullglade_units::BackendName,
};

/// Fewer tokens than this are not copied, since a copy has a fixed cost and takes milliseconds
/// before its first byte.
const MIN_COPY_TOKENS: u32 = 500;

/// The engine to copy from.
pub(super) struct CopySource<'a> {
    backend: &'a Backend,
    /// The number of prompt tokens that it holds.
    held: u32,
    /// Whether `held` comes from the cache estimate. Otherwise it is a guess.
    is_known: bool,
    /// Copy rate in tokens per millisecond.
    tokens_per_ms: f64,
}

impl<'a> CopySource<'a> {
    /// Returns the engine of `healthy` that holds most of the prompt, or else `likely_holder`.
    /// Returns `None` if a copy would save nothing.
    pub(super) fn find(
        shape: &PromptShape,
        healthy: &[&'a Backend],
        likely_holder: Option<&BackendName>,
        engine: EngineProfile,
    ) -> Option<Self> {
        if engine.copied_tokens_per_ms <= 0.0 || shape.shared_tokens() < MIN_COPY_TOKENS {
            return None;
        }
        let held = |backend: &&&Backend| backend.cache.held_tokens(shape);
        let backend = healthy.iter().max_by_key(held)?;
        let (held_tokens, tokens_per_ms) = (held(&backend), engine.copied_tokens_per_ms);
        if held_tokens >= MIN_COPY_TOKENS {
            return Some(Self { backend, held: held_tokens, is_known: true, tokens_per_ms });
        }
        let likely_holder = likely_holder?;
        let backend = healthy.iter().find(|b| b.info.name == *likely_holder)?;
        Some(Self { backend, held: shape.shared_tokens(), is_known: false, tokens_per_ms })
    }

    /// Returns the copy that `backend` would make, or `None` if it would save nothing.
    pub(super) fn copy_to(&self, backend: &Backend, shape: &PromptShape) -> Option<PromptCopy> {
        let missing = self.held.saturating_sub(backend.cache.held_tokens(shape));
        if missing < MIN_COPY_TOKENS || backend.info.name == self.backend.info.name {
            return None;
        }
        // The prefill tokens that take as long as the copy. For a guess no saving is assumed.
        let cost_tokens = match self.is_known {
            true => {
                (f64::from(missing) / self.tokens_per_ms / backend.load.prefill_ms(1)).ceil() as u32
            }
            false => missing,
        };
        Some(PromptCopy { from: self.backend.info.address, tokens: missing, cost_tokens })
    }
}

impl PromptCopy {
    /// Returns the cost of a request with this copy, given its cost without.
    pub(super) fn reduce(self, cost: WorkCost) -> WorkCost {
        let rest = |tokens: u32| tokens.saturating_sub(self.tokens) + self.cost_tokens;
        WorkCost { tokens: cost.tokens.map(rest), ..cost }
    }
}
