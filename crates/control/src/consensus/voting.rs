//! Leader election: the voter.

use {
    super::{
        core::{ControlCore, WriteUnavailable},
        message::{VoteReply, VoteRequest},
        state::{NodeState, PreVoteGrant},
    },
    crate::{entry::Ballot, log::LogRecord},
    gullglade_peer::PeerFault,
};

impl ControlCore {
    /// Answers a vote request or a pre-vote.
    pub(super) async fn handle_vote(&self, request: VoteRequest) -> Result<VoteReply, PeerFault> {
        self.check_envelope(&request.envelope)?;
        // A vote that cannot be written is not granted, so a pre-vote must not promise it either.
        if !self.state.borrow().can_write() {
            return Err(write_unavailable(WriteUnavailable));
        }
        let mut store = self.store.lock().await;
        let ballot = self.state.borrow().ballot;
        let is_granted = self.would_grant(&request) && !self.has_better_candidate(&request);
        if request.is_poll && is_granted {
            let precedence = (request.last, request.envelope.from);
            self.state.borrow_mut().granted_pre_vote =
                Some(PreVoteGrant { at: self.now(), precedence });
        }
        if !request.is_poll && !self.has_live_leader() && request.term >= ballot.term {
            let vote =
                if is_granted { Some(request.envelope.from) } else { prior_vote(ballot, &request) };
            let cast = Ballot { term: request.term, vote };
            if cast != ballot {
                self.write(&mut store, &[LogRecord::Ballot(cast)])
                    .await
                    .map_err(write_unavailable)?;
                self.state.borrow_mut().set_ballot(cast);
            }
            if is_granted {
                let now = self.now();
                self.state.borrow_mut().note_leader_contact(now);
            }
            self.signal.notify();
        }
        let state = self.state.borrow();
        Ok(VoteReply { term: state.ballot.term, is_granted, is_doubtful: state.is_doubtful })
    }

    fn would_grant(&self, request: &VoteRequest) -> bool {
        let state = self.state.borrow();
        let has_free_vote = request.term > state.ballot.term
            || (request.term == state.ballot.term
                && state.ballot.vote.is_none_or(|vote| vote == request.envelope.from));
        has_free_vote && !self.has_live_leader() && is_up_to_date(&state, request)
    }

    /// Returns whether this member refuses a pre-vote in favour of a candidate with higher
    /// precedence: itself, or another one whose pre-vote it has just granted.
    ///
    /// Otherwise two candidates that campaign within a round trip of each other would both be told
    /// that they would win, vote for themselves and refuse each other, repeatedly. With three of
    /// five voters left and 55 ms between them, one election in ten took over three seconds, and up
    /// to 5.5 s, during which no process could confirm its configuration. Refusing a pre-vote costs
    /// no candidate a vote.
    fn has_better_candidate(&self, request: &VoteRequest) -> bool {
        let state = self.state.borrow();
        let precedence = (request.last, request.envelope.from);
        let takes_precedence = |grant: PreVoteGrant| {
            grant.precedence > precedence && self.now().since(grant.at) < self.config.call_limit
        };
        let own_takes_precedence = state.is_campaigning && (state.log_end(), self.me) > precedence;
        request.is_poll
            && (own_takes_precedence || state.granted_pre_vote.is_some_and(takes_precedence))
    }

    /// Returns whether this member leads, or has heard from a leader so recently that the leader
    /// may still rely on it. A member that reconnects after a partition must not depose a working
    /// leader.
    ///
    /// A member that has just started may have answered a leader in its previous run. If the disk
    /// is trusted, the member holds what it answered, and that leader is deposed only if a majority
    /// has not heard from it recently either, so the member may vote at once. If the disk may have
    /// lost acknowledged entries, such a vote could revert accepted changes, so a start counts as
    /// contact with a leader. During that time the other voters report what this member had
    /// acknowledged, see [`check_acknowledged_position`](Self::check_acknowledged_position).
    fn has_live_leader(&self) -> bool {
        let state = self.state.borrow();
        let counts_start = state.has_heard_leader || !self.config.trusts_disk;
        let has_heard_recently =
            counts_start && self.now().since(state.leader_heard_at) < self.config.election_min;
        state.is_leader() || has_heard_recently
    }
}

/// Returns whether the candidate holds everything that may have been accepted.
///
/// The comparison with `known_commit` guards against disks that lose acknowledged syncs: a member
/// that has learned of a commit, even without its entries, votes for no candidate that lacks them.
fn is_up_to_date(state: &NodeState, request: &VoteRequest) -> bool {
    request.last >= state.log_end() && request.last.index >= state.known_commit
}

/// Returns the vote to keep if none is granted: an earlier vote in the same term.
fn prior_vote(ballot: Ballot, request: &VoteRequest) -> Option<crate::entry::MemberId> {
    ballot.vote.filter(|_| ballot.term == request.term)
}

pub(super) fn write_unavailable(_: WriteUnavailable) -> PeerFault {
    PeerFault::unavailable(
        "this control process has stopped, or its disk is full; see its log for the remedy",
    )
}
