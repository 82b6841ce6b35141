//! Log replication: one task per member brings its log in line with the leader's.

use {
    super::{
        core::ControlCore,
        message::{APPEND, AppendReply, AppendRequest, AppendResult},
        state::NodeState,
    },
    crate::entry::{LogEntry, LogIndex, LogPosition, Member, MemberId, Term},
    gullglade_units::{BootTime, ClockStamp, MonotonicTime},
    std::rc::Rc,
};

/// The state of the replication to one member.
struct Replicator {
    member: MemberId,
    term: Term,
    next: LogIndex,
    acked_commit: LogIndex,
    sent: MonotonicTime,
    /// The same time on the clock that includes suspensions.
    sent_boot: BootTime,
    /// The stamp of the member's last reply, and the time on this process's clock at which it
    /// arrived.
    last_reply: Option<(ClockStamp, BootTime)>,
}

impl Replicator {
    /// Converts `time` to a time on the member's clock that is no later. The member stamped its
    /// last reply before it arrived, so the time elapsed since the stamp is at least the time
    /// elapsed here since the arrival.
    fn on_member_clock(&self, time: BootTime) -> Option<ClockStamp> {
        let (ClockStamp { run, time: stamped_at }, received_at) = self.last_reply?;
        let time = match time > received_at {
            true => stamped_at + time.since(received_at),
            false => stamped_at.earlier(received_at.since(time))?,
        };
        Some(ClockStamp { run, time })
    }
}

/// Whether a replication task continues.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Continue {
    Yes,
    No,
}

impl ControlCore {
    /// Starts a replication task for every member, including members that are added later.
    pub(super) async fn run_replicators(self: Rc<Self>, term: Term) {
        loop {
            let new = self.wait_until(|s| members_without_task(s, term)).await;
            let Some(new) = new else { return };
            for id in new {
                if let Some(leadership) = self.state.borrow_mut().leadership_mut(term) {
                    leadership.replicating.insert(id);
                }
                self.spawn(Rc::clone(&self).replicate(id, term));
            }
        }
    }

    /// Runs the replication task of one member, and records its end: a member that is removed and
    /// added again needs a new task.
    async fn replicate(self: Rc<Self>, member: MemberId, term: Term) {
        Rc::clone(&self).run_replicator(member, term).await;
        if let Some(leadership) = self.state.borrow_mut().leadership_mut(term) {
            leadership.replicating.remove(&member);
        }
        self.signal.notify();
    }

    async fn run_replicator(self: Rc<Self>, member: MemberId, term: Term) {
        let Some(next) = self.initial_next_index(term).await else { return };
        let mut replicator = Replicator {
            member,
            term,
            next,
            acked_commit: LogIndex(0),
            sent: MonotonicTime::default(),
            sent_boot: BootTime::default(),
            last_reply: None,
        };
        while let Some(member) = self.current_member(&replicator) {
            let round = if replicator.next <= self.state.borrow().tail.base() {
                self.send_snapshot(&member, term).await.map(|matched| {
                    replicator.next = matched.next();
                    Continue::Yes
                })
            } else {
                self.send_entries(&member, &mut replicator).await
            };
            match round {
                Some(Continue::No) => return,
                Some(Continue::Yes) => self.wait_for_work(&replicator).await,
                None => self.sleep(self.config.heartbeat).await,
            }
        }
    }

    /// Waits for the leader's first entry and returns the index from which to send. An empty
    /// request sent before that entry is written would delay it by a round trip, 110 ms between
    /// regions, together with every caller that waits for the first confirmation. The wait is
    /// limited to a heartbeat, so that a disk that hangs does not keep the members from hearing
    /// from their leader.
    async fn initial_next_index(&self, term: Term) -> Option<LogIndex> {
        let first = self.state.borrow().leadership(term)?.first;
        self.wait_until_timeout(self.config.heartbeat, |s| (s.tail.last() >= first).then_some(()))
            .await;
        Some(first.min(self.state.borrow().tail.last().next()))
    }

