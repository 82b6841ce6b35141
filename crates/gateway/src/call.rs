//! One request of a caller, checked and ready to be placed.

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

/// A checked request. It is the same at every attempt; what differs between attempts is where it
/// goes and at which token it resumes.
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
    /// The region of the gateway that took the request from its caller, where it came from there.
    pub(crate) origin: Option<RegionName>,
    /// The token at which the answer begins: above zero where an earlier attempt broke off.
    pub(crate) offset: u64,
    /// The account of the caller's request; shared by all copies of the plan.
    pub(crate) span: Rc<RequestSpan>,
    /// The memory of the body, given back when the last copy of the plan is dropped.
    pub(crate) memory: MemoryReservation,
}

/// What goes to the backend server.
#[derive(Debug, Clone)]
pub(crate) struct CallContent {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<ContentHeader>,
    pub(crate) body: Bytes,
    pub(crate) streamed: bool,
}

/// A header that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ContentHeader {
    pub(crate) name: String,
    pub(crate) value: Vec<u8>,
}

/// Whether a request may be run again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Idempotent: may be retried and resumed.
    Idempotent,
    /// Non-idempotent without a key: never retried once dispatched.
    NonIdempotent,
    /// Non-idempotent under a key: claimed before it is dispatched, never retried after.
    Keyed(OrderKey),
}

impl CallPlan {
    /// Whether another attempt may follow one that may have run.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Whether it runs under a key.
    pub(crate) fn is_keyed(&self) -> bool {
        matches!(self.idempotency, Idempotency::Keyed(_))
    }

    /// The service that the request belongs to.
    pub(crate) fn service(&self) -> &ServiceName {
        &self.document.name
    }

    /// The regions in which it may run: the target's, cut down to the home it is bound to.
    pub(crate) fn regions(&self) -> Vec<RegionName> {
        let allowed = self.document.regions_of(&self.target).unwrap_or_default();
        let bound = |region: &&RegionName| self.home.as_ref().is_none_or(|home| home == *region);
        allowed.iter().filter(bound).cloned().collect()
    }
}
