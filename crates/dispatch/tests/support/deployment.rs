//! Simulation of a deployment of several regions in virtual time: callers, gateways that exchange
//! hints, engines, and forwarding between regions.

use {
    super::{
        at, backend, backend_info, engine::EngineModel, gateway, region, route, service,
        simulation::Simulation,
    },
    gullglade_dispatch::{BackendInfo, Scheduler, SchedulerSettings},
    gullglade_traffic::{EngineProfile, RequestKind, ServicePool, TrafficRoute, WarmupRules},
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
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
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
    pub(crate) engine: EngineModel,
    pub(crate) seconds: u64,
    pub(crate) crash: Option<CrashModel>,
    pub(crate) weighs_cached_prefixes: bool,
    pub(crate) seed: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) kinds: Vec<KindOutcome>,
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
