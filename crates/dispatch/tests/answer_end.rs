//! Replays of long answers on engines of different speeds, in virtual time.

mod support;

use support::{
    deployment::{
        Deployment, HintModel, KindModel, MachineModel, Outcome, RegionModel, stream_route,
    },
    engine::EngineModel,
};

fn engine() -> EngineModel {
    EngineModel {
        slots: 64,
        memory_tokens: 468_579,
        step_ms: 2.89,
        slot_ms: 0.1,
        context_ms: 0.0,
        prefill_rate: 55.0,
        chunk: 1_024.0,
        attention_ms: 0.0,
        tokens_per_event: 10,
        copy_rate: 0.0,
    }
}

fn kinds(hint_bias: f64) -> Vec<KindModel> {
    let hints = Some(HintModel { spread: 0.5, bias: hint_bias });
    vec![
        KindModel {
            route: stream_route(1, 1_200, 12_000, 600, &[], false),
            share: 0.326,
            chain: vec![(3, 512.0), (40, 4_870.0)],
            own: (6_610.0, 1.0, 40_000.0),
            events: (38.2, 0.86, 112.0),
            hints,
            worth: 4.9,
            late_worth: 1.5,
        },
        KindModel {
            route: stream_route(0, 800, 3_000, 600, &["puget", "columbia"], true),
            share: 0.674,
            chain: vec![(10, 341.0), (200, 227.0)],
            own: (1_800.0, 1.0, 6_870.0),
            events: (2.3, 0.5, 15.0),
            hints,
            worth: 1.6,
            late_worth: 0.47,
        },
    ]
}

/// Three regions with 9 gateways and 18 engines. A machine has a speed of 0.6, 1 or 1.6, and a sixth
/// of them take 2.5 times as long in turn. Two regions have their peak load one after the other.
fn peak(load: f64, is_stated: bool, hint_bias: f64, seed: u64) -> Deployment {
    let region = |name, gateways, engines, per_second: &[f64]| RegionModel {
        name,
        gateways,
        engines,
        per_second: per_second.iter().map(|rate| rate * load).collect(),
    };
    Deployment {
        weighs_cached_prefixes: false,
        overload_control: false,
        workspaces: Vec::new(),
        loses_hints: false,
        regions: vec![
            region("puget", 4, 9, &[100.0]),
            region("columbia", 3, 5, &[35.0]),
            region("inland", 2, 4, &[25.0]),
        ],
        kinds: kinds(hint_bias),
        engine: engine(),
        machines: Some(MachineModel {
            speeds: vec![1.0, 0.6, 1.6, 1.0],
            slowdown: 2.5,
            every: 6,
            for_ms: 600,
            is_stated,
        }),
        seconds: 14,
        crash: None,
        seed,
    }
}

fn replay(seeds: u64, load: f64, is_stated: bool, hint_bias: f64) -> Vec<Outcome> {
    (1..=seeds).map(|seed| peak(load, is_stated, hint_bias, seed).simulate()).collect()
}

fn show(title: &str, outcomes: &[Outcome]) {
    for outcome in outcomes {
        println!("{title}: worth {:.3}, prefill {:.2?}", outcome.worth(), outcome.prefill_share);
        outcome.kinds.iter().for_each(|kind| println!("  {kind}"));
    }
}

/// Returns the number of long streams that did not end, and the mean worth.
fn result(outcomes: &[Outcome]) -> (usize, f64) {
    let failed = outcomes.iter().map(|o| o.kinds[0].failed + o.kinds[0].refused).sum();
    (failed, outcomes.iter().map(Outcome::worth).sum::<f64>() / outcomes.len() as f64)
}

/// Replays a load and returns its result.
fn measure(title: &str, seeds: u64, load: f64, is_stated: bool, hint_bias: f64) -> (usize, f64) {
    let outcomes = replay(seeds, load, is_stated, hint_bias);
    show(title, &outcomes);
    let result = result(&outcomes);
    println!("load {load}, {title}: {result:?}");
    result
}

#[test]
fn long_answers_end_in_time_at_a_peak() {
    // The load: a lasting peak with nine tenths of the prefill that engines of three speeds can do.
    // Guards against long answers on engines that are slow or always in prefill, which run for
    // seconds and are then cut off by their deadline, and against trust in hints of the length that
    // are ten times too small or too large.
    let (failed, worth) = measure("before", 4, 0.9, false, 1.0);
    for (title, bias) in [("with", 1.0), ("with small hints", 0.1), ("with large hints", 10.0)] {
        let (failed_with, worth_with) = measure(title, 4, 0.9, true, bias);
        assert!(3 * failed_with <= 2 * failed, "{title}: {failed_with} failed, {failed} before");
        assert!(worth_with > worth + 0.01, "{title}: {worth_with} against {worth}");
    }
}

#[test]
fn overload_is_served_as_before() {
    // The load: more than the engines can do. Guards against prompts that wait for an engine to
    // recover while all are strained.
    // Single seeds differ by a third either way.
    let (failed, worth) = measure("before", 8, 1.1, false, 1.0);
    let (failed_with, worth_with) = measure("with", 8, 1.1, true, 1.0);
    assert!(failed_with as f64 <= 1.1 * failed as f64, "{failed_with} failed, {failed} before");
    assert!(worth_with > worth - 0.005, "{worth_with} against {worth}");
}
