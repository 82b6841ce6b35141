//! Claims in the memory of one process, for deployments with a single gateway and for tests.

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

/// Claims of a single process: a quorum of one that decides the keys of every region.
///
/// The claims are lost when the process ends. A restarted process therefore refuses keys that may
/// have been claimed before; see [`LocalClaims::restarted`].
pub struct LocalClaims {
    coordinator: QuorumClaims,
    replica: Rc<ClaimReplica>,
}

impl LocalClaims {
    /// Creates the claims of a deployment that has never taken an order.
    pub fn first_start(context: ProcessContext, settings: ClaimSettings) -> Self {
        let claims = Self::restarted(context, settings);
        claims.replica.set_initial();
        claims
    }

    /// Creates the claims of a process that may have run before. It refuses opaque keys, and keys
    /// created before its start, until the retention window has passed.
    pub fn restarted(context: ProcessContext, settings: ClaimSettings) -> Self {
        let group = Rc::new(single_group());
        let identity = PeerIdentity {
            vm: group.members[0].vm.clone(),
            region: group.id.region.clone(),
            domain: parse_name("local", |text| FailureDomain::try_from(text).ok()),
            incarnation: Incarnation(1),
        };
        let transport: Rc<dyn PeerTransport> = Rc::new(NoTransport);
        let service = ClaimService::new(context.clone(), settings, identity, Rc::clone(&transport));
        let service = Rc::new(service);
        service.adopt(Rc::clone(&group));
        let replica =
            service.replica(&group.id).expect("this process is the only member of the group");
        let groups = Rc::new(SingleGroup(group));
        let coordinator = QuorumClaims::new(context, settings, groups, service, transport);
        Self { coordinator, replica }
    }

    /// Number of keys with a record.
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

fn parse_name<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> T {
    parse(text).expect("the constant is a valid name")
}

fn single_group() -> ReplicaGroup {
    let region = parse_name("local", |text| RegionName::try_from(text).ok());
    let vm = parse_name("local", |text| VmName::try_from(text).ok());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let member = ReplicaMember { vm, region: region.clone(), address };
    ReplicaGroup::first(GroupId { region, number: 0 }, None, vec![member])
}

/// A group source with one group for the keys of all regions.
struct SingleGroup(Rc<ReplicaGroup>);

impl GroupSource for SingleGroup {
    fn group(&self, _region: &RegionName, _digest: &ClaimDigest) -> Option<Rc<ReplicaGroup>> {
        Some(Rc::clone(&self.0))
    }
}

/// A transport that fails every call. It is never needed, because the only member is this process.
struct NoTransport;

impl NoTransport {
    fn refusal(method: &str) -> PeerError {
        let reason = "claims are local to this process, there are no other replicas".to_owned();
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
