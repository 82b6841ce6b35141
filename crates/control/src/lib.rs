//! The replicated configuration log and its distribution.
//!
//! Three or five control processes replicate one log of changes by consensus, and each stores it on
//! disk in a [`LogStore`]. Every gateway holds a [replica](ConfigReplica) of the current
//! configuration.

mod change;
mod config;
mod consensus;
mod disk;
mod distribution;
mod entry;
mod groups;
mod log;
mod node;
mod signal;
mod state;
mod traffic;

pub use change::{
    AcceptedChange, ChangeConflict, ChangeOutcome, ChangeRefusal, ChangeRequest, ChangeTarget,
    ConfigOutcome, DocumentVersion, RequestError,
};
pub use config::{ControlConfig, InitialVoter, SeedSettings};
pub use consensus::{ChangeError, ControlError, MemberStatus, ReplaceError};
pub use disk::{DataFolder, DiskError, FileFolder, FileStat, read_checked, write_atomic};
pub use distribution::{
    ClusterStatus, ConfigReplica, MemberRow, RegionPeers, ReplicaConfig, ReplicaReport, ReplicaRow,
    ReplicaStatus,
};
pub use entry::{
    Ballot, ClusterId, Command, LogEntry, LogIndex, Member, MemberId, MemberRole, Membership,
    Replacement, Term,
};
pub use groups::{
    ClaimMember, GroupConflict, GroupEpoch, GroupOutcome, GroupRecord, GroupRefusal, GroupRequest,
    MAX_GROUP_MEMBERS,
};
pub use log::{
    FOLDER_FORMAT, FolderIdentity, LogError, LogRecord, LogStore, RecoveredLog, SnapshotImage,
};
pub use node::ControlNode;
pub use state::{ConfigState, OUTCOME_DAYS, ServiceRecord};
pub use traffic::{ConfigVersion, TrafficChange, TrafficEffect, TrafficOutcome, TrafficRecord};
