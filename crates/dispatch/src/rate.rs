//! Rate limiting of sends to one backend server, divided among gateways.
//!
//! The load patterns:
//!
//! - A failure domain comes back after an outage, and all gateways send it their queued requests. A
//!   cold backend server tolerates a few requests per second from all of them together and crashes
//!   well above that.
//! - A backend server with reduced capacity states a limit in its answers, and would still get the
//!   same load from every gateway that has not seen the statement.
//!
//! The gateways do not coordinate. Each uses a fixed share of the rate by its rank among the
//! gateways that may send, so the shares never exceed the whole.

use {
    crate::{StatedLimit, membership::GatewayPosition},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The window for sends to a cold backend server: one second, plus the time by which a stalled
/// gateway may move two sends closer together.
const COLD_SPAN: Duration = Duration::from_millis(1_350);

/// The share of a cold rate that is used. The rest covers gateways that do not know each other yet.
const COLD_SHARE: f64 = 0.7;

/// The window for sends under a stated limit.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// A limit below one send in this time counts as zero.
const MAX_SPAN: Duration = Duration::from_secs(3_600);

/// The maximum number of sends to a backend server from all gateways together in any window of
/// length `span`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateBound {
    sends: usize,
    span: Duration,
}

impl RateBound {
    /// Creates the bound of a cold backend server that tolerates `per_second` requests per second.
    pub(crate) fn cold(per_second: f64) -> Self {
        Self { sends: (per_second * COLD_SHARE).floor().max(1.0) as usize, span: COLD_SPAN }
    }

    /// Creates the bound of a backend server that states a limit.
    pub(crate) fn stated(limit: StatedLimit) -> Self {
        let per_second = limit.per_second();
        let sends = (per_second * LIMIT_SPAN.as_secs_f64()).floor() as usize;
        let slow = Duration::try_from_secs_f64(1.0 / per_second);
        match slow.ok().filter(|span| sends == 0 && *span <= MAX_SPAN) {
            Some(span) => Self { sends: 1, span },
            None => Self { sends, span: LIMIT_SPAN },
        }
    }

    /// Returns the number of sends per window that a gateway may use.
    pub(crate) fn share(&self, position: GatewayPosition) -> usize {
        let GatewayPosition { rank, count } = position;
        self.sends / count + usize::from(rank < self.sends % count)
    }
}

/// Paces the sends of this gateway to one backend server.
///
/// Sends are evenly spaced. A gateway that stalls between the decision and the write, as a
/// batch-scheduled process under load does for tenths of a second, would otherwise put all sends of
/// one window right before those of the next.
#[derive(Debug, Default)]
pub(crate) struct SendPacer {
    last: Option<MonotonicTime>,
}

impl SendPacer {
    /// Returns when the next send is allowed with `share` sends per window of `bound`, or `None` if
    /// there is no share.
    pub(crate) fn next_send(&self, share: usize, bound: &RateBound) -> Option<MonotonicTime> {
        let interval = bound.span.checked_div(u32::try_from(share).unwrap_or(u32::MAX))?;
        Some(self.last.map_or(MonotonicTime::default(), |last| last + interval))
    }

    /// Records a send.
    pub(crate) fn note(&mut self, now: MonotonicTime) {
        self.last = Some(now);
    }
}
