//! Limits that backend servers state, over all gateways of their region.

mod support;

use support::limit_play::{LimitOutcome, LimitPlay, LimitScenario};

/// The rule's bound on the sends in a window of four seconds.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

fn play(scenario: &LimitScenario, seed: u64) -> LimitOutcome {
    LimitPlay::new(scenario, seed).play()
}

/// Engines that said that they take one request a second got ten, as their statement was passed
/// on to callers and read by no gateway.
#[test]
fn a_stated_limit_is_kept_by_all_gateways_together() {
    struct Case {
        what: &'static str,
        gateways: usize,
        per_second: f64,
        limited: usize,
        limit: f64,
    }
    let cases = [
        Case { what: "two of four", gateways: 3, per_second: 12.0, limited: 2, limit: 1.0 },
        Case { what: "less than one", gateways: 3, per_second: 12.0, limited: 2, limit: 0.2 },
        Case { what: "none at all", gateways: 3, per_second: 12.0, limited: 1, limit: 0.0 },
        Case { what: "one gateway", gateways: 1, per_second: 30.0, limited: 1, limit: 2.5 },
        Case { what: "all engines", gateways: 4, per_second: 10.0, limited: 4, limit: 3.0 },
        Case { what: "many gateways", gateways: 22, per_second: 4.0, limited: 2, limit: 1.0 },
        Case { what: "many, high limit", gateways: 22, per_second: 8.0, limited: 2, limit: 20.0 },
        Case { what: "very many", gateways: 60, per_second: 3.0, limited: 2, limit: 1.2 },
    ];
    let mut broken = Vec::new();
    for Case { what, gateways, per_second, limited, limit } in cases {
        let scenario = LimitScenario {
            gateways,
            per_second,
            limited,
            limit,
            stated: 4_000..60_000,
            length_ms: 60_000,
        };
        for seed in 0..4 {
            let most = play(&scenario, seed).most;
            if most as f64 > allowed(limit) {
                let allowed = allowed(limit);
                broken.push(format!("{what}, seed {seed}: {most} in a window, {allowed} allowed"));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
