//! Agreement on one log (after Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014, and Ongaro's thesis for pre-vote, membership and reads).
//!
//! The memory of a member never runs ahead of its disk: an entry, a term or a vote is in
//! [`NodeState`] only once it is synced. So every answer that is computed from memory may be given
//! at once, and there is one place per kind of record where a sync can be forgotten. A lock
//! ([`ControlCore::store`]) keeps the writers of durable state one behind the other.
//!
//! Tasks: one for elections, one per member that a leader replicates to, one that writes the
//! leader's batches, one that watches the leader's quorum, one that carries out a replacement.

mod change;
mod core;
mod election;
mod error;
mod feed;
mod follower;
mod founding;
mod growth;
mod joining;
mod leader;
mod message;
mod replacement;
mod replicator;
mod seeding;
mod snapshot;
mod space;
mod state;
mod tail;
mod voting;
mod witness;

pub(crate) use {self::core::ControlCore, change::LogHandler, message::LOG_PREFIX};
pub use {
    error::{ChangeError, ControlError, ReplaceError},
    message::MemberStatus,
};
