//! One send to a backend server of the own region.

use {
    crate::{
        BackendDialect, BackendWord, CallerCall, SendOrder,
        answer::{AnswerBody, AnswerSource, AttemptAnswer, BackendBody},
        dispatcher::SentTicket,
        outcome::{AttemptEnd, NotRunReason, UnknownReason},
        unread_headers::UnreadHeaders,
    },
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_dispatch::{StatementChange, WorkOutcome},
    gullglade_http::{ClientError, ClientReply, HeadTimeout, HttpClient, KeptWithin, SendPermit},
    gullglade_units::{BackendName, Clock, WorkspaceName, timeout},
    http::{Request, StatusCode, header::CONTENT_ENCODING},
    std::{
        net::SocketAddr,
        pin::{Pin, pin},
        rc::Rc,
        time::Duration,
    },
};

/// A request that may run only once goes over a kept connection only if that was used this lately.
/// A backend server that closes an idle connection while a request is on its way leaves unknown
/// whether the request ran, and such a request cannot be sent again.
const ONCE_ONLY_IDLE: Duration = Duration::from_millis(1_000);

/// What an attempt works with.
pub(crate) struct AttemptParts {
    pub(crate) client: Rc<dyn HttpClient>,
    pub(crate) dialect: Rc<dyn BackendDialect>,
    pub(crate) unread: UnreadHeaders,
    pub(crate) clock: Rc<dyn Clock>,
}

/// One send.
pub(crate) struct Attempt<'a> {
    pub(crate) call: &'a CallerCall,
    pub(crate) backend: &'a BackendName,
    pub(crate) address: SocketAddr,
    /// The time after which nobody waits for the answer.
    pub(crate) left: Duration,
    /// How long the head of an answer is waited for while nothing comes from the backend server.
    pub(crate) patience: Duration,
    pub(crate) priority: u8,
    pub(crate) workspace: Option<&'a WorkspaceName>,
    pub(crate) resume_after: Option<u64>,
    /// The engine that holds shared parts of its prompt.
    pub(crate) copy_from: Option<SocketAddr>,
    /// Whether it may run only once.
    pub(crate) is_once_only: bool,
}

impl AttemptParts {
    /// Sends, and waits for the head of the answer.
    pub(crate) async fn send(&self, attempt: &Attempt<'_>, ticket: SentTicket) -> AttemptEnd {
        let (permit, revoked) = ticket.permit();
        let request = match self.request(attempt, permit) {
            Ok(request) => request,
            Err(_invalid) => {
                // The caller's own method, path and headers were parsed before, so they can be
                // written again; were it otherwise, nothing has been sent.
                ticket.finish(WorkOutcome::Cancelled);
                return AttemptEnd::NotRun(NotRunReason::Unreachable, None);
            }
        };
        let sending = pin!(self.exchange(attempt.address, request, revoked));
        let Some(sent) = self.wait(attempt, &ticket, sending).await else {
            ticket.finish(WorkOutcome::Overdue { waited: attempt.patience });
            return AttemptEnd::Unknown(UnknownReason::Overdue);
        };
        match sent {
            Ok(reply) => self.judge(attempt, reply, ticket),
            Err(error) => failed(&error, attempt, ticket),
        }
    }

