//! Whether a backend server can be trusted with work, from what came of the work that it got.
//!
//! The load pattern: a backend server fails part of its requests, or hangs, while its own health
//! check is good. Outcomes decide here. A suspect gets no work while others can take it; after a
//! pause it is tried with one request, and a good answer clears it.

use {
    crate::{
        WorkOutcome,
        fade::{FadeRule, FadingAverage},
    },
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The pause after a first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause between two trials. A backend server that works again is used again within
/// this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// The last ten or so outcomes count in the failure rate, and fade as long as a suspect is left alone.
const FAILURE_RULE: FadeRule = FadeRule { weight: 0.1, half_life: LONGEST_PAUSE };

/// What is full now may have room again soon.
const REJECTION_RULE: FadeRule = FadeRule { weight: 0.3, half_life: Duration::from_secs(2) };

/// What one backend server's outcomes say.
#[derive(Debug, Default)]
pub struct HealthRecord {
    /// Failures in a row that cast suspicion.
    failures: u32,
    suspect_until: Option<MonotonicTime>,
    trial: Option<MonotonicTime>,
    failure_rate: FadingAverage,
    rejection_rate: FadingAverage,
}

impl HealthRecord {
    /// Takes note of an outcome.
    pub fn note(&mut self, outcome: WorkOutcome, now: MonotonicTime) {
        self.trial = None;
        match outcome {
            WorkOutcome::Answered => self.clear_with(0.0, now),
            // An answer that states a failure shows a server that works; how often it fails is
            // weighed against the others.
            WorkOutcome::Failed => self.clear_with(1.0, now),
            WorkOutcome::Unreachable
            | WorkOutcome::Broken
            | WorkOutcome::Garbled
            | WorkOutcome::Overdue { .. } => self.suspect(now),
            WorkOutcome::Shed => self.rejection_rate.note(&REJECTION_RULE, 1.0, now),
            WorkOutcome::Misdirected | WorkOutcome::Cancelled => {}
        }
    }

    /// Whether work should go elsewhere.
    pub fn is_suspect(&self, now: MonotonicTime) -> bool {
        let Some(until) = self.suspect_until else { return false };
        // One trial at a time; a trial that never ended is forgotten with the longest pause.
        let is_tried = self.trial.is_some_and(|at| now.since(at) < LONGEST_PAUSE);
        now < until || is_tried
    }

    /// Notes that work is sent.
    pub fn note_send(&mut self, now: MonotonicTime) {
        if self.suspect_until.is_some() {
            self.trial = Some(now);
        }
    }

    /// The part of the last outcomes that were failures, 0 to 1. It fades: a gateway that sends
    /// little to a backend server would otherwise avoid it for minutes after it has recovered.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        self.failure_rate.value(&FAILURE_RULE, now)
    }

    /// Notes that a request was accepted.
    pub fn note_accepted(&mut self, now: MonotonicTime) {
        self.rejection_rate.note(&REJECTION_RULE, 0.0, now);
    }

    /// The part of the last requests that were turned away, 0 to 1. It fades, as the failure rate
    /// does.
    pub fn rejection_rate(&self, now: MonotonicTime) -> f64 {
        self.rejection_rate.value(&REJECTION_RULE, now)
    }

    fn clear_with(&mut self, failure: f64, now: MonotonicTime) {
        self.failures = 0;
        self.suspect_until = None;
        self.failure_rate.note(&FAILURE_RULE, failure, now);
    }

    fn suspect(&mut self, now: MonotonicTime) {
        self.failure_rate.note(&FAILURE_RULE, 1.0, now);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        self.suspect_until = Some(now + pause.min(LONGEST_PAUSE));
    }
}
