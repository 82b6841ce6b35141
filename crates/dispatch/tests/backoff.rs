//! Back-off that backend servers request with their rejections.

mod support;

use {
    gullglade_dispatch::{BackendStatements, Decision, Scheduler, StatedBackoff, WorkOutcome},
    gullglade_units::{RandomSource, SeededRandom},
    std::ops::Range,
    support::{
        at,
        backoff_play::{BackoffOutcome, BackoffPlay, BackoffScenario, RejectPhase},
        item, route, scheduler, setting,
    },
};

/// The rule: no more than these requests from one gateway in a back-off that was requested of it.
const ALLOWED: usize = 2;

/// What this project promises: none that was placed after the rejection was read.
const PROMISED: usize = 0;

fn play(scenario: &BackoffScenario, seed: u64) -> BackoffOutcome {
    BackoffPlay::new(scenario, seed).play()
}

fn phase(engine: usize, during: Range<u64>, backoff_ms: u64) -> RejectPhase {
    RejectPhase { engine, during, backoff_ms: Some(backoff_ms) }
}

/// Engines that requested a back-off of a gateway were sent more requests by it than before, as one
/// that rejects at once looks idle.
#[test]
fn a_backend_server_gets_nothing_in_the_backoff_that_it_requested() {
    struct Case {
        what: &'static str,
        scenario: BackoffScenario,
    }
    let small = BackoffScenario::small;
    let many = |gateways, per_second| BackoffScenario { gateways, per_second, ..small() };
    let series = vec![phase(0, 3_000..5_000, 1_000), phase(1, 6_000..9_000, 2_000)];
    let overlapping = vec![phase(0, 3_000..8_000, 4_000), phase(1, 5_000..9_000, 700)];
    let all = (0..4).map(|engine| phase(engine, 4_000..8_000, 2_000)).collect();
    let cases = [
        Case { what: "two of four", scenario: small() },
        Case { what: "one gateway", scenario: many(1, 30.0) },
        Case { what: "in series", scenario: BackoffScenario { phases: series, ..small() } },
        Case { what: "overlapping", scenario: BackoffScenario { phases: overlapping, ..small() } },
        Case { what: "all of them", scenario: BackoffScenario { phases: all, ..small() } },
        Case { what: "many gateways", scenario: many(60, 2.0) },
        Case { what: "very many gateways", scenario: many(300, 0.4) },
    ];
    let mut broken = Vec::new();
    for Case { what, scenario } in cases {
        for seed in 0..3 {
            let most = play(&scenario, seed).most_in_backoff;
            if most > PROMISED {
                broken.push(format!("{what}, seed {seed}: {most}, {ALLOWED} allowed"));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// A time of 500 ms and more that begins at a multiple of the play's step.
fn some_time(random: &SeededRandom, length_ms: u64) -> Range<u64> {
    let start = 1_000 + random.below(length_ms / 10) * 5;
    start..start + 500 + random.below(400) * 5
}

fn any_scenario(seed: u64) -> BackoffScenario {
    const LENGTH_MS: u64 = 8_000;
    let random = SeededRandom::new(seed);
    let (gateways, engines) = (1 + random.below(4) as usize, 1 + random.below(4) as usize);
    let any_engine = |_| random.below(engines as u64) as usize;
    let phases = (0..1 + random.below(5)).map(|index| {
        let backoff_ms = (random.below(5) > 0).then(|| 300 + random.below(3_500));
        RejectPhase { engine: any_engine(index), during: some_time(&random, LENGTH_MS), backoff_ms }
    });
    let restarts = (0..random.below(3))
        .map(|_| (random.below(gateways as u64) as usize, some_time(&random, LENGTH_MS).start));
    let lost = (0..random.below(3)).map(|i| (any_engine(i), some_time(&random, LENGTH_MS)));
    BackoffScenario {
        gateways,
        engines,
        per_second: 2.0 + random.unit() * 30.0,
        timeout_ms: 300 + random.below(4_000),
        work_ms: 20 + random.below(300),
        phases: phases.collect(),
        length_ms: LENGTH_MS,
        link_ms: if random.below(4) == 0 { 200 } else { 2 },
        lost: random.unit() * 0.5,
        restarts: restarts.collect(),
        unannounced: lost.collect(),
    }
}

/// A back-off was forgotten after a lost announcement, a restart of another gateway or a second rejection.
#[test]
fn backoff_is_kept_in_any_order_of_faults() {
    let plays = setting("GULLGLADE_BACKOFF_PLAYS", 300);
    let most = |seed: &u64| play(&any_scenario(*seed), *seed).most_in_backoff;
    let broken: Vec<u64> = (0..plays).filter(|seed| most(seed) > PROMISED).collect();
    assert!(broken.is_empty(), "seeds {broken:?}");
}

/// Requests were turned away until the end of a long back-off, though others of the service that had
/// just failed were to be tried again within half a second.
#[test]
fn suspects_are_tried_before_the_end_of_a_long_backoff() {
    let mut run = scheduler(0, 1, 2, 0.0);
    let place = |run: &mut Scheduler, ms: u64| {
        let ticket = run.submit(item(&route(0, 1_200, 2_500), None, at(ms)), at(ms));
        let verdict = run.poll(at(ms)).pop().map(|(_, verdict)| verdict);
        if verdict.is_none() {
            run.withdraw(ticket);
        }
        (ticket, verdict)
    };
    let backoff = StatedBackoff::try_from(30.0).ok();
    let stated = BackendStatements { backoff, ..BackendStatements::default() };
    let (rejected, _) = place(&mut run, 10_000);
    let (broken, _) = place(&mut run, 10_000);
    run.note_statements(rejected, &stated, at(10_001));
    run.end(rejected, WorkOutcome::Shed, at(10_001));
    run.end(broken, WorkOutcome::Broken, at(10_001));
    let (_, waits) = place(&mut run, 10_010);
    assert_eq!(waits, None, "the suspect is tried again soon");
    let (_, sent) = place(&mut run, 10_500);
    assert!(matches!(sent, Some(Decision::Send { .. })), "{sent:?}");
}
