//! At-most-once execution of non-idempotent requests.
//!
//! A caller gives every such request an order key. Before a byte of the request is sent to a
//! backend server, the gateway *claims* the key at a quorum of the key's claim replicas, by
//! single-decree Paxos, in two steps:
//!
//! 1. [`ClaimCoordinator::claim`] asks whether the key is free. It returns a [`ClaimGrant`], the
//!    stored answer of an earlier send, or a notice that another send may be running.
//! 2. [`ClaimGrant::dispatch`] records, just before the first byte, that the request may run from
//!    now on. Only the [`RunPermit`] that it returns entitles the gateway to send that byte.
//!
//! There are two steps because a request may wait seconds for capacity between them. A gateway
//! killed in that time provably ran nothing, so a resend may run instead of being told `unknown`.
//!
//! "Not run" is always a statement about the *key*: no send under it has run, and no send that was
//! received before the statement will run. [`ClaimError::proves_not_run`] tells whether an error
//! proves that; if it does not, the caller must be told `unknown`.

mod answer;
mod coordinator;
mod error;
mod group;
mod join;
mod key;
mod local;
mod message;
mod quorum;
mod record;
mod replica;
mod round;
mod service;
mod settings;
mod table;
mod tally;

pub use answer::{AnswerError, MAX_ANSWER_HEADERS, StoredAnswer};
pub use coordinator::{
    ClaimCoordinator, ClaimDriver, ClaimGrant, ClaimOutcome, ReleaseProof, RunPermit, RunResult,
};
pub use error::ClaimError;
pub use group::{GroupId, GroupSource, GroupTable, ReplicaGroup, ReplicaMember};
pub use key::{ClaimDigest, ClaimRequest, RequestFingerprint};
pub use local::LocalClaims;
pub use quorum::QuorumClaims;
pub use replica::{ClaimReplica, ReplicaState};
pub use service::ClaimService;
pub use settings::{ClaimSettings, SettingsError};
