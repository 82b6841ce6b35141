//! Clusters of gateways on a simulated network in virtual time.

use {
    crate::common::{announcement, candidates, name},
    gullglade_backend::{
        AnnounceReply, Announcement, BackendConfig, BackendHealth, BackendRelay, BackendTable,
        GatewayProfile, LocalGateway, RelayConfig, RelayDependencies, ServingState,
    },
    gullglade_event::MemorySink,
    gullglade_peer::{
        HandlerTable, PeerIdentity,
        fake::{FakeLink, FakeNetwork, FakeNode, FakePolicy, MessageAction, MessagePath},
    },
    gullglade_units::{
        Incarnation, RandomSource, RegionName, SeededRandom,
        fake::{FakeProcess, FakeWorld},
    },
    std::{cell::Cell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

/// One-way delay between gateways of the same region.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// One-way delay between gateways of different regions.
const REMOTE_DELAY: Duration = Duration::from_millis(55);

/// Applies link delays by region, cut links and random faults.
struct LinkPolicy {
    local: Rc<FakeLink>,
    remote: FakeLink,
    faults: Rc<NetworkFaults>,
}

/// Random faults. While enabled, messages are lost, refused, duplicated and reordered.
pub(crate) struct NetworkFaults {
    enabled: Cell<bool>,
    random: SeededRandom,
}

impl NetworkFaults {
    fn fate(&self) -> MessageAction {
        let delay = || Duration::from_millis(self.random.below(1_500));
        match self.random.below(10) {
            0 | 1 => MessageAction::Drop,
            2 => MessageAction::Refuse,
            3 | 4 => MessageAction::Duplicate(delay(), delay()),
            5 | 6 => MessageAction::Deliver(delay()),
            _ => MessageAction::Deliver(LINK_DELAY),
        }
    }
}

impl FakePolicy for LinkPolicy {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let local = self.local.action(path);
        match local {
            MessageAction::Deliver(_) if self.faults.enabled.get() => self.faults.fate(),
            MessageAction::Deliver(_) if path.from.ip() != path.to.ip() => self.remote.action(path),
            _ => local,
        }
    }
}

/// A gateway.
pub(crate) struct Node {
    pub(crate) region: RegionName,
    pub(crate) process: FakeProcess,
    pub(crate) relay: BackendRelay,
    pub(crate) table: Rc<BackendTable>,
    pub(crate) events: Rc<MemorySink>,
    pub(crate) address: SocketAddr,
}

/// Gateways of one or more regions.
pub(crate) struct TestCluster {
    pub(crate) world: FakeWorld,
    pub(crate) link: Rc<FakeLink>,
    faults: Rc<NetworkFaults>,
    network: FakeNetwork,
    pub(crate) nodes: Vec<Node>,
}

/// Returns the peer address of gateway `index` of region number `region`.
fn address(region: usize, index: usize) -> SocketAddr {
    let net = u8::try_from(region).unwrap();
    SocketAddr::from(([10, 0, net, 1], u16::try_from(7_000 + index).unwrap()))
}

/// Returns the name of region number `region`.
pub(crate) fn region_name(region: usize) -> RegionName {
    ["puget", "columbia", "inland"][region].parse().unwrap()
}

impl TestCluster {
    /// Starts `count` gateways in one region and waits until all are connected.
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        Self::with_regions(seed, &[count])
    }

    /// Starts one region per element of `counts` with that number of gateways, and waits until all
    /// gateways of each region are connected.
    pub(crate) fn with_regions(seed: u64, counts: &[usize]) -> Self {
        let (world, _) = FakeWorld::new(seed);
        let link = Rc::new(FakeLink::new(LINK_DELAY));
        let random = SeededRandom::new(seed);
        let faults = Rc::new(NetworkFaults { enabled: Cell::new(false), random });
        let remote = FakeLink::new(REMOTE_DELAY);
        let policy = LinkPolicy { local: link.clone(), remote, faults: faults.clone() };
        let network = FakeNetwork::new(Rc::new(policy));
        let mut cluster = Self { world, link, faults, network, nodes: Vec::new() };
        for (region, count) in counts.iter().enumerate() {
            for index in 0..*count {
                let node = cluster.make_node(region, address(region, index), 1);
                cluster.nodes.push(node);
            }
        }
        cluster.run_millis(10_000);
        for node in &cluster.nodes {
            let region = counts.iter().enumerate().find(|(r, _)| region_name(*r) == node.region);
            let count = *region.unwrap().1;
            assert_eq!(
                node.relay.members().len(),
                count,
                "seed {seed}: not all gateways are connected"
            );
        }
        cluster
    }

    fn make_node(&self, region: usize, address: SocketAddr, incarnation: u64) -> Node {
        let process = self.world.process();
        let context = process.context().clone();
        let identity = PeerIdentity {
            vm: format!("vm-{region}-{}", address.port()).parse().unwrap(),
            region: region_name(region),
            domain: format!("domain-{}", address.port() % 3).parse().unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let handlers = Rc::new(HandlerTable::new());
        let transport = self.network.join(FakeNode {
            address,
            identity: identity.clone(),
            context: context.clone(),
            clock: Rc::default(),
            handlers: handlers.clone(),
        });
        let clock = context.clock.clone();
        let name = identity.region.clone();
        let table = Rc::new(BackendTable::new(name.clone(), BackendConfig::default(), clock));
        let events = Rc::new(MemorySink::default());
        let dependencies =
            RelayDependencies { transport: Rc::new(transport), events: events.clone(), context };
        let config = RelayConfig { seeds: seeds(), ..RelayConfig::default() };
        let own = own_gateway(&identity, address);
        let relay = BackendRelay::new(own, table.clone(), config, dependencies);
        handlers.register("backend", relay.handler());
        relay.start();
        Node { region: name, process, relay, table, events, address }
    }

    pub(crate) fn run_millis(&self, millis: u64) {
        self.world.run_for(Duration::from_millis(millis));
    }

    /// Enables or disables random network faults.
    pub(crate) fn set_network_faults(&self, enabled: bool) {
        self.faults.enabled.set(enabled);
    }

    /// Kills the process of a gateway.
    pub(crate) fn kill(&self, index: usize) {
        self.nodes[index].process.kill();
        self.network.leave(self.nodes[index].address);
    }

    /// Restarts a gateway without any state.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.kill(index);
        let node = &self.nodes[index];
        let region = (0..3).find(|r| region_name(*r) == node.region).unwrap();
        self.nodes[index] = self.make_node(region, node.address, incarnation);
    }

    /// Announces a backend server to gateway `index` and returns the reply.
    pub(crate) fn announce(&self, index: usize, announcement: &Announcement) -> AnnounceReply {
        let relay = self.nodes[index].relay.clone();
        self.world.run_until(relay.announce(announcement)).unwrap()
    }

    /// Renews engine `e1` at gateway `index` every 2 s, once for each sequence number.
    pub(crate) fn renew(&self, index: usize, sequences: std::ops::Range<u64>) {
        for sequence in sequences {
            self.announce(index, &announcement(1, sequence, ServingState::Serving));
            self.run_millis(2_000);
        }
    }

    /// Returns the live gateways that would dispatch new requests to `e1`.
    pub(crate) fn dispatching_gateways(&self) -> Vec<usize> {
        let sends = |index: &usize| {
            let node = &self.nodes[*index];
            !node.process.is_killed() && candidates(&node.table).iter().any(|n| n.starts_with("e1"))
        };
        (0..self.nodes.len()).filter(sends).collect()
    }

    /// Returns the distinct health values of `e1` on the live gateways.
    pub(crate) fn healths(&self) -> BTreeSet<Option<BackendHealth>> {
        let live = self.nodes.iter().filter(|node| !node.process.is_killed());
        live.map(|node| node.table.health(&name("e1"))).collect()
    }
}

/// Returns two gateways of each possible region.
fn seeds() -> Vec<SocketAddr> {
    (0..3).flat_map(|region| (0..2).map(move |index| address(region, index))).collect()
}

fn own_gateway(identity: &PeerIdentity, address: SocketAddr) -> LocalGateway {
    LocalGateway {
        vm: identity.vm.clone(),
        incarnation: identity.incarnation,
        profile: GatewayProfile {
            region: identity.region.clone(),
            domain: identity.domain.clone(),
            peer_address: address,
            caller_address: SocketAddr::new(address.ip(), address.port() + 1_000),
            limit: 100,
        },
    }
}
