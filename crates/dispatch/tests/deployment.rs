//! Simulation of peak loads of whole deployments in virtual time.

mod support;

use support::{
    deployment::{CrashModel, Deployment, KindModel, Outcome, RegionModel, stream_route},
    engine::EngineModel,
};

fn engine() -> EngineModel {
    EngineModel {
        slots: 32,
        memory_tokens: 504_000,
        step_ms: 2.77,
        slot_ms: 0.0145,
        context_ms: 0.00762,
        prefill_rate: 85.2,
        chunk: 1_024.0,
        attention_ms: 0.275,
        tokens_per_event: 6,
        copy_rate: 570.0,
    }
}

fn kinds() -> Vec<KindModel> {
    vec![
        KindModel {
            route: stream_route(1, 800, 10_000, 200, &[], true),
            share: 0.17,
            chain: vec![(3, 512.0), (247, 4_870.0)],
            own: (6_610.0, 1.4, 54_600.0),
            events: (63.7, 0.44, 187.0),
            hints: None,
            worth: 5.6,
            late_worth: 1.7,
        },
        KindModel {
            route: stream_route(0, 1_000, 2_500, 200, &["puget", "columbia"], false),
            share: 0.83,
            chain: vec![(10, 341.0), (1_203, 227.0)],
            own: (1_800.0, 1.3, 6_870.0),
            events: (3.76, 1.4, 15.0),
            hints: None,
            worth: 1.5,
            late_worth: 0.44,
        },
    ]
}

/// Three regions with 47 gateways and 26 engines in all. One is at its peak from the start and the
/// smallest one for three seconds. Their total load is seven tenths of the prefill capacity of all
/// engines.
fn regions() -> Vec<RegionModel> {
    let region = |name, gateways, engines, per_second: &[f64]| RegionModel {
        name,
        gateways,
        engines,
        per_second: per_second.to_vec(),
    };
    vec![
        region("puget", 17, 13, &[400.0]),
        region("columbia", 14, 8, &[18.0; 9]),
        region("inland", 16, 5, &[230.0, 140.0, 50.0, 15.0]),
    ]
}

fn peak(seed: u64) -> Deployment {
    Deployment {
        regions: regions(),
        kinds: kinds(),
        workspaces: Vec::new(),
        engine: engine(),
        machines: None,
        seconds: 10,
        crash: None,
        weighs_cached_prefixes: false,
        seed,
        loses_hints: false,
        overload_control: false,
    }
}

fn show(outcome: &Outcome) {
    println!(
        "worth {:.3}, {:.2} million tokens read again",
        outcome.worth(),
        outcome.repeated_prefill
    );
    for kind in &outcome.kinds {
        let [low, median, high] = [0.1, 0.5, 0.9].map(|part| kind.prediction_error_ms(part));
        println!("  {:.3} of its worth, {kind}", kind.earned / kind.owed);
        println!("  later than expected by {low:.0}/{median:.0}/{high:.0} ms (p10/p50/p90)");
    }
}

#[test]
fn long_prompts_are_served_at_a_regional_peak() {
    // The load: a region at its peak, whose engines cannot serve it alone, while two others have
    // capacity. Guards against long prompts that wait behind short, urgent ones that have time, or
    // on engines that are busier than their gateway knows.
    let outcomes: Vec<Outcome> = (1..3).map(|seed| peak(seed).simulate()).collect();
    outcomes.iter().for_each(show);
    let mean = |kind: usize| {
        let share = |o: &Outcome| o.kinds[kind].earned / o.kinds[kind].owed;
        outcomes.iter().map(share).sum::<f64>() / outcomes.len() as f64
    };
    let (long, short) = (mean(0), mean(1));
    println!("of their worth: {long:.3} of long prompts, {short:.3} of short ones");
    // 0.67 if gateways only exchange hints of sends and keep the priorities of the routes.
    assert!(long > 0.83, "{long}");
    assert!(short > 0.99, "{short}");
}

#[test]
fn first_byte_predictions_are_accurate_at_a_peak() {
    // The same load. Guards against late first bytes: with only its own first bytes, about one per
    // second and engine, each of 17 gateways predicted those of long prompts 144 to 284 ms too
    // early in the median, and a tenth of them by more than 600 ms.
    let outcome = peak(5).simulate();
    show(&outcome);
    for kind in &outcome.kinds {
        let (median, high) = (kind.prediction_error_ms(0.5), kind.prediction_error_ms(0.9));
        assert!(median.abs() < 10.0, "{median} ms");
        assert!(high < 160.0, "{high} ms");
    }
}

#[test]
fn engine_crashes_at_a_peak_cost_little() {
    // The same load, while a quarter of all engines crash and come back cold.
    let crash = Some(CrashModel { at_ms: 3_000, for_ms: 2_000, every: 4 });
    let outcome = Deployment { crash, ..peak(3) }.simulate();
    show(&outcome);
    // 0.74 if gateways only exchange hints of sends and keep the priorities of the routes.
    assert!(outcome.worth() > 0.84, "{}", outcome.worth());
}
