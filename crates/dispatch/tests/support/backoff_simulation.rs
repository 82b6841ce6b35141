//! Simulation of the gateways of one region and engines that reject requests and request a
//! back-off.

use {
    super::{
        arrival_chances, at, backend_index, backend_info, count_within, item, max_within, prompt,
        route, scheduler,
    },
    gullglade_dispatch::{
        BackendHint, BackendStatements, Decision, Scheduler, StatedBackoff, TicketId, WorkItem,
        WorkOutcome,
    },
    gullglade_traffic::TrafficRoute,
    gullglade_units::{RandomSource, SeededRandom},
    std::{collections::HashMap, ops::Range, rc::Rc},
};

const STEP_MS: u64 = 5;
const SLOTS: usize = 32;
/// The maximum number of gateways that a gateway sends its hints to.
const HINT_FANOUT: usize = 40;
/// Sends in transit when the back-off was requested are not counted.
const IN_TRANSIT_MS: u64 = 500;
/// The maximum number of sends per request.
const MAX_SENDS: u32 = 4;
/// The time after the end of a phase over which arrivals are counted.
const RECOVERY_WINDOW_MS: u64 = 1_000;

/// A period in which an engine rejects all requests.
#[derive(Clone, Debug)]
pub(crate) struct RejectPhase {
    pub(crate) engine: usize,
    pub(crate) during: Range<u64>,
    /// The back-off that it requests with each rejection, if any.
    pub(crate) backoff_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct BackoffScenario {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Requests per second at each gateway.
    pub(crate) per_second: f64,
    /// The timeout of a request.
    pub(crate) timeout_ms: u64,
    /// Service time of a request.
    pub(crate) work_ms: u64,
    pub(crate) phases: Vec<RejectPhase>,
    pub(crate) length_ms: u64,
    /// The maximum one-way delay to an engine.
    pub(crate) link_ms: u64,
    /// The share of hints that are lost.
    pub(crate) lost: f64,
    /// Gateways that restart, with the time.
    pub(crate) restarts: Vec<(usize, u64)>,
    /// Engines whose announcements are lost for a period.
    pub(crate) unannounced: Vec<(usize, Range<u64>)>,
}

impl BackoffScenario {
    /// Three gateways and four engines, of which two request a back-off of three seconds for six
    /// seconds.
    pub(crate) fn small() -> Self {
        let phase = |engine| RejectPhase { engine, during: 4_000..10_000, backoff_ms: Some(3_000) };
        Self {
            gateways: 3,
            engines: 4,
            per_second: 12.0,
            timeout_ms: 2_500,
            work_ms: 150,
            phases: vec![phase(0), phase(1)],
            length_ms: 16_000,
            link_ms: 2,
            lost: 0.0,
            restarts: Vec::new(),
            unannounced: Vec::new(),
        }
    }
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct BackoffOutcome {
    /// The most requests from one gateway to one engine during a back-off that the engine had
    /// requested of it, except for those in transit.
    pub(crate) most_in_backoff: usize,
    pub(crate) submitted: usize,
    pub(crate) served: usize,
    pub(crate) rejections: usize,
    pub(crate) refused: usize,
    /// The longest time between the arrival and the refusal of a request.
    pub(crate) max_queue_time_ms: u64,
    /// Retry times of refusals while all engines reject requests.
    pub(crate) retries_ms: Vec<u64>,
    /// The most arrivals within 50 ms at one engine in the second after a phase.
    pub(crate) burst: usize,
    /// Arrivals at the engines of all phases in the second after each phase.
    pub(crate) returned: usize,
}

struct Message {
    due_ms: u64,
    gateway: usize,
    run: u32,
    engine: usize,
    ticket: TicketId,
    step: Step,
}

enum Step {
    Arrive,
    Answer(BackendStatements, WorkOutcome),
}

/// A back-off that an engine requested of a gateway.
struct RequestedBackoff {
    gateway: usize,
    engine: usize,
    during: Range<u64>,
}

struct Caller {
    submitted_ms: u64,
    sends: u32,
    work: WorkItem,
}

pub(crate) struct BackoffSimulation<'a> {
    scenario: &'a BackoffScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    gateways: Vec<Scheduler>,
    /// Number of restarts of each gateway.
    runs: Vec<u32>,
    callers: HashMap<(usize, TicketId), Caller>,
    messages: Vec<Message>,
    running: Vec<usize>,
    hints: Vec<(u64, usize, Vec<BackendHint>)>,
    arrivals: Vec<(u64, usize, usize)>,
    requested: Vec<RequestedBackoff>,
    outcome: BackoffOutcome,
    now_ms: u64,
}

impl<'a> BackoffSimulation<'a> {
    pub(crate) fn new(scenario: &'a BackoffScenario, seed: u64) -> Self {
        let BackoffScenario { gateways: count, engines, timeout_ms, .. } = *scenario;
        Self {
            scenario,
            random: SeededRandom::new(seed),
            route: route(0, 1_200, timeout_ms),
            gateways: (0..count).map(|index| scheduler(index, count, engines, 0.0)).collect(),
            runs: vec![0; count],
            callers: HashMap::new(),
            messages: Vec::new(),
            running: vec![0; engines],
            hints: Vec::new(),
            arrivals: Vec::new(),
            requested: Vec::new(),
            outcome: BackoffOutcome::default(),
            now_ms: 0,
        }
    }

