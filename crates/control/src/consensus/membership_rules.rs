//! Membership changes of a seeded log, decided by rules without an operator.
//!
//! - A process that asks to join becomes a learner, and a voter once it has caught up, up to the
//!   maximum number of voters: more voters survive the loss of more disks.
//! - A voter whose VM comes back with a different folder has lost its disk; the new member replaces
//!   it.
//! - A voter that does not respond is replaced only if a learner needs its place. Otherwise a voter
//!   that is slow or partitioned is kept, since removing it would reduce the number of losses that
//!   the others survive.
//! - A learner that does not respond is removed.
//!
//! All changes follow the rule of [`replacement`](super::replacement) that each membership entry
//! adds or removes one voter, so any two successive quorums share a voter.

use {
    super::{
        core::ControlCore,
        replacement::promote,
        state::{NodeState, Role},
    },
    crate::{
        config::SeedSettings,
        entry::{Member, MemberId, MemberRole, Membership, Replacement},
    },
    std::time::Duration,
};

/// The time without an answer after which a voter may be replaced by a learner that has caught up.
/// Ten heartbeats exceed the pauses of a batch-scheduled process, and still allow a lost voter to
/// be replaced within seconds of the start of the new member.
const VOTER_SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// The time without an answer after which a learner is removed. It asks to join again when it is
/// back.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// The time without an answer after which a voter is removed from an even number of voters, which
/// survives no more losses than one voter fewer.
const EVEN_VOTER_SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// The maximum number of learners.
const MAX_LEARNERS: usize = 8;

/// The time after its election during which a leader expects further control processes to ask to
/// join. Requests sent before the election were refused, and are repeated after an interval and a
/// round trip.
const JOIN_GRACE: Duration = Duration::from_millis(1_000);

/// The maximum time for which a change waits for members to join. Operators wait a few seconds for
/// an acknowledgement, and a VM that never starts must not block the first configuration.
const JOIN_WAIT_LIMIT: Duration = Duration::from_millis(2_500);

impl ControlCore {
    /// Returns the next membership according to the rules of this module, or `None` if no change is
    /// due.
    pub(super) fn rule_step(&self, state: &NodeState) -> Option<Membership> {
        let settings = self.config.seed_settings()?;
        let current = state.membership()?;
        self.join_step(current)
            .or_else(|| self.promotion_step(state, current, settings))
            .or_else(|| self.removal_step(state, current))
    }

    /// Adds a process that has asked to join.
    fn join_step(&self, current: &Membership) -> Option<Membership> {
        let recent = self.joining.recent(self.now());
        let joiner = recent.into_iter().find(|m| current.member(m.id).is_none())?;
        let learners = current.members.iter().filter(|m| m.role == MemberRole::Learner).count();
        let predecessor = current.members.iter().find(|m| m.address == joiner.address);
        let mut next = current.clone();
        match predecessor {
            Some(voter) if voter.role == MemberRole::Voter => {
                next.replacement = Some(Replacement { old: voter.id, new: joiner.id });
            }
            Some(learner) => next.members.retain(|m| m.id != learner.id),
            None if learners >= MAX_LEARNERS => return None,
            None => {}
        }
        next.members.push(Member { role: MemberRole::Learner, ..joiner });
        Some(next)
    }

    /// Promotes a learner that has caught up, into a free place or in place of a voter that does
    /// not respond.
    fn promotion_step(
        &self,
        state: &NodeState,
        current: &Membership,
        settings: &SeedSettings,
    ) -> Option<Membership> {
        let is_ready = |m: &&Member| m.role == MemberRole::Learner;
        let learner =
            current.members.iter().filter(is_ready).find(|m| self.has_caught_up(state, m.id))?;
        let silent = current.voters().find(|v| self.is_silent(state, v.id, VOTER_SILENCE_LIMIT));
        let mut next = current.clone();
        match silent {
            Some(voter) => {
                next.replacement = Some(Replacement { old: voter.id, new: learner.id });
            }
            None if current.voters().count() < settings.max_voters => {
                promote(&mut next, learner.id);
            }
            None => return None,
        }
        Some(next)
    }

    /// Removes a learner that does not respond, or such a voter out of an even number.
    fn removal_step(&self, state: &NodeState, current: &Membership) -> Option<Membership> {
        let is_even = current.voters().count().is_multiple_of(2);
        let is_unresponsive = |m: &&Member| match m.role {
            MemberRole::Learner => self.is_silent(state, m.id, LEARNER_SILENCE_LIMIT),
            MemberRole::Voter => is_even && self.is_silent(state, m.id, EVEN_VOTER_SILENCE_LIMIT),
        };
        let unresponsive = current.members.iter().find(is_unresponsive)?.id;
        let mut next = current.clone();
        next.members.retain(|m| m.id != unresponsive);
        Some(next)
    }

    /// Returns whether the learner of a replacement has stopped responding before it was promoted,
    /// so that another may be named.
    pub(super) fn is_abandoned(&self, state: &NodeState, replacement: Replacement) -> bool {
        let Some(current) = state.membership() else { return false };
        let is_learning =
            current.member(replacement.new).is_some_and(|m| m.role == MemberRole::Learner);
        self.config.seed_settings().is_some()
            && is_learning
            && current.member(replacement.old).is_some()
            && self.is_silent(state, replacement.new, VOTER_SILENCE_LIMIT)
    }

    /// Returns whether a member has neither answered for `limit`, counted from the start of this
    /// leadership at the earliest, nor recently asked to join.
    fn is_silent(&self, state: &NodeState, id: MemberId, limit: Duration) -> bool {
        let Role::Leader(leadership) = &state.role else { return false };
        let acked = leadership.progress.get(&id).and_then(|p| p.acked);
        let since = acked.unwrap_or(leadership.began).max(leadership.began);
        let has_asked = || self.joining.recent(self.now()).iter().any(|m| m.id == id);
        id != self.me && self.now().since(since) > limit && !has_asked()
    }

    /// Waits, up to a limit, until the control processes that are running have become voters.
    ///
    /// The log is founded by a few processes. A change acknowledged by them alone would be lost
    /// with two of their disks, although a deployment with more control VMs is meant to survive
    /// that.
    pub(super) async fn wait_for_joins(&self) {
        let Some(settings) = self.config.seed_settings() else { return };
        let has_settled = |s: &NodeState| {
            let voters = s.membership().map_or(0, |m| m.voters().count());
            let Role::Leader(leadership) = &s.role else { return Some(()) };
            let is_early = self.now().since(leadership.began) < JOIN_GRACE;
            let is_full = voters >= settings.max_voters;
            let is_expecting = (is_early && !is_full) || self.has_pending_joiner(s, is_full);
            (!is_expecting).then_some(())
        };
        self.wait_until_timeout(JOIN_WAIT_LIMIT, has_settled).await;
    }

    /// Returns whether a process that has asked to join is about to become a voter: in a free
    /// place, or in place of a voter whose disk it has lost.
    fn has_pending_joiner(&self, state: &NodeState, is_full: bool) -> bool {
        let Some(current) = state.membership() else { return false };
        let has_lost_disk = |m: &Member| current.voters().any(|v| v.address == m.address);
        let recent = self.joining.recent(self.now());
        let mut outside = recent.iter().filter(|m| !current.is_voter(m.id));
        outside.any(|m| !is_full || current.replacement.is_some() || has_lost_disk(m))
    }
}
