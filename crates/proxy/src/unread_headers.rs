//! Headers of rejections that nobody here reads.
//!
//! A backend server that turns work away says why, and for how long, in headers. One that nobody
//! reads may be a statement that ought to be acted on, so each name is told once.

use {
    crate::BackendDialect,
    gullglade_event::{EventDraft, EventSink, FieldValue},
    gullglade_units::BackendName,
    http::{
        HeaderMap, HeaderName, StatusCode,
        header::{
            CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, DATE,
            RETRY_AFTER, SERVER, TRANSFER_ENCODING, VARY,
        },
    },
    std::{cell::RefCell, collections::BTreeSet, fmt, rc::Rc},
};

/// The most names that are told in one run of a gateway.
const MOST_NAMES: usize = 32;

/// Headers of the protocol, which state nothing of the backend server's readiness for work.
const ORDINARY: [HeaderName; 10] = [
    CACHE_CONTROL,
    CONNECTION,
    CONTENT_ENCODING,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    DATE,
    RETRY_AFTER,
    SERVER,
    TRANSFER_ENCODING,
    VARY,
];

/// A header's name in a log line. It consists of token characters alone.
struct HeaderLabel(HeaderName);

impl fmt::Display for HeaderLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_str())
    }
}

impl FieldValue for HeaderLabel {}

/// Tells the names of headers in rejections that nobody reads, each once.
pub(crate) struct UnreadHeaders {
    events: Rc<dyn EventSink>,
    told: RefCell<BTreeSet<String>>,
}

impl UnreadHeaders {
    pub(crate) fn new(events: Rc<dyn EventSink>) -> Self {
        Self { events, told: RefCell::default() }
    }

    /// Looks at the headers of an answer.
    pub(crate) fn note(
        &self,
        dialect: &dyn BackendDialect,
        backend: &BackendName,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if !matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return;
        }
        let mut told = self.told.borrow_mut();
        let unread =
            |name: &&HeaderName| !ORDINARY.contains(name) && !dialect.recognizes_header(name);
        for name in headers.keys().filter(unread) {
            if told.len() >= MOST_NAMES || !told.insert(name.to_string()) {
                continue;
            }
            let event =
                EventDraft::new("backend.unread_header").field("header", HeaderLabel(name.clone()));
            let event = event.field("backend", backend).field("status", status.as_u16());
            self.events.emit(event);
        }
    }
}
