//! The parsed document before validation.

use {
    crate::{Priority, TokenHash},
    gullglade_units::{BackendName, ModelName, RegionName, ServiceName, WorkspaceName},
    serde::Deserialize,
};

/// All keys of a document. Unknown keys are rejected, because a misspelt limit that is silently
/// ignored would go unnoticed until the limit is needed.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawDocument {
    pub(crate) service: ServiceName,
    pub(crate) regions: Vec<RegionName>,
    pub(crate) claim_region: Option<RegionName>,
    #[serde(default = "default_balance")]
    pub(crate) latency_weight: f64,
    #[serde(default)]
    pub(crate) models: Vec<RawModel>,
    #[serde(default)]
    pub(crate) plain_services: Vec<RawPlainService>,
    #[serde(default)]
    pub(crate) non_idempotent: Vec<RawIdempotencyRule>,
    #[serde(default)]
    pub(crate) backends: RawBackends,
    #[serde(default)]
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) target: RawLatencyTarget,
    pub(crate) workspaces: Vec<RawWorkspace>,
}

fn default_balance() -> f64 {
    0.5
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawModel {
    pub(crate) name: ModelName,
    pub(crate) regions: Option<Vec<RegionName>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPlainService {
    pub(crate) name: ServiceName,
    pub(crate) regions: Option<Vec<RegionName>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawIdempotencyRule {
    pub(crate) method: Option<String>,
    pub(crate) path: Option<String>,
    pub(crate) model: Option<ModelName>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawBackends {
    pub(crate) names: Vec<BackendName>,
    pub(crate) token_sha256: Vec<TokenHash>,
    pub(crate) retired: Vec<BackendName>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLimits {
    pub(crate) body_bytes: usize,
    pub(crate) answer_bytes: usize,
    pub(crate) deadline_ms: u64,
    pub(crate) retry_share: f64,
    pub(crate) away_share: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            deadline_ms: 30_000,
            retry_share: 0.1,
            away_share: 0.5,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLatencyTarget {
    pub(crate) first_token_ms: u64,
}

impl Default for RawLatencyTarget {
    fn default() -> Self {
        Self { first_token_ms: 1_200 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawWorkspace {
    pub(crate) name: WorkspaceName,
    pub(crate) token_sha256: Vec<TokenHash>,
    pub(crate) home: Option<RegionName>,
    #[serde(default = "default_share")]
    pub(crate) share: u32,
    #[serde(default)]
    pub(crate) priority: Priority,
}

fn default_share() -> u32 {
    1
}
