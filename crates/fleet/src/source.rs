//! Source of the traffic configuration of a control process.

use {
    crate::TrafficSnapshot,
    gullglade_control::{ControlNode, LogIndex},
    gullglade_units::LocalFuture,
    std::{net::SocketAddr, time::Duration},
};

/// The parts of the replicated log that the fleet needs.
pub trait TrafficSource {
    /// Returns the configuration if it is newer than `index`; without its text if the gateway
    /// already has `version`.
    fn newer(&self, index: u64, version: Option<u64>) -> Option<TrafficSnapshot>;

    /// Completes when the configuration is newer than `index`.
    fn changed<'a>(&'a self, index: u64) -> LocalFuture<'a, ()>;

    /// Returns the time since the local state was known to include every accepted change.
    fn confirmed_ago(&self) -> Option<Duration>;

    /// Returns the peer addresses of the control processes.
    fn controls(&self) -> Vec<SocketAddr>;
}

impl TrafficSource for ControlNode {
    fn newer(&self, index: u64, version: Option<u64>) -> Option<TrafficSnapshot> {
        self.read(|state| {
            let record = state.traffic();
            (record.changed().0 > index).then(|| TrafficSnapshot {
                index: record.changed().0,
                version: record.version(),
                text: record.text().filter(|_| record.version() != version).cloned(),
                evacuated: record.evacuated().clone(),
            })
        })
    }

    fn changed<'a>(&'a self, index: u64) -> LocalFuture<'a, ()> {
        Box::pin(self.wait_for_traffic_after(LogIndex(index)))
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        ControlNode::confirmed_ago(self)
    }

    fn controls(&self) -> Vec<SocketAddr> {
        let membership = self.status().membership;
        membership.into_iter().flat_map(|m| m.members).map(|member| member.address).collect()
    }
}
