//! Messages of a forwarded request: the request, and the frames of the reply.

use {
    crate::{
        CallerRequest, CallerRequestId,
        outcome::{NotRunReason, UnknownReason},
    },
    bytes::Bytes,
    gullglade_dispatch::{PromptShape, WorkItem},
    gullglade_poison::ContentFingerprint,
    gullglade_units::{BackendName, MonotonicTime, ServiceName, WorkspaceName},
    http::{HeaderMap, HeaderName, HeaderValue},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A request forwarded to another gateway, which does not forward it any further.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardRequest {
    pub(crate) id: CallerRequestId,
    pub(crate) method: String,
    pub(crate) host: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    pub(crate) body: Bytes,
    pub(crate) service: ServiceName,
    /// Workspace of the caller. The gateway that received the request has checked the key.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Time since the caller sent the request.
    pub(crate) waited: Duration,
    /// Remaining time to the deadline of the request.
    pub(crate) left: Duration,
    pub(crate) prompt: Option<PromptShape>,
    pub(crate) resume_after: Option<u64>,
    /// Fingerprint of the request, if it was computed.
    pub(crate) print: Option<ContentFingerprint>,
    /// Backend servers that were tried and must not be tried again.
    pub(crate) tried: Vec<BackendName>,
    /// The only backend server that may get the request, if it is sent back to one.
    pub(crate) returns_to: Option<BackendName>,
    /// If set, the place is reserved until [`COMMIT`] names this token.
    pub(crate) reservation: Option<u64>,
}

/// A frame of the reply. The end of the reply stream is the end of a complete body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ForwardFrame {
    /// The request has arrived. The values are what the region offers for the service: the time to
    /// the first byte in milliseconds, by priority; empty if the region offers nothing for the
    /// service.
    Accepted(Vec<u32>),
    Head {
        status: u16,
        headers: Vec<(String, Bytes)>,
        backend: BackendName,
    },
    Chunk(Bytes),
    NotRun(NotRunReason, Option<Duration>),
    Unknown(UnknownReason),
    /// A place is reserved for the request.
    Placed,
    /// The request waits for a place.
    Queued,
    /// The backend server has sent nothing for some time.
    Waiting {
        backend: BackendName,
        /// True if the backend server has responded to any request lately, or is not overdue yet.
        is_at_work: bool,
    },
}

impl ForwardFrame {
    /// Returns `true` if the frame only reports that the request is in progress.
    pub(crate) fn is_progress(&self) -> bool {
        matches!(self, Self::Accepted(_) | Self::Queued | Self::Waiting { .. })
    }
}

impl ForwardRequest {
    pub(crate) fn new(
        request: &CallerRequest,
        item: &WorkItem,
        resume_after: Option<u64>,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id: request.id.clone(),
            method: request.method.to_string(),
            host: request.host.clone(),
            target: request.target.clone(),
            headers: pack_headers(&request.headers),
            body: request.body.clone(),
            service: item.service.clone(),
            workspace: item.workspace.as_ref().map(|workspace| workspace.name.clone()),
            waited: now.since(item.arrived),
            left: item.deadline.since(now),
            prompt: request.prompt.clone(),
            resume_after,
            print: None,
            tried: item.tried.clone(),
            returns_to: item.returns_to.clone(),
            reservation: None,
        }
    }
}

impl ForwardRequest {
    /// Deducts elapsed time from the time left.
    pub(crate) fn deduct_time(&mut self, time: Duration) {
        self.waited += time;
        self.left = self.left.saturating_sub(time);
    }
}

pub(crate) fn pack_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let pack = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(pack).collect()
}

/// Unpacks headers. Gateways only pack headers that were parsed before, so skipping invalid ones
/// loses nothing.
pub(crate) fn unpack_headers(packed: Vec<(String, Bytes)>) -> HeaderMap {
    let unpack = |(name, value): (String, Bytes)| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_maybe_shared(value).ok()?))
    };
    packed.into_iter().filter_map(unpack).collect()
}
