//! Shared parts of a prompt that one engine copies from another instead of reading them again.
//!
//! The load pattern: at a peak the engine that holds a long shared part is full, and the prompt goes
//! to another one. Reading 13,000 tokens there takes a quarter of a second, in which everything
//! else at that engine is read and generated at a tenth of its speed; copying them from the engine
//! that holds them takes some milliseconds. Where the parts are not held after all, the engine
//! reads them as it would have.

use {
    super::Backend,
    crate::{PromptCopy, PromptShape, WorkCost},
    gullglade_traffic::EngineProfile,
    gullglade_units::BackendName,
};

/// Fewer tokens than this are read: a copy has a price of its own, and takes milliseconds before
/// its first byte.
const LEAST_COPY: u32 = 500;

/// The engine to copy from.
pub(super) struct CopySource<'a> {
    backend: &'a Backend,
    /// The tokens of the prompt that it holds.
    held: u32,
    /// Whether that is known, and not only likely.
    is_known: bool,
    /// Tokens that are copied in a millisecond.
    rate: f64,
}

impl<'a> CopySource<'a> {
    /// The engine of `sound` that holds most of the prompt, or else `keeper`, which probably does;
    /// `None` where nothing is worth copying.
    pub(super) fn find(
        shape: &PromptShape,
        sound: &[&'a Backend],
        keeper: Option<&BackendName>,
        engine: EngineProfile,
    ) -> Option<Self> {
        if engine.copied_tokens_per_ms <= 0.0 || shape.shared_tokens() < LEAST_COPY {
            return None;
        }
        let held = |backend: &&&Backend| backend.cache.held_tokens(shape);
        let backend = sound.iter().max_by_key(held)?;
        let (known, rate) = (held(&backend), engine.copied_tokens_per_ms);
        if known >= LEAST_COPY {
            return Some(Self { backend, held: known, is_known: true, rate });
        }
        let keeper = keeper?;
        let backend = sound.iter().find(|b| b.facts.name == *keeper)?;
        Some(Self { backend, held: shape.shared_tokens(), is_known: false, rate })
    }

    /// What `backend` would copy.
    pub(super) fn copy_to(&self, backend: &Backend, shape: &PromptShape) -> Option<PromptCopy> {
        let missing = self.held.saturating_sub(backend.cache.held_tokens(shape));
        if missing < LEAST_COPY || backend.facts.name == self.backend.facts.name {
            return None;
        }
        // As reading that takes as long. Nothing is saved for certain where it is a guess.
        let cost_tokens = match self.is_known {
            true => (f64::from(missing) / self.rate / backend.load.read_ms(1)).ceil() as u32,
            false => missing,
        };
        Some(PromptCopy { from: self.backend.facts.address, tokens: missing, cost_tokens })
    }
}

impl PromptCopy {
    /// The cost of a request with this copy, which had `cost` without.
    pub(super) fn reduce(self, cost: WorkCost) -> WorkCost {
        let rest = |tokens: u32| tokens.saturating_sub(self.tokens) + self.cost_tokens;
        WorkCost { tokens: cost.tokens.map(rest), ..cost }
    }
}
