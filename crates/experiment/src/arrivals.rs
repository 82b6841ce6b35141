//! Seeded arrivals: sessions of several turns whose prompts begin alike.

use {
    crate::{DeploymentPlan, ScenarioPlan, scenario::WARM_UP},
    gullglade_route::PromptPrefix,
    gullglade_units::{RandomSource, SeededRandom},
};

/// One request as it arrives.
#[derive(Clone, Debug)]
pub struct ArrivalRow {
    /// Seconds of virtual time.
    pub time: f64,
    /// The caller's region.
    pub region: usize,
    /// The session, which keeps its gateway.
    pub session: u64,
    /// The workspace.
    pub workspace: usize,
    /// The region it is bound to.
    pub home: Option<usize>,
    /// Prefixes that a cache may hold, shortest first.
    pub marks: Vec<PromptPrefix>,
    /// Tokens of the prompt; the last mark covers all of them.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

/// All arrivals of one replay, in order.
#[derive(Clone, Debug)]
pub struct ArrivalSet {
    /// The rows.
    pub rows: Vec<ArrivalRow>,
}

/// Mean seconds between two turns of a session, after the answer.
const TURN_PAUSE: f64 = 10.0;

/// Spread (sigma of the logarithm) of answer and turn lengths.
const LENGTH_SPREAD: f64 = 0.7;

/// Part of the home-bound workspaces whose home is not their callers' region.
const FOREIGN_HOME: f64 = 0.1;

/// What a peak between two steps of its search may exceed it by.
const PEAK_MARGIN: f64 = 1.01;

struct Sampler<'a> {
    random: &'a SeededRandom,
}

impl Sampler<'_> {
    fn exponential(&self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.unit()).ln()
    }

    /// Normal by Box and Muller, 1958.
    fn normal(&self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.random.unit()).cos()
    }

    /// Lognormal of this mean.
    fn length(&self, mean: f64) -> u32 {
        let shift = LENGTH_SPREAD * LENGTH_SPREAD / 2.0;
        let factor = (LENGTH_SPREAD * self.normal() - shift).exp();
        (mean * factor).clamp(4.0, 30.0 * mean) as u32
    }

    /// An index with a weight of one by its rank (Zipf with exponent 1), by the inverse of the
    /// continuous approximation.
    fn rank(&self, count: usize) -> usize {
        let index = ((count as f64 + 1.0).powf(self.random.unit()) - 1.0).floor() as usize;
        index.min(count - 1)
    }
}

#[derive(Clone, Copy)]
struct WorkspaceRow {
    template_tokens: u32,
    home: Option<usize>,
}

impl ArrivalSet {
    /// The arrivals of `seed`.
    pub fn new(plan: &DeploymentPlan, scenario: &ScenarioPlan, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let sampler = Sampler { random: &random };
        let mut rows = Vec::new();
        for region in 0..plan.regions.len() {
            let workspaces = workspaces(plan, region, &sampler);
            region_sessions(plan, scenario, region, &workspaces, &sampler, &mut rows);
        }
        rows.sort_by(|a, b| a.time.total_cmp(&b.time));
        Self { rows }
    }
}

impl ArrivalSet {
    /// The same arrivals, and those of one more workspace that sends `times` an equal share of the region's
    /// capacity there. Its prompts begin alike, as those of any workspace.
    pub fn with_hog(&self, plan: &DeploymentPlan, region: usize, times: f64, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let sampler = Sampler { random: &random };
        let capacity = plan.regions[region].engines as f64 * plan.engine_rate();
        let rate = times * capacity / plan.workspaces as f64 / plan.turns;
        let hog = WorkspaceRow { template_tokens: plan.template_tokens.1, home: None };
        let mut rows = self.rows.clone();
        let mut time = WARM_UP / 2.0;
        while time < WARM_UP + plan.seconds {
            time += sampler.exponential(1.0 / rate);
            let start = SessionStart { region, time, workspace: plan.workspaces };
            session(plan, start, hog, &sampler, &mut rows);
        }
        rows.sort_by(|a, b| a.time.total_cmp(&b.time));
        Self { rows }
    }
}

/// Where and when a session begins, and whose it is.
#[derive(Clone, Copy)]
struct SessionStart {
    region: usize,
    time: f64,
    workspace: usize,
}

/// The workspaces as seen from one region: each has its callers in all regions, but its templates and
/// its home go by region.
fn workspaces(plan: &DeploymentPlan, region: usize, sampler: &Sampler<'_>) -> Vec<WorkspaceRow> {
    let (low, high) = plan.template_tokens;
    (0..plan.workspaces)
        .map(|_| WorkspaceRow {
            template_tokens: low + (sampler.random.unit() * f64::from(high - low)) as u32,
            home: home(plan, region, sampler),
        })
        .collect()
}

fn home(plan: &DeploymentPlan, region: usize, sampler: &Sampler<'_>) -> Option<usize> {
    let foreign = sampler.random.unit() < FOREIGN_HOME;
    let bound = sampler.random.unit() < plan.home_bound;
    let other = sampler.random.below(plan.regions.len() as u64) as usize;
    bound.then_some(if foreign { other } else { region })
}

fn region_sessions(
    plan: &DeploymentPlan,
    scenario: &ScenarioPlan,
    region: usize,
    workspaces: &[WorkspaceRow],
    sampler: &Sampler<'_>,
    rows: &mut Vec<ArrivalRow>,
) {
    let full_rate = plan.regions[region].engines as f64 * plan.engine_rate() / plan.turns;
    let end = WARM_UP + plan.seconds;
    let peak = scenario.highest_load(plan, region) * PEAK_MARGIN;
    let mut time = 0.0;
    while time < end {
        time += sampler.exponential(1.0 / (full_rate * peak).max(1e-9));
        let load = scenario.load(plan, region, time);
        if sampler.random.unit() * peak <= load {
            let workspace = sampler.rank(workspaces.len());
            let start = SessionStart { region, time, workspace };
            session(plan, start, workspaces[workspace], sampler, rows);
        }
    }
}

fn session(
    plan: &DeploymentPlan,
    start: SessionStart,
    row: WorkspaceRow,
    sampler: &Sampler<'_>,
    rows: &mut Vec<ArrivalRow>,
) {
    let end = WARM_UP + plan.seconds;
    let SessionStart { region, mut time, workspace } = start;
    let session = sampler.random.next_u64();
    let template = mix(0, workspace as u64 + 1);
    let mut marks = vec![PromptPrefix { hash: template, tokens: row.template_tokens }];
    let mut turn = 0_u64;
    while time < end {
        let last = marks[marks.len() - 1];
        let prompt_tokens = last.tokens + sampler.length(plan.turn_tokens);
        let answer_tokens = sampler.length(plan.answer_tokens);
        let hash = mix(session, turn);
        marks.push(PromptPrefix { hash, tokens: prompt_tokens });
        rows.push(ArrivalRow {
            time,
            region,
            session,
            workspace,
            home: row.home,
            marks: marks.clone(),
            prompt_tokens,
            answer_tokens,
        });
        if sampler.random.unit() < 1.0 / plan.turns {
            return;
        }
        let answer_time = f64::from(answer_tokens) * plan.engine.token_time;
        time += answer_time + sampler.exponential(TURN_PAUSE);
        turn += 1;
    }
}

/// A hash of two numbers (the finalizer of SplitMix64, Steele et al., 2014).
fn mix(one: u64, two: u64) -> u64 {
    let mut value = one.wrapping_add(two.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
