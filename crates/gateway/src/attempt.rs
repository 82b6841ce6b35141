//! One attempt to run a request, at a backend server of this region or at a gateway of another
//! region.

use {
    crate::{
        attempt_guard::AttemptGuard,
        bounded_body::BodyBounds,
        call::{CallPlan, ContentHeader},
        forward::{FORWARD_METHOD, ForwardReply, ForwardRequest},
        gateway::Gateway,
    },
    bytes::Bytes,
    futures::StreamExt,
    gullglade_backend::BackendView,
    gullglade_document::Priority,
    gullglade_event::{EventDraft, Invariant},
    gullglade_http::{
        BodyError, ClientError, ClientReply, CorrelationKey, EventBoundary, ExchangeTrace,
        FreshConnection, HeadTimeout, LocalStream, RunState, send_unless_revoked, strip_hop_by_hop,
    },
    gullglade_peer::{PeerError, PeerStream},
    gullglade_units::{BackendName, BackendRun, RegionName, RequestId, decode, encode, timeout},
    http::{
        HeaderMap, HeaderName, HeaderValue, Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HOST},
        response::Parts,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Header with the id of the request, set on the request to the backend server and on its reply.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("gullglade-request");

/// Header with the same id under the name from which common inference engines take the id of their
/// answer.
const ENGINE_REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the index of the first token that the answer is to contain.
pub(crate) const OFFSET_HEADER: HeaderName = HeaderName::from_static("gullglade-resume-offset");

/// Header with the priority of the request.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("gullglade-priority");

/// Most gateways of a region that are asked for one request. One that refuses may have no path to
/// the backend servers that the others reach. Each refusal takes a round trip.
const MAX_GATEWAYS_ASKED: u32 = 3;

/// An answer whose head has been received.
pub(crate) struct AttemptAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<ContentHeader>,
    pub(crate) body: LocalStream,
    pub(crate) backend: BackendName,
    pub(crate) region: RegionName,
    /// `NotRun` only if the backend server states that it rejected the request as invalid without
    /// running it.
    pub(crate) run: RunState,
    pub(crate) guard: AttemptGuard,
}

/// The backend server and region that an answer comes from.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSource {
    pub(crate) backend: BackendName,
    pub(crate) region: RegionName,
}

impl AttemptAnswer {
    /// Returns the backend server and region that the answer comes from.
    pub(crate) fn source(&self) -> AnswerSource {
        AnswerSource { backend: self.backend.clone(), region: self.region.clone() }
    }
}

/// The reason why an attempt produced no answer.
#[derive(Debug)]
pub(crate) enum AttemptFailure {
    /// The request certainly did not run; another attempt is safe.
    NotRun {
        /// Reason for the event, and for the caller if no further attempt is made.
        reason: String,
    },
    /// The request may have run.
    Unknown {
        /// Reason for the event.
        reason: String,
    },
}

impl AttemptFailure {
    /// Returns whether the request certainly did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

/// The backend server that a local attempt is sent to, copied from the backend table.
#[derive(Debug, Clone)]
pub(crate) struct SelectedBackend {
    pub(crate) run: BackendRun,
    pub(crate) address: SocketAddr,
    pub(crate) prefill_tokens: u64,
}

impl SelectedBackend {
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
        selected: &SelectedBackend,
        mut guard: AttemptGuard,
    ) -> Result<AttemptAnswer, AttemptFailure> {
        let blocks = &plan.prompt.blocks;
        let Some(dispatch_guard) =
            self.backends.dispatch(selected.name(), selected.prefill_tokens, blocks)
        else {
            return Err(not_run(
                "the backend server stopped accepting requests before this one was sent",
            ));
        };
        guard.dispatch = Some(dispatch_guard);
        guard.engine_time = Some(self.engine_time_meter(plan));
        self.emit(plan, "request.dispatched", |e| e.field("backend", selected.name()));
        let mut request = self.backend_request(plan)?;
        let mut pending = self.pending_sends.begin(&selected.run);
        request.extensions_mut().insert(pending.permit.clone());
        let sent =
            send_unless_revoked(&*self.client, selected.address, request, &mut pending.revoked);
        let reply = sent.await.map_err(|e| self.send_failure(selected, &e))?;
        drop(pending);
        self.apply_statements(selected, &reply.head);
        self.check_reply(plan, selected, &reply)?;
        let run = match reported_run_state(&reply.head.headers) {
            Some(RunState::NotRun) => RunState::NotRun,
            _ => RunState::Run,
        };
        let bounds = self.body_bounds(plan, selected, &reply.head);
        Ok(AttemptAnswer {
            status: reply.head.status,
            headers: content_headers(reply.head.headers),
            body: bounds.apply(reply.body),
            backend: selected.name().clone(),
            region: self.config.region.clone(),
            run,
            guard,
        })
    }

