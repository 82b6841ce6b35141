//! The status of the log and of every gateway, as shown to operators.

use {
    super::reports::ReportRow,
    crate::{
        consensus::MemberStatus,
        entry::{LogIndex, Member, MemberId},
    },
    gullglade_units::{RegionName, VmName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The age from which a gateway's configuration is shown as stale: its own limit of 10 s, plus the
/// 10 s between two reports.
const STALE_AFTER: Duration = Duration::from_secs(20);

/// The state of the whole deployment's configuration, as known to one control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The last index that this process knows to be committed.
    pub index: LogIndex,
    /// The leader.
    pub leader: Option<MemberId>,
    /// The members of the log.
    pub members: Vec<MemberRow>,
    /// The gateways.
    pub replicas: Vec<ReplicaRow>,
}

/// A member of the log and its status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The member.
    pub member: Member,
    /// Its status, or `None` if it does not answer.
    pub status: Option<MemberStatus>,
}

/// The status of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The VM of the gateway.
    pub vm: VmName,
    /// The region of the gateway.
    pub region: RegionName,
    /// The index of its configuration, or `None` if it has none.
    pub applied: Option<LogIndex>,
    /// The time in milliseconds since it was last known to have every accepted change.
    pub age_ms: Option<u64>,
    /// The time in milliseconds since its last report.
    pub heard_ms: u64,
    /// Whether its configuration may lack accepted changes.
    pub is_stale: bool,
}

impl From<ReportRow> for ReplicaRow {
    fn from(row: ReportRow) -> Self {
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Self {
            vm: row.report.vm,
            region: row.report.region,
            applied: row.report.applied,
            age_ms: row.report.age.map(millis),
            heard_ms: millis(row.heard),
            is_stale: row.report.age.is_none_or(|age| age > STALE_AFTER),
        }
    }
}
