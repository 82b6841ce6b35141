//! Gateways in several regions that follow a cluster.

use {
    super::cluster::{Cluster, address, region, vm},
    gullglade_control::{ConfigReplica, RegionPeers, ReplicaConfig},
    gullglade_peer::fake::{FakePolicy, MessageAction, MessagePath},
    gullglade_units::{MonotonicTime, fake::FakeProcess},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
};

/// Links of half a millisecond within a region and 55 ms between regions. The region of a VM is its
/// index modulo three.
pub struct RegionLink {
    near: Duration,
    far: Duration,
    cut: RefCell<BTreeSet<usize>>,
    frozen: RefCell<BTreeSet<SocketAddr>>,
    pub messages: Cell<u64>,
}

impl RegionLink {
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            near: Duration::from_micros(500),
            far: Duration::from_millis(55),
            cut: RefCell::default(),
            frozen: RefCell::default(),
            messages: Cell::new(0),
        })
    }

    /// Partitions a region from the others.
    pub fn cut(&self, region: usize) {
        self.cut.borrow_mut().insert(region);
    }

    /// Drops all messages to and from a process, as if its VM were frozen.
    pub fn freeze(&self, address: SocketAddr) {
        self.frozen.borrow_mut().insert(address);
    }

    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
    }
}

pub fn region_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { return 0 };
    (usize::from(ip.octets()[3]) - 1) % 3
}

impl FakePolicy for RegionLink {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        self.messages.set(self.messages.get() + 1);
        let frozen = self.frozen.borrow();
        if frozen.contains(&path.from) || frozen.contains(&path.to) {
            return MessageAction::Drop;
        }
        let (from, to) = (region_of(path.from), region_of(path.to));
        if from == to {
            return MessageAction::Deliver(self.near);
        }
        let cut = self.cut.borrow();
        if cut.contains(&from) || cut.contains(&to) {
            return MessageAction::Drop;
        }
        MessageAction::Deliver(self.far)
    }
}

/// The addresses of the gateways of one region.
struct FixedPeers(Vec<SocketAddr>);

impl RegionPeers for FixedPeers {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.0.clone()
    }
}

/// A running gateway.
pub struct GatewayVm {
    pub index: usize,
    pub process: FakeProcess,
    pub started: MonotonicTime,
    pub replica: Rc<ConfigReplica>,
}

/// The VM index of the first gateway; control VMs have lower ones.
pub const FIRST_GATEWAY: usize = 12;

/// Starts a gateway on VM `index`, one of `count` gateways.
pub fn start_gateway(
    cluster: &Cluster,
    index: usize,
    count: usize,
    controls: &[usize],
) -> GatewayVm {
    let process = cluster.world.process();
    let (transport, handlers) = cluster.join(index, &process);
    let all = (FIRST_GATEWAY..FIRST_GATEWAY + count).map(address);
    let peers = all.filter(|a| region_of(*a) == index % 3).collect();
    let controls = controls.iter().map(|i| address(*i)).collect();
    let config = ReplicaConfig::new(vm(index), region(index % 3), address(index), controls);
    let replica = ConfigReplica::new(config, process.context().clone());
    replica.serve(&handlers);
    replica.start(Rc::new(transport), Rc::new(FixedPeers(peers)), cluster.events.clone());
    GatewayVm { index, process, started: cluster.world.now(), replica }
}

pub fn start_gateways(cluster: &Cluster, count: usize) -> Vec<GatewayVm> {
    let indexes = FIRST_GATEWAY..FIRST_GATEWAY + count;
    indexes.map(|i| start_gateway(cluster, i, count, &[0, 1, 2])).collect()
}

impl GatewayVm {
    pub fn applied(&self) -> u64 {
        self.replica.status().applied.map_or(0, |index| index.0)
    }

    pub fn version(&self, name: &str) -> u64 {
        let record = self.replica.service(&super::cluster::service(name));
        record.map_or(0, |record| record.change.version)
    }

    pub fn kill(&self, cluster: &Cluster) {
        self.process.kill();
        cluster.network.leave(address(self.index));
    }
}
