//! The follower: handling append requests.

use {
    super::{
        core::ControlCore,
        error::ControlError,
        message::{AppendReply, AppendRequest, AppendResult},
        state::NodeState,
        voting::write_unavailable,
    },
    crate::{
        entry::{Ballot, LogEntry, LogIndex},
        log::{LogRecord, LogStore},
    },
    gullglade_peer::PeerFault,
    gullglade_units::ClockStamp,
    std::rc::Rc,
};

impl ControlCore {
    /// Handles an append request, and answers once its entries are synced.
    pub(super) async fn handle_append(
        self: Rc<Self>,
        request: AppendRequest,
    ) -> Result<AppendReply, PeerFault> {
        self.check_envelope(&request.envelope)?;
        self.note_leader_contact(&request);
        // A request that changes no durable state needs no lock, so that heartbeats are answered
        // while a slow disk syncs.
        if self.is_durable_noop(&request) {
            return Ok(self.finish_append(&request));
        }
        let mut store = self.store.lock().await;
        if request.term < self.state.borrow().ballot.term {
            return Ok(self.append_reply(AppendResult::Stale));
        }
        self.write_entries(&mut store, &request).await?;
        Ok(self.finish_append(&request))
    }

    fn note_leader_contact(&self, request: &AppendRequest) {
        let mut state = self.state.borrow_mut();
        if request.term >= state.ballot.term {
            state.note_leader_contact(self.now());
        }
    }

    fn is_durable_noop(&self, request: &AppendRequest) -> bool {
        let state = self.state.borrow();
        let has_all = request.entries.iter().all(|e| has_entry(&state, e));
        request.term == state.ballot.term && has_all && !state.is_doubtful
    }

    /// Syncs the term of the request and the entries that this log does not contain.
    async fn write_entries(
        &self,
        store: &mut LogStore,
        request: &AppendRequest,
    ) -> Result<(), PeerFault> {
        let (records, ballot, entries) = {
            let state = self.state.borrow();
            let is_later_term = request.term > state.ballot.term;
            let ballot = is_later_term.then_some(Ballot { term: request.term, vote: None });
            let entries =
                if matches_previous(&state, request) { new_entries(&state, request) } else { &[] };
            let mut records: Vec<_> = ballot.map(LogRecord::Ballot).into_iter().collect();
            records.extend(entries.iter().cloned().map(LogRecord::Entry));
            (records, ballot, entries)
        };
        self.check_conflict(entries)?;
        if !records.is_empty() {
            self.write(store, &records).await.map_err(write_unavailable)?;
        }
        if let Some(ballot) = ballot {
            self.state.borrow_mut().set_ballot(ballot);
        }
        for entry in entries {
            self.state.borrow_mut().tail.put(entry.clone());
        }
        self.clear_doubt(store, request).await
    }

    /// Stops the member if an entry conflicts with a committed one: replacing it would revert an
    /// accepted change.
    fn check_conflict(&self, entries: &[LogEntry]) -> Result<(), PeerFault> {
        let commit = self.state.borrow().commit;
        match entries.first() {
            Some(first) if first.index <= commit => {
                Err(write_unavailable(self.stop(ControlError::Diverged { index: first.index })))
            }
            _ => Ok(()),
        }
    }

    /// Clears this member's doubt once its log contains every entry that the leader knows to be
    /// committed.
    async fn clear_doubt(
        &self,
        store: &mut LogStore,
        request: &AppendRequest,
    ) -> Result<(), PeerFault> {
        let has_caught_up = {
            let state = self.state.borrow();
            let end = last_index(request);
            state.is_doubtful
                && request.is_settled
                && end >= request.commit
                && matches_previous(&state, request)
        };
        if !has_caught_up {
            return Ok(());
        }
        self.write(store, &[LogRecord::Doubt(false)]).await.map_err(write_unavailable)?;
        self.state.borrow_mut().is_doubtful = false;
        Ok(())
    }

    /// Advances the commit index and returns how far this member's log matches the leader's.
    fn finish_append(self: &Rc<Self>, request: &AppendRequest) -> AppendReply {
        let mut state = self.state.borrow_mut();
        if request.term < state.ballot.term {
            drop(state);
            return self.append_reply(AppendResult::Stale);
        }
        state.end_leadership("another leader was elected");
        state.leader = Some(request.envelope.from);
        state.note_leader_contact(self.now());
        state.known_commit = state.known_commit.max(request.commit);
        let result = if matches_previous(&state, request) {
            let matched = last_index(request);
            let outcomes = state.commit_to(request.commit.min(matched));
            drop(outcomes);
            self.update_confirmed(&mut state, request);
            AppendResult::Matched(matched)
        } else {
            AppendResult::Missing(retry_index(&state, request))
        };
        drop(state);
        self.signal.notify();
        self.maybe_compact();
        self.append_reply(result)
    }

    /// Records a time at which the state included every accepted change.
    fn update_confirmed(&self, state: &mut NodeState, request: &AppendRequest) {
        if !request.is_settled || state.config.applied() < request.commit {
            return;
        }
        let confirmed = request.confirmed.filter(|stamp| stamp.run == self.run);
        state.confirmed = state.confirmed.max(confirmed.map(|stamp| stamp.time));
    }

    fn append_reply(&self, result: AppendResult) -> AppendReply {
        let stamp = ClockStamp { run: self.run, time: self.boot() };
        AppendReply { term: self.state.borrow().ballot.term, result, stamp }
    }
}

/// Returns the last index that the request covers.
fn last_index(request: &AppendRequest) -> LogIndex {
    LogIndex(request.previous_index.0 + request.entries.len() as u64)
}

fn has_entry(state: &NodeState, entry: &LogEntry) -> bool {
    entry.index <= state.tail.base() || state.tail.term_at(entry.index) == Some(entry.term)
}

/// Returns whether this log contains the entry that precedes those of the request. Entries within
/// the snapshot are committed, so they are the same in every leader's log.
fn matches_previous(state: &NodeState, request: &AppendRequest) -> bool {
    request.previous_index < state.tail.base()
        || state.tail.term_at(request.previous_index) == Some(request.previous_term)
}

/// Returns the entries of the request from the first one that this log does not contain.
fn new_entries<'a>(state: &NodeState, request: &'a AppendRequest) -> &'a [LogEntry] {
    let held_count = request.entries.iter().take_while(|e| has_entry(state, e)).count();
    &request.entries[held_count..]
}

/// Returns the index from which the leader should retry: after the end of this log, or at the start
/// of the conflicting term, which skips a whole term in one round trip.
fn retry_index(state: &NodeState, request: &AppendRequest) -> LogIndex {
    let last = state.tail.last();
    if request.previous_index > last {
        return last.next();
    }
    let Some(term) = state.tail.term_at(request.previous_index) else { return last.next() };
    let mut index = request.previous_index;
    while index > state.commit.next() && state.tail.term_at(index.previous()) == Some(term) {
        index = index.previous();
    }
    index
}
