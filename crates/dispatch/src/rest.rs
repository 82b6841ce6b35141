//! The rest that a backend server asks a gateway for when it turns a request away.
//!
//! The load pattern: an overloaded backend server turns work away within a millisecond, so it looks
//! idle and draws the work of every gateway. Each gateway gives it the rest that it was asked for.
//! Gateways that were turned away together would also come back together, so they return one after
//! the other, and each with one request first and more as they are accepted.

use {
    crate::roster::GatewayPlace,
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    std::{fmt, time::Duration},
};

/// The longest rest that is given: a mistake of one backend server must not lose it for the day.
const LONGEST_REST: Duration = Duration::from_secs(600);

/// The time between the returns of two gateways: about as long as one takes to learn what the other
/// has sent.
const RETURN_SPACING: Duration = Duration::from_millis(10);

/// All gateways are back within this.
const LONGEST_RETURN: Duration = Duration::from_secs(1);

/// A gateway that got no answer to its first requests after a rest tries again after this.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// A gateway is back for good once so many of its requests were accepted after a rest.
const ENOUGH_ACCEPTED: u32 = 8;

/// A rest that ended this long ago says nothing any more.
const RETURN_MEMORY: Duration = Duration::from_secs(5);

/// How long a backend server wants nothing from the gateway that it told, at most ten minutes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedRest(Duration);

/// A number that is no time to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidRest(f64);

impl StatedRest {
    /// Counted from when the answer came.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for StatedRest {
    type Error = InvalidRest;

    /// From seconds.
    fn try_from(seconds: f64) -> Result<Self, InvalidRest> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(InvalidRest(seconds));
        }
        let rest = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_REST);
        Ok(Self(rest.min(LONGEST_REST)))
    }
}

impl fmt::Display for StatedRest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_millis().fmt(f)
    }
}

impl FieldValue for StatedRest {}

impl fmt::Display for InvalidRest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is no time to wait; it is a number of seconds, zero or more", self.0)
    }
}

impl std::error::Error for InvalidRest {}

/// The rest that one run of a backend server is owed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestRecord {
    /// The end of the rest that it asked this gateway for.
    until: Option<MonotonicTime>,
    /// The end of the rest that it asked another gateway for, which binds only that one.
    others_until: Option<MonotonicTime>,
    back: GradualReturn,
}

/// How far a gateway has come back after a rest.
#[derive(Clone, Copy, Debug, Default)]
struct GradualReturn {
    sent: u32,
    accepted: u32,
    last_sent: MonotonicTime,
}

impl RestRecord {
    /// Takes what an answer that came at `came` asks for; whether the rest ends later by it.
    ///
    /// Each answer is a debt of its own: one that asks for less does not shorten what was asked
    /// for before.
    pub(crate) fn note(&mut self, rest: StatedRest, came: MonotonicTime) -> bool {
        let until = came + rest.duration();
        if rest.duration().is_zero() || self.until.is_some_and(|known| known >= until) {
            return false;
        }
        self.until = Some(until);
        self.back = GradualReturn::default();
        true
    }

    /// Takes another gateway's word that it was asked for rest until `until`.
    pub(crate) fn note_told(&mut self, until: MonotonicTime, now: MonotonicTime) {
        let until = until.min(now + LONGEST_REST);
        self.others_until = self.others_until.max(Some(until));
    }

    /// The end of the rest that this gateway owes.
    pub(crate) fn until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.until.filter(|until| now < *until)
    }

    /// Whether it wants nothing from this gateway, or told another one so.
    pub(crate) fn is_resting(&self, now: MonotonicTime) -> bool {
        self.until(now).is_some() || self.is_told(now)
    }

    /// Whether another gateway owes it rest.
    pub(crate) fn is_told(&self, now: MonotonicTime) -> bool {
        self.others_until.is_some_and(|until| now < until)
    }

    /// When a gateway at `place` among those of its region may next send, where it may not now.
    pub(crate) fn wait(&self, place: GatewayPlace, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = self.until.filter(|until| now.since(*until) < RETURN_MEMORY)?;
        let GradualReturn { sent, accepted, last_sent } = self.back;
        let next = match sent {
            0 => until + return_delay(place),
            _ if sent <= accepted * 2 => now,
            _ => last_sent + TRIAL_PAUSE,
        };
        (next > now).then_some(next)
    }

    /// Whether a gateway still owes it rest, or has only begun to return.
    pub(crate) fn is_open(&self) -> bool {
        self.until.is_some()
    }

    /// Notes a send of this gateway.
    pub(crate) fn note_send(&mut self, now: MonotonicTime) {
        if self.until.is_some() {
            self.back.sent += 1;
            self.back.last_sent = now;
        }
    }

    /// Notes that a request of this gateway was accepted.
    pub(crate) fn note_accepted(&mut self, now: MonotonicTime) {
        // What was sent before the rejection says nothing of the time after the rest.
        if self.until.is_none_or(|until| now < until) || self.back.sent == 0 {
            return;
        }
        self.back.accepted += 1;
        if self.back.accepted >= ENOUGH_ACCEPTED {
            self.until = None;
            self.back = GradualReturn::default();
        }
    }
}

/// How long after a rest a gateway returns.
fn return_delay(place: GatewayPlace) -> Duration {
    let GatewayPlace { rank, count } = place;
    let spread = RETURN_SPACING.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
    spread.min(LONGEST_RETURN).mul_f64(rank as f64 / count.max(1) as f64)
}
