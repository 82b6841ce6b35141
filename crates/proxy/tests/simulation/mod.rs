//! Random simulations: requests through gateways of two regions, with backend servers that pause,
//! fall silent, end and reject requests, and links that fail.

mod engines;
mod links;
mod oracle;

pub(crate) use oracle::{Invariant, Violation};

use {
    crate::support::{BedSettings, Overrides, TestBed},
    bytes::Bytes,
    engines::{
        EngineClient, EnginePool, EngineSchedule, RunFaults, RunRecord, SimulatedRequest, at,
    },
    futures::{
        StreamExt,
        future::{Either, join, join_all, select},
    },
    gullglade_http::ReplyBody,
    gullglade_proxy::{CallerRequest, CallerRequestId, Proxy},
    gullglade_traffic::RequestKind,
    gullglade_units::{Clock, MonotonicTime, RandomSource, SeededRandom},
    links::{LinkFault, SimulatedLinks},
    std::{cell::RefCell, ops::Range, pin::pin, rc::Rc, time::Duration},
};

/// A span of time.
pub(crate) type Window = Range<MonotonicTime>;

/// Time at which the test bed is settled and the simulation begins.
const START: MonotonicTime = MonotonicTime(Duration::from_secs(11));

/// Time span in which requests arrive, in milliseconds.
const ARRIVAL_SPAN_MS: u64 = 4_000;

/// A caller and its request.
#[derive(Clone, Debug)]
struct SimulatedCaller {
    gateway: usize,
    begin: MonotonicTime,
    caller_timeout: Duration,
    /// Time after which the caller disconnects, if it does.
    leaves_after: Option<Duration>,
}

/// The response that a caller got.
#[derive(Clone, Debug, Default)]
struct CallerOutcome {
    status: u16,
    body: Vec<u8>,
    is_incomplete: bool,
    has_left: bool,
    done: MonotonicTime,
}

/// One simulation, drawn from its seed.
struct Simulation {
    seed: u64,
    gateways: usize,
    timeout: Duration,
    later: Option<(MonotonicTime, Duration)>,
    repeat_slack: f64,
    max_attempts: u32,
    offered: Option<u8>,
    callers: Vec<SimulatedCaller>,
    pool: Rc<EnginePool>,
    links: Rc<SimulatedLinks>,
}

/// A finished simulation.
struct SimulationRecord {
    simulation: Simulation,
    outcomes: Vec<CallerOutcome>,
    runs: Vec<RunRecord>,
    lines: Vec<String>,
}

/// Results of a simulation.
#[derive(Default)]
pub(crate) struct SimulationReport {
    pub(crate) violations: Vec<Violation>,
    pub(crate) requests: usize,
    /// Number of requests with a complete response.
    pub(crate) complete: usize,
    /// Number of arrivals at engines, and of runs among them that were silent for a second or more.
    pub(crate) arrivals: usize,
    pub(crate) silent: usize,
}

/// Runs the simulation of `seed` with `gateways` gateways.
pub(crate) fn run_seed(seed: u64, gateways: usize) -> SimulationReport {
    Simulation::draw(seed, gateways).run().report()
}

fn millis(random: &SeededRandom, range: Range<u64>) -> Duration {
    Duration::from_millis(range.start + random.below(range.end - range.start))
}

fn window(random: &SeededRandom, begins_ms: Range<u64>, lasts: Duration) -> Window {
    let begin = START + millis(random, begins_ms);
    begin..begin + lasts
}

fn draw_stalls(random: &SeededRandom) -> Vec<Window> {
    let mut begin = at(random.below(1_500));
    let mut stalls = Vec::new();
    for _ in 0..1 + random.below(4) {
        let end = begin + engines::pause(random);
        stalls.push(begin..end);
        begin = end + millis(random, 50..1_500);
    }
    stalls
}

