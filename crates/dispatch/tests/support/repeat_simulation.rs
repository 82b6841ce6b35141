//! Simulation of a fleet of gateways that repeat failed requests under faults of gateways, control
//! processes and links between regions, and the count of repeats that no window may exceed.

use {
    super::{
        arrival_chances, at, count_within, gateway, item, pool, region, route, service, settings,
    },
    gullglade_dispatch::{RepeatArrival, STALL_CHECK_INTERVAL, Scheduler, SchedulerSettings},
    gullglade_traffic::TrafficRoute,
    gullglade_units::{RandomSource, SeededRandom, VmName},
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Range,
        rc::Rc,
        time::Duration,
    },
};

pub(crate) const REGIONS: usize = 3;
pub(crate) const RATIO: f64 = 0.2;
pub(crate) const SLACK: f64 = 50.0;
pub(crate) const WINDOW_MS: u64 = 10_000;

/// Time for which gateways run before the first request.
const WARMUP_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
/// Time from the start of a gateway until it serves and is announced.
const START_MS: u64 = 300;
/// Time after which a gateway that is down is no longer announced.
const ABSENCE_TIMEOUT_MS: u64 = 2_500;
/// The interval of announcements.
const ANNOUNCE_MS: u64 = 1_000;
/// The probability that a send fails without any fault.
const USUAL_FAILURES: f64 = 0.02;
/// The maximum number of sends per request.
const MAX_SENDS: u32 = 4;
/// The timeout of a send without any response.
const SEND_TIMEOUT_MS: u64 = 700;

/// A kill of gateways, which restart later.
#[derive(Clone, Debug)]
pub(crate) struct Kill {
    pub(crate) at_ms: u64,
    pub(crate) share: f64,
    pub(crate) down_ms: u64,
}

/// A delay of sends.
#[derive(Clone, Debug)]
pub(crate) struct Delay {
    /// Sends in this period arrive at its end.
    pub(crate) time: Range<u64>,
    /// The share of affected sends.
    pub(crate) share: f64,
    /// Whether the gateway knows that the send is delayed. Otherwise it gives the send up.
    pub(crate) is_known: bool,
}

/// A stall of gateways.
#[derive(Clone, Debug)]
pub(crate) struct Stall {
    pub(crate) time: Range<u64>,
    pub(crate) share: f64,
}

/// The faults of a simulation. Times are milliseconds since the first request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Periods in which sends fail, with the probability.
    pub(crate) failures: Vec<(Range<u64>, f64)>,
    /// Periods with more or fewer requests, with the factor.
    pub(crate) bursts: Vec<(Range<u64>, f64)>,
    pub(crate) kills: Vec<Kill>,
    /// The period in which regions have no contact with each other.
    pub(crate) partition: Option<Range<u64>>,
    /// Times at which control processes restart without state.
    pub(crate) control_restarts: Vec<u64>,
    /// Times from which on callers are distributed over the regions by these weights.
    pub(crate) moves: Vec<(u64, [f64; REGIONS])>,
    pub(crate) delays: Vec<Delay>,
    pub(crate) stalls: Vec<Stall>,
}

#[derive(Clone, Debug)]
pub(crate) struct RepeatScenario {
    pub(crate) gateways: usize,
    pub(crate) per_second: f64,
    pub(crate) length_ms: u64,
    pub(crate) faults: Faults,
}

struct SimulatedGateway {
    region: usize,
    /// `None` while it is down.
    run: Option<Scheduler>,
    changed_ms: u64,
    known: Option<(usize, usize)>,
    /// Offset of its announcements in the interval.
    phase_ms: u64,
    /// The end of its current stall.
    stalled_until_ms: u64,
}

/// A request at a gateway.
#[derive(Clone, Copy)]
struct SimulatedRequest {
    number: usize,
    gateway: usize,
    /// When the run of the gateway began. The state of other runs is lost.
    run_began_ms: u64,
    sends: u32,
    /// Sends that were given up and may arrive later.
    given_up: u32,
}

/// An event that a gateway handles at its time, or after a stall.
#[derive(Clone, Copy)]
enum SimulatedStep {
    /// The gateway reads a request.
    Read,
    /// A delayed send arrives.
    Arrived,
    /// The gateway gives up a send.
    GivenUp,
}

/// The repeats in a window and the limit for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WorstWindow {
    pub(crate) from_ms: u64,
    pub(crate) repeats: usize,
    pub(crate) allowed: f64,
}

