//! The search for a place beside a run that is under way.

use {
    crate::{
        CallerCall, Proxy,
        call_print::CallPrint,
        dispatcher::SentTicket,
        forward::{ForwardCall, ReservedForward},
        journey::Journey,
        liveness::RunWatch,
    },
    gullglade_dispatch::{Decision, PromptCopy, WorkItem},
    gullglade_event::EventDraft,
    gullglade_units::{BackendRun, RegionName},
    std::{net::SocketAddr, rc::Rc},
};

/// A place that was found for a request.
pub(crate) enum FoundPlace {
    /// At a backend server of the own region, which holds it for as long as this is kept.
    Here(PlacedRun),
    /// In another region, whose gateways have not been asked yet.
    Away(RegionName),
    /// In another region, reserved by the dispatcher of a gateway there.
    Reserved(ReservedForward),
}

impl FoundPlace {
    /// Whether it may still be used, as far as this gateway knows.
    pub(crate) fn may_be_used(&self) -> bool {
        match self {
            Self::Here(placed) => placed.ticket.may_be_used(),
            Self::Away(_) | Self::Reserved(_) => true,
        }
    }
}

/// A place at a backend server of the own region. Dropped, it is given back.
pub(crate) struct PlacedRun {
    pub(crate) ticket: SentTicket,
    pub(crate) run: BackendRun,
    pub(crate) address: SocketAddr,
    pub(crate) priority: u8,
    pub(crate) expected_ms: f64,
    pub(crate) copy: Option<PromptCopy>,
}

/// A search for a place beside a run.
pub(crate) struct PlaceSearch {
    proxy: Proxy,
    call: Rc<CallerCall>,
    print: Rc<CallPrint>,
    item: WorkItem,
    last_event: Option<u64>,
}

impl PlaceSearch {
    /// One for the request of `journey`, anywhere but at the backend server of `run`.
    pub(crate) fn beside(journey: &Journey, run: &RunWatch) -> Self {
        let mut item = WorkItem { is_new: false, ..journey.item.clone() };
        item.tried.extend(run.backend());
        Self {
            proxy: journey.proxy.clone(),
            call: Rc::clone(&journey.call),
            print: Rc::clone(&journey.print),
            item,
            last_event: journey.last_event,
        }
    }

    /// A place that is reserved; `None` where nobody has one now. Dropped, it leaves the queue.
    pub(crate) async fn run(self) -> Option<FoundPlace> {
        let (ticket, verdict) = self.proxy.dispatcher().place(self.item.clone()).await;
        match verdict {
            Decision::Send { run, address, priority, expected_ms, copy } => {
                let placed = PlacedRun { ticket, run, address, priority, expected_ms, copy };
                Some(FoundPlace::Here(placed))
            }
            Decision::Forward { region, .. } => {
                drop(ticket);
                self.reserve(region).await
            }
            Decision::Refuse { reason, details, .. } => {
                let event =
                    self.refused().field("reason", reason).field("serving", details.serving);
                let event =
                    event.field("suspect", details.suspect).field("waiting", details.waiting);
                self.proxy.events().emit(event);
                None
            }
        }
    }

    async fn reserve(&self, region: RegionName) -> Option<FoundPlace> {
        let now = self.proxy.context().clock.now();
        let forward = ForwardCall {
            print: self.print.made(),
            ..ForwardCall::new(&self.call, &self.item, self.last_event, now)
        };
        let reserved = self.proxy.forwarder().reserve(&region, forward).await;
        if reserved.is_none() {
            self.proxy.events().emit(self.refused().field("region", region));
        }
        reserved.map(FoundPlace::Reserved)
    }

    fn refused(&self) -> EventDraft {
        EventDraft::new("request.search_refused").field("request", &self.call.id)
    }
}
