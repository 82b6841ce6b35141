//! Gateway settings.

use {
    gullglade_units::{FailureDomain, RegionName, VmName},
    std::time::Duration,
};

/// Identity and limits of a gateway. [`GatewayConfig::new`] sets the defaults.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// The VM it runs on.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Maximum number of attempts for one request, including the first. Default: 4.
    pub attempt_limit: u32,
    /// Maximum total size of the request bodies held at a time, in bytes. Default: 128 MiB.
    pub body_memory_bytes: usize,
    /// Maximum time that a resend waits for the answer of a running send. Default: 10 s.
    pub claim_wait: Duration,
}

impl GatewayConfig {
    /// Returns a configuration with default limits.
    pub fn new(vm: VmName, region: RegionName, domain: FailureDomain) -> Self {
        Self {
            vm,
            region,
            domain,
            attempt_limit: 4,
            body_memory_bytes: 128 << 20,
            claim_wait: Duration::from_secs(10),
        }
    }
}
