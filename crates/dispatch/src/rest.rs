//! The rest that a backend server asks a gateway for when it turns a request away.

use {
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    std::{fmt, time::Duration},
};

/// The longest rest that is given: a mistake of one backend server must not lose it for the day.
const LONGEST_REST: Duration = Duration::from_secs(600);

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

/// The rest that one backend server is owed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestRecord {
    until: Option<MonotonicTime>,
}

impl RestRecord {
    /// Takes what an answer that came at `came` asks for; whether the rest ends later by it.
    ///
    /// Each answer is a debt of its own: one that asks for less does not shorten what was asked
    /// for before.
    pub(crate) fn note(&mut self, rest: StatedRest, came: MonotonicTime) -> bool {
        let until = came + rest.duration();
        let is_later = self.until.is_none_or(|known| known < until);
        if is_later {
            self.until = Some(until);
        }
        is_later && !rest.duration().is_zero()
    }
}
