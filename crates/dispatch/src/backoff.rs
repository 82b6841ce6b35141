//! The back-off that a backend server requests when it rejects work.
//!
//! The load pattern: an overloaded backend server rejects within a millisecond, so it looks idle and
//! draws the work of every gateway. A gateway sends it nothing until the time that it stated is
//! over. Gateways that were rejected together would also resume together, so they resume one after
//! the other, each with one request first and more as requests are accepted.

use {
    crate::roster::GatewayPlace,
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    std::{fmt, time::Duration},
};

/// The longest back-off that is kept: a mistake of one backend server must not lose it for the day.
const LONGEST_BACKOFF: Duration = Duration::from_secs(600);

/// The time between two gateways that resume, in which one learns what the other has sent.
const START_SPACING: Duration = Duration::from_millis(10);

/// All gateways resume within this.
const LONGEST_SPREAD: Duration = Duration::from_secs(1);

/// A gateway that got no answer to its first requests after a back-off tries again after this.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// The slow start is over once so many requests were accepted after a back-off.
const ENOUGH_ACCEPTED: u32 = 8;

/// The slow start is over this long after a back-off in any case.
const SLOW_START_LIMIT: Duration = Duration::from_secs(5);

/// How long a backend server wants nothing from the gateway that it rejected, at most ten minutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedBackoff(Duration);

/// A number that is no time to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidBackoff(f64);

impl StatedBackoff {
    /// Counted from when the answer came.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for StatedBackoff {
    type Error = InvalidBackoff;

    /// From seconds.
    fn try_from(seconds: f64) -> Result<Self, InvalidBackoff> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(InvalidBackoff(seconds));
        }
        let backoff = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_BACKOFF);
        Ok(Self(backoff.min(LONGEST_BACKOFF)))
    }
}

impl fmt::Display for StatedBackoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_millis().fmt(f)
    }
}

impl FieldValue for StatedBackoff {}

impl fmt::Display for InvalidBackoff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no time to wait; it is a number of seconds, zero or more", self.0)
    }
}

impl std::error::Error for InvalidBackoff {}

/// The back-off that one run of a backend server has requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackoffRecord {
    /// The end of the back-off of this gateway.
    until: Option<MonotonicTime>,
    /// The end of the back-off of another gateway, which binds only that one.
    peer_until: Option<MonotonicTime>,
    start: SlowStart,
}

/// How far a gateway has resumed after a back-off.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStart {
    sent: u32,
    accepted: u32,
    last_sent: MonotonicTime,
}

impl BackoffRecord {
    /// Takes what an answer that came at `came` requests; whether the back-off ends later by it.
    ///
    /// Each answer counts by itself: a shorter time does not shorten what was requested before.
    pub(crate) fn note(&mut self, backoff: StatedBackoff, came: MonotonicTime) -> bool {
        let until = came + backoff.duration();
        if backoff.duration().is_zero() || self.until.is_some_and(|known| known >= until) {
            return false;
        }
        self.until = Some(until);
        self.start = SlowStart::default();
        true
    }

    /// Notes that another gateway backs off until `until`.
    pub(crate) fn note_peer(&mut self, until: MonotonicTime, now: MonotonicTime) {
        let until = until.min(now + LONGEST_BACKOFF);
        self.peer_until = self.peer_until.max(Some(until));
    }

    /// The end of the back-off of this gateway, while it lasts.
    pub(crate) fn until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.until.filter(|until| now < *until)
    }

    /// Whether this gateway or another one backs off.
    pub(crate) fn is_backed_off(&self, now: MonotonicTime) -> bool {
        self.until(now).is_some() || self.is_peer_backing_off(now)
    }

    /// Whether another gateway backs off.
    pub(crate) fn is_peer_backing_off(&self, now: MonotonicTime) -> bool {
        self.peer_until.is_some_and(|until| now < until)
    }

    /// When a gateway may next send, where it may not now; `place` finds its place among those of
    /// its region.
    pub(crate) fn wait(
        &self,
        place: impl FnOnce() -> GatewayPlace,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let until = self.until.filter(|until| now.since(*until) < SLOW_START_LIMIT)?;
        let SlowStart { sent, accepted, last_sent } = self.start;
        let next = match sent {
            0 => until + start_delay(place()),
            _ if sent <= accepted * 2 => now,
            _ => last_sent + TRIAL_PAUSE,
        };
        (next > now).then_some(next)
    }

    /// Notes a send of this gateway.
    pub(crate) fn note_send(&mut self, now: MonotonicTime) {
        if self.until.is_some() {
            self.start.sent += 1;
            self.start.last_sent = now;
        }
    }

    /// Notes that a request of this gateway was accepted.
    pub(crate) fn note_accepted(&mut self, now: MonotonicTime) {
        // What was sent before the rejection says nothing of the time after the back-off.
        if self.until.is_none_or(|until| now < until) || self.start.sent == 0 {
            return;
        }
        self.start.accepted += 1;
        if self.start.accepted >= ENOUGH_ACCEPTED {
            self.until = None;
            self.start = SlowStart::default();
        }
    }
}

/// How long after a back-off a gateway resumes.
fn start_delay(place: GatewayPlace) -> Duration {
    let GatewayPlace { rank, count } = place;
    let spread = START_SPACING.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
    spread.min(LONGEST_SPREAD).mul_f64(rank as f64 / count.max(1) as f64)
}