impl WorstWindow {
    pub(crate) fn part(&self) -> f64 {
        self.repeats as f64 / self.allowed
    }
}

pub(crate) struct RepeatSimulation<'a> {
    scenario: &'a RepeatScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    gateways: Vec<SimulatedGateway>,
    now_ms: u64,
    control_ms: u64,
    weights: [f64; REGIONS],
    /// Send times of requests that reached a gateway, and the arrival times of each request.
    requests: Vec<u64>,
    arrivals: Vec<Vec<u64>>,
    /// Ordered by time and then by insertion.
    steps: BTreeMap<(u64, usize), (SimulatedRequest, SimulatedStep)>,
    steps_added: usize,
}

impl<'a> RepeatSimulation<'a> {
    pub(crate) fn new(scenario: &'a RepeatScenario, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let gateways = (0..scenario.gateways)
            .map(|index| SimulatedGateway {
                region: index % REGIONS,
                run: Some(new_run(index, index % REGIONS)),
                changed_ms: 0,
                known: None,
                phase_ms: random.below(ANNOUNCE_MS),
                stalled_until_ms: 0,
            })
            .collect();
        Self {
            scenario,
            random,
            route: route(1, 800, 10_000),
            gateways,
            now_ms: 0,
            control_ms: 0,
            weights: [1.0; REGIONS],
            requests: Vec::new(),
            arrivals: Vec::new(),
            steps: BTreeMap::new(),
            steps_added: 0,
        }
    }

    /// Runs the simulation and returns the window with the highest ratio of repeats to the limit,
    /// if there were repeats.
    pub(crate) fn simulate(mut self) -> Option<WorstWindow> {
        while self.now_ms < WARMUP_MS + self.scenario.length_ms {
            self.apply_faults();
            self.update_fleet();
            self.check_stalls();
            self.take_steps();
            self.send_requests();
            self.now_ms += STEP_MS;
        }
        self.worst_window()
    }

    /// Returns the time since the first request, or `None` before it.
    fn elapsed_ms(&self) -> Option<u64> {
        self.now_ms.checked_sub(WARMUP_MS)
    }

    fn apply_faults(&mut self) {
        let Some(elapsed_ms) = self.elapsed_ms() else { return };
        let is_now = |at_ms: u64| (at_ms..at_ms + STEP_MS).contains(&elapsed_ms);
        let faults = &self.scenario.faults;
        for kill in faults.kills.iter().filter(|kill| is_now(kill.at_ms)) {
            for gateway in &mut self.gateways {
                if gateway.run.is_some() && self.random.unit() < kill.share {
                    gateway.run = None;
                    gateway.changed_ms = self.now_ms;
                }
            }
        }
        if faults.kills.iter().any(|kill| is_now(kill.at_ms + kill.down_ms)) {
            self.start_gateways();
        }
        for stall in faults.stalls.iter().filter(|stall| is_now(stall.time.start)) {
            for gateway in &mut self.gateways {
                if self.random.unit() < stall.share {
                    gateway.stalled_until_ms =
                        gateway.stalled_until_ms.max(WARMUP_MS + stall.time.end);
                }
            }
        }
        if faults.control_restarts.iter().any(|at_ms| is_now(*at_ms)) {
            self.control_ms = self.now_ms;
        }
        if let Some((_, weights)) = faults.moves.iter().find(|(at_ms, _)| is_now(*at_ms)) {
            self.weights = *weights;
        }
    }

