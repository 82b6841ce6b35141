//! Builds replies to callers, and records answers that are stored for resends.

use {
    crate::{
        attempt::AttemptAnswer,
        call::{CallPlan, ContentHeader},
        claimed::ClaimStage,
    },
    bytes::{Bytes, BytesMut},
    gullglade_claim::{RunPermit, StoredAnswer},
    gullglade_http::{ReplyBody, RunState},
    http::{HeaderName, HeaderValue, Response, StatusCode},
};

/// Reply header with the region whose backend server answered.
const REGION_HEADER: HeaderName = HeaderName::from_static("gullglade-region");

/// Builds a reply from the head of `answer` and `body`.
pub(crate) fn reply(
    plan: &CallPlan,
    answer: &AttemptAnswer,
    body: ReplyBody,
) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    for header in &answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(&header.name), HeaderValue::from_bytes(&header.value))
        {
            headers.append(name, value);
        }
    }
    headers.insert(RunState::HEADER, answer.run.to_value());
    if let Ok(id) = HeaderValue::try_from(plan.id.to_string()) {
        headers.insert(crate::attempt::REQUEST_HEADER, id);
    }
    if let Ok(region) = HeaderValue::try_from(answer.region.as_str()) {
        headers.insert(REGION_HEADER, region);
    }
    response
}

/// Buffers the answer of a claimed request while the answer is relayed.
pub(crate) struct AnswerRecord {
    permit: RunPermit,
    status: StatusCode,
    headers: Vec<ContentHeader>,
    body: Option<BytesMut>,
    limit: usize,
}

impl AnswerRecord {
    /// Returns a record for `answer` if the request runs under a permit.
    pub(crate) fn new(plan: &CallPlan, answer: &AttemptAnswer, stage: ClaimStage) -> Option<Self> {
        let ClaimStage::Running(permit) = stage else { return None };
        Some(Self {
            permit,
            status: answer.status,
            headers: answer.headers.clone(),
            body: Some(BytesMut::new()),
            limit: plan.document.limits.answer_bytes,
        })
    }

    /// Appends a piece of the answer. Discards the body once it exceeds the size limit.
    pub(crate) fn push(&mut self, piece: &Bytes) {
        let Some(body) = &mut self.body else { return };
        if body.len() + piece.len() > self.limit {
            self.body = None;
            return;
        }
        body.extend_from_slice(piece);
    }

    /// Records that the request ran without storing its answer.
    pub(crate) async fn store_outcome_only(self) {
        self.permit.ran_unkept().await;
    }

    /// Stores the answer for resends. If the body exceeded the limit, records only that the request
    /// ran. Must complete before the last byte is sent to the caller.
    pub(crate) async fn store(self) {
        let header = |h: ContentHeader| (h.name, Bytes::from(h.value));
        let headers = self.headers.into_iter().map(header).collect();
        let stored = self.body.and_then(|body| {
            StoredAnswer::new(self.status.as_u16(), headers, body.freeze(), self.limit).ok()
        });
        match stored {
            Some(answer) => self.permit.answered(answer).await,
            None => self.permit.ran_unkept().await,
        }
    }
}
