//! Retry budgets.

use {
    gullglade_units::MonotonicTime,
    std::{cell::RefCell, time::Duration},
};

/// How many retries a service may make.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries for each first attempt. Default 0.1.
    pub ratio: f64,
    /// Retries in a second that are allowed whatever the traffic. Default 1.
    pub min_rate: f64,
    /// The most retries that may be saved up. Default 10.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, min_rate: 1.0, burst: 10.0 }
    }
}

#[derive(Debug)]
struct BudgetState {
    credit: f64,
    last: MonotonicTime,
}

/// The retries one service may still make.
///
/// When all backend servers of a service fail at once, each retry adds load to what is left and makes
/// it fail too; it shows as more attempts than requests. The budget bounds the attempts to the
/// requests times one plus the ratio.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    state: RefCell<BudgetState>,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetrySettings, now: MonotonicTime) -> Self {
        let state = BudgetState { credit: settings.burst, last: now };
        Self { settings, state: RefCell::new(state) }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&self, now: MonotonicTime) {
        self.add(now, self.settings.ratio);
    }

    /// Takes one retry out of the budget, where there is one.
    pub fn try_retry(&self, now: MonotonicTime) -> bool {
        self.add(now, 0.0);
        let mut state = self.state.borrow_mut();
        let allowed = state.credit >= 1.0;
        if allowed {
            state.credit -= 1.0;
        }
        allowed
    }

    /// Time until the next retry is allowed if no request comes.
    pub fn retry_after(&self, now: MonotonicTime) -> Duration {
        self.add(now, 0.0);
        let missing = (1.0 - self.state.borrow().credit).max(0.0);
        Duration::from_secs_f64((missing / self.settings.min_rate.max(1e-3)).min(60.0))
    }

    fn add(&self, now: MonotonicTime, credit: f64) {
        let mut state = self.state.borrow_mut();
        let elapsed = now.since(state.last).as_secs_f64();
        state.last = now.max(state.last);
        let sum = state.credit + credit + elapsed * self.settings.min_rate;
        state.credit = sum.min(self.settings.burst);
    }
}
