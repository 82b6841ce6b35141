//! Residency, hop and drain rules hold for any topology and for stale or contradictory input,
//! whatever the wrapped policy answers.

use {
    gullglade_route::{
        BackendRole, Candidate, CheckedPolicy, EngineCapacity, ForwardError, HealthState,
        LatencyPolicy, LoadReport, OwnLoad, RegionOffer, Residency, RouteDecision, RoutePolicy,
        RouteRequest, RouteWeights, baseline, check_forward,
    },
    gullglade_units::{
        BackendName, ModelName, MonotonicTime, RandomSource, RegionName, SeededRandom,
    },
    quickcheck::{Arbitrary, Gen, quickcheck},
    std::time::Duration,
};

const REGIONS: [&str; 5] = ["puget", "columbia", "inland", "okanagan", "fraser-valley"];
const MODELS: [&str; 3] = ["ballast", "order-desk", "pig-run"];

#[derive(Clone, Debug)]
struct RawCandidate {
    region: usize,
    models: Vec<usize>,
    role: u8,
    health: u8,
    leaving: bool,
    numbers: [u32; 6],
    age: u64,
    rate: f64,
}

#[derive(Clone, Debug)]
struct RawOffer {
    region: usize,
    reachable: bool,
    numbers: [u32; 3],
    rate: f64,
    share: f64,
    age: u64,
}

/// Arbitrary input of a decision, including states that are unlikely in practice.
#[derive(Clone, Debug)]
struct RawInput {
    here: usize,
    origin: Option<usize>,
    home: Option<usize>,
    allowed: Option<Vec<usize>>,
    stale_config: bool,
    model: Option<usize>,
    role: u8,
    weights: (f64, f64),
    times: [u64; 5],
    prompt_tokens: u32,
    within_share: bool,
    candidates: Vec<RawCandidate>,
    offers: Vec<RawOffer>,
    seed: u64,
}

fn index_below(g: &mut Gen, count: usize) -> usize {
    usize::arbitrary(g) % count
}

fn optional_index(g: &mut Gen, count: usize) -> Option<usize> {
    bool::arbitrary(g).then(|| index_below(g, count))
}

fn arbitrary_count(g: &mut Gen) -> u32 {
    *g.choose(&[0, 1, 2, 16, 100, 5_000, u32::MAX]).expect("not empty")
}

fn arbitrary_millis(g: &mut Gen) -> u64 {
    *g.choose(&[0, 1, 55, 1_000, 60_000, u64::from(u32::MAX)]).expect("not empty")
}

impl Arbitrary for RawCandidate {
    fn arbitrary(g: &mut Gen) -> Self {
        let models = (0..index_below(g, 3)).map(|_| index_below(g, MODELS.len())).collect();
        Self {
            region: index_below(g, REGIONS.len()),
            models,
            role: u8::arbitrary(g),
            health: u8::arbitrary(g),
            leaving: bool::arbitrary(g),
            numbers: std::array::from_fn(|_| arbitrary_count(g)),
            age: arbitrary_millis(g),
            rate: f64::arbitrary(g),
        }
    }
}

impl Arbitrary for RawOffer {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            region: index_below(g, REGIONS.len()),
            reachable: bool::arbitrary(g),
            numbers: std::array::from_fn(|_| arbitrary_count(g)),
            rate: f64::arbitrary(g),
            share: f64::arbitrary(g),
            age: arbitrary_millis(g),
        }
    }
}

impl Arbitrary for RawInput {
    fn arbitrary(g: &mut Gen) -> Self {
        let allowed = bool::arbitrary(g)
            .then(|| (0..index_below(g, 4)).map(|_| index_below(g, REGIONS.len())).collect());
        Self {
            here: index_below(g, REGIONS.len()),
            origin: optional_index(g, REGIONS.len()),
            home: optional_index(g, REGIONS.len()),
            allowed,
            stale_config: bool::arbitrary(g),
            model: optional_index(g, MODELS.len()),
            role: u8::arbitrary(g),
            weights: (f64::arbitrary(g), f64::arbitrary(g)),
            times: std::array::from_fn(|_| arbitrary_millis(g)),
            prompt_tokens: arbitrary_count(g),
            within_share: bool::arbitrary(g),
            candidates: Vec::arbitrary(g),
            offers: Vec::arbitrary(g),
            seed: u64::arbitrary(g),
        }
    }
}

