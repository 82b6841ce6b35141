//! Consensus on the simulated network and disks: elections, changes, membership and snapshots.

mod support;

use {
    gullglade_control::{ChangeError, ChangeOutcome, ControlError, MemberRole, ReplaceError},
    gullglade_peer::fake::{FakeLink, FakePolicy, MessageAction, MessageDirection, MessagePath},
    gullglade_units::SeededRandom,
    std::{cell::Cell, rc::Rc, time::Duration},
    support::cluster::{Cluster, address, change, vm},
};

/// The one-way delay between regions.
const LINK: Duration = Duration::from_millis(55);

fn link() -> Rc<FakeLink> {
    Rc::new(FakeLink::new(LINK))
}

#[test]
fn change_accepted_by_any_member_reaches_all_members() {
    let cluster = Cluster::started(1, link());
    for at in 0..3 {
        let request = change(&format!("c{at}"), "ballast", at as u64, "x");
        assert_eq!(cluster.accepted(at, request), at as u64 + 1);
    }
    cluster.wait_until("all applied", |c| (0..3).all(|i| c.version(i, "ballast") == 3));
}

#[test]
fn concurrent_changes_have_one_winner_and_resends_return_the_first_outcome() {
    // Guards against outcomes that depend on when and where a change is sent. Two operators change
    // the same version concurrently; both resend through another member, before and after the
    // leader dies.
    let cluster = Cluster::started(2, link());
    cluster.accepted(0, change("first", "ballast", 0, "x"));
    let (a, b) = (change("left", "ballast", 1, "a"), change("right", "ballast", 1, "b"));
    let nodes: Vec<_> = cluster.running().into_iter().map(|(_, n)| n).collect();
    let race = futures::future::join(nodes[1].change(a.clone()), nodes[2].change(b.clone()));
    let (left, right) = cluster.world.run_until(race);
    let outcomes = [left.expect("decided"), right.expect("decided")];
    let winners = outcomes.iter().filter(|o| matches!(o, ChangeOutcome::Accepted(_))).count();
    assert_eq!(winners, 1, "{outcomes:?}");
    for outcome in &outcomes {
        if let ChangeOutcome::Conflict(conflict) = outcome {
            let winner = conflict.winner.as_ref().expect("a winner");
            assert_eq!((conflict.base, conflict.version, winner.version), (1, 2, 2));
        }
    }
    let leader = cluster.leader().expect("a leader");
    cluster.kill(leader);
    let new = cluster.wait_for_leader();
    assert_ne!(new, leader);
    assert_eq!([cluster.change(new, a).expect("a"), cluster.change(new, b).expect("b")], outcomes);
}

#[test]
fn change_id_cannot_be_reused_for_another_change() {
    let cluster = Cluster::started(3, link());
    cluster.accepted(0, change("id", "ballast", 0, "x"));
    let error = cluster.change(1, change("id", "ballast", 1, "y")).expect_err("refused");
    assert!(error.to_string().contains("new --change-id"), "{error}");
    let error = cluster.change(1, change("id2", "other", 0, "no name")).expect_err("refused");
    assert!(matches!(error, ChangeError::Invalid { .. }), "{error}");
}

#[test]
fn partitioned_leader_steps_down_and_its_changes_are_neither_lost_nor_applied_twice() {
    // Guards against a deposed leader that keeps its callers waiting or loses their changes. The
    // leader is partitioned and receives a change, while the others elect a new leader and accept
    // another one. The old leader cannot learn that it was deposed, only that nobody answers.
    let link = link();
    let cluster = Cluster::started(4, link.clone());
    let old = cluster.leader().expect("a leader");
    let others: Vec<_> = (0..3).filter(|i| *i != old).map(address).collect();
    link.isolate(address(old), &others);
    let error = cluster.change(old, change("lost", "ballast", 0, "old")).expect_err("no quorum");
    assert!(matches!(error, ChangeError::Unknown { .. }), "{error}");
    let new = (0..3).find(|i| *i != old).expect("another");
    assert_eq!(cluster.accepted(new, change("won", "ballast", 0, "new")), 1);
    link.heal_all();
    cluster.wait_until("the old leader follows", |c| c.version(old, "ballast") == 1);
    let again = cluster.change(old, change("lost", "ballast", 0, "old")).expect("decided");
    assert!(matches!(again, ChangeOutcome::Conflict(_)), "{again:?}");
}

