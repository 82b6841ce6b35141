//! The expected end of an answer, and the answers that run at a model engine.
//!
//! The load pattern: a sixth of the long streams of a service do not end before their deadline, and
//! those that fail have run for 4 to 11 s by then. Their first bytes are in time. The cause is the
//! pace of the engine that they were placed on, or prompts that it accepted later.
//!
//! Lengths of answers are uncertain, so a decision uses the probability that an answer ends after
//! its deadline, under a log-normal distribution of its length. There is no threshold on the
//! length itself.

use {
    crate::{
        PromptShape, TicketId,
        pace::{DecodePace, PaceSample, StepTimes},
    },
    gullglade_units::MonotonicTime,
    serde::{Deserialize, Serialize},
    std::{cell::Cell, time::Duration},
};

/// The assumed spread (standard deviation of the logarithm) of lengths around a hint until it is
/// measured.
const INITIAL_HINT_SPREAD: f64 = 0.5;

/// The assumed spread of the lengths of a route until it is measured.
const INITIAL_ROUTE_SPREAD: f64 = 1.0;

/// The weight of the newest answer in the statistics of a route.
const LENGTH_WEIGHT: f64 = 0.03;

/// The least spread that is assumed. Smaller estimates come from few answers.
const MIN_SPREAD: f64 = 0.25;

/// Answers with a shorter median have ended before further prefill matters to them, and are not
/// tracked. This is about half a second of decode steps.
const MIN_TRACKED_TOKENS: f64 = 64.0;

/// Least number of events in a sample of the pace. Single events may arrive together.
const SAMPLE_EVENTS: u32 = 4;

/// The prefill for which the loss of running answers is computed, milliseconds.
const LOSS_STEP_MS: f64 = 200.0;

/// The time for which the computed loss is used. A stream gets a few tokens within it.
const LOSS_MAX_AGE: Duration = Duration::from_millis(50);

/// Upper bound of the tracked answers of one engine. It exceeds the slots of known engines.
const MAX_TRACKED: usize = 256;

/// The expected answer of a request, as sent to the other gateways of the region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHint {
    /// The median of its length in tokens.
    pub tokens: u16,
    /// Remaining time to its deadline, milliseconds.
    pub left_ms: u16,
}

/// The distribution of the length of an answer: log-normal up to a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LengthEstimate {
    ln_median: f64,
    spread: f64,
    most: f64,
}

impl LengthEstimate {
    pub(crate) fn median(&self) -> f64 {
        self.ln_median.exp().min(self.most)
    }

    /// Returns the probability of more than `tokens` tokens.
    fn exceeds(&self, tokens: f64) -> f64 {
        if tokens >= self.most {
            return 0.0;
        }
        let z = (tokens.max(1.0).ln() - self.ln_median) / self.spread;
        // Logistic approximation of the normal distribution.
        1.0 / (1.0 + (1.702 * z).exp())
    }

    /// Returns the probability of more than `more` further tokens after `generated` ones.
    pub(crate) fn exceeds_after(&self, generated: f64, more: f64) -> f64 {
        let reached = self.exceeds(generated);
        if reached <= 1e-6 {
            return 0.0;
        }
        (self.exceeds(generated + more.max(0.0)) / reached).min(1.0)
    }
}

/// Running mean and variance of the logarithm of a ratio.
#[derive(Clone, Copy, Debug)]
struct LogStatistics {
    count: u32,
    mean: f64,
    variance: f64,
}

impl LogStatistics {
    fn new(spread: f64) -> Self {
        Self { count: 0, mean: 0.0, variance: spread * spread }
    }

    fn note(&mut self, ln: f64) {
        let weight = LENGTH_WEIGHT.max(1.0 / f64::from(self.count + 1));
        let excess = ln - self.mean;
        self.mean += weight * excess;
        // The first samples say nothing about the variance.
        self.variance += LENGTH_WEIGHT * (excess * excess - self.variance);
        self.count = self.count.saturating_add(1);
    }

