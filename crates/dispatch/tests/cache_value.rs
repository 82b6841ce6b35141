//! Replays of loads in which the value of a cached prefix decides, against the fixed weights.

mod support;

use support::{
    deployment::{CrashModel, Deployment, KindModel, Outcome, RegionModel, stream_route},
    engine::EngineModel,
};

/// Tokens that an engine copies per millisecond.
const COPY_RATE: f64 = 570.0;

fn engine(memory_tokens: u64, slots: usize, copy_rate: f64) -> EngineModel {
    EngineModel {
        slots,
        memory_tokens,
        step_ms: 2.89,
        slot_ms: 0.1,
        context_ms: 0.00762,
        prefill_rate: 55.0,
        chunk: 1_024.0,
        attention_ms: 0.275,
        tokens_per_event: 10,
        copy_rate,
    }
}

/// Long streams of which each has one of `parts` shared parts.
fn long(share: f64, parts: u64) -> KindModel {
    KindModel {
        hints: None,
        route: stream_route(1, 1_200, 12_000, 600, &[], false),
        share,
        chain: vec![(parts, 5_382.0)],
        own: (6_610.0, 0.8, 54_600.0),
        events: (38.0, 0.86, 112.0),
        worth: 4.9,
        late_worth: 1.5,
    }
}

fn short(share: f64, parts: u64) -> KindModel {
    KindModel {
        hints: None,
        route: stream_route(0, 800, 3_000, 600, &[], true),
        share,
        chain: vec![(parts, 568.0)],
        own: (1_800.0, 0.8, 6_870.0),
        events: (2.3, 0.8, 15.0),
        worth: 1.6,
        late_worth: 0.47,
    }
}

/// A region of six gateways and six engines.
fn region(
    engine: EngineModel,
    kinds: Vec<KindModel>,
    per_second: &[f64],
    is_weighed: bool,
    seed: u64,
) -> Deployment {
    let region =
        RegionModel { name: "puget", gateways: 6, engines: 6, per_second: per_second.to_vec() };
    Deployment {
        workspaces: Vec::new(),
        machines: None,
        loses_hints: false,
        overload_control: false,
        regions: vec![region],
        kinds,
        engine,
        seconds: 20,
        crash: None,
        weighs_cached_prefixes: is_weighed,
        seed,
    }
}

/// The shared parts of the long prompts exceed the memory of the engines.
fn little_memory(copy_rate: f64, is_weighed: bool, seed: u64) -> Deployment {
    let kinds = vec![long(0.33, 120), short(0.67, 300)];
    region(engine(200_000, 64, copy_rate), kinds, &[40.0], is_weighed, seed)
}

/// Four shared parts and little slots, so that the holders are full while other engines are idle.
fn full_holders(copy_rate: f64, is_weighed: bool, seed: u64) -> Deployment {
    let kinds = vec![long(0.33, 4), short(0.67, 300)];
    region(engine(468_579, 12, copy_rate), kinds, &[45.0], is_weighed, seed)
}

/// The same, while half of the engines crash and restart with empty caches.
fn crashed_holders(copy_rate: f64, is_weighed: bool, seed: u64) -> Deployment {
    let crash = Some(CrashModel { at_ms: 8_000, for_ms: 1_500, every: 2 });
    Deployment { crash, ..full_holders(copy_rate, is_weighed, seed) }
}

/// A burst of prompts with one shared part, while the parts of the others fill the memory.
fn burst(copy_rate: f64, is_weighed: bool, seed: u64) -> Deployment {
    let kinds = vec![long(0.1, 80), long(0.3, 1), short(0.6, 300)];
    let per_second = [20.0, 20.0, 20.0, 20.0, 20.0, 20.0, 70.0, 70.0, 70.0, 20.0];
    region(engine(200_000, 64, copy_rate), kinds, &per_second, is_weighed, seed)
}

