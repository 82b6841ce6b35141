//! The replicated log and its way to the gateways.

use {
    crate::{
        fit::print_fit,
        memory_folder::MemoryFolder,
        meter::Traffic,
        plant::{Plant, PlantProcess, address, name, region_name, vm_name},
        usage::{processor_time, resident},
    },
    gullglade_control::{
        ChangeOutcome, ChangeRequest, Command, ConfigOutcome, ConfigReplica, ConfigState,
        ControlConfig, ControlNode, InitialVoter, LogEntry, LogIndex, RegionPeers, ReplicaConfig,
        Term,
    },
    gullglade_event::NullSink,
    gullglade_units::{ChangeId, ServiceName, WallMillis},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

const VOTERS: usize = 5;

/// The first number of a gateway in its region; voters come before.
const FIRST_GATEWAY: usize = 10;

const SETTLE: Duration = Duration::from_secs(30);
const COUNTED: Duration = Duration::from_secs(60);

/// Workspaces of each document; the text is then about 2 kB.
const WORKSPACES: usize = 10;

fn document(service: usize, version: u64) -> Rc<str> {
    crate::configuration::text(service, WORKSPACES, version).into()
}

fn request(number: u64, service: usize, base: u64) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::try_from(format!("change-{number}")).expect("an id"),
        service: name::<ServiceName>(&crate::configuration::service_name(service)),
        base,
        text: Some(document(service, base)),
        author: "clerk".to_owned(),
    }
}

/// The gateways of one region.
struct FixedPeers(Vec<SocketAddr>);

impl RegionPeers for FixedPeers {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.0.clone()
    }
}

struct ControlPlant {
    plant: Plant,
    nodes: Vec<ControlNode>,
    replicas: Vec<(SocketAddr, Rc<ConfigReplica>)>,
}

fn start(regions: usize, gateways: usize) -> ControlPlant {
    let plant = Plant::new();
    let voter = |region| InitialVoter { vm: vm_name(region, 0), address: address(region, 0) };
    let voters: Vec<InitialVoter> = (0..VOTERS).map(voter).collect();
    let mut started = ControlPlant { plant, nodes: vec![], replicas: vec![] };
    for region in 0..VOTERS {
        let process = started.plant.join(region, 0);
        let config =
            ControlConfig::new("capacity", vm_name(region, 0), region_name(region), voters.clone());
        let folder = MemoryFolder::new(process.context.clock.clone());
        let starting = ControlNode::start(
            config,
            process.context.clone(),
            process.transport.clone(),
            Rc::new(folder),
            Rc::new(NullSink),
        );
        let node = started.plant.world.run_until(starting).expect("an empty folder starts");
        node.serve(&process.handlers);
        started.nodes.push(node);
    }
    for region in 0..regions {
        for number in 0..gateways {
            let process = started.plant.join(region, FIRST_GATEWAY + number);
            let replica = start_replica(&process, region, gateways, &voters);
            started.replicas.push((process.address, replica));
        }
    }
    started.plant.world.run_for(SETTLE);
    started
}

fn start_replica(
    process: &PlantProcess,
    region: usize,
    gateways: usize,
    voters: &[InitialVoter],
) -> Rc<ConfigReplica> {
    let controls = voters.iter().map(|v| v.address).collect();
    let vm = process.identity.vm.clone();
    let config = ReplicaConfig::new(vm, region_name(region), process.address, controls);
    let replica = ConfigReplica::new(config, process.context.clone());
    replica.serve(&process.handlers);
    let peers = (0..gateways).map(|number| address(region, FIRST_GATEWAY + number)).collect();
    replica.start(process.transport.clone(), Rc::new(FixedPeers(peers)), Rc::new(NullSink));
    replica
}

impl ControlPlant {
    fn leader(&self) -> usize {
        let leads = |node: &ControlNode| node.status().is_leader;
        self.nodes.iter().position(leads).expect("a leader after settling")
    }

    /// One change a second for the counted time.
    fn change_steadily(&self) {
        let leader = self.nodes[self.leader()].clone();
        for number in 0..COUNTED.as_secs() {
            let service = usize::try_from(number).expect("a small number");
            let change = request(number, service, 0);
            let outcome = self.plant.world.run_until(leader.change(change));
            assert!(matches!(outcome, Ok(ChangeOutcome::Accepted(_))), "{outcome:?}");
            self.plant.world.run_for(Duration::from_secs(1));
        }
    }

