//! Answers on their way to the caller: whole ones, and streams of events.

use {
    crate::{
        answer::{AnswerBody, AttemptAnswer},
        handover::{OutputState, RunOutput},
        journey::Journey,
        liveness::{RunLiveness, RunWatch},
        outcome::{AttemptPlace, FinalWord, UnknownReason},
        replacement::WaitEnd,
    },
    bytes::{Bytes, BytesMut},
    futures::stream::unfold,
    gullglade_http::{BodyError, ReplyBody},
    gullglade_units::timeout,
    http::{
        HeaderMap, Response, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE},
    },
    std::{rc::Rc, time::Duration},
};

/// Answers up to this size are read whole before the first byte is passed on, so that one that
/// breaks off can still be asked for again, or be told as a failure.
const WHOLE_BYTES: usize = 1 << 20;

/// Another place is sought beside a stream that may be resumed after a pause of this many times the
/// longest one that its callers accept as prompt, and at least the time below.
const GAP_FACTOR: u32 = 4;
const LEAST_GAP: Duration = Duration::from_millis(1_200);

/// A stream whose backend server answers others is waited for so many times as long: it may have
/// been preempted there, or hang alone.
const WORK_FACTOR: u32 = 2;

/// The type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

impl Journey {
    /// The reply to the caller.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        match self.answer().await {
            Ok(reply) => reply.into_response(self),
            Err(word) => {
                self.log.ended_with(word, &self.item);
                word.into_response(self.proxy.dialect())
            }
        }
    }

    async fn answer(&mut self) -> Result<RelayedReply, FinalWord> {
        let mut fallback = None;
        loop {
            let answer = match self.next_answer().await {
                Ok(answer) => answer,
                Err(word) => return fallback.ok_or(word),
            };
            let is_failure = answer.is_failure();
            let reply = match self.item.route.kind.is_stream() && is_event_stream(&answer) {
                true => self.first_events(answer).await,
                false => self.whole(answer).await,
            };
            match reply {
                Err(word) => return fallback.ok_or(word),
                Ok(None) => continue,
                Ok(Some(reply)) if is_failure => {
                    if !self.after_failure() {
                        return Ok(reply);
                    }
                    self.log.repeats_failure(reply.status);
                    fallback = Some(reply);
                }
                Ok(Some(reply)) => return Ok(reply),
            }
        }
    }

    /// Reads an answer whole; `None` where it broke off and is to be asked for again.
    async fn whole(&mut self, answer: AttemptAnswer) -> Result<Option<RelayedReply>, FinalWord> {
        let AttemptAnswer { place, liveness, status, headers, mut body } = answer;
        let watch = self.body_watch(place, liveness);
        let mut whole = BytesMut::new();
        loop {
            match self.wait_or_replace(&watch, body.next()).await {
                WaitEnd::Came(None) => {
                    let body = RelayedBody::Whole(whole.freeze());
                    return Ok(Some(RelayedReply { status, headers, body }));
                }
                WaitEnd::Came(Some(Ok(bytes))) => whole.extend_from_slice(&bytes),
                WaitEnd::Came(Some(Err(_))) => {
                    drop(body);
                    self.after_unknown(UnknownReason::Incomplete)?;
                    return Ok(None);
                }
                WaitEnd::Replaced => return Ok(None),
                WaitEnd::TimedOut => {
                    self.after_unknown(UnknownReason::Overdue)?;
                    return Ok(None);
                }
            }
            if whole.len() > WHOLE_BYTES {
                let body = RelayedBody::Long { first: whole.freeze(), rest: body };
                return Ok(Some(RelayedReply { status, headers, body }));
            }
        }
    }

    /// Waits for the first events of a stream; `None` where it broke off and is to be asked for
    /// again.
    async fn first_events(
        &mut self,
        answer: AttemptAnswer,
    ) -> Result<Option<RelayedReply>, FinalWord> {
        let AttemptAnswer { place, liveness, status, headers, body } = answer;
        let mut events = EventReader::new(body, self.body_watch(place, liveness));
        match self.next_events(&mut events).await {
            EventStep::Events(first) => {
                self.log.first_event();
                let body = RelayedBody::Events { first: Some(first), events };
                Ok(Some(RelayedReply { status, headers, body }))
            }
            EventStep::End => {
                let body = RelayedBody::Whole(Bytes::new());
                Ok(Some(RelayedReply { status, headers, body }))
            }
            EventStep::Replaced => Ok(None),
            EventStep::Broken(reason) => {
                self.after_unknown(reason)?;
                Ok(None)
            }
        }
    }

    fn body_watch(&self, place: AttemptPlace, liveness: RunLiveness) -> RunWatch {
        let gap = self.item.route.gap_objective.unwrap_or_default() * GAP_FACTOR;
        let patience = gap.max(LEAST_GAP);
        RunWatch { place, liveness, patience, work_patience: Some(patience * WORK_FACTOR) }
    }

    /// The next whole events. A run that ends without them is cancelled here.
    async fn next_events(&mut self, events: &mut EventReader) -> EventStep {
        let watch = events.watch.clone();
        let step = match self.wait_or_replace(&watch, events.next()).await {
            WaitEnd::Came(EventStep::Events(batch)) => self.take_events(batch),
            WaitEnd::Came(step) => step,
            WaitEnd::Replaced => EventStep::Replaced,
            WaitEnd::TimedOut => EventStep::Broken(UnknownReason::Overdue),
        };
        if matches!(step, EventStep::Broken(_) | EventStep::Replaced) {
            events.cancel();
        }
        step
    }

    /// Takes note of events that came, where they go on after those that the caller has.
    fn take_events(&mut self, batch: EventBatch) -> EventStep {
        self.log.piece_came();
        self.note_begun();
        if !batch.follows(self.last_event) {
            return EventStep::Broken(UnknownReason::Garbled);
        }
        self.last_event = batch.last.or(self.last_event);
        EventStep::Events(batch)
    }

    /// The next piece of a stream that has begun, resumed elsewhere where it breaks off.
    async fn next_piece(&mut self, events: &mut EventReader) -> Option<Result<Bytes, BodyError>> {
        loop {
            let (reason, planned) = match self.next_events(events).await {
                EventStep::Events(batch) => return Some(Ok(batch.bytes)),
                EventStep::End => return None,
                EventStep::Replaced => (UnknownReason::Overdue, Ok(())),
                EventStep::Broken(reason) => (reason, self.after_unknown(reason)),
            };
            let resumed = match planned {
                Ok(()) => self.resume(reason).await,
                Err(word) => Err(word),
            };
            match resumed {
                Ok(resumed) => *events = resumed,
                Err(word) => {
                    self.log.broke_off(reason, events.was_at_work, &self.item);
                    let reason = format!("{word:?}");
                    return Some(Err(BodyError::Aborted { reason }));
                }
            }
        }
    }

    /// Goes on after the last event that the caller has, with another run.
    async fn resume(&mut self, reason: UnknownReason) -> Result<EventReader, FinalWord> {
        loop {
            let answer = self.next_answer().await?;
            if answer.status.is_success() && is_event_stream(&answer) {
                self.log.resumed(reason, self.last_event);
                let AttemptAnswer { place, liveness, body, .. } = answer;
                return Ok(EventReader::new(body, self.body_watch(place, liveness)));
            }
            drop(answer);
            self.after_unknown(UnknownReason::Garbled)?;
        }
    }
}

