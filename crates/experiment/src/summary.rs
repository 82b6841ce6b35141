//! What regions tell each other: one summary a region and tick.

use std::{cell::RefCell, collections::VecDeque};

/// What a region said at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SummarySample {
    pub(crate) time: f64,
    /// The time of the engines' reports that it sums up.
    pub(crate) known: f64,
    pub(crate) slots: u32,
    pub(crate) free_slots: u32,
    pub(crate) prefill_tokens: u32,
    pub(crate) prefill_rate: f64,
}

/// Summaries kept, one a tick: a minute's worth.
const SUMMARY_LIMIT: usize = 240;

/// The summaries of one region.
#[derive(Default)]
pub(crate) struct SummaryLog {
    samples: RefCell<VecDeque<SummarySample>>,
}

impl SummaryLog {
    pub(crate) fn push(&self, sample: SummarySample) {
        let mut samples = self.samples.borrow_mut();
        if samples.len() == SUMMARY_LIMIT {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// The newest summary up to `time` that `arrives` lets through.
    pub(crate) fn newest(&self, time: f64, arrives: impl Fn(f64) -> bool) -> Option<SummarySample> {
        let samples = self.samples.borrow();
        samples.iter().rev().find(|s| s.time <= time && arrives(s.time)).copied()
    }
}
