//! Everything that one replay consists of.

use {
    crate::{
        ArrivalRow, DeploymentPlan, PolicyKind, ScenarioPlan, VirtualClock,
        engine::EngineModel,
        gateway::GatewayModel,
        measure::{EngineCosts, MeasureBook},
        scenario::WARM_UP,
        summary::{SummaryLog, SummarySample},
    },
    gullglade_route::LatencySettings,
    gullglade_units::{ModelName, MonotonicTime, ProcessContext, RegionName, WorkspaceName},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Seconds between two samples of an engine's load.
const TICK: f64 = 0.25;

/// Seconds until a gateway knows that a region is lost, cut off or back.
pub(crate) const DETECTION: f64 = 2.0;

/// Seconds from a region's summary to a gateway elsewhere, besides the link.
const SUMMARY_LAG: f64 = 0.5;

/// Takes the bits of a session that do not choose its gateway.
const SESSION_SPREAD: u64 = 1 << 16;

/// One region of the replay.
pub(crate) struct RegionModel {
    pub(crate) name: RegionName,
    pub(crate) engines: Vec<Rc<EngineModel>>,
    pub(crate) summaries: SummaryLog,
}

/// The replay.
pub(crate) struct World {
    pub(crate) plan: DeploymentPlan,
    pub(crate) scenario: ScenarioPlan,
    pub(crate) policy: PolicyKind,
    pub(crate) near_bound: f64,
    pub(crate) clock: VirtualClock,
    pub(crate) context: ProcessContext,
    pub(crate) regions: Vec<RegionModel>,
    pub(crate) gateways: RefCell<Vec<Vec<Rc<GatewayModel>>>>,
    pub(crate) models: [ModelName; 1],
    pub(crate) workspaces: Vec<WorkspaceName>,
    pub(crate) measure: RefCell<MeasureBook>,
}

/// A time of the replay for the decision code.
pub(crate) fn at(seconds: f64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs_f64(seconds.max(0.0)))
}

/// Non-negative seconds as a duration; a year where there is no end.
pub(crate) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 3e7))
}

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("names of the replay are valid")
}

impl World {
    pub(crate) fn new(
        plan: &DeploymentPlan,
        scenario: &ScenarioPlan,
        policy: PolicyKind,
        near_bound: f64,
        clock: VirtualClock,
        context: ProcessContext,
    ) -> Rc<Self> {
        let regions = (0..plan.regions.len()).map(|r| region_model(plan, scenario, r)).collect();
        Rc::new(Self {
            plan: plan.clone(),
            scenario: scenario.clone(),
            policy,
            near_bound,
            clock,
            context,
            regions,
            gateways: RefCell::default(),
            models: [name("model")],
            workspaces: (0..=plan.workspaces).map(|w| name(&format!("workspace-{w}"))).collect(),
            measure: RefCell::new(MeasureBook::new()),
        })
    }

    /// Puts the gateways before the engines.
    pub(crate) fn add_gateways(self: &Rc<Self>, settings: LatencySettings) {
        let all = self.plan.regions.iter().enumerate().map(|(region, plan)| {
            let row = (0..plan.gateways)
                .map(|index| GatewayModel::new(self.clone(), region, index, settings));
            row.collect()
        });
        *self.gateways.borrow_mut() = all.collect();
    }

    /// The region that a session enters while its own is lost: by the capacity of those left.
    pub(crate) fn entry_region(&self, session: u64) -> usize {
        let now = self.now();
        let left = (0..self.regions.len()).filter(|region| !self.scenario.is_lost(*region, now));
        let weights: Vec<(usize, u64)> =
            left.map(|region| (region, self.plan.regions[region].engines as u64)).collect();
        let total: u64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut place = (session / SESSION_SPREAD) % total;
        for (region, weight) in weights {
            match place.checked_sub(weight) {
                None => return region,
                Some(rest) => place = rest,
            }
        }
        unreachable!("the place is below the total")
    }

    pub(crate) fn now(&self) -> f64 {
        self.clock.seconds()
    }

    /// The gateway that a session uses in `region`.
    pub(crate) fn gateway(&self, region: usize, session: u64) -> Rc<GatewayModel> {
        let gateways = self.gateways.borrow();
        let row = &gateways[region];
        row[(session % row.len() as u64) as usize].clone()
    }

    /// Whether a request may go to `region` by its home.
    pub(crate) fn permits(&self, row: &ArrivalRow, region: usize) -> bool {
        row.home.is_none_or(|home| home == region)
    }

    /// Whether some allowed region can be reached from the region where the caller is now.
    pub(crate) fn servable(&self, row: &ArrivalRow, from: usize) -> bool {
        let now = self.now();
        (0..self.regions.len()).any(|region| {
            self.permits(row, region)
                && !self.scenario.is_lost(region, now)
                && self.scenario.connected(from, region, now)
        })
    }

