//! Passive health tracking of backend servers by the outcomes of requests.
//!
//! The load pattern: a backend server fails part of its requests, or hangs, while its own health
//! check passes. A suspect backend server gets no requests while others can take them. After a
//! pause it is probed with one request, and a good answer clears the suspicion.
//!
//! A backend server to which no connection could be established is probed with connections instead:
//! a request would wait for the connection timeout.

use {
    crate::{
        WorkOutcome,
        decay::{DecayRule, DecayingAverage},
    },
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The pause after the first failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause between two probes, which bounds the time until a recovered backend server is
/// used again.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The pause between a failed connection and the first probe.
const INITIAL_PROBE_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause between two connection probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// The failure rate covers about the last ten outcomes, and decays as fast as suspects are retried.
const FAILURE_DECAY: DecayRule = DecayRule { weight: 0.1, half_life: MAX_PAUSE };

/// Rejections decay fast, because a full backend server may have capacity again soon.
const REJECTION_DECAY: DecayRule = DecayRule { weight: 0.3, half_life: Duration::from_secs(2) };

/// The health of one backend server as derived from outcomes.
#[derive(Debug, Default)]
pub struct HealthRecord {
    /// Consecutive failures that raise suspicion.
    failures: u32,
    suspect_until: Option<MonotonicTime>,
    probe_sent: Option<MonotonicTime>,
    /// Set while connections to the backend server fail.
    connection_probe: Option<ConnectionProbe>,
    failure_rate: DecayingAverage,
    rejection_rate: DecayingAverage,
}

/// The next connection probe.
#[derive(Clone, Copy, Debug)]
struct ConnectionProbe {
    at: MonotonicTime,
    pause: Duration,
}

impl HealthRecord {
    /// Records an outcome.
    pub fn note(&mut self, outcome: WorkOutcome, now: MonotonicTime) {
        self.probe_sent = None;
        match outcome {
            WorkOutcome::Answered => self.clear_suspicion(0.0, now),
            // A complete error response shows that the server works. Its failure rate is weighed
            // against those of others.
            WorkOutcome::Failed => self.clear_suspicion(1.0, now),
            WorkOutcome::Unreachable => {
                self.suspect(now);
                let at = now + INITIAL_PROBE_PAUSE;
                let first = ConnectionProbe { at, pause: INITIAL_PROBE_PAUSE };
                self.connection_probe.get_or_insert(first);
            }
            WorkOutcome::Broken | WorkOutcome::Garbled | WorkOutcome::Overdue { .. } => {
                self.suspect(now)
            }
            WorkOutcome::Shed => self.rejection_rate.note(&REJECTION_DECAY, 1.0, now),
            WorkOutcome::Misdirected | WorkOutcome::Cancelled => {}
        }
    }

    /// Returns whether requests should avoid this backend server.
    pub fn is_suspect(&self, now: MonotonicTime) -> bool {
        let Some(until) = self.suspect_until else { return false };
        // Only one probe at a time. A probe that never ended is forgotten after the longest pause.
        let is_probing = self.probe_sent.is_some_and(|at| now.since(at) < MAX_PAUSE);
        now < until || is_probing || self.connection_probe.is_some()
    }

    /// Returns whether connections to the backend server failed, and none was established since.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.connection_probe.is_some()
    }

    /// Returns whether a connection probe is due, and schedules the next one.
    pub(crate) fn take_probe(&mut self, now: MonotonicTime) -> bool {
        let Some(probe) = self.connection_probe.as_mut().filter(|probe| now >= probe.at) else {
            return false;
        };
        probe.pause = MAX_PROBE_PAUSE.min(probe.pause * 2);
        probe.at = now + probe.pause;
        true
    }

    /// Schedules a connection probe, if connections failed, for now.
    pub(crate) fn expedite_probe(&mut self, now: MonotonicTime) {
        if let Some(probe) = &mut self.connection_probe {
            *probe = ConnectionProbe { at: now, pause: INITIAL_PROBE_PAUSE };
        }
    }

    /// Records that a connection was established. Only an answer clears the suspicion, but the next
    /// request may be sent at once.
    pub(crate) fn note_connected(&mut self, now: MonotonicTime) {
        if self.connection_probe.take().is_some() {
            self.suspect_until = Some(now);
        }
    }

    /// Records that a request is sent.
    pub fn note_send(&mut self, now: MonotonicTime) {
        if self.suspect_until.is_some() {
            self.probe_sent = Some(now);
        }
    }

    /// Returns the share of recent outcomes that were failures, 0 to 1. It decays with time, since
    /// a gateway that sends few requests to a backend server would otherwise avoid it for minutes
    /// after its recovery.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        self.failure_rate.value(&FAILURE_DECAY, now)
    }

    /// Records that a request was accepted.
    pub fn note_accepted(&mut self, now: MonotonicTime) {
        self.rejection_rate.note(&REJECTION_DECAY, 0.0, now);
    }

    /// Returns the share of recent requests that were rejected, 0 to 1. It decays with time, as the
    /// failure rate does.
    pub fn rejection_rate(&self, now: MonotonicTime) -> f64 {
        self.rejection_rate.value(&REJECTION_DECAY, now)
    }

    fn clear_suspicion(&mut self, failure: f64, now: MonotonicTime) {
        self.failures = 0;
        self.connection_probe = None;
        self.suspect_until = None;
        self.failure_rate.note(&FAILURE_DECAY, failure, now);
    }

    fn suspect(&mut self, now: MonotonicTime) {
        self.failure_rate.note(&FAILURE_DECAY, 1.0, now);
        let pause = INITIAL_PAUSE * 2_u32.saturating_pow(self.failures.min(4));
        self.failures += 1;
        self.suspect_until = Some(now + pause.min(MAX_PAUSE));
    }
}
