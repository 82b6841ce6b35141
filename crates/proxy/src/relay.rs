//! Relays responses to callers: plain bodies, and event streams.

use {
    crate::{
        execution::RequestExecution,
        handover::{OutputState, RunOutput},
        liveness::{RunLiveness, RunMonitor},
        outcome::{AttemptTarget, RequestError, UnknownReason},
        replacement::WaitOutcome,
        response::{AttemptResponse, LateOutput, ResponseBody},
    },
    bytes::{Bytes, BytesMut},
    futures::stream::unfold,
    gullglade_http::{BodyBudget, BodyError, BodyLease, EventBoundary, MAX_EVENT_BYTES, ReplyBody},
    gullglade_units::{Clock, MonotonicTime, timeout},
    http::{HeaderMap, Response, StatusCode, header::CONTENT_LENGTH},
    std::{rc::Rc, time::Duration},
};

/// Responses up to this size are read completely before the first byte is relayed, so that one that
/// breaks off can still be retried or reported as an error. Without memory for them, less is.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// The most bytes of the beginning of a long response that are relayed at once.
const RELAYED_PIECE_BYTES: usize = 16 << 10;

/// Another place is sought for a resumable stream after a pause of the longest one that callers
/// accept as prompt, multiplied by this factor, and of at least [`MIN_GAP_LIMIT`].
const GAP_FACTOR: u32 = 4;
const MIN_GAP_LIMIT: Duration = Duration::from_millis(1_200);

/// Factor on the allowed pause of a stream whose backend server responds to others: the stream may
/// have been preempted there, or hang alone.
const AT_WORK_FACTOR: u32 = 2;

