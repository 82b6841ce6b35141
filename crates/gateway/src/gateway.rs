//! The gateway: its dependencies, its HTTP routes, and the state that all modules of this crate
//! share.

use {
    crate::{
        attempt_guard::{CapacitySignal, HoldingTimes},
        call::CallPlan,
        config::GatewayConfig,
        directory::RegionDirectory,
        memory::MemoryBudget,
        pending_sends::PendingSends,
        refusal,
    },
    gullglade_admission::{AdmissionQueue, RetryBudget, RetrySettings},
    gullglade_backend::{BackendRelay, BackendTable},
    gullglade_claim::ClaimCoordinator,
    gullglade_document::{ConfigSource, ServiceDocument, ServiceTarget},
    gullglade_event::{EventDraft, EventSink, MetricSet},
    gullglade_http::{ApiError, HttpClient, ReplyBody, RequestBody, RequestHandler},
    gullglade_peer::PeerTransport,
    gullglade_route::{CheckedPolicy, ForwardingSettings, LatencyPolicy, LatencySettings},
    gullglade_units::{LocalFuture, ModelName, ProcessContext, ServiceName},
    http::{Method, Request, Response},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Dependencies of a gateway. Tests substitute fakes for them.
pub struct GatewayDependencies {
    /// Clock, random number generator and task spawner.
    pub context: ProcessContext,
    /// The configuration in force.
    pub documents: Rc<dyn ConfigSource>,
    /// Backend servers of this region.
    pub backends: Rc<BackendTable>,
    /// Distributes backend server announcements to the other gateways of this region.
    pub relay: BackendRelay,
    /// Lookup of other gateways and regions.
    pub directory: Rc<dyn RegionDirectory>,
    /// Coordinates claims on idempotency keys.
    pub claims: Rc<dyn ClaimCoordinator>,
    /// Admission queue for local slots.
    pub admission: AdmissionQueue,
    /// HTTP client for backend servers.
    pub client: Rc<dyn HttpClient>,
    /// Transport for calls to other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// Sink for timeline events.
    pub events: Rc<dyn EventSink>,
    /// Metrics.
    pub metrics: Rc<MetricSet>,
}

/// A gateway. Serves callers as a [`RequestHandler`] and other gateways as a `PeerHandler` for the
/// method prefix `forward`.
#[derive(Clone)]
pub struct Gateway {
    shared: Rc<GatewayShared>,
}

/// State shared by all requests of a gateway.
pub struct GatewayShared {
    pub(crate) config: GatewayConfig,
    pub(crate) context: ProcessContext,
    pub(crate) documents: Rc<dyn ConfigSource>,
    pub(crate) backends: Rc<BackendTable>,
    pub(crate) relay: BackendRelay,
    pub(crate) directory: Rc<dyn RegionDirectory>,
    pub(crate) claims: Rc<dyn ClaimCoordinator>,
    pub(crate) admission: AdmissionQueue,
    pub(crate) client: Rc<dyn HttpClient>,
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) events: Rc<dyn EventSink>,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) holding_times: Rc<HoldingTimes>,
    pub(crate) capacity_signal: Rc<CapacitySignal>,
    pub(crate) pending_sends: Rc<PendingSends>,
    draining: Cell<bool>,
    policies: RefCell<HashMap<PolicyKey, PolicyEntry>>,
    budgets: RefCell<HashMap<ServiceName, BudgetEntry>>,
    pub(crate) memory: MemoryBudget,
}

type PolicyKey = (ServiceName, ServiceTarget);

/// A routing policy and the document's limit on the forwarded share that it was created with.
struct PolicyEntry {
    cap: f64,
    policy: Rc<CheckedPolicy<LatencyPolicy>>,
}

/// A retry budget and the document's retry share that it was created with.
struct BudgetEntry {
    ratio: f64,
    budget: Rc<RetryBudget>,
}

/// Current load and state of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Number of requests in progress.
    pub open_requests: u64,
    /// Set while the gateway refuses new requests.
    pub draining: bool,
}

impl std::ops::Deref for Gateway {
    type Target = GatewayShared;

    fn deref(&self) -> &GatewayShared {
        &self.shared
    }
}

impl Gateway {
    /// Creates a gateway from its configuration and dependencies.
    pub fn new(config: GatewayConfig, dependencies: GatewayDependencies) -> Self {
        let shared = GatewayShared {
            context: dependencies.context,
            documents: dependencies.documents,
            backends: dependencies.backends,
            relay: dependencies.relay,
            directory: dependencies.directory,
            claims: dependencies.claims,
            admission: dependencies.admission,
            client: dependencies.client,
            transport: dependencies.transport,
            events: dependencies.events,
            metrics: dependencies.metrics,
            holding_times: Rc::default(),
            capacity_signal: Rc::default(),
            pending_sends: Rc::default(),
            draining: Cell::new(false),
            policies: RefCell::default(),
            budgets: RefCell::default(),
            memory: MemoryBudget::new(config.body_memory_bytes),
            config,
        };
        Self { shared: Rc::new(shared) }
    }

