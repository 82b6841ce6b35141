//! A member of the log: its durable state, its in-memory state, and operations shared by its tasks.

use {
    super::{
        disk_full::open_when_space,
        error::ControlError,
        joining::JoinTable,
        message::{Envelope, MemberStatus},
        state::NodeState,
        tail::LogTail,
    },
    crate::{
        change::{ChangeOutcome, ConfigOutcome},
        config::{ControlConfig, VoterDiscovery},
        disk::DataFolder,
        distribution::ReportTable,
        entry::{Ballot, MemberId, Term},
        groups::GroupOutcome,
        log::{LogRecord, LogStore, RecoveredLog},
        signal::WakeSignal,
        state::ConfigState,
        traffic::{TrafficEffect, TrafficOutcome},
    },
    bytes::Bytes,
    futures::{channel::oneshot, future::poll_fn, lock::Mutex},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_peer::{PeerError, PeerFault, PeerTransport},
    gullglade_units::{BootTime, Clock, MonotonicTime, ProcessContext, decode, encode, timeout},
    serde::{Serialize, de::DeserializeOwned},
    std::{cell::RefCell, future::Future, net::SocketAddr, rc::Rc, task::Poll, time::Duration},
};

/// Returns a number that is unique among the runs on this VM, even if the wall clock is set back.
fn run_number(clock: &dyn Clock) -> u64 {
    clock.wall().0.rotate_left(32) ^ clock.boot().0.as_nanos() as u64
}

/// Durable state could not be written: the member has stopped, or its disk is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WriteUnavailable;

/// A member of the log.
pub(crate) struct ControlCore {
    pub(crate) config: ControlConfig,
    pub(crate) context: ProcessContext,
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) events: Rc<dyn EventSink>,
    pub(crate) folder: Rc<dyn DataFolder>,
    pub(crate) me: MemberId,
    /// Identifies this run, so that clock readings of different runs are not compared.
    pub(crate) run: u64,
    /// Whether this member's folder was created at the first start of the deployment.
    pub(crate) may_found: bool,
    /// Control processes that have asked this process, as the leader, to join.
    pub(crate) joining: JoinTable,
    /// Held while durable state is written, from the decision what to write until the result is in
    /// [`state`](Self::state).
    pub(crate) store: Mutex<LogStore>,
    pub(crate) state: RefCell<NodeState>,
    pub(crate) signal: WakeSignal,
    /// Held while a snapshot is written.
    pub(crate) snapshots: Mutex<()>,
    /// The latest report of each gateway on its configuration.
    pub(crate) reports: ReportTable,
    pub(crate) incoming_snapshot: RefCell<Option<super::snapshot::IncomingSnapshot>>,
}

impl ControlCore {
    /// Opens the folder and recovers its state.
    pub(crate) async fn open(
        config: ControlConfig,
        context: ProcessContext,
        transport: Rc<dyn PeerTransport>,
        folder: Rc<dyn DataFolder>,
        events: Rc<dyn EventSink>,
    ) -> Result<Rc<Self>, ControlError> {
        let (identity, store, log) = open_when_space(&config, &context, &folder, &*events).await?;
        let now = context.clock.now();
        let run = run_number(&*context.clock);
        let state = restore(now, log)?;
        Ok(Rc::new(Self {
            config,
            context,
            transport,
            events,
            folder,
            me: identity.member,
            run,
            may_found: identity.may_found,
            joining: JoinTable::default(),
            store: Mutex::new(store),
            state: RefCell::new(state),
            signal: WakeSignal::default(),
            snapshots: Mutex::new(()),
            reports: ReportTable::default(),
            incoming_snapshot: RefCell::default(),
        }))
    }

    /// Starts the tasks that run for the lifetime of a member.
    pub(crate) fn start(self: &Rc<Self>) {
        match self.config.voter_discovery {
            VoterDiscovery::Listed => self.spawn(Rc::clone(self).run_founding()),
            VoterDiscovery::Seeded(_) => self.spawn(Rc::clone(self).run_seeding()),
        }
        self.spawn(Rc::clone(self).check_acknowledged_position());
        self.spawn(Rc::clone(self).run_disk_recovery());
        self.spawn(Rc::clone(self).run_elections());
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.context.spawner.spawn(Box::pin(task));
    }

