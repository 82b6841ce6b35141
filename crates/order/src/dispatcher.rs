//! Holds the lease and sends orders to engines.

use {
    crate::{
        EngineOrder, FenceNumber, HeldLease, LeaseError, LeaseSource, OrderError, OrderSettings,
        PlatformClient, PlatformError, PlatformOrder, TokenBucket,
        error::{LeaseEndedSnafu, NotHolderSnafu, TooLargeSnafu},
        registry::{OrderRegistry, OrderResult, Registration},
    },
    gullglade_backend::FencingMode,
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_units::{ProcessContext, VmName, timeout},
    snafu::{OptionExt, ensure},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// The lease is renewed after its remaining usable time divided by this number.
const RENEWAL_DIVISOR: u32 = 3;

/// Outcome of a successful order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took the order now.
    Taken,
    /// The engine had already taken the order under the same id.
    AlreadyTaken,
}

/// State of a dispatcher's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherState {
    /// The dispatcher has the lease.
    Holding {
        /// The fencing number.
        fence: FenceNumber,
        /// Remaining time in which orders may be sent.
        left: Duration,
        /// Time until orders may be sent to engines that ignore fencing.
        predecessor_left: Duration,
    },
    /// The dispatcher does not have the lease.
    Waiting {
        /// The reason.
        reason: String,
    },
}

/// Sends the orders of one VM while the VM holds the lease.
#[derive(Clone)]
pub struct OrderDispatcher {
    shared: Rc<DispatcherShared>,
}

struct DispatcherShared {
    context: ProcessContext,
    settings: OrderSettings,
    holder: VmName,
    source: Rc<dyn LeaseSource>,
    platform: Rc<dyn PlatformClient>,
    events: Rc<dyn EventSink>,
    lease: RefCell<Result<HeldLease, String>>,
    registry: RefCell<OrderRegistry>,
    bucket: RefCell<TokenBucket>,
}

