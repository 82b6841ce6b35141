//! The configuration as read, not yet checked.

use {
    crate::{CallerLimits, EngineProfile, QuotaUnit, RequestKind, TrafficError, WarmupRules},
    std::{fmt, time::Duration},
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
    /// Its workspaces; without any, nobody needs a key.
    pub workspaces: Vec<RawWorkspace>,
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
    /// How long callers wait for an event of a stream before they leave; none: to the end.
    pub event_timeout: Option<Duration>,
    /// The only regions in which its requests may be served; none: anywhere.
    pub homes: Vec<String>,
    /// Whether its requests need no key.
    pub is_public: bool,
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
    pub warmup: WarmupRules,
    /// What its model engines are like; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// A workspace as read.
#[derive(Clone, PartialEq)]
pub struct RawWorkspace {
    /// Its name.
    pub name: String,
    /// Its keys, as callers send them.
    pub keys: Vec<String>,
    /// The priority of its requests; `None`: that of their routes.
    pub priority: Option<u8>,
    /// The only regions in which its requests may be served; none: anywhere.
    pub homes: Vec<String>,
    /// Its quota.
    pub quota: Option<RawQuota>,
}

impl fmt::Debug for RawWorkspace {
    /// Leaves the keys out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RawWorkspace").field("name", &self.name).finish_non_exhaustive()
    }
}

/// A quota as read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RawQuota {
    /// What it is counted in.
    pub unit: QuotaUnit,
    /// Units a second; 0 for no limit.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
}
