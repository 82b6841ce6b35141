//! The slots of one model and who waits for them.

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

/// Virtual time units of one unit of cost at a share of one.
const CHARGE_SCALE: f64 = 1_024.0;

/// A workspace is over its share when it asks for more than this many times its part of what all ask for.
/// Shares are never stated exactly, and the fair queue alone is enough for those who are somewhat above.
const OVER_SHARE: f64 = 8.0;

/// A workspace that sent fewer requests lately (see [`DecayedSum`]) is never over its share: one person's
/// session may be far more than the share of a workspace that is seldom used.
const FEW_REQUESTS: f64 = 20.0;

/// Idle flows beyond this many and beyond those that wait are forgotten.
const IDLE_FLOWS: usize = 1_024;

/// Weight of a new sample in the average time a permit is held.
const HOLD_WEIGHT: f64 = 0.05;

/// Where a waiting request is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaiterPlace {
    pub(crate) flow: FlowId,
    pub(crate) key: WaiterKey,
}

/// A flow's number within its pool.
pub(crate) type FlowId = u64;

/// Counts of one pool since its start. Always `arrived = granted + refused + cancelled + waiting`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Requests that came.
    pub arrived: u64,
    /// Requests that got a permit.
    pub granted: u64,
    /// Requests refused: not run.
    pub refused: u64,
    /// Requests whose callers gave up while they waited: not run.
    pub cancelled: u64,
    /// Requests that wait now.
    pub waiting: u64,
    /// Permits out now.
    pub running: u64,
}

/// How many requests of a model may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLimits {
    /// Permits that may be out.
    pub permits: u32,
    /// Permits that may be out when another is given to a workspace over its share. What lies between is
    /// kept free, so that the others find a slot at once.
    pub over_share: u32,
}

type FlowKey = (AdmissionPriority, WorkspaceName);

type FlowOrder = (Reverse<AdmissionPriority>, u64, FlowId);

/// One model.
pub(crate) struct Pool {
    pub(crate) limits: PoolLimits,
    pub(crate) counts: PoolCounts,
    hold: f64,
    virtual_now: u64,
    next_sequence: u64,
    next_flow: FlowId,
    ids: HashMap<FlowKey, FlowId>,
    flows: HashMap<FlowId, Flow>,
    known_shares: f64,
    demand: DecayedSum,
    ready: BTreeSet<FlowOrder>,
    held: BTreeSet<(MonotonicTime, FlowId)>,
    held_waiting: u64,
    by_length: BTreeSet<(usize, FlowId)>,
}

impl Pool {
    pub(crate) fn new(hold: Duration) -> Self {
        Self {
            limits: PoolLimits::default(),
            counts: PoolCounts::default(),
            hold: hold.as_secs_f64(),
            virtual_now: 0,
            next_sequence: 0,
            next_flow: 0,
            ids: HashMap::new(),
            flows: HashMap::new(),
            known_shares: 0.0,
            demand: DecayedSum::default(),
            ready: BTreeSet::new(),
            held: BTreeSet::new(),
            held_waiting: 0,
            by_length: BTreeSet::new(),
        }
    }

    /// Whether a request may start.
    fn has_room(&self) -> bool {
        self.counts.running < u64::from(self.limits.permits)
    }

    /// Whether a request of a workspace over its share may start.
    fn has_spare(&self) -> bool {
        self.counts.running < u64::from(self.limits.over_share)
    }

    /// The time a new request of this workspace would wait. Within its share this is the lesser of a
    /// turn behind everybody within theirs and a turn behind its own requests at its fair part of the
    /// slots; over its share only its part of the slots counts.
    pub(crate) fn expected_wait(
        &self,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
        now: MonotonicTime,
    ) -> Duration {
        let flow = self.flow(workspace, priority);
        let own = flow.map_or(0, |flow| flow.waiters.len()) as f64 + 1.0;
        if let Some(flow) = flow.filter(|flow| !self.has_spare() && self.is_over(flow, now)) {
            return flow.next_start.since(now) + seconds(own * self.hold / self.part(flow));
        }
        let waiting = self.counts.waiting.saturating_sub(self.held_waiting) as f64;
        if self.has_room() && waiting < 1.0 {
            return Duration::ZERO;
        }
        let flows = self.ready.len().max(1) as f64;
        let turns = (waiting + 1.0).min(own * flows);
        seconds(turns * self.hold / f64::from(self.limits.permits.max(1)))
    }