    /// Whether a gateway of `from` believes that it can reach `to`.
    pub(crate) fn believes_reachable(&self, from: usize, to: usize) -> bool {
        let known = self.now() - DETECTION;
        self.scenario.connected(from, to, known) && !self.scenario.is_lost(to, known)
    }

    /// Seconds since `to` came back for a gateway of `from`.
    pub(crate) fn since_return(&self, from: usize, to: usize) -> f64 {
        let known = self.now() - DETECTION;
        let outage = self.scenario.outage.filter(|span| span.region == to);
        let cut = self.scenario.partition.filter(|s| s.region == to || s.region == from);
        let ends = [outage, cut].into_iter().flatten().map(|span| span.to);
        let last = ends.filter(|end| *end <= known).fold(f64::NEG_INFINITY, f64::max);
        known - last
    }

    /// What `to` last said to gateways of `from`.
    pub(crate) fn summary(&self, from: usize, to: usize) -> Option<SummarySample> {
        let link = self.plan.region_link.as_secs_f64();
        let known = self.now() - SUMMARY_LAG - link;
        self.regions[to].summaries.newest(known, |time| self.scenario.connected(from, to, time))
    }

    /// Whether a request counts: the caches are warm, and its workspace is one of the plan's.
    fn counts(&self, row: &ArrivalRow) -> bool {
        row.time >= WARM_UP && row.workspace < self.plan.workspaces
    }

    /// Counts an answer.
    pub(crate) fn answered(&self, row: &ArrivalRow, region: usize) {
        if self.counts(row) {
            let seconds = self.now() - row.time;
            self.measure.borrow_mut().answered(seconds, region != row.region);
        }
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, row: &ArrivalRow, from: usize) {
        if !self.counts(row) {
            return;
        }
        let mut measure = self.measure.borrow_mut();
        if self.servable(row, from) { measure.refused() } else { measure.unservable() }
    }

    /// Takes samples, summaries and cache events until the end of the replay.
    pub(crate) async fn tick(self: Rc<Self>) {
        let end = WARM_UP + self.plan.seconds;
        let mut next = 0.0;
        while next < end {
            self.clock.until(at(next)).await;
            for region in 0..self.regions.len() {
                self.tick_region(region);
            }
            next += TICK;
        }
    }

    fn tick_region(&self, region: usize) {
        let now = self.now();
        let model = &self.regions[region];
        if self.scenario.is_lost(region, now) {
            return;
        }
        for engine in &model.engines {
            engine.sample(now);
        }
        model.summaries.push(self.summarize(region, now));
        for gateway in &self.gateways.borrow()[region] {
            gateway.tick();
        }
        for (index, engine) in model.engines.iter().enumerate() {
            for event in engine.take_events(now - self.scenario.event_lag) {
                for gateway in &self.gateways.borrow()[region] {
                    gateway.cache_event(index, &event, self.scenario.event_loss);
                }
            }
        }
    }

    /// The region's summary: its engines as last reported, less what waits in its gateways.
    fn summarize(&self, region: usize, now: f64) -> SummarySample {
        let known = now - self.scenario.report_lag;
        let waiting: u64 = self.gateways.borrow()[region].iter().map(|g| g.waiting()).sum();
        let mut summary = SummarySample { time: now, known, ..SummarySample::default() };
        for engine in self.regions[region].engines.iter().filter(|e| e.alive(now)) {
            let sample = engine.sampled(known);
            summary.slots += engine.spec.slots;
            summary.free_slots += engine.spec.slots.saturating_sub(sample.active);
            summary.prefill_tokens += sample.prefill_tokens;
            summary.prefill_rate += engine.spec.prefill_rate;
        }
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        summary.free_slots = summary.free_slots.saturating_sub(waiting);
        summary
    }

    /// Engine time of the whole replay.
    pub(crate) fn costs(&self) -> EngineCosts {
        let engines = self.regions.iter().flat_map(|region| &region.engines);
        let busy: f64 = engines.clone().map(|engine| engine.busy()).sum();
        let seconds = WARM_UP + self.plan.seconds;
        let lost = self.scenario.outage.map_or(0.0, |span| {
            let time = span.to.min(seconds) - span.from.min(seconds);
            time * self.plan.regions[span.region].engines as f64
        });
        let share = self.plan.seconds / seconds;
        EngineCosts {
            present: (engines.count() as f64 * seconds - lost) * share,
            busy: busy * share,
        }
    }
}

fn region_model(plan: &DeploymentPlan, scenario: &ScenarioPlan, region: usize) -> RegionModel {
    let outage = scenario.outage.filter(|span| span.region == region);
    let engines = (0..plan.regions[region].engines).map(|index| {
        let engine = EngineModel::new(name(&format!("engine-{index}")), plan.engine, outage);
        Rc::new(engine)
    });
    RegionModel {
        name: name(&plan.regions[region].name),
        engines: engines.collect(),
        summaries: SummaryLog::default(),
    }
}
