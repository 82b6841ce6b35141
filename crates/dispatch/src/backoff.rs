//! Back-off that a backend server requests when it rejects a request.
//!
//! The load pattern: an overloaded backend server rejects within a millisecond, so it looks idle
//! and attracts the requests of every gateway. A gateway sends it nothing until the requested time
//! has passed. Since gateways that were rejected together would also resume together, they resume
//! one after another, and each increases its rate as requests are accepted (slow start).

use {
    crate::membership::GatewayPosition,
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    std::{fmt, time::Duration},
};

/// Upper bound of a back-off, so that a faulty value does not disable a backend server for long.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// The time between the resumption of two gateways, in which the second one learns what the first
/// has sent.
const RESUME_SPACING: Duration = Duration::from_millis(10);

/// All gateways resume within this time.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// A gateway whose first requests after a back-off got no answer sends again after this time.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The number of accepted requests that ends the slow start.
const SLOW_START_ACCEPTS: u32 = 8;

/// The slow start ends this long after the back-off in any case.
const SLOW_START_LIMIT: Duration = Duration::from_secs(5);

/// The time for which a backend server wants no requests from the gateway that it rejected, at most
/// ten minutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedBackoff(Duration);

/// A number that is not a valid duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidBackoff(f64);

impl StatedBackoff {
    /// Returns the duration, which starts when the answer is received.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for StatedBackoff {
    type Error = InvalidBackoff;

    /// Converts a number of seconds.
    fn try_from(seconds: f64) -> Result<Self, InvalidBackoff> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(InvalidBackoff(seconds));
        }
        let backoff = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF);
        Ok(Self(backoff.min(MAX_BACKOFF)))
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
        write!(
            f,
            "{} is not a valid back-off; it has to be a number of seconds, zero or more",
            self.0
        )
    }
}

impl std::error::Error for InvalidBackoff {}

/// The back-off that one run of a backend server has requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct BackoffRecord {
    /// The end of the back-off requested of this gateway.
    until: Option<MonotonicTime>,
    /// The latest end of a back-off requested of another gateway. It does not bind this one.
    peer_until: Option<MonotonicTime>,
    slow_start: SlowStart,
}

/// The progress of the slow start after a back-off.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStart {
    sent: u32,
    accepted: u32,
    last_sent: MonotonicTime,
}

impl BackoffRecord {
    /// Records the back-off requested by an answer that was received at `received`. Returns whether
    /// it extends the current one.
    ///
    /// A later request for a shorter back-off does not shorten the current one.
    pub(crate) fn note(&mut self, backoff: StatedBackoff, received: MonotonicTime) -> bool {
        let until = received + backoff.duration();
        if backoff.duration().is_zero() || self.until.is_some_and(|known| known >= until) {
            return false;
        }
        self.until = Some(until);
        self.slow_start = SlowStart::default();
        true
    }

    /// Records that another gateway backs off until `until`.
    pub(crate) fn note_peer(&mut self, until: MonotonicTime, now: MonotonicTime) {
        let until = until.min(now + MAX_BACKOFF);
        self.peer_until = self.peer_until.max(Some(until));
    }

    /// Returns the end of the back-off of this gateway while it lasts.
    pub(crate) fn until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.until.filter(|until| now < *until)
    }

    /// Returns whether this or another gateway backs off.
    pub(crate) fn is_backed_off(&self, now: MonotonicTime) -> bool {
        self.until(now).is_some() || self.is_peer_backing_off(now)
    }

    /// Returns whether another gateway backs off.
    pub(crate) fn is_peer_backing_off(&self, now: MonotonicTime) -> bool {
        self.peer_until.is_some_and(|until| now < until)
    }

    /// Returns when this gateway may send again, or `None` if it may send now. `position` returns
    /// its position among the gateways of the region.
    pub(crate) fn next_send(
        &self,
        position: impl FnOnce() -> GatewayPosition,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let until = self.until.filter(|until| now.since(*until) < SLOW_START_LIMIT)?;
        let SlowStart { sent, accepted, last_sent } = self.slow_start;
        let next = match sent {
            0 => until + resume_delay(position()),
            _ if sent <= accepted * 2 => now,
            _ => last_sent + PROBE_INTERVAL,
        };
        (next > now).then_some(next)
    }

    /// Records that this gateway sends a request.
    pub(crate) fn note_send(&mut self, now: MonotonicTime) {
        if self.until.is_some() {
            self.slow_start.sent += 1;
            self.slow_start.last_sent = now;
        }
    }

    /// Records that a request of this gateway was accepted.
    pub(crate) fn note_accepted(&mut self, now: MonotonicTime) {
        // Answers to requests that were sent before the rejection do not count for the slow start.
        if self.until.is_none_or(|until| now < until) || self.slow_start.sent == 0 {
            return;
        }
        self.slow_start.accepted += 1;
        if self.slow_start.accepted >= SLOW_START_ACCEPTS {
            self.until = None;
            self.slow_start = SlowStart::default();
        }
    }
}

/// Returns the time between the end of a back-off and the resumption of a gateway.
fn resume_delay(position: GatewayPosition) -> Duration {
    let GatewayPosition { rank, count } = position;
    let spread = RESUME_SPACING.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
    spread.min(MAX_SPREAD).mul_f64(rank as f64 / count.max(1) as f64)
}
