//! The lifecycle record of a caller's request: started once and ended once, on every path.

use {
    crate::{call::CallPlan, gateway::GatewayShared},
    gullglade_document::ServiceDocument,
    gullglade_event::{EventDraft, EventSink, MetricSet, RequestOutcome},
    gullglade_http::{ApiError, ReplyBody, RunState},
    gullglade_units::{Clock, MonotonicTime, RequestId, ServiceName, WorkspaceName},
    http::Response,
    std::{cell::Cell, fmt, rc::Rc},
};

/// Counts a request as open until dropped, then records its outcome. A request that is dropped
/// without an outcome, as after the caller disconnects, counts as cancelled.
pub(crate) struct RequestSpan {
    id: RequestId,
    service: ServiceName,
    started: MonotonicTime,
    outcome: Cell<Option<RequestOutcome>>,
    recorder: Option<SpanRecorder>,
}

struct SpanRecorder {
    clock: Rc<dyn Clock>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
}

impl RequestSpan {
    /// Starts the record of a caller's request.
    pub(crate) fn begin(
        gateway: &GatewayShared,
        id: RequestId,
        document: &ServiceDocument,
        workspace: &WorkspaceName,
    ) -> Rc<Self> {
        let service = &document.name;
        let started = gateway.context.clock.now();
        gateway.metrics.open_requests().inc();
        gateway.retry_budget(document).record_first_attempt(started);
        gateway.events.emit(
            EventDraft::new("request.received")
                .field("request", id)
                .field("service", service)
                .field("workspace", workspace),
        );
        let recorder = SpanRecorder {
            clock: Rc::clone(&gateway.context.clock),
            events: Rc::clone(&gateway.events),
            metrics: Rc::clone(&gateway.metrics),
        };
        let (service, outcome) = (service.clone(), Cell::new(None));
        Rc::new(Self { id, service, started, outcome, recorder: Some(recorder) })
    }

    /// Creates the span of a forwarded request, which records nothing: the gateway that received
    /// the request from the caller does.
    pub(crate) fn for_forwarded(
        id: RequestId,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> Rc<Self> {
        let (service, outcome) = (service.clone(), Cell::new(None));
        Rc::new(Self { id, service, started: now, outcome, recorder: None })
    }

    /// Sets the outcome of the request.
    pub(crate) fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(Some(outcome));
    }

    /// Sets the outcome of a request that failed before an answer began. The outcome of an answer
    /// is set when its last byte is sent.
    pub(crate) fn set_error_outcome(&self, outcome: &Result<Response<ReplyBody>, ApiError>) {
        match outcome {
            Ok(_) => {}
            Err(error) if error.run == RunState::NotRun => {
                self.set_outcome(RequestOutcome::Refused)
            }
            Err(_) => self.set_outcome(RequestOutcome::Failed),
        }
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        let Some(recorder) = &self.recorder else { return };
        let outcome = self.outcome.get().unwrap_or(RequestOutcome::Cancelled);
        recorder.metrics.open_requests().dec();
        recorder.metrics.request_ended(&self.service, outcome);
        recorder.events.emit(
            EventDraft::new("request.ended")
                .field("request", self.id)
                .field("outcome", outcome.label())
                .millis("ms", recorder.clock.now().since(self.started)),
        );
    }
}

impl fmt::Debug for RequestSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestSpan").field("id", &self.id).finish_non_exhaustive()
    }
}

impl GatewayShared {
    /// Records the time to the first token.
    pub(crate) fn record_first_token(&self, plan: &CallPlan) {
        let time = self.context.clock.now().since(plan.received);
        self.metrics.first_token(&self.queue_name(&plan.target), time);
    }
}
