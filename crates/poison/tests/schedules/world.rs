//! Engines, gateways and control processes in virtual time, ten milliseconds a step.

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

/// One step.
const STEP_MS: u64 = 10;

/// A gateway calls each control process once in this time, in steps of its own.
const CALL_MS: u64 = 600;

/// An engine is back this long after its end.
const BACK_MS: u64 = 4_000;

/// A cause ends its engine this long after it began to run, at least and at most.
const CRASH_MS: (u64, u64) = (50, 150);

/// Gateways in touch know of the third end after this.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// A caller whose request failed sends it again after this, so often at most.
const RETRY_MS: u64 = 200;
const RETRIES: u32 = 8;

/// What happens in a schedule.
#[derive(Clone, Copy)]
pub(crate) struct Schedule {
    pub(crate) what: &'static str,
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// The requests that an engine runs at once.
    pub(crate) slots: usize,
    /// One request in so many is of a cause; 0 for none.
    pub(crate) one_in: u32,
    /// One engine in five also ends by itself, every few seconds.
    pub(crate) ends_by_itself: bool,
    /// A third of the engines ends at once, twice.
    pub(crate) loses_domain: bool,
    /// Connections between a gateway and an engine are reset while both live on.
    pub(crate) resets_links: bool,
    /// One gateway stands still for a while, and one control process with it.
    pub(crate) freezes: bool,
    /// Whether gateways hold anything back, as they do; not, to see what it is worth.
    pub(crate) holds: bool,
}

pub(crate) const CALM: Schedule = Schedule {
    what: "a cause now and then",
    gateways: 9,
    engines: 12,
    slots: 12,
    one_in: 5_000,
    ends_by_itself: false,
    loses_domain: false,
    resets_links: false,
    freezes: false,
    holds: true,
};

/// What came of a schedule.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Requests of callers, each counted once however often it is sent.
    pub(crate) innocents: u64,
    /// Those of them that were turned away once or more.
    pub(crate) wronged: u64,
    /// How often one of them was cut off.
    pub(crate) cut_off: u64,
    /// Those of them that were never answered, though they were sent again and again.
    pub(crate) unserved: u64,
    /// Of each cause: sends later than the window after the third end.
    pub(crate) late_sends: Vec<usize>,
    pub(crate) ended_runs: u64,
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
    back: Option<u64>,
    crash: Option<u64>,
}

struct Request {
    fingerprint: ContentFingerprint,
    is_cause: bool,
    tries: u32,
    was_turned_away: bool,
    is_over: bool,
}

pub(crate) struct World {
    schedule: Schedule,
    random: ChaCha8Rng,
    now: u64,
    gateways: Vec<CrashTracker>,
    controls: Vec<CrashTracker>,
    cursors: BTreeMap<(usize, usize), (u64, u64)>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    due: BTreeMap<u64, Vec<usize>>,
    causes: Vec<usize>,
    ends_of: BTreeMap<ContentFingerprint, Vec<u64>>,
    sends_of: BTreeMap<ContentFingerprint, Vec<u64>>,
    started: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn run_of(engine: usize, started: u64) -> BackendRun {
    let backend = BackendName::try_from(format!("engine-{engine}")).expect("a name");
    BackendRun { backend, incarnation: Incarnation(started) }
}

impl World {
    pub(crate) fn new(schedule: Schedule, seed: u64) -> Self {
        let account = |_| CrashTracker::new(CrashTrackerSettings::default());
        let engine =
            |index| Engine { run: run_of(index, 0), running: Vec::new(), back: None, crash: None };
        Self {
            schedule,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gateways: (0..schedule.gateways).map(account).collect(),
            controls: (0..3).map(account).collect(),
            cursors: BTreeMap::new(),
            engines: (0..schedule.engines).map(engine).collect(),
            requests: Vec::new(),
            due: BTreeMap::new(),
            causes: Vec::new(),
            ends_of: BTreeMap::new(),
            sends_of: BTreeMap::new(),
            started: 0,
            outcome: Outcome::default(),
        }
    }

