//! Responses that have begun: the head, and the body as a stream.

use {
    crate::{
        dispatcher::DispatchTicket, event_boundary::EventBoundary, forward::ForwardBody,
        liveness::RunLiveness, outcome::AttemptTarget,
    },
    bytes::Bytes,
    gullglade_dispatch::WorkOutcome,
    gullglade_http::{BodyError, ClientBody},
    http::{HeaderMap, StatusCode, header::CONTENT_TYPE},
};

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A response whose head has arrived.
pub(crate) struct AttemptResponse {
    /// Backend server or region that sent it.
    pub(crate) target: AttemptTarget,
    pub(crate) liveness: RunLiveness,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

impl AttemptResponse {
    /// Returns `true` if the body is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        is_event_stream(self.status, &self.headers)
    }

    /// Returns `true` if the backend server reports an error of its own.
    pub(crate) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// Returns `true` if a response with this head is a stream of events.
pub(crate) fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map(http::HeaderValue::as_bytes);
    status.is_success() && kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

/// Body of a response. Dropping it before its end cancels the work of the backend server.
pub(crate) enum ResponseBody {
    Backend(BackendBody),
    Forward(ForwardBody),
}

impl ResponseBody {
    /// Returns the next chunk; `None` after the last chunk of a complete body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self {
            Self::Backend(body) => body.next().await,
            Self::Forward(body) => body.next().await,
        }
    }
}

/// Body from a backend server of the own region. It reports the outcome to the scheduler.
pub(crate) struct BackendBody {
    body: ClientBody,
    ticket: Option<DispatchTicket>,
    /// Position in the events, if the body is an event stream.
    events: Option<EventBoundary>,
    /// Outcome to report if the body is complete.
    complete_outcome: WorkOutcome,
}

impl BackendBody {
    pub(crate) fn new(
        body: ClientBody,
        ticket: DispatchTicket,
        is_event_stream: bool,
        complete_outcome: WorkOutcome,
    ) -> Self {
        let events = is_event_stream.then(EventBoundary::default);
        Self { body, ticket: Some(ticket), events, complete_outcome }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = self.body.next().await;
        match &chunk {
            Some(Ok(bytes)) => {
                let has_event = self.events.as_mut().is_some_and(|events| events.read(bytes));
                if let Some(ticket) = &self.ticket {
                    ticket.note_first_byte();
                    if has_event {
                        ticket.note_event();
                    }
                }
            }
            None => self.finish(self.complete_outcome),
            Some(Err(_)) => self.finish(WorkOutcome::Broken),
        }
        chunk
    }

    fn finish(&mut self, outcome: WorkOutcome) {
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(outcome);
        }
    }
}
