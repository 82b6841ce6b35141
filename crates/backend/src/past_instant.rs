//! Moments of the past as another process tells them: by their age.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// A moment that may lie before the start of this process.
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

    /// The moment on this process's clock; its start where the moment lies before.
    pub(crate) fn to_local(&self) -> MonotonicTime {
        MonotonicTime(self.observed_at.0.saturating_sub(self.age_when_observed))
    }
}
