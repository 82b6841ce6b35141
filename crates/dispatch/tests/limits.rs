//! Rate limits that backend servers state, over all gateways of their region.

mod support;

use {
    gullglade_dispatch::StatedLimit,
    support::{
        at,
        limit_simulation::{LimitOutcome, LimitScenario, LimitSimulation},
        place_prompt, stating_limit,
    },
};

/// The required limit of the sends in a window of four seconds.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

fn simulate(scenario: &LimitScenario, seed: u64) -> LimitOutcome {
    LimitSimulation::new(scenario, seed).simulate()
}

/// Guards against stated limits that are passed on to callers and not applied by gateways: engines
/// with a limit of one request per second got ten.
#[test]
fn stated_limit_holds_for_all_gateways_together() {
    struct Case {
        name: &'static str,
        gateways: usize,
        per_second: f64,
        limited: usize,
        limit: f64,
    }
    let cases = [
        Case { name: "two of four", gateways: 3, per_second: 12.0, limited: 2, limit: 1.0 },
        Case { name: "less than one", gateways: 3, per_second: 12.0, limited: 2, limit: 0.2 },
        Case { name: "none at all", gateways: 3, per_second: 12.0, limited: 1, limit: 0.0 },
        Case { name: "one gateway", gateways: 1, per_second: 30.0, limited: 1, limit: 2.5 },
        Case { name: "all engines", gateways: 4, per_second: 10.0, limited: 4, limit: 3.0 },
        Case { name: "many gateways", gateways: 22, per_second: 4.0, limited: 2, limit: 1.0 },
        Case { name: "many, high limit", gateways: 22, per_second: 8.0, limited: 2, limit: 20.0 },
        Case { name: "very many", gateways: 60, per_second: 3.0, limited: 2, limit: 1.2 },
    ];
    let mut violations = Vec::new();
    for Case { name, gateways, per_second, limited, limit } in cases {
        let scenario = LimitScenario {
            gateways,
            per_second,
            limited,
            limit,
            stated: 4_000..60_000,
            length_ms: 60_000,
        };
        for seed in 0..4 {
            let most = simulate(&scenario, seed).most;
            if most as f64 > allowed(limit) {
                let allowed = allowed(limit);
                violations
                    .push(format!("{name}, seed {seed}: {most} in a window, {allowed} allowed"));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against engines that get no requests under a limit, or stay idle after they have
/// recovered.
#[test]
fn limited_engine_gets_its_share_and_full_load_after_recovery() {
    struct Case {
        name: &'static str,
        gateways: usize,
        per_second: f64,
        limit: f64,
        /// The time within which all gateways send requests again.
        recovery_ms: u64,
    }
    let cases = [
        Case { name: "small", gateways: 3, per_second: 14.0, limit: 2.0, recovery_ms: 3_000 },
        Case { name: "one gateway", gateways: 1, per_second: 40.0, limit: 2.0, recovery_ms: 3_000 },
        Case { name: "large", gateways: 22, per_second: 5.0, limit: 4.0, recovery_ms: 8_000 },
        Case { name: "very large", gateways: 60, per_second: 3.0, limit: 4.0, recovery_ms: 12_000 },
        Case { name: "nothing", gateways: 3, per_second: 14.0, limit: 0.0, recovery_ms: 30_000 },
    ];
    for Case { name, gateways, per_second, limit, recovery_ms } in cases {
        let scenario = LimitScenario {
            gateways,
            per_second,
            limited: 2,
            limit,
            stated: 4_000..29_000,
            length_ms: 60_000,
        };
        for seed in 0..3 {
            let LimitOutcome { sends_while_limited, recovery_ms: back, .. } =
                simulate(&scenario, seed);
            for engine in 0..2 {
                let due = 0.5 * limit * 20.0;
                let got = sends_while_limited[engine];
                assert!(got as f64 >= due, "{name}, seed {seed}: {got} of {due}");
                let back = back[engine].unwrap_or(u64::MAX);
                assert!(back <= recovery_ms, "{name}, seed {seed}: back after {back} ms");
            }
        }
    }
}

/// Guards against a first byte that lifts a limit although the head of its answer was received
/// before the limit was stated.
#[test]
fn older_answer_does_not_lift_a_limit() {
    let scheduler = |index| support::scheduler(index, 2, 1, 0.0);
    let (mut early, mut limited) = (scheduler(0), scheduler(1));
    let (first, _) = place_prompt(&mut early, 10_000).expect("sent");
    early.note_statements(first, &stating_limit(None), at(10_050));
    let (second, _) = place_prompt(&mut limited, 10_010).expect("sent");
    let none = StatedLimit::try_from(0.0).ok();
    limited.note_statements(second, &stating_limit(none), at(10_080));
    early.note_progress(first, at(10_100));
    let hints = early.take_hints(at(10_110));
    limited.note_hints(hints, at(10_120));
    assert_eq!(place_prompt(&mut limited, 10_200), None, "the limit holds");
}
