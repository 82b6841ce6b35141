//! Completions: answers whole and streamed.

use {
    crate::{
        answer::{AnswerRecord, reply},
        attempt::{AnswerPlace, AttemptAnswer},
        call::CallPlan,
        chat::AnswerChunk,
        gateway::Gateway,
        place::AttemptHistory,
        relay::EventRelay,
    },
    bytes::Bytes,
    futures::StreamExt,
    gullglade_event::{Invariant, RequestOutcome},
    gullglade_http::{ApiError, LocalStream, ReplyBody, RequestBody},
    http::{Request, Response, header::CONTENT_TYPE},
};

/// The most bytes of an answer that is not streamed.
const WHOLE_ANSWER_LIMIT: usize = 16 << 20;

impl Gateway {
    /// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
    pub(crate) async fn complete(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let plan = self.plan_completion(request).await?;
        let answer = async |history: &mut AttemptHistory| self.first_answer(&plan, history).await;
        let outcome = self.answer_claimed(&plan, answer).await;
        plan.span.set_refused(&outcome);
        outcome
    }

    /// Attempts until an answer has begun well enough to be sent: an error of the status line can
    /// be told only before the first byte.
    async fn first_answer(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
    ) -> Result<Response<ReplyBody>, ApiError> {
        loop {
            let answer = self.place(plan, history).await?;
            if is_event_stream(&answer) {
                return EventRelay::start(self.clone(), plan.clone(), history, answer).await;
            }
            let place = answer.place();
            match self.whole_answer(plan, history, answer).await {
                Some(response) => return Ok(response),
                None => self.lost_answer(plan, &place, history)?,
            }
        }
    }

    /// Reads an answer to its end and checks that it is this request's. `None`: it is lost.
    async fn whole_answer(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        mut answer: AttemptAnswer,
    ) -> Option<Response<ReplyBody>> {
        let body = collect(&mut answer.body, WHOLE_ANSWER_LIMIT).await?;
        answer.work.first_token();
        if answer.status.is_success() && !self.is_own_answer(plan, &body) {
            return None;
        }
        if let Some(mut record) =
            AnswerRecord::new(plan, &answer, std::mem::take(&mut history.claim))
        {
            record.push(&body);
            record.store().await;
        }
        self.note_first_token(plan);
        plan.span.set(RequestOutcome::Answered);
        Some(reply(plan, &answer, ReplyBody::full(body)))
    }

    fn is_own_answer(&self, plan: &CallPlan, body: &[u8]) -> bool {
        let Ok(chunk) = serde_json::from_slice::<AnswerChunk<'_>>(body) else {
            self.emit(plan, "answer.malformed", |e| e);
            return false;
        };
        self.check_answer_id(plan, &chunk)
    }

    /// Whether the answer names this request. Engines take the id of their answer from the request
    /// that the gateway gave them, some with a prefix of their own.
    pub(crate) fn check_answer_id(&self, plan: &CallPlan, chunk: &AnswerChunk<'_>) -> bool {
        let own = plan.id.ends(&chunk.id);
        if !own {
            self.metrics.record_violation(Invariant::OwnAnswer);
            self.emit(plan, "answer.swapped", |e| e);
        }
        own
    }

    /// Notes an answer that began and was lost, and says whether the loop may go on.
    pub(crate) fn lost_answer(
        &self,
        plan: &CallPlan,
        place: &AnswerPlace,
        history: &mut AttemptHistory,
    ) -> Result<(), ApiError> {
        if place.region == self.config.region {
            self.backends.note_failure(&place.backend);
        }
        self.emit(plan, "answer.lost", |e| e.field("backend", &place.backend));
        history.may_have_run = true;
        match self.may_try_again(plan, history) {
            true => Ok(()),
            false => Err(self.give_up(plan, history)),
        }
    }
}

fn is_event_stream(answer: &AttemptAnswer) -> bool {
    let of_type = |h: &&crate::call::ContentHeader| h.name == CONTENT_TYPE.as_str();
    let value = answer.headers.iter().find(of_type).map(|h| h.value.as_slice());
    answer.status.is_success() && value.is_some_and(|v| v.starts_with(b"text/event-stream"))
}

/// The whole body, or `None` where it breaks off or is longer than `limit`.
pub(crate) async fn collect(body: &mut LocalStream, limit: usize) -> Option<Bytes> {
    let mut whole = bytes::BytesMut::new();
    while let Some(piece) = body.next().await {
        let piece = piece.ok()?;
        if whole.len() + piece.len() > limit {
            return None;
        }
        whole.extend_from_slice(&piece);
    }
    Some(whole.freeze())
}

#[cfg(test)]
mod tests;
