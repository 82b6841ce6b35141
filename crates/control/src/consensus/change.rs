//! Requests that only the leader can answer: changes, replacements, reads.

use {
    super::{
        core::ControlCore,
        error::{ChangeError, ReplaceError},
        message::{
            APPEND, CHANGE, ChangeCall, ChangeReply, HELLO, HelloRequest, JOIN, READ, REPLACE,
            ReadReply, ReplaceCall, ReplaceReply, SNAPSHOT, STATUS, VOTE,
        },
        state::NodeState,
    },
    crate::{
        change::{ChangeOutcome, ChangeRequest, ConfigChange, ConfigOutcome},
        entry::LogIndex,
        groups::{GroupOutcome, GroupRequest},
        traffic::{TrafficChange, TrafficEffect, TrafficOutcome},
    },
    bytes::Bytes,
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity},
    gullglade_units::{LocalFuture, VmName, decode, encode, timeout},
    serde::{Serialize, de::DeserializeOwned},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// How long to wait before asking for the leader again.
const LEADER_PAUSE: Duration = Duration::from_millis(100);

/// Where a request for the leader goes.
enum LeaderPlace {
    Here,
    There(SocketAddr),
}

impl ControlCore {
    /// Has a document's change decided, here or by the leader.
    pub(crate) async fn change(
        &self,
        request: ChangeRequest,
    ) -> Result<ChangeOutcome, ChangeError> {
        request.check()?;
        match self.decide(ConfigChange::Service(request)).await? {
            ConfigOutcome::Service(outcome) => Ok(outcome),
            ConfigOutcome::ClaimGroup(_) | ConfigOutcome::Traffic(_) => Err(other_kind()),
        }
    }

    /// Has a claim group's change decided, here or by the leader.
    pub(crate) async fn change_group(
        &self,
        request: GroupRequest,
    ) -> Result<GroupOutcome, ChangeError> {
        request.check_author()?;
        request.check()?;
        self.check_documents(&request)?;
        match self.decide(ConfigChange::ClaimGroup(request)).await? {
            ConfigOutcome::ClaimGroup(outcome) => Ok(outcome),
            ConfigOutcome::Service(_) | ConfigOutcome::Traffic(_) => Err(other_kind()),
        }
    }

    /// Has a change of the traffic configuration decided, here or by the leader.
    pub(crate) async fn change_traffic(
        &self,
        change: TrafficChange,
    ) -> Result<TrafficOutcome, ChangeError> {
        match self.decide(ConfigChange::Traffic(change)).await? {
            ConfigOutcome::Traffic(outcome) => Ok(outcome),
            ConfigOutcome::Service(_) | ConfigOutcome::ClaimGroup(_) => Err(other_kind()),
        }
    }

    /// A resend of a change that was decided is answered, whatever the documents say by now.
    fn check_documents(&self, request: &GroupRequest) -> Result<(), ChangeError> {
        let state = self.state.borrow();
        let change = ConfigChange::ClaimGroup(request.clone());
        if state.config.earlier(&change).is_some() {
            return Ok(());
        }
        let texts = state.config.services().filter_map(|record| record.text.as_deref());
        Ok(request.check_documents(texts)?)
    }

    /// Waits for a leader where there is none.
    async fn decide(&self, change: ConfigChange) -> ChangeReply {
        if let Some(earlier) = self.state.borrow().config.earlier(&change) {
            return Ok(earlier?);
        }
        let call = ChangeCall { change };
        let limit = self.config.change_limit;
        let is_handed_over = Cell::new(false);
        let deciding = self.change_at_leader(&call, &is_handed_over);
        match timeout(&*self.context.clock, limit, deciding).await {
            Some(Err(ChangeError::Stopped { reason })) if is_handed_over.get() => {
                Err(ChangeError::Unknown { reason })
            }
            Some(reply) => reply,
            None if is_handed_over.get() => {
                Err(ChangeError::Unknown { reason: format!("no outcome within {limit:?}") })
            }
            None => Err(ChangeError::NoLeader),
        }
    }

    /// Tries until the log has decided: a resend is safe, since the change id makes it one change.
    /// `is_handed_over` says whether a leader may have the change.
    async fn change_at_leader(
        &self,
        call: &ChangeCall,
        is_handed_over: &Cell<bool>,
    ) -> ChangeReply {
        loop {
            let leader = self.find_leader().await?;
            let was_handed_over = is_handed_over.replace(true);
            let reply = match leader {
                LeaderPlace::Here => self.change_here(&call.change).await,
                LeaderPlace::There(address) => self.change_there(address, call).await,
            };
            match reply {
                Err(ChangeError::NoLeader) => is_handed_over.set(was_handed_over),
                Err(ChangeError::Unknown { .. }) => {}
                reply => return reply,
            }
            self.sleep(LEADER_PAUSE).await;
        }
    }

    async fn change_here(&self, change: &ConfigChange) -> ChangeReply {
        if let Some(earlier) = self.state.borrow().config.earlier(change) {
            return Ok(earlier?);
        }
        if let ConfigChange::Traffic(change) = change
            && let Some(outcome) = self.unchanged_traffic(change).await?
        {
            return Ok(ConfigOutcome::Traffic(outcome));
        }
        let outcome = self.propose(change.command()).await?;
        let lost = || ChangeError::Unknown { reason: "the log gave no outcome".to_owned() };
        outcome.ok_or_else(lost)
    }

