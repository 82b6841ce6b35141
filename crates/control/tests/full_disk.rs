//! Voters with full disks.

mod support;

use {
    gullglade_control::{ChangeError, TrafficChange, TrafficOutcome},
    gullglade_peer::fake::FakeLink,
    gullglade_units::timeout,
    std::{rc::Rc, time::Duration},
    support::cluster::Cluster,
};

/// The one-way delay between VMs.
const LINK: Duration = Duration::from_millis(10);

/// The time within which a log with a quorum of working disks acknowledges a change.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(6);

fn configure(version: u64) -> TrafficChange {
    TrafficChange::Configure { version, text: bytes::Bytes::from(format!("version {version}")) }
}

/// Sends a change to each running process in turn until one acknowledges it.
fn acknowledge(cluster: &Cluster, version: u64) -> TrafficOutcome {
    let began = cluster.world.now();
    while cluster.world.now().since(began) < ACKNOWLEDGED_WITHIN {
        for (at, node) in cluster.running() {
            let running = cluster.vms[at].running.borrow();
            let context = running.as_ref().expect("it runs").process.context().clone();
            drop(running);
            let limit = Duration::from_millis(900);
            let deciding = node.change_traffic(configure(version), limit);
            match cluster.world.run_until(timeout(&*context.clock, limit, deciding)) {
                Some(Ok(outcome)) => return outcome,
                Some(Err(ChangeError::Stopped { reason })) => panic!("stopped: {reason}"),
                Some(Err(_)) | None => {}
            }
        }
        cluster.world.run_for(Duration::from_millis(100));
    }
    panic!("version {version} was not acknowledged: {:#?}", cluster.events.lines());
}

fn set_free_space(cluster: &Cluster, at: usize, free_space: Option<usize>) {
    cluster.vms[at].disk.borrow().faults.free_space.set(free_space);
}

fn version_at(cluster: &Cluster, at: usize) -> Option<u64> {
    cluster.node(at).and_then(|node| node.read(|state| state.traffic().version()))
}

/// Guards against a control process that exits on a full disk, is restarted and exits again, and
/// serves no caller meanwhile. The disk accepts no bytes, or only a part of a record, when a change
/// is written.
#[test]
fn member_on_a_full_disk_keeps_running_and_recovers() {
    struct Case {
        what: &'static str,
        /// The number of bytes that the disk still accepts: none, or a part of a record.
        free_space: usize,
        /// Whether the full disk is the leader's.
        is_leader: bool,
    }
    let cases = [
        Case { what: "leader, nothing written", free_space: 0, is_leader: true },
        Case { what: "leader, half a record written", free_space: 10, is_leader: true },
        Case { what: "follower, nothing written", free_space: 0, is_leader: false },
        Case { what: "follower, half a record written", free_space: 10, is_leader: false },
    ];
    for (seed, case) in cases.iter().enumerate() {
        let cluster = Cluster::started(seed as u64, Rc::new(FakeLink::new(LINK)));
        acknowledge(&cluster, 1);
        let leader = cluster.wait_for_leader();
        let full = if case.is_leader { leader } else { (leader + 1) % 3 };
        set_free_space(&cluster, full, Some(case.free_space));
        acknowledge(&cluster, 2);
        cluster.world.run_for(Duration::from_secs(3));
        acknowledge(&cluster, 3);
        let node = cluster.node(full).expect("it runs");
        assert_eq!(node.status().stopped, None, "{}", case.what);
        assert!(!node.status().is_leader, "{}: it leads on a full disk", case.what);
        assert_eq!(cluster.events.count("control.disk.full"), 1, "{}: reported once", case.what);

        set_free_space(&cluster, full, None);
        cluster.wait_until("it has space and catches up", |c| version_at(c, full) == Some(3));
        assert_eq!(cluster.events.count("control.disk.regained"), 1, "{}", case.what);
        // The member's vote counts again, and its records survive a restart.
        let other = (0..3).find(|at| *at != full && *at != leader).unwrap_or(leader);
        cluster.kill(other);
        acknowledge(&cluster, 4);
        cluster.kill(full);
        cluster.start(full);
        assert!(cluster.node(full).is_some(), "{}: it starts again", case.what);
        assert_eq!(acknowledge(&cluster, 5).version, Some(5), "{}", case.what);
    }
}

/// Guards against acknowledging a change that was not written. All disks are full while the change
/// is sent; all members are killed, get space and restart.
#[test]
fn change_is_not_acknowledged_while_all_disks_are_full() {
    let cluster = Cluster::started(7, Rc::new(FakeLink::new(LINK)));
    acknowledge(&cluster, 1);
    (0..3).for_each(|at| set_free_space(&cluster, at, Some(0)));
    for (at, node) in cluster.running() {
        let running = cluster.vms[at].running.borrow();
        let clock = running.as_ref().expect("it runs").process.context().clock.clone();
        drop(running);
        let limit = Duration::from_secs(2);
        let deciding = node.change_traffic(configure(2), limit);
        let outcome = cluster.world.run_until(timeout(&*clock, limit, deciding));
        assert!(!matches!(outcome, Some(Ok(_))), "acknowledged on full disks: {outcome:?}");
    }
    (0..3).for_each(|at| cluster.kill(at));
    (0..3).for_each(|at| set_free_space(&cluster, at, None));
    (0..3).for_each(|at| cluster.start(at));
    acknowledge(&cluster, 3);
    assert!((0..3).any(|at| version_at(&cluster, at) == Some(3)));
}

/// Guards against a process that repeatedly exits when it is started on a full disk. It was killed
/// during an append, so it has to remove a torn record at start, which needs space.
#[test]
fn start_on_a_full_disk_waits_for_space() {
    let cluster = Cluster::started(9, Rc::new(FakeLink::new(LINK)));
    acknowledge(&cluster, 1);
    let leader = cluster.wait_for_leader();
    let full = (leader + 1) % 3;
    cluster.kill(full);
    let disk = Rc::clone(&cluster.vms[full].disk.borrow());
    disk.append_unsynced(&disk.file("log-").name, &[1, 2, 3]);
    set_free_space(&cluster, full, Some(0));
    let emptied = Rc::clone(&disk);
    let process = cluster.world.process();
    let clock = process.context().clock.clone();
    process.context().spawner.spawn(Box::pin(async move {
        clock.sleep(Duration::from_secs(2)).await;
        emptied.faults.free_space.set(None);
    }));
    cluster.start(full);
    assert!(cluster.node(full).is_some(), "the start waits and succeeds once there is space");
    cluster.wait_until("it catches up", |c| version_at(c, full) == Some(1));
    acknowledge(&cluster, 2);
}
