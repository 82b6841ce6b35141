//! The account of a running process: with a clock, log lines and metrics.

use {
    crate::{
        ContentFingerprint, CrashTracker, CrashTrackerSettings, CrashUpdate, RequestHold,
        UpdateScope,
    },
    gullglade_event::{EventDraft, EventSink, Level, MetricSet},
    gullglade_units::{BackendRun, Clock, MonotonicTime},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        rc::Rc,
        time::Duration,
    },
};

/// How often what is old is forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// The account of one process, shared by the requests that it counts and the session that tells
/// others of it.
pub struct SharedCrashTracker {
    account: RefCell<CrashTracker>,
    clock: Rc<dyn Clock>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
    /// What is held back, as it was told last.
    told: RefCell<BTreeSet<ContentFingerprint>>,
    expired: Cell<MonotonicTime>,
}

impl SharedCrashTracker {
    /// The account of a process that has seen nothing yet.
    pub fn new(
        settings: CrashTrackerSettings,
        clock: Rc<dyn Clock>,
        events: Rc<dyn EventSink>,
        metrics: Rc<MetricSet>,
    ) -> Rc<Self> {
        let expired = Cell::new(clock.now());
        Rc::new(Self {
            account: RefCell::new(CrashTracker::new(settings)),
            clock,
            events,
            metrics,
            told: RefCell::default(),
            expired,
        })
    }

    /// Whether no request is suspect, so that none need be compared.
    pub fn is_empty(&self) -> bool {
        self.account.borrow().is_empty()
    }

    /// Whether a request is held back.
    pub fn hold(&self, fingerprint: &ContentFingerprint) -> Option<RequestHold> {
        self.account.borrow().hold(fingerprint, self.clock.now())
    }

    /// All requests that are held back.
    pub fn holds(&self) -> Vec<(ContentFingerprint, RequestHold)> {
        self.account.borrow().holds(self.clock.now())
    }

    /// Forgets what is known of a request until now: an operator says that it is sound. False
    /// where nothing is known of it.
    pub fn release(&self, fingerprint: ContentFingerprint) -> bool {
        let is_known = self.account.borrow_mut().release(fingerprint, self.clock.now());
        self.tell();
        is_known
    }

    /// Notes that the connection to `run` broke while it had the request, sent there at `sent`; how
    /// many backend servers have ended under it.
    pub fn note_cut_off(
        &self,
        fingerprint: ContentFingerprint,
        run: BackendRun,
        sent: MonotonicTime,
    ) -> usize {
        let mut account = self.account.borrow_mut();
        account.note_cut_off(fingerprint, run, sent, self.clock.now());
        let ends = account.crashes(&fingerprint);
        drop(account);
        self.metrics.cut_off();
        self.tell();
        ends
    }

    /// Notes a whole answer to a request of which an end is known.
    pub fn note_answer(&self, fingerprint: ContentFingerprint, answer: u64) {
        self.account.borrow_mut().note_answer(fingerprint, answer, self.clock.now());
        self.tell();
    }

    /// Notes that `run` answered a request sent at `sent`.
    pub fn note_alive(&self, run: &BackendRun, sent: MonotonicTime) {
        if !self.is_empty() && self.account.borrow_mut().note_alive(run, sent) {
            self.tell();
        }
    }

    /// What changed after `cursor`.
    pub fn updates_after(&self, cursor: u64, scope: UpdateScope) -> CrashUpdate {
        self.account.borrow().updates_after(cursor, scope, self.clock.now())
    }

    /// Takes in what another process told. Whether it was news.
    pub fn merge(&self, news: CrashUpdate) -> bool {
        let now = self.clock.now();
        let is_news = self.account.borrow_mut().merge(news, now);
        let is_due = now.since(self.expired.get()) >= EXPIRY_INTERVAL;
        if is_due {
            self.expired.set(now);
            self.account.borrow_mut().expire(now);
        }
        if is_news || is_due {
            self.tell();
        }
        is_news
    }

    /// Tells of what is held back now and was not before, and of what was let go.
    fn tell(&self) {
        let holds = self.holds();
        let now: BTreeSet<ContentFingerprint> =
            holds.iter().map(|(fingerprint, _)| *fingerprint).collect();
        let before = self.told.replace(now.clone());
        for (fingerprint, hold) in
            holds.iter().filter(|(fingerprint, _)| !before.contains(fingerprint))
        {
            let event = EventDraft::new("poison.held").level(Level::Warn);
            let event = event.field("fingerprint", *fingerprint).field("ends", hold.ends);
            self.events.emit(event.millis("left_ms", hold.left));
        }
        for fingerprint in before.difference(&now) {
            self.events.emit(EventDraft::new("poison.let_go").field("fingerprint", *fingerprint));
        }
        self.metrics.fingerprints_held(now.len());
    }
}
