//! The account of one caller's request: begun once, ended once, however it ends.

use {
    crate::{call::CallPlan, gateway::GatewayShared},
    gullglade_document::ServiceDocument,
    gullglade_event::{EventDraft, EventSink, MetricSet, RequestOutcome},
    gullglade_http::{ApiError, ReplyBody, RunState},
    gullglade_units::{Clock, MonotonicTime, RequestId, ServiceName, WorkspaceName},
    http::Response,
    std::{cell::Cell, fmt, rc::Rc},
};

/// Counts a request as open until it is dropped, then records how it ended. Dropped without an
/// outcome, as when a caller hangs up and the task with everything in it goes, it counts as
/// cancelled.
pub(crate) struct RequestSpan {
    id: RequestId,
    service: ServiceName,
    started: MonotonicTime,
    outcome: Cell<Option<RequestOutcome>>,
    account: Option<SpanAccount>,
}

struct SpanAccount {
    clock: Rc<dyn Clock>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
}

impl RequestSpan {
    /// Begins the account of a caller's request.
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
        let account = SpanAccount {
            clock: Rc::clone(&gateway.context.clock),
            events: Rc::clone(&gateway.events),
            metrics: Rc::clone(&gateway.metrics),
        };
        let (service, outcome) = (service.clone(), Cell::new(None));
        Rc::new(Self { id, service, started, outcome, account: Some(account) })
    }

    /// The span of a forwarded request, whose account is kept where its caller is.
    pub(crate) fn elsewhere(id: RequestId, service: &ServiceName, now: MonotonicTime) -> Rc<Self> {
        let (service, outcome) = (service.clone(), Cell::new(None));
        Rc::new(Self { id, service, started: now, outcome, account: None })
    }

    /// States how the request ended.
    pub(crate) fn set(&self, outcome: RequestOutcome) {
        self.outcome.set(Some(outcome));
    }

    /// States how a request ended that never got to an answer of its own; an answer states its
    /// end by itself, when its last byte is out.
    pub(crate) fn set_refused(&self, outcome: &Result<Response<ReplyBody>, ApiError>) {
        match outcome {
            Ok(_) => {}
            Err(error) if error.run == RunState::NotRun => self.set(RequestOutcome::Refused),
            Err(_) => self.set(RequestOutcome::Failed),
        }
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        let Some(account) = &self.account else { return };
        let outcome = self.outcome.get().unwrap_or(RequestOutcome::Cancelled);
        account.metrics.open_requests().dec();
        account.metrics.request_ended(&self.service, outcome);
        account.events.emit(
            EventDraft::new("request.ended")
                .field("request", self.id)
                .field("outcome", outcome.label())
                .millis("ms", account.clock.now().since(self.started)),
        );
    }
}

impl fmt::Debug for RequestSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestSpan").field("id", &self.id).finish_non_exhaustive()
    }
}

impl GatewayShared {
    /// Notes the time to the first token.
    pub(crate) fn note_first_token(&self, plan: &CallPlan) {
        let time = self.context.clock.now().since(plan.received);
        self.metrics.first_token(&self.queue_name(&plan.target), time);
    }
}
