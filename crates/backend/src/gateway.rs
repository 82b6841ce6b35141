//! Replicated state of a gateway.

use {
    crate::{GatewayContact, RunStatus, StatusChange},
    gullglade_units::{FailureDomain, RegionName, VmName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Replicated state of one gateway, merged by the rules of [`RunStatus`]. The sequence counts
/// intervals of 100 ms, and `Leaving` means that the gateway is draining.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// VM that runs the gateway.
    pub vm: VmName,
    /// Status of the latest known run.
    pub status: RunStatus,
    /// Location and addresses, fixed for the run.
    pub profile: GatewayProfile,
    /// Current load.
    pub load: GatewayLoad,
}

/// Location and addresses of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GatewayProfile {
    /// Region of the gateway.
    pub region: RegionName,
    /// Failure domain within the region.
    pub domain: FailureDomain,
    /// Address for connections from other processes of the cluster.
    pub peer_address: SocketAddr,
    /// Address for callers and backend servers.
    pub caller_address: SocketAddr,
    /// Maximum number of concurrent requests, at least 1.
    pub limit: u32,
}

/// Load of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GatewayLoad {
    /// Requests in progress.
    pub open: u32,
}

impl GatewayRecord {
    /// Returns the share of the limit in use, from 0 to 1.
    pub fn load_share(&self) -> f64 {
        (f64::from(self.load.open) / f64::from(self.profile.limit.max(1))).min(1.0)
    }

    /// Returns the addresses under which other regions reach the gateway.
    pub fn contact(&self) -> GatewayContact {
        GatewayContact {
            vm: self.vm.clone(),
            peer_address: self.profile.peer_address,
            caller_address: self.profile.caller_address,
        }
    }

    /// Merges `other`, a record of the same VM, into this record.
    pub fn merge(&mut self, other: &GatewayRecord) -> StatusChange {
        let change = self.status.merge(&other.status);
        if change.restarted {
            self.profile = other.profile.clone();
        }
        if change.advanced {
            self.load = other.load;
        }
        change
    }
}
