//! Tracks the requests and prompt parts that crashed backend servers, and decides which ones to
//! hold.

mod exchange;
mod parts;
mod weighing;

use {
    crate::{
        ContentFingerprint, CrashSuspect, CrashTrackerSettings, PartFingerprint, SendEnd,
        answer_memory::AnswerMemory,
        part_record::PartRecord,
        record::{CompletedSend, RequestRecord, hold_duration},
        signed_time::SignedTime,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Requests with fewer crashes than this are reported only to the processes that count them. Most
/// requests on a crashed backend server are unrelated, and each would otherwise be sent to every
/// gateway.
const MIN_SHARED_CRASHES: usize = 2;

/// An answer shows that a run is alive only if its request was sent this long after the presumed
/// crash. Reports of other processes are delayed by network latency and process pauses.
const LIVENESS_MARGIN: Duration = Duration::from_secs(1);

/// Hold on a request or a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHold {
    /// Number of backend servers that crashed under it.
    pub ends: u32,
    /// Remaining time of the hold.
    pub left: Duration,
}

struct HeldSuspect {
    ends: u32,
    until: SignedTime,
}

/// Selects the changes of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changes recorded by this process itself, for a process that counts crashes; all that is
    /// known if the cursor is 0.
    Own,
    /// Requests that a gateway may have to hold.
    Suspects,
}

