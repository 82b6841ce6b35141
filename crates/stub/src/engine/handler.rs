//! The HTTP face of the stand-in engine.

use {
    crate::{
        announcer::AnnounceSource,
        engine::{
            answer::EngineAnswer,
            answer_writer::AnswerWriter,
            batch::{BatchEngine, SequenceRequest},
            completion::{CompletionKind, CompletionRequest},
            config::EngineConfig,
            gate::RequestPriority,
            orders::{OrderOutcome, OrderState, PlatformOrder},
        },
        face::{
            FaceReply, bad_request, json_reply, json_with, not_found, query_number, read_body,
            read_json, reset_body, switch_fault, typed_reply,
        },
        fault::{FaultKind, FaultSwitch},
        headers::{
            KEY_HEADER, LOAD_HEADER, PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER, header_number,
            header_text,
        },
        stats::RunCounter,
        token::TokenSource,
        weights::fetch_weights,
    },
    bytes::Bytes,
    gullglade_backend::{
        BackendCapacity, BackendKind, BackendProfile, CacheEvents, LoadReport, PrefixHash,
        PromptBlocks,
    },
    gullglade_http::{ApiError, HttpClient, RequestBody, RequestHandler, RunState},
    gullglade_units::{LocalFuture, ModelName, ProcessContext},
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode},
    serde::Serialize,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The pause before a failed download of weights is tried again.
const WEIGHT_RETRY: Duration = Duration::from_millis(500);

/// Everything one stand-in engine holds.
pub(super) struct EngineState {
    pub(super) config: EngineConfig,
    pub(super) address: Cell<SocketAddr>,
    pub(super) batch: Rc<BatchEngine>,
    pub(super) counter: RunCounter,
    pub(super) faults: FaultSwitch,
    pub(super) orders: RefCell<OrderState>,
    pub(super) client: Rc<dyn HttpClient>,
    pub(super) context: ProcessContext,
    /// Called when an order changed what the engine announces.
    pub(super) changed: RefCell<Box<dyn Fn()>>,
}

