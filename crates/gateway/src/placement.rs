//! The attempt loop: route the request, make an attempt, and decide on a retry after a failure.

use {
    crate::{
        attempt::{AttemptAnswer, AttemptFailure, SelectedBackend},
        attempt_guard::{AttemptGuard, EngineTimeMeter},
        call::CallPlan,
        claimed::ClaimStage,
        decide::{Placement, saturating_u32},
        gateway::Gateway,
        queue_position::{QueuePosition, SlotWait},
        refusal,
    },
    futures::future::{Either, select},
    gullglade_admission::{AdmissionPermit, AdmissionPriority, AdmissionRequest},
    gullglade_document::Priority,
    gullglade_http::ApiError,
    gullglade_route::RefuseReason,
    gullglade_units::{BackendName, RegionName, timeout},
    std::{rc::Rc, time::Duration},
};

/// Interval at which a queued request checks if another region has become the better choice.
const ROUTE_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts made.
    pub(crate) attempts: u32,
    /// Set if one of the attempts may have run.
    pub(crate) may_have_run: bool,
    /// State of the claim on the request's key.
    pub(crate) claim: ClaimStage,
    /// Backend servers whose attempt failed.
    pub(crate) failed_backends: Vec<BackendName>,
    /// Regions whose attempt failed.
    pub(crate) failed_regions: Vec<RegionName>,
    last_reason: Option<String>,
}

