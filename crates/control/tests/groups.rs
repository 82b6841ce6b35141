//! Claim group changes on the simulated network: refusals, concurrent changes, resends, snapshots
//! and distribution.

mod support;

use {
    gullglade_control::{
        ChangeError, ClaimMember, GroupOutcome, GroupRecord, GroupRequest, LogIndex,
    },
    gullglade_peer::fake::FakeLink,
    gullglade_units::{ChangeId, RegionName, SeededRandom, VmName},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    support::{
        cluster::{Cluster, change},
        gateways::{RegionLink, start_gateways},
    },
};

fn region(name: &str) -> RegionName {
    RegionName::try_from(name).expect("a name")
}

/// Parses members such as "a b c": VM a at 10.1.0.97 in puget. "b@5" is VM b at 10.1.0.5.
fn members(text: &str) -> Vec<ClaimMember> {
    text.split_whitespace().map(member).collect()
}

fn member(text: &str) -> ClaimMember {
    let (vm, host) = match text.split_once('@') {
        Some((vm, host)) => (vm, host.parse().expect("a number")),
        None => (text, text.as_bytes()[0]),
    };
    let vm = VmName::try_from(vm).expect("a name");
    ClaimMember { vm, region: region("puget"), address: SocketAddr::from(([10, 1, 0, host], 8082)) }
}

fn group(id: &str, base: u64, list: &str) -> GroupRequest {
    GroupRequest {
        id: ChangeId::try_from(id.to_owned()).expect("an id"),
        region: region("puget"),
        base,
        members: members(list),
        retired: Vec::new(),
        author: "clerk".to_owned(),
    }
}

fn propose(
    cluster: &Cluster,
    at: usize,
    request: GroupRequest,
) -> Result<GroupOutcome, ChangeError> {
    let node = cluster.node(at).expect("runs");
    cluster.world.run_until(node.change_group(request))
}

