//! Prediction of the time to first byte at a backend server.
//!
//! The load pattern: several gateways send prompts of very different lengths to the same engines.
//! An engine processes them one after another by priority, so the prediction is based on the
//! prefill work ahead ([`PrefillQueue`]), which includes the requests that other gateways reported.
//! Other causes of delay show up as first bytes that arrive later than predicted. They are learned
//! as an offset, which decays because the cause may be over.

use {
    crate::{
        TicketId,
        decay::{DecayRule, DecayingAverage, decayed},
        overload::slots::HeldSlots,
        pace::StatedSlowdown,
        prefill::{FirstByte, PendingPrompt, PrefillQueue},
    },
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// The offset follows first bytes fast, since the unreported work of other gateways is done within
/// about a second.
const OFFSET_DECAY: DecayRule = DecayRule { weight: 0.3, half_life: Duration::from_millis(700) };

/// Upper bound of the offset. A single answer that hung must not keep an engine out of use for
/// long.
const MAX_OFFSET_MS: f64 = 1_500.0;

/// The assumed prefill rate until it is measured, tokens per millisecond.
const INITIAL_PREFILL_RATE: f64 = 60.0;

/// Bounds of the learned prefill rate, tokens per millisecond. They are wider than the range of
/// known engines, and limit the effect of outliers.
const PREFILL_RATE_BOUNDS: (f64, f64) = (5.0, 500.0);

/// Half-life of the part of a stated load that is due to other gateways. A gateway that sends
/// nothing to a full backend server gets no new reports from it. Without decay, plain services of
/// six slots were idle for seconds while requests waited for them.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// The stated number of requests at an engine is used for this long when the pace is estimated.
const STATED_REQUESTS_MAX_AGE: Duration = Duration::from_secs(1);

/// The assumed service time of a request without a prompt until it is measured.
const INITIAL_WORK_MS: f64 = 20.0;

/// The weight of the newest sample in that service time.
const WORK_WEIGHT: f64 = 0.05;

/// The number of distinct priorities. Higher values count as the last one.
pub(crate) const PRIORITY_CLASSES: usize = 4;

/// A backend server that sent something within this time is working, and its unanswered requests
/// are waiting for their turn.
pub(crate) const PROGRESS_MAX_AGE: Duration = Duration::from_millis(700);

/// An engine is stalled if first bytes are overdue by this and nothing was received from it for as
/// long. The prefill of the longest prompts takes longer, but is part of the prediction, and more
/// urgent requests are answered meanwhile.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The load that a backend server states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// The time that work takes on its machine at the moment, in percent of the usual time.
    pub slowdown_percent: Option<u32>,
}

/// The work that a request causes at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkCost {
    /// Estimated number of prompt tokens to process, or `None` for a request without a prompt.
    pub tokens: Option<u32>,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
}

/// A request that was sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// The request number, unique among all gateways.
    pub request: u64,
    /// The work that it causes.
    pub cost: WorkCost,
    /// Its priority, 0 being the most urgent.
    pub priority: u8,
    /// When it was sent.
    pub sent: MonotonicTime,
}

/// An unfinished request of this gateway.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    sent: SentRequest,
    has_begun: bool,
    /// The work ahead of it when it was sent, milliseconds.
    ahead_ms: f64,
}

/// The load of one backend server as known to one gateway.
#[derive(Debug)]
pub struct BackendLoad {
    sent: HashMap<TicketId, OwnRequest>,
    /// Prompts of all gateways whose answers have not begun.
    prefill: PrefillQueue,
    /// When the plain work ahead of a new request will be done, by priority class.
    busy_until: [MonotonicTime; PRIORITY_CLASSES],
    /// When something was last received from it by any gateway.
    last_activity: MonotonicTime,
    /// Learned delay of first bytes beyond the prediction, by priority class.
    offsets_ms: [DecayingAverage; PRIORITY_CLASSES],
    prefill_rate: f64,
    work_ms: f64,
    report: Option<(BackendReport, MonotonicTime)>,
    slowdown: Option<StatedSlowdown>,
    /// Unfinished requests of this gateway when the load was stated.
    own_at_report: u32,
    /// Requests in `held` when the load was stated.
    held_at_report: u32,
    /// Requests of other gateways sent since then.
    others_since_report: u32,
    /// Requests of other gateways that hold their slots for long. Empty without overload control.
    held: HeldSlots,
}

