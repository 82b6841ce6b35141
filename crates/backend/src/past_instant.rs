//! Instants in the past that other processes report by their age.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// An instant that may precede the start of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PastInstant {
    observed_at: MonotonicTime,
    age_when_observed: Duration,
}

impl PastInstant {
    pub(crate) fn new(now: MonotonicTime, age: Duration) -> Self {
        Self { observed_at: now, age_when_observed: age }
    }

    pub(crate) fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.observed_at).saturating_add(self.age_when_observed)
    }

    /// Converts to this process's clock. An instant before the start of the clock maps to the
    /// start.
    pub(crate) fn local_time(&self) -> MonotonicTime {
        MonotonicTime(self.observed_at.0.saturating_sub(self.age_when_observed))
    }
}