    /// Runs `work` to completion even if the caller is cancelled. A write that was abandoned
    /// between the disk and the memory would leave records on disk that later appends contradict.
    pub(crate) async fn run_detached<T: 'static>(
        &self,
        work: impl Future<Output = T> + 'static,
    ) -> Result<T, PeerFault> {
        let (done, result) = oneshot::channel();
        self.spawn(async move { drop(done.send(work.await)) });
        result.await.map_err(|_| PeerFault::unavailable("the control process is stopping"))
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.context.clock.now()
    }

    pub(crate) fn boot(&self) -> BootTime {
        self.context.clock.boot()
    }

    pub(crate) async fn sleep(&self, duration: Duration) {
        self.context.clock.sleep(duration).await;
    }

    /// Waits until `check` returns `Some`.
    pub(crate) async fn wait_until<T>(&self, mut check: impl FnMut(&NodeState) -> Option<T>) -> T {
        poll_fn(|cx| {
            if let Some(found) = check(&self.state.borrow()) {
                return Poll::Ready(found);
            }
            self.signal.register(cx.waker());
            Poll::Pending
        })
        .await
    }

    /// Waits as [`wait_until`](Self::wait_until) does, for at most `limit`.
    pub(crate) async fn wait_until_timeout<T>(
        &self,
        limit: Duration,
        check: impl FnMut(&NodeState) -> Option<T>,
    ) -> Option<T> {
        timeout(&*self.context.clock, limit, self.wait_until(check)).await
    }

    /// Makes records durable; the caller holds the store. After a failure the member has stopped,
    /// or pauses its writes until the disk has space again.
    pub(crate) async fn write(
        &self,
        store: &mut LogStore,
        records: &[LogRecord],
    ) -> Result<(), WriteUnavailable> {
        if !self.state.borrow().can_write() {
            return Err(WriteUnavailable);
        }
        store.append(records).await.map_err(|error| match error.is_disk_full() {
            true => self.pause_writes(&error),
            false => self.stop(error.into()),
        })
    }

    /// Stops the member: it no longer leads, votes or acknowledges. After a failed write or sync
    /// the contents of the disk are unknown, and a second sync may report success for pages that
    /// the first one dropped. Only a restart, which reads the disk again, resolves this.
    pub(crate) fn stop(&self, error: ControlError) -> WriteUnavailable {
        let event = EventDraft::new("control.stopped").level(Level::Error);
        self.events.emit(event.error("reason", &error));
        let mut state = self.state.borrow_mut();
        state.end_leadership("this control process has stopped");
        state.stopped.get_or_insert(error);
        drop(state);
        self.signal.notify();
        WriteUnavailable
    }

    /// Adopts `term` if it is later than the current term.
    pub(crate) async fn observe_term(&self, term: Term) {
        let mut store = self.store.lock().await;
        if term <= self.state.borrow().ballot.term {
            return;
        }
        let ballot = Ballot { term, vote: None };
        if self.write(&mut store, &[LogRecord::Ballot(ballot)]).await.is_ok() {
            self.state.borrow_mut().set_ballot(ballot);
            self.signal.notify();
        }
    }

    /// Returns the envelope for a message to `to`, or `None` if this member does not know its log
    /// yet.
    pub(crate) fn envelope(&self, to: MemberId) -> Option<Envelope> {
        let cluster = self.state.borrow().membership()?.cluster;
        Some(Envelope { cluster, from: self.me, to })
    }

    /// Rejects a message that is meant for another data folder or another log.
    pub(crate) fn check_envelope(&self, envelope: &Envelope) -> Result<(), PeerFault> {
        if envelope.to != self.me {
            return Err(PeerFault::refused(format_args!(
                "this is member {}, not {}: its data folder is not the one that was a voter; run \
                 `gladectl control replace` for the lost one",
                self.me, envelope.to
            )));
        }
        let state = self.state.borrow();
        if state.stopped.is_some() {
            return Err(super::voting::write_unavailable(WriteUnavailable));
        }
        match state.membership() {
            Some(membership) if membership.cluster != envelope.cluster => {
                Err(PeerFault::refused(format_args!(
                    "this member keeps log {}, not {}; check --voters and --data-dir",
                    membership.cluster, envelope.cluster
                )))
            }
            _ => Ok(()),
        }
    }

    /// Calls another control process.
    pub(crate) async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        method: &str,
        request: &Q,
        limit: Duration,
    ) -> Result<R, PeerError> {
        let body = Bytes::from(encode(request));
        let reply = self.transport.call(to, method, body, limit).await?;
        decode(&reply).map_err(|e| PeerFault::malformed(e).into())
    }

    /// Emits an event for each decided change. Only the leader does so, so that each decision is
    /// reported once.
    pub(crate) fn emit_outcomes(&self, outcomes: &[ConfigOutcome]) {
        if !self.state.borrow().is_leader() {
            return;
        }
        for outcome in outcomes {
            self.events.emit(match outcome {
                ConfigOutcome::Service(outcome) => document_event(outcome),
                ConfigOutcome::ClaimGroup(outcome) => group_event(outcome),
                ConfigOutcome::Traffic(outcome) => traffic_event(outcome),
            });
        }
    }

    pub(crate) fn status(&self) -> MemberStatus {
        let state = self.state.borrow();
        MemberStatus {
            member: self.me,
            vm: self.config.vm.clone(),
            term: state.ballot.term,
            is_leader: state.is_leader(),
            leader: state.leader,
            last: state.tail.last(),
            commit: state.commit,
            is_doubtful: state.is_doubtful,
            stopped: state.stopped.as_ref().map(ToString::to_string),
            membership: state.membership().map(|m| (**m).clone()),
        }
    }
}

