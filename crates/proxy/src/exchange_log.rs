//! Log lines of sends to backend servers that end without a response for the caller.

use {
    crate::{CallerRequestId, ResponseMetadata, attempt::Attempt},
    gullglade_event::{EventDraft, EventSink},
    gullglade_http::{ClientError, ExchangeTrace},
    http::response::Parts,
    std::rc::Rc,
};

/// Reason why a reply is not relayed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DiscardReason {
    /// It states that the request was not run.
    NotRun,
    /// It comes from another instance than the one addressed.
    OtherInstance,
    /// It belongs to another request.
    OtherRequest,
    /// It is a success without a signature, or with an encoded body.
    Unverified,
    /// Its status means "not run" to callers, and the backend server did not state so.
    Misleading,
}

impl DiscardReason {
    fn label(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::OtherInstance => "other_instance",
            Self::OtherRequest => "other_request",
            Self::Unverified => "unverified",
            Self::Misleading => "misleading",
        }
    }
}

/// Logs what a send is known to have done, so that the reason for which its outcome was believed
/// can be checked later.
pub(crate) struct ExchangeLog {
    events: Rc<dyn EventSink>,
}

impl ExchangeLog {
    pub(crate) fn new(events: Rc<dyn EventSink>) -> Self {
        Self { events }
    }

    /// Logs a reply that is not relayed.
    pub(crate) fn record_discarded(
        &self,
        attempt: &Attempt,
        head: &Parts,
        metadata: &ResponseMetadata,
        reason: DiscardReason,
    ) {
        let event = draft(attempt).field("cause", reason.label());
        let event = event.field("status", head.status.as_u16());
        let stated = metadata.request_id.as_deref();
        let replied_to = stated.and_then(|id| CallerRequestId::try_from(id).ok());
        let event = event.optional("reply_to", replied_to);
        let Some(trace) = head.extensions.get::<ExchangeTrace>() else {
            return self.events.emit(event);
        };
        let event = event.field("connection", trace.connection).field("carried", trace.carried);
        let event = event.millis("connection_age_ms", trace.connection_age);
        let event = event.field("written", trace.written);
        self.events.emit(event.millis("reply_ms", trace.reply_after));
    }

    /// Logs a send without a reply.
    pub(crate) fn record_error(&self, attempt: &Attempt, error: &ClientError) {
        let event = draft(attempt).field("nothing_sent", error.nothing_sent());
        self.events.emit(event.error("error", error));
    }
}

fn draft(attempt: &Attempt) -> EventDraft {
    let event = EventDraft::new("request.exchange_failed").field("request", &attempt.request.id);
    event.field("backend", &attempt.backend).field("address", attempt.address)
}
