//! Replicated status of one run of a backend server or gateway.
//!
//! The status is a state-based CRDT (a join semilattice): [`RunStatus::merge`] is commutative,
//! associative and idempotent, so gateways that received the same announcements converge regardless
//! of order and repetition. A higher incarnation replaces all state of a lower one. Within an
//! incarnation, `Leaving` is final, and a run that was declared expired at one sequence number is
//! live again from the next one on.

use {
    crate::ServingState,
    gullglade_units::Incarnation,
    serde::{Deserialize, Serialize},
    std::cmp::Ordering,
};

/// Incarnation, sequence number and liveness of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunStatus {
    /// Highest known incarnation.
    pub incarnation: Incarnation,
    /// Highest known sequence number of that incarnation.
    pub sequence: u64,
    /// Serving state.
    pub state: ServingState,
    /// Highest sequence number up to which a gateway has declared the run expired.
    pub expired: Option<u64>,
}

/// Effect of merging a status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusChange {
    /// `other` had a higher incarnation and replaced the status.
    pub restarted: bool,
    /// `other` had a lower incarnation and was ignored.
    pub superseded: bool,
    /// The sequence number increased, or the incarnation was replaced.
    pub advanced: bool,
    /// The incarnation, state or expiry changed, which must be propagated to all gateways.
    pub membership: bool,
    /// `other` declares the run expired, but this side has later announcements.
    pub refuted: bool,
}

impl RunStatus {
    /// Creates the status of a run that announced `sequence`.
    pub fn new(incarnation: Incarnation, sequence: u64, state: ServingState) -> Self {
        Self { incarnation, sequence, state, expired: None }
    }

    /// Returns whether the run was declared expired and no later announcement is known.
    pub fn is_expired(&self) -> bool {
        self.expired.is_some_and(|expired| self.sequence <= expired)
    }

    /// Returns whether the run is serving and not expired.
    pub fn is_live(&self) -> bool {
        self.state == ServingState::Serving && !self.is_expired()
    }

    /// Declares the run expired up to `margin` sequence numbers beyond the latest known one.
    pub fn expire(&mut self, margin: u64) {
        self.expired = Some(self.sequence.saturating_add(margin));
    }

    /// Merges `other` into this status.
    pub fn merge(&mut self, other: &RunStatus) -> StatusChange {
        match other.incarnation.cmp(&self.incarnation) {
            Ordering::Less => StatusChange { superseded: true, ..StatusChange::default() },
            Ordering::Greater => {
                *self = *other;
                let restarted = true;
                let (advanced, membership) = (true, true);
                StatusChange { restarted, advanced, membership, ..StatusChange::default() }
            }
            Ordering::Equal => self.merge_same_run(other),
        }
    }

    fn merge_same_run(&mut self, other: &RunStatus) -> StatusChange {
        let before = *self;
        self.state = self.state.max(other.state);
        self.sequence = self.sequence.max(other.sequence);
        self.expired = self.expired.max(other.expired);
        StatusChange {
            advanced: self.sequence > before.sequence,
            membership: self.state != before.state || self.is_expired() != before.is_expired(),
            refuted: other.is_expired() && !self.is_expired(),
            ..StatusChange::default()
        }
    }
}
