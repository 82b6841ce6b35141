//! Which requests have ended backend servers, and which are held back for it.

use {
    crate::{
        ContentFingerprint, CrashReport, CrashTrackerSettings, CrashUpdate, RunAliveReport,
        SendEnd, SendReport,
        record::{EndedSend, RequestRecord, hold_duration},
        signed_time::SignedTime,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What is told of a request that has ended fewer runs than this is of use to nobody but those who
/// count: most requests that a backend server takes with it are bystanders, and each of them would
/// otherwise be told to every gateway.
const MIN_SHARED_CRASHES: usize = 2;

/// A run counts as alive only by an answer to a request sent this much after its supposed end. What
/// other processes tell of it is late by a link's delay and a pause of a process.
const LIVENESS_MARGIN: Duration = Duration::from_secs(1);

/// A request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHold {
    /// How many backend servers ended under it.
    pub ends: u32,
    /// How much longer it is held back.
    pub left: Duration,
}

struct HeldRequest {
    ends: u32,
    until: SignedTime,
}

/// What is told to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// What this process saw itself, to one that counts; with cursor 0 all that it knows.
    Own,
    /// What matters to gateways.
    Suspects,
}

/// The account of one process.
pub struct CrashTracker {
    settings: CrashTrackerSettings,
    records: BTreeMap<ContentFingerprint, RequestRecord>,
    /// Runs that have answered since they were thought to have ended: when the request was sent
    /// that they answered, and the number of the change.
    alive: BTreeMap<BackendRun, (SignedTime, u64)>,
    held: BTreeMap<ContentFingerprint, HeldRequest>,
    /// Runs that ended, or seemed to, under any request.
    ended: BTreeSet<BackendRun>,
    last_change: u64,
}

impl CrashTracker {
    /// An account that knows of no end.
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

    /// Whether it knows of nothing, so that no request need be compared.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether something is known of a request.
    pub fn knows(&self, fingerprint: &ContentFingerprint) -> bool {
        self.records.contains_key(fingerprint)
    }

    /// Notes that the connection to `run` broke while it had the request, which was sent there at
    /// `sent`.
    pub fn note_cut_off(
        &mut self,
        fingerprint: ContentFingerprint,
        run: BackendRun,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let lasted_ms = SignedTime::from(now).millis_since(sent.into());
        self.add_local(
            fingerprint,
            EndedSend { ended: now.into(), lasted_ms, end: SendEnd::CutOff(run) },
        );
    }

    /// Notes a whole answer to a request of which an end is known; `answer` tells it from others.
    pub fn note_answer(
        &mut self,
        fingerprint: ContentFingerprint,
        answer: u64,
        now: MonotonicTime,
    ) {
        let is_suspect =
            self.records.get(&fingerprint).is_some_and(|r| self.unexplained_weight(r) > 0);
        if is_suspect {
            let end = SendEnd::Answered(answer);
            self.add_local(fingerprint, EndedSend { ended: now.into(), lasted_ms: 0, end });
        }
    }

    /// Notes that `run` answered a request sent at `sent`. One whose end is known by broken
    /// connections alone may have lost a link and no more. Whether it was news.
    pub fn note_alive(&mut self, run: &BackendRun, sent: MonotonicTime) -> bool {
        let is_news = self.ended.contains(run) && self.add_alive(run, sent.into());
        if is_news {
            self.update_holds();
        }
        is_news
    }

