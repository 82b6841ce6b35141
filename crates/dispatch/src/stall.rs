//! Bounds the send time of requests that were read after a stall of the process.
//!
//! The load pattern: a gateway is stalled while its callers go on sending, and afterwards reads the
//! requests of several seconds at once. If these counted as sent at the time of reading, they would
//! earn repeats in the wrong window.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// The delay of a check that is usual on a busy process.
const USUAL_DELAY: Duration = Duration::from_millis(300);

/// Detects stalls of the process by the delay of periodic checks.
#[derive(Debug)]
pub struct StallDetector {
    interval: Duration,
    last_check: Option<MonotonicTime>,
    stall: Option<StallSpan>,
}

/// The latest stall.
#[derive(Clone, Copy, Debug)]
struct StallSpan {
    began: MonotonicTime,
    /// The time by which the requests of the stall are assumed to be read: the process has run for
    /// as long as it was stalled.
    read_by: MonotonicTime,
}

impl StallDetector {
    /// Creates a detector that is checked at this interval.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_check: None, stall: None }
    }

    /// Performs a check. Returns the length of the stall if there was one.
    pub fn check(&mut self, now: MonotonicTime) -> Option<Duration> {
        let last = self.last_check.replace(now);
        let last = last.filter(|last| self.is_overdue(*last, now))?;
        let began = self.sent_since(last);
        self.stall = Some(StallSpan { began, read_by: now + now.since(began) });
        Some(now.since(last))
    }

    /// Returns the earliest time at which a request that is read now may have been sent. Without
    /// any previous check this is `now`.
    pub fn sent_since(&self, now: MonotonicTime) -> MonotonicTime {
        match (self.stall, self.last_check) {
            (Some(stall), _) if now < stall.read_by => stall.began,
            (_, Some(last)) if self.is_overdue(last, now) => last,
            _ => now,
        }
    }

    fn is_overdue(&self, last: MonotonicTime, now: MonotonicTime) -> bool {
        now.since(last) > self.interval + USUAL_DELAY
    }
}
