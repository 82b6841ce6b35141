//! When a backend server would give the first byte of an answer.
//!
//! The load pattern: several gateways send to the same backend servers, and each sees only its own
//! work at once; what the others send shows late and only in part, in the load that answers carry.
//! So the prediction has two parts: the work of this gateway that waits there, which is known, and
//! a base that is learned from how much later than that first bytes came. The base fades, since
//! what caused it may be over.

use {
    gullglade_units::MonotonicTime,
    std::{collections::HashMap, time::Duration},
};

use crate::TicketId;

/// The weight of the newest first byte in the base.
const BASE_WEIGHT: f64 = 0.3;

/// The base halves in this time without a first byte: other gateways' work in an engine is done
/// within about a second.
const BASE_HALF_LIFE: Duration = Duration::from_millis(700);

/// A first guess at how fast prompts are read, tokens a millisecond, until answers teach it.
const FIRST_READ_RATE: f64 = 60.0;

/// The bounds between which the reading rate is learned, tokens a millisecond. Wider than any
/// engine in use; they keep one odd answer from making a rate of nothing.
const READ_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// A report is believed for this long.
const REPORT_AGE: Duration = Duration::from_secs(2);

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
    has_begun: bool,
    /// The milliseconds of this gateway's own work that were ahead when it was sent.
    ahead_ms: f64,
}

/// The load of one backend server as one gateway sees it.
#[derive(Debug)]
pub struct BackendLoad {
    sent: HashMap<TicketId, SentWork>,
    base_ms: f64,
    base_at: MonotonicTime,
    read_rate: f64,
    report: Option<(BackendReport, MonotonicTime)>,
    sent_since: u32,
    ended_since: u32,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            base_ms: 0.0,
            base_at: MonotonicTime::default(),
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
    pub fn first_byte_ms(&self, tokens: u32, now: MonotonicTime) -> f64 {
        self.base(now) + self.ahead_ms(now) + self.read_ms(tokens)
    }

    /// Notes a send.
    pub fn send(&mut self, ticket: TicketId, tokens: u32, now: MonotonicTime) {
        let ahead_ms = self.ahead_ms(now);
        self.sent.insert(ticket, SentWork { tokens, sent: now, has_begun: false, ahead_ms });
        self.sent_since += 1;
    }

    /// Notes a first byte, and learns from when it came.
    pub fn begin(&mut self, ticket: TicketId, now: MonotonicTime) {
        let base = self.base(now);
        let Some(work) = self.sent.get_mut(&ticket) else { return };
        if work.has_begun {
            return;
        }
        work.has_begun = true;
        let work = *work;
        let took = now.since(work.sent).as_secs_f64() * 1_000.0;
        let known = work.ahead_ms + self.read_ms(work.tokens);
        let beyond = (took - known).max(0.0);
        self.base_ms = base + BASE_WEIGHT * (beyond - base);
        self.base_at = now;
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
        self.report = Some((report, now));
        self.sent_since = 0;
        self.ended_since = 0;
    }

    /// The load stated last, while it is believed.
    pub fn report(&self, now: MonotonicTime) -> Option<BackendReport> {
        self.report.filter(|(_, at)| now.since(*at) < REPORT_AGE).map(|(report, _)| report)
    }

    fn base(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.base_at).as_secs_f64() / BASE_HALF_LIFE.as_secs_f64();
        self.base_ms * 0.5_f64.powf(age)
    }

    /// Reading that this gateway's own requests still have ahead there. What was sent a while ago
    /// has been read in part.
    fn ahead_ms(&self, now: MonotonicTime) -> f64 {
        let waiting = self.sent.values().filter(|w| !w.has_begun);
        let mut tokens = 0;
        let mut oldest = now;
        for work in waiting {
            tokens += work.tokens;
            oldest = oldest.min(work.sent);
        }
        let passed = now.since(oldest).as_secs_f64() * 1_000.0;
        (self.read_ms(tokens) - passed).max(0.0)
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