fn document_event(outcome: &ChangeOutcome) -> EventDraft {
    match outcome {
        ChangeOutcome::Accepted(change) => EventDraft::new("change.accepted")
            .field("change", &change.id)
            .field("service", &change.service)
            .field("version", change.version)
            .field("index", change.index.0),
        ChangeOutcome::Conflict(conflict) => EventDraft::new("change.conflict")
            .field("base", conflict.base)
            .field("version", conflict.version)
            .optional("winner", conflict.winner.as_ref().map(|w| &w.id)),
    }
}

fn group_event(outcome: &GroupOutcome) -> EventDraft {
    match outcome {
        GroupOutcome::Accepted(record) => EventDraft::new("claim.group.accepted")
            .field("change", &record.id)
            .field("claim_region", &record.region)
            .field("epoch", record.epoch)
            .field("members", record.members.len())
            .field("index", record.index.0),
        GroupOutcome::Conflict(conflict) => EventDraft::new("claim.group.conflict")
            .field("claim_region", &conflict.region)
            .field("base", conflict.base)
            .optional("winner", conflict.winner.as_ref().map(|w| &w.id)),
        GroupOutcome::Refused(refusal) => {
            EventDraft::new("claim.group.refused").error("reason", refusal)
        }
    }
}

fn traffic_event(outcome: &TrafficOutcome) -> EventDraft {
    let is_applied = outcome.effect == TrafficEffect::Applied;
    EventDraft::new("change.traffic")
        .field("applied", is_applied)
        .optional("version", outcome.version)
        .field("index", outcome.index.0)
}

/// Builds the state from a recovered log. Entries after the snapshot count as committed only once a
/// leader reports them as such.
pub(super) fn restore(now: MonotonicTime, log: RecoveredLog) -> Result<NodeState, ControlError> {
    let (mut tail, config) = match log.snapshot {
        None => (LogTail::default(), ConfigState::default()),
        Some(snapshot) => {
            let config = ConfigState::from_image(&snapshot.image)
                .map_err(|e| ControlError::image(snapshot.index, &e))?;
            (LogTail::new(snapshot.index, snapshot.term, Some(snapshot.membership)), config)
        }
    };
    for entry in log.entries {
        tail.put(entry);
    }
    let mut state = NodeState::new(now, log.ballot, tail, config);
    state.is_doubtful = log.doubtful;
    Ok(state)
}
