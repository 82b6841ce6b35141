//! Execution of one request: placement, sends and safe retries.

mod placement;
mod retries;
mod sending;

pub(crate) use sending::{LeasedStart, SecuredRun, SentRun};

use {
    self::retries::PendingRetry,
    crate::{
        CallerRequest, Proxy,
        attempt::implies_not_run,
        events::RequestLog,
        liveness::RunMonitor,
        outcome::{
            AttemptOutcome, AttemptTarget, HeldPromptPart, NotRunReason, RequestError, RetryReason,
            UnknownReason, WaitLimit,
        },
        quota::ChargeGuard,
        replacement::WaitOutcome,
        request_fingerprint::RequestFingerprint,
        response::AttemptResponse,
        send_tracker::SendTracker,
    },
    gullglade_dispatch::{AttemptTracker, UsedBackend, WorkItem, deadline_for_first_byte},
    gullglade_poison::ContentFingerprint,
    gullglade_traffic::{TrafficRoute, TrafficWorkspace},
    gullglade_units::{BackendName, MonotonicTime, RegionName, ServiceName, WorkspaceName},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Most attempts of one request that certainly did not run. Each is rejected quickly, but a request
/// must not visit all backend servers.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// Most gateways without a path to a backend server that are asked for one request. Each refuses
/// after a round trip.
const MAX_GATEWAYS_WITHOUT_PATH: u32 = 8;

/// Pause between two tries to replace an abandoned run.
const REPLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// `retry-after` for requests that backend servers rejected.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Execution state of one request.
pub(crate) struct RequestExecution {
    pub(crate) proxy: Proxy,
    pub(crate) request: Rc<CallerRequest>,
    pub(crate) fingerprint: Rc<RequestFingerprint>,
    pub(crate) item: WorkItem,
    pub(crate) log: RequestLog,
    /// Limit that applies to the whole request.
    pub(crate) total_limit: WaitLimit,
    /// Charge to the quota of the workspace; only at the gateway that received the request from its
    /// caller.
    charge: Option<ChargeGuard>,
    /// Attempts that may have run.
    ledger: AttemptTracker,
    /// Backend server to which the request is being sent back.
    return_target: Option<UsedBackend>,
    /// Number of attempts that certainly did not run.
    not_run_attempts: u32,
    /// Number of gateways that refused the request because they have no path to a backend server.
    gateways_without_path: u32,
    /// Retry to be taken from the budget when there is a place for it.
    pending_retry: Option<PendingRetry>,
    sends: SendTracker,
    /// True if this is the request that probes suspects whose hold has ended.
    is_probe: Cell<bool>,
    /// The next attempt, if its place is already secured.
    secured: Option<SecuredRun>,
    /// True if a run was abandoned for another one that has not begun yet.
    must_replace_run: bool,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

/// A request with its route.
struct RoutedRequest {
    route: Rc<TrafficRoute>,
    workspace: Option<Rc<TrafficWorkspace>>,
    service: ServiceName,
    /// Time since the caller sent the request.
    waited: Duration,
    /// Time left for the request.
    left: Duration,
    total_limit: WaitLimit,
    /// True if the request came from a caller, not from another gateway.
    is_from_caller: bool,
}

/// Decisions of the forwarding gateway about a request.
pub(crate) struct ForwardedRequest {
    /// Fingerprint of the request, if it was computed.
    pub(crate) fingerprint: Option<ContentFingerprint>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Time since the caller sent the request.
    pub(crate) waited: Duration,
    /// Remaining time to the deadline of the request.
    pub(crate) left: Duration,
    /// Backend servers that were tried and must not be tried again.
    pub(crate) tried: Vec<BackendName>,
    /// The only backend server that may get the request, if it is sent back to one.
    pub(crate) returns_to: Option<BackendName>,
}

impl RequestExecution {
    /// Starts a caller's request that has waited here for `waited`.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the request is refused before it is queued.
    pub(crate) fn begin(
        proxy: &Proxy,
        request: CallerRequest,
        waited: Duration,
    ) -> Result<Self, RequestError> {
        let traffic = proxy.traffic().ok_or(RequestError::NoConfiguration)?;
        let route = traffic.config.routes().find(&request.host, request.path()).cloned();
        let route = route.ok_or(RequestError::NoRoute)?;
        let workspace = proxy.access().authorize(&traffic.config, &route, request.key.as_ref())?;
        let (left, total_limit) = time_limit(&route, &request, waited);
        if !proxy.has_time_for(left) {
            return Err(RequestError::Leaving);
        }
        let charge = match &workspace {
            Some(workspace) => Some(charge(proxy, &request, workspace)?),
            None => None,
        };
        let service = route.target(proxy.context().random.unit()).clone();
        let routed = RoutedRequest {
            route,
            workspace,
            service,
            waited,
            left,
            total_limit,
            is_from_caller: true,
        };
        Ok(Self { charge, ..Self::new(proxy, request, None, routed) })
    }

    /// Starts a request that another gateway forwarded here. Returns `None` if no route
    /// matches, or if this region may not serve it.
    pub(crate) fn forwarded(
        proxy: &Proxy,
        request: CallerRequest,
        forwarded: ForwardedRequest,
    ) -> Option<Self> {
        let ForwardedRequest { fingerprint, service, workspace, waited, left, tried, returns_to } =
            forwarded;
        let traffic = proxy.traffic()?;
        let route = traffic.config.routes().find(&request.host, request.path()).cloned()?;
        traffic.config.service(&service)?;
        let workspace = match workspace {
            Some(name) => Some(Rc::clone(traffic.config.workspaces().get(&name)?)),
            None => None,
        };
        // The time limit was set by the gateway that received the request, with the configuration
        // version that routed it there.
        let total_limit = WaitLimit::Deadline;
        let routed = RoutedRequest {
            route,
            workspace,
            service,
            waited,
            left,
            total_limit,
            is_from_caller: false,
        };
        let mut execution = Self::new(proxy, request, fingerprint, routed);
        execution.item.tried = tried;
        execution.item.returns_to = returns_to;
        execution.item.allows(proxy.region()).then_some(execution)
    }

    fn new(
        proxy: &Proxy,
        request: CallerRequest,
        fingerprint: Option<ContentFingerprint>,
        routed: RoutedRequest,
    ) -> Self {
        let RoutedRequest { route, workspace, service, waited, left, total_limit, is_from_caller } =
            routed;
        let now = proxy.context().clock.now();
        // The monotonic clock of this process may be younger than the request and must not go below
        // zero.
        let arrived = MonotonicTime(now.0.saturating_sub(waited));
        let ends = now + left;
        let first_byte_deadline = match request.resume_after {
            Some(_) => ends,
            None => deadline_for_first_byte(arrived, ends, route.event_timeout),
        };
        let item = WorkItem {
            service,
            route,
            workspace,
            arrived,
            deadline: ends,
            first_byte_deadline,
            prompt: request.prompt.clone(),
            tried: Vec::new(),
            unreachable: Vec::new(),
            returns_to: None,
            may_forward: is_from_caller,
            is_new: is_from_caller,
        };
        let ledger = AttemptTracker::new(item.route.max_attempts);
        let log = RequestLog::new(proxy, &request, &item, total_limit);
        let last_event = request.resume_after;
        let request = Rc::new(request);
        let workspace = item.workspace.as_ref().map(|workspace| workspace.name.clone());
        let service = item.service.clone();
        let fingerprint = RequestFingerprint::new(
            &request,
            workspace,
            service,
            proxy.fingerprint_key(),
            fingerprint,
        );
        Self {
            proxy: proxy.clone(),
            request,
            fingerprint,
            item,
            log,
            total_limit,
            charge: None,
            ledger,
            return_target: None,
            not_run_attempts: 0,
            gateways_without_path: 0,
            pending_retry: None,
            sends: SendTracker::default(),
            is_probe: Cell::default(),
            secured: None,
            must_replace_run: false,
            last_event,
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.proxy.context().clock.now()
    }

    /// Returns the remaining time to the deadline: that of the first event until the response has
    /// begun, that of the request afterwards.
    pub(crate) fn left(&self) -> Duration {
        self.item.first_byte_deadline.since(self.now())
    }

    /// Notes that the response has begun. From now on the caller waits until its end.
    pub(crate) fn note_response_begun(&mut self) {
        self.item.first_byte_deadline = self.item.deadline;
    }

    /// Returns the limit that is reached when no time is left.
    pub(crate) fn reached_limit(&self) -> WaitLimit {
        match self.item.first_byte_deadline < self.item.deadline {
            true => WaitLimit::FirstEvent,
            false => self.total_limit,
        }
    }

    /// Makes attempts until a response begins.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if no further attempt may be made.
    pub(crate) async fn next_response(&mut self) -> Result<AttemptResponse, RequestError> {
        loop {
            let outcome = match self.attempt().await {
                Ok(Some(outcome)) => outcome,
                Ok(None) => continue,
                Err(error) => {
                    self.retry_abandoned_run(error).await?;
                    continue;
                }
            };
            self.update_charge(&outcome);
            match outcome {
                AttemptOutcome::Response(response) => {
                    if self.is_misleading_not_run(&response) {
                        self.ledger.note_ended();
                        return Err(self.unknown(UnknownReason::Garbled));
                    }
                    self.must_replace_run = false;
                    return Ok(*response);
                }
                AttemptOutcome::NotRun(reason, wait) => {
                    if let Err(error) = self.handle_not_run(reason, wait) {
                        self.retry_abandoned_run(error).await?;
                    }
                }
                AttemptOutcome::Unknown(reason) => {
                    self.must_replace_run = false;
                    self.handle_unknown(reason)?;
                }
            }
        }
    }

    /// Waits before the next attempt if this gateway abandoned a run for a replacement that was
    /// rejected: the old run is gone, so the request is tried until its time is over. In all other
    /// cases returns `error`.
    async fn retry_abandoned_run(&mut self, error: RequestError) -> Result<(), RequestError> {
        let is_final = !matches!(error, RequestError::Unknown(_)) || !self.may_run_again();
        if is_final || !self.must_replace_run {
            return Err(error);
        }
        self.proxy.context().clock.sleep(REPLACEMENT_RETRY_PAUSE.min(self.left())).await;
        if self.left().is_zero() {
            self.log.note_limit(self.reached_limit());
            return Err(RequestError::TimedOut);
        }
        if self.pending_retry.is_none() {
            let reason = RetryReason::Unknown(UnknownReason::Overdue);
            self.pending_retry = Some(PendingRetry { reason, fallback: error });
        }
        Ok(())
    }

    /// Notes that the charged quota has not been used, if the request has not run in any attempt.
    fn update_charge(&mut self, outcome: &AttemptOutcome) {
        let has_run = self.ledger.has_run() || !matches!(outcome, AttemptOutcome::NotRun(..));
        if let Some(charge) = self.charge.as_mut().filter(|_| !has_run) {
            charge.note_not_run();
        }
    }

    /// Returns `true` if the response has a status that callers take for "not run" although the
    /// backend server did not state so. For a non-repeatable request such a response must not be
    /// relayed.
    fn is_misleading_not_run(&self, response: &AttemptResponse) -> bool {
        implies_not_run(response.status) && !self.item.route.kind.may_repeat()
    }

    /// Makes one attempt, at the secured place or at the next one given. Returns `None` if another
    /// place was secured while the attempt was silent.
    async fn attempt(&mut self) -> Result<Option<AttemptOutcome>, RequestError> {
        let SentRun { monitor, outcome, .. } = match self.secured.take() {
            Some(SecuredRun::Sent(sent)) => sent,
            Some(SecuredRun::Place(found)) => self.send(found),
            None => {
                let found = self.find_place().await?;
                self.send(found)
            }
        };
        let outcome = match self.wait_or_replace(&monitor, outcome).await {
            WaitOutcome::Output(outcome) => outcome,
            WaitOutcome::Replaced => return Ok(None),
            WaitOutcome::TimedOut => AttemptOutcome::Unknown(UnknownReason::Overdue),
        };
        self.record_attempt(&monitor, &outcome);
        Ok(Some(outcome))
    }

    /// Replaces `run`, which is in progress and may have run, by `secured`.
    pub(crate) fn replace_with(&mut self, run: &RunMonitor, secured: SecuredRun) {
        let used = run.backend().map(|name| UsedBackend { region: self.region_of(run), name });
        self.ledger.note_given_up(used);
        self.must_replace_run = true;
        self.secured = Some(secured);
    }

    /// Counts an attempt that was made concurrently with a run that continues.
    pub(crate) fn count_concurrent_attempt(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotRun(..) => self.not_run_attempts += 1,
            AttemptOutcome::Unknown(_) | AttemptOutcome::Response(_) => {
                self.ledger.note_ended_beside()
            }
        }
    }

    fn region_of(&self, run: &RunMonitor) -> RegionName {
        match &run.target {
            AttemptTarget::Local(_) => self.proxy.region().clone(),
            AttemptTarget::Remote(region) => region.clone(),
        }
    }

    /// Records the target of an attempt, so that the next attempt avoids a target that failed.
    pub(crate) fn record_attempt(&mut self, run: &RunMonitor, outcome: &AttemptOutcome) {
        let may_return = matches!(
            outcome,
            AttemptOutcome::NotRun(NotRunReason::Shed | NotRunReason::Revoked, _)
        );
        match (outcome, &run.target) {
            (AttemptOutcome::Response(_), AttemptTarget::Local(backend)) => {
                self.log.set_backend(backend)
            }
            (AttemptOutcome::Response(_), AttemptTarget::Remote(_)) => {}
            (_, AttemptTarget::Local(backend)) => self.log.record_failed_at(backend, outcome),
            (_, AttemptTarget::Remote(region)) => self.log.record_failed_remotely(region, outcome),
        }
        match (outcome, &run.target) {
            (AttemptOutcome::Response(_), _) => {}
            // Other gateways of this region may still reach the backend server.
            (
                AttemptOutcome::NotRun(NotRunReason::Unreachable, _),
                AttemptTarget::Local(backend),
            ) => self.item.unreachable.push(backend.clone()),
            (
                AttemptOutcome::NotRun(NotRunReason::Unreachable, _),
                AttemptTarget::Remote(region),
            ) if region == self.proxy.region() => {}
            _ if may_return => {}
            _ => self.item.tried.extend(run.backend()),
        }
    }

    /// Plans a retry of a request that certainly did not run, if one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if there is no retry.
    fn handle_not_run(
        &mut self,
        reason: NotRunReason,
        wait: Option<Duration>,
    ) -> Result<(), RequestError> {
        if let NotRunReason::HeldBack { ends } = reason {
            let left = wait.unwrap_or_default();
            return Err(RequestError::HeldBack { print: self.fingerprint.get(), ends, left });
        }
        if let NotRunReason::HeldPart(held) = reason {
            return Err(self.held_part(held, wait.unwrap_or_default()));
        }
        match reason {
            NotRunReason::NoPath => self.gateways_without_path += 1,
            _ => self.not_run_attempts += 1,
        }
        if let Some(used) = self.return_target.take().filter(|_| reason.is_transient()) {
            self.ledger.note_return_refused(used);
        }
        let error = match self.ledger.has_run() {
            false => RequestError::NotRun(reason, wait.unwrap_or(SHED_RETRY_AFTER)),
            true => self.unknown(UnknownReason::Broken),
        };
        let may_go_on = self.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
            && self.gateways_without_path < MAX_GATEWAYS_WITHOUT_PATH;
        match may_go_on {
            true if reason.reached_backend() => self.plan_retry(RetryReason::NotRun(reason), error),
            true => Ok(()),
            false => Err(error),
        }
    }

    /// Plans a retry of a request that may have run, if one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if there is no retry.
    pub(crate) fn handle_unknown(&mut self, reason: UnknownReason) -> Result<(), RequestError> {
        self.ledger.note_ended();
        let error = self.unknown(reason);
        match self.may_run_again() {
            true => self.plan_retry(RetryReason::Unknown(reason), error),
            false => Err(error),
        }
    }

    /// Plans a retry of a request to which a backend server responded with an error. Returns
    /// `false` if there is no retry; the caller then gets that response.
    pub(crate) fn handle_failure(&mut self) -> bool {
        self.ledger.note_ended();
        let error = self.unknown(UnknownReason::Incomplete);
        self.may_run_again() && self.plan_retry(RetryReason::Failed, error).is_ok()
    }

    /// Returns `true` if another run is allowed, regardless of the retry budget.
    pub(crate) fn may_run_again(&self) -> bool {
        let route = &self.item.route;
        route.kind.may_repeat() && self.ledger.next_target().is_some() && !self.left().is_zero()
    }

    /// Returns `true` if the run in progress may be replaced by another one, regardless of the
    /// retry budget.
    pub(crate) fn may_be_replaced(&self) -> bool {
        let route = &self.item.route;
        route.kind.may_repeat() && self.ledger.may_be_replaced() && !self.left().is_zero()
    }

    /// Returns the error of a request with a held prompt part, which has not run unless an earlier
    /// attempt did.
    pub(crate) fn held_part(&self, held: HeldPromptPart, left: Duration) -> RequestError {
        match self.ledger.has_run() {
            true => self.unknown(UnknownReason::Broken),
            false => RequestError::HeldPart { held, left },
        }
    }

    fn unknown(&self, reason: UnknownReason) -> RequestError {
        if self.left().is_zero() { RequestError::TimedOut } else { RequestError::Unknown(reason) }
    }
}

/// Charges a request to the quota of its workspace.
fn charge(
    proxy: &Proxy,
    request: &CallerRequest,
    workspace: &TrafficWorkspace,
) -> Result<ChargeGuard, RequestError> {
    let tokens = request.prompt.as_ref().map(|shape| (shape.prompt_tokens, shape.answer_tokens));
    proxy.quota().charge(&request.id, workspace, tokens).map_err(RequestError::OverQuota)
}

/// Returns the time left for a request, and the limit that determines it.
fn time_limit(
    route: &TrafficRoute,
    request: &CallerRequest,
    waited: Duration,
) -> (Duration, WaitLimit) {
    let timeout = route.timeout.saturating_sub(waited);
    match request.caller_timeout {
        Some(caller_timeout) if caller_timeout < timeout => (caller_timeout, WaitLimit::Deadline),
        _ => (timeout, WaitLimit::RouteTimeout),
    }
}
