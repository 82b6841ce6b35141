//! Permits of one model and the flows that wait for them, scheduled by start-time fair queueing.

use {
    crate::{
        AdmissionPriority, AdmissionRequest,
        flow::{DecayedSum, Flow, Waiter, WaiterKey, WaiterSender},
    },
    gullglade_units::{MonotonicTime, WorkspaceName},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Units of virtual time per unit of cost at a share of one.
const VIRTUAL_TIME_SCALE: f64 = 1_024.0;

/// A workspace is over its share if its demand exceeds its fair part of the total demand by more
/// than this factor. Shares are only roughly configured, and fair queueing alone handles workspaces
/// that are slightly over.
const OVER_SHARE_FACTOR: f64 = 8.0;

/// A workspace with less recent demand than this (see [`DecayedSum`]) is never over its share: one
/// user's session may exceed the share of a workspace that is rarely used.
const MIN_OVER_SHARE_DEMAND: f64 = 20.0;

/// Number of flows, in addition to twice the waiting ones, above which idle flows are removed.
const IDLE_FLOW_LIMIT: usize = 1_024;

/// Smoothing factor of the moving average of the holding time.
const HOLDING_TIME_SMOOTHING: f64 = 0.05;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaiterId {
    pub(crate) flow: FlowId,
    pub(crate) key: WaiterKey,
}

/// Number of a flow within its pool.
pub(crate) type FlowId = u64;

/// Counters of one pool since its start. `arrived = granted + refused + cancelled + waiting` always
/// holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that got a permit.
    pub granted: u64,
    /// Requests refused, which did not run.
    pub refused: u64,
    /// Requests cancelled by their callers while queued, which did not run.
    pub cancelled: u64,
    /// Requests queued now.
    pub waiting: u64,
    /// Permits held now.
    pub running: u64,
}

/// Limits on the running requests of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of permits.
    pub permits: u32,
    /// Maximum number of permits up to which a workspace over its share gets another one. The rest
    /// is reserved, so that other workspaces find a free slot at once.
    pub over_share: u32,
}

type FlowKey = (AdmissionPriority, WorkspaceName);

type ReadyKey = (Reverse<AdmissionPriority>, u64, FlowId);

/// Permits and queues of one model.
pub(crate) struct Pool {
    pub(crate) limits: PoolLimits,
    pub(crate) counts: PoolCounts,
    mean_holding_time: f64,
    virtual_time: u64,
    next_sequence: u64,
    next_flow_id: FlowId,
    flow_ids: HashMap<FlowKey, FlowId>,
    flows: HashMap<FlowId, Flow>,
    total_share: f64,
    demand: DecayedSum,
    ready: BTreeSet<ReadyKey>,
    deferred: BTreeSet<(MonotonicTime, FlowId)>,
    deferred_waiting: u64,
    flows_by_length: BTreeSet<(usize, FlowId)>,
}

impl Pool {
    pub(crate) fn new(mean_holding_time: Duration) -> Self {
        Self {
            limits: PoolLimits::default(),
            counts: PoolCounts::default(),
            mean_holding_time: mean_holding_time.as_secs_f64(),
            virtual_time: 0,
            next_sequence: 0,
            next_flow_id: 0,
            flow_ids: HashMap::new(),
            flows: HashMap::new(),
            total_share: 0.0,
            demand: DecayedSum::default(),
            ready: BTreeSet::new(),
            deferred: BTreeSet::new(),
            deferred_waiting: 0,
            flows_by_length: BTreeSet::new(),
        }
    }

    /// Returns whether a request may start.
    fn has_free_permit(&self) -> bool {
        self.counts.running < u64::from(self.limits.permits)
    }

    /// Returns whether a request of a workspace over its share may start.
    fn has_spare_capacity(&self) -> bool {
        self.counts.running < u64::from(self.limits.over_share)
    }

    /// Estimates the wait of a new request of this workspace. Within its share, this is the shorter
    /// of the wait behind all requests of flows within their share and the wait behind its own
    /// requests at its fair part of the slots. Over its share, only its own part of the slots
    /// counts.
    pub(crate) fn expected_wait(
        &self,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
        now: MonotonicTime,
    ) -> Duration {
        let flow = self.flow(workspace, priority);
        let own_waiting = flow.map_or(0, |flow| flow.waiters.len()) as f64 + 1.0;
        if let Some(flow) =
            flow.filter(|flow| !self.has_spare_capacity() && self.exceeds_share(flow, now))
        {
            return flow.next_start.since(now)
                + seconds(own_waiting * self.mean_holding_time / self.sustained_slots(flow));
        }
        let waiting = self.counts.waiting.saturating_sub(self.deferred_waiting) as f64;
        if self.has_free_permit() && waiting < 1.0 {
            return Duration::ZERO;
        }
        let flows = self.ready.len().max(1) as f64;
        let requests_ahead = (waiting + 1.0).min(own_waiting * flows);
        seconds(requests_ahead * self.mean_holding_time / f64::from(self.limits.permits.max(1)))
    }

