//! When a backend server would give the first byte of an answer.
//!
//! The load pattern: several gateways send prompts of very different length to the same engines.
//! An engine reads them one after the other, the more urgent first, so what counts is the reading
//! that is ahead ([`UnreadQueue`]), own sends and those that other gateways told of. What that does
//! not know shows in first bytes that come later than predicted; from those a base is learned,
//! which fades, since what caused it may be over.

use {
    crate::{
        TicketId,
        fade::{FadeRule, FadingAverage, faded},
        unread::{FirstByte, UnreadPrompt, UnreadQueue},
    },
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// How the base follows first bytes: other gateways' work in an engine is done within about a second.
const BASE_RULE: FadeRule = FadeRule { weight: 0.3, half_life: Duration::from_millis(700) };

/// The most that the base can be, milliseconds. One answer that hung must not keep an engine from
/// being used for long.
const MOST_BASE_MS: f64 = 1_500.0;

/// A first guess at how fast prompts are read, tokens a millisecond, until answers teach it.
const FIRST_READ_RATE: f64 = 60.0;

/// The bounds between which the reading rate is learned, tokens a millisecond. Wider than any
/// engine in use; they keep one odd answer from making a rate of nothing.
const READ_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// Of the load that a backend server stated, the part that is not this gateway's halves in this
/// time. What was full a moment ago works itself free, and nobody tells a gateway that sends
/// nothing there any more: without this, plain services of six places stood idle for seconds
/// while requests waited for them.
const STATED_HALF_LIFE: Duration = Duration::from_millis(200);

/// A first guess at how long a request without a prompt takes, milliseconds.
const FIRST_WORK_MS: f64 = 20.0;

/// The weight of the newest answer in that time.
const WORK_WEIGHT: f64 = 0.05;

/// Priorities that are told apart; those beyond count as the last.
pub(crate) const PRIORITIES: usize = 4;

/// A backend server from which something came this lately is at work, and what it has not yet
/// answered waits its turn there.
pub(crate) const PROGRESS_AGE: Duration = Duration::from_millis(700);

/// An engine stands still where first bytes are overdue by this and nothing was heard from it for
/// as long. Reading the longest prompts takes longer, but that is expected, and more urgent ones
/// are answered meanwhile.
const STALL_AGE: Duration = Duration::from_millis(500);

/// The load that a backend server stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What a request takes of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkCost {
    /// Prompt tokens that it has to read, by estimate; `None` for a request without a prompt.
    pub tokens: Option<u32>,
    /// The requests that the backend server runs at once.
    pub slots: u32,
}

/// One request at a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// Its number among those of all gateways.
    pub request: u64,
    /// What it takes.
    pub cost: WorkCost,
    /// Its priority, 0 the most urgent.
    pub priority: u8,
    /// When it was sent.
    pub sent: MonotonicTime,
}

/// What a load remembers of an own request.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    sent: SentRequest,
    has_begun: bool,
    /// The work that was ahead of it when it was sent, milliseconds.
    ahead_ms: f64,
}

