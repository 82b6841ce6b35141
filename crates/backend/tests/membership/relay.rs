//! Failures of backend servers and gateways in a whole region.

use {
    crate::{
        cluster::TestCluster,
        common::{announcement, name},
    },
    gullglade_backend::{
        BackendHealth,
        ServingState::{Leaving, Serving},
    },
    std::collections::BTreeSet,
};

/// Region sizes: two with a single row of gateways, the mean of the design size and a larger one.
const SIZES: &[usize] = &[3, 9, 18, 40];

fn only(health: BackendHealth) -> BTreeSet<Option<BackendHealth>> {
    BTreeSet::from([Some(health)])
}

#[test]
fn announcement_reaches_every_gateway() {
    for size in SIZES {
        let cluster = TestCluster::new(1, *size);
        // Two steps of one interval each take at most 8 s if intervals are scaled by the maximum of
        // 2.
        cluster.renew(2, 1..5);
        assert_eq!(cluster.dispatching_gateways().len().min(8), (*size).min(8), "{size} gateways");
        assert_eq!(cluster.nodes.iter().filter(|n| n.table.len() == 1).count(), *size);
    }
}

// Guards against requests that fail at an engine during an orderly shutdown. The engine announces
// `leaving` to one gateway, and the others must not wait for the next batch or renewal to learn of
// it.
#[test]
fn no_gateway_dispatches_after_the_reply_to_leaving() {
    for size in SIZES {
        let cluster = TestCluster::new(2, *size);
        cluster.renew(1, 1..4);
        let before = cluster.world.now();
        cluster.announce(1, &announcement(1, 9, Leaving));
        assert_eq!(cluster.dispatching_gateways(), [0; 0], "{size} gateways");
        let waited = cluster.world.now().since(before).as_millis();
        assert!(waited < 50, "{size} gateways: reply after {waited} ms");
    }
}

// Guards against losing a `leaving` announcement with the gateway that received it. That gateway is
// cut off from all peers but one and fails after 3 ms (a call in progress takes 2 ms), before the
// engine has a reply. Only the one peer has received the change and must relay it.
#[test]
fn leaving_spreads_if_its_gateway_dies_after_notifying_one_peer() {
    for size in SIZES {
        let cluster = TestCluster::new(3, *size);
        cluster.renew(1, 1..4);
        for other in (0..*size).filter(|other| ![1, 2].contains(other)) {
            cluster.link.partition(cluster.nodes[1].address, cluster.nodes[other].address);
        }
        let relay = cluster.nodes[1].relay.clone();
        let context = cluster.nodes[1].process.context().clone();
        context.spawner.spawn(Box::pin(async move {
            let _ = relay.announce(&announcement(1, 9, Leaving)).await;
        }));
        cluster.run_millis(3);
        cluster.kill(1);
        cluster.run_millis(1_997);
        assert_eq!(cluster.dispatching_gateways(), [0; 0], "{size} gateways");
    }
}

// Guards against relying on an unacknowledged announcement. The gateway fails before it has
// notified any peer, and the engine, which has no reply, announces `leaving` to another gateway.
#[test]
fn leaving_announced_again_after_a_missing_reply_takes_effect() {
    let cluster = TestCluster::new(4, 9);
    cluster.renew(1, 1..4);
    cluster.kill(1);
    cluster.announce(2, &announcement(1, 9, Leaving));
    assert_eq!(cluster.dispatching_gateways(), [0; 0]);
}

// Guards against a restarted gateway that dispatches requests to an engine that has left, or
// refuses requests although the region has engines. The gateway starts without any state and must
// fetch it from its peers instead of waiting for the next announcements.
#[test]
fn restarted_gateway_syncs_from_its_peers() {
    for size in SIZES {
        let mut cluster = TestCluster::new(5, *size);
        cluster.renew(1, 1..4);
        let mut other = announcement(1, 1, Leaving);
        other.name = name("e2");
        cluster.announce(1, &other);
        cluster.restart(2, 2);
        cluster.run_millis(100);
        let table = &cluster.nodes[2].table;
        assert!(cluster.nodes[2].relay.is_joined(), "{size} gateways");
        assert_eq!(table.health(&name("e2")), Some(BackendHealth::Leaving), "{size} gateways");
        let e1 = table.health(&name("e1"));
        assert!(e1 <= Some(BackendHealth::Suspect), "{size} gateways: {e1:?}");
        cluster.run_millis(5_000);
        assert_eq!(cluster.nodes[0].relay.members().len(), *size, "{size} gateways");
    }
}

