//! Repeats of all gateways together, by the count that the operators hold them to.
//!
//! `GULLGLADE_REPEAT_SEEDS` sets how many random plays run, `GULLGLADE_SEED` where they start.

mod support;

use {
    gullglade_units::{RandomSource, SeededRandom},
    std::ops::Range,
    support::{
        repeat_play::{
            Delay, Freeze, Kill, REGIONS, RepeatPlay, RepeatScenario, Trouble, WINDOW_MS,
        },
        setting,
    },
};

const DEFAULT_PLAYS: u64 = 60;
const LENGTH_MS: u64 = 34_000;

fn scenario(gateways: usize, per_second: f64, trouble: Trouble) -> RepeatScenario {
    RepeatScenario { gateways, per_second, length_ms: LENGTH_MS, trouble }
}

/// The plays of a case that broke the bound, a line each.
fn broken(what: &str, scenario: &RepeatScenario, seeds: impl Iterator<Item = u64>) -> Vec<String> {
    seeds
        .filter_map(|seed| Some((seed, RepeatPlay::new(scenario, seed).play()?)))
        .filter(|(_, worst)| worst.part() > 1.0)
        .map(|(seed, worst)| format!("{what}, seed {seed}: {worst:?} of {scenario:?}"))
        .collect()
}

/// While backend servers turned requests away and gateways were killed one after another, a
/// service got more repeats than allowed: each run of a gateway began with a share of its own.
#[test]
fn repeats_of_all_runs_of_all_gateways_stay_within_their_budget() {
    struct Case {
        what: &'static str,
        per_second: f64,
        trouble: Trouble,
    }
    let failing = || Trouble { failures: vec![(12_000..23_000, 0.95)], ..Trouble::default() };
    let kill = |at_ms| Kill { at_ms, share: 0.95, down_ms: 500 };
    let cases = [
        Case { what: "every send fails", per_second: 300.0, trouble: failing() },
        Case {
            what: "gateways are killed in series",
            per_second: 300.0,
            trouble: Trouble { kills: [13_200, 16_200, 19_200].map(kill).into(), ..failing() },
        },
        Case {
            what: "the same with few requests",
            per_second: 40.0,
            trouble: Trouble { kills: [13_200, 16_200, 19_200].map(kill).into(), ..failing() },
        },
        Case {
            what: "callers move to another region",
            per_second: 300.0,
            trouble: Trouble {
                moves: vec![(0, [1.0, 0.0, 0.0]), (13_000, [0.0, 1.0, 0.0])],
                ..failing()
            },
        },
        Case {
            what: "control processes start again",
            per_second: 40.0,
            trouble: Trouble { control_restarts: vec![12_500, 16_000], ..failing() },
        },
        Case {
            what: "regions are cut off from each other",
            per_second: 40.0,
            trouble: Trouble { cut: Some(11_000..24_000), ..failing() },
        },
        Case {
            what: "gateways are killed in a cut",
            per_second: 40.0,
            trouble: Trouble {
                kills: vec![kill(4_000)],
                cut: Some(3_000..24_000),
                ..Trouble { failures: vec![(15_000..26_000, 0.95)], ..Trouble::default() }
            },
        },
    ];
    let mut lines = Vec::new();
    for Case { what, per_second, trouble } in cases {
        for gateways in [8, 100, 300] {
            let scenario = scenario(gateways, per_second, trouble.clone());
            lines.extend(broken(what, &scenario, 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// While a link or a full region held up sends, repeats that had been granted in two windows
/// arrived in one.
#[test]
fn repeats_that_arrive_late_stay_within_their_budget() {
    struct Case {
        what: &'static str,
        delays: Vec<Delay>,
    }
    let unknown = |time, share| Delay { time, share, is_known: false };
    let known = |time, share| Delay { time, share, is_known: true };
    let cases = [
        Case { what: "the first ones are slow", delays: vec![known(4_000..4_600, 1.0)] },
        Case { what: "a link is cut", delays: vec![unknown(4_000..8_000, 0.8)] },
        Case {
            what: "links are cut again and again",
            delays: [4_000, 7_000, 14_000, 17_000].map(|at| unknown(at..at + 2_500, 0.6)).into(),
        },
        Case { what: "a region is full", delays: vec![known(4_000..8_000, 0.7)] },
        Case {
            what: "a region is full, then another one",
            delays: vec![known(4_000..8_000, 0.5), known(14_000..18_000, 0.8)],
        },
    ];
    let mut lines = Vec::new();
    for Case { what, delays } in cases {
        for (gateways, per_second) in [(8, 300.0), (8, 1_200.0), (100, 2_400.0)] {
            let failures = vec![(4_000..34_000, 0.95)];
            let trouble = Trouble { failures, delays: delays.clone(), ..Trouble::default() };
            lines.extend(broken(what, &scenario(gateways, per_second, trouble), 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Gateways that had stood still took requests of long ago for those of now.
#[test]
fn requests_that_are_read_late_earn_repeats_of_their_own_time() {
    struct Case {
        what: &'static str,
        bursts: Vec<(Range<u64>, f64)>,
        freezes: Vec<Freeze>,
        failures: Range<u64>,
    }
    let freeze = |time| Freeze { time, share: 0.9 };
    let cases = [
        Case {
            what: "they stand still in a burst, and few callers come after it",
            bursts: vec![(6_000..10_000, 4.0), (10_000..34_000, 0.1)],
            freezes: vec![freeze(6_000..12_000)],
            failures: 4_000..34_000,
        },
        Case {
            what: "they stand still twice",
            bursts: vec![(4_000..8_000, 4.0), (8_000..34_000, 0.1)],
            freezes: vec![freeze(4_000..8_500), freeze(9_000..14_000)],
            failures: 4_000..34_000,
        },
        Case {
            what: "sends fail when the burst is over",
            bursts: vec![(4_000..8_000, 4.0), (8_000..34_000, 0.2)],
            freezes: vec![freeze(4_000..9_000)],
            failures: 18_100..34_000,
        },
    ];
    let mut lines = Vec::new();
    for Case { what, bursts, freezes, failures } in cases {
        for (gateways, per_second) in [(8, 300.0), (8, 1_200.0), (100, 2_400.0)] {
            let failures = vec![(failures.clone(), 0.95)];
            let (bursts, freezes) = (bursts.clone(), freezes.clone());
            let trouble = Trouble { failures, bursts, freezes, ..Trouble::default() };
            lines.extend(broken(what, &scenario(gateways, per_second, trouble), 0..3));
        }
    }
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

/// Any of these troubles at any time, several at once.
#[test]
fn repeats_stay_within_their_budget_under_troubles_at_random() {
    play_at_random(random_scenario);
}

/// The same, with links that hold up sends and gateways that stand still.
#[test]
fn repeats_stay_within_their_budget_under_late_arrivals_at_random() {
    play_at_random(|random| {
        let mut scenario = random_scenario(random);
        add_late_arrivals(&mut scenario.trouble, random);
        scenario
    });
}

fn play_at_random(scenario: impl Fn(&SeededRandom) -> RepeatScenario) {
    let first = setting("GULLGLADE_SEED", 0);
    let plays = setting("GULLGLADE_REPEAT_SEEDS", DEFAULT_PLAYS);
    let mut lines = Vec::new();
    for seed in first..first + plays {
        let scenario = scenario(&SeededRandom::new(seed));
        lines.extend(broken("at random", &scenario, [seed].into_iter()));
    }
    assert!(lines.is_empty(), "{} of {plays}:\n{}", lines.len(), lines.join("\n"));
}

fn add_late_arrivals(trouble: &mut Trouble, random: &SeededRandom) {
    let time = |longest: u64| {
        let from = random.below(LENGTH_MS);
        from..from + 500 + random.below(longest)
    };
    for _ in 0..random.below(4) {
        let (time, share) = (time(WINDOW_MS / 2), 0.2 + 0.8 * random.unit());
        trouble.delays.push(Delay { time, share, is_known: random.below(2) > 0 });
    }
    for _ in 0..random.below(3) {
        trouble.freezes.push(Freeze { time: time(WINDOW_MS / 2), share: random.unit() });
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
    let trouble = Trouble {
        failures: (0..=below(2)).map(|_| (time(14_000), 0.4 + 0.6 * random.unit())).collect(),
        bursts: (0..below(3)).map(|_| (time(9_000), 0.2 + 3.0 * random.unit())).collect(),
        kills: (0..below(5)).map(kill).collect(),
        cut: (below(2) > 0).then(|| time(20_000)),
        control_restarts: (0..below(3)).map(|_| below(LENGTH_MS)).collect(),
        moves: (0..below(4)).map(|_| (below(LENGTH_MS), weights())).collect(),
        ..Trouble::default()
    };
    scenario(gateways, per_second, trouble)
}
