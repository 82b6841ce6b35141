//! Simulation of the gateways of one region that stop, start and lose the control processes, each
//! with its own view of the others, and of one backend server that limits its rate.

use {
    crate::support::{
        at, backend_info, gateway, item, pool, prompt, region, route, settings, stating_limit,
    },
    gullglade_dispatch::{Decision, Scheduler, StatedLimit, WorkOutcome},
    gullglade_fleet::{
        FleetView, GatewayObservation, GatewayPhase, GatewayProfile, SyncReply, VmCapacity,
    },
    gullglade_node::SchedulerInputs,
    gullglade_poison::CrashUpdate,
    gullglade_traffic::{RawTraffic, TrafficError, TrafficFormat, TrafficRoute},
    gullglade_units::{BootTime, FailureDomain, RandomSource, SeededRandom},
    std::{collections::BTreeSet, net::SocketAddr, ops::Range, rc::Rc, time::Duration},
};

const STEP_MS: u64 = 10;
const REFRESH_MS: u64 = 100;
/// The maximum time from a change of a gateway until another one learns of it.
const MAX_NEWS_DELAY_MS: u64 = 1_200;
/// A gateway that does not call the control processes is silent after this time.
const SILENCE_MS: u64 = 1_800;
/// A stopping gateway sends requests for this long.
const STOPPING_MS: u64 = 7_680;
const STARTING_MS: u64 = 300;
/// A run counts from this long after it first received a stated limit.
const REACTION_MS: u64 = 500;

/// The limit of the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RateLimit {
    /// It is cold throughout and tolerates this many requests per second.
    Cold(f64),
    /// It states this limit per second with each answer.
    Stated(f64),
}

/// An event in the life of some gateways.
#[derive(Clone, Debug)]
pub(crate) enum PhaseEvent {
    /// They are stopped one after another and started again when they have ended.
    Stop { at_ms: u64, gap_ms: u64, gateways: Range<usize> },
    /// They lose power for a while.
    PowerLoss { at_ms: u64, down_ms: u64, gateways: Range<usize> },
    /// They lose the control processes, and those lose them.
    Cut { cut_ms: Range<u64>, gateways: Range<usize> },
}

#[derive(Clone, Debug)]
pub(crate) struct PhaseScenario {
    pub(crate) limit: RateLimit,
    pub(crate) gateways: usize,
    pub(crate) events: Vec<PhaseEvent>,
    pub(crate) length_ms: u64,
}

/// The phases of one gateway over time; `None` while its process is down.
struct Lifecycle {
    changes: Vec<(u64, Option<GatewayPhase>)>,
    cut_ms: Range<u64>,
}

impl Lifecycle {
    fn new(index: usize, events: &[PhaseEvent]) -> Self {
        let mut lifecycle =
            Self { changes: vec![(0, Some(GatewayPhase::Ready))], cut_ms: Range::default() };
        for event in events {
            match event {
                PhaseEvent::Stop { at_ms, gap_ms, gateways } if gateways.contains(&index) => {
                    let stop_ms = at_ms + gap_ms * (index - gateways.start) as u64;
                    lifecycle.changes.push((stop_ms, Some(GatewayPhase::Stopping)));
                    lifecycle.restart(stop_ms + STOPPING_MS, 500);
                }
                PhaseEvent::PowerLoss { at_ms, down_ms, gateways } if gateways.contains(&index) => {
                    lifecycle.restart(*at_ms, *down_ms);
                }
                PhaseEvent::Cut { cut_ms, gateways } if gateways.contains(&index) => {
                    lifecycle.cut_ms = cut_ms.clone();
                }
                _ => {}
            }
        }
        lifecycle.changes.sort_by_key(|(at_ms, _)| *at_ms);
        lifecycle
    }

