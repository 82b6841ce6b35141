//! The request rate limit that a backend server states while its capacity is reduced.

use {
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// A limit that was not confirmed for this long may have been lifted, and is probed.
const PROBE_DELAY: Duration = Duration::from_secs(10);

/// The time between the probes of two gateways.
const PROBE_SPACING: Duration = Duration::from_secs(4);

/// A limit on the requests per second that a backend server takes from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct StatedLimit(f64);

/// A number that is not a valid rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidLimit(f64);

impl StatedLimit {
    /// Returns the limit in requests per second, which is zero or more.
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
        write!(
            f,
            "{} is not a valid limit; it has to be a number of requests per second, zero or more",
            self.0
        )
    }
}

impl std::error::Error for InvalidLimit {}

/// The limit that one backend server stated last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitRecord {
    limit: Option<StatedLimit>,
    /// When the answer with this statement was received.
    received: MonotonicTime,
}

impl LimitRecord {
    /// Returns the limit in force.
    pub(crate) fn limit(&self) -> Option<StatedLimit> {
        self.limit
    }

    /// Returns when the answer with the latest statement was received.
    pub(crate) fn received(&self) -> MonotonicTime {
        self.received
    }

    /// Returns when a gateway without a share of the limit may send a request to learn whether the
    /// limit is still stated. Gateways do so one after another, in the order of their `rank`.
    pub(crate) fn next_probe(&self, rank: usize) -> MonotonicTime {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.received + PROBE_DELAY + PROBE_SPACING.saturating_mul(rank)
    }

    /// Records the limit stated in an answer that was received at `received`. Returns whether it
    /// differs from the previous one. Older answers are ignored.
    pub(crate) fn note(&mut self, limit: Option<StatedLimit>, received: MonotonicTime) -> bool {
        if received < self.received {
            return false;
        }
        self.received = received;
        std::mem::replace(&mut self.limit, limit) != limit
    }
}
