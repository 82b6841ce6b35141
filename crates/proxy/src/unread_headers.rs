//! Reports headers of rejections that the dialect does not read.
//!
//! A backend server that rejects work states the reason and the duration in headers. A header that
//! is not read may be a statement to act on, so each name is logged once.

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

/// Most names that are reported by one gateway process.
const MAX_REPORTED_NAMES: usize = 32;

/// Standard HTTP headers, which tell nothing about the readiness of the backend server.
const STANDARD_HEADERS: [HeaderName; 10] = [
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

/// A header name as a log field. It consists of token characters only.
struct HeaderLabel(HeaderName);

impl fmt::Display for HeaderLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.as_str())
    }
}

impl FieldValue for HeaderLabel {}

/// Reports the names of unread headers in rejections, each once.
pub(crate) struct UnreadHeaderReporter {
    events: Rc<dyn EventSink>,
    reported: RefCell<BTreeSet<String>>,
}

impl UnreadHeaderReporter {
    pub(crate) fn new(events: Rc<dyn EventSink>) -> Self {
        Self { events, reported: RefCell::default() }
    }

    /// Reports unread headers of a response if it is a rejection.
    pub(crate) fn check(
        &self,
        dialect: &dyn BackendDialect,
        backend: &BackendName,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        if !matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            return;
        }
        let mut reported = self.reported.borrow_mut();
        let unread = |name: &&HeaderName| {
            !STANDARD_HEADERS.contains(name) && !dialect.recognizes_header(name)
        };
        for name in headers.keys().filter(unread) {
            if reported.len() >= MAX_REPORTED_NAMES || !reported.insert(name.to_string()) {
                continue;
            }
            let event =
                EventDraft::new("backend.unread_header").field("header", HeaderLabel(name.clone()));
            let event = event.field("backend", backend).field("status", status.as_u16());
            self.events.emit(event);
        }
    }
}
