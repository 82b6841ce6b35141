//! The replicas of this process, and the peer calls that they handle.

use {
    crate::{
        ClaimReplica, ClaimSettings, GroupId, ReplicaGroup, ReplicaState,
        join::join_group,
        message::{COPY_METHOD, CopyCall, STEP_METHOD, StepCall},
        table::StepTime,
    },
    bytes::Bytes,
    gullglade_event::{EventSink, NullSink},
    gullglade_peer::{PeerFault, PeerHandler, PeerIdentity, PeerTransport},
    gullglade_units::{LocalFuture, ProcessContext, decode, encode},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// All replicas of this process. Register it as the peer handler of prefix `claim`.
pub struct ClaimService {
    context: ProcessContext,
    settings: ClaimSettings,
    identity: PeerIdentity,
    transport: Rc<dyn PeerTransport>,
    events: Rc<dyn EventSink>,
    replicas: RefCell<BTreeMap<GroupId, Rc<ClaimReplica>>>,
    start: StepTime,
}

impl ClaimService {
    /// Creates a service without replicas. The current time counts as the start of the process.
    pub fn new(
        context: ProcessContext,
        settings: ClaimSettings,
        identity: PeerIdentity,
        transport: Rc<dyn PeerTransport>,
    ) -> Self {
        let start = StepTime { now: context.clock.now(), wall: context.clock.wall() };
        let (events, replicas) = (Rc::new(NullSink), RefCell::default());
        Self { context, settings, identity, transport, events, replicas, start }
    }

    /// Sets the sink of the events that report a replica as blind, complete or stale. By default
    /// they are discarded.
    pub fn events(mut self, events: Rc<dyn EventSink>) -> Self {
        self.events = events;
        self
    }

    /// Adopts a group or a later epoch of it. If this process is a member, its replica starts to
    /// participate. A new replica counts as one that has lost its state, unless the group's
    /// creation time shows that this process started before.
    pub fn adopt(&self, group: Rc<ReplicaGroup>) {
        let replica = self.replica(&group.id);
        let newer = replica.as_ref().is_some_and(|replica| replica.adopt(Rc::clone(&group)));
        let member = group.position(&self.identity.vm).is_some();
        if !member || (replica.is_some() && !newer) {
            return;
        }
        let replica = replica.unwrap_or_else(|| self.create(group));
        let transport = Rc::clone(&self.transport);
        let events = Rc::clone(&self.events);
        self.context.spawner.spawn(Box::pin(join_group(replica, transport, events)));
    }

    fn create(&self, group: Rc<ReplicaGroup>) -> Rc<ClaimReplica> {
        let replica = Rc::new(ClaimReplica::new(
            self.context.clone(),
            self.settings,
            self.identity.clone(),
            Rc::clone(&group),
            self.start,
        ));
        self.replicas.borrow_mut().insert(group.id.clone(), Rc::clone(&replica));
        replica
    }

    /// Returns this process's replica of a group.
    pub fn replica(&self, id: &GroupId) -> Option<Rc<ClaimReplica>> {
        self.replicas.borrow().get(id).cloned()
    }

    /// Returns the state of each replica.
    pub fn states(&self) -> Vec<(GroupId, ReplicaState)> {
        let replicas = self.replicas.borrow();
        replicas.iter().map(|(id, replica)| (id.clone(), replica.state())).collect()
    }

    fn find(&self, id: &GroupId) -> Result<Rc<ClaimReplica>, PeerFault> {
        self.replica(id).ok_or_else(|| {
            PeerFault::unavailable(format_args!(
                "no claim replica of region {} group {} on this process: check its configuration",
                id.region, id.number
            ))
        })
    }

    fn answer(&self, from: &PeerIdentity, method: &str, body: &[u8]) -> Result<Bytes, PeerFault> {
        match method {
            STEP_METHOD => {
                let call: StepCall = decode(body).map_err(PeerFault::malformed)?;
                Ok(encode(&self.find(&call.group)?.step(call)).into())
            }
            COPY_METHOD => {
                let call: CopyCall = decode(body).map_err(PeerFault::malformed)?;
                Ok(encode(&self.find(&call.group)?.copy(from, &call)?).into())
            }
            other => Err(PeerFault::unknown_method(other)),
        }
    }
}

impl PeerHandler for ClaimService {
    fn call<'a>(
        &'a self,
        from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(std::future::ready(self.answer(from, method, &body)))
    }
}
