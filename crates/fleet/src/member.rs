//! Who takes part: backend servers and gateways.

use {
    gullglade_event::FieldValue,
    gullglade_units::{BackendName, FailureDomain, Incarnation, RegionName, ServiceName, VmName},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServingState {
    /// It does.
    Serving,
    /// It finishes what it has and takes no more.
    Leaving,
}

impl fmt::Display for ServingState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        })
    }
}

impl FieldValue for ServingState {}

/// What one run of a backend server says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Its name. A run that starts again may have the name of the one before.
    pub name: BackendName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests. After its end another backend server may get the address.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServingState,
    /// How much longer it stays cold, from when the record was made or passed on.
    pub cold_for: Duration,
    /// Which run of that name it is. A later run holds and knows nothing of those before.
    pub incarnation: Incarnation,
    /// Grows with each announcement of this run, so that a late one is recognized.
    pub sequence: u64,
}

impl BackendRecord {
    /// Whether this was said after `other`, of the same name: by a later run, or later by the same.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// A goodbye, with the runs of the name that it ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRun {
    /// The name.
    pub name: BackendName,
    /// The latest run that is over, and all before it.
    pub last: Incarnation,
}

/// A backend server as one control process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendObservation {
    /// What it said last.
    pub record: BackendRecord,
    /// Whether announcements are overdue.
    pub is_silent: bool,
    /// Whether it was only heard in a run of the control process before this one.
    pub is_recalled: bool,
}

/// What a gateway is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayPhase {
    /// It has no confirmed configuration yet.
    Starting,
    /// It takes callers.
    Ready,
    /// It serves the callers that it has and should get no others.
    Stopping,
}

impl fmt::Display for GatewayPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Stopping => "stopping",
        })
    }
}

impl FieldValue for GatewayPhase {}

/// What one run of a gateway says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayProfile {
    /// Its VM.
    pub vm: VmName,
    /// Drawn at its start, so that another run is told apart.
    pub run: u64,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Where it takes peer sessions.
    pub peer_address: SocketAddr,
}

/// A gateway as one control process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayObservation {
    /// What it is.
    pub profile: GatewayProfile,
    /// What it said last.
    pub phase: GatewayPhase,
    /// Whether it has not been heard in time.
    pub is_silent: bool,
}
