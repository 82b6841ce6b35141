//! What a deployment consists of.

use {
    gullglade_stub::EngineLimits,
    gullglade_units::{BackendName, ModelName, RegionName, ServiceName, VmName},
    std::time::Duration,
};

/// One gateway.
#[derive(Clone, Debug)]
pub struct GatewayPlan {
    /// Its VM.
    pub vm: VmName,
    /// Its region; the region is its only failure domain.
    pub region: RegionName,
}

/// One backend server.
#[derive(Clone, Debug)]
pub enum BackendPlan {
    /// A model engine.
    Engine {
        /// Its name.
        name: BackendName,
        /// Its region.
        region: RegionName,
        /// Its model.
        model: ModelName,
        /// What it can do.
        limits: EngineLimits,
    },
    /// A plain service.
    Service {
        /// Its name.
        name: BackendName,
        /// Its region.
        region: RegionName,
        /// The service it offers.
        service: ServiceName,
    },
}

impl BackendPlan {
    /// The region it stands in.
    pub fn region(&self) -> &RegionName {
        match self {
            Self::Engine { region, .. } | Self::Service { region, .. } => region,
        }
    }
}

/// A deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentPlan {
    /// The gateways.
    pub gateways: Vec<GatewayPlan>,
    /// The backend servers.
    pub backends: Vec<BackendPlan>,
    /// The texts of the service documents.
    pub documents: Vec<String>,
    /// One-way delay between regions.
    pub region_delay: Duration,
    /// The first of the gateways' ports, three for each; without it the system chooses.
    pub port_base: Option<u16>,
}

impl DeploymentPlan {
    /// Every region that has a gateway, once.
    pub fn regions(&self) -> Vec<RegionName> {
        let mut regions: Vec<_> = self.gateways.iter().map(|g| g.region.clone()).collect();
        regions.sort();
        regions.dedup();
        regions
    }
}
