//! What the demo does to its deployment, and what it counts.

use {
    crate::{
        CallerClient, DemoError, Deployment,
        sample::{BOUND_TOKEN, CALLER_TOKEN, HOME_REGION, REGIONS},
        verdict::{DemoVerdict, RegionFigures},
    },
    futures::future::{join, join_all},
    gullglade_stub::{FaultKind, FaultOrder, LoadPlan, LoadTally, LoadTarget, run_load},
    gullglade_units::{ModelName, OrderKey, ProcessContext, RegionName, ServiceName},
    http::Method,
    std::{collections::BTreeMap, time::Duration},
};

/// When what happens, counted from the start of the traffic.
const KILL_AT: Duration = Duration::from_secs(2);
const BACKOFF_AT: Duration = Duration::from_millis(2_500);
const PARTITION_AT: Duration = Duration::from_secs(3);
const HEAL_AT: Duration = Duration::from_secs(6);
const DRAIN_AT: Duration = Duration::from_secs(7);

/// How often two regions race for one order.
const RACES: usize = 40;

/// Requests of the workspace that is bound to its home.
const BOUND_REQUESTS: usize = 30;

const ORDER_PATH: &str = "/services/order-desk/orders";

/// One service's traffic.
struct Traffic {
    service: &'static str,
    model: &'static str,
    /// Requests a second in each region, in the order of [`REGIONS`]: the peaks differ.
    rates: [f64; 3],
}

const TRAFFIC: [Traffic; 2] = [
    Traffic { service: "ballast-order-desk", model: "ballast", rates: [30.0, 12.0, 6.0] },
    Traffic {
        service: "pipeline-inspection-runs",
        model: "pig-run-report",
        rates: [6.0, 15.0, 9.0],
    },
];

/// Runs traffic and failures for `duration`; `tell` is called with a line for each event.
pub async fn run_show(
    deployment: &Deployment,
    duration: Duration,
    tell: &dyn Fn(&str),
) -> Result<DemoVerdict, DemoError> {
    let traffic = all_traffic(deployment, duration);
    let events = failures(deployment, duration, tell);
    let orders = race_orders(deployment, duration);
    let bound = bound_requests(deployment, duration);
    let ((tallies, events), (races, bound)) =
        join(join(traffic, events), join(orders, bound)).await;
    events?;
    let figures = tallies?;
    let mut verdict = DemoVerdict { regions: figures, ..DemoVerdict::default() };
    verdict.out_of_residency = bound?;
    count_orders(deployment, &races?, &mut verdict).await?;
    count_gateways(deployment, &mut verdict).await?;
    Ok(verdict)
}

async fn all_traffic(
    deployment: &Deployment,
    duration: Duration,
) -> Result<BTreeMap<String, RegionFigures>, DemoError> {
    let mut plans = Vec::new();
    for traffic in &TRAFFIC {
        for (region, rate) in REGIONS.into_iter().zip(traffic.rates) {
            plans.push((region, load_plan(deployment, traffic, region, rate, duration)?));
        }
    }
    let runs = plans.into_iter().map(|(region, plan)| async move {
        (region, run_load(plan, ProcessContext::system()).await)
    });
    let mut figures: BTreeMap<String, RegionFigures> = BTreeMap::new();
    for (region, tally) in join_all(runs).await {
        let row = figures.entry(region.to_owned()).or_insert_with(|| RegionFigures {
            tally: LoadTally::default(),
            gateway_requests: 0.0,
            sent_away: 0.0,
        });
        row.tally.merge(&tally);
    }
    Ok(figures)
}

fn load_plan(
    deployment: &Deployment,
    traffic: &Traffic,
    region: &str,
    rate: f64,
    duration: Duration,
) -> Result<LoadPlan, DemoError> {
    let target = LoadTarget::Entry {
        ask: deployment.caller_addresses(&named(region)?),
        service: Some(named::<ServiceName>(traffic.service)?),
    };
    let mut plan = LoadPlan::new(target, named::<ModelName>(traffic.model)?);
    plan.token = Some(CALLER_TOKEN.to_owned());
    plan.rate = rate;
    plan.duration = duration;
    plan.seed = u64::from(region.len() as u32) * 1_000 + u64::from(traffic.model.len() as u32);
    Ok(plan)
}

