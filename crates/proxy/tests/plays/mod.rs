//! Random plays: requests through gateways of two regions whose backend servers pause, fall silent,
//! die and turn work away, over links that fail.

mod engines;
mod links;
mod oracle;

pub(crate) use oracle::{Breach, Rule};

use {
    crate::support::{BedSettings, OwnParts, TestBed},
    bytes::Bytes,
    engines::{EngineFate, EngineFloor, FloorClient, PlayRequest, RunRecord, RunTroubles, at},
    futures::{
        StreamExt,
        future::{Either, join, join_all, select},
    },
    gullglade_http::ReplyBody,
    gullglade_proxy::{CallerRequest, CallerRequestId, Proxy},
    gullglade_traffic::RequestKind,
    gullglade_units::{Clock, MonotonicTime, RandomSource, SeededRandom},
    links::{LinkTrouble, PlayLinks},
    std::{cell::RefCell, ops::Range, pin::pin, rc::Rc, time::Duration},
};

/// A span of time.
pub(crate) type Window = Range<MonotonicTime>;

/// When the bed is settled and the play begins.
const START: MonotonicTime = MonotonicTime(Duration::from_secs(11));

/// Requests come for so long.
const COMING_MS: u64 = 4_000;

/// How a caller sends its request.
#[derive(Clone, Debug)]
struct PlayCaller {
    gateway: usize,
    begin: MonotonicTime,
    caller_timeout: Duration,
    /// Leaves so long after it began.
    leaves: Option<Duration>,
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
struct PlayOutcome {
    status: u16,
    body: Vec<u8>,
    is_broken: bool,
    has_left: bool,
    done: MonotonicTime,
}

/// One play, as drawn from its seed.
struct Play {
    seed: u64,
    gateways: usize,
    timeout: Duration,
    later: Option<(MonotonicTime, Duration)>,
    repeat_slack: f64,
    max_attempts: u32,
    offered: Option<u8>,
    callers: Vec<PlayCaller>,
    floor: Rc<EngineFloor>,
    links: Rc<PlayLinks>,
}

/// A play that is over.
struct PlayRecord {
    play: Play,
    outcomes: Vec<PlayOutcome>,
    runs: Vec<RunRecord>,
    lines: Vec<String>,
}

/// What came of a play.
#[derive(Default)]
pub(crate) struct PlayReport {
    pub(crate) breaches: Vec<Breach>,
    pub(crate) requests: usize,
    /// Requests that got a whole answer.
    pub(crate) whole: usize,
    /// Arrivals at engines, and how many of these runs were silent for a second or more.
    pub(crate) arrivals: usize,
    pub(crate) silent: usize,
}

/// Plays `seed` with so many gateways.
pub(crate) fn play(seed: u64, gateways: usize) -> PlayReport {
    Play::draw(seed, gateways).run().report()
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

fn draw_engine(random: &SeededRandom) -> EngineFate {
    let mut fate = EngineFate { slots: 4 + random.below(5) as usize, ..EngineFate::default() };
    match random.below(12) {
        0..=3 => fate.stalls = draw_stalls(random),
        4 => fate.death = Some(window(random, 0..5_000, millis(random, 200..6_000))),
        5 => fate.dark_from = Some(START + millis(random, 0..5_000)),
        6 => fate.full = Some(window(random, 0..3_000, millis(random, 500..8_000))),
        7 => fate.slots = 1 + random.below(2) as usize,
        _ => {}
    }
    fate
}

fn draw_links(random: &SeededRandom, seed: u64) -> PlayLinks {
    let mut troubles = Vec::new();
    if random.below(2) == 0 {
        for _ in 0..1 + random.below(3) {
            let trouble = match random.below(4) {
                0 | 1 => LinkTrouble::Slow(millis(random, 55..301)),
                2 => LinkTrouble::Cut,
                _ => LinkTrouble::Lossy(20 + random.below(300)),
            };
            troubles.push((window(random, 0..5_000, millis(random, 100..3_000)), trouble));
        }
    }
    PlayLinks {
        usual: Duration::from_millis([5, 55, 55, 150, 300][random.below(5) as usize]),
        troubles,
        random: SeededRandom::new(seed ^ 0x11),
        clock: RefCell::default(),
        lost: RefCell::default(),
        asked: Default::default(),
    }
}

fn draw_request(random: &SeededRandom) -> PlayRequest {
    let is_plain = random.below(4) == 0;
    PlayRequest {
        events: (!is_plain).then(|| 3 + random.below(15)),
        first: millis(random, 20..300),
        gap: millis(random, 20..200),
    }
}

impl Play {
    fn draw(seed: u64, gateways: usize) -> Self {
        let random = &SeededRandom::new(seed);
        // Many gateways have more callers and engines between them.
        let scale = 1 + gateways / 12;
        let west = scale * (1 + random.below(3) as usize);
        let east = scale * random.below(4) as usize;
        let engines = [west, east].map(|n| (0..n).map(|_| draw_engine(random)).collect());
        let most = if random.below(5) == 0 { 70 } else { 30 };
        let requests: Vec<_> =
            (0..scale as u64 * (8 + random.below(most))).map(|_| draw_request(random)).collect();
        let troubles = match random.below(3) {
            0 => RunTroubles::default(),
            1 => RunTroubles { pauses: 300, silences: 0, breaks: 0 },
            _ => RunTroubles { pauses: 150, silences: 60, breaks: 80 },
        };
        let caller = |_: &PlayRequest| PlayCaller {
            gateway: random.below(gateways as u64) as usize,
            begin: START + millis(random, 0..COMING_MS),
            caller_timeout: millis(random, 2_500..9_000),
            leaves: (random.below(20) == 0).then(|| millis(random, 0..4_000)),
        };
        let callers = requests.iter().map(caller).collect();
        let change = random.below(3) == 0;
        let floor = EngineFloor {
            engines,
            troubles,
            requests,
            runs: RefCell::default(),
            random: SeededRandom::new(seed ^ 0x22),
        };
        Self {
            seed,
            gateways,
            timeout: millis(random, 3_000..9_000),
            later: change.then(|| (at(random.below(COMING_MS)), millis(random, 1_000..9_000))),
            repeat_slack: [0.0, 0.0, 3.0, 50.0, 50.0][random.below(5) as usize],
            max_attempts: 1 + [1, 1, 1, 2, 0][random.below(5) as usize],
            offered: (random.below(5) == 0).then_some(2),
            callers,
            floor: Rc::new(floor),
            links: Rc::new(draw_links(random, seed)),
        }
    }

    fn settings(&self) -> BedSettings {
        let floor = Rc::clone(&self.floor);
        let clients = move |gateway, context: &gullglade_units::ProcessContext| {
            let floor = Rc::clone(&floor);
            Rc::new(FloorClient { floor, gateway, context: context.clone() }) as _
        };
        let count = |region: usize| self.floor.engines[region].len() as u8;
        BedSettings {
            timeout: self.timeout,
            later_timeout: self.later.map(|(_, timeout)| timeout),
            backends: (count(0), count(1)),
            east_names: "i-e",
            offered: self.offered,
            repeat_slack: self.repeat_slack,
            own: OwnParts {
                seed: self.seed,
                policy: Some(Rc::clone(&self.links) as _),
                clients: Some(Rc::new(clients)),
                gateways: self.gateways,
                max_attempts: self.max_attempts,
                plain_prefix: Some("/plain/"),
                ..OwnParts::default()
            },
            ..BedSettings::of(RequestKind::Stream { resumable: true })
        }
    }

    fn call(&self, bed: &TestBed, number: usize) -> CallerRequest {
        let id = format!("call-{number}");
        let mut call = bed.call();
        call.headers.insert("call", id.parse().expect("a header value"));
        let is_plain = self.floor.requests[number].events.is_none();
        let target = if is_plain { "/plain/b" } else { "/a/b" };
        CallerRequest {
            id: CallerRequestId::try_from(id.as_str()).expect("an id"),
            target: target.to_owned(),
            body: Bytes::from(id),
            caller_timeout: Some(self.callers[number].caller_timeout),
            ..call
        }
    }

    fn run(self) -> PlayRecord {
        let bed = TestBed::new(&self.settings());
        let clock = bed.clock();
        assert_eq!(clock.now(), START, "the bed settles in a known time");
        self.links.clock.replace(Some(Rc::clone(&clock)));
        let serving = self.callers.iter().enumerate().map(|(number, caller)| {
            let proxy = bed.gateway(caller.gateway);
            let call = self.call(&bed, number);
            let clock = Rc::clone(&clock);
            async move {
                clock.sleep(caller.begin.since(clock.now())).await;
                take(proxy, call, caller.leaves, &*clock).await
            }
        });
        let change = async {
            if let Some((time, _)) = self.later {
                clock.sleep(time.since(clock.now())).await;
                bed.configure(2);
            }
        };
        let (outcomes, ()) = bed.world.run_until(join(join_all(serving), change));
        // Runs and searches that nobody waits for any more must end too.
        bed.world.run_for(Duration::from_secs(1));
        let runs = self.floor.runs.borrow().clone();
        PlayRecord { play: self, outcomes, runs, lines: bed.events.lines() }
    }
}

/// What a caller gets that may leave.
async fn take(
    proxy: &Proxy,
    call: CallerRequest,
    leaves: Option<Duration>,
    clock: &dyn Clock,
) -> PlayOutcome {
    let mut outcome = PlayOutcome::default();
    let leaving = async {
        match leaves {
            Some(after) => clock.sleep(after).await,
            None => std::future::pending().await,
        }
    };
    let has_left = {
        let reading = pin!(read(proxy, call, &mut outcome));
        matches!(select(reading, pin!(leaving)).await, Either::Right(_))
    };
    outcome.has_left = has_left;
    outcome.done = clock.now();
    outcome
}

async fn read(proxy: &Proxy, call: CallerRequest, outcome: &mut PlayOutcome) {
    let (head, body) = proxy.serve(call).await.into_parts();
    outcome.status = head.status.as_u16();
    match body {
        ReplyBody::Full(whole) => outcome.body.extend_from_slice(&whole),
        ReplyBody::Stream(mut stream) => {
            while let Some(piece) = stream.next().await {
                match piece {
                    Ok(piece) => outcome.body.extend_from_slice(&piece),
                    Err(_) => outcome.is_broken = true,
                }
            }
        }
    }
}
