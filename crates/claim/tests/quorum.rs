//! Tests of claims at a quorum. Each covers one way in which an order could run twice, get lost, or
//! be reported as not run although it ran.

mod support;

use {
    gullglade_claim::ClaimSettings,
    std::time::Duration,
    support::{ClaimWorld, GatewayBehavior, ReportedOutcome},
};

const SECOND: Duration = Duration::from_secs(1);

/// Three gateways in the claim region, and one in another region.
const REGIONS: [&str; 4] = ["puget", "puget", "puget", "inland"];

fn three_replicas() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 3)
}

fn two_replicas() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2)
}

fn default_behavior() -> GatewayBehavior {
    GatewayBehavior::default()
}

fn slow_run() -> GatewayBehavior {
    GatewayBehavior { run: SECOND, wait: SECOND * 5, ..default_behavior() }
}

fn answered(outcome: &Option<ReportedOutcome>) -> bool {
    matches!(outcome, Some(ReportedOutcome::Answer(_)))
}

#[test]
fn concurrent_sends_at_two_gateways_run_once() {
    // Guards against two runs of one order that a caller sends to two gateways at once because the
    // first is slow. Neither gateway knows of the other's send.
    for (first, second) in [(0, 1), (1, 2), (0, 3), (3, 2)] {
        let world = three_replicas();
        let key = world.key();
        let sends = [first, second].map(|vm| world.send(vm, &key, "40 t", slow_run()));
        world.run_for(SECOND * 10);
        world.check();
        let history = world.history.borrow();
        assert_eq!(history.runs(&key), 1, "gateways {first} and {second}");
        let reported = sends.map(|send| history.outcome(send));
        assert!(reported.iter().all(answered), "gateways {first} and {second}: {reported:?}");
    }
}

#[test]
fn resend_to_another_gateway_returns_the_answer() {
    // Guards against a second run after the caller's connection broke. The caller resends to
    // another gateway while the first is still working on the order.
    let world = three_replicas();
    let key = world.key();
    let first = world.send(0, &key, "40 t", slow_run());
    world.run_for(SECOND / 2);
    let second = world.send_and_wait(1, &key, "40 t", slow_run());
    assert!(answered(&second), "{second:?}");
    assert_eq!(second, world.history.borrow().outcome(first), "the same bytes");
    world.check();
}

#[test]
fn different_request_is_a_mismatch_at_every_gateway() {
    // Guards against answering an order with the answer of a different one, sent under a reused
    // key.
    let world = three_replicas();
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    for vm in 0..4 {
        assert_eq!(
            world.send_and_wait(vm, &key, "60 t", default_behavior()),
            Some(ReportedOutcome::Mismatch)
        );
    }
    world.check();
}

#[test]
fn gateway_killed_around_dispatch_does_not_cause_a_second_run() {
    // Guards against a second run, or a key that never becomes usable, after a gateway is killed.
    // The gateway is killed at different stages of a send, and the caller resends to another
    // gateway, which cannot know how far the first one got.
    struct Case {
        killed_after: u64,
        stage: &'static str,
        runs_before: usize,
        resend_runs: bool,
    }
    // The grant takes 2 ms, the queue 10 ms, the dispatch 2 ms and the run 1 s.
    let cases = [
        Case { killed_after: 1, stage: "claiming", runs_before: 0, resend_runs: true },
        Case { killed_after: 8, stage: "queued", runs_before: 0, resend_runs: true },
        Case { killed_after: 13, stage: "dispatching", runs_before: 0, resend_runs: false },
        Case { killed_after: 15, stage: "running", runs_before: 1, resend_runs: false },
        Case { killed_after: 1500, stage: "answered", runs_before: 1, resend_runs: false },
    ];
    for case in cases {
        let world = three_replicas();
        let key = world.key();
        let queue = Duration::from_millis(10);
        world.send(0, &key, "40 t", GatewayBehavior { queue, ..slow_run() });
        world.run_for(Duration::from_millis(case.killed_after));
        world.kill(0);
        assert_eq!(world.history.borrow().runs(&key), case.runs_before, "{}", case.stage);
        let reported = world.send_and_wait(1, &key, "40 t", slow_run());
        world.check();
        let runs = world.history.borrow().runs(&key);
        assert_eq!(runs, usize::from(case.resend_runs) + case.runs_before, "{}", case.stage);
        let answer = case.resend_runs || case.stage == "answered";
        assert_eq!(answered(&reported), answer, "{}: {reported:?}", case.stage);
        assert!(
            answer || reported == Some(ReportedOutcome::Unknown),
            "{}: {reported:?}",
            case.stage
        );
    }
}