    /// Starts draining: new requests are refused, and the gateway is no longer an entry point.
    /// Requests in progress continue.
    pub fn drain(&self) {
        self.draining.set(true);
        self.events.emit(EventDraft::new("gateway.draining").field("gateway", &self.config.vm));
    }

    /// Returns the current load and state.
    pub fn status(&self) -> GatewayStatus {
        GatewayStatus {
            open_requests: u64::try_from(self.metrics.open_requests().get()).unwrap_or(0),
            draining: self.draining.get(),
        }
    }

    /// Updates capacities after a change of backend servers and wakes waiting requests, which
    /// repeat their routing decision.
    pub fn backends_changed(&self) {
        if let Some(view) = self.documents.current() {
            for document in view.documents() {
                self.refresh_document(document);
            }
        }
        self.capacity_signal.notify();
    }

    fn refresh_document(&self, document: &ServiceDocument) {
        for model in &document.models {
            self.refresh_capacity(&ServiceTarget::Model(model.name.clone()));
        }
        for plain in &document.plain_services {
            self.refresh_capacity(&ServiceTarget::Plain(plain.name.clone()));
        }
    }

    /// Returns the index of the configuration in force, or `None` without one.
    pub fn configuration_index(&self) -> Option<u64> {
        self.documents.current().map(|view| view.index())
    }

    /// Returns whether the gateway has a configuration and accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.documents.current().is_some() && !self.draining.get()
    }

    async fn serve(&self, request: Request<RequestBody>) -> Result<Response<ReplyBody>, ApiError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/announce") => self.serve_announce(request).await,
            (&Method::GET, "/v1/entry") => self.serve_entry(&request),
            (&Method::GET, "/v1/models") => self.serve_models(&request),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.serve_completion(request).await
            }
            (_, path) if path.starts_with("/services/") => self.serve_plain(request).await,
            (_, path) => Err(refusal::not_found(path)),
        }
    }
}

impl GatewayShared {
    /// Emits an event for one request.
    pub(crate) fn emit(
        &self,
        plan: &CallPlan,
        kind: &'static str,
        fields: impl FnOnce(EventDraft) -> EventDraft,
    ) {
        self.events.emit(fields(EventDraft::new(kind).field("request", plan.id)));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the name under which requests for `target` are queued and counted in metrics.
    pub(crate) fn queue_name(&self, target: &ServiceTarget) -> ModelName {
        match target {
            ServiceTarget::Model(model) => model.clone(),
            ServiceTarget::Plain(service) => ModelName::try_from(service.as_str())
                .expect("every service name is a model name: the latter allow more characters"),
        }
    }

    /// Returns the average time that a request for `target` holds a slot.
    pub(crate) fn average_holding_time(&self, target: &ServiceTarget) -> Duration {
        self.holding_times.get(&self.queue_name(target))
    }

    /// Returns the routing policy for `plan`. There is one for each service and target, since each
    /// limits the share of requests it forwards on its own. Replaced when the limit in the document
    /// changes.
    pub(crate) fn policy(&self, plan: &CallPlan) -> Rc<CheckedPolicy<LatencyPolicy>> {
        let key = (plan.service().clone(), plan.target.clone());
        let cap = plan.document.limits.away_share;
        let mut policies = self.policies.borrow_mut();
        let entry = policies.entry(key).or_insert_with(|| PolicyEntry::new(cap));
        if entry.cap != cap {
            *entry = PolicyEntry::new(cap);
        }
        Rc::clone(&entry.policy)
    }

    /// Returns the retry budget of a service. Replaced when the retry share in the document
    /// changes.
    pub(crate) fn retry_budget(&self, document: &ServiceDocument) -> Rc<RetryBudget> {
        let ratio = document.limits.retry_share;
        let mut budgets = self.budgets.borrow_mut();
        if let Some(entry) = budgets.get(&document.name).filter(|entry| entry.ratio == ratio) {
            return Rc::clone(&entry.budget);
        }
        let settings = RetrySettings { ratio, ..RetrySettings::default() };
        let budget = Rc::new(RetryBudget::new(settings, self.context.clock.now()));
        let entry = BudgetEntry { ratio, budget: Rc::clone(&budget) };
        budgets.insert(document.name.clone(), entry);
        budget
    }
}

impl PolicyEntry {
    fn new(cap: f64) -> Self {
        let away = ForwardingSettings { max_share: cap, ..ForwardingSettings::default() };
        let settings = LatencySettings { forwarding: away, ..LatencySettings::default() };
        Self { cap, policy: Rc::new(CheckedPolicy::new(LatencyPolicy::new(settings))) }
    }
}

impl RequestHandler for Gateway {
    fn handle<'a>(
        &'a self,
        request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, Response<ReplyBody>> {
        Box::pin(async move {
            match self.serve(request).await {
                Ok(response) => response,
                Err(error) => error.into_response(),
            }
        })
    }
}
