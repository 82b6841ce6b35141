//! Beliefs that lose weight with time.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// What is left of `value` after `age`, where half of it goes in each `half_life`.
pub(crate) fn faded(value: f64, age: Duration, half_life: Duration) -> f64 {
    value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// How a [`FadingAverage`] follows its samples.
pub(crate) struct FadeRule {
    /// The weight of the newest sample.
    pub(crate) weight: f64,
    /// The average halves in this time without a sample.
    pub(crate) half_life: Duration,
}

/// An average of samples, of which the newest count most, and which fades without any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FadingAverage {
    value: f64,
    /// When the last sample came.
    at: MonotonicTime,
}

impl FadingAverage {
    pub(crate) fn value(&self, rule: &FadeRule, now: MonotonicTime) -> f64 {
        faded(self.value, now.since(self.at), rule.half_life)
    }

    pub(crate) fn note(&mut self, rule: &FadeRule, sample: f64, now: MonotonicTime) {
        let value = self.value(rule, now);
        *self = Self { value: value + rule.weight * (sample - value), at: now };
    }
}
