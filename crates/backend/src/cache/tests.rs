//! Tests of the prompt cache estimate.

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
    /// Expected number of cached blocks of the chain 1, 2, 3.
    expected: f32,
}

// Guards against dispatching requests to an engine for a prefix that it has evicted. Cache events
// arrive late, twice or with gaps, and an eviction may be among the lost ones.
#[test]
fn estimate_handles_duplicate_and_lost_events() {
    let evicted =
        |first, hash| CacheEvents { first, events: vec![CacheEvent::Evicted(PrefixHash(hash))] };
    let cleared = |first| CacheEvents { first, events: vec![CacheEvent::Cleared] };
    let cases = [
        EventCase { name: "complete", messages: vec![stored(1, 1..=3)], expected: 3.0 },
        EventCase {
            name: "evicted",
            messages: vec![stored(1, 1..=3), evicted(4, 3)],
            expected: 2.0,
        },
        EventCase {
            name: "middle of the chain evicted",
            messages: vec![stored(1, 1..=3), evicted(4, 2)],
            expected: 1.0,
        },
        EventCase {
            name: "start of the chain evicted",
            messages: vec![stored(1, 1..=3), evicted(4, 1)],
            expected: 0.0,
        },
        EventCase { name: "cleared", messages: vec![stored(1, 1..=3), cleared(4)], expected: 0.0 },
        EventCase {
            name: "duplicate",
            messages: vec![stored(1, 1..=3), evicted(4, 3), stored(1, 1..=3)],
            expected: 2.0,
        },
        EventCase {
            name: "overlapping",
            messages: vec![stored(1, 1..=2), stored(2, 2..=3)],
            expected: 3.0,
        },
        EventCase {
            name: "one gap",
            messages: vec![stored(1, 1..=3), evicted(9, 77)],
            expected: 1.5,
        },
        EventCase {
            name: "two gaps",
            messages: vec![stored(1, 1..=3), evicted(9, 77), evicted(20, 77)],
            expected: 0.75,
        },
        EventCase {
            name: "stored again after a gap",
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
fn probability_decays_and_a_dispatch_renews_it() {
    let mut estimate = CacheEstimate::new(64, HALF_LIFE);
    estimate.record_dispatch(&chain(1..=2), at(0));
    assert!(
        (estimate.expected_blocks(&chain(1..=2), at(100)) - 1.0).abs() < 1e-4,
        "half of two blocks"
    );
    estimate.record_dispatch(&chain(1..=2), at(100));
    assert!((estimate.expected_blocks(&chain(1..=2), at(100)) - 2.0).abs() < 1e-4);
    estimate.clear();
    assert!(estimate.expected_blocks(&chain(1..=2), at(100)) == 0.0);
}

// Guards against memory growth with every prompt dispatched. No event reports the eviction of
// prompts that share no prefix.
#[test]
fn memory_is_bounded_and_recently_used_prefixes_are_kept() {
    let mut estimate = CacheEstimate::new(64, HALF_LIFE);
    for prompt in 0..10_000 {
        estimate.record_dispatch(&chain([1, 2]), at(prompt / 100));
        estimate.record_dispatch(&chain([1_000 + prompt]), at(prompt / 100));
        assert!(estimate.young.len() + estimate.old.len() <= 64);
    }
    assert!(estimate.expected_blocks(&chain([1, 2]), at(100)) > 1.9, "used continuously");
    assert!(estimate.expected_blocks(&chain([1_000]), at(100)) == 0.0, "evicted");
}