    fn variance(&self) -> f64 {
        self.variance.max(MIN_SPREAD * MIN_SPREAD)
    }
}

/// The observed lengths of the answers of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerLengths {
    lengths: LogStatistics,
    /// Lengths relative to the hints. Hints that are wrong by the same factor are corrected by it.
    hints: LogStatistics,
}

impl Default for AnswerLengths {
    fn default() -> Self {
        Self {
            lengths: LogStatistics::new(INITIAL_ROUTE_SPREAD),
            hints: LogStatistics::new(INITIAL_HINT_SPREAD),
        }
    }
}

impl AnswerLengths {
    /// Returns the distribution for a request, or `None` if nothing is known.
    pub(crate) fn estimate(&self, shape: &PromptShape) -> Option<LengthEstimate> {
        let hint = shape.expected_answer_tokens.filter(|hint| *hint > 0);
        let hinted = hint.map(|hint| f64::from(hint).ln() + self.hints.mean);
        let observed = (self.lengths.count > 0).then_some(self.lengths.mean);
        let (hint_variance, variance) = (self.hints.variance(), self.lengths.variance());
        let (ln_median, variance) = match (hinted, observed) {
            (Some(hinted), Some(observed)) => {
                let sum = variance + hint_variance;
                let mean = (hinted * variance + observed * hint_variance) / sum;
                (mean, variance * hint_variance / sum)
            }
            (Some(hinted), None) => (hinted, hint_variance),
            (None, Some(observed)) => (observed, variance),
            (None, None) => return None,
        };
        let most = match shape.answer_tokens {
            0 => f64::MAX,
            tokens => f64::from(tokens),
        };
        Some(LengthEstimate { ln_median, spread: variance.sqrt().max(MIN_SPREAD), most })
    }

    /// Records an answer of `tokens` tokens.
    pub(crate) fn note(&mut self, tokens: f64, hint: Option<u32>) {
        let ln = tokens.max(1.0).ln();
        self.lengths.note(ln);
        if let Some(hint) = hint.filter(|hint| *hint > 0) {
            self.hints.note(ln - f64::from(hint).ln());
        }
    }
}

/// The state of an engine that determines the pace of its streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EnginePace {
    /// Time per token without prefill, milliseconds.
    pub(crate) decode_ms: f64,
    /// Time per token while the engine is in prefill.
    pub(crate) prefill_ms: f64,
    /// The share of time in prefill.
    pub(crate) prefill_share: f64,
}

impl EnginePace {
    pub(crate) fn new(times: StepTimes, running: usize, slowdown: f64, prefill_share: f64) -> Self {
        let decode_ms = times.decode_with(running) * slowdown;
        let prefill_ms = decode_ms + times.chunk_ms * slowdown;
        Self { decode_ms, prefill_ms, prefill_share: prefill_share.clamp(0.0, 1.0) }
    }

    /// Returns the mean time per token.
    pub(crate) fn token_ms(&self) -> f64 {
        1.0 / self.tokens_in(1.0, 0.0)
    }

    /// Returns the number of tokens that a stream gets within `time_ms`, with `more_ms` of prefill
    /// beyond the usual share.
    pub(crate) fn tokens_in(&self, time_ms: f64, more_ms: f64) -> f64 {
        let prefill_ms = (self.prefill_share * time_ms + more_ms).min(time_ms);
        (time_ms - prefill_ms) / self.decode_ms + prefill_ms / self.prefill_ms
    }
}

/// An answer that is expected from an engine or being generated there.
#[derive(Clone, Copy, Debug)]
struct RunningAnswer {
    /// The request number, unique among all gateways.
    request: u64,
    length: LengthEstimate,
    deadline: MonotonicTime,
    began: Option<MonotonicTime>,
    /// The progress, if this gateway relays the answer.
    own: Option<OwnProgress>,
}