fn is_event_stream(answer: &AttemptAnswer) -> bool {
    let kind = answer.headers.get(CONTENT_TYPE).map(http::HeaderValue::as_bytes);
    answer.status.is_success() && kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

/// A reply that can be passed on.
struct RelayedReply {
    status: StatusCode,
    headers: HeaderMap,
    body: RelayedBody,
}

enum RelayedBody {
    Whole(Bytes),
    Long { first: Bytes, rest: AnswerBody },
    Events { first: Option<EventBatch>, events: EventReader },
}

impl RelayedReply {
    fn into_response(self, mut journey: Journey) -> Response<ReplyBody> {
        let Self { status, headers, body } = self;
        let body = match body {
            RelayedBody::Whole(bytes) => {
                journey.log.answered(status, &journey.item);
                ReplyBody::full(bytes)
            }
            RelayedBody::Long { first, rest } => long_body(journey, status, first, rest),
            RelayedBody::Events { first, events } => event_body(journey, status, first, events),
        };
        let is_stream = matches!(body, ReplyBody::Stream(_));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        if is_stream {
            // Its length may change where it is resumed; the end is told by the framing.
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        response
    }
}

/// Passes on a long answer piece by piece.
fn long_body(journey: Journey, status: StatusCode, first: Bytes, rest: AnswerBody) -> ReplyBody {
    let state = (journey, Some(first), Some(rest));
    ReplyBody::stream(unfold(state, move |(mut journey, mut first, rest)| async move {
        if let Some(first) = first.take() {
            return Some((Ok(first), (journey, None, rest)));
        }
        let mut rest = rest?;
        let clock = Rc::clone(&journey.proxy.context().clock);
        match timeout(&*clock, journey.left(), rest.next()).await {
            Some(Some(piece)) => Some((piece, (journey, None, Some(rest)))),
            Some(None) => {
                journey.log.answered(status, &journey.item);
                None
            }
            None => {
                journey.log.reached(journey.bound);
                journey.log.broke_off(UnknownReason::Overdue, None, &journey.item);
                let reason = "its time was over".to_owned();
                Some((Err(BodyError::Aborted { reason }), (journey, None, None)))
            }
        }
    }))
}

/// Passes on events as they come.
fn event_body(
    journey: Journey,
    status: StatusCode,
    first: Option<EventBatch>,
    events: EventReader,
) -> ReplyBody {
    // Boxed: the stream moves its state with each piece.
    let state = Box::new((journey, first, events, false));
    ReplyBody::stream(unfold(state, move |mut state| async move {
        let (journey, first, events, is_over) = &mut *state;
        if *is_over {
            return None;
        }
        if let Some(batch) = first.take() {
            return Some((Ok(batch.bytes), state));
        }
        match journey.next_piece(events).await {
            Some(piece) => {
                *is_over = piece.is_err();
                Some((piece, state))
            }
            None => {
                journey.log.answered(status, &journey.item);
                None
            }
        }
    }))
}

/// Some whole events.
struct EventBatch {
    bytes: Bytes,
    first: Option<u64>,
    last: Option<u64>,
}

impl EventBatch {
    /// Whether the events go on where `last` was the one before: in order, none twice.
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

/// Takes whole events from a body. A run may break off inside an event, and a half one must not
/// reach the caller: another run sends it again from its beginning.
struct EventReader {
    /// `None` once the run is cancelled.
    body: Option<AnswerBody>,
    buffer: BytesMut,
    watch: RunWatch,
    /// Whether its backend server was at work when it was cancelled, where that is known.
    was_at_work: Option<bool>,
}

impl EventReader {
    fn new(body: AnswerBody, watch: RunWatch) -> Self {
        Self { body: Some(body), buffer: BytesMut::new(), watch, was_at_work: None }
    }

    /// Ends the run.
    fn cancel(&mut self) {
        self.was_at_work = Some(self.watch.liveness.is_at_work());
        self.body = None;
        self.buffer.clear();
    }

    async fn next(&mut self) -> EventStep {
        let Some(body) = &mut self.body else {
            return EventStep::Broken(UnknownReason::Incomplete);
        };
        loop {
            match body.next().await {
                None if self.buffer.is_empty() => return EventStep::End,
                None => return EventStep::Broken(UnknownReason::Incomplete),
                Some(Err(_)) => return EventStep::Broken(UnknownReason::Incomplete),
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
            }
            if let Some(batch) = take_whole(&mut self.buffer) {
                return EventStep::Events(batch);
            }
        }
    }
}

fn take_whole(buffer: &mut BytesMut) -> Option<EventBatch> {
    let end = whole_end(buffer)?;
    let bytes = buffer.split_to(end).freeze();
    let (first, last) = event_ids(&bytes);
    Some(EventBatch { bytes, first, last })
}

/// Behind the last blank line.
fn whole_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).rev().find_map(|at| {
        let is_blank = bytes[at] == b'\n'
            && (bytes[at - 1] == b'\n'
                || (at >= 2 && bytes[at - 1] == b'\r' && bytes[at - 2] == b'\n'));
        is_blank.then_some(at + 1)
    })
}

/// The first and last event ids.
fn event_ids(bytes: &[u8]) -> (Option<u64>, Option<u64>) {
    let mut ids = bytes.split(|b| *b == b'\n').filter_map(event_id);
    let first = ids.next();
    (first, ids.next_back().or(first))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}
