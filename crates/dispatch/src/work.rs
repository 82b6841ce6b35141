//! Requests to be placed, and the outcomes of their sends.

use {
    gullglade_event::FieldValue,
    gullglade_traffic::{TrafficRoute, TrafficWorkspace},
    gullglade_units::{BackendName, MonotonicTime, RegionName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{fmt, rc::Rc, time::Duration},
};

/// Identifies a request within one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A part of a prompt. Requests that have a part and all parts before it in common can share their
/// prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The hash of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The properties of a generation request that are known in advance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub answer_tokens: u32,
    /// Expected length of the answer in tokens, as stated by the caller.
    pub expected_answer_tokens: Option<u32>,
}

impl PromptShape {
    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        // The numbers are the caller's, and may add up to more than fits.
        self.shared_parts().iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Returns the number of prompt tokens outside the shared parts.
    pub fn unshared_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A request to be placed.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// The service that the route selected for the request.
    pub service: ServiceName,
    /// The route of the request.
    pub route: Rc<TrafficRoute>,
    /// The workspace of the caller, if callers are identified by keys.
    pub workspace: Option<Rc<TrafficWorkspace>>,
    /// When the request arrived at the first gateway.
    pub arrived: MonotonicTime,
    /// When the caller stops waiting or the timeout of the route expires.
    pub deadline: MonotonicTime,
    /// When the answer has to begin, as the caller would leave otherwise. Not later than `deadline`.
    pub first_byte_deadline: MonotonicTime,
    /// The prompt, if the request has one.
    pub prompt: Option<PromptShape>,
    /// Backend servers that must not get the request again.
    pub tried: Vec<BackendName>,
    /// Backend servers to which this gateway could not connect for the request. Other gateways may
    /// have a path to them.
    pub unreachable: Vec<BackendName>,
    /// The only eligible backend server, if the request returns to one that had it before.
    pub returns_to: Option<BackendName>,
    /// Whether the request may be forwarded to another gateway. False if it came from one.
    pub may_forward: bool,
    /// Whether the request has just arrived from its caller. Only new requests count for the repeat
    /// budget. Counting a request again with each placement, or at the gateway that it is forwarded
    /// to, would make the sum of all budgets exceed the promised one.
    pub is_new: bool,
}

impl WorkItem {
    /// Returns the priority, 0 being the most urgent. The priority of the workspace overrides that
    /// of the route.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns whether the priority is that of the workspace.
    pub(crate) fn has_own_priority(&self) -> bool {
        self.workspace.as_ref().is_some_and(|workspace| workspace.priority.is_some())
    }

    /// Returns whether this gateway may send the request to the backend server.
    pub fn may_go_to(&self, name: &BackendName) -> bool {
        self.may_run_at(name) && !self.unreachable.contains(name)
    }

    /// Returns whether the backend server may get the request from any gateway.
    pub fn may_run_at(&self, name: &BackendName) -> bool {
        match &self.returns_to {
            Some(only) => only == name,
            None => !self.tried.contains(name),
        }
    }

    /// Returns whether every backend server of the service may get the request.
    pub fn may_go_anywhere(&self) -> bool {
        self.tried.is_empty() && self.unreachable.is_empty() && self.returns_to.is_none()
    }

    /// Returns whether both the route and the workspace allow `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        let workspace = self.workspace.as_ref();
        self.route.allows(region) && workspace.is_none_or(|workspace| workspace.allows(region))
    }
}

/// The reason for which a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No known backend server may serve the request.
    NoBackend,
    /// All eligible backend servers have failed recently.
    AllSuspect,
    /// The request would not be answered before its caller stops waiting.
    TooLate,
    /// This gateway backs off from all eligible backend servers for longer than the request can
    /// wait.
    Backoff,
    /// No engine can hold the prompt, or end the answer before the deadline of its caller.
    CannotEnd,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoBackend => "no_backend",
            Self::AllSuspect => "all_suspect",
            Self::TooLate => "too_late",
            Self::Backoff => "backoff",
            Self::CannotEnd => "cannot_end",
        })
    }
}

impl FieldValue for RefusalReason {}

/// The outcome of sending a request to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// A complete answer was received.
    Answered,
    /// A complete answer was received that reports an error.
    Failed,
    /// The backend server rejected the request, without running it, because it was full.
    Shed,
    /// A different backend server runs at the address.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// The answer violated the protocol, or contained bytes of another request.
    Garbled,
    /// No answer was received in time.
    Overdue {
        /// The time spent waiting.
        waited: Duration,
    },
    /// The caller disconnected.
    Cancelled,
}
