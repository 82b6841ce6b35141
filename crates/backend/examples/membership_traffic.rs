//! Measures the network traffic of membership per gateway, in bytes and messages per second, for
//! several cluster sizes.
//!
//! Runs the actual relays of a whole cluster on a simulated network in virtual time and counts the
//! encoded bytes of every call. The load of the engines changes like that of a queue at 85 %
//! utilization. One region has the requested size. The others have few gateways but as many models,
//! so that their reports are as large as at full size.
//!
//! ```sh
//! cargo run --release -p gullglade-backend --example membership_traffic
//! cargo run --release -p gullglade-backend --example membership_traffic -- 18 145 20 26
//! ```
//!
//! The arguments are the gateways and engines of the measured region, the number of regions and the
//! number of models.

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

/// Time for the cluster to reach a steady state.
const WARM_UP: Duration = Duration::from_secs(40);

/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(60);

/// Gateways of each region that is not measured.
const OTHER_GATEWAYS: usize = 4;

/// Engines per model in each region that is not measured.
const OTHER_ENGINES: usize = 5;

/// Slots per engine.
const SLOTS: u32 = 32;

/// Mean service time of a request, in seconds.
const HOLD_SECONDS: f64 = 8.0;

/// Mean utilization of the slots.
const UTILIZATION: f64 = 0.85;

/// Prompt tokens of a waiting request.
const PROMPT_TOKENS: u64 = 800;

/// Cluster size of one run.
#[derive(Clone, Copy)]
struct RunSize {
    gateways: usize,
    engines: usize,
    regions: usize,
    models: usize,
}

/// The design sizes and two smaller ones, which show how the traffic grows.
const SIZES: &[RunSize] = &[
    RunSize { gateways: 9, engines: 24, regions: 3, models: 2 },
    RunSize { gateways: 9, engines: 72, regions: 20, models: 26 },
    RunSize { gateways: 18, engines: 145, regions: 20, models: 26 },
    RunSize { gateways: 37, engines: 290, regions: 20, models: 26 },
    RunSize { gateways: 74, engines: 580, regions: 20, models: 26 },
];

/// Framing overhead of a call and of its answer on a kept session, in bytes.
const CALL_FRAMING_BYTES: f64 = 47.0;
const ANSWER_FRAMING_BYTES: f64 = 64.0;

/// Header bytes of one packet, assuming IPv4 and TCP with timestamps.
const PACKET_HEADER_BYTES: f64 = 52.0;

/// HTTP/1.1 header bytes of an announcement and of its reply, assumed.
const ANNOUNCE_HEADER_BYTES: f64 = 110.0;
const REPLY_HEADER_BYTES: f64 = 120.0;

/// Traffic of one gateway, in calls and bytes.
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
    /// Bytes sent, including framing, packet headers and announcements.
    fn wire_out(&self) -> f64 {
        let calls = self.calls_out * (CALL_FRAMING_BYTES + PACKET_HEADER_BYTES);
        let answers = self.calls_in * (ANSWER_FRAMING_BYTES + PACKET_HEADER_BYTES);
        let replies = self.announcements * (REPLY_HEADER_BYTES + PACKET_HEADER_BYTES);
        self.bytes_out + self.json_out + calls + answers + replies
    }

    /// Bytes received, including framing, packet headers and announcements.
    fn wire_in(&self) -> f64 {
        let calls = self.calls_in * (CALL_FRAMING_BYTES + PACKET_HEADER_BYTES);
        let answers = self.calls_out * (ANSWER_FRAMING_BYTES + PACKET_HEADER_BYTES);
        let announced = self.announcements * (ANNOUNCE_HEADER_BYTES + PACKET_HEADER_BYTES);
        self.bytes_in + self.json_in + calls + answers + announced
    }
}

#[derive(Default)]
struct TrafficCounters {
    enabled: Cell<bool>,
    by_node: RefCell<BTreeMap<SocketAddr, Traffic>>,
}