impl RequestExecution {
    /// Executes the request and returns the reply to the caller.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        match self.produce_reply().await {
            Ok(reply) => reply.into_response(self),
            Err(error) => {
                self.log.record_error(error, &self.item);
                error.into_response(self.proxy.dialect())
            }
        }
    }

    async fn produce_reply(&mut self) -> Result<RelayedReply, RequestError> {
        let mut fallback = None;
        loop {
            let response = match self.next_response().await {
                Ok(response) => response,
                Err(error) => return fallback.ok_or(error),
            };
            let is_failure = response.is_failure();
            let reply = match self.item.route.kind.is_stream() && response.is_event_stream() {
                true => self.first_events(response).await,
                false => self.read_buffered(response).await,
            };
            match reply {
                Err(error) => return fallback.ok_or(error),
                Ok(None) => continue,
                Ok(Some(reply)) if is_failure => {
                    if !self.handle_failure() {
                        return Ok(reply);
                    }
                    self.log.record_retry_after_failure(reply.status);
                    fallback = Some(reply);
                }
                Ok(Some(reply)) => return Ok(reply),
            }
        }
    }

    /// Buffers a response. Returns `None` if it broke off and is to be retried.
    async fn read_buffered(
        &mut self,
        response: AttemptResponse,
    ) -> Result<Option<RelayedReply>, RequestError> {
        let AttemptResponse { target, liveness, status, headers, mut body } = response;
        let monitor = self.body_monitor(target, liveness);
        let mut buffered = BytesMut::new();
        let mut lease = self.proxy.body_budget().lease();
        loop {
            match self.wait_or_replace(&monitor, body.next()).await {
                WaitOutcome::Output(None) => {
                    let body = RelayedBody::Complete(lease.attach(buffered.freeze()));
                    return Ok(Some(RelayedReply { status, headers, body }));
                }
                WaitOutcome::Output(Some(Ok(bytes))) => buffered.extend_from_slice(&bytes),
                WaitOutcome::Output(Some(Err(error))) => {
                    drop(body);
                    self.handle_unknown(UnknownReason::of_body(&error))?;
                    return Ok(None);
                }
                WaitOutcome::Replaced => return Ok(None),
                WaitOutcome::TimedOut => {
                    self.handle_unknown(UnknownReason::Overdue)?;
                    return Ok(None);
                }
            }
            let has_memory = lease.grow_to(buffered.len().next_power_of_two()).is_ok();
            if buffered.len() > MAX_BUFFERED_BYTES || !has_memory {
                let first = lease.attach(buffered.freeze());
                let body = RelayedBody::Long { first, rest: body };
                return Ok(Some(RelayedReply { status, headers, body }));
            }
        }
    }

    /// Waits for the first events of a stream. Returns `None` if it broke off and is to be retried.
    async fn first_events(
        &mut self,
        response: AttemptResponse,
    ) -> Result<Option<RelayedReply>, RequestError> {
        let AttemptResponse { target, liveness, status, headers, body } = response;
        let mut events = self.event_reader(target, liveness, body);
        match self.next_events(&mut events).await {
            EventStep::Events(first) => {
                self.log.note_first_event();
                let body = RelayedBody::Events { first: Some(first), events: Box::new(events) };
                Ok(Some(RelayedReply { status, headers, body }))
            }
            EventStep::End => {
                let body = RelayedBody::Complete(Bytes::new());
                Ok(Some(RelayedReply { status, headers, body }))
            }
            EventStep::Replaced => Ok(None),
            EventStep::Broken(reason) => {
                self.handle_unknown(reason)?;
                Ok(None)
            }
        }
    }

    fn event_reader(
        &self,
        target: AttemptTarget,
        liveness: RunLiveness,
        body: ResponseBody,
    ) -> EventReader {
        let clock = Rc::clone(&self.proxy.context().clock);
        let budget = self.proxy.body_budget().clone();
        EventReader::new(body, self.body_monitor(target, liveness), budget, clock)
    }

    fn body_monitor(&self, target: AttemptTarget, liveness: RunLiveness) -> RunMonitor {
        let gap = self.item.route.gap_objective.unwrap_or_default() * GAP_FACTOR;
        let silence_limit = gap.max(MIN_GAP_LIMIT);
        RunMonitor {
            target,
            liveness,
            silence_limit,
            at_work_silence_limit: Some(silence_limit * AT_WORK_FACTOR),
        }
    }

    /// Returns the next complete events. A run that ends without them is cancelled here.
    async fn next_events(&mut self, events: &mut EventReader) -> EventStep {
        let monitor = events.monitor.clone();
        let asked = self.now();
        let began = events.silent_since.unwrap_or(asked);
        let step = match self.wait_or_replace_since(&monitor, began, events.next()).await {
            WaitOutcome::Output(EventStep::Events(batch)) => {
                events.late.note(batch.bytes.len(), self.now().since(asked), self.left());
                match events.late.is_exceeded() {
                    true => {
                        self.log.note_limit(self.reached_limit());
                        EventStep::Broken(UnknownReason::Overdue)
                    }
                    false => self.accept_events(batch),
                }
            }
            WaitOutcome::Output(step) => step,
            WaitOutcome::Replaced => EventStep::Replaced,
            WaitOutcome::TimedOut => EventStep::Broken(UnknownReason::Overdue),
        };
        if matches!(step, EventStep::Broken(_) | EventStep::Replaced) {
            events.cancel();
        }
        step
    }

    /// Accepts events that continue after those that the caller has.
    fn accept_events(&mut self, batch: EventBatch) -> EventStep {
        if !batch.has_event {
            return EventStep::Events(batch);
        }
        self.log.note_chunk();
        self.note_response_begun();
        if !batch.follows(self.last_event) {
            return EventStep::Broken(UnknownReason::Garbled);
        }
        self.last_event = batch.last.or(self.last_event);
        EventStep::Events(batch)
    }

    /// Returns the next chunk of a stream that has begun. A stream that breaks off is resumed with
    /// another run.
    async fn next_chunk(&mut self, events: &mut EventReader) -> Option<Result<Bytes, BodyError>> {
        loop {
            let (reason, planned) = match self.next_events(events).await {
                EventStep::Events(batch) => return Some(Ok(batch.bytes)),
                EventStep::End => return None,
                EventStep::Replaced => (UnknownReason::Overdue, Ok(())),
                EventStep::Broken(reason) => (reason, self.handle_unknown(reason)),
            };
            let resumed = match planned {
                Ok(()) => self.resume(reason).await,
                Err(error) => Err(error),
            };
            match resumed {
                Ok(resumed) => *events = resumed,
                Err(error) => {
                    self.log.record_broke_off(reason, events.was_at_work, &self.item);
                    let reason = format!("{error:?}");
                    return Some(Err(BodyError::Aborted { reason }));
                }
            }
        }
    }

    /// Resumes the stream after the last event that the caller has, with another run.
    async fn resume(&mut self, reason: UnknownReason) -> Result<EventReader, RequestError> {
        loop {
            let response = self.next_response().await?;
            if response.is_event_stream() {
                self.log.record_resumed(reason, self.last_event);
                let AttemptResponse { target, liveness, body, .. } = response;
                return Ok(self.event_reader(target, liveness, body));
            }
            drop(response);
            self.handle_unknown(UnknownReason::Garbled)?;
        }
    }
}

/// A reply that is ready to be relayed.
struct RelayedReply {
    status: StatusCode,
    headers: HeaderMap,
    body: RelayedBody,
}

enum RelayedBody {
    Complete(Bytes),
    Long { first: Bytes, rest: ResponseBody },
    Events { first: Option<EventBatch>, events: Box<EventReader> },
}