fn draw_engine(random: &SeededRandom) -> EngineSchedule {
    let mut schedule =
        EngineSchedule { slots: 4 + random.below(5) as usize, ..EngineSchedule::default() };
    match random.below(12) {
        0..=3 => schedule.stalls = draw_stalls(random),
        4 => schedule.downtime = Some(window(random, 0..5_000, millis(random, 200..6_000))),
        5 => schedule.silent_from = Some(START + millis(random, 0..5_000)),
        6 => schedule.full = Some(window(random, 0..3_000, millis(random, 500..8_000))),
        7 => schedule.slots = 1 + random.below(2) as usize,
        _ => {}
    }
    schedule
}

fn draw_links(random: &SeededRandom, seed: u64) -> SimulatedLinks {
    let mut faults = Vec::new();
    if random.below(2) == 0 {
        for _ in 0..1 + random.below(3) {
            let fault = match random.below(4) {
                0 | 1 => LinkFault::Slow(millis(random, 55..301)),
                2 => LinkFault::Cut,
                _ => LinkFault::Lossy(20 + random.below(300)),
            };
            faults.push((window(random, 0..5_000, millis(random, 100..3_000)), fault));
        }
    }
    SimulatedLinks {
        default_delay: Duration::from_millis([5, 55, 55, 150, 300][random.below(5) as usize]),
        faults,
        random: SeededRandom::new(seed ^ 0x11),
        clock: RefCell::default(),
        lost: RefCell::default(),
        forward_count: Default::default(),
    }
}

fn draw_request(random: &SeededRandom) -> SimulatedRequest {
    let is_plain = random.below(4) == 0;
    SimulatedRequest {
        events: (!is_plain).then(|| 3 + random.below(15)),
        first: millis(random, 20..300),
        gap: millis(random, 20..200),
    }
}

impl Simulation {
    fn draw(seed: u64, gateways: usize) -> Self {
        let random = &SeededRandom::new(seed);
        // The numbers of callers and engines grow with the number of gateways.
        let scale = 1 + gateways / 12;
        let west = scale * (1 + random.below(3) as usize);
        let east = scale * random.below(4) as usize;
        let engines = [west, east].map(|n| (0..n).map(|_| draw_engine(random)).collect());
        let most = if random.below(5) == 0 { 70 } else { 30 };
        let requests: Vec<_> =
            (0..scale as u64 * (8 + random.below(most))).map(|_| draw_request(random)).collect();
        let faults = match random.below(3) {
            0 => RunFaults::default(),
            1 => RunFaults { pauses: 300, silences: 0, breaks: 0 },
            _ => RunFaults { pauses: 150, silences: 60, breaks: 80 },
        };
        let caller = |_: &SimulatedRequest| SimulatedCaller {
            gateway: random.below(gateways as u64) as usize,
            begin: START + millis(random, 0..ARRIVAL_SPAN_MS),
            caller_timeout: millis(random, 2_500..9_000),
            leaves_after: (random.below(20) == 0).then(|| millis(random, 0..4_000)),
        };
        let callers = requests.iter().map(caller).collect();
        let change = random.below(3) == 0;
        let pool = EnginePool {
            engines,
            faults,
            requests,
            runs: RefCell::default(),
            random: SeededRandom::new(seed ^ 0x22),
        };
        Self {
            seed,
            gateways,
            timeout: millis(random, 3_000..9_000),
            later: change
                .then(|| (at(random.below(ARRIVAL_SPAN_MS)), millis(random, 1_000..9_000))),
            repeat_slack: [0.0, 0.0, 3.0, 50.0, 50.0][random.below(5) as usize],
            max_attempts: 1 + [1, 1, 1, 2, 0][random.below(5) as usize],
            offered: (random.below(5) == 0).then_some(2),
            callers,
            pool: Rc::new(pool),
            links: Rc::new(draw_links(random, seed)),
        }
    }

