//! Raft consensus on one log (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014; Ongaro's thesis for pre-vote, membership changes and linearizable reads).
//!
//! The in-memory state of a member never runs ahead of its disk: an entry, a term or a vote is
//! added to [`NodeState`](state::NodeState) only after it has been synced. Answers computed from
//! memory can therefore be sent without a further sync, and each kind of record has a single place
//! where it is synced. A lock ([`ControlCore::store`]) serializes the writers of durable state.
//!
//! The tasks are: elections; replication, one task per member of a leader; writing a leader's
//! batches; monitoring a leader's quorum; and carrying out a replacement.

mod change;
mod core;
mod disk_full;
mod durability_check;
mod election;
mod error;
mod feed;
mod follower;
mod founding;
mod joining;
mod leader;
mod membership_rules;
mod message;
mod order_fence;
mod replacement;
mod replicator;
mod seeding;
mod snapshot;
mod state;
mod tail;
mod voting;

pub(crate) use {self::core::ControlCore, change::LogHandler, message::LOG_PREFIX};
pub use {
    error::{ChangeError, ControlError, ReplaceError},
    message::MemberStatus,
};
