//! When a backend server would give the first byte of an answer.
//!
//! The load pattern: several gateways send prompts of very different length to the same engines.
//! An engine reads them one after the other, the more urgent first, so what counts is the reading
//! that is ahead. Each engine has a virtual clock for it: the time at which it will have read all
//! that was sent to it, own sends and those that other gateways told of. What the clock does not
//! know, such as generation that slows reading down, shows in first bytes that come later than
//! predicted; from those a base is learned, which fades, since what caused it may be over.

use {
    crate::TicketId,
    gullglade_units::MonotonicTime,
    std::{collections::HashMap, time::Duration},
};

/// The weight of the newest first byte in the base.
const BASE_WEIGHT: f64 = 0.3;

/// The base halves in this time without a first byte: other gateways' work in an engine is done
/// within about a second.
const BASE_HALF_LIFE: Duration = Duration::from_millis(700);

/// The most that the base can be, milliseconds. One answer that hung must not keep an engine from
/// being used for long.
const MOST_BASE_MS: f64 = 1_500.0;

/// A first guess at how fast prompts are read, tokens a millisecond, until answers teach it.
const FIRST_READ_RATE: f64 = 60.0;

/// The bounds between which the reading rate is learned, tokens a millisecond. Wider than any
/// engine in use; they keep one odd answer from making a rate of nothing.
const READ_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// A report is believed for this long.
const REPORT_AGE: Duration = Duration::from_secs(2);

/// Priorities that are told apart; those beyond count as the last.
const PRIORITIES: usize = 4;

/// A backend server from which something came this lately is at work, and what it has not yet
/// answered waits its turn there.
const PROGRESS_AGE: Duration = Duration::from_millis(700);

/// The load that a backend server stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentWork {
    /// Prompt tokens that it has to read, by estimate.
    tokens: u32,
    sent: MonotonicTime,
    priority: u8,
    has_begun: bool,
    /// The reading that was ahead of it when it was sent, milliseconds.
    ahead_ms: f64,
}

/// The load of one backend server as one gateway sees it.
#[derive(Debug)]
pub struct BackendLoad {
    sent: HashMap<TicketId, SentWork>,
    /// By priority: when all reading that goes before a request of it will be done.
    read_until: [MonotonicTime; PRIORITIES],
    /// When something last came from it.
    heard: MonotonicTime,
    /// By priority: how much later than the clock says first bytes come, and when that was seen.
    bases: [(f64, MonotonicTime); PRIORITIES],
    read_rate: f64,
    report: Option<(BackendReport, MonotonicTime)>,
    sent_since: u32,
    ended_since: u32,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            read_until: [MonotonicTime::default(); PRIORITIES],
            heard: MonotonicTime::default(),
            bases: [(0.0, MonotonicTime::default()); PRIORITIES],
            read_rate: FIRST_READ_RATE,
            report: None,
            sent_since: 0,
            ended_since: 0,
        }
    }
}

impl BackendLoad {
    /// Requests of this gateway that are there.
    pub fn own(&self) -> usize {
        self.sent.len()
    }

    /// Requests that are there, of all gateways, by estimate.
    pub fn total(&self, now: MonotonicTime) -> u32 {
        let own = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let stated = match self.report {
            Some((report, at)) if now.since(at) < REPORT_AGE => {
                let stated = report.running + report.waiting + self.sent_since;
                stated.saturating_sub(self.ended_since)
            }
            _ => 0,
        };
        own.max(stated)
    }

    /// Milliseconds until the first byte, were a request with `tokens` to read sent now.
    pub fn first_byte_ms(&self, tokens: u32, priority: u8, now: MonotonicTime) -> f64 {
        self.base(priority, now) + self.ahead_ms(priority, now) + self.read_ms(tokens)
    }

    /// Milliseconds of reading that goes before a request of this priority.
    pub fn ahead_ms(&self, priority: u8, now: MonotonicTime) -> f64 {
        millis(self.read_until[rank(priority)].since(now))
    }

    /// Notes a send of this gateway.
    pub fn send(&mut self, ticket: TicketId, tokens: u32, priority: u8, now: MonotonicTime) {
        let ahead_ms = self.ahead_ms(priority, now);
        self.sent
            .insert(ticket, SentWork { tokens, sent: now, priority, has_begun: false, ahead_ms });
        self.sent_since += 1;
        self.add_reading(self.read_ms(tokens), priority, now);
    }

    /// Notes a send of another gateway.
    pub fn note_other(&mut self, tokens: u32, priority: u8, now: MonotonicTime) {
        self.add_reading(self.read_ms(tokens), priority, now);
    }

    /// Whether something came from it lately.
    pub fn is_at_work(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) < PROGRESS_AGE
    }

    /// Reading of one priority delays every one that is not more urgent.
    fn add_reading(&mut self, read_ms: f64, priority: u8, now: MonotonicTime) {
        let reading = Duration::from_secs_f64(read_ms / 1_000.0);
        for until in &mut self.read_until[rank(priority)..] {
            *until = (*until).max(now) + reading;
        }
    }

    /// Notes a first byte, and learns from when it came.
    pub fn begin(&mut self, ticket: TicketId, now: MonotonicTime) {
        self.heard = now;
        let Some(work) = self.sent.get_mut(&ticket) else { return };
        if std::mem::replace(&mut work.has_begun, true) {
            return;
        }
        let work = *work;
        let base = self.base(work.priority, now);
        let took = millis(now.since(work.sent));
        let known = work.ahead_ms + self.read_ms(work.tokens);
        let beyond = (took - known).clamp(0.0, MOST_BASE_MS);
        self.bases[rank(work.priority)] = (base + BASE_WEIGHT * (beyond - base), now);
        self.learn_rate(&work, took, base);
    }

    /// Notes the end of a send.
    pub fn end(&mut self, ticket: TicketId) {
        if self.sent.remove(&ticket).is_some() {
            self.ended_since += 1;
        }
    }

    /// Notes the load that the backend server stated.
    pub fn note_report(&mut self, report: BackendReport, now: MonotonicTime) {
        self.heard = now;
        self.report = Some((report, now));
        self.sent_since = 0;
        self.ended_since = 0;
    }

    /// The load stated last, while it is believed.
    pub fn report(&self, now: MonotonicTime) -> Option<BackendReport> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_AGE).map(|(report, _)| report)
    }

    /// Kept apart by priority: less urgent work that waits long behind more urgent says nothing of
    /// how long the more urgent waits.
    fn base(&self, priority: u8, now: MonotonicTime) -> f64 {
        let (base_ms, at) = self.bases[rank(priority)];
        let age = now.since(at).as_secs_f64() / BASE_HALF_LIFE.as_secs_f64();
        base_ms * 0.5_f64.powf(age)
    }

    fn read_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.read_rate
    }

    /// A long prompt with nothing ahead tells how fast prompts are read.
    fn learn_rate(&mut self, work: &SentWork, took: f64, base: f64) {
        const TELLING_TOKENS: u32 = 3_000;
        if work.tokens < TELLING_TOKENS || work.ahead_ms > 0.0 || base > 20.0 {
            return;
        }
        let rate = f64::from(work.tokens) / took.max(1.0);
        let (least, most) = READ_RATE_BOUNDS;
        self.read_rate = (self.read_rate + 0.1 * (rate - self.read_rate)).clamp(least, most);
    }
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
