//! What the decision pays for its candidates: `cargo bench -p gullglade-backend`.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    gullglade_backend::{
        Announcement, BackendCapacity, BackendConfig, BackendKind, BackendProfile, BackendTable,
        BackendTarget, DispatchGuard, FencingMode, LoadReport, PrefixHash, ServingState,
    },
    gullglade_units::{Incarnation, ModelName, fake::FakeWorld},
};

/// Engines of the model asked for: the mean region, were all of one model.
const CANDIDATES: usize = 145;

/// Engines of other models beside them.
const OTHERS: usize = 435;

/// Own requests in progress at each engine.
const OWN_REQUESTS: usize = 4;

/// Blocks of the prompt asked about.
const PROMPT_BLOCKS: u64 = 32;

fn announcement(engine: usize, model: &str) -> Announcement {
    Announcement {
        name: format!("engine-{engine}").parse().expect("a name"),
        incarnation: Incarnation(1),
        sequence: 1,
        state: ServingState::Serving,
        load: LoadReport { running: 20, ..LoadReport::default() },
        profile: Some(BackendProfile {
            region: "puget".parse().expect("a name"),
            domain: format!("domain-{}", engine % 4).parse().expect("a name"),
            address: "10.0.0.9:8000".parse().expect("an address"),
            kind: BackendKind::Engine,
            models: vec![model.parse().expect("a name")],
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

fn busy_table() -> (BackendTable, Vec<DispatchGuard>) {
    let region = "puget".parse().expect("a name");
    // Time stands still, or the leases would run out while the bench runs.
    let clock = FakeWorld::new(1).1.clock;
    let table = BackendTable::new(region, BackendConfig::default(), clock);
    let mut guards = Vec::new();
    let prefixes: Vec<PrefixHash> = (0..PROMPT_BLOCKS / 2).map(PrefixHash).collect();
    for engine in 0..CANDIDATES + OTHERS {
        let model = if engine < CANDIDATES { "ballast" } else { "other" };
        let said = announcement(engine, model);
        table.announce(&said).expect("room in the table");
        for _ in 0..OWN_REQUESTS {
            guards.extend(table.dispatch(&said.name, 500, &prefixes));
        }
    }
    (table, guards)
}

fn bench(criterion: &mut Criterion) {
    let (table, _guards) = busy_table();
    let model: ModelName = "ballast".parse().expect("a name");
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