    /// Returns whether `workspace` is over its share.
    pub(crate) fn is_over_share(
        &self,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
        now: MonotonicTime,
    ) -> bool {
        self.flow(workspace, priority).is_some_and(|flow| self.exceeds_share(flow, now))
    }

    fn flow(&self, workspace: &WorkspaceName, priority: AdmissionPriority) -> Option<&Flow> {
        let id = self.flow_ids.get(&(priority, workspace.clone()))?;
        self.flows.get(id)
    }

    /// Returns whether a flow's demand far exceeds its fair part of the total demand. Demand is
    /// compared with demand and not with the slots: if every workspace wants more than there is,
    /// none is over its share.
    fn exceeds_share(&self, flow: &Flow, now: MonotonicTime) -> bool {
        let fair = self.share_fraction(flow) * self.demand.at(now);
        flow.demand.at(now) > MIN_OVER_SHARE_DEMAND.max(OVER_SHARE_FACTOR * fair)
    }

    /// Returns a flow's fraction of the shares of all recently active workspaces.
    fn share_fraction(&self, flow: &Flow) -> f64 {
        flow.share / self.total_share.max(flow.share)
    }

    /// Returns the number of slots that a flow over its share may use continuously.
    fn sustained_slots(&self, flow: &Flow) -> f64 {
        (self.share_fraction(flow) * f64::from(self.limits.permits)).max(MIN_SUSTAINED_SLOTS)
    }

    /// Records the demand of a request regardless of its outcome: a workspace whose requests are
    /// refused still has the same demand.
    pub(crate) fn record_demand(&mut self, request: &AdmissionRequest, now: MonotonicTime) {
        let id = self.flow_id(request);
        self.demand.add(now, 1.0);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.demand.add(now, 1.0);
        self.total_share += request.checked_share() - flow.share;
        flow.share = request.checked_share();
    }