#[test]
fn only_the_claim_region_decides_its_keys_during_a_partition() {
    // Guards against runs in two regions during a partition, and against an isolated claim region
    // that takes no orders. The order runs in its claim region and is resent to the isolated region
    // inland.
    let world = three_replicas();
    (0..3).for_each(|vm| world.cut(vm, 3, true));
    let key = world.key();
    assert!(
        answered(&world.send_and_wait(0, &key, "40 t", default_behavior())),
        "orders of the claim region"
    );
    assert_eq!(
        world.send_and_wait(3, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::Unknown),
        "the order ran"
    );
    (0..3).for_each(|vm| world.cut(vm, 3, false));
    assert!(
        answered(&world.send_and_wait(3, &key, "40 t", default_behavior())),
        "the claim region answers"
    );
    world.check();
}

#[test]
fn two_replicas_report_not_run_while_one_is_down() {
    // With two replicas, a quorum needs both, so no order runs while one is down. Guards against
    // reporting such an order as unknown: one replica that never voted for the key proves that it
    // did not run.
    let world = two_replicas();
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.kill(1);
    let late = world.key();
    assert_eq!(
        world.send_and_wait(0, &late, "40 t", default_behavior()),
        Some(ReportedOutcome::NotRun)
    );
    assert!(
        answered(&world.send_and_wait(0, &key, "40 t", default_behavior())),
        "stored answers remain available"
    );
    world.restart(1, 0, 0);
    world.run_for(SECOND * 5);
    assert!(answered(&world.send_and_wait(1, &late, "40 t", default_behavior())));
    world.check();
}

#[test]
fn third_replica_in_another_region_tolerates_the_loss_of_one_vm() {
    // Guards against refusing orders while one of the region's two VMs is down. The third replica
    // is in inland, 55 ms away.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 3);
    world.kill(1);
    assert!(answered(&world.send_and_wait(0, &world.key(), "40 t", default_behavior())));
    world.check();
}

#[test]
fn replica_in_another_region_never_receives_an_answer() {
    // Guards against storing an answer in a region where the service does not allow its data. The
    // third replica is in inland; it also restarts and copies the claims.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 3);
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.restart(2, 0, 0);
    world.run_for(SECOND * 30);
    world.kill(0);
    assert!(
        answered(&world.send_and_wait(1, &key, "40 t", default_behavior())),
        "from the other replica of the claim region"
    );
    world.check();
    let holders = world.network.answer_holders.borrow();
    assert!(!holders.is_empty() && !holders.contains(&world.vm(2).member.address));
}

#[test]
fn resend_near_a_replica_without_answers_returns_the_answer() {
    // Guards against reporting that an order ran without its answer although the answer is stored.
    // The nearest replica, in inland, replies first and stores no answers.
    let regions = ["puget", "puget", "inland", "inland"];
    let world = ClaimWorld::new(1, ClaimSettings::default(), &regions, 3);
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    assert!(answered(&world.send_and_wait(3, &key, "40 t", default_behavior())));
    [0, 1].into_iter().for_each(|vm| world.kill(vm));
    assert_eq!(
        world.send_and_wait(3, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::Ran),
        "the run is known"
    );
    world.check();
}

