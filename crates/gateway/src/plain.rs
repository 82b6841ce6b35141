//! Plain services: requests and answers are passed through without interpretation.

use {
    crate::{
        answer::{AnswerRecord, reply},
        attempt::AttemptAnswer,
        attempt_guard::AttemptGuard,
        call::CallPlan,
        gateway::Gateway,
        placement::AttemptHistory,
    },
    bytes::Bytes,
    futures::{StreamExt, stream},
    gullglade_event::RequestOutcome,
    gullglade_http::{ApiError, BodyError, LocalStream, ReplyBody, RequestBody},
    http::{Request, Response},
};

/// Bytes of an answer that are buffered before its head is sent. An answer that breaks off within
/// them can still be retried or reported with an error status.
const ANSWER_PREFIX_BYTES: usize = 256 << 10;

/// The buffered start of an answer.
enum AnswerPrefix {
    /// The complete answer.
    Complete(Vec<Bytes>),
    /// The start of an answer that continues.
    Partial(Vec<Bytes>),
    /// The answer broke off.
    Lost,
}

impl Gateway {
    /// Serves `/services/{name}/...`.
    pub(crate) async fn serve_plain(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let plan = self.plan_plain(request).await?;
        let answer = async |history: &mut AttemptHistory| self.plain_answer(&plan, history).await;
        let outcome = self.answer_claimed(&plan, answer).await;
        plan.span.set_error_outcome(&outcome);
        outcome
    }

    async fn plain_answer(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
    ) -> Result<Response<ReplyBody>, ApiError> {
        loop {
            let mut answer = self.run_attempts(plan, history).await?;
            let prefix = read_prefix(&mut answer.body).await;
            answer.guard.first_token();
            match prefix {
                AnswerPrefix::Lost => self.handle_lost_answer(plan, &answer.source(), history)?,
                AnswerPrefix::Complete(pieces) => {
                    return Ok(self.buffered_plain_reply(plan, history, answer, pieces).await);
                }
                AnswerPrefix::Partial(pieces) => {
                    return Ok(self.streamed_plain_reply(plan, history, answer, pieces));
                }
            }
        }
    }

    async fn buffered_plain_reply(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        answer: AttemptAnswer,
        pieces: Vec<Bytes>,
    ) -> Response<ReplyBody> {
        if let Some(mut record) =
            AnswerRecord::new(plan, &answer, std::mem::take(&mut history.claim))
        {
            pieces.iter().for_each(|piece| record.push(piece));
            record.store().await;
        }
        self.record_first_token(plan);
        plan.span.set_outcome(RequestOutcome::Answered);
        reply(plan, &answer, ReplyBody::full(pieces.concat()))
    }

    /// Relays the buffered pieces and the rest of the answer. The head states no length, so the
    /// caller takes the answer as complete only at the terminal chunk, which is sent only after the
    /// service has ended its answer.
    fn streamed_plain_reply(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        mut answer: AttemptAnswer,
        pieces: Vec<Bytes>,
    ) -> Response<ReplyBody> {
        let record = AnswerRecord::new(plan, &answer, std::mem::take(&mut history.claim));
        let mut response = reply(plan, &answer, ReplyBody::empty());
        let relay = PlainRelay {
            plan: plan.clone(),
            rest: std::mem::replace(&mut answer.body, Box::pin(stream::empty())),
            _guard: answer.guard,
            record,
            ended: false,
        };
        let first = stream::iter(pieces.into_iter().map(Ok));
        let body = first.chain(stream::unfold(relay, PlainRelay::next));
        *response.body_mut() = ReplyBody::stream(body);
        response
    }
}

/// Relays a long answer of a plain service.
struct PlainRelay {
    plan: CallPlan,
    rest: LocalStream,
    _guard: AttemptGuard,
    record: Option<AnswerRecord>,
    ended: bool,
}

impl PlainRelay {
    async fn next(mut self) -> Option<(Result<Bytes, BodyError>, Self)> {
        if self.ended {
            return None;
        }
        match self.rest.next().await {
            Some(Ok(piece)) => Some((Ok(piece), self)),
            Some(Err(error)) => {
                self.end(RequestOutcome::Failed);
                Some((Err(error), self))
            }
            None => {
                // A long answer is not stored; only the fact that the request ran is recorded.
                if let Some(record) = self.record.take() {
                    record.store_outcome_only().await;
                }
                self.end(RequestOutcome::Answered);
                None
            }
        }
    }

    fn end(&mut self, outcome: RequestOutcome) {
        self.ended = true;
        self.plan.span.set_outcome(outcome);
    }
}

async fn read_prefix(body: &mut LocalStream) -> AnswerPrefix {
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(piece) = body.next().await {
        let Ok(piece) = piece else { return AnswerPrefix::Lost };
        length += piece.len();
        pieces.push(piece);
        if length > ANSWER_PREFIX_BYTES {
            return AnswerPrefix::Partial(pieces);
        }
    }
    AnswerPrefix::Complete(pieces)
}
