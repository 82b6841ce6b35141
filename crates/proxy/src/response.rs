//! Responses that have begun: the head, and the body as a stream.

use {
    crate::{
        dispatcher::DispatchTicket, forward::ForwardBody, liveness::RunLiveness,
        outcome::AttemptTarget,
    },
    bytes::Bytes,
    gullglade_dispatch::WorkOutcome,
    gullglade_http::{BodyError, ClientBody, EventBoundary, MAX_EVENT_BYTES, UnframedBody},
    gullglade_units::MonotonicTime,
    http::{
        HeaderMap, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE},
        response::Parts,
    },
    std::time::Duration,
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

/// Time after which bytes without a complete event, such as comments, are no sign of life if they
/// still come. It is below the 2.4 s after which a silent run is replaced at the earliest while its
/// backend server is at work, so that the run is counted when it is cancelled.
const UNFINISHED_EVENT_LIMIT: Duration = Duration::from_secs(2);

/// A body still goes on if bytes of it came within this time. Backend servers that send a comment
/// every few seconds, to keep a connection open, are not meant.
const RECENT: Duration = Duration::from_secs(1);

/// What is relayed after the time of its request. What has arrived by then is relayed, even if the
/// caller reads it late, but a body without an end always has more.
#[derive(Default)]
pub(crate) struct LateOutput {
    bytes: usize,
    /// Time that the gateway took to receive it. The caller's time is not included.
    waited: Duration,
}

/// Most of these bytes: what the buffers of a connection usually hold.
const MAX_LATE_BYTES: usize = 1 << 20;

/// Longest time to receive them.
const MAX_LATE_WAIT: Duration = Duration::from_millis(250);

impl LateOutput {
    /// Counts `length` bytes that took `waited` to receive, if no time is left.
    pub(crate) fn note(&mut self, length: usize, waited: Duration, left: Duration) {
        if left.is_zero() {
            self.bytes += length;
            self.waited += waited;
        }
    }

    /// Returns how long to wait for the next bytes of `body`. Bytes that have arrived, and wait only
    /// for the turn of their connection, are waited for although no time is `left`.
    pub(crate) fn wait_limit(&self, body: &ResponseBody, left: Duration) -> Duration {
        match body.is_paused() {
            true => left.max(MAX_LATE_WAIT.saturating_sub(self.waited)),
            false => left,
        }
    }

    /// Returns `true` if no more may be relayed.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.bytes > MAX_LATE_BYTES || self.waited > MAX_LATE_WAIT
    }
}

/// A gateway in another region cancels a run at the end of its time by its own clock.
const CANCEL_TOLERANCE: Duration = Duration::from_millis(100);

/// Body of a response. Dropping it before its end cancels the work of the backend server.
pub(crate) enum ResponseBody {
    Backend(Box<BackendBody>),
    Forward(ForwardBody),
}

impl ResponseBody {
    /// Notes that the caller reads slowly, so that the body may go on for that reason.
    pub(crate) fn note_slow_caller(&mut self) {
        if let Self::Backend(body) = self {
            body.may_be_long = true;
        }
    }

    /// Returns whether the answer has begun, which comments in a stream of events do not show.
    pub(crate) fn has_begun(&self) -> bool {
        match self {
            Self::Backend(body) => match &body.content {
                BodyContent::Events(events) => events.has_event(),
                BodyContent::Plain | BodyContent::Error => true,
            },
            Self::Forward(_) => true,
        }
    }

    /// Returns whether bytes have arrived that wait for the turn of their connection.
    fn is_paused(&self) -> bool {
        match self {
            Self::Backend(body) => body.body.is_paused(),
            Self::Forward(_) => false,
        }
    }

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
    /// True if the body may go on beyond the time of its request: it has a declared length, which
    /// the client enforces, or the caller reads slowly.
    may_be_long: bool,
    /// End of the request's time.
    ends: MonotonicTime,
    /// Outcome to report if the body is complete.
    complete_outcome: WorkOutcome,
    last_byte: Option<MonotonicTime>,
    /// Time of the first byte since the last event.
    unfinished_since: Option<MonotonicTime>,
}

