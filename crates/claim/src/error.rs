//! Errors of claims.

use {
    gullglade_units::{OrderKey, RegionName},
    snafu::Snafu,
    std::time::Duration,
};

/// A send of a non-idempotent request may not run. For every variant, the send that received the
/// error was not dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClaimError {
    /// The key is older than the retention window.
    #[snafu(display(
        "order key {key} is older than the retention window of {window:?}: this send was not run, \
         but there is no longer a record of earlier sends under the same key; check the \
         backend server's own records, then order under a new key"
    ))]
    Expired {
        /// The order key.
        key: OrderKey,
        /// The retention window.
        window: Duration,
    },
    /// The creation time in the key is ahead of the replica's clock by more than the allowed skew.
    #[snafu(display(
        "order key {key} was created {ahead:?} ahead of this VM's clock, at most {allowed:?} is \
         allowed: correct the clock where keys are created, or take keys from `GET /v1/entry`; \
         then resend under the same key"
    ))]
    FromFuture {
        /// The order key.
        key: OrderKey,
        /// Difference between the key's creation time and the local clock.
        ahead: Duration,
        /// Maximum difference.
        allowed: Duration,
    },
    /// The service does not allow its data in the claim region.
    #[snafu(display(
        "order key {key} is decided in region {region}, where the service does not \
         allow its data: take a key for an allowed region from `GET /v1/entry`"
    ))]
    RegionNotAllowed {
        /// The order key.
        key: OrderKey,
        /// The claim region.
        region: RegionName,
    },
    /// No claim replicas are configured for the region.
    #[snafu(display(
        "no claim replicas are configured for region {region}: take a key for a region of this \
         deployment from `GET /v1/entry`"
    ))]
    NoReplicas {
        /// The claim region.
        region: RegionName,
    },
    /// Too few replicas voted.
    #[snafu(display(
        "{answered} of {members} claim replicas of region {region} could vote on order key {key}, \
         {needed} are needed ({reason}): resend under the same key later"
    ))]
    NoQuorum {
        /// The order key.
        key: OrderKey,
        /// The claim region.
        region: RegionName,
        /// Number of replicas that voted.
        answered: usize,
        /// Number of replicas in the group.
        members: usize,
        /// Size of a quorum.
        needed: usize,
        /// A reason that a replica gave for not voting.
        reason: &'static str,
        /// True if enough replicas have recorded that the key was not run.
        not_run: bool,
    },
    /// Another send under the same key superseded this one before its dispatch.
    #[snafu(display(
        "another send under order key {key} took over before this one was dispatched: resend \
         under the same key to get its answer"
    ))]
    Superseded {
        /// The order key.
        key: OrderKey,
    },
    /// The send or its grant is older than the limit.
    #[snafu(display(
        "this send of order key {key} has waited {age:?}, longer than {limit:?}, and was not run: \
         resend under the same key"
    ))]
    SendTooOld {
        /// The order key.
        key: OrderKey,
        /// Age of the send, or time since its grant.
        age: Duration,
        /// Maximum age.
        limit: Duration,
    },
}

impl ClaimError {
    /// Returns true if *no* send under the key has run, and no send received before now will run.
    /// If false, the caller is told `unknown`: an earlier send may have run, and a caller who was
    /// told "not run" would order again under a new key.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, ClaimError::NoQuorum { not_run: true, .. })
    }
}
