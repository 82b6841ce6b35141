//! One attempt: a request at one backend server or at one gateway of another region.

use {
    crate::{
        call::{CallPlan, ContentHeader},
        forward::{FORWARD_METHOD, ForwardReply, ForwardRequest},
        gateway::Gateway,
        work::WorkGuard,
    },
    bytes::Bytes,
    futures::StreamExt,
    gullglade_backend::BackendView,
    gullglade_document::Priority,
    gullglade_event::{EventDraft, Invariant},
    gullglade_http::{
        BodyError, ClientError, ClientReply, FreshConnection, HeadTimeout, LocalStream, RunState,
        send_unless_revoked, strip_hop_by_hop,
    },
    gullglade_peer::{PeerError, PeerStream},
    gullglade_units::{BackendName, BackendRun, RegionName, RequestId, decode, encode, timeout},
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_LENGTH, HOST},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Carries the request's id to the backend server, and back in its reply.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("gullglade-request");

/// The same under the name that common engines take for the id of their answer.
const ENGINE_REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The token at which the answer is to begin.
pub(crate) const OFFSET_HEADER: HeaderName = HeaderName::from_static("gullglade-resume-offset");

/// How urgent the request is.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("gullglade-priority");

/// An answer that has begun.
pub(crate) struct AttemptAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<ContentHeader>,
    pub(crate) body: LocalStream,
    pub(crate) backend: BackendName,
    pub(crate) region: RegionName,
    /// `NotRun` only where the backend server itself says so of a request it found faulty.
    pub(crate) run: RunState,
    pub(crate) work: WorkGuard,
}

/// Who gives an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerPlace {
    pub(crate) backend: BackendName,
    pub(crate) region: RegionName,
}

impl AttemptAnswer {
    /// Who gives it.
    pub(crate) fn place(&self) -> AnswerPlace {
        AnswerPlace { backend: self.backend.clone(), region: self.region.clone() }
    }
}

/// Why an attempt has no answer.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
    /// Certainly not run: another attempt is safe.
    NotRun {
        /// For the event and, where nothing else is left, for the caller.
        reason: String,
    },
    /// It may have run.
    Unknown {
        /// For the event.
        reason: String,
    },
}

impl AttemptFailure {
    /// Whether the request was certainly not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

/// Where a local attempt goes, copied out of the table.
#[derive(Debug, Clone)]
pub(crate) struct BackendPlace {
    pub(crate) run: BackendRun,
    pub(crate) address: SocketAddr,
    pub(crate) prefill_tokens: u64,
}

impl BackendPlace {
    pub(crate) fn new(view: &BackendView<'_>, prefill_tokens: u64) -> Self {
        let run = BackendRun { backend: view.name.clone(), incarnation: view.incarnation };
        Self { run, address: view.address, prefill_tokens }
    }

    pub(crate) fn name(&self) -> &BackendName {
        &self.run.backend
    }
}

impl Gateway {
    /// Sends `plan` to a backend server of this region and waits for the head of its answer.
    pub(crate) async fn attempt_local(
        &self,
        plan: &CallPlan,
        place: &BackendPlace,
        mut work: WorkGuard,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let blocks = &plan.prompt.blocks;
        let Some(guard) = self.backends.dispatch(place.name(), place.prefill_tokens, blocks) else {
            return Err(not_run(
                "the backend server took no more requests before this one was sent",
            ));
        };
        work.dispatch = Some(guard);
        work.cost = Some(self.cost_meter(plan));
        self.emit(plan, "request.dispatched", |e| e.field("backend", place.name()));
        let mut request = self.backend_request(plan)?;
        let mut open = self.open_sends.begin(&place.run);
        request.extensions_mut().insert(open.permit.clone());
        let sent = send_unless_revoked(&*self.client, place.address, request, &mut open.revoked);
        let reply = sent.await.map_err(|e| self.failed_send(place, &e))?;
        drop(open);
        self.note_statements(place, &reply.head);
        self.check_reply(plan, place, &reply)?;
        let run = match stated_run(&reply.head.headers) {
            Some(RunState::NotRun) => RunState::NotRun,
            _ => RunState::Run,
        };
        Ok(AttemptAnswer {
            status: reply.head.status,
            headers: content_headers(reply.head.headers),
            body: reply.body.into_stream(),
            backend: place.name().clone(),
            region: self.config.region.clone(),
            run,
            work,
        })
    }