#[test]
fn reconnecting_member_does_not_depose_the_leader() {
    // Guards against an election after every healed partition. Without pre-votes, a partitioned
    // member would increment its term with each campaign and depose the leader when it reconnects.
    let link = link();
    let cluster = Cluster::started(5, link.clone());
    let leader = cluster.leader().expect("a leader");
    let term = cluster.node(leader).expect("runs").status().term;
    let partitioned = (0..3).find(|i| *i != leader).expect("a follower");
    link.isolate(address(partitioned), &[address(0), address(1), address(2)]);
    cluster.world.run_for(Duration::from_secs(30));
    link.heal_all();
    cluster.world.run_for(Duration::from_secs(10));
    let status = cluster.node(leader).expect("runs").status();
    assert_eq!((status.term, status.is_leader), (term, true));
}

#[test]
fn accepted_changes_survive_a_power_loss_of_all_members() {
    let cluster = Cluster::started(6, link());
    for n in 0..5 {
        cluster.accepted(n % 3, change(&format!("c{n}"), "ballast", n as u64, "x"));
    }
    let random = SeededRandom::new(6);
    (0..3).for_each(|i| cluster.lose_power(i, &random));
    (0..3).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    assert_eq!(cluster.version(leader, "ballast"), 5);
}

#[test]
fn vm_with_an_empty_disk_does_not_vote_until_it_is_replaced() {
    // Guards against the loss of an accepted change when a disk is exchanged. Two of three members
    // accept a change while the third is partitioned; one of the two then gets an empty disk and
    // the other is killed. The empty member and the stale one would form a quorum without the
    // change.
    let link = link();
    let cluster = Cluster::started(7, link.clone());
    let leader = cluster.leader().expect("a leader");
    let (stale, emptied) = ((leader + 1) % 3, (leader + 2) % 3);
    link.isolate(address(stale), &[address(leader), address(emptied)]);
    cluster.accepted(leader, change("kept", "ballast", 0, "x"));
    cluster.kill(emptied);
    cluster.empty_disk(emptied);
    cluster.start(emptied);
    link.heal_all();
    cluster.kill(leader);
    cluster.world.run_for(Duration::from_secs(60));
    assert_eq!(cluster.leader(), None, "no quorum without the voter with the empty disk");
    assert!(cluster.events.count("control.voter.refused") > 0);
    cluster.start(leader);
    cluster.wait_for_leader();
    let node = cluster.node(stale).expect("runs");
    cluster.world.run_until(node.replace(vm(emptied), address(emptied))).expect("begins");
    cluster.wait_until("replaced", |c| c.events.count("control.voter.replaced") > 0);
    cluster.kill(stale);
    let new = cluster.wait_for_leader();
    assert_eq!(cluster.version(new, "ballast"), 1);
    assert_eq!(cluster.accepted(emptied, change("next", "ballast", 1, "y")), 2);
}

#[test]
fn replacement_of_a_dead_voter_votes_only_after_it_has_caught_up() {
    // Guards against a replacement that weakens the quorum. A voter dies, a spare replaces it, and
    // the leader dies right after. If the spare counted before it held the log, the remaining
    // quorum could lack accepted changes.
    let cluster = Cluster::started(8, link());
    for n in 0..20 {
        cluster.accepted(0, change(&format!("c{n}"), "ballast", n, "x"));
    }
    let leader = cluster.leader().expect("a leader");
    let dead = (leader + 1) % 3;
    cluster.kill(dead);
    cluster.start(3);
    let node = cluster.node(leader).expect("runs");
    cluster.world.run_until(node.replace(vm(dead), address(3))).expect("begins");
    cluster.wait_until("replaced", |c| c.events.count("control.voter.replaced") > 0);
    cluster.kill(leader);
    let new = cluster.wait_for_leader();
    assert_eq!(cluster.version(new, "ballast"), 20);
    cluster.start(dead);
    cluster.world.run_for(Duration::from_secs(10));
    assert_eq!(cluster.accepted(new, change("after", "ballast", 20, "y")), 21);
    assert_ne!(cluster.leader(), Some(dead), "a removed voter does not lead");
}

#[test]
fn failed_learner_of_a_replacement_can_be_replaced() {
    let cluster = Cluster::new(9, 3, 2, link());
    (0..5).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    let dead = (leader + 1) % 3;
    cluster.kill(dead);
    let node = cluster.node(leader).expect("runs");
    let first = node.replace(vm(dead), address(3));
    let begun = cluster.world.run_until(first);
    cluster.kill(3);
    begun.expect("begins");
    let other = cluster.world.run_until(node.replace(vm(leader), address(4)));
    assert!(matches!(other, Err(ReplaceError::InProgress { .. })), "{other:?}");
    cluster.world.run_until(node.replace(vm(dead), address(4))).expect("begins anew");
    cluster.wait_until("replaced", |c| c.events.count("control.voter.replaced") > 0);
    let membership = node.status().membership.expect("a membership");
    let voters: Vec<_> = membership.voters().map(|m| m.vm.clone()).collect();
    assert!(voters.contains(&vm(4)) && !voters.contains(&vm(dead)), "{voters:?}");
    assert!(membership.members.iter().all(|m| m.role == MemberRole::Voter));
}

