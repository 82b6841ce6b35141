//! Crash history of one request.

use {
    crate::{CrashTrackerSettings, SendEnd, signed_time::SignedTime},
    gullglade_units::BackendRun,
    std::time::Duration,
};

/// Maximum number of sends kept per request. A request is held after three crashes and is then
/// retried at most once per doubling of the hold, so more are never needed.
const MAX_SENDS: usize = 32;

/// A completed send of a request.
pub(crate) struct CompletedSend {
    pub(crate) ended: SignedTime,
    /// Time that the request had spent on the backend server, in milliseconds.
    pub(crate) lasted_ms: u32,
    pub(crate) end: SendEnd,
}

impl CompletedSend {
    fn sent(&self) -> SignedTime {
        self.ended.before(Duration::from_millis(self.lasted_ms.into()))
    }
}

/// Crash history of one request.
#[derive(Default)]
pub(crate) struct RequestRecord {
    sends: Vec<CompletedSend>,
    /// Time of the last release; sends that ended before it do not count.
    pub(crate) released_at: Option<SignedTime>,
    /// Number of the last change, and of the last one that this process made itself.
    pub(crate) last_change: u64,
    pub(crate) local_change: u64,
}

impl RequestRecord {
    /// Adds a send and returns true, unless it is known. Two processes may report the crash of one
    /// run under one request, which counts once.
    pub(crate) fn add(&mut self, send: CompletedSend) -> bool {
        let is_duplicate = self.sends.iter().any(|other| other.end == send.end);
        if is_duplicate || self.released_at.is_some_and(|at| send.ended <= at) {
            return false;
        }
        let at = self.sends.partition_point(|other| other.ended <= send.ended);
        self.sends.insert(at, send);
        if self.sends.len() > MAX_SENDS {
            self.sends.remove(0);
        }
        true
    }

    /// Removes the sends that ended up to `at` and returns true, unless a release at or after `at`
    /// is known.
    pub(crate) fn release(&mut self, at: SignedTime) -> bool {
        if self.released_at.is_some_and(|other| other >= at) {
            return false;
        }
        self.released_at = Some(at);
        self.sends.retain(|send| send.ended > at);
        true
    }

    pub(crate) fn sends(&self) -> impl Iterator<Item = &CompletedSend> {
        self.sends.iter()
    }

    /// Returns the runs that crashed under the request, and the times of the crashes.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = (&BackendRun, SignedTime)> {
        self.sends.iter().filter_map(|send| match &send.end {
            SendEnd::CutOff(run) => Some((run, send.ended)),
            SendEnd::Answered(_) => None,
        })
    }

    /// Returns the number of crashes accepted by `is_evidence`, less the number of answers.
    /// Coincident crashes are counted separately.
    pub(crate) fn net_crashes(
        &self,
        is_evidence: impl Fn(&BackendRun, SignedTime) -> bool,
    ) -> usize {
        let ends = self.crashes().filter(|(run, ended)| is_evidence(run, *ended)).count();
        ends.saturating_sub(self.sends.len() - self.crashes().count())
    }

    /// Returns the evidence against the request: the number of crashes accepted by `is_evidence`,
    /// where crashes of overlapping sends that end close together count as one and each answer
    /// cancels one.
    pub(crate) fn evidence(
        &self,
        settings: &CrashTrackerSettings,
        is_evidence: impl Fn(&BackendRun, SignedTime) -> bool,
    ) -> u32 {
        let mut evidence = 0_u32;
        let mut last: Option<SignedTime> = None;
        for send in &self.sends {
            match &send.end {
                SendEnd::Answered(_) => evidence = evidence.saturating_sub(1),
                SendEnd::CutOff(run) if is_evidence(run, send.ended) => {
                    // A send that started after the other crash did not overlap with it.
                    let is_separate = |last: SignedTime| {
                        send.ended.since(last) >= settings.coincidence_window || send.sent() >= last
                    };
                    if last.is_none_or(is_separate) {
                        evidence += 1;
                        last = Some(send.ended);
                    }
                }
                SendEnd::CutOff(_) => {}
            }
        }
        evidence
    }

    /// Returns the mean time that the request had spent on a backend server when it crashed, in
    /// milliseconds.
    pub(crate) fn mean_lasted_ms(&self) -> u64 {
        let cut_off = || self.sends.iter().filter(|s| matches!(s.end, SendEnd::CutOff(_)));
        let sum: u64 = cut_off().map(|send| u64::from(send.lasted_ms)).sum();
        sum / cut_off().count().max(1) as u64
    }

    /// Returns the time of the last crash.
    pub(crate) fn last_crash(&self) -> Option<SignedTime> {
        self.crashes().map(|(_, ended)| ended).max()
    }
}

/// Returns the hold for this evidence: it doubles with each crash beyond the threshold.
pub(crate) fn hold_duration(settings: &CrashTrackerSettings, evidence: u32) -> Duration {
    settings.doubled_hold(evidence.saturating_sub(settings.crash_threshold))
}
