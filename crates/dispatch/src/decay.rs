//! Averages with exponential decay over time.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// Returns the rest of `value` after `age`.
pub(crate) fn decayed(value: f64, age: Duration, half_life: Duration) -> f64 {
    value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Parameters of a [`DecayingAverage`].
pub(crate) struct DecayRule {
    /// The weight of the newest sample.
    pub(crate) weight: f64,
    /// The time in which the average halves without new samples.
    pub(crate) half_life: Duration,
}

/// An exponentially weighted moving average that also decays to zero without samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingAverage {
    value: f64,
    /// When the last sample was added.
    at: MonotonicTime,
}

impl DecayingAverage {
    pub(crate) fn value(&self, rule: &DecayRule, now: MonotonicTime) -> f64 {
        decayed(self.value, now.since(self.at), rule.half_life)
    }

    pub(crate) fn note(&mut self, rule: &DecayRule, sample: f64, now: MonotonicTime) {
        let value = self.value(rule, now);
        *self = Self { value: value + rule.weight * (sample - value), at: now };
    }
}
