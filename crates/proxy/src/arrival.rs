//! Which sends of a request may still arrive, and the repeats that it has open.

use {
    crate::{
        CallId, Proxy,
        outcome::{AttemptEnd, UnknownReason},
    },
    gullglade_dispatch::RepeatArrival,
    gullglade_event::EventDraft,
    gullglade_units::{MonotonicTime, ServiceName},
    std::{cell::Cell, rc::Rc},
};

/// How many sends of one request nothing has been heard of. Each may have arrived, or arrive yet.
#[derive(Clone, Default)]
pub(crate) struct UnheardSends(Rc<Cell<u32>>);

/// A repeat that its service's budget has granted. Open until it is dropped.
pub(crate) struct OpenRepeat {
    proxy: Proxy,
    request: CallId,
    service: ServiceName,
    granted: MonotonicTime,
    arrival: RepeatArrival,
}

/// One send that is under way. Dropped before its end, it may arrive at any later time.
pub(crate) struct SendFlight {
    unheard: UnheardSends,
    repeat: Option<OpenRepeat>,
    is_heard: bool,
}

impl OpenRepeat {
    /// One that was granted just now, and is not sent yet.
    pub(crate) fn new(proxy: &Proxy, request: &CallId, service: &ServiceName) -> Self {
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
        self.proxy.metrics().repeat_settled(&self.service, self.arrival.label());
        if self.arrival == RepeatArrival::Unknown {
            let age = self.proxy.context().clock.now().since(self.granted);
            let event = EventDraft::new("request.repeat_unheard").field("request", &self.request);
            let event = event.field("service", &self.service).millis("granted_ago_ms", age);
            self.proxy.events().emit(event);
        }
    }
}

impl SendFlight {
    /// A send of the request whose other sends `unheard` counts.
    pub(crate) fn new(unheard: &UnheardSends, repeat: Option<OpenRepeat>) -> Self {
        unheard.0.set(unheard.0.get() + 1);
        Self { unheard: unheard.clone(), repeat, is_heard: false }
    }

    /// Follows the send to its end.
    pub(crate) async fn follow(mut self, send: impl Future<Output = AttemptEnd>) -> AttemptEnd {
        let end = send.await;
        self.is_heard = tells_of_arrival(&end);
        end
    }
}

impl Drop for SendFlight {
    fn drop(&mut self) {
        if self.is_heard {
            self.unheard.0.set(self.unheard.0.get() - 1);
        }
        // An earlier send may arrive after this one, and is then the one beyond the first.
        if let Some(repeat) = self.repeat.as_mut().filter(|_| self.unheard.0.get() > 0) {
            repeat.arrival = RepeatArrival::Unknown;
        }
    }
}

/// Whether the end of a send shows that it has arrived, or never will.
fn tells_of_arrival(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answer(_) | AttemptEnd::NotRun(..) => true,
        AttemptEnd::Unknown(reason) => {
            !matches!(reason, UnknownReason::Overdue | UnknownReason::LostAway)
        }
    }
}
