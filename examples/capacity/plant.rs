//! Processes of several regions in virtual time, on a network of fakes that counts.

use {
    crate::meter::{MeteredTransport, TrafficMeter},
    gullglade_peer::{
        HandlerTable, PeerIdentity,
        fake::{FakeNetwork, FakeNode, FakePolicy, FakeTransport, MessageAction, MessagePath},
    },
    gullglade_units::{
        FailureDomain, HybridClock, Incarnation, ProcessContext, RegionName, VmName,
        fake::FakeWorld,
    },
    std::{
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
};

const SEED: u64 = 6;

/// Failure domains of each region.
const DOMAINS: usize = 4;

/// Half a millisecond inside a region, 55 ms between regions: the delays of Cascade Ballast.
struct RegionDelays;

impl FakePolicy for RegionDelays {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        let near = region_octet(path.from) == region_octet(path.to);
        let micros = if near { 500 } else { 55_000 };
        MessageAction::Deliver(Duration::from_micros(micros))
    }
}

fn region_octet(address: SocketAddr) -> u8 {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[1],
        IpAddr::V6(_) => 0,
    }
}

/// Makes a checked name from a text that is one.
pub(crate) fn name<N: for<'a> TryFrom<&'a str>>(text: &str) -> N {
    N::try_from(text).ok().expect("names made here are names")
}

pub(crate) fn region_name(region: usize) -> RegionName {
    name(&format!("region-{region:02}"))
}

pub(crate) fn vm_name(region: usize, number: usize) -> VmName {
    name(&format!("region-{region:02}-vm-{number:02}"))
}

pub(crate) fn domain_name(region: usize, number: usize) -> FailureDomain {
    name(&format!("region-{region:02}-{}", number % DOMAINS))
}

pub(crate) fn address(region: usize, number: usize) -> SocketAddr {
    format!("10.{region}.{}.{}:8082", number / 200, number % 200 + 1).parse().expect("an address")
}

/// A process's seams.
pub(crate) struct PlantProcess {
    pub(crate) context: ProcessContext,
    pub(crate) transport: Rc<MeteredTransport<FakeTransport>>,
    pub(crate) handlers: Rc<HandlerTable>,
    pub(crate) identity: PeerIdentity,
    pub(crate) address: SocketAddr,
}

pub(crate) struct Plant {
    pub(crate) world: FakeWorld,
    pub(crate) meter: TrafficMeter,
    network: FakeNetwork,
}

impl Plant {
    pub(crate) fn new() -> Self {
        let (world, _) = FakeWorld::new(SEED);
        let network = FakeNetwork::new(Rc::new(RegionDelays));
        Self { world, meter: TrafficMeter::default(), network }
    }

    /// Process `number` of `region`.
    pub(crate) fn join(&self, region: usize, number: usize) -> PlantProcess {
        let context = self.world.process().context().clone();
        let handlers = Rc::new(HandlerTable::new());
        let identity = PeerIdentity {
            vm: vm_name(region, number),
            region: region_name(region),
            domain: domain_name(region, number),
            incarnation: Incarnation(1),
        };
        let address = address(region, number);
        let inner = self.network.join(FakeNode {
            address,
            identity: identity.clone(),
            context: context.clone(),
            clock: Rc::new(HybridClock::default()),
            handlers: handlers.clone(),
        });
        let transport = MeteredTransport { own: address, inner, meter: self.meter.clone() };
        PlantProcess { context, transport: Rc::new(transport), handlers, identity, address }
    }
}
