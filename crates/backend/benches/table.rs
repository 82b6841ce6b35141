//! Benchmarks of candidate selection for the routing decision: `cargo bench -p gullglade-backend`.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    gullglade_backend::{
        Announcement, BackendCapacity, BackendConfig, BackendKind, BackendProfile, BackendTable,
        BackendTarget, DispatchGuard, FencingMode, LoadReport, PrefixHash, ServingState,
    },
    gullglade_units::{Incarnation, ModelName, fake::FakeWorld},
};

/// Engines of the requested model: the size of a mean region in which all engines serve one model.
const CANDIDATES: usize = 145;

/// Engines of other models.
const OTHER_ENGINES: usize = 435;

/// Requests of this gateway in progress at each engine.
const OWN_REQUESTS: usize = 4;

/// Blocks of the requested prompt.
const PROMPT_BLOCKS: u64 = 32;

fn announcement(engine: usize, model: &str) -> Announcement {
    Announcement {
        name: format!("engine-{engine}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
        sequence: 1,
        state: ServingState::Serving,
        load: LoadReport { running: 20, ..LoadReport::default() },
        profile: Some(BackendProfile {
            region: "puget".parse().expect("a valid name"),
            domain: format!("domain-{}", engine % 4).parse().expect("a valid name"),
            address: "10.0.0.9:8000".parse().expect("a valid address"),
            kind: BackendKind::Engine,
            models: vec![model.parse().expect("a valid name")],
            services: Vec::new(),
            capacity: BackendCapacity {
                slots: 32,
                tokens_per_second: 1_600,
                prefill_tokens_per_second: 8_000,
                cache_tokens: 400_000,
            },
            fencing: FencingMode::Checks,
        }),
        cache_events: None,
    }
}

fn loaded_table() -> (BackendTable, Vec<DispatchGuard>) {
    let region = "puget".parse().expect("a valid name");
    // The clock does not advance. Otherwise the leases would expire during the benchmark.
    let clock = FakeWorld::new(1).1.clock;
    let table = BackendTable::new(region, BackendConfig::default(), clock);
    let mut guards = Vec::new();
    let prefixes: Vec<PrefixHash> = (0..PROMPT_BLOCKS / 2).map(PrefixHash).collect();
    for engine in 0..CANDIDATES + OTHER_ENGINES {
        let model = if engine < CANDIDATES { "ballast" } else { "other" };
        let announcement = announcement(engine, model);
        table.announce(&announcement).expect("room in the table");
        for _ in 0..OWN_REQUESTS {
            guards.extend(table.dispatch(&announcement.name, 500, &prefixes));
        }
    }
    (table, guards)
}

fn bench(criterion: &mut Criterion) {
    let (table, _guards) = loaded_table();
    let model: ModelName = "ballast".parse().expect("a valid name");
    let blocks: Vec<PrefixHash> = (0..PROMPT_BLOCKS).map(PrefixHash).collect();
    criterion.bench_function("read 145 of 580 engines", |bencher| {
        bencher.iter(|| {
            table.with_candidates(BackendTarget::Model(&model), |views| {
                assert_eq!(views.len(), CANDIDATES);
                views.iter().map(|view| view.requests()).sum::<u32>()
            })
        });
    });
    criterion.bench_function("read 145 engines, with 32 prompt blocks each", |bencher| {
        bencher.iter(|| {
            table.with_candidates(BackendTarget::Model(&model), |views| {
                views.iter().map(|view| view.expected_cached_tokens(&blocks)).sum::<u32>()
            })
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
