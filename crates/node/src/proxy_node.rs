//! Gateway process that forwards requests to backend servers unchanged.

use {
    crate::{
        StartError,
        core::{CoreSettings, NodeCore, http_server},
        error::NoticeStart,
        listener_resources::request_limits,
        scheduler_inputs::SchedulerInputs,
    },
    gullglade_dispatch::{FirstByteTimes, RegionInfo, Scheduler, SchedulerSettings},
    gullglade_event::{EventDraft, EventSink, MetricSet},
    gullglade_fleet::{
        FleetFollower, FollowerParts, GatewayPhase, GatewayProfile, RegionOffer, ServiceOffer,
        VmCapacity,
    },
    gullglade_http::{
        BodyBudget, ClientConfig, PooledClient, RequestHandler, ServerConfig, SharedLimits,
        StopHandle,
    },
    gullglade_peer::{NoticeSocket, PeerPool, PeerStopHandle},
    gullglade_poison::{CrashTrackerSettings, SharedCrashTracker},
    gullglade_proxy::{BackendDialect, Dispatcher, ForwardServer, Proxy, ProxyParts},
    gullglade_quota::QuotaTolerance,
    gullglade_traffic::TrafficFormat,
    gullglade_units::{MonotonicTime, ProcessContext, RegionName, timeout},
    snafu::ResultExt,
    std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// Interval at which state that changes with time alone is re-evaluated, such as silent backend
/// servers and regional offers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Number of refreshes between two keep-alive passes over the sessions to other regions.
const REFRESHES_PER_KEEP_ALIVE: u32 = 4;

/// Fraction of the shutdown grace period during which all new requests are accepted. Callers take a
/// few seconds to discover other gateways, and this one must serve them until then.
const SERVING_FRACTION: f64 = 0.35;

/// Fraction of the grace period up to which the last ready gateway of a region still accepts
/// requests that are expected to finish before the cutoff. During a rolling replacement of all
/// gateways of a region there may be no other gateway for some seconds.
const SHORT_REQUESTS_FRACTION: f64 = 0.65;

/// Fraction of the grace period after which unfinished requests are aborted.
const CUTOFF_FRACTION: f64 = 0.96;

/// Purpose string from which the key for request fingerprints is derived.
const FINGERPRINT_KEY_PURPOSE: &str = "request fingerprints";

/// Settings of a [`ProxyNode`].
#[derive(Clone)]
pub struct ProxyNodeSettings {
    /// Settings common to all processes.
    pub core: CoreSettings,
    /// Capacity of the VM that the gateway announces to the fleet.
    pub capacity: VmCapacity,
    /// Address for callers that the gateway announces to the fleet.
    pub caller_address: SocketAddr,
    /// Peer addresses of control processes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Scheduler settings. The limits in them are the same on all gateways.
    pub scheduler: SchedulerSettings,
    /// Thresholds for holding back requests that crash backend servers.
    pub crashes: CrashTrackerSettings,
    /// Time within which a revoked key must be refused, even without contact to control processes.
    /// `None` if a gateway without contact may keep accepting keys.
    pub revocation: Option<Duration>,
    /// Amount by which all gateways together may exceed a quota.
    pub tolerance: QuotaTolerance,
    /// Regions of the deployment. The fleet state shows which of them have gateways.
    pub regions: BTreeSet<RegionName>,
    /// Configuration of the HTTP client for backend servers.
    pub client: ClientConfig,
    /// Memory for the bodies of requests and buffered responses.
    pub body_budget: BodyBudget,
    /// Grace period for shutdown.
    pub grace: Duration,
}

/// A running gateway process that forwards requests unchanged.
pub struct ProxyNode {
    context: ProcessContext,
    settings: ProxyNodeSettings,
    proxy: Proxy,
    fleet: Rc<FleetFollower>,
    dispatcher: Rc<Dispatcher>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
    pool: Rc<PeerPool>,
    peer_stop: PeerStopHandle,
    caller_stops: RefCell<Vec<StopHandle>>,
    /// Limits of the configuration in force on callers' requests.
    caller_limits: SharedLimits,
}

impl ProxyNode {
    /// Starts a process on the monoio runtime of the calling thread. It accepts callers only after
    /// [`serve_callers`](Self::serve_callers) is called.
    pub fn start(
        settings: ProxyNodeSettings,
        context: ProcessContext,
        format: Rc<dyn TrafficFormat>,
        dialect: Rc<dyn BackendDialect>,
    ) -> Result<Rc<Self>, StartError> {
        let core = NodeCore::open(settings.core.clone(), &context, None)?;
        let events = core.throttled_events();
        let notices =
            NoticeSocket::bind(settings.core.peer_address, &settings.core.peer, context.clone())
                .context(NoticeStart)?;
        let crashes = SharedCrashTracker::new(
            settings.crashes,
            Rc::clone(&context.clock),
            Rc::clone(&events),
            Rc::clone(&core.metrics),
        );
        let fleet = FleetFollower::new(
            profile(&settings, &context),
            settings.seeds.iter().copied(),
            FollowerParts {
                transport: Rc::clone(&core.pool) as _,
                context: context.clone(),
                events: Rc::clone(&events),
                format,
                crashes: Rc::clone(&crashes),
            },
        );
        let scheduler = Scheduler::new(settings.scheduler.clone());
        let dispatcher = Dispatcher::new(scheduler, context.clone());
        let client = PooledClient::new(settings.client.clone(), context.clone());
        let proxy = Proxy::new(ProxyParts {
            context: context.clone(),
            fleet: Rc::clone(&fleet),
            dispatcher: Rc::clone(&dispatcher),
            client: Rc::new(client),
            transport: Rc::clone(&core.pool) as _,
            notices: Rc::clone(&notices) as _,
            dialect,
            crashes,
            revocation: settings.revocation,
            tolerance: settings.tolerance,
            regions: settings.regions.clone(),
            fingerprint_key: settings.core.peer.derived_key(FINGERPRINT_KEY_PURPOSE).into(),
            body_budget: settings.body_budget.clone(),
            events: Rc::clone(&events),
            metrics: Rc::clone(&core.metrics),
        });
        ForwardServer::register(&proxy, &core.handlers);
        let notice_handler = proxy.clone();
        let notice_loop = notices.run(Rc::new(move |body| notice_handler.handle_notice(body)));
        let node = Rc::new(Self {
            proxy,
            fleet,
            dispatcher,
            events,
            metrics: core.metrics,
            pool: core.pool,
            peer_stop: core.server.stop_handle(),
            caller_stops: RefCell::default(),
            caller_limits: SharedLimits::default(),
            settings,
            context,
        });
        node.spawn(core.server.run());
        node.spawn(notice_loop);
        node.follow_fleet();
        node.emit_start_event();
        Ok(node)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.context.spawner.spawn(Box::pin(task));
    }

    fn emit_start_event(&self) {
        let event =
            EventDraft::new("node.started").field("region", &self.settings.core.identity.region);
        let event = event.field("caller", self.settings.caller_address);
        self.events.emit(event.field("peer", self.settings.core.peer_address));
    }

    /// Subscribes to fleet changes and keeps the scheduler inputs and the phase of this gateway
    /// current.
    fn follow_fleet(self: &Rc<Self>) {
        let node = Rc::downgrade(self);
        self.fleet.watch(Rc::new(move |is_structural| {
            let Some(node) = node.upgrade() else { return };
            match is_structural {
                true => node.refresh(),
                false => node.refresh_regions(),
            }
        }));
        self.fleet.start();
        let node = Rc::clone(self);
        self.spawn(async move {
            let mut refreshes = 0_u32;
            loop {
                node.context.clock.sleep(REFRESH_INTERVAL).await;
                node.refresh();
                if refreshes.is_multiple_of(REFRESHES_PER_KEEP_ALIVE) {
                    node.proxy.keep_sessions_alive();
                }
                refreshes = refreshes.wrapping_add(1);
            }
        });
    }

    fn refresh(&self) {
        let now = self.context.clock.now();
        let inputs = self
            .fleet
            .read(|view| SchedulerInputs::read(view, &self.settings.core.identity.region, now));
        self.dispatcher.update_scheduler(|scheduler, now| {
            if let Some(traffic) = self.fleet.traffic() {
                self.caller_limits.set(request_limits(traffic.config.limits()));
                let services = traffic.config.services().cloned();
                scheduler.set_configuration(services, &traffic.evacuated, now);
            }
            scheduler.set_backends(inputs.backends, now);
            scheduler.set_gateways(inputs.gateways, now);
            self.update_regions(scheduler, now);
        });
        self.publish_offers();
        if let Some(age) = self.fleet.confirmed_ago() {
            self.metrics.configuration_confirmed(age);
        }
        if inputs.is_confirmed && self.fleet.phase() == GatewayPhase::Starting {
            self.fleet.set_phase(GatewayPhase::Ready);
        }
    }

    /// Updates the scheduler with the offers of other regions and publishes those of the local one.
    fn refresh_regions(&self) {
        self.dispatcher.update_scheduler(|scheduler, now| self.update_regions(scheduler, now));
        self.publish_offers();
    }

    fn update_regions(&self, scheduler: &mut Scheduler, now: MonotonicTime) {
        let (regions, total) = self
            .fleet
            .read(|view| (view.regions().iter().map(region_info).collect(), view.gateway_total()));
        scheduler.set_regions(regions);
        scheduler.set_gateway_total(total, now);
    }

    fn publish_offers(&self) {
        let offers = self.dispatcher.with_scheduler(|scheduler, now| scheduler.offers(now));
        self.fleet.set_offers(offers.into_iter().map(service_offer).collect());
    }

    /// Returns the proxy.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Returns the fleet follower.
    pub fn fleet(&self) -> &Rc<FleetFollower> {
        &self.fleet
    }

    /// Returns the event log, rate-limited per event kind.
    pub fn events(&self) -> &Rc<dyn EventSink> {
        &self.events
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// Returns true if the gateway is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.fleet.phase() == GatewayPhase::Ready
    }

    /// Serves callers at `address` with `handler` until shutdown, within the limits of the
    /// configuration in force.
    pub fn serve_callers(
        &self,
        address: SocketAddr,
        config: ServerConfig,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let config = config.shared_limits(&self.caller_limits);
        let server = http_server("callers'", address, config, &self.context, handler)?;
        self.caller_stops.borrow_mut().push(server.stop_handle());
        self.spawn(server.run());
        Ok(())
    }

    /// Serves operator requests, such as readiness and metrics, at `address` until the process
    /// ends, including during shutdown.
    pub fn serve_operators(
        &self,
        address: SocketAddr,
        config: ServerConfig,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let server = http_server("operators'", address, config, &self.context, handler)?;
        self.spawn(server.run());
        Ok(())
    }

    /// Returns true if no gateway of the region is ready for callers. Used during shutdown, when
    /// this gateway itself is no longer ready.
    fn is_last_of_region(&self) -> bool {
        let now = self.context.clock.now();
        let region = &self.settings.core.identity.region;
        self.fleet.read(|view| view.ready_gateways(region, now)).is_empty()
    }

    /// Shuts the process down gracefully: leaves the directory immediately, still accepts requests
    /// for part of the grace period, waits for requests in progress and stops. Returns false if
    /// requests had not finished in time and were aborted.
    pub async fn shut_down(&self) -> bool {
        let (waiting, running) = self.dispatcher.with_scheduler(|scheduler, _| scheduler.counts());
        let event = EventDraft::new("node.stopping").field("running", running);
        self.events.emit(event.field("waiting", waiting));
        let stops = self.caller_stops.borrow().clone();
        let shutdown_start = self.context.clock.now();
        let cutoff = shutdown_start + self.settings.grace.mul_f64(CUTOFF_FRACTION);
        self.proxy.set_forward_cutoff(cutoff);
        self.fleet.set_phase(GatewayPhase::Stopping);
        stops.iter().for_each(StopHandle::retire);
        self.context.clock.sleep(self.settings.grace.mul_f64(SERVING_FRACTION)).await;
        self.proxy.set_cutoff(cutoff);
        if self.is_last_of_region() {
            let extension = SHORT_REQUESTS_FRACTION - SERVING_FRACTION;
            self.context.clock.sleep(self.settings.grace.mul_f64(extension)).await;
        }
        stops.iter().for_each(StopHandle::stop);
        let remaining = cutoff.since(self.context.clock.now());
        let drained = async {
            for stop in &stops {
                stop.finished().await;
            }
            self.proxy.wait_for_forwards().await;
        };
        let finished = timeout(&*self.context.clock, remaining, drained).await.is_some();
        self.events.emit(EventDraft::new("node.stopped").field("finished", finished));
        self.peer_stop.abort();
        self.pool.abort();
        finished
    }
}

fn profile(settings: &ProxyNodeSettings, context: &ProcessContext) -> GatewayProfile {
    let identity = &settings.core.identity;
    GatewayProfile {
        vm: identity.vm.clone(),
        run: context.random.next_u64(),
        region: identity.region.clone(),
        domain: identity.domain.clone(),
        caller_address: settings.caller_address,
        peer_address: settings.core.peer_address,
        capacity: settings.capacity,
    }
}

fn service_offer(info: RegionInfo) -> ServiceOffer {
    let first_byte_ms = info.first_byte.to_millis();
    ServiceOffer { service: info.service, backends: info.backends, first_byte_ms }
}

fn region_info(region_offer: &RegionOffer) -> RegionInfo {
    let RegionOffer { region, offer } = region_offer;
    RegionInfo {
        region: region.clone(),
        service: offer.service.clone(),
        backends: offer.backends,
        first_byte: FirstByteTimes::from_millis(&offer.first_byte_ms),
    }
}
