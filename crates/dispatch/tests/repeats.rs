//! Repeats of all gateways together, counted by the rule of the operators.
//!
//! `GULLGLADE_REPEAT_SEEDS` sets the number of random simulations, `GULLGLADE_SEED` the first seed.

mod support;

use {
    gullglade_units::{RandomSource, SeededRandom},
    std::ops::Range,
    support::{
        env_number,
        repeat_simulation::{
            Delay, Faults, Kill, REGIONS, RepeatScenario, RepeatSimulation, Stall, WINDOW_MS,
        },
    },
};

const DEFAULT_PLAYS: u64 = 60;
const LENGTH_MS: u64 = 34_000;

fn scenario(gateways: usize, per_second: f64, faults: Faults) -> RepeatScenario {
    RepeatScenario { gateways, per_second, length_ms: LENGTH_MS, faults }
}

/// Runs the simulations of a case and returns a line for each one that violated the limit.
fn violations(
    name: &str,
    scenario: &RepeatScenario,
    seeds: impl Iterator<Item = u64>,
) -> Vec<String> {
    seeds
        .filter_map(|seed| Some((seed, RepeatSimulation::new(scenario, seed).simulate()?)))
        .filter(|(_, worst)| worst.part() > 1.0)
        .map(|(seed, worst)| format!("{name}, seed {seed}: {worst:?} of {scenario:?}"))
        .collect()
}

