//! Simulation of engines, gateways and control processes in virtual time.

use {
    gullglade_poison::{
        ContentFingerprint, CrashTracker, CrashTrackerSettings, FingerprintKey, RequestContent,
        UpdateScope,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Length of a simulation step.
const STEP_MS: u64 = 10;

/// Interval of a gateway's calls to each control process; the phase differs for each pair.
const SYNC_INTERVAL_MS: u64 = 600;

/// Restart time of an engine.
const RESTART_MS: u64 = 4_000;

/// Minimum and maximum time from the start of a cause to the crash of its engine.
const CRASH_DELAY_MS: (u64, u64) = (50, 150);

/// Time after which connected gateways know of the third crash.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Delay before a caller retries a failed request, and the maximum number of retries.
const RETRY_MS: u64 = 200;
const MAX_RETRIES: u32 = 8;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Concurrent requests per engine.
    pub(crate) slots: usize,
    /// One request in this many is a cause; 0 for none.
    pub(crate) one_in: u32,
    /// One engine in five also crashes by itself, every few seconds.
    pub(crate) crashes_engines: bool,
    /// A third of the engines crashes at once, twice.
    pub(crate) loses_domain: bool,
    /// Connections between a gateway and an engine are reset while both keep running.
    pub(crate) resets_connections: bool,
    /// One gateway and one control process are paused for a while.
    pub(crate) pauses_processes: bool,
    /// Whether gateways hold requests; false measures the effect of not doing so.
    pub(crate) holds: bool,
}

pub(crate) const BASELINE: Scenario = Scenario {
    name: "an occasional cause",
    gateways: 9,
    engines: 12,
    slots: 12,
    one_in: 5_000,
    crashes_engines: false,
    loses_domain: false,
    resets_connections: false,
    pauses_processes: false,
    holds: true,
};

/// Result of a simulation.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Unrelated requests of callers, each counted once regardless of retries.
    pub(crate) unrelated: u64,
    /// Unrelated requests that were held at least once.
    pub(crate) false_holds: u64,
    /// Number of times that an unrelated request was cut off.
    pub(crate) cut_off: u64,
    /// Unrelated requests that were never answered despite their retries.
    pub(crate) unserved: u64,
    /// For each cause: the number of sends later than the window after the third crash.
    pub(crate) late_sends: Vec<usize>,
    pub(crate) crashed_runs: u64,
}

struct Running {
    request: usize,
    gateway: usize,
    sent: u64,
    ends: u64,
    is_cause: bool,
}

struct Engine {
    run: BackendRun,
    running: Vec<Running>,
    restart_at: Option<u64>,
    crash_at: Option<u64>,
}

