//! Requests that only the leader can answer: changes, replacements and reads.

use {
    super::{
        core::ControlCore,
        error::{ChangeError, ReplaceError},
        message::{
            APPEND, CHANGE, ChangeCall, ChangeReply, HELLO, HelloRequest, JOIN, ORDER, OrderCall,
            READ, REPLACE, ReadReply, ReplaceCall, ReplaceReply, SNAPSHOT, STATUS, VOTE,
        },
        state::NodeState,
    },
    crate::{
        change::{ChangeOutcome, ChangeRequest, ConfigChange, ConfigOutcome},
        entry::{Command, LogIndex, LogPosition},
        groups::{GroupOutcome, GroupRequest},
        traffic::{TrafficChange, TrafficEffect, TrafficOutcome},
    },
    bytes::Bytes,
    gullglade_peer::{PeerError, PeerFault, PeerHandler, PeerIdentity},
    gullglade_units::{BootTime, LocalFuture, VmName, decode, encode, timeout},
    serde::{Serialize, de::DeserializeOwned},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// The interval between attempts to reach the leader.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The process that is the leader.
enum LeaderLocation {
    Local,
    Remote(SocketAddr),
}

/// A change on its way to the leader.
struct Submission {
    change: ConfigChange,
    /// A position that this process observed while the operator was waiting.
    observed: LogPosition,
}

impl Submission {
    /// Returns the call for an evacuation order, or `None` for any other change.
    fn order(&self) -> Option<OrderCall> {
        match &self.change {
            ConfigChange::Traffic(change @ TrafficChange::Evacuate { .. }) => {
                Some(OrderCall { change: change.clone(), observed: self.observed })
            }
            _ => None,
        }
    }
}

impl ControlCore {
    /// Has a change to a document decided, by this process or by a remote leader.
    pub(crate) async fn change(
        &self,
        request: ChangeRequest,
    ) -> Result<ChangeOutcome, ChangeError> {
        request.check()?;
        match self.decide(ConfigChange::Service(request), self.config.change_limit).await? {
            ConfigOutcome::Service(outcome) => Ok(outcome),
            ConfigOutcome::ClaimGroup(_) | ConfigOutcome::Traffic(_) => Err(mismatched_outcome()),
        }
    }

    /// Has a change to a claim group decided, by this process or by a remote leader.
    pub(crate) async fn change_group(
        &self,
        request: GroupRequest,
    ) -> Result<GroupOutcome, ChangeError> {
        request.check_author()?;
        request.check()?;
        self.check_documents(&request)?;
        match self.decide(ConfigChange::ClaimGroup(request), self.config.change_limit).await? {
            ConfigOutcome::ClaimGroup(outcome) => Ok(outcome),
            ConfigOutcome::Service(_) | ConfigOutcome::Traffic(_) => Err(mismatched_outcome()),
        }
    }

    /// Has a change to the traffic configuration decided, by this process or by a remote leader. The
    /// operator waits for `limit`.
    pub(crate) async fn change_traffic(
        &self,
        change: TrafficChange,
        limit: Duration,
    ) -> Result<TrafficOutcome, ChangeError> {
        let limit = limit.min(self.config.change_limit);
        match self.decide(ConfigChange::Traffic(change), limit).await? {
            ConfigOutcome::Traffic(outcome) => Ok(outcome),
            ConfigOutcome::Service(_) | ConfigOutcome::ClaimGroup(_) => Err(mismatched_outcome()),
        }
    }

    /// Checks the region of a claim group against the documents. A resend of a decided change skips
    /// the check, since it is answered even if the documents have changed since.
    fn check_documents(&self, request: &GroupRequest) -> Result<(), ChangeError> {
        let state = self.state.borrow();
        let change = ConfigChange::ClaimGroup(request.clone());
        if state.config.recorded_outcome(&change).is_some() {
            return Ok(());
        }
        let texts = state.config.services().filter_map(|record| record.text.as_deref());
        Ok(request.check_documents(texts)?)
    }

    /// Has a change decided, and waits for a leader if none is known.
    async fn decide(&self, change: ConfigChange, limit: Duration) -> ChangeReply {
        if let Some(recorded) = self.state.borrow().config.recorded_outcome(&change) {
            return Ok(recorded?);
        }
        let deadline = self.boot() + limit;
        let is_submitted = Cell::new(false);
        let deciding = self.change_at_leader(change, deadline, &is_submitted);
        match timeout(&*self.context.clock, limit, deciding).await {
            Some(Err(ChangeError::Stopped { reason })) if is_submitted.get() => {
                Err(ChangeError::Unknown { reason })
            }
            Some(reply) => reply,
            None if is_submitted.get() => {
                Err(ChangeError::Unknown { reason: format!("no outcome within {limit:?}") })
            }
            None => Err(ChangeError::NoLeader),
        }
    }

    /// Retries until the log has decided the change, or the deadline has passed. A resend is safe:
    /// a change with an id takes effect at most once, a configuration has a version, and an
    /// evacuation order is rejected if it was superseded. `is_submitted` records whether a leader
    /// may have received the change and not rejected it.
    async fn change_at_leader(
        &self,
        change: ConfigChange,
        deadline: BootTime,
        is_submitted: &Cell<bool>,
    ) -> ChangeReply {
        let mut submission = Submission { change, observed: self.observed_position() };
        let mut failure = ChangeError::NoLeader;
        loop {
            let leader = self.find_leader().await?;
            // A process that stood still may get here long after its operator has turned away, with
            // a position that it has observed only now.
            if self.boot() >= deadline {
                let reason = "its time limit has passed".to_owned();
                let unknown = ChangeError::Unknown { reason };
                return Err(if is_submitted.get() { unknown } else { failure });
            }
            let was_submitted = is_submitted.replace(true);
            let reply = match leader {
                LeaderLocation::Local => self.submit_locally(&submission).await,
                LeaderLocation::Remote(address) => self.forward(address, &submission).await,
            };
            match reply {
                Err(ChangeError::Superseded { term, index }) => {
                    is_submitted.set(was_submitted);
                    submission.observed = LogPosition { term, index };
                    failure = ChangeError::Superseded { term, index };
                    continue;
                }
                Err(ChangeError::NoLeader) => is_submitted.set(was_submitted),
                Err(ChangeError::Unknown { .. }) => {}
                reply => return reply,
            }
            self.sleep(LEADER_RETRY_INTERVAL).await;
        }
    }

    /// Returns the position of the last entry that this process has applied.
    fn observed_position(&self) -> LogPosition {
        let state = self.state.borrow();
        let index = state.config.applied();
        LogPosition { term: state.tail.term_at(index).unwrap_or_default(), index }
    }

    async fn submit_locally(&self, submission: &Submission) -> ChangeReply {
        match submission.order() {
            Some(order) => self.order_locally(order).await,
            None => self.change_locally(&submission.change).await,
        }
    }

    async fn forward(&self, address: SocketAddr, submission: &Submission) -> ChangeReply {
        let call = || ChangeCall { change: submission.change.clone() };
        let reply = match submission.order() {
            Some(order) => match self.submit_remotely(address, ORDER, &order).await {
                // The leader is of an earlier release.
                Err(error) if error.is_unknown_method() => {
                    self.submit_remotely(address, CHANGE, &call()).await
                }
                reply => reply,
            },
            None => self.submit_remotely(address, CHANGE, &call()).await,
        };
        reply.unwrap_or_else(|error| {
            if error.nothing_sent() {
                return Err(ChangeError::NoLeader);
            }
            Err(ChangeError::Unknown { reason: error.to_string() })
        })
    }

    async fn submit_remotely<Q: Serialize>(
        &self,
        address: SocketAddr,
        method: &str,
        call: &Q,
    ) -> Result<ChangeReply, PeerError> {
        self.call(address, method, call, self.config.change_limit / 2).await
    }

    async fn order_locally(&self, order: OrderCall) -> ChangeReply {
        self.wait_for_joins().await;
        let OrderCall { change, observed } = order;
        let outcome = self.propose_observed(Command::Traffic(change), Some(observed)).await?;
        outcome.ok_or_else(no_outcome)
    }

    async fn change_locally(&self, change: &ConfigChange) -> ChangeReply {
        if let Some(recorded) = self.state.borrow().config.recorded_outcome(change) {
            return Ok(recorded?);
        }
        if let ConfigChange::Traffic(change) = change
            && let Some(outcome) = self.unchanged_traffic(change).await?
        {
            return Ok(ConfigOutcome::Traffic(outcome));
        }
        self.propose(change.command()).await?.ok_or_else(no_outcome)
    }

    /// Returns the outcome of a configuration that has no effect, such as a resend or an older
    /// version. It is not appended to the log, where each copy would hold the whole text. Since the
    /// version in force only increases, no entry that is not applied yet can make it take effect.
    async fn unchanged_traffic(
        &self,
        change: &TrafficChange,
    ) -> Result<Option<TrafficOutcome>, ChangeError> {
        self.wait_for_joins().await;
        if matches!(change, TrafficChange::Evacuate { .. }) {
            return Ok(None);
        }
        let effect = |s: &NodeState| s.config.traffic().effect(change);
        if effect(&self.state.borrow()) == TrafficEffect::Applied {
            return Ok(None);
        }
        self.read_index().await?;
        let state = self.state.borrow();
        let outcome = state.config.traffic().outcome(TrafficEffect::Unchanged);
        Ok((effect(&state) == TrafficEffect::Unchanged).then_some(outcome))
    }

    /// Waits until a leader is known.
    async fn find_leader(&self) -> Result<LeaderLocation, ChangeError> {
        self.wait_until(|s| {
            if let Some(error) = &s.stopped {
                return Some(Err(ChangeError::Stopped { reason: error.to_string() }));
            }
            if s.is_leader() {
                return Some(Ok(LeaderLocation::Local));
            }
            let address = s.membership()?.member(s.leader?)?.address;
            Some(Ok(LeaderLocation::Remote(address)))
        })
        .await
    }

    /// Has the leader begin the replacement of a voter.
    pub(crate) async fn replace(&self, old: VmName, address: SocketAddr) -> ReplaceReply {
        let not_now = |reason: String| ReplaceError::NotNow { reason };
        let limit = self.config.change_limit;
        let leader = timeout(&*self.context.clock, limit, self.find_leader()).await;
        let leader = leader.unwrap_or(Err(ChangeError::NoLeader));
        match leader.map_err(|e| not_now(e.to_string()))? {
            LeaderLocation::Local => self.begin_replacement(old, address).await,
            LeaderLocation::Remote(leader) => {
                let call = ReplaceCall { old, address };
                let reply = self.call(leader, REPLACE, &call, limit).await;
                reply.unwrap_or_else(|e| Err(not_now(e.to_string())))
            }
        }
    }

    /// Waits until every change accepted before the call is applied by this process.
    pub(crate) async fn catch_up(&self) -> Result<LogIndex, ChangeError> {
        let limit = self.config.change_limit;
        let caught_up = timeout(&*self.context.clock, limit, self.catch_up_with_leader()).await;
        caught_up.unwrap_or(Err(ChangeError::NoLeader))
    }

    async fn catch_up_with_leader(&self) -> Result<LogIndex, ChangeError> {
        let index = match self.find_leader().await? {
            LeaderLocation::Local => self.read_index().await?,
            LeaderLocation::Remote(leader) => {
                let reply: Result<ReadReply, _> =
                    self.call(leader, READ, &(), self.config.change_limit).await;
                reply.map_err(|_| ChangeError::NoLeader)??
            }
        };
        self.wait_until(|s| (s.config.applied() >= index).then_some(())).await;
        Ok(index)
    }

    async fn dispatch(self: &Rc<Self>, method: &str, body: &Bytes) -> Result<Bytes, PeerFault> {
        let core = Rc::clone(self);
        match method {
            HELLO => {
                let request: HelloRequest = decode_body(body)?;
                Ok(reply(&self.hello(request.member)))
            }
            STATUS => Ok(reply(&self.status())),
            VOTE => {
                let request = decode_body(body)?;
                let work = async move { core.handle_vote(request).await };
                self.run_detached(work).await?.map(|r| reply(&r))
            }
            APPEND => {
                let request = decode_body(body)?;
                self.run_detached(core.handle_append(request)).await?.map(|r| reply(&r))
            }
            SNAPSHOT => {
                let request = decode_body(body)?;
                self.run_detached(core.handle_snapshot(request)).await?.map(|r| reply(&r))
            }
            CHANGE => {
                let call: ChangeCall = decode_body(body)?;
                Ok(reply(&self.change_locally(&call.change).await))
            }
            ORDER => Ok(reply(&self.order_locally(decode_body(body)?).await)),
            REPLACE => {
                let call: ReplaceCall = decode_body(body)?;
                Ok(reply(&self.begin_replacement(call.old, call.address).await))
            }
            JOIN => Ok(reply(&self.handle_join(decode_body(body)?))),
            READ => Ok(reply(&self.read_index().await)),
            other => Err(PeerFault::unknown_method(other)),
        }
    }
}

fn mismatched_outcome() -> ChangeError {
    ChangeError::Unknown {
        reason: "the log returned the outcome of another kind of change".to_owned(),
    }
}

fn no_outcome() -> ChangeError {
    ChangeError::Unknown { reason: "the log returned no outcome".to_owned() }
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerFault> {
    decode(body).map_err(PeerFault::malformed)
}

fn reply<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(encode(value))
}

/// Handles the peer methods `log.*`.
pub(crate) struct LogHandler(pub(crate) Rc<ControlCore>);

impl PeerHandler for LogHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move { self.0.dispatch(method, &body).await })
    }
}
