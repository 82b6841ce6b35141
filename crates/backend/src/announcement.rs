//! Backend server announcements: the JSON body of `POST /v1/announce` and its reply.

use {
    gullglade_units::{
        BackendName, FailureDomain, Incarnation, ModelName, RegionName, ServiceName,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Upper bound on the models, and on the services, of one backend server.
const MAX_MODELS: usize = 64;

/// Upper bound on the cache events of one announcement.
const MAX_CACHE_EVENTS: usize = 4_096;

/// An announcement of a backend server.
///
/// The first announcement of an incarnation, and the first one after a reply with `profile_wanted`,
/// must carry the profile. All others are lease renewals and may omit it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the backend server, unique in its region.
    pub name: BackendName,
    /// Run of the backend server. Each restart must use a higher incarnation.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation. The announcement with the higher number is the newer
    /// one.
    pub sequence: u64,
    /// Serving state at the time of the announcement.
    pub state: ServingState,
    /// Load at the time of the announcement.
    #[serde(default)]
    pub load: LoadReport,
    /// Static properties, which change only with a restart or an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub profile: Option<BackendProfile>,
    /// Prompt cache changes since the previous announcement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache_events: Option<CacheEvents>,
}

/// Serving state of a backend server. `Leaving` is final within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ServingState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Completes the requests in progress and accepts no new ones.
    Leaving,
}

/// Properties of a backend server that rarely change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendProfile {
    /// Region of the backend server.
    pub region: RegionName,
    /// Failure domain within the region.
    pub domain: FailureDomain,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Model engine or plain service.
    pub kind: BackendKind,
    /// Models loaded by an engine. Empty for a plain service.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Services offered by name. May be empty for an engine, which serves every service that uses
    /// one of its models.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Processing capacity.
    pub capacity: BackendCapacity,
    /// Handling of orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: FencingMode,
}

/// Kind of backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// Model engine with continuous batching and a prompt prefix cache.
    Engine,
    /// Plain service that returns one response per request.
    Service,
}

/// Handling of orders with an outdated fencing token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum FencingMode {
    /// Rejects the order.
    Checks,
    /// Executes the order. The sender of orders must wait until the lease of its predecessor has
    /// expired.
    #[default]
    Ignores,
}

/// Processing capacity of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendCapacity {
    /// Maximum number of concurrent requests, at least 1.
    pub slots: u32,
    /// Generation throughput over all slots, in tokens per second. Zero for a plain service.
    #[serde(default)]
    pub tokens_per_second: u32,
    /// Prefill throughput, in prompt tokens per second. Zero for a plain service.
    #[serde(default)]
    pub prefill_tokens_per_second: u32,
    /// Prompt cache capacity, in tokens. Zero for a plain service.
    #[serde(default)]
    pub cache_tokens: u64,
}

/// Load of a backend server at the time of an announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that occupy a slot.
    #[serde(default)]
    pub running: u32,
    /// Requests queued for a slot.
    #[serde(default)]
    pub waiting: u32,
    /// Prompt tokens not yet prefilled, over all requests of the backend server.
    #[serde(default)]
    pub queued_prefill_tokens: u64,
    /// Prompt tokens in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Chained hash of the leading blocks of a prompt. Equal hashes mean equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Changes of an engine's prompt cache. Events are numbered consecutively within an incarnation, so
/// that the receiver can detect gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvents {
    /// Number of the first event in `events`. Events were lost if it exceeds the last number
    /// received plus one.
    pub first: u64,
    /// Events in the order of their occurrence.
    pub events: Vec<CacheEvent>,
}

/// Change of an engine's prompt cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEvent {
    /// The prefix was added to the cache.
    Stored(PrefixHash),
    /// The prefix was evicted.
    Evicted(PrefixHash),
    /// The cache was emptied.
    Cleared,
}

