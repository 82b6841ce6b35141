//! The leader: writing batches, committing, and detecting the loss of its quorum.

use {
    super::{
        core::ControlCore,
        error::ChangeError,
        state::{Proposal, ProposalEnd},
    },
    crate::{
        entry::{Command, LogEntry, LogIndex, LogPosition, Term},
        log::LogRecord,
        traffic::TrafficChange,
    },
    futures::channel::oneshot,
    gullglade_event::{EventDraft, Level},
    gullglade_units::WallMillis,
    std::rc::Rc,
};

/// The maximum number of commands in a batch. With documents of at most 256 KB, the batch fits into
/// a frame.
const MAX_BATCH_COMMANDS: usize = 128;

/// The maximum number of commands that wait to be written.
const MAX_PENDING_COMMANDS: usize = 1_024;

impl ControlCore {
    /// Proposes a command and waits until it is committed.
    pub(super) async fn propose(&self, command: Command) -> ProposalEnd {
        self.propose_observed(command, None).await
    }

    /// Proposes a command and waits until it is committed. An evacuation order is rejected if
    /// another one may have been accepted since its receiver observed the log at `observed`.
    pub(super) async fn propose_observed(
        &self,
        command: Command,
        observed: Option<LogPosition>,
    ) -> ProposalEnd {
        let (done, end) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            if !state.is_leader() {
                return Err(ChangeError::NoLeader);
            }
            if state.pending.len() >= MAX_PENDING_COMMANDS {
                return Err(ChangeError::Overloaded { waiting: state.pending.len() });
            }
            state.pending.push_back(Proposal { command, observed, done });
        }
        self.signal.notify();
        let cancelled =
            |_| Err(ChangeError::Unknown { reason: "the process is stopping".to_owned() });
        end.await.unwrap_or_else(cancelled)
    }

    /// Writes the proposed commands; those that are waiting form one batch with a single sync.
    pub(super) async fn run_writer(self: Rc<Self>, term: Term) {
        loop {
            let is_over = |s: &super::state::NodeState| s.leadership(term).is_none();
            let has_work = self
                .wait_until(|s| {
                    if is_over(s) { Some(false) } else { (!s.pending.is_empty()).then_some(true) }
                })
                .await;
            if !has_work || self.write_batch(term).await.is_none() {
                return;
            }
            self.advance_commit(term);
            self.maybe_compact();
        }
    }

    async fn write_batch(&self, term: Term) -> Option<()> {
        let mut store = self.store.lock().await;
        let batch = self.take_batch(term)?;
        if batch.is_empty() {
            return Some(());
        }
        let records: Vec<_> = batch.iter().map(|(e, _)| LogRecord::Entry(e.clone())).collect();
        let written = self.write(&mut store, &records).await;
        let mut state = self.state.borrow_mut();
        let is_over = state.leadership(term).is_none();
        for (entry, done) in batch {
            if written.is_err() || is_over {
                let reason = "the leader lost its leadership".to_owned();
                drop(done.send(Err(ChangeError::Unknown { reason })));
            } else {
                state.await_commit(entry.index, term, done);
            }
            // The entry is on disk, so the in-memory log must contain it too, even if the
            // leadership has ended.
            if written.is_ok() {
                state.tail.put(entry);
            }
        }
        drop(state);
        self.signal.notify();
        written.ok()
    }

    /// Gives the waiting commands their positions in the log. Rejects evacuation orders that were
    /// superseded.
    fn take_batch(&self, term: Term) -> Option<Vec<(LogEntry, oneshot::Sender<ProposalEnd>)>> {
        let mut state = self.state.borrow_mut();
        state.leadership(term)?;
        let wall = self.context.clock.wall();
        let wall =
            wall.max(state.config.wall()).max(state.tail.last_wall().unwrap_or(WallMillis(0)));
        let mut index = state.tail.last().next();
        let count = state.pending.len().min(MAX_BATCH_COMMANDS);
        let proposals: Vec<Proposal> = state.pending.drain(..count).collect();
        let fence = &mut state.leadership_mut(term)?.order_fence;
        let mut batch = Vec::new();
        for Proposal { command, observed, done } in proposals {
            match fence.admit(&command, observed, LogPosition { term, index }) {
                Ok(()) => {
                    batch.push((LogEntry { index, term, wall, command }, done));
                    index = index.next();
                }
                Err(superseded) => {
                    self.emit_superseded(&command, &superseded);
                    drop(done.send(Err(superseded)));
                }
            }
        }
        Some(batch)
    }

    fn emit_superseded(&self, command: &Command, error: &ChangeError) {
        let Command::Traffic(TrafficChange::Evacuate { domain, is_on }) = command else { return };
        let event = EventDraft::new("change.superseded").field("evacuate", *is_on);
        self.events.emit(event.field("domain", domain).error("reason", error));
    }

    /// Commits the entries that a quorum holds.
    ///
    /// Only entries of the leader's own term are counted; preceding entries are committed along
    /// with them. An entry of an earlier term can be stored by a quorum and still be replaced by a
    /// later leader that never received it, so counting it could accept a change that is lost
    /// later.
    pub(super) fn advance_commit(&self, term: Term) {
        let outcomes = {
            let mut state = self.state.borrow_mut();
            if state.leadership(term).is_none() {
                return;
            }
            let Some(matched) = state.quorum_matched(self.me) else { return };
            if matched <= state.commit || state.tail.term_at(matched) != Some(term) {
                return;
            }
            state.commit_to(matched)
        };
        self.emit_outcomes(&outcomes);
        self.step_down_if_removed(term);
        self.signal.notify();
    }

    /// Steps down once the removal of this leader from the voters is committed.
    fn step_down_if_removed(&self, term: Term) {
        let mut state = self.state.borrow_mut();
        let is_committed = state.tail.membership_index() <= state.commit;
        let is_voter = state.membership().is_some_and(|m| m.is_voter(self.me));
        if is_committed && !is_voter && state.leadership(term).is_some() {
            state.end_leadership("the leader was removed from the voters");
        }
    }

    /// Steps down if no quorum has answered for an election timeout. The other members may have
    /// elected another leader by then, and callers of this one would wait in vain.
    pub(super) async fn watch_quorum(self: Rc<Self>, term: Term) {
        loop {
            self.sleep(self.config.heartbeat).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            if state.leadership(term).is_none() {
                return;
            }
            let acked = state.quorum_acked(self.me, now);
            if acked.is_some_and(|acked| now.since(acked) <= self.config.election_min) {
                continue;
            }
            state.end_leadership("the leader was cut off from a quorum");
            state.leader_heard_at = now;
            drop(state);
            let event = EventDraft::new("control.leader.cut").level(Level::Warn);
            self.events.emit(event.field("term", term.0));
            self.signal.notify();
            return;
        }
    }

    /// Confirms that this process was the leader after the call began, and returns the index up to
    /// which every change accepted before the call is applied.
    ///
    /// The confirmation does not rely on clocks: a quorum must answer a request that was sent after
    /// the call began.
    pub(super) async fn read_index(&self) -> Result<LogIndex, ChangeError> {
        let began = self.now();
        let term = {
            let mut state = self.state.borrow_mut();
            let super::state::Role::Leader(leadership) = &mut state.role else {
                return Err(ChangeError::NoLeader);
            };
            leadership.probe = began;
            leadership.term
        };
        self.signal.notify();
        let confirmed = self.wait_until_timeout(self.config.change_limit, |s| {
            if s.leadership(term).is_none() {
                return Some(Err(ChangeError::NoLeader));
            }
            let acked = s.quorum_acked(self.me, self.now())?;
            (acked >= began && s.is_settled(term)).then_some(Ok(s.commit))
        });
        confirmed.await.unwrap_or(Err(ChangeError::NoLeader))
    }
}