    /// Forgets what is known of a request until now: an operator says that it is sound.
    pub fn release(&mut self, fingerprint: ContentFingerprint, now: MonotonicTime) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        self.last_change += 1;
        record.release(now.into());
        (record.changed, record.own) = (self.last_change, self.last_change);
        self.update_holds();
        true
    }

    /// Whether a request is held back, and for how long.
    pub fn hold(
        &self,
        fingerprint: &ContentFingerprint,
        now: MonotonicTime,
    ) -> Option<RequestHold> {
        let HeldRequest { ends, until } = self.held.get(fingerprint)?;
        let left = until.since(now.into());
        (!left.is_zero()).then_some(RequestHold { ends: *ends, left })
    }

    /// All requests that are held back.
    pub fn holds(&self, now: MonotonicTime) -> Vec<(ContentFingerprint, RequestHold)> {
        let hold =
            |fingerprint: &ContentFingerprint| Some((*fingerprint, self.hold(fingerprint, now)?));
        self.held.keys().filter_map(hold).collect()
    }

    /// How many backend servers ended under a request.
    pub fn crashes(&self, fingerprint: &ContentFingerprint) -> usize {
        self.records.get(fingerprint).map_or(0, |record| record.crashes().count())
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// What changed after `cursor`.
    pub fn updates_after(
        &self,
        cursor: u64,
        scope: UpdateScope,
        now: MonotonicTime,
    ) -> CrashUpdate {
        let is_told = |record: &RequestRecord| match scope {
            UpdateScope::Own if cursor == 0 => true,
            UpdateScope::Own => record.own > cursor,
            UpdateScope::Suspects => {
                record.changed > cursor
                    && (record.crashes().count() >= MIN_SHARED_CRASHES
                        || record.released_at.is_some())
            }
        };
        let told = self.records.iter().filter(|(_, record)| is_told(record));
        let alive = self.alive.iter().filter(|(_, (_, changed))| *changed > cursor);
        let now = now.into();
        CrashUpdate {
            cursor: self.last_change,
            reports: told.map(|(fingerprint, record)| report(*fingerprint, record, now)).collect(),
            alive: alive
                .map(|(run, (sent, _))| RunAliveReport {
                    run: run.clone(),
                    sent_ago_ms: SignedTime::millis_since(now, *sent),
                })
                .collect(),
        }
    }

    /// Takes in what another process told. Whether it was news.
    pub fn merge(&mut self, news: CrashUpdate, now: MonotonicTime) -> bool {
        let before = self.last_change;
        for report in news.reports {
            self.merge_report(report, now);
        }
        for RunAliveReport { run, sent_ago_ms } in news.alive {
            self.add_alive(&run, SignedTime::ago(now, sent_ago_ms));
        }
        let is_news = self.last_change > before;
        if is_news {
            self.update_holds();
        }
        is_news
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonotonicTime) {
        let (settings, now) = (self.settings, SignedTime::from(now));
        let held = &self.held;
        self.records.retain(|fingerprint, record| {
            let ends = held.get(fingerprint).map_or(0, |h| h.ends);
            // Once more as long as the hold: one that ends another backend server when it is
            // tried again is held back at once, and for longer.
            let kept = hold_duration(&settings, ends) * if ends > 0 { 2 } else { 1 };
            record.last_crash().max(record.released_at).is_some_and(|last| now.since(last) < kept)
        });
        let ends = self.records.values().flat_map(RequestRecord::crashes);
        self.ended = ends.map(|(run, _)| run.clone()).collect();
        self.alive.retain(|run, _| self.ended.contains(run));
        self.update_holds();
    }

    fn add_local(&mut self, fingerprint: ContentFingerprint, send: EndedSend) {
        let number = self.last_change + 1;
        if let SendEnd::CutOff(run) = &send.end {
            self.ended.insert(run.clone());
        }
        let record = self.records.entry(fingerprint).or_default();
        if record.add(send) {
            self.last_change = number;
            (record.changed, record.own) = (number, number);
            self.evict_excess(fingerprint);
            self.update_holds();
        }
    }

    fn merge_report(&mut self, report: CrashReport, now: MonotonicTime) {
        let CrashReport { print: fingerprint, sends, let_go_ago_ms } = report;
        let number = self.last_change + 1;
        let record = self.records.entry(fingerprint).or_default();
        let mut is_news =
            let_go_ago_ms.is_some_and(|ago_ms| merge_release(record, SignedTime::ago(now, ago_ms)));
        for SendReport { ended_ago_ms, lasted_ms, end } in sends {
            if let SendEnd::CutOff(run) = &end {
                self.ended.insert(run.clone());
            }
            let ended = SignedTime::ago(now, ended_ago_ms);
            is_news |= record.add(EndedSend { ended, lasted_ms, end });
        }
        if is_news {
            record.changed = number;
            self.last_change = number;
            self.evict_excess(fingerprint);
        }
    }

    /// Whether it was news: said once for each second of life.
    fn add_alive(&mut self, run: &BackendRun, sent: SignedTime) -> bool {
        let known = self.alive.get(run);
        if known.is_some_and(|(known, _)| sent.since(*known) < LIVENESS_MARGIN) {
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

    /// Forgets the request that matters least where there are too many: of those with the fewest
    /// ends the one that was cut off longest ago. A caller that invents new requests all the time
    /// pushes out those with one end, which is forgetting one end of three; what is held back stays.
    fn evict_excess(&mut self, newest: ContentFingerprint) {
        if self.records.len() <= self.settings.max_records {
            return;
        }
        let others = self.records.iter().filter(|(fingerprint, _)| **fingerprint != newest);
        let least = others.min_by_key(|(fingerprint, record)| {
            (self.held.contains_key(*fingerprint), record.crashes().count(), record.last_crash())
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Whether a run's end under a request may be its doing: the run has not answered since.
    fn is_crash(&self, run: &BackendRun, ended: SignedTime) -> bool {
        self.alive.get(run).is_none_or(|(sent, _)| *sent < ended + LIVENESS_MARGIN)
    }

    fn unexplained_weight(&self, record: &RequestRecord) -> u32 {
        record.weight(&self.settings, |run, ended| self.is_crash(run, ended))
    }

    /// Works out what is held back. One end has one cause: what the request with the most ends
    /// explains speaks against no other one.
    fn update_holds(&mut self) {
        let bound = self.settings.bound as usize;
        let mut suspects: Vec<(usize, &ContentFingerprint, &RequestRecord)> = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes().count() >= bound)
            .map(|(fingerprint, record)| {
                (record.net_crashes(|run, at| self.is_crash(run, at)), fingerprint, record)
            })
            .filter(|(net_crashes, ..)| *net_crashes >= bound)
            .collect();
        // Of two that are on the same ends, the one that was there for a shorter time each time is
        // the likelier cause: an engine ends soon after it begins to run one, and bystanders are
        // anywhere in theirs.
        suspects.sort_by_key(|(net_crashes, fingerprint, record)| {
            (Reverse(*net_crashes), record.mean_lasted_ms(), **fingerprint)
        });
        let mut explained: BTreeSet<&BackendRun> = BTreeSet::new();
        let mut held = BTreeMap::new();
        for (_, fingerprint, record) in suspects {
            let counts = |run: &BackendRun, at| !explained.contains(run) && self.is_crash(run, at);
            let unexplained = record.net_crashes(counts);
            let ends = record.weight(&self.settings, counts);
            let last = record.last_crash();
            if unexplained == bound && self.has_likelier_cause(fingerprint, record) {
                continue;
            }
            if unexplained >= bound {
                explained.extend(record.crashes().map(|(run, _)| run));
            }
            if let Some(last) = last.filter(|_| ends >= self.settings.bound) {
                let until = last + hold_duration(&self.settings, ends);
                held.insert(*fingerprint, HeldRequest { ends, until });
            }
        }
        self.held = held;
    }

    /// Whether another request was on one of its ends that was on one more end as well, and is
    /// usually with a backend server for a shorter time. With no more ends than the bound, the
    /// other one is then the likelier cause; if it is not, the next end says so.
    ///
    /// Where one request in 200 is a cause and engines run 64 at once, 7 of 183,426 bystanders
    /// were held back without this and none with it (five seeded schedules of 40 s).
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
    // The same word, told again, comes a little later or earlier each time.
    let is_known = record.released_at.is_some_and(|known| at.since(known) < LIVENESS_MARGIN);
    !is_known && record.release(at)
}

fn report(fingerprint: ContentFingerprint, record: &RequestRecord, now: SignedTime) -> CrashReport {
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
