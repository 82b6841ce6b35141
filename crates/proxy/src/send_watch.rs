//! What is noticed of the run of a backend server under one send.

use {
    crate::call_print::CallPrint,
    gullglade_dispatch::WorkOutcome,
    gullglade_event::{EventDraft, EventSink},
    gullglade_units::{BackendName, Incarnation, MonotonicTime},
    std::rc::Rc,
};

/// One send, watched for a connection that breaks under it.
pub(crate) struct SendWatch {
    pub(crate) print: Rc<CallPrint>,
    pub(crate) backend: BackendName,
    pub(crate) incarnation: Incarnation,
    pub(crate) sent: MonotonicTime,
    pub(crate) events: Rc<dyn EventSink>,
}

impl SendWatch {
    /// The send has ended.
    pub(crate) fn note(&self, outcome: WorkOutcome, now: MonotonicTime) {
        if outcome == WorkOutcome::Broken {
            let event = EventDraft::new("request.cut_off").field("request", &self.print.call().id);
            let event = event.field("fingerprint", self.print.get());
            let event = event.field("backend", &self.backend);
            let event = event.field("incarnation", self.incarnation);
            self.events.emit(event.millis("sent_ms", now.since(self.sent)));
        }
    }
}
