//! Placing a request: ask for a decision, make the attempt, and judge its failure.

use {
    crate::{
        attempt::{AttemptAnswer, AttemptFailure, BackendPlace},
        call::CallPlan,
        claimed::ClaimStage,
        decide::{Placement, clamp_u32},
        gateway::Gateway,
        queue_place::{QueuePlace, SlotWait},
        refusal,
        work::{CostMeter, WorkGuard},
    },
    futures::future::{Either, select},
    gullglade_admission::{AdmissionPermit, AdmissionPriority, AdmissionRequest},
    gullglade_document::Priority,
    gullglade_http::ApiError,
    gullglade_route::RefuseReason,
    gullglade_units::{BackendName, RegionName, timeout},
    std::{rc::Rc, time::Duration},
};

/// How often a request that waits in the queue asks whether another region has become better.
const RECHECK_AFTER: Duration = Duration::from_millis(250);

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Attempts made.
    pub(crate) attempts: u32,
    /// Whether one of them may have run.
    pub(crate) may_have_run: bool,
    /// How far the claim on the request's key has come.
    pub(crate) claim: ClaimStage,
    /// Backend servers that failed it.
    pub(crate) failed_backends: Vec<BackendName>,
    /// Regions that could not take it.
    pub(crate) failed_regions: Vec<RegionName>,
    last_reason: Option<String>,
}