    fn settings(&self) -> BedSettings {
        let pool = Rc::clone(&self.pool);
        let clients = move |gateway, context: &gullglade_units::ProcessContext| {
            let pool = Rc::clone(&pool);
            Rc::new(EngineClient { pool, gateway, context: context.clone() }) as _
        };
        let count = |region: usize| self.pool.engines[region].len() as u8;
        BedSettings {
            timeout: self.timeout,
            later_timeout: self.later.map(|(_, timeout)| timeout),
            backends: (count(0), count(1)),
            east_names: "i-e",
            offered: self.offered,
            repeat_slack: self.repeat_slack,
            overrides: Overrides {
                seed: self.seed,
                policy: Some(Rc::clone(&self.links) as _),
                clients: Some(Rc::new(clients)),
                gateways: self.gateways,
                max_attempts: self.max_attempts,
                plain_prefix: Some("/plain/"),
                ..Overrides::default()
            },
            ..BedSettings::of(RequestKind::Stream { resumable: true })
        }
    }

    fn request(&self, bed: &TestBed, number: usize) -> CallerRequest {
        let id = format!("call-{number}");
        let mut request = bed.request();
        request.headers.insert("call", id.parse().expect("a header value"));
        let is_plain = self.pool.requests[number].events.is_none();
        let target = if is_plain { "/plain/b" } else { "/a/b" };
        CallerRequest {
            id: CallerRequestId::try_from(id.as_str()).expect("an id"),
            target: target.to_owned(),
            body: Bytes::from(id),
            caller_timeout: Some(self.callers[number].caller_timeout),
            ..request
        }
    }

    fn run(self) -> SimulationRecord {
        let bed = TestBed::new(&self.settings());
        let clock = bed.clock();
        assert_eq!(clock.now(), START, "the test bed settles at a known time");
        self.links.clock.replace(Some(Rc::clone(&clock)));
        let serving = self.callers.iter().enumerate().map(|(number, caller)| {
            let proxy = bed.gateway(caller.gateway);
            let request = self.request(&bed, number);
            let clock = Rc::clone(&clock);
            async move {
                clock.sleep(caller.begin.since(clock.now())).await;
                fetch(proxy, request, caller.leaves_after, &*clock).await
            }
        });
        let change = async {
            if let Some((time, _)) = self.later {
                clock.sleep(time.since(clock.now())).await;
                bed.configure(2);
            }
        };
        let (outcomes, ()) = bed.world.run_until(join(join_all(serving), change));
        // Runs and searches that nobody waits for must end too.
        bed.world.run_for(Duration::from_secs(1));
        let runs = self.pool.runs.borrow().clone();
        SimulationRecord { simulation: self, outcomes, runs, lines: bed.events.lines() }
    }
}

/// Reads the response of a caller that may disconnect.
async fn fetch(
    proxy: &Proxy,
    request: CallerRequest,
    leaves_after: Option<Duration>,
    clock: &dyn Clock,
) -> CallerOutcome {
    let mut outcome = CallerOutcome::default();
    let departure = async {
        match leaves_after {
            Some(after) => clock.sleep(after).await,
            None => std::future::pending().await,
        }
    };
    let has_left = {
        let reading = pin!(read(proxy, request, &mut outcome));
        matches!(select(reading, pin!(departure)).await, Either::Right(_))
    };
    outcome.has_left = has_left;
    outcome.done = clock.now();
    outcome
}

async fn read(proxy: &Proxy, request: CallerRequest, outcome: &mut CallerOutcome) {
    let (head, body) = proxy.serve(request).await.into_parts();
    outcome.status = head.status.as_u16();
    match body {
        ReplyBody::Full(bytes) => outcome.body.extend_from_slice(&bytes),
        ReplyBody::Stream(mut stream) => {
            while let Some(chunk) = stream.next().await {
                match chunk {
                    Ok(chunk) => outcome.body.extend_from_slice(&chunk),
                    Err(_) => outcome.is_incomplete = true,
                }
            }
        }
    }
}
