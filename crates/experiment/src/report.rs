//! The outcome as a table.

use {
    crate::{MeasureRow, PolicyKind, ReplaySettings, bounds::LATENCY_GOAL},
    serde::Serialize,
    std::fmt,
};

/// The rows of one scenario.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ScenarioTable {
    pub(crate) scenario: &'static str,
    pub(crate) rows: Vec<MeasureRow>,
}

/// The rows of all scenarios.
#[derive(Clone, Debug, Serialize)]
pub struct ReplayTable {
    deployment: &'static str,
    load: f64,
    seed: u64,
    weighs_latency: bool,
    target: f64,
    scenarios: Vec<ScenarioTable>,
}

/// Share sent away against the least that meets the target, at most.
const SHARE_GOAL: f64 = 1.5;

/// A least share below this counts as this: one request in a thousand.
const LEAST_SHARE: f64 = 0.001;

impl ReplayTable {
    pub(crate) fn new(settings: &ReplaySettings, scenarios: Vec<ScenarioTable>) -> Self {
        let plan = &settings.plan;
        Self {
            deployment: plan.kind.name(),
            load: settings.load,
            seed: settings.seed,
            weighs_latency: plan.weighs_latency(),
            target: plan.target.as_secs_f64(),
            scenarios,
        }
    }

    /// The scenarios and their rows.
    pub(crate) fn scenarios(&self) -> &[ScenarioTable] {
        &self.scenarios
    }
}

impl ScenarioTable {
    fn row(&self, policy: PolicyKind) -> Option<&MeasureRow> {
        self.rows.iter().find(|row| row.policy == policy.name())
    }

    /// What the goals say of the product's row.
    fn verdict(&self, weighs_latency: bool, target: f64) -> Option<String> {
        let own = self.row(PolicyKind::Gullglade)?;
        let bound = self.row(PolicyKind::Omniscient)?;
        let least = self.row(PolicyKind::OmniscientNear)?;
        let latency = own.p99 / bound.p99;
        let share = own.share_away / least.share_away.max(LEAST_SHARE);
        let beaten = self.beaten(own, weighs_latency, target);
        Some(format!(
            "p99 {latency:.2} x omniscient: {}; away {share:.2} x the least: {}; {beaten}",
            goal(latency <= LATENCY_GOAL),
            goal(share <= SHARE_GOAL),
        ))
    }

    /// Who is better on the deployment's first measure. Where that is the share sent away, a baseline
    /// counts only if its callers wait no longer than the target or than the product's do: keeping
    /// everything at home is always the least share, and of no use to a crew that waits.
    fn beaten(&self, own: &MeasureRow, weighs_latency: bool, target: f64) -> String {
        let bound = own.p95.max(target);
        let better = |row: &MeasureRow| match weighs_latency {
            true => row.p99 < own.p99,
            false => row.share_away < own.share_away && row.p95 <= bound,
        };
        let baselines = PolicyKind::ALL.iter().filter(|policy| policy.is_baseline());
        let rows = baselines.filter_map(|policy| self.row(*policy));
        let names: Vec<&str> = rows.filter(|row| better(row)).map(|row| row.policy).collect();
        match names.is_empty() {
            true => "better than every baseline".to_owned(),
            false => format!("WORSE than {}", names.join(", ")),
        }
    }
}

fn goal(met: bool) -> &'static str {
    if met { "met" } else { "MISSED" }
}

impl fmt::Display for ReplayTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = if self.weighs_latency { "tail latency" } else { "share sent away" };
        writeln!(
            f,
            "{} at load {:.2}, seed {}; first measure: {first}",
            self.deployment, self.load, self.seed
        )?;
        for table in &self.scenarios {
            writeln!(
                f,
                "\n{:<18}{:>9}{:>9}{:>9}{:>9}{:>8}{:>9}{:>9}{:>8}{:>8}",
                table.scenario,
                "p50 s",
                "p95 s",
                "p99 s",
                "p99.9 s",
                "away %",
                "refused%",
                "engine-s",
                "busy-s",
                "retries"
            )?;
            for row in &table.rows {
                writeln!(
                    f,
                    "{:<18}{:>9.3}{:>9.3}{:>9.3}{:>9.3}{:>8.2}{:>9.3}{:>9.3}{:>8.3}{:>8}",
                    row.policy,
                    row.p50,
                    row.p95,
                    row.p99,
                    row.p999,
                    100.0 * row.share_away,
                    100.0 * row.share_refused,
                    row.engine_seconds,
                    row.busy_seconds,
                    row.retries
                )?;
            }
            if let Some(verdict) = table.verdict(self.weighs_latency, self.target) {
                writeln!(f, "  {verdict}")?;
            }
        }
        Ok(())
    }
}
