//! A gateway process.

use {
    crate::{
        NodeSettings, NodeWiring, OperatorPort, OperatorRoute, StartError,
        claim_groups::{lone_group, tell_lone_group},
        core::{NodeCore, http_server},
        late::LateHandler,
        report::ReportSource,
        report_routes::ReportRoutes,
    },
    gullglade_admission::{AdmissionQueue, AdmissionSettings},
    gullglade_backend::{
        BackendConfig, BackendRelay, BackendTable, GatewayLoad, GatewayProfile, LocalGateway,
        RelayConfig, RelayDependencies,
    },
    gullglade_claim::{ClaimService, ClaimSettings, GroupTable, QuorumClaims, ReplicaGroup},
    gullglade_document::ConfigSource,
    gullglade_event::{EventDraft, EventLog, EventSink, MetricSet},
    gullglade_gateway::{Gateway, GatewayConfig, GatewayDependencies, RelayDirectory},
    gullglade_http::{ClientConfig, PooledClient, ServerConfig, StopHandle},
    gullglade_peer::{HandlerTable, PeerHandler, PeerPool, PeerStopHandle},
    gullglade_units::{ProcessContext, RegionName, VmName, timeout},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// How often the load that entry answers weigh is told to the relay.
const LOAD_TICK: Duration = Duration::from_millis(500);

/// Where a process listens, with real ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// For callers and backend servers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For other processes.
    pub peer: SocketAddr,
}

/// A running gateway process.
pub struct GatewayNode {
    context: ProcessContext,
    addresses: NodeAddresses,
    gateway: Gateway,
    events: Rc<EventLog>,
    metrics: Rc<MetricSet>,
    backends: Rc<BackendTable>,
    relay: BackendRelay,
    claims: Rc<ClaimService>,
    groups: Rc<GroupTable>,
    handlers: Rc<HandlerTable>,
    operator: Rc<OperatorPort>,
    pool: Rc<PeerPool>,
    caller_stop: StopHandle,
    operator_stop: StopHandle,
    peer_stop: PeerStopHandle,
}

impl GatewayNode {
    /// Starts a process inside the monoio runtime of this thread.
    pub fn start(
        settings: &NodeSettings,
        context: ProcessContext,
        wiring: NodeWiring,
    ) -> Result<Self, StartError> {
        let core = NodeCore::bind(settings, &context, wiring.link)?;
        let late = Rc::new(LateHandler::default());
        let config = ServerConfig::new()
            .connection_limit(settings.connection_limit)
            .per_address_limit(settings.per_address_limit);
        let callers =
            http_server("callers'", settings.caller_address, config, &context, late.clone())?;
        let backends = new_table(settings, &context);
        let relay = new_relay(settings, &core, &backends, callers.local_addr());
        let claims = new_claims(&core, settings.claims);
        let groups = Rc::new(GroupTable::new());
        let keeper = QuorumClaims::new(
            context.clone(),
            settings.claims,
            Rc::clone(&groups) as _,
            Rc::clone(&claims),
            Rc::clone(&core.pool) as _,
        );
        let documents = Rc::clone(&wiring.documents);
        let parts = GatewayDependencies {
            context: context.clone(),
            documents: wiring.documents,
            backends: Rc::clone(&backends),
            relay: relay.clone(),
            directory: Rc::new(RelayDirectory::new(
                settings.region.clone(),
                relay.clone(),
                context.clone(),
            )),
            claims: Rc::new(keeper),
            admission: AdmissionQueue::new(AdmissionSettings::default(), context.clone()),
            client: Rc::new(PooledClient::new(ClientConfig::new(), context.clone())),
            transport: Rc::clone(&core.pool) as _,
            events: Rc::clone(&core.events) as _,
            metrics: Rc::clone(&core.metrics),
        };
        let gateway = Gateway::new(
            GatewayConfig::new(
                settings.vm.clone(),
                settings.region.clone(),
                settings.domain.clone(),
            ),
            parts,
        );
        late.set(Rc::new(gateway.clone()));
        core.handlers.register("forward", Rc::new(gateway.clone()) as Rc<dyn PeerHandler>);
        let operator = new_operator(settings, &core, &gateway);
        register_reports(&operator, settings, &core, &gateway, (&backends, &relay, documents));
        let operators = http_server(
            "operators'",
            settings.operator_address,
            ServerConfig::new(),
            &context,
            Rc::clone(&operator) as _,
        )?;
        let node = Self {
            addresses: NodeAddresses {
                caller: callers.local_addr(),
                operator: operators.local_addr(),
                peer: core.server.local_addr(),
            },
            gateway,
            events: core.events,
            metrics: core.metrics,
            backends,
            relay,
            claims,
            groups,
            handlers: core.handlers,
            operator,
            pool: core.pool,
            caller_stop: callers.stop_handle(),
            operator_stop: operators.stop_handle(),
            peer_stop: core.server.stop_handle(),
            context,
        };
        node.spawn(callers.run());
        node.spawn(operators.run());
        node.spawn(core.server.run());
        node.relay.start();
        node.spawn(tell_load(node.gateway.clone(), node.relay.clone(), node.context.clone()));
        node.announce_start(settings);
        Ok(node)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.context.spawner.spawn(Box::pin(task));
    }

