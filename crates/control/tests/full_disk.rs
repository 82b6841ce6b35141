//! Voters whose disks take no more bytes for a while.

mod support;

use {
    gullglade_control::{ChangeError, TrafficChange, TrafficOutcome},
    gullglade_peer::fake::FakeLink,
    gullglade_units::timeout,
    std::{rc::Rc, time::Duration},
    support::cluster::Cluster,
};

/// One way between VMs.
const LINK: Duration = Duration::from_millis(10);

/// The time in which a log with a quorum of sound disks acknowledges a change.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(6);

fn configure(version: u64) -> TrafficChange {
    TrafficChange::Configure { version, text: bytes::Bytes::from(format!("version {version}")) }
}

/// Sends a change to the running processes in turn until one acknowledges it.
fn acknowledge(cluster: &Cluster, version: u64) -> TrafficOutcome {
    let began = cluster.world.now();
    while cluster.world.now().since(began) < ACKNOWLEDGED_WITHIN {
        for (at, node) in cluster.running() {
            let running = cluster.vms[at].running.borrow();
            let context = running.as_ref().expect("it runs").process.context().clone();
            drop(running);
            let deciding = node.change_traffic(configure(version));
            let limit = Duration::from_millis(900);
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

fn fill(cluster: &Cluster, at: usize, space: Option<usize>) {
    cluster.vms[at].disk.borrow().faults.space.set(space);
}

fn version_at(cluster: &Cluster, at: usize) -> Option<u64> {
    cluster.node(at).and_then(|node| node.read(|state| state.traffic().version()))
}

/// Symptom: a control process on a full disk ends, is started again and ends again, five times in
/// six seconds, and serves no caller meanwhile. Sequence: the disk takes no more bytes, or a part
/// of a record; a change is written. Cause: any failed write stopped the member for good.
#[test]
fn a_member_on_a_full_disk_stays_up_and_takes_part_again() {
    struct Case {
        what: &'static str,
        /// Bytes that the disk still takes: none, or a part of a record.
        space: usize,
        /// Whether the leader's disk is full, or that of another member.
        is_leader: bool,
    }
    let cases = [
        Case { what: "leader, nothing written", space: 0, is_leader: true },
        Case { what: "leader, half a record written", space: 10, is_leader: true },
        Case { what: "follower, nothing written", space: 0, is_leader: false },
        Case { what: "follower, half a record written", space: 10, is_leader: false },
    ];
    for (seed, case) in cases.iter().enumerate() {
        let cluster = Cluster::started(seed as u64, Rc::new(FakeLink::new(LINK)));
        acknowledge(&cluster, 1);
        let leader = cluster.wait_for_leader();
        let full = if case.is_leader { leader } else { (leader + 1) % 3 };
        fill(&cluster, full, Some(case.space));
        acknowledge(&cluster, 2);
        cluster.world.run_for(Duration::from_secs(3));
        acknowledge(&cluster, 3);
        let node = cluster.node(full).expect("it runs");
        assert_eq!(node.status().stopped, None, "{}", case.what);
        assert!(!node.status().is_leader, "{}: it leads on a full disk", case.what);
        assert_eq!(cluster.events.count("control.disk.full"), 1, "{}: told once", case.what);

        fill(&cluster, full, None);
        cluster.wait_until("it has space and catches up", |c| version_at(c, full) == Some(3));
        assert_eq!(cluster.events.count("control.disk.regained"), 1, "{}", case.what);
        // Its vote counts again, and what it holds outlasts its end.
        let other = (0..3).find(|at| *at != full && *at != leader).unwrap_or(leader);
        cluster.kill(other);
        acknowledge(&cluster, 4);
        cluster.kill(full);
        cluster.start(full);
        assert!(cluster.node(full).is_some(), "{}: it starts again", case.what);
        assert_eq!(acknowledge(&cluster, 5).version, Some(5), "{}", case.what);
    }
}

/// Symptom: an acknowledged change is gone. Sequence: the disks of all members are full while a
/// change is sent; all are killed, get space and start again. Cause: something that could not be
/// written was acknowledged.
#[test]
fn nothing_is_acknowledged_that_no_disk_took() {
    let cluster = Cluster::started(7, Rc::new(FakeLink::new(LINK)));
    acknowledge(&cluster, 1);
    (0..3).for_each(|at| fill(&cluster, at, Some(0)));
    for (at, node) in cluster.running() {
        let running = cluster.vms[at].running.borrow();
        let clock = running.as_ref().expect("it runs").process.context().clock.clone();
        drop(running);
        let deciding = node.change_traffic(configure(2));
        let limit = Duration::from_secs(2);
        let outcome = cluster.world.run_until(timeout(&*clock, limit, deciding));
        assert!(!matches!(outcome, Some(Ok(_))), "acknowledged on full disks: {outcome:?}");
    }
    (0..3).for_each(|at| cluster.kill(at));
    (0..3).for_each(|at| fill(&cluster, at, None));
    (0..3).for_each(|at| cluster.start(at));
    acknowledge(&cluster, 3);
    assert!((0..3).any(|at| version_at(&cluster, at) == Some(3)));
}

/// Symptom: a process that is started on a full disk ends at once, again and again. Sequence: it
/// is killed in the middle of an append, the disk is full, it starts and has to cut the torn
/// record. Cause: a start that cannot write ended the process.
#[test]
fn a_start_on_a_full_disk_waits_for_space() {
    let cluster = Cluster::started(9, Rc::new(FakeLink::new(LINK)));
    acknowledge(&cluster, 1);
    let leader = cluster.wait_for_leader();
    let full = (leader + 1) % 3;
    cluster.kill(full);
    let disk = Rc::clone(&cluster.vms[full].disk.borrow());
    disk.add_torn(&disk.file("log-").name, &[1, 2, 3]);
    fill(&cluster, full, Some(0));
    let emptied = Rc::clone(&disk);
    let process = cluster.world.process();
    let clock = process.context().clock.clone();
    process.context().spawner.spawn(Box::pin(async move {
        clock.sleep(Duration::from_secs(2)).await;
        emptied.faults.space.set(None);
    }));
    cluster.start(full);
    assert!(cluster.node(full).is_some(), "it waits, and starts with the space");
    cluster.wait_until("it catches up", |c| version_at(c, full) == Some(1));
    acknowledge(&cluster, 2);
}