    pub(crate) fn simulate(mut self) -> BackoffOutcome {
        while self.now_ms < self.scenario.length_ms {
            self.restart_gateways();
            self.announce();
            self.submit_requests();
            self.deliver_messages();
            for gateway in 0..self.gateways.len() {
                self.decide(gateway);
            }
            self.send_hints();
            self.now_ms += STEP_MS;
        }
        self.finish()
    }

    fn phase(&self, engine: usize) -> Option<&RejectPhase> {
        let mut phases = self.scenario.phases.iter();
        phases.find(|phase| phase.engine == engine && phase.during.contains(&self.now_ms))
    }

    fn are_all_rejecting(&self) -> bool {
        (0..self.scenario.engines).all(|engine| self.phase(engine).is_some())
    }

    /// A restarted gateway knows nothing, and back-offs requested before do not apply to it.
    fn restart_gateways(&mut self) {
        let BackoffScenario { gateways: count, engines, .. } = *self.scenario;
        for (index, _) in self.scenario.restarts.iter().filter(|(_, ms)| *ms == self.now_ms) {
            self.gateways[*index] = scheduler(*index, count, engines, 0.0);
            self.runs[*index] += 1;
            self.callers.retain(|(gateway, _), _| gateway != index);
            self.requested.retain(|backoff| backoff.gateway != *index);
        }
    }

    fn announce(&mut self) {
        let now_ms = self.now_ms;
        let unannounced = &self.scenario.unannounced;
        if !unannounced.iter().any(|(_, during)| [during.start, during.end].contains(&now_ms)) {
            return;
        }
        let is_known = |engine: &usize| {
            let mut lost = unannounced.iter();
            !lost.any(|(lost, during)| lost == engine && during.contains(&now_ms))
        };
        for gateway in &mut self.gateways {
            let engines = (0..self.scenario.engines).filter(is_known);
            gateway.set_backends(engines.map(backend_info), at(now_ms));
        }
    }

    fn submit_requests(&mut self) {
        let now = at(self.now_ms);
        for index in 0..self.gateways.len() {
            for chance in arrival_chances(self.scenario.per_second * STEP_MS as f64 / 1_000.0) {
                if self.random.unit() < chance {
                    let number = self.random.below(1 << 40);
                    let work = item(&self.route, Some(prompt(number % 40, 200, 300, number)), now);
                    self.outcome.submitted += 1;
                    self.submit(index, Caller { submitted_ms: self.now_ms, sends: 0, work });
                }
            }
        }
    }

    fn submit(&mut self, gateway: usize, caller: Caller) {
        let ticket = self.gateways[gateway].submit(caller.work.clone(), at(self.now_ms));
        self.callers.insert((gateway, ticket), caller);
    }

    fn decide(&mut self, gateway: usize) {
        for (ticket, decision) in self.gateways[gateway].poll(at(self.now_ms)) {
            let Some(caller) = self.callers.get_mut(&(gateway, ticket)) else { continue };
            match decision {
                Decision::Send { run, .. } => {
                    caller.sends += 1;
                    let engine = backend_index(&run.backend);
                    let due_ms = self.now_ms + self.link_delay_ms();
                    self.message(due_ms, gateway, engine, ticket, Step::Arrive);
                }
                Decision::Forward { .. } => unreachable!("no other region is known"),
                Decision::Refuse { retry_after, .. } => {
                    let held = self.now_ms - caller.submitted_ms;
                    self.callers.remove(&(gateway, ticket));
                    self.outcome.refused += 1;
                    self.outcome.max_queue_time_ms = self.outcome.max_queue_time_ms.max(held);
                    if self.are_all_rejecting() {
                        self.outcome.retries_ms.push(retry_after.as_millis() as u64);
                    }
                }
            }
        }
    }

    fn link_delay_ms(&self) -> u64 {
        1 + self.random.below(self.scenario.link_ms)
    }

    fn message(
        &mut self,
        due_ms: u64,
        gateway: usize,
        engine: usize,
        ticket: TicketId,
        step: Step,
    ) {
        let run = self.runs[gateway];
        self.messages.push(Message { due_ms, gateway, run, engine, ticket, step });
    }

    fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|t| t.due_ms <= now_ms);
        self.messages = later;
        for message in due {
            match message.step {
                Step::Arrive => self.arrive(&message),
                Step::Answer(stated, outcome) => {
                    let Message { gateway, run, engine, ticket, .. } = message;
                    if outcome == WorkOutcome::Answered {
                        self.running[engine] -= 1;
                    }
                    if run == self.runs[gateway] {
                        self.answer(gateway, ticket, &stated, outcome);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, message: &Message) {
        let Message { gateway, engine, ticket, run, .. } = *message;
        self.arrivals.push((self.now_ms, gateway, engine));
        let phase = self.phase(engine).cloned();
        let (stated, outcome, work_ms) = match phase {
            Some(RejectPhase { backoff_ms, .. }) => {
                let backoff = backoff_ms.map(|ms| StatedBackoff::try_from(ms as f64 / 1_000.0));
                let backoff = backoff.map(|backoff| backoff.expect("a time"));
                if let Some(backoff_ms) = backoff_ms.filter(|_| run == self.runs[gateway]) {
                    let during = self.now_ms + IN_TRANSIT_MS..self.now_ms + backoff_ms;
                    self.requested.push(RequestedBackoff { gateway, engine, during });
                }
                let stated = BackendStatements { backoff, ..BackendStatements::default() };
                (stated, WorkOutcome::Shed, 0)
            }
            None if self.running[engine] >= SLOTS => {
                (BackendStatements::default(), WorkOutcome::Shed, 0)
            }
            None => {
                self.running[engine] += 1;
                let stated = BackendStatements { is_signed: true, ..BackendStatements::default() };
                (stated, WorkOutcome::Answered, self.scenario.work_ms)
            }
        };
        let due_ms = self.now_ms + work_ms + self.link_delay_ms();
        let step = Step::Answer(stated, outcome);
        self.messages.push(Message { due_ms, gateway, run, engine, ticket, step });
    }

    fn answer(
        &mut self,
        gateway: usize,
        ticket: TicketId,
        stated: &BackendStatements,
        outcome: WorkOutcome,
    ) {
        let now = at(self.now_ms);
        let scheduler = &mut self.gateways[gateway];
        scheduler.note_statements(ticket, stated, now);
        if outcome == WorkOutcome::Answered {
            scheduler.note_progress(ticket, now);
        }
        scheduler.end(ticket, outcome, now);
        let Some(mut caller) = self.callers.remove(&(gateway, ticket)) else { return };
        match outcome {
            WorkOutcome::Answered => self.outcome.served += 1,
            _ => {
                self.outcome.rejections += 1;
                caller.work.is_new = false;
                if caller.sends < MAX_SENDS {
                    self.submit(gateway, caller);
                }
            }
        }
    }

    fn send_hints(&mut self) {
        let count = self.gateways.len();
        for from in 0..count {
            let hints = self.gateways[from].take_hints(at(self.now_ms));
            if hints.is_empty() {
                continue;
            }
            for step in 1..=HINT_FANOUT.min(count - 1) {
                if self.random.unit() >= self.scenario.lost {
                    let due_ms = self.now_ms + 10 + self.link_delay_ms();
                    self.hints.push((due_ms, (from + step) % count, hints.clone()));
                }
            }
        }
        let now_ms = self.now_ms;
        for (_, to, hints) in self.hints.extract_if(.., |(due, ..)| *due <= now_ms) {
            self.gateways[to].note_hints(hints, at(now_ms));
        }
    }

    fn finish(mut self) -> BackoffOutcome {
        let in_backoff = |backoff: &RequestedBackoff| {
            let arrivals = self.arrivals.iter();
            let own = arrivals.filter(|(_, g, e)| (*g, *e) == (backoff.gateway, backoff.engine));
            own.filter(|(ms, ..)| backoff.during.contains(ms)).count()
        };
        self.outcome.most_in_backoff =
            self.requested.iter().map(in_backoff).max().unwrap_or_default();
        for RejectPhase { engine, during, .. } in &self.scenario.phases {
            let there = self.arrivals.iter().filter(|(_, _, e)| e == engine);
            let times: Vec<u64> = there.map(|(ms, ..)| *ms).collect();
            let end = during.end;
            let back =
                times.iter().copied().filter(|ms| (end..end + RECOVERY_WINDOW_MS).contains(ms));
            let back: Vec<u64> = back.collect();
            self.outcome.burst = self.outcome.burst.max(max_within(&back, 50));
            self.outcome.returned += count_within(&times, end, RECOVERY_WINDOW_MS);
        }
        self.outcome
    }
}