struct Request {
    fingerprint: ContentFingerprint,
    is_cause: bool,
    attempts: u32,
    was_held: bool,
    is_answered: bool,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    now: u64,
    gateways: Vec<CrashTracker>,
    controls: Vec<CrashTracker>,
    cursors: BTreeMap<(usize, usize), (u64, u64)>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    due: BTreeMap<u64, Vec<usize>>,
    causes: Vec<usize>,
    crashes_of: BTreeMap<ContentFingerprint, Vec<u64>>,
    sends_of: BTreeMap<ContentFingerprint, Vec<u64>>,
    fingerprints_created: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn run_of(engine: usize, started: u64) -> BackendRun {
    let backend = BackendName::try_from(format!("engine-{engine}")).expect("a name");
    BackendRun { backend, incarnation: Incarnation(started) }
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let tracker = |_| CrashTracker::new(CrashTrackerSettings::default());
        let engine = |index| Engine {
            run: run_of(index, 0),
            running: Vec::new(),
            restart_at: None,
            crash_at: None,
        };
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
            causes: Vec::new(),
            crashes_of: BTreeMap::new(),
            sends_of: BTreeMap::new(),
            fingerprints_created: 0,
            outcome: Outcome::default(),
        }
    }

    /// Simulates this many milliseconds and then lets the open requests finish.
    pub(crate) fn run(mut self, millis: u64) -> Outcome {
        while self.now < millis + 20_000 {
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
        self.finish()
    }

    fn fingerprint(&mut self) -> ContentFingerprint {
        self.fingerprints_created += 1;
        let body = self.fingerprints_created.to_le_bytes();
        let view = RequestContent {
            method: "POST",
            host: "h",
            target: "/",
            credentials: b"",
            body: &body,
        };
        FingerprintKey::from([1; 32]).fingerprint(&view)
    }

    fn generate_arrivals(&mut self) {
        // The load is 60 % of what the engines can run, with requests of half a second.
        let slots = self.scenario.engines * self.scenario.slots;
        let rate = slots as f64 * 0.6 / 0.5 * STEP_MS as f64 / 1_000.0;
        let count = rate as usize + usize::from(self.random.random_bool(rate.fract()));
        for _ in 0..count {
            let one_in = self.scenario.one_in;
            let is_cause = one_in > 0 && self.random.random_ratio(1, one_in);
            let request = match is_cause {
                true => self.pick_cause(),
                false => {
                    self.outcome.unrelated += 1;
                    self.new_request(false)
                }
            };
            self.due.entry(self.now).or_default().push(request);
        }
    }

    /// Returns a request of one of a few callers whose requests crash engines; each is sent
    /// repeatedly.
    fn pick_cause(&mut self) -> usize {
        if self.causes.len() < 3 || self.random.random_ratio(1, 30) {
            let request = self.new_request(true);
            self.causes.push(request);
            return request;
        }
        let from = self.causes.len() - 3;
        self.causes[self.random.random_range(from..self.causes.len())]
    }

    fn new_request(&mut self, is_cause: bool) -> usize {
        let fingerprint = self.fingerprint();
        self.requests.push(Request {
            fingerprint,
            is_cause,
            attempts: 0,
            was_held: false,
            is_answered: false,
        });
        self.requests.len() - 1
    }

    fn send(&mut self, request: usize) {
        let gateway = self.random.random_range(0..self.scenario.gateways);
        let (fingerprint, is_cause) =
            (self.requests[request].fingerprint, self.requests[request].is_cause);
        let is_held = self.gateways[gateway].hold(&fingerprint, at(self.now)).is_some();
        if self.scenario.holds && is_held {
            if !is_cause && !self.requests[request].was_held {
                self.requests[request].was_held = true;
                self.outcome.false_holds += 1;
            }
            return self.retry(request);
        }
        let slots = self.scenario.slots;
        let up = (0..self.engines.len()).filter(|i| self.engines[*i].restart_at.is_none());
        let free: Vec<usize> = up.filter(|i| self.engines[*i].running.len() < slots).collect();
        if free.is_empty() {
            // All engines are full: the request is refused without running, which is no evidence.
            return self.due.entry(self.now + RETRY_MS).or_default().push(request);
        }
        let engine = free[self.random.random_range(0..free.len())];
        let duration_ms = self.random.random_range(20..100) * STEP_MS;
        let (sent, ends) = (self.now, self.now + duration_ms);
        if is_cause {
            self.sends_of.entry(fingerprint).or_default().push(self.now);
            let crash_at = self.now + self.random.random_range(CRASH_DELAY_MS.0..CRASH_DELAY_MS.1);
            let known = self.engines[engine].crash_at;
            self.engines[engine].crash_at =
                Some(known.map_or(crash_at, |known| known.min(crash_at)));
        }
        self.engines[engine].running.push(Running { request, gateway, sent, ends, is_cause });
    }

    fn retry(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.attempts += 1;
        if !state.is_cause && state.attempts <= MAX_RETRIES {
            self.due.entry(self.now + RETRY_MS).or_default().push(request);
        }
    }

    fn advance_engines(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].restart_at.is_some_and(|restart_at| restart_at <= self.now) {
                let run = run_of(index, self.now);
                self.engines[index] =
                    Engine { run, running: Vec::new(), restart_at: None, crash_at: None };
            }
            if self.engines[index].crash_at.is_some_and(|crash_at| crash_at <= self.now) {
                self.crash_engine(index);
            }
            let run = self.engines[index].run.clone();
            let (now, running) = (self.now, &mut self.engines[index].running);
            let answered: Vec<Running> = running.extract_if(.., |r| r.ends <= now).collect();
            for done in answered {
                self.requests[done.request].is_answered = true;
                let fingerprint = self.requests[done.request].fingerprint;
                let tracker = &mut self.gateways[done.gateway];
                tracker.record_alive(&run, at(done.sent));
                tracker.record_answer(fingerprint, done.request as u64, at(now));
            }
        }
    }

    fn crash_engine(&mut self, index: usize) {
        self.outcome.crashed_runs += 1;
        let engine = &mut self.engines[index];
        (engine.restart_at, engine.crash_at) = (Some(self.now + RESTART_MS), None);
        let run = engine.run.clone();
        for interrupted in std::mem::take(&mut engine.running) {
            self.cut_off_send(interrupted, &run, true);
        }
    }

    fn cut_off_send(&mut self, interrupted: Running, run: &BackendRun, is_crash: bool) {
        let fingerprint = self.requests[interrupted.request].fingerprint;
        self.outcome.cut_off += u64::from(!interrupted.is_cause);
        if interrupted.is_cause && is_crash {
            self.crashes_of.entry(fingerprint).or_default().push(self.now);
        }
        self.gateways[interrupted.gateway].record_cut_off(
            fingerprint,
            run.clone(),
            at(interrupted.sent),
            at(self.now),
        );
        self.retry(interrupted.request);
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
            reset.into_iter().for_each(|interrupted| self.cut_off_send(interrupted, &run, false));
        }
    }

    /// Exchanges updates between every gateway and control process, at a separate phase for each
    /// pair.
    fn exchange_updates(&mut self) {
        let is_paused = self.scenario.pauses_processes && (10_000..14_000).contains(&self.now);
        for gateway in 0..self.gateways.len() {
            for control in 0..self.controls.len() {
                let phase = (gateway * 131 + control * 197) as u64 * STEP_MS;
                let is_skipped = is_paused && (gateway == 0 || control == 0);
                if !(self.now + phase).is_multiple_of(SYNC_INTERVAL_MS) || is_skipped {
                    continue;
                }
                let (sent_cursor, received_cursor) =
                    self.cursors.get(&(gateway, control)).copied().unwrap_or((0, 0));
                // Each direction takes up to 0.1 s, so the reported times are slightly late.
                let delay = self.random.random_range(0..100);
                let update = self.gateways[gateway].updates_after(
                    sent_cursor,
                    UpdateScope::Own,
                    at(self.now),
                );
                let cursor = update.cursor;
                self.controls[control].merge(update, at(self.now + delay));
                let reply = self.controls[control].updates_after(
                    received_cursor,
                    UpdateScope::Suspects,
                    at(self.now),
                );
                let received_cursor = reply.cursor;
                self.gateways[gateway].merge(reply, at(self.now + delay));
                self.cursors.insert((gateway, control), (cursor, received_cursor));
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let open = self.requests.iter().filter(|r| !r.is_cause && !r.is_answered);
        self.outcome.unserved = open.count() as u64;
        let causes: BTreeSet<usize> = self.causes.iter().copied().collect();
        for pick_cause in causes {
            let fingerprint = self.requests[pick_cause].fingerprint;
            let Some(third) = self.crashes_of.get(&fingerprint).and_then(|ends| ends.get(2)) else {
                continue;
            };
            let sends = self.sends_of.get(&fingerprint).into_iter().flatten();
            let late = sends.filter(|sent| **sent > third + WINDOW_MS).count();
            self.outcome.late_sends.push(late);
        }
        self.outcome
    }
}
