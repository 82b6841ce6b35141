//! The checked document.

use {
    crate::{DocumentError, TokenHash, check::check_document, raw::RawDocument},
    gullglade_units::{BackendName, ModelName, RegionName, ServiceName, WorkspaceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The most bytes of a document's text.
const MAX_DOCUMENT_BYTES: usize = 256 << 10;

/// One team's service, checked: every region, model and rule named in it goes with the others.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDocument {
    /// The service.
    pub name: ServiceName,
    /// Where the service's data may travel; never empty, in the document's order.
    pub regions: Vec<RegionName>,
    /// The region that decides claims on keys that name no region themselves.
    pub claim_region: RegionName,
    /// 1.0 weighs only tail latency, 0.0 only the share sent away.
    pub latency_weight: f64,
    /// Models callers may use.
    pub models: Vec<ModelUse>,
    /// Plain services callers may use.
    pub plain_services: Vec<PlainServiceUse>,
    /// Which requests are non-idempotent.
    pub non_idempotent: Vec<IdempotencyRule>,
    /// How backend servers join and retire.
    pub backends: BackendRules,
    /// Bounds on each request.
    pub limits: RequestLimits,
    /// What "fast enough" means.
    pub target: LatencyTarget,
    /// Who may call.
    pub workspaces: Vec<WorkspaceRules>,
}

/// A model and where it may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelUse {
    /// The model.
    pub name: ModelName,
    /// A subset of the service's regions.
    pub regions: Vec<RegionName>,
}

/// A plain service and where it may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainServiceUse {
    /// Its name, as in `/services/{name}/`.
    pub name: ServiceName,
    /// A subset of the service's regions.
    pub regions: Vec<RegionName>,
}

/// What a request is addressed to.
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

/// Marks requests that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdempotencyRule {
    /// Requests of `method` whose path is `path` or lies below it.
    Path {
        /// Upper-case HTTP method.
        method: String,
        /// An absolute path.
        path: String,
    },
    /// Every request to the model.
    Model(ModelName),
}

/// How backend servers join and retire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRules {
    /// The only names that may announce themselves; empty allows every name.
    pub names: Vec<BackendName>,
    /// Hashes of the tokens with which they announce; empty asks for none.
    pub tokens: Vec<TokenHash>,
    /// Those that get no new work of this service, whatever they announce.
    pub retired: Vec<BackendName>,
}

/// Bounds on each request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLimits {
    /// Largest request body.
    pub body_bytes: usize,
    /// Largest whole answer that is stored for resends of a non-idempotent request.
    pub answer_bytes: usize,
    /// How long a caller waits before the answer is worth nothing.
    pub deadline: Duration,
    /// Retries allowed per first attempt, as a share of them.
    pub retry_share: f64,
    /// The most of the service's requests that may be sent away from their region.
    pub away_share: f64,
}

/// Targets for 95 in 100 requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyTarget {
    /// Time to the first token.
    pub first_token: Duration,
}

/// A workspace of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceRules {
    /// Its name.
    pub name: WorkspaceName,
    /// Hashes of its bearer tokens.
    pub tokens: Vec<TokenHash>,
    /// The one region its requests are bound to, if any.
    pub home: Option<RegionName>,
    /// Its weight among the workspaces where capacity is short.
    pub share: u32,
    /// The priority of its requests.
    pub priority: Priority,
}

/// How urgent a request is; a lower one waits while a higher one is queued.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Someone waits with idle machines.
    High,
    /// Someone waits.
    #[default]
    Normal,
    /// Nobody waits.
    Low,
}

impl ServiceDocument {
    /// The regions `target` may run in, or `None` where the service does not use it.
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

    /// Whether a request must run at most once.
    pub fn is_non_idempotent(&self, method: &str, path: &str, target: &ServiceTarget) -> bool {
        self.non_idempotent.iter().any(|rule| match rule {
            IdempotencyRule::Model(model) => {
                matches!(target, ServiceTarget::Model(name) if name == model)
            }
            IdempotencyRule::Path { method: m, path: p } => m == method && is_below(path, p),
        })
    }
}

/// Whether `path` is `prefix` or lies below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

impl TryFrom<&str> for ServiceDocument {
    type Error = DocumentError;

    /// Parses and checks a text: JSON where it begins with `{`, else TOML.
    fn try_from(text: &str) -> Result<Self, DocumentError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong { length: text.len(), limit: MAX_DOCUMENT_BYTES });
        }
        check_document(text, parse(text)?)
    }
}

fn parse(text: &str) -> Result<RawDocument, DocumentError> {
    if text.trim_start().starts_with('{') {
        return serde_json::from_str(text)
            .map_err(|e| DocumentError::Syntax { line: e.line(), reason: e.to_string() });
    }
    toml::from_str(text).map_err(|e| DocumentError::Syntax {
        line: e.span().map_or(1, |span| line_at(text, span.start)),
        reason: e.message().to_owned(),
    })
}

/// The line, from 1, of byte `offset`.
fn line_at(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}
