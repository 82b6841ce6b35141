//! Membership and region summaries: gateways and engines in virtual time over a network of fakes.

use {
    crate::{
        fit::print_fit,
        plant::{Plant, address, domain_name, name, region_name},
        usage::{processor_time, resident},
    },
    gullglade_backend::{
        Announcement, BackendCapacity, BackendConfig, BackendKind, BackendProfile, BackendRelay,
        BackendTable, FencingMode, GatewayProfile, LoadReport, LocalGateway, RelayConfig,
        RelayDependencies, ServingState,
    },
    gullglade_event::NullSink,
    gullglade_units::{BackendName, Incarnation, ModelName},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Virtual time to settle before counting, twice: without engines and with them.
const SETTLE: Duration = Duration::from_secs(20);

/// Virtual time that is counted.
const COUNTED: Duration = Duration::from_secs(60);

/// Between two renewals of an engine.
const RENEW: Duration = Duration::from_secs(2);

/// Models of the deployment; each engine serves one.
const MODELS: usize = 26;

/// Seeds that each gateway is given.
const SEEDS: usize = 3;

struct Sizes {
    regions: usize,
    gateways: usize,
    engines: usize,
}

/// What one gateway does in a second, on average over all, and the most that one of them sends.
struct Rates {
    calls: f64,
    sent: f64,
    most_sent: f64,
    core_share: f64,
    memory: f64,
}

struct Deployment {
    plant: Plant,
    relays: Vec<Vec<BackendRelay>>,
}

impl Deployment {
    fn start(sizes: &Sizes) -> Self {
        let mut deployment = Self { plant: Plant::new(), relays: Vec::new() };
        for region in 0..sizes.regions {
            let start = |number| deployment.start_gateway(sizes, region, number);
            let relays = (0..sizes.gateways).map(start).collect();
            deployment.relays.push(relays);
        }
        deployment.plant.world.run_for(SETTLE);
        for region in 0..sizes.regions {
            (0..sizes.engines).for_each(|number| deployment.start_engine(region, number));
        }
        deployment.plant.world.run_for(SETTLE);
        deployment
    }

    fn start_gateway(&self, sizes: &Sizes, region: usize, number: usize) -> BackendRelay {
        let process = self.plant.join(region, number);
        let own = LocalGateway {
            vm: process.identity.vm.clone(),
            incarnation: Incarnation(1),
            profile: GatewayProfile {
                region: region_name(region),
                domain: domain_name(region, number),
                peer_address: process.address,
                caller_address: process.address,
                limit: 1_000,
            },
        };
        let clock = process.context.clock.clone();
        let table = BackendTable::new(region_name(region), BackendConfig::default(), clock);
        let seeds = seeds(sizes, region, number);
        let config = RelayConfig { seeds, ..RelayConfig::default() };
        let seams = RelayDependencies {
            transport: process.transport,
            events: Rc::new(NullSink),
            context: process.context,
        };
        let relay = BackendRelay::new(own, Rc::new(table), config, seams);
        process.handlers.register("backend", relay.handler());
        relay.start();
        relay
    }

    /// An engine that renews at one gateway with another load each time.
    fn start_engine(&self, region: usize, number: usize) {
        let relays = &self.relays[region];
        let relay = relays[number % relays.len()].clone();
        let context = self.plant.world.process().context().clone();
        let spawner = context.spawner.clone();
        spawner.spawn(Box::pin(async move {
            let first = Duration::from_millis(context.random.below(2_000));
            context.clock.sleep(first).await;
            for sequence in 1.. {
                let load = LoadReport {
                    running: u32::try_from(context.random.below(40)).unwrap_or(0),
                    waiting: u32::try_from(context.random.below(10)).unwrap_or(0),
                    queued_prefill_tokens: context.random.below(20_000),
                    cached_tokens: context.random.below(400_000),
                };
                let announcement = announcement(region, number, sequence, load);
                relay.announce(&announcement).await.expect("an engine of the region");
                context.clock.sleep(RENEW).await;
            }
        }));
    }
}

/// The first gateways of the own region, and one of each other region.
fn seeds(sizes: &Sizes, region: usize, number: usize) -> Vec<SocketAddr> {
    let near = (0..SEEDS.min(sizes.gateways)).map(|seed| address(region, seed));
    let far = (0..sizes.regions).filter(|r| *r != region).map(|r| address(r, 0));
    near.chain(far).filter(|seed| *seed != address(region, number)).collect()
}

/// The announcement of engine `number` of a region; the first carries the profile.
pub(crate) fn announcement(
    region: usize,
    number: usize,
    sequence: u64,
    load: LoadReport,
) -> Announcement {
    let profile = BackendProfile {
        region: region_name(region),
        domain: domain_name(region, number),
        address: address(region, number),
        kind: BackendKind::Engine,
        models: vec![name::<ModelName>(&format!("model-{}", number % MODELS))],
        services: Vec::new(),
        capacity: BackendCapacity {
            slots: 40,
            tokens_per_second: 2_000,
            prefill_tokens_per_second: 20_000,
            cache_tokens: 400_000,
        },
        fencing: FencingMode::Checks,
    };
    Announcement {
        name: name::<BackendName>(&format!("region-{region:02}-engine-{number:03}")),
        incarnation: Incarnation(1_750_000_000_000),
        sequence,
        state: ServingState::Serving,
        load,
        profile: (sequence == 1).then_some(profile),
        cache_events: None,
    }
}

fn measure(sizes: &Sizes) -> Rates {
    let before_memory = resident();
    let deployment = Deployment::start(sizes);
    deployment.plant.meter.restart();
    let before = processor_time();
    deployment.plant.world.run_for(COUNTED);
    let spent = (processor_time() - before).as_secs_f64();
    let memory = resident().saturating_sub(before_memory) as f64;
    let total = deployment.plant.meter.total();
    let gateways = (sizes.gateways * sizes.regions) as f64;
    let seconds = COUNTED.as_secs_f64() * gateways;
    Rates {
        calls: total.calls as f64 / seconds,
        sent: total.sent as f64 / seconds,
        most_sent: deployment.plant.meter.most_sent() as f64 / COUNTED.as_secs_f64(),
        core_share: spent / seconds,
        memory: memory / gateways,
    }
}

fn print_row(sizes: &Sizes) -> Rates {
    let rates = measure(sizes);
    println!(
        "{:7} {:8} {:7}  {:7.2}  {:8.0}  {:8.0}  {:6.3}  {:9.0}",
        sizes.regions,
        sizes.gateways,
        sizes.engines,
        rates.calls,
        rates.sent,
        rates.most_sent,
        rates.core_share * 100.0,
        rates.memory / 1e3,
    );
    rates
}

pub(crate) fn run() {
    let sizes = |regions, gateways, engines| Sizes { regions, gateways, engines };
    println!(
        "a gateway on average; gateways and engines are those of each region; every engine renews \
         each 2 s with a new load; bytes are of messages, requests and replies, without framing; \
         as many are received as sent, and as many calls served as made"
    );
    println!("regions gateways engines  calls/s  sent B/s  most B/s  core %  memory kB");
    let today = [sizes(3, 2, 5), sizes(3, 3, 5)];
    for sizes in &today {
        print_row(sizes);
    }
    let by_engines = [72, 145, 290].map(|engines| {
        let rates = print_row(&sizes(1, 18, engines));
        (engines as f64, rates.sent, rates.core_share * 1e6)
    });
    let by_gateways = [18, 37, 74].map(|gateways| {
        let rates = print_row(&sizes(1, gateways, 290));
        (gateways as f64, rates.calls)
    });
    print_row(&sizes(1, 74, 580));
    let by_regions = [2, 5, 10].map(|regions| {
        let rates = print_row(&sizes(regions, 18, 145));
        (regions as f64, rates.sent, rates.calls, rates.most_sent)
    });
    print_fit("sent B/s, 18 gateways", "engines", &by_engines.map(|p| (p.0, p.1)));
    print_fit("core µs/s, 18 gateways", "engines", &by_engines.map(|p| (p.0, p.2)));
    print_fit("calls/s, 290 engines", "gateways", &by_gateways);
    print_fit("sent B/s, 18 gateways, 145 engines", "regions", &by_regions.map(|p| (p.0, p.1)));
    print_fit("most B/s of one gateway", "regions", &by_regions.map(|p| (p.0, p.3)));
    print_fit("calls/s, 18 gateways, 145 engines", "regions", &by_regions.map(|p| (p.0, p.2)));
}