    fn announce_start(&self, settings: &NodeSettings) {
        self.events.emit(
            EventDraft::new("node.started")
                .field("region", &settings.region)
                .field("caller", self.addresses.caller)
                .field("peer", self.addresses.peer),
        );
    }

    /// Where it listens.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Its gateway.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Its time line.
    pub fn events(&self) -> &Rc<EventLog> {
        &self.events
    }

    /// Its metrics.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// The backend servers it knows.
    pub fn backends(&self) -> &Rc<BackendTable> {
        &self.backends
    }

    /// The claim replicas it holds.
    pub fn claims(&self) -> &Rc<ClaimService> {
        &self.claims
    }

    /// Takes note of the processes that decide a region's claims, or of a later epoch of them.
    pub fn adopt_claim_group(&self, group: ReplicaGroup) {
        self.adopter()(group);
    }

    /// [`adopt_claim_group`](Self::adopt_claim_group) for a task of its own.
    pub(crate) fn adopter(&self) -> impl Fn(ReplicaGroup) + 'static {
        let (groups, claims) = (Rc::clone(&self.groups), Rc::clone(&self.claims));
        move |group| {
            let group = Rc::new(group);
            if groups.put(Rc::clone(&group)) {
                claims.adopt(group);
            }
        }
    }

    /// Decides the claims of its own region alone, with nobody to ask: for a deployment of one
    /// gateway without control processes. Two gateways of one region must not both do this: each
    /// would run the same order.
    pub fn decide_claims_alone(&self, vm: &VmName, region: &RegionName) {
        tell_lone_group(&*self.events, region);
        self.adopt_claim_group(lone_group(region.clone(), vm.clone(), self.addresses.peer));
    }

    /// Its membership.
    pub fn relay(&self) -> &BackendRelay {
        &self.relay
    }

    /// Its peer handlers, for parts that add their own.
    pub fn handlers(&self) -> &Rc<HandlerTable> {
        &self.handlers
    }

    /// Its operators' port, for parts that add their own paths.
    pub fn operator(&self) -> &Rc<OperatorPort> {
        &self.operator
    }

    /// Its sessions to other processes.
    pub fn transport(&self) -> &Rc<PeerPool> {
        &self.pool
    }

    /// Leaves entry answers at once, lets the requests in progress finish and stops. False where
    /// some had not finished after `limit`, and were cut off.
    pub async fn shut_down(&self, limit: Duration) -> bool {
        self.gateway.drain();
        let quiet = async {
            self.relay.drain().await;
            self.caller_stop.stop();
            self.caller_stop.finished().await;
            self.peer_stop.stop();
            self.peer_stop.finished().await;
        };
        let finished = timeout(&*self.context.clock, limit, quiet).await.is_some();
        self.events.emit(EventDraft::new("node.stopped").field("finished", finished));
        self.abort();
        finished
    }

    /// Drops every connection at once, as a kill would.
    pub fn abort(&self) {
        self.caller_stop.abort();
        self.operator_stop.abort();
        self.peer_stop.abort();
        self.pool.abort();
    }
}

