//! What is to be placed, and how it ended.

use {
    gullglade_event::FieldValue,
    gullglade_traffic::{TrafficRoute, TrafficWorkspace},
    gullglade_units::{BackendName, MonotonicTime, RegionName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{fmt, rc::Rc, time::Duration},
};

/// One request in a scheduler's hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// One part of a prompt. Requests that share a part and all parts before it share the work of
/// reading them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Its content's hash.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What is known of a generation before it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// The prompt's parts in order.
    pub parts: Vec<PromptPart>,
    /// The tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub answer_tokens: u32,
}

impl PromptShape {
    /// The parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The tokens of the prompt that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// A request that is to be placed.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// The service that its route chose for it.
    pub service: ServiceName,
    /// Its route.
    pub route: Rc<TrafficRoute>,
    /// The workspace of its caller, where callers have keys.
    pub workspace: Option<Rc<TrafficWorkspace>>,
    /// When it arrived, at the first gateway.
    pub arrived: MonotonicTime,
    /// When its caller stops waiting, or its route's timeout comes.
    pub ends: MonotonicTime,
    /// When the answer has to begin, since its caller leaves otherwise; `ends` at the latest.
    pub first_byte_deadline: MonotonicTime,
    /// Its prompt, where it has one.
    pub prompt: Option<PromptShape>,
    /// Backend servers that it was sent to and that are not to be tried again.
    pub tried: Vec<BackendName>,
    /// The only backend server that may get it, where it goes back to one.
    pub returns_to: Option<BackendName>,
    /// Whether it may be sent to another region: not if it came from one.
    pub may_forward: bool,
    /// Whether it came in just now from its caller. Only then is it counted among the requests of
    /// which a part may be repeated: counted again with each placement, or by the gateway of the
    /// region that it is handed to, the parts of all gateways add up to more than is promised.
    pub is_new: bool,
}

impl WorkItem {
    /// 0 is the most urgent. That of its workspace goes before that of its route.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether the backend server may get it.
    pub fn may_go_to(&self, name: &BackendName) -> bool {
        match &self.returns_to {
            Some(only) => only == name,
            None => !self.tried.contains(name),
        }
    }

    /// Whether any backend server of its service may get it.
    pub fn may_go_anywhere(&self) -> bool {
        self.tried.is_empty() && self.returns_to.is_none()
    }

    /// Whether it may be served in `region`, by its route and by its workspace.
    pub fn allows(&self, region: &RegionName) -> bool {
        let workspace = self.workspace.as_ref();
        self.route.allows(region) && workspace.is_none_or(|workspace| workspace.allows(region))
    }
}

/// Why a request was turned away. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No backend server of its service is known that may serve it.
    NoBackend,
    /// Those that there are have failed lately.
    AllSuspect,
    /// It would not be answered before its caller stops waiting.
    TooLate,
    /// This gateway backs off from all that may take it, for longer than it can wait.
    Backoff,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoBackend => "no_backend",
            Self::AllSuspect => "all_suspect",
            Self::TooLate => "too_late",
            Self::Backoff => "backoff",
        })
    }
}

impl FieldValue for RefusalReason {}

/// How a send ended, as far as it tells of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It answered whole.
    Answered,
    /// It answered whole that it failed.
    Failed,
    /// It said that it did not run it, being full.
    Shed,
    /// Another one has its address.
    Misdirected,
    /// It could not be reached.
    Unreachable,
    /// The connection broke after the request was sent.
    Broken,
    /// Its answer was not one: bytes of another request, or no answer by the protocol.
    Garbled,
    /// It gave no answer in time.
    Overdue {
        /// How long it was waited for.
        waited: Duration,
    },
    /// The caller left.
    Cancelled,
}
