//! Two regions with a gateway each, one control process, and backend servers that answer by
//! script.

#![allow(dead_code)] // Each test program uses a part of it.

mod configuration;
mod own_parts;
mod servers;

#[allow(unused_imports)] // Each test program uses a part of them.
pub(crate) use {
    own_parts::OwnParts,
    servers::{Deed, Script, ScriptedBackends},
};

use {
    bytes::Bytes,
    configuration::{FixedFormat, FixedSource},
    futures::{StreamExt, future::join_all},
    gullglade_dispatch::{BackendInfo, FirstByteTimes, RegionInfo, Scheduler, SchedulerSettings},
    gullglade_event::{EventSink, MemorySink, MetricSet},
    gullglade_fleet::{
        FleetFollower, FleetServer, FleetSettings, FollowerParts, GatewayPhase, GatewayProfile,
    },
    gullglade_http::ReplyBody,
    gullglade_peer::{
        HandlerTable, NoticeSender, PeerIdentity,
        fake::{FakeLink, FakeNetwork, FakeNode, FakeTransport},
    },
    gullglade_poison::{CrashTrackerSettings, FingerprintKey, SharedCrashTracker},
    gullglade_proxy::{
        CallerRequest, CallerRequestId, Dispatcher, ForwardServer, Proxy, ProxyParts,
    },
    gullglade_quota::QuotaTolerance,
    gullglade_traffic::{ColdRules, RawWorkspace, RequestKind},
    gullglade_units::{
        BackendName, Clock, FailureDomain, HybridClock, Incarnation, MonotonicTime, ProcessContext,
        RegionName, ServiceName, VmName,
        fake::{FakeProcess, FakeWorld},
    },
    http::{HeaderMap, HeaderValue, Method},
    servers::PlainDialect,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// After this a bed has its configuration and its part of common allowances, and the test begins.
const SETTLED: Duration = Duration::from_secs(11);

/// How often notices are delivered.
const DELIVERY: Duration = Duration::from_millis(10);

/// One way between the two regions.
const LINK: Duration = Duration::from_millis(55);

/// The address of a gateway, by the order in which it was added.
fn gateway_address(index: usize) -> SocketAddr {
    address(2 + index as u8)
}

pub(crate) fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8_080))
}

fn region(name: &str) -> RegionName {
    RegionName::try_from(name).expect("a name")
}

/// How a test bed is set up.
pub(crate) struct BedSettings {
    pub(crate) kind: RequestKind,
    pub(crate) timeout: Duration,
    pub(crate) objective: Duration,
    /// How long callers wait for an event of a stream.
    pub(crate) event_patience: Option<Duration>,
    /// The timeout of every version of the configuration after the first.
    pub(crate) later_timeout: Option<Duration>,
    pub(crate) homes: &'static [&'static str],
    /// Backend servers in the first and in the second region.
    pub(crate) backends: (u8, u8),
    /// What the names of the second region's backend servers begin with.
    pub(crate) east_names: &'static str,
    /// The backend servers that the second region is said to have, where it has others.
    pub(crate) offered: Option<u8>,
    /// What all gateways together may repeat beyond a part of their requests.
    pub(crate) repeat_slack: f64,
    /// Whether the first region has a second gateway.
    pub(crate) has_neighbour: bool,
    /// How long after the test's begin the control process is there.
    pub(crate) control_after: Duration,
    /// Whether requests need no key.
    pub(crate) is_public: bool,
    /// The workspaces of each version of the configuration.
    pub(crate) workspaces: fn(u64) -> Vec<RawWorkspace>,
    pub(crate) revocation: Option<Duration>,
    /// What a test puts in place of parts of the bed.
    pub(crate) own: OwnParts,
}

impl BedSettings {
    pub(crate) fn of(kind: RequestKind) -> Self {
        Self {
            kind,
            timeout: Duration::from_secs(5),
            objective: Duration::from_millis(300),
            event_patience: None,
            later_timeout: None,
            homes: &[],
            backends: (2, 0),
            east_names: "i-",
            offered: None,
            repeat_slack: 50.0,
            has_neighbour: false,
            control_after: Duration::ZERO,
            is_public: false,
            workspaces: |_| Vec::new(),
            revocation: None,
            own: OwnParts::default(),
        }
    }
}

/// A notice: who was told, and what.
pub(crate) type SentNotice = (Vec<SocketAddr>, Vec<u8>);

/// Keeps the notices that a gateway sends.
#[derive(Default)]
pub(crate) struct RecordedNotices(RefCell<Vec<SentNotice>>);