impl TrafficCounters {
    fn update(&self, node: SocketAddr, update: impl FnOnce(&mut Traffic)) {
        if self.enabled.get() {
            update(self.by_node.borrow_mut().entry(node).or_default());
        }
    }

    fn count_call(&self, from: SocketAddr, to: SocketAddr, sent: usize, received: usize) {
        let (sent, received) = (sent as f64, received as f64);
        self.update(from, |caller| {
            caller.calls_out += 1.0;
            caller.bytes_out += sent;
            caller.bytes_in += received;
        });
        self.update(to, |callee| {
            callee.calls_in += 1.0;
            callee.bytes_in += sent;
            callee.bytes_out += received;
        });
    }

    fn count_categories(&self, from: SocketAddr, body: &[u8]) {
        let delta: GossipDelta = decode(body).expect("a valid delta");
        let length = |bytes: Vec<u8>| bytes.len() as f64;
        self.update(from, |sender| {
            sender.heartbeats +=
                length(encode(&(&delta.heartbeat, &delta.row_heartbeats, delta.digest)));
            sender.loads += length(encode(&delta.loads));
            sender.regions += length(encode(&(&delta.row_totals, &delta.regions)));
        });
    }

    fn count_announcement(
        &self,
        to: SocketAddr,
        announcement: &Announcement,
        reply: AnnounceReply,
    ) {
        let length = |json: serde_json::Result<Vec<u8>>| json.expect("serializable").len() as f64;
        self.update(to, |gateway| {
            gateway.announcements += 1.0;
            gateway.json_in += length(serde_json::to_vec(announcement));
            gateway.json_out += length(serde_json::to_vec(&reply));
        });
    }
}

/// Transport that counts the calls of one gateway.
struct CountingTransport<T> {
    inner: T,
    local: SocketAddr,
    counters: Rc<TrafficCounters>,
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
                self.counters.count_categories(self.local, &body);
            }
            let answer = self.inner.call(to, method, body, limit).await;
            let received = answer.as_ref().map_or(0, Bytes::len);
            self.counters.count_call(self.local, to, sent, received);
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

/// Delay of 1 ms inside a region and 55 ms between regions.
struct RegionDelay;

impl FakePolicy for RegionDelay {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let same_region = path.from.ip() == path.to.ip();
        MessageAction::Deliver(Duration::from_millis(if same_region { 1 } else { 55 }))
    }
}

struct Cluster {
    world: FakeWorld,
    network: FakeNetwork,
    counters: Rc<TrafficCounters>,
    seeds: Vec<SocketAddr>,
}

fn address(region: usize, index: usize) -> SocketAddr {
    let net = u8::try_from(region).expect("few regions");
    let port = u16::try_from(7_000 + index).expect("few gateways");
    SocketAddr::from(([10, 0, net, 1], port))
}

fn region_name(region: usize) -> RegionName {
    format!("region-{region}").parse().expect("a valid name")
}

impl Cluster {
    fn start_gateway(&self, region: usize, index: usize) -> (BackendRelay, ProcessContext) {
        let context = self.world.process().context().clone();
        let address = address(region, index);
        let identity = PeerIdentity {
            vm: format!("vm-{region}-{index}").parse().expect("a valid name"),
            region: region_name(region),
            domain: format!("domain-{region}-{}", index % 4).parse().expect("a valid name"),
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
        let transport =
            CountingTransport { inner, local: address, counters: self.counters.clone() };
        let dependencies = RelayDependencies {
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
        let local = LocalGateway { vm: identity.vm, incarnation: identity.incarnation, profile };
        let config = RelayConfig { seeds: self.seeds.clone(), ..RelayConfig::default() };
        let relay = BackendRelay::new(local, table, config, dependencies);
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
                counters: self.counters.clone(),
                next: first_announcement(region, engine, models),
            };
            let task = run_engine(engine);
            context.spawner.spawn(Box::pin(task));
        }
    }
}

