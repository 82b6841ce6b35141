//! Records of backend servers and gateways.

use {
    crate::VmCapacity,
    gullglade_event::FieldValue,
    gullglade_units::{BackendName, FailureDomain, Incarnation, RegionName, ServiceName, VmName},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, time::Duration},
};

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServingState {
    /// It accepts new work.
    Serving,
    /// It finishes its running work and accepts no more.
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

/// State that one run of a backend server announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Name of the backend server. A restarted run may have the name of its predecessor.
    pub name: BackendName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that takes requests. After the end of the run, another backend server may get it.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServingState,
    /// Remaining cold time as of when the record was created or sent.
    pub cold_for: Duration,
    /// Incarnation of the run. A later run of the same name has none of the state of the earlier
    /// ones.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement within the run, to detect late announcements.
    pub sequence: u64,
}

impl BackendRecord {
    /// Returns whether this record is newer than `other` of the same name: of a later run, or
    /// announced later by the same run.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// Departure of a backend server, with the runs of its name that it ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRun {
    /// The name.
    pub name: BackendName,
    /// Latest run that ended; all earlier runs ended too.
    pub last: Incarnation,
}

/// Observation of a backend server by one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendObservation {
    /// Its last announced state.
    pub record: BackendRecord,
    /// Whether its announcements are overdue.
    pub is_silent: bool,
    /// Whether it was only observed by an earlier run of the control process.
    pub is_recalled: bool,
}

/// Lifecycle phase of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayPhase {
    /// It has no confirmed configuration yet.
    Starting,
    /// It accepts callers.
    Ready,
    /// It serves its current callers and should get no others.
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

/// State that one run of a gateway announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayProfile {
    /// Its VM.
    pub vm: VmName,
    /// Random number that identifies the run.
    pub run: u64,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peer sessions.
    pub peer_address: SocketAddr,
    /// Capacity of its VM.
    pub capacity: VmCapacity,
}

/// A gateway as operators see it listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayListing {
    /// Its VM.
    pub gateway: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its last announced phase.
    pub phase: String,
    /// Whether its calls are overdue.
    pub is_silent: bool,
    /// Stated processor time per second, thousandths of a core.
    pub cpu_millis: Option<u32>,
    /// Stated memory, megabytes.
    pub memory_mb: Option<u32>,
    /// Stated bandwidth of its link, kilobits per second.
    pub link_kbps: Option<u32>,
    /// Its weight among the ready gateways of the region; `None` if it is not one of them.
    pub weight: Option<f64>,
}

/// Observation of a gateway by one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayObservation {
    /// Its profile.
    pub profile: GatewayProfile,
    /// Its last announced phase.
    pub phase: GatewayPhase,
    /// Whether its calls are overdue.
    pub is_silent: bool,
}
