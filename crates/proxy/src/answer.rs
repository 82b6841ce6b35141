//! An answer that has begun: its head, and its body as it comes.

use {
    crate::{
        dispatcher::SentTicket, forward::ForwardBody, liveness::RunLiveness, outcome::AttemptPlace,
    },
    bytes::Bytes,
    gullglade_dispatch::WorkOutcome,
    gullglade_http::{BodyError, ClientBody},
    http::{HeaderMap, StatusCode},
};

/// An answer that has begun.
pub(crate) struct AttemptAnswer {
    /// Where it comes from.
    pub(crate) place: AttemptPlace,
    pub(crate) liveness: RunLiveness,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

impl AttemptAnswer {
    /// Whether it states a failure of the backend server.
    pub(crate) fn is_failure(&self) -> bool {
        self.status.is_server_error()
    }
}

/// The body of an answer. Dropped before its end, it cancels the work behind it.
pub(crate) enum AnswerBody {
    Backend(BackendBody),
    Forward(ForwardBody),
}

impl AnswerBody {
    /// The next piece; `None` after the last one of a whole body.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self {
            Self::Backend(body) => body.next().await,
            Self::Forward(body) => body.next().await,
        }
    }
}

/// A body from a backend server, which tells the scheduler how it went.
pub(crate) struct BackendBody {
    body: ClientBody,
    ticket: Option<SentTicket>,
    /// What a whole body says of the backend server.
    whole: WorkOutcome,
}

impl BackendBody {
    pub(crate) fn new(body: ClientBody, ticket: SentTicket, whole: WorkOutcome) -> Self {
        Self { body, ticket: Some(ticket), whole }
    }

    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let piece = self.body.next().await;
        match &piece {
            Some(Ok(_)) => {
                if let Some(ticket) = &self.ticket {
                    ticket.begin();
                }
            }
            None => self.finish(self.whole),
            Some(Err(_)) => self.finish(WorkOutcome::Broken),
        }
        piece
    }

    fn finish(&mut self, outcome: WorkOutcome) {
        if let Some(ticket) = self.ticket.take() {
            ticket.finish(outcome);
        }
    }
}