#[derive(Clone, Copy, Debug)]
struct OwnProgress {
    ticket: TicketId,
    /// Number of events after the first ones.
    events: u32,
    /// The number of events at the beginning of the current pace sample, its time, and the prefill
    /// time of the engine then.
    sample_events: u32,
    sample_at: MonotonicTime,
    sample_prefill_ms: f64,
}

/// An answer that has just been requested from an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestedAnswer {
    /// The request number, unique among all gateways.
    pub(crate) request: u64,
    /// The ticket, if this gateway sent the request.
    pub(crate) ticket: Option<TicketId>,
    /// `None` if nothing is known about the length.
    pub(crate) length: Option<LengthEstimate>,
    pub(crate) deadline: MonotonicTime,
}

/// The state of an engine when an event arrived from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineState {
    pub(crate) is_in_prefill: bool,
    /// Number of running requests.
    pub(crate) running: usize,
    /// The stated slowdown.
    pub(crate) slowdown: f64,
    pub(crate) tokens_per_event: u32,
    /// The usual times of the service.
    pub(crate) initial: Option<StepTimes>,
}

/// The pace and the running answers of one engine.
#[derive(Debug, Default)]
pub(crate) struct EngineAnswers {
    pub(crate) pace: DecodePace,
    answers: Vec<RunningAnswer>,
    /// The total time in prefill up to `prefill_at`, and whether it continued then.
    prefill_ms: f64,
    prefill_at: MonotonicTime,
    is_in_prefill: bool,
    /// The latest computed loss, with its time.
    loss: Cell<Option<(f64, MonotonicTime)>>,
}

impl EngineAnswers {
    /// Records whether prompts are queued at the engine, after each change.
    pub(crate) fn note_prefill(&mut self, is_in_prefill: bool, now: MonotonicTime) {
        if self.is_in_prefill {
            self.prefill_ms += now.since(self.prefill_at).as_secs_f64() * 1_000.0;
        }
        self.prefill_at = self.prefill_at.max(now);
        self.is_in_prefill = is_in_prefill;
    }

    /// Records an answer that was requested. Answers of unknown length are tracked only if this
    /// gateway relays them, to learn the pace.
    pub(crate) fn note_requested(&mut self, answer: RequestedAnswer, now: MonotonicTime) {
        let RequestedAnswer { request, ticket, length, deadline } = answer;
        self.answers.retain(|a| a.own.is_some() || now < a.deadline);
        let is_tracked = length.is_some_and(|length| length.median() >= MIN_TRACKED_TOKENS);
        if !is_tracked && ticket.is_none() || self.answers.len() >= MAX_TRACKED {
            return;
        }
        let unknown = LengthEstimate { ln_median: 0.0, spread: MIN_SPREAD, most: 1.0 };
        let own = ticket.map(|ticket| OwnProgress {
            ticket,
            events: 0,
            sample_events: 0,
            sample_at: now,
            sample_prefill_ms: 0.0,
        });
        let length = length.unwrap_or(unknown);
        self.answers.push(RunningAnswer { request, length, deadline, began: None, own });
        self.loss.set(None);
    }

    /// Records the first byte of an answer to another gateway.
    pub(crate) fn note_begun(&mut self, request: u64, at: MonotonicTime) {
        if let Some(answer) = self.answers.iter_mut().find(|a| a.request == request) {
            answer.began.get_or_insert(at);
        }
    }

