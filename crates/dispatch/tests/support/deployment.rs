//! Simulation of a deployment of several regions in virtual time: callers, gateways that exchange
//! hints, engines, and forwarding between regions.

use {
    super::{
        at, backend, backend_info, engine::EngineModel, gateway, region, route, service,
        simulation::Simulation,
    },
    gullglade_dispatch::{BackendInfo, Scheduler, SchedulerSettings},
    gullglade_traffic::{
        EngineProfile, RequestKind, ServicePool, TrafficRoute, TrafficWorkspace, WarmupRules,
    },
    gullglade_units::Incarnation,
    std::{collections::BTreeSet, fmt, rc::Rc, time::Duration},
};

/// A region.
#[derive(Clone)]
pub(crate) struct RegionModel {
    pub(crate) name: &'static str,
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Requests per second, by second of the simulation. The last value applies to the rest.
    pub(crate) per_second: Vec<f64>,
}

/// A kind of request.
#[derive(Clone)]
pub(crate) struct KindModel {
    pub(crate) route: Rc<TrafficRoute>,
    /// Its share of all requests.
    pub(crate) share: f64,
    /// The shared parts: number of distinct parts, and their mean length in tokens.
    pub(crate) chain: Vec<(u64, f64)>,
    /// Mean, spread and maximum of the unshared tokens of the prompt.
    pub(crate) own: (f64, f64, f64),
    /// Mean, spread and maximum of the number of events of an answer.
    pub(crate) events: (f64, f64, f64),
    /// The hints of the length of answers, if callers send any.
    pub(crate) hints: Option<HintModel>,
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
}

/// A workspace.
#[derive(Clone)]
pub(crate) struct WorkspaceModel {
    pub(crate) workspace: Rc<TrafficWorkspace>,
    /// Its share of all requests.
    pub(crate) share: f64,
}

/// The requests of one workspace and kind, and those served in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkspaceOutcome {
    pub(crate) submitted: usize,
    pub(crate) in_time: usize,
}

/// Hints of the length of answers.
#[derive(Clone, Copy)]
pub(crate) struct HintModel {
    /// Their spread around the length, and the factor by which they are wrong in the median.
    pub(crate) spread: f64,
    pub(crate) bias: f64,
}

/// Machines of different speeds that are shared with other work.
#[derive(Clone)]
pub(crate) struct MachineModel {
    /// The speeds of the engines in turn.
    pub(crate) speeds: Vec<f64>,
    /// The slowdown by other work. It affects one in `every` engines for `for_ms`, in turn.
    pub(crate) slowdown: f64,
    pub(crate) every: usize,
    pub(crate) for_ms: u64,
    /// Whether the engines state their slowdown.
    pub(crate) is_stated: bool,
}

impl MachineModel {
    /// Returns the slowdown of the machine of an engine at a time.
    pub(super) fn slowdown_at(&self, engine: usize, ms: u64) -> f64 {
        let is_slow = (engine + (ms / self.for_ms) as usize).is_multiple_of(self.every);
        if is_slow { self.slowdown } else { 1.0 }
    }
}

/// The results for one kind of request.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindOutcome {
    pub(crate) submitted: usize,
    pub(crate) in_time: usize,
    pub(crate) late_first: usize,
    pub(crate) late_pause: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    pub(crate) forwarded: usize,
    pub(crate) owed: f64,
    pub(crate) earned: f64,
    /// The same for the largest tenth of the requests.
    pub(crate) large_owed: f64,
    pub(crate) large_earned: f64,
    pub(crate) prediction_errors_ms: Vec<f64>,
}

impl KindOutcome {
    /// Returns the quantile `part` of the delay of first bytes beyond the prediction, milliseconds.
    pub(crate) fn prediction_error_ms(&self, part: f64) -> f64 {
        let mut errors = self.prediction_errors_ms.clone();
        errors.sort_by(f64::total_cmp);
        errors[((errors.len() - 1) as f64 * part) as usize]
    }
}

impl fmt::Display for KindOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { submitted, in_time, late_first, late_pause, refused, failed, forwarded, .. } =
            self;
        write!(f, "{submitted} submitted, {in_time} in time, late by first byte {late_first}, ")?;
        write!(
            f,
            "by a pause {late_pause}, {refused} refused, {failed} failed, {forwarded} forwarded"
        )
    }
}

