//! Messages between gateways of two regions: a forwarded request and its answer.

use {
    crate::call::ContentHeader,
    gullglade_backend::PrefixHash,
    gullglade_document::ServiceTarget,
    gullglade_units::{BackendName, RegionName, RequestId, ServiceName, VmName, WorkspaceName},
    serde::{Deserialize, Serialize},
};

/// The peer method that carries a [`ForwardRequest`].
pub(crate) const FORWARD_METHOD: &str = "forward.call";

/// A request forwarded to another region. It carries its region of origin so that the receiver can
/// refuse to forward it again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardRequest {
    pub(crate) id: RequestId,
    pub(crate) origin: RegionName,
    pub(crate) gateway: VmName,
    pub(crate) service: ServiceName,
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: ServiceTarget,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<ContentHeader>,
    pub(crate) body: Vec<u8>,
    pub(crate) streamed: bool,
    /// Set if the receiver may retry the request after a failed attempt of its own.
    pub(crate) repeatable: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub(crate) remaining_millis: u64,
    /// Index of the first token that the answer is to contain.
    pub(crate) offset: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prompt_blocks: Vec<PrefixHash>,
    pub(crate) max_tokens: u64,
}

/// The first message of the answer; the body follows in further messages.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardReply {
    /// A backend server answered.
    Answer {
        /// Id of the request, compared with the id that was sent.
        id: RequestId,
        /// HTTP status code.
        status: u16,
        /// End-to-end headers of the answer.
        headers: Vec<ContentHeader>,
        /// The backend server that answered.
        backend: BackendName,
        /// False if the backend server states that it rejected the request as invalid without
        /// running it.
        ran: bool,
    },
    /// The request certainly did not run in this region.
    NotRun {
        /// Reason for the refusal.
        reason: String,
        /// Delay before a retry, in milliseconds.
        retry_millis: u64,
    },
    /// The request may have run in this region, and its answer is lost.
    Unknown,
}
