//! Overload control: the decisions on the requests of a service that has too little capacity.
//!
//! The load pattern: the offered load exceeds the capacity several times over, most of it from few
//! callers, and less is served in time than at a lower load. Each decision has a module of its own:
//!
//! - [`routes`]: which routes were seen lately, how urgent they are, and how many of their requests
//!   were placed.
//! - [`order`]: the order of the queue.
//! - [`limits`]: the prefill backlog and the slots that a request may use.
//! - [`slots`]: the slots that requests of other gateways hold.
//!
//! While [`SchedulerSettings::overload_control`](crate::SchedulerSettings::overload_control) is
//! off, nothing is recorded and each decision is that of the other modules.

pub(crate) mod limits;
pub(crate) mod order;
pub(crate) mod routes;
pub(crate) mod slots;

use {
    crate::{TicketId, WorkItem},
    gullglade_units::{MonotonicTime, ServiceName},
    limits::PlacementLimits,
    order::QueueRank,
    routes::RouteActivity,
    std::{collections::HashMap, time::Duration},
};

/// The overload control of one gateway.
pub(crate) struct OverloadControl {
    is_on: bool,
    services: HashMap<ServiceName, RouteActivity>,
}

impl OverloadControl {
    pub(crate) fn new(is_on: bool) -> Self {
        Self { is_on, services: HashMap::new() }
    }

    /// Returns whether overload control is switched on.
    pub(crate) fn is_on(&self) -> bool {
        self.is_on
    }

    /// Records that a request was queued.
    pub(crate) fn note_submitted(&mut self, item: &WorkItem, now: MonotonicTime) {
        if self.is_on {
            self.activity(&item.service).note_submitted(item, now);
        }
    }

    /// Records that a request was sent or forwarded.
    pub(crate) fn note_placed(&mut self, item: &WorkItem, now: MonotonicTime) {
        if self.is_on {
            self.activity(&item.service).note_placed(item.route.priority, now);
        }
    }

    /// Records for how long an answered request of this gateway held its slot.
    pub(crate) fn note_held(&mut self, service: &ServiceName, route_priority: u8, held: Duration) {
        if self.is_on {
            self.activity(service).note_held(route_priority, held);
        }
    }

    /// Returns whether requests of this route hold their slot for so long that other gateways have
    /// to know when they end.
    pub(crate) fn holds_slot(&self, item: &WorkItem) -> bool {
        self.services.get(&item.service).is_some_and(|a| a.holds_slot(item.route.priority))
    }

    /// Returns the position of a request in the queue.
    pub(crate) fn rank(&self, item: &WorkItem, ticket: TicketId, now: MonotonicTime) -> QueueRank {
        match self.services.get(&item.service) {
            Some(activity) => QueueRank::under_control(item, ticket, activity, now),
            None => QueueRank::by_priority(item, ticket, now),
        }
    }

    /// Returns the limits on what a request may use of an engine.
    pub(crate) fn limits(&self, item: &WorkItem, now: MonotonicTime) -> PlacementLimits {
        let activity = self.services.get(&item.service);
        activity.map_or_else(PlacementLimits::default, |a| PlacementLimits::new(item, a, now))
    }

    /// Returns whether a request is refused as soon as it can no longer meet its objective.
    pub(crate) fn refuses_late(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let activity = self.services.get(&item.service);
        activity.is_some_and(|a| a.has_less_urgent(item.route.priority, now))
            && !self.is_less_urgent(item, now)
    }

    fn is_less_urgent(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let activity = self.services.get(&item.service);
        activity.is_some_and(|a| a.is_less_urgent(item.route.priority, now))
    }

    fn activity(&mut self, service: &ServiceName) -> &mut RouteActivity {
        self.services.entry(service.clone()).or_default()
    }
}
