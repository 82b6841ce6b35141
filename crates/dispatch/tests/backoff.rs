//! Back-off that backend servers request when they reject requests.

mod support;

use {
    gullglade_dispatch::{BackendStatements, Decision, Scheduler, StatedBackoff, WorkOutcome},
    gullglade_units::{RandomSource, SeededRandom},
    std::ops::Range,
    support::{
        at,
        backoff_simulation::{BackoffOutcome, BackoffScenario, BackoffSimulation, RejectPhase},
        env_number, item, route, scheduler,
    },
};

/// The required limit: the requests from one gateway during a back-off that was requested of it.
const REQUIRED_LIMIT: usize = 2;

/// The limit that this project promises: none that was placed after the rejection was read.
const PROMISED_LIMIT: usize = 0;

fn simulate(scenario: &BackoffScenario, seed: u64) -> BackoffOutcome {
    BackoffSimulation::new(scenario, seed).simulate()
}

fn phase(engine: usize, during: Range<u64>, backoff_ms: u64) -> RejectPhase {
    RejectPhase { engine, during, backoff_ms: Some(backoff_ms) }
}

/// Guards against gateways that send more requests to an engine after it requested a back-off,
/// because an engine that rejects at once looks idle.
#[test]
fn no_requests_are_sent_during_a_requested_backoff() {
    struct Case {
        name: &'static str,
        scenario: BackoffScenario,
    }
    let small = BackoffScenario::small;
    let many = |gateways, per_second| BackoffScenario { gateways, per_second, ..small() };
    let series = vec![phase(0, 3_000..5_000, 1_000), phase(1, 6_000..9_000, 2_000)];
    let overlapping = vec![phase(0, 3_000..8_000, 4_000), phase(1, 5_000..9_000, 700)];
    let all = (0..4).map(|engine| phase(engine, 4_000..8_000, 2_000)).collect();
    let cases = [
        Case { name: "two of four", scenario: small() },
        Case { name: "one gateway", scenario: many(1, 30.0) },
        Case { name: "in series", scenario: BackoffScenario { phases: series, ..small() } },
        Case { name: "overlapping", scenario: BackoffScenario { phases: overlapping, ..small() } },
        Case { name: "all of them", scenario: BackoffScenario { phases: all, ..small() } },
        Case { name: "many gateways", scenario: many(60, 2.0) },
        Case { name: "very many gateways", scenario: many(300, 0.4) },
    ];
    let mut violations = Vec::new();
    for Case { name, scenario } in cases {
        for seed in 0..3 {
            let most = simulate(&scenario, seed).most_in_backoff;
            if most > PROMISED_LIMIT {
                violations.push(format!("{name}, seed {seed}: {most}, {REQUIRED_LIMIT} allowed"));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Returns a period of at least 500 ms that starts at a multiple of the simulation step.
fn random_period(random: &SeededRandom, length_ms: u64) -> Range<u64> {
    let start = 1_000 + random.below(length_ms / 10) * 5;
    start..start + 500 + random.below(400) * 5
}

fn random_scenario(seed: u64) -> BackoffScenario {
    const LENGTH_MS: u64 = 8_000;
    let random = SeededRandom::new(seed);
    let (gateways, engines) = (1 + random.below(4) as usize, 1 + random.below(4) as usize);
    let any_engine = |_| random.below(engines as u64) as usize;
    let phases = (0..1 + random.below(5)).map(|index| {
        let backoff_ms = (random.below(5) > 0).then(|| 300 + random.below(3_500));
        RejectPhase {
            engine: any_engine(index),
            during: random_period(&random, LENGTH_MS),
            backoff_ms,
        }
    });
    let restarts = (0..random.below(3))
        .map(|_| (random.below(gateways as u64) as usize, random_period(&random, LENGTH_MS).start));
    let lost = (0..random.below(3)).map(|i| (any_engine(i), random_period(&random, LENGTH_MS)));
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

/// Guards against losing a back-off after a lost announcement, a restart of another gateway or a
/// second rejection.
#[test]
fn backoff_holds_in_any_order_of_faults() {
    let plays = env_number("GULLGLADE_BACKOFF_PLAYS", 300);
    let most = |seed: &u64| simulate(&random_scenario(*seed), *seed).most_in_backoff;
    let violations: Vec<u64> = (0..plays).filter(|seed| most(seed) > PROMISED_LIMIT).collect();
    assert!(violations.is_empty(), "seeds {violations:?}");
}

/// Guards against refusing requests until the end of a long back-off although other backend servers
/// of the service, which have just failed, are due for a retry within half a second.
#[test]
fn suspects_are_retried_before_the_end_of_a_long_backoff() {
    let mut run = scheduler(0, 1, 2, 0.0);
    let place = |run: &mut Scheduler, ms: u64| {
        let ticket = run.submit(item(&route(0, 1_200, 2_500), None, at(ms)), at(ms));
        let decision = run.poll(at(ms)).pop().map(|(_, decision)| decision);
        if decision.is_none() {
            run.withdraw(ticket);
        }
        (ticket, decision)
    };
    let backoff = StatedBackoff::try_from(30.0).ok();
    let stated = BackendStatements { backoff, ..BackendStatements::default() };
    let (rejected, _) = place(&mut run, 10_000);
    let (violations, _) = place(&mut run, 10_000);
    run.note_statements(rejected, &stated, at(10_001));
    run.end(rejected, WorkOutcome::Shed, at(10_001));
    run.end(violations, WorkOutcome::Broken, at(10_001));
    let (_, waits) = place(&mut run, 10_010);
    assert_eq!(waits, None, "the suspect is tried again soon");
    let (_, sent) = place(&mut run, 10_500);
    assert!(matches!(sent, Some(Decision::Send { .. })), "{sent:?}");
}
