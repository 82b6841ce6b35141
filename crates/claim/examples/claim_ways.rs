//! Measures how long an order waits for its claim, by the placement of the replicas.
//!
//! `cargo run --release -p gullglade-claim --example claim_ways`
//!
//! Delays run in virtual time over fake links (0.5, 1 or 55 ms one way) and exclude processor time.
//! Syncs are real, in the system's temporary folder or the folder given as argument.

use {
    bytes::Bytes,
    gullglade_claim::{
        ClaimCoordinator, ClaimOutcome, ClaimRequest, ClaimService, ClaimSettings, GroupId,
        GroupTable, QuorumClaims, ReplicaGroup, ReplicaMember, RequestFingerprint, StoredAnswer,
    },
    gullglade_peer::{
        HandlerTable, PeerIdentity,
        fake::{FakeNetwork, FakeNode, FakePolicy, MessageAction, MessagePath},
    },
    gullglade_units::{
        FailureDomain, HybridClock, Incarnation, OrderKey, ProcessContext, RegionName, VmName,
        WallMillis, WorkspaceName, fake::FakeWorld,
    },
    std::{
        env,
        fs::OpenOptions,
        io::{self, Write},
        net::{IpAddr, SocketAddr},
        path::Path,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Size of a record on disk in bytes: about that of a claim without its answer.
const RECORD_BYTES: usize = 200;

/// Number of syncs to measure.
const SYNCS: usize = 500;

/// A placement of replicas and gateway.
struct Placement {
    label: &'static str,
    /// The region of each replica. The claim region is 0.
    replicas: &'static [u8],
    /// The region of the gateway, and true if the gateway is the first replica itself.
    gateway: (u8, bool),
    near: Duration,
}

const HALF_MILLI: Duration = Duration::from_micros(500);
const MILLI: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(55);

const PLACEMENTS: [Placement; 7] = [
    Placement { label: "2 in the region", replicas: &[0, 0], gateway: (0, true), near: HALF_MILLI },
    Placement {
        label: "3 in the region",
        replicas: &[0, 0, 0],
        gateway: (0, true),
        near: HALF_MILLI,
    },
    Placement { label: "3 in the region", replicas: &[0, 0, 0], gateway: (0, true), near: MILLI },
    Placement {
        label: "3 in the region, gateway no replica",
        replicas: &[0, 0, 0],
        gateway: (0, false),
        near: MILLI,
    },
    Placement {
        label: "2 in the region, 1 elsewhere",
        replicas: &[0, 0, 1],
        gateway: (0, true),
        near: MILLI,
    },
    Placement {
        label: "3 in the region, gateway elsewhere",
        replicas: &[0, 0, 0],
        gateway: (1, false),
        near: MILLI,
    },
    Placement {
        label: "1 in each of 3 regions",
        replicas: &[0, 1, 2],
        gateway: (0, true),
        near: MILLI,
    },
];

struct RegionDelays {
    near: Duration,
}

impl FakePolicy for RegionDelays {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let near = region_of(path.from) == region_of(path.to);
        MessageAction::Deliver(if near { self.near } else { FAR })
    }
}

fn region_of(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1],
        IpAddr::V6(_) => 0,
    }
}

fn region_name(number: u8) -> RegionName {
    RegionName::try_from(format!("region-{number}")).expect("a region's name")
}

/// One process: its context, its service and its claim coordinator.
struct ClaimProcess {
    context: ProcessContext,
    member: ReplicaMember,
    service: Rc<ClaimService>,
    coordinator: QuorumClaims,
    groups: Rc<GroupTable>,
}

fn join(world: &FakeWorld, network: &FakeNetwork, region: u8, number: u8) -> ClaimProcess {
    let context = world.process().context().clone();
    let vm = VmName::try_from(format!("vm-{region}-{number}")).expect("a VM's name");
    let address = SocketAddr::from(([10, region, 0, number], 8082));
    let identity = PeerIdentity {
        vm: vm.clone(),
        region: region_name(region),
        domain: FailureDomain::try_from("one").expect("a domain's name"),
        incarnation: Incarnation(1),
    };
    let handlers = Rc::new(HandlerTable::new());
    let transport = Rc::new(network.join(FakeNode {
        address,
        identity: identity.clone(),
        context: context.clone(),
        clock: Rc::new(HybridClock::default()),
        handlers: Rc::clone(&handlers),
    }));
    let settings = ClaimSettings::default();
    let service =
        Rc::new(ClaimService::new(context.clone(), settings, identity, transport.clone()));
    handlers.register("claim", Rc::clone(&service) as _);
    let groups = Rc::new(GroupTable::new());
    let coordinator = QuorumClaims::new(
        context.clone(),
        settings,
        Rc::clone(&groups) as _,
        Rc::clone(&service),
        transport,
    );
    let member = ReplicaMember { vm, region: region_name(region), address };
    ClaimProcess { context, member, service, coordinator, groups }
}

