//! Settings of one stand-in engine.

use {
    crate::{announcer::DEFAULT_LEAVE_GRACE, engine::batch::EngineLimits, fault::FaultOrder},
    gullglade_backend::FencingMode,
    gullglade_units::{BackendName, FailureDomain, Incarnation, ModelName, RegionName},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Settings of one stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Its name, unique in its region.
    pub name: BackendName,
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain inside the region.
    pub domain: FailureDomain,
    /// The models it has loaded from the start.
    pub models: Vec<ModelName>,
    /// Where it listens; loopback and a free port by default.
    pub listen: SocketAddr,
    /// What it can do.
    pub limits: EngineLimits,
    /// Whether it refuses orders with an old fencing number; ignores it by default.
    pub fencing: FencingMode,
    /// The run it announces; milliseconds of the wall clock at its start by default.
    pub incarnation: Option<Incarnation>,
    /// The gateways it announces itself to, the first that answers; none by default.
    pub gateways: Vec<SocketAddr>,
    /// The bearer token of its announcements; none by default.
    pub token: Option<String>,
    /// How long it takes requests after it said that it leaves; 2 s by default.
    pub leave_grace: Duration,
    /// Where it loads weights from; by default they are there at once.
    pub weight_store: Option<SocketAddr>,
    /// The fault that is switched on from the start; none by default.
    pub fault: FaultOrder,
}

impl EngineConfig {
    /// An engine of one model with the default settings.
    pub fn new(
        name: BackendName,
        region: RegionName,
        domain: FailureDomain,
        model: ModelName,
    ) -> Self {
        Self {
            name,
            region,
            domain,
            models: vec![model],
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            limits: EngineLimits::default(),
            fencing: FencingMode::default(),
            incarnation: None,
            gateways: Vec::new(),
            token: None,
            leave_grace: DEFAULT_LEAVE_GRACE,
            weight_store: None,
            fault: FaultOrder::default(),
        }
    }

    /// Replaces the gateways it announces itself to.
    pub fn gateways(mut self, gateways: Vec<SocketAddr>) -> Self {
        self.gateways = gateways;
        self
    }

    /// Replaces what it can do.
    pub fn limits(mut self, limits: EngineLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Replaces where it listens.
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Switches a fault on from the start.
    pub fn fault(mut self, fault: FaultOrder) -> Self {
        self.fault = fault;
        self
    }
}
