//! The estimate of an engine's prompt cache.

use {
    super::CacheEstimate,
    crate::{CacheEvent, CacheEvents, PrefixHash},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

const HALF_LIFE: Duration = Duration::from_secs(100);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs(seconds))
}

fn chain(hashes: impl IntoIterator<Item = u64>) -> Vec<PrefixHash> {
    hashes.into_iter().map(PrefixHash).collect()
}

fn stored(first: u64, hashes: impl IntoIterator<Item = u64>) -> CacheEvents {
    let events = chain(hashes).into_iter().map(CacheEvent::Stored).collect();
    CacheEvents { first, events }
}

struct EventCase {
    name: &'static str,
    messages: Vec<CacheEvents>,
    /// Blocks of the chain 1, 2, 3 expected in the cache.
    expected: f32,
}

// Symptom: requests are sent to an engine for a cache that it no longer has.
// Events: its cache events come late, twice or with gaps.
// Cause: an eviction among the lost ones is never seen.
#[test]
fn events_late_doubled_and_lost() {
    let evicted =
        |first, hash| CacheEvents { first, events: vec![CacheEvent::Evicted(PrefixHash(hash))] };
    let cleared = |first| CacheEvents { first, events: vec![CacheEvent::Cleared] };
    let cases = [
        EventCase { name: "whole", messages: vec![stored(1, 1..=3)], expected: 3.0 },
        EventCase {
            name: "evicted",
            messages: vec![stored(1, 1..=3), evicted(4, 3)],
            expected: 2.0,
        },
        EventCase {
            name: "a hole in the chain",
            messages: vec![stored(1, 1..=3), evicted(4, 2)],
            expected: 1.0,
        },
        EventCase {
            name: "the root evicted",
            messages: vec![stored(1, 1..=3), evicted(4, 1)],
            expected: 0.0,
        },
        EventCase { name: "cleared", messages: vec![stored(1, 1..=3), cleared(4)], expected: 0.0 },
        EventCase {
            name: "doubled",
            messages: vec![stored(1, 1..=3), evicted(4, 3), stored(1, 1..=3)],
            expected: 2.0,
        },
        EventCase {
            name: "overlapping",
            messages: vec![stored(1, 1..=2), stored(2, 2..=3)],
            expected: 3.0,
        },
        EventCase {
            name: "a gap halves",
            messages: vec![stored(1, 1..=3), evicted(9, 77)],
            expected: 1.5,
        },
        EventCase {
            name: "two gaps",
            messages: vec![stored(1, 1..=3), evicted(9, 77), evicted(20, 77)],
            expected: 0.75,
        },
        EventCase {
            name: "told again after a gap",
            messages: vec![stored(1, 1..=3), stored(9, 1..=3)],
            expected: 3.0,
        },
    ];
    for case in cases {
        let mut estimate = CacheEstimate::new(64, HALF_LIFE);
        case.messages.iter().for_each(|message| estimate.apply_events(message, at(0)));
        let expected = estimate.expected_blocks(&chain(1..=3), at(0));
        assert!((expected - case.expected).abs() < 1e-4, "{}: {expected}", case.name);
    }
}

#[test]
fn a_belief_decays_and_a_dispatch_renews_it() {
    let mut estimate = CacheEstimate::new(64, HALF_LIFE);
    estimate.record_dispatch(&chain(1..=2), at(0));
    assert!((estimate.expected_blocks(&chain(1..=2), at(100)) - 1.0).abs() < 1e-4, "half of two");
    estimate.record_dispatch(&chain(1..=2), at(100));
    assert!((estimate.expected_blocks(&chain(1..=2), at(100)) - 2.0).abs() < 1e-4);
    estimate.clear();
    assert!(estimate.expected_blocks(&chain(1..=2), at(100)) == 0.0);
}

// Symptom: a gateway's memory grows with every prompt it ever sent.
// Events: prompts that share nothing, one after the other.
// Cause: nothing tells of their eviction, so nothing is forgotten.
#[test]
fn memory_is_bounded_and_keeps_what_is_used() {
    let mut estimate = CacheEstimate::new(64, HALF_LIFE);
    for prompt in 0..10_000 {
        estimate.record_dispatch(&chain([1, 2]), at(prompt / 100));
        estimate.record_dispatch(&chain([1_000 + prompt]), at(prompt / 100));
        assert!(estimate.young.len() + estimate.old.len() <= 64);
    }
    assert!(estimate.expected_blocks(&chain([1, 2]), at(100)) > 1.9, "in use all the time");
    assert!(estimate.expected_blocks(&chain([1_000]), at(100)) == 0.0, "long gone");
}