// Guards against requests that wait at a failed engine. The VM of the engine fails without notice,
// and gateways must not keep refreshing its lease from each other's last reports.
#[test]
fn silent_engine_expires_on_every_gateway() {
    for size in SIZES {
        let cluster = TestCluster::new(6, *size);
        cluster.renew(1, 1..4);
        let lease = cluster.announce(1, &announcement(1, 4, Serving)).lease_millis;
        cluster.run_millis(lease + 1_000);
        assert_eq!(cluster.dispatching_gateways(), [0; 0], "{size} gateways");
        assert_eq!(cluster.healths(), only(BackendHealth::Expired), "{size} gateways");
        cluster.announce(2, &announcement(1, 20, Serving));
        cluster.run_millis(5_000);
        assert!(
            !cluster.dispatching_gateways().is_empty(),
            "{size} gateways: serving again after the silence"
        );
    }
}

// Guards against removing live engines. The gateway to which an engine announces fails, and the
// engine takes a while to find another one. The lease must not depend on the gateway that granted
// it.
#[test]
fn engine_survives_the_failure_of_its_gateway() {
    for size in SIZES {
        let cluster = TestCluster::new(7, *size);
        cluster.renew(1, 1..4);
        cluster.kill(1);
        cluster.run_millis(2_500);
        assert!(!cluster.dispatching_gateways().is_empty(), "{size} gateways");
        cluster.renew(2, 5..8);
        assert_eq!(
            cluster.dispatching_gateways().len().min(8),
            (size - 1).min(8),
            "{size} gateways"
        );
        let down = cluster.nodes[0].events.count("gateway.down");
        assert_eq!(down, 1, "{size} gateways");
    }
}

// Guards against a permanent split after a partition. Gateways 0 and 1 are cut off for 20 s and
// each side declares the other dead. The engine leaves in the meantime. After the partition heals,
// both sides must contact the gateways that they consider dead, and no gateway may dispatch
// requests to the engine.
#[test]
fn partitioned_gateways_reconnect_and_converge() {
    for size in SIZES {
        let cluster = TestCluster::new(8, *size);
        cluster.renew(2, 1..4);
        for near in [0, 1] {
            for far in 2..*size {
                cluster.link.partition(cluster.nodes[near].address, cluster.nodes[far].address);
            }
        }
        cluster.run_millis(5_000);
        cluster.announce(2, &announcement(1, 9, Leaving));
        cluster.run_millis(15_000);
        assert_eq!(cluster.nodes[0].relay.members().len(), 2, "{size} gateways");
        cluster.link.heal_all();
        cluster.run_millis(15_000);
        for node in &cluster.nodes {
            assert_eq!(node.relay.members().len(), *size, "{size} gateways");
        }
        assert_eq!(cluster.healths(), only(BackendHealth::Leaving), "{size} gateways");
    }
}

// Guards against ignoring a restarted gateway until its old record is dropped after ten minutes.
// The new VM has a clock that is behind, so the new run has a lower incarnation than the old one.
#[test]
fn gateway_restarted_with_a_lower_incarnation_rejoins() {
    let mut cluster = TestCluster::new(9, 9);
    cluster.restart(4, 0);
    cluster.run_millis(8_000);
    for node in &cluster.nodes {
        assert_eq!(node.relay.members().len(), 9);
        assert!(node.table.is_empty());
    }
    cluster.announce(4, &announcement(1, 1, Serving));
    cluster.run_millis(3_000);
    assert_eq!(cluster.dispatching_gateways().len(), 9);
}

// Guards against a gateway that gets no updates although all its calls succeed. It starts while
// most messages are lost, and its seeds and peers restart and no longer know it. A peer that does
// not know a gateway answers its calls but does not call it.
#[test]
fn gateway_unknown_to_its_peers_introduces_itself() {
    let mut cluster = TestCluster::new(10, 4);
    let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.address).collect();
    cluster.link.isolate(addresses[3], &addresses);
    (0..3).for_each(|index| cluster.restart(index, 2));
    cluster.run_millis(500);
    cluster.link.heal_all();
    cluster.run_millis(20_000);
    for node in &cluster.nodes {
        assert_eq!(node.relay.members().len(), 4);
    }
}

// Guards against dispatching requests to an engine that left while the VM of a gateway was stalled.
// The gateway is cut off, its row declares it dead, the engine leaves, and the partition heals.
// Peers send nothing to a dead gateway, so it must fetch what it missed when it returns.
#[test]
fn stalled_gateway_recovers_missed_changes() {
    for size in SIZES {
        let cluster = TestCluster::new(11, *size);
        cluster.renew(1, 1..6);
        let addresses: Vec<_> = cluster.nodes.iter().map(|node| node.address).collect();
        cluster.link.isolate(addresses[2], &addresses);
        cluster.run_millis(3_000);
        cluster.announce(1, &announcement(1, 9, Leaving));
        cluster.run_millis(1_000);
        cluster.link.heal_all();
        cluster.run_millis(2_000);
        assert_eq!(cluster.dispatching_gateways(), [0; 0], "{size} gateways");
    }
}
