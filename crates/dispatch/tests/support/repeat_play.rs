//! A fleet of gateways that repeat failed requests, while gateways, control processes and links
//! between regions come and go; and the count of repeats that no window may exceed.

use {
    super::{at, chances, count_within, gateway, item, pool, region, route, service, settings},
    gullglade_dispatch::{Scheduler, SchedulerSettings},
    gullglade_traffic::TrafficRoute,
    gullglade_units::{RandomSource, SeededRandom, VmName},
    std::{collections::BTreeSet, ops::Range, rc::Rc},
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
/// The most sends of one request.
const MOST_SENDS: u32 = 4;

/// Gateways that end at once, and start again.
#[derive(Clone, Debug)]
pub(crate) struct Kill {
    pub(crate) at_ms: u64,
    pub(crate) share: f64,
    pub(crate) down_ms: u64,
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
    /// When callers sent requests that reached a gateway, and when repeats were sent.
    requests: Vec<u64>,
    repeats: Vec<u64>,
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
            repeats: Vec::new(),
        }
    }

    /// Plays to the end: the window with the most repeats for what was allowed, if there were any.
    pub(crate) fn play(mut self) -> Option<WorstWindow> {
        while self.now_ms < LEAD_MS + self.scenario.length_ms {
            self.change_fleet();
            self.tell_fleet();
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

    fn send_requests(&mut self) {
        let Some(day) = self.day_ms() else { return };
        let trouble = &self.scenario.trouble;
        let in_time = |list: &[(Range<u64>, f64)]| {
            list.iter().find(|(time, _)| time.contains(&day)).map(|(_, value)| *value)
        };
        let factor = in_time(&trouble.bursts).unwrap_or(1.0);
        let failing = in_time(&trouble.failures).unwrap_or(0.02);
        for chance in chances(self.scenario.per_second * factor * STEP_MS as f64 / 1_000.0) {
            if self.random.unit() < chance {
                self.send_request(failing);
            }
        }
    }

    fn send_request(&mut self, failing: f64) {
        let Some(index) = self.draw_gateway() else { return };
        let now = at(self.now_ms);
        let Some(run) = self.gateways[index].run.as_mut() else { return };
        self.requests.push(self.now_ms);
        let ticket = run.submit(item(&self.route, None, now), now);
        // No backend server is known, and what becomes of the request is this play's own matter.
        let _verdicts = run.poll(now);
        run.withdraw(ticket);
        for _ in 1..MOST_SENDS {
            if self.random.unit() >= failing || !run.take_repeat(&service("pool"), now).is_granted {
                return;
            }
            self.repeats.push(self.now_ms);
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

    /// Every window that begins with a repeat. Its requests are those of the window, of the one
    /// before it, or of the one half a window before it, whichever are most.
    fn worst_window(&self) -> Option<WorstWindow> {
        let count = |times: &[u64], from| count_within(times, from, WINDOW_MS);
        let windows = self.repeats.iter().map(|&from_ms| {
            let begins = [from_ms, from_ms - WINDOW_MS / 2, from_ms.saturating_sub(WINDOW_MS)];
            let requests = begins.into_iter().map(|begin| count(&self.requests, begin)).max();
            WorstWindow {
                from_ms,
                repeats: count(&self.repeats, from_ms),
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