/// Returns the share of requests in their objective and the millions of shared tokens whose prefill
/// was repeated, as means of the seeds.
fn measure(seeds: u64, replay: impl Fn(u64) -> Deployment) -> (f64, f64) {
    let outcomes: Vec<Outcome> = (1..=seeds).map(|seed| replay(seed).simulate()).collect();
    let mean = |value: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    let in_time = mean(&|outcome: &Outcome| {
        let (met, all) = outcome
            .kinds
            .iter()
            .fold((0, 0), |(met, all), kind| (met + kind.in_time, all + kind.submitted));
        met as f64 / all as f64
    });
    (in_time, mean(&|outcome: &Outcome| outcome.repeated_prefill))
}

/// The share of requests in their objective and the repeated prefill, with the fixed weights and
/// with the value of cached prefixes.
#[derive(Debug)]
struct Comparison {
    fixed: (f64, f64),
    weighed: (f64, f64),
}

impl Comparison {
    fn new(name: &str, replay: impl Fn(bool, u64) -> Deployment) -> Self {
        let seeds = support::env_number("SEEDS", 6);
        let run = |is_weighed| measure(seeds, |seed| replay(is_weighed, seed));
        let comparison = Self { fixed: run(false), weighed: run(true) };
        println!("{name}: in objective, million shared tokens read again: {comparison:?}");
        comparison
    }
}

#[test]
fn parts_in_use_stay_in_little_memory() {
    // The load: the shared parts of a region do not fit into the memory of its engines. Guards
    // against prompts that evict parts in use while another engine has memory, and against short
    // queues that scatter the parts.
    let compare = |copy_rate| {
        let replay = |is_weighed, seed| little_memory(copy_rate, is_weighed, seed);
        Comparison::new(&format!("little memory, copies {copy_rate}"), replay)
    };
    let comparisons = [compare(0.0), compare(COPY_RATE)];
    for Comparison { fixed, weighed } in &comparisons {
        assert!(weighed.0 > fixed.0, "in objective: {weighed:?} against {fixed:?}");
        assert!(weighed.1 < 1.02 * fixed.1, "read again: {weighed:?} against {fixed:?}");
    }
    let gain = comparisons.iter().map(|c| c.weighed.0 - c.fixed.0).sum::<f64>() / 2.0;
    assert!(gain > 0.003, "{gain}");
}

#[test]
fn full_holders_give_copies_to_idle_engines() {
    // The load: four shared parts, whose holders are full while other engines are idle. Guards
    // against copies that count as much as a prefill, so that prompts crowd at the holders until
    // the part has to be processed elsewhere.
    let replay = |copy_rate| move |is_weighed, seed| full_holders(copy_rate, is_weighed, seed);
    let Comparison { fixed, weighed } = Comparison::new("full holders", replay(COPY_RATE));
    assert!(weighed.0 > fixed.0 - 0.005, "in objective: {weighed:?} against {fixed:?}");
    assert!(weighed.1 < 0.8 * fixed.1, "read again: {weighed:?} against {fixed:?}");
    let Comparison { fixed, weighed } = Comparison::new("full holders, no copies", replay(0.0));
    assert!(weighed.0 > fixed.0 - 0.005, "in objective: {weighed:?} against {fixed:?}");
    assert!(weighed.1 < 1.05 * fixed.1, "read again: {weighed:?} against {fixed:?}");
}

#[test]
fn burst_on_one_part_spreads_it() {
    // The load: prompts with one shared part arrive at three and a half times their usual rate.
    // Guards against a burst that stays at one holder, or evicts the parts of the others.
    let replay = |is_weighed, seed| burst(COPY_RATE, is_weighed, seed);
    let Comparison { fixed, weighed } = Comparison::new("burst", replay);
    assert!(weighed.0 > fixed.0 - 0.002, "in objective: {weighed:?} against {fixed:?}");
    assert!(weighed.1 < 0.9 * fixed.1, "read again: {weighed:?} against {fixed:?}");
}

#[test]
fn restarted_engines_get_copies() {
    // Guards against a placement that counts on the cache of an engine that was restarted.
    let replay = |is_weighed, seed| crashed_holders(COPY_RATE, is_weighed, seed);
    let Comparison { fixed, weighed } = Comparison::new("half of the engines crash", replay);
    assert!(weighed.0 > fixed.0 - 0.005, "in objective: {weighed:?} against {fixed:?}");
    assert!(weighed.1 < 0.9 * fixed.1, "read again: {weighed:?} against {fixed:?}");
}
