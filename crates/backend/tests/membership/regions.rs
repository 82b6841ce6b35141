//! Exchange of capacity and load between regions.

use {
    crate::{
        cluster::{TestCluster, region_name},
        common::{announcement, model, name},
    },
    gullglade_backend::{BackendTarget, RegionSummary, ServingState::Serving},
    std::{ops::Range, time::Duration},
};

/// Returns the state of region number `of` as known to gateway `index`.
fn summary(cluster: &TestCluster, index: usize, of: usize) -> Option<RegionSummary> {
    let summaries = cluster.nodes[index].relay.summaries(BackendTarget::Model(&model()));
    summaries.into_iter().find(|s| s.region == region_name(of))
}

/// Announces `count` engines of 8 slots, each with `running` running requests, to gateway `index`
/// every 2 s.
fn renew_engines(
    cluster: &TestCluster,
    index: usize,
    count: u32,
    running: u32,
    sequences: Range<u64>,
) {
    for sequence in sequences {
        for engine in 0..count {
            let mut announcement = announcement(1, sequence, Serving);
            announcement.name = name(&format!("engine-{engine}"));
            announcement.load.running = running;
            cluster.announce(index, &announcement);
        }
        cluster.run_millis(2_000);
    }
}

#[test]
fn every_gateway_receives_the_totals_of_other_regions() {
    for counts in [[3, 3, 3], [9, 6, 7], [20, 13, 3]] {
        let cluster = TestCluster::with_regions(1, &counts);
        renew_engines(&cluster, 1, 5, 2, 1..6);
        for index in 0..cluster.nodes.len() {
            let offer = summary(&cluster, index, 0);
            if cluster.nodes[index].region == region_name(0) {
                assert_eq!(offer, None, "{counts:?}: summary of its own region");
                continue;
            }
            let offer =
                offer.unwrap_or_else(|| panic!("{counts:?}: gateway {index} has no summary"));
            assert!(offer.is_reachable);
            assert_eq!(offer.totals.engines, 5, "{counts:?}");
            assert_eq!(offer.totals.slots, 40);
            assert_eq!(
                offer.totals.free_slots,
                40 - 5 * 2 - 4,
                "one tenth of the slots is reserved"
            );
            assert_eq!(offer.delay, Duration::from_millis(55));
            assert!(offer.age < Duration::from_secs(6), "{counts:?}: {:?}", offer.age);
            assert!(!cluster.nodes[index].relay.contacts(&region_name(0)).is_empty());
        }
    }
}

// Guards against outdated totals of another region. The engines fill up, and the message that
// reports it reaches only part of the other region. Since only changes are sent, the lost one must
// be recovered by other means.
#[test]
fn lost_change_of_totals_is_resent() {
    let cluster = TestCluster::with_regions(2, &[3, 9]);
    renew_engines(&cluster, 1, 5, 0, 1..5);
    let far: Vec<_> = cluster.nodes[3..].iter().map(|node| node.address).collect();
    cluster.link.isolate(far[4], &far);
    for near in &cluster.nodes[..3] {
        cluster.link.isolate(near.address, &far);
    }
    cluster.run_millis(3_000);
    cluster.link.heal_all();
    renew_engines(&cluster, 1, 5, 8, 5..30);
    for index in 3..cluster.nodes.len() {
        assert_eq!(summary(&cluster, index, 0).unwrap().totals.free_slots, 0, "gateway {index}");
    }
}

// Guards against directing callers to an unreachable region, and against never using it again after
// it returns. The link to the region is cut for 30 s and restored.
#[test]
fn partitioned_region_becomes_unreachable_and_recovers() {
    let cluster = TestCluster::with_regions(3, &[4, 5, 3]);
    let cut: Vec<_> = cluster.nodes[4..].iter().map(|node| node.address).collect();
    renew_engines(&cluster, 1, 5, 0, 1..5);
    assert!(summary(&cluster, 6, 0).unwrap().is_reachable);
    cluster.nodes[..4].iter().for_each(|node| cluster.link.isolate(node.address, &cut));
    cluster.run_millis(12_000);
    assert!(!summary(&cluster, 6, 0).unwrap().is_reachable);
    cluster.run_millis(18_000);
    cluster.link.heal_all();
    renew_engines(&cluster, 1, 5, 0, 5..9);
    let offer = summary(&cluster, 6, 0).unwrap();
    assert!(offer.is_reachable);
    assert!(offer.reachable_for < Duration::from_secs(10), "reachable only since its return");
}

// Guards against regions, and the gateways of one region, losing contact permanently. All gateways
// of a region fail, and three of them restart, but not the two that serve as seeds. They can find
// each other only through the other region.
#[test]
fn region_is_rediscovered_after_losing_all_reporters() {
    let mut cluster = TestCluster::with_regions(4, &[5, 4]);
    renew_engines(&cluster, 1, 3, 0, 1..5);
    (0..5).for_each(|index| cluster.kill(index));
    cluster.run_millis(20_000);
    assert!(!summary(&cluster, 6, 0).unwrap().is_reachable);
    for index in 2..5 {
        cluster.restart(index, 2);
    }
    cluster.run_millis(10_000);
    for index in 2..5 {
        assert_eq!(cluster.nodes[index].relay.members().len(), 3, "gateway {index}");
    }
    renew_engines(&cluster, 3, 2, 0, 5..10);
    for index in 5..9 {
        let offer = summary(&cluster, index, 0).unwrap();
        assert!(offer.is_reachable, "gateway {index}");
        assert_eq!(offer.totals.engines, 2, "gateway {index}");
    }
}
