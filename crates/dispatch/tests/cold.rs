//! The request rate of a cold backend server, over all gateways of its region.

mod support;

use support::{
    cold_simulation::{ColdScenario, ColdSimulation, PER_SECOND},
    max_within,
};

/// The limit per second of a cold engine with the settings of the tests.
const ALLOWED: f64 = PER_SECOND * 1.5 + 3.0;

/// Guards against overload of cold engines while most gateways lose power. It occurs if others take
/// over the shares of dead gateways within the second in which those still sent, or if new runs
/// assume that they are alone.
#[test]
fn cold_rate_holds_while_gateways_are_killed() {
    struct Case {
        name: &'static str,
        gateways: usize,
        kills: &'static [(u64, f64, u64)],
    }
    let cases = [
        Case { name: "none", gateways: 8, kills: &[] },
        Case { name: "most lose power", gateways: 3, kills: &[(6_000, 0.7, 1_000)] },
        Case { name: "most lose power", gateways: 8, kills: &[(6_000, 0.7, 1_000)] },
        Case { name: "most lose power", gateways: 30, kills: &[(6_000, 0.7, 1_000)] },
        Case { name: "some are down for long", gateways: 30, kills: &[(6_000, 0.4, 5_000)] },
        Case {
            name: "killed in series",
            gateways: 12,
            kills: &[(5_000, 0.7, 300), (6_000, 0.7, 300), (7_200, 0.7, 500)],
        },
        Case { name: "all at once", gateways: 12, kills: &[(6_000, 1.0, 300)] },
    ];
    let mut violations = Vec::new();
    for Case { name, gateways, kills } in cases {
        let scenario = ColdScenario { gateways, kills: kills.to_vec(), length_ms: 12_000 };
        for seed in 0..8 {
            let arrivals = ColdSimulation::new(&scenario, seed).simulate();
            let most = max_within(&arrivals, 1_000);
            if most as f64 > ALLOWED {
                violations
                    .push(format!("{name}, {gateways} gateways, seed {seed}: {most} in a second"));
            }
            assert!(arrivals.len() >= 12, "{name}, {gateways} gateways: it gets its part");
        }
    }
    assert!(violations.is_empty(), "{ALLOWED} allowed:\n{}", violations.join("\n"));
}