    /// Records events of a stream that this gateway relays.
    pub(crate) fn note_events(
        &mut self,
        ticket: TicketId,
        events: u32,
        state: EngineState,
        now: MonotonicTime,
    ) {
        self.note_prefill(state.is_in_prefill, now);
        let prefill_ms = self.prefill_ms;
        let of_ticket = |a: &&mut RunningAnswer| a.own.is_some_and(|own| own.ticket == ticket);
        let Some(answer) = self.answers.iter_mut().find(of_ticket) else { return };
        let Some(own) = &mut answer.own else { return };
        if answer.began.is_none() {
            answer.began = Some(now);
            (own.sample_at, own.sample_prefill_ms) = (now, prefill_ms);
            return;
        }
        own.events = own.events.saturating_add(events);
        let sampled = own.events - own.sample_events;
        if sampled < SAMPLE_EVENTS {
            return;
        }
        let sample = PaceSample {
            tokens: f64::from(sampled) * f64::from(state.tokens_per_event),
            took_ms: now.since(own.sample_at).as_secs_f64() * 1_000.0,
            prefill_ms: prefill_ms - own.sample_prefill_ms,
            running: state.running,
            slowdown: state.slowdown,
        };
        (own.sample_at, own.sample_prefill_ms) = (now, prefill_ms);
        own.sample_events = own.events;
        self.pace.learn(sample, state.initial);
    }

    /// Removes an answer that this gateway relayed, and returns the number of its events.
    pub(crate) fn end(&mut self, ticket: TicketId) -> Option<u32> {
        let is_ended = |a: &RunningAnswer| a.own.is_some_and(|own| own.ticket == ticket);
        let index = self.answers.iter().position(is_ended)?;
        self.loss.set(None);
        let answer = self.answers.swap_remove(index);
        answer.began.and(answer.own).map(|own| own.events)
    }

    /// Removes a request of another gateway that ended without an answer.
    pub(crate) fn note_dropped(&mut self, request: u64) {
        self.answers.retain(|a| a.request != request);
    }

    /// Returns the expected number of running answers that would no longer end in time, per
    /// millisecond of additional prefill.
    pub(crate) fn loss_per_ms(
        &self,
        pace: &EnginePace,
        tokens_per_event: u32,
        now: MonotonicTime,
    ) -> f64 {
        if let Some((loss, _)) = self.loss.get().filter(|(_, at)| now.since(*at) < LOSS_MAX_AGE) {
            return loss;
        }
        let loss: f64 =
            self.answers.iter().map(|a| a.loss_per_ms(pace, tokens_per_event, now)).sum();
        self.loss.set(Some((loss, now)));
        loss
    }
}

impl RunningAnswer {
    fn loss_per_ms(&self, pace: &EnginePace, tokens_per_event: u32, now: MonotonicTime) -> f64 {
        if self.length.median() < MIN_TRACKED_TOKENS || now >= self.deadline {
            return 0.0;
        }
        let generated = match (self.own, self.began) {
            (Some(own), _) => f64::from(own.events) * f64::from(tokens_per_event),
            // The end of an answer to another gateway is not reported. Answers longer than their
            // median are unlikely to run still, and get less weight below.
            (None, Some(began)) => now.since(began).as_secs_f64() * 1_000.0 / pace.token_ms(),
            (None, None) => 0.0,
        };
        let runs = if self.own.is_some() { 1.0 } else { self.length.exceeds(generated) };
        let left_ms = self.deadline.since(now).as_secs_f64() * 1_000.0;
        let missed =
            |more_ms| self.length.exceeds_after(generated, pace.tokens_in(left_ms, more_ms));
        runs * (missed(LOSS_STEP_MS) - missed(0.0)).max(0.0) / LOSS_STEP_MS
    }
}

impl AnswerHint {
    pub(crate) fn new(length: &LengthEstimate, left: Duration) -> Self {
        let left_ms = left.as_millis().min(u16::MAX.into()) as u16;
        Self { tokens: length.median().clamp(1.0, f64::from(u16::MAX)) as u16, left_ms }
    }

    /// Returns the distribution of the length. The spread is not sent.
    pub(crate) fn length(&self) -> LengthEstimate {
        let ln_median = f64::from(self.tokens.max(1)).ln();
        LengthEstimate { ln_median, spread: INITIAL_HINT_SPREAD, most: f64::MAX }
    }
}
