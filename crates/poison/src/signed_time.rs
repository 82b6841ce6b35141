//! Process times that may lie before the start of the process.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// Time on the clock of this process in milliseconds; negative before its start.
///
/// A gateway that has just started receives crashes that are older than itself. On an unsigned
/// clock, they would all be clamped to zero and three crashes would count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTime(i64);

impl SignedTime {
    /// Returns the time `ago_ms` milliseconds before `now`.
    pub(crate) fn ago(now: MonotonicTime, ago_ms: u32) -> Self {
        Self(Self::from(now).0 - i64::from(ago_ms))
    }

    /// Returns the time `duration` before this one.
    pub(crate) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub(crate) fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(u64::try_from(self.0 - earlier.0).unwrap_or_default())
    }

    /// Returns the milliseconds elapsed since `earlier`, in the form used in messages.
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
