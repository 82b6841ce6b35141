//! Which requests have ended backend servers, and which are held back for it.

use {
    crate::{
        AccountSettings, CrashNews, CrashReport, RequestPrint, RunLife, SendEnd, SendReport,
        record::{CrashRecord, EndedSend, hold_time},
        time::AccountTime,
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
const TOLD_RUNS: usize = 2;

/// A run counts as alive only by an answer to a request sent this much after its supposed end. What
/// other processes tell of it is late by a link's delay and a pause of a process.
const LIFE_MARGIN: Duration = Duration::from_secs(1);

/// A request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHold {
    /// How many backend servers ended under it.
    pub ends: u32,
    /// How much longer it is held back.
    pub left: Duration,
}

struct HeldPrint {
    ends: u32,
    until: AccountTime,
}

/// What is told to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsScope {
    /// What this process saw itself, to one that counts; with cursor 0 all that it knows.
    Own,
    /// What matters to gateways.
    Suspects,
}

/// The account of one process.
pub struct CrashAccount {
    settings: AccountSettings,
    records: BTreeMap<RequestPrint, CrashRecord>,
    /// Runs that have answered since they were thought to have ended: when the request was sent
    /// that they answered, and the number of the change.
    alive: BTreeMap<BackendRun, (AccountTime, u64)>,
    held: BTreeMap<RequestPrint, HeldPrint>,
    /// Runs that ended, or seemed to, under any request.
    ended: BTreeSet<BackendRun>,
    last_change: u64,
}