    fn body_bounds(&self, plan: &CallPlan, selected: &SelectedBackend, head: &Parts) -> BodyBounds {
        let kind = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let is_stream = kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"));
        let (backends, events) = (Rc::clone(&self.backends), Rc::clone(&self.events));
        let name = selected.name().clone();
        BodyBounds {
            events: (head.status.is_success() && is_stream).then(EventBoundary::default),
            has_length: head.headers.contains_key(CONTENT_LENGTH),
            deadline: plan.deadline,
            clock: Rc::clone(&self.context.clock),
            on_fault: Rc::new(move || {
                backends.note_failure(&name);
                events.emit(EventDraft::new("backend.garbled").field("backend", &name));
            }),
        }
    }

    fn backend_request(&self, plan: &CallPlan) -> Result<Request<Bytes>, AttemptFailure> {
        let mut request = Request::new(plan.content.body.clone());
        *request.method_mut() = plan.content.method.clone();
        *request.uri_mut() = plan
            .content
            .path
            .parse()
            .map_err(|_| not_run("the request path is not a valid URI"))?;
        let headers = request.headers_mut();
        for header in &plan.content.headers {
            if let (Ok(name), Ok(value)) =
                (HeaderName::try_from(&header.name), HeaderValue::from_bytes(&header.value))
            {
                headers.append(name, value);
            }
        }
        let id = id_value(plan.id);
        let key = CorrelationKey::of(id.as_bytes());
        headers.insert(REQUEST_HEADER, id.clone());
        headers.insert(ENGINE_REQUEST_HEADER, id);
        headers.insert(PRIORITY_HEADER, HeaderValue::from(engine_priority(plan)));
        if plan.offset > 0 {
            headers.insert(OFFSET_HEADER, HeaderValue::from(plan.offset));
        }
        let remaining = self.remaining(plan);
        request.extensions_mut().insert(HeadTimeout(remaining));
        request.extensions_mut().insert(key);
        if !plan.is_idempotent() {
            request.extensions_mut().insert(FreshConnection);
        }
        Ok(request)
    }

    fn send_failure(&self, selected: &SelectedBackend, error: &ClientError) -> AttemptFailure {
        if let ClientError::Revoked { .. } = error {
            return not_run(
                "the backend server asked for no more requests before this one was sent",
            );
        }
        self.backends.note_failure(selected.name());
        self.events.emit(
            EventDraft::new("backend.failed")
                .field("backend", selected.name())
                .error("reason", error),
        );
        let reason = format!("backend server {} did not answer", selected.name());
        match error.nothing_sent() {
            true => AttemptFailure::NotRun { reason },
            false => AttemptFailure::Unknown { reason },
        }
    }