/// Serves one engine.
pub(super) struct EngineHandler {
    pub(super) state: Rc<EngineState>,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: ModelName,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl RequestHandler for EngineHandler {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, FaceReply> {
        Box::pin(async move {
            let id = request.headers().get(REQUEST_HEADER).cloned();
            let reply = self.answer(request).await;
            let mut reply = reply.unwrap_or_else(ApiError::into_response);
            if let Some(id) = id {
                reply.headers_mut().entry(REQUEST_HEADER).or_insert(id);
            }
            self.add_load(&mut reply);
            reply
        })
    }
}

impl EngineHandler {
    async fn answer(&self, request: Request<RequestBody>) -> Result<FaceReply, ApiError> {
        let (head, body) = request.into_parts();
        let state = &self.state;
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, &head.headers, body).await
            }
            (&Method::POST, "/v1/completions") => {
                self.complete(CompletionKind::Text, &head.headers, body).await
            }
            (&Method::GET, "/v1/models") => Ok(json_reply(&self.models())),
            (&Method::GET, "/stub/stats") => Ok(json_reply(&state.counter.snapshot())),
            (&Method::GET, "/stub/load") => Ok(json_reply(&state.batch.load())),
            (&Method::POST, "/stub/fault") => switch_fault(&state.faults, body).await,
            (&Method::GET, "/stub/cache-events") => {
                let since = query_number(head.uri.query(), "since")?;
                Ok(json_reply(&state.batch.cache_events(since, usize::MAX)))
            }
            (&Method::GET, "/platform/cache") => Ok(json_reply(&state.batch.export_cache())),
            (&Method::POST, "/platform/cache") => {
                let blocks: Vec<PrefixHash> = read_json(body).await?;
                state.batch.import_cache(&blocks);
                Ok(json_reply(&blocks.len()))
            }
            (&Method::GET, "/platform/orders") => Ok(json_reply(&*state.orders.borrow())),
            (&Method::POST, "/platform/orders") => self.take_order(read_json(body).await?),
            (_, path) => Err(not_found(path)),
        }
    }

    /// Runs a completion and answers with the fault that is switched on, if any.
    async fn complete(
        &self,
        kind: CompletionKind,
        headers: &HeaderMap,
        body: RequestBody,
    ) -> Result<FaceReply, ApiError> {
        let body = read_body(body).await?;
        let request = CompletionRequest::try_from((kind, &body[..])).map_err(bad_request)?;
        self.check_model(&request.model)?;
        let offset = header_number(headers, RESUME_HEADER).map_err(bad_request)?;
        let priority = header_number(headers, PRIORITY_HEADER).map_err(bad_request)?;
        let fault = self.state.faults.take();
        if let Some(refusal) = fault.and_then(FaultKind::refusal) {
            return Err(refusal);
        }
        let sequence = self.state.batch.submit(SequenceRequest {
            prompt: PromptBlocks::new(&request.model, &request.prompt),
            source: TokenSource::new(&request.model, &request.prompt),
            offset,
            end: request.max_tokens,
            priority: RequestPriority(priority),
        });
        let writer = self.writer(&request, headers, fault);
        // The head names the request whatever the answer says, as an engine's front end does that
        // mixes up its streams.
        let id = header_text(headers, REQUEST_HEADER).unwrap_or(&writer.id).to_owned();
        let answer = EngineAnswer {
            prompt_tokens: PromptBlocks::new(&request.model, &request.prompt).tokens,
            include_usage: request.include_usage,
            guard: self.state.counter.start(header_text(headers, KEY_HEADER)),
            writer,
            sequence,
            fault,
        };
        let mut reply = match request.stream {
            _ if fault == Some(FaultKind::Reset) => {
                drop(answer.into_whole().await);
                Response::new(reset_body())
            }
            true => typed_reply(StatusCode::OK, "text/event-stream", answer.into_stream()),
            false => typed_reply(StatusCode::OK, "application/json", answer.into_whole().await),
        };
        reply.headers_mut().insert(RunState::HEADER, RunState::Run.to_value());
        if let Some(fault) = fault {
            fault.state(reply.headers_mut());
        }
        if let Ok(id) = HeaderValue::from_str(&id) {
            reply.headers_mut().insert(REQUEST_HEADER, id);
        }
        Ok(reply)
    }

    fn check_model(&self, model: &str) -> Result<(), ApiError> {
        if self.state.orders.borrow().models.iter().any(|held| held.as_str() == model) {
            return Ok(());
        }
        let message = format!("model {model:?} is not loaded here; GET /v1/models lists what is");
        Err(ApiError::new(StatusCode::NOT_FOUND, "model_not_found", message))
    }

    fn writer(
        &self,
        request: &CompletionRequest,
        headers: &HeaderMap,
        fault: Option<FaultKind>,
    ) -> AnswerWriter {
        let given = header_text(headers, REQUEST_HEADER).map(str::to_owned);
        let id =
            given.unwrap_or_else(|| format!("stub-{:016x}", self.state.context.random.next_u64()));
        AnswerWriter {
            kind: request.kind,
            id: if fault == Some(FaultKind::WrongId) { format!("{id}-other") } else { id },
            created: self.state.context.clock.wall().0 / 1_000,
            model: request.model.clone(),
            finish_reason: if request.limited { "length" } else { "stop" },
        }
    }

    fn models(&self) -> ModelList {
        let entry = |id: &ModelName| ModelEntry {
            id: id.clone(),
            object: "model",
            created: 0,
            owned_by: "stub",
        };
        let data = self.state.orders.borrow().models.iter().map(entry).collect();
        ModelList { object: "list", data }
    }

    fn take_order(&self, order: PlatformOrder) -> Result<FaceReply, ApiError> {
        let outcome = self.state.orders.borrow_mut().decide(&order, self.state.config.fencing);
        if outcome == OrderOutcome::Stale {
            let fence = self.state.orders.borrow().fence;
            let message = format!(
                "fencing number {} is older than {fence}; take the lease again before giving orders",
                order.fence
            );
            return Err(ApiError::new(StatusCode::CONFLICT, "stale_fence", message));
        }
        if outcome == OrderOutcome::Obeyed {
            let state = self.state.clone();
            let work = async move { state.carry_out(order).await };
            self.state.context.spawner.spawn(Box::pin(work));
        }
        let body = serde_json::to_vec(&*self.state.orders.borrow()).expect("plain data");
        Ok(json_with(StatusCode::ACCEPTED, Bytes::from(body)))
    }

    fn add_load(&self, reply: &mut Response<gullglade_http::ReplyBody>) {
        let load = serde_json::to_string(&self.state.batch.reported_load()).expect("plain data");
        let value = HeaderValue::from_str(&load).expect("JSON of numbers is printable");
        reply.headers_mut().insert(LOAD_HEADER, value);
    }
}

impl EngineState {
    async fn carry_out(&self, order: PlatformOrder) {
        if let (Some((name, bytes)), Some(store)) =
            (order.action.weights(), self.config.weight_store)
        {
            while !fetch_weights(&*self.client, store, name, bytes).await {
                self.context.clock.sleep(WEIGHT_RETRY).await;
            }
        }
        self.orders.borrow_mut().apply(&order.action);
        (self.changed.borrow())();
    }
}

impl AnnounceSource for EngineState {
    fn profile(&self) -> BackendProfile {
        let limits = self.batch.limits();
        BackendProfile {
            region: self.config.region.clone(),
            domain: self.config.domain.clone(),
            address: self.address.get(),
            kind: BackendKind::Engine,
            models: self.orders.borrow().models.clone(),
            services: Vec::new(),
            capacity: BackendCapacity {
                slots: limits.slots as u32,
                tokens_per_second: limits.decode_tokens_per_second as u32,
                prefill_tokens_per_second: limits.prefill_tokens_per_second as u32,
                cache_tokens: limits.cache_tokens,
            },
            fencing: self.config.fencing,
        }
    }

    fn load(&self) -> LoadReport {
        self.batch.reported_load()
    }

    fn cache_events(&self, since: u64, limit: usize) -> Option<CacheEvents> {
        self.batch.cache_events(since, limit)
    }
}