    /// Plays the schedule for so long, and then lets what is open come to its end.
    pub(crate) fn play(mut self, millis: u64) -> Outcome {
        while self.now < millis + 20_000 {
            if self.now < millis {
                self.arrive();
                self.disturb();
            }
            self.finish_runs();
            for request in self.due.remove(&self.now).unwrap_or_default() {
                self.send(request);
            }
            self.tell();
            self.now += STEP_MS;
        }
        self.sum_up()
    }

    fn fingerprint(&mut self) -> ContentFingerprint {
        self.started += 1;
        let body = self.started.to_le_bytes();
        let view = RequestContent {
            method: "POST",
            host: "h",
            target: "/",
            credentials: b"",
            body: &body,
        };
        FingerprintKey::from([1; 32]).fingerprint(&view)
    }

    fn arrive(&mut self) {
        // Three fifths of what the engines can run at once, half a second each.
        let slots = self.schedule.engines * self.schedule.slots;
        let rate = slots as f64 * 0.6 / 0.5 * STEP_MS as f64 / 1_000.0;
        let count = rate as usize + usize::from(self.random.random_bool(rate.fract()));
        for _ in 0..count {
            let one_in = self.schedule.one_in;
            let is_cause = one_in > 0 && self.random.random_ratio(1, one_in);
            let request = match is_cause {
                true => self.cause(),
                false => {
                    self.outcome.innocents += 1;
                    self.new_request(false)
                }
            };
            self.due.entry(self.now).or_default().push(request);
        }
    }

