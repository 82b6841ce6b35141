//! Orders under a lease that is lost, taken over, or held by a VM that does not know better.

mod support;

use {
    gullglade_order::{DispatcherState, FenceNumber, OrderError, OrderOutcome, OrderSettings},
    std::time::Duration,
    support::{LEASE, OrderVm, OrderWorld, SECOND, load},
};

fn holds(vm: &OrderVm) -> Option<FenceNumber> {
    match vm.dispatcher.state() {
        DispatcherState::Holding { fence, .. } => Some(fence),
        DispatcherState::Waiting { .. } => None,
    }
}

fn started(world: &OrderWorld, name: &str) -> OrderVm {
    let vm = world.vm(name);
    world.world.run_for(SECOND);
    vm
}

#[test]
fn a_holder_cut_off_stops_before_its_successor_starts() {
    // Symptom: an engine that ignores fencing numbers loads what two VMs order in turns. Events:
    // the holder is cut off from the control log, silently and for an hour, though not from the
    // engines; another VM takes the lease; both are asked to give orders all the time. Cause: the
    // first cannot know of the second.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = started(&world, "first");
    let second = started(&world, "second");
    assert_eq!((holds(&first), holds(&second)), (Some(FenceNumber(1)), None));
    first.cut_off.set(true);
    for round in 0..400 {
        for (vm, engine) in [(&first, "ignores"), (&second, "ignores"), (&second, "checks")] {
            world.start(vm, load(&format!("{round}-{engine}"), engine, 0));
        }
        world.world.run_for(SECOND / 10);
    }
    assert_eq!(holds(&second), Some(FenceNumber(2)));
    world.world.run_for(SECOND * 3600);
    assert_eq!(holds(&first), None);
    assert_eq!(world.ordering_fault(), None);
    let fences: Vec<_> = world.records("ignores").iter().map(|record| record.fence.0).collect();
    assert!(fences.contains(&1) && fences.contains(&2), "both gave orders in their time");

    first.cut_off.set(false);
    world.world.run_for(SECOND * 30);
    assert_eq!(holds(&first), None, "it does not take up its old lease");
    let refused = world.submit(&first, load("late", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn engines_that_check_need_no_waiting() {
    // Symptom: engines stand without a model while a new holder waits for nothing. Events: the
    // control log takes the lease from a holder that still believes in it. Cause: waiting out the
    // predecessor is needed only where an engine would obey it.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = started(&world, "first");
    world.revoke();
    let second = started(&world, "second");
    let begin = world.world.now();
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    assert!(world.world.now().since(begin) < SECOND);
    assert_eq!(world.submit(&second, load("b", "ignores", 0)), Ok(OrderOutcome::Taken));
    assert!(world.world.now().since(begin) > SECOND * 5, "it waited for the first one's end");
    drop(first);
    assert_eq!(world.ordering_fault(), None);
}

#[test]
fn a_refused_number_ends_the_lease_towards_all_engines() {
    // Symptom: an old holder goes on with engines that do not check. Events: the lease is taken
    // from it, the new holder orders at an engine that checks, the old one is refused there and
    // turns to one that does not. Cause: the refusal is taken for that engine's matter.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = started(&world, "first");
    first.cut_off.set(true);
    world.revoke();
    let second = started(&world, "second");
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    let begin = world.world.now();
    let refused = world.submit(&first, load("b", "checks", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::LeaseEnded { .. }), "{refused}");
    assert!(world.world.now().since(begin) < SECOND, "its own count would last longer");
    let refused = world.submit(&first, load("c", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn a_vm_that_was_suspended_gives_no_orders_when_it_wakes() {
    // Symptom: an old holder gives orders hours after its lease ended. Events: its VM is suspended
    // and resumed; the monotonic clock stood still meanwhile, the wall clock did not. Cause: by
    // the monotonic clock the lease is young.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = started(&world, "first");
    first.cut_off.set(true);
    first.process.set_wall_offset(3_600_000);
    let refused = world.submit(&first, load("a", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
    assert!(world.records("ignores").is_empty());
}

#[test]
fn two_successions_within_one_lease_leave_one_voice() {
    // Symptom: an order of the first of three holders is obeyed after the third's. Events: the
    // lease is taken from the first and from the second at once, each cut off and still giving
    // orders. Cause: the third waits for the second only.
    let world = OrderWorld::new(1, OrderSettings::default());
    let vms = ["first", "second", "third"].map(|name| {
        world.revoke();
        let vm = started(&world, name);
        vm.cut_off.set(true);
        vm
    });
    for round in 0..200 {
        for (number, vm) in vms.iter().enumerate() {
            world.start(vm, load(&format!("{round}-{number}"), "ignores", 0));
        }
        vms[2].cut_off.set(false);
        world.world.run_for(SECOND / 10);
    }
    world.world.run_for(LEASE * 2);
    assert_eq!(world.ordering_fault(), None);
    assert!(world.records("ignores").iter().any(|record| record.fence == FenceNumber(3)));
}

#[test]
fn an_order_is_given_once_under_its_id() {
    // Symptom: weights are fetched twice. Events: an operator resends an order whose answer was
    // lost, at once, later, and at a new holder. Cause: nobody remembers it.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = started(&world, "first");
    world.lose_answers("checks", 1);
    world.start(&first, load("a", "checks", 0));
    let again = world.submit(&first, load("a", "checks", 0));
    assert_eq!(again, Ok(OrderOutcome::Taken), "the resend waits for the same outcome");
    assert_eq!(world.submit(&first, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    let sent = world.records("checks").len();
    assert_eq!(sent, 2, "once, and once more because its answer was lost");

    first.process.kill();
    world.revoke();
    let second = started(&world, "second");
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::AlreadyTaken));
    assert_eq!(world.records("checks").len(), sent);
    let reused = world.submit(&second, load("a", "checks", 5)).unwrap_err();
    assert_eq!(reused, OrderError::IdReused { id: load("a", "checks", 5).id });
}

#[test]
fn an_order_that_outlasts_the_lease_is_not_sent() {
    // Symptom: an order arrives under a lease that ended. Events: the order waits for the weight
    // store longer than the lease lasts, and the holder is cut off meanwhile. Cause: the lease was
    // good when the order was asked for.
    let settings = OrderSettings::default().weight_rate(1 << 20).weight_burst(1 << 30);
    let world = OrderWorld::new(1, settings);
    let first = started(&world, "first");
    first.cut_off.set(true);
    let refused = world.submit(&first, load("a", "checks", 60 << 20)).unwrap_err();
    assert!(matches!(refused, OrderError::LeaseEnded { .. }), "{refused}");
    assert!(world.records("checks").is_empty());
    let refused = world.submit(&first, load("b", "checks", 2 << 30)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn slow_links_do_not_carry_an_order_past_the_lease() {
    // Symptom: an order of the old holder arrives after the new one's. Events: the old holder's
    // lease is answered late and lasts less than it seems; it is cut off; it sends just before its
    // end, over a link that takes almost the whole time allowed for a sending. Cause: the end was
    // counted from the answer, or checked when the order left.
    let settings = OrderSettings::default().delivery_limit(Duration::ZERO);
    let world = OrderWorld::new(1, settings);
    let first = world.vm("first");
    first.slow.set(Duration::from_millis(1800));
    world.world.run_for(SECOND * 2);
    assert_eq!(holds(&first), Some(FenceNumber(1)));
    first.cut_off.set(true);
    let second = started(&world, "second");
    for round in 0..300 {
        world.start(&first, load(&format!("first-{round}"), "ignores", 0));
        world.start(&second, load(&format!("second-{round}"), "ignores", 0));
        world.world.run_for(SECOND / 10);
    }
    assert_eq!(world.ordering_fault(), None);
    let fences: Vec<_> = world.records("ignores").iter().map(|record| record.fence.0).collect();
    assert!(fences.contains(&1) && fences.contains(&2), "{fences:?}");
}