impl NoticeSender for RecordedNotices {
    fn notify(&self, to: &[SocketAddr], body: &[u8]) {
        self.0.borrow_mut().push((to.to_vec(), body.to_vec()));
    }
}

struct BedGateway {
    proxy: Proxy,
    backends: Rc<ScriptedBackends>,
    notices: Rc<RecordedNotices>,
    /// How many of the notices were delivered.
    delivered: Cell<usize>,
    process: FakeProcess,
}

/// The two regions.
pub(crate) struct TestBed {
    pub(crate) world: FakeWorld,
    pub(crate) events: Rc<MemorySink>,
    pub(crate) link: Rc<FakeLink>,
    network: Rc<FakeNetwork>,
    gateways: Vec<BedGateway>,
    control: FakeProcess,
    source: Rc<FixedSource>,
    control_crashes: Rc<SharedCrashTracker>,
}

fn start_control(
    network: &FakeNetwork,
    process: &FakeProcess,
    source: &Rc<FixedSource>,
    events: &Rc<MemorySink>,
    after: Duration,
) -> Rc<SharedCrashTracker> {
    let (_, handlers) = join(network, process, 1, "west");
    let context = process.context();
    let events = Rc::clone(events) as Rc<dyn EventSink>;
    let crashes = new_ledger(context, &events);
    let server = FleetServer::new(
        FleetSettings::new(Duration::from_secs(1)),
        Rc::clone(source) as _,
        Rc::clone(&crashes),
        context.clone(),
        events,
    );
    let clock = Rc::clone(&context.clock);
    context.spawner.spawn(Box::pin(async move {
        if !after.is_zero() {
            clock.sleep(after).await;
        }
        server.start(&handlers);
    }));
    crashes
}

fn join(
    network: &FakeNetwork,
    process: &FakeProcess,
    host: u8,
    place: &str,
) -> (FakeTransport, Rc<HandlerTable>) {
    let handlers = Rc::new(HandlerTable::new());
    let transport = network.join(FakeNode {
        address: address(host),
        identity: PeerIdentity {
            vm: VmName::try_from(format!("vm-{host}")).expect("a name"),
            region: region(place),
            domain: FailureDomain::try_from("d").expect("a name"),
            incarnation: Incarnation(1),
        },
        context: process.context().clone(),
        clock: Rc::new(HybridClock::default()),
        handlers: Rc::clone(&handlers),
    });
    (transport, handlers)
}

impl TestBed {
    pub(crate) fn new(settings: &BedSettings) -> Self {
        let (world, _) = FakeWorld::new(settings.own.seed);
        let link = Rc::new(FakeLink::new(LINK));
        let network = Rc::new(FakeNetwork::new(settings.own.policy(&link)));
        let events: Rc<MemorySink> = Rc::default();
        let control = world.process();
        let wait = match settings.control_after {
            Duration::ZERO => Duration::ZERO,
            after => SETTLED + after,
        };
        let source: Rc<FixedSource> = Rc::default();
        let control_crashes = start_control(&network, &control, &source, &events, wait);
        let mut bed = Self {
            world,
            events,
            link,
            network: Rc::clone(&network),
            gateways: Vec::new(),
            control,
            source,
            control_crashes,
        };
        let (west, east) = settings.backends;
        let offered = settings.offered.unwrap_or(east);
        bed.add_gateway(&network, settings, 2, "west", west, offered);
        bed.add_gateway(&network, settings, 3, "east", east, west);
        if settings.has_neighbour {
            bed.add_gateway(&network, settings, 4, "west", west, offered);
        }
        for host in settings.own.more_hosts(bed.gateways.len()) {
            match OwnParts::is_west(host) {
                true => bed.add_gateway(&network, settings, host, "west", west, offered),
                false => bed.add_gateway(&network, settings, host, "east", east, west),
            }
        }
        bed.world.run_for(SETTLED);
        bed
    }

