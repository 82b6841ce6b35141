//! Simulation of the gateways of one region and engines of which some state a limit for a while.

use {
    super::{
        arrival_chances, at, backend_index, item, max_within, prompt, route, scheduler,
        stating_limit,
    },
    gullglade_dispatch::{Decision, Scheduler, StatedLimit, TicketId, WorkOutcome},
    gullglade_traffic::TrafficRoute,
    gullglade_units::{RandomSource, SeededRandom},
    std::{ops::Range, rc::Rc},
};

const STEP_MS: u64 = 10;
/// In a large region a gateway sends its hints to this many others.
const HINT_FANOUT: usize = 8;
/// The time from the first statement until the limit has to hold.
const GRACE_MS: u64 = 5_000;
/// A gateway is counted from this long after it first received a statement.
const REACTION_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
const ENGINES: usize = 4;

#[derive(Clone, Debug)]
pub(crate) struct LimitScenario {
    pub(crate) gateways: usize,
    /// Requests per second at each gateway.
    pub(crate) per_second: f64,
    /// The number of engines that state a limit, from the first one on.
    pub(crate) limited: usize,
    pub(crate) limit: f64,
    /// The period in which they state it.
    pub(crate) stated: Range<u64>,
    pub(crate) length_ms: u64,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct LimitOutcome {
    /// The most sends to one engine in a window, from gateways that had received a statement.
    pub(crate) most: usize,
    /// Sends to each engine while it stated a limit, after the grace period.
    pub(crate) sends_while_limited: [usize; ENGINES],
    /// For each engine, the time after the limit was lifted until every gateway had sent it a
    /// request.
    pub(crate) recovery_ms: [Option<u64>; ENGINES],
}

struct Send {
    at_ms: u64,
    gateway: usize,
    engine: usize,
}

struct Answer {
    due_ms: u64,
    gateway: usize,
    engine: usize,
    ticket: TicketId,
}

pub(crate) struct LimitSimulation<'a> {
    scenario: &'a LimitScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    gateways: Vec<Scheduler>,
    answers: Vec<Answer>,
    sends: Vec<Send>,
    /// When each gateway first received a statement of each engine.
    seen_ms: Vec<[Option<u64>; ENGINES]>,
    now_ms: u64,
}

impl<'a> LimitSimulation<'a> {
    pub(crate) fn new(scenario: &'a LimitScenario, seed: u64) -> Self {
        let count = scenario.gateways;
        Self {
            scenario,
            random: SeededRandom::new(seed),
            route: route(0, 1_200, 2_500),
            gateways: (0..count).map(|index| scheduler(index, count, ENGINES, 0.0)).collect(),
            answers: Vec::new(),
            sends: Vec::new(),
            seen_ms: vec![[None; ENGINES]; count],
            now_ms: 0,
        }
    }

    pub(crate) fn simulate(mut self) -> LimitOutcome {
        while self.now_ms < self.scenario.length_ms {
            self.submit_requests();
            self.deliver_answers();
            self.send_hints();
            self.now_ms += STEP_MS;
        }
        self.outcome()
    }

    fn is_stating(&self, engine: usize) -> bool {
        engine < self.scenario.limited && self.scenario.stated.contains(&self.now_ms)
    }

    fn submit_requests(&mut self) {
        let now = at(self.now_ms);
        let expected = self.scenario.per_second * STEP_MS as f64 / 1_000.0;
        for index in 0..self.gateways.len() {
            for chance in arrival_chances(expected) {
                if self.random.unit() < chance {
                    let number = self.random.below(1 << 40);
                    let shape = prompt(number % 40, 200, 300, number);
                    self.gateways[index].submit(item(&self.route, Some(shape), now), now);
                }
            }
            for (ticket, decision) in self.gateways[index].poll(now) {
                self.apply(index, ticket, &decision);
            }
        }
    }

    fn apply(&mut self, gateway: usize, ticket: TicketId, decision: &Decision) {
        let Decision::Send { run, .. } = decision else { return };
        let engine = backend_index(&run.backend);
        self.sends.push(Send { at_ms: self.now_ms, gateway, engine });
        let due_ms = self.now_ms + 40 + self.random.below(200);
        self.answers.push(Answer { due_ms, gateway, engine, ticket });
    }

    fn deliver_answers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|a| a.due_ms <= now_ms);
        self.answers = later;
        for Answer { gateway, engine, ticket, .. } in due {
            let is_stating = self.is_stating(engine);
            let limit = is_stating.then(|| StatedLimit::try_from(self.scenario.limit));
            let limit = limit.map(|limit| limit.expect("a rate"));
            let run = &mut self.gateways[gateway];
            run.note_statements(ticket, &stating_limit(limit), at(now_ms));
            run.note_progress(ticket, at(now_ms));
            run.end(ticket, WorkOutcome::Answered, at(now_ms));
            if is_stating {
                self.seen_ms[gateway][engine].get_or_insert(now_ms);
            }
        }
    }

    /// Sends hints. In a large region each gateway sends them only to some others.
    fn send_hints(&mut self) {
        let count = self.gateways.len();
        for from in 0..count {
            let hints = self.gateways[from].take_hints(at(self.now_ms));
            if hints.is_empty() {
                continue;
            }
            for step in 1..=HINT_FANOUT.min(count - 1) {
                let to = (from + step * step) % count;
                if to != from {
                    self.gateways[to].note_hints(hints.clone(), at(self.now_ms));
                }
            }
        }
    }

    fn outcome(&self) -> LimitOutcome {
        let mut outcome = LimitOutcome::default();
        let Range { start, end } = self.scenario.stated;
        for engine in 0..self.scenario.limited {
            let counted: Vec<u64> = self
                .sends
                .iter()
                .filter(|s| s.engine == engine && (start + GRACE_MS..end).contains(&s.at_ms))
                .filter(|s| {
                    self.seen_ms[s.gateway][engine].is_some_and(|t| t + REACTION_MS <= s.at_ms)
                })
                .map(|s| s.at_ms)
                .collect();
            outcome.most = outcome.most.max(max_within(&counted, WINDOW_MS));
            outcome.sends_while_limited[engine] = counted.len();
            let firsts = (0..self.gateways.len()).map(|gateway| {
                let mut after = self.sends.iter().filter(|s| s.at_ms >= end);
                after.find(|s| s.gateway == gateway && s.engine == engine).map(|s| s.at_ms - end)
            });
            outcome.recovery_ms[engine] =
                firsts.collect::<Option<Vec<_>>>().and_then(|f| f.into_iter().max());
        }
        outcome
    }
}
