//! Measures what membership costs a gateway: bytes and messages a second at several sizes.
//!
//! Runs the real relays of a whole cluster on a fake network in virtual time, with engines whose
//! load moves as that of a queue at 85% does, and counts the encoded bytes of every call. One
//! region has the size asked for; the others are small in gateways but tell of as many models, so
//! that what they send is as large as at full size.
//!
//! ```sh
//! cargo run --release -p gullglade-backend --example membership_traffic
//! cargo run --release -p gullglade-backend --example membership_traffic -- 18 145 20 26
//! ```
//!
//! The arguments are gateways and engines of the region measured, regions and models.

use {
    bytes::Bytes,
    gullglade_backend::{
        AnnounceReply, Announcement, BackendCapacity, BackendConfig, BackendKind, BackendProfile,
        BackendRelay, BackendTable, FencingMode, GatewayProfile, GossipDelta, LoadReport,
        LocalGateway, RelayConfig, RelayDependencies, ServingState,
    },
    gullglade_event::NullSink,
    gullglade_peer::{
        HandlerTable, PeerError, PeerIdentity, PeerStream, PeerTransport,
        fake::{FakeNetwork, FakeNode, FakePolicy, MessageAction, MessagePath},
    },
    gullglade_units::{
        Incarnation, LocalFuture, ProcessContext, RandomSource, RegionName, decode, encode,
        fake::FakeWorld,
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Time for the cluster to meet and settle.
const WARM_UP: Duration = Duration::from_secs(40);

/// Time measured.
const MEASURED: Duration = Duration::from_secs(60);

/// Gateways of each region that is not measured.
const OTHER_GATEWAYS: usize = 4;

/// Engines a model of each region that is not measured.
const OTHER_ENGINES: usize = 5;

/// Slots of an engine.
const SLOTS: u32 = 32;

/// Seconds that a request holds its slot, on average.
const HOLD_SECONDS: f64 = 8.0;

/// The share of slots that arriving requests fill on average.
const UTILIZATION: f64 = 0.85;

/// Prompt tokens of a waiting request.
const PROMPT_TOKENS: u64 = 800;

/// The size of one run.
#[derive(Clone, Copy)]
struct RunSize {
    gateways: usize,
    engines: usize,
    regions: usize,
    models: usize,
}

/// The sizes of DESIGN section 10 and two below, for the slope.
const SIZES: &[RunSize] = &[
    RunSize { gateways: 9, engines: 24, regions: 3, models: 2 },
    RunSize { gateways: 9, engines: 72, regions: 20, models: 26 },
    RunSize { gateways: 18, engines: 145, regions: 20, models: 26 },
    RunSize { gateways: 37, engines: 290, regions: 20, models: 26 },
    RunSize { gateways: 74, engines: 580, regions: 20, models: 26 },
];

/// What framing adds to a call and to its answer, bytes, as measured for docs/CAPACITY.md (`capacity
/// frames`, kept session).
const CALL_FRAME: f64 = 47.0;
const ANSWER_FRAME: f64 = 64.0;

/// The headers of one packet, bytes; assumed: IPv4 and TCP with timestamps.
const PACKET_HEAD: f64 = 52.0;

/// The heads of an announcement and of its answer over HTTP/1.1, bytes; assumed.
const ANNOUNCE_HEAD: f64 = 110.0;
const REPLY_HEAD: f64 = 120.0;

/// What one gateway sent and got, in calls and bytes.
#[derive(Clone, Copy, Default)]
struct Traffic {
    calls_out: f64,
    calls_in: f64,
    bytes_out: f64,
    bytes_in: f64,
    heartbeats: f64,
    loads: f64,
    regions: f64,
    announcements: f64,
    json_in: f64,
    json_out: f64,
}

impl Traffic {
    /// Bytes sent, with framing, packets and announcements.
    fn wire_out(&self) -> f64 {
        let calls = self.calls_out * (CALL_FRAME + PACKET_HEAD);
        let answers = self.calls_in * (ANSWER_FRAME + PACKET_HEAD);
        let replies = self.announcements * (REPLY_HEAD + PACKET_HEAD);
        self.bytes_out + self.json_out + calls + answers + replies
    }

    /// Bytes received, likewise.
    fn wire_in(&self) -> f64 {
        let calls = self.calls_in * (CALL_FRAME + PACKET_HEAD);
        let answers = self.calls_out * (ANSWER_FRAME + PACKET_HEAD);
        let announced = self.announcements * (ANNOUNCE_HEAD + PACKET_HEAD);
        self.bytes_in + self.json_in + calls + answers + announced
    }
}

#[derive(Default)]
struct TrafficBook {
    on: Cell<bool>,
    by_node: RefCell<BTreeMap<SocketAddr, Traffic>>,
}

impl TrafficBook {
    fn change(&self, node: SocketAddr, change: impl FnOnce(&mut Traffic)) {
        if self.on.get() {
            change(self.by_node.borrow_mut().entry(node).or_default());
        }
    }

    fn count_call(&self, from: SocketAddr, to: SocketAddr, sent: usize, got: usize) {
        let (sent, got) = (sent as f64, got as f64);
        self.change(from, |caller| {
            caller.calls_out += 1.0;
            caller.bytes_out += sent;
            caller.bytes_in += got;
        });
        self.change(to, |callee| {
            callee.calls_in += 1.0;
            callee.bytes_in += sent;
            callee.bytes_out += got;
        });
    }

    fn count_parts(&self, from: SocketAddr, body: &[u8]) {
        let delta: GossipDelta = decode(body).expect("a delta");
        let length = |bytes: Vec<u8>| bytes.len() as f64;
        self.change(from, |sender| {
            sender.heartbeats += length(encode(&(&delta.pulse, &delta.pulses, delta.digest)));
            sender.loads += length(encode(&delta.loads));
            sender.regions += length(encode(&(&delta.row_totals, &delta.regions)));
        });
    }

    fn count_announcement(&self, to: SocketAddr, said: &Announcement, reply: AnnounceReply) {
        let length = |json: serde_json::Result<Vec<u8>>| json.expect("it encodes").len() as f64;
        self.change(to, |gateway| {
            gateway.announcements += 1.0;
            gateway.json_in += length(serde_json::to_vec(said));
            gateway.json_out += length(serde_json::to_vec(&reply));
        });
    }
}

/// Counts the calls of one gateway.
struct CountingTransport<T> {
    inner: T,
    own: SocketAddr,
    book: Rc<TrafficBook>,
}

impl<T: PeerTransport> PeerTransport for CountingTransport<T> {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(async move {
            let sent = method.len() + body.len();
            if method == "backend.delta" {
                self.book.count_parts(self.own, &body);
            }
            let answer = self.inner.call(to, method, body, limit).await;
            let got = answer.as_ref().map_or(0, Bytes::len);
            self.book.count_call(self.own, to, sent, got);
            answer
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        self.inner.open(to, method, body)
    }
}

/// 1 ms inside a region, 55 ms between regions.
struct RegionDelay;

impl FakePolicy for RegionDelay {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let near = path.from.ip() == path.to.ip();
        MessageAction::Deliver(Duration::from_millis(if near { 1 } else { 55 }))
    }
}

struct Cluster {
    world: FakeWorld,
    network: FakeNetwork,
    book: Rc<TrafficBook>,
    seeds: Vec<SocketAddr>,
}

fn address(region: usize, index: usize) -> SocketAddr {
    let net = u8::try_from(region).expect("few regions");
    let port = u16::try_from(7_000 + index).expect("few gateways");
    SocketAddr::from(([10, 0, net, 1], port))
}

fn region_name(region: usize) -> RegionName {
    format!("region-{region}").parse().expect("a name")
}

impl Cluster {
    fn start_gateway(&self, region: usize, index: usize) -> (BackendRelay, ProcessContext) {
        let context = self.world.process().context().clone();
        let address = address(region, index);
        let identity = PeerIdentity {
            vm: format!("vm-{region}-{index}").parse().expect("a name"),
            region: region_name(region),
            domain: format!("domain-{region}-{}", index % 4).parse().expect("a name"),
            incarnation: Incarnation(1_750_000_000_000),
        };
        let handlers = Rc::new(HandlerTable::new());
        let inner = self.network.join(FakeNode {
            address,
            identity: identity.clone(),
            context: context.clone(),
            clock: Rc::default(),
            handlers: handlers.clone(),
        });
        let transport = CountingTransport { inner, own: address, book: self.book.clone() };
        let seams = RelayDependencies {
            transport: Rc::new(transport),
            events: Rc::new(NullSink),
            context: context.clone(),
        };
        let clock = context.clock.clone();
        let table =
            Rc::new(BackendTable::new(identity.region.clone(), BackendConfig::default(), clock));
        let profile = GatewayProfile {
            region: identity.region.clone(),
            domain: identity.domain.clone(),
            peer_address: address,
            caller_address: SocketAddr::new(address.ip(), address.port() + 1_000),
            limit: 1_000,
        };
        let own = LocalGateway { vm: identity.vm, incarnation: identity.incarnation, profile };
        let config = RelayConfig { seeds: self.seeds.clone(), ..RelayConfig::default() };
        let relay = BackendRelay::new(own, table, config, seams);
        handlers.register("backend", relay.handler());
        relay.start();
        (relay, context)
    }

    fn start_region(&self, region: usize, gateways: usize, engines: usize, models: usize) {
        let relays: Vec<_> = (0..gateways).map(|index| self.start_gateway(region, index)).collect();
        for engine in 0..engines {
            let (relay, context) = &relays[engine % gateways];
            let engine = EngineRun {
                relay: relay.clone(),
                gateway: address(region, engine % gateways),
                context: context.clone(),
                book: self.book.clone(),
                next: first_announcement(region, engine, models),
            };
            let task = run_engine(engine);
            context.spawner.spawn(Box::pin(task));
        }
    }
}

fn first_announcement(region: usize, engine: usize, models: usize) -> Announcement {
    Announcement {
        name: format!("engine-{region}-{engine}").parse().expect("a name"),
        incarnation: Incarnation(1_750_000_000_000),
        sequence: 1,
        state: ServingState::Serving,
        load: LoadReport::default(),
        profile: Some(BackendProfile {
            region: region_name(region),
            domain: format!("domain-{region}-{}", engine % 4).parse().expect("a name"),
            address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
            kind: BackendKind::Engine,
            models: vec![format!("model-{}", engine % models).parse().expect("a name")],
            services: Vec::new(),
            capacity: BackendCapacity {
                slots: SLOTS,
                tokens_per_second: 1_600,
                prefill_tokens_per_second: 8_000,
                cache_tokens: 400_000,
            },
            fencing: FencingMode::Checks,
        }),
        cache_events: None,
    }
}

/// One engine and the gateway to which it announces.
struct EngineRun {
    relay: BackendRelay,
    gateway: SocketAddr,
    context: ProcessContext,
    book: Rc<TrafficBook>,
    next: Announcement,
}

/// Announces, as often as it is told to, the load of a queue whose arrivals and ends are random.
async fn run_engine(run: EngineRun) {
    let EngineRun { relay, gateway, context, book, mut next } = run;
    let random = context.random.clone();
    context.clock.sleep(Duration::from_secs(2).mul_f64(random.unit())).await;
    let mut requests = (f64::from(SLOTS) * UTILIZATION) as u32;
    loop {
        let reply = relay.announce(&next).await;
        let reply = reply.expect("the gateway stands in the engine's region");
        book.count_announcement(gateway, &next, reply);
        let tick = Duration::from_millis(reply.renew_millis);
        context.clock.sleep(tick).await;
        requests = step(requests, tick, &*random);
        let waiting = requests.saturating_sub(SLOTS);
        next.profile = None;
        next.sequence += 1;
        next.load = LoadReport {
            running: requests.min(SLOTS),
            waiting,
            queued_prefill_tokens: u64::from(waiting) * PROMPT_TOKENS,
            cached_tokens: 390_000,
        };
    }
}

/// The requests of an engine after `tick`.
fn step(requests: u32, tick: Duration, random: &dyn RandomSource) -> u32 {
    let leave = 1.0 - (-tick.as_secs_f64() / HOLD_SECONDS).exp();
    let running = requests.min(SLOTS);
    let ended = (0..running).filter(|_| random.unit() < leave).count() as u32;
    let mean = f64::from(SLOTS) * UTILIZATION / HOLD_SECONDS * tick.as_secs_f64();
    requests - ended + poisson(mean, random)
}

/// Knuth's method, fit for small means.
fn poisson(mean: f64, random: &dyn RandomSource) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.unit();
    let mut count = 0;
    while product > limit {
        product *= random.unit();
        count += 1;
    }
    count
}

fn measure(size: RunSize) {
    let (world, _) = FakeWorld::new(1);
    let cluster = Cluster {
        world,
        network: FakeNetwork::new(Rc::new(RegionDelay)),
        book: Rc::default(),
        seeds: (0..size.regions).map(|region| address(region, 0)).collect(),
    };
    cluster.start_region(0, size.gateways, size.engines, size.models);
    for region in 1..size.regions {
        let engines = size.models * OTHER_ENGINES;
        cluster.start_region(region, OTHER_GATEWAYS, engines, size.models);
    }
    cluster.world.run_for(WARM_UP);
    cluster.book.on.set(true);
    cluster.world.run_for(MEASURED);
    report(size, &cluster.book);
}

fn report(size: RunSize, book: &TrafficBook) {
    let nodes = book.by_node.borrow();
    let own: Vec<Traffic> =
        (0..size.gateways).filter_map(|i| nodes.get(&address(0, i)).copied()).collect();
    let seconds = MEASURED.as_secs_f64();
    let mean =
        |pick: fn(&Traffic) -> f64| own.iter().map(pick).sum::<f64>() / own.len() as f64 / seconds;
    let most = |pick: fn(&Traffic) -> f64| own.iter().map(pick).fold(0.0, f64::max) / seconds;
    let RunSize { gateways, engines, regions, models } = size;
    println!(
        "| {gateways} | {engines} | {regions} | {models} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} \
         | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |",
        mean(|t| t.bytes_out),
        most(|t| t.bytes_out),
        mean(|t| t.heartbeats),
        mean(|t| t.loads),
        mean(|t| t.regions),
        mean(|t| t.calls_out),
        mean(|t| t.announcements),
        mean(Traffic::wire_out),
        most(Traffic::wire_out),
        mean(Traffic::wire_in),
        most(Traffic::wire_in),
    );
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    println!(
        "Per gateway and second. Encoded bytes: the bodies of calls between gateways, as sent."
    );
    println!("On the wire: with framing, packets and announcements.");
    println!();
    println!(
        "| gateways | engines | regions | models | encoded bytes | most | of it heartbeats | loads \
         | regions | calls | announcements | wire, sent | most | wire, received | most |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    match arguments[..] {
        [gateways, engines, regions, models] => {
            measure(RunSize { gateways, engines, regions, models });
        }
        _ => SIZES.iter().for_each(|size| measure(*size)),
    }
}
