//! Failures of backend servers and gateways, as a whole region sees them.

use {
    crate::{
        common::{announcement, name},
        region::Region,
    },
    gullglade_backend::{
        BackendHealth,
        ServingState::{Leaving, Serving},
    },
    std::collections::BTreeSet,
};

/// Sizes of regions: today's, the mean of the design size, and one with more rows.
const SIZES: &[usize] = &[3, 9, 18, 40];

fn only(health: BackendHealth) -> BTreeSet<Option<BackendHealth>> {
    BTreeSet::from([Some(health)])
}

#[test]
fn an_announcement_reaches_every_gateway() {
    for size in SIZES {
        let region = Region::new(1, *size);
        // Two steps of one tick each: 8 s at most where ticks are stretched twofold.
        region.renew(2, 1..5);
        assert_eq!(region.senders().len().min(8), (*size).min(8), "{size} gateways");
        assert_eq!(region.nodes.iter().filter(|n| n.table.len() == 1).count(), *size);
    }
}

// Symptom: requests fail at an engine that shuts down in order.
// Events: it says `leaving` to one gateway; others still hold it for serving.
// Cause: the word waits for the next batch, or for the next renewal.
#[test]
fn nobody_sends_new_work_once_leaving_is_answered() {
    for size in SIZES {
        let region = Region::new(2, *size);
        region.renew(1, 1..4);
        let before = region.world.now();
        region.announce(1, &announcement(1, 9, Leaving));
        assert_eq!(region.senders(), [0; 0], "{size} gateways");
        let waited = region.world.now().since(before).as_millis();
        assert!(waited < 50, "{size} gateways: answered after {waited} ms");
    }
}

// Symptom: a gateway sends work to an engine that said 2 s ago that it leaves.
// Events: the engine says so to a gateway that is cut off from all peers but one and dies 3 ms
// later (a call in progress takes 2): that one peer has heard, the engine has no answer, nobody
// lives who heard it first.
// Cause: the word is relayed only by the gateway that heard it.
#[test]
fn leaving_gets_round_when_its_gateway_dies_right_after() {
    for size in SIZES {
        let region = Region::new(3, *size);
        region.renew(1, 1..4);
        for other in (0..*size).filter(|other| ![1, 2].contains(other)) {
            region.link.partition(region.nodes[1].address, region.nodes[other].address);
        }
        let relay = region.nodes[1].relay.clone();
        let context = region.nodes[1].process.context().clone();
        context.spawner.spawn(Box::pin(async move {
            let _ = relay.announce(&announcement(1, 9, Leaving)).await;
        }));
        region.run_millis(3);
        region.kill(1);
        region.run_millis(1_997);
        assert_eq!(region.senders(), [0; 0], "{size} gateways");
    }
}

// Symptom: the same, and the word died with the gateway.
// Events: the gateway dies before it has told anybody; the engine, without an answer, says it to
// another gateway.
// Cause: an engine that takes the sending of its word for its arrival.
#[test]
fn leaving_is_said_again_where_no_answer_came() {
    let region = Region::new(4, 9);
    region.renew(1, 1..4);
    region.kill(1);
    region.announce(2, &announcement(1, 9, Leaving));
    assert_eq!(region.senders(), [0; 0]);
}

// Symptom: a gateway that restarted sends work to an engine that left, or refuses requests for
// want of engines although the region has them.
// Events: one engine serves, another left; the gateway restarts knowing nobody.
// Cause: it waits for the next announcement instead of asking its peers.
#[test]
fn a_restarted_gateway_asks_its_peers() {
    for size in SIZES {
        let mut region = Region::new(5, *size);
        region.renew(1, 1..4);
        let mut other = announcement(1, 1, Leaving);
        other.name = name("e2");
        region.announce(1, &other);
        region.restart(2, 2);
        region.run_millis(100);
        let table = &region.nodes[2].table;
        assert!(region.nodes[2].relay.is_joined(), "{size} gateways");
        assert_eq!(table.health(&name("e2")), Some(BackendHealth::Leaving), "{size} gateways");
        let e1 = table.health(&name("e1"));
        assert!(e1 <= Some(BackendHealth::Suspect), "{size} gateways: {e1:?}");
        region.run_millis(5_000);
        assert_eq!(region.nodes[0].relay.members().len(), *size, "{size} gateways");
    }
}

