//! Answers to those who ask to lead.

use {
    super::{
        core::{ControlCore, NotWritten},
        message::{VoteReply, VoteRequest},
        state::{NodeState, PollGrant},
    },
    crate::{entry::Ballot, log::LogRecord},
    gullglade_peer::PeerFault,
};

impl ControlCore {
    /// Answers a request for a vote, or a poll that asks what the answer would be.
    pub(super) async fn handle_vote(&self, request: VoteRequest) -> Result<VoteReply, PeerFault> {
        self.check_envelope(&request.envelope)?;
        // A vote that cannot be written is not given, so it must not be promised to a poll either.
        if !self.state.borrow().can_write() {
            return Err(not_written(NotWritten));
        }
        let mut store = self.store.lock().await;
        let ballot = self.state.borrow().ballot;
        let is_granted = self.would_grant(&request) && !self.goes_first(&request);
        if request.is_poll && is_granted {
            let claim = (request.last, request.envelope.from);
            self.state.borrow_mut().yielded = Some(PollGrant { at: self.now(), claim });
        }
        if !request.is_poll && !self.follows_leader() && request.term >= ballot.term {
            let vote = if is_granted {
                Some(request.envelope.from)
            } else {
                ballot_vote(ballot, &request)
            };
            let cast = Ballot { term: request.term, vote };
            if cast != ballot {
                self.write(&mut store, &[LogRecord::Ballot(cast)]).await.map_err(not_written)?;
                self.state.borrow_mut().set_ballot(cast);
            }
            if is_granted {
                let now = self.now();
                self.state.borrow_mut().hear(now);
            }
            self.signal.notify();
        }
        let state = self.state.borrow();
        Ok(VoteReply { term: state.ballot.term, is_granted, is_doubtful: state.is_doubtful })
    }

    fn would_grant(&self, request: &VoteRequest) -> bool {
        let state = self.state.borrow();
        let vote_is_free = request.term > state.ballot.term
            || (request.term == state.ballot.term
                && state.ballot.vote.is_none_or(|vote| vote == request.envelope.from));
        vote_is_free && !self.follows_leader() && is_up_to_date(&state, request)
    }

    /// Whether this member refuses a poll because one with the better claim asks to lead: itself,
    /// or another one whose poll it has just granted.
    ///
    /// Two that ask within a round trip of each other would both be told that they would win, vote
    /// for themselves and refuse each other, again and again: with three voters left of five and
    /// 55 ms between them, one election in ten took over three seconds, the longest 5.5 s, and no
    /// process was sure of its configuration meanwhile. Refusing a poll costs nobody a vote.
    fn goes_first(&self, request: &VoteRequest) -> bool {
        let state = self.state.borrow();
        let claim = (request.last, request.envelope.from);
        let is_before = |grant: PollGrant| {
            grant.claim > claim && self.now().since(grant.at) < self.config.call_limit
        };
        let asks_first = state.is_asking && (state.end(), self.me) > claim;
        request.is_poll && (asks_first || state.yielded.is_some_and(is_before))
    }

    /// Whether this member leads or has heard of a leader so lately that the leader may still
    /// count on it. A member that was cut off and comes back must not depose a working leader.
    ///
    /// One that has just started may have answered a leader in its run before. Where the disk is
    /// trusted it holds what it answered, and that leader is deposed only if a majority has not
    /// heard it lately either, so it may vote at once. A disk that may have lost acknowledged
    /// entries gives a vote that takes back what was accepted, so there a start counts as hearing:
    /// in that time others tell this member what it had acknowledged, see
    /// [`ask_witnesses`](Self::ask_witnesses).
    fn follows_leader(&self) -> bool {
        let state = self.state.borrow();
        let counts = state.has_heard || !self.config.trusts_disk;
        let has_heard_lately = counts && self.now().since(state.heard) < self.config.election_least;
        state.is_leader() || has_heard_lately
    }
}

/// Whether the candidate holds everything that may have been accepted.
///
/// The comparison with `known_commit` guards against disks that lose acknowledged syncs: a member
/// that has heard of a commit, even one whose entries it lacks, elects nobody who lacks them.
fn is_up_to_date(state: &NodeState, request: &VoteRequest) -> bool {
    request.last >= state.end() && request.last.index >= state.known_commit
}

/// The vote that stays where none is granted: the one given before in the same term.
fn ballot_vote(ballot: Ballot, request: &VoteRequest) -> Option<crate::entry::MemberId> {
    ballot.vote.filter(|_| ballot.term == request.term)
}

pub(super) fn not_written(_: NotWritten) -> PeerFault {
    PeerFault::unavailable(
        "this control process has stopped, or its disk is full; see its log for the remedy",
    )
}
