//! Evaluates the replies of a group's replicas to one protocol step.

use {
    crate::{
        ReplicaGroup, RunResult,
        message::{StepOutcome, StepReply},
        record::{Acceptance, AttemptId, RecordView, RecordVote},
        table::AbstainReason,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// The replies to one step so far, in the group's order. `None` if no reply has arrived or the call
/// failed.
pub(crate) struct ReplyTally<'a> {
    group: &'a ReplicaGroup,
    replies: &'a [Option<StepReply>],
    /// The attempt that sent the step.
    attempt: AttemptId,
}

/// Verdict on the replies to a prepare.
#[derive(Debug)]
pub(crate) enum PrepareVerdict {
    /// This attempt may dispatch.
    Granted,
    /// An earlier attempt has a result.
    Finished(Acceptance, RunResult),
    /// Another attempt may have been dispatched.
    Dispatched,
    /// Other attempts hold promises, but none is known to have been dispatched.
    Contended {
        /// The highest promised counter.
        counter: u32,
        /// True if the promises are split so that no attempt can hold a quorum of them, and this
        /// attempt is to proceed with a higher ballot.
        split: bool,
    },
    /// Too few replicas voted.
    NoQuorum {
        /// Number of replicas that voted.
        answered: usize,
        /// Reason of a replica that abstained. `None` if the others did not answer.
        reason: Option<AbstainReason>,
    },
}

/// Verdict on the replies to an accept.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AcceptVerdict {
    /// The attempt is chosen: it may run, and no other will.
    Chosen,
    /// Another attempt has been promised the key since.
    Superseded,
    /// Too few replicas voted.
    NoQuorum {
        /// Number of replicas that accepted the attempt.
        answered: usize,
        /// Reason of a replica that abstained. `None` if the others did not answer.
        reason: Option<AbstainReason>,
    },
}

impl<'a> ReplyTally<'a> {
    /// Creates a tally for `attempt`.
    pub(crate) fn new(
        group: &'a ReplicaGroup,
        replies: &'a [Option<StepReply>],
        attempt: AttemptId,
    ) -> Self {
        Self { group, replies, attempt }
    }

