//! Tracks which sends of a request may still arrive at a backend server, and the retry that is
//! granted but not yet used.

use {
    crate::{
        CallerRequestId, Proxy,
        outcome::{AttemptOutcome, UnknownReason},
    },
    gullglade_dispatch::RepeatArrival,
    gullglade_event::EventDraft,
    gullglade_units::{MonotonicTime, ServiceName},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Sends of one request.
#[derive(Clone, Default)]
pub(crate) struct SendTracker(Rc<SendState>);

#[derive(Default)]
struct SendState {
    /// Number of sends whose arrival is not confirmed. Each may have arrived, or may arrive later.
    unconfirmed: Cell<u32>,
    /// Granted retry that no send has used yet.
    retry: RefCell<Option<GrantedRetry>>,
}

/// A retry granted by the retry budget of the service. Settled with the budget on drop.
pub(crate) struct GrantedRetry {
    proxy: Proxy,
    request_id: CallerRequestId,
    service: ServiceName,
    granted: MonotonicTime,
    arrival: RepeatArrival,
}

/// A send in progress. If dropped before its end, it may arrive at any later time.
pub(crate) struct TrackedSend {
    tracker: SendTracker,
    retry: Option<GrantedRetry>,
    delivery: SendDelivery,
}

/// Delivery state of one send.
#[derive(Clone, Copy)]
enum SendDelivery {
    /// It is not known whether the send has arrived.
    Unconfirmed,
    /// The send has arrived, or its connection broke: nothing of it is in transit.
    Settled,
    /// The send will never arrive.
    Never,
}

impl GrantedRetry {
    /// Creates a retry that has just been granted and is not sent yet.
    pub(crate) fn new(proxy: &Proxy, request_id: &CallerRequestId, service: &ServiceName) -> Self {
        Self {
            proxy: proxy.clone(),
            request_id: request_id.clone(),
            service: service.clone(),
            granted: proxy.context().clock.now(),
            arrival: RepeatArrival::Past,
        }
    }
}

impl Drop for GrantedRetry {
    fn drop(&mut self) {
        let Self { service, arrival, .. } = self;
        self.proxy.metrics().repeat_settled(service, arrival.label());
        let dispatcher = self.proxy.dispatcher();
        dispatcher.with_scheduler(|scheduler, now| scheduler.settle_repeat(service, *arrival, now));
        if self.arrival == RepeatArrival::Unknown {
            let age = self.proxy.context().clock.now().since(self.granted);
            let event =
                EventDraft::new("request.repeat_unheard").field("request", &self.request_id);
            let event = event.field("service", &self.service).millis("granted_ago_ms", age);
            self.proxy.events().emit(event);
        }
    }
}

impl SendTracker {
    /// Returns `true` if a granted retry is unused.
    pub(crate) fn has_retry(&self) -> bool {
        self.0.retry.borrow().is_some()
    }

    /// Keeps a granted retry for the next send.
    pub(crate) fn add_retry(&self, retry: GrantedRetry) {
        self.0.retry.replace(Some(retry));
    }

    /// Starts the next send, which uses the granted retry if there is one.
    pub(crate) fn begin(&self) -> TrackedSend {
        self.0.unconfirmed.set(self.0.unconfirmed.get() + 1);
        let retry = self.0.retry.take();
        TrackedSend { tracker: self.clone(), retry, delivery: SendDelivery::Unconfirmed }
    }
}

impl TrackedSend {
    /// Awaits `send` and records its delivery state.
    pub(crate) async fn track(
        mut self,
        send: impl Future<Output = AttemptOutcome>,
    ) -> AttemptOutcome {
        let outcome = send.await;
        self.delivery = SendDelivery::from_outcome(&outcome);
        outcome
    }
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        let unconfirmed = &self.tracker.0.unconfirmed;
        if !matches!(self.delivery, SendDelivery::Unconfirmed) {
            unconfirmed.set(unconfirmed.get() - 1);
        }
        let Some(mut retry) = self.retry.take() else { return };
        match self.delivery {
            SendDelivery::Never => self.tracker.add_retry(retry),
            // An earlier send may still arrive after this one, and would then be the additional
            // one.
            _ if unconfirmed.get() > 0 => retry.arrival = RepeatArrival::Unknown,
            _ => {}
        }
    }
}

impl SendDelivery {
    /// Derives the delivery state from the outcome of a send.
    fn from_outcome(outcome: &AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Response(_) => Self::Settled,
            AttemptOutcome::NotRun(reason, _) if reason.reached_backend() => Self::Settled,
            AttemptOutcome::NotRun(..) => Self::Never,
            AttemptOutcome::Unknown(UnknownReason::Overdue | UnknownReason::LostAway) => {
                Self::Unconfirmed
            }
            AttemptOutcome::Unknown(_) => Self::Settled,
        }
    }
}
