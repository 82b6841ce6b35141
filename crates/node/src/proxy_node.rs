//! A gateway process that passes requests through unchanged.

use {
    crate::{
        StartError,
        core::{CoreSettings, NodeCore, http_server},
        error::NoticeStart,
    },
    gullglade_dispatch::{BackendInfo, FirstByteTimes, RegionInfo, Scheduler, SchedulerSettings},
    gullglade_event::{EventDraft, EventSink, MetricSet},
    gullglade_fleet::{
        BackendRow, FleetFollower, FollowerParts, GatewayPhase, GatewayProfile, RegionOffer,
        ServiceOffer, ServingState,
    },
    gullglade_http::{ClientConfig, PooledClient, RequestHandler, ServerConfig, StopHandle},
    gullglade_peer::{NoticeSocket, PeerPool, PeerStopHandle},
    gullglade_poison::{CrashTrackerSettings, SharedCrashTracker},
    gullglade_proxy::{BackendDialect, Dispatcher, ForwardServer, Proxy, ProxyParts},
    gullglade_quota::QuotaTolerance,
    gullglade_traffic::TrafficFormat,
    gullglade_units::{MonotonicTime, ProcessContext, RegionName, VmName, timeout},
    snafu::ResultExt,
    std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// How often beliefs that change with time alone are looked over: silences, offers.
const REFRESH: Duration = Duration::from_millis(500);

/// Sessions to other regions are looked after once in so many refreshes.
const WARM_ROUNDS: u32 = 4;

/// Of the time for a graceful stop, the part in which all new requests are still taken. Callers
/// learn of other gateways within a few seconds; until then they must find this one serving.
const SERVING_SHARE: f64 = 0.35;

/// Then, up to this part, only those that end by themselves before the cut: where all gateways of
/// a region are replaced one after the other, there may be no other for some seconds.
const SHORT_SHARE: f64 = 0.65;

/// Of the time for a graceful stop, the part after which what is not finished is cut off.
const FINISHING_SHARE: f64 = 0.96;

/// What the key of the requests' fingerprints is made for.
const PRINT_PURPOSE: &str = "request fingerprints";

/// What a gateway process is told.
#[derive(Clone)]
pub struct ProxyNodeSettings {
    /// What every process is told.
    pub core: CoreSettings,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Peer addresses of some control processes.
    pub seeds: Vec<SocketAddr>,
    /// Limits that all gateways share.
    pub scheduler: SchedulerSettings,
    /// When requests are held back that end backend servers.
    pub crashes: CrashTrackerSettings,
    /// The time after which a key that was taken away must be refused, also without contact to
    /// control processes; `None` where a gateway without contact may go on.
    pub revocation: Option<Duration>,
    /// How far beyond a quota all gateways together may come.
    pub tolerance: QuotaTolerance,
    /// The regions of the deployment; which of them have gateways is learned.
    pub regions: BTreeSet<RegionName>,
    /// Sends to backend servers.
    pub client: ClientConfig,
    /// The time for a graceful stop.
    pub grace: Duration,
}

/// A running gateway process.
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
}

