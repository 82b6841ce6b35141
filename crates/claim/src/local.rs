//! Claims in the memory of one process: for a deployment of one gateway, and for tests.

use {
    crate::{
        ClaimCoordinator, ClaimDigest, ClaimError, ClaimOutcome, ClaimReplica, ClaimRequest,
        ClaimService, ClaimSettings, GroupId, GroupSource, QuorumClaims, ReplicaGroup,
        ReplicaMember,
    },
    bytes::Bytes,
    gullglade_peer::{PeerError, PeerIdentity, PeerStream, PeerTransport},
    gullglade_units::{
        FailureDomain, Incarnation, LocalFuture, ProcessContext, RegionName, VmName,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// The claims of a single process: a quorum of one, for the keys of every region.
///
/// It forgets them with the process. A restarted one therefore refuses keys that may have been
/// claimed before; see [`LocalClaims::restarted`].
pub struct LocalClaims {
    coordinator: QuorumClaims,
    replica: Rc<ClaimReplica>,
}

impl LocalClaims {
    /// Claims of a deployment that takes its very first orders.
    pub fn first_start(context: ProcessContext, settings: ClaimSettings) -> Self {
        let claims = Self::restarted(context, settings);
        claims.replica.set_initial();
        claims
    }

    /// Claims of a process that may have run before: until the window has passed it refuses opaque
    /// keys, and keys made before its start.
    pub fn restarted(context: ProcessContext, settings: ClaimSettings) -> Self {
        let group = Rc::new(single_group());
        let identity = PeerIdentity {
            vm: group.members[0].vm.clone(),
            region: group.id.region.clone(),
            domain: checked("local", |text| FailureDomain::try_from(text).ok()),
            incarnation: Incarnation(1),
        };
        let transport: Rc<dyn PeerTransport> = Rc::new(NoTransport);
        let service = ClaimService::new(context.clone(), settings, identity, Rc::clone(&transport));
        let service = Rc::new(service);
        service.adopt(Rc::clone(&group));
        let replica = service.replica(&group.id).expect("the process is the group's member");
        let groups = Rc::new(SingleGroup(group));
        let coordinator = QuorumClaims::new(context, settings, groups, service, transport);
        Self { coordinator, replica }
    }

    /// Keys held.
    pub fn record_count(&self) -> usize {
        self.replica.record_count()
    }
}

impl ClaimCoordinator for LocalClaims {
    fn claim<'a>(
        &'a self,
        request: ClaimRequest<'a>,
    ) -> LocalFuture<'a, Result<ClaimOutcome, ClaimError>> {
        self.coordinator.claim(request)
    }
}

fn checked<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> T {
    parse(text).expect("a constant that is a name")
}

fn single_group() -> ReplicaGroup {
    let region = checked("local", |text| RegionName::try_from(text).ok());
    let vm = checked("local", |text| VmName::try_from(text).ok());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let member = ReplicaMember { vm, region: region.clone(), address };
    ReplicaGroup::first(GroupId { region, number: 0 }, None, vec![member])
}

/// One group for the keys of all regions.
struct SingleGroup(Rc<ReplicaGroup>);

impl GroupSource for SingleGroup {
    fn group(&self, _region: &RegionName, _digest: &ClaimDigest) -> Option<Rc<ReplicaGroup>> {
        Some(Rc::clone(&self.0))
    }
}

/// Reaches nobody: the only member is this process.
struct NoTransport;

impl NoTransport {
    fn refusal(method: &str) -> PeerError {
        let reason = "this process claims for itself alone".to_owned();
        PeerError::Unsendable { method: method.to_owned(), reason }
    }
}

impl PeerTransport for NoTransport {
    fn call<'a>(
        &'a self,
        _to: SocketAddr,
        method: &'a str,
        _body: Bytes,
        _limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(std::future::ready(Err(Self::refusal(method))))
    }

    fn open<'a>(
        &'a self,
        _to: SocketAddr,
        method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        Box::pin(std::future::ready(Err(Self::refusal(method))))
    }
}