    fn backend_request(&self, plan: &CallPlan) -> Result<Request<Bytes>, AttemptFailure> {
        let mut request = Request::new(plan.content.body.clone());
        *request.method_mut() = plan.content.method.clone();
        *request.uri_mut() =
            plan.content.path.parse().map_err(|_| not_run("the path is not a URI"))?;
        let headers = request.headers_mut();
        for header in &plan.content.headers {
            if let (Ok(name), Ok(value)) =
                (HeaderName::try_from(&header.name), HeaderValue::from_bytes(&header.value))
            {
                headers.append(name, value);
            }
        }
        let id = id_value(plan.id);
        headers.insert(REQUEST_HEADER, id.clone());
        headers.insert(ENGINE_REQUEST_HEADER, id);
        headers.insert(PRIORITY_HEADER, HeaderValue::from(priority_number(plan)));
        if plan.offset > 0 {
            headers.insert(OFFSET_HEADER, HeaderValue::from(plan.offset));
        }
        let remaining = self.remaining(plan);
        request.extensions_mut().insert(HeadTimeout(remaining));
        if !plan.is_repeatable() {
            request.extensions_mut().insert(FreshConnection);
        }
        Ok(request)
    }

    fn failed_send(&self, place: &BackendPlace, error: &ClientError) -> AttemptFailure {
        if let ClientError::Revoked { .. } = error {
            return not_run("the backend server wanted nothing more before this one was sent");
        }
        self.backends.note_failure(place.name());
        self.events.emit(
            EventDraft::new("backend.failed").field("backend", place.name()).error("reason", error),
        );
        let reason = format!("backend server {} did not answer", place.name());
        match error.nothing_sent() {
            true => AttemptFailure::NotRun { reason },
            false => AttemptFailure::Unknown { reason },
        }
    }

    /// Sorts out replies that are no answers: a backend server's proved refusal, another request's
    /// answer, and failures of the backend server where another may do better.
    fn check_reply(
        &self,
        plan: &CallPlan,
        place: &BackendPlace,
        reply: &ClientReply,
    ) -> Result<(), AttemptFailure> {
        let headers = &reply.head.headers;
        if headers.get(REQUEST_HEADER).is_some_and(|id| *id != id_value(plan.id)) {
            self.metrics.record_violation(Invariant::OwnAnswer);
            self.emit(plan, "answer.swapped", |e| e.field("backend", place.name()));
            return Err(unknown("the backend server answered another request"));
        }
        let status = reply.head.status;
        let refused =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        if refused && stated_run(headers) == Some(RunState::NotRun) {
            return Err(not_run("the backend server refused the request"));
        }
        if status.is_server_error() && plan.is_repeatable() {
            return Err(unknown("the backend server failed"));
        }
        Ok(())
    }

    /// Sends `plan` to a gateway of `region` and waits for the head of its answer.
    pub(crate) async fn attempt_forward(
        &self,
        plan: &CallPlan,
        region: &RegionName,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let message = Bytes::from(encode(&self.forward_request(plan)));
        for address in self.directory.gateways(region) {
            let opened = self.transport.open(address, FORWARD_METHOD, message.clone()).await;
            match opened {
                Ok(stream) => return self.forward_answer(plan, region, address, stream).await,
                Err(error) => match self.failed_forward(address, &error) {
                    AttemptFailure::NotRun { .. } => {}
                    failure => return Err(failure),
                },
            }
        }
        Err(AttemptFailure::NotRun { reason: format!("no gateway of {region} can be reached") })
    }

