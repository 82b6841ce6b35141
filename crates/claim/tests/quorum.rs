//! Claims at a quorum: one test for each way in which an order could be doubled, lost or denied.

mod support;

use {
    gullglade_claim::ClaimSettings,
    std::time::Duration,
    support::{ClaimWorld, GatewayHabits, ToldOutcome},
};

const SECOND: Duration = Duration::from_secs(1);

/// Three gateways of the claim region, and one elsewhere.
const REGIONS: [&str; 4] = ["puget", "puget", "puget", "inland"];

fn three() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 3)
}

fn two() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2)
}

fn plain() -> GatewayHabits {
    GatewayHabits::default()
}

fn slow() -> GatewayHabits {
    GatewayHabits { run: SECOND, wait: SECOND * 5, ..plain() }
}

fn answered(outcome: &Option<ToldOutcome>) -> bool {
    matches!(outcome, Some(ToldOutcome::Answer(_)))
}

#[test]
fn the_same_key_at_two_gateways_at_once_runs_once() {
    // Symptom: two hopper consists at one siding. Events: a caller whose gateway is slow sends the
    // order to another one too. Cause: neither gateway has heard of the other's send.
    for (first, second) in [(0, 1), (1, 2), (0, 3), (3, 2)] {
        let region = three();
        let key = region.key();
        let sends = [first, second].map(|vm| region.send(vm, &key, "40 t", slow()));
        region.run_for(SECOND * 10);
        region.check();
        let history = region.history.borrow();
        assert_eq!(history.runs(&key), 1, "gateways {first} and {second}");
        let told = sends.map(|send| history.outcome(send));
        assert!(told.iter().all(answered), "gateways {first} and {second}: {told:?}");
    }
}

#[test]
fn a_resend_after_a_broken_connection_gets_the_answer_elsewhere() {
    // Symptom: the caller has no answer and orders again. Events: the order runs, the caller's
    // connection breaks, it resends to the next gateway while the first still works. Cause: the
    // caller cannot know whether the order arrived.
    let region = three();
    let key = region.key();
    let first = region.send(0, &key, "40 t", slow());
    region.run_for(SECOND / 2);
    let second = region.ask(1, &key, "40 t", slow());
    assert!(answered(&second), "{second:?}");
    assert_eq!(second, region.history.borrow().outcome(first), "the same bytes");
    region.check();
}

#[test]
fn another_request_under_the_key_is_refused_at_every_gateway() {
    // Symptom: 60 t ordered, and the answer is of 40 t. Events: a client reuses a key. Cause: the
    // key alone does not tell two orders apart.
    let region = three();
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    for vm in 0..4 {
        assert_eq!(region.ask(vm, &key, "60 t", plain()), Some(ToldOutcome::Mismatch));
    }
    region.check();
}

#[test]
fn a_gateway_killed_around_dispatch_never_lets_a_resend_run_twice() {
    // Symptom: an order is doubled, or lost for good, when its gateway dies. Events: the gateway
    // is killed so many milliseconds after the send; the caller resends to another one. Cause: a
    // dead gateway cannot say how far it got.
    struct Case {
        killed_after: u64,
        stage: &'static str,
        runs_before: usize,
        resend_runs: bool,
    }
    // The grant takes 2 ms, the queue 10 ms, the dispatch 2 ms, the run 1 s.
    let cases = [
        Case { killed_after: 1, stage: "claiming", runs_before: 0, resend_runs: true },
        Case { killed_after: 8, stage: "queued", runs_before: 0, resend_runs: true },
        Case { killed_after: 13, stage: "dispatching", runs_before: 0, resend_runs: false },
        Case { killed_after: 15, stage: "running", runs_before: 1, resend_runs: false },
        Case { killed_after: 1500, stage: "answered", runs_before: 1, resend_runs: false },
    ];
    for case in cases {
        let region = three();
        let key = region.key();
        let queue = Duration::from_millis(10);
        region.send(0, &key, "40 t", GatewayHabits { queue, ..slow() });
        region.run_for(Duration::from_millis(case.killed_after));
        region.kill(0);
        assert_eq!(region.history.borrow().runs(&key), case.runs_before, "{}", case.stage);
        let told = region.ask(1, &key, "40 t", slow());
        region.check();
        let runs = region.history.borrow().runs(&key);
        assert_eq!(runs, usize::from(case.resend_runs) + case.runs_before, "{}", case.stage);
        let answer = case.resend_runs || case.stage == "answered";
        assert_eq!(answered(&told), answer, "{}: {told:?}", case.stage);
        assert!(answer || told == Some(ToldOutcome::Unknown), "{}: {told:?}", case.stage);
    }
}

