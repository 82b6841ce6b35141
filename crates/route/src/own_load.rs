//! Tracks a gateway's own requests at one engine, now and at the time of the engine's report.

use {
    crate::OwnLoad,
    gullglade_units::MonotonicTime,
    std::{collections::VecDeque, time::Duration},
};

/// Changes in the history; a report is assumed to include all older ones.
const HISTORY_LIMIT: usize = 64;

#[derive(Clone, Copy, Debug)]
struct LoadChange {
    time: MonotonicTime,
    active: i8,
    prefill_tokens: i64,
}

/// Counts of a gateway's own requests at one engine, with a short history. The history allows
/// correcting an old report by the requests started and finished since.
#[derive(Clone, Debug, Default)]
pub struct OwnLoadTracker {
    active: u32,
    prefill_tokens: u32,
    history: VecDeque<LoadChange>,
}

impl OwnLoadTracker {
    /// Records that a request with `tokens` uncached prompt tokens was sent.
    pub fn started(&mut self, now: MonotonicTime, tokens: u32) {
        self.change(now, 1, i64::from(tokens));
    }

    /// Records the first token of a request that was sent with `tokens` uncached prompt tokens.
    pub fn first_token(&mut self, now: MonotonicTime, tokens: u32) {
        self.change(now, 0, -i64::from(tokens));
    }

    /// Records the end of a request after its first token.
    pub fn finished(&mut self, now: MonotonicTime) {
        self.change(now, -1, 0);
    }

    /// Returns the load now, and at the time of a report of this age.
    pub fn load(&self, now: MonotonicTime, age: Duration) -> OwnLoad {
        let report_time = MonotonicTime(now.0.saturating_sub(age));
        let mut active = i64::from(self.active);
        let mut tokens = i64::from(self.prefill_tokens);
        for change in self.history.iter().rev().take_while(|c| c.time > report_time) {
            active -= i64::from(change.active);
            tokens -= change.prefill_tokens;
        }
        OwnLoad {
            active: self.active,
            active_at_report: clamp_u32(active),
            prefill_tokens: self.prefill_tokens,
            prefill_tokens_at_report: clamp_u32(tokens),
        }
    }

    fn change(&mut self, time: MonotonicTime, active: i8, prefill_tokens: i64) {
        self.active = clamp_u32(i64::from(self.active) + i64::from(active));
        self.prefill_tokens = clamp_u32(i64::from(self.prefill_tokens) + prefill_tokens);
        if self.history.len() == HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back(LoadChange { time, active, prefill_tokens });
    }
}

fn clamp_u32(value: i64) -> u32 {
    u32::try_from(value.max(0)).unwrap_or(u32::MAX)
}