fn first_announcement(region: usize, engine: usize, models: usize) -> Announcement {
    Announcement {
        name: format!("engine-{region}-{engine}").parse().expect("a valid name"),
        incarnation: Incarnation(1_750_000_000_000),
        sequence: 1,
        state: ServingState::Serving,
        load: LoadReport::default(),
        profile: Some(BackendProfile {
            region: region_name(region),
            domain: format!("domain-{region}-{}", engine % 4).parse().expect("a valid name"),
            address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
            kind: BackendKind::Engine,
            models: vec![format!("model-{}", engine % models).parse().expect("a valid name")],
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

/// An engine and the gateway to which it announces.
struct EngineRun {
    relay: BackendRelay,
    gateway: SocketAddr,
    context: ProcessContext,
    counters: Rc<TrafficCounters>,
    next: Announcement,
}

/// Announces the load of an M/M/c queue at the interval requested by the gateway.
async fn run_engine(run: EngineRun) {
    let EngineRun { relay, gateway, context, counters, mut next } = run;
    let random = context.random.clone();
    context.clock.sleep(Duration::from_secs(2).mul_f64(random.unit())).await;
    let mut requests = (f64::from(SLOTS) * UTILIZATION) as u32;
    loop {
        let reply = relay.announce(&next).await;
        let reply = reply.expect("the gateway is in the region of the engine");
        counters.count_announcement(gateway, &next, reply);
        let tick = Duration::from_millis(reply.renew_millis);
        context.clock.sleep(tick).await;
        requests = next_requests(requests, tick, &*random);
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

/// Returns the number of requests at an engine after `tick`.
fn next_requests(requests: u32, tick: Duration, random: &dyn RandomSource) -> u32 {
    let end_probability = 1.0 - (-tick.as_secs_f64() / HOLD_SECONDS).exp();
    let running = requests.min(SLOTS);
    let ended = (0..running).filter(|_| random.unit() < end_probability).count() as u32;
    let mean = f64::from(SLOTS) * UTILIZATION / HOLD_SECONDS * tick.as_secs_f64();
    requests - ended + poisson(mean, random)
}

/// Samples a Poisson distribution by Knuth's method, which suits small means.
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
        counters: Rc::default(),
        seeds: (0..size.regions).map(|region| address(region, 0)).collect(),
    };
    cluster.start_region(0, size.gateways, size.engines, size.models);
    for region in 1..size.regions {
        let engines = size.models * OTHER_ENGINES;
        cluster.start_region(region, OTHER_GATEWAYS, engines, size.models);
    }
    cluster.world.run_for(WARM_UP);
    cluster.counters.enabled.set(true);
    cluster.world.run_for(MEASURED);
    report(size, &cluster.counters);
}

fn report(size: RunSize, counters: &TrafficCounters) {
    let nodes = counters.by_node.borrow();
    let traffic: Vec<Traffic> =
        (0..size.gateways).filter_map(|i| nodes.get(&address(0, i)).copied()).collect();
    let seconds = MEASURED.as_secs_f64();
    let mean = |pick: fn(&Traffic) -> f64| {
        traffic.iter().map(pick).sum::<f64>() / traffic.len() as f64 / seconds
    };
    let maximum =
        |pick: fn(&Traffic) -> f64| traffic.iter().map(pick).fold(0.0, f64::max) / seconds;
    let RunSize { gateways, engines, regions, models } = size;
    println!(
        "| {gateways} | {engines} | {regions} | {models} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} \
         | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} |",
        mean(|t| t.bytes_out),
        maximum(|t| t.bytes_out),
        mean(|t| t.heartbeats),
        mean(|t| t.loads),
        mean(|t| t.regions),
        mean(|t| t.calls_out),
        mean(|t| t.announcements),
        mean(Traffic::wire_out),
        maximum(Traffic::wire_out),
        mean(Traffic::wire_in),
        maximum(Traffic::wire_in),
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
