//! Observes backend server instances through single sends.

use {
    crate::{CallerRequestId, request_fingerprint::RequestFingerprint},
    gullglade_dispatch::{StatementChange, WorkOutcome},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_poison::SharedCrashTracker,
    gullglade_units::{BackendRun, MonotonicTime, rendezvous::score},
    std::{cell::Cell, rc::Rc},
};

/// Monitor of one send that detects backend servers that end while they run a request.
pub(crate) struct SendMonitor {
    pub(crate) fingerprint: Rc<RequestFingerprint>,
    pub(crate) run: BackendRun,
    pub(crate) sent: MonotonicTime,
    /// True once the backend server has begun an answer: an event of a stream, or a whole plain
    /// response, has arrived.
    pub(crate) has_begun: Cell<bool>,
    pub(crate) crashes: Rc<SharedCrashTracker>,
    pub(crate) events: Rc<dyn EventSink>,
}

/// Report of a backend server that broke the protocol.
pub(crate) struct GarbledReport {
    pub(crate) run: BackendRun,
    request: CallerRequestId,
    sent: MonotonicTime,
    events: Rc<dyn EventSink>,
}

impl GarbledReport {
    /// Logs it; `place` is the part of the connection that was wrong.
    pub(crate) fn emit(&self, place: &'static str, now: MonotonicTime) {
        let event = EventDraft::new("request.garbled").level(Level::Warn);
        let event = event.field("request", &self.request).field("backend", &self.run.backend);
        let event = event.field("incarnation", self.run.incarnation).field("in", place);
        self.events.emit(event.millis("sent_ms", now.since(self.sent)));
    }
}

impl SendMonitor {
    /// Notes that the first byte of the response has arrived.
    pub(crate) fn note_first_byte(&self) {
        self.crashes.record_alive(&self.run, self.sent);
    }

    /// Notes that the backend server has begun an answer to the request.
    pub(crate) fn note_answer_begun(&self) {
        if !self.has_begun.replace(true) {
            self.crashes.record_parts_answered(self.fingerprint.parts(), self.answer_id());
        }
    }

    /// Logs a change in the statements of the backend server.
    pub(crate) fn statement_changed(&self, change: StatementChange) {
        let event = |kind| EventDraft::new(kind).field("backend", &self.run.backend);
        self.events.emit(match change {
            StatementChange::Limit(Some(limit)) => {
                event("backend.limited").field("per_second", limit)
            }
            StatementChange::Limit(None) => event("backend.unlimited"),
            StatementChange::Backoff(backoff) => {
                event("backend.backoff_requested").field("backoff_ms", backoff)
            }
            StatementChange::RejectionLimit(Some(limit)) => {
                event("backend.rejections_limited").field("per_second", limit)
            }
            StatementChange::RejectionLimit(None) => event("backend.rejections_unlimited"),
            StatementChange::Leaving => event("backend.states_leaving"),
        });
    }

    /// Records the outcome of the send.
    pub(crate) fn end(&self, outcome: WorkOutcome, now: MonotonicTime) {
        match outcome {
            WorkOutcome::Broken => self.cut_off(now),
            WorkOutcome::Garbled => self.garbled_report().emit("answer", now),
            WorkOutcome::Answered | WorkOutcome::Failed if !self.crashes.is_empty() => {
                self.crashes.record_answer(self.fingerprint.get(), self.answer_id());
            }
            // The caller left, the request did not run, or nothing came: no evidence about the
            // request.
            _ => {}
        }
    }

    /// Returns the report for a backend server that breaks the protocol in or after its answer.
    pub(crate) fn garbled_report(&self) -> GarbledReport {
        GarbledReport {
            request: self.fingerprint.request().id.clone(),
            run: self.run.clone(),
            sent: self.sent,
            events: Rc::clone(&self.events),
        }
    }

    /// Returns a number that identifies the answer to this request.
    fn answer_id(&self) -> u64 {
        score(self.fingerprint.request().id.as_str(), "answer")
    }

    fn cut_off(&self, now: MonotonicTime) {
        let fingerprint = self.fingerprint.get();
        let parts = self.fingerprint.parts();
        match self.has_begun.get() {
            // An engine that a part crashes does not begin the answer.
            true => self.crashes.record_parts_answered(parts, self.answer_id()),
            false => self.crashes.record_parts_cut_off(parts, fingerprint, &self.run),
        }
        let ends = self.crashes.record_cut_off(fingerprint, self.run.clone(), self.sent);
        let event =
            EventDraft::new("request.cut_off").field("request", &self.fingerprint.request().id);
        let event = event.field("fingerprint", fingerprint).field("ends", ends);
        let event = event.field("backend", &self.run.backend);
        let event = event.field("incarnation", self.run.incarnation);
        let event = event.millis("sent_ms", now.since(self.sent));
        let event = event.field("begun", self.has_begun.get());
        self.events.emit(event.field("parts", self.fingerprint.part_ids()));
    }
}