/// Kills a gateway, lets an engine back off, cuts a region off for a while, lets an engine leave.
async fn failures(
    deployment: &Deployment,
    duration: Duration,
    tell: &dyn Fn(&str),
) -> Result<(), DemoError> {
    let start = std::time::Instant::now();
    let at = |moment: Duration| {
        let scaled = moment.mul_f64(duration.as_secs_f64() / 10.0);
        monoio::time::sleep(scaled.saturating_sub(start.elapsed()))
    };
    at(KILL_AT).await;
    tell("kill      gateway columbia-2");
    deployment.gateway("columbia-2").kill().await?;
    at(BACKOFF_AT).await;
    tell("reject    engine ballast-puget-2 rejects a request and requests a back-off of 1 s");
    let order = FaultOrder { fault: Some(FaultKind::Backoff { seconds: 1 }), times: Some(1) };
    deployment.region("puget").set_fault(&named("ballast-puget-2")?, order).await?;
    at(PARTITION_AT).await;
    tell("partition region inland from the others");
    deployment.set_partition(&named("inland")?, true).await?;
    at(HEAL_AT).await;
    tell("heal      the partition");
    deployment.set_partition(&named("inland")?, false).await?;
    at(DRAIN_AT).await;
    tell("drain     engine ballast-puget-1");
    deployment.region("puget").leave(&named("ballast-puget-1")?).await
}

/// What the callers of one order were told.
pub(crate) struct RacedOrder {
    key: OrderKey,
    runs_told: Vec<String>,
}

/// Sends each order to a gateway of its own region and to one of another at the same time.
async fn race_orders(
    deployment: &Deployment,
    duration: Duration,
) -> Result<Vec<RacedOrder>, DemoError> {
    let context = ProcessContext::system();
    let caller = CallerClient::new(CALLER_TOKEN);
    let mut races = Vec::new();
    for number in 0..RACES {
        let home: RegionName = named(REGIONS[number % REGIONS.len()])?;
        let other: RegionName = named(REGIONS[(number + 1) % REGIONS.len()])?;
        let key = OrderKey::new(&home, &context);
        let body = format!("{{\"tons\":{}}}", 100 + number);
        let send = |region: &RegionName| {
            let gateway = deployment.caller_addresses(region)[0];
            caller.send(gateway, Method::POST, ORDER_PATH, Some(key.as_str()), body.clone())
        };
        let replies: [_; 2] = join(send(&home), send(&other)).await.into();
        let told = |reply: &Result<crate::CallerReply, DemoError>| match reply {
            Ok(reply) => reply.run().unwrap_or("unknown").to_owned(),
            Err(_) => "unknown".to_owned(),
        };
        let runs_told = replies.iter().map(told).collect();
        races.push(RacedOrder { key, runs_told });
        monoio::time::sleep(duration / (RACES as u32 + 5)).await;
    }
    Ok(races)
}

/// Requests of a workspace bound to its home, sent to every region; how many were served elsewhere.
async fn bound_requests(deployment: &Deployment, duration: Duration) -> Result<u64, DemoError> {
    let caller = CallerClient::new(BOUND_TOKEN);
    let mut outside = 0;
    for number in 0..BOUND_REQUESTS {
        let region: RegionName = named(REGIONS[number % REGIONS.len()])?;
        let gateway = deployment.caller_addresses(&region)[0];
        let prompt = format!("Carrier schedule {number}?");
        if let Ok(reply) = caller.chat(gateway, "ballast", &prompt, true).await {
            let served = reply.headers.get("gullglade-region").map(|value| value.as_bytes());
            outside += u64::from(served.is_some_and(|region| region != HOME_REGION.as_bytes()));
        }
        monoio::time::sleep(duration / (BOUND_REQUESTS as u32 * 2)).await;
    }
    Ok(outside)
}

/// Holds what callers were told against what the order desks ran.
async fn count_orders(
    deployment: &Deployment,
    races: &[RacedOrder],
    verdict: &mut DemoVerdict,
) -> Result<(), DemoError> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for region in deployment.backends() {
        for (_, stats) in region.stats().await? {
            for (key, count) in stats.by_key {
                *runs.entry(key).or_default() += count;
            }
        }
    }
    for race in races {
        let ran = runs.get(race.key.as_str()).copied().unwrap_or(0);
        verdict.orders += 1;
        verdict.orders_run += u64::from(ran > 0);
        verdict.doubled += u64::from(ran > 1);
        let all_not_run = race.runs_told.iter().all(|told| told == "not-run");
        verdict.not_run_that_ran += u64::from(ran > 0 && all_not_run);
    }
    Ok(())
}

async fn count_gateways(
    deployment: &Deployment,
    verdict: &mut DemoVerdict,
) -> Result<(), DemoError> {
    for gateway in deployment.gateways() {
        let counts = gateway.counts().await?;
        verdict.breaches += counts.breaches;
        if let Some(row) = verdict.regions.get_mut(gateway.plan().region.as_str()) {
            row.gateway_requests += counts.requests;
            row.sent_away += counts.sent_away;
        }
    }
    Ok(())
}

fn named<N>(text: &str) -> Result<N, DemoError>
where
    N: for<'a> TryFrom<&'a str, Error = gullglade_units::NameError>,
{
    N::try_from(text).map_err(|e| DemoError::Start { name: text.to_owned(), reason: e.to_string() })
}
