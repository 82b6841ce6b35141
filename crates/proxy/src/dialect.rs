//! The headers that the proxy and backend servers exchange in addition to the request itself.

use {
    crate::CallerRequestId,
    gullglade_dispatch::BackendStatements,
    gullglade_units::{BackendName, WorkspaceName},
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// Data about a request that is sent to the backend server with it.
#[derive(Clone, Copy, Debug)]
pub struct RequestMetadata<'a> {
    /// The backend server instance that is addressed; any other instance must refuse the request.
    pub backend: &'a BackendName,
    /// Remaining time to the deadline of the request.
    pub left: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Workspace of the caller, if the deployment uses keys.
    pub workspace: Option<&'a WorkspaceName>,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<u64>,
    /// Engine from which the backend server may copy the parts of the prompt cache that it lacks.
    pub copy_from: Option<SocketAddr>,
}

/// Data about the backend server and the request, read from the head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The backend server states that it did not and will not run the request.
    pub is_not_run: bool,
    /// The response comes from another instance than the one addressed.
    pub is_other_instance: bool,
    /// Id of the request that the response belongs to; `None` if it is not stated.
    pub request_id: Option<String>,
    /// Statements of the backend server about itself.
    pub statements: BackendStatements,
}

/// Maps requests and responses to the headers of a deployment's backend servers.
pub trait BackendDialect {
    /// Returns the headers of the request to a backend server, for a caller's request with
    /// `headers`.
    fn request_headers(&self, headers: &HeaderMap, metadata: &RequestMetadata<'_>) -> HeaderMap;

    /// Reads the head of a response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns `true` if the response header `name` is read by this dialect or known to be
    /// irrelevant.
    fn recognizes_header(&self, name: &HeaderName) -> bool;

    /// Returns the value of the `retry-after` header for callers.
    fn retry_after(&self, wait: Duration) -> HeaderValue;

    /// Returns `true` if `repeated`, the id in a backend server's response, denotes the request
    /// `id`.
    fn is_same_id(&self, id: &CallerRequestId, repeated: &str) -> bool {
        id.as_str() == repeated
    }
}