/// A crash of engines that restart later.
#[derive(Clone, Copy)]
pub(crate) struct CrashModel {
    pub(crate) at_ms: u64,
    pub(crate) for_ms: u64,
    /// One in this number of engines crashes.
    pub(crate) every: usize,
}

pub(crate) struct Deployment {
    pub(crate) regions: Vec<RegionModel>,
    pub(crate) kinds: Vec<KindModel>,
    /// Empty for callers without workspaces.
    pub(crate) workspaces: Vec<WorkspaceModel>,
    pub(crate) engine: EngineModel,
    /// `None` if all machines are alike.
    pub(crate) machines: Option<MachineModel>,
    pub(crate) seconds: u64,
    pub(crate) crash: Option<CrashModel>,
    pub(crate) weighs_cached_prefixes: bool,
    pub(crate) seed: u64,
    /// Whether all hints between gateways are lost.
    pub(crate) loses_hints: bool,
    pub(crate) overload_control: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<KindOutcome>,
    /// By workspace and kind.
    pub(crate) workspaces: Vec<Vec<WorkspaceOutcome>>,
    /// Requests that engines interrupted for more urgent ones.
    pub(crate) preempted: usize,
    /// Millions of prefill tokens in total, and of shared parts processed before by some engine.
    pub(crate) prefilled: f64,
    pub(crate) repeated_prefill: f64,
    /// Worth earned and worth owed, per two seconds of arrival.
    pub(crate) windows: Vec<(f64, f64)>,
    pub(crate) by_region: Vec<(f64, f64)>,
    /// The share of time that the engines of each region spend on prefill.
    pub(crate) prefill_share: Vec<f64>,
}

impl Outcome {
    pub(crate) fn worth(&self) -> f64 {
        let (earned, owed) =
            self.kinds.iter().fold((0.0, 0.0), |(e, o), k| (e + k.earned, o + k.owed));
        earned / owed
    }
}

impl Deployment {
    pub(super) fn scheduler(&self, index: usize, region_index: usize) -> Scheduler {
        let settings = SchedulerSettings {
            own: gateway(index),
            region: region(self.regions[region_index].name),
            regions: self.regions.len(),
            repeat_ratio: 0.2,
            repeat_slack: 230.0,
            repeat_window: Duration::from_secs(10),
            cold_rate_factor: 1.5,
            cold_rate_slack: 3.0,
            overload_control: self.overload_control,
            weighs_cached_prefixes: self.weighs_cached_prefixes,
        };
        let mut scheduler = Scheduler::new(settings);
        let pool = ServicePool {
            name: service("pool"),
            health_path: "/health".to_owned(),
            connection_limit: 100_000,
            warmup: WarmupRules { duration: Duration::from_secs(3), requests_per_second: 3.6 },
            engine: Some(EngineProfile {
                slots: self.engine.slots as u32,
                memory_tokens: self.engine.memory_tokens,
                tokens_per_event: self.engine.tokens_per_event,
                copied_tokens_per_ms: self.engine.copy_rate,
            }),
        };
        scheduler.set_configuration([Rc::new(pool)], &Rc::new(BTreeSet::new()), at(0));
        scheduler
    }

    pub(super) fn first_gateway(&self, region_index: usize) -> usize {
        self.regions[..region_index].iter().map(|r| r.gateways).sum()
    }

    pub(super) fn engine_info(&self, index: usize, run: u64, cold_until: u64) -> BackendInfo {
        BackendInfo {
            name: backend(index),
            incarnation: Incarnation(run),
            slots: self.engine.slots as u32,
            address: ([10, 0, 1, index as u8], 8_080).into(),
            cold_until: at(cold_until),
            ..backend_info(0)
        }
    }

    pub(crate) fn simulate(&self) -> Outcome {
        Simulation::new(self).simulate()
    }
}

/// Returns a route of streams.
pub(crate) fn stream_route(
    priority: u8,
    objective: u64,
    timeout: u64,
    gap: u64,
    homes: &[&str],
    resumable: bool,
) -> Rc<TrafficRoute> {
    let kind = RequestKind::Stream { resumable };
    Rc::new(TrafficRoute {
        kind,
        gap_objective: Some(Duration::from_millis(gap)),
        homes: homes.iter().map(|name| region(name)).collect(),
        ..(*route(priority, objective, timeout)).clone()
    })
}
