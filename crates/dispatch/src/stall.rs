//! Since when a request that is read now may have been on its way.
//!
//! The load pattern: a gateway stands still while its callers go on sending, and reads at once what
//! was sent over seconds. Taken for requests of now, these would allow repeats of now.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// How late a check is while the process only has much to do.
const USUAL_DELAY: Duration = Duration::from_millis(300);

/// Notices from checks at regular times that the process has stood still.
#[derive(Debug)]
pub struct StallDetector {
    interval: Duration,
    last_check: Option<MonotonicTime>,
    stall: Option<StallSpan>,
}

/// The last time that the process stood still.
#[derive(Clone, Copy, Debug)]
struct StallSpan {
    began: MonotonicTime,
    /// What came meanwhile is read by then: the process has run for as long as it stood still.
    read_by: MonotonicTime,
}

impl StallDetector {
    /// A watch over a process that checks at this interval.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_check: None, stall: None }
    }

    /// Checks; for how long the process has stood still, if it has.
    pub fn check(&mut self, now: MonotonicTime) -> Option<Duration> {
        let last = self.last_check.replace(now);
        let last = last.filter(|last| self.is_overdue(*last, now))?;
        let began = self.sent_since(last);
        self.stall = Some(StallSpan { began, read_by: now + now.since(began) });
        Some(now.since(last))
    }

    /// The earliest time at which a request that is read now may have been sent. Of a process that
    /// was never checked nothing is known, and that is `now`.
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