/// Reply of the gateway to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Lease duration in milliseconds. The backend server gets no new requests after this time
    /// unless it announces again.
    pub lease_millis: u64,
    /// Time until the next announcement is due, in milliseconds from the receipt of the reply. A
    /// change of state must be announced immediately.
    pub renew_millis: u64,
    /// The gateway has no profile for this incarnation. The backend server must announce again at
    /// once and include the profile.
    pub profile_wanted: bool,
    /// Higher incarnation under which the name is already registered. No lease was granted.
    ///
    /// A server that has not been granted a lease in this run must announce again with an
    /// incarnation above this one: its clock stepped back between two runs. Any other server has
    /// been replaced and must stop.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub superseded_by: Option<Incarnation>,
}

/// Reason for which an announcement is invalid.
#[derive(Debug, Snafu)]
pub enum AnnounceError {
    /// The body is not JSON of the expected schema.
    #[snafu(display("invalid announcement: {reason}; see docs/operators/backends.md"))]
    Malformed {
        /// Message of the JSON parser.
        reason: String,
    },
    /// The capacity has zero slots.
    #[snafu(display("{name} announces 0 slots; set capacity.slots to at least 1"))]
    NoSlots {
        /// Name of the backend server.
        name: BackendName,
    },
    /// The profile lists no model or service.
    #[snafu(display("{name} offers no model and no service; list what it serves in `{field}`"))]
    NothingServed {
        /// Name of the backend server.
        name: BackendName,
        /// Name of the field that must not be empty.
        field: &'static str,
    },
    /// A list exceeds its maximum length.
    #[snafu(display("{name} lists {length} {field}; the limit is {limit}"))]
    TooMany {
        /// Name of the backend server.
        name: BackendName,
        /// Name of the list.
        field: &'static str,
        /// Length of the list.
        length: usize,
        /// Maximum length of the list.
        limit: usize,
    },
    /// The address is unspecified or has port 0.
    #[snafu(display("{name} announces {address}; set the IP and port that gateways can reach"))]
    Unreachable {
        /// Name of the backend server.
        name: BackendName,
        /// Announced address.
        address: SocketAddr,
    },
}

impl TryFrom<&[u8]> for Announcement {
    type Error = AnnounceError;

    fn try_from(bytes: &[u8]) -> Result<Self, AnnounceError> {
        let announcement: Self = serde_json::from_slice(bytes)
            .map_err(|e| AnnounceError::Malformed { reason: e.to_string() })?;
        announcement.check()?;
        Ok(announcement)
    }
}

impl Announcement {
    /// Validates the constraints that the types do not express: list lengths, capacity, address and
    /// the presence of models or services.
    pub fn check(&self) -> Result<(), AnnounceError> {
        let events = self.cache_events.as_ref().map_or(0, |e| e.events.len());
        self.check_length("cache events", events, MAX_CACHE_EVENTS)?;
        self.profile.as_ref().map_or(Ok(()), |p| self.check_profile(p))
    }

    fn check_profile(&self, profile: &BackendProfile) -> Result<(), AnnounceError> {
        let name = || self.name.clone();
        if profile.capacity.slots == 0 {
            return Err(AnnounceError::NoSlots { name: name() });
        }
        if profile.address.ip().is_unspecified() || profile.address.port() == 0 {
            return Err(AnnounceError::Unreachable { name: name(), address: profile.address });
        }
        self.check_length("models", profile.models.len(), MAX_MODELS)?;
        self.check_length("services", profile.services.len(), MAX_MODELS)?;
        match profile.kind {
            BackendKind::Engine if profile.models.is_empty() => {
                Err(AnnounceError::NothingServed { name: name(), field: "models" })
            }
            BackendKind::Service if profile.services.is_empty() => {
                Err(AnnounceError::NothingServed { name: name(), field: "services" })
            }
            _ => Ok(()),
        }
    }

    fn check_length(
        &self,
        field: &'static str,
        length: usize,
        limit: usize,
    ) -> Result<(), AnnounceError> {
        if length <= limit {
            return Ok(());
        }
        Err(AnnounceError::TooMany { name: self.name.clone(), field, length, limit })
    }
}