    /// Whether `workspace` has used more than its share.
    pub(crate) fn is_over_share(
        &self,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
        now: MonotonicTime,
    ) -> bool {
        self.flow(workspace, priority).is_some_and(|flow| self.is_over(flow, now))
    }

    fn flow(&self, workspace: &WorkspaceName, priority: AdmissionPriority) -> Option<&Flow> {
        let id = self.ids.get(&(priority, workspace.clone()))?;
        self.flows.get(id)
    }

    /// Whether a flow asks for far more than its part of what all ask for. Demand is compared with demand,
    /// not with the slots: where everybody wants more than there is, nobody is over the share.
    fn is_over(&self, flow: &Flow, now: MonotonicTime) -> bool {
        let fair = self.share_part(flow) * self.demand.at(now);
        flow.demand.at(now) > FEW_REQUESTS.max(OVER_SHARE * fair)
    }

    /// A flow's part of the shares of all workspaces that were here lately.
    fn share_part(&self, flow: &Flow) -> f64 {
        flow.share / self.known_shares.max(flow.share)
    }

    /// The slots that a flow over its share may use for ever.
    fn part(&self, flow: &Flow) -> f64 {
        (self.share_part(flow) * f64::from(self.limits.permits)).max(MIN_PART)
    }

    /// Notes that a request has come, whatever becomes of it: a workspace whose requests are refused asks
    /// for as much as before.
    pub(crate) fn note_demand(&mut self, request: &AdmissionRequest, now: MonotonicTime) {
        let id = self.flow_id(request);
        self.demand.add(now, 1.0);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        flow.demand.add(now, 1.0);
        self.known_shares += request.checked_share() - flow.share;
        flow.share = request.checked_share();
    }

