//! How often work may be sent again.
//!
//! The load pattern: a service answers slowly or with errors, each gateway repeats, and the
//! repeats keep the service down. All gateways together may repeat a fixed part of the requests
//! of a window. Each keeps to that part of its own requests, which adds up, and takes an equal
//! part of the fixed allowance on top.

use {
    gullglade_units::MonotonicTime,
    std::{collections::VecDeque, time::Duration},
};

/// Of each allowance this much is used: the counts of the gateways end a little apart in time.
const USED_SHARE: f64 = 0.7;

/// Repeats and requests of one service in the last window.
#[derive(Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
}

/// What became of a request to a [`RepeatBudget`], and by which counts of its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatDecision {
    /// Whether the repeat may be sent.
    pub is_granted: bool,
    /// Requests that came to this gateway.
    pub requests: usize,
    /// Repeats of this gateway before this one.
    pub repeats: usize,
    /// Gateways that share the allowance, as this one believes.
    pub gateways: usize,
}

impl RepeatBudget {
    /// A budget in which repeats in any `window` are at most `ratio` of the requests, and `slack`
    /// more for all gateways together.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self { window, ratio, slack, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes a request that came for the first time.
    pub fn note_request(&mut self, now: MonotonicTime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, where there is one left for one of `gateways`.
    pub fn take(&mut self, gateways: usize, now: MonotonicTime) -> RepeatDecision {
        self.expire(now);
        let own = self.ratio * self.requests.len() as f64;
        let shared = self.slack / gateways.max(1) as f64;
        let repeats = self.repeats.len();
        let is_granted = (repeats + 1) as f64 <= USED_SHARE * (own + shared);
        if is_granted {
            self.repeats.push_back(now);
        }
        RepeatDecision { is_granted, requests: self.requests.len(), repeats, gateways }
    }

    fn expire(&mut self, now: MonotonicTime) {
        let window = self.window;
        let is_old = |at: &MonotonicTime| now.since(*at) >= window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