impl RelayedReply {
    fn into_response(self, mut execution: RequestExecution) -> Response<ReplyBody> {
        let Self { status, headers, body } = self;
        let body = match body {
            RelayedBody::Complete(bytes) => {
                execution.log.record_answered(status, &execution.item);
                ReplyBody::full(bytes)
            }
            RelayedBody::Long { first, rest } => long_body(execution, status, first, rest),
            RelayedBody::Events { first, events } => event_body(execution, status, first, *events),
        };
        let is_stream = matches!(body, ReplyBody::Stream(_));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if is_stream {
            // The length may change if the stream is resumed; the framing marks the end.
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        response
    }
}

/// Relays a long response chunk by chunk.
fn long_body(
    execution: RequestExecution,
    status: StatusCode,
    first: Bytes,
    rest: ResponseBody,
) -> ReplyBody {
    let began = execution.now();
    let relay = LongRelay {
        execution,
        status,
        first,
        rest: Some(rest),
        late: LateOutput::default(),
        began,
        waited: Duration::ZERO,
    };
    let (replies, request) =
        (Rc::clone(relay.execution.proxy.relayed_replies()), relay.execution.request.id.clone());
    let service = relay.execution.item.service.clone();
    // Boxed, since the stream moves its state with each chunk.
    let stream = unfold(Box::new(relay), |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    replies.watch(request, service, Box::pin(stream))
}

/// Relays a long response.
struct LongRelay {
    execution: RequestExecution,
    status: StatusCode,
    /// What has not been relayed of the beginning.
    first: Bytes,
    /// `None` after the end.
    rest: Option<ResponseBody>,
    late: LateOutput,
    began: MonotonicTime,
    /// Time spent waiting for the backend server; the remaining time was spent by the caller.
    waited: Duration,
}

impl LongRelay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if !self.first.is_empty() {
            let length = self.first.len().min(RELAYED_PIECE_BYTES);
            return Some(Ok(self.first.split_to(length)));
        }
        let rest = self.rest.as_mut()?;
        let clock = Rc::clone(&self.execution.proxy.context().clock);
        let before = clock.now();
        let limit = self.late.wait_limit(rest, self.execution.left());
        let next = timeout(&*clock, limit, rest.next()).await;
        let waited = clock.now().since(before);
        self.waited += waited;
        match next {
            Some(Some(Ok(chunk))) => {
                self.late.note(chunk.len(), waited, self.execution.left());
                match self.late.is_exceeded() {
                    true => Some(self.time_out()),
                    false => Some(Ok(chunk)),
                }
            }
            Some(Some(Err(error))) => {
                self.rest = None;
                let reason = UnknownReason::of_body(&error);
                self.execution.log.record_broke_off(reason, None, &self.execution.item);
                Some(Err(error))
            }
            Some(None) => {
                self.execution.log.record_answered(self.status, &self.execution.item);
                self.rest = None;
                None
            }
            None => Some(self.time_out()),
        }
    }

    /// Ends the response at the end of its request's time.
    fn time_out(&mut self) -> Result<Bytes, BodyError> {
        let Self { execution, began, waited, .. } = self;
        // A caller that reads slowly keeps a body going that has an end.
        let is_caller_slow = *waited * 2 < execution.now().since(*began);
        if let Some(mut rest) = self.rest.take()
            && is_caller_slow
        {
            rest.note_slow_caller();
        }
        execution.log.note_limit(execution.total_limit);
        execution.log.record_broke_off(UnknownReason::Overdue, None, &execution.item);
        let reason = "the time limit of the request was reached".to_owned();
        Err(BodyError::Aborted { reason })
    }
}

/// Relays events as they arrive.
fn event_body(
    execution: RequestExecution,
    status: StatusCode,
    first: Option<EventBatch>,
    events: EventReader,
) -> ReplyBody {
    // Boxed, since the stream moves its state with each chunk.
    let (replies, request) =
        (Rc::clone(execution.proxy.relayed_replies()), execution.request.id.clone());
    let service = execution.item.service.clone();
    let state = Box::new((execution, first, events, false));
    let stream = unfold(state, move |mut state| async move {
        let (execution, first, events, is_finished) = &mut *state;
        if *is_finished {
            return None;
        }
        if let Some(batch) = first.take() {
            return Some((Ok(batch.bytes), state));
        }
        match execution.next_chunk(events).await {
            Some(chunk) => {
                *is_finished = chunk.is_err();
                Some((chunk, state))
            }
            None => {
                execution.log.record_answered(status, &execution.item);
                None
            }
        }
    });
    replies.watch(request, service, Box::pin(stream))
}

/// A batch of complete events.
struct EventBatch {
    bytes: Bytes,
    first: Option<u64>,
    last: Option<u64>,
    /// False if it consists of comments.
    has_event: bool,
}

impl EventBatch {
    /// Returns `true` if the events continue after `last`: in order and without duplicates.
    fn follows(&self, last: Option<u64>) -> bool {
        match (self.first, last) {
            (Some(first), Some(last)) => first > last,
            _ => true,
        }
    }
}