/// The load of one backend server as one gateway sees it.
#[derive(Debug)]
pub struct BackendLoad {
    sent: HashMap<TicketId, SentWork>,
    /// The prompts of all gateways that it has not begun to answer.
    unread: UnreadQueue,
    /// By priority: when all plain work that goes before a request of it will be done.
    busy_until: [MonotonicTime; PRIORITIES],
    /// When something last came from it, to any gateway.
    heard: MonotonicTime,
    /// By priority: how much later than predicted first bytes come, milliseconds.
    bases: [FadingAverage; PRIORITIES],
    read_rate: f64,
    work_ms: f64,
    report: Option<(BackendReport, MonotonicTime)>,
    /// This gateway's requests that were there when the load was stated.
    own_at_report: u32,
    /// Requests of other gateways that were sent since.
    others_since_report: u32,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            unread: UnreadQueue::default(),
            busy_until: [MonotonicTime::default(); PRIORITIES],
            heard: MonotonicTime::default(),
            bases: [FadingAverage::default(); PRIORITIES],
            read_rate: FIRST_READ_RATE,
            work_ms: FIRST_WORK_MS,
            report: None,
            own_at_report: 0,
            others_since_report: 0,
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
        let own = self.sent.len() as f64;
        let Some((report, at)) = self.report else { return own as u32 };
        let stated = f64::from(report.running + report.waiting);
        let others =
            (stated - f64::from(self.own_at_report)).max(0.0) + f64::from(self.others_since_report);
        (own + faded(others, now.since(at), STATED_HALF_LIFE)).round() as u32
    }

    /// Milliseconds until the first byte, were a request of this cost sent now.
    pub fn first_byte_ms(&self, cost: WorkCost, priority: u8, now: MonotonicTime) -> f64 {
        let stretch = self.unread.stretch(rank(priority), now);
        let work = self.ahead_ms(priority, now) + self.own_ms(cost);
        self.base(rank(priority), now) + work * stretch
    }

    /// Milliseconds of work that goes before a request of this priority.
    pub fn ahead_ms(&self, priority: u8, now: MonotonicTime) -> f64 {
        let rank = rank(priority);
        self.unread.ahead_ms(rank, now) + millis(self.busy_until[rank].since(now))
    }

    /// Notes a send, of this gateway where `ticket` is given.
    pub fn send(&mut self, ticket: Option<TicketId>, sent: SentRequest, now: MonotonicTime) {
        let ahead_ms = self.ahead_ms(sent.priority, now);
        match ticket {
            Some(ticket) => {
                self.sent.insert(ticket, SentWork { sent, has_begun: false, ahead_ms });
            }
            None => self.others_since_report += 1,
        }
        let rank = rank(sent.priority);
        let Some(tokens) = sent.cost.tokens else {
            self.add_plain(self.cost_ms(sent.cost), rank, now);
            return;
        };
        let expected_ms = self.first_byte_ms(sent.cost, sent.priority, now);
        self.unread.add(UnreadPrompt {
            request: sent.request,
            is_own: ticket.is_some(),
            rank,
            sent: sent.sent,
            tokens,
            cost_ms: self.read_ms(tokens),
            ahead_ms,
            due: sent.sent + Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0),
        });
    }

    /// Whether something came from it lately.
    pub fn is_at_work(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) < PROGRESS_AGE
    }

    /// Whether an engine stands still: first bytes are overdue, and nothing at all has come from it
    /// to any gateway of the region. One that is only slow answers others meanwhile.
    pub fn is_stalled(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) > STALL_AGE && self.unread.is_overdue(STALL_AGE, now)
    }

    /// Plain work of one priority delays every one that is not more urgent.
    fn add_plain(&mut self, cost_ms: f64, rank: usize, now: MonotonicTime) {
        let work = Duration::from_secs_f64(cost_ms / 1_000.0);
        for until in &mut self.busy_until[rank..] {
            *until = (*until).max(now) + work;
        }
    }

    /// The milliseconds by which a request delays those behind it. Prompts are read one after the
    /// other; requests without one run side by side, as many as there are places.
    pub(crate) fn cost_ms(&self, cost: WorkCost) -> f64 {
        match cost.tokens {
            Some(tokens) => self.read_ms(tokens),
            None => self.work_ms / f64::from(cost.slots.max(1)),
        }
    }

    /// The milliseconds until the first byte of a request with nothing ahead of it.
    pub(crate) fn own_ms(&self, cost: WorkCost) -> f64 {
        let reading = |tokens| self.read_ms(tokens) * self.unread.pace();
        cost.tokens.map_or(self.work_ms, reading)
    }

    /// Notes the first byte of an own request, and learns from when it came. `None` where it had
    /// come before.
    pub fn begin(&mut self, ticket: TicketId, now: MonotonicTime) -> Option<SentRequest> {
        self.heard = now;
        let work = self.sent.get_mut(&ticket)?;
        if std::mem::replace(&mut work.has_begun, true) {
            return None;
        }
        let SentWork { sent, ahead_ms, .. } = *work;
        if sent.cost.tokens.is_none() {
            let took = millis(now.since(sent.sent));
            let beyond = took - (ahead_ms + self.own_ms(sent.cost));
            self.learn_base(beyond, rank(sent.priority), now);
            self.work_ms += WORK_WEIGHT * ((took - ahead_ms).max(1.0) - self.work_ms);
        }
        self.note_first_byte(sent.request, sent.priority, sent.sent, now);
        Some(sent)
    }

    /// Notes the first byte of an answer, to whichever gateway.
    pub fn note_first_byte(
        &mut self,
        request: u64,
        priority: u8,
        sent: MonotonicTime,
        came: MonotonicTime,
    ) {
        self.heard = self.heard.max(came);
        let rank = rank(priority);
        let Some(prompt) = self.unread.begin(FirstByte { request, rank, sent, came }) else {
            return;
        };
        let took = millis(came.since(prompt.sent));
        let base = self.base(rank, came);
        let own_ms = prompt.cost_ms * self.unread.pace();
        let known = (prompt.ahead_ms + own_ms) * self.unread.stretch(rank, prompt.sent);
        self.learn_base(took - known, rank, came);
        self.learn_rate(&prompt, took, base);
    }

    /// An own request that is there.
    pub(crate) fn sent(&self, ticket: TicketId) -> Option<SentRequest> {
        self.sent.get(&ticket).map(|work| work.sent)
    }

    /// Notes the end of an own send; its request where its answer had not begun.
    pub fn end(&mut self, ticket: TicketId) -> Option<SentRequest> {
        let work = self.sent.remove(&ticket).filter(|work| !work.has_begun)?;
        self.unread.withdraw(work.sent.request);
        Some(work.sent)
    }

    /// Notes that a request of another gateway will not begin.
    pub fn note_dropped(&mut self, request: u64) {
        self.unread.withdraw(request);
    }

    /// Notes the load that the backend server stated.
    pub fn note_report(&mut self, report: BackendReport, now: MonotonicTime) {
        self.heard = self.heard.max(now);
        if self.report.is_some_and(|(_, at)| at > now) {
            return;
        }
        self.report = Some((report, now));
        self.own_at_report = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        self.others_since_report = 0;
    }

    /// The load that it stated within the last `age`.
    pub fn recent_report(&self, age: Duration, now: MonotonicTime) -> Option<BackendReport> {
        self.report.filter(|(_, at)| now.since(*at) < age).map(|(report, _)| report)
    }

    /// Kept apart by priority: less urgent work that waits long behind more urgent says nothing of
    /// how long the more urgent waits.
    fn base(&self, rank: usize, now: MonotonicTime) -> f64 {
        self.bases[rank].value(&BASE_RULE, now)
    }

    fn learn_base(&mut self, beyond_ms: f64, rank: usize, now: MonotonicTime) {
        self.bases[rank].note(&BASE_RULE, beyond_ms.clamp(0.0, MOST_BASE_MS), now);
    }

    pub(crate) fn read_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.read_rate
    }

    /// A long prompt with nothing ahead tells how fast prompts are read.
    fn learn_rate(&mut self, prompt: &UnreadPrompt, took: f64, base: f64) {
        const TELLING_TOKENS: u32 = 3_000;
        if prompt.tokens < TELLING_TOKENS || prompt.ahead_ms > 0.0 || base > 20.0 {
            return;
        }
        let rate = f64::from(prompt.tokens) / took.max(1.0);
        let (least, most) = READ_RATE_BOUNDS;
        self.read_rate = (self.read_rate + 0.1 * (rate - self.read_rate)).clamp(least, most);
    }
}

/// The place of a priority among those that are told apart.
pub(crate) fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
