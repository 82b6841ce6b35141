//! One workspace that sends a hundred times its share, and what the others notice.

use {
    crate::{ArrivalSet, MeasureRow, PolicyKind, ReplaySettings, ScenarioKind, replay_cell},
    serde::Serialize,
    std::fmt,
};

/// The region that the workspace sends to: the second largest.
const HOG_REGION: usize = 1;

/// How many times its share it sends.
const HOG_TIMES: f64 = 100.0;

/// What the other workspaces get with and without it.
#[derive(Clone, Debug, Serialize)]
pub struct FairnessRow {
    /// Without it.
    pub without: MeasureRow,
    /// With it.
    pub with: MeasureRow,
}

/// Replays steady traffic under the product's policy, alone and beside one workspace that sends a hundred
/// times its share of one region.
pub fn replay_fairness(settings: &ReplaySettings) -> FairnessRow {
    let scenario = ScenarioKind::Steady.plan(&settings.plan, settings.load);
    let without = ArrivalSet::new(&settings.plan, &scenario, settings.seed);
    let with = without.with_hog(&settings.plan, HOG_REGION, HOG_TIMES, settings.seed);
    let row = |arrivals| replay_cell(settings, &scenario, arrivals, PolicyKind::Gullglade);
    FairnessRow { without: row(&without), with: row(&with) }
}

impl FairnessRow {
    /// The others' p99 beside the workspace, as a multiple of theirs without it.
    pub fn ratio(&self) -> f64 {
        self.with.p99 / self.without.p99
    }
}

impl fmt::Display for FairnessRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "the others, beside one workspace that sends {HOG_TIMES} times its share:")?;
        for (name, row) in [("without", &self.without), ("with", &self.with)] {
            writeln!(
                f,
                "{name:<10} p50 {:.3} s  p95 {:.3} s  p99 {:.3} s  away {:.2}%  refused {:.3}%",
                row.p50,
                row.p95,
                row.p99,
                100.0 * row.share_away,
                100.0 * row.share_refused
            )?;
        }
        writeln!(f, "p99 {:.3} times that without", self.ratio())
    }
}
