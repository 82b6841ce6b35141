//! Runs arrivals through a policy.

use {
    crate::{
        ArrivalRow, ArrivalSet, DeploymentPlan, MeasureRow, PolicyKind, ScenarioKind, ScenarioPlan,
        VirtualRun, World,
        bounds::BoundRows,
        omniscient,
        world::{DETECTION, at},
    },
    futures::future::{Either, select},
    gullglade_route::LatencySettings,
    std::{pin::pin, rc::Rc},
};

/// What to replay.
#[derive(Clone, Debug)]
pub struct ReplaySettings {
    /// The deployment.
    pub plan: DeploymentPlan,
    /// The scenarios.
    pub scenarios: Vec<ScenarioKind>,
    /// The policies.
    pub policies: Vec<PolicyKind>,
    /// Load as a part of the capacity.
    pub load: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Threads; each runs one policy over one scenario at a time.
    pub threads: usize,
    /// The product's settings.
    pub glade: LatencySettings,
}

/// A time at which the longest queue of any policy is empty, seconds.
const DRAINED: f64 = 1e6;

/// Seconds that a caller needs to find another gateway.
const REENTRY: f64 = 1.0;

/// Replays one scenario under one policy.
pub fn replay_cell(
    settings: &ReplaySettings,
    scenario: &ScenarioPlan,
    arrivals: &ArrivalSet,
    policy: PolicyKind,
) -> MeasureRow {
    match policy {
        PolicyKind::Omniscient => BoundRows::new(settings, scenario, arrivals).fastest(),
        PolicyKind::OmniscientNear => {
            BoundRows::new(settings, scenario, arrivals).nearest(settings)
        }
        _ => replay(settings, scenario, arrivals, policy, 0.0),
    }
}

/// Replays once; `near_bound` is the local time to first token, seconds, up to which the omniscient queue
/// keeps a request at home.
pub(crate) fn replay(
    settings: &ReplaySettings,
    scenario: &ScenarioPlan,
    arrivals: &ArrivalSet,
    policy: PolicyKind,
    near_bound: f64,
) -> MeasureRow {
    let plan = &settings.plan;
    let mut run = VirtualRun::new();
    let context = run.context(settings.seed);
    let world = World::new(plan, scenario, policy, near_bound, run.clock(), context.clone());
    world.add_gateways(settings.glade);
    context.spawner.spawn(Box::pin(world.clone().tick()));
    context.spawner.spawn(Box::pin(arrive(world.clone(), arrivals.rows.clone())));
    run.run_until(at(DRAINED));
    let row = world.measure.borrow().row(policy.name(), world.costs());
    world.gateways.borrow_mut().clear();
    row
}

async fn arrive(world: Rc<World>, rows: Vec<ArrivalRow>) {
    for row in rows {
        world.clock.until(at(row.time)).await;
        world.context.spawner.spawn(Box::pin(call(world.clone(), Rc::new(row))));
    }
}

/// One caller's request: enters at its region, or at another where that is lost.
async fn call(world: Rc<World>, row: Rc<ArrivalRow>) {
    let mut region = row.region;
    loop {
        while world.scenario.is_lost(region, world.now()) {
            let fresh = !world.scenario.is_lost(region, world.now() - DETECTION);
            if fresh {
                world.clock.until(at(world.now() + REENTRY)).await;
            }
            region = world.entry_region(row.session);
        }
        if world.policy.is_bound() {
            return omniscient::serve(world.clone(), row.clone(), region).await;
        }
        let lost_at = world.scenario.outage.filter(|s| s.region == region && s.from > world.now());
        let serving = world.gateway(region, row.session).serve(row.clone(), None);
        let limit = lost_at.map_or(f64::MAX, |span| span.from);
        let end = pin!(world.clock.until(at(limit.min(1e7))));
        match select(serving, end).await {
            Either::Left((Ok(served), _)) => return world.answered(&row, served),
            Either::Left((Err(_), _)) => return world.refused(&row, region),
            Either::Right(((), _)) => {}
        }
    }
}
