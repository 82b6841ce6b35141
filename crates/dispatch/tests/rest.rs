//! The rest that backend servers ask gateways for.

mod support;

use support::rest_play::{RestOutcome, RestPhase, RestPlay, RestScenario};

/// The rule: no more than these requests from one gateway in a rest that it was asked for.
const ALLOWED: usize = 2;

/// What this project promises: none that was placed after the rejection was read.
const PROMISED: usize = 0;

fn play(scenario: &RestScenario, seed: u64) -> RestOutcome {
    RestPlay::new(scenario, seed).play()
}

fn phase(engine: usize, during: std::ops::Range<u64>, rest_ms: u64) -> RestPhase {
    RestPhase { engine, during, rest_ms: Some(rest_ms) }
}

/// Engines that asked a gateway for rest were sent more requests by it than before, as one that
/// rejects at once looks idle.
#[test]
fn a_backend_server_gets_nothing_in_the_rest_that_it_asked_for() {
    struct Case {
        what: &'static str,
        scenario: RestScenario,
    }
    let small = RestScenario::small;
    let many = |gateways, per_second| RestScenario { gateways, per_second, ..small() };
    let series = vec![phase(0, 3_000..5_000, 1_000), phase(1, 6_000..9_000, 2_000)];
    let overlapping = vec![phase(0, 3_000..8_000, 4_000), phase(1, 5_000..9_000, 700)];
    let all = (0..4).map(|engine| phase(engine, 4_000..8_000, 2_000)).collect();
    let cases = [
        Case { what: "two of four", scenario: small() },
        Case { what: "one gateway", scenario: many(1, 30.0) },
        Case { what: "in series", scenario: RestScenario { phases: series, ..small() } },
        Case { what: "overlapping", scenario: RestScenario { phases: overlapping, ..small() } },
        Case { what: "all of them", scenario: RestScenario { phases: all, ..small() } },
        Case { what: "many gateways", scenario: many(60, 2.0) },
        Case { what: "very many gateways", scenario: many(300, 0.4) },
    ];
    let mut broken = Vec::new();
    for Case { what, scenario } in cases {
        for seed in 0..3 {
            let most = play(&scenario, seed).most_in_rest;
            if most > PROMISED {
                broken.push(format!("{what}, seed {seed}: {most}, {ALLOWED} allowed"));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
