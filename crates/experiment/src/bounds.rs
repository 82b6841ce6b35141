//! What perfect knowledge can reach.

use crate::{ArrivalSet, MeasureRow, PolicyKind, ReplaySettings, ScenarioPlan, replay::replay};

/// Local times to first token up to which the omniscient queue keeps a request at home, as multiples of
/// the target. Zero takes the earliest first token of all regions, infinity never sends away what can be
/// run at home.
const NEAR_BOUNDS: [f64; 13] =
    [0.0, 0.2, 0.3, 0.4, 0.5, 0.6, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, f64::INFINITY];

/// p99 against the omniscient queue's, at most.
pub(crate) const LATENCY_GOAL: f64 = 1.3;

/// The outcomes of the omniscient queue for every bound.
pub(crate) struct BoundRows {
    rows: Vec<MeasureRow>,
}

impl BoundRows {
    pub(crate) fn new(
        settings: &ReplaySettings,
        scenario: &ScenarioPlan,
        arrivals: &ArrivalSet,
    ) -> Self {
        let target = settings.plan.target.as_secs_f64();
        let policy = PolicyKind::OmniscientNear;
        let row = |bound: &f64| replay(settings, scenario, arrivals, policy, bound * target);
        Self { rows: NEAR_BOUNDS.iter().map(row).collect() }
    }

    /// The least p99. Serving each request where its own first token is earliest is not the best for
    /// all of them: what it reads again in a cold cache delays those behind it.
    pub(crate) fn fastest(&self) -> MeasureRow {
        let fastest = self.rows.iter().min_by(|a, b| a.p99.total_cmp(&b.p99));
        let row = fastest.expect("there are bounds to try").clone();
        MeasureRow { policy: PolicyKind::Omniscient.name(), ..row }
    }

    /// The least share away that meets the deployment's target: where tail latency weighs most, a p99 of
    /// at most [`LATENCY_GOAL`] times the least; elsewhere the document's own target for 95 in 100. Where
    /// no bound meets it, the row that misses it least.
    pub(crate) fn nearest(&self, settings: &ReplaySettings) -> MeasureRow {
        let target = settings.plan.target.as_secs_f64();
        let latency_goal = LATENCY_GOAL * self.fastest().p99;
        let excess = |row: &MeasureRow| match settings.plan.weighs_latency() {
            true => row.p99 / latency_goal,
            false => row.p95 / target,
        };
        let meeting = self.rows.iter().filter(|row| excess(row) <= 1.0);
        let least = meeting.min_by(|a, b| a.share_away.total_cmp(&b.share_away));
        let closest = self.rows.iter().min_by(|a, b| excess(a).total_cmp(&excess(b)));
        least.or(closest).expect("there are bounds to try").clone()
    }
}
