//! Single attempts at backend servers of the own region.

use {
    crate::{
        BackendDialect, CallerRequest, RequestMetadata, ResponseMetadata,
        dispatcher::DispatchTicket,
        exchange_log::{DiscardReason, ExchangeLog},
        outcome::{AttemptOutcome, AttemptTarget, NotRunReason, UnknownReason},
        response::{AttemptResponse, BackendBody, ResponseBody},
        unread_headers::UnreadHeaderReporter,
    },
    gullglade_dispatch::{StatementChange, WorkOutcome},
    gullglade_http::{
        ClientError, ClientReply, CorrelationKey, ExchangeTrace, HeadTimeout, HttpClient,
        KeptWithin, SendPermit, send_unless_revoked,
    },
    gullglade_traffic::TrafficWorkspace,
    gullglade_units::{BackendName, MonotonicTime},
    http::{Request, StatusCode, header::CONTENT_ENCODING, response::Parts},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// A non-repeatable request reuses a pooled connection only if it was idle for less than this. If a
/// backend server closes an idle connection while a request is in transit, it is unknown whether
/// the request ran, and a non-repeatable one cannot be sent again.
const NON_REPEATABLE_MAX_IDLE: Duration = Duration::from_millis(1_000);

/// Sends attempts to backend servers.
pub(crate) struct AttemptSender {
    pub(crate) client: Rc<dyn HttpClient>,
    pub(crate) dialect: Rc<dyn BackendDialect>,
    pub(crate) unread_headers: UnreadHeaderReporter,
    pub(crate) log: ExchangeLog,
}

/// An attempt: one send of a request to a backend server.
pub(crate) struct Attempt {
    pub(crate) request: Rc<CallerRequest>,
    pub(crate) backend: BackendName,
    pub(crate) address: SocketAddr,
    /// Remaining time to the deadline of the request.
    pub(crate) left: Duration,
    pub(crate) priority: u8,
    pub(crate) workspace: Option<Rc<TrafficWorkspace>>,
    pub(crate) resume_after: Option<u64>,
    /// Engine that holds the shared parts of the prompt.
    pub(crate) copy_from: Option<SocketAddr>,
    /// True if the request must run at most once.
    pub(crate) is_non_repeatable: bool,
}

impl AttemptSender {
    /// Sends the request and waits for the head of the response. Dropping the future cancels the
    /// work of the backend server.
    pub(crate) async fn send(
        &self,
        attempt: Attempt,
        mut ticket: DispatchTicket,
    ) -> AttemptOutcome {
        let ends = ticket.now() + attempt.left;
        let request = match self.build_request(&attempt, ticket.permit().permit.clone()) {
            Ok(request) => request,
            Err(_invalid) => {
                // The method, path and headers were parsed from the caller's request, so
                // serializing them again should not fail. If it does, nothing has been sent.
                ticket.finish(WorkOutcome::Cancelled);
                return AttemptOutcome::NotRun(NotRunReason::Unreachable, None);
            }
        };
        let revoked = &mut ticket.permit().revoked;
        match send_unless_revoked(&*self.client, attempt.address, request, revoked).await {
            Ok(reply) => self.classify_reply(&attempt, reply, ticket, ends),
            Err(error) => {
                self.log.record_error(&attempt, &error);
                classify_error(&error, &attempt, ticket)
            }
        }
    }

    fn build_request(
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
            .method(attempt.request.method.clone())
            .uri(attempt.request.target.as_str())
            .extension(HeadTimeout(attempt.left))
            .extension(CorrelationKey::of(attempt.request.id.as_str().as_bytes()))
            .extension(permit)
            .body(attempt.request.body.clone())?;
        *request.headers_mut() = self.dialect.request_headers(&attempt.request.headers, &metadata);
        if attempt.is_non_repeatable {
            request.extensions_mut().insert(KeptWithin(NON_REPEATABLE_MAX_IDLE));
        }
        Ok(request)
    }

    /// Classifies the head of a response.
    fn classify_reply(
        &self,
        attempt: &Attempt,
        reply: ClientReply,
        ticket: DispatchTicket,
        ends: MonotonicTime,
    ) -> AttemptOutcome {
        let ClientReply { head, body } = reply;
        let metadata = self.dialect.read_response(head.status, &head.headers);
        self.unread_headers.check(&*self.dialect, &attempt.backend, head.status, &head.headers);
        // Another instance at this address tells nothing about the instance addressed.
        if !metadata.is_other_instance
            && ticket.note_statements(&metadata.statements).contains(&StatementChange::Leaving)
        {
            self.client.retire(attempt.address);
        }
        if let Some(reason) = self.discard_reason(&attempt.request, &metadata, &head) {
            self.log.record_discarded(attempt, &head, &metadata, reason);
            if matches!(reason, DiscardReason::OtherRequest) {
                self.client.note_misplaced_reply(attempt.address);
            }
            let (work, outcome) = discarded_outcome(reason);
            ticket.finish(work);
            return outcome;
        }
        let liveness = ticket.liveness();
        let body = BackendBody::new(body, ticket, &head, ends);
        AttemptOutcome::Response(Box::new(AttemptResponse {
            target: AttemptTarget::Local(attempt.backend.clone()),
            liveness,
            status: head.status,
            headers: head.headers,
            body: ResponseBody::Backend(Box::new(body)),
        }))
    }

    /// Returns the reason why a response with this head is not relayed, if there is one.
    fn discard_reason(
        &self,
        request: &CallerRequest,
        metadata: &ResponseMetadata,
        head: &Parts,
    ) -> Option<DiscardReason> {
        let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
        let is_signed = metadata.statements.is_signed;
        if !self.is_reply_to(request, metadata, head) {
            Some(DiscardReason::OtherRequest)
        } else if metadata.is_other_instance {
            Some(DiscardReason::OtherInstance)
        } else if metadata.is_not_run {
            Some(DiscardReason::NotRun)
        } else if head.status.is_success() && (!is_signed || is_encoded) {
            Some(DiscardReason::Unverified)
        } else if !is_signed && implies_not_run(head.status) {
            Some(DiscardReason::Misleading)
        } else {
            None
        }
    }

    /// Returns `true` if the response belongs to this request. A backend server may send a late
    /// response to another request in its place, which must not reach the caller. Without an id that
    /// is excluded only on a connection that has carried no other request.
    fn is_reply_to(
        &self,
        request: &CallerRequest,
        metadata: &ResponseMetadata,
        head: &Parts,
    ) -> bool {
        match &metadata.request_id {
            Some(repeated) => self.dialect.is_same_id(&request.id, repeated),
            None => !head.status.is_success() && !ExchangeTrace::has_earlier_requests(head),
        }
    }
}

/// Returns the outcomes of a send whose response is not relayed, for the scheduler and for the
/// request.
fn discarded_outcome(reason: DiscardReason) -> (WorkOutcome, AttemptOutcome) {
    let not_run = |reason| AttemptOutcome::NotRun(reason, None);
    let garbled = AttemptOutcome::Unknown(UnknownReason::Garbled);
    match reason {
        DiscardReason::OtherInstance => {
            (WorkOutcome::Misdirected, not_run(NotRunReason::Misdirected))
        }
        DiscardReason::NotRun => (WorkOutcome::Shed, not_run(NotRunReason::Shed)),
        DiscardReason::OtherRequest | DiscardReason::Unverified => (WorkOutcome::Garbled, garbled),
        DiscardReason::Misleading => (WorkOutcome::Failed, garbled),
    }
}

/// Returns `true` if callers take this status as a guarantee that the request did not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn classify_error(
    error: &ClientError,
    attempt: &Attempt,
    ticket: DispatchTicket,
) -> AttemptOutcome {
    if let ClientError::Revoked { .. } = error {
        ticket.finish(WorkOutcome::Cancelled);
        return AttemptOutcome::NotRun(NotRunReason::Revoked, None);
    }
    if error.nothing_sent() {
        ticket.finish(WorkOutcome::Unreachable);
        return AttemptOutcome::NotRun(NotRunReason::Unreachable, None);
    }
    match error {
        ClientError::HeadTimeout { .. } => {
            ticket.finish(WorkOutcome::Overdue { waited: attempt.left });
            AttemptOutcome::Unknown(UnknownReason::Overdue)
        }
        ClientError::Malformed { .. } => {
            ticket.finish(WorkOutcome::Garbled);
            AttemptOutcome::Unknown(UnknownReason::Garbled)
        }
        _ => {
            ticket.finish(WorkOutcome::Broken);
            AttemptOutcome::Unknown(UnknownReason::Broken)
        }
    }
}
