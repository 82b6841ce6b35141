//! Admission queue of a gateway.

use {
    crate::{
        AdmissionPriority, AdmissionRefusal, AdmissionRequest, PoolCounts, PoolLimits,
        pool::{FlowId, Pool, WaiterId},
    },
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_units::{LocalFuture, ModelName, MonotonicTime, ProcessContext, WorkspaceName},
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Limits of the queue.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests per model. Default 4,096.
    pub waiting_limit: usize,
    /// Maximum number of models with a queue; requests for further models are refused. Default
    /// 1,024.
    pub model_limit: usize,
    /// Assumed holding time of a permit until it has been measured. Default 4 s.
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

/// Grants permits to requests as slots become free. Clones share one queue and are cheap.
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
    /// Creates a queue without capacity: every request waits until
    /// [`set_capacity`](Self::set_capacity) is called.
    pub fn new(settings: AdmissionSettings, context: ProcessContext) -> Self {
        let pools = RefCell::new(HashMap::new());
        Self { shared: Rc::new(QueueShared { settings, context, pools }) }
    }

    /// Sets the number of requests of `model` that this gateway may run at once, for all workspaces
    /// alike.
    pub fn set_capacity(&self, model: &ModelName, slots: u32) {
        self.set_limits(model, PoolLimits { permits: slots, over_share: slots });
    }

    /// Sets the limits on the requests of `model` that this gateway may run at once.
    pub fn set_limits(&self, model: &ModelName, limits: PoolLimits) {
        self.shared.with_pool(model, |pool| pool.limits = limits);
        self.shared.grant(model);
    }

    /// Returns whether `workspace` is over its share; its requests should not be forwarded to other
    /// regions.
    pub fn is_over_share(
        &self,
        model: &ModelName,
        workspace: &WorkspaceName,
        priority: AdmissionPriority,
    ) -> bool {
        let pools = self.shared.pools.borrow();
        pools.get(model).is_some_and(|pool| pool.is_over_share(workspace, priority, self.now()))
    }

    /// Returns the counters of `model`.
    pub fn counts(&self, model: &ModelName) -> PoolCounts {
        self.shared.pools.borrow().get(model).map(|pool| pool.counts).unwrap_or_default()
    }

    /// Estimates the wait of a new request of `workspace`.
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

    /// Waits for a permit. A refusal that can be determined on arrival is returned at once.
    /// Dropping the future removes the request from the queue; dropping the permit frees the slot.
    pub fn acquire(
        &self,
        request: AdmissionRequest,
    ) -> LocalFuture<'static, Result<AdmissionPermit, AdmissionRefusal>> {
        let shared = self.shared.clone();
        Box::pin(async move { shared.acquire(request).await })
    }
}

impl QueueShared {
    fn with_pool<T>(&self, model: &ModelName, update: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(model) {
            return update(pool);
        }
        let pool =
            pools.entry(model.clone()).or_insert(Pool::new(self.settings.initial_holding_time));
        update(pool)
    }

    async fn acquire(
        self: Rc<Self>,
        request: AdmissionRequest,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        self.check_model(&request)?;
        let now = self.context.clock.now();
        self.with_pool(&request.model, |pool| pool.record_demand(&request, now));
        self.check_deadline(&request, now)?;
        let (sender, receiver) = oneshot::channel();
        let waiter = self.with_pool(&request.model, |pool| pool.push(&request, sender, now));
        let entry = QueueEntry { shared: self.clone(), model: request.model.clone(), waiter };
        self.enforce_limit(&request.model);
        self.grant(&request.model);
        entry.wait(receiver, request.deadline.map(|deadline| deadline.since(now))).await
    }

    fn check_model(&self, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        let pools = self.pools.borrow();
        if pools.contains_key(&request.model) || pools.len() < self.settings.model_limit {
            return Ok(());
        }
        Err(queue_full(&request.model, request.workspace.clone(), MIN_RETRY_AFTER))
    }

    /// Refuses a request that would start after its deadline. If it were queued it would still be
    /// refused at the deadline, when its caller can no longer act on the answer.
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

    /// If the queue is over its limit, refuses the last request of the flow with the most queued
    /// requests.
    fn enforce_limit(&self, model: &ModelName) {
        let limit = self.settings.waiting_limit as u64;
        let now = self.context.clock.now();
        let removed = self.with_pool(model, |pool| {
            if pool.counts.waiting <= limit {
                return None;
            }
            let retry_after = pool.drain_time().max(MIN_RETRY_AFTER);
            pool.counts.refused += 1;
            pool.remove_from_longest(now)
                .map(|(workspace, waiter)| (workspace, waiter, retry_after))
        });
        if let Some((workspace, waiter, retry_after)) = removed {
            waiter.complete(Err(queue_full(model, workspace, retry_after)));
        }
    }

    /// Grants permits while slots are free. No borrow is held while a waiter is answered: if its
    /// task is gone, the permit is dropped at once and borrows the pools again.
    fn grant(self: &Rc<Self>, model: &ModelName) {
        let now = self.context.clock.now();
        while let Some((flow, waiter)) = self.with_pool(model, |pool| pool.grant_next(now)) {
            let permit = AdmissionPermit {
                shared: self.clone(),
                model: model.clone(),
                flow,
                granted_at: now,
            };
            waiter.complete(Ok(permit));
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

/// Minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Removes a request from the queue when its task is dropped.
struct QueueEntry {
    shared: Rc<QueueShared>,
    model: ModelName,
    waiter: WaiterId,
}

impl QueueEntry {
    async fn wait(
        self,
        receiver: oneshot::Receiver<Result<AdmissionPermit, AdmissionRefusal>>,
        limit: Option<Duration>,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let Some(limit) = limit else { return receiver.await.unwrap_or_else(|_| self.expire()) };
        match select(receiver, self.shared.context.clock.sleep(limit)).await {
            Either::Left((outcome, _)) => outcome.unwrap_or_else(|_| self.expire()),
            Either::Right(((), mut receiver)) => match receiver.try_recv() {
                Ok(Some(outcome)) => outcome,
                _ => self.expire(),
            },
        }
    }

    fn expire(&self) -> Result<AdmissionPermit, AdmissionRefusal> {
        let now = self.shared.context.clock.now();
        let retry_after = self.shared.with_pool(&self.model, |pool| {
            if pool.remove(self.waiter, now).is_some() {
                pool.counts.refused += 1;
            }
            pool.drain_time().max(MIN_RETRY_AFTER)
        });
        Err(AdmissionRefusal::TooLate { model: self.model.clone(), retry_after })
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let now = self.shared.context.clock.now();
        self.shared.with_pool(&self.model, |pool| {
            if pool.remove(self.waiter, now).is_some() {
                pool.counts.cancelled += 1;
            }
        });
    }
}

/// Permission to run one request; dropping it passes the slot to the next request.
pub struct AdmissionPermit {
    shared: Rc<QueueShared>,
    model: ModelName,
    flow: FlowId,
    granted_at: MonotonicTime,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.shared.context.clock.now();
        let holding_time = now.since(self.granted_at);
        self.shared.with_pool(&self.model, |pool| pool.release(self.flow, holding_time, now));
        self.shared.grant(&self.model);
    }
}

impl std::fmt::Debug for AdmissionPermit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdmissionPermit").field("model", &self.model).finish_non_exhaustive()
    }
}