fn new_table(settings: &NodeSettings, context: &ProcessContext) -> Rc<BackendTable> {
    let (region, clock) = (settings.region.clone(), Rc::clone(&context.clock));
    Rc::new(BackendTable::new(region, BackendConfig::default(), clock))
}

fn new_relay(
    settings: &NodeSettings,
    core: &NodeCore,
    backends: &Rc<BackendTable>,
    caller_address: SocketAddr,
) -> BackendRelay {
    let own = LocalGateway {
        vm: settings.vm.clone(),
        incarnation: settings.incarnation,
        profile: GatewayProfile {
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            peer_address: core.server.local_addr(),
            caller_address,
            limit: u32::try_from(settings.connection_limit).unwrap_or(u32::MAX),
        },
    };
    let seams = RelayDependencies {
        transport: Rc::clone(&core.pool) as _,
        events: Rc::clone(&core.events) as _,
        context: core.context.clone(),
    };
    let config = RelayConfig { seeds: settings.seeds.clone(), ..RelayConfig::default() };
    let relay = BackendRelay::new(own, Rc::clone(backends), config, seams);
    core.handlers.register("backend", relay.handler());
    relay
}

fn new_claims(core: &NodeCore, settings: ClaimSettings) -> Rc<ClaimService> {
    let service = ClaimService::new(
        core.context.clone(),
        settings,
        core.identity.clone(),
        Rc::clone(&core.pool) as _,
    );
    let service = Rc::new(service.events(Rc::clone(&core.events) as _));
    core.handlers.register("claim", Rc::clone(&service) as Rc<dyn PeerHandler>);
    service
}

fn new_operator(settings: &NodeSettings, core: &NodeCore, gateway: &Gateway) -> Rc<OperatorPort> {
    Rc::new(OperatorPort::new(
        settings.operator_token.clone(),
        (settings.vm.clone(), settings.region.clone()),
        gateway.clone(),
        Rc::clone(&core.events),
        Rc::clone(&core.metrics),
    ))
}

/// What a report tells of beside the gateway.
type ReportedParts<'a> = (&'a Rc<BackendTable>, &'a BackendRelay, Rc<dyn ConfigSource>);

fn register_reports(
    operator: &OperatorPort,
    settings: &NodeSettings,
    core: &NodeCore,
    gateway: &Gateway,
    (backends, relay, documents): ReportedParts<'_>,
) {
    let source = ReportSource {
        place: (settings.vm.clone(), settings.region.clone(), settings.domain.clone()),
        gateway: gateway.clone(),
        metrics: Rc::clone(&core.metrics),
        backends: Rc::clone(backends),
        relay: relay.clone(),
        documents,
    };
    let routes = ReportRoutes { source, events: Rc::clone(&core.events) as _ };
    let routes: Rc<dyn OperatorRoute> = Rc::new(routes);
    for prefix in ReportRoutes::PREFIXES {
        operator.register(prefix, Rc::clone(&routes));
    }
}

/// Tells the relay what this gateway carries, until the gateway's process ends.
async fn tell_load(gateway: Gateway, relay: BackendRelay, context: ProcessContext) {
    loop {
        let open = u32::try_from(gateway.status().open_requests).unwrap_or(u32::MAX);
        relay.set_load(GatewayLoad { open });
        context.clock.sleep(LOAD_TICK).await;
    }
}
