//! When requests arrive and what they ask.

use {
    crate::load::plan::LoadPlan,
    gullglade_units::{RandomSource, SeededRandom},
    std::time::Duration,
};

/// Bytes of prompt text counted as one token by engines' estimate.
const BYTES_A_TOKEN: u64 = 4;

/// The half of a prompt that it shares with others of its beginning.
const SHARED_PARTS: u64 = 2;

/// One request to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedCall {
    /// When it arrives, since the start.
    pub(crate) at: Duration,
    /// The user's message.
    pub(crate) prompt: String,
    /// Tokens to answer with.
    pub(crate) tokens: u64,
    /// Whether to stream.
    pub(crate) stream: bool,
}

/// The requests of a plan, in order of arrival: a Poisson process of the plan's rate.
pub(crate) struct ArrivalSequence<'a> {
    plan: &'a LoadPlan,
    random: SeededRandom,
    at: Duration,
    number: u64,
}

impl<'a> ArrivalSequence<'a> {
    pub(crate) fn new(plan: &'a LoadPlan) -> Self {
        Self { plan, random: SeededRandom::new(plan.seed), at: Duration::ZERO, number: 0 }
    }

    fn prompt(&self) -> String {
        let bytes = self.plan.prompt_tokens * BYTES_A_TOKEN;
        let prefix = self.random.below(self.plan.prefixes.max(1));
        let shared = fill(&format!("site {prefix} "), bytes / SHARED_PARTS);
        let own = fill(&format!("call {} {} ", self.plan.seed, self.number), bytes / SHARED_PARTS);
        shared + &own
    }
}

impl Iterator for ArrivalSequence<'_> {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        let gap = -(1.0 - self.random.unit()).ln() / self.plan.rate;
        self.at += Duration::from_secs_f64(gap);
        if self.at >= self.plan.duration {
            return None;
        }
        self.number += 1;
        let stream = self.random.unit() < self.plan.stream_share;
        let prompt = self.prompt();
        Some(PlannedCall { at: self.at, prompt, tokens: self.plan.answer_tokens, stream })
    }
}

/// `unit` repeated to `bytes` bytes, at least once.
fn fill(unit: &str, bytes: u64) -> String {
    let times = usize::try_from(bytes).unwrap_or(0).div_ceil(unit.len()).max(1);
    unit.repeat(times)
}
