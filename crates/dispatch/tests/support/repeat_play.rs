//! A fleet of gateways that repeat failed requests, while gateways, control processes and links
//! between regions come and go; and the count of repeats that no window may exceed.

use {
    super::{at, chances, count_within, gateway, item, pool, region, route, service, settings},
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

/// Gateways run this long before the first caller comes.
const LEAD_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
/// A gateway that was started serves, and is heard, after this.
const START_MS: u64 = 300;
/// A gateway that is down is no longer heard after this.
const SILENCE_MS: u64 = 2_500;
/// Gateways announce themselves this often.
const ANNOUNCE_MS: u64 = 1_000;
/// The chance that a send fails where nothing else is said.
const USUAL_FAILURES: f64 = 0.02;
/// The most sends of one request.
const MOST_SENDS: u32 = 4;
/// A gateway that hears nothing of a send gives it up after this.
const PATIENCE_MS: u64 = 700;

/// Gateways that end at once, and start again.
#[derive(Clone, Debug)]
pub(crate) struct Kill {
    pub(crate) at_ms: u64,
    pub(crate) share: f64,
    pub(crate) down_ms: u64,
}

/// Sends that arrive late.
#[derive(Clone, Debug)]
pub(crate) struct Delay {
    /// What is sent in this time arrives at its end.
    pub(crate) time: Range<u64>,
    /// The part of the sends that it concerns.
    pub(crate) share: f64,
    /// Whether the gateway knows that the send waits. It gives it up otherwise.
    pub(crate) is_known: bool,
}

/// Gateways that stand still.
#[derive(Clone, Debug)]
pub(crate) struct Freeze {
    pub(crate) time: Range<u64>,
    pub(crate) share: f64,
}

/// What happens, in milliseconds from the first caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trouble {
    /// Every send fails with the chance in this time.
    pub(crate) failures: Vec<(Range<u64>, f64)>,
    /// So many times as many requests in this time.
    pub(crate) bursts: Vec<(Range<u64>, f64)>,
    pub(crate) kills: Vec<Kill>,
    /// Regions do not hear of each other in this time.
    pub(crate) cut: Option<Range<u64>>,
    /// Control processes start again with empty books.
    pub(crate) control_restarts: Vec<u64>,
    /// From this time on callers are spread over the regions by these weights.
    pub(crate) moves: Vec<(u64, [f64; REGIONS])>,
    pub(crate) delays: Vec<Delay>,
    pub(crate) freezes: Vec<Freeze>,
}

#[derive(Clone, Debug)]
pub(crate) struct RepeatScenario {
    pub(crate) gateways: usize,
    pub(crate) per_second: f64,
    pub(crate) length_ms: u64,
    pub(crate) trouble: Trouble,
}

struct PlayedGateway {
    region: usize,
    /// None while it is down.
    run: Option<Scheduler>,
    changed_ms: u64,
    told: Option<(usize, usize)>,
    /// When in each interval it announces itself.
    phase_ms: u64,
    /// It stands still until then.
    wakes_ms: u64,
}

/// A request at a gateway.
#[derive(Clone, Copy)]
struct PlayedRequest {
    number: usize,
    gateway: usize,
    /// When the gateway's run began. What another run knew is lost.
    run_began_ms: u64,
    sends: u32,
    /// Sends that were given up, and may arrive later.
    given_up: u32,
}

/// What a gateway turns to at its time, or when it stands still no more.
#[derive(Clone, Copy)]
enum PlayedStep {
    /// It reads a request that has waited for it.
    Read,
    /// A send that has waited arrives.
    Arrived,
    /// It gives up a send.
    GivenUp,
}

/// Most repeats in a window against what was allowed in it.
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

pub(crate) struct RepeatPlay<'a> {
    scenario: &'a RepeatScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    gateways: Vec<PlayedGateway>,
    now_ms: u64,
    control_ms: u64,
    weights: [f64; REGIONS],
    /// When callers sent requests that reached a gateway, and when each of them arrived.
    requests: Vec<u64>,
    arrivals: Vec<Vec<u64>>,
    /// In the order in which they were added, which is that of steps at the same time.
    steps: BTreeMap<(u64, usize), (PlayedRequest, PlayedStep)>,
    steps_added: usize,
}

