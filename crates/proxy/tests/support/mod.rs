//! Two regions with a gateway each, one control process, and backend servers that answer by
//! script.

#![allow(dead_code)] // Each test program uses a part of it.

use {
    bytes::Bytes,
    futures::{StreamExt, stream},
    gullglade_dispatch::{
        BackendFacts, BackendReport, FirstByteTimes, RegionFacts, Scheduler, SchedulerSettings,
    },
    gullglade_event::{EventSink, MemorySink, MetricSet},
    gullglade_fleet::{
        FleetFollower, FleetServer, FleetSettings, FollowerParts, GatewayPhase, GatewayProfile,
        TrafficSnapshot, TrafficSource,
    },
    gullglade_http::{BodyError, ClientBody, ClientError, ClientReply, HttpClient, ReplyBody},
    gullglade_peer::{
        HandlerTable, NoticeSender, PeerIdentity,
        fake::{FakeLink, FakeNetwork, FakeNode, FakeTransport},
    },
    gullglade_proxy::{
        BackendDialect, BackendWord, CallId, CallerCall, Dispatcher, ForwardServer, Proxy,
        ProxyParts, SendOrder,
    },
    gullglade_traffic::{
        CallerLimits, ColdRules, RawRoute, RawService, RawTraffic, RequestKind, TrafficError,
        TrafficFormat,
    },
    gullglade_units::{
        BackendName, FailureDomain, HybridClock, Incarnation, LocalFuture, ProcessContext,
        RegionName, ServiceName, VmName,
        fake::{FakeProcess, FakeWorld},
    },
    http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// One way between the two regions.
const LINK: Duration = Duration::from_millis(55);

/// What a backend server does with one request.
#[derive(Clone, Debug)]
pub(crate) enum Deed {
    /// Refuses the connection.
    Unreachable,
    /// Closes the connection after the request was sent.
    Close,
    /// Says nothing.
    Hang,
    /// Answers, after a while.
    Answer(Script),
}

/// An answer.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) after: Duration,
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Pieces of the body, a millisecond apart.
    pub(crate) pieces: Vec<&'static str>,
    pub(crate) is_broken: bool,
}

impl Script {
    /// A signed answer to the request `call`.
    pub(crate) fn signed(status: u16, pieces: &[&'static str]) -> Self {
        Self {
            after: Duration::from_millis(5),
            status,
            headers: vec![("id", "call-1".to_owned()), ("signed", "yes".to_owned())],
            pieces: pieces.to_vec(),
            is_broken: false,
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub(crate) fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self
    }

    pub(crate) fn broken(mut self) -> Self {
        self.is_broken = true;
        self
    }

    pub(crate) fn events(pieces: &[&'static str]) -> Self {
        Self::signed(200, pieces).header("content-type", "text/event-stream")
    }
}

/// A request as a backend server got it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) address: SocketAddr,
    pub(crate) headers: HeaderMap,
    pub(crate) target: String,
    pub(crate) body: Bytes,
}

/// Backend servers that do what they are told, in the order of arrival.
pub(crate) struct ScriptedBackends {
    context: ProcessContext,
    deeds: RefCell<VecDeque<Deed>>,
    pub(crate) arrivals: RefCell<Vec<Arrival>>,
    /// Requests whose answer was dropped before its end.
    pub(crate) cancelled: Rc<Cell<usize>>,
}

/// Counts what is dropped before it is over.
struct DropCount {
    is_over: bool,
    count: Rc<Cell<usize>>,
}

impl DropCount {
    /// It is over; its drop counts nothing.
    fn finish(mut self) {
        self.is_over = true;
    }
}

impl Drop for DropCount {
    fn drop(&mut self) {
        if !self.is_over {
            self.count.set(self.count.get() + 1);
        }
    }
}

impl ScriptedBackends {
    async fn act(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ClientReply, ClientError> {
        let deed = self.deeds.borrow_mut().pop_front().expect("a deed for each request");
        if matches!(deed, Deed::Unreachable) {
            return Err(ClientError::Connect { address, reason: "refused".to_owned() });
        }
        let (head, body) = request.into_parts();
        let target = head.uri.to_string();
        self.arrivals.borrow_mut().push(Arrival { address, headers: head.headers, target, body });
        let guard = DropCount { is_over: false, count: Rc::clone(&self.cancelled) };
        let clock = Rc::clone(&self.context.clock);
        let script = match deed {
            Deed::Hang => std::future::pending().await,
            Deed::Close => {
                guard.finish();
                return Err(ClientError::Sent { address, reason: "closed".to_owned() });
            }
            Deed::Unreachable => unreachable!("handled above"),
            Deed::Answer(script) => script,
        };
        clock.sleep(script.after).await;
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(script.status).expect("a status");
        for (name, value) in &script.headers {
            response
                .headers_mut()
                .insert(*name, HeaderValue::from_str(value).expect("a header value"));
        }
        let mut pieces: Vec<Result<Bytes, BodyError>> =
            script.pieces.iter().map(|piece| Ok(Bytes::from_static(piece.as_bytes()))).collect();
        if script.is_broken {
            pieces.push(Err(BodyError::Incomplete { reason: "reset".to_owned() }));
        }
        let state = (pieces.into_iter(), guard, clock);
        let body = stream::unfold(state, |(mut pieces, guard, clock)| async move {
            clock.sleep(Duration::from_millis(1)).await;
            match pieces.next() {
                Some(piece) => Some((piece, (pieces, guard, clock))),
                None => {
                    guard.finish();
                    None
                }
            }
        });
        let body = ClientBody::from_stream(body);
        Ok(ClientReply { head: response.into_parts().0, body })
    }
}

impl HttpClient for ScriptedBackends {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        Box::pin(self.act(address, request))
    }
}

/// Headers with plain names.
struct PlainDialect;

impl BackendDialect for PlainDialect {
    fn outgoing(&self, headers: &HeaderMap, order: &SendOrder<'_>) -> HeaderMap {
        let mut headers = headers.clone();
        let mut put = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::try_from(value).expect("a header value"));
        };
        put("run", order.backend.to_string());
        put("left", order.left.as_millis().to_string());
        if let Some(event) = order.resume_after {
            put("after", event.to_string());
        }
        headers
    }