    fn forward_request(&self, plan: &CallPlan) -> ForwardRequest {
        ForwardRequest {
            id: plan.id,
            origin: self.config.region.clone(),
            gateway: self.config.vm.clone(),
            service: plan.service().clone(),
            workspace: plan.workspace.clone(),
            target: plan.target.clone(),
            method: plan.content.method.to_string(),
            path: plan.content.path.clone(),
            headers: plan.content.headers.clone(),
            body: plan.content.body.to_vec(),
            streamed: plan.content.streamed,
            repeatable: plan.is_repeatable(),
            remaining_millis: u64::try_from(self.remaining(plan).as_millis()).unwrap_or(u64::MAX),
            offset: plan.offset,
            prompt_tokens: plan.prompt.tokens,
            prompt_blocks: plan.prompt.blocks.clone(),
            max_tokens: plan.max_tokens,
        }
    }

    fn failed_forward(&self, address: SocketAddr, error: &PeerError) -> AttemptFailure {
        self.directory.note_failure(address);
        self.events
            .emit(EventDraft::new("forward.failed").field("peer", address).error("reason", error));
        match error.nothing_sent() {
            true => not_run("the gateway of the other region cannot be reached"),
            false => unknown("the link to the other region broke"),
        }
    }

    async fn forward_answer(
        &self,
        plan: &CallPlan,
        region: &RegionName,
        address: SocketAddr,
        mut stream: PeerStream,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let first = timeout(&*self.context.clock, self.remaining(plan), stream.next()).await;
        let first = match first {
            Some(Some(Ok(bytes))) => bytes,
            Some(Some(Err(error))) => return Err(self.failed_forward(address, &error)),
            Some(None) => return Err(unknown("the other region's answer has no head")),
            None => return Err(unknown("the other region did not answer in time")),
        };
        let reply = decode::<ForwardReply>(&first)
            .map_err(|_| unknown("the other region's answer does not decode"))?;
        match reply {
            ForwardReply::Answer { id, status, headers, backend, ran } if id == plan.id => {
                Ok(AttemptAnswer {
                    status: StatusCode::from_u16(status)
                        .map_err(|_| unknown("the other region's status is not one"))?,
                    headers,
                    body: Box::pin(stream.map(|item| item.map_err(broken_forward))),
                    backend,
                    region: region.clone(),
                    run: if ran { RunState::Run } else { RunState::NotRun },
                    work: WorkGuard::default(),
                })
            }
            ForwardReply::Answer { .. } => {
                self.metrics.record_violation(Invariant::OwnAnswer);
                self.emit(plan, "answer.swapped", |e| e.field("region", region));
                Err(unknown("the other region answered another request"))
            }
            ForwardReply::NotRun { reason, .. } => Err(AttemptFailure::NotRun { reason }),
            ForwardReply::Unknown => Err(unknown("the other region lost the answer")),
        }
    }

    /// Time until the caller has no use for an answer any more.
    pub(crate) fn remaining(&self, plan: &CallPlan) -> Duration {
        plan.deadline.since(self.context.clock.now())
    }
}

fn not_run(reason: &str) -> AttemptFailure {
    AttemptFailure::NotRun { reason: reason.to_owned() }
}

fn unknown(reason: &str) -> AttemptFailure {
    AttemptFailure::Unknown { reason: reason.to_owned() }
}

fn broken_forward(error: PeerError) -> BodyError {
    BodyError::Incomplete { reason: error.to_string() }
}

fn id_value(id: RequestId) -> HeaderValue {
    HeaderValue::try_from(id.to_string()).expect("a UUID's text is visible ASCII")
}

/// What a backend server says of whether the request ran.
pub(crate) fn stated_run(headers: &HeaderMap) -> Option<RunState> {
    headers.get(RunState::HEADER).and_then(RunState::from_value)
}

/// The priority as engines take it: a whole number, the higher the more urgent.
fn priority_number(plan: &CallPlan) -> i32 {
    match plan.priority {
        Priority::High => 1,
        Priority::Normal => 0,
        Priority::Low => -1,
    }
}

/// The headers of a message that go with its content to the next hop. Tokens stay here.
pub(crate) fn content_headers(mut headers: HeaderMap) -> Vec<ContentHeader> {
    strip_hop_by_hop(&mut headers);
    for name in [AUTHORIZATION, HOST, CONTENT_LENGTH, REQUEST_HEADER, RunState::HEADER] {
        headers.remove(name);
    }
    let header = |(name, value): (&HeaderName, &HeaderValue)| ContentHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}
