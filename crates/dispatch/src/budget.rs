//! How often work may be sent again.
//!
//! The load pattern: a service answers slowly or with errors, each gateway repeats, and the
//! repeats keep the service down. All gateways together may repeat a fixed part of the requests
//! of a window, and have a fixed allowance on top. No gateway knows the counts of the others, and
//! callers move between gateways as these come and go.

use {
    crate::AllowanceShare,
    gullglade_units::MonotonicTime,
    std::{collections::VecDeque, time::Duration},
};

/// The used part of what is allowed. The rest covers requests that are counted at another moment
/// than that at which they were sent, and repeats that arrive even later than allowed for.
const USED_SHARE: f64 = 0.85;

/// Repeats and requests of one service at one run of a gateway.
///
/// Allowed in a window are `ratio` of the requests of that window or of the one before it,
/// whichever are more, over all gateways. The last repeats of two gateways lie at different
/// moments, so their own last windows do not add up to any one window. What does add up is the
/// mean of a window and the one before it, which is never more than the larger of the two: a run
/// keeps the repeats since any moment within half of `ratio` of its requests since one window
/// before that moment.
///
/// Bounded are arrivals, and a repeat arrives at some moment between its grant and its
/// [settlement](Self::settle). It counts in each window that begins before it is settled: whatever
/// holds it up, it cannot arrive in a window without having counted there.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    /// Those of the last window.
    requests: VecDeque<MonotonicTime>,
    grants: VecDeque<MonotonicTime>,
    request_count: u64,
    granted_count: u64,
    settled_count: u64,
    /// When repeats of unknown arrival are settled. Ascending.
    unknown: VecDeque<MonotonicTime>,
    /// For windows that begin when a repeat is settled: when, and how many were settled before,
    /// less those that the requests of more than a window before allowed. Ascending; of windows
    /// that begin earlier and have more room nothing is kept.
    begins: VecDeque<(MonotonicTime, f64)>,
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
    /// The parts into which the allowance is divided.
    pub parts: usize,
}

/// What is known of the sends of a request when its repeat is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatArrival {
    /// Each of them has arrived, or never will.
    Past,
    /// One of them may arrive later.
    Unknown,
}

impl RepeatArrival {
    /// Its label in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Past => "past",
            Self::Unknown => "unknown",
        }
    }
}

impl RepeatBudget {
    /// A budget in which repeats in any `window` are at most `ratio` of the requests, and `slack`
    /// more for all gateways together.
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
            begins: VecDeque::new(),
        }
    }

    /// Notes a request that came for the first time, and may have been sent at `sent` already.
    pub fn note_request(&mut self, sent: MonotonicTime, now: MonotonicTime) {
        let latest = self.requests.back().copied();
        self.requests.push_back(latest.map_or(sent, |latest| sent.max(latest)));
        self.request_count += 1;
        self.expire(now);
    }

    /// Takes one repeat, where there is one left, with `share` of the common allowance. It has to
    /// be [settled](Self::settle) later.
    pub fn take(&mut self, share: &AllowanceShare, now: MonotonicTime) -> RepeatDecision {
        let decision = self.look(share, now);
        if decision.is_granted {
            self.granted_count += 1;
            self.grants.push_back(now);
        }
        decision
    }

    /// Settles a repeat that was taken. One of unknown arrival counts for another window.
    pub fn settle(&mut self, arrival: RepeatArrival, now: MonotonicTime) {
        self.expire(now);
        match arrival {
            RepeatArrival::Past => self.note_settled(now),
            RepeatArrival::Unknown => self.unknown.push_back(now + self.window),
        }
    }

    fn note_settled(&mut self, now: MonotonicTime) {
        let begin = self.begin();
        self.settled_count += 1;
        while self.begins.back().is_some_and(|(_, later)| *later >= begin) {
            self.begins.pop_back();
        }
        self.begins.push_back((now, begin));
    }

    /// Whether [`take`](Self::take) would grant a repeat now.
    pub fn look(&mut self, share: &AllowanceShare, now: MonotonicTime) -> RepeatDecision {
        self.expire(now);
        let begin = self.begin();
        let least = self.begins.front().map_or(begin, |(_, oldest)| oldest.min(begin));
        let slack = USED_SHARE * share.part(self.slack, self.window, now);
        let taken = (self.granted_count + 1) as f64 - self.earned(self.request_count);
        RepeatDecision {
            is_granted: taken - least <= slack,
            requests: self.requests.len(),
            repeats: self.grants.len(),
            parts: share.parts(),
        }
    }

    /// When [`take`](Self::take) will grant a repeat, where none is taken and no request comes
    /// before; `None` where that does not help.
    pub fn next_grant(
        &mut self,
        share: &AllowanceShare,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let window = self.window;
        self.expire(now);
        let kept = self.begins.iter().map(|(at, _)| *at + window);
        let unknown = self.unknown.iter().flat_map(|at| [*at, *at + window]);
        let mut times: Vec<_> = kept.chain(unknown).chain(share.known_at(window)).collect();
        times.push(now);
        times.sort();
        times.dedup();
        times.into_iter().find(|at| *at >= now && self.clone().look(share, *at).is_granted)
    }

    /// What is kept of a window that begins now.
    fn begin(&self) -> f64 {
        let earlier = self.request_count - self.requests.len() as u64;
        self.settled_count as f64 - self.earned(earlier)
    }

    /// The repeats that so many requests allow, of those in a window and in the one before it.
    fn earned(&self, requests: u64) -> f64 {
        USED_SHARE * self.ratio / 2.0 * requests as f64
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
        while self.begins.front().is_some_and(|(at, _)| is_old(at)) {
            self.begins.pop_front();
        }
    }
}