fn role(raw: u8) -> BackendRole {
    [BackendRole::Generate, BackendRole::Service, BackendRole::Standby][usize::from(raw % 3)]
}

fn health(raw: u8) -> HealthState {
    [HealthState::Healthy, HealthState::Suspect, HealthState::Down][usize::from(raw % 3)]
}

/// Validated names that the borrowed rows refer to.
struct Names {
    regions: Vec<RegionName>,
    models: Vec<ModelName>,
    backend: BackendName,
}

fn names() -> Names {
    Names {
        regions: REGIONS.iter().map(|r| RegionName::try_from(*r).expect("a name")).collect(),
        models: MODELS.iter().map(|m| ModelName::try_from(*m).expect("a name")).collect(),
        backend: BackendName::try_from("engine-1").expect("a name"),
    }
}

/// Policy that answers with random indexes, some of them out of bounds.
struct RandomPolicy;

impl RoutePolicy for RandomPolicy {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        _offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        let index = usize::try_from(random.below(candidates.len() as u64 + 3)).unwrap_or(0);
        if random.below(2) == 0 {
            return RouteDecision::Local { backend: index };
        }
        RouteDecision::Forward { offer: index }
    }
}

fn policies() -> Vec<(&'static str, Box<dyn RoutePolicy>)> {
    vec![
        ("random", Box::new(CheckedPolicy::new(RandomPolicy))),
        ("round-robin", Box::new(CheckedPolicy::new(baseline::RoundRobin::default()))),
        ("least-reported", Box::new(CheckedPolicy::new(baseline::LeastReported))),
        ("two-choices", Box::new(CheckedPolicy::new(baseline::TwoChoices))),
        ("local-only", Box::new(CheckedPolicy::new(baseline::LocalOnly))),
        ("gullglade", Box::new(CheckedPolicy::new(LatencyPolicy::default()))),
    ]
}

fn check_input(input: &RawInput) -> Result<(), String> {
    let names = names();
    let models: Vec<Vec<ModelName>> = input
        .candidates
        .iter()
        .map(|c| c.models.iter().map(|m| names.models[*m].clone()).collect())
        .collect();
    let allowed: Option<Vec<RegionName>> =
        input.allowed.as_ref().map(|list| list.iter().map(|r| names.regions[*r].clone()).collect());
    let time = |index: usize| Duration::from_millis(input.times[index]);
    let request = RouteRequest {
        now: MonotonicTime(time(0)),
        local_region: &names.regions[input.here],
        origin: input.origin.map(|r| &names.regions[r]),
        residency: allowed.as_deref().map_or(Residency::Anywhere, Residency::Only),
        home: input.home.map(|r| &names.regions[r]),
        stale_config: input.stale_config,
        model: input.model.map(|m| &names.models[m]),
        role: role(input.role),
        prompt_tokens: input.prompt_tokens,
        holding_time: time(1),
        target: time(2),
        deadline: Some(time(3)),
        waited: Duration::ZERO,
        queue_wait: time(4),
        within_share: input.within_share,
        weights: RouteWeights { latency: input.weights.0, forwarding: input.weights.1 },
    };
    let candidates: Vec<Candidate<'_>> = input
        .candidates
        .iter()
        .zip(&models)
        .map(|(raw, models)| Candidate {
            name: &names.backend,
            region: &names.regions[raw.region],
            models,
            role: role(raw.role),
            health: health(raw.health),
            leaving: raw.leaving,
            capacity: EngineCapacity { slots: raw.numbers[0], prefill_rate: raw.rate },
            report: LoadReport {
                active: raw.numbers[1],
                prefill_tokens: raw.numbers[2],
                age: Duration::from_millis(raw.age),
            },
            own: OwnLoad {
                active: raw.numbers[3],
                active_at_report: raw.numbers[4],
                prefill_tokens: raw.numbers[5],
                prefill_tokens_at_report: raw.numbers[0],
            },
            cached_tokens: raw.numbers[5],
            link: Duration::from_millis(raw.age),
            since_join: Duration::from_millis(raw.age),
        })
        .collect();
    let offers: Vec<RegionOffer<'_>> = input
        .offers
        .iter()
        .map(|raw| RegionOffer {
            region: &names.regions[raw.region],
            reachable: raw.reachable,
            link: Duration::from_millis(raw.age),
            slots: raw.numbers[0],
            free_slots: raw.numbers[1],
            prefill_tokens: raw.numbers[2],
            prefill_rate: raw.rate,
            age: Duration::from_millis(raw.age),
            since_return: Duration::from_millis(raw.age),
            share: raw.share,
        })
        .collect();
    let random = SeededRandom::new(input.seed);
    for (name, policy) in policies() {
        for _ in 0..4 {
            let decision = policy.decide(&request, &candidates, &offers, &random);
            check_decision(&request, &candidates, &offers, decision)
                .map_err(|violation| format!("{name}: {violation}: {decision:?}"))?;
        }
    }
    Ok(())
}