    fn restart(&mut self, down_at_ms: u64, down_ms: u64) {
        let start_ms = down_at_ms + down_ms;
        self.changes.extend([
            (down_at_ms, None),
            (start_ms, Some(GatewayPhase::Starting)),
            (start_ms + STARTING_MS, Some(GatewayPhase::Ready)),
        ]);
    }

    fn past(&self, now_ms: u64) -> impl DoubleEndedIterator<Item = &(u64, Option<GatewayPhase>)> {
        self.changes.iter().filter(move |(at_ms, _)| *at_ms <= now_ms)
    }

    fn phase(&self, now_ms: u64) -> Option<GatewayPhase> {
        self.past(now_ms).next_back().and_then(|(_, phase)| *phase)
    }

    /// Returns the number of the current or last run.
    fn run(&self, now_ms: u64) -> u64 {
        let is_start = |phase: &Option<GatewayPhase>| *phase == Some(GatewayPhase::Starting);
        self.past(now_ms).filter(|(_, phase)| is_start(phase)).count() as u64
    }

    /// Returns the run, the phase and the silence that a control process reports.
    fn report(&self, now_ms: u64) -> (u64, GatewayPhase, bool) {
        let is_cut = self.cut_ms.contains(&now_ms);
        let heard_ms = if is_cut { self.cut_ms.start } else { now_ms };
        let last = self.past(heard_ms).rev().find_map(|(_, phase)| *phase);
        let down_ms = match self.past(heard_ms).next_back() {
            Some((down_ms, None)) => *down_ms,
            _ => heard_ms,
        };
        let phase = last.expect("it was ready at first");
        (self.run(heard_ms), phase, now_ms - down_ms >= SILENCE_MS)
    }
}

/// The current run of a gateway.
struct GatewayRun {
    run: u64,
    view: FleetView,
    scheduler: Scheduler,
    is_connected: bool,
    /// When it first received a stated limit.
    told_ms: Option<u64>,
}

pub(crate) struct PhaseSimulation<'a> {
    scenario: &'a PhaseScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    lifecycles: Vec<Lifecycle>,
    news_delays_ms: Vec<u64>,
    runs: Vec<GatewayRun>,
    now_ms: u64,
    arrivals: Vec<u64>,
}

impl<'a> PhaseSimulation<'a> {
    pub(crate) fn new(scenario: &'a PhaseScenario, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let indexes = 0..scenario.gateways;
        let news_delays_ms = indexes.clone().map(|_| random.below(MAX_NEWS_DELAY_MS)).collect();
        Self {
            scenario,
            random,
            route: route(0, 1_200, 2_500),
            lifecycles: indexes.clone().map(|i| Lifecycle::new(i, &scenario.events)).collect(),
            news_delays_ms,
            runs: indexes.map(|index| new_run(index, 0, scenario.limit)).collect(),
            now_ms: 0,
            arrivals: Vec::new(),
        }
    }

    /// Runs the simulation and returns the arrival times at the backend server of the requests
    /// that count.
    pub(crate) fn simulate(mut self) -> Vec<u64> {
        while self.now_ms < self.scenario.length_ms {
            for index in 0..self.scenario.gateways {
                self.step(index);
            }
            self.now_ms += STEP_MS;
        }
        self.arrivals
    }

    fn step(&mut self, index: usize) {
        let Some(phase) = self.lifecycles[index].phase(self.now_ms) else { return };
        let run = self.lifecycles[index].run(self.now_ms);
        if self.runs[index].run != run {
            self.runs[index] = new_run(index, run, self.scenario.limit);
        }
        if self.now_ms.is_multiple_of(REFRESH_MS) {
            self.refresh(index);
        }
        if phase != GatewayPhase::Starting {
            self.send(index);
        }
    }