impl BackendBody {
    /// Creates the body of a response with this head to a request whose time is over at `ends`.
    pub(crate) fn new(
        body: ClientBody,
        ticket: DispatchTicket,
        head: &Parts,
        ends: MonotonicTime,
    ) -> Self {
        let content = BodyContent::of(head.status, &head.headers);
        let is_unframed = head.extensions.get::<UnframedBody>().is_some();
        let may_be_long = head.headers.contains_key(CONTENT_LENGTH);
        let complete_outcome = match head.status.is_server_error() {
            true => WorkOutcome::Failed,
            false => WorkOutcome::Answered,
        };
        Self {
            body,
            ticket: Some(ticket),
            content,
            is_unframed,
            may_be_long,
            ends,
            complete_outcome,
            last_byte: None,
            unfinished_since: None,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let chunk = self.body.next().await;
        match &chunk {
            Some(Ok(bytes)) => {
                self.note_chunk(bytes);
                if self.pending_event_bytes() > MAX_EVENT_BYTES {
                    self.finish(WorkOutcome::Garbled);
                    let reason = format!("{MAX_EVENT_BYTES} bytes without a complete event");
                    return Some(Err(BodyError::Malformed { reason }));
                }
            }
            None if self.is_cut_short() => {
                self.finish(WorkOutcome::Broken);
                let reason = "the connection was closed before or inside an event".to_owned();
                return Some(Err(BodyError::Incomplete { reason }));
            }
            None => {
                if let (BodyContent::Plain, Some(ticket)) = (&self.content, &self.ticket) {
                    ticket.note_answer_begun();
                }
                match self.body.has_stray_bytes() {
                    true => self.finish(WorkOutcome::Garbled),
                    false => self.finish_complete(),
                }
            }
            Some(Err(BodyError::Malformed { .. })) => self.finish(WorkOutcome::Garbled),
            Some(Err(_)) => self.finish(WorkOutcome::Broken),
        }
        chunk
    }

    /// Reports a complete response. Bytes that come after it are reported when they come.
    fn finish_complete(&mut self) {
        if let Some(callback) = self.ticket.as_ref().and_then(DispatchTicket::stray_bytes_callback)
        {
            self.body.on_stray_bytes(callback);
        }
        self.finish(self.complete_outcome);
    }

    fn pending_event_bytes(&self) -> usize {
        match &self.content {
            BodyContent::Events(events) => events.pending(),
            BodyContent::Plain | BodyContent::Error => 0,
        }
    }

    /// Returns whether a plain body goes on although the time of its request is over. A stream of
    /// events may just be long.
    fn has_no_end(&self, now: MonotonicTime) -> bool {
        let is_plain = !matches!(self.content, BodyContent::Events(_));
        let is_recent = self.last_byte.is_some_and(|at| now.since(at) < RECENT);
        is_plain && is_recent && !self.may_be_long && now + CANCEL_TOLERANCE >= self.ends
    }

    /// Returns whether the backend server sends bytes, such as comments, in place of an event.
    fn sends_no_event(&self, now: MonotonicTime) -> bool {
        let is_recent = self.last_byte.is_some_and(|at| now.since(at) < RECENT);
        is_recent
            && self.unfinished_since.is_some_and(|since| now.since(since) >= UNFINISHED_EVENT_LIMIT)
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
        let now = ticket.now();
        self.last_byte = Some(now);
        let BodyContent::Events(events) = &mut self.content else {
            ticket.note_progress(1);
            return;
        };
        let has_event = events.read(bytes);
        ticket.note_progress(events.events());
        if has_event {
            ticket.note_answer_begun();
            self.unfinished_since = None;
        } else {
            self.unfinished_since.get_or_insert(now);
        }
    }

    fn finish(&mut self, outcome: WorkOutcome) {
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(outcome);
        }
    }
}

impl Drop for BackendBody {
    fn drop(&mut self) {
        let now = self.ticket.as_ref().map(DispatchTicket::now);
        if now.is_some_and(|now| self.sends_no_event(now) || self.has_no_end(now)) {
            self.finish(WorkOutcome::Garbled);
        }
    }
}