/// Crash tracker of one process.
pub struct CrashTracker {
    settings: CrashTrackerSettings,
    records: BTreeMap<ContentFingerprint, RequestRecord>,
    /// Runs that answered after their presumed crash, each with the send time of the answered
    /// request and the number of the change.
    alive: BTreeMap<BackendRun, (SignedTime, u64)>,
    /// Crash histories of prompt parts.
    parts: BTreeMap<PartFingerprint, PartRecord>,
    answers: AnswerMemory,
    held: BTreeMap<CrashSuspect, HeldSuspect>,
    /// Runs that crashed, or are presumed to have crashed, under any request.
    ended: BTreeSet<BackendRun>,
    last_change: u64,
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new(settings: CrashTrackerSettings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            alive: BTreeMap::new(),
            parts: BTreeMap::new(),
            answers: AnswerMemory::default(),
            held: BTreeMap::new(),
            ended: BTreeSet::new(),
            last_change: 0,
        }
    }

    /// Returns whether nothing is tracked, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.parts.is_empty()
    }

    /// Returns whether a request is tracked.
    pub fn is_tracked(&self, fingerprint: &ContentFingerprint) -> bool {
        self.records.contains_key(fingerprint)
    }

    /// Records that the connection to `run` broke while it had the request, which was sent there at
    /// `sent`.
    pub fn record_cut_off(
        &mut self,
        fingerprint: ContentFingerprint,
        run: BackendRun,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let lasted_ms = SignedTime::from(now).millis_since(sent.into());
        self.add_local(
            fingerprint,
            CompletedSend { ended: now.into(), lasted_ms, end: SendEnd::CutOff(run) },
        );
    }

    /// Records a complete answer to a request with a known crash; `answer` identifies the answer.
    pub fn record_answer(
        &mut self,
        fingerprint: ContentFingerprint,
        answer: u64,
        now: MonotonicTime,
    ) {
        let is_suspect = self.records.get(&fingerprint).is_some_and(|r| self.total_evidence(r) > 0);
        if is_suspect {
            let end = SendEnd::Answered(answer);
            self.add_local(fingerprint, CompletedSend { ended: now.into(), lasted_ms: 0, end });
        }
    }

    /// Records that `run` answered a request sent at `sent`: if it only lost connections, it may
    /// not have crashed. Returns whether anything changed.
    pub fn record_alive(&mut self, run: &BackendRun, sent: MonotonicTime) -> bool {
        let is_new = self.ended.contains(run) && self.add_alive(run, sent.into());
        if is_new {
            self.update_holds();
        }
        is_new
    }

    /// Clears the history of what an operator declares safe.
    pub fn release(&mut self, suspect: CrashSuspect, now: MonotonicTime) -> bool {
        let fingerprint = match suspect {
            CrashSuspect::Content(fingerprint) => fingerprint,
            CrashSuspect::Part(part) => return self.release_part(part, now),
        };
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        self.last_change += 1;
        record.release(now.into());
        (record.last_change, record.local_change) = (self.last_change, self.last_change);
        self.update_holds();
        true
    }

    /// Returns the hold on a request, if there is one.
    pub fn hold(
        &self,
        fingerprint: &ContentFingerprint,
        now: MonotonicTime,
    ) -> Option<RequestHold> {
        self.suspect_hold(&CrashSuspect::Content(*fingerprint), now)
    }

    /// Returns all holds.
    pub fn holds(&self, now: MonotonicTime) -> Vec<(CrashSuspect, RequestHold)> {
        let hold = |suspect: &CrashSuspect| Some((*suspect, self.suspect_hold(suspect, now)?));
        self.held.keys().filter_map(hold).collect()
    }

    /// Returns the number of crashes of a suspect whose hold has ended and that has not been cleared
    /// by answers, and the time since the end.
    pub(crate) fn ended_hold(
        &self,
        suspect: &CrashSuspect,
        now: MonotonicTime,
    ) -> Option<(u32, Duration)> {
        let HeldSuspect { ends, until } = self.held.get(suspect)?;
        let now = SignedTime::from(now);
        (now >= *until).then(|| (*ends, now.since(*until)))
    }

    pub(crate) fn suspect_hold(
        &self,
        suspect: &CrashSuspect,
        now: MonotonicTime,
    ) -> Option<RequestHold> {
        let HeldSuspect { ends, until } = self.held.get(suspect)?;
        let left = until.since(now.into());
        (!left.is_zero()).then_some(RequestHold { ends: *ends, left })
    }

    /// Returns the number of backend servers that crashed under a request.
    pub fn crashes(&self, fingerprint: &ContentFingerprint) -> usize {
        self.records.get(fingerprint).map_or(0, |record| record.crashes().count())
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Removes outdated records.
    pub fn expire(&mut self, now: MonotonicTime) {
        let (settings, now) = (self.settings, SignedTime::from(now));
        let held = &self.held;
        self.records.retain(|fingerprint, record| {
            let ends = held.get(&CrashSuspect::Content(*fingerprint)).map_or(0, |h| h.ends);
            // The record outlives the hold by its duration: a request that crashes another backend
            // server when it is retried is then held again at once, and for longer.
            let kept = hold_duration(&settings, ends) * if ends > 0 { 2 } else { 1 };
            record.last_crash().max(record.released_at).is_some_and(|last| now.since(last) < kept)
        });
        self.expire_parts(now);
        let crashes = self.records.values().flat_map(RequestRecord::crashes);
        let part_crashes = self.parts.values().flat_map(PartRecord::crashes);
        self.ended = crashes.chain(part_crashes).map(|(run, _)| run.clone()).collect();
        self.alive.retain(|run, _| self.ended.contains(run));
        self.update_holds();
    }

    fn add_local(&mut self, fingerprint: ContentFingerprint, send: CompletedSend) {
        let number = self.last_change + 1;
        if let SendEnd::CutOff(run) = &send.end {
            self.ended.insert(run.clone());
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.add(send) {
            self.last_change = number;
            (record.last_change, record.local_change) = (number, number);
            self.evict_excess(fingerprint);
            self.update_holds();
        }
    }

    /// Returns whether this is new; recorded once per second of the run's life.
    fn add_alive(&mut self, run: &BackendRun, sent: SignedTime) -> bool {
        let previous = self.alive.get(run);
        if previous.is_some_and(|(previous, _)| sent.since(*previous) < LIVENESS_MARGIN) {
            return false;
        }
        self.last_change += 1;
        self.alive.insert(run.clone(), (sent, self.last_change));
        if self.alive.len() > self.settings.max_records
            && let Some(oldest) = self.alive.iter().min_by_key(|(_, (at, _))| *at)
        {
            let oldest = oldest.0.clone();
            self.alive.remove(&oldest);
        }
        true
    }

    /// Evicts the least important record if there are too many: among those with the fewest
    /// crashes, the one with the oldest last crash. A caller that keeps inventing new requests
    /// evicts only records with one of the three crashes needed for a hold; held requests stay.
    fn evict_excess(&mut self, newest: ContentFingerprint) {
        if self.records.len() <= self.settings.max_records {
            return;
        }
        let others = self.records.iter().filter(|(fingerprint, _)| **fingerprint != newest);
        let least_important = others.min_by_key(|(fingerprint, record)| {
            let is_held = self.held.contains_key(&CrashSuspect::Content(**fingerprint));
            (is_held, record.crashes().count(), record.last_crash())
        });
        if let Some(fingerprint) = least_important.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns whether the presumed crash of a run may be real: the run has not answered since.
    fn is_crash(&self, run: &BackendRun, ended: SignedTime) -> bool {
        self.alive.get(run).is_none_or(|(sent, _)| *sent < ended + LIVENESS_MARGIN)
    }

    fn total_evidence(&self, record: &RequestRecord) -> u32 {
        record.evidence(&self.settings, |run, ended| self.is_crash(run, ended))
    }
}
