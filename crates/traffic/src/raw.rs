//! The configuration as read, not yet checked.

use {
    crate::{CallerLimits, ColdRules, EngineProfile, RequestKind, TrafficError},
    std::time::Duration,
};

/// Reads the operators' text.
pub trait TrafficFormat {
    /// The configuration in `text`, as it stands there.
    fn read(&self, text: &[u8]) -> Result<RawTraffic, TrafficError>;
}

/// A configuration as read.
#[derive(Clone, Debug, PartialEq)]
pub struct RawTraffic {
    /// The operators' number for it.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RawRoute>,
    /// Its services.
    pub services: Vec<RawService>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// A route as read.
#[derive(Clone, Debug, PartialEq)]
pub struct RawRoute {
    /// Its name, for people.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths that it covers.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is worth all it can be.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<(String, u32)>,
    /// The most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests carry prompts whose parts are worth finding in a cache.
    pub has_affinity: bool,
    /// The longest pause between two events of a stream that callers accept as prompt.
    pub gap_objective: Option<Duration>,
    /// The only regions in which its requests may be served; none: anywhere.
    pub homes: Vec<String>,
}

/// A service as read.
#[derive(Clone, Debug, PartialEq)]
pub struct RawService {
    /// Its name.
    pub name: String,
    /// The path of its backend servers' health check.
    pub health_path: String,
    /// The most connections that one of its backend servers takes, from all VMs together.
    pub connection_limit: u32,
    /// How its backend servers warm up.
    pub cold: ColdRules,
    /// What its model engines are like; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}
