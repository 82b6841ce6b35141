//! Tests of replicas that lose their state, their clock or their membership in the group.

mod support;

use {
    gullglade_claim::{ClaimSettings, ReplicaState},
    gullglade_units::OrderKey,
    std::time::Duration,
    support::{ClaimWorld, GatewayBehavior, ReportedOutcome},
};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

/// Three gateways in the claim region, and one in another region.
const REGIONS: [&str; 4] = ["puget", "puget", "puget", "inland"];

fn three_replicas() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 3)
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
fn a_replica_restarted_empty_copies_before_it_votes() {
    // Guards against a second run after one VM restarted. Replicas 0 and 1 decide while 2 is
    // partitioned; then 1 restarts without its state, and the resend reaches 1 and 2, a majority
    // without a record of the key.
    let world = three_replicas();
    let key = world.key();
    world.cut(0, 2, true);
    world.cut(1, 2, true);
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.cut(1, 2, false);
    world.cut(0, 1, true);
    world.restart(1, 0, 0);
    assert_eq!(
        world.send_and_wait(2, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::Unknown)
    );
    assert_eq!(
        world.state(1),
        ReplicaState::Blind,
        "a copy from one of the two others is not enough"
    );
    world.cut(0, 1, false);
    world.run_for(SECOND * 10);
    assert_eq!(world.state(1), ReplicaState::Complete);
    assert!(answered(&world.send_and_wait(2, &key, "40 t", default_behavior())));
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_restart_of_all_replicas_doubles_nothing() {
    // Guards against second runs after a simultaneous restart of all replicas, for example after a
    // power failure. No replica has a record of the key, and an opaque key does not state its age.
    let world = three_replicas();
    let dated = world.key();
    let opaque = OrderKey::try_from("order-17".to_owned()).unwrap();
    for key in [&dated, &opaque] {
        assert!(answered(&world.send_and_wait(0, key, "40 t", default_behavior())));
    }
    (0..3).for_each(|vm| world.restart(vm, 0, 0));
    for _ in 0..4 {
        for key in [&dated, &opaque] {
            assert_eq!(
                world.send_and_wait(1, key, "40 t", default_behavior()),
                Some(ReportedOutcome::Unknown)
            );
        }
        world.run_for(HOUR * 6 - SECOND * 30);
    }
    assert!(
        answered(&world.send_and_wait(2, &world.key(), "1 t", default_behavior())),
        "new keys are accepted"
    );
    world.check();
    world.run_for(HOUR);
    assert_eq!(world.state(0), ReplicaState::Complete, "the retention window has passed");
    assert_eq!(
        world.send_and_wait(1, &dated, "40 t", default_behavior()),
        Some(ReportedOutcome::Unknown),
        "expired"
    );
    assert_eq!(world.history.borrow().runs(&dated), 1);
}

#[test]
fn new_orders_run_within_half_a_minute_of_a_restart_of_all() {
    // Guards against a region that refuses all orders for a day after all replicas restarted. Keys
    // created after the restart cannot have been voted on before.
    let world = three_replicas();
    (0..3).for_each(|vm| world.restart(vm, 0, 0));
    let early = world.key();
    assert_ne!(
        world
            .send_and_wait(0, &early, "40 t", default_behavior())
            .map(|reported| reported == ReportedOutcome::NotRun),
        None
    );
    world.run_for(SECOND * 22);
    assert!(answered(&world.send_and_wait(0, &world.key(), "40 t", default_behavior())));
    world.check();
}

#[test]
fn a_restart_with_the_clock_set_back_doubles_nothing() {
    // Guards against a second run after a restart with clocks that are an hour behind. By those
    // clocks the key was created after the restart.
    let world = three_replicas();
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.restart(0, -3_600_000, 0);
    world.restart(1, -3_600_000, 0);
    world.restart(2, 0, 0);
    world.run_for(HOUR);
    assert_ne!(
        world
            .send_and_wait(1, &key, "40 t", default_behavior())
            .map(|reported| answered(&Some(reported))),
        Some(true)
    );
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_clock_that_steps_while_running_doubles_nothing() {
    // Guards against a second run after clock corrections. Every clock steps ahead by two days and
    // back again, so records past the retention window would look recent again.
    let world = three_replicas();
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    let step = |millis| (0..3).for_each(|vm| world.vm(vm).process.set_wall_offset(millis));
    step(48 * 3_600_000);
    assert!(
        answered(&world.send_and_wait(1, &key, "40 t", default_behavior())),
        "the record is still in force"
    );
    assert_eq!(
        world.send_and_wait(1, &world.key(), "1 t", default_behavior()),
        Some(ReportedOutcome::Unknown)
    );
    step(0);
    assert!(answered(&world.send_and_wait(2, &key, "40 t", default_behavior())));
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn keys_past_the_window_are_refused_without_a_claim_that_they_did_not_run() {
    // Guards against reporting an order as not run after its record was evicted. A missing record
    // proves nothing.
    let world = three_replicas();
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.run_for(HOUR * 25);
    assert_eq!(
        world.send_and_wait(1, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::Unknown)
    );
    assert!(answered(&world.send_and_wait(1, &world.key(), "1 t", default_behavior())));
    let records = world.vm(1).service.replica(&world.group(0).id).unwrap().record_count();
    assert_eq!(records, 1, "the old record has been evicted, so memory is bounded");
    world.check();
}

#[test]
fn a_change_of_members_forgets_nothing() {
    // Guards against a second run while VM 3 replaces VM 1 and only some VMs know of the change.
    // The old members 1 and 2 and the new members 0 and 3 are both majorities.
    let settings = ClaimSettings::default();
    let world = ClaimWorld::new(1, settings, &["puget", "puget", "puget", "puget"], 3);
    let key = world.key();
    world.cut(0, 2, true);
    world.cut(1, 2, true);
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.cut(0, 2, false);
    world.cut(1, 2, false);
    let second = world.key();
    world.change_members(&[0, 3, 2], &[0, 3]);
    world.run_for(SECOND / 50);
    let sends = [1, 3].map(|vm| world.send(vm, &second, "60 t", slow_run()));
    world.run_for(SECOND * 10);
    let reported = sends.map(|send| world.history.borrow().outcome(send));
    assert!(reported.iter().any(answered), "{reported:?}");
    world.kill(1);
    for vm in [0, 3, 2] {
        world.deliver_group(vm);
        world.run_for(SECOND * 5);
        assert!(
            answered(&world.send_and_wait(vm, &key, "40 t", default_behavior())),
            "gateway {vm}"
        );
    }
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_vote_of_a_run_that_has_ended_does_not_count() {
    // Guards against a second run due to a vote whose replica has lost its state. Replica 0 accepts
    // the dispatch of gateway 3 and restarts, copies from 1 and 2, and then votes for gateway 2.
    // After that, replica 1 receives the first dispatch.
    let settings = ClaimSettings::default().call_limit(SECOND * 10);
    let world = ClaimWorld::new(1, settings, &REGIONS, 3);
    let key = world.key();
    world.cut(3, 2, true);
    let queue = SECOND / 2;
    world.send(3, &key, "40 t", GatewayBehavior { queue, ..default_behavior() });
    world.run_for(SECOND / 4);
    world.slow(3, 1, SECOND * 6);
    world.run_for(SECOND / 2);
    world.restart(0, 0, 0);
    world.run_for(SECOND / 2);
    assert_eq!(world.state(0), ReplicaState::Complete);
    world.cut(2, 1, true);
    world.send(2, &key, "40 t", GatewayBehavior { wait: SECOND * 5, ..default_behavior() });
    world.run_for(SECOND * 30);
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_promise_of_a_run_that_has_ended_is_not_dispatched_upon() {
    // Guards against a run after the caller was told "not run". A send is granted by both replicas
    // and waits for capacity. During a partition, a resend at 0 is refused as not run; then 0
    // restarts and copies from 1, which has no record of the refusal, and the first send
    // dispatches.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2);
    let key = world.key();
    let queue = SECOND * 20;
    let first = world.send(1, &key, "40 t", GatewayBehavior { queue, ..default_behavior() });
    world.run_for(SECOND);
    world.cut(0, 1, true);
    assert_eq!(
        world.send_and_wait(0, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::NotRun)
    );
    world.restart(0, 0, 0);
    world.cut(0, 1, false);
    world.run_for(SECOND * 5);
    assert_eq!(world.state(0), ReplicaState::Complete);
    world.run_for(SECOND * 30);
    world.check();
    let history = world.history.borrow();
    assert!(matches!(
        history.outcome(first),
        Some(ReportedOutcome::Unknown | ReportedOutcome::NotRun)
    ));
    assert_eq!(history.runs(&key), 0);
}

#[test]
fn replicas_that_cannot_help_each_other_do_not_copy_on_and_on() {
    // Guards against saturated links after all replicas restarted. Each replica retries every few
    // seconds to become complete, and must not copy the records of others that are not complete
    // either.
    let world = three_replicas();
    (0..3).for_each(|vm| world.restart(vm, 0, 0));
    world.run_for(SECOND * 30);
    for _ in 0..200 {
        world.send(0, &world.key(), "40 t", default_behavior());
    }
    world.run_for(SECOND * 10);
    let before = world.network.bytes.get();
    world.run_for(SECOND * 80);
    let (copy_size, copied) = (200 * 100, world.network.bytes.get() - before);
    assert!(
        copied < copy_size,
        "copied {copied} B in 80 s, one copy of all records is {copy_size} B"
    );
}

#[test]
fn a_not_run_told_on_the_word_of_one_memory_outlives_it() {
    // Guards against a run after the caller was told "not run". One of two concurrent sends is
    // refused at gateway 0 on the vote of its own replica alone, which restarts before the other
    // replica learns of the refusal. The other send then proceeds.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2);
    let key = world.key();
    let refuse = GatewayBehavior { refuse: true, ..default_behavior() };
    let refused = world.send(0, &key, "40 t", refuse);
    world.run_for(SECOND / 1000);
    let queue = SECOND / 50;
    let other =
        world.send(2, &key, "40 t", GatewayBehavior { queue, wait: SECOND, ..default_behavior() });
    world.run_for(SECOND / 1000);
    world.restart(0, 0, 0);
    world.run_for(SECOND * 10);
    world.check();
    let history = world.history.borrow();
    assert_eq!(history.outcome(refused), Some(ReportedOutcome::NotRun));
    assert_ne!(
        history.outcome(other),
        Some(ReportedOutcome::NotRun).filter(|_| history.runs(&key) > 0)
    );
}

#[test]
fn an_epoch_begins_when_its_end_is_known_to_a_quorum_of_the_one_before() {
    // Guards against a second run after VM 2 joins 0 and 1 while 1 is partitioned. Replicas 0 and 2
    // decide a key; then 0 restarts with the old configuration, and could decide it again with 1,
    // because only 0 knew that the old epoch had ended.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 2);
    [0, 2].into_iter().for_each(|vm| world.cut(vm, 1, true));
    world.change_members(&[0, 1, 2], &[0, 2]);
    world.run_for(SECOND);
    let key = world.key();
    let early = world.send_and_wait(0, &key, "40 t", default_behavior());
    assert!(!answered(&early), "the epoch may not have begun: {early:?}");
    world.cut(0, 1, false);
    world.restart(0, 0, 1);
    world.run_for(SECOND * 30);
    assert!(answered(&world.send_and_wait(1, &key, "40 t", default_behavior())));
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_blind_replica_asks_whether_its_epoch_still_stands() {
    // Guards against a second run after VM 3 replaced VM 2, which is partitioned and unaware of the
    // change. Replica 0 restarts with the old configuration and reaches only 2, and the two are a
    // quorum of the old epoch.
    let settings = ClaimSettings::default();
    let world = ClaimWorld::new(1, settings, &["puget", "puget", "puget", "puget"], 3);
    [0, 1, 3].into_iter().for_each(|vm| world.cut(2, vm, true));
    world.change_members(&[0, 1, 3], &[0, 1, 3]);
    world.run_for(SECOND * 10);
    [1, 3].into_iter().for_each(|vm| world.cut(0, vm, true));
    world.cut(0, 2, false);
    world.restart(0, 0, 1);
    world.run_for(SECOND * 60);
    let key = world.key();
    assert!(!answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    assert!(answered(&world.send_and_wait(1, &key, "40 t", default_behavior())));
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}

#[test]
fn a_run_that_counts_as_older_than_the_last_one_never_votes() {
    // Guards against counting votes of an incarnation whose state is lost. A VM restarts twice, the
    // second time with its clock far behind, so that the current incarnation is lower than the lost
    // one.
    let world = three_replicas();
    world.restart(0, 0, 0);
    world.run_for(SECOND * 10);
    assert_eq!(world.state(0), ReplicaState::Complete);
    assert_eq!(world.vm(0).events.count("claim.replica.blind"), 1);
    assert_eq!(world.vm(0).events.count("claim.replica.complete"), 1);
    world.set_last_incarnation(0);
    world.restart(0, -3_600_000, 0);
    world.run_for(SECOND * 10);
    assert_eq!(world.state(0), ReplicaState::Stale);
    assert_eq!(world.vm(0).events.count("claim.replica.stale"), 1);
    assert!(
        answered(&world.send_and_wait(0, &world.key(), "40 t", default_behavior())),
        "the other two replicas decide"
    );
    world.check();
}

#[test]
fn a_replica_restarted_into_an_epoch_that_is_over_has_lost_its_votes_in_the_next() {
    // Guards against a second run after a member left and another restarted. Replica 0 alone
    // decides a key, restarts with the old configuration, copies the old epoch from 1 and then
    // learns of the new one. Having held the claims of the old epoch does not make it complete in
    // the new one.
    let world = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 2);
    world.change_members(&[0], &[0, 1, 2, 3]);
    world.run_for(SECOND);
    let key = world.key();
    assert!(answered(&world.send_and_wait(0, &key, "40 t", default_behavior())));
    world.restart(0, 0, 1);
    world.run_for(SECOND);
    world.deliver_group(0);
    world.run_for(SECOND * 60);
    assert_eq!(
        world.send_and_wait(3, &key, "40 t", default_behavior()),
        Some(ReportedOutcome::Unknown)
    );
    world.check();
    assert_eq!(world.history.borrow().runs(&key), 1);
}
