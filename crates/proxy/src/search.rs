//! Search for another place while a run is in progress.

use {
    crate::{
        CallerRequest, Proxy, dispatcher::DispatchTicket, execution::RequestExecution,
        forward::ReservedForward, forward_message::ForwardRequest, liveness::RunMonitor,
        request_fingerprint::RequestFingerprint,
    },
    gullglade_dispatch::{Decision, PromptCopy, WorkItem},
    gullglade_event::EventDraft,
    gullglade_units::{BackendRun, RegionName},
    std::{net::SocketAddr, rc::Rc},
};

/// A place that was found for a request.
pub(crate) enum FoundPlace {
    /// At a backend server of the own region, which keeps it until this is dropped.
    Local(LocalPlace),
    /// In another region, whose gateways have not been asked yet.
    Remote(RegionName),
    /// In another region, reserved by the dispatcher of a gateway there.
    Reserved(ReservedForward),
}

impl FoundPlace {
    /// Returns `true` if the place may still be used, as far as this gateway knows.
    pub(crate) fn may_be_used(&self) -> bool {
        match self {
            Self::Local(placed) => placed.ticket.may_be_used(),
            Self::Remote(_) | Self::Reserved(_) => true,
        }
    }
}

/// A place at a backend server of the own region. Released on drop.
pub(crate) struct LocalPlace {
    pub(crate) ticket: DispatchTicket,
    pub(crate) run: BackendRun,
    pub(crate) address: SocketAddr,
    pub(crate) priority: u8,
    pub(crate) expected_ms: f64,
    pub(crate) copy: Option<PromptCopy>,
}

/// A search for a place while another run is in progress.
pub(crate) struct PlaceSearch {
    proxy: Proxy,
    request: Rc<CallerRequest>,
    fingerprint: Rc<RequestFingerprint>,
    item: WorkItem,
    last_event: Option<u64>,
}

impl PlaceSearch {
    /// Creates a search for the request of `execution` at any backend server but that of `run`.
    pub(crate) fn new_alongside(execution: &RequestExecution, run: &RunMonitor) -> Self {
        let mut item = WorkItem { is_new: false, ..execution.item.clone() };
        item.tried.extend(run.backend());
        Self {
            proxy: execution.proxy.clone(),
            request: Rc::clone(&execution.request),
            fingerprint: Rc::clone(&execution.fingerprint),
            item,
            last_event: execution.last_event,
        }
    }

    /// Runs the search. Returns `None` if there is no place now. Dropping the future removes the
    /// search from the queue.
    pub(crate) async fn run(self) -> Option<FoundPlace> {
        let (ticket, verdict) = self.proxy.dispatcher().place(self.item.clone()).await;
        match verdict {
            Decision::Send { run, address, priority, expected_ms, copy } => {
                let placed = LocalPlace { ticket, run, address, priority, expected_ms, copy };
                Some(FoundPlace::Local(placed))
            }
            Decision::Forward { region, .. } => {
                drop(ticket);
                self.reserve(region).await
            }
            Decision::Refuse { reason, details, .. } => {
                let event =
                    self.refused_event().field("reason", reason).field("serving", details.serving);
                let event =
                    event.field("suspect", details.suspect).field("waiting", details.waiting);
                self.proxy.events().emit(event);
                None
            }
        }
    }

    async fn reserve(&self, region: RegionName) -> Option<FoundPlace> {
        let now = self.proxy.context().clock.now();
        let forward = ForwardRequest {
            print: self.fingerprint.cached(),
            ..ForwardRequest::new(&self.request, &self.item, self.last_event, now)
        };
        let reserved = self.proxy.forwarder().reserve(&region, forward).await;
        if reserved.is_none() {
            self.proxy.events().emit(self.refused_event().field("region", region));
        }
        reserved.map(FoundPlace::Reserved)
    }

    fn refused_event(&self) -> EventDraft {
        EventDraft::new("request.search_refused").field("request", &self.request.id)
    }
}
