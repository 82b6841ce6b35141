//! Log events and metrics of requests.

use {
    crate::{
        CallerRequest, CallerRequestId, Proxy,
        outcome::{
            AttemptOutcome, AttemptTarget, KeptReason, RequestError, RetryReason, UnknownReason,
            WaitLimit,
        },
    },
    gullglade_dispatch::{
        PromptCopy, RefusalDetails, RefusalReason, RepeatDecision, UsedBackend, WorkItem,
    },
    gullglade_event::{EventDraft, EventSink, Level, MetricSet, RequestOutcome},
    gullglade_units::{BackendName, Clock, ModelName, MonotonicTime, RegionName},
    http::StatusCode,
    std::{rc::Rc, time::Duration},
};

/// Logs and counts the events of one request. If dropped before the request was finished, the
/// caller has disconnected.
pub(crate) struct RequestLog {
    id: CallerRequestId,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
    clock: Rc<dyn Clock>,
    service: gullglade_units::ServiceName,
    arrived: MonotonicTime,
    objective: Duration,
    /// Version of the configuration that routed the request.
    version: Option<u64>,
    first_byte: Option<Duration>,
    backend: Option<BackendName>,
    sends: u32,
    /// Most sends that the route allows.
    max_sends: u32,
    /// Number of relayed chunks with complete events.
    chunks: u64,
    /// Time of the last output for the request.
    last_progress: MonotonicTime,
    /// Longest pause between two chunks that callers accept as prompt.
    gap_objective: Option<Duration>,
    /// Limit that applies to the whole request.
    total_limit: WaitLimit,
    /// Limit that ended the last wait for a run.
    limit: Option<WaitLimit>,
    /// True if the backend server was at work when its run was abandoned for another one; `None`
    /// once output has come since.
    replaced_at_work: Option<bool>,
    /// Last decision of the retry budget.
    retry_decision: Option<&'static str>,
    /// Target of the last attempt.
    last_target: Option<AttemptTarget>,
    is_finished: bool,
}

impl RequestLog {
    /// Creates the log of the request `item`, whose total time is limited by `total_limit`.
    pub(crate) fn new(
        proxy: &Proxy,
        request: &CallerRequest,
        item: &WorkItem,
        total_limit: WaitLimit,
    ) -> Self {
        Self {
            id: request.id.clone(),
            events: Rc::clone(proxy.events()),
            metrics: Rc::clone(proxy.metrics()),
            clock: Rc::clone(&proxy.context().clock),
            service: item.service.clone(),
            arrived: item.arrived,
            objective: item.route.objective,
            version: proxy.traffic().map(|t| t.config.version()),
            first_byte: None,
            backend: None,
            sends: 0,
            max_sends: item.route.max_attempts,
            chunks: 0,
            last_progress: proxy.context().clock.now(),
            gap_objective: item.route.gap_objective,
            total_limit,
            limit: None,
            replaced_at_work: None,
            retry_decision: None,
            last_target: None,
            // The gateway that forwarded a request logs its end; this one logs only its own
            // attempt.
            is_finished: !item.may_forward,
        }
    }

    fn event(&self, kind: &'static str) -> EventDraft {
        EventDraft::new(kind)
            .field("request", &self.id)
            .field("service", &self.service)
            .millis("age_ms", self.age())
    }

    fn age(&self) -> Duration {
        self.clock.now().since(self.arrived)
    }

    /// Adds the progress of the request, which distinguishes a limit of this gateway from a failure
    /// elsewhere.
    fn with_progress(&self, event: EventDraft) -> EventDraft {
        let event = event.field("sends", self.sends).field("allowed", self.max_sends);
        let event = event.field("pieces", self.chunks).millis("pause_ms", self.pause());
        let event = event.optional("limit", self.limit.map(WaitLimit::label));
        let event = event.optional("replaced_at_work", self.replaced_at_work);
        let event =
            event.field("bound", self.total_limit.label()).optional("repeat", self.retry_decision);
        event.optional("last_place", self.last_target.as_ref()).optional("version", self.version)
    }

    /// Returns the time since the last output for the request.
    fn pause(&self) -> Duration {
        self.clock.now().since(self.last_progress)
    }

    /// Records the limit that ended a wait.
    pub(crate) fn note_limit(&mut self, limit: WaitLimit) {
        self.limit = Some(limit);
    }

    /// Records that the run was abandoned for another one that is secured.
    pub(crate) fn note_replaced(&mut self, is_at_work: bool) {
        self.replaced_at_work = Some(is_at_work);
    }

    /// Records a chunk with complete events.
    pub(crate) fn note_chunk(&mut self) {
        let pause = self.pause();
        if self.chunks > 0 && self.gap_objective.is_some_and(|gap| pause > gap) {
            self.metrics.stream_pause(&self.service, pause);
        }
        self.chunks += 1;
        self.last_progress = self.clock.now();
        self.limit = None;
        self.replaced_at_work = None;
    }

