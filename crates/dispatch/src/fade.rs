//! Beliefs that lose weight with time.

use std::time::Duration;

/// What is left of `value` after `age`, where half of it goes in each `half_life`.
pub(crate) fn faded(value: f64, age: Duration, half_life: Duration) -> f64 {
    value * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
