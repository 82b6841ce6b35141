//! The door of a gateway.

use {
    crate::{
        AdmissionPriority, AdmissionRefusal, AdmissionRequest, PoolCounts, PoolLimits,
        pool::{FlowId, Pool, WaiterPlace},
    },
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_units::{LocalFuture, ModelName, MonotonicTime, ProcessContext, WorkspaceName},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Bounds of the queue.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Requests of one model that may wait. Default 4,096.
    pub waiting_limit: usize,
    /// Models that may have a queue; a request for one more is refused. Default 1,024.
    pub model_limit: usize,
    /// How long a permit is held, until this is measured. Default 4 s.
    pub initial_holding_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            waiting_limit: 4_096,
            model_limit: 1_024,
            initial_holding_time: Duration::from_secs(4),
        }
    }
}

/// Lets requests in as slots allow. Cheap to clone; all clones are one queue.
#[derive(Clone)]
pub struct AdmissionQueue {
    shared: Rc<QueueShared>,
}

struct QueueShared {
    settings: AdmissionSettings,
    context: ProcessContext,
    pools: RefCell<HashMap<ModelName, Pool>>,
}

impl AdmissionQueue {
    /// A queue without capacity: everything waits until [`set_capacity`](Self::set_capacity).
    pub fn new(settings: AdmissionSettings, context: ProcessContext) -> Self {
        let pools = RefCell::new(HashMap::new());
        Self { shared: Rc::new(QueueShared { settings, context, pools }) }
    }

    /// States how many requests of `model` this gateway may have running at once, whoever they are of.
    pub fn set_capacity(&self, model: &ModelName, slots: u32) {
        self.set_limits(model, PoolLimits { permits: slots, over_share: slots });
    }

    /// States how many requests of `model` this gateway may have running at once.
    pub fn set_limits(&self, model: &ModelName, limits: PoolLimits) {
        self.shared.with_pool(model, |pool| pool.limits = limits);
        self.shared.grant(model);
    }

    /// Whether `workspace` has more than its share running; such work should not be sent away.
    pub fn is_over_share(
        &self,
        model: &ModelName,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
    ) -> bool {
        let pools = self.shared.pools.borrow();
        pools.get(model).is_some_and(|pool| pool.is_over_share(workspace, priority, self.now()))
    }

    /// The counts of `model`.
    pub fn counts(&self, model: &ModelName) -> PoolCounts {
        self.shared.pools.borrow().get(model).map(|pool| pool.counts).unwrap_or_default()
    }

    /// How long a new request of `workspace` would wait.
    pub fn expected_wait(
        &self,
        model: &ModelName,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
    ) -> Duration {
        let pools = self.shared.pools.borrow();
        pools
            .get(model)
            .map_or(Duration::ZERO, |pool| pool.expected_wait(workspace, priority, self.now()))
    }

    fn now(&self) -> MonotonicTime {
        self.shared.context.clock.now()
    }

    /// Waits for a slot. A refusal that can be known at once is answered at once. Dropping the future
    /// gives the place in the queue back, dropping the permit gives the slot back.
    pub fn acquire(
        &self,
        request: AdmissionRequest,
    ) -> LocalFuture<'static, Result<AdmissionPermit, AdmissionRefusal>> {
        let shared = self.shared.clone();
        Box::pin(async move { shared.acquire(request).await })
    }
}

impl QueueShared {
    fn with_pool<T>(&self, model: &ModelName, work: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(model) {
            return work(pool);
        }
        let pool =
            pools.entry(model.clone()).or_insert(Pool::new(self.settings.initial_holding_time));
        work(pool)
    }

    async fn acquire(
        self: Rc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        self.check_model(&request)?;
        let now = self.context.clock.now();
        self.with_pool(&request.model, |pool| pool.note_demand(&request, now));
        self.check_deadline(&request, now)?;
        let (sender, receiver) = oneshot::channel();
        let place = self.with_pool(&request.model, |pool| pool.push(&request, sender, now));
        let guard = PlaceGuard { shared: self.clone(), model: request.model.clone(), place };
        self.shorten(&request.model);
        self.grant(&request.model);
        guard.await_turn(receiver, request.deadline.map(|deadline| deadline.since(now))).await
    }

    fn check_model(&self, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        let pools = self.pools.borrow();
        if pools.contains_key(&request.model) || pools.len() < self.settings.model_limit {
            return Ok(());
        }
        Err(queue_full(&request.model, request.workspace.clone(), MIN_RETRY_AFTER))
    }

