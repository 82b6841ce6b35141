//! Distribution of the configuration from the log to every gateway.
//!
//! A gateway asks for everything that changed after an index, and receives the newest version of
//! each changed service, ordered by the index of its last change. A burst of changes to one service
//! thus costs a single document. A gateway that was offline for a day and one that starts empty
//! send the same request. An interrupted transfer can be continued at any other process, since a
//! service that changes meanwhile only moves to a position after the cursor. A configuration is
//! published only once the transfer is complete: a partial one corresponds to no index and must not
//! be used.
//!
//! In each region one gateway, the relay, asks the control processes, and the others ask the relay.
//! The relay is not elected: every gateway ranks the gateways of its region by the same hash and
//! skips those that do not answer.

mod feed;
mod message;
mod pack;
mod replica;
mod reports;
mod status;
mod sync;
mod upstreams;

pub(crate) use {
    feed::{
        ConfigFeed, ConfigHandler, FeedPage, FeedRange, FeedSummary, build_page, groups_between,
    },
    message::{CONFIG_PREFIX, ControlEndpoints, STATUS},
    reports::{ReportRow, ReportTable},
};
pub use {
    message::ReplicaReport,
    replica::{ConfigReplica, RegionPeers, ReplicaConfig, ReplicaStatus},
    status::{ClusterStatus, MemberRow, ReplicaRow},
};
