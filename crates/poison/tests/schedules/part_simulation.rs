//! Simulation of engines that crash under a part of a prompt, in virtual time.

use {
    gullglade_poison::{
        ContentFingerprint, CrashTracker, CrashTrackerSettings, FingerprintKey, PartFingerprint,
        RequestContent, UpdateScope,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Length of a simulation step.
const STEP_MS: u64 = 10;

/// Interval of a gateway's calls to each control process; the phase differs for each pair.
const SYNC_INTERVAL_MS: u64 = 600;

/// Restart time of an engine.
const RESTART_MS: u64 = 4_000;

/// Time after the fifth crash by which connected gateways know of it.
const WINDOW_MS: u64 = 5_000;

/// Time at which requests with a poison part begin to arrive.
const POISON_FROM_MS: u64 = 5_000;

/// Delay before a caller retries a failed request.
const RETRY_MS: u64 = 200;

/// Minimum and maximum time from the send to the first event, and from there to the end.
const FIRST_EVENT_MS: (u64, u64) = (50, 400);
const ANSWER_MS: (u64, u64) = (100, 800);

/// Ids of poison parts; others count up from zero.
const POISON_ID: u64 = 1 << 40;

/// Part that is answered until the poison begins, in a scenario in which a part turns.
const TURNED_PART: u64 = 1_020;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub(crate) struct PartScenario {
    pub(crate) name: &'static str,
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Concurrent requests per engine.
    pub(crate) slots: usize,
    /// Number of parts to choose from at each place of a prompt.
    pub(crate) choices: [u64; 3],
    /// Place of the poison part in the prompt.
    pub(crate) place: usize,
    /// Number of different poison parts.
    pub(crate) poisons: u64,
    /// Share of the requests that have a poison part.
    pub(crate) poison_share: f64,
    /// The poison part is one that was answered until then.
    pub(crate) turns: bool,
    /// Share of the engines that crash as they begin to answer such a request.
    pub(crate) crash_share: f64,
    /// Number of times that callers send a failed request again.
    pub(crate) retries: u32,
    /// Requests with one whole content that crash engines, beside the parts, in 1,000.
    pub(crate) poison_contents: u32,
    /// One engine in five also crashes by itself, every few seconds.
    pub(crate) crashes_engines: bool,
    /// A third of the engines crashes at once, twice.
    pub(crate) loses_domain: bool,
    /// Connections between a gateway and an engine are reset while both keep running.
    pub(crate) resets_connections: bool,
}

pub(crate) const PART_BASELINE: PartScenario = PartScenario {
    name: "one part in 100 requests",
    gateways: 9,
    engines: 12,
    slots: 12,
    choices: [8, 50, 248],
    place: 1,
    poisons: 1,
    poison_share: 0.01,
    turns: false,
    crash_share: 1.0,
    retries: 1,
    poison_contents: 0,
    crashes_engines: false,
    loses_domain: false,
    resets_connections: false,
};

/// Result of a simulation.
#[derive(Default, Debug)]
pub(crate) struct PartOutcome {
    /// Sound requests of callers, each counted once regardless of retries.
    pub(crate) sound: u64,
    /// Sound requests that were held for a part at least once.
    pub(crate) false_holds: u64,
    /// Number of times that a sound request was cut off.
    pub(crate) cut_off: u64,
    /// Sends with a poison part, by part, later than the window after its fifth crash.
    pub(crate) late_sends: BTreeMap<u64, u64>,
    pub(crate) crashes: u64,
    /// Sound first attempts, and those whose answer began: before the poison, and from twice the
    /// window after the last fifth crash.
    pub(crate) begun_before: (u64, u64),
    pub(crate) begun_after: (u64, u64),
}

struct Running {
    request: usize,
    gateway: usize,
    sent: u64,
    first_event_at: u64,
    ends: u64,
    is_begun: bool,
}

struct Engine {
    run: BackendRun,
    running: Vec<Running>,
    restart_at: Option<u64>,
}

struct Request {
    poison_part: Option<u64>,
    content: ContentFingerprint,
    parts: Vec<u64>,
    is_poison_content: bool,
    arrived: u64,
    attempts: u32,
    was_held: bool,
}

impl Request {
    fn is_sound(&self) -> bool {
        self.poison_part.is_none() && !self.is_poison_content
    }
}

pub(crate) struct PartSimulation {
    scenario: PartScenario,
    random: ChaCha8Rng,
    now: u64,
    gateways: Vec<CrashTracker>,
    controls: Vec<CrashTracker>,
    cursors: BTreeMap<(usize, usize), (u64, u64)>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    due: BTreeMap<u64, Vec<usize>>,
    contents_created: u64,
    /// Number of crashes under each poison part, and the time of the fifth.
    crashes_of: BTreeMap<u64, (u64, Option<u64>)>,
    outcome: PartOutcome,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn run_of(engine: usize, started: u64) -> BackendRun {
    let backend = BackendName::try_from(format!("engine-{engine}")).expect("a name");
    BackendRun { backend, incarnation: Incarnation(started) }
}

fn key() -> FingerprintKey {
    FingerprintKey::from([1; 32])
}

impl PartSimulation {
    pub(crate) fn new(scenario: PartScenario, seed: u64) -> Self {
        let tracker = |_| CrashTracker::new(CrashTrackerSettings::default());
        let engine =
            |index| Engine { run: run_of(index, 0), running: Vec::new(), restart_at: None };
        Self {
            scenario,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gateways: (0..scenario.gateways).map(tracker).collect(),
            controls: (0..3).map(tracker).collect(),
            cursors: BTreeMap::new(),
            engines: (0..scenario.engines).map(engine).collect(),
            requests: Vec::new(),
            due: BTreeMap::new(),
            contents_created: 0,
            crashes_of: BTreeMap::new(),
            outcome: PartOutcome::default(),
        }
    }

    /// Simulates this many milliseconds and then lets the open requests finish.
    pub(crate) fn run(mut self, millis: u64) -> PartOutcome {
        while self.now < millis + 5_000 {
            if self.now < millis {
                self.generate_arrivals();
                self.inject_failures();
            }
            self.advance_engines();
            for request in self.due.remove(&self.now).unwrap_or_default() {
                self.send(request);
            }
            self.exchange_updates();
            self.now += STEP_MS;
        }
        self.outcome
    }

    fn content(&mut self) -> ContentFingerprint {
        self.contents_created += 1;
        content_of(self.contents_created)
    }

    fn generate_arrivals(&mut self) {
        // The load is 60 % of what the engines can run.
        let slots = self.scenario.engines * self.scenario.slots;
        let rate = slots as f64 * 0.6 / 0.675 * STEP_MS as f64 / 1_000.0;
        let count = rate as usize + usize::from(self.random.random_bool(rate.fract()));
        for _ in 0..count {
            let mut parts = self.sound_parts();
            let has_poison = self.now >= POISON_FROM_MS;
            if has_poison && self.random.random_bool(self.scenario.poison_share) {
                let poison = POISON_ID + self.random.random_range(0..self.scenario.poisons);
                parts[self.scenario.place] = if self.scenario.turns { TURNED_PART } else { poison };
            }
            let is_poison_content =
                has_poison && self.random.random_ratio(self.scenario.poison_contents, 1_000);
            let content = match is_poison_content {
                true => content_of(u64::MAX),
                false => self.content(),
            };
            if is_poison_content {
                // The same request again: its parts are those of its first arrival.
                parts = vec![1, 1_001, 2_001];
            }
            let is_turned = |part: &u64| self.scenario.turns && *part == TURNED_PART;
            let is_poison = |part: &u64| has_poison && (*part >= POISON_ID || is_turned(part));
            let request = Request {
                poison_part: parts.iter().copied().find(is_poison),
                content,
                parts,
                is_poison_content,
                arrived: self.now,
                attempts: 0,
                was_held: false,
            };
            self.outcome.sound += u64::from(request.is_sound());
            self.requests.push(request);
            self.due.entry(self.now).or_default().push(self.requests.len() - 1);
        }
    }

    /// Returns the parts of a sound request. Lower numbers are more frequent.
    fn sound_parts(&mut self) -> Vec<u64> {
        let choices = self.scenario.choices;
        let mut pick = |(place, count): (usize, u64)| {
            let skewed = self.random.random::<f64>().powf(1.3);
            place as u64 * 1_000 + (skewed * count as f64) as u64
        };
        choices.into_iter().enumerate().map(&mut pick).collect()
    }

    fn send(&mut self, index: usize) {
        let gateway = self.random.random_range(0..self.scenario.gateways);
        let request = &mut self.requests[index];
        let parts = fingerprints(&request.parts);
        let tracker = &self.gateways[gateway];
        let is_held = tracker.hold(&request.content, at(self.now)).is_some()
            || parts.iter().any(|part| tracker.part_hold(part, at(self.now)).is_some());
        if is_held {
            let is_first = !std::mem::replace(&mut request.was_held, true);
            self.outcome.false_holds += u64::from(is_first && request.is_sound());
            return;
        }
        let slots = self.scenario.slots;
        let up = (0..self.engines.len()).filter(|i| self.engines[*i].restart_at.is_none());
        let free: Vec<usize> = up.filter(|i| self.engines[*i].running.len() < slots).collect();
        if free.is_empty() {
            return;
        }
        let engine = free[self.random.random_range(0..free.len())];
        if let Some(part) = self.requests[index].poison_part {
            let fifth = self.crashes_of.get(&part).and_then(|(_, fifth)| *fifth);
            if fifth.is_some_and(|fifth| self.now > fifth + WINDOW_MS) {
                *self.outcome.late_sends.entry(part).or_default() += 1;
            }
        }
        let wait = self.random.random_range(FIRST_EVENT_MS.0..FIRST_EVENT_MS.1);
        let answer = self.random.random_range(ANSWER_MS.0..ANSWER_MS.1);
        self.engines[engine].running.push(Running {
            request: index,
            gateway,
            sent: self.now,
            first_event_at: self.now + wait,
            ends: self.now + wait + answer,
            is_begun: false,
        });
    }

    fn retry(&mut self, index: usize) {
        let request = &mut self.requests[index];
        request.attempts += 1;
        if request.attempts <= self.scenario.retries {
            self.due.entry(self.now + RETRY_MS).or_default().push(index);
        }
    }

    fn advance_engines(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].restart_at.is_some_and(|restart_at| restart_at <= self.now) {
                let run = run_of(index, self.now);
                self.engines[index] = Engine { run, running: Vec::new(), restart_at: None };
            }
            if self.begin_answers(index) {
                self.crash_engine(index);
            }
            let now = self.now;
            let run = self.engines[index].run.clone();
            let done: Vec<Running> =
                self.engines[index].running.extract_if(.., |r| r.ends <= now).collect();
            for Running { request, gateway, sent, .. } in done {
                let tracker = &mut self.gateways[gateway];
                tracker.record_alive(&run, at(sent));
                tracker.record_answer(self.requests[request].content, request as u64, at(now));
            }
        }
    }

    /// Begins the answers that are due, and returns whether one of them crashes the engine.
    fn begin_answers(&mut self, index: usize) -> bool {
        let now = self.now;
        let due: Vec<usize> = (0..self.engines[index].running.len())
            .filter(|at| {
                let running = &self.engines[index].running[*at];
                !running.is_begun && running.first_event_at <= now
            })
            .collect();
        for position in due {
            let (number, gateway) = {
                let running = &self.engines[index].running[position];
                (running.request, running.gateway)
            };
            let request = &self.requests[number];
            if !request.is_sound() {
                let crashes = self.random.random_bool(self.scenario.crash_share);
                if crashes {
                    if let Some(part) = request.poison_part {
                        let (count, fifth) = self.crashes_of.entry(part).or_default();
                        *count += 1;
                        if *count == 5 {
                            *fifth = Some(now);
                        }
                    }
                    return true;
                }
            }
            self.engines[index].running[position].is_begun = true;
            let parts = fingerprints(&self.requests[number].parts);
            self.gateways[gateway].record_parts_answered(&parts, number as u64, at(now));
            self.count_begun(number, true);
        }
        false
    }

    /// Counts the end of a sound request's first attempt, or the begin of its answer.
    fn count_begun(&mut self, number: usize, is_begun: bool) {
        let request = &self.requests[number];
        if !request.is_sound() || request.attempts > 0 {
            return;
        }
        let last_fifth = self.crashes_of.values().filter_map(|(_, fifth)| *fifth).max();
        let counts = match last_fifth {
            _ if request.arrived < POISON_FROM_MS => &mut self.outcome.begun_before,
            Some(fifth) if request.arrived > fifth + 2 * WINDOW_MS => &mut self.outcome.begun_after,
            _ => return,
        };
        counts.0 += 1;
        counts.1 += u64::from(is_begun);
    }

    fn crash_engine(&mut self, index: usize) {
        self.outcome.crashes += 1;
        let engine = &mut self.engines[index];
        engine.restart_at = Some(self.now + RESTART_MS);
        let run = engine.run.clone();
        for running in std::mem::take(&mut engine.running) {
            self.cut_off_send(running, &run);
        }
    }

    fn cut_off_send(&mut self, running: Running, run: &BackendRun) {
        let Running { request: number, gateway, sent, is_begun, .. } = running;
        let request = &self.requests[number];
        self.outcome.cut_off += u64::from(request.is_sound());
        let (content, parts) = (request.content, fingerprints(&request.parts));
        let now = at(self.now);
        let tracker = &mut self.gateways[gateway];
        match is_begun {
            true => {
                tracker.record_parts_answered(&parts, number as u64, now);
            }
            false => tracker.record_parts_cut_off(&parts, content, run, now),
        }
        tracker.record_cut_off(content, run.clone(), at(sent), now);
        if !is_begun {
            self.count_begun(number, false);
        }
        self.retry(number);
    }

    fn inject_failures(&mut self) {
        let engines = self.engines.len();
        if self.scenario.crashes_engines && self.now.is_multiple_of(1_000) {
            let index = self.random.random_range(0..engines.div_ceil(5));
            if self.engines[index].restart_at.is_none() {
                self.crash_engine(index);
            }
        }
        if self.scenario.loses_domain && [12_000, 24_000].contains(&self.now) {
            for index in 0..engines / 3 {
                if self.engines[index].restart_at.is_none() {
                    self.crash_engine(index);
                }
            }
        }
        if self.scenario.resets_connections && self.now.is_multiple_of(200) {
            let index = self.random.random_range(0..engines);
            let gateway = self.random.random_range(0..self.scenario.gateways);
            let run = self.engines[index].run.clone();
            let running = &mut self.engines[index].running;
            let reset: Vec<Running> = running.extract_if(.., |r| r.gateway == gateway).collect();
            reset.into_iter().for_each(|running| self.cut_off_send(running, &run));
        }
    }

    fn exchange_updates(&mut self) {
        for gateway in 0..self.gateways.len() {
            for control in 0..self.controls.len() {
                let phase = (gateway * 131 + control * 197) as u64 * STEP_MS;
                if !(self.now + phase).is_multiple_of(SYNC_INTERVAL_MS) {
                    continue;
                }
                let (sent, received) =
                    self.cursors.get(&(gateway, control)).copied().unwrap_or((0, 0));
                // Each direction takes up to 0.1 s, so the reported times are slightly late.
                let delay = self.random.random_range(0..100);
                let update =
                    self.gateways[gateway].updates_after(sent, UpdateScope::Own, at(self.now));
                let cursor = update.cursor;
                self.controls[control].merge(update, at(self.now + delay));
                let reply = self.controls[control].updates_after(
                    received,
                    UpdateScope::Suspects,
                    at(self.now),
                );
                let received = reply.cursor;
                self.gateways[gateway].merge(reply, at(self.now + delay));
                self.cursors.insert((gateway, control), (cursor, received));
            }
        }
    }
}

fn content_of(number: u64) -> ContentFingerprint {
    let body = number.to_le_bytes();
    key().fingerprint(&RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        credentials: b"",
        body: &body,
    })
}

fn fingerprints(parts: &[u64]) -> Vec<PartFingerprint> {
    parts.iter().map(|part| key().part_fingerprint("pool", *part)).collect()
}
