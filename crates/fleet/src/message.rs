//! Messages between gateways and control processes, peer methods "fleet.*".

use {
    crate::{BackendObservation, DepartedRun, GatewayObservation, GatewayPhase, GatewayProfile},
    bytes::Bytes,
    gullglade_poison::CrashUpdate,
    gullglade_units::{FailureDomain, RegionName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// The prefix of the methods that control processes serve to gateways.
pub(crate) const FLEET_PREFIX: &str = "fleet";

/// Tells of the gateway, and waits for news.
pub(crate) const SYNC: &str = "fleet.sync";

/// A sign of life of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayAnnouncement {
    /// What it is.
    pub profile: GatewayProfile,
    /// What it is about to do.
    pub phase: GatewayPhase,
}

/// What a region offers of one service, as one of its gateways or all of them together see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOffer {
    /// The service.
    pub service: ServiceName,
    /// Its backend servers that serve.
    pub backends: u32,
    /// Milliseconds until a first byte, by priority, the most urgent first.
    pub first_byte_ms: Vec<u32>,
}

/// What another region offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionOffer {
    /// The region.
    pub region: RegionName,
    /// What it offers.
    pub offer: ServiceOffer,
}

/// "Here I am; what is new since?"
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Who asks.
    pub pulse: GatewayAnnouncement,
    /// What its region offers, as it sees it.
    pub offers: Vec<ServiceOffer>,
    /// The run of the control process that `cursor` is of; 0 for none.
    pub run: u64,
    /// The last change of its book that the gateway has.
    pub cursor: u64,
    /// What it saw of requests that end backend servers and has not told this process.
    pub crashes: CrashUpdate,
    /// The last change that it has of what this process knows of them.
    pub crash_cursor: u64,
    /// The index of the last change of the traffic configuration that the gateway has.
    pub traffic_index: u64,
    /// The version of the configuration that the gateway holds.
    pub version: Option<u64>,
}

/// The traffic configuration as a control process has it applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficSnapshot {
    /// The index of its last change in the log.
    pub index: u64,
    /// Its version; `None` before the first configuration.
    pub version: Option<u64>,
    /// Its text, where the gateway does not hold this version.
    pub text: Option<Bytes>,
    /// The failure domains that are evacuated.
    pub evacuated: BTreeSet<FailureDomain>,
}

/// What is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The run of the control process. Where it is not the one asked about, the reply holds all
    /// of its book.
    pub run: u64,
    /// The last change that the reply holds.
    pub cursor: u64,
    /// Backend servers of the gateway's region that changed.
    pub backends: Vec<BackendObservation>,
    /// Runs of backend servers that said goodbye. Final for them and all earlier ones.
    pub departed: Vec<DepartedRun>,
    /// Gateways that changed: those of its region, and some of each other one.
    pub gateways: Vec<GatewayObservation>,
    /// How many gateways of all regions are heard.
    pub gateway_total: u32,
    /// What is known of requests that end backend servers and the gateway may lack.
    pub crashes: CrashUpdate,
    /// What all regions offer, as their gateways said last.
    pub regions: Vec<RegionOffer>,
    /// The traffic configuration, where the gateway's is older.
    pub traffic: Option<TrafficSnapshot>,
    /// How long ago the configuration applied at the control process was known to be everything
    /// that had been accepted; `None` where it never was.
    pub confirmed_ago: Option<Duration>,
    /// For how long the call was held before this reply was made.
    pub held: Duration,
    /// Peer addresses of the control processes, where they are known.
    pub controls: Vec<SocketAddr>,
}
