//! Fleet-wide retry budget.
//!
//! The load pattern: a service answers slowly or with errors, each gateway repeats requests, and
//! the repeats keep the service overloaded. All gateways together may repeat a fixed ratio of the
//! requests of a window, plus a fixed allowance. No gateway knows the counts of the others, and
//! callers move between gateways as these come and go.

use {
    crate::AllowanceShare,
    gullglade_units::MonotonicTime,
    std::{collections::VecDeque, time::Duration},
};

/// The share of the limit that is used. The rest covers requests that are counted at a different
/// time than they were sent, and repeats that arrive later than allowed for.
const USABLE_SHARE: f64 = 0.85;

/// The repeats and requests of one service in one run of a gateway.
///
/// In a window, all gateways together are allowed `ratio` times the requests of that window or of
/// the one before it, whichever are more. The latest repeats of two gateways happen at different
/// moments, so their latest windows cannot be summed to a common window. The mean of a window and
/// the one before it can be summed, and never exceeds the larger of the two. So each run limits its
/// repeats since any moment to half of `ratio` times its requests since one window before that
/// moment.
///
/// The limit applies to arrivals, and a repeat arrives at some time between its grant and its
/// [settlement](Self::settle). It counts in each window that begins before it is settled, so it
/// cannot arrive in a window without having been counted there, however long it is delayed.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    /// The requests and the grants of the last window.
    requests: VecDeque<MonotonicTime>,
    grants: VecDeque<MonotonicTime>,
    request_count: u64,
    granted_count: u64,
    settled_count: u64,
    /// Settlement times of repeats with unknown arrival, in ascending order.
    unknown: VecDeque<MonotonicTime>,
    /// An entry for each window that begins at a settlement: its time, and the number of repeats
    /// settled before it minus those earned by requests older than a window at that time. Ascending
    /// in both; entries of earlier windows with more room are dropped.
    window_starts: VecDeque<(MonotonicTime, f64)>,
}

/// The answer of a [`RepeatBudget`], with the counts that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatDecision {
    /// Whether the repeat may be sent.
    pub is_granted: bool,
    /// Requests of this gateway in the window.
    pub requests: usize,
    /// Repeats that this gateway was granted in the window so far.
    pub repeats: usize,
    /// The number of parts into which the allowance is divided.
    pub parts: usize,
}

/// Describes whether sends of a finished request may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatArrival {
    /// All sends have arrived or never will.
    Past,
    /// A send may arrive later.
    Unknown,
}

impl RepeatArrival {
    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Past => "past",
            Self::Unknown => "unknown",
        }
    }
}

impl RepeatBudget {
    /// Creates a budget that limits repeats in any `window` to `ratio` times the requests, plus
    /// `slack` for all gateways together.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            requests: VecDeque::new(),
            grants: VecDeque::new(),
            request_count: 0,
            granted_count: 0,
            settled_count: 0,
            unknown: VecDeque::new(),
            window_starts: VecDeque::new(),
        }
    }

    /// Records a new request that may have been sent as early as `sent`.
    pub fn note_request(&mut self, sent: MonotonicTime, now: MonotonicTime) {
        let latest = self.requests.back().copied();
        self.requests.push_back(latest.map_or(sent, |latest| sent.max(latest)));
        self.request_count += 1;
        self.expire(now);
    }

    /// Takes one repeat if one is left, given this gateway's `share` of the allowance. A granted
    /// repeat has to be [settled](Self::settle).
    pub fn take(&mut self, share: &AllowanceShare, now: MonotonicTime) -> RepeatDecision {
        let decision = self.peek(share, now);
        if decision.is_granted {
            self.granted_count += 1;
            self.grants.push_back(now);
        }
        decision
    }

    /// Settles a granted repeat. One of unknown arrival counts for another window.
    pub fn settle(&mut self, arrival: RepeatArrival, now: MonotonicTime) {
        self.expire(now);
        match arrival {
            RepeatArrival::Past => self.note_settled(now),
            RepeatArrival::Unknown => self.unknown.push_back(now + self.window),
        }
    }

    fn note_settled(&mut self, now: MonotonicTime) {
        let balance = self.balance();
        self.settled_count += 1;
        while self.window_starts.back().is_some_and(|(_, later)| *later >= balance) {
            self.window_starts.pop_back();
        }
        self.window_starts.push_back((now, balance));
    }

    /// Returns whether [`take`](Self::take) would grant a repeat now.
    pub fn peek(&mut self, share: &AllowanceShare, now: MonotonicTime) -> RepeatDecision {
        self.expire(now);
        let balance = self.balance();
        let least = self.window_starts.front().map_or(balance, |(_, oldest)| oldest.min(balance));
        let slack = USABLE_SHARE * share.part(self.slack, self.window, now);
        let taken = (self.granted_count + 1) as f64 - self.earned(self.request_count);
        RepeatDecision {
            is_granted: taken - least <= slack,
            requests: self.requests.len(),
            repeats: self.grants.len(),
            parts: share.parts(),
        }
    }

    /// Returns the earliest time at which [`take`](Self::take) grants a repeat if no further
    /// requests or repeats are counted, or `None` if it never does.
    pub fn next_grant(
        &mut self,
        share: &AllowanceShare,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let window = self.window;
        self.expire(now);
        let kept = self.window_starts.iter().map(|(at, _)| *at + window);
        let unknown = self.unknown.iter().flat_map(|at| [*at, *at + window]);
        let mut times: Vec<_> = kept.chain(unknown).chain(share.known_at(window)).collect();
        times.push(now);
        times.sort();
        times.dedup();
        times.into_iter().find(|at| *at >= now && self.clone().peek(share, *at).is_granted)
    }

    /// Returns the value to store for a window that begins now.
    fn balance(&self) -> f64 {
        let earlier = self.request_count - self.requests.len() as u64;
        self.settled_count as f64 - self.earned(earlier)
    }

    /// Returns the repeats earned by this number of requests in either of two adjacent windows.
    fn earned(&self, requests: u64) -> f64 {
        USABLE_SHARE * self.ratio / 2.0 * requests as f64
    }

    fn expire(&mut self, now: MonotonicTime) {
        let window = self.window;
        let is_old = |at: &MonotonicTime| now.since(*at) >= window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.grants.front().is_some_and(is_old) {
            self.grants.pop_front();
        }
        while self.unknown.front().is_some_and(|at| *at <= now) {
            self.unknown.pop_front();
            self.note_settled(now);
        }
        while self.window_starts.front().is_some_and(|(at, _)| is_old(at)) {
            self.window_starts.pop_front();
        }
    }
}
