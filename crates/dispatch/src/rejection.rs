//! The rejection limit of a backend server, which ends when it rejects more requests than that.
//!
//! The load pattern: a full backend server rejects within a millisecond, so every gateway that
//! believes it to have room sends it another request, and in a burst all gateways do so at once. A
//! backend server may end over this, with all its running requests, and the others get its load.
//!
//! The gateways do not coordinate. Each fills its share of the slots, and the shares together never
//! exceed them. Beyond its share a gateway sends only its part of the rejection limit, and only
//! where a recent load report leaves room for one request of each other gateway, since these may
//! send at the same moment. A gateway that was rejected nevertheless pauses until its part of the
//! limit is available again.

use {
    crate::membership::GatewayPosition,
    gullglade_event::FieldValue,
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// The number of rejections within a second, to all gateways together, beyond which a backend
/// server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RejectionLimit(u32);

/// A number that is not a valid rejection limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidRejectionLimit(f64);

impl RejectionLimit {
    /// Returns the number of rejections per second.
    pub fn per_second(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for RejectionLimit {
    type Error = InvalidRejectionLimit;

    fn try_from(number: f64) -> Result<Self, InvalidRejectionLimit> {
        match number.is_finite() && number >= 0.0 {
            // A cast saturates.
            true => Ok(Self(number as u32)),
            false => Err(InvalidRejectionLimit(number)),
        }
    }
}

impl fmt::Display for RejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FieldValue for RejectionLimit {}

impl fmt::Display for InvalidRejectionLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is not a valid rejection limit; it has to be a number of rejections per second, zero or more",
            self.0
        )
    }
}

impl std::error::Error for InvalidRejectionLimit {}

/// The period to which a rejection limit applies.
const REJECTION_SPAN: Duration = Duration::from_secs(1);

/// The part of a rejection limit that is used. The rest covers requests in transit.
const USED_PART: f64 = 0.7;

/// The longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The time between two sends beyond the share of this gateway, in which the others learn of the
/// first one.
const SEND_SPACING: Duration = Duration::from_millis(25);

/// The room at a backend server, as known to a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRoom {
    pub(crate) slots: usize,
    /// Unfinished requests of this gateway.
    pub(crate) own: usize,
    /// Unfinished requests of all gateways, if there is a recent load report.
    pub(crate) total: Option<usize>,
}

/// Sends of one gateway to a backend server with a rejection limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RejectionGuard {
    rejected: Option<MonotonicTime>,
    sent: Option<MonotonicTime>,
}

impl RejectionGuard {
    /// Records a rejection.
    pub(crate) fn note_rejected(&mut self, now: MonotonicTime) {
        self.rejected = Some(now);
    }

    /// Records a send.
    pub(crate) fn note_send(&mut self, now: MonotonicTime) {
        self.sent = Some(now);
    }

    /// Returns whether this gateway may send a request to a backend server with this `room`.
    pub(crate) fn allows(
        &self,
        limit: RejectionLimit,
        room: KnownRoom,
        position: GatewayPosition,
        now: MonotonicTime,
    ) -> bool {
        let count = position.count.max(1);
        let pause = rejection_pause(limit, count);
        if self.rejected.is_some_and(|at| now.since(at) < pause) {
            return false;
        }
        let KnownRoom { slots, own, total } = room;
        let share = position.share_of(slots);
        if own < share {
            return true;
        }
        // If all other gateways fill their shares, the requests beyond the shares exceed the slots,
        // and as many requests are rejected.
        let excess = position.share_of((f64::from(limit.per_second()) * USED_PART) as usize);
        if own - share >= excess {
            return false;
        }
        let is_spaced = self.sent.is_none_or(|at| now.since(at) >= SEND_SPACING);
        is_spaced && total.is_some_and(|total| total + count <= slots)
    }
}

/// Returns the pause after a rejection with which `count` gateways together cause no more
/// rejections than the limit.
fn rejection_pause(limit: RejectionLimit, count: usize) -> Duration {
    let per_second = f64::from(limit.per_second()) * USED_PART / count as f64;
    match per_second > 0.0 {
        true => MAX_PAUSE.min(REJECTION_SPAN.div_f64(per_second)),
        false => MAX_PAUSE,
    }
}
