//! The gateway: its parts, its paths, and what every module of this crate shares.

use {
    crate::{
        call::CallPlan,
        config::GatewayConfig,
        directory::RegionDirectory,
        memory::MemoryBudget,
        open_sends::OpenSends,
        refusal,
        work::{ChangeSignal, HoldTable},
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

/// What a gateway is made of. Each is a seam at which a test can put a fake.
pub struct GatewayParts {
    /// Time, randomness and tasks.
    pub context: ProcessContext,
    /// The configuration in force.
    pub documents: Rc<dyn ConfigSource>,
    /// Backend servers of this region.
    pub backends: Rc<BackendTable>,
    /// Tells the region's other gateways what backend servers announce.
    pub relay: BackendRelay,
    /// Other gateways and regions.
    pub directory: Rc<dyn RegionDirectory>,
    /// Claims on keys.
    pub claims: Rc<dyn ClaimCoordinator>,
    /// Lets requests in.
    pub admission: AdmissionQueue,
    /// Calls backend servers.
    pub client: Rc<dyn HttpClient>,
    /// Calls other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// The time line.
    pub events: Rc<dyn EventSink>,
    /// Metrics.
    pub metrics: Rc<MetricSet>,
}

/// One gateway. Serves callers as a [`RequestHandler`] and other gateways as a `PeerHandler` for
/// the prefix `forward`.
#[derive(Clone)]
pub struct Gateway {
    shared: Rc<GatewayShared>,
}

/// The state that all requests of a gateway share.
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
    pub(crate) holds: Rc<HoldTable>,
    pub(crate) changes: Rc<ChangeSignal>,
    pub(crate) open_sends: Rc<OpenSends>,
    draining: Cell<bool>,
    policies: RefCell<HashMap<PolicyKey, PolicyEntry>>,
    budgets: RefCell<HashMap<ServiceName, BudgetEntry>>,
    pub(crate) memory: MemoryBudget,
}

type PolicyKey = (ServiceName, ServiceTarget);

/// A policy and the document's cap that it was made for.
struct PolicyEntry {
    cap: f64,
    policy: Rc<CheckedPolicy<LatencyPolicy>>,
}

/// A retry budget and the document's share that it was made for.
struct BudgetEntry {
    ratio: f64,
    budget: Rc<RetryBudget>,
}

/// What a gateway carries now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayStatus {
    /// Requests in progress.
    pub open_requests: u64,
    /// Whether it refuses new ones.
    pub draining: bool,
}

impl std::ops::Deref for Gateway {
    type Target = GatewayShared;

    fn deref(&self) -> &GatewayShared {
        &self.shared
    }
}

impl Gateway {
    /// A gateway of these parts.
    pub fn new(config: GatewayConfig, parts: GatewayParts) -> Self {
        let shared = GatewayShared {
            context: parts.context,
            documents: parts.documents,
            backends: parts.backends,
            relay: parts.relay,
            directory: parts.directory,
            claims: parts.claims,
            admission: parts.admission,
            client: parts.client,
            transport: parts.transport,
            events: parts.events,
            metrics: parts.metrics,
            holds: Rc::default(),
            changes: Rc::default(),
            open_sends: Rc::default(),
            draining: Cell::new(false),
            policies: RefCell::default(),
            budgets: RefCell::default(),
            memory: MemoryBudget::new(config.body_memory),
            config,
        };
        Self { shared: Rc::new(shared) }
    }

    /// Leaves entry answers and refuses new requests; those in progress go on.
    pub fn drain(&self) {
        self.draining.set(true);
        self.events.emit(EventDraft::new("gateway.draining").field("gateway", &self.config.vm));
    }

    /// What it carries now.
    pub fn status(&self) -> GatewayStatus {
        GatewayStatus {
            open_requests: u64::try_from(self.metrics.open_requests().get()).unwrap_or(0),
            draining: self.draining.get(),
        }
    }

    /// Something about backend servers changed: requests that wait are decided anew, with the slots
    /// there are now.
    pub fn backends_changed(&self) {
        if let Some(view) = self.documents.current() {
            for document in view.documents() {
                self.refresh_document(document);
            }
        }
        self.changes.notify();
    }

    fn refresh_document(&self, document: &ServiceDocument) {
        for model in &document.models {
            self.refresh_capacity(&ServiceTarget::Model(model.name.clone()));
        }
        for plain in &document.plain_services {
            self.refresh_capacity(&ServiceTarget::Plain(plain.name.clone()));
        }
    }

    /// Index of the configuration in force, where there is one.
    pub fn configuration_index(&self) -> Option<u64> {
        self.documents.current().map(|view| view.index())
    }

    /// Whether it has a configuration and takes new requests.
    pub fn is_ready(&self) -> bool {
        self.documents.current().is_some() && !self.draining.get()
    }

    async fn serve(&self, request: Request<RequestBody>) -> Result<Response<ReplyBody>, ApiError> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/announce") => self.announce(request).await,
            (&Method::GET, "/v1/entry") => self.entry(&request),
            (&Method::GET, "/v1/models") => self.models(&request),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(request).await
            }
            (_, path) if path.starts_with("/services/") => self.plain(request).await,
            (_, path) => Err(refusal::not_found(path)),
        }
    }
}

impl GatewayShared {
    /// Emits an event of one request.
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

    /// The name under which requests for `target` queue and are measured.
    pub(crate) fn queue_name(&self, target: &ServiceTarget) -> ModelName {
        match target {
            ServiceTarget::Model(model) => model.clone(),
            ServiceTarget::Plain(service) => ModelName::try_from(service.as_str())
                .expect("every service name is a model name: the latter allow more characters"),
        }
    }

    /// How long a request for `target` holds a slot, on average.
    pub(crate) fn average_hold(&self, target: &ServiceTarget) -> Duration {
        self.holds.get(&self.queue_name(target))
    }

    /// The policy that decides `plan`: one for each service and target, since each has its own
    /// account of what it sent away. Replaced where the document's cap changed.
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

    /// The retries that a service may still make. Replaced where the document's share changed.
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