impl Default for BackendLoad {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            prefill: PrefillQueue::default(),
            busy_until: [MonotonicTime::default(); PRIORITY_CLASSES],
            last_activity: MonotonicTime::default(),
            offsets_ms: [DecayingAverage::default(); PRIORITY_CLASSES],
            prefill_rate: INITIAL_PREFILL_RATE,
            work_ms: INITIAL_WORK_MS,
            report: None,
            slowdown: None,
            own_at_report: 0,
            held_at_report: 0,
            others_since_report: 0,
            held: HeldSlots::default(),
        }
    }
}

impl BackendLoad {
    /// Returns the number of unfinished requests of this gateway.
    pub fn own_requests(&self) -> usize {
        self.sent.len()
    }

    /// Returns the estimated number of unfinished requests of all gateways.
    pub fn total_requests(&self, now: MonotonicTime) -> u32 {
        let held = self.held.count(now);
        let own_requests = (self.sent.len() + held) as f64;
        let Some((report, at)) = self.report else { return own_requests as u32 };
        let stated = f64::from(report.running + report.waiting);
        let accounted = f64::from(self.own_at_report) + f64::from(self.held_at_report);
        let others = (stated - accounted).max(0.0) + f64::from(self.others_since_report);
        (own_requests + decayed(others, now.since(at), REPORT_HALF_LIFE)).round() as u32
    }

    /// Returns the expected time to first byte of a request sent now, milliseconds.
    pub fn first_byte_ms(&self, cost: WorkCost, priority: u8, now: MonotonicTime) -> f64 {
        let preemption_factor = self.prefill.preemption_factor(priority_class(priority), now);
        let work = self.ahead_ms(priority, now) + self.service_ms(cost);
        self.offset_ms(priority_class(priority), now) + work * preemption_factor
    }

    /// Returns the work ahead of a new request of this priority, milliseconds.
    pub fn ahead_ms(&self, priority: u8, now: MonotonicTime) -> f64 {
        let class = priority_class(priority);
        self.prefill.ahead_ms(class, now) + as_millis(self.busy_until[class].since(now))
    }

