//! What is noticed of the run of a backend server under one send.

use {
    crate::call_print::CallPrint,
    gullglade_dispatch::{StatementChange, WorkOutcome},
    gullglade_event::{EventDraft, EventSink},
    gullglade_poison::SharedCrashTracker,
    gullglade_units::{BackendRun, MonotonicTime, rendezvous::score},
    std::rc::Rc,
};

/// One send, watched for a backend server that ends under it.
pub(crate) struct SendWatch {
    pub(crate) print: Rc<CallPrint>,
    pub(crate) run: BackendRun,
    pub(crate) sent: MonotonicTime,
    pub(crate) crashes: Rc<SharedCrashTracker>,
    pub(crate) events: Rc<dyn EventSink>,
}

impl SendWatch {
    /// Something of the answer has come.
    pub(crate) fn begin(&self) {
        self.crashes.record_alive(&self.run, self.sent);
    }

    /// The backend server stated something else than before.
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
            StatementChange::Leaving => event("backend.states_leaving"),
        });
    }

    /// The send has ended.
    pub(crate) fn end(&self, outcome: WorkOutcome, now: MonotonicTime) {
        match outcome {
            WorkOutcome::Broken => self.cut_off(now),
            WorkOutcome::Answered | WorkOutcome::Failed if !self.crashes.is_empty() => {
                let answer = score(self.print.call().id.as_str(), "answer");
                self.crashes.record_answer(self.print.get(), answer);
            }
            // The caller left, it did not run, or nothing came: none of these tells of the request.
            _ => {}
        }
    }

    fn cut_off(&self, now: MonotonicTime) {
        let print = self.print.get();
        let ends = self.crashes.record_cut_off(print, self.run.clone(), self.sent);
        let event = EventDraft::new("request.cut_off").field("request", &self.print.call().id);
        let event = event.field("fingerprint", print).field("ends", ends);
        let event = event.field("backend", &self.run.backend);
        let event = event.field("incarnation", self.run.incarnation);
        self.events.emit(event.millis("sent_ms", now.since(self.sent)));
    }
}
