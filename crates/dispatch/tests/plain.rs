//! Plain requests, replayed in virtual time: backend servers of few places, shared by many
//! gateways that each send little.

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
    support::{at, facts, item, pool, route, scheduler},
};

const SLOTS: u32 = 6;

/// Requests that a backend server keeps waiting; it turns away those beyond.
const QUEUE: usize = 24;

/// How long a hint takes in a region of many gateways, with its gathering, milliseconds.
const HINT_DELAY: u64 = 21;

/// What a gateway waits for of a backend server.
#[derive(Clone, Copy)]
struct Place {
    gateway: usize,
    ticket: TicketId,
}

/// A backend server that runs as many requests as it has places, and keeps others waiting.
#[derive(Default)]
struct PlainServer {
    running: Vec<(u64, Place)>,
    waiting: VecDeque<(u64, Place)>,
}

impl PlainServer {
    /// Whether it takes the request.
    fn take(&mut self, work_ms: u64, place: Place) -> bool {
        let has_room = self.waiting.len() < QUEUE;
        if has_room {
            self.waiting.push_back((work_ms, place));
        }
        has_room
    }

    /// The requests that are done by `ms`.
    fn advance(&mut self, ms: u64) -> Vec<Place> {
        let done = self.running.extract_if(.., |(end, _)| *end <= ms);
        let done = done.map(|(_, place)| place).collect();
        while self.running.len() < SLOTS as usize
            && let Some((work_ms, place)) = self.waiting.pop_front()
        {
            self.running.push((ms + work_ms, place));
        }
        done
    }

    fn statements(&self) -> BackendStatements {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        let load = Some(BackendReport { running, waiting, slots: SLOTS });
        BackendStatements { load, ..BackendStatements::default() }
    }
}

/// A load of plain requests of 15 to 45 ms.
struct PlainReplay {
    gateways: usize,
    servers: usize,
    per_second: f64,
    seconds: u64,
    seed: u64,
}

#[derive(Debug, Default)]
struct PlainResult {
    asked: usize,
    refused: usize,
    shed: usize,
    /// The time to each answer, milliseconds.
    took: Vec<u64>,
}

impl PlainResult {
    fn quantile(&self, part: f64) -> u64 {
        let mut took = self.took.clone();
        took.sort_unstable();
        took[((took.len() - 1) as f64 * part) as usize]
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
    let facts = (0..replay.servers).map(facts);
    scheduler
        .set_backends(facts.map(|f| gullglade_dispatch::BackendInfo { slots: SLOTS, ..f }), at(0));
    scheduler
}

impl PlainReplay {
    fn play(&self) -> PlainResult {
        let random = SeededRandom::new(self.seed);
        let route = plain_route();
        let mut schedulers: Vec<_> = (0..self.gateways).map(|g| plain_scheduler(self, g)).collect();
        let mut servers: Vec<_> = (0..self.servers).map(|_| PlainServer::default()).collect();
        let mut asked: HashMap<(usize, TicketId), (u64, WorkItem)> = HashMap::new();
        let mut hints: VecDeque<(u64, usize, Vec<BackendHint>)> = VecDeque::new();
        let mut result = PlainResult::default();
        // As in a process, a gateway looks at its queue when something happens to it, or when it
        // asked to.
        let mut is_due = vec![false; self.gateways];
        for ms in 0..self.seconds * 1_000 {
            let now = at(ms);
            if random.unit() < self.per_second / 1_000.0 {
                let gateway = random.below(self.gateways as u64) as usize;
                let work = item(&route, None, now);
                let ticket = schedulers[gateway].submit(work.clone(), now);
                asked.insert((gateway, ticket), (ms, work));
                is_due[gateway] = true;
                result.asked += 1;
            }
            for server in &mut servers {
                for Place { gateway, ticket } in server.advance(ms) {
                    let scheduler = &mut schedulers[gateway];
                    scheduler.note_statements(ticket, &server.statements(), now);
                    scheduler.note_progress(ticket, now);
                    scheduler.end(ticket, WorkOutcome::Answered, now);
                    result.took.push(ms - asked[&(gateway, ticket)].0);
                    is_due[gateway] = true;
                }
            }
            for gateway in 0..self.gateways {
                let is_woken = schedulers[gateway].next_wake().is_some_and(|wake| wake <= now);
                if !std::mem::take(&mut is_due[gateway]) && !is_woken {
                    continue;
                }
                for (ticket, verdict) in schedulers[gateway].poll(now) {
                    let Decision::Send { run, .. } = verdict else {
                        result.refused += 1;
                        continue;
                    };
                    let server: usize = run.backend.as_str()[2..].parse().expect("a number");
                    let work_ms = 15 + random.below(31);
                    if !servers[server].take(work_ms, Place { gateway, ticket }) {
                        result.shed += 1;
                        schedulers[gateway].end(ticket, WorkOutcome::Shed, now);
                    }
                }
                let sent = schedulers[gateway].take_hints(now);
                if !sent.is_empty() {
                    hints.push_back((ms + HINT_DELAY, gateway, sent));
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
fn backend_servers_of_few_places_are_kept_busy_by_many_gateways() {
    // The load: 22 gateways before two backend servers of six places each, at nine tenths of what
    // those can do. A gateway sees its own few requests, and of the others' what was stated or
    // told some tens of milliseconds ago. Where it takes every place that may be taken for taken,
    // places stand idle until its next look.
    let replay = PlainReplay { gateways: 22, servers: 2, per_second: 360.0, seconds: 20, seed: 5 };
    let result = replay.play();
    let (median, late) = (result.quantile(0.5), result.quantile(0.95));
    let PlainResult { asked, refused, shed, .. } = result;
    println!("{asked} asked, {refused} refused, {shed} shed; median {median} ms, p95 {late} ms");
    assert!(median <= 70, "median {median} ms");
    assert!(late <= 90, "p95 {late} ms");
    assert!(shed * 200 <= asked, "{shed} of {asked} were sent to full ones");
    assert!(refused * 50 <= asked, "{refused} of {asked} refused");
}

#[test]
fn plain_requests_wait_little_when_there_is_room() {
    // The load: half of what the backend servers can do.
    let replay = PlainReplay { gateways: 22, servers: 2, per_second: 200.0, seconds: 20, seed: 6 };
    let result = replay.play();
    let late = result.quantile(0.99);
    println!("p99 {late} ms, {} refused", result.refused);
    assert!(late <= 150, "p99 {late} ms");
    assert_eq!((result.refused, result.shed), (0, 0));
}
