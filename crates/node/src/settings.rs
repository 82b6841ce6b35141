//! Settings and injected dependencies of a gateway process.

use {
    gullglade_claim::ClaimSettings,
    gullglade_document::ConfigSource,
    gullglade_peer::{LinkPolicy, PeerSecret},
    gullglade_units::{ClusterName, FailureDomain, Incarnation, RegionName, VmName},
    std::{net::SocketAddr, rc::Rc},
};

/// Validated settings of a gateway process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Region of this VM.
    pub region: RegionName,
    /// Failure domain of this VM.
    pub domain: FailureDomain,
    /// Incarnation number; a restarted process has a higher one.
    pub incarnation: Incarnation,
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Secret shared by all processes of the deployment; authenticates peer sessions.
    pub secret: PeerSecret,
    /// Listen address for callers and backend servers.
    pub caller_address: SocketAddr,
    /// Listen address of the operator API.
    pub operator_address: SocketAddr,
    /// Listen address for peer sessions.
    pub peer_address: SocketAddr,
    /// Bearer token that operators must send.
    pub operator_token: String,
    /// Maximum number of caller connections.
    pub connection_limit: usize,
    /// Maximum number of caller connections from one IP address.
    pub per_address_limit: usize,
    /// Maximum number of events kept in memory.
    pub event_limit: usize,
    /// Peer addresses of other gateways, contacted first to join the membership.
    pub seeds: Vec<SocketAddr>,
    /// Time windows and limits of claims; must be identical on every VM.
    pub claims: ClaimSettings,
}

/// Dependencies that differ between a production process, the demo and tests.
pub struct NodeDependencies {
    /// Source of the configuration documents.
    pub documents: Rc<dyn ConfigSource>,
    /// Simulated network delays and partitions; `None` for the real network.
    pub link: Option<Rc<dyn LinkPolicy>>,
}