    fn incoming(&self, _status: StatusCode, headers: &HeaderMap) -> BackendWord {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        BackendWord {
            is_not_run: text("not-run").is_some(),
            is_other_run: text("other-run").is_some(),
            is_signed: text("signed").is_some(),
            answers: text("id").map(str::to_owned),
            load: None::<BackendReport>,
        }
    }

    fn retry_after(&self, wait: Duration) -> HeaderValue {
        HeaderValue::try_from(format!("{:.2}", wait.as_secs_f64())).expect("a number")
    }
}

/// The one configuration of these tests.
struct FixedFormat {
    kind: RequestKind,
    timeout: Duration,
    homes: Vec<String>,
}

impl TrafficFormat for FixedFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        let service = RawService {
            name: "pool".to_owned(),
            health_path: String::new(),
            connection_limit: 100,
            cold: ColdRules { duration: Duration::ZERO, requests_per_second: 0.0 },
            engine: None,
        };
        let route = RawRoute {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/a/".to_owned(),
            kind: self.kind,
            timeout: self.timeout,
            objective: Duration::from_millis(300),
            priority: 0,
            targets: vec![("pool".to_owned(), 1)],
            max_attempts: 2,
            has_affinity: false,
            gap_objective: Some(Duration::from_millis(300)),
            homes: self.homes.clone(),
        };
        let limits = CallerLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        Ok(RawTraffic { version: 1, routes: vec![route], services: vec![service], limits })
    }
}

/// A control process that holds one configuration.
struct FixedSource;

impl TrafficSource for FixedSource {
    fn newer(&self, index: u64, _version: Option<u64>) -> Option<TrafficSnapshot> {
        (index < 1).then(|| TrafficSnapshot {
            index: 1,
            version: Some(1),
            text: Some(Bytes::from_static(b"1")),
            evacuated: BTreeSet::new(),
        })
    }

    fn changed<'a>(&'a self, index: u64) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            if index >= 1 {
                std::future::pending().await
            }
        })
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        Some(Duration::ZERO)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        vec![address(1)]
    }
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
    pub(crate) homes: &'static [&'static str],
    /// Backend servers in the first and in the second region.
    pub(crate) backends: (u8, u8),
    /// Whether the first region has a second gateway.
    pub(crate) has_neighbour: bool,
}

