//! One send to a backend server of the own region.

use {
    crate::{
        BackendDialect, CallerRequest, RequestMetadata, ResponseMetadata,
        answer::{AnswerBody, AttemptAnswer, BackendBody},
        dispatcher::SentTicket,
        outcome::{AttemptEnd, AttemptPlace, NotRunReason, UnknownReason},
        unread_headers::UnreadHeaders,
    },
    gullglade_dispatch::{StatementChange, WorkOutcome},
    gullglade_http::{
        ClientError, ClientReply, HeadTimeout, HttpClient, KeptWithin, SendPermit,
        send_unless_revoked,
    },
    gullglade_traffic::TrafficWorkspace,
    gullglade_units::BackendName,
    http::{Request, StatusCode, header::CONTENT_ENCODING},
    std::{net::SocketAddr, rc::Rc, time::Duration},
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
}

/// One send.
pub(crate) struct Attempt {
    pub(crate) call: Rc<CallerRequest>,
    pub(crate) backend: BackendName,
    pub(crate) address: SocketAddr,
    /// The time after which nobody waits for the answer.
    pub(crate) left: Duration,
    pub(crate) priority: u8,
    pub(crate) workspace: Option<Rc<TrafficWorkspace>>,
    pub(crate) resume_after: Option<u64>,
    /// The engine that holds shared parts of its prompt.
    pub(crate) copy_from: Option<SocketAddr>,
    /// Whether it may run only once.
    pub(crate) is_once_only: bool,
}

impl AttemptParts {
    /// Sends, and waits for the head of the answer. Dropped, it cancels the work there.
    pub(crate) async fn send(&self, attempt: Attempt, mut ticket: SentTicket) -> AttemptEnd {
        let request = match self.request(&attempt, ticket.permit().permit.clone()) {
            Ok(request) => request,
            Err(_invalid) => {
                // The caller's own method, path and headers were parsed before, so they can be
                // written again; were it otherwise, nothing has been sent.
                ticket.finish(WorkOutcome::Cancelled);
                return AttemptEnd::NotRun(NotRunReason::Unreachable, None);
            }
        };
        let revoked = &mut ticket.permit().revoked;
        match send_unless_revoked(&*self.client, attempt.address, request, revoked).await {
            Ok(reply) => self.judge(&attempt, reply, ticket),
            Err(error) => failed(&error, &attempt, ticket),
        }
    }

    fn request(
        &self,
        attempt: &Attempt,
        permit: SendPermit,
    ) -> Result<Request<bytes::Bytes>, http::Error> {
        let metadata = RequestMetadata {
            backend: &attempt.backend,
            left: attempt.left,
            priority: attempt.priority,
            workspace: attempt.workspace.as_ref().map(|workspace| &workspace.name),
            resume_after: attempt.resume_after,
            copy_from: attempt.copy_from,
        };
        let mut request = Request::builder()
            .method(attempt.call.method.clone())
            .uri(attempt.call.target.as_str())
            .extension(HeadTimeout(attempt.left))
            .extension(permit)
            .body(attempt.call.body.clone())?;
        *request.headers_mut() = self.dialect.request_headers(&attempt.call.headers, &metadata);
        if attempt.is_once_only {
            request.extensions_mut().insert(KeptWithin(ONCE_ONLY_IDLE));
        }
        Ok(request)
    }

    /// What the head of an answer means.
    fn judge(&self, attempt: &Attempt, reply: ClientReply, ticket: SentTicket) -> AttemptEnd {
        let ClientReply { head, body } = reply;
        let word = self.dialect.read_response(head.status, &head.headers);
        self.unread.note(&*self.dialect, &attempt.backend, head.status, &head.headers);
        // Another run at the address says nothing of the one that was meant.
        if !word.is_other_run
            && ticket.note_statements(&word.statements).contains(&StatementChange::Leaving)
        {
            self.client.retire(attempt.address);
        }
        if !self.is_for(&attempt.call, &word, head.status) {
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
        if head.status.is_success() && (!word.statements.is_signed || is_encoded) {
            ticket.finish(WorkOutcome::Garbled);
            return AttemptEnd::Unknown(UnknownReason::Garbled);
        }
        if !word.statements.is_signed && promises_not_run(head.status) {
            ticket.finish(WorkOutcome::Failed);
            return AttemptEnd::Unknown(UnknownReason::Garbled);
        }
        let whole = match head.status.is_server_error() {
            true => WorkOutcome::Failed,
            false => WorkOutcome::Answered,
        };
        AttemptEnd::Answer(Box::new(AttemptAnswer {
            place: AttemptPlace::Here(attempt.backend.clone()),
            liveness: ticket.liveness(),
            status: head.status,
            headers: head.headers,
            body: AnswerBody::Backend(BackendBody::new(body, ticket, whole)),
        }))
    }

    /// Whether the answer is for this request. A backend server may send a late answer to another
    /// request where this one's is due, and that must reach nobody.
    fn is_for(&self, call: &CallerRequest, word: &ResponseMetadata, status: StatusCode) -> bool {
        match &word.request_id {
            Some(repeated) => self.dialect.is_same_id(&call.id, repeated),
            None => !status.is_success(),
        }
    }
}

/// Whether callers read the status as the promise that the request did not run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn failed(error: &ClientError, attempt: &Attempt, ticket: SentTicket) -> AttemptEnd {
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
