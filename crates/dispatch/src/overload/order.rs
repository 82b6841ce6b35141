//! The order in which queued requests are placed.
//!
//! The load pattern: more requests wait than can be served in time, and some of them are late
//! whatever is decided. A slot that goes to a late request makes a timely one late too, so that at
//! twice the capacity hardly any request is in time.

use {
    super::routes::RouteActivity,
    crate::{TicketId, WorkItem},
    gullglade_units::MonotonicTime,
};

/// A request counts as late if less than this share of its objective is left. An engine may have a
/// prefill backlog of 0.3 of the shortest objective ahead of a prompt, and the prefill of the
/// prompt itself and the way to the engine take the rest. A share is used instead of the expected
/// first byte because that depends on the engine, which is selected after the order is known.
const MIN_TIME_SHARE: f64 = 0.35;

/// The group of a request, in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Requests of a kind of which too few are placed. Without this tier strict priority leaves
    /// nothing to the less urgent kind.
    Starved,
    /// Requests that can meet their objective.
    Timely,
    /// Requests that will probably be late.
    Late,
}

/// Returns whether a request will probably be late.
pub(super) fn is_late(item: &WorkItem, now: MonotonicTime) -> bool {
    let objective = item.route.objective;
    (item.arrived + objective).since(now) < objective.mul_f64(MIN_TIME_SHARE)
}

/// The position of a request in the queue. Lower ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    tier: Tier,
    /// The priority of the workspace, otherwise of the route.
    priority: u8,
    is_past_objective: bool,
    /// Whether the workspace used more than its share.
    is_above_share: bool,
    route_priority: u8,
    arrived: MonotonicTime,
    ticket: TicketId,
}

impl QueueRank {
    /// Returns the rank without overload control: by priority, then requests that can still meet
    /// their objective, then arrival.
    pub(super) fn by_priority(item: &WorkItem, ticket: TicketId, now: MonotonicTime) -> Self {
        Self {
            tier: Tier::Timely,
            priority: item.priority(),
            is_past_objective: now > item.arrived + item.route.objective,
            is_above_share: false,
            route_priority: 0,
            arrived: item.arrived,
            ticket,
        }
    }

    /// Returns the rank under overload control.
    pub(super) fn under_control(
        item: &WorkItem,
        ticket: TicketId,
        activity: &RouteActivity,
        is_above_share: bool,
        now: MonotonicTime,
    ) -> Self {
        let route = &item.route;
        let tier = match is_late(item, now) {
            true => Tier::Late,
            false if activity.is_starved(route.priority) => Tier::Starved,
            false => Tier::Timely,
        };
        // A workspace without a priority of its own selects it with its routes. Beyond its share it
        // gets that of the least urgent route, as its urgent requests would otherwise take the
        // capacity for the less urgent requests of all others.
        let priority = match is_above_share && !item.has_own_priority() {
            true => activity.least_urgent(now).unwrap_or(route.priority),
            false => item.priority(),
        };
        Self {
            tier,
            priority,
            is_past_objective: false,
            is_above_share,
            route_priority: route.priority,
            arrived: item.arrived,
            ticket,
        }
    }
}