impl CrashAccount {
    /// An account that knows of no end.
    pub fn new(settings: AccountSettings) -> Self {
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
    pub fn knows(&self, print: &RequestPrint) -> bool {
        self.records.contains_key(print)
    }

    /// Notes that the connection to `run` broke while it had the request, which was sent there at
    /// `sent`.
    pub fn note_cut_off(
        &mut self,
        print: RequestPrint,
        run: BackendRun,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        let lasted_ms = AccountTime::from(now).millis_since(sent.into());
        self.add_own(print, EndedSend { ended: now.into(), lasted_ms, end: SendEnd::CutOff(run) });
    }

    /// Notes a whole answer to a request of which an end is known; `answer` tells it from others.
    pub fn note_answer(&mut self, print: RequestPrint, answer: u64, now: MonotonicTime) {
        let is_suspect = self.records.get(&print).is_some_and(|r| self.raw_weight(r) > 0);
        if is_suspect {
            let end = SendEnd::Answered(answer);
            self.add_own(print, EndedSend { ended: now.into(), lasted_ms: 0, end });
        }
    }

    /// Notes that `run` answered a request sent at `sent`. One whose end is known by broken
    /// connections alone may have lost a link and no more. Whether it was news.
    pub fn note_life(&mut self, run: &BackendRun, sent: MonotonicTime) -> bool {
        let is_news = self.ended.contains(run) && self.add_life(run, sent.into());
        if is_news {
            self.weigh();
        }
        is_news
    }

    /// Forgets what is known of a request until now: an operator says that it is sound.
    pub fn let_go(&mut self, print: RequestPrint, now: MonotonicTime) -> bool {
        let Some(record) = self.records.get_mut(&print) else { return false };
        self.last_change += 1;
        record.let_go(now.into());
        (record.changed, record.own) = (self.last_change, self.last_change);
        self.weigh();
        true
    }

    /// Whether a request is held back, and for how long.
    pub fn hold(&self, print: &RequestPrint, now: MonotonicTime) -> Option<RequestHold> {
        let HeldPrint { ends, until } = self.held.get(print)?;
        let left = until.since(now.into());
        (!left.is_zero()).then_some(RequestHold { ends: *ends, left })
    }

    /// All requests that are held back.
    pub fn holds(&self, now: MonotonicTime) -> Vec<(RequestPrint, RequestHold)> {
        let hold = |print: &RequestPrint| Some((*print, self.hold(print, now)?));
        self.held.keys().filter_map(hold).collect()
    }

    /// How many backend servers ended under a request.
    pub fn ends(&self, print: &RequestPrint) -> usize {
        self.records.get(print).map_or(0, |record| record.ends().count())
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// What changed after `cursor`.
    pub fn news_after(&self, cursor: u64, scope: NewsScope, now: MonotonicTime) -> CrashNews {
        let is_told = |record: &CrashRecord| match scope {
            NewsScope::Own if cursor == 0 => true,
            NewsScope::Own => record.own > cursor,
            NewsScope::Suspects => {
                record.changed > cursor
                    && (record.ends().count() >= TOLD_RUNS || record.let_go.is_some())
            }
        };
        let told = self.records.iter().filter(|(_, record)| is_told(record));
        let alive = self.alive.iter().filter(|(_, (_, changed))| *changed > cursor);
        let now = now.into();
        CrashNews {
            cursor: self.last_change,
            reports: told.map(|(print, record)| report(*print, record, now)).collect(),
            alive: alive
                .map(|(run, (sent, _))| RunLife {
                    run: run.clone(),
                    sent_ago_ms: AccountTime::millis_since(now, *sent),
                })
                .collect(),
        }
    }

    /// Takes in what another process told. Whether it was news.
    pub fn merge(&mut self, news: CrashNews, now: MonotonicTime) -> bool {
        let before = self.last_change;
        for report in news.reports {
            self.merge_report(report, now);
        }
        for RunLife { run, sent_ago_ms } in news.alive {
            self.add_life(&run, AccountTime::ago(now, sent_ago_ms));
        }
        let is_news = self.last_change > before;
        if is_news {
            self.weigh();
        }
        is_news
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonotonicTime) {
        let (settings, now) = (self.settings, AccountTime::from(now));
        let held = &self.held;
        self.records.retain(|print, record| {
            let ends = held.get(print).map_or(0, |h| h.ends);
            // Once more as long as the hold: one that ends another backend server when it is
            // tried again is held back at once, and for longer.
            let kept = hold_time(&settings, ends) * if ends > 0 { 2 } else { 1 };
            record.last_end().max(record.let_go).is_some_and(|last| now.since(last) < kept)
        });
        let ends = self.records.values().flat_map(CrashRecord::ends);
        self.ended = ends.map(|(run, _)| run.clone()).collect();
        self.alive.retain(|run, _| self.ended.contains(run));
        self.weigh();
    }

    fn add_own(&mut self, print: RequestPrint, send: EndedSend) {
        let number = self.last_change + 1;
        if let SendEnd::CutOff(run) = &send.end {
            self.ended.insert(run.clone());
        }
        let record = self.records.entry(print).or_default();
        if record.add(send) {
            self.last_change = number;
            (record.changed, record.own) = (number, number);
            self.make_room(print);
            self.weigh();
        }
    }

    fn merge_report(&mut self, report: CrashReport, now: MonotonicTime) {
        let CrashReport { print, sends, let_go_ago_ms } = report;
        let number = self.last_change + 1;
        let record = self.records.entry(print).or_default();
        let mut is_news =
            let_go_ago_ms.is_some_and(|ago_ms| merge_let_go(record, AccountTime::ago(now, ago_ms)));
        for SendReport { ended_ago_ms, lasted_ms, end } in sends {
            if let SendEnd::CutOff(run) = &end {
                self.ended.insert(run.clone());
            }
            let ended = AccountTime::ago(now, ended_ago_ms);
            is_news |= record.add(EndedSend { ended, lasted_ms, end });
        }
        if is_news {
            record.changed = number;
            self.last_change = number;
            self.make_room(print);
        }
    }

    /// Whether it was news: said once for each second of life.
    fn add_life(&mut self, run: &BackendRun, sent: AccountTime) -> bool {
        let known = self.alive.get(run);
        if known.is_some_and(|(known, _)| sent.since(*known) < LIFE_MARGIN) {
            return false;
        }
        self.last_change += 1;
        self.alive.insert(run.clone(), (sent, self.last_change));
        if self.alive.len() > self.settings.most_records
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
    fn make_room(&mut self, newest: RequestPrint) {
        if self.records.len() <= self.settings.most_records {
            return;
        }
        let others = self.records.iter().filter(|(print, _)| **print != newest);
        let least = others.min_by_key(|(print, record)| {
            (self.held.contains_key(*print), record.ends().count(), record.last_end())
        });
        if let Some(print) = least.map(|(print, _)| *print) {
            self.records.remove(&print);
        }
    }

    /// Whether a run's end under a request may be its doing: the run has not answered since.
    fn is_end(&self, run: &BackendRun, ended: AccountTime) -> bool {
        self.alive.get(run).is_none_or(|(sent, _)| *sent < ended + LIFE_MARGIN)
    }

    fn raw_weight(&self, record: &CrashRecord) -> u32 {
        record.weight(&self.settings, |run, ended| self.is_end(run, ended))
    }

    /// Works out what is held back. One end has one cause: what the request with the most ends
    /// explains speaks against no other one.
    fn weigh(&mut self) {
        let bound = self.settings.bound as usize;
        let mut suspects: Vec<(usize, &RequestPrint, &CrashRecord)> = self
            .records
            .iter()
            .filter(|(_, record)| record.ends().count() >= bound)
            .map(|(print, record)| (record.surplus(|run, at| self.is_end(run, at)), print, record))
            .filter(|(surplus, ..)| *surplus >= bound)
            .collect();
        // Of two that are on the same ends, the one that was there for a shorter time each time is
        // the likelier cause: an engine ends soon after it begins to run one, and bystanders are
        // anywhere in theirs.
        suspects.sort_by_key(|(surplus, print, record)| {
            (Reverse(*surplus), record.usually_lasted_ms(), **print)
        });
        let mut explained: BTreeSet<&BackendRun> = BTreeSet::new();
        let mut held = BTreeMap::new();
        for (_, print, record) in suspects {
            let counts = |run: &BackendRun, at| !explained.contains(run) && self.is_end(run, at);
            let unexplained = record.surplus(counts);
            let ends = record.weight(&self.settings, counts);
            let last = record.last_end();
            if unexplained == bound && self.has_likelier_cause(print, record) {
                continue;
            }
            if unexplained >= bound {
                explained.extend(record.ends().map(|(run, _)| run));
            }
            if let Some(last) = last.filter(|_| ends >= self.settings.bound) {
                let until = last + hold_time(&self.settings, ends);
                held.insert(*print, HeldPrint { ends, until });
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
    fn has_likelier_cause(&self, print: &RequestPrint, record: &CrashRecord) -> bool {
        let runs: BTreeSet<&BackendRun> = record.ends().map(|(run, _)| run).collect();
        let lasted_ms = record.usually_lasted_ms();
        self.records.iter().any(|(other, suspect)| {
            other != print
                && suspect.ends().count() >= TOLD_RUNS
                && suspect.usually_lasted_ms() < lasted_ms
                && suspect.ends().any(|(run, _)| runs.contains(run))
                && suspect.surplus(|run, at| self.is_end(run, at)) >= TOLD_RUNS
        })
    }
}

fn merge_let_go(record: &mut CrashRecord, at: AccountTime) -> bool {
    // The same word, told again, comes a little later or earlier each time.
    let is_known = record.let_go.is_some_and(|known| at.since(known) < LIFE_MARGIN);
    !is_known && record.let_go(at)
}

fn report(print: RequestPrint, record: &CrashRecord, now: AccountTime) -> CrashReport {
    let ago = |at: AccountTime| AccountTime::millis_since(now, at);
    CrashReport {
        print,
        sends: record
            .sends()
            .map(|send| SendReport {
                ended_ago_ms: ago(send.ended),
                lasted_ms: send.lasted_ms,
                end: send.end.clone(),
            })
            .collect(),
        let_go_ago_ms: record.let_go.map(ago),
    }
}
