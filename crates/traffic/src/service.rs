//! Services: pools of backend servers that can stand in for each other.

use {
    crate::{RawService, TrafficError},
    gullglade_units::ServiceName,
    std::time::Duration,
};

/// How a backend server warms up after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupRules {
    /// How long it is cold.
    pub duration: Duration,
    /// The requests per second, from all VMs together, that it bears while cold. 0: no rule.
    pub requests_per_second: f64,
}

/// What the model engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineProfile {
    /// The requests that one of them runs at once.
    pub slots: u32,
    /// The tokens that its memory holds.
    pub memory_tokens: u64,
    /// The tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The tokens of a prompt that one of them copies from another of its region in a millisecond;
    /// 0 where they copy nothing.
    pub copied_tokens_per_ms: f64,
}

/// A service, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePool {
    /// Its name.
    pub name: ServiceName,
    /// The path of its backend servers' health check.
    pub health_path: String,
    /// The most connections that one of its backend servers takes, from all VMs together.
    pub connection_limit: u32,
    /// How its backend servers warm up.
    pub warmup: WarmupRules,
    /// What its model engines are like; `None` for a plain service.
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
