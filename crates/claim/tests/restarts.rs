//! Replicas that lose their memory, their clock or their place in the group.

mod support;

use {
    gullglade_claim::{ClaimSettings, ReplicaState},
    gullglade_units::OrderKey,
    std::time::Duration,
    support::{ClaimWorld, GatewayHabits, ToldOutcome},
};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

/// Three gateways of the claim region, and one elsewhere.
const REGIONS: [&str; 4] = ["puget", "puget", "puget", "inland"];

fn three() -> ClaimWorld {
    ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 3)
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
fn a_replica_restarted_empty_copies_before_it_votes() {
    // Symptom: an order is doubled after one VM restarted. Events: replicas 0 and 1 decide while 2
    // is cut off; 1 restarts without its memory; the resend reaches 1 and 2. Cause: the two that
    // know nothing are a majority.
    let region = three();
    let key = region.key();
    region.cut(0, 2, true);
    region.cut(1, 2, true);
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.cut(1, 2, false);
    region.cut(0, 1, true);
    region.restart(1, 0, 0);
    assert_eq!(region.ask(2, &key, "40 t", plain()), Some(ToldOutcome::Unknown));
    assert_eq!(region.state(1), ReplicaState::Blind, "one of the two others is not enough");
    region.cut(0, 1, false);
    region.run_for(SECOND * 10);
    assert_eq!(region.state(1), ReplicaState::Complete);
    assert!(answered(&region.ask(2, &key, "40 t", plain())));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_restart_of_all_replicas_doubles_nothing() {
    // Symptom: after a power cut in the region yesterday's orders run again. Events: orders under
    // a dated and an opaque key run; all replicas restart at once; both are resent, for a day.
    // Cause: nobody remembers, and an opaque key does not tell its age.
    let region = three();
    let dated = region.key();
    let opaque = OrderKey::try_from("order-17".to_owned()).unwrap();
    for key in [&dated, &opaque] {
        assert!(answered(&region.ask(0, key, "40 t", plain())));
    }
    (0..3).for_each(|vm| region.restart(vm, 0, 0));
    for _ in 0..4 {
        for key in [&dated, &opaque] {
            assert_eq!(region.ask(1, key, "40 t", plain()), Some(ToldOutcome::Unknown));
        }
        region.run_for(HOUR * 6 - SECOND * 30);
    }
    assert!(answered(&region.ask(2, &region.key(), "1 t", plain())), "new keys are taken");
    region.check();
    region.run_for(HOUR);
    assert_eq!(region.state(0), ReplicaState::Complete, "the window has passed");
    assert_eq!(region.ask(1, &dated, "40 t", plain()), Some(ToldOutcome::Unknown), "expired");
    assert_eq!(region.history.borrow().runs(&dated), 1);
}

#[test]
fn new_orders_run_within_half_a_minute_of_a_restart_of_all() {
    // Symptom: a region takes no orders for a day after a power cut. Events: all replicas restart
    // at once; callers make new keys. Cause: replicas that refuse whatever they may have forgotten
    // also refuse what they cannot have known.
    let region = three();
    (0..3).for_each(|vm| region.restart(vm, 0, 0));
    let early = region.key();
    assert_ne!(
        region.ask(0, &early, "40 t", plain()).map(|told| told == ToldOutcome::NotRun),
        None
    );
    region.run_for(SECOND * 22);
    assert!(answered(&region.ask(0, &region.key(), "40 t", plain())));
    region.check();
}

#[test]
fn a_restart_with_the_clock_set_back_doubles_nothing() {
    // Symptom: an order is doubled after VMs came back with an old time of day. Events: the order
    // runs; all replicas restart, 0 and 1 with clocks an hour behind; an hour later it is resent.
    // Cause: by those clocks the key was made after the restart.
    let region = three();
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.restart(0, -3_600_000, 0);
    region.restart(1, -3_600_000, 0);
    region.restart(2, 0, 0);
    region.run_for(HOUR);
    assert_ne!(region.ask(1, &key, "40 t", plain()).map(|told| answered(&Some(told))), Some(true));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_clock_that_steps_while_running_doubles_nothing() {
    // Symptom: an order is doubled after the clocks of a region were corrected. Events: the order
    // runs; every clock steps ahead two days, orders come in, the clocks step back; the resend
    // arrives. Cause: records that were dropped as past the window are young again.
    let region = three();
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    let step = |millis| (0..3).for_each(|vm| region.vm(vm).process.set_wall_offset(millis));
    step(48 * 3_600_000);
    assert!(answered(&region.ask(1, &key, "40 t", plain())), "the record still stands");
    assert_eq!(region.ask(1, &region.key(), "1 t", plain()), Some(ToldOutcome::Unknown));
    step(0);
    assert!(answered(&region.ask(2, &key, "40 t", plain())));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn keys_past_the_window_are_refused_without_a_claim_that_they_did_not_run() {
    // Symptom: a caller resends an order of two days ago, is told it was not run, and orders
    // anew. Events: the order ran, the window passed, the record is gone. Cause: no record is no
    // proof.
    let region = three();
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.run_for(HOUR * 25);
    assert_eq!(region.ask(1, &key, "40 t", plain()), Some(ToldOutcome::Unknown));
    assert!(answered(&region.ask(1, &region.key(), "1 t", plain())));
    let held = region.vm(1).service.replica(&region.group(0).id).unwrap().record_count();
    assert_eq!(held, 1, "the old record is gone, so memory is bounded");
    region.check();
}

#[test]
fn a_change_of_members_forgets_nothing() {
    // Symptom: an order is doubled while a VM is being replaced. Events: the order runs at 0 and 1;
    // 3 takes the place of 1; only 0 and 3 hear of it; the resend comes to each gateway. Cause: the
    // old members 1 and 2 and the new members 0 and 3 are both majorities.
    let settings = ClaimSettings::default();
    let region = ClaimWorld::new(1, settings, &["puget", "puget", "puget", "puget"], 3);
    let key = region.key();
    region.cut(0, 2, true);
    region.cut(1, 2, true);
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.cut(0, 2, false);
    region.cut(1, 2, false);
    let second = region.key();
    region.regroup(&[0, 3, 2], &[0, 3]);
    region.run_for(SECOND / 50);
    let sends = [1, 3].map(|vm| region.send(vm, &second, "60 t", slow()));
    region.run_for(SECOND * 10);
    let told = sends.map(|send| region.history.borrow().outcome(send));
    assert!(told.iter().any(answered), "{told:?}");
    region.kill(1);
    for vm in [0, 3, 2] {
        region.tell(vm);
        region.run_for(SECOND * 5);
        assert!(answered(&region.ask(vm, &key, "40 t", plain())), "gateway {vm}");
    }
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_vote_of_a_run_that_has_ended_does_not_count() {
    // Symptom: an order is doubled though every replica copied before it voted. Events: gateway 3
    // has the dispatch of its send recorded at 0, and waits for 1; 0 restarts and copies from 1 and
    // 2; gateway 2 claims the key at 0 and 2; now 1 hears of the first dispatch. Cause: the first
    // vote counts on a memory that is gone.
    let settings = ClaimSettings::default().call_limit(SECOND * 10);
    let region = ClaimWorld::new(1, settings, &REGIONS, 3);
    let key = region.key();
    region.cut(3, 2, true);
    let queue = SECOND / 2;
    region.send(3, &key, "40 t", GatewayHabits { queue, ..plain() });
    region.run_for(SECOND / 4);
    region.slow(3, 1, SECOND * 6);
    region.run_for(SECOND / 2);
    region.restart(0, 0, 0);
    region.run_for(SECOND / 2);
    assert_eq!(region.state(0), ReplicaState::Complete);
    region.cut(2, 1, true);
    region.send(2, &key, "40 t", GatewayHabits { wait: SECOND * 5, ..plain() });
    region.run_for(SECOND * 30);
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_promise_of_a_run_that_has_ended_is_not_dispatched_upon() {
    // Symptom: a caller told "not run" orders by telephone, and the order runs after all. Events:
    // a send is granted by both replicas and waits for capacity; while they are cut off from each
    // other a resend at 0 is refused as not run; 0 restarts and copies from 1, which knows nothing
    // of the refusal; the first send dispatches. Cause: the refusal was recorded in one memory.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2);
    let key = region.key();
    let queue = SECOND * 20;
    let first = region.send(1, &key, "40 t", GatewayHabits { queue, ..plain() });
    region.run_for(SECOND);
    region.cut(0, 1, true);
    assert_eq!(region.ask(0, &key, "40 t", plain()), Some(ToldOutcome::NotRun));
    region.restart(0, 0, 0);
    region.cut(0, 1, false);
    region.run_for(SECOND * 5);
    assert_eq!(region.state(0), ReplicaState::Complete);
    region.run_for(SECOND * 30);
    region.check();
    let history = region.history.borrow();
    assert!(matches!(history.outcome(first), Some(ToldOutcome::Unknown | ToldOutcome::NotRun)));
    assert_eq!(history.runs(&key), 0);
}

#[test]
fn replicas_that_cannot_help_each_other_do_not_copy_on_and_on() {
    // Symptom: a region's links are full for a day after a power cut. Events: all replicas restart,
    // take new orders, and try every few seconds to become complete. Cause: each try copies the
    // others' records, though none of them is complete.
    let region = three();
    (0..3).for_each(|vm| region.restart(vm, 0, 0));
    region.run_for(SECOND * 30);
    for _ in 0..200 {
        region.send(0, &region.key(), "40 t", plain());
    }
    region.run_for(SECOND * 10);
    let before = region.network.bytes.get();
    region.run_for(SECOND * 80);
    let (held, copied) = (200 * 100, region.network.bytes.get() - before);
    assert!(copied < held, "{copied} B in 80 s, one copy of all records is {held} B");
}

#[test]
fn a_not_run_told_on_the_word_of_one_memory_outlives_it() {
    // Symptom: a caller told "not run" orders by telephone, and the order runs after all. Events:
    // of two sends at once one is refused at gateway 0 and told "not run" on its own replica's word;
    // 0 dies before the other replica hears of it, restarts and copies from there; the other send
    // goes on. Cause: the only memory of the refusal is gone.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS[1..], 2);
    let key = region.key();
    let refuse = GatewayHabits { refuse: true, ..plain() };
    let refused = region.send(0, &key, "40 t", refuse);
    region.run_for(SECOND / 1000);
    let queue = SECOND / 50;
    let other = region.send(2, &key, "40 t", GatewayHabits { queue, wait: SECOND, ..plain() });
    region.run_for(SECOND / 1000);
    region.restart(0, 0, 0);
    region.run_for(SECOND * 10);
    region.check();
    let history = region.history.borrow();
    assert_eq!(history.outcome(refused), Some(ToldOutcome::NotRun));
    assert_ne!(
        history.outcome(other),
        Some(ToldOutcome::NotRun).filter(|_| history.runs(&key) > 0)
    );
}

#[test]
fn an_epoch_begins_when_its_end_is_known_to_a_quorum_of_the_one_before() {
    // Symptom: an order is doubled after a third VM joined two. Events: 2 joins 0 and 1, and 1 is
    // cut off and does not hear of it; 0 and 2 decide a key; 0 restarts on old configuration, and
    // decides it again with 1. Cause: of the two members only 0 knew that their epoch had ended.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 2);
    [0, 2].into_iter().for_each(|vm| region.cut(vm, 1, true));
    region.regroup(&[0, 1, 2], &[0, 2]);
    region.run_for(SECOND);
    let key = region.key();
    let early = region.ask(0, &key, "40 t", plain());
    assert!(!answered(&early), "the epoch may not have begun: {early:?}");
    region.cut(0, 1, false);
    region.restart(0, 0, 1);
    region.run_for(SECOND * 30);
    assert!(answered(&region.ask(1, &key, "40 t", plain())));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_blind_replica_asks_whether_its_epoch_still_stands() {
    // Symptom: an order is doubled after a VM was replaced. Events: 3 takes the place of 2, which
    // is cut off and does not hear of it; 0 restarts on old configuration and reaches 2 only; both
    // are asked for a key made since; so are 1 and 3. Cause: 0 and 2 are a quorum of the old epoch.
    let settings = ClaimSettings::default();
    let region = ClaimWorld::new(1, settings, &["puget", "puget", "puget", "puget"], 3);
    [0, 1, 3].into_iter().for_each(|vm| region.cut(2, vm, true));
    region.regroup(&[0, 1, 3], &[0, 1, 3]);
    region.run_for(SECOND * 10);
    [1, 3].into_iter().for_each(|vm| region.cut(0, vm, true));
    region.cut(0, 2, false);
    region.restart(0, 0, 1);
    region.run_for(SECOND * 60);
    let key = region.key();
    assert!(!answered(&region.ask(0, &key, "40 t", plain())));
    assert!(answered(&region.ask(1, &key, "40 t", plain())));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}

#[test]
fn a_run_that_counts_as_older_than_the_last_one_never_votes() {
    // Symptom: votes of a lost memory count. Events: a VM restarts twice, the second time with its
    // clock far behind, so that its run has a lower number. Cause: the others would take the lost
    // run for the present one.
    let region = three();
    region.restart(0, 0, 0);
    region.run_for(SECOND * 10);
    assert_eq!(region.state(0), ReplicaState::Complete);
    assert_eq!(region.vm(0).events.count("claim.replica.blind"), 1);
    assert_eq!(region.vm(0).events.count("claim.replica.complete"), 1);
    region.set_run(0);
    region.restart(0, -3_600_000, 0);
    region.run_for(SECOND * 10);
    assert_eq!(region.state(0), ReplicaState::Stale);
    assert_eq!(region.vm(0).events.count("claim.replica.stale"), 1);
    assert!(answered(&region.ask(0, &region.key(), "40 t", plain())), "by the other two");
    region.check();
}

#[test]
fn a_replica_restarted_into_an_epoch_that_is_over_has_lost_its_votes_in_the_next() {
    // Symptom: an order is doubled after a member left and another restarted. Events: 1 leaves 0
    // alone, 0 decides a key; 0 restarts on old configuration, copies the old epoch from 1, and
    // then hears of the new one. Cause: having held the old epoch's claims, it takes itself for
    // one that goes on into the new.
    let region = ClaimWorld::new(1, ClaimSettings::default(), &REGIONS, 2);
    region.regroup(&[0], &[0, 1, 2, 3]);
    region.run_for(SECOND);
    let key = region.key();
    assert!(answered(&region.ask(0, &key, "40 t", plain())));
    region.restart(0, 0, 1);
    region.run_for(SECOND);
    region.tell(0);
    region.run_for(SECOND * 60);
    assert_eq!(region.ask(3, &key, "40 t", plain()), Some(ToldOutcome::Unknown));
    region.check();
    assert_eq!(region.history.borrow().runs(&key), 1);
}
