//! Plain services: one request, one answer, passed through.

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

/// Bytes of an answer that are read before its head goes out: an answer that breaks off within
/// them can still be repeated or told as an error.
const ANSWER_PREFIX_BYTES: usize = 256 << 10;

/// The beginning of an answer.
enum AnswerPrefix {
    /// All of it.
    Whole(Vec<Bytes>),
    /// More will follow.
    Partial(Vec<Bytes>),
    /// It broke off.
    Lost,
}

impl Gateway {
    /// Answers `/services/{name}/...`.
    pub(crate) async fn plain(
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
                AnswerPrefix::Whole(pieces) => {
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

    /// Passes on the pieces read and whatever follows. The head promises no length, so only the
    /// terminal chunk makes it whole, and that is sent only after the service's own end.
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
        let whole = first.chain(stream::unfold(relay, PlainRelay::next));
        *response.body_mut() = ReplyBody::stream(whole);
        response
    }
}

/// Passes on a long answer of a plain service.
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
                // A long answer is not kept; that it ran is.
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
    AnswerPrefix::Whole(pieces)
}