    fn current_member(&self, replicator: &Replicator) -> Option<Member> {
        let state = self.state.borrow();
        state.leadership(replicator.term)?;
        state.membership()?.member(replicator.member).cloned()
    }

    async fn wait_for_work(&self, replicator: &Replicator) {
        let has_work = |s: &NodeState| {
            let leadership = s.leadership(replicator.term);
            let is_needed = s.tail.last() >= replicator.next
                || s.commit > replicator.acked_commit
                || leadership.is_none_or(|l| l.probe > replicator.sent);
            is_needed.then_some(())
        };
        self.wait_until_timeout(self.config.heartbeat, has_work).await;
    }

    /// Sends one request with the entries that the member lacks. Returns `None` if no reply
    /// arrived.
    async fn send_entries(&self, member: &Member, replicator: &mut Replicator) -> Option<Continue> {
        let request = self.append_request(member, replicator)?;
        (replicator.sent, replicator.sent_boot) = (self.now(), self.boot());
        let sent_commit = request.commit;
        let reply: AppendReply =
            self.call(member.address, APPEND, &request, self.config.call_limit).await.ok()?;
        if reply.term > replicator.term {
            self.observe_term(reply.term).await;
            return Some(Continue::No);
        }
        replicator.last_reply = Some((reply.stamp, self.boot()));
        match reply.result {
            AppendResult::Stale => return Some(Continue::No),
            AppendResult::Matched(index) => {
                replicator.next = index.next();
                replicator.acked_commit = sent_commit;
            }
            AppendResult::Missing(index) => {
                replicator.next = index.min(replicator.next.previous()).max(LogIndex(1));
            }
        }
        self.record_progress(replicator, reply.result);
        Some(Continue::Yes)
    }

    fn append_request(&self, member: &Member, replicator: &Replicator) -> Option<AppendRequest> {
        let envelope = self.envelope(member.id)?;
        let state = self.state.borrow();
        let previous_index = replicator.next.previous();
        let confirmed = self.confirmed(&state).and_then(|time| replicator.on_member_clock(time));
        Some(AppendRequest {
            envelope,
            term: replicator.term,
            previous_index,
            previous_term: state.tail.term_at(previous_index)?,
            entries: clone_batch(state.tail.entries_from(replicator.next), self.config.batch_bytes),
            commit: state.commit,
            is_settled: state.is_settled(replicator.term),
            confirmed,
        })
    }

    fn record_progress(&self, replicator: &Replicator, result: AppendResult) {
        {
            let mut state = self.state.borrow_mut();
            if let AppendResult::Matched(index) = result
                && let Some(term) = state.tail.term_at(index)
            {
                let position = LogPosition { term, index };
                let witnessed = state.witnessed.entry(replicator.member).or_default();
                *witnessed = position.max(*witnessed);
            }
            let Some(leadership) = state.leadership_mut(replicator.term) else { return };
            let progress = leadership.progress.entry(replicator.member).or_default();
            progress.acked = Some(replicator.sent);
            progress.acked_boot = Some(replicator.sent_boot);
            progress.matched = match result {
                AppendResult::Matched(index) => index,
                // A member whose disk has lost its tail must no longer count as holding those
                // entries.
                _ => progress.matched.min(replicator.next.previous()),
            };
        }
        self.signal.notify();
        self.advance_commit(replicator.term);
    }
}

/// Returns the members without a replication task, or `None` once the leadership has ended.
fn members_without_task(state: &NodeState, term: Term) -> Option<Option<Vec<MemberId>>> {
    let Some(leadership) = state.leadership(term) else { return Some(None) };
    let members = state.membership()?.members.iter().map(|m| m.id);
    let new: Vec<_> = members.filter(|id| !leadership.replicating.contains(id)).collect();
    (!new.is_empty()).then_some(Some(new))
}

/// Clones the first entry and as many following ones as fit into `limit` bytes.
fn clone_batch<'a>(entries: impl Iterator<Item = &'a LogEntry>, limit: usize) -> Vec<LogEntry> {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.size_hint();
        if bytes > limit && !taken.is_empty() {
            break;
        }
        taken.push(entry.clone());
    }
    taken
}
