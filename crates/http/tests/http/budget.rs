//! The memory of request bodies: which uploads get it, and which give way.

use {
    bytes::Bytes,
    gullglade_http::{BodyBudget, BodyError, BodyUpload},
    gullglade_units::MonotonicTime,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const LIMIT: usize = 8 << 20;
const SMALL: usize = 16 << 10;
const LARGE: usize = 1 << 20;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn upload(budget: &BodyBudget, size: usize, now: MonotonicTime) -> Result<BodyUpload, BodyError> {
    let upload = budget.begin_upload(now);
    upload.reserve(size, now)?;
    Ok(upload)
}

/// Large bodies took all memory, and small requests were refused.
#[test]
fn large_bodies_leave_memory_for_small_ones() {
    let budget = BodyBudget::new(LIMIT);
    let large: Vec<_> = (0..20).map_while(|_| upload(&budget, LARGE, at(0)).ok()).collect();
    assert_eq!(large.len(), 6);
    let small: Vec<_> = (0..64).map_while(|_| upload(&budget, SMALL, at(0)).ok()).collect();
    assert_eq!(small.len(), 64);
    assert!(budget.held() <= LIMIT);
}

/// Memory of a refused, a finished or a dropped body was never released.
#[test]
fn memory_is_released_with_the_last_reference() {
    let budget = BodyBudget::new(LIMIT);
    let whole = upload(&budget, LARGE, at(0)).expect("room");
    let body = whole.finish(Bytes::from(vec![b'x'; LARGE]));
    let part = body.slice(..10);
    drop(body);
    assert_eq!(budget.held(), LARGE);
    drop(part);
    assert_eq!(budget.held(), 0);
    drop(upload(&budget, LARGE, at(0)).expect("room"));
    assert_eq!(budget.held(), 0);
    let mut lease = budget.lease();
    lease.grow_to(LARGE).expect("room");
    assert!(matches!(lease.grow_to(2 * LIMIT), Err(BodyError::NoMemory)));
    drop(lease);
    assert_eq!(budget.held(), 0);
}

/// Uploads that stand still kept the memory until their time was over.
#[test]
fn stalled_uploads_give_way() {
    struct Case {
        name: &'static str,
        /// Bytes that arrive in each of ten steps of 200 ms.
        step: u64,
        is_evicted: bool,
    }
    let cases = [
        Case { name: "nothing arrives", step: 0, is_evicted: true },
        Case { name: "a byte a step", step: 1, is_evicted: true },
        Case { name: "as fast as needed", step: 32 << 10, is_evicted: false },
    ];
    for Case { name, step, is_evicted } in cases {
        let budget = BodyBudget::new(LIMIT);
        let held: Vec<_> = (0..6).map(|_| upload(&budget, LARGE, at(0)).expect("room")).collect();
        for tick in 1..=10 {
            held.iter().for_each(|upload| upload.note_received(tick * step, at(tick * 200)));
        }
        assert_eq!(upload(&budget, LARGE, at(2_000)).is_ok(), is_evicted, "{name}");
        let evicted = held.iter().filter(|upload| upload.held() == 0).count();
        assert_eq!(evicted, usize::from(is_evicted), "{name}");
    }
}

/// Replays a crowd: large uploads that stall, beside small ones that end. The sum stays within the
/// budget, and no small upload is refused.
#[test]
fn crowd_of_stalled_uploads_does_not_keep_out_small_ones() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let budget = BodyBudget::new(LIMIT);
        let mut stalled = Vec::new();
        for tick in 0..500 {
            let now = at(tick * 20);
            for _ in 0..random.random_range(0..8) {
                let size = random.random_range(SMALL + 1..=4 * LARGE);
                stalled.extend(upload(&budget, size, now));
            }
            if random.random_bool(0.1) && !stalled.is_empty() {
                stalled.swap_remove(random.random_range(0..stalled.len()));
            }
            for _ in 0..4 {
                let size = random.random_range(1..=SMALL);
                assert!(upload(&budget, size, now).is_ok(), "seed {seed}, tick {tick}");
            }
            assert!(budget.held() <= LIMIT, "seed {seed}, tick {tick}: {}", budget.held());
        }
    }
}
