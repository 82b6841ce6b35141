//! Cost of scheduling decisions: placing one request among many idle engines, and scanning a long
//! queue while all engines of the region are full.
#![allow(missing_docs, reason = "criterion's macros make undocumented functions")]

#[path = "../tests/support/mod.rs"]
mod support;

use {
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    gullglade_dispatch::{Scheduler, WorkOutcome},
    support::{at, item, prompt, route, scheduler, sent_hint},
};

/// Number of engines in a region of average size.
const CANDIDATES: usize = 145;

/// Engines, gateways and queued requests of a region at its peak.
const PEAK: (usize, usize, u64) = (56, 22, 40);

fn decide(c: &mut Criterion) {
    let mut scheduler = scheduler(0, 22, CANDIDATES, 0.0);
    let route = route(1, 800, 10_000);
    let mut id = 0;
    c.bench_function("one request among 145 idle engines", |bencher| {
        bencher.iter(|| {
            id += 1;
            let work = item(&route, Some(prompt(id % 500, 5_000, 6_000, id)), at(id));
            let ticket = scheduler.submit(work, at(id));
            assert_eq!(scheduler.poll(at(id)).len(), 1, "it is placed");
            scheduler.end(ticket, WorkOutcome::Answered, at(id + 1));
            scheduler.take_hints(at(id + 1))
        });
    });
}

/// A gateway whose engines are all full, with queued requests of three priorities.
fn at_peak() -> Scheduler {
    let (engines, gateways, waiting) = PEAK;
    let mut scheduler = scheduler(0, gateways, engines, 0.0);
    let hints: Vec<_> = (0..engines).map(|index| sent_hint(index, 60_000, &[])).collect();
    scheduler.note_hints(hints, at(1_000));
    for id in 0..waiting {
        let route = route((id % 3) as u8, 2_000, 10_000);
        let shape = prompt(id, 5_000, 6_000, id);
        scheduler.submit(item(&route, Some(shape), at(1_000)), at(1_000));
    }
    scheduler
}

fn look_at_queue(c: &mut Criterion) {
    c.bench_function("a look at 40 that wait for 56 full engines", |bencher| {
        bencher.iter_batched_ref(
            at_peak,
            |scheduler| assert!(scheduler.poll(at(1_001)).is_empty(), "all of them wait"),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, decide, look_at_queue);
criterion_main!(benches);
