//! Completion requests, with buffered and streamed answers.

use {
    crate::{
        answer::{AnswerRecord, reply},
        attempt::{AnswerSource, AttemptAnswer},
        call::CallPlan,
        chat::AnswerChunk,
        gateway::Gateway,
        placement::AttemptHistory,
        relay::EventRelay,
    },
    bytes::Bytes,
    futures::StreamExt,
    gullglade_event::{Invariant, RequestOutcome},
    gullglade_http::{ApiError, LocalStream, ReplyBody, RequestBody},
    http::{Request, Response, header::CONTENT_TYPE},
};

/// Maximum size of an answer that is not streamed.
const BUFFERED_ANSWER_LIMIT_BYTES: usize = 16 << 20;

impl Gateway {
    /// Serves `POST /v1/chat/completions` and `POST /v1/completions`.
    pub(crate) async fn serve_completion(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let plan = self.plan_completion(request).await?;
        let answer = async |history: &mut AttemptHistory| self.begin_answer(&plan, history).await;
        let outcome = self.answer_claimed(&plan, answer).await;
        plan.span.set_error_outcome(&outcome);
        outcome
    }

    /// Attempts the request until an answer is ready to be sent. Failures are handled before the
    /// first byte because an error status cannot be sent after it.
    async fn begin_answer(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
    ) -> Result<Response<ReplyBody>, ApiError> {
        loop {
            let answer = self.run_attempts(plan, history).await?;
            if is_event_stream(&answer) {
                return EventRelay::start(self.clone(), plan.clone(), history, answer).await;
            }
            let source = answer.source();
            match self.buffered_answer(plan, history, answer).await {
                Some(response) => return Ok(response),
                None => self.handle_lost_answer(plan, &source, history)?,
            }
        }
    }

    /// Reads a complete answer and checks that it belongs to this request. Returns `None` if the
    /// answer is lost.
    async fn buffered_answer(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        mut answer: AttemptAnswer,
    ) -> Option<Response<ReplyBody>> {
        let body = collect_body(&mut answer.body, BUFFERED_ANSWER_LIMIT_BYTES).await?;
        answer.guard.first_token();
        if answer.status.is_success() && !self.answer_matches_request(plan, &body) {
            return None;
        }
        if let Some(mut record) =
            AnswerRecord::new(plan, &answer, std::mem::take(&mut history.claim))
        {
            record.push(&body);
            record.store().await;
        }
        self.record_first_token(plan);
        plan.span.set_outcome(RequestOutcome::Answered);
        Some(reply(plan, &answer, ReplyBody::full(body)))
    }

    fn answer_matches_request(&self, plan: &CallPlan, body: &[u8]) -> bool {
        let Ok(chunk) = serde_json::from_slice::<AnswerChunk<'_>>(body) else {
            self.emit(plan, "answer.malformed", |e| e);
            return false;
        };
        self.check_answer_id(plan, &chunk)
    }

    /// Checks that the id of the answer ends in the id of this request. Inference engines derive
    /// the id of their answer from the id that the gateway sent, some with a prefix of their own.
    pub(crate) fn check_answer_id(&self, plan: &CallPlan, chunk: &AnswerChunk<'_>) -> bool {
        let matches = plan.id.ends(&chunk.id);
        if !matches {
            self.metrics.record_violation(Invariant::OwnAnswer);
            self.emit(plan, "answer.swapped", |e| e);
        }
        matches
    }

    /// Records the loss of an answer that had begun. Returns an error if no further attempt is
    /// allowed.
    pub(crate) fn handle_lost_answer(
        &self,
        plan: &CallPlan,
        source: &AnswerSource,
        history: &mut AttemptHistory,
    ) -> Result<(), ApiError> {
        if source.region == self.config.region {
            self.backends.note_failure(&source.backend);
        }
        self.emit(plan, "answer.lost", |e| e.field("backend", &source.backend));
        history.may_have_run = true;
        match self.may_retry(plan, history) {
            true => Ok(()),
            false => Err(self.final_error(plan, history)),
        }
    }
}

fn is_event_stream(answer: &AttemptAnswer) -> bool {
    let of_type = |h: &&crate::call::ContentHeader| h.name == CONTENT_TYPE.as_str();
    let value = answer.headers.iter().find(of_type).map(|h| h.value.as_slice());
    answer.status.is_success() && value.is_some_and(|v| v.starts_with(b"text/event-stream"))
}

/// Reads the complete body. Returns `None` if it breaks off or exceeds `limit` bytes.
pub(crate) async fn collect_body(body: &mut LocalStream, limit: usize) -> Option<Bytes> {
    let mut collected = bytes::BytesMut::new();
    while let Some(piece) = body.next().await {
        let piece = piece.ok()?;
        if collected.len() + piece.len() > limit {
            return None;
        }
        collected.extend_from_slice(&piece);
    }
    Some(collected.freeze())
}

#[cfg(test)]
mod tests;