impl OrderDispatcher {
    /// Creates a dispatcher of VM `holder`, without the lease.
    pub fn new(
        context: ProcessContext,
        settings: OrderSettings,
        holder: VmName,
        source: Rc<dyn LeaseSource>,
        platform: Rc<dyn PlatformClient>,
        events: Rc<dyn EventSink>,
    ) -> Self {
        let now = context.clock.now();
        let bucket = TokenBucket::new(settings.weight_rate, settings.weight_burst, now);
        let shared = DispatcherShared {
            context,
            settings,
            holder,
            source,
            platform,
            events,
            lease: RefCell::new(Err("the lease has not been requested yet".to_owned())),
            registry: RefCell::new(OrderRegistry::new(settings.outcome_limit)),
            bucket: RefCell::new(bucket),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Acquires the lease whenever it is free and renews it. Never returns.
    pub async fn run(self) {
        loop {
            self.shared.acquire().await;
            self.shared.renew_until_lost().await;
            self.shared.context.clock.sleep(self.shared.settings.acquire_pause).await;
        }
    }

    /// Returns the state of the lease.
    pub fn state(&self) -> DispatcherState {
        match self.shared.live_lease() {
            Ok(lease) => DispatcherState::Holding {
                fence: lease.fence(),
                left: lease.left(&self.shared.context),
                predecessor_left: lease.predecessor_left(&self.shared.context),
            },
            Err(reason) => DispatcherState::Waiting { reason },
        }
    }

    /// Sends an order, once per id however often it is submitted, and waits until the engine has
    /// taken it. The order proceeds even if this future is dropped.
    pub async fn submit(&self, order: EngineOrder) -> Result<OrderOutcome, OrderError> {
        let registration = self.shared.registry.borrow_mut().register(&order)?;
        let result = match registration {
            Registration::Known(result) => result,
            Registration::New(sender, result) => {
                let shared = Rc::clone(&self.shared);
                self.shared.context.spawner.spawn(Box::pin(async move {
                    let outcome = shared.execute(&order).await;
                    shared.record_outcome(&order, &outcome);
                    // The receivers may be gone; the registry records the outcome regardless.
                    let _gone = sender.send(outcome);
                }));
                result
            }
        };
        result.await.unwrap_or_else(|_| not_holder("the process is stopping"))
    }
}

fn not_holder<T>(reason: &str) -> Result<T, OrderError> {
    NotHolderSnafu { reason }.fail()
}

impl DispatcherShared {
    async fn acquire(&self) {
        let (requested_at, requested_at_wall) =
            (self.context.clock.now(), self.context.clock.wall());
        match self.source.acquire(&self.holder).await {
            Ok(grant) => {
                let (context, settings) = (&self.context, &self.settings);
                let lease =
                    HeldLease::new(&grant, requested_at, requested_at_wall, context, settings);
                // Until then the predecessor may still send orders at the full rate.
                let predecessor_ends_at = context.clock.now() + lease.predecessor_left(context);
                let (rate, burst) = (settings.weight_rate, settings.weight_burst);
                *self.bucket.borrow_mut() = TokenBucket::new(rate, burst, predecessor_ends_at);
                *self.lease.borrow_mut() = Ok(lease);
                self.emit(EventDraft::new("order.lease-taken").field("fence", grant.fence.0));
            }
            Err(error) => self.set_lost(&error.to_string()),
        }
    }

    /// Renews the lease until it is lost.
    async fn renew_until_lost(&self) {
        while let Ok(lease) = self.live_lease() {
            let pause = lease.left(&self.context) / RENEWAL_DIVISOR;
            self.context.clock.sleep(pause.max(Duration::from_millis(10))).await;
            if !self.renew(lease).await {
                return;
            }
        }
        self.set_lost("the lease ended before it could be renewed");
    }

    /// Renews the lease once. Returns false if the lease is lost.
    async fn renew(&self, lease: HeldLease) -> bool {
        let (requested_at, requested_at_wall) =
            (self.context.clock.now(), self.context.clock.wall());
        let left = lease.left(&self.context);
        let clock = &*self.context.clock;
        match timeout(clock, left, self.source.renew(lease.fence())).await {
            Some(Ok(duration)) => self.extend(lease.fence(), |lease| {
                lease.renewed(duration, requested_at, requested_at_wall, &self.settings)
            }),
            Some(Err(LeaseError::Unavailable { .. })) => true,
            Some(Err(error)) => {
                self.set_lost(&error.to_string());
                false
            }
            None => false,
        }
    }

    /// Extends the lease if it is still live: an engine may have reported a newer holder meanwhile.
    /// Returns false if it is not.
    fn extend(&self, fence: FenceNumber, renewed: impl Fn(HeldLease) -> HeldLease) -> bool {
        let Ok(lease) = self.live_lease() else { return false };
        if lease.fence() != fence {
            return false;
        }
        *self.lease.borrow_mut() = Ok(renewed(lease));
        true
    }

    fn set_lost(&self, reason: &str) {
        let held = self.lease.replace(Err(reason.to_owned()));
        if let Ok(lease) = held {
            let event = EventDraft::new("order.lease-lost").level(Level::Warn);
            self.emit(event.field("fence", lease.fence().0));
        }
    }

    fn live_lease(&self) -> Result<HeldLease, String> {
        let lease = self.lease.borrow().clone()?;
        match lease.left(&self.context) {
            Duration::ZERO => Err("the lease ended before it could be renewed".to_owned()),
            _ => Ok(lease),
        }
    }

    async fn execute(&self, order: &EngineOrder) -> OrderResult {
        let lease = self.live_lease().or_else(|reason| not_holder(&reason))?;
        let bytes = order.action.weight_bytes();
        if self.has_taken(order).await {
            return Ok(OrderOutcome::AlreadyTaken);
        }
        self.wait_until_allowed(order, &lease, bytes).await?;
        let result = self.send(order, lease.fence()).await;
        if matches!(&result, Err(OrderError::Platform { source, .. }) if is_not_taken(source)) {
            self.bucket.borrow_mut().refund(bytes);
        }
        result
    }

    /// Returns true if the engine reports that it has taken the order, possibly from an earlier
    /// holder.
    async fn has_taken(&self, order: &EngineOrder) -> bool {
        let (clock, limit) = (&*self.context.clock, self.settings.send_limit);
        let answer = timeout(clock, limit, self.platform.orders(&order.target)).await;
        answer.is_some_and(|orders| orders.is_ok_and(|orders| orders.taken.contains(&order.id)))
    }

    /// Waits for the weight store's rate limit and, if the engine does not check fencing, for the
    /// end of the predecessor's lease.
    async fn wait_until_allowed(
        &self,
        order: &EngineOrder,
        lease: &HeldLease,
        bytes: u64,
    ) -> Result<(), OrderError> {
        let now = self.context.clock.now();
        let rate_wait = self.bucket.borrow_mut().take(bytes, now);
        let burst = self.settings.weight_burst;
        let rate_wait = rate_wait.context(TooLargeSnafu { id: order.id.clone(), bytes, burst })?;
        let predecessor_wait = match order.target.fencing {
            FencingMode::Checks => Duration::ZERO,
            FencingMode::Ignores => lease.predecessor_left(&self.context),
        };
        self.context.clock.sleep(rate_wait.max(predecessor_wait)).await;
        Ok(())
    }

    /// Sends the order, with retries, until the engine answers. Orders are idempotent: each states
    /// a goal, so an engine that takes one twice ends up as if it had taken it once.
    async fn send(&self, order: &EngineOrder, fence: FenceNumber) -> OrderResult {
        let message = PlatformOrder { id: order.id.clone(), fence, action: order.action.clone() };
        let mut pause = self.settings.retry_pause;
        let mut taken = "it was not sent";
        for attempt in 1.. {
            // Checked directly before each attempt, because the lease may have ended during the
            // waits.
            self.check_lease(order, fence, taken)?;
            let error = match self.send_once(order, &message).await {
                Ok(()) => return Ok(OrderOutcome::Taken),
                Err(error) => error,
            };
            self.handle_stale_fence(&error);
            let final_error = matches!(error, PlatformError::Refused { .. });
            if final_error || attempt >= self.settings.max_send_attempts {
                return Err(OrderError::Platform { id: order.id.clone(), source: error });
            }
            if !is_not_taken(&error) {
                taken = "it may have been taken";
            }
            self.context.clock.sleep(pause).await;
            pause *= 2;
        }
        unreachable!("the last attempt returns")
    }

    fn check_lease(
        &self,
        order: &EngineOrder,
        fence: FenceNumber,
        taken: &'static str,
    ) -> Result<(), OrderError> {
        let live = self.live_lease().is_ok_and(|lease| lease.fence() == fence);
        let (id, backend) = (order.id.clone(), order.target.backend.clone());
        ensure!(live, LeaseEndedSnafu { id, backend, taken });
        Ok(())
    }

    async fn send_once(
        &self,
        order: &EngineOrder,
        message: &PlatformOrder,
    ) -> Result<(), PlatformError> {
        let (clock, limit) = (&*self.context.clock, self.settings.send_limit);
        let sent = timeout(clock, limit, self.platform.send(&order.target, message)).await;
        sent.unwrap_or_else(|| {
            let reason = format!("no answer within {limit:?}");
            Err(PlatformError::Unanswered { backend: order.target.backend.clone(), reason })
        })
    }

    /// Gives up the lease if the engine has seen a higher fencing number. That proves that there is
    /// a newer holder, so orders to engines that ignore fencing must stop, too.
    fn handle_stale_fence(&self, error: &PlatformError) {
        if let PlatformError::StaleFence { seen, .. } = error {
            self.set_lost(&format!("an engine has taken orders under fencing number {seen}"));
        }
    }

    fn record_outcome(&self, order: &EngineOrder, outcome: &OrderResult) {
        self.registry.borrow_mut().complete(&order.id, outcome.is_ok());
        let event = match outcome {
            Ok(_) => EventDraft::new("order.taken"),
            Err(_) => EventDraft::new("order.failed").level(Level::Warn),
        };
        self.emit(event.field("order", &order.id).field("backend", &order.target.backend));
    }

    fn emit(&self, event: EventDraft) {
        self.events.emit(event);
    }
}

/// Returns true if the engine certainly did not take the order.
fn is_not_taken(error: &PlatformError) -> bool {
    !matches!(error, PlatformError::Unanswered { .. })
}
