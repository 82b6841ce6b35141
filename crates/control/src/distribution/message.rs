//! Messages of the configuration distribution, in the peer methods `config.*`.

use {
    crate::{
        entry::{ClusterId, LogIndex, Member, Membership},
        groups::GroupRecord,
        state::ServiceRecord,
    },
    gullglade_units::{RegionName, VmName},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The prefix of the methods that serve configuration.
pub(crate) const CONFIG_PREFIX: &str = "config";

pub(crate) const FETCH: &str = "config.fetch";
pub(crate) const REPORT: &str = "config.report";
pub(crate) const STATUS: &str = "config.status";

/// Asks for the changes after `cursor`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FetchRequest {
    /// The log that the requester follows, if it already follows one.
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) cursor: LogIndex,
    /// The last index requested, if only a part of the changes is.
    pub(crate) until: Option<LogIndex>,
    /// The index of the membership whose addresses the requester knows.
    pub(crate) places_index: LogIndex,
    /// The time for which the reply may be held until there are updates.
    pub(crate) hold: Duration,
    /// The requester's report on its configuration.
    pub(crate) report: ReplicaReport,
}

/// The services changed after the cursor, ordered by their last change, as many as fit into a page.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FetchReply {
    pub(crate) cluster: ClusterId,
    pub(crate) records: Vec<ServiceRecord>,
    /// The claim groups changed between the requested cursor and the new one.
    pub(crate) groups: Vec<GroupRecord>,
    /// The cursor for the next request.
    pub(crate) cursor: LogIndex,
    /// The index that the requester reaches with this page, or `None` if more pages follow.
    pub(crate) complete_at: Option<LogIndex>,
    /// The indexes at which the following pages end, as far as they are known. They can be
    /// requested concurrently, since a single stream transfers only one window per round trip.
    pub(crate) marks: Vec<LogIndex>,
    /// The time since this process was last known to have every accepted change.
    pub(crate) age: Option<Duration>,
    /// The time for which the reply was held.
    pub(crate) held: Duration,
    pub(crate) places: Option<ControlEndpoints>,
}

/// The endpoints of the members of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ControlEndpoints {
    /// The index of the membership.
    pub(crate) index: LogIndex,
    pub(crate) members: Vec<ControlEndpoint>,
}

impl ControlEndpoints {
    pub(crate) fn of(index: LogIndex, membership: Option<&Membership>) -> Self {
        let members = membership.map(|m| m.members.as_slice()).unwrap_or_default();
        let to_endpoint =
            |m: &Member| ControlEndpoint { region: m.region.clone(), address: m.address };
        Self { index, members: members.iter().map(to_endpoint).collect() }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ControlEndpoint {
    pub(crate) region: RegionName,
    pub(crate) address: SocketAddr,
}

/// A gateway's report on its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The VM of the gateway.
    pub vm: VmName,
    /// The region of the gateway.
    pub region: RegionName,
    /// The index of its configuration, or `None` if it has none.
    pub applied: Option<LogIndex>,
    /// The time since it was last known to have every accepted change.
    pub age: Option<Duration>,
}
