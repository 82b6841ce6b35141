//! Streamed answers: every event checked, broken streams resumed where that is safe, and the end
//! passed on only where the backend server's own end was seen.

use {
    crate::{
        answer::{AnswerRecord, reply},
        attempt::{AnswerPlace, AttemptAnswer},
        call::CallPlan,
        chat::AnswerChunk,
        gateway::Gateway,
        place::AttemptHistory,
        work::WorkGuard,
    },
    bytes::Bytes,
    eventsource_stream::{EventStream, EventStreamError, Eventsource},
    futures::{StreamExt, stream},
    gullglade_event::{Invariant, ModelSeries, RequestOutcome},
    gullglade_http::{ApiError, BodyError, LocalStream, ReplyBody},
    gullglade_units::MonotonicTime,
    http::Response,
    std::rc::Rc,
};

/// The data of the last event of a whole answer.
const DONE: &str = "[DONE]";

/// Relays one streamed answer, over as many attempts as it takes. A caller that hangs up drops it,
/// and with it the attempt's stream: the backend server sees its connection close and stops.
pub(crate) struct EventRelay {
    gateway: Gateway,
    plan: CallPlan,
    history: AttemptHistory,
    events: EventStream<LocalStream>,
    place: AnswerPlace,
    work: WorkGuard,
    record: Option<AnswerRecord>,
    tokens: u64,
    finished: bool,
    last_token: Option<MonotonicTime>,
    outcome: Option<RequestOutcome>,
    series: Rc<ModelSeries>,
}

/// One step of the relay.
enum RelayStep {
    /// Pass this on.
    Event(Bytes),
    /// Nothing to pass on.
    Skip,
    /// The answer is whole.
    End,
    /// The attempt broke off.
    Broken,
}

impl EventRelay {
    /// Relays `answer`. Its head goes out with its first event, so that an attempt which breaks
    /// before that can still be repeated or told as an error.
    pub(crate) async fn start(
        gateway: Gateway,
        plan: CallPlan,
        history: &mut AttemptHistory,
        mut answer: AttemptAnswer,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let mut history = std::mem::take(history);
        let series = gateway.metrics.model(&gateway.queue_name(&plan.target));
        let record = AnswerRecord::new(&plan, &answer, std::mem::take(&mut history.claim));
        let body = std::mem::replace(&mut answer.body, Box::pin(stream::empty()));
        // Boxed: the stream of the reply moves its state with each event.
        let mut relay = Box::new(Self {
            gateway,
            plan,
            history,
            events: body.eventsource(),
            place: answer.place(),
            work: std::mem::take(&mut answer.work),
            record,
            tokens: 0,
            finished: false,
            last_token: None,
            outcome: None,
            series,
        });
        let first = relay.next_event().await?;
        let head = |body| reply(&relay.plan, &answer, body);
        let mut response = head(ReplyBody::empty());
        let rest = stream::unfold(relay, |mut relay| async move {
            let item = relay.next_item().await?;
            Some((item, relay))
        });
        let first = stream::iter(first.map(Ok));
        *response.body_mut() = ReplyBody::stream(first.chain(rest));
        Ok(response)
    }

    /// The next piece for the caller; `None` after a whole answer.
    async fn next_item(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.outcome.is_some() {
            return None;
        }
        match self.next_event().await {
            Ok(event) => event.map(Ok),
            Err(error) => {
                self.gateway.metrics.record_violation(Invariant::WholeAnswer);
                self.finish(RequestOutcome::Failed);
                Some(Err(BodyError::Aborted { reason: error.message }))
            }
        }
    }

    /// The next event, resumed as often as allowed; `None` after the last.
    async fn next_event(&mut self) -> Result<Option<Bytes>, ApiError> {
        loop {
            match self.step().await {
                RelayStep::Event(bytes) => {
                    if let Some(record) = &mut self.record {
                        record.push(&bytes);
                    }
                    return Ok(Some(bytes));
                }
                RelayStep::Skip => {}
                RelayStep::End => return Ok(self.end().await),
                RelayStep::Broken => self.resume().await?,
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        match self.events.next().await {
            Some(Ok(event)) if event.data == DONE => match self.finished {
                true => RelayStep::End,
                false => RelayStep::Broken,
            },
            Some(Ok(event)) => self.check_event(&event.data),
            Some(Err(EventStreamError::Transport(_))) | None => RelayStep::Broken,
            Some(Err(_)) => RelayStep::Broken,
        }
    }

    fn check_event(&mut self, data: &str) -> RelayStep {
        let Ok(chunk) = serde_json::from_str::<AnswerChunk<'_>>(data) else {
            self.gateway.emit(&self.plan, "answer.malformed", |e| e);
            return RelayStep::Broken;
        };
        if !self.gateway.check_answer_id(&self.plan, &chunk) {
            return RelayStep::Broken;
        }
        let token = chunk.has_token();
        self.finished |= chunk.is_finish();
        // A resumed engine opens its answer anew; the caller has seen that opening.
        if self.tokens > 0 && !token && !self.finished {
            return RelayStep::Skip;
        }
        if token && chunk.token_index.is_some_and(|index| index != self.tokens) {
            self.gateway.emit(&self.plan, "answer.out_of_order", |e| e.field("at", self.tokens));
            return RelayStep::Broken;
        }
        if token {
            self.note_token();
        }
        RelayStep::Event(event_bytes(data))
    }

    fn note_token(&mut self) {
        let now = self.gateway.context.clock.now();
        match self.last_token {
            None => {
                self.work.first_token();
                self.gateway.note_first_token(&self.plan);
            }
            Some(last) => self.series.inter_token(now.since(last)),
        }
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Stores the answer for resends and hands out the last event.
    async fn end(&mut self) -> Option<Bytes> {
        if self.outcome.is_some() {
            return None;
        }
        let last = event_bytes(DONE);
        if let Some(mut record) = self.record.take() {
            record.push(&last);
            record.store().await;
        }
        self.finish(RequestOutcome::Answered);
        Some(last)
    }

    /// Goes on at the token where the attempt broke off, at another place.
    async fn resume(&mut self) -> Result<(), ApiError> {
        // A run whose events cannot be used may still be at work; dropping its stream ends it.
        self.events = no_events();
        self.work = WorkGuard::default();
        if self.tokens > 0 {
            self.gateway.await_retry(&self.plan, &self.history).await;
        }
        self.gateway.lost_answer(&self.plan, &self.place, &mut self.history)?;
        self.plan.offset = self.tokens;
        self.gateway.emit(&self.plan, "answer.resumed", |e| e.field("offset", self.tokens));
        let answer = self.gateway.place(&self.plan, &mut self.history).await?;
        self.place = answer.place();
        self.work = answer.work;
        self.events = answer.body.eventsource();
        Ok(())
    }

    fn finish(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        self.work = WorkGuard::default();
        self.plan.span.set(outcome);
    }
}

fn no_events() -> EventStream<LocalStream> {
    let ended: LocalStream = Box::pin(stream::empty());
    ended.eventsource()
}

fn event_bytes(data: &str) -> Bytes {
    let mut event = String::with_capacity(data.len() + 8);
    for line in data.split('\n') {
        event.push_str("data: ");
        event.push_str(line);
        event.push('\n');
    }
    event.push('\n');
    Bytes::from(event)
}

#[cfg(test)]
mod tests;