    fn print(&self, what: &str, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let leader = address(self.leader(), 0);
        let of = |address: SocketAddr| self.plant.meter.of(address);
        let voters: Vec<Traffic> =
            (0..VOTERS).map(|v| address(v, 0)).filter(|a| *a != leader).map(of).collect();
        let relays: Vec<Traffic> = self.gateways(true);
        let others: Vec<Traffic> = self.gateways(false);
        for (role, rows) in [
            ("leader", vec![of(leader)]),
            ("other voter", voters),
            ("region relay", relays),
            ("other gateway", others),
        ] {
            let mean = |value: fn(&Traffic) -> u64| {
                rows.iter().map(value).sum::<u64>() as f64 / rows.len().max(1) as f64 / seconds
            };
            println!(
                "{what:18} {role:14} {:7.2} {:8.2} {:8.0} {:10.0}",
                mean(|t| t.calls),
                mean(|t| t.served),
                mean(|t| t.sent),
                mean(|t| t.received),
            );
        }
    }

    fn gateways(&self, relay: bool) -> Vec<Traffic> {
        let wanted = self.replicas.iter().filter(|(_, r)| r.status().is_relay == relay);
        wanted.map(|(address, _)| self.plant.meter.of(*address)).collect()
    }
}

fn print_traffic() {
    println!("{VOTERS} voters in {VOTERS} regions; documents of {} B", document(0, 0).len());
    println!("what               role           calls/s served/s  sent B/s  received B/s");
    for (regions, gateways) in [(5, 4), (20, 4), (20, 18)] {
        println!("-- {regions} regions of {gateways} gateways");
        let plant = start(regions, gateways);
        let idle = plant.plant.world.now();
        plant.plant.meter.restart();
        let before = processor_time();
        plant.plant.world.run_for(COUNTED);
        let spent = processor_time() - before;
        plant.print("idle", plant.plant.world.now().since(idle));
        let all = (VOTERS + regions * gateways) as f64;
        println!(
            "idle processor time, mean of all processes: {:.4}% of a core",
            spent.as_secs_f64() / COUNTED.as_secs_f64() / all * 100.0
        );
        let busy = plant.plant.world.now();
        plant.plant.meter.restart();
        plant.change_steadily();
        plant.print("a change a second", plant.plant.world.now().since(busy));
    }
}

fn entry(number: u64, service: usize, base: u64) -> LogEntry {
    let command = Command::Change(request(number, service, base));
    LogEntry { index: LogIndex(number), term: Term(1), wall: WallMillis(number * 17_600), command }
}

/// State of a voter after so many changes, to as many services as have a tenth of the letter's
/// workspaces each.
fn print_state() {
    const SERVICES: u64 = 890;
    println!("state of a voter: {SERVICES} services of {WORKSPACES} workspaces, changed in turn");
    println!(" changes  resident kB  µs/change  image kB  image to state ms");
    let mut memory = Vec::new();
    for changes in [890, 4_900, 9_800, 34_300] {
        let before_memory = resident();
        let mut state = ConfigState::default();
        let mut spent = Duration::ZERO;
        for number in 1..=changes {
            let (service, base) = ((number - 1) % SERVICES, (number - 1) / SERVICES);
            let service = usize::try_from(service).expect("a small number");
            let entry = entry(number, service, base);
            let start = std::time::Instant::now();
            let outcome = state.apply(&entry);
            spent += start.elapsed();
            let is_accepted =
                matches!(outcome, Some(Ok(ConfigOutcome::Service(ChangeOutcome::Accepted(_)))));
            assert!(is_accepted, "{outcome:?}");
        }
        let grown = resident().saturating_sub(before_memory) as f64;
        let image = state.image();
        let before = processor_time();
        let read = ConfigState::from_image(&image).expect("its own image");
        let reading = processor_time() - before;
        assert_eq!(read.applied(), state.applied());
        println!(
            "{changes:8} {:12.0} {:10.1} {:9.0} {:18.1}",
            grown / 1e3,
            spent.as_secs_f64() * 1e6 / changes as f64,
            image.len() as f64 / 1e3,
            reading.as_secs_f64() * 1e3
        );
        memory.push((changes as f64, grown));
        // Kept to the end: memory that is freed and used again would not show as grown.
        std::mem::forget((state, read));
    }
    print_fit("resident B", "changes", &memory);
}

pub(crate) fn run() {
    print_state();
    print_traffic();
}