    fn start_gateways(&mut self) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.run.is_none() {
                gateway.run = Some(new_run(index, gateway.region));
                gateway.changed_ms = self.now_ms;
                gateway.known = None;
                gateway.stalled_until_ms = 0;
            }
        }
    }

    /// Returns whether control processes see a gateway.
    fn is_announced(&self, gateway: &SimulatedGateway) -> bool {
        let lasted_ms = self.now_ms - gateway.changed_ms;
        let is_there = match gateway.run {
            Some(_) => gateway.changed_ms == 0 || lasted_ms >= START_MS,
            None => lasted_ms < ABSENCE_TIMEOUT_MS && gateway.changed_ms >= self.control_ms,
        };
        let has_announced =
            self.control_ms == 0 || self.now_ms - self.control_ms >= gateway.phase_ms;
        is_there && has_announced
    }

    fn update_fleet(&mut self) {
        if self.control_ms > 0 && self.now_ms - self.control_ms < START_MS {
            return;
        }
        let partition = self.scenario.faults.partition.as_ref();
        let is_partitioned = partition
            .zip(self.elapsed_ms())
            .is_some_and(|(partition, elapsed_ms)| partition.contains(&elapsed_ms));
        let mut announced: [Vec<VmName>; REGIONS] = Default::default();
        for (index, simulated) in self.gateways.iter().enumerate() {
            if self.is_announced(simulated) {
                announced[simulated.region].push(gateway(index));
            }
        }
        let all: usize = announced.iter().map(Vec::len).sum();
        let now_ms = self.now_ms;
        for gateway in &mut self.gateways {
            let own = &announced[gateway.region];
            let total = if is_partitioned { own.len() } else { all };
            let is_started = gateway.changed_ms == 0 || now_ms - gateway.changed_ms >= START_MS;
            let Some(run) = gateway.run.as_mut().filter(|_| is_started) else { continue };
            if gateway.known.replace((total, own.len())) != Some((total, own.len())) {
                run.set_gateways(own.clone(), at(now_ms));
                run.set_gateway_total(total, at(now_ms));
            }
        }
    }

    /// A stalled gateway performs its check only after the stall, when it has already read some
    /// requests.
    fn check_stalls(&mut self) {
        let now_ms = self.now_ms;
        let interval = u64::try_from(STALL_CHECK_INTERVAL.as_millis()).expect("few milliseconds");
        for gateway in &mut self.gateways {
            let steps = (now_ms + gateway.phase_ms) / STEP_MS;
            let is_due = steps.is_multiple_of(interval / STEP_MS);
            if let Some(run) =
                gateway.run.as_mut().filter(|_| is_due && now_ms > gateway.stalled_until_ms)
            {
                let _stall: Option<Duration> = run.check_stall(at(now_ms));
            }
        }
    }

    fn send_requests(&mut self) {
        let Some(elapsed_ms) = self.elapsed_ms() else { return };
        let faults = &self.scenario.faults;
        let burst = faults.bursts.iter().find(|(time, _)| time.contains(&elapsed_ms));
        let factor = burst.map_or(1.0, |(_, factor)| *factor);
        for chance in arrival_chances(self.scenario.per_second * factor * STEP_MS as f64 / 1_000.0)
        {
            if self.random.unit() < chance {
                self.send_request();
            }
        }
    }

    fn send_request(&mut self) {
        let Some(index) = self.draw_gateway() else { return };
        self.requests.push(self.now_ms);
        let SimulatedGateway { changed_ms, stalled_until_ms, .. } = self.gateways[index];
        let number = self.arrivals.len();
        self.arrivals.push(Vec::new());
        let request = SimulatedRequest {
            number,
            gateway: index,
            run_began_ms: changed_ms,
            sends: 0,
            given_up: 0,
        };
        self.add_step(stalled_until_ms, request, SimulatedStep::Read);
    }

    /// Makes the gateway of `request` handle a step now or later.
    fn add_step(&mut self, at_ms: u64, request: SimulatedRequest, step: SimulatedStep) {
        if at_ms <= self.now_ms {
            return self.take_step(request, step);
        }
        self.steps_added += 1;
        self.steps.insert((at_ms, self.steps_added), (request, step));
    }

    fn take_steps(&mut self) {
        while let Some(entry) = self.steps.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let (request, step) = entry.remove();
            self.add_step(self.gateways[request.gateway].stalled_until_ms, request, step);
        }
    }

    fn take_step(&mut self, request: SimulatedRequest, step: SimulatedStep) {
        let now = at(self.now_ms);
        let gateway = &mut self.gateways[request.gateway];
        let run = gateway.run.as_mut().filter(|_| gateway.changed_ms == request.run_began_ms);
        let Some(run) = run else { return };
        match step {
            SimulatedStep::Read => {
                let ticket = run.submit(item(&self.route, None, now), now);
                // No backend server is known; the simulation decides what becomes of the request.
                let _decisions = run.poll(now);
                run.withdraw(ticket);
                self.send(request);
            }
            SimulatedStep::Arrived => self.answer(request),
            SimulatedStep::GivenUp => {
                let request = SimulatedRequest { given_up: request.given_up + 1, ..request };
                self.settle_repeat(request);
                self.send_again(request);
            }
        }
    }

    /// Sends a request, which arrives at once or late.
    fn send(&mut self, request: SimulatedRequest) {
        let request = SimulatedRequest { sends: request.sends + 1, ..request };
        let Some(Delay { time, is_known, .. }) = self.delay() else {
            self.arrivals[request.number].push(self.now_ms);
            return self.answer(request);
        };
        let arrives_ms = WARMUP_MS + time.end;
        self.arrivals[request.number].push(arrives_ms);
        match is_known {
            true => self.add_step(arrives_ms, request, SimulatedStep::Arrived),
            false => self.add_step(self.now_ms + SEND_TIMEOUT_MS, request, SimulatedStep::GivenUp),
        }
    }

    /// Returns the delay of a send at the current time, if any.
    fn delay(&mut self) -> Option<Delay> {
        let elapsed_ms = self.elapsed_ms()?;
        let faults = &self.scenario.faults;
        let delay = faults.delays.iter().find(|delay| delay.time.contains(&elapsed_ms))?;
        (self.random.unit() < delay.share).then(|| delay.clone())
    }

    /// Settles the repeat of a request whose last send has ended.
    fn settle_repeat(&mut self, request: SimulatedRequest) {
        let arrival = match request.given_up {
            0 => RepeatArrival::Past,
            _ => RepeatArrival::Unknown,
        };
        let now = at(self.now_ms);
        let run = self.gateways[request.gateway].run.as_mut().filter(|_| request.sends > 1);
        if let Some(run) = run {
            run.settle_repeat(&service("pool"), arrival, now);
        }
    }

    /// Handles the answer of the backend server. The request is repeated if it failed.
    fn answer(&mut self, request: SimulatedRequest) {
        self.settle_repeat(request);
        let elapsed_ms = self.elapsed_ms().unwrap_or_default();
        let failures = &self.scenario.faults.failures;
        let failing = failures.iter().find(|(time, _)| time.contains(&elapsed_ms));
        let failing = failing.map_or(USUAL_FAILURES, |(_, chance)| *chance);
        if request.sends < MAX_SENDS && self.random.unit() < failing {
            self.send_again(request);
        }
    }

    fn send_again(&mut self, request: SimulatedRequest) {
        let now = at(self.now_ms);
        let Some(run) = self.gateways[request.gateway].run.as_mut() else { return };
        if request.sends < MAX_SENDS && run.take_repeat(&service("pool"), now).is_granted {
            self.send(request);
        }
    }

    /// Returns a random serving gateway of a region selected by weight.
    fn draw_gateway(&mut self) -> Option<usize> {
        let mut drawn = self.random.unit() * self.weights.iter().sum::<f64>();
        let region = (0..REGIONS).find(|region| {
            drawn -= self.weights[*region];
            drawn < 0.0
        })?;
        let serving: Vec<usize> = (0..self.gateways.len())
            .filter(|i| self.gateways[*i].region == region && self.gateways[*i].known.is_some())
            .filter(|i| self.gateways[*i].run.is_some())
            .collect();
        let drawn = self.random.below(serving.len().max(1) as u64) as usize;
        serving.get(drawn).copied()
    }

    /// Returns the arrivals after the first one of each request.
    fn repeats(&self) -> Vec<u64> {
        let mut repeats = Vec::new();
        for arrivals in &self.arrivals {
            let mut arrivals = arrivals.clone();
            arrivals.sort_unstable();
            repeats.extend(arrivals.into_iter().skip(1));
        }
        repeats.sort_unstable();
        repeats
    }

    /// Checks every window that begins with a repeat. Its requests are the most in that window, in
    /// the one before it, or in the one half a window before it.
    fn worst_window(&self) -> Option<WorstWindow> {
        let repeats = self.repeats();
        let count = |times: &[u64], from| count_within(times, from, WINDOW_MS);
        let windows = repeats.iter().map(|&from_ms| {
            let begins = [from_ms, from_ms - WINDOW_MS / 2, from_ms.saturating_sub(WINDOW_MS)];
            let requests = begins.into_iter().map(|begin| count(&self.requests, begin)).max();
            WorstWindow {
                from_ms,
                repeats: count(&repeats, from_ms),
                allowed: RATIO * requests.unwrap_or_default() as f64 + SLACK,
            }
        });
        windows.max_by(|a, b| a.part().total_cmp(&b.part()))
    }
}

fn new_run(index: usize, region_index: usize) -> Scheduler {
    let settings = SchedulerSettings {
        region: region(&format!("region-{region_index}")),
        regions: REGIONS,
        repeat_ratio: RATIO,
        repeat_slack: SLACK,
        ..settings(index)
    };
    let mut run = Scheduler::new(settings);
    run.set_configuration([pool(0.0)], &Rc::new(BTreeSet::new()), at(0));
    run
}