#[test]
fn a_region_cut_off_takes_its_own_orders_and_no_other_does() {
    // Symptom: an order is doubled across regions, or a region cut off takes none. Events: the
    // link to inland is cut; the order runs in its claim region; the caller resends it to inland;
    // the link heals. Cause: each side alone cannot know what the other runs.
    let region = three();
    (0..3).for_each(|vm| region.cut(vm, 3, true));
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())), "own orders");
    assert_eq!(region.ask(3, &key, "40 t", plain()), Some(ToldOutcome::Unknown), "it did run");
    (0..3).for_each(|vm| region.cut(vm, 3, false));
    assert!(answered(&region.ask(3, &key, "40 t", plain())), "asks the claim region");
    region.check();
}

#[test]
fn two_replicas_take_no_orders_while_one_is_down_but_say_so() {
    // Symptom: a caller cannot tell whether an order was taken while a VM was down. Events: of two
    // replicas one dies; an order comes; the VM returns. Cause: with two replicas the quorum is
    // both. One that never voted for the key is proof enough that it did not run.
    let region = two();
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.kill(1);
    let late = region.key();
    assert_eq!(region.ask(0, &late, "40 t", plain()), Some(ToldOutcome::NotRun));
    assert!(answered(&region.ask(0, &key, "40 t", plain())), "stored answers still come");
    region.restart(1, 0, 0);
    region.run_for(SECOND * 5);
    assert!(answered(&region.ask(1, &late, "40 t", plain())));
    region.check();
}

#[test]
fn a_third_replica_in_another_region_carries_two_vms_over_a_loss() {
    // Symptom: a region with two VMs takes no orders while one is down. Events: the third replica
    // stands in inland, 55 ms away; one VM of puget dies. Cause: two replicas bear no loss.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 3);
    region.kill(1);
    assert!(answered(&region.ask(0, &region.key(), "40 t", plain())));
    region.check();
}

#[test]
fn a_replica_in_another_region_never_gets_an_answer() {
    // Symptom: an answer is found in a region where the service does not allow its data. Events:
    // the third replica stands in inland; orders run; it restarts and copies the claims. Cause:
    // answers are stored where votes are.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 3);
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.restart(2, 0, 0);
    region.run_for(SECOND * 30);
    region.kill(0);
    assert!(answered(&region.ask(1, &key, "40 t", plain())), "from the other of its region");
    region.check();
    let holders = region.network.answer_holders.borrow();
    assert!(!holders.is_empty() && !holders.contains(&region.vm(2).member.address));
}

#[test]
fn a_resend_next_to_a_replica_without_answers_still_gets_its_answer() {
    // Symptom: a resend in inland is told that its order ran, without the answer. Events: the
    // third replica stands in inland; the resend comes to another gateway there. Cause: the near
    // replica replies first, and holds no answers.
    let regions = ["puget", "puget", "inland", "inland"];
    let region = ClaimWorld::new(1, ClaimSettings::default(), &regions, 3);
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    assert!(answered(&region.ask(3, &key, "40 t", plain())));
    [0, 1].into_iter().for_each(|vm| region.kill(vm));
    assert_eq!(region.ask(3, &key, "40 t", plain()), Some(ToldOutcome::Ran), "so much is known");
    region.check();
}

