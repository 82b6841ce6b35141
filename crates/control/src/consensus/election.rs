//! Asking to lead.

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

/// The votes for one candidate, each with whether the voter may have lost acknowledged entries.
#[derive(Default)]
struct VoteCount {
    granted: BTreeMap<MemberId, bool>,
}

impl VoteCount {
    /// Whether the votes suffice.
    ///
    /// A quorum of sure votes contains a voter that holds each accepted entry. A doubtful voter
    /// may be the one that held it, so its vote counts only where every voter agrees: then the
    /// other holders of the entry are among them.
    fn is_won(&self, membership: &Membership) -> bool {
        let sure = self.granted.values().filter(|is_doubtful| !**is_doubtful).count();
        sure >= membership.quorum() || self.granted.len() == membership.voters().count()
    }
}

impl ControlCore {
    /// Asks to lead whenever no leader has been heard of for a random time.
    pub(super) async fn run_elections(self: Rc<Self>) {
        loop {
            self.wait_for_silence().await;
            self.state.borrow_mut().leader = None;
            self.signal.notify();
            self.state.borrow_mut().is_asking = true;
            let term = self.ask_to_lead().await;
            self.state.borrow_mut().is_asking = false;
            if let Some(term) = term {
                self.lead(term);
            }
        }
    }

    async fn wait_for_silence(&self) {
        let wait = self.draw_wait();
        let asked = self.now();
        loop {
            self.until(|s| (!s.is_leader() && s.can_write() && self.is_electable(s)).then_some(()))
                .await;
            if self.is_alone() {
                return;
            }
            let due = self.election_due(asked, wait);
            if self.now() >= due {
                return;
            }
            self.sleep(due.since(self.now())).await;
        }
    }

    /// How long this member waits for a leader before it asks to lead.
    ///
    /// A leader that works calls a member that has just started within two heartbeats. Where all
    /// voters were started at once there is none, and everyone waits for its election. They then
    /// ask one after the other, in the order in which they go first: voters that drew their times
    /// from so short a span asked within a round trip of each other, and split their votes for
    /// three terms in a row.
    fn draw_wait(&self) -> Duration {
        let config = &self.config;
        // Without trust in the disk nobody votes sooner after a start.
        let waits_whole = self.state.borrow().has_heard || !config.trusts_disk;
        let (least, spread) = match waits_whole {
            true => (config.election_least, config.election_spread),
            false => (config.heartbeat * (1 + self.rank()), config.heartbeat / 3),
        };
        least + Duration::from_micros(self.context.random.below(spread.as_micros() as u64 + 1))
    }

    /// How many voters go before this one where all logs end alike.
    fn rank(&self) -> u32 {
        let state = self.state.borrow();
        let Some(membership) = state.membership() else { return 0 };
        membership.voters().filter(|voter| voter.id > self.me).count() as u32
    }

    /// When this member may ask to lead, `wait` after it last asked or heard of a leader. One that
    /// was promised this member's vote leads by then, or has failed.
    fn election_due(&self, asked: MonotonicTime, wait: Duration) -> MonotonicTime {
        let state = self.state.borrow();
        let due = state.heard.max(asked) + wait;
        state.yielded.map_or(due, |yielded| due.max(yielded.at + self.config.call_limit))
    }

    /// Whether there is no other voter to wait for.
    fn is_alone(&self) -> bool {
        let state = self.state.borrow();
        state.membership().is_some_and(|m| m.voters().all(|v| v.id == self.me))
    }

    fn is_electable(&self, state: &super::state::NodeState) -> bool {
        state.membership().is_some_and(|m| m.is_voter(self.me))
            && state.known_commit <= state.tail.last()
    }

    /// Polls the voters, and only where they would agree raises the term and asks for votes:
    /// otherwise a member that cannot win would raise terms for ever and depose the leader that
    /// the others follow.
    async fn ask_to_lead(&self) -> Option<Term> {
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
            others.map(|m| async { (m.id, self.ask_for_vote(m, term, is_poll).await) }).collect();
        let mut refused = 0_usize;
        while !count.is_won(&membership) {
            let Some((id, reply)) = replies.next().await else {
                self.tell_failed(term, is_poll, &count, refused);
                return false;
            };
            let Some(reply) = reply else { continue };
            if reply.is_granted {
                count.granted.insert(id, reply.is_doubtful);
                continue;
            }
            refused += 1;
            if reply.term > term || (is_poll && reply.term >= term) {
                self.tell_failed(term, is_poll, &count, refused);
                self.observe_term(reply.term).await;
                return false;
            }
        }
        true
    }

    /// Tells why nobody leads yet: the voters that are missing did not answer in time.
    fn tell_failed(&self, term: Term, is_poll: bool, count: &VoteCount, refused: usize) {
        let voters = self.state.borrow().membership().map_or(0, |m| m.voters().count());
        let event = EventDraft::new("control.election.failed").field("term", term.0);
        let event = event.field("poll", is_poll).field("granted", count.granted.len());
        self.events.emit(event.field("refused", refused).field("voters", voters));
    }

    async fn ask_for_vote(
        &self,
        voter: &crate::entry::Member,
        term: Term,
        is_poll: bool,
    ) -> Option<VoteReply> {
        let envelope = self.envelope(voter.id)?;
        let last = self.state.borrow().end();
        let request = VoteRequest { envelope, is_poll, term, last };
        self.call(voter.address, VOTE, &request, self.config.call_limit).await.ok()
    }

    /// Begins to lead, unless the term has ended meanwhile.
    fn lead(self: &Rc<Self>, term: Term) {
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