    fn add_gateway(
        &mut self,
        network: &FakeNetwork,
        settings: &BedSettings,
        host: u8,
        place: &str,
        own: u8,
        others: u8,
    ) {
        let process = self.world.process();
        let context = settings.own.context(process.context());
        let (transport, handlers) = join(network, &process, host, place);
        let transport = Rc::new(transport);
        let vm = VmName::try_from(format!("vm-{host}")).expect("a name");
        let profile = GatewayProfile {
            vm: vm.clone(),
            run: 1,
            region: region(place),
            domain: FailureDomain::try_from("d").expect("a name"),
            caller_address: address(host),
            peer_address: address(host),
        };
        let format = FixedFormat {
            kind: settings.kind,
            timeout: settings.timeout,
            objective: settings.objective,
            event_patience: settings.event_patience,
            later_timeout: settings.later_timeout,
            homes: settings.homes.iter().map(|home| (*home).to_owned()).collect(),
            is_public: settings.is_public,
            workspaces: settings.workspaces,
            max_attempts: settings.own.max_attempts,
            plain_prefix: settings.own.plain_prefix,
        };
        let events = Rc::clone(&self.events) as Rc<dyn EventSink>;
        let crashes = new_ledger(&context, &events);
        let fleet = FleetFollower::new(
            profile,
            [address(1)],
            FollowerParts {
                transport: Rc::clone(&transport) as _,
                context: context.clone(),
                events: Rc::clone(&events),
                format: Rc::new(format),
                crashes: Rc::clone(&crashes),
            },
        );
        fleet.start();
        fleet.set_phase(GatewayPhase::Ready);
        let dispatcher = new_dispatcher(&context, vm, place, (own, others), settings);
        settings.own.tell_total(&dispatcher);
        let backends = ScriptedBackends::new(&context);
        let client = settings.own.client(host, &context);
        let notices: Rc<RecordedNotices> = Rc::default();
        let proxy = Proxy::new(ProxyParts {
            context,
            fleet,
            dispatcher,
            client: client.unwrap_or_else(|| Rc::clone(&backends) as _),
            transport,
            notices: Rc::clone(&notices) as _,
            dialect: Rc::new(PlainDialect),
            crashes,
            revocation: settings.revocation,
            tolerance: QuotaTolerance { window: Duration::from_secs(8), over: 0.1, slack: 30.0 },
            regions: BTreeSet::from([region("west"), region("east")]),
            fingerprint_key: FingerprintKey::from([1; 32]),
            events,
            metrics: Rc::new(MetricSet::new().expect("metrics")),
        });
        ForwardServer::register(&proxy, &handlers);
        self.gateways.push(BedGateway {
            proxy,
            backends,
            notices,
            delivered: Cell::default(),
            process,
        });
    }

    /// Starts the control process again, with nothing that it knew.
    pub(crate) fn restart_control(&mut self) {
        self.control.kill();
        self.control = self.world.process();
        self.control_crashes =
            start_control(&self.network, &self.control, &self.source, &self.events, Duration::ZERO);
    }

    /// Has the control process take up another version of the configuration.
    pub(crate) fn configure(&self, version: u64) {
        self.source.version.set(version);
    }

    /// Has the control process say that its configuration was last known to be the newest so long
    /// ago.
    pub(crate) fn set_confirmed_ago(&self, ago: Option<Duration>) {
        self.source.confirmed_ago.set(ago);
    }

    /// Ends the control process.
    pub(crate) fn kill_control(&self) {
        self.control.kill();
    }

    /// The process of a gateway, by the order in which it was added.
    pub(crate) fn process(&self, gateway: usize) -> &FakeProcess {
        &self.gateways[gateway].process
    }

    /// What the control process knows of requests that end backend servers.
    pub(crate) fn control_crashes(&self) -> &SharedCrashTracker {
        &self.control_crashes
    }

    /// The notices that a gateway has sent, by the order in which it was added.
    pub(crate) fn notices(&self, gateway: usize) -> Vec<SentNotice> {
        self.gateways[gateway].notices.0.borrow().clone()
    }

    /// Runs the world, and delivers the notices that gateways send.
    pub(crate) fn run_with_notices(&self, duration: Duration) {
        let end = self.world.now() + duration;
        while self.world.now() < end {
            self.world.run_for(DELIVERY);
            for index in 0..self.gateways.len() {
                let notices = self.notices(index);
                let from = self.gateways[index].delivered.replace(notices.len());
                for (to, body) in &notices[from..] {
                    let hosts =
                        (0..self.gateways.len()).filter(|i| to.contains(&gateway_address(*i)));
                    hosts.for_each(|host| self.tell(host, body));
                }
            }
        }
    }

    /// Hands a notice to a gateway.
    pub(crate) fn tell(&self, gateway: usize, body: &[u8]) {
        self.gateways[gateway].proxy.handle_notice(body);
    }

    /// The backend servers of the first (0) or second (1) region.
    pub(crate) fn backends(&self, region: usize) -> &Rc<ScriptedBackends> {
        &self.gateways[region].backends
    }

    /// What the backend servers of a region will do, in the order of arrival.
    pub(crate) fn script(&self, region: usize, deeds: &[Deed]) {
        self.backends(region).deeds.borrow_mut().extend(deeds.iter().cloned());
    }

