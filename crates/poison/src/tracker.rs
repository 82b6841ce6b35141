//! Tracks the requests that crashed backend servers, and decides which ones to hold.

use {
    crate::{
        ContentFingerprint, CrashReport, CrashTrackerSettings, CrashUpdate, RunAliveReport,
        SendEnd, SendReport,
        record::{CompletedSend, RequestRecord, hold_duration},
        signed_time::SignedTime,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    std::{
        cmp::Reverse,
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

/// Hold on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHold {
    /// Number of backend servers that crashed under the request.
    pub ends: u32,
    /// Remaining time of the hold.
    pub left: Duration,
}

struct HeldRequest {
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
    held: BTreeMap<ContentFingerprint, HeldRequest>,
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
            held: BTreeMap::new(),
            ended: BTreeSet::new(),
            last_change: 0,
        }
    }

    /// Returns whether no request is tracked, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
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

    /// Clears the history of a request that an operator declares safe.
    pub fn release(&mut self, fingerprint: ContentFingerprint, now: MonotonicTime) -> bool {
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
        let HeldRequest { ends, until } = self.held.get(fingerprint)?;
        let left = until.since(now.into());
        (!left.is_zero()).then_some(RequestHold { ends: *ends, left })
    }

    /// Returns all held requests.
    pub fn holds(&self, now: MonotonicTime) -> Vec<(ContentFingerprint, RequestHold)> {
        let hold =
            |fingerprint: &ContentFingerprint| Some((*fingerprint, self.hold(fingerprint, now)?));
        self.held.keys().filter_map(hold).collect()
    }

    /// Returns the number of backend servers that crashed under a request.
    pub fn crashes(&self, fingerprint: &ContentFingerprint) -> usize {
        self.records.get(fingerprint).map_or(0, |record| record.crashes().count())
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the changes after `cursor`.
    pub fn updates_after(
        &self,
        cursor: u64,
        scope: UpdateScope,
        now: MonotonicTime,
    ) -> CrashUpdate {
        let is_included = |record: &RequestRecord| match scope {
            UpdateScope::Own if cursor == 0 => true,
            UpdateScope::Own => record.local_change > cursor,
            UpdateScope::Suspects => {
                record.last_change > cursor
                    && (record.crashes().count() >= MIN_SHARED_CRASHES
                        || record.released_at.is_some())
            }
        };
        let included = self.records.iter().filter(|(_, record)| is_included(record));
        let alive = self.alive.iter().filter(|(_, (_, change))| *change > cursor);
        let now = now.into();
        CrashUpdate {
            cursor: self.last_change,
            reports: included
                .map(|(fingerprint, record)| crash_report(*fingerprint, record, now))
                .collect(),
            alive: alive
                .map(|(run, (sent, _))| RunAliveReport {
                    run: run.clone(),
                    sent_ago_ms: SignedTime::millis_since(now, *sent),
                })
                .collect(),
        }
    }

    /// Merges an update of another process. Returns whether anything changed.
    pub fn merge(&mut self, update: CrashUpdate, now: MonotonicTime) -> bool {
        let before = self.last_change;
        for report in update.reports {
            self.merge_report(report, now);
        }
        for RunAliveReport { run, sent_ago_ms } in update.alive {
            self.add_alive(&run, SignedTime::ago(now, sent_ago_ms));
        }
        let is_new = self.last_change > before;
        if is_new {
            self.update_holds();
        }
        is_new
    }

    /// Removes outdated records.
    pub fn expire(&mut self, now: MonotonicTime) {
        let (settings, now) = (self.settings, SignedTime::from(now));
        let held = &self.held;
        self.records.retain(|fingerprint, record| {
            let ends = held.get(fingerprint).map_or(0, |h| h.ends);
            // The record outlives the hold by its duration: a request that crashes another backend
            // server when it is retried is then held again at once, and for longer.
            let kept = hold_duration(&settings, ends) * if ends > 0 { 2 } else { 1 };
            record.last_crash().max(record.released_at).is_some_and(|last| now.since(last) < kept)
        });
        let ends = self.records.values().flat_map(RequestRecord::crashes);
        self.ended = ends.map(|(run, _)| run.clone()).collect();
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

    fn merge_report(&mut self, report: CrashReport, now: MonotonicTime) {
        let CrashReport { print: fingerprint, sends, let_go_ago_ms } = report;
        let number = self.last_change + 1;
        let record = self.records.entry(fingerprint).or_default();
        let mut is_new =
            let_go_ago_ms.is_some_and(|ago_ms| merge_release(record, SignedTime::ago(now, ago_ms)));
        for SendReport { ended_ago_ms, lasted_ms, end } in sends {
            if let SendEnd::CutOff(run) = &end {
                self.ended.insert(run.clone());
            }
            let ended = SignedTime::ago(now, ended_ago_ms);
            is_new |= record.add(CompletedSend { ended, lasted_ms, end });
        }
        if is_new {
            record.last_change = number;
            self.last_change = number;
            self.evict_excess(fingerprint);
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
            (self.held.contains_key(*fingerprint), record.crashes().count(), record.last_crash())
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

    /// Recomputes the holds. A crash has one cause: crashes that are explained by the request with
    /// the most crashes do not count against other requests.
    fn update_holds(&mut self) {
        let crash_threshold = self.settings.crash_threshold as usize;
        let mut suspects: Vec<(usize, &ContentFingerprint, &RequestRecord)> = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes().count() >= crash_threshold)
            .map(|(fingerprint, record)| {
                (record.net_crashes(|run, at| self.is_crash(run, at)), fingerprint, record)
            })
            .filter(|(net_crashes, ..)| *net_crashes >= crash_threshold)
            .collect();
        // Of two requests with the same crashes, the one with the shorter time on the backend
        // servers is the likelier cause: an engine crashes soon after it starts to run the cause,
        // while unrelated requests are interrupted at any point.
        suspects.sort_by_key(|(net_crashes, fingerprint, record)| {
            (Reverse(*net_crashes), record.mean_lasted_ms(), **fingerprint)
        });
        let mut explained: BTreeSet<&BackendRun> = BTreeSet::new();
        let mut held = BTreeMap::new();
        for (_, fingerprint, record) in suspects {
            let is_evidence =
                |run: &BackendRun, at| !explained.contains(run) && self.is_crash(run, at);
            let unexplained = record.net_crashes(is_evidence);
            let ends = record.evidence(&self.settings, is_evidence);
            let last = record.last_crash();
            if unexplained == crash_threshold && self.has_likelier_cause(fingerprint, record) {
                continue;
            }
            if unexplained >= crash_threshold {
                explained.extend(record.crashes().map(|(run, _)| run));
            }
            if let Some(last) = last.filter(|_| ends >= self.settings.crash_threshold) {
                let until = last + hold_duration(&self.settings, ends);
                held.insert(*fingerprint, HeldRequest { ends, until });
            }
        }
        self.held = held;
    }

    /// Returns whether another request is a likelier cause: it shares a crash with this one, has at
    /// least one crash more, and usually spends less time on a backend server. Applied only if the
    /// crashes just reach the threshold; if the other request is not the cause, the next crash
    /// shows it.
    ///
    /// With one cause in 200 requests and 64 concurrent requests per engine, 7 of 183,426 unrelated
    /// requests were held without this check and none with it (five seeded schedules of 40 s).
    fn has_likelier_cause(&self, fingerprint: &ContentFingerprint, record: &RequestRecord) -> bool {
        let runs: BTreeSet<&BackendRun> = record.crashes().map(|(run, _)| run).collect();
        let lasted_ms = record.mean_lasted_ms();
        self.records.iter().any(|(other, suspect)| {
            other != fingerprint
                && suspect.crashes().count() >= MIN_SHARED_CRASHES
                && suspect.mean_lasted_ms() < lasted_ms
                && suspect.crashes().any(|(run, _)| runs.contains(run))
                && suspect.net_crashes(|run, at| self.is_crash(run, at)) >= MIN_SHARED_CRASHES
        })
    }
}

fn merge_release(record: &mut RequestRecord, at: SignedTime) -> bool {
    // Repeated reports of the same release differ slightly in time.
    let is_duplicate =
        record.released_at.is_some_and(|previous| at.since(previous) < LIVENESS_MARGIN);
    !is_duplicate && record.release(at)
}

fn crash_report(
    fingerprint: ContentFingerprint,
    record: &RequestRecord,
    now: SignedTime,
) -> CrashReport {
    let ago = |at: SignedTime| SignedTime::millis_since(now, at);
    CrashReport {
        print: fingerprint,
        sends: record
            .sends()
            .map(|send| SendReport {
                ended_ago_ms: ago(send.ended),
                lasted_ms: send.lasted_ms,
                end: send.end.clone(),
            })
            .collect(),
        let_go_ago_ms: record.released_at.map(ago),
    }
}
