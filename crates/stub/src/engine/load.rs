//! Load of an engine as it is, and as it is reported: late.

use {
    gullglade_backend::LoadReport,
    gullglade_units::MonotonicTime,
    std::{collections::VecDeque, time::Duration},
};

/// Changes closer together than this part of the lag are kept as one.
const COALESCE_PARTS: u32 = 16;

/// Reports the load as it was one lag ago.
#[derive(Debug)]
pub struct LaggedLoad {
    lag: Duration,
    reported: LoadReport,
    changes: VecDeque<(MonotonicTime, LoadReport)>,
}

impl LaggedLoad {
    /// Begins idle.
    pub fn new(lag: Duration) -> Self {
        Self { lag, reported: LoadReport::default(), changes: VecDeque::new() }
    }

    /// Notes that the load is `load` from `now` on.
    pub fn record(&mut self, now: MonotonicTime, load: LoadReport) {
        self.settle(now);
        if self.lag.is_zero() {
            self.reported = load;
            return;
        }
        match self.changes.back_mut() {
            Some((at, last)) if now.since(*at) < self.lag / COALESCE_PARTS => *last = load,
            _ => self.changes.push_back((now, load)),
        }
    }

    /// The load one lag before `now`.
    pub fn report(&mut self, now: MonotonicTime) -> LoadReport {
        self.settle(now);
        self.reported
    }

    fn settle(&mut self, now: MonotonicTime) {
        while let Some((at, load)) = self.changes.front() {
            if now.since(*at) < self.lag {
                break;
            }
            self.reported = *load;
            self.changes.pop_front();
        }
    }
}