impl<'a> RepeatPlay<'a> {
    pub(crate) fn new(scenario: &'a RepeatScenario, seed: u64) -> Self {
        let random = SeededRandom::new(seed);
        let gateways = (0..scenario.gateways)
            .map(|index| PlayedGateway {
                region: index % REGIONS,
                run: Some(new_run(index, index % REGIONS)),
                changed_ms: 0,
                told: None,
                phase_ms: random.below(ANNOUNCE_MS),
                wakes_ms: 0,
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

    /// Plays to the end: the window with the most repeats for what was allowed, if there were any.
    pub(crate) fn play(mut self) -> Option<WorstWindow> {
        while self.now_ms < LEAD_MS + self.scenario.length_ms {
            self.change_fleet();
            self.tell_fleet();
            self.check_stalls();
            self.take_steps();
            self.send_requests();
            self.now_ms += STEP_MS;
        }
        self.worst_window()
    }

    /// The time since the first caller; `None` before.
    fn day_ms(&self) -> Option<u64> {
        self.now_ms.checked_sub(LEAD_MS)
    }

    fn change_fleet(&mut self) {
        let Some(day) = self.day_ms() else { return };
        let is_now = |at_ms: u64| (at_ms..at_ms + STEP_MS).contains(&day);
        let trouble = &self.scenario.trouble;
        for kill in trouble.kills.iter().filter(|kill| is_now(kill.at_ms)) {
            for gateway in &mut self.gateways {
                if gateway.run.is_some() && self.random.unit() < kill.share {
                    gateway.run = None;
                    gateway.changed_ms = self.now_ms;
                }
            }
        }
        if trouble.kills.iter().any(|kill| is_now(kill.at_ms + kill.down_ms)) {
            self.start_gateways();
        }
        for freeze in trouble.freezes.iter().filter(|freeze| is_now(freeze.time.start)) {
            for gateway in &mut self.gateways {
                if self.random.unit() < freeze.share {
                    gateway.wakes_ms = gateway.wakes_ms.max(LEAD_MS + freeze.time.end);
                }
            }
        }
        if trouble.control_restarts.iter().any(|at_ms| is_now(*at_ms)) {
            self.control_ms = self.now_ms;
        }
        if let Some((_, weights)) = trouble.moves.iter().find(|(at_ms, _)| is_now(*at_ms)) {
            self.weights = *weights;
        }
    }

    fn start_gateways(&mut self) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.run.is_none() {
                gateway.run = Some(new_run(index, gateway.region));
                gateway.changed_ms = self.now_ms;
                gateway.told = None;
                gateway.wakes_ms = 0;
            }
        }
    }

    /// Whether control processes hear of a gateway.
    fn is_heard(&self, gateway: &PlayedGateway) -> bool {
        let lasted_ms = self.now_ms - gateway.changed_ms;
        let is_there = match gateway.run {
            Some(_) => gateway.changed_ms == 0 || lasted_ms >= START_MS,
            None => lasted_ms < SILENCE_MS && gateway.changed_ms >= self.control_ms,
        };
        let has_announced =
            self.control_ms == 0 || self.now_ms - self.control_ms >= gateway.phase_ms;
        is_there && has_announced
    }

    fn tell_fleet(&mut self) {
        if self.control_ms > 0 && self.now_ms - self.control_ms < START_MS {
            return;
        }
        let cut = self.scenario.trouble.cut.as_ref();
        let is_cut = cut.zip(self.day_ms()).is_some_and(|(cut, day)| cut.contains(&day));
        let mut heard: [Vec<VmName>; REGIONS] = Default::default();
        for (index, played) in self.gateways.iter().enumerate() {
            if self.is_heard(played) {
                heard[played.region].push(gateway(index));
            }
        }
        let all: usize = heard.iter().map(Vec::len).sum();
        let now_ms = self.now_ms;
        for played in &mut self.gateways {
            let own = &heard[played.region];
            let total = if is_cut { own.len() } else { all };
            let is_started = played.changed_ms == 0 || now_ms - played.changed_ms >= START_MS;
            let Some(run) = played.run.as_mut().filter(|_| is_started) else { continue };
            if played.told.replace((total, own.len())) != Some((total, own.len())) {
                run.set_gateways(own.clone(), at(now_ms));
                run.set_gateway_total(total, at(now_ms));
            }
        }
    }

    /// Gateways that stand still check only when they run again, and then after some requests.
    fn check_stalls(&mut self) {
        let now_ms = self.now_ms;
        let interval = u64::try_from(STALL_CHECK_INTERVAL.as_millis()).expect("few milliseconds");
        for played in &mut self.gateways {
            let steps = (now_ms + played.phase_ms) / STEP_MS;
            let is_due = steps.is_multiple_of(interval / STEP_MS);
            if let Some(run) = played.run.as_mut().filter(|_| is_due && now_ms > played.wakes_ms) {
                let _stall: Option<Duration> = run.check_stall(at(now_ms));
            }
        }
    }

    fn send_requests(&mut self) {
        let Some(day) = self.day_ms() else { return };
        let trouble = &self.scenario.trouble;
        let burst = trouble.bursts.iter().find(|(time, _)| time.contains(&day));
        let factor = burst.map_or(1.0, |(_, factor)| *factor);
        for chance in chances(self.scenario.per_second * factor * STEP_MS as f64 / 1_000.0) {
            if self.random.unit() < chance {
                self.send_request();
            }
        }
    }

    fn send_request(&mut self) {
        let Some(index) = self.draw_gateway() else { return };
        self.requests.push(self.now_ms);
        let PlayedGateway { changed_ms, wakes_ms, .. } = self.gateways[index];
        let number = self.arrivals.len();
        self.arrivals.push(Vec::new());
        let request = PlayedRequest {
            number,
            gateway: index,
            run_began_ms: changed_ms,
            sends: 0,
            given_up: 0,
        };
        self.add_step(wakes_ms, request, PlayedStep::Read);
    }

    /// Has the gateway of `request` take a step, now or later.
    fn add_step(&mut self, at_ms: u64, request: PlayedRequest, step: PlayedStep) {
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
            self.add_step(self.gateways[request.gateway].wakes_ms, request, step);
        }
    }

