//! Settings of one stand-in plain service.

use {
    crate::{announcer::DEFAULT_LEAVE_GRACE, fault::FaultOrder},
    gullglade_units::{BackendName, FailureDomain, Incarnation, RegionName, ServiceName},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Settings of one stand-in plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Its name, unique in its region.
    pub name: BackendName,
    /// The region it stands in.
    pub region: RegionName,
    /// The failure domain inside the region.
    pub domain: FailureDomain,
    /// The services it serves.
    pub services: Vec<ServiceName>,
    /// Where it listens; loopback and a free port by default.
    pub listen: SocketAddr,
    /// Requests it works on at once; 8 by default.
    pub slots: usize,
    /// How long one request takes; 5 ms by default.
    pub service_time: Duration,
    /// The run it announces; milliseconds of the wall clock at its start by default.
    pub incarnation: Option<Incarnation>,
    /// The gateways it announces itself to, the first that answers; none by default.
    pub gateways: Vec<SocketAddr>,
    /// The bearer token of its announcements; none by default.
    pub token: Option<String>,
    /// How long it takes requests after it said that it leaves; 2 s by default.
    pub leave_grace: Duration,
    /// The fault that is switched on from the start; none by default.
    pub fault: FaultOrder,
}

impl ServiceConfig {
    /// A server of one service with the default settings.
    pub fn new(
        name: BackendName,
        region: RegionName,
        domain: FailureDomain,
        service: ServiceName,
    ) -> Self {
        Self {
            name,
            region,
            domain,
            services: vec![service],
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 8,
            service_time: Duration::from_millis(5),
            incarnation: None,
            gateways: Vec::new(),
            token: None,
            leave_grace: DEFAULT_LEAVE_GRACE,
            fault: FaultOrder::default(),
        }
    }

    /// Replaces the gateways it announces itself to.
    pub fn gateways(mut self, gateways: Vec<SocketAddr>) -> Self {
        self.gateways = gateways;
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