#[test]
fn leader_can_be_replaced() {
    let cluster = Cluster::started(10, link());
    let leader = cluster.leader().expect("a leader");
    cluster.start(3);
    let node = cluster.node(leader).expect("runs");
    cluster.world.run_until(node.replace(vm(leader), address(3))).expect("begins");
    cluster.wait_until("another leads", |c| c.leader().is_some_and(|i| i != leader));
    let new = cluster.wait_for_leader();
    assert_eq!(cluster.accepted(new, change("c", "ballast", 0, "x")), 1);
    assert!(!cluster.node(leader).expect("runs").status().is_leader);
}

#[test]
fn lagging_member_catches_up_by_snapshot_with_recorded_outcomes() {
    let link = link();
    let mut cluster = Cluster::new(11, 3, 0, link.clone());
    cluster.config = Box::new(|c| c.compact_after(8, 1 << 20).chunk_bytes(700));
    (0..3).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    let behind = (leader + 1) % 3;
    cluster.kill(behind);
    for n in 0..40 {
        cluster.accepted(leader, change(&format!("c{n}"), "ballast", n, "x"));
    }
    cluster.start(behind);
    cluster.wait_until("caught up", |c| c.version(behind, "ballast") == 40);
    cluster.wait_until("sent", |c| c.events.count("control.snapshot.sent") > 0);
    let again = cluster.change(behind, change("c3", "ballast", 3, "x")).expect("decided");
    assert!(matches!(again, ChangeOutcome::Accepted(c) if c.version == 4));
    (0..3).for_each(|i| cluster.lose_power(i, &SeededRandom::new(1)));
    (0..3).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    let again = cluster.change(leader, change("c3", "ballast", 3, "x")).expect("decided");
    assert!(matches!(again, ChangeOutcome::Accepted(c) if c.version == 4));
    assert_eq!(cluster.version(leader, "ballast"), 40);
}

#[test]
fn member_with_a_failed_sync_stops_and_the_others_continue() {
    // Guards against trusting a sync that succeeds after a failed one: the operating system may
    // have dropped the pages that it could not write, so the second sync proves nothing.
    let cluster = Cluster::started(12, link());
    let leader = cluster.leader().expect("a leader");
    cluster.vms[leader].disk.borrow().faults.fail_syncs.set(true);
    let node = cluster.node(leader).expect("runs");
    let error = cluster.change(leader, change("c", "ballast", 0, "x")).expect_err("stopped");
    assert!(matches!(error, ChangeError::Unknown { .. }), "{error}");
    let stopped = cluster.world.run_until(node.stopped());
    assert!(matches!(stopped, ControlError::Log { .. }) && stopped.to_string().contains("restart"));
    cluster.wait_until("another leads", |c| c.leader().is_some_and(|i| i != leader));
    let new = cluster.wait_for_leader();
    let again = cluster.change(new, change("c", "ballast", 0, "x")).expect("decided");
    assert!(matches!(again, ChangeOutcome::Accepted(_)));
}

#[test]
fn flipped_bit_in_the_last_record_loses_no_accepted_change() {
    // Guards against the loss of the newest change after a restart. Two of three members accept a
    // change; one restarts with a flipped bit in its last record and the other dies. The damaged
    // member must not elect the one without the change, so its vote is doubtful.
    let link = link();
    let cluster = Cluster::started(13, link.clone());
    let leader = cluster.leader().expect("a leader");
    let (stale, damaged) = ((leader + 1) % 3, (leader + 2) % 3);
    link.isolate(address(stale), &[address(leader), address(damaged)]);
    cluster.accepted(leader, change("kept", "ballast", 0, "x"));
    cluster.kill(leader);
    cluster.kill(damaged);
    let disk = Rc::clone(&cluster.vms[damaged].disk.borrow());
    let file = disk.file("log-");
    disk.flip_bit(&file.name, file.size as usize - 1);
    cluster.start(damaged);
    link.heal_all();
    cluster.world.run_for(Duration::from_secs(30));
    assert_eq!(cluster.leader(), None, "a doubtful vote makes no quorum");
    cluster.start(leader);
    let new = cluster.wait_for_leader();
    assert_eq!(cluster.version(new, "ballast"), 1);
    cluster.wait_until("trusted again", |c| {
        c.running().iter().all(|(_, node)| !node.status().is_doubtful)
    });
}

