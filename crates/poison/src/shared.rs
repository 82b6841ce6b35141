//! Crash tracker of a running process, with a clock, events and metrics.

use {
    crate::{
        ContentFingerprint, CrashSuspect, CrashTracker, CrashTrackerSettings, CrashUpdate,
        PartFingerprint, RequestHold, UpdateScope, probe::ProbeSchedule,
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

/// Interval between expiry runs.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a request or a prompt part may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectState {
    /// Nothing is held against it.
    Free,
    /// It must not be sent.
    Held(RequestHold),
    /// Its hold has ended, and this gateway may send one request to find out whether backend servers
    /// still crash.
    Probe,
}

/// Crash tracker of one process, shared by its requests and by the session that exchanges updates
/// with other processes.
pub struct SharedCrashTracker {
    tracker: RefCell<CrashTracker>,
    clock: Rc<dyn Clock>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
    /// The holds as of the last hold events.
    reported_holds: RefCell<BTreeSet<CrashSuspect>>,
    last_expiry: Cell<MonotonicTime>,
    /// Set for a gateway.
    probes: RefCell<Option<ProbeSchedule>>,
}

impl SharedCrashTracker {
    /// Creates an empty tracker.
    pub fn new(
        settings: CrashTrackerSettings,
        clock: Rc<dyn Clock>,
        events: Rc<dyn EventSink>,
        metrics: Rc<MetricSet>,
    ) -> Rc<Self> {
        let last_expiry = Cell::new(clock.now());
        Rc::new(Self {
            tracker: RefCell::new(CrashTracker::new(settings)),
            clock,
            events,
            metrics,
            reported_holds: RefCell::default(),
            last_expiry,
            probes: RefCell::default(),
        })
    }

    /// Makes this the tracker of the gateway `name`, which shares probes with the others.
    pub fn set_gateway(&self, name: &str) {
        *self.probes.borrow_mut() = Some(ProbeSchedule::new(name));
    }

    /// Sets the number of gateways that share the probes.
    pub fn set_gateways(&self, count: usize) {
        if let Some(probes) = &mut *self.probes.borrow_mut() {
            probes.set_gateways(u32::try_from(count).unwrap_or(u32::MAX));
        }
    }

    /// Returns whether a request with this suspect may be sent. `is_probe` tells that it has been
    /// noted as the probe already.
    pub fn state(&self, suspect: &CrashSuspect, is_probe: bool) -> SuspectState {
        let (tracker, now) = (self.tracker.borrow(), self.clock.now());
        if let Some(hold) = tracker.suspect_hold(suspect, now) {
            return SuspectState::Held(hold);
        }
        let Some((ends, elapsed)) = tracker.ended_hold(suspect, now) else {
            return SuspectState::Free;
        };
        if is_probe {
            return SuspectState::Probe;
        }
        let probes = self.probes.borrow();
        let left = probes.as_ref().map_or(Duration::ZERO, |p| p.wait(suspect, elapsed, now));
        match left.is_zero() {
            true => SuspectState::Probe,
            false => SuspectState::Held(RequestHold { ends, left }),
        }
    }

    /// Notes that a request with a suspect in state [`SuspectState::Probe`] is sent.
    pub fn note_probe(&self, suspect: CrashSuspect) {
        if let Some(probes) = &mut *self.probes.borrow_mut() {
            probes.note_probe(suspect, self.clock.now());
        }
        self.events.emit(EventDraft::new("poison.probed").field("fingerprint", suspect));
    }

    /// Returns whether nothing is tracked, so that no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.tracker.borrow().is_empty()
    }

    /// Returns the hold on a request, if there is one.
    pub fn hold(&self, fingerprint: &ContentFingerprint) -> Option<RequestHold> {
        self.tracker.borrow().hold(fingerprint, self.clock.now())
    }

    /// Returns all holds.
    pub fn holds(&self) -> Vec<(CrashSuspect, RequestHold)> {
        self.tracker.borrow().holds(self.clock.now())
    }

    /// Clears the history of what an operator declares safe. Returns false if nothing is known of
    /// it.
    pub fn release(&self, suspect: CrashSuspect) -> bool {
        let is_known = self.tracker.borrow_mut().release(suspect, self.clock.now());
        self.emit_hold_events();
        is_known
    }

    /// Records that the connection to `run` broke while it had the request, which was sent there at
    /// `sent`. Returns the number of backend servers that crashed under the request.
    pub fn record_cut_off(
        &self,
        fingerprint: ContentFingerprint,
        run: BackendRun,
        sent: MonotonicTime,
    ) -> usize {
        let mut tracker = self.tracker.borrow_mut();
        tracker.record_cut_off(fingerprint, run, sent, self.clock.now());
        let ends = tracker.crashes(&fingerprint);
        drop(tracker);
        self.metrics.cut_off();
        self.emit_hold_events();
        ends
    }

    /// Records that the connection to `run` broke while it had a request with these prompt parts
    /// whose answer had not begun.
    pub fn record_parts_cut_off(
        &self,
        parts: &[PartFingerprint],
        content: ContentFingerprint,
        run: &BackendRun,
    ) {
        let now = self.clock.now();
        self.tracker.borrow_mut().record_parts_cut_off(parts, content, run, now);
        self.emit_hold_events();
    }

    /// Records that a backend server began to answer a request with these prompt parts.
    pub fn record_parts_answered(&self, parts: &[PartFingerprint], answer: u64) {
        let now = self.clock.now();
        if self.tracker.borrow_mut().record_parts_answered(parts, answer, now) {
            self.emit_hold_events();
        }
    }

    /// Records a complete answer to a request with a known crash.
    pub fn record_answer(&self, fingerprint: ContentFingerprint, answer: u64) {
        self.tracker.borrow_mut().record_answer(fingerprint, answer, self.clock.now());
        self.emit_hold_events();
    }

    /// Records that `run` answered a request sent at `sent`.
    pub fn record_alive(&self, run: &BackendRun, sent: MonotonicTime) {
        if !self.is_empty() && self.tracker.borrow_mut().record_alive(run, sent) {
            self.emit_hold_events();
        }
    }

    /// Returns the changes after `cursor`.
    pub fn updates_after(&self, cursor: u64, scope: UpdateScope) -> CrashUpdate {
        self.tracker.borrow().updates_after(cursor, scope, self.clock.now())
    }

    /// Merges an update of another process. Returns whether anything changed.
    pub fn merge(&self, update: CrashUpdate) -> bool {
        let now = self.clock.now();
        let is_new = self.tracker.borrow_mut().merge(update, now);
        let is_due = now.since(self.last_expiry.get()) >= EXPIRY_INTERVAL;
        if is_due {
            self.last_expiry.set(now);
            self.tracker.borrow_mut().expire(now);
        }
        if is_new || is_due {
            self.emit_hold_events();
        }
        is_new
    }

    /// Emits events for what is newly held, and for what is no longer held.
    fn emit_hold_events(&self) {
        let holds = self.holds();
        let now: BTreeSet<CrashSuspect> = holds.iter().map(|(suspect, _)| *suspect).collect();
        let before = self.reported_holds.replace(now.clone());
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
