//! Shares of a VM's memory and descriptors that the listeners of a process get.
//!
//! Whatever clients do at one port, the others stay usable, and so do peer sessions, files and
//! connections to backend servers.

use {
    gullglade_http::{BodyBudget, RequestLimits, ServerConfig, WorkLane},
    gullglade_traffic::CallerLimits,
    std::time::Duration,
};

/// Descriptors kept for files, peer sessions and connections to backend servers.
const RESERVED_DESCRIPTORS: usize = 1_200;

/// Connections to the port for readiness checks.
const READINESS_CONNECTIONS: usize = 400;

/// Connections to the port for metrics.
const METRICS_CONNECTIONS: usize = 64;

/// Fewest connections to a port for callers, backend servers or operators.
const MIN_CONNECTIONS: usize = 100;

/// An eighth of the memory is for bodies. Copies of a body on its way to a backend server, or to
/// another gateway, are not counted and take several times as much.
const BODY_MEMORY_DIVISOR: usize = 8;

/// Memory for request bodies if the memory of the VM is not stated.
const DEFAULT_BODY_MEMORY: usize = 32 << 20;

/// Idle time of a connection to a port for readiness checks and metrics.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Bytes of a request's first line, which the configured limit on its headers does not include.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Shortest times that a configuration can set; a shorter one would refuse every request.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Descriptors and memory that the listeners of a process share.
pub struct ListenerResources {
    descriptors: usize,
    body_budget: BodyBudget,
    work_lane: WorkLane,
}

impl ListenerResources {
    /// Divides `max_descriptors`, and `memory_bytes` if they are stated.
    pub fn new(max_descriptors: usize, memory_bytes: Option<usize>) -> Self {
        let probes = READINESS_CONNECTIONS + METRICS_CONNECTIONS;
        let body_memory =
            memory_bytes.map_or(DEFAULT_BODY_MEMORY, |bytes| bytes / BODY_MEMORY_DIVISOR);
        Self {
            descriptors: max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + probes),
            body_budget: BodyBudget::new(body_memory),
            work_lane: WorkLane::default(),
        }
    }

    /// Returns the memory for bodies.
    pub fn body_budget(&self) -> &BodyBudget {
        &self.body_budget
    }

    /// Returns the lane in which connections with much to read wait for their turns.
    pub fn work_lane(&self) -> &WorkLane {
        &self.work_lane
    }

    /// Configuration of one of `listeners` ports that share the descriptors evenly.
    pub fn shared_listener(&self, listeners: usize) -> ServerConfig {
        self.listener((self.descriptors / listeners.max(1)).max(MIN_CONNECTIONS))
    }

    /// Configuration of the port for readiness checks.
    pub fn readiness_listener(&self) -> ServerConfig {
        self.listener(READINESS_CONNECTIONS).idle_timeout(PROBE_IDLE_TIMEOUT)
    }

    /// Configuration of the port for metrics.
    pub fn metrics_listener(&self) -> ServerConfig {
        self.listener(METRICS_CONNECTIONS).idle_timeout(PROBE_IDLE_TIMEOUT)
    }

    fn listener(&self, connections: usize) -> ServerConfig {
        ServerConfig::new()
            .connection_limit(connections)
            .per_address_limit(connections)
            .body_budget(&self.body_budget)
            .work_lane(&self.work_lane)
    }
}

/// Returns the limits on requests that a configuration asks for.
pub(crate) fn request_limits(limits: CallerLimits) -> RequestLimits {
    RequestLimits {
        head_bytes: limits.head_bytes.saturating_add(REQUEST_LINE_BYTES),
        body_bytes: limits.body_bytes,
        head_timeout: limits.head_timeout.max(MIN_TIMEOUT),
        idle_timeout: limits.idle_timeout.max(MIN_TIMEOUT),
    }
}
