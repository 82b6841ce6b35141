//! Leader election: the candidate.

use {
    super::{
        core::ControlCore,
        message::{VOTE, VoteReply, VoteRequest},
    },
    crate::{
        entry::{Ballot, MemberId, Membership, Term},
        log::LogRecord,
    },
    futures::stream::{FuturesUnordered, StreamExt},
    gullglade_event::EventDraft,
    gullglade_units::MonotonicTime,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// The votes granted to a candidate. The value is whether the voter may have lost acknowledged
/// entries.
#[derive(Default)]
struct VoteCount {
    granted: BTreeMap<MemberId, bool>,
}

impl VoteCount {
    /// Returns whether the votes suffice.
    ///
    /// A quorum of voters that are not doubtful includes one that holds each accepted entry. A
    /// doubtful voter may be the one that has lost it, so its vote counts only if every voter
    /// grants its vote: the other holders of the entry are then among them.
    fn is_won(&self, membership: &Membership) -> bool {
        let certain = self.granted.values().filter(|is_doubtful| !**is_doubtful).count();
        certain >= membership.quorum() || self.granted.len() == membership.voters().count()
    }
}

impl ControlCore {
    /// Campaigns whenever no leader has been heard from for the election timeout.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            self.wait_for_election_timeout().await;
            self.state.borrow_mut().leader = None;
            self.signal.notify();
            self.state.borrow_mut().is_campaigning = true;
            let term = self.campaign().await;
            self.state.borrow_mut().is_campaigning = false;
            if let Some(term) = term {
                self.become_leader(term);
            }
        }
    }

    async fn wait_for_election_timeout(&self) {
        let timeout = self.random_election_timeout();
        let last_campaign = self.now();
        loop {
            self.wait_until(|s| {
                (!s.is_leader() && s.can_write() && self.is_electable(s)).then_some(())
            })
            .await;
            if self.is_only_voter() {
                return;
            }
            let due = self.election_due(last_campaign, timeout);
            if self.now() >= due {
                return;
            }
            self.sleep(due.since(self.now())).await;
        }
    }

    /// Returns a random election timeout.
    ///
    /// A working leader calls a member that has just started within two heartbeats. If all voters
    /// are started at once, there is no leader and each of them waits for an election. They then
    /// campaign one after another in order of rank. Random times from so short a span would let
    /// voters campaign within a round trip of each other and split their votes, as often as three
    /// terms in a row.
    fn random_election_timeout(&self) -> Duration {
        let config = &self.config;
        // If the disk is not trusted, no member votes earlier after a start.
        let uses_full_timeout = self.state.borrow().has_heard_leader || !config.trusts_disk;
        let (min, jitter) = match uses_full_timeout {
            true => (config.election_min, config.election_jitter),
            false => (config.heartbeat * (1 + self.rank()), config.heartbeat / 3),
        };
        min + Duration::from_micros(self.context.random.below(jitter.as_micros() as u64 + 1))
    }

    /// Returns the number of voters that take precedence over this one if all logs end at the same
    /// position.
    fn rank(&self) -> u32 {
        let state = self.state.borrow();
        let Some(membership) = state.membership() else { return 0 };
        membership.voters().filter(|voter| voter.id > self.me).count() as u32
    }

    /// Returns the time at which this member may campaign: `timeout` after its last campaign or
    /// contact with a leader. A candidate whose pre-vote this member granted has become leader by
    /// then, or has failed.
    fn election_due(&self, last_campaign: MonotonicTime, timeout: Duration) -> MonotonicTime {
        let state = self.state.borrow();
        let due = state.leader_heard_at.max(last_campaign) + timeout;
        state.granted_pre_vote.map_or(due, |grant| due.max(grant.at + self.config.call_limit))
    }

    /// Returns whether this member is the only voter.
    fn is_only_voter(&self) -> bool {
        let state = self.state.borrow();
        state.membership().is_some_and(|m| m.voters().all(|v| v.id == self.me))
    }

    fn is_electable(&self, state: &super::state::NodeState) -> bool {
        state.membership().is_some_and(|m| m.is_voter(self.me))
            && state.known_commit <= state.tail.last()
    }

    /// Campaigns: requests pre-votes, and only if they suffice increments the term and requests
    /// votes. Otherwise a member that cannot win would keep incrementing the term and depose the
    /// leader that the other members follow.
    async fn campaign(&self) -> Option<Term> {
        let next = self.state.borrow().ballot.term.next();
        if !self.collect_votes(next, true).await {
            return None;
        }
        let term = self.vote_for_self(next).await?;
        self.collect_votes(term, false).await.then_some(term)
    }

    async fn vote_for_self(&self, term: Term) -> Option<Term> {
        let mut store = self.store.lock().await;
        if self.state.borrow().ballot.term.next() != term {
            return None;
        }
        let ballot = Ballot { term, vote: Some(self.me) };
        self.write(&mut store, &[LogRecord::Ballot(ballot)]).await.ok()?;
        self.state.borrow_mut().set_ballot(ballot);
        Some(term)
    }

    async fn collect_votes(&self, term: Term, is_poll: bool) -> bool {
        let Some(membership) = self.state.borrow().membership().cloned() else { return false };
        let mut count = VoteCount::default();
        count.granted.insert(self.me, self.state.borrow().is_doubtful);
        let others = membership.voters().filter(|m| m.id != self.me);
        let mut replies: FuturesUnordered<_> =
            others.map(|m| async { (m.id, self.request_vote(m, term, is_poll).await) }).collect();
        let mut refused = 0_usize;
        while !count.is_won(&membership) {
            let Some((id, reply)) = replies.next().await else {
                self.emit_election_failed(term, is_poll, &count, refused);
                return false;
            };
            let Some(reply) = reply else { continue };
            if reply.is_granted {
                count.granted.insert(id, reply.is_doubtful);
                continue;
            }
            refused += 1;
            if reply.term > term || (is_poll && reply.term >= term) {
                self.emit_election_failed(term, is_poll, &count, refused);
                self.observe_term(reply.term).await;
                return false;
            }
        }
        true
    }

    /// Reports an election that was not won. Voters that neither granted nor refused did not answer
    /// in time.
    fn emit_election_failed(&self, term: Term, is_poll: bool, count: &VoteCount, refused: usize) {
        let voters = self.state.borrow().membership().map_or(0, |m| m.voters().count());
        let event = EventDraft::new("control.election.failed").field("term", term.0);
        let event = event.field("poll", is_poll).field("granted", count.granted.len());
        self.events.emit(event.field("refused", refused).field("voters", voters));
    }

    async fn request_vote(
        &self,
        voter: &crate::entry::Member,
        term: Term,
        is_poll: bool,
    ) -> Option<VoteReply> {
        let envelope = self.envelope(voter.id)?;
        let last = self.state.borrow().log_end();
        let request = VoteRequest { envelope, is_poll, term, last };
        self.call(voter.address, VOTE, &request, self.config.call_limit).await.ok()
    }

    /// Becomes the leader, unless the term has ended meanwhile.
    fn become_leader(self: &Rc<Self>, term: Term) {
        {
            let mut state = self.state.borrow_mut();
            if state.ballot.term != term || !state.can_write() {
                return;
            }
            state.begin_leadership(term, self.me, self.now());
        }
        self.events.emit(EventDraft::new("control.leader.elected").field("term", term.0));
        self.signal.notify();
        self.spawn(Rc::clone(self).run_writer(term));
        self.spawn(Rc::clone(self).run_replicators(term));
        self.spawn(Rc::clone(self).watch_quorum(term));
        self.spawn(Rc::clone(self).run_replacement(term));
    }
}
