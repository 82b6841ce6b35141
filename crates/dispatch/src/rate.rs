//! The rate of sends to one backend server, divided among gateways.
//!
//! The load patterns:
//!
//! - A failure domain comes back after an outage, and all gateways send it the work that waits. A
//!   cold backend server bears a few requests a second from all of them together and crashes well
//!   above that.
//! - A backend server in need states with its answers how many requests a second it takes, and
//!   gets the same work as before from every gateway that was not told.
//!
//! The gateways do not ask each other; each takes a fixed part of the rate by its rank among the
//! gateways that may send, so that the parts never add up to more than the whole.

use {
    crate::{StatedLimit, roster::GatewayPlace},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The span in which sends to a cold backend server are counted: a second, and the time by which a
/// gateway that stands still may bring two sends closer together than they were decided.
const COLD_SPAN: Duration = Duration::from_millis(1_350);

/// The part of a cold rate that is used. The rest covers gateways that do not yet know each other.
const COLD_SHARE: f64 = 0.7;

/// The span in which sends under a stated limit are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// A lower limit than one send in this span is none at all.
const LONGEST_SPAN: Duration = Duration::from_secs(3_600);

/// How many sends in any span a backend server may get from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateBound {
    sends: usize,
    span: Duration,
}

impl RateBound {
    /// That of a cold backend server which bears so many requests a second.
    pub(crate) fn cold(per_second: f64) -> Self {
        Self { sends: (per_second * COLD_SHARE).floor().max(1.0) as usize, span: COLD_SPAN }
    }

    /// That of a backend server which states a limit.
    pub(crate) fn stated(limit: StatedLimit) -> Self {
        let per_second = limit.per_second();
        let sends = (per_second * LIMIT_SPAN.as_secs_f64()).floor() as usize;
        let slow = Duration::try_from_secs_f64(1.0 / per_second);
        match slow.ok().filter(|span| sends == 0 && *span <= LONGEST_SPAN) {
            Some(span) => Self { sends: 1, span },
            None => Self { sends, span: LIMIT_SPAN },
        }
    }

    /// How many of the sends in each span are the part of a gateway.
    pub(crate) fn part(&self, place: GatewayPlace) -> usize {
        let GatewayPlace { rank, count } = place;
        self.sends / count + usize::from(rank < self.sends % count)
    }
}

/// Sends of this gateway to one backend server.
///
/// They are spaced evenly. A gateway that stands still between the decision and the write, as a
/// batch-scheduled process under load does for tenths of a second, would otherwise put the whole
/// of one span right before the whole of the next.
#[derive(Debug, Default)]
pub(crate) struct RateGate {
    last: Option<MonotonicTime>,
}

impl RateGate {
    /// When the next send fits into `part` of the sends in each span of `bound`; `None` where no
    /// send ever does.
    pub(crate) fn next_send(&self, part: usize, bound: &RateBound) -> Option<MonotonicTime> {
        let pace = bound.span.checked_div(u32::try_from(part).unwrap_or(u32::MAX))?;
        Some(self.last.map_or(MonotonicTime::default(), |last| last + pace))
    }

    /// Notes a send.
    pub(crate) fn note(&mut self, now: MonotonicTime) {
        self.last = Some(now);
    }
}
