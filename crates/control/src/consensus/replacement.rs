//! Replacement of a voter by a sequence of single-server membership changes.
//!
//! Any two successive quorums must share a voter, so a membership entry adds or removes one voter
//! and never both. The new member first receives the log as a learner. If the old voter does not
//! respond by then, it is removed before the new one is added: with three voters, the quorum
//! remains the two that work. If the old voter still responds, the new one is added first, so that
//! no step leaves fewer working voters than a quorum can spare.

use {
    super::{core::ControlCore, error::ReplaceError, message::ReplaceReply, state::NodeState},
    crate::entry::{
        Command, LogIndex, Member, MemberId, MemberRole, Membership, Replacement, Term,
    },
    gullglade_event::EventDraft,
    gullglade_units::VmName,
    std::{net::SocketAddr, rc::Rc},
};

impl ControlCore {
    /// Begins to replace the voter on `old` by the control process at `address`.
    pub(super) async fn begin_replacement(&self, old: VmName, address: SocketAddr) -> ReplaceReply {
        let unreachable = |reason| ReplaceError::Unreachable { address, reason };
        let hello = self.ask_hello(address).await.map_err(unreachable)?;
        if let Some(kept) = hello.membership {
            return Err(ReplaceError::NotEmpty { address, found: kept.cluster.to_string() });
        }
        let learner = Member {
            id: hello.member,
            vm: hello.vm,
            region: hello.region,
            address,
            role: MemberRole::Learner,
        };
        let membership = self.with_learner(&old, learner)?;
        self.propose_membership(membership).await.map_err(|reason| ReplaceError::NotNow { reason })
    }

    fn with_learner(&self, old: &VmName, learner: Member) -> Result<Membership, ReplaceError> {
        let state = self.state.borrow();
        if !can_change_membership(&state) {
            let reason =
                "this process is not the leader, or another change is in progress".to_owned();
            return Err(ReplaceError::NotNow { reason });
        }
        let Some(current) = state.membership() else {
            return Err(ReplaceError::NotNow { reason: "there is no log yet".to_owned() });
        };
        let no_such_voter = || ReplaceError::NoSuchVoter { vm: old.clone() };
        let old = current.voters().find(|m| m.vm == *old).ok_or_else(no_such_voter)?.id;
        let mut membership = (**current).clone();
        if let Some(running) = current.replacement {
            // The new member may fail as well. Until it is promoted, another one may be named in
            // its place.
            let is_learning =
                current.member(running.new).is_some_and(|m| m.role == MemberRole::Learner);
            if running.old != old || !is_learning {
                return Err(ReplaceError::InProgress { old: running.old, new: running.new });
            }
            membership.members.retain(|m| m.id != running.new);
        }
        membership.replacement = Some(Replacement { old, new: learner.id });
        membership.members.push(learner);
        Ok(membership)
    }

    async fn propose_membership(&self, membership: Membership) -> Result<(), String> {
        let end = self.propose(Command::Membership(membership)).await;
        end.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Carries out the replacement recorded in the membership.
    pub(super) async fn run_replacement(self: Rc<Self>, term: Term) {
        loop {
            let next = self
                .wait_until(|s| match s.leadership(term) {
                    None => Some(None),
                    Some(_) => self.next_membership(s).map(Some),
                })
                .await;
            let Some(membership) = next else { return };
            let done = membership.replacement.is_none();
            if self.propose_membership(membership).await.is_ok() && done {
                self.events.emit(EventDraft::new("control.voter.replaced").field("term", term.0));
            }
        }
    }

    /// Returns the next membership to propose, or `None` while the new member has yet to catch up.
    fn next_membership(&self, state: &NodeState) -> Option<Membership> {
        let current = state.membership()?;
        if !can_change_membership(state) {
            return None;
        }
        let Some(replacement) = current.replacement else { return self.rule_step(state) };
        if self.is_abandoned(state, replacement) {
            return Some(without_learner(current, replacement.new));
        }
        let mut next = (**current).clone();
        let is_learner = |id| current.member(id).is_some_and(|m| m.role == MemberRole::Learner);
        if current.member(replacement.old).is_none() {
            promote(&mut next, replacement.new);
            next.replacement = None;
        } else if !is_learner(replacement.new) {
            next.members.retain(|m| m.id != replacement.old);
            next.replacement = None;
        } else if !self.has_caught_up(state, replacement.new) {
            return None;
        } else if self.is_responsive(state, replacement.old) {
            promote(&mut next, replacement.new);
        } else {
            next.members.retain(|m| m.id != replacement.old);
        }
        Some(next)
    }

    /// Returns whether the learner holds every committed entry and has answered recently.
    pub(super) fn has_caught_up(&self, state: &NodeState, id: MemberId) -> bool {
        let super::state::Role::Leader(leadership) = &state.role else { return false };
        let matched = leadership.progress.get(&id).map_or(LogIndex(0), |p| p.matched);
        matched >= state.commit && self.is_responsive(state, id)
    }

    pub(super) fn is_responsive(&self, state: &NodeState, id: MemberId) -> bool {
        let super::state::Role::Leader(leadership) = &state.role else { return false };
        let acked = leadership.progress.get(&id).and_then(|p| p.acked);
        let is_recent = |acked| self.now().since(acked) <= self.config.election_min;
        id == self.me || acked.is_some_and(is_recent)
    }
}

/// Returns whether a membership change may begin: the last one is committed, and the leader has
/// committed an entry of its own term. Without the second condition, a membership of an earlier
/// leader could reappear and form a quorum that shares no voter with the current one (Ongaro's
/// correction to single-server changes).
fn can_change_membership(state: &NodeState) -> bool {
    let super::state::Role::Leader(leadership) = &state.role else { return false };
    let is_waiting = state.pending.iter().any(|p| matches!(p.command, Command::Membership(_)));
    state.is_settled(leadership.term)
        && state.tail.membership_index() <= state.commit
        && !is_waiting
}

/// Returns the membership without a learner and without the replacement for which it was added.
fn without_learner(current: &Membership, learner: MemberId) -> Membership {
    let mut next = current.clone();
    next.members.retain(|m| m.id != learner);
    next.replacement = None;
    next
}

pub(super) fn promote(membership: &mut Membership, id: MemberId) {
    for member in membership.members.iter_mut().filter(|m| m.id == id) {
        member.role = MemberRole::Voter;
    }
}