// Symptom: requests wait at a dead engine.
// Events: the engine's VM dies; nobody says a word.
// Cause: peers go on believing each other's last word instead of the engine's silence.
#[test]
fn silent_death_is_out_everywhere() {
    for size in SIZES {
        let region = Region::new(6, *size);
        region.renew(1, 1..4);
        let lease = region.announce(1, &announcement(1, 4, Serving)).lease_millis;
        region.run_millis(lease + 1_000);
        assert_eq!(region.senders(), [0; 0], "{size} gateways");
        assert_eq!(region.healths(), only(BackendHealth::Expired), "{size} gateways");
        region.announce(2, &announcement(1, 20, Serving));
        region.run_millis(5_000);
        assert!(!region.senders().is_empty(), "{size} gateways: back after the silence");
    }
}

// Symptom: engines vanish although they are alive.
// Events: the gateway to which an engine announces dies; the engine finds another a while later.
// Cause: the lease is tied to the gateway that granted it.
#[test]
fn an_engine_outlives_the_gateway_it_announced_to() {
    for size in SIZES {
        let region = Region::new(7, *size);
        region.renew(1, 1..4);
        region.kill(1);
        region.run_millis(2_500);
        assert!(!region.senders().is_empty(), "{size} gateways");
        region.renew(2, 5..8);
        assert_eq!(region.senders().len().min(8), (size - 1).min(8), "{size} gateways");
        let down = region.nodes[0].events.count("gateway.down");
        assert_eq!(down, 1, "{size} gateways");
    }
}

// Symptom: after a partition inside a region two halves never meet again, and an engine that left
// in one half gets work in the other for good.
// Events: gateways 0 and 1 are cut off for 20 s, each side declares the other dead; meanwhile the
// engine leaves; the cut heals.
// Cause: nobody calls the dead.
#[test]
fn halves_meet_again_after_a_partition() {
    for size in SIZES {
        let region = Region::new(8, *size);
        region.renew(2, 1..4);
        for near in [0, 1] {
            for far in 2..*size {
                region.link.partition(region.nodes[near].address, region.nodes[far].address);
            }
        }
        region.run_millis(5_000);
        region.announce(2, &announcement(1, 9, Leaving));
        region.run_millis(15_000);
        assert_eq!(region.nodes[0].relay.members().len(), 2, "{size} gateways");
        region.link.heal_all();
        region.run_millis(15_000);
        for node in &region.nodes {
            assert_eq!(node.relay.members().len(), *size, "{size} gateways");
        }
        assert_eq!(region.healths(), only(BackendHealth::Leaving), "{size} gateways");
    }
}

// Symptom: a restarted gateway is ignored by its region for ten minutes.
// Events: its VM is replaced by one whose clock is behind, so its incarnation is the lower one.
// Cause: its records lose against those of the run before.
#[test]
fn a_gateway_with_a_clock_behind_is_heard() {
    let mut region = Region::new(9, 9);
    region.restart(4, 0);
    region.run_millis(8_000);
    for node in &region.nodes {
        assert_eq!(node.relay.members().len(), 9);
        assert!(node.table.is_empty());
    }
    region.announce(4, &announcement(1, 1, Serving));
    region.run_millis(3_000);
    assert_eq!(region.senders().len(), 9);
}

// Symptom: a gateway hears nothing of its region although all its calls are answered.
// Events: it starts while the network loses most; its seeds and all of its peers restart and no
// longer know it, but where it believes they are somebody answers.
// Cause: whoever does not know a gateway does not call it, and answers its calls all the same.
#[test]
fn a_gateway_that_nobody_knows_makes_itself_known() {
    let mut region = Region::new(10, 4);
    let addresses: Vec<_> = region.nodes.iter().map(|node| node.address).collect();
    region.link.isolate(addresses[3], &addresses);
    (0..3).for_each(|index| region.restart(index, 2));
    region.run_millis(500);
    region.link.heal_all();
    region.run_millis(20_000);
    for node in &region.nodes {
        assert_eq!(node.relay.members().len(), 4);
    }
}

// Symptom: a gateway whose VM stood still for some seconds sends work to an engine that left in
// the meantime.
// Events: the gateway is cut off from all, its row takes it for dead, the engine leaves, the cut
// ends.
// Cause: nobody tells the dead, and nobody tells one who returns what it missed.
#[test]
fn a_gateway_that_stood_still_is_told_what_it_missed() {
    for size in SIZES {
        let region = Region::new(11, *size);
        region.renew(1, 1..6);
        let addresses: Vec<_> = region.nodes.iter().map(|node| node.address).collect();
        region.link.isolate(addresses[2], &addresses);
        region.run_millis(3_000);
        region.announce(1, &announcement(1, 9, Leaving));
        region.run_millis(1_000);
        region.link.heal_all();
        region.run_millis(2_000);
        assert_eq!(region.senders(), [0; 0], "{size} gateways");
    }
}
