//! Simulation of the gateways of one region and backend servers that end when they reject too many
//! requests within a second.

use {
    super::{
        arrival_chances, at, backend, backend_index, backend_info, gateway, item, pool, route,
    },
    gullglade_dispatch::{
        BackendHint, BackendInfo, BackendReport, BackendStatements, Decision, RejectionLimit,
        Scheduler, TicketId, WorkItem, WorkOutcome,
    },
    gullglade_traffic::{RequestKind, ServicePool, TrafficRoute},
    gullglade_units::{Incarnation, RandomSource, SeededRandom},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        ops::Range,
        rc::Rc,
    },
};

const STEP_MS: u64 = 2;
/// The maximum number of gateways that a gateway sends its hints to.
const HINT_FANOUT: usize = 40;
const HINT_DELAY_MS: u64 = 12;
/// The maximum one-way delay to a backend server.
const LINK_MS: u64 = 3;
/// The time for which a backend server that ended is down.
const DOWNTIME_MS: u64 = 3_000;
/// The time after the first statement from which backend servers queue fewer requests.
const GRACE_MS: u64 = 5_000;
const MAX_SENDS: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct RejectionScenario {
    pub(crate) gateways: usize,
    pub(crate) backends: usize,
    pub(crate) slots: usize,
    /// Whether the service has model engines.
    pub(crate) has_engines: bool,
    /// Requests per second at each gateway, and its share in bursts of 50 ms.
    pub(crate) per_second: f64,
    pub(crate) burst_share: f64,
    pub(crate) work_ms: u64,
    /// Queue length before and after the grace period.
    pub(crate) queue: (usize, usize),
    /// Whether answers contain the load.
    pub(crate) tells_load: bool,
    /// Rejections within a second, beyond which a backend server ends.
    pub(crate) allowed: u32,
    /// The period in which it is stated.
    pub(crate) stated: Range<u64>,
    pub(crate) length_ms: u64,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub(crate) struct RejectionOutcome {
    /// How often a backend server ended.
    pub(crate) ends: usize,
    pub(crate) submitted: usize,
    pub(crate) rejections: usize,
    pub(crate) served: usize,
    /// Requests served before the period and in it after the grace period.
    pub(crate) served_before: usize,
    pub(crate) served_within: usize,
}

#[derive(Clone, Copy)]
struct Pending {
    gateway: usize,
    ticket: TicketId,
}

#[derive(Default)]
struct Server {
    incarnation: u64,
    running: Vec<(u64, Pending)>,
    waiting: VecDeque<Pending>,
    rejections: VecDeque<u64>,
    down_until: u64,
}

struct Message {
    due_ms: u64,
    pending: Pending,
    server: usize,
    /// The outcome, for an answer.
    outcome: Option<WorkOutcome>,
    is_stating: bool,
    load: Option<BackendReport>,
}

struct Caller {
    sends: u32,
    work: WorkItem,
}

pub(crate) struct RejectionSimulation<'a> {
    scenario: &'a RejectionScenario,
    random: SeededRandom,
    route: Rc<TrafficRoute>,
    gateways: Vec<Scheduler>,
    servers: Vec<Server>,
    callers: HashMap<(usize, TicketId), Caller>,
    messages: Vec<Message>,
    hints: Vec<(u64, usize, Vec<BackendHint>)>,
    outcome: RejectionOutcome,
    now_ms: u64,
}

impl<'a> RejectionSimulation<'a> {
    pub(crate) fn new(scenario: &'a RejectionScenario, seed: u64) -> Self {
        let kind = match scenario.has_engines {
            true => RequestKind::Stream { resumable: true },
            false => RequestKind::Idempotent,
        };
        let route = TrafficRoute { kind, ..(*route(0, 1_200, 2_500)).clone() };
        let mut simulation = Self {
            scenario,
            random: SeededRandom::new(seed),
            route: Rc::new(route),
            gateways: Vec::new(),
            servers: (0..scenario.backends).map(|_| Server::default()).collect(),
            callers: HashMap::new(),
            messages: Vec::new(),
            hints: Vec::new(),
            outcome: RejectionOutcome::default(),
            now_ms: 0,
        };
        simulation.gateways =
            (0..scenario.gateways).map(|index| simulation.scheduler(index)).collect();
        simulation
    }

