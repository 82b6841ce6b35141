//! Questions to the health path of a backend server that may have started again: whether it is cold.

use {
    crate::{BackendDialect, RequestMetadata, dispatcher::Dispatcher},
    bytes::Bytes,
    gullglade_dispatch::{BackendStatements, HealthCheck},
    gullglade_event::{EventDraft, EventSink},
    gullglade_http::{ClientReply, HeadTimeout, HttpClient},
    http::{HeaderMap, Request},
    std::{rc::Rc, time::Duration},
};

/// Time for an answer. The health path waits for a slot like any other request.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// The most bytes of an answer that are read, so that its connection can be kept.
const HEALTH_BODY_LIMIT: usize = 4 << 10;

/// Sends health checks.
pub(crate) struct HealthChecker {
    pub(crate) client: Rc<dyn HttpClient>,
    pub(crate) dialect: Rc<dyn BackendDialect>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) events: Rc<dyn EventSink>,
}

impl HealthChecker {
    /// Asks the backend server and reports what it states. Without an answer it stays taken for cold.
    pub(crate) async fn check(&self, check: HealthCheck) {
        let statements = self.ask(&check).await;
        let cold_left = statements.and_then(|statements| statements.cold_left);
        let event = EventDraft::new("backend.health_checked").field("backend", &check.run.backend);
        let event = event.field("answered", statements.is_some());
        let cold_ms = cold_left.and_then(|left| u64::try_from(left.as_millis()).ok());
        self.events.emit(event.optional("cold_ms", cold_ms));
        let Some(statements) = statements else { return };
        self.dispatcher.update_scheduler(|scheduler, now| {
            scheduler.note_health(&check.run, &statements, now);
        });
    }

    /// Returns the statements of the addressed backend server, or `None` without an answer of it.
    async fn ask(&self, check: &HealthCheck) -> Option<BackendStatements> {
        let metadata = RequestMetadata {
            backend: &check.run.backend,
            left: HEALTH_TIMEOUT,
            priority: 0,
            workspace: None,
            resume_after: None,
            copy_from: None,
        };
        let mut request = Request::get(&check.path).body(Bytes::new()).ok()?;
        *request.headers_mut() = self.dialect.request_headers(&HeaderMap::new(), &metadata);
        request.extensions_mut().insert(HeadTimeout(HEALTH_TIMEOUT));
        let ClientReply { head, body } = self.client.send(check.address, request).await.ok()?;
        let metadata = self.dialect.read_response(head.status, &head.headers);
        // The head is what counts; a body that is too long or broken only costs the connection.
        drop(body.collect(HEALTH_BODY_LIMIT).await);
        (!metadata.is_other_instance).then_some(metadata.statements)
    }
}
