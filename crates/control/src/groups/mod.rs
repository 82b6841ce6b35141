//! Claim groups: the processes that decide on the non-idempotent requests of a region.
//!
//! Claim groups are part of the log because two gateways with different members for one epoch could
//! each gather a quorum for the same key. The log gives every epoch a single list of members, a
//! single successor, and a time before which no process can have known of it.

mod refusal;
mod request;

pub use refusal::GroupRefusal;
pub use request::{
    ClaimMember, GroupConflict, GroupEpoch, GroupOutcome, GroupRecord, GroupRequest,
    MAX_GROUP_MEMBERS,
};
