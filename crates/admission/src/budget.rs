//! Token-bucket budget for retries.

use {
    gullglade_units::MonotonicTime,
    std::{cell::RefCell, time::Duration},
};

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries allowed per first attempt. Default 0.1.
    pub ratio: f64,
    /// Retries per second that are allowed without any traffic. Default 1.
    pub min_rate: f64,
    /// Maximum number of retries that can accumulate. Default 10.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, min_rate: 1.0, burst: 10.0 }
    }
}

#[derive(Debug)]
struct BucketState {
    tokens: f64,
    last_refill: MonotonicTime,
}

/// Retry budget of one service.
///
/// When all backend servers of a service fail at once, each retry adds load to the remaining ones
/// and makes them fail too; the attempts then outnumber the requests. The budget limits the
/// attempts to the requests times one plus the ratio.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    state: RefCell<BucketState>,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings, now: MonotonicTime) -> Self {
        let state = BucketState { tokens: settings.burst, last_refill: now };
        Self { settings, state: RefCell::new(state) }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&self, now: MonotonicTime) {
        self.refill(now, self.settings.ratio);
    }

    /// Consumes one retry and returns true, or returns false if the budget is exhausted.
    pub fn try_retry(&self, now: MonotonicTime) -> bool {
        self.refill(now, 0.0);
        let mut state = self.state.borrow_mut();
        let allowed = state.tokens >= 1.0;
        if allowed {
            state.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the time until the next retry is allowed if no further request arrives.
    pub fn retry_after(&self, now: MonotonicTime) -> Duration {
        self.refill(now, 0.0);
        let deficit = (1.0 - self.state.borrow().tokens).max(0.0);
        Duration::from_secs_f64((deficit / self.settings.min_rate.max(1e-3)).min(60.0))
    }

    fn refill(&self, now: MonotonicTime, tokens: f64) {
        let mut state = self.state.borrow_mut();
        let elapsed = now.since(state.last_refill).as_secs_f64();
        state.last_refill = now.max(state.last_refill);
        let sum = state.tokens + tokens + elapsed * self.settings.min_rate;
        state.tokens = sum.min(self.settings.burst);
    }
}
