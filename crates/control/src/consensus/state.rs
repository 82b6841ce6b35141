//! The in-memory state of a member. The durable part of it has been synced.

use {
    super::{error::ControlError, order_fence::OrderFence, tail::LogTail},
    crate::{
        change::{ChangeRefusal, ConfigOutcome},
        consensus::error::ChangeError,
        entry::{Ballot, Command, LogIndex, LogPosition, MemberId, Membership, Term},
        state::ConfigState,
    },
    futures::channel::oneshot,
    gullglade_units::{BootTime, MonotonicTime},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        rc::Rc,
    },
};

/// The role of a member in its current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    Leader(Leadership),
}

/// The state of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) term: Term,
    /// The time at which the leadership began.
    pub(crate) began: MonotonicTime,
    /// Members that were last called before this time are called again at once.
    pub(crate) probe: MonotonicTime,
    /// The index of the leader's first entry.
    pub(crate) first: LogIndex,
    pub(crate) progress: BTreeMap<MemberId, MemberProgress>,
    /// The members for which a replication task of this term runs.
    pub(crate) replicating: BTreeSet<MemberId>,
    pub(crate) order_fence: OrderFence,
}

/// The replication progress of a member.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MemberProgress {
    /// The last index up to which its log is known to equal the leader's.
    pub(crate) matched: LogIndex,
    /// The time at which the last request that it answered was sent.
    pub(crate) acked: Option<MonotonicTime>,
    /// The same time on the clock that includes suspensions.
    pub(crate) acked_boot: Option<BootTime>,
}

/// A command to be appended to the log.
pub(crate) struct Proposal {
    pub(crate) command: Command,
    /// For an evacuation order: a position observed while its operator was waiting.
    pub(crate) observed: Option<LogPosition>,
    pub(crate) done: oneshot::Sender<ProposalEnd>,
}

/// The result of a proposal; for a change, its outcome.
pub(crate) type ProposalEnd = Result<Option<ConfigOutcome>, ChangeError>;

/// A caller waiting for an entry to be committed.
struct Waiter {
    term: Term,
    done: oneshot::Sender<ProposalEnd>,
}

/// A pre-vote that was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreVoteGrant {
    pub(crate) at: MonotonicTime,
    /// The last log position and the identity of the candidate. Of two candidates, the one with the
    /// greater value takes precedence.
    pub(crate) precedence: (LogPosition, MemberId),
}

pub(crate) struct NodeState {
    pub(crate) ballot: Ballot,
    pub(crate) tail: LogTail,
    pub(crate) config: ConfigState,
    pub(crate) is_doubtful: bool,
    pub(crate) commit: LogIndex,
    /// The highest index that a leader has reported as committed. It may exceed the last index of
    /// this log.
    pub(crate) known_commit: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    /// The time at which a leader was last heard from, or at which this process started.
    pub(crate) leader_heard_at: MonotonicTime,
    /// Whether this process has heard from a leader, or granted a vote, since it started.
    pub(crate) has_heard_leader: bool,
    /// Whether this member is campaigning.
    pub(crate) is_campaigning: bool,
    /// The last pre-vote that this member granted.
    pub(crate) granted_pre_vote: Option<PreVoteGrant>,
    /// A time at which the state was known to include every accepted change.
    pub(crate) confirmed: Option<BootTime>,
    pub(crate) pending: VecDeque<Proposal>,
    /// The last position that each member has acknowledged to this process as the leader, since it
    /// started.
    pub(crate) witnessed: BTreeMap<MemberId, LogPosition>,
    pub(crate) stopped: Option<ControlError>,
    /// Whether a write failed for lack of disk space and none has succeeded since.
    pub(crate) is_disk_full: bool,
    waiters: BTreeMap<LogIndex, Waiter>,
}

impl NodeState {
    pub(crate) fn new(
        now: MonotonicTime,
        ballot: Ballot,
        tail: LogTail,
        config: ConfigState,
    ) -> Self {
        let applied = config.applied();
        Self {
            ballot,
            tail,
            config,
            is_doubtful: false,
            commit: applied,
            known_commit: applied,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            has_heard_leader: false,
            is_campaigning: false,
            granted_pre_vote: None,
            confirmed: None,
            pending: VecDeque::new(),
            witnessed: BTreeMap::new(),
            stopped: None,
            is_disk_full: false,
            waiters: BTreeMap::new(),
        }
    }

    pub(crate) fn membership(&self) -> Option<&Rc<Membership>> {
        self.tail.membership()
    }

    /// Records contact with a leader, or with a candidate that is about to become one.
    pub(crate) fn note_leader_contact(&mut self, now: MonotonicTime) {
        self.leader_heard_at = now;
        self.has_heard_leader = true;
    }

    /// Returns the last position of this member's log.
    pub(crate) fn log_end(&self) -> LogPosition {
        LogPosition { term: self.tail.last_term(), index: self.tail.last() }
    }

