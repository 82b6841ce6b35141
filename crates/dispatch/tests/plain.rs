//! Simulation of plain requests in virtual time: backend servers with few slots, shared by many
//! gateways with little load each.

mod support;

use {
    gullglade_dispatch::{
        BackendHint, BackendReport, BackendStatements, Decision, Scheduler, TicketId, WorkItem,
        WorkOutcome,
    },
    gullglade_traffic::{RequestKind, ServicePool, TrafficRoute},
    gullglade_units::{RandomSource, SeededRandom},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        rc::Rc,
    },
    support::{at, backend_info, item, pool, route, scheduler},
};

const SLOTS: u32 = 6;

/// The queue length beyond which a backend server rejects requests.
const QUEUE_LIMIT: usize = 24;

/// The delay of a hint in a region of many gateways, including batching, milliseconds.
const HINT_DELAY_MS: u64 = 21;

/// A request of a gateway at a backend server.
#[derive(Clone, Copy)]
struct PendingRequest {
    gateway: usize,
    ticket: TicketId,
}

/// A backend server that runs as many requests as it has slots and queues others.
#[derive(Default)]
struct PlainServer {
    running: Vec<(u64, PendingRequest)>,
    waiting: VecDeque<(u64, PendingRequest)>,
}

impl PlainServer {
    /// Queues the request. Returns false if the queue is full.
    fn enqueue(&mut self, work_ms: u64, pending: PendingRequest) -> bool {
        let has_room = self.waiting.len() < QUEUE_LIMIT;
        if has_room {
            self.waiting.push_back((work_ms, pending));
        }
        has_room
    }

    /// Returns the requests that are done by `ms`.
    fn advance(&mut self, ms: u64) -> Vec<PendingRequest> {
        let done = self.running.extract_if(.., |(end, _)| *end <= ms);
        let done = done.map(|(_, pending)| pending).collect();
        while self.running.len() < SLOTS as usize
            && let Some((work_ms, pending)) = self.waiting.pop_front()
        {
            self.running.push((ms + work_ms, pending));
        }
        done
    }

    fn statements(&self) -> BackendStatements {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        let load = Some(BackendReport { running, waiting, slots: SLOTS, slowdown_percent: None });
        BackendStatements { load, ..BackendStatements::default() }
    }
}

/// A load of plain requests that take 15 to 45 ms.
struct PlainReplay {
    gateways: usize,
    servers: usize,
    per_second: f64,
    seconds: u64,
    seed: u64,
}

#[derive(Debug, Default)]
struct PlainResult {
    submitted: usize,
    refused: usize,
    shed: usize,
    /// Time to each answer, milliseconds.
    took: Vec<u64>,
}

impl PlainResult {
    fn quantile(&self, quantile: f64) -> u64 {
        let mut took = self.took.clone();
        took.sort_unstable();
        took[((took.len() - 1) as f64 * quantile) as usize]
    }
}

fn plain_route() -> Rc<TrafficRoute> {
    let kind = RequestKind::Idempotent;
    Rc::new(TrafficRoute { kind, has_affinity: false, ..(*route(2, 400, 3_000)).clone() })
}

fn plain_scheduler(replay: &PlainReplay, index: usize) -> Scheduler {
    let mut scheduler = scheduler(index, replay.gateways, 0, 0.0);
    let service = ServicePool { engine: None, ..(*pool(0.0)).clone() };
    scheduler.set_configuration([Rc::new(service)], &Rc::new(BTreeSet::new()), at(0));
    let backend_info = (0..replay.servers).map(backend_info);
    scheduler.set_backends(
        backend_info.map(|f| gullglade_dispatch::BackendInfo { slots: SLOTS, ..f }),
        at(0),
    );
    scheduler
}

