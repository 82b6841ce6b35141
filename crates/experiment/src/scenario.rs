//! What happens during a replay.

use {
    crate::{
        DeploymentPlan,
        deployment::{ChoiceError, choose},
    },
    std::str::FromStr,
};

/// Which scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScenarioKind {
    /// Every region at the same load.
    Steady,
    /// Daily peaks that move from region to region.
    Daily,
    /// One region above its capacity, the others below.
    Peak,
    /// A region is lost and stays lost.
    RegionLost,
    /// A region is cut off from the others and comes back.
    Partition,
    /// A region that was lost comes back with cold caches.
    ColdReturn,
    /// Load reports are 5 s late.
    LateReports,
    /// Most cache events are lost and the rest is late.
    CacheEventsLost,
}

impl ScenarioKind {
    /// All of them.
    pub const ALL: [ScenarioKind; 8] = [
        Self::Steady,
        Self::Daily,
        Self::Peak,
        Self::RegionLost,
        Self::Partition,
        Self::ColdReturn,
        Self::LateReports,
        Self::CacheEventsLost,
    ];

    /// The name on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Daily => "daily",
            Self::Peak => "peak",
            Self::RegionLost => "region-lost",
            Self::Partition => "partition",
            Self::ColdReturn => "cold-return",
            Self::LateReports => "late-reports",
            Self::CacheEventsLost => "cache-events-lost",
        }
    }

    /// The plan of this scenario over `plan` at `load` of the capacity.
    pub fn plan(self, plan: &DeploymentPlan, load: f64) -> ScenarioPlan {
        let mut scenario = ScenarioPlan::steady(plan, load);
        let third = plan.seconds / 3.0;
        match self {
            Self::Steady => {}
            Self::Daily => scenario.swing = DAILY_SWING,
            Self::Peak => scenario.raise(plan, PEAK_REGION, PEAK_LOAD),
            Self::RegionLost => {
                scenario.outage = Some(span(PEAK_REGION, WARM_UP + third, f64::INFINITY));
                scenario.shrink(plan, PEAK_REGION);
            }
            Self::Partition => {
                scenario.partition =
                    Some(span(PEAK_REGION, WARM_UP + third, WARM_UP + 2.0 * third));
            }
            Self::ColdReturn => {
                scenario.outage = Some(span(PEAK_REGION, 1.0, WARM_UP + third));
                scenario.shrink(plan, PEAK_REGION);
            }
            Self::LateReports => scenario.report_lag = 5.0,
            Self::CacheEventsLost => {
                scenario.event_loss = 0.8;
                scenario.event_lag = 20.0;
            }
        }
        scenario
    }
}

impl FromStr for ScenarioKind {
    type Err = ChoiceError;

    fn from_str(text: &str) -> Result<Self, ChoiceError> {
        choose("scenario", text, &Self::ALL, Self::name)
    }
}

/// Virtual seconds before the measurement, in which caches fill.
pub(crate) const WARM_UP: f64 = 60.0;

/// The region that something happens to: the second largest.
const PEAK_REGION: usize = 1;

/// Load of the region at its peak, as a part of its own capacity.
const PEAK_LOAD: f64 = 1.4;

/// How far the daily load swings around its mean.
const DAILY_SWING: f64 = 0.35;

/// A region and a time span, seconds of virtual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutageSpan {
    /// Index of the region.
    pub region: usize,
    /// Its begin.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl OutageSpan {
    /// Whether the region is affected at `time`.
    pub fn covers(&self, region: usize, time: f64) -> bool {
        self.region == region && (self.from..self.to).contains(&time)
    }
}

fn span(region: usize, from: f64, to: f64) -> OutageSpan {
    OutageSpan { region, from, to }
}

/// The course of one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioPlan {
    /// Mean load of each region as a part of its capacity.
    pub loads: Vec<f64>,
    /// Swing of the daily load, 0 for none; one day lasts as long as the measurement.
    pub swing: f64,
    /// A region without engines and gateways.
    pub outage: Option<OutageSpan>,
    /// A region cut off from all others.
    pub partition: Option<OutageSpan>,
    /// Seconds from an engine's load report to a gateway.
    pub report_lag: f64,
    /// Seconds from a cache event to a gateway.
    pub event_lag: f64,
    /// Part of the cache events that never arrives.
    pub event_loss: f64,
}

impl ScenarioPlan {
    fn steady(plan: &DeploymentPlan, load: f64) -> Self {
        Self {
            loads: vec![load; plan.regions.len()],
            swing: 0.0,
            outage: None,
            partition: None,
            report_lag: 0.3,
            event_lag: 2.0,
            event_loss: 0.1,
        }
    }

    /// Raises one region to `load` and lowers the others, so that the sum stays.
    fn raise(&mut self, plan: &DeploymentPlan, region: usize, load: f64) {
        let engines = |index: usize| plan.regions[index].engines as f64;
        let rest: f64 = (0..plan.regions.len()).filter(|i| *i != region).map(engines).sum();
        let extra = (load - self.loads[region]) * engines(region);
        for (index, value) in self.loads.iter_mut().enumerate() {
            *value = if index == region { load } else { *value - extra / rest };
        }
    }

    /// Scales all loads so that what is left without `region` carries them at the same load.
    fn shrink(&mut self, plan: &DeploymentPlan, region: usize) {
        let all = plan.engines() as f64;
        let left = all - plan.regions[region].engines as f64;
        self.loads.iter_mut().for_each(|load| *load *= left / all);
    }

    /// Whether a region has neither engines nor gateways at `time`.
    pub fn is_lost(&self, region: usize, time: f64) -> bool {
        self.outage.is_some_and(|span| span.covers(region, time))
    }

    /// Whether two regions reach each other at `time`.
    pub fn connected(&self, one: usize, two: usize, time: f64) -> bool {
        let cut = self.partition.is_some_and(|s| s.covers(one, time) || s.covers(two, time));
        one == two || !cut
    }

    /// Load of a region at `time`, as a part of its capacity. The regions' days are shifted against each
    /// other, and the sum over all regions stays.
    pub fn load(&self, plan: &DeploymentPlan, region: usize, time: f64) -> f64 {
        if self.swing == 0.0 {
            return self.loads[region];
        }
        let swung = |index: usize| {
            let phase = index as f64 / self.loads.len() as f64;
            let angle = std::f64::consts::TAU * ((time - WARM_UP) / plan.seconds + phase);
            self.loads[index] * (1.0 + self.swing * angle.sin())
        };
        let engines = |index: usize| plan.regions[index].engines as f64;
        let regions = 0..self.loads.len();
        let mean: f64 = regions.clone().map(|i| engines(i) * self.loads[i]).sum();
        let now: f64 = regions.map(|i| engines(i) * swung(i)).sum();
        swung(region) * mean / now
    }

    /// The highest load of a region, as a part of its capacity.
    pub fn highest_load(&self, plan: &DeploymentPlan, region: usize) -> f64 {
        const STEPS: u32 = 200;
        let time = |step: u32| WARM_UP + plan.seconds * f64::from(step) / f64::from(STEPS);
        (0..STEPS).map(|step| self.load(plan, region, time(step))).fold(0.0, f64::max)
    }
}