    /// Sends until the head of the answer, or until the permit is `revoked` before anything is sent.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<bytes::Bytes>,
        revoked: oneshot::Receiver<()>,
    ) -> Result<ClientReply, ClientError> {
        match select(self.client.send(address, request), revoked).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right((Ok(()), _)) => Err(ClientError::Revoked { address }),
            // It is being sent, and can no longer be taken back.
            Either::Right((Err(_), sending)) => sending.await,
        }
    }

    /// Waits for `sending`, in steps of the attempt's patience: `None` once a step has passed in
    /// which nothing at all came from the backend server. One that answers others is at work, and
    /// asking for the same elsewhere would only add to the load that makes it slow.
    async fn wait<T>(
        &self,
        attempt: &Attempt<'_>,
        ticket: &SentTicket,
        mut sending: Pin<&mut (impl Future<Output = T> + ?Sized)>,
    ) -> Option<T> {
        loop {
            let step = timeout(&*self.clock, attempt.patience, sending.as_mut()).await;
            if step.is_some() {
                return step;
            }
            if !ticket.is_at_work() || attempt.patience >= attempt.left {
                return None;
            }
        }
    }

    fn request(
        &self,
        attempt: &Attempt<'_>,
        permit: SendPermit,
    ) -> Result<Request<bytes::Bytes>, http::Error> {
        let order = SendOrder {
            backend: attempt.backend,
            left: attempt.left,
            priority: attempt.priority,
            workspace: attempt.workspace,
            resume_after: attempt.resume_after,
            copy_from: attempt.copy_from,
        };
        let mut request = Request::builder()
            .method(attempt.call.method.clone())
            .uri(attempt.call.target.as_str())
            .extension(HeadTimeout(attempt.left))
            .extension(permit)
            .body(attempt.call.body.clone())?;
        *request.headers_mut() = self.dialect.outgoing(&attempt.call.headers, &order);
        if attempt.is_once_only {
            request.extensions_mut().insert(KeptWithin(ONCE_ONLY_IDLE));
        }
        Ok(request)
    }

    /// What the head of an answer means.
    fn judge(&self, attempt: &Attempt<'_>, reply: ClientReply, ticket: SentTicket) -> AttemptEnd {
        let ClientReply { head, body } = reply;
        let word = self.dialect.incoming(head.status, &head.headers);
        self.unread.note(&*self.dialect, attempt.backend, head.status, &head.headers);
        // Another run at the address says nothing of the one that was meant.
        if !word.is_other_run
            && ticket.note_statements(&word.stated).contains(&StatementChange::Leaving)
        {
            self.client.retire(attempt.address);
        }
        if !self.is_for(attempt.call, &word, head.status) {
            ticket.finish(WorkOutcome::Garbled);
            return AttemptEnd::Unknown(UnknownReason::Garbled);
        }
        if word.is_other_run {
            ticket.finish(WorkOutcome::Misdirected);
            return AttemptEnd::NotRun(NotRunReason::Misdirected, None);
        }
        if word.is_not_run {
            ticket.finish(WorkOutcome::Shed);
            return AttemptEnd::NotRun(NotRunReason::Shed, None);
        }
        let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
        if head.status.is_success() && (!word.stated.is_signed || is_encoded) {
            ticket.finish(WorkOutcome::Garbled);
            return AttemptEnd::Unknown(UnknownReason::Garbled);
        }
        if !word.stated.is_signed && promises_not_run(head.status) {
            ticket.finish(WorkOutcome::Failed);
            return AttemptEnd::Unknown(UnknownReason::Garbled);
        }
        let whole = match head.status.is_server_error() {
            true => WorkOutcome::Failed,
            false => WorkOutcome::Answered,
        };
        AttemptEnd::Answer(Box::new(AttemptAnswer {
            source: AnswerSource::Backend(attempt.backend.clone()),
            status: head.status,
            headers: head.headers,
            body: AnswerBody::Backend(BackendBody::new(body, ticket, whole)),
        }))
    }

    /// Whether the answer is for this request. A backend server may send a late answer to another
    /// request where this one's is due, and that must reach nobody.
    fn is_for(&self, call: &CallerCall, word: &BackendWord, status: StatusCode) -> bool {
        match &word.answers {
            Some(repeated) => self.dialect.is_same_id(&call.id, repeated),
            None => !status.is_success(),
        }
    }
}

/// Whether callers read the status as the promise that the request did not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn failed(error: &ClientError, attempt: &Attempt<'_>, ticket: SentTicket) -> AttemptEnd {
    if let ClientError::Revoked { .. } = error {
        ticket.finish(WorkOutcome::Cancelled);
        return AttemptEnd::NotRun(NotRunReason::Revoked, None);
    }
    if error.nothing_sent() {
        ticket.finish(WorkOutcome::Unreachable);
        return AttemptEnd::NotRun(NotRunReason::Unreachable, None);
    }
    match error {
        ClientError::HeadTimeout { .. } => {
            ticket.finish(WorkOutcome::Overdue { waited: attempt.left });
            AttemptEnd::Unknown(UnknownReason::Overdue)
        }
        _ => {
            ticket.finish(WorkOutcome::Broken);
            AttemptEnd::Unknown(UnknownReason::Broken)
        }
    }
}