enum EventStep {
    Events(EventBatch),
    End,
    /// Another run is secured.
    Replaced,
    Broken(UnknownReason),
}

impl RunOutput for EventStep {
    fn state(&self) -> OutputState {
        match self {
            Self::Events(_) => OutputState::Progress,
            Self::End => OutputState::Complete,
            Self::Replaced | Self::Broken(_) => OutputState::Failed,
        }
    }
}

/// Reads complete events from a body. A run may break off inside an event, and a partial one must
/// not reach the caller, since another run sends it again from its beginning.
struct EventReader {
    /// `None` once the run is cancelled.
    body: Option<ResponseBody>,
    buffer: BytesMut,
    /// Memory of the buffer, which an event without an end would fill.
    lease: BodyLease,
    budget: BodyBudget,
    /// Length of the beginning of the buffer without an end of an event.
    searched: usize,
    monitor: RunMonitor,
    /// State of the backend server when the run was cancelled: true if it was at work; `None` if
    /// unknown.
    was_at_work: Option<bool>,
    clock: Rc<dyn Clock>,
    /// Time of the first comment since the last event. Comments do not end the silence of a run.
    silent_since: Option<MonotonicTime>,
    late: LateOutput,
}

impl EventReader {
    fn new(
        body: ResponseBody,
        monitor: RunMonitor,
        budget: BodyBudget,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self {
            lease: budget.lease(),
            budget,
            body: Some(body),
            buffer: BytesMut::new(),
            searched: 0,
            monitor,
            was_at_work: None,
            clock,
            silent_since: None,
            late: LateOutput::default(),
        }
    }

    /// Cancels the run.
    fn cancel(&mut self) {
        self.was_at_work = Some(self.monitor.liveness.is_at_work());
        self.body = None;
        self.buffer.clear();
        self.searched = 0;
        self.lease = self.budget.lease();
    }

    async fn next(&mut self) -> EventStep {
        let Some(body) = &mut self.body else {
            return EventStep::Broken(UnknownReason::Incomplete);
        };
        loop {
            match body.next().await {
                None if self.buffer.is_empty() => return EventStep::End,
                None => return EventStep::Broken(UnknownReason::Incomplete),
                Some(Err(error)) => return EventStep::Broken(UnknownReason::of_body(&error)),
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
            }
            if let Some(batch) = take_complete_events(&mut self.buffer, &mut self.searched) {
                self.lease = self.budget.lease();
                if !is_ignored(&batch, &mut self.silent_since, &self.monitor, &*self.clock) {
                    return EventStep::Events(batch);
                }
            }
            if self.lease.grow_to(self.buffer.len().next_power_of_two()).is_err() {
                return EventStep::Broken(UnknownReason::Incomplete);
            }
            // A body from another region may come from a gateway of a version without this bound.
            if self.buffer.len() > MAX_EVENT_BYTES {
                return EventStep::Broken(UnknownReason::Garbled);
            }
        }
    }
}

/// Returns whether the caller does not get `batch`: comments of a run that has been silent for
/// longer than is allowed, since each batch for the caller would interrupt the search for another
/// place.
fn is_ignored(
    batch: &EventBatch,
    silent_since: &mut Option<MonotonicTime>,
    monitor: &RunMonitor,
    clock: &dyn Clock,
) -> bool {
    if batch.has_event {
        *silent_since = None;
        return false;
    }
    let now = clock.now();
    now.since(*silent_since.get_or_insert(now)) >= monitor.silence_limit
}

/// Takes the complete events from the buffer. The first `searched` bytes are known to contain no end
/// of an event; searching them again with each chunk would cost the square of an event's length.
fn take_complete_events(buffer: &mut BytesMut, searched: &mut usize) -> Option<EventBatch> {
    let end = complete_events_end(buffer, *searched);
    *searched = buffer.len() - end.unwrap_or_default();
    let end = end?;
    let bytes = buffer.split_to(end).freeze();
    let (first, last) = event_ids(&bytes);
    let has_event = EventBoundary::default().read(&bytes);
    Some(EventBatch { bytes, first, last, has_event })
}

/// Returns the offset after the last blank line that ends after the first `searched` bytes.
fn complete_events_end(bytes: &[u8], searched: usize) -> Option<usize> {
    (searched.max(1)..bytes.len()).rev().find_map(|at| {
        let is_blank = bytes[at] == b'\n'
            && (bytes[at - 1] == b'\n'
                || (at >= 2 && bytes[at - 1] == b'\r' && bytes[at - 2] == b'\n'));
        is_blank.then_some(at + 1)
    })
}

/// Returns the first and the last event id.
fn event_ids(bytes: &[u8]) -> (Option<u64>, Option<u64>) {
    let mut ids = bytes.split(|b| *b == b'\n').filter_map(event_id);
    let first = ids.next();
    (first, ids.next_back().or(first))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}