    /// Returns whether this member can currently write durable state.
    pub(crate) fn can_write(&self) -> bool {
        self.stopped.is_none() && !self.is_disk_full
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leadership of `term`, if this member still leads in that term.
    pub(crate) fn leadership(&self, term: Term) -> Option<&Leadership> {
        match &self.role {
            Role::Leader(leadership) if leadership.term == term => Some(leadership),
            _ => None,
        }
    }

    pub(crate) fn leadership_mut(&mut self, term: Term) -> Option<&mut Leadership> {
        match &mut self.role {
            Role::Leader(leadership) if leadership.term == term => Some(leadership),
            _ => None,
        }
    }

    /// Returns whether the leader of `term` has committed an entry of that term.
    pub(crate) fn is_settled(&self, term: Term) -> bool {
        self.leadership(term).is_some_and(|l| self.commit >= l.first)
    }

    /// Returns the latest time at which a quorum is known to have followed this leader: the send
    /// time of requests that a quorum, including the leader, has answered.
    pub(crate) fn quorum_acked(&self, me: MemberId, now: MonotonicTime) -> Option<MonotonicTime> {
        let Role::Leader(leadership) = &self.role else { return None };
        let membership = self.membership()?;
        let acked = |id: MemberId| {
            if id == me { Some(now) } else { leadership.progress.get(&id)?.acked }
        };
        let mut times: Vec<_> =
            membership.voters().map(|m| acked(m.id).unwrap_or(leadership.began)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(membership.quorum() - 1).copied()
    }

    /// Returns the latest time at which no other leader can have been elected: the send time of
    /// requests that a quorum, including the leader, has answered.
    ///
    /// A voter that has not answered in this term is not counted. It voted for this leader before
    /// the leadership began, and may have voted for another one since.
    pub(crate) fn quorum_acked_boot(&self, me: MemberId, now: BootTime) -> Option<BootTime> {
        let Role::Leader(leadership) = &self.role else { return None };
        let membership = self.membership()?;
        let acked_boot = |id: MemberId| {
            if id == me { Some(now) } else { leadership.progress.get(&id)?.acked_boot }
        };
        let mut times: Vec<_> = membership.voters().filter_map(|m| acked_boot(m.id)).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(membership.quorum() - 1).copied()
    }

    /// Returns the highest index known to be stored by a quorum.
    pub(crate) fn quorum_matched(&self, me: MemberId) -> Option<LogIndex> {
        let Role::Leader(leadership) = &self.role else { return None };
        let membership = self.membership()?;
        let matched = |id: MemberId| {
            let progress = leadership.progress.get(&id);
            if id == me { self.tail.last() } else { progress.map_or(LogIndex(0), |p| p.matched) }
        };
        let mut indexes: Vec<_> = membership.voters().map(|m| matched(m.id)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        indexes.get(membership.quorum() - 1).copied()
    }

    /// Stores a ballot that has been synced. A higher term ends a leadership.
    pub(crate) fn set_ballot(&mut self, ballot: Ballot) {
        if ballot.term > self.ballot.term {
            self.leader = None;
            self.end_leadership("another leader was elected");
        }
        self.ballot = ballot;
    }

    /// Begins a leadership. Its first entry is a [`Command::Noop`], since committing that entry
    /// also commits the entries of earlier terms.
    pub(crate) fn begin_leadership(&mut self, term: Term, me: MemberId, now: MonotonicTime) {
        let first = self.tail.last().next();
        let progress = BTreeMap::new();
        let replicating = BTreeSet::from([me]);
        let order_fence = OrderFence::new(LogPosition { term, index: first });
        self.role = Role::Leader(Leadership {
            term,
            began: now,
            probe: now,
            first,
            progress,
            replicating,
            order_fence,
        });
        self.leader = Some(me);
        let (done, _) = oneshot::channel();
        self.pending.push_back(Proposal { command: Command::Noop, observed: None, done });
    }

    /// Ends a leadership. Callers waiting for an entry receive an unknown outcome, since the next
    /// leader may still commit the entry.
    pub(crate) fn end_leadership(&mut self, reason: &str) {
        if !self.is_leader() {
            return;
        }
        self.role = Role::Follower;
        self.leader = None;
        let unknown = || Err(ChangeError::Unknown { reason: reason.to_owned() });
        for (_, waiter) in std::mem::take(&mut self.waiters) {
            drop(waiter.done.send(unknown()));
        }
        for proposal in self.pending.drain(..) {
            drop(proposal.done.send(Err(ChangeError::NoLeader)));
        }
    }

    pub(crate) fn await_commit(
        &mut self,
        index: LogIndex,
        term: Term,
        done: oneshot::Sender<ProposalEnd>,
    ) {
        self.waiters.insert(index, Waiter { term, done });
    }

    /// Advances the commit index to `index` or the end of the log, applies the entries, and answers
    /// the waiting callers. Returns the outcomes for reporting as events.
    pub(crate) fn commit_to(&mut self, index: LogIndex) -> Vec<ConfigOutcome> {
        self.commit = self.commit.max(index.min(self.tail.last()));
        self.known_commit = self.known_commit.max(self.commit);
        let mut outcomes = Vec::new();
        while self.config.applied() < self.commit {
            let next = self.config.applied().next();
            let Some(entry) = self.tail.get(next) else { break };
            let (decision, term) = (self.config.apply(entry), entry.term);
            if let Some(Ok(outcome)) = &decision {
                outcomes.push(outcome.clone());
            }
            if let Some(waiter) = self.waiters.remove(&next) {
                drop(waiter.done.send(proposal_end(waiter.term == term, decision)));
            }
        }
        outcomes
    }
}

fn proposal_end(
    is_own: bool,
    decision: Option<Result<ConfigOutcome, ChangeRefusal>>,
) -> ProposalEnd {
    if !is_own {
        let reason = "the entry was replaced by one of another leader".to_owned();
        return Err(ChangeError::Unknown { reason });
    }
    decision.transpose().map_err(ChangeError::from)
}
