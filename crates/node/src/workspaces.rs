//! Operator view of the workspaces in the active configuration.

use {
    gullglade_traffic::{QuotaUnit, TrafficConfig, TrafficWorkspace},
    serde::{Deserialize, Serialize},
};

/// Number of digits shown of a key's hash: enough to distinguish keys, too few to recover one.
const SHOWN_HASH_DIGITS: usize = 12;

/// Summary of a workspace. Contains no API keys, only prefixes of their hashes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Name of the workspace.
    pub name: String,
    /// Version of the configuration that defines the workspace.
    pub version: u64,
    /// Priority of its requests; `None` if the workspace sets none.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served. An empty list permits all regions.
    pub homes: Vec<String>,
    /// Unit of the quota: `tokens` or `requests`.
    pub unit: String,
    /// Quota rate in units per second; `None` if unlimited.
    pub rate: Option<f64>,
    /// Burst allowance in units; `None` if unlimited.
    pub burst: Option<f64>,
    /// Truncated SHA-256 hash of each API key, in hexadecimal.
    pub keys: Vec<String>,
}

impl WorkspaceRow {
    /// Returns a row for each workspace of `config`.
    pub fn of(config: &TrafficConfig) -> Vec<Self> {
        let row = |workspace: &TrafficWorkspace| Self {
            name: workspace.name.to_string(),
            version: config.version(),
            priority: workspace.priority,
            homes: workspace.homes.iter().map(ToString::to_string).collect(),
            unit: match workspace.quota.map(|quota| quota.unit) {
                Some(QuotaUnit::Tokens { .. }) => "tokens".to_owned(),
                Some(QuotaUnit::Requests) | None => "requests".to_owned(),
            },
            rate: workspace.quota.map(|quota| quota.rate),
            burst: workspace.quota.map(|quota| quota.burst),
            keys: workspace.keys.iter().map(|key| truncate_hash(&key.to_string())).collect(),
        };
        config.workspaces().iter().map(|workspace| row(workspace)).collect()
    }
}

fn truncate_hash(digits: &str) -> String {
    digits.chars().take(SHOWN_HASH_DIGITS).collect()
}