    pub(crate) fn call(&self) -> CallerRequest {
        CallerRequest {
            id: CallerRequestId::try_from("call-1").expect("an id"),
            key: None,
            method: Method::POST,
            host: "h".to_owned(),
            target: "/a/b?c=d".to_owned(),
            headers: HeaderMap::from_iter([(
                http::HeaderName::from_static("own"),
                HeaderValue::from_static("kept"),
            )]),
            body: Bytes::from_static(b"question"),
            caller_timeout: Some(Duration::from_secs(4)),
            prompt: None,
            resume_after: None,
        }
    }

    /// The clock of all gateways.
    pub(crate) fn clock(&self) -> Rc<dyn Clock> {
        Rc::clone(&self.control.context().clock)
    }

    /// The proxy of the first region.
    pub(crate) fn proxy(&self) -> &Proxy {
        &self.gateways[0].proxy
    }

    /// Serves a call at the first region: status, whole body, and whether the body broke off.
    pub(crate) fn serve(&self, call: CallerRequest) -> Served {
        self.world.run_until(take(self.proxy(), call))
    }

    /// Serves so many calls at a gateway at the same time.
    pub(crate) fn serve_together(&self, gateway: usize, count: usize) -> Vec<Served> {
        let calls = (0..count).map(|_| take(self.gateway(gateway), self.call()));
        self.world.run_until(join_all(calls))
    }

    /// The proxy of the second region.
    pub(crate) fn other_proxy(&self) -> &Proxy {
        self.gateway(1)
    }

    /// The proxy of a gateway, by the order in which it was added.
    pub(crate) fn gateway(&self, index: usize) -> &Proxy {
        &self.gateways[index].proxy
    }
}

/// What a caller gets of `proxy`.
pub(crate) async fn take(proxy: &Proxy, call: CallerRequest) -> Served {
    let response = proxy.serve(call).await;
    let (head, body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_broken = false;
    match body {
        ReplyBody::Full(whole) => bytes.extend_from_slice(&whole),
        ReplyBody::Stream(mut stream) => {
            while let Some(piece) = stream.next().await {
                match piece {
                    Ok(piece) => bytes.extend_from_slice(&piece),
                    Err(_) => is_broken = true,
                }
            }
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Served { status: head.status.as_u16(), headers: head.headers, body, is_broken }
}

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Served {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    pub(crate) is_broken: bool,
}

fn new_ledger(context: &ProcessContext, events: &Rc<dyn EventSink>) -> Rc<SharedCrashTracker> {
    let metrics = Rc::new(MetricSet::new().expect("metrics"));
    let clock = Rc::clone(&context.clock);
    SharedCrashTracker::new(CrashTrackerSettings::default(), clock, Rc::clone(events), metrics)
}

fn new_dispatcher(
    context: &ProcessContext,
    vm: VmName,
    place: &str,
    (own, others): (u8, u8),
    settings: &BedSettings,
) -> Rc<Dispatcher> {
    let prefix = if place == "west" { "i-" } else { settings.east_names };
    let mut scheduler = Scheduler::new(SchedulerSettings {
        own: vm,
        region: region(place),
        regions: 2,
        repeat_ratio: 0.2,
        repeat_slack: settings.repeat_slack,
        repeat_window: Duration::from_secs(10),
        cold_over: 1.5,
        cold_slack: 3.0,
    });
    let service = ServiceName::try_from("pool").expect("a name");
    let pool = gullglade_traffic::ServicePool {
        name: service.clone(),
        health_path: String::new(),
        connection_limit: 100,
        cold: ColdRules { duration: Duration::ZERO, requests_per_second: 0.0 },
        engine: None,
    };
    scheduler.set_configuration([Rc::new(pool)], &Rc::new(BTreeSet::new()), context.clock.now());
    scheduler.set_backends(
        (0..own).map(|index| BackendInfo {
            name: BackendName::try_from(format!("{prefix}{index}")).expect("a name"),
            incarnation: Incarnation(0),
            service: service.clone(),
            address: address(100 + index),
            domain: FailureDomain::try_from("d").expect("a name"),
            slots: 8,
            is_serving: true,
            is_silent: false,
            cold_until: context.clock.now(),
        }),
        MonotonicTime::default(),
    );
    scheduler.set_gateway_total(2, context.clock.now());
    let elsewhere = if place == "west" { "east" } else { "west" };
    scheduler.set_regions(vec![RegionInfo {
        region: region(elsewhere),
        service,
        backends: u32::from(others),
        first_byte: FirstByteTimes::from_millis(&[10]),
    }]);
    Dispatcher::new(scheduler, context.clone())
}
