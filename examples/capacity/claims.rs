//! Claims on non-idempotent requests at three replicas of one region.

use {
    crate::{
        fit::print_fit,
        plant::{Plant, PlantProcess, name, region_name},
        usage::{processor_time, resident},
    },
    bytes::Bytes,
    gullglade_claim::{
        ClaimCoordinator, ClaimOutcome, ClaimRequest, ClaimService, ClaimSettings, GroupId,
        GroupTable, QuorumClaims, ReplicaGroup, ReplicaMember, RequestFingerprint, StoredAnswer,
    },
    gullglade_units::{OrderKey, ProcessContext, WallMillis, WorkspaceName},
    std::{rc::Rc, time::Duration},
};

const REPLICAS: usize = 3;

/// Bytes of each stored answer.
const ANSWER: usize = 1_000;

/// Claims of each measurement, one after the other.
const CLAIMS: [u32; 3] = [2_000, 8_000, 32_000];

struct ClaimPlant {
    plant: Plant,
    keeper: Rc<QuorumClaims>,
    context: ProcessContext,
    /// Kept: the replicas live in them.
    _services: Vec<Rc<ClaimService>>,
}

/// Three replicas, and a gateway that is none of them.
fn start() -> ClaimPlant {
    let plant = Plant::new();
    let processes: Vec<PlantProcess> = (0..=REPLICAS).map(|n| plant.join(0, n)).collect();
    let member = |p: &PlantProcess| ReplicaMember {
        vm: p.identity.vm.clone(),
        region: p.identity.region.clone(),
        address: p.address,
    };
    let members = processes[..REPLICAS].iter().map(member).collect();
    let id = GroupId { region: region_name(0), number: 0 };
    // Replicas that started long enough before their group's time lost no votes, and vote on all
    // keys at once; others would copy from each other all the time.
    let installed = WallMillis(processes[0].context.clock.wall().0 + 20_000);
    let group = Rc::new(ReplicaGroup::first(id, Some(installed), members));
    let settings = ClaimSettings::default();
    let services: Vec<Rc<ClaimService>> = processes
        .iter()
        .map(|process| {
            let service = Rc::new(ClaimService::new(
                process.context.clone(),
                settings,
                process.identity.clone(),
                process.transport.clone(),
            ));
            process.handlers.register("claim", service.clone());
            service.adopt(group.clone());
            service
        })
        .collect();
    plant.world.run_for(Duration::from_secs(60));
    let groups = Rc::new(GroupTable::new());
    groups.put(group);
    let gateway = &processes[REPLICAS];
    let keeper = QuorumClaims::new(
        gateway.context.clone(),
        settings,
        groups,
        services[REPLICAS].clone(),
        gateway.transport.clone(),
    );
    let context = gateway.context.clone();
    ClaimPlant { plant, keeper: Rc::new(keeper), context, _services: services }
}

/// One order from claim to stored answer.
async fn order(keeper: &QuorumClaims, context: &ProcessContext, workspace: &WorkspaceName) {
    let region = region_name(0);
    let key = OrderKey::new(&region, context);
    let request = ClaimRequest {
        key: &key,
        workspace,
        service_region: &region,
        allowed_regions: std::slice::from_ref(&region),
        fingerprint: RequestFingerprint::new(&[b"order"]),
        received: context.clock.now(),
        wait: Duration::from_secs(1),
    };
    let outcome = keeper.claim(request).await.expect("all replicas answer");
    let ClaimOutcome::Granted(grant) = outcome else { panic!("a new key is granted") };
    let permit = grant.dispatch().await.expect("all replicas answer");
    let body = Bytes::from(vec![7; ANSWER]);
    let limit = ClaimSettings::default().max_answer();
    let answer = StoredAnswer::new(200, Vec::new(), body, limit).expect("a small answer");
    permit.answered(answer).await;
}

pub(crate) fn run() {
    println!("{REPLICAS} replicas in one region; each order is claimed, dispatched and answered");
    println!("with {ANSWER} B by a gateway that is no replica; bytes without framing");
    println!(
        "  orders  calls/order  B/order out  B/order back  µs/order  resident B/order/replica"
    );
    let mut memory = Vec::new();
    for count in CLAIMS {
        let before_memory = resident();
        let plant = start();
        let (keeper, context) = (plant.keeper.clone(), plant.context.clone());
        let workspace: WorkspaceName = name("clerks");
        plant.plant.meter.restart();
        let before = processor_time();
        plant.plant.world.run_until(async {
            for _ in 0..count {
                order(&keeper, &context, &workspace).await;
            }
        });
        plant.plant.world.run_for(Duration::from_secs(5));
        let spent = processor_time() - before;
        let grown = resident().saturating_sub(before_memory) as f64;
        let gateway = plant.plant.meter.of(crate::plant::address(0, REPLICAS));
        let each = |value: u64| value as f64 / f64::from(count);
        println!(
            "{count:8} {:12.2} {:12.0} {:13.0} {:9.1} {:25.0}",
            each(gateway.calls),
            each(gateway.sent),
            each(gateway.received),
            spent.as_secs_f64() * 1e6 / f64::from(count),
            grown / f64::from(count) / REPLICAS as f64,
        );
        memory.push((f64::from(count), grown / REPLICAS as f64));
        // Kept to the end: memory that is freed and used again would not show as grown.
        std::mem::forget(plant);
    }
    print_fit("resident B a replica", "orders", &memory);
}