    /// Records that a request was sent, by this gateway if `ticket` is given.
    pub fn note_send(&mut self, ticket: Option<TicketId>, sent: SentRequest, now: MonotonicTime) {
        let ahead_ms = self.ahead_ms(sent.priority, now);
        match ticket {
            Some(ticket) => {
                self.sent.insert(ticket, OwnRequest { sent, has_begun: false, ahead_ms });
            }
            None => self.others_since_report += 1,
        }
        let class = priority_class(sent.priority);
        let Some(tokens) = sent.cost.tokens else {
            self.add_plain_work(self.occupancy_ms(sent.cost), class, now);
            return;
        };
        let expected_ms = self.first_byte_ms(sent.cost, sent.priority, now);
        self.prefill.add(PendingPrompt {
            request: sent.request,
            is_own: ticket.is_some(),
            class,
            sent: sent.sent,
            tokens,
            cost_ms: self.prefill_ms(tokens),
            ahead_ms,
            due: sent.sent + Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0),
        });
    }

    /// Returns whether something was received from the backend server recently.
    pub fn is_at_work(&self, now: MonotonicTime) -> bool {
        now.since(self.last_activity) < PROGRESS_MAX_AGE
    }

    /// Returns whether the engine is stalled: first bytes are overdue, and no gateway of the region
    /// has received anything from it recently. An engine that is merely slow still answers other
    /// requests.
    pub fn is_stalled(&self, now: MonotonicTime) -> bool {
        now.since(self.last_activity) > STALL_TIMEOUT && self.prefill.is_overdue(STALL_TIMEOUT, now)
    }

    /// Adds plain work, which delays requests of the same and of less urgent classes.
    fn add_plain_work(&mut self, occupancy_ms: f64, class: usize, now: MonotonicTime) {
        let work = Duration::from_secs_f64(occupancy_ms / 1_000.0);
        for until in &mut self.busy_until[class..] {
            *until = (*until).max(now) + work;
        }
    }

    /// Returns the time by which a request delays those behind it, milliseconds. Prompts are
    /// processed one after another, whereas requests without a prompt run concurrently in all
    /// slots.
    pub(crate) fn occupancy_ms(&self, cost: WorkCost) -> f64 {
        match cost.tokens {
            Some(tokens) => self.prefill_ms(tokens),
            None => self.work_ms / f64::from(cost.slots.max(1)),
        }
    }

    /// Returns the time to first byte of a request with nothing ahead of it, milliseconds.
    pub(crate) fn service_ms(&self, cost: WorkCost) -> f64 {
        let prefill_ms = |tokens| self.prefill_ms(tokens) * self.prefill.slowdown();
        cost.tokens.map_or(self.work_ms, prefill_ms)
    }

    /// Records the first byte of an own request and learns from its delay. Returns `None` if the
    /// first byte was recorded before.
    pub fn note_own_first_byte(
        &mut self,
        ticket: TicketId,
        now: MonotonicTime,
    ) -> Option<SentRequest> {
        self.last_activity = now;
        let work = self.sent.get_mut(&ticket)?;
        if std::mem::replace(&mut work.has_begun, true) {
            return None;
        }
        let OwnRequest { sent, ahead_ms, .. } = *work;
        if sent.cost.tokens.is_none() {
            let took_ms = as_millis(now.since(sent.sent));
            let excess_ms = took_ms - (ahead_ms + self.service_ms(sent.cost));
            self.learn_offset(excess_ms, priority_class(sent.priority), now);
            self.work_ms += WORK_WEIGHT * ((took_ms - ahead_ms).max(1.0) - self.work_ms);
        }
        self.note_first_byte(sent.request, sent.priority, sent.sent, now);
        Some(sent)
    }

    /// Records the first byte of an answer to any gateway.
    pub fn note_first_byte(
        &mut self,
        request: u64,
        priority: u8,
        sent: MonotonicTime,
        received: MonotonicTime,
    ) {
        self.last_activity = self.last_activity.max(received);
        let class = priority_class(priority);
        let Some(prompt) =
            self.prefill.note_first_byte(FirstByte { request, class, sent, received })
        else {
            return;
        };
        let took_ms = as_millis(received.since(prompt.sent));
        let offset_ms = self.offset_ms(class, received);
        let service_ms = prompt.cost_ms * self.prefill.slowdown();
        let predicted_ms =
            (prompt.ahead_ms + service_ms) * self.prefill.preemption_factor(class, prompt.sent);
        self.learn_offset(took_ms - predicted_ms, class, received);
        self.learn_rate(&prompt, took_ms, offset_ms);
    }

    /// Returns an unfinished request of this gateway.
    pub(crate) fn sent(&self, ticket: TicketId) -> Option<SentRequest> {
        self.sent.get(&ticket).map(|work| work.sent)
    }

    /// Records the end of an own request. Returns the request if its answer had not begun.
    pub fn end(&mut self, ticket: TicketId) -> Option<SentRequest> {
        let work = self.sent.remove(&ticket).filter(|work| !work.has_begun)?;
        self.prefill.withdraw(work.sent.request);
        Some(work.sent)
    }

    /// Records that a request of another gateway ended without an answer.
    pub fn note_dropped(&mut self, request: u64) {
        self.held.remove(request);
        self.prefill.withdraw(request);
    }

    /// Records the load that the backend server stated.
    pub fn note_report(&mut self, report: BackendReport, now: MonotonicTime) {
        self.last_activity = self.last_activity.max(now);
        if self.report.is_some_and(|(_, at)| at > now) {
            return;
        }
        self.report = Some((report, now));
        self.note_slowdown(report, now);
        self.own_at_report = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        self.others_since_report = 0;
        let others = (report.running + report.waiting).saturating_sub(self.own_at_report);
        self.held.trim(others as usize, now);
        self.held_at_report = u32::try_from(self.held.count(now)).unwrap_or(u32::MAX);
    }

    /// Records that a request of another gateway, whose send was recorded just now, holds its slot
    /// until its end is recorded.
    pub(crate) fn note_held(&mut self, request: u64, sent: MonotonicTime, now: MonotonicTime) {
        self.others_since_report = self.others_since_report.saturating_sub(1);
        self.held.add(request, sent, now);
    }

    /// Records the end of a request of another gateway that held its slot.
    pub(crate) fn note_ended(&mut self, request: u64) {
        self.held.remove(request);
    }

    /// Records the slowdown that the backend server stated. Implausible values are ignored.
    fn note_slowdown(&mut self, report: BackendReport, now: MonotonicTime) {
        let Some(factor) = report.slowdown_percent.and_then(StatedSlowdown::factor) else { return };
        match &mut self.slowdown {
            Some(slowdown) => slowdown.note(factor, now),
            None => self.slowdown = Some(StatedSlowdown::new(factor, now)),
        }
        self.prefill.set_stated_slowdown(factor);
    }

    /// Returns the slowdown that the backend server stated, if it states any.
    pub(crate) fn slowdown(&self) -> Option<&StatedSlowdown> {
        self.slowdown.as_ref()
    }

    /// Replaces a stated slowdown that is out of date by the mean. An engine that was avoided for
    /// its slowdown states no new one.
    pub(crate) fn expire_slowdown(&mut self, now: MonotonicTime) {
        if let Some(slowdown) = &self.slowdown {
            self.prefill.set_stated_slowdown(slowdown.at(now));
        }
    }

    /// Returns whether prompts are queued.
    pub(crate) fn is_in_prefill(&self, now: MonotonicTime) -> bool {
        self.prefill.is_busy(now)
    }

    /// Returns the recent share of time in prefill.
    pub(crate) fn prefill_share(&self, now: MonotonicTime) -> f64 {
        self.prefill.busy_share(now)
    }

    /// Returns the recent inflow of prefill work as a share of the engine's time at nominal speed.
    pub(crate) fn prefill_inflow(&self, now: MonotonicTime) -> f64 {
        self.prefill.inflow_share(now)
    }

    /// Returns the number of unfinished requests of all gateways. In contrast to
    /// [`total_requests`](Self::total_requests), the stated requests of other gateways do not decay
    /// while the report is recent, as generations take seconds.
    pub(crate) fn stated_requests(&self, now: MonotonicTime) -> u32 {
        let total = self.total_requests(now);
        let Some(report) = self.recent_report(STATED_REQUESTS_MAX_AGE, now) else { return total };
        let others = (report.running + report.waiting).saturating_sub(self.own_at_report);
        total.max(others + self.others_since_report + self.sent.len() as u32)
    }

    /// Returns the stated load if it is younger than `age`.
    pub fn recent_report(&self, age: Duration, now: MonotonicTime) -> Option<BackendReport> {
        self.report.filter(|(_, at)| now.since(*at) < age).map(|(report, _)| report)
    }

    /// Returns the learned offset, milliseconds. It is kept per class, because less urgent requests
    /// that wait long behind more urgent ones say nothing about the delay of the latter.
    fn offset_ms(&self, class: usize, now: MonotonicTime) -> f64 {
        self.offsets_ms[class].value(&OFFSET_DECAY, now)
    }

    fn learn_offset(&mut self, excess_ms: f64, class: usize, now: MonotonicTime) {
        self.offsets_ms[class].note(&OFFSET_DECAY, excess_ms.clamp(0.0, MAX_OFFSET_MS), now);
    }

    pub(crate) fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_rate
    }

    /// Learns the prefill rate from a long prompt with nothing ahead of it.
    fn learn_rate(&mut self, prompt: &PendingPrompt, took_ms: f64, offset_ms: f64) {
        const MIN_SAMPLE_TOKENS: u32 = 3_000;
        if prompt.tokens < MIN_SAMPLE_TOKENS || prompt.ahead_ms > 0.0 || offset_ms > 20.0 {
            return;
        }
        let rate = f64::from(prompt.tokens) / took_ms.max(1.0) * self.prefill.stated_slowdown();
        let (least, most) = PREFILL_RATE_BOUNDS;
        self.prefill_rate =
            (self.prefill_rate + 0.1 * (rate - self.prefill_rate)).clamp(least, most);
    }
}

/// Returns the priority class, an index into the per-priority tables.
pub(crate) fn priority_class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_CLASSES - 1)
}

/// Returns fractional milliseconds.
pub(crate) fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