/// Returns the durations of claim, dispatch and storing the answer.
fn order_times(placement: &Placement) -> [Duration; 3] {
    let (world, _) = FakeWorld::new(1);
    let network = FakeNetwork::new(Rc::new(RegionDelays { near: placement.near }));
    let place = |(number, region): (usize, &u8)| {
        join(&world, &network, *region, u8::try_from(number).expect("few replicas"))
    };
    let mut processes: Vec<ClaimProcess> =
        placement.replicas.iter().enumerate().map(place).collect();
    let members = processes.iter().map(|process| process.member.clone()).collect();
    let id = GroupId { region: region_name(0), number: 0 };
    let installed = WallMillis(processes[0].context.clock.wall().0 + 20_000);
    let group = Rc::new(ReplicaGroup::first(id, Some(installed), members));
    let (region, is_replica) = placement.gateway;
    if !is_replica {
        processes.insert(0, join(&world, &network, region, 100));
    }
    for process in &processes {
        process.groups.put(Rc::clone(&group));
        process.service.adopt(Rc::clone(&group));
    }
    world.run_for(Duration::from_secs(60));
    world.run_until(order(&processes[0]))
}

async fn order(gateway: &ClaimProcess) -> [Duration; 3] {
    let region = region_name(0);
    let key = OrderKey::new(&region, &gateway.context);
    let clock = &gateway.context.clock;
    let begin = clock.now();
    let request = ClaimRequest {
        key: &key,
        workspace: &WorkspaceName::try_from("clerks").expect("a workspace's name"),
        service_region: &region,
        allowed_regions: std::slice::from_ref(&region),
        fingerprint: RequestFingerprint::new(&[b"order"]),
        received: begin,
        wait: Duration::from_secs(1),
    };
    let outcome = gateway.coordinator.claim(request).await;
    let Ok(ClaimOutcome::Granted(grant)) = outcome else { panic!("not granted: {outcome:?}") };
    let granted = clock.now();
    let permit = grant.dispatch().await.expect("no other send claims the key");
    let dispatched = clock.now();
    let answer = StoredAnswer::new(200, Vec::new(), Bytes::from_static(b"placed"), 1_000);
    permit.answered(answer.expect("a small answer")).await;
    let stored = clock.now();
    [granted.since(begin), dispatched.since(granted), stored.since(dispatched)]
}

/// Returns the median and the 99th percentile of the duration of an append with sync.
fn sync_times(folder: &Path) -> io::Result<[Duration; 2]> {
    let path = folder.join(format!("claim-ways-{}", std::process::id()));
    let mut file = OpenOptions::new().create_new(true).append(true).open(&path)?;
    let record = [7; RECORD_BYTES];
    let mut times = Vec::with_capacity(SYNCS);
    for _ in 0..SYNCS {
        let begin = Instant::now();
        file.write_all(&record)?;
        file.sync_data()?;
        times.push(begin.elapsed());
    }
    std::fs::remove_file(&path)?;
    times.sort_unstable();
    Ok([times[SYNCS / 2], times[SYNCS * 99 / 100]])
}

fn main() -> io::Result<()> {
    println!(
        "{:40} {:>8} {:>8} {:>9} {:>8}",
        "ms by replicas", "one way", "claim", "dispatch", "store"
    );
    for placement in &PLACEMENTS {
        let times = order_times(placement).map(|time| time.as_secs_f64() * 1e3);
        let near = placement.near.as_secs_f64() * 1e3;
        let [claim, dispatch, store] = times;
        println!("{:40} {near:8.1} {claim:8.1} {dispatch:9.1} {store:8.1}", placement.label);
    }
    let folder = env::args_os().nth(1).map_or_else(env::temp_dir, Into::into);
    let [median, high] = sync_times(&folder)?.map(|time| time.as_secs_f64() * 1e3);
    println!("append and sync of {RECORD_BYTES} B: median {median:.3} ms, p99 {high:.3} ms");
    Ok(())
}