impl ProxyNode {
    /// Starts a process inside the monoio runtime of this thread. Callers are taken once
    /// [`serve_callers`](Self::serve_callers) was called.
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
            fingerprint_key: settings.core.peer.derived_key(PRINT_PURPOSE).into(),
            events: Rc::clone(&events),
            metrics: Rc::clone(&core.metrics),
        });
        ForwardServer::register(&proxy, &core.handlers);
        let taker = proxy.clone();
        let taking = notices.run(Rc::new(move |body| taker.handle_notice(body)));
        let node = Rc::new(Self {
            proxy,
            fleet,
            dispatcher,
            events,
            metrics: core.metrics,
            pool: core.pool,
            peer_stop: core.server.stop_handle(),
            caller_stops: RefCell::default(),
            settings,
            context,
        });
        node.spawn(core.server.run());
        node.spawn(taking);
        node.follow();
        node.tell_start();
        Ok(node)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.context.spawner.spawn(Box::pin(task));
    }

    fn tell_start(&self) {
        let event =
            EventDraft::new("node.started").field("region", &self.settings.core.identity.region);
        let event = event.field("caller", self.settings.caller_address);
        self.events.emit(event.field("peer", self.settings.core.peer_address));
    }

    /// Keeps the scheduler's facts and this gateway's phase in line with the fleet.
    fn follow(self: &Rc<Self>) {
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
            let mut rounds = 0_u32;
            loop {
                node.context.clock.sleep(REFRESH).await;
                node.refresh();
                if rounds.is_multiple_of(WARM_ROUNDS) {
                    node.proxy.keep_sessions_alive();
                }
                rounds = rounds.wrapping_add(1);
            }
        });
    }

    fn refresh(&self) {
        let now = self.context.clock.now();
        let facts = self.fleet.read(|view| Facts::read(view, &self.settings, now));
        self.dispatcher.update_scheduler(|scheduler, now| {
            if let Some(traffic) = self.fleet.traffic() {
                let services = traffic.config.services().cloned();
                scheduler.set_configuration(services, &traffic.evacuated, now);
            }
            scheduler.set_backends(facts.backends, now);
            scheduler.set_gateways(facts.gateways, now);
            self.take_regions(scheduler, now);
        });
        self.tell_offers();
        if let Some(age) = self.fleet.confirmed_ago() {
            self.metrics.configuration_confirmed(age);
        }
        if facts.is_confirmed && self.fleet.phase() == GatewayPhase::Starting {
            self.fleet.set_phase(GatewayPhase::Ready);
        }
    }

    /// Takes what other regions offer, and tells what the own one does.
    fn refresh_regions(&self) {
        self.dispatcher.update_scheduler(|scheduler, now| self.take_regions(scheduler, now));
        self.tell_offers();
    }

    fn take_regions(&self, scheduler: &mut Scheduler, now: MonotonicTime) {
        let (regions, total) = self
            .fleet
            .read(|view| (view.regions().iter().map(region_facts).collect(), view.gateway_total()));
        scheduler.set_regions(regions);
        scheduler.set_gateway_total(total, now);
    }

    fn tell_offers(&self) {
        let offers = self.dispatcher.with_scheduler(|scheduler, now| scheduler.offers(now));
        self.fleet.set_offers(offers.into_iter().map(told_offer).collect());
    }

    /// Its proxy.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// The fleet as it follows it.
    pub fn fleet(&self) -> &Rc<FleetFollower> {
        &self.fleet
    }

    /// Its time line.
    pub fn events(&self) -> &Rc<dyn EventSink> {
        &self.events
    }

    /// Its metrics.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        self.fleet.phase() == GatewayPhase::Ready
    }

    /// Serves callers at `address` with `handler`, until the graceful stop.
    pub fn serve_callers(
        &self,
        address: SocketAddr,
        config: ServerConfig,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let server = http_server("callers'", address, config, &self.context, handler)?;
        self.caller_stops.borrow_mut().push(server.stop_handle());
        self.spawn(server.run());
        Ok(())
    }

    /// Serves whoever asks after the process itself at `address`, to its very end.
    pub fn serve_watchers(
        &self,
        address: SocketAddr,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let config = ServerConfig::new();
        let server = http_server("operators'", address, config, &self.context, handler)?;
        self.spawn(server.run());
        Ok(())
    }

    /// Whether no gateway of the region takes callers.
    fn is_last_of_region(&self) -> bool {
        let now = self.context.clock.now();
        let region = &self.settings.core.identity.region;
        self.fleet.read(|view| view.ready_gateways(region, now)).is_empty()
    }

    /// Leaves the directory at once, serves those who still come, lets what is in progress finish,
    /// and stops. False where some had not finished in time and was cut off.
    pub async fn shut_down(&self) -> bool {
        let (waiting, running) = self.dispatcher.with_scheduler(|scheduler, _| scheduler.counts());
        let event = EventDraft::new("node.stopping").field("running", running);
        self.events.emit(event.field("waiting", waiting));
        let stops = self.caller_stops.borrow().clone();
        let began = self.context.clock.now();
        self.fleet.set_phase(GatewayPhase::Stopping);
        stops.iter().for_each(StopHandle::retire);
        self.context.clock.sleep(self.settings.grace.mul_f64(SERVING_SHARE)).await;
        self.proxy.set_cutoff(began + self.settings.grace.mul_f64(FINISHING_SHARE));
        if self.is_last_of_region() {
            let more = SHORT_SHARE - SERVING_SHARE;
            self.context.clock.sleep(self.settings.grace.mul_f64(more)).await;
        }
        stops.iter().for_each(StopHandle::stop);
        let passed = self.context.clock.now().since(began);
        let left = self.settings.grace.mul_f64(FINISHING_SHARE).saturating_sub(passed);
        let quiet = async {
            for stop in &stops {
                stop.finished().await;
            }
            self.proxy.wait_for_forwards().await;
        };
        let finished = timeout(&*self.context.clock, left, quiet).await.is_some();
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
    }
}

fn told_offer(facts: RegionInfo) -> ServiceOffer {
    let first_byte_ms = facts.first_byte.to_millis();
    ServiceOffer { service: facts.service, backends: facts.backends, first_byte_ms }
}

fn region_facts(told: &RegionOffer) -> RegionInfo {
    let RegionOffer { region, offer } = told;
    RegionInfo {
        region: region.clone(),
        service: offer.service.clone(),
        backends: offer.backends,
        first_byte: FirstByteTimes::from_millis(&offer.first_byte_ms),
    }
}

/// What a scheduler needs to know of the fleet.
struct Facts {
    backends: Vec<BackendInfo>,
    gateways: Vec<VmName>,
    is_confirmed: bool,
}

impl Facts {
    fn read(
        view: &gullglade_fleet::FleetView,
        settings: &ProxyNodeSettings,
        now: MonotonicTime,
    ) -> Self {
        let region = &settings.core.identity.region;
        let is_own = |row: &BackendRow| row.record.region == *region;
        Self {
            backends: view.backends(now).filter(is_own).map(backend_facts).collect(),
            gateways: view.ready_gateways(region, now).into_iter().map(|g| g.profile.vm).collect(),
            is_confirmed: view.confirmed().is_some() && view.traffic().is_some(),
        }
    }
}

fn backend_facts(row: BackendRow) -> BackendInfo {
    let BackendRow { record, cold_until, is_silent, received: _ } = row;
    BackendInfo {
        is_serving: record.state == ServingState::Serving,
        name: record.name,
        incarnation: record.incarnation,
        service: record.service,
        address: record.address,
        domain: record.domain,
        slots: record.slots,
        is_silent,
        cold_until,
    }
}