    /// Returns the valid replies. A reply from an incarnation whose state has been lost since is
    /// void: the replica may have promised or accepted again in its current run, without knowledge
    /// of the vote counted here.
    fn valid(&self) -> impl Iterator<Item = &'a StepReply> + Clone {
        let replies = self.replies;
        let is_void = move |index: usize, reply: &StepReply| {
            let known = replies.iter().flatten().filter_map(|other| other.known.get(index));
            known.max().is_some_and(|latest| *latest > reply.incarnation)
        };
        let numbered = replies.iter().enumerate();
        numbered.filter_map(move |(index, reply)| reply.as_ref().filter(|r| !is_void(index, r)))
    }

    fn votes(&self) -> impl Iterator<Item = &'a RecordVote> + Clone {
        self.valid().filter_map(|reply| match &reply.outcome {
            StepOutcome::Vote(vote) => Some(vote),
            _ => None,
        })
    }

    fn views(&self) -> impl Iterator<Item = &'a RecordView> + Clone {
        self.votes().map(|vote| &vote.view)
    }

    fn agreed(&self) -> usize {
        self.votes().filter(|vote| vote.agreed).count()
    }

    fn reason(&self) -> Option<AbstainReason> {
        self.valid().find_map(|reply| match &reply.outcome {
            StepOutcome::Abstained(reason) => Some(*reason),
            _ => None,
        })
    }

    /// Attempts known to have been released by their gateways.
    fn released(&self) -> BTreeSet<AttemptId> {
        self.views().flat_map(|view| view.released.iter().copied()).collect()
    }

    /// Returns true if another attempt may be chosen: enough replicas have accepted it or may have
    /// accepted it. A replica that promised this attempt no longer accepts earlier ones.
    fn other_may_be_chosen(&self) -> bool {
        let released = self.released();
        let accepted: BTreeSet<AttemptId> = self
            .views()
            .filter_map(|view| view.accepted)
            .map(|accepted| accepted.ballot.attempt)
            .filter(|attempt| *attempt != self.attempt && !released.contains(attempt))
            .collect();
        accepted.into_iter().any(|attempt| self.may_be_chosen(attempt))
    }

    fn may_be_chosen(&self, attempt: AttemptId) -> bool {
        let holds = |view: &RecordView| {
            view.accepted.is_some_and(|accepted| accepted.ballot.attempt == attempt)
        };
        let excluded = self.votes().filter(|vote| vote.agreed && !holds(&vote.view)).count();
        self.group.members.len() - excluded >= self.group.quorum()
    }

    /// Shortest time since a caller was told "not run" under this key.
    pub(crate) fn denied_age(&self) -> Option<Duration> {
        self.views().filter_map(|view| view.denied_age).min()
    }

    /// Returns the verdict on a prepare, or `None` while outstanding replies can change it.
    pub(crate) fn prepare(&self, is_last: bool) -> Option<PrepareVerdict> {
        if let Some((accepted, result)) = self.finished() {
            // Another replica may have stored the answer that this one lacks.
            let wait = result == RunResult::Unkept && !is_last;
            return (!wait).then_some(PrepareVerdict::Finished(accepted, result));
        }
        let chosen = self.other_may_be_chosen();
        if self.agreed() >= self.group.quorum() && !chosen {
            return Some(PrepareVerdict::Granted);
        }
        if !is_last {
            return None;
        }
        let answered = self.votes().count();
        if chosen {
            return Some(PrepareVerdict::Dispatched);
        }
        if answered >= self.group.quorum() {
            return Some(self.contended());
        }
        Some(PrepareVerdict::NoQuorum { answered, reason: self.reason() })
    }

    fn finished(&self) -> Option<(Acceptance, RunResult)> {
        let ended = |view: &RecordView| Some((view.accepted?, view.result.clone()?));
        let results = self.views().filter_map(ended);
        let kept = results.clone().find(|(_, result)| *result != RunResult::Unkept);
        kept.or_else(|| results.clone().next())
    }

    fn contended(&self) -> PrepareVerdict {
        let promised: Vec<_> = self.views().filter_map(|view| view.promised).collect();
        let unseen = self.group.members.len() - promised.len();
        let may_hold = |attempt: AttemptId| {
            let held = promised.iter().filter(|ballot| ballot.attempt == attempt).count();
            held + unseen >= self.group.quorum()
        };
        let decided = promised.iter().any(|ballot| may_hold(ballot.attempt));
        let first = promised.iter().all(|ballot| ballot.attempt <= self.attempt);
        let counter = promised.iter().map(|ballot| ballot.counter).max().unwrap_or(0);
        PrepareVerdict::Contended { counter, split: first && !decided }
    }

    /// Returns the verdict on an accept, or `None` while outstanding replies can change it.
    pub(crate) fn accept(&self, is_last: bool) -> Option<AcceptVerdict> {
        if self.agreed() >= self.group.quorum() {
            return Some(AcceptVerdict::Chosen);
        }
        if !is_last {
            return None;
        }
        if self.votes().any(|vote| !vote.agreed) {
            return Some(AcceptVerdict::Superseded);
        }
        let answered = self.agreed();
        Some(AcceptVerdict::NoQuorum { answered, reason: self.reason() })
    }

    /// Returns true if a release proves that no attempt under the key ran: the replicas that know
    /// of none intersect every quorum, past or future.
    pub(crate) fn proves_not_run(&self) -> bool {
        let clean =
            |reply: &&StepReply| matches!(reply.outcome, StepOutcome::Released { clean: true });
        self.valid().filter(clean).count() >= self.group.blocking_size()
    }

    /// Returns true if a quorum has stored the result.
    pub(crate) fn is_stored(&self) -> bool {
        let is_stored = |reply: &&StepReply| matches!(reply.outcome, StepOutcome::Stored);
        self.valid().filter(is_stored).count() >= self.group.quorum()
    }
}
