//! Tests of orders under a lease that is lost, taken over, or held by a VM that does not know of
//! its successor.

mod support;

use {
    gullglade_order::{DispatcherState, FenceNumber, OrderError, OrderOutcome, OrderSettings},
    std::time::Duration,
    support::{LEASE_DURATION, OrderVm, OrderWorld, SECOND, load},
};

fn held_fence(vm: &OrderVm) -> Option<FenceNumber> {
    match vm.dispatcher.state() {
        DispatcherState::Holding { fence, .. } => Some(fence),
        DispatcherState::Waiting { .. } => None,
    }
}

fn start_vm(world: &OrderWorld, name: &str) -> OrderVm {
    let vm = world.vm(name);
    world.world.run_for(SECOND);
    vm
}

#[test]
fn partitioned_holder_stops_before_its_successor_starts() {
    // Guards against orders of two VMs in alternation at an engine that ignores fencing. The holder
    // is partitioned from the control log, though not from the engines, and another VM takes the
    // lease. Both are asked to send orders all the time.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = start_vm(&world, "first");
    let second = start_vm(&world, "second");
    assert_eq!((held_fence(&first), held_fence(&second)), (Some(FenceNumber(1)), None));
    first.cut_off.set(true);
    for round in 0..400 {
        for (vm, engine) in [(&first, "ignores"), (&second, "ignores"), (&second, "checks")] {
            world.start(vm, load(&format!("{round}-{engine}"), engine, 0));
        }
        world.world.run_for(SECOND / 10);
    }
    assert_eq!(held_fence(&second), Some(FenceNumber(2)));
    world.world.run_for(SECOND * 3600);
    assert_eq!(held_fence(&first), None);
    assert_eq!(world.ordering_fault(), None);
    let fences: Vec<_> = world.records("ignores").iter().map(|record| record.fence.0).collect();
    assert!(fences.contains(&1) && fences.contains(&2), "both sent orders during their leases");

    first.cut_off.set(false);
    world.world.run_for(SECOND * 30);
    assert_eq!(held_fence(&first), None, "it does not resume its old lease");
    let refused = world.submit(&first, load("late", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn engines_that_check_fencing_need_no_wait_for_the_predecessor() {
    // Guards against an unnecessary wait before orders to engines that check fencing. Only an
    // engine that ignores fencing would obey the predecessor.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = start_vm(&world, "first");
    world.revoke();
    let second = start_vm(&world, "second");
    let begin = world.world.now();
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    assert!(world.world.now().since(begin) < SECOND);
    assert_eq!(world.submit(&second, load("b", "ignores", 0)), Ok(OrderOutcome::Taken));
    assert!(
        world.world.now().since(begin) > SECOND * 5,
        "it waited for the end of the first one's lease"
    );
    drop(first);
    assert_eq!(world.ordering_fault(), None);
}

#[test]
fn stale_fencing_number_ends_the_lease_for_all_engines() {
    // Guards against an old holder that keeps sending orders to engines that ignore fencing after
    // an engine that checks it has refused one. The refusal proves that there is a newer holder.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = start_vm(&world, "first");
    first.cut_off.set(true);
    world.revoke();
    let second = start_vm(&world, "second");
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    let begin = world.world.now();
    let refused = world.submit(&first, load("b", "checks", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::LeaseEnded { .. }), "{refused}");
    assert!(
        world.world.now().since(begin) < SECOND,
        "by its own clock the lease would last longer"
    );
    let refused = world.submit(&first, load("c", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn resumed_vm_sends_no_orders_after_its_lease_ended() {
    // Guards against orders hours after the lease ended. The VM is suspended and resumed; its
    // monotonic clock stopped meanwhile, so by that clock the lease is recent.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = start_vm(&world, "first");
    first.cut_off.set(true);
    first.process.set_wall_offset(3_600_000);
    let refused = world.submit(&first, load("a", "ignores", 0)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
    assert!(world.records("ignores").is_empty());
}

#[test]
fn two_successions_within_one_lease_leave_one_active_holder() {
    // Guards against an order of the first of three holders after one of the third. The lease is
    // revoked from the first and the second in quick succession, and both still send orders. The
    // third must wait for both.
    let world = OrderWorld::new(1, OrderSettings::default());
    let vms = ["first", "second", "third"].map(|name| {
        world.revoke();
        let vm = start_vm(&world, name);
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
    world.world.run_for(LEASE_DURATION * 2);
    assert_eq!(world.ordering_fault(), None);
    assert!(world.records("ignores").iter().any(|record| record.fence == FenceNumber(3)));
}

#[test]
fn order_is_carried_out_once_per_id() {
    // Guards against loading weights twice when an operator resends an order whose answer was lost,
    // at once, later, and at a new holder.
    let world = OrderWorld::new(1, OrderSettings::default());
    let first = start_vm(&world, "first");
    world.lose_answers("checks", 1);
    world.start(&first, load("a", "checks", 0));
    let again = world.submit(&first, load("a", "checks", 0));
    assert_eq!(again, Ok(OrderOutcome::Taken), "the resend waits for the same outcome");
    assert_eq!(world.submit(&first, load("a", "checks", 0)), Ok(OrderOutcome::Taken));
    let sent = world.records("checks").len();
    assert_eq!(sent, 2, "once, and once more because its answer was lost");

    first.process.kill();
    world.revoke();
    let second = start_vm(&world, "second");
    assert_eq!(world.submit(&second, load("a", "checks", 0)), Ok(OrderOutcome::AlreadyTaken));
    assert_eq!(world.records("checks").len(), sent);
    let reused = world.submit(&second, load("a", "checks", 5)).unwrap_err();
    assert_eq!(reused, OrderError::IdReused { id: load("a", "checks", 5).id });
}

#[test]
fn order_that_waits_past_the_lease_is_not_sent() {
    // Guards against sending an order under a lease that has ended. The order waits for the weight
    // store's rate limit longer than the lease lasts, while the holder is partitioned.
    let settings = OrderSettings::default().weight_rate(1 << 20).weight_burst(1 << 30);
    let world = OrderWorld::new(1, settings);
    let first = start_vm(&world, "first");
    first.cut_off.set(true);
    let refused = world.submit(&first, load("a", "checks", 60 << 20)).unwrap_err();
    assert!(matches!(refused, OrderError::LeaseEnded { .. }), "{refused}");
    assert!(world.records("checks").is_empty());
    let refused = world.submit(&first, load("b", "checks", 2 << 30)).unwrap_err();
    assert!(matches!(refused, OrderError::NotHolder { .. }), "{refused}");
}

#[test]
fn slow_links_do_not_deliver_an_order_past_the_lease() {
    // Guards against an order of the old holder that arrives after one of the new holder. The grant
    // arrives late, the holder is partitioned, and it sends just before the end of its lease over a
    // link that takes almost the whole time limit. The lease must be counted from the request, and
    // its end must allow for the time to send.
    let settings = OrderSettings::default().delivery_limit(Duration::ZERO);
    let world = OrderWorld::new(1, settings);
    let first = world.vm("first");
    first.extra_delay.set(Duration::from_millis(1800));
    world.world.run_for(SECOND * 2);
    assert_eq!(held_fence(&first), Some(FenceNumber(1)));
    first.cut_off.set(true);
    let second = start_vm(&world, "second");
    for round in 0..300 {
        world.start(&first, load(&format!("first-{round}"), "ignores", 0));
        world.start(&second, load(&format!("second-{round}"), "ignores", 0));
        world.world.run_for(SECOND / 10);
    }
    assert_eq!(world.ordering_fault(), None);
    let fences: Vec<_> = world.records("ignores").iter().map(|record| record.fence.0).collect();
    assert!(fences.contains(&1) && fences.contains(&2), "{fences:?}");
}
