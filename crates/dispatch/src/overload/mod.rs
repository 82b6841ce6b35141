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
//! - [`shares`]: the use of engines by workspace.
//! - [`calendar`]: the times at which refused requests may return.
//!
//! While [`SchedulerSettings::overload_control`](crate::SchedulerSettings::overload_control) is
//! off, nothing is recorded and each decision is that of the other modules.

mod calendar;
pub(crate) mod limits;
pub(crate) mod order;
mod routes;
pub(crate) mod shares;
pub(crate) mod slots;

use {
    crate::{FullShare, TicketId, WorkItem},
    calendar::RetryCalendar,
    gullglade_units::{MonotonicTime, ServiceName},
    limits::{PlacementLimits, ShareStanding},
    order::QueueRank,
    routes::RouteActivity,
    shares::{WorkspaceShares, WorkspaceUse, workspace_hash},
    std::{collections::HashMap, time::Duration},
};

/// A service is short of capacity for this time after a request had to wait for it. A gateway gets
/// a long stream about twice a second, so the gaps between two waits are shorter during a shortage.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// A request that has waited for this share of its objective waits for long: 50 ms of 500 ms, twice
/// the delay of the hints by which a free slot becomes known.
const LONG_WAIT_SHARE: f64 = 0.1;

/// What overload control knows of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    activity: RouteActivity,
    shares: WorkspaceShares,
    calendar: RetryCalendar,
    /// When a request last had to wait for capacity.
    waited_at: Option<MonotonicTime>,
    /// When a request of a workspace within its share last waited for long.
    pressed_at: Option<MonotonicTime>,
}

impl ServiceState {
    fn is_short(&self, now: MonotonicTime) -> bool {
        self.waited_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME)
    }

    /// Returns whether workspaces within their share lack capacity.
    fn is_pressed(&self, now: MonotonicTime) -> bool {
        self.pressed_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME)
    }

    /// Returns how a workspace stands while workspaces within their share lack capacity because of
    /// others.
    fn standing(&self, item: &WorkItem, now: MonotonicTime) -> ShareStanding {
        if item.workspace.is_none() || !self.is_pressed(now) || !self.shares.has_above(now) {
            return ShareStanding::Equal;
        }
        match self.is_above_share(item, now) {
            true => ShareStanding::Above,
            false => ShareStanding::Within,
        }
    }

    fn is_above_share(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let workspace = item.workspace.as_ref();
        workspace.is_some_and(|workspace| self.shares.is_above(workspace_hash(workspace), now))
    }
}