    pub(crate) fn record_placed(
        &mut self,
        backend: &BackendName,
        expected_ms: f64,
        copy: Option<PromptCopy>,
    ) {
        self.sends += 1;
        self.last_target = Some(AttemptTarget::Local(backend.clone()));
        let event = self.event("request.placed").field("backend", backend);
        let event = event.optional("version", self.version).field("send", self.sends);
        let event = event.optional("copied_tokens", copy.map(|copy| copy.tokens));
        self.events.emit(event.field("expected_ms", expected_ms.round()));
    }

    pub(crate) fn record_sent_away(
        &mut self,
        region: &RegionName,
        here_ms: Option<f64>,
        item: &WorkItem,
    ) {
        self.sends += 1;
        self.last_target = Some(AttemptTarget::Remote(region.clone()));
        self.metrics.sent_away(&item.service, region);
        let event = self.event("request.away").field("region", region);
        self.events.emit(event.optional("here_ms", here_ms.map(f64::round)));
    }

    /// Logs that the request is sent back to a backend server at which its run was abandoned.
    pub(crate) fn record_return(&self, used: &UsedBackend) {
        let event = self.event("request.goes_back").field("backend", &used.name);
        self.events.emit(event.field("region", &used.region));
    }

    pub(crate) fn set_backend(&mut self, backend: &BackendName) {
        self.backend = Some(backend.clone());
    }

    pub(crate) fn record_refused(
        &self,
        reason: RefusalReason,
        wait: Duration,
        details: RefusalDetails,
        item: &WorkItem,
    ) {
        let event = self.event("request.refused").field("reason", reason);
        let event = event.field("priority", item.priority());
        let workspace = item.workspace.as_ref().map(|workspace| &workspace.name);
        let event = event.optional("workspace", workspace);
        let event = event.field("known", details.known).field("serving", details.serving);
        let event = event.field("suspect", details.suspect).field("cold", details.cold);
        let event = event.field("backed_off", details.backed_off);
        let event = event.field("regions", details.regions).field("paused", details.paused);
        let event = event.field("waiting", details.waiting).optional("share", details.share);
        let event = event.optional("version", self.version);
        self.events.emit(event.millis("retry_after_ms", wait));
    }

    pub(crate) fn record_failed_at(&self, backend: &BackendName, outcome: &AttemptOutcome) {
        let event =
            failure(self.event("request.attempt_failed"), outcome).field("backend", backend);
        self.events.emit(self.with_progress(event));
    }

    pub(crate) fn record_failed_remotely(&self, region: &RegionName, outcome: &AttemptOutcome) {
        let event = failure(self.event("request.attempt_failed"), outcome).field("region", region);
        self.events.emit(self.with_progress(event));
    }

    /// Logs that a run continues, since the run that was to replace it did not take over.
    pub(crate) fn record_run_kept(&self, target: &AttemptTarget, reason: KeptReason) {
        let event = self.event("request.run_kept").field("reason", reason.label());
        self.events.emit(self.with_progress(event.field("place", target)));
    }

    /// Logs that a lease ended without a commit from the calling gateway.
    pub(crate) fn record_lease_ended(&self) {
        self.events.emit(self.event("request.lease_ended").level(Level::Warn));
    }

    /// Logs and counts a decision of the retry budget.
    pub(crate) fn record_retry(&mut self, reason: RetryReason, decision: RepeatDecision) {
        let RepeatDecision { is_granted, requests, repeats, parts } = decision;
        self.metrics.repeat(&self.service, reason.label(), is_granted);
        let (kind, label) = match is_granted {
            true => ("request.repeat_granted", "granted"),
            false => ("request.repeat_denied", "denied"),
        };
        self.retry_decision = Some(label);
        let event = self.event(kind).field("reason", reason.label());
        let event = event.field("requests", requests).field("repeats", repeats);
        self.events.emit(event.field("parts", parts));
    }

    /// Logs how long the request waited for a retry that the budget did not have.
    pub(crate) fn record_retry_awaited(&self, waited: Duration) {
        self.events.emit(self.event("request.repeat_awaited").millis("waited_ms", waited));
    }

    pub(crate) fn record_retry_after_failure(&self, status: StatusCode) {
        let event = self.event("request.repeated").field("status", status.as_u16());
        self.events.emit(event.optional("backend", self.backend.as_ref()));
    }

    pub(crate) fn note_first_event(&mut self) {
        self.first_byte.get_or_insert(self.clock.now().since(self.arrived));
    }

    pub(crate) fn record_resumed(&self, reason: UnknownReason, after: Option<u64>) {
        let event = self.event("stream.resumed").field("reason", reason);
        self.events.emit(event.optional("after", after));
    }

