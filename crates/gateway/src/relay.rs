//! Relays streamed answers. Every event is checked, an interrupted stream is resumed if that is
//! safe, and the end is passed on only if the backend server ended the stream itself.

use {
    crate::{
        answer::{AnswerRecord, reply},
        attempt::{AnswerSource, AttemptAnswer},
        attempt_guard::AttemptGuard,
        call::CallPlan,
        chat::AnswerChunk,
        gateway::Gateway,
        placement::AttemptHistory,
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

/// Data of the event that ends a complete answer.
const DONE: &str = "[DONE]";

/// Relays one streamed answer, over as many attempts as needed. If the caller disconnects, the
/// relay is dropped together with the stream of the attempt; the backend server sees its connection
/// close and stops.
pub(crate) struct EventRelay {
    gateway: Gateway,
    plan: CallPlan,
    history: AttemptHistory,
    events: EventStream<LocalStream>,
    source: AnswerSource,
    guard: AttemptGuard,
    record: Option<AnswerRecord>,
    tokens: u64,
    finished: bool,
    last_token: Option<MonotonicTime>,
    outcome: Option<RequestOutcome>,
    series: Rc<ModelSeries>,
}

/// The result of reading one event.
enum RelayStep {
    /// Pass this event on.
    Event(Bytes),
    /// The event is not passed on.
    Skip,
    /// The answer is complete.
    End,
    /// The attempt broke off.
    Broken,
}

impl EventRelay {
    /// Relays `answer`. Its head is sent with its first event, so that an attempt that fails before
    /// that can still be retried or reported with an error status.
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
        // Boxed because `stream::unfold` moves its state with each event.
        let mut relay = Box::new(Self {
            gateway,
            plan,
            history,
            events: body.eventsource(),
            source: answer.source(),
            guard: std::mem::take(&mut answer.guard),
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

    /// Returns the next piece for the caller, or `None` after a complete answer.
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

    /// Returns the next event, resuming the answer as often as allowed, or `None` after the last
    /// event.
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
        // A resumed engine sends the opening event again, which the caller already has.
        if self.tokens > 0 && !token && !self.finished {
            return RelayStep::Skip;
        }
        if token && chunk.token_index.is_some_and(|index| index != self.tokens) {
            self.gateway.emit(&self.plan, "answer.out_of_order", |e| e.field("at", self.tokens));
            return RelayStep::Broken;
        }
        if token {
            self.record_token();
        }
        RelayStep::Event(encode_event(data))
    }

    fn record_token(&mut self) {
        let now = self.gateway.context.clock.now();
        match self.last_token {
            None => {
                self.guard.first_token();
                self.gateway.record_first_token(&self.plan);
            }
            Some(last) => self.series.inter_token(now.since(last)),
        }
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Stores the answer for resends and returns the final event.
    async fn end(&mut self) -> Option<Bytes> {
        if self.outcome.is_some() {
            return None;
        }
        let last = encode_event(DONE);
        if let Some(mut record) = self.record.take() {
            record.push(&last);
            record.store().await;
        }
        self.finish(RequestOutcome::Answered);
        Some(last)
    }

    /// Resumes the answer with a new attempt at the token where the last one broke off.
    async fn resume(&mut self) -> Result<(), ApiError> {
        // A run whose events are unusable may still be active; dropping its stream stops it.
        self.events = empty_events();
        self.guard = AttemptGuard::default();
        if self.tokens > 0 {
            self.gateway.await_retry_budget(&self.plan, &self.history).await;
        }
        self.gateway.handle_lost_answer(&self.plan, &self.source, &mut self.history)?;
        self.plan.offset = self.tokens;
        self.gateway.emit(&self.plan, "answer.resumed", |e| e.field("offset", self.tokens));
        let answer = self.gateway.run_attempts(&self.plan, &mut self.history).await?;
        self.source = answer.source();
        self.guard = answer.guard;
        self.events = answer.body.eventsource();
        Ok(())
    }

    fn finish(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
        self.guard = AttemptGuard::default();
        self.plan.span.set_outcome(outcome);
    }
}

fn empty_events() -> EventStream<LocalStream> {
    let ended: LocalStream = Box::pin(stream::empty());
    ended.eventsource()
}

fn encode_event(data: &str) -> Bytes {
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
