//! A checked request of a caller, ready to be routed.

use {
    crate::{memory::MemoryReservation, span::RequestSpan},
    bytes::Bytes,
    gullglade_backend::PromptBlocks,
    gullglade_document::{Priority, ServiceDocument, ServiceTarget},
    gullglade_units::{MonotonicTime, OrderKey, RegionName, RequestId, ServiceName, WorkspaceName},
    http::Method,
    serde::{Deserialize, Serialize},
    std::rc::Rc,
};

/// A checked request. All attempts share its contents; they differ only in destination and in the
/// token at which the answer resumes.
#[derive(Debug, Clone)]
pub(crate) struct CallPlan {
    pub(crate) id: RequestId,
    pub(crate) document: Rc<ServiceDocument>,
    pub(crate) workspace: WorkspaceName,
    pub(crate) home: Option<RegionName>,
    pub(crate) priority: Priority,
    pub(crate) share: u32,
    pub(crate) target: ServiceTarget,
    pub(crate) content: CallContent,
    pub(crate) prompt: PromptBlocks,
    pub(crate) max_tokens: u64,
    pub(crate) idempotency: Idempotency,
    pub(crate) received: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
    /// The region in which the caller sent the request, if it was forwarded from another region.
    pub(crate) origin: Option<RegionName>,
    /// Index of the first token of the answer; above zero when an interrupted answer is resumed.
    pub(crate) offset: u64,
    /// Lifecycle record of the caller's request, shared by all clones of the plan.
    pub(crate) span: Rc<RequestSpan>,
    /// Memory reservation for the body, released when the last clone of the plan is dropped.
    pub(crate) memory: MemoryReservation,
}

/// The content of a request as sent to the backend server.
#[derive(Debug, Clone)]
pub(crate) struct CallContent {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<ContentHeader>,
    pub(crate) body: Bytes,
    pub(crate) streamed: bool,
}

/// An end-to-end header that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentHeader {
    pub(crate) name: String,
    pub(crate) value: Vec<u8>,
}

/// Idempotency of a request, which decides if it may be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Idempotent: may be retried and resumed.
    Idempotent,
    /// Non-idempotent without a key: not retried once it may have run.
    NonIdempotent,
    /// Non-idempotent with an idempotency key: claimed before dispatch, not retried afterwards.
    Keyed(OrderKey),
}

impl CallPlan {
    /// Returns whether the request may be attempted again after an attempt that may have run.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Returns whether the request has an idempotency key.
    pub(crate) fn is_keyed(&self) -> bool {
        matches!(self.idempotency, Idempotency::Keyed(_))
    }

    /// Returns the service that the request belongs to.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.document.name
    }

    /// Returns the regions in which the request may run: those allowed for its target, restricted
    /// to the home region of the workspace if it has one.
    pub(crate) fn regions(&self) -> Vec<RegionName> {
        let allowed = self.document.regions_of(&self.target).unwrap_or_default();
        let bound = |region: &&RegionName| self.home.as_ref().is_none_or(|home| home == *region);
        allowed.iter().filter(bound).cloned().collect()
    }
}
