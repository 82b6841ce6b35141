//! Which sends of a request may still arrive, and the repeats that it has open.

use {
    crate::{
        CallerRequestId, Proxy,
        outcome::{AttemptEnd, UnknownReason},
    },
    gullglade_dispatch::RepeatArrival,
    gullglade_event::EventDraft,
    gullglade_units::{MonotonicTime, ServiceName},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// The sends of one request.
#[derive(Clone, Default)]
pub(crate) struct SendBook(Rc<SendCounts>);

#[derive(Default)]
struct SendCounts {
    /// Sends of which nothing has been heard. Each may have arrived, or arrive yet.
    unheard: Cell<u32>,
    /// A repeat that no send has used yet.
    repeat: RefCell<Option<OpenRepeat>>,
}

/// A repeat that its service's budget has granted. Dropped, it is settled there.
pub(crate) struct OpenRepeat {
    proxy: Proxy,
    request: CallerRequestId,
    service: ServiceName,
    granted: MonotonicTime,
    arrival: RepeatArrival,
}

/// One send that is under way. Dropped before its end, it may arrive at any later time.
pub(crate) struct SendFlight {
    book: SendBook,
    repeat: Option<OpenRepeat>,
    arrival: SendArrival,
}

/// What is known of the arrival of one send.
#[derive(Clone, Copy)]
enum SendArrival {
    /// Nothing.
    Unheard,
    /// The backend server has it, or the connection broke: nothing of it is on its way.
    Past,
    /// It never arrives.
    Never,
}

impl OpenRepeat {
    /// One that was granted just now, and is not sent yet.
    pub(crate) fn new(proxy: &Proxy, request: &CallerRequestId, service: &ServiceName) -> Self {
        Self {
            proxy: proxy.clone(),
            request: request.clone(),
            service: service.clone(),
            granted: proxy.context().clock.now(),
            arrival: RepeatArrival::Past,
        }
    }
}

impl Drop for OpenRepeat {
    fn drop(&mut self) {
        let Self { service, arrival, .. } = self;
        self.proxy.metrics().repeat_settled(service, arrival.label());
        let dispatcher = self.proxy.dispatcher();
        dispatcher.with_scheduler(|scheduler, now| scheduler.settle_repeat(service, *arrival, now));
        if self.arrival == RepeatArrival::Unknown {
            let age = self.proxy.context().clock.now().since(self.granted);
            let event = EventDraft::new("request.repeat_unheard").field("request", &self.request);
            let event = event.field("service", &self.service).millis("granted_ago_ms", age);
            self.proxy.events().emit(event);
        }
    }
}

impl SendBook {
    /// Whether a repeat is granted that no send has used.
    pub(crate) fn has_repeat(&self) -> bool {
        self.0.repeat.borrow().is_some()
    }

    /// Keeps a repeat for the next send.
    pub(crate) fn add_repeat(&self, repeat: OpenRepeat) {
        self.0.repeat.replace(Some(repeat));
    }

    /// Begins the next send.
    pub(crate) fn begin(&self) -> SendFlight {
        self.0.unheard.set(self.0.unheard.get() + 1);
        let repeat = self.0.repeat.take();
        SendFlight { book: self.clone(), repeat, arrival: SendArrival::Unheard }
    }
}

impl SendFlight {
    /// Follows the send to its end.
    pub(crate) async fn follow(mut self, send: impl Future<Output = AttemptEnd>) -> AttemptEnd {
        let end = send.await;
        self.arrival = SendArrival::of(&end);
        end
    }
}

impl Drop for SendFlight {
    fn drop(&mut self) {
        let unheard = &self.book.0.unheard;
        if !matches!(self.arrival, SendArrival::Unheard) {
            unheard.set(unheard.get() - 1);
        }
        let Some(mut repeat) = self.repeat.take() else { return };
        match self.arrival {
            SendArrival::Never => self.book.add_repeat(repeat),
            // An earlier send may arrive after this one, and is then the one beyond the first.
            _ if unheard.get() > 0 => repeat.arrival = RepeatArrival::Unknown,
            _ => {}
        }
    }
}

impl SendArrival {
    /// What the end of a send tells of it.
    fn of(end: &AttemptEnd) -> Self {
        match end {
            AttemptEnd::Answer(_) => Self::Past,
            AttemptEnd::NotRun(reason, _) if reason.has_arrived() => Self::Past,
            AttemptEnd::NotRun(..) => Self::Never,
            AttemptEnd::Unknown(UnknownReason::Overdue | UnknownReason::LostAway) => Self::Unheard,
            AttemptEnd::Unknown(_) => Self::Past,
        }
    }
}
