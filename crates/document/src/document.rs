//! The validated service document.

use {
    crate::{DocumentError, TokenHash, check::validate_document, raw::RawDocument},
    gullglade_units::{BackendName, ModelName, RegionName, ServiceName, WorkspaceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

const MAX_DOCUMENT_BYTES: usize = 256 << 10;

/// The validated configuration of one team's service. Its references to regions and models are
/// consistent.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDocument {
    /// Name of the service.
    pub name: ServiceName,
    /// Regions in which the service's data may be processed, in the order of the document; never
    /// empty.
    pub regions: Vec<RegionName>,
    /// Region that decides claims on idempotency keys that do not name a region.
    pub claim_region: RegionName,
    /// Weight of tail latency against the share of requests sent to other regions, from 0.0 (only
    /// the share counts) to 1.0 (only latency counts).
    pub latency_weight: f64,
    /// Models that callers may use.
    pub models: Vec<ModelUse>,
    /// Plain services that callers may use.
    pub plain_services: Vec<PlainServiceUse>,
    /// Rules that mark requests as non-idempotent; a request is marked if any rule matches.
    pub non_idempotent: Vec<IdempotencyRule>,
    /// Rules for the registration and retirement of backend servers.
    pub backends: BackendRules,
    /// Limits on each request.
    pub limits: RequestLimits,
    /// Latency objective of the service.
    pub target: LatencyTarget,
    /// Workspaces that may call the service.
    pub workspaces: Vec<WorkspaceRules>,
}

/// A model and the regions in which it may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelUse {
    /// Name of the model.
    pub name: ModelName,
    /// Regions in which the model may run, a subset of the service's regions.
    pub regions: Vec<RegionName>,
}

/// A plain service, which is not a model engine, and the regions in which it may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainServiceUse {
    /// Name of the plain service, as in the path `/services/{name}/`.
    pub name: ServiceName,
    /// Regions in which the plain service may run, a subset of the service's regions.
    pub regions: Vec<RegionName>,
}

/// The destination of a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ServiceTarget {
    /// A model engine.
    Model(ModelName),
    /// A plain service.
    Plain(ServiceName),
}

impl std::fmt::Display for ServiceTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Model(name) => name.fmt(f),
            Self::Plain(name) => write!(f, "services/{name}"),
        }
    }
}

/// A rule that marks requests as non-idempotent, so that they run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdempotencyRule {
    /// Matches requests with `method` whose path is `path` or is below it.
    Path {
        /// HTTP method, in upper case.
        method: String,
        /// Absolute path.
        path: String,
    },
    /// Matches every request to the model.
    Model(ModelName),
}

/// Rules for the registration and retirement of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRules {
    /// Names of the backend servers that may register; empty allows every name.
    pub names: Vec<BackendName>,
    /// Hashes of the tokens that authorize a registration; if empty, no token is required.
    pub tokens: Vec<TokenHash>,
    /// Backend servers that receive no new requests of this service, whatever state they announce.
    pub retired: Vec<BackendName>,
}

/// Limits on each request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size, in bytes, of a complete answer that is stored so that it can be replayed when
    /// a non-idempotent request is resent.
    pub answer_bytes: usize,
    /// Maximum time that a caller waits, after which the answer has no value.
    pub deadline: Duration,
    /// Retry budget, as a ratio of retries to first attempts.
    pub retry_share: f64,
    /// Maximum share of the service's requests that may be sent to another region.
    pub away_share: f64,
}

/// Latency objective for the 95th percentile of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyTarget {
    /// Time to first token.
    pub first_token: Duration,
}

/// Rules for one workspace of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceRules {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Hashes of the workspace's bearer tokens.
    pub tokens: Vec<TokenHash>,
    /// Region to which the workspace's requests are restricted; `None` for no restriction.
    pub home: Option<RegionName>,
    /// Weight of the workspace, relative to the others, when capacity is short.
    pub share: u32,
    /// Priority of the workspace's requests.
    pub priority: Priority,
}

/// The priority of a request. A request waits while one of higher priority is queued.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person is waiting, and machines stay idle until the answer arrives.
    High,
    /// A person is waiting for the answer.
    #[default]
    Normal,
    /// No person is waiting for the answer.
    Low,
}

impl ServiceDocument {
    /// Returns the regions in which `target` may run, or `None` if the service does not use it.
    pub fn regions_of(&self, target: &ServiceTarget) -> Option<&[RegionName]> {
        match target {
            ServiceTarget::Model(name) => {
                self.models.iter().find(|m| m.name == *name).map(|m| m.regions.as_slice())
            }
            ServiceTarget::Plain(name) => {
                self.plain_services.iter().find(|p| p.name == *name).map(|p| p.regions.as_slice())
            }
        }
    }

    /// Returns whether a request must run at most once.
    pub fn is_non_idempotent(&self, method: &str, path: &str, target: &ServiceTarget) -> bool {
        self.non_idempotent.iter().any(|rule| match rule {
            IdempotencyRule::Model(model) => {
                matches!(target, ServiceTarget::Model(name) if name == model)
            }
            IdempotencyRule::Path { method: m, path: p } => m == method && is_at_or_below(path, p),
        })
    }
}

/// Returns whether `path` equals `prefix` or is below it.
fn is_at_or_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

impl TryFrom<&str> for ServiceDocument {
    type Error = DocumentError;

    /// Parses and validates a document: JSON if the text begins with `{` after white space, else
    /// TOML.
    fn try_from(text: &str) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong { length: text.len(), limit: MAX_DOCUMENT_BYTES });
        }
        validate_document(text, parse(text)?)
    }
}

fn parse(text: &str) -> Result<RawDocument, DocumentError> {
    if text.trim_start().starts_with('{') {
        return serde_json::from_str(text)
            .map_err(|e| DocumentError::Syntax { line: e.line(), reason: e.to_string() });
    }
    toml::from_str(text).map_err(|e| DocumentError::Syntax {
        line: e.span().map_or(1, |span| line_number(text, span.start)),
        reason: e.message().to_owned(),
    })
}

/// Returns the line number, starting at 1, of the byte at `offset`.
fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}