/// The overload control of one gateway.
pub(crate) struct OverloadControl {
    is_on: bool,
    services: HashMap<ServiceName, ServiceState>,
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
        let Some(state) = self.state(&item.service) else { return };
        state.activity.note_submitted(item, now);
        if let Some(workspace) = &item.workspace {
            state.shares.note_quota(workspace, now);
        }
    }

    /// Records that a request waits for capacity.
    pub(crate) fn note_waiting(&mut self, item: &WorkItem, now: MonotonicTime) {
        let Some(state) = self.state(&item.service) else { return };
        state.waited_at = Some(now);
        if state.pressed_at == Some(now) {
            return;
        }
        let has_waited_long =
            now.since(item.arrived) > item.route.objective.mul_f64(LONG_WAIT_SHARE);
        if has_waited_long && item.workspace.is_some() && !state.is_above_share(item, now) {
            state.pressed_at = Some(now);
        }
    }

    /// Records that a request was sent or forwarded.
    pub(crate) fn note_placed(&mut self, item: &WorkItem, now: MonotonicTime) {
        let Some(state) = self.state(&item.service) else { return };
        if !order::is_late(item, now) {
            state.activity.note_placed(item.route.priority, now);
        }
    }

    /// Records the use of a request that is sent, whose prefill takes `prefill_ms` at an engine of
    /// `slots` slots. Returns the use if other gateways have to know it.
    pub(crate) fn note_own_use(
        &mut self,
        item: &WorkItem,
        prefill_ms: f64,
        slots: u32,
        now: MonotonicTime,
    ) -> Option<WorkspaceUse> {
        let state = self.state(&item.service)?;
        let workspace = workspace_hash(item.workspace.as_ref()?);
        let held_ms = state.activity.held(item.route.priority).as_secs_f64() * 1_000.0;
        let engine_ms = (prefill_ms + held_ms / f64::from(slots.max(1))).round() as u32;
        let used = WorkspaceUse { workspace, engine_ms };
        state.shares.note_use(used, now);
        state.is_short(now).then_some(used)
    }

    /// Records the use of a request that another gateway sent.
    pub(crate) fn note_peer_use(
        &mut self,
        service: &ServiceName,
        used: WorkspaceUse,
        now: MonotonicTime,
    ) {
        let Some(state) = self.state(service) else { return };
        state.shares.note_use(used, now);
    }

    /// Records for how long an answered request of this gateway held its slot.
    pub(crate) fn note_held(&mut self, service: &ServiceName, route_priority: u8, held: Duration) {
        let Some(state) = self.state(service) else { return };
        state.activity.note_held(route_priority, held);
    }

    /// Returns whether requests of this route hold their slot for so long that other gateways have
    /// to know when they end.
    pub(crate) fn holds_slot(&self, item: &WorkItem) -> bool {
        let state = self.services.get(&item.service);
        state.is_some_and(|s| s.activity.holds_slot(item.route.priority))
    }

    /// Returns the position of a request in the queue.
    pub(crate) fn rank(&self, item: &WorkItem, ticket: TicketId, now: MonotonicTime) -> QueueRank {
        match self.services.get(&item.service) {
            Some(state) => {
                let is_above_share = state.is_above_share(item, now);
                QueueRank::under_control(item, ticket, &state.activity, is_above_share, now)
            }
            None => QueueRank::by_priority(item, ticket, now),
        }
    }

    /// Returns the limits on what a request may use of an engine.
    pub(crate) fn limits(&self, item: &WorkItem, now: MonotonicTime) -> PlacementLimits {
        let state = self.services.get(&item.service);
        state.map_or_else(PlacementLimits::default, |s| {
            PlacementLimits::new(item, &s.activity, s.standing(item, now), now)
        })
    }

    /// Returns whether a request is refused as soon as it can no longer meet its objective. It is
    /// if it belongs to the most urgent of several kinds: the slots that its late answer would take
    /// are worth more to the others.
    pub(crate) fn refuses_late(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let priority = item.route.priority;
        self.services.get(&item.service).is_some_and(|s| {
            s.activity.has_less_urgent(priority, now) && !s.activity.is_less_urgent(priority, now)
        })
    }

    /// Returns the time after which a refused request may return, unless overload control is off.
    pub(crate) fn promise_retry(
        &mut self,
        item: &WorkItem,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let state = self.state(&item.service)?;
        state.waited_at = Some(now);
        let per_second = state.activity.placed_per_second(now);
        Some(state.calendar.promise(item, per_second, now))
    }

    /// Returns the share of the capacity that a request is confined to, if there is one.
    pub(crate) fn full_share(&self, item: &WorkItem, now: MonotonicTime) -> Option<FullShare> {
        let state = self.services.get(&item.service)?;
        if state.is_short(now) && state.is_above_share(item, now) {
            return Some(FullShare::Workspace);
        }
        self.limits(item, now).is_reserved.then_some(FullShare::Route)
    }

    /// Returns the number of workspaces that used more than their share of a service under
    /// shortage.
    pub(crate) fn workspaces_above_share(&self, now: MonotonicTime) -> usize {
        let short = self.services.values().filter(|state| state.is_short(now));
        short.map(|state| state.shares.count_above(now)).sum()
    }

    /// Returns the state of a service, or `None` if overload control is off.
    fn state(&mut self, service: &ServiceName) -> Option<&mut ServiceState> {
        if !self.is_on {
            return None;
        }
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceState::default());
        }
        self.services.get_mut(service)
    }
}