    /// Puts a request into the queue.
    pub(crate) fn push(
        &mut self,
        request: &AdmissionRequest,
        sender: WaiterSender,
        now: MonotonicTime,
    ) -> WaiterPlace {
        let id = self.flow_id(request);
        let deadline = request.deadline.unwrap_or(MonotonicTime(Duration::MAX));
        let key = WaiterKey { deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        let virtual_now = self.virtual_now;
        self.change(id, now, |flow| {
            if flow.waiters.is_empty() {
                flow.start = flow.start.max(virtual_now);
            }
            flow.waiters.insert(key, Waiter { charge: charge(request), sender });
        });
        self.counts.arrived += 1;
        self.counts.waiting += 1;
        WaiterPlace { flow: id, key }
    }

    /// Takes out the request whose turn it is, where there is room for it, and its flow.
    pub(crate) fn grant_next(&mut self, now: MonotonicTime) -> Option<(FlowId, Waiter)> {
        if !self.has_room() {
            return None;
        }
        self.free_earned(now);
        let id = self.next_turn()?;
        let pause = self.flows.get(&id).map(|flow| seconds(self.hold / self.part(flow)))?;
        let virtual_now = self.virtual_now;
        let (start, waiter) = self.change(id, now, |flow| {
            let (_, waiter) = flow.waiters.pop_first()?;
            let start = flow.start.max(virtual_now);
            flow.start = start.saturating_add(waiter.charge);
            flow.next_start = flow.next_start.max(now) + pause;
            flow.running += 1;
            Some((start, waiter))
        })??;
        self.virtual_now = start;
        self.counts.waiting -= 1;
        self.counts.granted += 1;
        self.counts.running += 1;
        Some((id, waiter))
    }

    /// Lets flows whose time has come wait with the others again.
    fn free_earned(&mut self, now: MonotonicTime) {
        while let Some((_, id)) = self.held.first().copied().filter(|(until, _)| *until <= now) {
            self.change(id, now, |_| ());
        }
    }

    /// Whose turn it is: flows within their share first, and where there is room to spare the one whose
    /// time comes first.
    fn next_turn(&self) -> Option<FlowId> {
        let ready = self.ready.first().map(|(_, _, id)| *id);
        let held = self.held.first().map(|(_, id)| *id).filter(|_| self.has_spare());
        ready.or(held)
    }

    /// Takes a permit of this flow back that was held for `time`.
    pub(crate) fn release(&mut self, id: FlowId, time: Duration, now: MonotonicTime) {
        self.change(id, now, |flow| flow.running = flow.running.saturating_sub(1));
        self.counts.running = self.counts.running.saturating_sub(1);
        self.hold += HOLD_WEIGHT * (time.as_secs_f64() - self.hold);
    }

    /// Time until everything that waits now has started.
    pub(crate) fn drain_time(&self) -> Duration {
        let slots = f64::from(self.limits.permits.max(1));
        seconds(self.counts.waiting as f64 * self.hold / slots)
    }

    /// Takes out one request that is refused or cancelled; its flow is not charged.
    pub(crate) fn remove(&mut self, place: WaiterPlace, now: MonotonicTime) -> Option<Waiter> {
        let waiter = self.change(place.flow, now, |flow| flow.waiters.remove(&place.key))??;
        self.counts.waiting -= 1;
        Some(waiter)
    }

    /// Takes out the last request of the workspace that has the most waiting.
    pub(crate) fn push_out(&mut self, now: MonotonicTime) -> Option<(WorkspaceName, Waiter)> {
        let (_, id) = *self.by_length.last()?;
        let flow = self.flows.get(&id)?;
        let workspace = flow.workspace.clone();
        let key = *flow.waiters.last_key_value()?.0;
        let waiter = self.remove(WaiterPlace { flow: id, key }, now)?;
        Some((workspace, waiter))
    }

    fn flow_id(&mut self, request: &AdmissionRequest) -> FlowId {
        let key = (request.priority, request.workspace.clone());
        if let Some(id) = self.ids.get(&key) {
            return *id;
        }
        self.forget_idle();
        let id = self.next_flow;
        self.next_flow += 1;
        self.flows.insert(id, Flow::new(request, self.virtual_now));
        self.known_shares += request.checked_share();
        self.ids.insert(key, id);
        id
    }

    /// Idle flows that have paid for what they used are as good as new ones; forgetting them bounds
    /// the memory by the workspaces in use and not by those ever seen.
    fn forget_idle(&mut self) {
        if self.flows.len() < 2 * self.by_length.len() + IDLE_FLOWS {
            return;
        }
        let virtual_now = self.virtual_now;
        let idle = |flow: &Flow| !flow.is_active() && flow.start <= virtual_now;
        self.flows.retain(|_, flow| !idle(flow));
        self.known_shares = self.flows.values().map(|flow| flow.share).sum();
        let flows = &self.flows;
        self.ids.retain(|_, id| flows.contains_key(id));
    }

    /// Changes a flow and keeps the orders in step with it.
    fn change<T>(
        &mut self,
        id: FlowId,
        now: MonotonicTime,
        work: impl FnOnce(&mut Flow) -> T,
    ) -> Option<T> {
        let mut flow = self.flows.remove(&id)?;
        self.unlist(id, &flow);
        let result = work(&mut flow);
        self.list(id, &mut flow, now);
        self.flows.insert(id, flow);
        Some(result)
    }

    fn unlist(&mut self, id: FlowId, flow: &Flow) {
        if flow.waiters.is_empty() {
            return;
        }
        self.by_length.remove(&(flow.waiters.len(), id));
        match flow.held_until {
            None => _ = self.ready.remove(&(Reverse(flow.priority), flow.start, id)),
            Some(until) => {
                self.held.remove(&(until, id));
                self.held_waiting -= flow.waiters.len() as u64;
            }
        }
    }

    fn list(&mut self, id: FlowId, flow: &mut Flow, now: MonotonicTime) {
        if flow.waiters.is_empty() {
            return;
        }
        self.by_length.insert((flow.waiters.len(), id));
        flow.held_until = self.held_until(flow, now);
        match flow.held_until {
            None => _ = self.ready.insert((Reverse(flow.priority), flow.start, id)),
            Some(until) => {
                self.held.insert((until, id));
                self.held_waiting += flow.waiters.len() as u64;
            }
        }
    }

    /// Until when a flow over its share has to wait.
    fn held_until(&self, flow: &Flow, now: MonotonicTime) -> Option<MonotonicTime> {
        (flow.next_start > now && self.is_over(flow, now)).then_some(flow.next_start)
    }
}

/// The least slots that a flow may use for ever: what is waited for must come.
const MIN_PART: f64 = 0.01;

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.min(MAX_WAIT))
}

/// The longest wait that is ever stated, seconds.
const MAX_WAIT: f64 = 3_600.0;

fn charge(request: &AdmissionRequest) -> u64 {
    (f64::from(request.cost.max(1)) * CHARGE_SCALE / request.checked_share()) as u64
}
