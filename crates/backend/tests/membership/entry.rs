//! Answers of `/v1/entry`: their contents, the distribution of callers and the effect of failures.

use {
    crate::cluster::TestCluster,
    gullglade_backend::{EntryAnswer, EntryTable, GatewayLoad},
    std::collections::BTreeMap,
};

fn answer(cluster: &TestCluster, index: usize) -> EntryAnswer {
    let node = &cluster.nodes[index];
    EntryTable::new(node.relay.clone(), node.process.context().clone()).answer(|_| true)
}

/// Counts how often each gateway comes first in `count` answers of gateway `index`.
fn first_choices(cluster: &TestCluster, index: usize, count: usize) -> BTreeMap<String, usize> {
    let mut choices = BTreeMap::new();
    for _ in 0..count {
        let first = answer(cluster, index).gateways[0].vm.to_string();
        *choices.entry(first).or_default() += 1;
    }
    choices
}

/// Returns whether the answer of gateway `index` contains gateway `other`.
fn answer_contains(cluster: &TestCluster, index: usize, other: usize) -> bool {
    let address = cluster.nodes[other].address;
    let is_target = |g: &gullglade_backend::EntryGateway| {
        g.address.ip() == address.ip() && g.address.port() == address.port() + 1_000
    };
    answer(cluster, index).gateways.iter().any(is_target)
}

// Guards against overloading one gateway while the others are idle. Many callers ask within one
// heartbeat interval, and an answer sorted by load, which is seconds old, would direct them all to
// the least loaded gateway.
#[test]
fn callers_spread_in_proportion_to_free_capacity() {
    let cluster = TestCluster::new(1, 4);
    for (node, open) in cluster.nodes.iter().zip([0, 50, 75, 99]) {
        node.relay.set_load(GatewayLoad { open });
    }
    cluster.run_millis(3_000);
    for index in 0..4 {
        let choices = first_choices(&cluster, index, 1_000);
        let count = |vm: &str| choices.get(vm).copied().unwrap_or(0);
        let counts = [count("vm-0-7000"), count("vm-0-7001"), count("vm-0-7002")];
        assert!((500..650).contains(&counts[0]), "{choices:?}: weight 4 of 7");
        assert!((220..350).contains(&counts[1]), "{choices:?}: weight 2 of 7");
        assert!((90..200).contains(&counts[2]), "{choices:?}: weight 1 of 7");
        assert_eq!(count("vm-0-7003"), 0, "{choices:?}: overloaded");
    }
}

#[test]
fn all_gateways_are_returned_if_all_are_overloaded() {
    let cluster = TestCluster::new(2, 3);
    cluster.nodes.iter().for_each(|node| node.relay.set_load(GatewayLoad { open: 100 }));
    cluster.run_millis(3_000);
    assert_eq!(answer(&cluster, 0).gateways.len(), 3);
}

// Guards against directing callers to a gateway that failed without notice and stays in the answer
// until a long timeout.
#[test]
fn dead_gateway_is_removed_from_answers_within_two_seconds() {
    for size in [3, 9, 18, 40] {
        let cluster = TestCluster::new(3, size);
        let dead = &cluster.nodes[2];
        let others: Vec<_> = cluster.nodes.iter().map(|node| node.address).collect();
        cluster.link.isolate(dead.address, &others);
        dead.process.kill();
        cluster.run_millis(2_000);
        for index in (0..size).filter(|index| *index != 2) {
            for _ in 0..20 {
                assert!(
                    !answer_contains(&cluster, index, 2),
                    "{size} gateways: gateway {index} returns it"
                );
            }
        }
    }
}

// Guards against directing callers to a failed domain. If all VMs of one of three failure domains
// fail at once, the gateways that should detect a failure must not all be in the same domain.
#[test]
fn dead_failure_domain_is_removed_from_answers_within_two_seconds() {
    for size in [9, 18, 40] {
        let cluster = TestCluster::new(7, size);
        let others: Vec<_> = cluster.nodes.iter().map(|node| node.address).collect();
        let dead: Vec<usize> = (0..size).filter(|index| index % 3 == 1).collect();
        for index in &dead {
            cluster.link.isolate(cluster.nodes[*index].address, &others);
            cluster.nodes[*index].process.kill();
        }
        cluster.run_millis(2_000);
        for index in (0..size).filter(|index| !dead.contains(index)) {
            for gone in &dead {
                assert!(
                    !answer_contains(&cluster, index, *gone),
                    "{size} gateways: gateway {index} returns {gone}"
                );
            }
        }
    }
}

#[test]
fn draining_gateway_is_removed_from_answers_immediately() {
    for size in [3, 18] {
        let cluster = TestCluster::new(4, size);
        let relay = cluster.nodes[2].relay.clone();
        cluster.world.run_until(relay.drain());
        for index in 0..size {
            for _ in 0..20 {
                assert!(
                    !answer_contains(&cluster, index, 2),
                    "{size} gateways: gateway {index} returns it"
                );
            }
        }
    }
}

// Guards against an answer that depends on another region. A region cut off from all others must
// still answer, and only with its own gateways.
#[test]
fn partitioned_region_answers_from_local_state() {
    let cluster = TestCluster::with_regions(5, &[3, 3]);
    let of_region = |index: usize, near: bool| {
        let own = &cluster.nodes[index].region;
        answer(&cluster, index).gateways.iter().filter(|g| (g.region == *own) == near).count()
    };
    assert_eq!(
        (of_region(0, true), of_region(0, false) > 0),
        (3, true),
        "other regions are fallbacks"
    );
    assert_eq!(answer(&cluster, 0).gateways[0].region, cluster.nodes[0].region);
    let far: Vec<_> = cluster.nodes[3..].iter().map(|node| node.address).collect();
    cluster.nodes[..3].iter().for_each(|node| cluster.link.isolate(node.address, &far));
    cluster.run_millis(10_000);
    assert_eq!((of_region(0, true), of_region(0, false)), (3, 0));
    assert_eq!((of_region(4, true), of_region(4, false)), (3, 0));
}

#[test]
fn answers_contain_only_allowed_regions() {
    let cluster = TestCluster::with_regions(6, &[3, 3]);
    let node = &cluster.nodes[0];
    let table = EntryTable::new(node.relay.clone(), node.process.context().clone());
    let own = node.region.clone();
    assert!(table.answer(|r| *r == own).gateways.iter().all(|g| g.region == own));
    assert!(table.answer(|r| *r != own).gateways.iter().all(|g| g.region != own));
}
