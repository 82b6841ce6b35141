//! Parts of prompts that crash engines must be held, parts of unrelated requests must not.

use crate::part_simulation::{PART_BASELINE, PartOutcome, PartScenario, PartSimulation};

/// Maximum number of sends with a part later than the window after its fifth crash.
const MAX_LATE_SENDS: u64 = 3;

/// At most one in this many sound requests may be held for a part of its prompt.
const ONE_FALSE_HOLD_IN: u64 = 10_000;

const SIMULATED_MS: u64 = 40_000;

fn check(scenario: PartScenario) {
    let name = scenario.name;
    let mut total = PartOutcome::default();
    for seed in 0..crate::seeds() {
        let outcome = PartSimulation::new(scenario, seed).run(SIMULATED_MS);
        println!("{name}, seed {seed}: {outcome:?}");
        for (part, late) in &outcome.late_sends {
            assert!(
                *late <= MAX_LATE_SENDS,
                "{name}, seed {seed}: {part:x} sent {late} more times"
            );
        }
        total.sound += outcome.sound;
        total.false_holds += outcome.false_holds;
        let ((sent_before, begun_before), (sent_after, begun_after)) =
            (outcome.begun_before, outcome.begun_after);
        assert!(
            2 * begun_after * sent_before >= begun_before * sent_after,
            "{name}, seed {seed}: {begun_after} of {sent_after} sound first attempts begin, \
             {begun_before} of {sent_before} before"
        );
    }
    let PartOutcome { sound, false_holds, .. } = total;
    assert!(
        false_holds * ONE_FALSE_HOLD_IN < sound,
        "{name}: {false_holds} of {sound} sound requests were held"
    );
}

#[test]
fn poison_parts_are_held_at_any_place_and_rate() {
    let cases = [
        PART_BASELINE,
        PartScenario { name: "at the first place", place: 0, ..PART_BASELINE },
        PartScenario { name: "at the third place", place: 2, ..PART_BASELINE },
        PartScenario { name: "one in 1,000", poison_share: 0.001, ..PART_BASELINE },
        PartScenario { name: "one in 20", poison_share: 0.05, ..PART_BASELINE },
        PartScenario { name: "one in 5", poison_share: 0.2, ..PART_BASELINE },
        PartScenario { name: "6 at once", slots: 6, ..PART_BASELINE },
        PartScenario { name: "64 at once", slots: 64, ..PART_BASELINE },
        PartScenario {
            name: "few parts to choose from",
            choices: [2, 3, 4],
            poison_share: 0.02,
            ..PART_BASELINE
        },
        PartScenario { name: "two poison parts", poisons: 2, poison_share: 0.02, ..PART_BASELINE },
        PartScenario { name: "a part that was answered before", turns: true, ..PART_BASELINE },
        PartScenario { name: "callers that retry 3 times", retries: 3, ..PART_BASELINE },
    ];
    cases.into_iter().for_each(check);
}

#[test]
fn part_that_crashes_seven_engines_in_eight_is_held() {
    check(PartScenario { name: "7 engines in 8", crash_share: 0.875, ..PART_BASELINE });
}

#[test]
fn other_crashes_hold_no_part() {
    let none = PartScenario { poison_share: 0.0, ..PART_BASELINE };
    let cases = [
        PartScenario { name: "engines crash by themselves", crashes_engines: true, ..none },
        PartScenario { name: "a failure domain is lost twice", loses_domain: true, ..none },
        PartScenario { name: "connections are reset", resets_connections: true, ..none },
        PartScenario { name: "a request crashes engines", poison_contents: 5, ..none },
        PartScenario {
            name: "the same, 64 at once, rare parts",
            slots: 64,
            poison_contents: 1,
            choices: [8, 248, 900],
            ..none
        },
    ];
    cases.into_iter().for_each(check);
}

#[test]
fn poison_parts_are_held_beside_other_failures() {
    let all = PartScenario {
        name: "all at once",
        crashes_engines: true,
        loses_domain: true,
        resets_connections: true,
        poison_contents: 2,
        ..PART_BASELINE
    };
    let cases = [
        PartScenario { name: "beside a request", poison_contents: 5, ..PART_BASELINE },
        all,
        PartScenario { name: "all at once, 64 at once", slots: 64, ..all },
    ];
    cases.into_iter().for_each(check);
}

#[test]
fn many_gateways_learn_of_poison_parts_in_time() {
    let cases = [
        PartScenario { name: "95 gateways", gateways: 95, ..PART_BASELINE },
        PartScenario { name: "300 gateways", gateways: 300, poison_share: 0.02, ..PART_BASELINE },
    ];
    cases.into_iter().for_each(check);
}