#[test]
fn delayed_send_does_not_run_after_not_run_was_reported() {
    // Guards against a run after the caller was told "not run". A send waits in gateway 0, a resend
    // at gateway 1 is refused by admission, and then gateway 0 proceeds. The release must free the
    // key only for sends received later.
    let world = three_replicas();
    let key = world.key();
    let queue = SECOND * 3;
    let first = world.send(0, &key, "40 t", GatewayBehavior { queue, ..default_behavior() });
    world.run_for(SECOND / 2);
    let refuse = GatewayBehavior { refuse: true, ..default_behavior() };
    let second = world.send(1, &key, "40 t", refuse);
    world.run_for(SECOND * 8);
    world.check();
    let history = world.history.borrow();
    assert_eq!(history.outcome(second), Some(ReportedOutcome::NotRun));
    assert_eq!(history.outcome(first), Some(ReportedOutcome::Unknown), "superseded");
    assert_eq!(history.runs(&key), 0);
}

#[test]
fn a_request_that_never_reached_its_backend_can_be_sent_again() {
    // Guards against a permanently unknown order although nothing was sent. The dispatch was
    // recorded, and then the connection to the backend server was refused.
    let world = three_replicas();
    let key = world.key();
    let unreached = GatewayBehavior { unreached: true, ..default_behavior() };
    assert_eq!(world.send_and_wait(0, &key, "40 t", unreached), Some(ReportedOutcome::NotRun));
    assert!(answered(&world.send_and_wait(1, &key, "40 t", default_behavior())));
    world.check();
}

#[test]
fn a_broken_run_is_unknown_at_every_gateway() {
    // Guards against a second run after the link to the backend server broke. The request may have
    // arrived.
    let world = three_replicas();
    let key = world.key();
    let broken = GatewayBehavior { broken: true, ..default_behavior() };
    assert_eq!(world.send_and_wait(0, &key, "40 t", broken), Some(ReportedOutcome::Unknown));
    for vm in 0..4 {
        assert_eq!(
            world.send_and_wait(vm, &key, "40 t", default_behavior()),
            Some(ReportedOutcome::Unknown)
        );
    }
    world.check();
}

#[test]
fn refused_orders_do_not_fill_the_table() {
    // Guards against a full claim table, in which no new order fits until the next day. Admission
    // refuses thousands of orders, each under its own key, and each leaves a record.
    let settings = ClaimSettings::default().claim_limit(300);
    let world = ClaimWorld::new(1, settings, &REGIONS, 3);
    let refuse = GatewayBehavior { refuse: true, ..default_behavior() };
    let first = world.key();
    for minute in 0..30 {
        for _ in 0..20 {
            let key = if minute == 0 { first.clone() } else { world.key() };
            world.send(0, &key, "40 t", refuse.clone());
        }
        world.run_for(SECOND * 60);
    }
    assert_eq!(world.history.borrow().runs(&first), 0);
    assert!(
        answered(&world.send_and_wait(1, &first, "40 t", default_behavior())),
        "it was not run, so a resend may run"
    );
    assert!(
        answered(&world.send_and_wait(1, &world.key(), "40 t", default_behavior())),
        "the table has room"
    );
    let records = world.vm(1).service.replica(&world.group(0).id).unwrap().record_count();
    assert!(records <= 200, "{records} records, of the last eight minutes");
    world.check();
}

#[test]
fn a_gateway_that_was_suspended_does_not_run_what_it_holds() {
    // Guards against a run hours after the caller gave up. The VM is suspended while a granted send
    // waits for capacity. Its monotonic clock stops, so by that clock the grant is recent.
    let world = three_replicas();
    let key = world.key();
    let queue = SECOND;
    let send = world.send(0, &key, "40 t", GatewayBehavior { queue, ..default_behavior() });
    world.run_for(SECOND / 2);
    world.vm(0).process.set_wall_offset(3_600_000);
    world.run_for(SECOND * 5);
    assert_eq!(world.history.borrow().outcome(send), Some(ReportedOutcome::Unknown));
    assert_eq!(world.history.borrow().runs(&key), 0);
    world.vm(0).process.set_wall_offset(0);
    assert!(answered(&world.send_and_wait(1, &key, "40 t", default_behavior())));
    world.check();
}