impl PlainReplay {
    fn simulate(&self) -> PlainResult {
        let random = SeededRandom::new(self.seed);
        let route = plain_route();
        let mut schedulers: Vec<_> = (0..self.gateways).map(|g| plain_scheduler(self, g)).collect();
        let mut servers: Vec<_> = (0..self.servers).map(|_| PlainServer::default()).collect();
        let mut submitted: HashMap<(usize, TicketId), (u64, WorkItem)> = HashMap::new();
        let mut hints: VecDeque<(u64, usize, Vec<BackendHint>)> = VecDeque::new();
        let mut result = PlainResult::default();
        // As in a gateway process, the queue is polled after an event or at the requested time.
        let mut is_due = vec![false; self.gateways];
        for ms in 0..self.seconds * 1_000 {
            let now = at(ms);
            if random.unit() < self.per_second / 1_000.0 {
                let gateway = random.below(self.gateways as u64) as usize;
                let work = item(&route, None, now);
                let ticket = schedulers[gateway].submit(work.clone(), now);
                submitted.insert((gateway, ticket), (ms, work));
                is_due[gateway] = true;
                result.submitted += 1;
            }
            for server in &mut servers {
                for PendingRequest { gateway, ticket } in server.advance(ms) {
                    let scheduler = &mut schedulers[gateway];
                    scheduler.note_statements(ticket, &server.statements(), now);
                    scheduler.note_progress(ticket, now);
                    scheduler.end(ticket, WorkOutcome::Answered, now);
                    result.took.push(ms - submitted[&(gateway, ticket)].0);
                    is_due[gateway] = true;
                }
            }
            for gateway in 0..self.gateways {
                let is_woken = schedulers[gateway].next_wake().is_some_and(|wake| wake <= now);
                if !std::mem::take(&mut is_due[gateway]) && !is_woken {
                    continue;
                }
                for (ticket, decision) in schedulers[gateway].poll(now) {
                    let Decision::Send { run, .. } = decision else {
                        result.refused += 1;
                        continue;
                    };
                    let server: usize = run.backend.as_str()[2..].parse().expect("a number");
                    let work_ms = 15 + random.below(31);
                    if !servers[server].enqueue(work_ms, PendingRequest { gateway, ticket }) {
                        result.shed += 1;
                        schedulers[gateway].end(ticket, WorkOutcome::Shed, now);
                    }
                }
                let sent = schedulers[gateway].take_hints(now);
                if !sent.is_empty() {
                    hints.push_back((ms + HINT_DELAY_MS, gateway, sent));
                }
            }
            while hints.front().is_some_and(|(due, ..)| *due <= ms) {
                let Some((_, from, sent)) = hints.pop_front() else { break };
                for (index, scheduler) in schedulers.iter_mut().enumerate() {
                    if index != from {
                        scheduler.note_hints(sent.clone(), now);
                    }
                }
            }
        }
        result
    }
}

#[test]
fn few_slots_are_kept_busy_by_many_gateways() {
    // The load: 22 gateways and two backend servers of six slots each, at nine tenths of their
    // capacity. A gateway knows its own few requests and reports of others that are tens of
    // milliseconds old. If it treated every possibly used slot as used, slots would be idle until
    // its next poll.
    let replay = PlainReplay { gateways: 22, servers: 2, per_second: 360.0, seconds: 20, seed: 5 };
    let result = replay.simulate();
    let (median, late) = (result.quantile(0.5), result.quantile(0.95));
    let PlainResult { submitted, refused, shed, .. } = result;
    println!(
        "{submitted} submitted, {refused} refused, {shed} shed; median {median} ms, p95 {late} ms"
    );
    assert!(median <= 70, "median {median} ms");
    assert!(late <= 90, "p95 {late} ms");
    assert!(shed * 200 <= submitted, "{shed} of {submitted} were sent to full ones");
    assert!(refused * 50 <= submitted, "{refused} of {submitted} refused");
}

#[test]
fn plain_requests_wait_little_at_half_load() {
    // The load: half the capacity of the backend servers.
    let replay = PlainReplay { gateways: 22, servers: 2, per_second: 200.0, seconds: 20, seed: 6 };
    let result = replay.simulate();
    let late = result.quantile(0.99);
    println!("p99 {late} ms, {} refused", result.refused);
    assert!(late <= 150, "p99 {late} ms");
    assert_eq!((result.refused, result.shed), (0, 0));
}