impl BedSettings {
    pub(crate) fn of(kind: RequestKind) -> Self {
        Self {
            kind,
            timeout: Duration::from_secs(5),
            homes: &[],
            backends: (2, 0),
            has_neighbour: false,
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
    _process: FakeProcess,
}

/// The two regions.
pub(crate) struct TestBed {
    pub(crate) world: FakeWorld,
    pub(crate) events: Rc<MemorySink>,
    pub(crate) link: Rc<FakeLink>,
    gateways: Vec<BedGateway>,
    _control: FakeProcess,
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
        let (world, _) = FakeWorld::new(1);
        let link = Rc::new(FakeLink::new(LINK));
        let network = FakeNetwork::new(Rc::clone(&link) as _);
        let events: Rc<MemorySink> = Rc::default();
        let control = world.process();
        let (_, handlers) = join(&network, &control, 1, "west");
        FleetServer::new(
            FleetSettings::new(Duration::from_secs(1)),
            Rc::new(FixedSource),
            control.context().clone(),
            Rc::clone(&events) as _,
        )
        .start(&handlers);
        let mut bed = Self { world, events, link, gateways: Vec::new(), _control: control };
        let (west, east) = settings.backends;
        bed.add_gateway(&network, settings, 2, "west", west, east);
        bed.add_gateway(&network, settings, 3, "east", east, west);
        if settings.has_neighbour {
            bed.add_gateway(&network, settings, 4, "west", west, east);
        }
        bed.world.run_for(Duration::from_secs(2));
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
        let context = process.context().clone();
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
            homes: settings.homes.iter().map(|home| (*home).to_owned()).collect(),
        };
        let events = Rc::clone(&self.events) as Rc<dyn EventSink>;
        let fleet = FleetFollower::new(
            profile,
            [address(1)],
            FollowerParts {
                transport: Rc::clone(&transport) as _,
                context: context.clone(),
                events: Rc::clone(&events),
                format: Rc::new(format),
            },
        );
        fleet.start();
        fleet.set_phase(GatewayPhase::Ready);
        let dispatcher = new_dispatcher(&context, vm, place, own, others);
        let backends = Rc::new(ScriptedBackends {
            context: context.clone(),
            deeds: RefCell::default(),
            arrivals: RefCell::default(),
            cancelled: Rc::default(),
        });
        let notices: Rc<RecordedNotices> = Rc::default();
        let proxy = Proxy::new(ProxyParts {
            context,
            fleet,
            dispatcher,
            client: Rc::clone(&backends) as _,
            transport,
            notices: Rc::clone(&notices) as _,
            dialect: Rc::new(PlainDialect),
            events,
            metrics: Rc::new(MetricSet::new().expect("metrics")),
        });
        ForwardServer::register(&proxy, &handlers);
        self.gateways.push(BedGateway { proxy, backends, notices, _process: process });
    }

    /// The notices that a gateway has sent, by the order in which it was added.
    pub(crate) fn notices(&self, gateway: usize) -> Vec<SentNotice> {
        self.gateways[gateway].notices.0.borrow().clone()
    }

    /// Hands a notice to a gateway.
    pub(crate) fn tell(&self, gateway: usize, body: &[u8]) {
        self.gateways[gateway].proxy.take_notice(body);
    }

    /// The backend servers of the first (0) or second (1) region.
    pub(crate) fn backends(&self, region: usize) -> &Rc<ScriptedBackends> {
        &self.gateways[region].backends
    }

    /// What the backend servers of a region will do, in the order of arrival.
    pub(crate) fn script(&self, region: usize, deeds: &[Deed]) {
        self.backends(region).deeds.borrow_mut().extend(deeds.iter().cloned());
    }

    pub(crate) fn call(&self) -> CallerCall {
        CallerCall {
            id: CallId::try_from("call-1").expect("an id"),
            method: Method::POST,
            host: "h".to_owned(),
            target: "/a/b?c=d".to_owned(),
            headers: HeaderMap::from_iter([(
                http::HeaderName::from_static("own"),
                HeaderValue::from_static("kept"),
            )]),
            body: Bytes::from_static(b"question"),
            patience: Some(Duration::from_secs(4)),
            prompt: None,
            resume_after: None,
        }
    }

    /// The proxy of the first region.
    pub(crate) fn proxy(&self) -> &Proxy {
        &self.gateways[0].proxy
    }

    /// Serves a call at the first region: status, whole body, and whether the body broke off.
    pub(crate) fn serve(&self, call: CallerCall) -> Served {
        self.world.run_until(take(self.proxy(), call))
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
pub(crate) async fn take(proxy: &Proxy, call: CallerCall) -> Served {
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

fn new_dispatcher(
    context: &ProcessContext,
    vm: VmName,
    place: &str,
    own: u8,
    others: u8,
) -> Rc<Dispatcher> {
    let mut scheduler = Scheduler::new(SchedulerSettings {
        own: vm,
        region: region(place),
        repeat_ratio: 0.2,
        repeat_slack: 50.0,
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
    scheduler.set_backends((0..own).map(|index| BackendFacts {
        name: BackendName::try_from(format!("i-{index}")).expect("a name"),
        service: service.clone(),
        address: address(100 + index),
        domain: FailureDomain::try_from("d").expect("a name"),
        slots: 8,
        is_serving: true,
        is_silent: false,
        cold_until: context.clock.now(),
    }));
    let elsewhere = if place == "west" { "east" } else { "west" };
    scheduler.set_regions(vec![RegionFacts {
        region: region(elsewhere),
        service,
        backends: u32::from(others),
        first_byte: FirstByteTimes::from_millis(&[10]),
    }]);
    Dispatcher::new(scheduler, context.clone())
}
