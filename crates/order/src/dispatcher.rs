//! Holds the lease and gives the orders.

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

/// Renew when this part of the usable lease has passed.
const RENEWAL_DIVISOR: u32 = 3;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it now.
    Taken,
    /// The engine had taken it before, under the same id.
    AlreadyTaken,
}

/// Whether the desk may give orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherState {
    /// It has the lease.
    Holding {
        /// The fencing number.
        fence: FenceNumber,
        /// How long orders may still be sent.
        left: Duration,
        /// How long until engines that ignore fencing may be given orders.
        predecessor_left: Duration,
    },
    /// It has not.
    Waiting {
        /// Why.
        reason: String,
    },
}

/// One VM's desk for orders.
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
    /// A desk of VM `holder`, without the lease yet.
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
            lease: RefCell::new(Err("it has not asked for the lease yet".to_owned())),
            registry: RefCell::new(OrderRegistry::new(settings.outcome_limit)),
            bucket: RefCell::new(bucket),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Takes the lease whenever it is free and keeps it; never returns.
    pub async fn run(self) {
        loop {
            self.shared.acquire().await;
            self.shared.renew_until_lost().await;
            self.shared.context.clock.sleep(self.shared.settings.acquire_pause).await;
        }
    }

    /// Whether the desk may give orders now.
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

    /// Gives an order, once under its id however often it is asked for, and waits until the engine
    /// has taken it. The order goes on when the caller goes away.
    pub async fn submit(&self, order: EngineOrder) -> Result<OrderOutcome, OrderError> {
        let registration = self.shared.registry.borrow_mut().register(&order)?;
        let result = match registration {
            Registration::Known(result) => result,
            Registration::New(sender, result) => {
                let shared = Rc::clone(&self.shared);
                self.shared.context.spawner.spawn(Box::pin(async move {
                    let outcome = shared.execute(&order).await;
                    shared.note(&order, &outcome);
                    // Nobody may be waiting any more; the ledger knows all the same.
                    let _gone = sender.send(outcome);
                }));
                result
            }
        };
        result.await.unwrap_or_else(|_| not_holder("the process is ending"))
    }
}

fn not_holder<T>(reason: &str) -> Result<T, OrderError> {
    NotHolderSnafu { reason }.fail()
}

impl DispatcherShared {
    async fn acquire(&self) {
        let (asked, asked_wall) = (self.context.clock.now(), self.context.clock.wall());
        match self.source.acquire(&self.holder).await {
            Ok(grant) => {
                let (context, settings) = (&self.context, &self.settings);
                let lease = HeldLease::new(&grant, asked, asked_wall, context, settings);
                // Until then the predecessor may go on ordering at the full rate.
                let predecessor_ends_at = context.clock.now() + lease.predecessor_left(context);
                let (rate, burst) = (settings.weight_rate, settings.weight_burst);
                *self.bucket.borrow_mut() = TokenBucket::new(rate, burst, predecessor_ends_at);
                *self.lease.borrow_mut() = Ok(lease);
                self.emit(EventDraft::new("order.lease-taken").field("fence", grant.fence.0));
            }
            Err(error) => self.set_lost(&error.to_string()),
        }
    }

    /// Renews until the lease is lost.
    async fn renew_until_lost(&self) {
        while let Ok(lease) = self.live_lease() {
            let pause = lease.left(&self.context) / RENEWAL_DIVISOR;
            self.context.clock.sleep(pause.max(Duration::from_millis(10))).await;
            if !self.renew(lease).await {
                return;
            }
        }
        self.set_lost("its lease ended before it could be renewed");
    }

    /// False where the lease is lost for good.
    async fn renew(&self, lease: HeldLease) -> bool {
        let (asked, asked_wall) = (self.context.clock.now(), self.context.clock.wall());
        let left = lease.left(&self.context);
        let clock = &*self.context.clock;
        match timeout(clock, left, self.source.renew(lease.fence())).await {
            Some(Ok(duration)) => self.extend(lease.fence(), |lease| {
                lease.renewed(duration, asked, asked_wall, &self.settings)
            }),
            Some(Err(LeaseError::Unavailable { .. })) => true,
            Some(Err(error)) => {
                self.set_lost(&error.to_string());
                false
            }
            None => false,
        }
    }

    /// Only a lease that is still live may be lengthened: an engine may have told meanwhile that
    /// there is a newer holder.
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
            Duration::ZERO => Err("its lease ended before it could be renewed".to_owned()),
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

    /// Whether the engine says that it has taken the order, perhaps from an earlier holder.
    async fn has_taken(&self, order: &EngineOrder) -> bool {
        let (clock, limit) = (&*self.context.clock, self.settings.send_limit);
        let asked = timeout(clock, limit, self.platform.orders(&order.target)).await;
        asked.is_some_and(|orders| orders.is_ok_and(|orders| orders.taken.contains(&order.id)))
    }

    /// Waits for the weight store's turn and, where the engine would obey anybody, for the end of
    /// the predecessor's lease.
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

    /// Sends until the engine answers. Orders state a goal, so an engine that takes one twice ends
    /// up as if it had taken it once.
    async fn send(&self, order: &EngineOrder, fence: FenceNumber) -> OrderResult {
        let message = PlatformOrder { id: order.id.clone(), fence, action: order.action.clone() };
        let mut pause = self.settings.retry_pause;
        let mut taken = "it was not sent";
        for attempt in 1.. {
            // Checked right before each sending: the waits before may have outlasted the lease.
            self.check_lease(order, fence, taken)?;
            let error = match self.send_once(order, &message).await {
                Ok(()) => return Ok(OrderOutcome::Taken),
                Err(error) => error,
            };
            self.handle_stale_fence(&error);
            let final_error = matches!(error, PlatformError::Refused { .. });
            if final_error || attempt >= self.settings.send_tries {
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
            let reason = format!("not within {limit:?}");
            Err(PlatformError::Unanswered { backend: order.target.backend.clone(), reason })
        })
    }

    /// An engine that has seen a higher number proves that there is a newer holder: stop at once,
    /// also towards engines that would obey.
    fn handle_stale_fence(&self, error: &PlatformError) {
        if let PlatformError::StaleFence { seen, .. } = error {
            self.set_lost(&format!("an engine has orders under fencing number {seen}"));
        }
    }

    fn note(&self, order: &EngineOrder, outcome: &OrderResult) {
        self.registry.borrow_mut().end(&order.id, outcome.is_ok());
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

/// Whether the engine certainly did not take the order.
fn is_not_taken(error: &PlatformError) -> bool {
    !matches!(error, PlatformError::Unanswered { .. })
}
