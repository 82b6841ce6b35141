//! Times of this process that may lie before its start.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// A time in milliseconds on this process's clock; negative before its start.
///
/// A gateway that has just started is told of ends that are older than itself. On a clock that
/// cannot go below its start they would all fall together at 0, and three ends would count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTime(i64);

impl SignedTime {
    /// The time that was `ago_ms` milliseconds before `now`.
    pub(crate) fn ago(now: MonotonicTime, ago_ms: u32) -> Self {
        Self(Self::from(now).0 - i64::from(ago_ms))
    }

    /// The time that was so long before this.
    pub(crate) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)))
    }

    /// The time from `earlier` to this, or zero where `earlier` is later.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(u64::try_from(self.0 - earlier.0).unwrap_or_default())
    }

    /// The same in whole milliseconds, as it is told to other processes.
    pub(crate) fn millis_since(self, earlier: Self) -> u32 {
        u32::try_from(self.0 - earlier.0).unwrap_or(if self < earlier { 0 } else { u32::MAX })
    }
}

impl From<MonotonicTime> for SignedTime {
    fn from(time: MonotonicTime) -> Self {
        Self(i64::try_from(time.0.as_millis()).unwrap_or(i64::MAX))
    }
}

impl std::ops::Add<Duration> for SignedTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)))
    }
}