/// Guards against budgets that start anew with each run of a gateway: while backend servers
/// rejected requests and gateways were killed one after another, a service got more repeats than
/// allowed.
#[test]
fn repeats_of_all_runs_stay_within_the_fleet_budget() {
    struct Case {
        name: &'static str,
        per_second: f64,
        faults: Faults,
    }
    let failing = || Faults { failures: vec![(12_000..23_000, 0.95)], ..Faults::default() };
    let kill = |at_ms| Kill { at_ms, share: 0.95, down_ms: 500 };
    let cases = [
        Case { name: "every send fails", per_second: 300.0, faults: failing() },
        Case {
            name: "gateways are killed in series",
            per_second: 300.0,
            faults: Faults { kills: [13_200, 16_200, 19_200].map(kill).into(), ..failing() },
        },
        Case {
            name: "the same with few requests",
            per_second: 40.0,
            faults: Faults { kills: [13_200, 16_200, 19_200].map(kill).into(), ..failing() },
        },
        Case {
            name: "callers move to another region",
            per_second: 300.0,
            faults: Faults {
                moves: vec![(0, [1.0, 0.0, 0.0]), (13_000, [0.0, 1.0, 0.0])],
                ..failing()
            },
        },
        Case {
            name: "control processes start again",
            per_second: 40.0,
            faults: Faults { control_restarts: vec![12_500, 16_000], ..failing() },
        },
        Case {
            name: "regions are cut off from each other",
            per_second: 40.0,
            faults: Faults { partition: Some(11_000..24_000), ..failing() },
        },
        Case {
            name: "gateways are killed in a cut",
            per_second: 40.0,
            faults: Faults {
                kills: vec![kill(4_000)],
                partition: Some(3_000..24_000),
                ..Faults { failures: vec![(15_000..26_000, 0.95)], ..Faults::default() }
            },
        },
    ];
    let mut lines = Vec::new();
    for Case { name, per_second, faults } in cases {
        for gateways in [8, 100, 300] {
            let scenario = scenario(gateways, per_second, faults.clone());
            lines.extend(violations(name, &scenario, 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Guards against repeats granted in two windows that arrive in one, because a link or a full
/// region delayed them.
#[test]
fn late_repeats_stay_within_the_budget() {
    struct Case {
        name: &'static str,
        delays: Vec<Delay>,
    }
    let unknown = |time, share| Delay { time, share, is_known: false };
    let known = |time, share| Delay { time, share, is_known: true };
    let cases = [
        Case { name: "the first ones are slow", delays: vec![known(4_000..4_600, 1.0)] },
        Case { name: "a link is cut", delays: vec![unknown(4_000..8_000, 0.8)] },
        Case {
            name: "links are cut again and again",
            delays: [4_000, 7_000, 14_000, 17_000].map(|at| unknown(at..at + 2_500, 0.6)).into(),
        },
        Case { name: "a region is full", delays: vec![known(4_000..8_000, 0.7)] },
        Case {
            name: "a region is full, then another one",
            delays: vec![known(4_000..8_000, 0.5), known(14_000..18_000, 0.8)],
        },
    ];
    let mut lines = Vec::new();
    for Case { name, delays } in cases {
        for (gateways, per_second) in [(8, 300.0), (8, 1_200.0), (100, 2_400.0)] {
            let failures = vec![(4_000..34_000, 0.95)];
            let faults = Faults { failures, delays: delays.clone(), ..Faults::default() };
            lines.extend(violations(name, &scenario(gateways, per_second, faults), 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Guards against counting requests at the time of reading after a stall of the gateway.
#[test]
fn requests_read_after_a_stall_earn_repeats_at_their_send_time() {
    struct Case {
        name: &'static str,
        bursts: Vec<(Range<u64>, f64)>,
        stalls: Vec<Stall>,
        failures: Range<u64>,
    }
    let stall = |time| Stall { time, share: 0.9 };
    let cases = [
        Case {
            name: "they stall in a burst, and few callers come after it",
            bursts: vec![(6_000..10_000, 4.0), (10_000..34_000, 0.1)],
            stalls: vec![stall(6_000..12_000)],
            failures: 4_000..34_000,
        },
        Case {
            name: "they stall twice",
            bursts: vec![(4_000..8_000, 4.0), (8_000..34_000, 0.1)],
            stalls: vec![stall(4_000..8_500), stall(9_000..14_000)],
            failures: 4_000..34_000,
        },
        Case {
            name: "sends fail when the burst is over",
            bursts: vec![(4_000..8_000, 4.0), (8_000..34_000, 0.2)],
            stalls: vec![stall(4_000..9_000)],
            failures: 18_100..34_000,
        },
    ];
    let mut lines = Vec::new();
    for Case { name, bursts, stalls, failures } in cases {
        for (gateways, per_second) in [(8, 300.0), (8, 1_200.0), (100, 2_400.0)] {
            let failures = vec![(failures.clone(), 0.95)];
            let (bursts, stalls) = (bursts.clone(), stalls.clone());
            let faults = Faults { failures, bursts, stalls, ..Faults::default() };
            lines.extend(violations(name, &scenario(gateways, per_second, faults), 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Any of these faults at any time, several at once.
#[test]
fn repeats_stay_within_the_budget_under_random_faults() {
    simulate_random(random_scenario);
}

/// The same, with links that delay sends and gateways that stall.
#[test]
fn repeats_stay_within_the_budget_with_random_late_arrivals() {
    simulate_random(|random| {
        let mut scenario = random_scenario(random);
        add_late_arrivals(&mut scenario.faults, random);
        scenario
    });
}

fn simulate_random(scenario: impl Fn(&SeededRandom) -> RepeatScenario) {
    let first = env_number("GULLGLADE_SEED", 0);
    let plays = env_number("GULLGLADE_REPEAT_SEEDS", DEFAULT_PLAYS);
    let mut lines = Vec::new();
    for seed in first..first + plays {
        let scenario = scenario(&SeededRandom::new(seed));
        lines.extend(violations("at random", &scenario, [seed].into_iter()));
    }
    assert!(lines.is_empty(), "{} of {plays}:\n{}", lines.len(), lines.join("\n"));
}

fn add_late_arrivals(faults: &mut Faults, random: &SeededRandom) {
    let time = |longest: u64| {
        let from = random.below(LENGTH_MS);
        from..from + 500 + random.below(longest)
    };
    for _ in 0..random.below(4) {
        let (time, share) = (time(WINDOW_MS / 2), 0.2 + 0.8 * random.unit());
        faults.delays.push(Delay { time, share, is_known: random.below(2) > 0 });
    }
    for _ in 0..random.below(3) {
        faults.stalls.push(Stall { time: time(WINDOW_MS / 2), share: random.unit() });
    }
}

fn random_scenario(random: &SeededRandom) -> RepeatScenario {
    let below = |most: u64| random.below(most);
    let time = |longest: u64| {
        let from = below(LENGTH_MS);
        from..from + 1_000 + below(longest)
    };
    let gateways = [8, 13, 100, 300][below(4) as usize];
    let per_second = [20.0, 80.0, 300.0, 900.0][below(4) as usize];
    let kill = |_| Kill {
        at_ms: 2_000 + below(28_000),
        share: 0.3 + 0.7 * random.unit(),
        down_ms: 200 + below(3_000),
    };
    let weights = || std::array::from_fn::<f64, REGIONS, _>(|_| 0.02 + random.unit().powi(3));
    let faults = Faults {
        failures: (0..=below(2)).map(|_| (time(14_000), 0.4 + 0.6 * random.unit())).collect(),
        bursts: (0..below(3)).map(|_| (time(9_000), 0.2 + 3.0 * random.unit())).collect(),
        kills: (0..below(5)).map(kill).collect(),
        partition: (below(2) > 0).then(|| time(20_000)),
        control_restarts: (0..below(3)).map(|_| below(LENGTH_MS)).collect(),
        moves: (0..below(4)).map(|_| (below(LENGTH_MS), weights())).collect(),
        ..Faults::default()
    };
    scenario(gateways, per_second, faults)
}
