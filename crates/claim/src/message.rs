//! Messages between gateways and replicas: bincode bodies of peer calls.

use {
    crate::{
        ClaimDigest, GroupId, RunResult,
        record::{Acceptance, AttemptId, Ballot, RecordVote},
        table::{AbstainReason, CopiedRecord, KeyScope},
    },
    gullglade_units::{Incarnation, VmName, WallMillis},
    serde::{Deserialize, Serialize},
};

/// Peer method of [`StepCall`].
pub(crate) const STEP_METHOD: &str = "claim.step";

/// Peer method of [`CopyCall`].
pub(crate) const COPY_METHOD: &str = "claim.copy";

/// One step of an attempt, sent from its gateway to a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StepCall {
    pub(crate) group: GroupId,
    pub(crate) epoch: u64,
    pub(crate) scope: KeyScope,
    pub(crate) step: ClaimStep,
}

/// The steps of the claim protocol.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ClaimStep {
    /// Promise not to accept lower ballots (Paxos phase 1).
    Prepare(Ballot),
    /// Record that the attempt may run (Paxos phase 2). Valid only at the incarnation that gave the
    /// promise: a replica that has restarted since has lost its promises to other attempts.
    Accept { acceptance: Acceptance, promised_by: Incarnation },
    /// Record that the attempt has not run and never will.
    Release { attempt: AttemptId, deny: bool },
    /// Record the result of the attempt.
    Finish { acceptance: Acceptance, result: RunResult },
}

/// A replica's answer to a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StepReply {
    /// Incarnation of the replica.
    pub(crate) incarnation: Incarnation,
    /// The latest incarnation of each member that the replica knows of, in the group's order. A
    /// vote by an earlier incarnation of a member is void, because its state is lost.
    pub(crate) known: Vec<Incarnation>,
    pub(crate) outcome: StepOutcome,
}

/// Outcome of a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StepOutcome {
    /// Reply to a prepare or accept.
    Vote(RecordVote),
    /// Reply to a release. `clean` is true if, as far as the replica knows, no other attempt may
    /// have run.
    Released { clean: bool },
    /// Reply to a finish.
    Stored,
    /// The replica does not vote.
    Abstained(AbstainReason),
}

/// Request for another replica's records, from a replica that enters an epoch or has lost its
/// state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CopyCall {
    pub(crate) group: GroupId,
    pub(crate) epoch: u64,
    /// The reply includes records only if the member holds all claims up to this epoch.
    pub(crate) needed: u64,
    /// Start after this record.
    pub(crate) cursor: Option<ClaimDigest>,
}

/// One page of a replica's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CopyPage {
    /// Incarnation of the replica that answers.
    pub(crate) incarnation: Incarnation,
    /// The latest epoch for which the replica holds all claims; zero for none.
    pub(crate) complete: u64,
    /// The latest epoch that the replica knows to have been decided.
    pub(crate) sealed: u64,
    /// Wall clock of the replica.
    pub(crate) wall: WallMillis,
    /// The latest creation time of a key whose record the replica has evicted.
    pub(crate) forgotten: WallMillis,
    /// The latest incarnations that the replica knows of.
    pub(crate) known: Vec<(VmName, Incarnation)>,
    pub(crate) records: Vec<CopiedRecord>,
    /// Cursor of the next page. `None` on the last page.
    pub(crate) next: Option<ClaimDigest>,
}
