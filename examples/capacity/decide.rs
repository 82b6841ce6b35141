//! One decision by the number of candidates and regions.

use {
    crate::{fit::print_fit, usage::micros_each},
    gullglade_route::{
        BackendRole, Candidate, CheckedPolicy, EngineCapacity, HealthState, LatencyPolicy,
        LatencySettings, LoadReport, OwnLoad, RegionOffer, Residency, RoutePolicy, RouteRequest,
        RouteWeights,
    },
    gullglade_units::{BackendName, ModelName, MonotonicTime, RegionName, SeededRandom},
    std::{hint::black_box, time::Duration},
};

const DECISIONS: u32 = 100_000;
const REGIONS: usize = 20;

fn candidate<'a>(
    name: &'a BackendName,
    region: &'a RegionName,
    models: &'a [ModelName],
    number: u32,
) -> Candidate<'a> {
    Candidate {
        name,
        region,
        models,
        role: BackendRole::Generate,
        health: HealthState::Healthy,
        leaving: false,
        capacity: EngineCapacity { slots: 40, prefill_rate: 20_000.0 },
        report: LoadReport {
            active: number * 7 % 40,
            prefill_tokens: number * 131 % 9_000,
            age: Duration::from_millis(u64::from(number) * 37 % 2_000),
        },
        own: OwnLoad::default(),
        cached_tokens: number * 97 % 2_000,
        link: Duration::from_micros(500),
        since_join: Duration::from_secs(3_600),
    }
}

fn decide_micros(candidate_count: u32) -> f64 {
    let here = RegionName::try_from("puget").expect("a name");
    let models = [ModelName::try_from("ballast").expect("a name")];
    let name = |number| BackendName::try_from(format!("engine-{number}")).expect("a name");
    let names: Vec<BackendName> = (0..candidate_count).map(name).collect();
    let candidates: Vec<Candidate<'_>> =
        (0..).zip(&names).map(|(number, name)| candidate(name, &here, &models, number)).collect();
    let region = |number| RegionName::try_from(format!("region-{number}")).expect("a name");
    let regions: Vec<RegionName> = (1..REGIONS).map(region).collect();
    let offer = |region| RegionOffer {
        region,
        reachable: true,
        link: Duration::from_millis(55),
        slots: 5_800,
        free_slots: 900,
        prefill_tokens: 40_000,
        prefill_rate: 2_900_000.0,
        age: Duration::from_secs(1),
        since_return: Duration::from_secs(3_600),
        share: 0.05,
    };
    let offers: Vec<RegionOffer<'_>> = regions.iter().map(offer).collect();
    let policy = CheckedPolicy::new(LatencyPolicy::new(LatencySettings::default()));
    let random = SeededRandom::new(6);
    micros_each(DECISIONS, |number| {
        let request = RouteRequest {
            now: MonotonicTime(Duration::from_micros(u64::from(number) * 50)),
            local_region: &here,
            origin: None,
            residency: Residency::Anywhere,
            home: None,
            stale_config: false,
            model: Some(&models[0]),
            role: BackendRole::Generate,
            prompt_tokens: 1_500,
            holding_time: Duration::from_secs(8),
            target: Duration::from_millis(1_200),
            deadline: None,
            waited: Duration::ZERO,
            queue_wait: Duration::ZERO,
            within_share: true,
            weights: RouteWeights::default(),
        };
        black_box(policy.decide(black_box(&request), &candidates, &offers, &random));
    })
}

pub(crate) fn run() {
    println!("{REGIONS} regions; candidates, µs a decision");
    let points: Vec<(f64, f64)> = [6_u32, 12, 48, 145, 580]
        .into_iter()
        .map(|count| {
            let micros = decide_micros(count);
            println!("{count:10} {micros:8.2}");
            (f64::from(count), micros)
        })
        .collect();
    print_fit("µs a decision", "candidates", &points);
}