#[test]
fn a_send_held_up_before_its_claim_does_not_run_after_a_not_run() {
    // Symptom: a caller told "not run" orders by telephone, and the order runs after all. Events:
    // a send waits in gateway 0; a resend at 1 is refused by admission as not run; 0 goes on.
    // Cause: a release makes the key free, also for sends of before.
    let region = three();
    let key = region.key();
    let queue = SECOND * 3;
    let first = region.send(0, &key, "40 t", GatewayHabits { queue, ..plain() });
    region.run_for(SECOND / 2);
    let refuse = GatewayHabits { refuse: true, ..plain() };
    let second = region.send(1, &key, "40 t", refuse);
    region.run_for(SECOND * 8);
    region.check();
    let history = region.history.borrow();
    assert_eq!(history.outcome(second), Some(ToldOutcome::NotRun));
    assert_eq!(history.outcome(first), Some(ToldOutcome::Unknown), "superseded");
    assert_eq!(history.runs(&key), 0);
}

#[test]
fn a_request_that_never_reached_its_backend_can_be_sent_again() {
    // Symptom: an order is stuck as unknown though nothing was sent. Events: dispatched, the
    // connection to the backend server is refused, the caller resends. Cause: the dispatch was
    // recorded before the connection was tried.
    let region = three();
    let key = region.key();
    let unreached = GatewayHabits { unreached: true, ..plain() };
    assert_eq!(region.ask(0, &key, "40 t", unreached), Some(ToldOutcome::NotRun));
    assert!(answered(&region.ask(1, &key, "40 t", plain())));
    region.check();
}

#[test]
fn a_broken_run_is_unknown_at_every_gateway() {
    // Symptom: a resend runs an order that had been placed. Events: dispatched, the link to the
    // backend server breaks, the caller resends. Cause: the order may have arrived.
    let region = three();
    let key = region.key();
    let broken = GatewayHabits { broken: true, ..plain() };
    assert_eq!(region.ask(0, &key, "40 t", broken), Some(ToldOutcome::Unknown));
    for vm in 0..4 {
        assert_eq!(region.ask(vm, &key, "40 t", plain()), Some(ToldOutcome::Unknown));
    }
    region.check();
}

#[test]
fn refused_orders_do_not_fill_the_table() {
    // Symptom: after a busy quarter of an hour a region refuses all orders until the next day.
    // Events: admission refuses orders by the thousand, each under a key of its own. Cause: each
    // leaves a record for the whole window, and the table has a bound.
    let settings = ClaimSettings::default().claim_limit(300);
    let region = ClaimWorld::new(1, settings, &REGIONS, 3);
    let refuse = GatewayHabits { refuse: true, ..plain() };
    let first = region.key();
    for minute in 0..30 {
        for _ in 0..20 {
            let key = if minute == 0 { first.clone() } else { region.key() };
            region.send(0, &key, "40 t", refuse.clone());
        }
        region.run_for(SECOND * 60);
    }
    assert_eq!(region.history.borrow().runs(&first), 0);
    assert!(answered(&region.ask(1, &first, "40 t", plain())), "it was not run, so it may");
    assert!(answered(&region.ask(1, &region.key(), "40 t", plain())), "there is room");
    let held = region.vm(1).service.replica(&region.group(0).id).unwrap().record_count();
    assert!(held <= 200, "{held} records, of the last eight minutes");
    region.check();
}

#[test]
fn a_gateway_that_was_suspended_does_not_run_what_it_holds() {
    // Symptom: an order runs hours after its caller gave it up. Events: granted, waiting for
    // capacity; the VM is suspended and resumed; its monotonic clock stood still meanwhile. Cause:
    // by that clock the grant is young.
    let region = three();
    let key = region.key();
    let queue = SECOND;
    let send = region.send(0, &key, "40 t", GatewayHabits { queue, ..plain() });
    region.run_for(SECOND / 2);
    region.vm(0).process.set_wall_offset(3_600_000);
    region.run_for(SECOND * 5);
    assert_eq!(region.history.borrow().outcome(send), Some(ToldOutcome::Unknown));
    assert_eq!(region.history.borrow().runs(&key), 0);
    region.vm(0).process.set_wall_offset(0);
    assert!(answered(&region.ask(1, &key, "40 t", plain())));
    region.check();
}
