//! Messages between gateways and control processes (peer methods "fleet.*").

use {
    crate::{BackendObservation, DepartedRun, GatewayObservation, GatewayPhase, GatewayProfile},
    bytes::Bytes,
    gullglade_poison::CrashUpdate,
    gullglade_units::{FailureDomain, RegionName, ServiceName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

/// Prefix of the methods that control processes serve to gateways.
pub(crate) const FLEET_PREFIX: &str = "fleet";

/// Announces the gateway and waits for updates (long polling).
pub(crate) const SYNC: &str = "fleet.sync";

/// Announcement of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayAnnouncement {
    /// Profile of the gateway.
    pub profile: GatewayProfile,
    /// Phase of the gateway.
    pub phase: GatewayPhase,
}

/// Capacity of one service in a region, as observed by one of its gateways or averaged over them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOffer {
    /// The service.
    pub service: ServiceName,
    /// Number of its backend servers that serve.
    pub backends: u32,
    /// Expected milliseconds until the first byte by priority, highest priority first.
    pub first_byte_ms: Vec<u32>,
}

/// Offer of one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionOffer {
    /// The region.
    pub region: RegionName,
    /// The offer.
    pub offer: ServiceOffer,
}

/// Request for the changes since the cursors, with the state of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Announcement of the calling gateway.
    pub pulse: GatewayAnnouncement,
    /// Offers of its region, as it observes them.
    pub offers: Vec<ServiceOffer>,
    /// Run of the control process that `cursor` belongs to; 0 for none.
    pub run: u64,
    /// Last change of the process's registry that the gateway has.
    pub cursor: u64,
    /// Crashes that the gateway observed and has not sent to this process yet.
    pub crashes: CrashUpdate,
    /// Last crash change of this process that the gateway has.
    pub crash_cursor: u64,
    /// Log index of the last change of the traffic configuration that the gateway has.
    pub traffic_index: u64,
    /// Version of the configuration that the gateway has.
    pub version: Option<u64>,
}

/// Traffic configuration as applied by a control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficSnapshot {
    /// Log index of its last change.
    pub index: u64,
    /// Its version; `None` before the first configuration.
    pub version: Option<u64>,
    /// Its text, unless the gateway already has this version.
    pub text: Option<Bytes>,
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<FailureDomain>,
}

/// Changes since the cursors of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Run of the control process. If it differs from the run in the request, the reply contains
    /// the complete registry.
    pub run: u64,
    /// Last change contained in the reply.
    pub cursor: u64,
    /// Changed backend servers of the gateway's region.
    pub backends: Vec<BackendObservation>,
    /// Departures of backend servers; each is final for the run and all earlier ones.
    pub departed: Vec<DepartedRun>,
    /// Changed gateways: those of its region, and some of each other region.
    pub gateways: Vec<GatewayObservation>,
    /// Number of live gateways in all regions.
    pub gateway_total: u32,
    /// Crashes that the gateway may not know yet.
    pub crashes: CrashUpdate,
    /// Offers of all regions, as last sent by their gateways.
    pub regions: Vec<RegionOffer>,
    /// Traffic configuration, if the gateway's is older.
    pub traffic: Option<TrafficSnapshot>,
    /// Time since the configuration applied at the control process was known to include every
    /// accepted change; `None` if it never was.
    pub confirmed_ago: Option<Duration>,
    /// Time for which the call was held before this reply was made.
    pub held: Duration,
    /// Peer addresses of the control processes, if they are known.
    pub controls: Vec<SocketAddr>,
}