    fn scheduler(&self, index: usize) -> Scheduler {
        let service = match self.scenario.has_engines {
            true => pool(0.0),
            false => Rc::new(ServicePool { engine: None, ..(*pool(0.0)).clone() }),
        };
        let mut scheduler = Scheduler::new(super::settings(index));
        scheduler.set_configuration([service], &Rc::new(BTreeSet::new()), at(0));
        scheduler.set_backends(self.announced(), at(0));
        scheduler.set_gateways((0..self.scenario.gateways).map(gateway), at(0));
        scheduler.set_gateway_total(self.scenario.gateways, at(0));
        scheduler
    }

    fn announced(&self) -> Vec<BackendInfo> {
        let live = self.servers.iter().enumerate().filter(|(_, s)| s.down_until <= self.now_ms);
        let info = |(index, server): (usize, &Server)| BackendInfo {
            name: backend(index),
            incarnation: Incarnation(server.incarnation),
            slots: self.scenario.slots as u32,
            ..backend_info(index)
        };
        live.map(info).collect()
    }

    pub(crate) fn simulate(mut self) -> RejectionOutcome {
        while self.now_ms < self.scenario.length_ms {
            self.submit_requests();
            self.deliver_messages();
            self.advance_servers();
            for gateway in 0..self.gateways.len() {
                self.decide(gateway);
            }
            self.send_hints();
            self.now_ms += STEP_MS;
        }
        self.outcome
    }

    fn is_stating(&self) -> bool {
        self.scenario.stated.contains(&self.now_ms)
    }

    fn queue_limit(&self) -> usize {
        let Range { start, end } = self.scenario.stated;
        match (start + GRACE_MS..end).contains(&self.now_ms) {
            true => self.scenario.queue.1,
            false => self.scenario.queue.0,
        }
    }

    fn submit_requests(&mut self) {
        // All gateways get the bursts at the same moments.
        let is_burst = self.now_ms % 500 < 50;
        let RejectionScenario { per_second, burst_share, .. } = *self.scenario;
        let factor = match is_burst {
            true => 1.0 - burst_share + burst_share * 10.0,
            false => 1.0 - burst_share,
        };
        let expected = per_second * factor * STEP_MS as f64 / 1_000.0;
        for index in 0..self.gateways.len() {
            for chance in arrival_chances(expected) {
                if self.random.unit() < chance {
                    self.outcome.submitted += 1;
                    let work = item(&self.route, None, at(self.now_ms));
                    self.submit(index, Caller { sends: 0, work });
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
                    let server = backend_index(&run.backend);
                    self.message(Pending { gateway, ticket }, server, None, false);
                }
                _ => {
                    self.callers.remove(&(gateway, ticket));
                }
            }
        }
    }

    fn message(
        &mut self,
        pending: Pending,
        server: usize,
        outcome: Option<WorkOutcome>,
        is_stating: bool,
    ) {
        let due_ms = self.now_ms + 1 + self.random.below(LINK_MS);
        let load = self.load(server).filter(|_| self.scenario.tells_load && outcome.is_some());
        self.messages.push(Message { due_ms, pending, server, outcome, is_stating, load });
    }

    fn load(&self, server: usize) -> Option<BackendReport> {
        let Server { running, waiting, .. } = &self.servers[server];
        Some(BackendReport {
            running: running.len() as u32,
            waiting: waiting.len() as u32,
            slots: self.scenario.slots as u32,
            slowdown_percent: None,
        })
    }

    fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.messages.extract_if(.., |m| m.due_ms <= now_ms).collect();
        for Message { pending, server, outcome, is_stating, load, .. } in due {
            match outcome {
                None => self.arrive(server, pending),
                Some(outcome) => self.answer(pending, outcome, is_stating, load),
            }
        }
    }

    fn arrive(&mut self, index: usize, pending: Pending) {
        let (queue_limit, now_ms) = (self.queue_limit(), self.now_ms);
        let is_stating = self.is_stating();
        let server = &mut self.servers[index];
        if server.down_until > now_ms {
            return self.message(pending, index, Some(WorkOutcome::Unreachable), false);
        }
        if server.running.len() < self.scenario.slots {
            server.running.push((now_ms + self.scenario.work_ms, pending));
            return;
        }
        if server.waiting.len() < queue_limit {
            server.waiting.push_back(pending);
            return;
        }
        self.outcome.rejections += 1;
        server.rejections.push_back(now_ms);
        server.rejections.retain(|at| now_ms - at < 1_000);
        let is_over = server.rejections.len() > self.scenario.allowed as usize;
        self.message(pending, index, Some(WorkOutcome::Shed), is_stating);
        if is_over && is_stating && self.now_ms >= self.scenario.stated.start + GRACE_MS {
            self.end_server(index);
        }
    }

    fn end_server(&mut self, index: usize) {
        self.outcome.ends += 1;
        let server = std::mem::take(&mut self.servers[index]);
        self.servers[index].incarnation = server.incarnation + 1;
        self.servers[index].down_until = self.now_ms + DOWNTIME_MS;
        let cut_off = server.running.into_iter().map(|(_, pending)| pending).chain(server.waiting);
        for pending in cut_off {
            self.message(pending, index, Some(WorkOutcome::Broken), false);
        }
        self.announce();
    }

    fn announce(&mut self) {
        let announced = self.announced();
        for gateway in &mut self.gateways {
            gateway.set_backends(announced.clone(), at(self.now_ms));
        }
    }

    fn advance_servers(&mut self) {
        let (now_ms, is_stating) = (self.now_ms, self.is_stating());
        if self.servers.iter().any(|s| s.down_until > 0 && s.down_until <= now_ms) {
            self.servers
                .iter_mut()
                .filter(|s| s.down_until <= now_ms)
                .for_each(|s| s.down_until = 0);
            self.announce();
        }
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let done: Vec<_> =
                server.running.extract_if(.., |(end, _)| *end <= now_ms).map(|(_, p)| p).collect();
            while server.running.len() < self.scenario.slots
                && let Some(pending) = server.waiting.pop_front()
            {
                server.running.push((now_ms + self.scenario.work_ms, pending));
            }
            for pending in done {
                self.message(pending, index, Some(WorkOutcome::Answered), is_stating);
            }
        }
    }

    fn answer(
        &mut self,
        pending: Pending,
        outcome: WorkOutcome,
        is_stating: bool,
        load: Option<BackendReport>,
    ) {
        let Pending { gateway, ticket } = pending;
        let now = at(self.now_ms);
        let rejection_limit =
            is_stating.then(|| RejectionLimit::try_from(f64::from(self.scenario.allowed)));
        let rejection_limit = rejection_limit.map(|stated| stated.expect("a number"));
        let is_signed = outcome == WorkOutcome::Answered;
        let scheduler = &mut self.gateways[gateway];
        if matches!(outcome, WorkOutcome::Answered | WorkOutcome::Shed) {
            let stated = BackendStatements {
                is_signed,
                rejection_limit,
                load,
                ..BackendStatements::default()
            };
            scheduler.note_statements(ticket, &stated, now);
        }
        if is_signed {
            scheduler.note_progress(ticket, now);
        }
        scheduler.end(ticket, outcome, now);
        let Some(mut caller) = self.callers.remove(&(gateway, ticket)) else { return };
        if is_signed {
            let Range { start, end } = self.scenario.stated;
            self.outcome.served += 1;
            self.outcome.served_before += usize::from(self.now_ms < start);
            let is_within = (start + GRACE_MS..end).contains(&self.now_ms);
            self.outcome.served_within += usize::from(is_within);
            return;
        }
        caller.work.is_new = false;
        if caller.sends < MAX_SENDS && outcome != WorkOutcome::Broken {
            self.submit(gateway, caller);
        }
    }

    fn send_hints(&mut self) {
        let count = self.gateways.len();
        let now_ms = self.now_ms;
        for from in 0..count {
            let hints = self.gateways[from].take_hints(at(now_ms));
            if hints.is_empty() {
                continue;
            }
            for step in 1..=HINT_FANOUT.min(count - 1) {
                self.hints.push((now_ms + HINT_DELAY_MS, (from + step) % count, hints.clone()));
            }
        }
        for (_, to, hints) in self.hints.extract_if(.., |(due, ..)| *due <= now_ms) {
            self.gateways[to].note_hints(hints, at(now_ms));
        }
    }
}
