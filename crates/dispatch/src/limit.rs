//! The limit that a backend server states while it can take little.

use {
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A limit of which nothing was heard for this long may have been lifted.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// The time between the trials of two gateways.
const TRIAL_SPACING: Duration = Duration::from_secs(4);

/// The requests a second that a backend server takes from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct StatedLimit(f64);

/// A number that is no rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidLimit(f64);

impl StatedLimit {
    /// Requests a second, zero or more.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for StatedLimit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then_some(Self(per_second)).ok_or(InvalidLimit(per_second))
    }
}

impl From<StatedLimit> for f64 {
    fn from(limit: StatedLimit) -> f64 {
        limit.0
    }
}

impl fmt::Display for StatedLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FieldValue for StatedLimit {}

impl fmt::Display for InvalidLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no rate; a limit is a number of requests a second, zero or more", self.0)
    }
}

impl std::error::Error for InvalidLimit {}

/// What one backend server said last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitRecord {
    limit: Option<StatedLimit>,
    /// When the answer came that said so.
    came: MonotonicTime,
}

impl LimitRecord {
    /// The limit in force.
    pub(crate) fn limit(&self) -> Option<StatedLimit> {
        self.limit
    }

    /// When the answer came that said so.
    pub(crate) fn came(&self) -> MonotonicTime {
        self.came
    }

    /// When a gateway may send though it has no part of the limit, to learn whether it is still
    /// stated: once nothing was heard of it for long, one gateway after the other by `rank`.
    pub(crate) fn trial(&self, rank: usize) -> MonotonicTime {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.came + TRIAL_PAUSE + TRIAL_SPACING.saturating_mul(rank)
    }

    /// Takes what an answer that came at `came` says; whether that is another limit than before.
    pub(crate) fn note(&mut self, limit: Option<StatedLimit>, came: MonotonicTime) -> bool {
        if came < self.came {
            return false;
        }
        self.came = came;
        std::mem::replace(&mut self.limit, limit) != limit
    }
}