    /// Merges what the control processes report, and updates the scheduler.
    fn refresh(&mut self, index: usize) {
        let now = at(self.now_ms);
        let is_cut = self.lifecycles[index].cut_ms.contains(&self.now_ms);
        let then_ms = self.now_ms.saturating_sub(self.news_delays_ms[index]);
        let reports = self.lifecycles.iter().enumerate();
        let observations = reports.map(|(of, l)| observation(of, l.report(then_ms))).collect();
        let GatewayRun { view, scheduler, is_connected, .. } = &mut self.runs[index];
        if !is_cut {
            view.merge(control(), true, reply(observations), BootTime(now.0), now).expect("merged");
        } else if *is_connected {
            view.remove_control(control(), now);
        }
        *is_connected = !is_cut;
        let inputs = SchedulerInputs::read(view, &region("puget"), now);
        scheduler.set_gateway_total(inputs.gateways.len(), now);
        scheduler.set_gateways(inputs.gateways, now);
    }

    /// Submits a request; every gateway always has one for the backend server.
    fn send(&mut self, index: usize) {
        let now = at(self.now_ms);
        let number = self.random.below(1 << 40);
        let shape = prompt(1, 100, 100, number);
        let GatewayRun { scheduler, told_ms, .. } = &mut self.runs[index];
        let ticket = scheduler.submit(item(&self.route, Some(shape), now), now);
        for (sent, decision) in scheduler.poll(now) {
            if !matches!(decision, Decision::Send { .. }) {
                continue;
            }
            let mut is_counted = true;
            if let RateLimit::Stated(limit) = self.scenario.limit {
                is_counted = told_ms.is_some_and(|told_ms| told_ms + REACTION_MS <= self.now_ms);
                told_ms.get_or_insert(self.now_ms);
                let limit = StatedLimit::try_from(limit).expect("a rate");
                scheduler.note_statements(sent, &stating_limit(Some(limit)), now);
                scheduler.note_progress(sent, now);
            }
            if is_counted {
                self.arrivals.push(self.now_ms);
            }
            scheduler.end(sent, WorkOutcome::Answered, now);
        }
        scheduler.withdraw(ticket);
    }
}

fn new_run(index: usize, run: u64, limit: RateLimit) -> GatewayRun {
    let mut scheduler = Scheduler::new(settings(index));
    let mut backend = backend_info(0);
    let cold_rate = match limit {
        RateLimit::Cold(per_second) => {
            backend.cold_until = at(3_600_000);
            per_second
        }
        RateLimit::Stated(_) => 0.0,
    };
    scheduler.set_configuration([pool(cold_rate)], &Rc::new(BTreeSet::new()), at(0));
    scheduler.set_backends([backend], at(0));
    let view = FleetView::new(Rc::new(NoFormat));
    GatewayRun { run, view, scheduler, is_connected: true, told_ms: None }
}

fn control() -> SocketAddr {
    SocketAddr::from(([10, 0, 2, 1], 8_082))
}

fn observation(index: usize, report: (u64, GatewayPhase, bool)) -> GatewayObservation {
    let (run, phase, is_silent) = report;
    let address = SocketAddr::from(([10, 0, 3, index as u8], 8_080));
    let profile = GatewayProfile {
        vm: gateway(index),
        run,
        region: region("puget"),
        domain: FailureDomain::try_from("puget-a").expect("a name"),
        caller_address: address,
        peer_address: address,
        capacity: VmCapacity::default(),
    };
    GatewayObservation { profile, phase, is_silent }
}

fn reply(gateways: Vec<GatewayObservation>) -> SyncReply {
    SyncReply {
        run: 1,
        cursor: 1,
        backends: Vec::new(),
        departed: Vec::new(),
        gateways,
        gateway_total: 0,
        crashes: CrashUpdate::default(),
        regions: Vec::new(),
        traffic: None,
        confirmed_ago: None,
        held: Duration::ZERO,
        controls: Vec::new(),
    }
}

/// Format of a configuration; the simulation has none.
struct NoFormat;

impl TrafficFormat for NoFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        Err(TrafficError::Malformed { reason: "no configuration".to_owned() })
    }
}
