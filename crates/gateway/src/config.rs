//! Settings of a gateway.

use {
    gullglade_units::{FailureDomain, RegionName, VmName},
    std::time::Duration,
};

/// Who a gateway is and how long it waits. Start from [`GatewayConfig::new`].
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Its VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Most attempts for one request, the first included; 4.
    pub attempt_limit: u32,
    /// Most bytes of request bodies held at a time; 128 MiB.
    pub body_memory_bytes: usize,
    /// How long a resend waits for the answer of a send that is running; 10 s.
    pub claim_wait: Duration,
}

impl GatewayConfig {
    /// The defaults.
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
