//! Tests of the comparison of placements by the value of a cached prefix.

use super::{CacheValue, PlacementImpact};

/// A service with an objective of 1,200 ms.
fn value(mean_running: f64) -> CacheValue {
    CacheValue { objective_ms: 1_200.0, mean_running }
}

/// A placement at an engine of 64 slots. The request has its whole objective left, and its first
/// byte comes after the prefill ahead and its own.
fn placement(ahead_ms: f64, prefill_ms: f64, running: f64) -> PlacementImpact {
    PlacementImpact {
        expected_ms: ahead_ms + prefill_ms,
        remaining_ms: 1_200.0,
        prefill_ms,
        ahead_ms,
        repeated_ms: 0.0,
        evicted_ms: 0.0,
        running,
        slots: 64.0,
    }
}

/// The same at an engine that has to process the shared part of 100 ms.
fn repeating(placement: PlacementImpact) -> PlacementImpact {
    PlacementImpact {
        expected_ms: placement.expected_ms + 100.0,
        prefill_ms: placement.prefill_ms + 100.0,
        repeated_ms: 100.0,
        ..placement
    }
}

#[test]
fn cheaper_placement_is_found() {
    // Guards against parts that move for a short queue, holders that keep prompts beyond their
    // objective, and prompts that evict what is in use. The prompt has a shared part of 100 ms and
    // 120 ms of its own.
    struct Case {
        name: &'static str,
        chosen: PlacementImpact,
        other: PlacementImpact,
    }
    let holder = |ahead_ms| placement(ahead_ms, 120.0, 8.0);
    let other = repeating(placement(0.0, 120.0, 8.0));
    let copying = PlacementImpact { expected_ms: 130.0, ..placement(0.0, 120.0, 8.0) };
    let cases = [
        Case { name: "a holder with a short queue", chosen: holder(300.0), other },
        Case {
            name: "a holder with a short queue, and an idle engine",
            chosen: holder(300.0),
            other: repeating(placement(0.0, 120.0, 0.0)),
        },
        Case {
            name: "a holder that is in time, where less of the objective is left",
            chosen: PlacementImpact { remaining_ms: 500.0, ..holder(200.0) },
            other: PlacementImpact { remaining_ms: 500.0, ..other },
        },
        Case {
            name: "an engine in time, and a holder that would be late",
            chosen: PlacementImpact { remaining_ms: 350.0, ..other },
            other: PlacementImpact { remaining_ms: 350.0, ..holder(300.0) },
        },
        Case { name: "a copy, and a holder with a queue", chosen: copying, other: holder(50.0) },
        Case { name: "a holder without a queue, and a copy", chosen: holder(0.0), other: copying },
        Case {
            name: "a holder with a queue, and a copy that evicts a part in use",
            chosen: holder(50.0),
            other: PlacementImpact { evicted_ms: 60.0, ..copying },
        },
        Case {
            name: "an engine with free memory, and one that would evict a part in use",
            chosen: PlacementImpact { expected_ms: 320.0, ..other },
            other: PlacementImpact { evicted_ms: 60.0, ..other },
        },
        Case {
            name: "an engine without a queue, and a busier one that is as near to the first byte",
            chosen: placement(0.0, 120.0, 8.0),
            other: placement(0.0, 120.0, 40.0),
        },
    ];
    for Case { name, chosen, other } in cases {
        let (chosen_ms, other_ms) = (value(8.0).cost_ms(&chosen), value(8.0).cost_ms(&other));
        assert!(chosen_ms < other_ms, "{name}: {chosen_ms} against {other_ms}");
    }
}

#[test]
fn prefill_costs_what_it_delays() {
    // Guards against a weight of prefill that is the same for an idle and for a full engine, and
    // against one without bound.
    struct Case {
        name: &'static str,
        running: f64,
        /// The cost of 100 ms of prefill beside its own time, as a range.
        expected: (f64, f64),
    }
    let cases = [
        Case { name: "an idle engine", running: 0.0, expected: (0.0, 150.0) },
        Case { name: "ten streams", running: 10.0, expected: (200.0, 1_200.0) },
        Case { name: "64 streams", running: 64.0, expected: (1_000.0, 4_000.0) },
        Case { name: "more streams than slots", running: 640.0, expected: (2_000.0, 4_000.0) },
    ];
    for Case { name, running, expected: (least, most) } in cases {
        let with = value(running).cost_ms(&placement(0.0, 100.0, running));
        let without = value(running).cost_ms(&placement(0.0, 0.0, running));
        let extra_ms = with - without - 100.0;
        assert!((least..=most).contains(&extra_ms), "{name}: {extra_ms}");
    }
}

#[test]
fn unusual_figures_give_a_finite_cost() {
    // Guards against a comparison with NaN, which would select the first engine for every prompt.
    let cases = [
        PlacementImpact::default(),
        PlacementImpact { remaining_ms: -500.0, ..placement(0.0, 100.0, 3.0) },
        PlacementImpact { slots: 0.0, ..placement(0.0, 100.0, 3.0) },
        PlacementImpact { evicted_ms: 1e9, ..placement(1e9, 1e9, 1e6) },
    ];
    for impact in cases {
        for objective_ms in [0.0, 1_200.0] {
            let value = CacheValue { objective_ms, mean_running: 0.0 };
            assert!(value.cost_ms(&impact).is_finite(), "{impact:?}");
        }
    }
}