fn accepted(cluster: &Cluster, at: usize, request: GroupRequest) -> GroupRecord {
    match propose(cluster, at, request) {
        Ok(GroupOutcome::Accepted(record)) => record,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Starts a cluster whose only document allows only region puget.
fn cluster(seed: u64) -> Cluster {
    let cluster = Cluster::started(seed, Rc::new(FakeLink::new(Duration::from_millis(55))));
    cluster.accepted(0, change("document", "ballast", 0, "x"));
    cluster.wait_until("the document is applied everywhere", |c| {
        (0..3).all(|i| c.version(i, "ballast") == 1)
    });
    cluster
}

#[test]
fn invalid_group_is_refused_with_a_remedy() {
    struct Case {
        change: fn(&mut GroupRequest),
        remedy: &'static str,
    }
    let cases = [
        Case { change: |r| r.members.clear(), remedy: "give --member" },
        Case { change: |r| r.members = members("a b a@9"), remedy: "list each VM once" },
        Case { change: |r| r.members = members("a b@97"), remedy: "its own peer address" },
        Case { change: |r| r.members = members("a b c d e f g h"), remedy: "give 7 or fewer" },
        Case { change: |r| r.members[0].address.set_port(0), remedy: "--peer-address" },
        Case { change: |r| r.region = region("inland"), remedy: "apply the document first" },
        Case { change: |r| r.author.clear(), remedy: "give 1 to" },
    ];
    let cluster = cluster(1);
    for (number, case) in cases.iter().enumerate() {
        let mut request = group(&format!("case-{number}"), 0, "a b c");
        (case.change)(&mut request);
        let error = propose(&cluster, 1, request).expect_err("refused");
        assert!(matches!(error, ChangeError::Invalid { .. }), "case {number}: {error:?}");
        assert!(error.to_string().contains(case.remedy), "case {number}: {error}");
    }
    assert_eq!(accepted(&cluster, 1, group("good", 0, "a b c")).epoch, 1);
}

#[test]
fn epoch_changes_at_most_one_vm() {
    // Guards against an epoch without a quorum of the preceding one. Two of three members are
    // replaced in one epoch and the third is lost before the new ones have copied its claims;
    // resends of old orders would then be refused for a day.
    struct Case {
        list: &'static str,
        retired: &'static [&'static str],
        outcome: Result<(), &'static str>,
    }
    let cases = [
        Case { list: "a b d", retired: &[], outcome: Ok(()) },
        Case { list: "a b", retired: &[], outcome: Ok(()) },
        Case { list: "a b c d", retired: &[], outcome: Ok(()) },
        Case { list: "a b c@9", retired: &[], outcome: Ok(()) },
        Case { list: "a b d", retired: &["c"], outcome: Ok(()) },
        Case { list: "a d e", retired: &[], outcome: Err("one VM at a time") },
        Case { list: "a b@9 d", retired: &[], outcome: Err("one VM at a time") },
        Case { list: "a", retired: &[], outcome: Err("one VM at a time") },
        Case { list: "a b d", retired: &["a"], outcome: Err("cannot be retired") },
        Case { list: "a b d", retired: &["e"], outcome: Err("cannot be retired") },
    ];
    for (number, case) in cases.iter().enumerate() {
        let cluster = cluster(2);
        accepted(&cluster, 0, group("first", 0, "a b c"));
        let mut request = group("second", 1, case.list);
        let retired = case.retired.iter().map(|vm| VmName::try_from(*vm).expect("a name"));
        request.retired = retired.collect();
        match (propose(&cluster, 0, request), case.outcome) {
            (Ok(GroupOutcome::Accepted(record)), Ok(())) => {
                assert_eq!((record.epoch, record.previous), (2, members("a b c")));
            }
            (Ok(GroupOutcome::Refused(refusal)), Err(remedy)) => {
                assert!(refusal.to_string().contains(remedy), "case {number}: {refusal}");
            }
            (other, _) => panic!("case {number}: {other:?}"),
        }
    }
}

#[test]
fn concurrent_group_changes_have_one_winner_and_resends_return_the_first_outcome() {
    // Guards against two gateways with different members for one epoch, which could run an order
    // twice. Two operators set the group from the same epoch, and both resend after the leader has
    // died.
    let cluster = cluster(3);
    let (a, b) = (group("left", 0, "a b c"), group("right", 0, "a b d"));
    let nodes: Vec<_> = cluster.running().into_iter().map(|(_, node)| node).collect();
    let race =
        futures::future::join(nodes[1].change_group(a.clone()), nodes[2].change_group(b.clone()));
    let (left, right) = cluster.world.run_until(race);
    let outcomes = [left.expect("decided"), right.expect("decided")];
    let mut winners = outcomes.iter().filter_map(|outcome| match outcome {
        GroupOutcome::Accepted(record) => Some(record.clone()),
        _ => None,
    });
    let winner = winners.next().expect("a winner");
    assert_eq!(winners.next(), None, "{outcomes:?}");
    let lost = outcomes.iter().any(|outcome| match outcome {
        GroupOutcome::Conflict(conflict) => conflict.winner.as_ref() == Some(&winner),
        _ => false,
    });
    assert!(lost, "{outcomes:?}");
    cluster.kill(cluster.leader().expect("a leader"));
    let new = cluster.wait_for_leader();
    let again = [a, b].map(|request| propose(&cluster, new, request).expect("decided"));
    assert_eq!(again, outcomes);
    let error = propose(&cluster, new, group("left", 1, "a b c")).expect_err("refused");
    assert!(error.to_string().contains("new --change-id"), "{error}");
}

#[test]
fn snapshot_preserves_groups_with_creation_times_and_outcomes() {
    // Guards against a snapshot without the claim groups. After a restart the group would be at an
    // earlier epoch, or its creation time would be later, so that replicas without their memory
    // would count as complete. The log is compacted after the change, then all members lose power.
    let mut cluster = Cluster::new(4, 3, 0, Rc::new(FakeLink::new(Duration::from_millis(55))));
    cluster.config = Box::new(|c| c.compact_after(8, 1 << 20));
    (0..3).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    cluster.accepted(leader, change("document", "ballast", 0, "x"));
    accepted(&cluster, leader, group("first", 0, "a b c"));
    let clock = cluster.world.process().context().clock.clone();
    let before = clock.wall();
    let second = accepted(&cluster, leader, group("second", 1, "a b d"));
    assert!(
        (before..=clock.wall()).contains(&second.created),
        "the leader's wall time of the entry"
    );
    for n in 1..40 {
        cluster.accepted(leader, change(&format!("c{n}"), "ballast", n, "x"));
    }
    cluster.wait_until("compacted", |c| c.events.count("control.log.compacted") >= 3);
    (0..3).for_each(|i| cluster.lose_power(i, &SeededRandom::new(4)));
    (0..3).for_each(|i| cluster.start(i));
    let leader = cluster.wait_for_leader();
    let node = cluster.node(leader).expect("runs");
    assert_eq!(node.read(|state| state.group(&region("puget")).cloned()), Some(second.clone()));
    assert_eq!(node.read(|state| state.group_history().count()), 2);
    let again = propose(&cluster, leader, group("second", 1, "a b d")).expect("decided");
    assert_eq!(again, GroupOutcome::Accepted(second));
}

#[test]
fn gateways_receive_the_newest_epoch_and_never_an_older_one() {
    const GATEWAYS: usize = 6;
    let link = RegionLink::new();
    let cluster = Cluster::started(5, link.clone());
    cluster.accepted(0, change("document", "ballast", 0, "x"));
    let gateways = start_gateways(&cluster, GATEWAYS);
    let epochs = |gateway: usize| {
        let groups = gateways[gateway].replica.groups();
        groups.iter().map(|group| group.epoch).collect::<Vec<_>>()
    };
    accepted(&cluster, 0, group("g1", 0, "a b c"));
    cluster.wait_until("epoch 1", |_| (0..GATEWAYS).all(|g| epochs(g) == [1]));
    link.cut(2);
    accepted(&cluster, 0, group("g2", 1, "a b d"));
    accepted(&cluster, 0, group("g3", 2, "a b e"));
    let is_partitioned = |g: usize| gateways[g].index % 3 == 2;
    cluster.wait_until("epoch 3 in the reachable regions", |_| {
        (0..GATEWAYS).all(|g| epochs(g) == if is_partitioned(g) { [1] } else { [3] })
    });
    link.heal();
    let partitioned =
        (0..GATEWAYS).find(|g| is_partitioned(*g)).expect("a gateway that was cut off");
    let seen = gateways[partitioned].replica.groups()[0].index;
    let next = cluster.world.run_until(gateways[partitioned].replica.next_groups(seen));
    let node = cluster.node(0).expect("runs");
    let current = node.read(|state| state.group(&region("puget")).cloned());
    assert_eq!(next.first(), current.as_ref());
    assert!(seen > LogIndex(0) && next[0].created.0 > 0);
}