#[test]
fn member_that_lost_synced_writes_elects_no_leader_without_them() {
    // Guards against the undetected loss of synced writes. The leader and a member whose disk
    // ignores syncs accept a change; the member loses power and then reaches only the third member,
    // which lacks the change. The member cannot tell that its log was longer; the old leader
    // remembers its acknowledgement.
    for seed in 20..28 {
        let link = link();
        let cluster = Cluster::started(seed, link.clone());
        let leader = cluster.leader().expect("a leader");
        let (stale, faulty) = ((leader + 1) % 3, (leader + 2) % 3);
        link.isolate(address(stale), &[address(leader), address(faulty)]);
        cluster.vms[faulty].disk.borrow().faults.ignore_syncs.set(true);
        cluster.accepted(leader, change("kept", "ballast", 0, "x"));
        cluster.lose_power(faulty, &SeededRandom::new(seed));
        cluster.wait_until("no quorum", |c| c.leader().is_none());
        cluster.vms[faulty].disk.borrow().faults.ignore_syncs.set(false);
        link.heal(address(stale), address(faulty));
        cluster.start(faulty);
        cluster.world.run_for(Duration::from_secs(20));
        assert_eq!(cluster.leader(), None, "seed {seed}");
        assert!(cluster.events.count("control.disk.forgot") > 0, "seed {seed}");
        link.heal_all();
        let new = cluster.wait_for_leader();
        assert_eq!(cluster.version(new, "ballast"), 1, "seed {seed}");
    }
}

/// Links that can drop a leader's append requests.
struct EntryLoss {
    link: FakeLink,
    is_active: Cell<bool>,
}

impl FakePolicy for EntryLoss {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let is_entry = path.method == "log.append" && path.direction == MessageDirection::Request;
        if is_entry && self.is_active.get() { MessageAction::Drop } else { self.link.action(path) }
    }
}

#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting_copies() {
    // Guards against committing an entry of an earlier term by counting its copies (Ongaro and
    // Ousterhout, figure 8). Leader A writes a change that reaches nobody and dies. C leads, writes
    // an entry that reaches nobody and dies. A leads again, replicates its old entry to B, a
    // quorum, and dies. C is elected with B's vote, since its last entry has a later term, and
    // replaces the change.
    let loss = Rc::new(EntryLoss { link: FakeLink::new(LINK), is_active: Cell::new(false) });
    let mut cluster = Cluster::new(15, 3, 0, loss.clone());
    cluster.config = Box::new(|c| c.batch_bytes(1));
    (0..3).for_each(|i| cluster.start(i));
    let a = cluster.wait_for_leader();
    cluster.world.run_for(Duration::from_secs(1));
    loss.is_active.set(true);
    let request = change("x", "ballast", 0, "x");
    cluster.change(a, request.clone()).expect_err("it reaches nobody");
    let last = cluster.node(a).expect("runs").status().last;
    cluster.kill(a);
    cluster.wait_until("another leads", |c| c.leader().is_some());
    let c = cluster.leader().expect("a leader");
    cluster.wait_until("its entry is written", |cl| {
        cl.node(c).is_some_and(|n| n.status().last >= last)
    });
    cluster.kill(c);
    let b = 3 - a - c;
    cluster.start(a);
    cluster.wait_until("the first leads again", |cl| cl.leader() == Some(a));
    loss.is_active.set(false);
    while cluster.node(b).expect("runs").status().last < last {
        cluster.world.run_for(Duration::from_millis(1));
    }
    loss.is_active.set(true);
    cluster.world.run_for(LINK + LINK);
    let reply = cluster.change(a, request);
    cluster.kill(a);
    cluster.start(c);
    loss.is_active.set(false);
    let leader = cluster.wait_for_leader();
    assert_eq!((leader, cluster.version(leader, "ballast")), (c, 0), "the change is replaced");
    assert!(reply.is_err(), "the change was accepted: {reply:?}");
}

#[test]
fn deposed_leader_refuses_reads() {
    let link = link();
    let cluster = Cluster::started(14, link.clone());
    let old = cluster.leader().expect("a leader");
    cluster.accepted(old, change("a", "ballast", 0, "x"));
    let others: Vec<_> = (0..3).filter(|i| *i != old).map(address).collect();
    link.isolate(address(old), &others);
    let read = cluster.world.run_until(cluster.node(old).expect("runs").catch_up());
    assert_eq!(read, Err(ChangeError::NoLeader));
    let other = (old + 1) % 3;
    cluster.accepted(other, change("b", "ballast", 1, "y"));
    let read = cluster.world.run_until(cluster.node((old + 2) % 3).expect("runs").catch_up());
    assert!(read.is_ok());
    assert_eq!(cluster.version((old + 2) % 3, "ballast"), 2);
}