/// Checks the invariants of a decision, independently of the code that filters.
fn check_decision(
    request: &RouteRequest<'_>,
    candidates: &[Candidate<'_>],
    offers: &[RegionOffer<'_>],
    decision: RouteDecision,
) -> Result<(), String> {
    let (region, is_forwarded) = match decision {
        RouteDecision::Local { backend } => {
            let row = candidates.get(backend).ok_or("no such candidate")?;
            ensure(!row.leaving, "a leaving backend server")?;
            ensure(row.health != HealthState::Down, "a backend server that is down")?;
            ensure(row.role == request.role, "a wrong role")?;
            ensure(row.role != BackendRole::Standby, "a backend server on standby")?;
            ensure(request.model.is_none_or(|m| row.models.contains(m)), "a wrong model")?;
            ensure(row.region == request.local_region, "a row of another region")?;
            (row.region, false)
        }
        RouteDecision::Forward { offer } => {
            let row = offers.get(offer).ok_or("no such offer")?;
            ensure(row.reachable, "an unreachable region")?;
            ensure(row.region != request.local_region, "forwarded to its own region")?;
            (row.region, true)
        }
        RouteDecision::Wait { .. } | RouteDecision::Refuse { .. } => return Ok(()),
    };
    if let Residency::Only(list) = request.residency {
        ensure(list.contains(region), "outside its allowed regions")?;
    }
    ensure(request.home.is_none_or(|home| home == region), "outside its home region")?;
    ensure(!(is_forwarded && request.origin.is_some()), "a second hop between regions")?;
    ensure(!(is_forwarded && request.stale_config), "forwarded under a stale configuration")?;
    ensure(request.origin != Some(request.local_region), "a looped request accepted")
}

fn ensure(held: bool, violation: &str) -> Result<(), String> {
    if held { Ok(()) } else { Err(violation.to_owned()) }
}

quickcheck! {
    /// Guards against a policy that trusts a row: a mix of late, duplicate or contradictory rows
    /// must not place a request outside its allowed regions or forward it in a loop.
    fn invariants_hold_for_any_input(input: RawInput) -> bool {
        match check_input(&input) {
            Ok(()) => true,
            Err(violation) => panic!("{violation}"),
        }
    }
}

struct HopCase {
    name: &'static str,
    origin: Option<usize>,
    from: usize,
    to: usize,
    expected: Result<(), ForwardError>,
}

#[test]
fn check_forward_rejects_loops_and_second_hops() {
    let cases = [
        HopCase { name: "first hop", origin: None, from: 0, to: 1, expected: Ok(()) },
        HopCase {
            name: "forwarded once, checked by the receiver",
            origin: Some(0),
            from: 0,
            to: 1,
            expected: Ok(()),
        },
        HopCase {
            name: "forwarded a second time",
            origin: Some(0),
            from: 1,
            to: 2,
            expected: Err(ForwardError::SecondHop),
        },
        HopCase {
            name: "forwarded back to its origin",
            origin: Some(0),
            from: 1,
            to: 0,
            expected: Err(ForwardError::Loop),
        },
        HopCase {
            name: "forwarded to its own region",
            origin: None,
            from: 1,
            to: 1,
            expected: Err(ForwardError::Loop),
        },
    ];
    let regions = names().regions;
    for case in cases {
        let origin = case.origin.map(|r| &regions[r]);
        let outcome = check_forward(origin, &regions[case.from], &regions[case.to]);
        assert_eq!(outcome, case.expected, "{}", case.name);
    }
}