impl Gateway {
    /// Places `plan` until an attempt answers, or nothing more may be tried. The error is what the
    /// caller is told.
    pub(crate) async fn place(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
    ) -> Result<AttemptAnswer, ApiError> {
        let mut place = QueuePlace::default();
        loop {
            let failure = match self.attempt(plan, history, &mut place).await? {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            let keeps_place = place.is_held() && failure.is_not_run();
            self.note_failure(plan, history, failure);
            let goes_on = match keeps_place {
                true => self.is_safe_again(plan, history),
                false => self.may_try_again(plan, history),
            };
            if !goes_on {
                return Err(self.give_up(plan, history));
            }
        }
    }

    /// Makes one attempt. The outer error is a refusal that no further attempt would change.
    ///
    /// The order is the one that the replay of arrivals measures (`crates/experiment`): decide with
    /// the wait that the queue would mean, wait in the queue only where that is the best, and decide
    /// anew with a slot in hand. The place in the queue is kept while another region is asked, since
    /// that may refuse.
    async fn attempt(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        place: &mut QueuePlace,
    ) -> Result<Result<AttemptAnswer, AttemptFailure>, ApiError> {
        loop {
            let wait = match place.is_granted() {
                true => Duration::ZERO,
                false => self.expected_wait(plan),
            };
            match self.decide(plan, history, wait) {
                Placement::Refuse(reason, retry_after) => {
                    return Err(self.refused(plan, history, reason, retry_after));
                }
                Placement::Away(region) => {
                    let asking = self.attempt_away(plan, history, region);
                    return place.keep_during(&*self.context.clock, asking).await;
                }
                Placement::Local(_) | Placement::Wait(_) if !place.is_granted() => {
                    self.admit(plan, history, place).await?;
                }
                Placement::Local(backend) => {
                    return self.attempt_at(plan, history, backend, place.take_permit()).await;
                }
                // What another region sent here goes on in its queue there.
                Placement::Backoff(until) if plan.origin.is_none() && until < plan.deadline => {
                    self.wait_for_change(plan, until.since(self.context.clock.now())).await;
                }
                Placement::Backoff(until) => {
                    let reason = "its backend servers have requested a back-off";
                    let wait = until.since(self.context.clock.now());
                    return Err(self.final_refusal(plan, history, &reason, wait));
                }
                Placement::Wait(_) if self.remaining(plan).is_zero() => {
                    let reason = RefuseReason::TooLate;
                    return Err(self.refused(plan, history, reason, Duration::from_secs(1)));
                }
                Placement::Wait(at_most) => self.wait_for_change(plan, at_most).await,
            }
        }
    }

    async fn attempt_at(
        &self,
        plan: &CallPlan,
        history: &mut AttemptHistory,
        backend: BackendPlace,
        permit: Option<AdmissionPermit>,
    ) -> Result<Result<AttemptAnswer, AttemptFailure>, ApiError> {
        self.begin_run(history).await?;
        history.attempts += 1;
        let work = WorkGuard { _permit: permit, ..WorkGuard::default() };
        let outcome = self.attempt_local(plan, &backend, work).await;
        // A back-off says when to come back.
        if outcome.is_err() && self.backends.backoff_until(backend.name()).is_none() {
            history.failed_backends.push(backend.run.backend);
        }
        Ok(outcome)
    }

    async fn attempt_away(
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

    /// How long a request of the plan's workspace would wait in the queue.
    fn expected_wait(&self, plan: &CallPlan) -> Duration {
        let queue = self.queue_name(&plan.target);
        self.admission.expected_wait(&queue, &plan.workspace, admission_priority(plan))
    }

    /// Waits in the queue for a slot. Without one, another region has become the better place
    /// meanwhile, which the caller decides anew.
    async fn admit(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        place: &mut QueuePlace,
    ) -> Result<(), ApiError> {
        let mut waiting = match std::mem::take(place) {
            QueuePlace::Waiting(waiting) => waiting,
            _ => self.enter_queue(plan),
        };
        loop {
            match select(waiting, self.context.clock.sleep(RECHECK_AFTER)).await {
                Either::Left((Ok(permit), _)) => {
                    *place = QueuePlace::Granted(permit);
                    return Ok(());
                }
                Either::Left((Err(refusal), _)) => {
                    let retry_after = refusal.retry_after();
                    return Err(self.final_refusal(plan, history, &refusal, retry_after));
                }
                Either::Right(((), rest)) => waiting = rest,
            }
            let wait = self.expected_wait(plan);
            if matches!(self.decide(plan, history, wait), Placement::Away(_)) {
                *place = QueuePlace::Waiting(waiting);
                return Ok(());
            }
        }
    }

    fn enter_queue(&self, plan: &CallPlan) -> SlotWait {
        self.refresh_capacity(&plan.target);
        self.admission.acquire(AdmissionRequest {
            workspace: plan.workspace.clone(),
            share: f64::from(plan.share),
            model: self.queue_name(&plan.target),
            priority: admission_priority(plan),
            deadline: Some(plan.deadline),
            cost: clamp_u32(plan.prompt.tokens + plan.max_tokens),
        })
    }

    /// Waits until a slot may have become free. The caller's own deadline bounds the sum of waits.
    async fn wait_for_change(&self, plan: &CallPlan, at_most: Duration) {
        let limit = at_most.min(self.remaining(plan)).max(Duration::from_millis(1));
        let _woken = timeout(&*self.context.clock, limit, self.changes.next()).await;
    }

    fn note_failure(&self, plan: &CallPlan, history: &mut AttemptHistory, failure: AttemptFailure) {
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

    /// Whether a further attempt keeps every promise: it is idempotent or was certainly not run, a
    /// claimed request's permit is spent, and retries stay within the service's budget, so that an
    /// outage of backend servers does not multiply the load on those left.
    pub(crate) fn may_try_again(&self, plan: &CallPlan, history: &AttemptHistory) -> bool {
        let now = self.context.clock.now();
        history.attempts < self.config.attempt_limit
            && self.is_safe_again(plan, history)
            && self.retry_budget(&plan.document).try_retry(now)
    }

    /// Waits for a retry that the budget does not have, where it comes in time: the caller of `plan`
    /// has a part of the answer. Others may take it first.
    pub(crate) async fn await_retry(&self, plan: &CallPlan, history: &AttemptHistory) {
        if history.attempts >= self.config.attempt_limit || !plan.is_repeatable() {
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

    fn is_safe_again(&self, plan: &CallPlan, history: &AttemptHistory) -> bool {
        let is_safe = plan.is_repeatable() || !history.may_have_run && !plan.is_claimed();
        is_safe && self.remaining(plan) > Duration::ZERO
    }

    pub(crate) fn give_up(&self, plan: &CallPlan, history: &AttemptHistory) -> ApiError {
        let reason = history.last_reason.clone().unwrap_or_default();
        self.final_refusal(plan, history, &reason, Duration::from_secs(1))
    }

    fn refused(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        reason: RefuseReason,
        retry_after: Duration,
    ) -> ApiError {
        let text = match reason {
            RefuseReason::Residency => "no region that the service allows can take it",
            RefuseReason::Loop => "it has been forwarded before",
            RefuseReason::NoBackend => "no backend server in reach serves it",
            RefuseReason::TooLate => "no backend server can begin before its deadline",
        };
        self.final_refusal(plan, history, &text, retry_after)
    }

    /// A refusal says `not-run` only where no attempt can have run.
    pub(crate) fn final_refusal(
        &self,
        plan: &CallPlan,
        history: &AttemptHistory,
        reason: &dyn std::fmt::Display,
        retry_after: Duration,
    ) -> ApiError {
        match history.may_have_run {
            true => refusal::outcome_unknown(plan.is_repeatable()),
            false => refusal::no_capacity(reason, retry_after),
        }
    }

    pub(crate) fn cost_meter(&self, plan: &CallPlan) -> CostMeter {
        CostMeter {
            metrics: Rc::clone(&self.metrics),
            clock: Rc::clone(&self.context.clock),
            model: self.queue_name(&plan.target),
            holds: Rc::clone(&self.holds),
            changes: Rc::clone(&self.changes),
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