impl Gateway {
    /// Attempts `plan` until an attempt answers or no further attempt is allowed. Returns the error
    /// for the caller in the latter case.
    pub(crate) async fn run_attempts(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
    ) -> Result<AttemptAnswer, ApiError> {
        let mut position = QueuePosition::default();
        loop {
            let failure = match self.attempt(plan, history, &mut position).await? {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let keeps_position = position.has_entered() && failure.is_not_run();
            self.record_failure(plan, history, failure);
            let can_continue = match keeps_position {
                true => self.is_retry_safe(plan, history),
                false => self.may_retry(plan, history),
            };
            if !can_continue {
                return Err(self.final_error(plan, history));
            }
        }
    }

    /// Makes one attempt. The outer error is a refusal that further attempts would not change.
    ///
    /// The order of the steps is the same as in the arrival replay of `crates/experiment`: route
    /// with the expected queueing delay, wait in the queue only if the policy prefers that, and
    /// route again once a slot is granted. The queue position is kept while another region is
    /// tried, since that region may refuse.
    async fn attempt(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        position: &mut QueuePosition,
    ) -> Result<Result<AttemptAnswer, AttemptFailure>, ApiError> {
        loop {
            let wait = match position.is_granted() {
                true => Duration::ZERO,
                false => self.expected_wait(plan),
            };
            match self.decide(plan, history, wait) {
                Placement::Refuse(reason, retry_after) => {
                    return Err(self.route_refusal(plan, history, reason, retry_after));
                }
                Placement::Remote(region) => {
                    let forward = self.attempt_remote(plan, history, region);
                    return position.hold_during(&*self.context.clock, forward).await;
                }
                Placement::Local(_) | Placement::Wait(_) if !position.is_granted() => {
                    self.wait_for_slot(plan, history, position).await?;
                }
                Placement::Local(backend) => {
                    return self
                        .attempt_backend(plan, history, backend, position.take_permit())
                        .await;
                }
                // A forwarded request does not wait for the end of a back-off here; it continues in
                // the queue of its region of origin.
                Placement::Backoff(until) if plan.origin.is_none() && until < plan.deadline => {
                    self.wait_for_change(plan, until.since(self.context.clock.now())).await;
                }
                Placement::Backoff(until) => {
                    let reason = "its backend servers have requested a back-off";
                    let wait = until.since(self.context.clock.now());
                    return Err(self.no_answer_error(plan, history, &reason, wait));
                }
                Placement::Wait(_) if self.remaining(plan).is_zero() => {
                    let reason = RefuseReason::TooLate;
                    return Err(self.route_refusal(plan, history, reason, Duration::from_secs(1)));
                }
                Placement::Wait(at_most) => self.wait_for_change(plan, at_most).await,
            }
        }
    }

    async fn attempt_backend(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        backend: SelectedBackend,
        permit: Option<AdmissionPermit>,
    ) -> Result<Result<AttemptAnswer, AttemptFailure>, ApiError> {
        self.begin_run(history).await?;
        history.attempts += 1;
        let guard = AttemptGuard { _permit: permit, ..AttemptGuard::default() };
        let outcome = self.attempt_local(plan, &backend, guard).await;
        // A backend server in back-off is tried again when the back-off ends, so it does not count
        // as failed.
        if outcome.is_err() && self.backends.backoff_until(backend.name()).is_none() {
            history.failed_backends.push(backend.run.backend);
        }
        Ok(outcome)
    }

    async fn attempt_remote(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        region: RegionName,
    ) -> Result<Result<AttemptAnswer, AttemptFailure>, ApiError> {
        self.begin_run(history).await?;
        history.attempts += 1;
        self.metrics.sent_away(plan.service(), &region);
        self.emit(plan, "request.forwarded", |e| e.field("region", &region));
        let outcome = self.attempt_forward(plan, &region).await;
        if outcome.is_err() {
            history.failed_regions.push(region);
        }
        Ok(outcome)
    }

    /// Returns the expected queueing delay for the workspace and priority of `plan`.
    fn expected_wait(&self, plan: &CallPlan) -> Duration {
        let queue = self.queue_name(&plan.target);
        self.admission.expected_wait(&queue, &plan.workspace, admission_priority(plan))
    }

    /// Waits in the queue for a slot. Returns without one if another region has become the better
    /// choice; the caller then routes again.
    async fn wait_for_slot(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        position: &mut QueuePosition,
    ) -> Result<(), ApiError> {
        let mut waiting = match std::mem::take(position) {
            QueuePosition::Waiting(waiting) => waiting,
            _ => self.enqueue(plan),
        };
        loop {
            match select(waiting, self.context.clock.sleep(ROUTE_RECHECK_INTERVAL)).await {
                Either::Left((Ok(permit), _)) => {
                    *position = QueuePosition::Granted(permit);
                    return Ok(());
                }
                Either::Left((Err(refusal), _)) => {
                    let retry_after = refusal.retry_after();
                    return Err(self.no_answer_error(plan, history, &refusal, retry_after));
                }
                Either::Right(((), rest)) => waiting = rest,
            }
            let wait = self.expected_wait(plan);
            if matches!(self.decide(plan, history, wait), Placement::Remote(_)) {
                *position = QueuePosition::Waiting(waiting);
                return Ok(());
            }
        }
    }

    fn enqueue(&self, plan: &CallPlan) -> SlotWait {
        self.refresh_capacity(&plan.target);
        self.admission.acquire(AdmissionRequest {
            workspace: plan.workspace.clone(),
            share: f64::from(plan.share),
            model: self.queue_name(&plan.target),
            priority: admission_priority(plan),
            deadline: Some(plan.deadline),
            cost: saturating_u32(plan.prompt.tokens + plan.max_tokens),
        })
    }

    /// Waits until a slot may have become free, `at_most` has passed or the deadline is reached.
    async fn wait_for_change(&self, plan: &CallPlan, at_most: Duration) {
        let limit = at_most.min(self.remaining(plan)).max(Duration::from_millis(1));
        let _notified = timeout(&*self.context.clock, limit, self.capacity_signal.notified()).await;
    }

    fn record_failure(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        failure: AttemptFailure,
    ) {
        let (reason, ran) = match failure {
            AttemptFailure::NotRun { reason } => (reason, "not-run"),
            AttemptFailure::Unknown { reason } => {
                history.may_have_run = true;
                (reason, "unknown")
            }
        };
        self.emit(plan, "attempt.failed", |e| {
            e.field("run", ran).field("attempt", history.attempts)
        });
        history.last_reason = Some(reason);
    }

    /// Returns whether another attempt is allowed and takes it from the retry budget. The request
    /// must be idempotent or certainly not run, a request with a key is never retried because its
    /// permit is spent, and the service's retry budget keeps an outage of backend servers from
    /// multiplying the load on the rest.
    pub(crate) fn may_retry(&self, plan: &CallPlan, history: &AttemptHistory) -> bool {
        let now = self.context.clock.now();
        history.attempts < self.config.attempt_limit
            && self.is_retry_safe(plan, history)
            && self.retry_budget(&plan.document).try_retry(now)
    }

    /// Waits until the retry budget allows a retry, if it does before the deadline. Used when the
    /// caller already has part of the answer. Another request may take the retry first.
    pub(crate) async fn await_retry_budget(&self, plan: &CallPlan, history: &AttemptHistory) {
        if history.attempts >= self.config.attempt_limit || !plan.is_idempotent() {
            return;
        }
        let budget = self.retry_budget(&plan.document);
        loop {
            let pause = budget.retry_after(self.context.clock.now());
            if pause.is_zero() || pause >= self.remaining(plan) {
                return;
            }
            self.emit(plan, "answer.awaits_retry", |e| e.millis("pause_ms", pause));
            self.context.clock.sleep(pause).await;
        }
    }

    fn is_retry_safe(&self, plan: &CallPlan, history: &AttemptHistory) -> bool {
        let is_safe = plan.is_idempotent() || !history.may_have_run && !plan.is_keyed();
        is_safe && self.remaining(plan) > Duration::ZERO
    }

    pub(crate) fn final_error(&self, plan: &CallPlan, history: &AttemptHistory) -> ApiError {
        let reason = history.last_reason.clone().unwrap_or_default();
        self.no_answer_error(plan, history, &reason, Duration::from_secs(1))
    }

    fn route_refusal(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        reason: RefuseReason,
        retry_after: Duration,
    ) -> ApiError {
        let text = match reason {
            RefuseReason::Residency => "no region that the service allows can take it",
            RefuseReason::Loop => "it has already been forwarded between regions",
            RefuseReason::NoBackend => "no reachable backend server serves it",
            RefuseReason::TooLate => "no backend server can start it before its deadline",
        };
        self.no_answer_error(plan, history, &text, retry_after)
    }

    /// Returns the error for a request without an answer. It states `not-run` only if no attempt
    /// can have run.
    pub(crate) fn no_answer_error(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        reason: &dyn std::fmt::Display,
        retry_after: Duration,
    ) -> ApiError {
        match history.may_have_run {
            true => refusal::outcome_unknown(plan.is_idempotent()),
            false => refusal::no_capacity(reason, retry_after),
        }
    }

    pub(crate) fn engine_time_meter(&self, plan: &CallPlan) -> EngineTimeMeter {
        EngineTimeMeter {
            metrics: Rc::clone(&self.metrics),
            clock: Rc::clone(&self.context.clock),
            model: self.queue_name(&plan.target),
            holding_times: Rc::clone(&self.holding_times),
            capacity_signal: Rc::clone(&self.capacity_signal),
            started: self.context.clock.now(),
        }
    }
}

pub(crate) fn admission_priority(plan: &CallPlan) -> AdmissionPriority {
    match plan.priority {
        Priority::High => AdmissionPriority::High,
        Priority::Normal => AdmissionPriority::Normal,
        Priority::Low => AdmissionPriority::Low,
    }
}

#[cfg(test)]
mod tests;