    /// Refuses what would start after its deadline. Held back until the deadline it would still be
    /// refused, but its caller could do nothing with the answer any more.
    fn check_deadline(
        &self,
        request: &AdmissionRequest,
        now: MonotonicTime,
    ) -> Result<(), AdmissionRefusal> {
        let Some(deadline) = request.deadline else { return Ok(()) };
        self.with_pool(&request.model, |pool| {
            let wait = pool.expected_wait(&request.workspace, request.priority, now);
            if now + wait <= deadline {
                return Ok(());
            }
            pool.counts.arrived += 1;
            pool.counts.refused += 1;
            let retry_after = (now + wait).since(deadline).max(MIN_RETRY_AFTER);
            Err(AdmissionRefusal::TooLate { model: request.model.clone(), retry_after })
        })
    }

    /// Refuses requests of whoever holds the most of a queue that is too long.
    fn shorten(&self, model: &ModelName) {
        let limit = self.settings.waiting_limit as u64;
        let now = self.context.clock.now();
        let pushed_out = self.with_pool(model, |pool| {
            if pool.counts.waiting <= limit {
                return None;
            }
            let retry_after = pool.drain_time().max(MIN_RETRY_AFTER);
            pool.counts.refused += 1;
            pool.push_out(now).map(|(workspace, waiter)| (workspace, waiter, retry_after))
        });
        if let Some((workspace, waiter, retry_after)) = pushed_out {
            waiter.answer(Err(queue_full(model, workspace, retry_after)));
        }
    }

    /// Lets in what there is room for. No borrow is held while a waiter is answered: where its task is
    /// gone the permit comes straight back and asks for the pool again.
    fn grant(self: &Rc<Self>, model: &ModelName) {
        let now = self.context.clock.now();
        while let Some((flow, waiter)) = self.with_pool(model, |pool| pool.grant_next(now)) {
            let permit = AdmissionPermit {
                shared: self.clone(),
                model: model.clone(),
                flow,
                granted_at: now,
            };
            waiter.answer(Ok(permit));
        }
    }
}

fn queue_full(
    model: &ModelName,
    workspace: WorkspaceName,
    retry_after: Duration,
) -> AdmissionRefusal {
    AdmissionRefusal::QueueFull { model: model.clone(), workspace, retry_after }
}

/// The shortest pause a refused caller is asked for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A place in the queue, given back when the waiting task is dropped.
struct PlaceGuard {
    shared: Rc<QueueShared>,
    model: ModelName,
    place: WaiterPlace,
}

impl PlaceGuard {
    async fn await_turn(
        self,
        receiver: oneshot::Receiver<Result<AdmissionPermit, AdmissionRefusal>>,
        limit: Option<Duration>,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let Some(limit) = limit else { return receiver.await.unwrap_or_else(|_| self.expired()) };
        match select(receiver, self.shared.context.clock.sleep(limit)).await {
            Either::Left((outcome, _)) => outcome.unwrap_or_else(|_| self.expired()),
            Either::Right(((), mut receiver)) => match receiver.try_recv() {
                Ok(Some(outcome)) => outcome,
                _ => self.expired(),
            },
        }
    }

    fn expired(&self) -> Result<AdmissionPermit, AdmissionRefusal> {
        let now = self.shared.context.clock.now();
        let retry_after = self.shared.with_pool(&self.model, |pool| {
            if pool.remove(self.place, now).is_some() {
                pool.counts.refused += 1;
            }
            pool.drain_time().max(MIN_RETRY_AFTER)
        });
        Err(AdmissionRefusal::TooLate { model: self.model.clone(), retry_after })
    }
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let now = self.shared.context.clock.now();
        self.shared.with_pool(&self.model, |pool| {
            if pool.remove(self.place, now).is_some() {
                pool.counts.cancelled += 1;
            }
        });
    }
}

/// The right to have one request running; dropping it gives the slot to the next.
pub struct AdmissionPermit {
    shared: Rc<QueueShared>,
    model: ModelName,
    flow: FlowId,
    granted_at: MonotonicTime,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.shared.context.clock.now();
        let held = now.since(self.granted_at);
        self.shared.with_pool(&self.model, |pool| pool.release(self.flow, held, now));
        self.shared.grant(&self.model);
    }
}

impl std::fmt::Debug for AdmissionPermit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdmissionPermit").field("model", &self.model).finish_non_exhaustive()
    }
}
