//! Runs every scenario under every policy, several at a time.

use {
    crate::{
        ArrivalSet, MeasureRow, PolicyKind, ReplaySettings, ReplayTable, ScenarioKind,
        ScenarioPlan, bounds::BoundRows, replay_cell, report::ScenarioTable,
    },
    std::{sync::Mutex, thread},
};

/// One scenario and what arrives in it.
struct Stage {
    kind: ScenarioKind,
    scenario: ScenarioPlan,
    arrivals: ArrivalSet,
}

/// What one thread does at a time.
#[derive(Clone, Copy)]
enum ReplayJob {
    /// One policy.
    Policy(PolicyKind),
    /// What perfect knowledge can reach; both rows come from the same replays.
    Bounds,
}

/// A row and the place it belongs to.
type Cell = (usize, PolicyKind, MeasureRow);

/// Replays all scenarios under all policies, each scenario's policies over the same arrivals.
pub fn replay_table(settings: &ReplaySettings) -> ReplayTable {
    let stages: Vec<Stage> = settings.scenarios.iter().map(|kind| stage(settings, *kind)).collect();
    let jobs: Vec<(usize, ReplayJob)> = (0..stages.len())
        .flat_map(|index| jobs(&settings.policies).into_iter().map(move |job| (index, job)))
        .collect();
    let next = Mutex::new(jobs.iter());
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..settings.threads.max(1) {
            scope.spawn(|| {
                while let Some((index, job)) = take(&next) {
                    let rows = run(settings, &stages[*index], *job);
                    let cells = rows.into_iter().map(|(policy, row)| (*index, policy, row));
                    done.lock().expect("no replay panics").extend(cells);
                }
            });
        }
    });
    let mut cells: Vec<Cell> = done.into_inner().expect("no replay panics");
    cells.sort_by_key(|(index, policy, _)| (*index, *policy));
    let tables = stages.iter().enumerate().map(|(index, stage)| ScenarioTable {
        scenario: stage.kind.name(),
        rows: cells.iter().filter(|(i, _, _)| *i == index).map(|(_, _, row)| row.clone()).collect(),
    });
    ReplayTable::new(settings, tables.collect())
}

fn stage(settings: &ReplaySettings, kind: ScenarioKind) -> Stage {
    let scenario = kind.plan(&settings.plan, settings.load);
    let arrivals = ArrivalSet::new(&settings.plan, &scenario, settings.seed);
    Stage { kind, scenario, arrivals }
}

/// The jobs of one scenario, the longest first.
fn jobs(policies: &[PolicyKind]) -> Vec<ReplayJob> {
    let bounds = policies.iter().any(|policy| policy.is_bound()).then_some(ReplayJob::Bounds);
    let others = policies.iter().filter(|policy| !policy.is_bound());
    bounds.into_iter().chain(others.map(|policy| ReplayJob::Policy(*policy))).collect()
}

fn run(settings: &ReplaySettings, stage: &Stage, job: ReplayJob) -> Vec<(PolicyKind, MeasureRow)> {
    let ReplayJob::Policy(policy) = job else {
        let bounds = BoundRows::new(settings, &stage.scenario, &stage.arrivals);
        let rows = [
            (PolicyKind::Omniscient, bounds.fastest()),
            (PolicyKind::OmniscientNear, bounds.nearest(settings)),
        ];
        return rows.into_iter().filter(|row| settings.policies.contains(&row.0)).collect();
    };
    vec![(policy, replay_cell(settings, &stage.scenario, &stage.arrivals, policy))]
}

fn take<'a, T>(jobs: &Mutex<std::slice::Iter<'a, T>>) -> Option<&'a T> {
    jobs.lock().expect("no replay panics").next()
}
