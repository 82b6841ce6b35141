//! The HTTP face of the stand-in plain service.

use {
    crate::{
        announcer::AnnounceSource,
        engine::{GatePermit, PriorityGate, RequestPriority},
        face::{
            FaceReply, broken_body, first_half, json_reply, not_found, read_json, reset_body,
            switch_fault, typed_reply,
        },
        fault::{FaultKind, FaultSwitch},
        headers::{KEY_HEADER, LOAD_HEADER, REQUEST_HEADER, header_text},
        service::{book::OrderBook, config::ServiceConfig},
        stats::RunCounter,
    },
    bytes::Bytes,
    futures::future::pending,
    gullglade_backend::{BackendCapacity, BackendKind, BackendProfile, CacheEvents, LoadReport},
    gullglade_http::{ApiError, ReplyBody, RequestBody, RequestHandler, RunState},
    gullglade_units::{LocalFuture, ProcessContext},
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Everything one stand-in service holds.
pub(super) struct ServiceState {
    pub(super) config: ServiceConfig,
    pub(super) address: Cell<SocketAddr>,
    pub(super) slots: PriorityGate,
    pub(super) counter: RunCounter,
    pub(super) faults: FaultSwitch,
    pub(super) book: RefCell<OrderBook>,
    pub(super) context: ProcessContext,
}

/// Serves one service.
pub(super) struct ServiceHandler {
    pub(super) state: Rc<ServiceState>,
}

impl RequestHandler for ServiceHandler {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, FaceReply> {
        Box::pin(async move {
            let id = request.headers().get(REQUEST_HEADER).cloned();
            let mut reply = self.answer(request).await.unwrap_or_else(ApiError::into_response);
            let headers = reply.headers_mut();
            if let Some(id) = id {
                headers.entry(REQUEST_HEADER).or_insert(id);
            }
            let load = serde_json::to_string(&self.state.load()).expect("plain data");
            let load = HeaderValue::from_str(&load).expect("JSON of numbers is printable");
            headers.insert(LOAD_HEADER, load);
            reply
        })
    }
}

impl ServiceHandler {
    async fn answer(&self, request: Request<RequestBody>) -> Result<FaceReply, ApiError> {
        let (head, body) = request.into_parts();
        let state = &self.state;
        match (&head.method, own_path(head.uri.path())) {
            (&Method::GET, "/stub/stats") => Ok(json_reply(&state.counter.snapshot())),
            (&Method::POST, "/stub/fault") => switch_fault(&state.faults, body).await,
            (&Method::POST, "/orders") => self.place(&head.headers, body).await,
            (&Method::GET, "/orders") => {
                let _slot = self.work().await;
                Ok(json_reply(&*state.book.borrow()))
            }
            (&Method::GET, path) => {
                let number = path.strip_prefix("/orders/").and_then(|text| text.parse().ok());
                let number = number.ok_or_else(|| not_found(path))?;
                let _slot = self.work().await;
                let book = state.book.borrow();
                book.find(number).map(json_reply).ok_or_else(|| not_found(path))
            }
            (_, path) => Err(not_found(path)),
        }
    }

    /// Places one order for each call. It counts as run, and is in the book, from the moment at
    /// which the call was read: a caller who hangs up afterwards does not undo it.
    async fn place(&self, headers: &HeaderMap, body: RequestBody) -> Result<FaceReply, ApiError> {
        let order = read_json(body).await?;
        let fault = self.state.faults.take();
        if let Some(refusal) = fault.and_then(FaultKind::refusal) {
            return Err(refusal);
        }
        let key = header_text(headers, KEY_HEADER);
        let mut guard = self.state.counter.start(key);
        let placed = self.state.book.borrow_mut().place(key, order);
        let _slot = self.work().await;
        guard.finish();
        let whole = Bytes::from(serde_json::to_vec(&placed).expect("plain data"));
        Ok(with_fault(whole, fault).await)
    }

    /// Takes a slot and the time of one request.
    async fn work(&self) -> GatePermit {
        let slot = self.state.slots.enter(RequestPriority::default()).await;
        if !self.state.config.service_time.is_zero() {
            self.state.context.clock.sleep(self.state.config.service_time).await;
        }
        slot
    }
}

/// The path without the `/services/{name}` that a gateway may leave before it.
fn own_path(path: &str) -> &str {
    let Some(rest) = path.strip_prefix("/services/") else { return path };
    rest.find('/').map_or(path, |at| &rest[at..])
}

async fn with_fault(whole: Bytes, fault: Option<FaultKind>) -> FaceReply {
    let body = match fault {
        None
        | Some(
            FaultKind::Refuse | FaultKind::Backoff { .. } | FaultKind::Leaving | FaultKind::WrongId,
        ) => ReplyBody::full(whole),
        Some(FaultKind::Die { .. }) => broken_body(first_half(&whole)),
        Some(FaultKind::Truncate { .. }) => ReplyBody::full(first_half(&whole)),
        Some(FaultKind::Duplicate { .. }) => {
            ReplyBody::full(Bytes::from([&whole[..], &whole[..]].concat()))
        }
        Some(FaultKind::Freeze { .. }) => pending().await,
        Some(FaultKind::Reset) => reset_body(),
    };
    let mut reply = typed_reply(StatusCode::CREATED, "application/json", body);
    let headers = reply.headers_mut();
    headers.insert(RunState::HEADER, RunState::Run.to_value());
    if let Some(fault) = fault {
        fault.state(headers);
    }
    if fault == Some(FaultKind::WrongId) {
        headers.insert(REQUEST_HEADER, HeaderValue::from_static("other"));
    }
    reply
}

impl AnnounceSource for ServiceState {
    fn profile(&self) -> BackendProfile {
        BackendProfile {
            region: self.config.region.clone(),
            domain: self.config.domain.clone(),
            address: self.address.get(),
            kind: BackendKind::Service,
            models: Vec::new(),
            services: self.config.services.clone(),
            capacity: BackendCapacity {
                slots: self.config.slots as u32,
                tokens_per_second: 0,
                prefill_tokens_per_second: 0,
                cache_tokens: 0,
            },
            fencing: Default::default(),
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            running: (self.config.slots - self.slots.free()) as u32,
            waiting: self.slots.waiting() as u32,
            ..LoadReport::default()
        }
    }

    fn cache_events(&self, _since: u64, _limit: usize) -> Option<CacheEvents> {
        None
    }
}
