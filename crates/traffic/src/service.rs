//! Services: pools of interchangeable backend servers.

use {
    crate::{RawService, TrafficError},
    gullglade_units::ServiceName,
    std::time::Duration,
};

/// Limits for a backend server that is still warming up after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRules {
    /// Time after its start for which a backend server counts as cold.
    pub duration: Duration,
    /// Requests per second that a cold backend server can handle, summed over all VMs; 0 for no
    /// limit.
    pub requests_per_second: f64,
}

/// Properties shared by all model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's key-value cache, in tokens.
    pub memory_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Rate at which one engine copies cached prompt tokens from another engine of its region, in
    /// tokens per millisecond; 0 if engines do not copy.
    pub copied_tokens_per_ms: f64,
}

/// A validated service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePool {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the backend servers' health check.
    pub health_path: String,
    /// Maximum number of connections to one backend server, summed over all VMs.
    pub connection_limit: u32,
    /// Limits for backend servers that are still warming up.
    pub warmup: WarmupRules,
    /// Properties of the service's model engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

impl TryFrom<RawService> for ServicePool {
    type Error = TrafficError;

    fn try_from(raw: RawService) -> Result<Self, TrafficError> {
        let RawService { name, health_path, connection_limit, warmup, engine } = raw;
        let name = ServiceName::try_from(name)?;
        Ok(Self { name, health_path, connection_limit, warmup, engine })
    }
}