    /// The outcome of a change of the traffic configuration that changes nothing: a resend or an
    /// older version. It takes no place in the log, where each copy would hold the whole text.
    async fn unchanged_traffic(
        &self,
        change: &TrafficChange,
    ) -> Result<Option<TrafficOutcome>, ChangeError> {
        self.wait_for_growth().await;
        let effect = |s: &NodeState| s.config.traffic().effect(change);
        if effect(&self.state.borrow()) == TrafficEffect::Applied {
            return Ok(None);
        }
        self.read_index().await?;
        let state = self.state.borrow();
        let outcome = state.config.traffic().outcome(TrafficEffect::Unchanged);
        Ok((effect(&state) == TrafficEffect::Unchanged).then_some(outcome))
    }

    async fn change_there(&self, address: SocketAddr, call: &ChangeCall) -> ChangeReply {
        let reply = self.call(address, CHANGE, call, self.config.change_limit / 2).await;
        reply.unwrap_or_else(|error| {
            if error.nothing_sent() {
                return Err(ChangeError::NoLeader);
            }
            Err(ChangeError::Unknown { reason: error.to_string() })
        })
    }

    /// The leader this process knows; waits until it knows one.
    async fn find_leader(&self) -> Result<LeaderPlace, ChangeError> {
        self.until(|s| {
            if let Some(error) = &s.stopped {
                return Some(Err(ChangeError::Stopped { reason: error.to_string() }));
            }
            if s.is_leader() {
                return Some(Ok(LeaderPlace::Here));
            }
            let address = s.membership()?.member(s.leader?)?.address;
            Some(Ok(LeaderPlace::There(address)))
        })
        .await
    }

    /// Has a voter replaced, by the leader.
    pub(crate) async fn replace(&self, old: VmName, address: SocketAddr) -> ReplaceReply {
        let not_now = |reason: String| ReplaceError::NotNow { reason };
        let limit = self.config.change_limit;
        let leader = timeout(&*self.context.clock, limit, self.find_leader()).await;
        let leader = leader.unwrap_or(Err(ChangeError::NoLeader));
        match leader.map_err(|e| not_now(e.to_string()))? {
            LeaderPlace::Here => self.begin_replacement(old, address).await,
            LeaderPlace::There(leader) => {
                let call = ReplaceCall { old, address };
                let reply = self.call(leader, REPLACE, &call, limit).await;
                reply.unwrap_or_else(|e| Err(not_now(e.to_string())))
            }
        }
    }

    /// Waits until everything accepted before the call is applied here.
    pub(crate) async fn catch_up(&self) -> Result<LogIndex, ChangeError> {
        let limit = self.config.change_limit;
        let caught_up = timeout(&*self.context.clock, limit, self.catch_up_with_leader()).await;
        caught_up.unwrap_or(Err(ChangeError::NoLeader))
    }

    async fn catch_up_with_leader(&self) -> Result<LogIndex, ChangeError> {
        let index = match self.find_leader().await? {
            LeaderPlace::Here => self.read_index().await?,
            LeaderPlace::There(leader) => {
                let reply: Result<ReadReply, _> =
                    self.call(leader, READ, &(), self.config.change_limit).await;
                reply.map_err(|_| ChangeError::NoLeader)??
            }
        };
        self.until(|s| (s.config.applied() >= index).then_some(())).await;
        Ok(index)
    }

    async fn answer(self: &Rc<Self>, method: &str, body: &Bytes) -> Result<Bytes, PeerFault> {
        let core = Rc::clone(self);
        match method {
            HELLO => {
                let request: HelloRequest = read(body)?;
                Ok(reply(&self.hello(request.member)))
            }
            STATUS => Ok(reply(&self.status())),
            VOTE => {
                let request = read(body)?;
                let work = async move { core.handle_vote(request).await };
                self.detached(work).await?.map(|r| reply(&r))
            }
            APPEND => {
                let request = read(body)?;
                self.detached(core.handle_append(request)).await?.map(|r| reply(&r))
            }
            SNAPSHOT => {
                let request = read(body)?;
                self.detached(core.handle_snapshot(request)).await?.map(|r| reply(&r))
            }
            CHANGE => {
                let call: ChangeCall = read(body)?;
                Ok(reply(&self.change_here(&call.change).await))
            }
            REPLACE => {
                let call: ReplaceCall = read(body)?;
                Ok(reply(&self.begin_replacement(call.old, call.address).await))
            }
            JOIN => Ok(reply(&self.handle_join(read(body)?))),
            READ => Ok(reply(&self.read_index().await)),
            other => Err(PeerFault::unknown_method(other)),
        }
    }
}

fn other_kind() -> ChangeError {
    ChangeError::Unknown { reason: "the log answered about a change of another kind".to_owned() }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerFault> {
    decode(body).map_err(PeerFault::malformed)
}

fn reply<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(encode(value))
}

/// Serves the methods "log.*".
pub(crate) struct LogHandler(pub(crate) Rc<ControlCore>);

impl PeerHandler for LogHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move { self.0.answer(method, &body).await })
    }
}
