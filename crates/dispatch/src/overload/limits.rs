//! What a request may use of an engine: the prefill backlog ahead of it, the inflow of prefill, and
//! the slots.
//!
//! The load pattern: long, less urgent streams hold their slots for seconds, and their prompts take
//! a tenth of a second of prefill each. An urgent request that arrives then either waits for longer
//! than its objective, or preempts a long stream whose prompt is prefilled again later. Engines
//! preempt only when their slots or their memory are full, so slots that are kept free prevent it.

use {
    super::routes::RouteActivity, crate::WorkItem, gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The prefill backlog ahead of a prompt, as a share of the shortest objective in use: 150 ms for
/// 500 ms. The rest is left for the wait at the gateway, the prefill itself and the way there.
const BACKLOG_SHARE: f64 = 0.3;

/// Bounds of the prefill backlog, milliseconds. Hints of other gateways take up to 20 ms and a
/// request a few more, so an engine with less backlog is idle between two prompts. The upper bound
/// is the backlog without overload control.
const BACKLOG_BOUNDS_MS: (f64, f64) = (50.0, 500.0);

/// The share of an engine's slots that less urgent routes leave free. It covers the urgent requests
/// that run, and those that other gateways send before they learn of each other's sends.
const RESERVED_SHARE: f64 = 0.4;

/// The number of values of [`PlacementLimits::group`].
pub(crate) const LIMIT_GROUPS: usize = 8;

/// The inflow of prefill work, as a share of an engine's time, from which on less urgent routes send
/// it no prompt. Decode and the prompts of urgent routes have the rest: an engine in prefill without
/// pause generates at a seventh of its pace, so its long streams hold their slots for so long that
/// none is left for urgent requests.
const MAX_PREFILL_INFLOW: f64 = 0.6;

/// The same for requests of workspaces that lack capacity because of others, which may use the
/// reserved slots.
const MAX_EXEMPT_INFLOW: f64 = 0.75;

/// The limits on what a request may use of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PlacementLimits {
    /// The prefill backlog from which on an engine gets no further requests, milliseconds, if it
    /// differs from the usual one.
    pub(crate) backlog_ms: Option<f64>,
    /// Whether a share of the slots is reserved for more urgent routes.
    pub(crate) is_reserved: bool,
    /// Whether the prefill of engines is reserved for more urgent routes.
    pub(crate) is_inflow_limited: bool,
    /// The priority to send with instead of that of the route, for a workspace that has no priority
    /// of its own and used more than its share.
    pub(crate) priority: Option<u8>,
}

/// The recent use of a workspace, compared to its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShareStanding {
    /// Nobody lacks capacity because of another workspace.
    Equal,
    /// The workspace is within its share and lacks capacity because of others.
    Within,
    /// The workspace is above its share, and others lack capacity.
    Above,
}

impl PlacementLimits {
    pub(super) fn new(
        item: &WorkItem,
        activity: &RouteActivity,
        standing: ShareStanding,
        now: MonotonicTime,
    ) -> Self {
        let (least, most) = BACKLOG_BOUNDS_MS;
        let backlog_ms = |objective: Duration| {
            (objective.as_secs_f64() * 1_000.0 * BACKLOG_SHARE).clamp(least, most)
        };
        let priority = item.route.priority;
        // The urgent requests of a workspace above its share would otherwise fill the slots that the
        // less urgent ones of the others may use, and interrupt those at the engine.
        let is_exempt = standing == ShareStanding::Within || activity.is_starved(priority);
        let is_less_urgent = activity.is_less_urgent(priority, now);
        let is_yielding = standing == ShareStanding::Above && !item.has_own_priority();
        Self {
            backlog_ms: activity.shortest_objective(now).map(backlog_ms),
            is_reserved: is_less_urgent && !is_exempt,
            is_inflow_limited: is_less_urgent && !activity.is_starved(priority),
            priority: is_yielding.then(|| activity.least_urgent(now)).flatten(),
        }
    }

    /// Returns an index of the limits by which requests of equal priority differ.
    pub(crate) fn group(&self) -> usize {
        usize::from(self.is_reserved)
            + 2 * usize::from(self.priority.is_some())
            + 4 * usize::from(self.is_inflow_limited)
    }

    /// Returns whether an engine with this inflow of prefill work takes the request.
    pub(crate) fn allows_inflow(&self, inflow_share: f64) -> bool {
        let limit = if self.is_reserved { MAX_PREFILL_INFLOW } else { MAX_EXEMPT_INFLOW };
        !self.is_inflow_limited || inflow_share < limit
    }

    /// Returns the number of the `slots` of an engine that the request may use.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        let reserved = if self.is_reserved { RESERVED_SHARE } else { 0.0 };
        // An engine of one or two slots still takes a less urgent request when it is idle.
        ((f64::from(slots) * (1.0 - reserved)).floor() as u32).max(1)
    }
}
