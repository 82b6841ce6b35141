//! Gateway process with operator API and claim replicas.

use {
    crate::{
        NodeDependencies, NodeSettings, OperatorPort, OperatorRoute, StartError,
        claim_groups::{emit_single_member_warning, single_member_group},
        core::{NodeCore, http_server},
        deferred_handler::DeferredHandler,
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
    gullglade_http::{BodyBudget, ClientConfig, PooledClient, ServerConfig, StopHandle, WorkLane},
    gullglade_peer::{HandlerTable, PeerHandler, PeerPool, PeerStopHandle},
    gullglade_units::{ProcessContext, RegionName, VmName, timeout},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Memory for the bodies of all requests that are received or in progress, at both ports.
const BODY_MEMORY: usize = 64 << 20;

/// Connections to the operators' port.
const OPERATOR_CONNECTIONS: usize = 400;

/// Interval at which the relay is given the current load, which entry replies use as a weight.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Bound addresses of a process, with the assigned port numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Address for callers and backend servers.
    pub caller: SocketAddr,
    /// Address of the operator API.
    pub operator: SocketAddr,
    /// Address for peer sessions.
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
    /// Binds the ports and starts a process on the monoio runtime of the calling thread.
    pub fn start(
        settings: &NodeSettings,
        context: ProcessContext,
        dependencies: NodeDependencies,
    ) -> Result<Self, StartError> {
        let core = NodeCore::bind(settings, &context, dependencies.link)?;
        let deferred = Rc::new(DeferredHandler::default());
        let lane = WorkLane::default();
        let config =
            ServerConfig::new().body_budget(&BodyBudget::new(BODY_MEMORY)).work_lane(&lane);
        let operator_config = config.clone().connection_limit(OPERATOR_CONNECTIONS);
        let config = config
            .connection_limit(settings.connection_limit)
            .per_address_limit(settings.per_address_limit);
        let caller_server =
            http_server("callers'", settings.caller_address, config, &context, deferred.clone())?;
        let backends = new_backend_table(settings, &context);
        let relay = new_relay(settings, &core, &backends, caller_server.local_addr());
        let claims = new_claims(&core, settings.claims);
        let groups = Rc::new(GroupTable::new());
        let quorum_claims = QuorumClaims::new(
            context.clone(),
            settings.claims,
            Rc::clone(&groups) as _,
            Rc::clone(&claims),
            Rc::clone(&core.pool) as _,
        );
        let documents = Rc::clone(&dependencies.documents);
        let parts = GatewayDependencies {
            context: context.clone(),
            documents: dependencies.documents,
            backends: Rc::clone(&backends),
            relay: relay.clone(),
            directory: Rc::new(RelayDirectory::new(
                settings.region.clone(),
                relay.clone(),
                context.clone(),
            )),
            claims: Rc::new(quorum_claims),
            admission: AdmissionQueue::new(AdmissionSettings::default(), context.clone()),
            client: Rc::new(PooledClient::new(
                ClientConfig::new().work_lane(&lane),
                context.clone(),
            )),
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
        deferred.set(Rc::new(gateway.clone()));
        core.handlers.register("forward", Rc::new(gateway.clone()) as Rc<dyn PeerHandler>);
        let operator = new_operator(settings, &core, &gateway);
        register_reports(&operator, settings, &core, &gateway, (&backends, &relay, documents));
        let operator_server = http_server(
            "operators'",
            settings.operator_address,
            operator_config,
            &context,
            Rc::clone(&operator) as _,
        )?;
        let node = Self {
            addresses: NodeAddresses {
                caller: caller_server.local_addr(),
                operator: operator_server.local_addr(),
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
            caller_stop: caller_server.stop_handle(),
            operator_stop: operator_server.stop_handle(),
            peer_stop: core.server.stop_handle(),
            context,
        };
        node.spawn(caller_server.run());
        node.spawn(operator_server.run());
        node.spawn(core.server.run());
        node.relay.start();
        node.spawn(publish_load(node.gateway.clone(), node.relay.clone(), node.context.clone()));
        node.emit_start_event(settings);
        Ok(node)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.context.spawner.spawn(Box::pin(task));
    }

    fn emit_start_event(&self, settings: &NodeSettings) {
        self.events.emit(
            EventDraft::new("node.started")
                .field("region", &settings.region)
                .field("caller", self.addresses.caller)
                .field("peer", self.addresses.peer),
        );
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns the gateway.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Returns the event log.
    pub fn events(&self) -> &Rc<EventLog> {
        &self.events
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// Returns the table of known backend servers.
    pub fn backends(&self) -> &Rc<BackendTable> {
        &self.backends
    }

    /// Returns the service that hosts the claim replicas of this process.
    pub fn claims(&self) -> &Rc<ClaimService> {
        &self.claims
    }

    /// Adopts the replica group that decides a region's claims, or a later epoch of it.
    pub fn adopt_claim_group(&self, group: ReplicaGroup) {
        self.claim_group_adopter()(group);
    }

    /// Returns [`adopt_claim_group`](Self::adopt_claim_group) as a closure that a spawned task can
    /// own.
    pub(crate) fn claim_group_adopter(&self) -> impl Fn(ReplicaGroup) + 'static {
        let (groups, claims) = (Rc::clone(&self.groups), Rc::clone(&self.claims));
        move |group| {
            let group = Rc::new(group);
            if groups.put(Rc::clone(&group)) {
                claims.adopt(group);
            }
        }
    }

    /// Makes this gateway the only member of its region's claim group, for a deployment of one
    /// gateway without control processes. Two gateways of a region must not both do this, because
    /// each would run the same order.
    pub fn adopt_single_member_group(&self, vm: &VmName, region: &RegionName) {
        emit_single_member_warning(&*self.events, region);
        self.adopt_claim_group(single_member_group(
            region.clone(),
            vm.clone(),
            self.addresses.peer,
        ));
    }

    /// Returns the relay, which tracks membership and backend servers.
    pub fn relay(&self) -> &BackendRelay {
        &self.relay
    }

    /// Returns the table of peer handlers, to which other components add their own.
    pub fn handlers(&self) -> &Rc<HandlerTable> {
        &self.handlers
    }

    /// Returns the operator API, to which other components add their own paths.
    pub fn operator(&self) -> &Rc<OperatorPort> {
        &self.operator
    }

    /// Returns the pool of sessions to other processes.
    pub fn transport(&self) -> &Rc<PeerPool> {
        &self.pool
    }

    /// Shuts the process down gracefully: removes the gateway from entry replies immediately, waits
    /// up to `limit` for requests in progress, then closes all connections. Returns false if
    /// requests were still in progress and were aborted.
    pub async fn shut_down(&self, limit: Duration) -> bool {
        self.gateway.drain();
        let drained = async {
            self.relay.drain().await;
            self.caller_stop.stop();
            self.caller_stop.finished().await;
            self.peer_stop.stop();
            self.peer_stop.finished().await;
        };
        let finished = timeout(&*self.context.clock, limit, drained).await.is_some();
        self.events.emit(EventDraft::new("node.stopped").field("finished", finished));
        self.abort();
        finished
    }

    /// Drops every connection immediately, as if the process were killed.
    pub fn abort(&self) {
        self.caller_stop.abort();
        self.operator_stop.abort();
        self.peer_stop.abort();
        self.pool.abort();
    }
}

fn new_backend_table(settings: &NodeSettings, context: &ProcessContext) -> Rc<BackendTable> {
    let (region, clock) = (settings.region.clone(), Rc::clone(&context.clock));
    Rc::new(BackendTable::new(region, BackendConfig::default(), clock))
}

fn new_relay(
    settings: &NodeSettings,
    core: &NodeCore,
    backends: &Rc<BackendTable>,
    caller_address: SocketAddr,
) -> BackendRelay {
    let local_gateway = LocalGateway {
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
    let dependencies = RelayDependencies {
        transport: Rc::clone(&core.pool) as _,
        events: Rc::clone(&core.events) as _,
        context: core.context.clone(),
    };
    let config = RelayConfig { seeds: settings.seeds.clone(), ..RelayConfig::default() };
    let relay = BackendRelay::new(local_gateway, Rc::clone(backends), config, dependencies);
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

/// Components that a status report covers in addition to the gateway.
type ReportComponents<'a> = (&'a Rc<BackendTable>, &'a BackendRelay, Rc<dyn ConfigSource>);

fn register_reports(
    operator: &OperatorPort,
    settings: &NodeSettings,
    core: &NodeCore,
    gateway: &Gateway,
    (backends, relay, documents): ReportComponents<'_>,
) {
    let source = ReportSource {
        location: (settings.vm.clone(), settings.region.clone(), settings.domain.clone()),
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

/// Periodically gives the relay the number of open requests of this gateway. Never returns.
async fn publish_load(gateway: Gateway, relay: BackendRelay, context: ProcessContext) {
    loop {
        let open = u32::try_from(gateway.status().open_requests).unwrap_or(u32::MAX);
        relay.set_load(GatewayLoad { open });
        context.clock.sleep(LOAD_PUBLISH_INTERVAL).await;
    }
}
