//! Responses that have begun: the head, and the body as a stream.

use {
    crate::{
        dispatcher::DispatchTicket, event_boundary::EventBoundary, forward::ForwardBody,
        liveness::RunLiveness, outcome::AttemptTarget,
    },
    bytes::Bytes,
    gullglade_dispatch::WorkOutcome,
    gullglade_http::{BodyError, ClientBody, UnframedBody},
    http::{HeaderMap, StatusCode, header::CONTENT_TYPE, response::Parts},
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
    Backend(Box<BackendBody>),
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

/// Content of a body, as far as it shows that an answer has begun.
enum BodyContent {
    /// A stream of events, and the position in it.
    Events(EventBoundary),
    /// A plain answer.
    Plain,
    /// An error of the backend server's own.
    Error,
}

impl BodyContent {
    fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        match status.is_success() {
            true if is_event_stream(status, headers) => Self::Events(EventBoundary::default()),
            true => Self::Plain,
            false => Self::Error,
        }
    }
}

/// Body from a backend server of the own region. It reports the outcome to the scheduler.
pub(crate) struct BackendBody {
    body: ClientBody,
    ticket: Option<DispatchTicket>,
    content: BodyContent,
    /// True if the body ends with its connection, whether or not it is whole.
    is_unframed: bool,
    /// Outcome to report if the body is complete.
    complete_outcome: WorkOutcome,
}

impl BackendBody {
    /// Creates the body of a response with this head.
    pub(crate) fn new(body: ClientBody, ticket: DispatchTicket, head: &Parts) -> Self {
        let content = BodyContent::of(head.status, &head.headers);
        let is_unframed = head.extensions.get::<UnframedBody>().is_some();
        let complete_outcome = match head.status.is_server_error() {
            true => WorkOutcome::Failed,
            false => WorkOutcome::Answered,
        };
        Self { body, ticket: Some(ticket), content, is_unframed, complete_outcome }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = self.body.next().await;
        match &chunk {
            Some(Ok(bytes)) => self.note_chunk(bytes),
            None if self.is_cut_short() => {
                self.finish(WorkOutcome::Broken);
                let reason = "the connection was closed before or inside an event".to_owned();
                return Some(Err(BodyError::Incomplete { reason }));
            }
            None => {
                if let (BodyContent::Plain, Some(ticket)) = (&self.content, &self.ticket) {
                    ticket.note_answer_begun();
                }
                self.finish(self.complete_outcome);
            }
            Some(Err(_)) => self.finish(WorkOutcome::Broken),
        }
        chunk
    }

    /// Returns whether the body ends where a whole one cannot. An unframed stream without an event
    /// is one whose backend server crashed as it began to answer.
    fn is_cut_short(&self) -> bool {
        match &self.content {
            BodyContent::Events(events) => {
                events.is_inside_event() || (self.is_unframed && !events.has_event())
            }
            BodyContent::Plain | BodyContent::Error => false,
        }
    }

    fn note_chunk(&mut self, bytes: &[u8]) {
        let Some(ticket) = &self.ticket else { return };
        let BodyContent::Events(events) = &mut self.content else {
            ticket.note_progress(1);
            return;
        };
        let has_event = events.read(bytes);
        ticket.note_progress(events.events());
        if has_event {
            ticket.note_answer_begun();
        }
    }

    fn finish(&mut self, outcome: WorkOutcome) {
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(outcome);
        }
    }
}