    fn take_step(&mut self, request: PlayedRequest, step: PlayedStep) {
        let now = at(self.now_ms);
        let played = &mut self.gateways[request.gateway];
        let run = played.run.as_mut().filter(|_| played.changed_ms == request.run_began_ms);
        let Some(run) = run else { return };
        match step {
            PlayedStep::Read => {
                let ticket = run.submit(item(&self.route, None, now), now);
                // No backend server is known, and what becomes of the request is this play's own
                // matter.
                let _verdicts = run.poll(now);
                run.withdraw(ticket);
                self.send(request);
            }
            PlayedStep::Arrived => self.answer(request),
            PlayedStep::GivenUp => {
                let request = PlayedRequest { given_up: request.given_up + 1, ..request };
                self.settle_repeat(request);
                self.send_again(request);
            }
        }
    }

    /// Sends a request: to arrive at once, or late.
    fn send(&mut self, request: PlayedRequest) {
        let request = PlayedRequest { sends: request.sends + 1, ..request };
        let Some(Delay { time, is_known, .. }) = self.delay() else {
            self.arrivals[request.number].push(self.now_ms);
            return self.answer(request);
        };
        let arrives_ms = LEAD_MS + time.end;
        self.arrivals[request.number].push(arrives_ms);
        match is_known {
            true => self.add_step(arrives_ms, request, PlayedStep::Arrived),
            false => self.add_step(self.now_ms + PATIENCE_MS, request, PlayedStep::GivenUp),
        }
    }

    /// What holds up what is sent now.
    fn delay(&mut self) -> Option<Delay> {
        let day = self.day_ms()?;
        let trouble = &self.scenario.trouble;
        let delay = trouble.delays.iter().find(|delay| delay.time.contains(&day))?;
        (self.random.unit() < delay.share).then(|| delay.clone())
    }

    /// The last send of the request is over.
    fn settle_repeat(&mut self, request: PlayedRequest) {
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

    /// The backend server answers: the request is sent again where that is a failure.
    fn answer(&mut self, request: PlayedRequest) {
        self.settle_repeat(request);
        let day = self.day_ms().unwrap_or_default();
        let failures = &self.scenario.trouble.failures;
        let failing = failures.iter().find(|(time, _)| time.contains(&day));
        let failing = failing.map_or(USUAL_FAILURES, |(_, chance)| *chance);
        if request.sends < MOST_SENDS && self.random.unit() < failing {
            self.send_again(request);
        }
    }

    fn send_again(&mut self, request: PlayedRequest) {
        let now = at(self.now_ms);
        let Some(run) = self.gateways[request.gateway].run.as_mut() else { return };
        if request.sends < MOST_SENDS && run.take_repeat(&service("pool"), now).is_granted {
            self.send(request);
        }
    }

    /// A gateway that serves, of a region by its weight.
    fn draw_gateway(&mut self) -> Option<usize> {
        let mut drawn = self.random.unit() * self.weights.iter().sum::<f64>();
        let region = (0..REGIONS).find(|region| {
            drawn -= self.weights[*region];
            drawn < 0.0
        })?;
        let serving: Vec<usize> = (0..self.gateways.len())
            .filter(|i| self.gateways[*i].region == region && self.gateways[*i].told.is_some())
            .filter(|i| self.gateways[*i].run.is_some())
            .collect();
        let drawn = self.random.below(serving.len().max(1) as u64) as usize;
        serving.get(drawn).copied()
    }

    /// The arrivals beyond the first of each request.
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

    /// Every window that begins with a repeat. Its requests are those of the window, of the one
    /// before it, or of the one half a window before it, whichever are most.
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
