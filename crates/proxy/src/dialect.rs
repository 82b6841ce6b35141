//! What is said to backend servers beside the request itself.

use {
    crate::CallerRequestId,
    gullglade_dispatch::BackendStatements,
    gullglade_units::{BackendName, WorkspaceName},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// What a backend server is to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestMetadata<'a> {
    /// The run of the backend server that is meant; another one must refuse.
    pub backend: &'a BackendName,
    /// The time after which nobody waits for the answer any more.
    pub left: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The workspace of the caller, where callers have keys.
    pub workspace: Option<&'a WorkspaceName>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// The engine from which it may copy what it does not hold of the prompt.
    pub copy_from: Option<SocketAddr>,
}

/// What a backend server says of itself and of the request with the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// It states that it did not run the request and will not.
    pub is_not_run: bool,
    /// It is not the run of the backend server that was meant.
    pub is_other_run: bool,
    /// The id of the request that the answer is for; `None` where it does not say.
    pub request_id: Option<String>,
    /// What it states of itself.
    pub statements: BackendStatements,
}

/// How a deployment's backend servers are spoken to.
pub trait BackendDialect {
    /// The headers of the request to a backend server, for a caller's request with `headers`.
    fn request_headers(&self, headers: &HeaderMap, metadata: &RequestMetadata<'_>) -> HeaderMap;

    /// What the head of an answer says.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Whether a header of an answer of this name is read here, or is known to state nothing.
    fn recognizes_header(&self, name: &HeaderName) -> bool;

    /// The value of `retry-after` for callers.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Whether `id` is that of the request, as a backend server would repeat it.
    fn is_same_id(&self, id: &CallerRequestId, repeated: &str) -> bool {
        id.as_str() == repeated
    }
}
