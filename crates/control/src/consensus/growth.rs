//! How a seeded log takes in members and lets them go, by rule and without an operator.
//!
//! - Whoever asks becomes a learner, and a voter once it has the log, up to the most voters: the
//!   more voters, the more disks may be lost at once.
//! - A voter whose VM comes back with another folder has lost its disk; the newcomer takes its
//!   place.
//! - A voter that is silent gives way only to a learner that needs its place. A voter that is only
//!   slow or cut off is left alone otherwise: removing it would lower what the others can bear.
//! - A learner that is gone is forgotten.
//!
//! All of it goes through [`replacement`](super::replacement)'s rule of one change at a time, so
//! two quorums always share a voter.

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

/// A voter that has not answered for this long gives way to a learner that has caught up. Ten
/// heartbeats: a pause of a batch-scheduled process is shorter, and a place that is really empty
/// is filled within seconds of the newcomer's start.
const VOTER_SILENCE: Duration = Duration::from_millis(2_500);

/// A learner that has not answered for this long is forgotten; it asks again when it is back.
const LEARNER_SILENCE: Duration = Duration::from_secs(10);

/// An even number of voters bears no more losses than one voter fewer. So one of them that has
/// been silent for this long is let go.
const EVEN_SILENCE: Duration = Duration::from_secs(8);

/// The most members that do not vote.
const MAX_LEARNERS: usize = 8;

/// How long after its election a leader expects control processes that have no part yet to ask.
/// Before there was a leader they asked in vain; they ask again after a pause and a round trip.
const ELECTION_SLACK: Duration = Duration::from_millis(1_000);

/// The longest wait of a change for the log to grow. With the operators' window of a few seconds
/// for an acknowledgement, a VM that never comes must not hold up the first configuration.
const GROWTH_LIMIT: Duration = Duration::from_millis(2_500);

impl ControlCore {
    /// The next membership by the rules above; `None` where it may stay as it is.
    pub(super) fn growth_step(&self, state: &NodeState) -> Option<Membership> {
        let settings = self.config.seed_settings()?;
        let current = state.membership()?;
        self.newcomer_step(current)
            .or_else(|| self.learner_step(state, current, settings))
            .or_else(|| self.farewell_step(state, current))
    }

    /// Takes in one of those who ask.
    fn newcomer_step(&self, current: &Membership) -> Option<Membership> {
        let recent = self.joining.recent(self.now());
        let newcomer = recent.into_iter().find(|m| current.member(m.id).is_none())?;
        let learners = current.members.iter().filter(|m| m.role == MemberRole::Learner).count();
        let predecessor = current.members.iter().find(|m| m.address == newcomer.address);
        let mut next = current.clone();
        match predecessor {
            Some(voter) if voter.role == MemberRole::Voter => {
                next.replacement = Some(Replacement { old: voter.id, new: newcomer.id });
            }
            Some(learner) => next.members.retain(|m| m.id != learner.id),
            None if learners >= MAX_LEARNERS => return None,
            None => {}
        }
        next.members.push(Member { role: MemberRole::Learner, ..newcomer });
        Some(next)
    }

    /// Makes a learner that has caught up a voter, in a free place or in that of a silent voter.
    fn learner_step(
        &self,
        state: &NodeState,
        current: &Membership,
        settings: &SeedSettings,
    ) -> Option<Membership> {
        let is_ready = |m: &&Member| m.role == MemberRole::Learner;
        let learner =
            current.members.iter().filter(is_ready).find(|m| self.has_caught_up(state, m.id))?;
        let silent = current.voters().find(|v| self.is_silent(state, v.id, VOTER_SILENCE));
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

    /// Lets go a learner that is gone, or a silent voter out of an even number.
    fn farewell_step(&self, state: &NodeState, current: &Membership) -> Option<Membership> {
        let is_even = current.voters().count().is_multiple_of(2);
        let is_gone = |m: &&Member| match m.role {
            MemberRole::Learner => self.is_silent(state, m.id, LEARNER_SILENCE),
            MemberRole::Voter => is_even && self.is_silent(state, m.id, EVEN_SILENCE),
        };
        let gone = current.members.iter().find(is_gone)?.id;
        let mut next = current.clone();
        next.members.retain(|m| m.id != gone);
        Some(next)
    }

    /// Whether the replacement's learner is gone before it counted, so that another may be named.
    pub(super) fn is_abandoned(&self, state: &NodeState, replacement: Replacement) -> bool {
        let Some(current) = state.membership() else { return false };
        let is_learning =
            current.member(replacement.new).is_some_and(|m| m.role == MemberRole::Learner);
        self.config.seed_settings().is_some()
            && is_learning
            && current.member(replacement.old).is_some()
            && self.is_silent(state, replacement.new, VOTER_SILENCE)
    }

    /// Whether a member has answered nothing for `limit`, of which this process led all.
    fn is_silent(&self, state: &NodeState, id: MemberId, limit: Duration) -> bool {
        let Role::Leader(leadership) = &state.role else { return false };
        let acked = leadership.progress.get(&id).and_then(|p| p.acked);
        let since = acked.unwrap_or(leadership.since).max(leadership.since);
        let has_asked = || self.joining.recent(self.now()).iter().any(|m| m.id == id);
        id != self.me && self.now().since(since) > limit && !has_asked()
    }

    /// Waits, within bounds, until the control processes that are there are voters.
    ///
    /// The log is founded by few. A change acknowledged by them alone would be lost with two of
    /// their disks, although a deployment of more control VMs is meant to bear that.
    pub(super) async fn wait_for_growth(&self) {
        let Some(settings) = self.config.seed_settings() else { return };
        let is_grown = |s: &NodeState| {
            let voters = s.membership().map_or(0, |m| m.voters().count());
            let Role::Leader(leadership) = &s.role else { return Some(()) };
            let is_early = self.now().since(leadership.since) < ELECTION_SLACK;
            let is_full = voters >= settings.max_voters;
            let is_due = (is_early && !is_full) || self.has_newcomer(s, is_full);
            (!is_due).then_some(())
        };
        self.until_within(GROWTH_LIMIT, is_grown).await;
    }

    /// Whether a process has asked that is about to become a voter: in a free place, or in that of
    /// a voter whose disk it has lost.
    fn has_newcomer(&self, state: &NodeState, is_full: bool) -> bool {
        let Some(current) = state.membership() else { return false };
        let has_lost_disk = |m: &Member| current.voters().any(|v| v.address == m.address);
        let recent = self.joining.recent(self.now());
        let mut outside = recent.iter().filter(|m| !current.is_voter(m.id));
        outside.any(|m| !is_full || current.replacement.is_some() || has_lost_disk(m))
    }
}
