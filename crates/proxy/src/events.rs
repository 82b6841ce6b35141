//! What is told of a request, in the log and in the metrics.

use {
    crate::{
        CallId, CallerCall, Proxy,
        outcome::{
            AttemptEnd, AttemptPlace, FinalWord, KeptReason, RepeatReason, UnknownReason, WaitLimit,
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

/// Tells of one request. Where it is dropped before the end was told, the caller has left.
pub(crate) struct JourneyLog {
    id: CallId,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
    clock: Rc<dyn Clock>,
    service: gullglade_units::ServiceName,
    arrived: MonotonicTime,
    objective: Duration,
    /// The configuration that routed it.
    version: Option<u64>,
    first_byte: Option<Duration>,
    backend: Option<BackendName>,
    sends: u32,
    /// The sends that its route allows.
    allowed: u32,
    /// Pieces with whole events that were passed on.
    pieces: u64,
    /// When something last came for it.
    heard: MonotonicTime,
    /// The longest pause between two pieces that callers accept as prompt.
    gap_objective: Option<Duration>,
    /// What limits the whole request.
    bound: WaitLimit,
    /// The limit that ended the last wait for a run.
    limit: Option<WaitLimit>,
    /// Whether the backend server was at work of the run that was given up for another one, where
    /// nothing has come since.
    replaced_at_work: Option<bool>,
    /// What the budget of repeats last said.
    repeat: Option<&'static str>,
    /// The backend server or region that was last asked.
    last_place: Option<AttemptPlace>,
    is_over: bool,
}

impl JourneyLog {
    /// Of the request `item`, which `bound` limits as a whole.
    pub(crate) fn new(proxy: &Proxy, call: &CallerCall, item: &WorkItem, bound: WaitLimit) -> Self {
        Self {
            id: call.id.clone(),
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
            allowed: item.route.max_attempts,
            pieces: 0,
            heard: proxy.context().clock.now(),
            gap_objective: item.route.gap_objective,
            bound,
            limit: None,
            replaced_at_work: None,
            repeat: None,
            last_place: None,
            // The gateway that forwarded a request tells of it; this one only of its attempt.
            is_over: !item.may_forward,
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

    /// How far the request has come: what tells a limit of this gateway's from a failure elsewhere.
    fn with_progress(&self, event: EventDraft) -> EventDraft {
        let event = event.field("sends", self.sends).field("allowed", self.allowed);
        let event = event.field("pieces", self.pieces).millis("pause_ms", self.pause());
        let event = event.optional("limit", self.limit.map(WaitLimit::label));
        let event = event.optional("replaced_at_work", self.replaced_at_work);
        let event = event.field("bound", self.bound.label()).optional("repeat", self.repeat);
        event.optional("last_place", self.last_place.as_ref()).optional("version", self.version)
    }

    /// How long nothing has come for the request.
    fn pause(&self) -> Duration {
        self.clock.now().since(self.heard)
    }

    /// A wait ended by this limit.
    pub(crate) fn reached(&mut self, limit: WaitLimit) {
        self.limit = Some(limit);
    }

    /// The run was given up for another one that is secured.
    pub(crate) fn replaced(&mut self, is_at_work: bool) {
        self.replaced_at_work = Some(is_at_work);
    }

    /// A piece with whole events has come.
    pub(crate) fn piece_came(&mut self) {
        let pause = self.pause();
        if self.pieces > 0 && self.gap_objective.is_some_and(|gap| pause > gap) {
            self.metrics.stream_pause(&self.service, pause);
        }
        self.pieces += 1;
        self.heard = self.clock.now();
        self.limit = None;
        self.replaced_at_work = None;
    }

    pub(crate) fn placed(
        &mut self,
        backend: &BackendName,
        expected_ms: f64,
        copy: Option<PromptCopy>,
    ) {
        self.sends += 1;
        self.last_place = Some(AttemptPlace::Here(backend.clone()));
        let event = self.event("request.placed").field("backend", backend);
        let event = event.optional("version", self.version).field("send", self.sends);
        let event = event.optional("copied_tokens", copy.map(|copy| copy.tokens));
        self.events.emit(event.field("expected_ms", expected_ms.round()));
    }

    pub(crate) fn away(&mut self, region: &RegionName, here_ms: Option<f64>, item: &WorkItem) {
        self.sends += 1;
        self.last_place = Some(AttemptPlace::Away(region.clone()));
        self.metrics.sent_away(&item.service, region);
        let event = self.event("request.away").field("region", region);
        self.events.emit(event.optional("here_ms", here_ms.map(f64::round)));
    }

    /// It goes back to a backend server at which its run was given up.
    pub(crate) fn goes_back(&self, used: &UsedBackend) {
        let event = self.event("request.goes_back").field("backend", &used.name);
        self.events.emit(event.field("region", &used.region));
    }

    pub(crate) fn source(&mut self, backend: &BackendName) {
        self.backend = Some(backend.clone());
    }

    pub(crate) fn refused(
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
        let event = event.field("waiting", details.waiting).optional("version", self.version);
        self.events.emit(event.millis("retry_after_ms", wait));
    }

    pub(crate) fn failed_at(&self, backend: &BackendName, end: &AttemptEnd) {
        let event = failure(self.event("request.attempt_failed"), end).field("backend", backend);
        self.events.emit(self.with_progress(event));
    }

    pub(crate) fn failed_away(&self, region: &RegionName, end: &AttemptEnd) {
        let event = failure(self.event("request.attempt_failed"), end).field("region", region);
        self.events.emit(self.with_progress(event));
    }

    /// The run that was to replace this one did not, and this one goes on.
    pub(crate) fn kept(&self, place: &AttemptPlace, reason: KeptReason) {
        let event = self.event("request.run_kept").field("reason", reason.label());
        self.events.emit(self.with_progress(event.field("place", place)));
    }

    /// The calling gateway did not say in time that the run may go on.
    pub(crate) fn lease_ended(&self) {
        self.events.emit(self.event("request.lease_ended").level(Level::Warn));
    }

    /// The budget of repeats was asked for one.
    pub(crate) fn repeat(&mut self, reason: RepeatReason, decision: RepeatDecision) {
        let RepeatDecision { is_granted, requests, repeats, parts } = decision;
        self.metrics.repeat(&self.service, reason.label(), is_granted);
        let (kind, label) = match is_granted {
            true => ("request.repeat_granted", "granted"),
            false => ("request.repeat_denied", "denied"),
        };
        self.repeat = Some(label);
        let event = self.event(kind).field("reason", reason.label());
        let event = event.field("requests", requests).field("repeats", repeats);
        self.events.emit(event.field("parts", parts));
    }

    /// It has waited so long for a repeat that the budget did not have.
    pub(crate) fn repeat_awaited(&self, waited: Duration) {
        self.events.emit(self.event("request.repeat_awaited").millis("waited_ms", waited));
    }

    pub(crate) fn repeats_failure(&self, status: StatusCode) {
        let event = self.event("request.repeated").field("status", status.as_u16());
        self.events.emit(event.optional("backend", self.backend.as_ref()));
    }

    pub(crate) fn first_event(&mut self) {
        self.first_byte.get_or_insert(self.clock.now().since(self.arrived));
    }

    pub(crate) fn resumed(&self, reason: UnknownReason, after: Option<u64>) {
        let event = self.event("stream.resumed").field("reason", reason);
        self.events.emit(event.optional("after", after));
    }

    /// The stream ended before its last event. `is_at_work`: whether the backend server of its run
    /// has answered anybody lately, where that is known.
    pub(crate) fn broke_off(
        &mut self,
        reason: UnknownReason,
        is_at_work: Option<bool>,
        item: &WorkItem,
    ) {
        let event = self.event("stream.broke_off").level(Level::Warn).field("reason", reason);
        let event = event.optional("backend", self.backend.as_ref());
        self.events.emit(self.with_progress(event.optional("at_work", is_at_work)));
        // What this gateway did itself comes before a limit that was reached later.
        let limit = match self.replaced_at_work {
            Some(_) => "replaced",
            None => self.limit.map_or("none", WaitLimit::label),
        };
        let is_at_work = self.replaced_at_work.or(is_at_work);
        self.metrics.stream_broke_off(&item.service, limit, is_at_work);
        self.end(RequestOutcome::Failed, item);
    }

    /// The whole answer was passed on.
    pub(crate) fn answered(&mut self, status: StatusCode, item: &WorkItem) {
        let first = self.first_byte.unwrap_or_else(|| self.age());
        let is_late = first > self.objective;
        // Kinds of their own: ordinary answers are many, and their lines are left out first.
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

    /// The caller was told something of this gateway's own.
    pub(crate) fn ended_with(&mut self, word: FinalWord, item: &WorkItem) {
        let (kind, outcome) = match word {
            FinalWord::Refused(..) => return self.end(RequestOutcome::Refused, item),
            FinalWord::NotRun(..) => ("request.not_run", RequestOutcome::Refused),
            FinalWord::Unknown(_) => ("request.unknown", RequestOutcome::Failed),
            FinalWord::TimedOut => ("request.timed_out", RequestOutcome::Failed),
            FinalWord::HeldBack { .. } => {
                self.metrics.held_back();
                ("request.held_back", RequestOutcome::Failed)
            }
            FinalWord::NoConfiguration
            | FinalWord::NoRoute
            | FinalWord::NoAccess(_)
            | FinalWord::OverQuota(_)
            | FinalWord::Leaving => ("request.no_route", RequestOutcome::Refused),
        };
        let event = self.event(kind).level(Level::Warn);
        let event = match word {
            FinalWord::NotRun(reason, _) => {
                event.field("sends", self.sends).field("reason", reason)
            }
            FinalWord::Unknown(reason) => self.with_progress(event.field("reason", reason)),
            FinalWord::TimedOut => self.with_progress(event),
            FinalWord::HeldBack { print, ends, left } => {
                let event = event.field("sends", self.sends).field("fingerprint", print);
                event.field("ends", ends).millis("left_ms", left)
            }
            _ => event.field("sends", self.sends),
        };
        self.events.emit(event);
        self.end(outcome, item);
    }

    fn end(&mut self, outcome: RequestOutcome, item: &WorkItem) {
        if !std::mem::replace(&mut self.is_over, true) {
            self.metrics.request_ended(&item.service, outcome);
        }
    }
}

impl Drop for JourneyLog {
    fn drop(&mut self) {
        if !self.is_over {
            self.metrics.request_ended(&self.service, RequestOutcome::Cancelled);
            let event = self.event("request.cancelled").field("sends", self.sends);
            self.events.emit(event.optional("backend", self.backend.as_ref()));
        }
    }
}

fn failure(event: EventDraft, end: &AttemptEnd) -> EventDraft {
    match end {
        AttemptEnd::NotRun(reason, _) => event.field("ran", false).field("reason", *reason),
        AttemptEnd::Unknown(reason) => event.field("reason", *reason),
        AttemptEnd::Answer(_) => event,
    }
}
