//! Whole regions of gateways on a fake network in virtual time.

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

/// One-way delay between the gateways of a region.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// One-way delay between gateways of different regions.
const FAR_DELAY: Duration = Duration::from_millis(55);

/// Delays by region, cuts, and a time of disorder.
struct RegionLink {
    near: Rc<FakeLink>,
    far: FakeLink,
    disorder: Rc<Disorder>,
}

/// While it is on, messages are lost, doubled and overtake each other.
pub(crate) struct Disorder {
    on: Cell<bool>,
    random: SeededRandom,
}

impl Disorder {
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

impl FakePolicy for RegionLink {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let near = self.near.action(path);
        match near {
            MessageAction::Deliver(_) if self.disorder.on.get() => self.disorder.fate(),
            MessageAction::Deliver(_) if path.from.ip() != path.to.ip() => self.far.action(path),
            _ => near,
        }
    }
}

/// One gateway.
pub(crate) struct Node {
    pub(crate) region: RegionName,
    pub(crate) process: FakeProcess,
    pub(crate) relay: BackendRelay,
    pub(crate) table: Rc<BackendTable>,
    pub(crate) events: Rc<MemorySink>,
    pub(crate) address: SocketAddr,
}

/// The gateways of one or more regions.
pub(crate) struct Region {
    pub(crate) world: FakeWorld,
    pub(crate) link: Rc<FakeLink>,
    disorder: Rc<Disorder>,
    network: FakeNetwork,
    pub(crate) nodes: Vec<Node>,
}

/// The peer address of gateway `index` of region number `region`.
fn address(region: usize, index: usize) -> SocketAddr {
    let net = u8::try_from(region).unwrap();
    SocketAddr::from(([10, 0, net, 1], u16::try_from(7_000 + index).unwrap()))
}

/// The name of region number `region`.
pub(crate) fn region_name(region: usize) -> RegionName {
    ["puget", "columbia", "inland"][region].parse().unwrap()
}

impl Region {
    /// `count` gateways of one region that have found each other.
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        Self::several(seed, &[count])
    }

    /// As many regions as counts, of so many gateways each, that have found each other.
    pub(crate) fn several(seed: u64, counts: &[usize]) -> Self {
        let (world, _) = FakeWorld::new(seed);
        let link = Rc::new(FakeLink::new(LINK_DELAY));
        let random = SeededRandom::new(seed);
        let disorder = Rc::new(Disorder { on: Cell::new(false), random });
        let far = FakeLink::new(FAR_DELAY);
        let policy = RegionLink { near: link.clone(), far, disorder: disorder.clone() };
        let network = FakeNetwork::new(Rc::new(policy));
        let mut all = Self { world, link, disorder, network, nodes: Vec::new() };
        for (region, count) in counts.iter().enumerate() {
            for index in 0..*count {
                let node = all.make_node(region, address(region, index), 1);
                all.nodes.push(node);
            }
        }
        all.run_millis(10_000);
        for node in &all.nodes {
            let region = counts.iter().enumerate().find(|(r, _)| region_name(*r) == node.region);
            let count = *region.unwrap().1;
            assert_eq!(node.relay.members().len(), count, "seed {seed}: not all have met");
        }
        all
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
        let seams =
            RelayDependencies { transport: Rc::new(transport), events: events.clone(), context };
        let config = RelayConfig { seeds: seeds(), ..RelayConfig::default() };
        let own = own_gateway(&identity, address);
        let relay = BackendRelay::new(own, table.clone(), config, seams);
        handlers.register("backend", relay.handler());
        relay.start();
        Node { region: name, process, relay, table, events, address }
    }

    pub(crate) fn run_millis(&self, millis: u64) {
        self.world.run_for(Duration::from_millis(millis));
    }

    /// Begins or ends a time of disorder on the network.
    pub(crate) fn set_disorder(&self, on: bool) {
        self.disorder.on.set(on);
    }

    /// Ends a gateway's process as a kill would.
    pub(crate) fn kill(&self, index: usize) {
        self.nodes[index].process.kill();
        self.network.leave(self.nodes[index].address);
    }

    /// Starts a gateway again, knowing nobody.
    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.kill(index);
        let node = &self.nodes[index];
        let region = (0..3).find(|r| region_name(*r) == node.region).unwrap();
        self.nodes[index] = self.make_node(region, node.address, incarnation);
    }

    /// A backend server announces to gateway `index` and waits for the answer.
    pub(crate) fn announce(&self, index: usize, announcement: &Announcement) -> AnnounceReply {
        let relay = self.nodes[index].relay.clone();
        self.world.run_until(relay.announce(announcement)).unwrap()
    }

    /// Engine `e1` renews at gateway `index` every 2 s for `rounds` rounds.
    pub(crate) fn renew(&self, index: usize, sequences: std::ops::Range<u64>) {
        for sequence in sequences {
            self.announce(index, &announcement(1, sequence, ServingState::Serving));
            self.run_millis(2_000);
        }
    }

    /// The gateways that would send new work to `e1`.
    pub(crate) fn senders(&self) -> Vec<usize> {
        let sends = |index: &usize| {
            let node = &self.nodes[*index];
            !node.process.is_killed() && candidates(&node.table).iter().any(|n| n.starts_with("e1"))
        };
        (0..self.nodes.len()).filter(sends).collect()
    }

    /// The health of `e1` at each live gateway.
    pub(crate) fn healths(&self) -> BTreeSet<Option<BackendHealth>> {
        let live = self.nodes.iter().filter(|node| !node.process.is_killed());
        live.map(|node| node.table.health(&name("e1"))).collect()
    }
}

/// Two gateways of each region that may exist.
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