    /// Rejects replies that are no answer to the request: a refusal that states that the request
    /// did not run, the answer to another request, and a server error where another backend server
    /// can be tried.
    fn check_reply(
        &self,
        plan: &CallPlan,
        selected: &SelectedBackend,
        reply: &ClientReply,
    ) -> Result<(), AttemptFailure> {
        let headers = &reply.head.headers;
        if headers.get(REQUEST_HEADER).is_some_and(|id| *id != id_value(plan.id)) {
            self.metrics.record_violation(Invariant::OwnAnswer);
            self.emit(plan, "answer.swapped", |e| e.field("backend", selected.name()));
            return Err(unknown("the backend server sent the answer to another request"));
        }
        let status = reply.head.status;
        let refused =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        if refused && reported_run_state(headers) == Some(RunState::NotRun) {
            // It may be a late reply to an earlier request.
            let is_verified = headers.contains_key(REQUEST_HEADER)
                || !ExchangeTrace::has_earlier_requests(&reply.head);
            return Err(match is_verified {
                true => not_run("the backend server refused the request"),
                false => unknown("a refusal without a request id came on a used connection"),
            });
        }
        if status.is_server_error() && plan.is_idempotent() {
            return Err(unknown("the backend server replied with a server error"));
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
        let mut refusals = 0;
        let mut reason = format!("no gateway of {region} can be reached");
        for address in self.directory.gateway_addresses(region) {
            let opened = self.transport.open(address, FORWARD_METHOD, message.clone()).await;
            let is_reached = opened.is_ok();
            let outcome = match opened {
                Ok(stream) => self.forward_answer(plan, region, address, stream).await,
                Err(error) => Err(self.forward_failure(address, &error)),
            };
            match outcome {
                Err(AttemptFailure::NotRun { reason: refusal }) if is_reached => {
                    refusals += 1;
                    reason = refusal;
                }
                Err(AttemptFailure::NotRun { .. }) => {}
                outcome => return outcome,
            }
            if refusals == MAX_GATEWAYS_ASKED {
                break;
            }
        }
        Err(AttemptFailure::NotRun { reason })
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
            repeatable: plan.is_idempotent(),
            remaining_millis: u64::try_from(self.remaining(plan).as_millis()).unwrap_or(u64::MAX),
            offset: plan.offset,
            prompt_tokens: plan.prompt.tokens,
            prompt_blocks: plan.prompt.blocks.clone(),
            max_tokens: plan.max_tokens,
        }
    }

    fn forward_failure(&self, address: SocketAddr, error: &PeerError) -> AttemptFailure {
        self.directory.note_failure(address);
        self.events
            .emit(EventDraft::new("forward.failed").field("peer", address).error("reason", error));
        match error.nothing_sent() {
            true => not_run("the gateway of the other region cannot be reached"),
            false => unknown("the connection to the other region was lost"),
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
            Some(Some(Err(error))) => return Err(self.forward_failure(address, &error)),
            Some(None) => return Err(unknown("the other region's answer ended before its head")),
            None => return Err(unknown("the other region did not answer in time")),
        };
        let reply = decode::<ForwardReply>(&first)
            .map_err(|_| unknown("the other region's answer could not be decoded"))?;
        match reply {
            ForwardReply::Answer { id, status, headers, backend, ran } if id == plan.id => {
                Ok(AttemptAnswer {
                    status: StatusCode::from_u16(status).map_err(|_| {
                        unknown("the other region's answer has an invalid status code")
                    })?,
                    headers,
                    body: Box::pin(stream.map(|item| item.map_err(incomplete_forward))),
                    backend,
                    region: region.clone(),
                    run: if ran { RunState::Run } else { RunState::NotRun },
                    guard: AttemptGuard::default(),
                })
            }
            ForwardReply::Answer { .. } => {
                self.metrics.record_violation(Invariant::OwnAnswer);
                self.emit(plan, "answer.swapped", |e| e.field("region", region));
                Err(unknown("the other region sent the answer to another request"))
            }
            ForwardReply::NotRun { reason, .. } => Err(AttemptFailure::NotRun { reason }),
            ForwardReply::Unknown => {
                Err(unknown("the other region lost the answer of a request that may have run"))
            }
        }
    }

    /// Returns the time left until the deadline of the request.
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

fn incomplete_forward(error: PeerError) -> BodyError {
    BodyError::Incomplete { reason: error.to_string() }
}

fn id_value(id: RequestId) -> HeaderValue {
    HeaderValue::try_from(id.to_string()).expect("a UUID's text is visible ASCII")
}

/// Returns the run state that the headers of a backend server report.
pub(crate) fn reported_run_state(headers: &HeaderMap) -> Option<RunState> {
    headers.get(RunState::HEADER).and_then(RunState::from_value)
}

/// Returns the priority as inference engines expect it: an integer, higher is more urgent.
fn engine_priority(plan: &CallPlan) -> i32 {
    match plan.priority {
        Priority::High => 1,
        Priority::Normal => 0,
        Priority::Low => -1,
    }
}

/// Returns the end-to-end headers that are passed to the next hop with the content. Credentials,
/// hop-by-hop headers and the gateway's own headers are removed.
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