    /// Logs and counts a stream that ended before its last event. `is_at_work` is true if the
    /// backend server of its run has responded to any request lately; `None` if unknown.
    pub(crate) fn record_broke_off(
        &mut self,
        reason: UnknownReason,
        is_at_work: Option<bool>,
        item: &WorkItem,
    ) {
        let event = self.event("stream.broke_off").level(Level::Warn).field("reason", reason);
        let event = event.optional("backend", self.backend.as_ref());
        self.events.emit(self.with_progress(event.optional("at_work", is_at_work)));
        // A replacement by this gateway takes precedence over a limit that was reached later.
        let limit = match self.replaced_at_work {
            Some(_) => "replaced",
            None => self.limit.map_or("none", WaitLimit::label),
        };
        let is_at_work = self.replaced_at_work.or(is_at_work);
        self.metrics.stream_broke_off(&item.service, limit, is_at_work);
        self.end(RequestOutcome::Failed, item);
    }

    /// Logs and counts a response that was relayed completely.
    pub(crate) fn record_answered(&mut self, status: StatusCode, item: &WorkItem) {
        let first = self.first_byte.unwrap_or_else(|| self.age());
        let is_late = first > self.objective;
        // Separate event kinds, since ordinary responses are many and their lines are the first to
        // be dropped.
        let kind = match (is_late, self.sends) {
            (true, _) => "request.answered_late",
            (false, 2..) => "request.answered_after_repeat",
            (false, _) => "request.answered",
        };
        let event = self.event(kind);
        let event = event.field("status", status.as_u16()).millis("first_ms", first);
        let event = event.field("late", is_late).field("sends", self.sends);
        self.events.emit(event.optional("backend", self.backend.as_ref()));
        if let Ok(model) = ModelName::try_from(self.service.as_str()) {
            self.metrics.first_token(&model, first);
        }
        let outcome = match status.is_server_error() {
            true => RequestOutcome::Failed,
            false => RequestOutcome::Answered,
        };
        self.end(outcome, item);
    }

    /// Logs and counts an error response of this gateway's own.
    pub(crate) fn record_error(&mut self, error: RequestError, item: &WorkItem) {
        let (kind, outcome) = match error {
            RequestError::Refused(..) => return self.end(RequestOutcome::Refused, item),
            RequestError::NotRun(..) => ("request.not_run", RequestOutcome::Refused),
            RequestError::Unknown(_) => ("request.unknown", RequestOutcome::Failed),
            RequestError::TimedOut => ("request.timed_out", RequestOutcome::Failed),
            RequestError::HeldBack { .. } => {
                self.metrics.held_back();
                ("request.held_back", RequestOutcome::Failed)
            }
            RequestError::HeldPart { .. } => {
                self.metrics.held_back();
                ("request.held_back", RequestOutcome::Refused)
            }
            RequestError::NoConfiguration
            | RequestError::NoRoute
            | RequestError::NoAccess(_)
            | RequestError::OverQuota(_)
            | RequestError::Leaving => ("request.no_route", RequestOutcome::Refused),
        };
        let event = self.event(kind).level(Level::Warn);
        let event = match error {
            RequestError::NotRun(reason, _) => {
                event.field("sends", self.sends).field("reason", reason)
            }
            RequestError::Unknown(reason) => self.with_progress(event.field("reason", reason)),
            RequestError::TimedOut => self.with_progress(event),
            RequestError::HeldBack { print, ends, left } => {
                let event = event.field("sends", self.sends).field("fingerprint", print);
                event.field("ends", ends).millis("left_ms", left)
            }
            RequestError::HeldPart { held, left } => {
                let event = event.field("sends", self.sends).field("fingerprint", held.print);
                event.field("ends", held.ends).millis("left_ms", left)
            }
            _ => event.field("sends", self.sends),
        };
        self.events.emit(event);
        self.end(outcome, item);
    }

    fn end(&mut self, outcome: RequestOutcome, item: &WorkItem) {
        if !std::mem::replace(&mut self.is_finished, true) {
            self.metrics.request_ended(&item.service, outcome);
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_finished {
            self.metrics.request_ended(&self.service, RequestOutcome::Cancelled);
            let event = self.event("request.cancelled").field("sends", self.sends);
            self.events.emit(event.optional("backend", self.backend.as_ref()));
        }
    }
}

fn failure(event: EventDraft, outcome: &AttemptOutcome) -> EventDraft {
    match outcome {
        AttemptOutcome::NotRun(reason, _) => event.field("ran", false).field("reason", *reason),
        AttemptOutcome::Unknown(reason) => event.field("reason", *reason),
        AttemptOutcome::Response(_) => event,
    }
}
