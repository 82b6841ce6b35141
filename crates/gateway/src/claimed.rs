//! Requests with an idempotency key: claimed before routing, and permitted to run immediately
//! before the first byte is sent.

use {
    crate::{
        call::{CallPlan, Idempotency},
        gateway::Gateway,
        placement::AttemptHistory,
        refusal,
    },
    gullglade_claim::{
        ClaimError, ClaimGrant, ClaimOutcome, ClaimRequest, ReleaseProof, RequestFingerprint,
        RunPermit, StoredAnswer,
    },
    gullglade_event::RequestOutcome,
    gullglade_http::{ApiError, ReplyBody, RunState},
    gullglade_units::OrderKey,
    http::{HeaderName, HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    std::time::Duration,
};

/// Reply header that marks the stored answer of an earlier send.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("gullglade-replayed");

/// Retry delay stated to a caller while another send with the same key is running.
const RESEND_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The state of the claim on a request's key.
#[derive(Debug, Default)]
pub(crate) enum ClaimStage {
    /// The request has no key.
    #[default]
    None,
    /// The claim is granted; this send may proceed to dispatch.
    Granted(ClaimGrant),
    /// This send holds the permit to run.
    Running(RunPermit),
}

/// The next step after a claim.
enum ClaimStep {
    /// Route the request.
    Proceed(ClaimStage),
    /// Send this reply.
    Reply(Box<Response<ReplyBody>>),
}

impl Gateway {
    /// Answers a request under the claim on its key: with the stored answer if one exists,
    /// otherwise by calling `answer`. Releases the claim if `answer` fails.
    pub(crate) async fn answer_claimed(
        &self,
        plan: &CallPlan,
        answer: impl AsyncFnOnce(&mut AttemptHistory) -> Result<Response<ReplyBody>, ApiError>,
    ) -> Result<Response<ReplyBody>, ApiError> {
        let mut history = AttemptHistory::default();
        match self.claim(plan).await? {
            ClaimStep::Proceed(stage) => history.claim = stage,
            ClaimStep::Reply(response) => {
                plan.span.set_outcome(RequestOutcome::Answered);
                return Ok(*response);
            }
        }
        match answer(&mut history).await {
            Ok(response) => Ok(response),
            Err(error) => Err(self.release_claim(&mut history, error).await),
        }
    }

    /// Claims the key of the request, if it has one.
    async fn claim(&self, plan: &CallPlan) -> Result<ClaimStep, ApiError> {
        let Idempotency::Keyed(key) = &plan.idempotency else {
            return Ok(ClaimStep::Proceed(ClaimStage::None));
        };
        let allowed_regions = match &plan.home {
            Some(home) => std::slice::from_ref(home),
            None => &plan.document.regions,
        };
        let request = ClaimRequest {
            key,
            workspace: &plan.workspace,
            service_region: plan.home.as_ref().unwrap_or(&plan.document.claim_region),
            allowed_regions,
            fingerprint: fingerprint(plan),
            received: plan.received,
            wait: self.config.claim_wait.min(self.remaining(plan)),
        };
        let outcome = self.claims.claim(request).await.map_err(|e| claim_refusal(&e))?;
        self.emit(plan, "claim.decided", |e| e.field("outcome", outcome_label(&outcome)));
        claim_step(outcome, key)
    }

    /// Exchanges the grant for the permit to run. No byte of the request may be sent before this
    /// succeeds.
    pub(crate) async fn begin_run(&self, history: &mut AttemptHistory) -> Result<(), ApiError> {
        match std::mem::take(&mut history.claim) {
            ClaimStage::Granted(grant) => {
                let permit = grant.dispatch().await.map_err(|e| claim_refusal(&e))?;
                history.claim = ClaimStage::Running(permit);
            }
            stage => history.claim = stage,
        }
        Ok(())
    }

    /// Releases the claim after `error` and returns the error for the caller. It reports `not-run`
    /// only if the replicas agree that no send with the key has run.
    async fn release_claim(&self, history: &mut AttemptHistory, error: ApiError) -> ApiError {
        let proof = match std::mem::take(&mut history.claim) {
            ClaimStage::None => return error,
            ClaimStage::Granted(grant) => grant.release_not_run().await,
            // Dropping the permit records the outcome as unknown.
            ClaimStage::Running(_) if history.may_have_run => return error,
            ClaimStage::Running(permit) => permit.release_not_run().await,
        };
        match proof {
            ReleaseProof::NotRun => error,
            ReleaseProof::Unknown => error.run(RunState::Unknown),
        }
    }
}

fn fingerprint(plan: &CallPlan) -> RequestFingerprint {
    let content_type = plan.content.headers.iter().find(|h| h.name == CONTENT_TYPE.as_str());
    RequestFingerprint::new(&[
        plan.service().as_str().as_bytes(),
        plan.content.method.as_str().as_bytes(),
        plan.content.path.as_bytes(),
        content_type.map_or(&[], |h| h.value.as_slice()),
        &plan.content.body,
    ])
}

fn outcome_label(outcome: &ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Granted(_) => "granted",
        ClaimOutcome::Answered(_) => "answered",
        ClaimOutcome::RanUnkept => "ran-unkept",
        ClaimOutcome::Unknown => "unknown",
        ClaimOutcome::InProgress => "in-progress",
        ClaimOutcome::Mismatch => "mismatch",
    }
}

fn claim_step(outcome: ClaimOutcome, key: &OrderKey) -> Result<ClaimStep, ApiError> {
    match outcome {
        ClaimOutcome::Granted(grant) => Ok(ClaimStep::Proceed(ClaimStage::Granted(grant))),
        ClaimOutcome::Answered(answer) => Ok(ClaimStep::Reply(Box::new(replay(&answer)))),
        ClaimOutcome::RanUnkept => Err(ApiError::new(
            StatusCode::CONFLICT,
            "already_run",
            format!("{key} ran, but its answer was not stored; ask the service for the result"),
        )
        .run(RunState::Run)),
        ClaimOutcome::Unknown => Err(refusal::outcome_unknown(false)),
        ClaimOutcome::InProgress => Err(ApiError::new(
            StatusCode::CONFLICT,
            "in_progress",
            format!("another send of {key} may be running; resend the same request for its answer"),
        )
        .run(RunState::Unknown)
        .retry_after(RESEND_RETRY_AFTER)),
        ClaimOutcome::Mismatch => Err(ApiError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            format!("{key} was used for a different request; use a new key for this one"),
        )),
    }
}

fn claim_refusal(error: &ClaimError) -> ApiError {
    let (status, kind) = match error {
        ClaimError::Expired { .. } => (StatusCode::GONE, "key_expired"),
        ClaimError::FromFuture { .. } => (StatusCode::BAD_REQUEST, "key_from_future"),
        ClaimError::RegionNotAllowed { .. } | ClaimError::NoReplicas { .. } => {
            (StatusCode::BAD_REQUEST, "key_region")
        }
        ClaimError::Superseded { .. } => (StatusCode::CONFLICT, "in_progress"),
        ClaimError::NoQuorum { .. } | ClaimError::SendTooOld { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, "claim_unavailable")
        }
    };
    let run = if error.proves_not_run() { RunState::NotRun } else { RunState::Unknown };
    ApiError::new(status, kind, error.to_string()).run(run).retry_after(RESEND_RETRY_AFTER)
}

/// Builds the reply from the stored answer of an earlier send.
fn replay(answer: &StoredAnswer) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::full(answer.body().clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in answer.headers() {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::from_bytes(value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(RunState::HEADER, RunState::Run.to_value());
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

#[cfg(test)]
mod tests;
