//! The parsed traffic configuration before validation.

use {
    crate::{CallerLimits, EngineProfile, QuotaUnit, RequestKind, TrafficError, WarmupRules},
    std::{fmt, time::Duration},
};

/// Parser for the text format in which operators write the configuration.
pub trait TrafficFormat {
    /// Parses `text` without validating the values.
    ///
    /// # Errors
    ///
    /// [`TrafficError::Malformed`] if `text` does not parse.
    fn read(&self, text: &[u8]) -> Result<RawTraffic, TrafficError>;
}

/// A parsed configuration, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct RawTraffic {
    /// Version number assigned by the operators.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RawRoute>,
    /// All services.
    pub services: Vec<RawService>,
    /// All workspaces; if empty, requests need no key.
    pub workspaces: Vec<RawWorkspace>,
    /// Limits on caller connections.
    pub limits: CallerLimits,
}

/// A parsed route, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct RawRoute {
    /// Name of the route, for logs and operators.
    pub name: String,
    /// Host of the requests, without a port.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub prefix: String,
    /// Kind of the requests, which decides whether they may run again.
    pub kind: RequestKind,
    /// Maximum total time for a request.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer, or the first event of a stream, has its
    /// full value.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Names of the target services, each with its weight.
    pub targets: Vec<(String, u32)>,
    /// Maximum number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests carry prompts, so that a backend server with a cached prefix is preferred.
    pub has_affinity: bool,
    /// Objective for the time between two events of a stream.
    pub gap_objective: Option<Duration>,
    /// Time after which callers disconnect if a stream sends no event; `None` if they wait until
    /// the request's timeout.
    pub event_timeout: Option<Duration>,
    /// Regions in which requests may be served; empty allows every region.
    pub homes: Vec<String>,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A parsed service, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub struct RawService {
    /// Name of the service.
    pub name: String,
    /// Path of the backend servers' health check.
    pub health_path: String,
    /// Maximum number of connections to one backend server, summed over all VMs.
    pub connection_limit: u32,
    /// Limits for backend servers that are still warming up.
    pub warmup: WarmupRules,
    /// Properties of the service's model engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// A parsed workspace, not yet validated.
#[derive(Clone, PartialEq)]
pub struct RawWorkspace {
    /// Name of the workspace.
    pub name: String,
    /// API keys in plain text, as callers send them.
    pub keys: Vec<String>,
    /// Priority of the workspace's requests; `None` to use the priority of each route.
    pub priority: Option<u8>,
    /// Regions in which requests may be served; empty allows every region.
    pub homes: Vec<String>,
    /// Quota of the workspace; `None` for no limit.
    pub quota: Option<RawQuota>,
}

impl fmt::Debug for RawWorkspace {
    /// Omits the keys, which must not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RawWorkspace").field("name", &self.name).finish_non_exhaustive()
    }
}

/// A parsed quota, not yet validated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RawQuota {
    /// Unit in which the quota is counted.
    pub unit: QuotaUnit,
    /// Units per second; 0 for no limit.
    pub rate: f64,
    /// Units that may be used at once in addition to the rate.
    pub burst: f64,
}