    /// One of a few callers whose request ends engines; each sends it again and again.
    fn cause(&mut self) -> usize {
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
            tries: 0,
            was_turned_away: false,
            is_over: false,
        });
        self.requests.len() - 1
    }

    fn send(&mut self, request: usize) {
        let gateway = self.random.random_range(0..self.schedule.gateways);
        let (fingerprint, is_cause) =
            (self.requests[request].fingerprint, self.requests[request].is_cause);
        let is_held = self.gateways[gateway].hold(&fingerprint, at(self.now)).is_some();
        if self.schedule.holds && is_held {
            if !is_cause && !self.requests[request].was_turned_away {
                self.requests[request].was_turned_away = true;
                self.outcome.wronged += 1;
            }
            return self.send_again(request);
        }
        let slots = self.schedule.slots;
        let up = (0..self.engines.len()).filter(|i| self.engines[*i].back.is_none());
        let free: Vec<usize> = up.filter(|i| self.engines[*i].running.len() < slots).collect();
        if free.is_empty() {
            // Full: turned away unrun, which says nothing.
            return self.due.entry(self.now + RETRY_MS).or_default().push(request);
        }
        let engine = free[self.random.random_range(0..free.len())];
        let lasts = self.random.random_range(20..100) * STEP_MS;
        let (sent, ends) = (self.now, self.now + lasts);
        if is_cause {
            self.sends_of.entry(fingerprint).or_default().push(self.now);
            let crash = self.now + self.random.random_range(CRASH_MS.0..CRASH_MS.1);
            let known = self.engines[engine].crash;
            self.engines[engine].crash = Some(known.map_or(crash, |known| known.min(crash)));
        }
        self.engines[engine].running.push(Running { request, gateway, sent, ends, is_cause });
    }

    fn send_again(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.tries += 1;
        if !state.is_cause && state.tries <= RETRIES {
            self.due.entry(self.now + RETRY_MS).or_default().push(request);
        }
    }

    fn finish_runs(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].back.is_some_and(|back| back <= self.now) {
                let run = run_of(index, self.now);
                self.engines[index] = Engine { run, running: Vec::new(), back: None, crash: None };
            }
            if self.engines[index].crash.is_some_and(|crash| crash <= self.now) {
                self.end_engine(index);
            }
            let run = self.engines[index].run.clone();
            let (now, running) = (self.now, &mut self.engines[index].running);
            let answered: Vec<Running> = running.extract_if(.., |r| r.ends <= now).collect();
            for done in answered {
                self.requests[done.request].is_over = true;
                let fingerprint = self.requests[done.request].fingerprint;
                let account = &mut self.gateways[done.gateway];
                account.note_alive(&run, at(done.sent));
                account.note_answer(fingerprint, done.request as u64, at(now));
            }
        }
    }

    fn end_engine(&mut self, index: usize) {
        self.outcome.ended_runs += 1;
        let engine = &mut self.engines[index];
        (engine.back, engine.crash) = (Some(self.now + BACK_MS), None);
        let run = engine.run.clone();
        for lost in std::mem::take(&mut engine.running) {
            self.lose(lost, &run, true);
        }
    }

    fn lose(&mut self, lost: Running, run: &BackendRun, is_end: bool) {
        let fingerprint = self.requests[lost.request].fingerprint;
        self.outcome.cut_off += u64::from(!lost.is_cause);
        if lost.is_cause && is_end {
            self.ends_of.entry(fingerprint).or_default().push(self.now);
        }
        self.gateways[lost.gateway].note_cut_off(
            fingerprint,
            run.clone(),
            at(lost.sent),
            at(self.now),
        );
        self.send_again(lost.request);
    }

    fn disturb(&mut self) {
        let engines = self.engines.len();
        if self.schedule.ends_by_itself && self.now.is_multiple_of(1_000) {
            let index = self.random.random_range(0..engines.div_ceil(5));
            if self.engines[index].back.is_none() {
                self.end_engine(index);
            }
        }
        if self.schedule.loses_domain && [12_000, 24_000].contains(&self.now) {
            for index in 0..engines / 3 {
                if self.engines[index].back.is_none() {
                    self.end_engine(index);
                }
            }
        }
        if self.schedule.resets_links && self.now.is_multiple_of(200) {
            let index = self.random.random_range(0..engines);
            let gateway = self.random.random_range(0..self.schedule.gateways);
            let run = self.engines[index].run.clone();
            let running = &mut self.engines[index].running;
            let reset: Vec<Running> = running.extract_if(.., |r| r.gateway == gateway).collect();
            reset.into_iter().for_each(|lost| self.lose(lost, &run, false));
        }
    }

    /// Every gateway tells every control process and is told, at a time of its own.
    fn tell(&mut self) {
        let stands_still = self.schedule.freezes && (10_000..14_000).contains(&self.now);
        for gateway in 0..self.gateways.len() {
            for control in 0..self.controls.len() {
                let phase = (gateway * 131 + control * 197) as u64 * STEP_MS;
                let is_frozen = stands_still && (gateway == 0 || control == 0);
                if !(self.now + phase).is_multiple_of(CALL_MS) || is_frozen {
                    continue;
                }
                let (told, heard) =
                    self.cursors.get(&(gateway, control)).copied().unwrap_or((0, 0));
                // Each way takes up to a tenth of a second, which makes what is told a little older.
                let delay = self.random.random_range(0..100);
                let news =
                    self.gateways[gateway].updates_after(told, UpdateScope::Own, at(self.now));
                let cursor = news.cursor;
                self.controls[control].merge(news, at(self.now + delay));
                let reply = self.controls[control].updates_after(
                    heard,
                    UpdateScope::Suspects,
                    at(self.now),
                );
                let heard = reply.cursor;
                self.gateways[gateway].merge(reply, at(self.now + delay));
                self.cursors.insert((gateway, control), (cursor, heard));
            }
        }
    }

    fn sum_up(mut self) -> Outcome {
        let open = self.requests.iter().filter(|r| !r.is_cause && !r.is_over);
        self.outcome.unserved = open.count() as u64;
        let causes: BTreeSet<usize> = self.causes.iter().copied().collect();
        for cause in causes {
            let fingerprint = self.requests[cause].fingerprint;
            let Some(third) = self.ends_of.get(&fingerprint).and_then(|ends| ends.get(2)) else {
                continue;
            };
            let sends = self.sends_of.get(&fingerprint).into_iter().flatten();
            let late = sends.filter(|sent| **sent > third + WINDOW_MS).count();
            self.outcome.late_sends.push(late);
        }
        self.outcome
    }
}