    /// Queues a request.
    pub(crate) fn push(
        &mut self,
        request: &AdmissionRequest,
        sender: WaiterSender,
        now: MonotonicTime,
    ) -> WaiterId {
        let id = self.flow_id(request);
        let deadline = request.deadline.unwrap_or(MonotonicTime(Duration::MAX));
        let key = WaiterKey { deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        let virtual_time = self.virtual_time;
        self.update_flow(id, now, |flow| {
            if flow.waiters.is_empty() {
                flow.start_tag = flow.start_tag.max(virtual_time);
            }
            flow.waiters.insert(key, Waiter { virtual_cost: virtual_cost(request), sender });
        });
        self.counts.arrived += 1;
        self.counts.waiting += 1;
        WaiterId { flow: id, key }
    }

    /// Removes the next request in order if a permit is free, and returns it with its flow.
    pub(crate) fn grant_next(&mut self, now: MonotonicTime) -> Option<(FlowId, Waiter)> {
        if !self.has_free_permit() {
            return None;
        }
        self.release_deferred(now);
        let id = self.select_flow()?;
        let start_interval = self
            .flows
            .get(&id)
            .map(|flow| seconds(self.mean_holding_time / self.sustained_slots(flow)))?;
        let virtual_time = self.virtual_time;
        let (start_tag, waiter) = self.update_flow(id, now, |flow| {
            let (_, waiter) = flow.waiters.pop_first()?;
            let start_tag = flow.start_tag.max(virtual_time);
            flow.start_tag = start_tag.saturating_add(waiter.virtual_cost);
            flow.next_start = flow.next_start.max(now) + start_interval;
            flow.running += 1;
            Some((start_tag, waiter))
        })??;
        self.virtual_time = start_tag;
        self.counts.waiting -= 1;
        self.counts.granted += 1;
        self.counts.running += 1;
        Some((id, waiter))
    }

    /// Returns deferred flows whose start time has passed to the ready flows.
    fn release_deferred(&mut self, now: MonotonicTime) {
        while let Some((_, id)) = self.deferred.first().copied().filter(|(until, _)| *until <= now)
        {
            self.update_flow(id, now, |_| ());
        }
    }

    /// Selects the next flow: ready flows first, then the deferred flow with the earliest start
    /// time if there is spare capacity for workspaces over their share.
    fn select_flow(&self) -> Option<FlowId> {
        let ready = self.ready.first().map(|(_, _, id)| *id);
        let deferred =
            self.deferred.first().map(|(_, id)| *id).filter(|_| self.has_spare_capacity());
        ready.or(deferred)
    }

    /// Returns a permit of this flow that was held for `time`.
    pub(crate) fn release(&mut self, id: FlowId, time: Duration, now: MonotonicTime) {
        self.update_flow(id, now, |flow| flow.running = flow.running.saturating_sub(1));
        self.counts.running = self.counts.running.saturating_sub(1);
        self.mean_holding_time +=
            HOLDING_TIME_SMOOTHING * (time.as_secs_f64() - self.mean_holding_time);
    }

    /// Estimates the time until every queued request has started.
    pub(crate) fn drain_time(&self) -> Duration {
        let slots = f64::from(self.limits.permits.max(1));
        seconds(self.counts.waiting as f64 * self.mean_holding_time / slots)
    }

    /// Removes one request that is refused or cancelled; its flow is not charged.
    pub(crate) fn remove(&mut self, id: WaiterId, now: MonotonicTime) -> Option<Waiter> {
        let waiter = self.update_flow(id.flow, now, |flow| flow.waiters.remove(&id.key))??;
        self.counts.waiting -= 1;
        Some(waiter)
    }

    /// Removes the request with the latest deadline from the longest flow.
    pub(crate) fn remove_from_longest(
        &mut self,
        now: MonotonicTime,
    ) -> Option<(WorkspaceName, Waiter)> {
        let (_, id) = *self.flows_by_length.last()?;
        let flow = self.flows.get(&id)?;
        let workspace = flow.workspace.clone();
        let key = *flow.waiters.last_key_value()?.0;
        let waiter = self.remove(WaiterId { flow: id, key }, now)?;
        Some((workspace, waiter))
    }

    fn flow_id(&mut self, request: &AdmissionRequest) -> FlowId {
        let key = (request.priority, request.workspace.clone());
        if let Some(id) = self.flow_ids.get(&key) {
            return *id;
        }
        self.remove_idle_flows();
        let id = self.next_flow_id;
        self.next_flow_id += 1;
        self.flows.insert(id, Flow::new(request, self.virtual_time));
        self.total_share += request.checked_share();
        self.flow_ids.insert(key, id);
        id
    }

    /// Removes idle flows whose start tag has been reached, as these are equivalent to new ones.
    /// This bounds the memory by the active workspaces instead of all workspaces ever seen.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() < 2 * self.flows_by_length.len() + IDLE_FLOW_LIMIT {
            return;
        }
        let virtual_time = self.virtual_time;
        let idle = |flow: &Flow| !flow.is_active() && flow.start_tag <= virtual_time;
        self.flows.retain(|_, flow| !idle(flow));
        self.total_share = self.flows.values().map(|flow| flow.share).sum();
        let flows = &self.flows;
        self.flow_ids.retain(|_, id| flows.contains_key(id));
    }

    /// Updates a flow and keeps the indexes consistent with it.
    fn update_flow<T>(
        &mut self,
        id: FlowId,
        now: MonotonicTime,
        update: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let mut flow = self.flows.remove(&id)?;
        self.remove_from_indexes(id, &flow);
        let result = update(&mut flow);
        self.add_to_indexes(id, &mut flow, now);
        self.flows.insert(id, flow);
        Some(result)
    }

    fn remove_from_indexes(&mut self, id: FlowId, flow: &Flow) {
        if flow.waiters.is_empty() {
            return;
        }
        self.flows_by_length.remove(&(flow.waiters.len(), id));
        match flow.deferred_until {
            None => _ = self.ready.remove(&(Reverse(flow.priority), flow.start_tag, id)),
            Some(until) => {
                self.deferred.remove(&(until, id));
                self.deferred_waiting -= flow.waiters.len() as u64;
            }
        }
    }

    fn add_to_indexes(&mut self, id: FlowId, flow: &mut Flow, now: MonotonicTime) {
        if flow.waiters.is_empty() {
            return;
        }
        self.flows_by_length.insert((flow.waiters.len(), id));
        flow.deferred_until = self.deferred_until(flow, now);
        match flow.deferred_until {
            None => _ = self.ready.insert((Reverse(flow.priority), flow.start_tag, id)),
            Some(until) => {
                self.deferred.insert((until, id));
                self.deferred_waiting += flow.waiters.len() as u64;
            }
        }
    }

    /// Returns the time until which a flow over its share is deferred.
    fn deferred_until(&self, flow: &Flow, now: MonotonicTime) -> Option<MonotonicTime> {
        (flow.next_start > now && self.exceeds_share(flow, now)).then_some(flow.next_start)
    }
}

/// Minimum of the slots that a flow may use continuously, so that every queued request starts
/// eventually.
const MIN_SUSTAINED_SLOTS: f64 = 0.01;

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.min(MAX_WAIT))
}

/// Maximum wait that is reported, in seconds.
const MAX_WAIT: f64 = 3_600.0;

fn virtual_cost(request: &AdmissionRequest) -> u64 {
    (f64::from(request.cost.max(1)) * VIRTUAL_TIME_SCALE / request.checked_share()) as u64
}
