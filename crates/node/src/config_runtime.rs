//! Configuration replica of a process and, where it has the control role, its control process.

use {
    crate::{
        ClaimRoutes, ConfigRoutes, GatewayNode, StartError, claim_groups::follow_groups,
        error::ControlStart,
    },
    gullglade_control::{
        ConfigReplica, ControlConfig, ControlError, ControlNode, DataFolder, InitialVoter,
        RegionPeers, ReplicaConfig,
    },
    gullglade_event::EventSink,
    gullglade_gateway::{RegionDirectory, RelayDirectory},
    gullglade_peer::PeerTransport,
    gullglade_units::{ClusterName, ProcessContext, RegionName, VmName},
    snafu::ResultExt,
    std::{net::SocketAddr, rc::Rc},
};

/// Settings of the configuration replica and the control process.
#[derive(Clone, Debug)]
pub struct ConfigSettings {
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Name of this VM.
    pub vm: VmName,
    /// Region of this VM.
    pub region: RegionName,
    /// Address at which other processes reach this one.
    pub peer_address: SocketAddr,
    /// Initial voters of the replicated log, by VM and peer address.
    pub voters: Vec<(VmName, SocketAddr)>,
}

/// Looks up the gateways of a region in the relay directory.
struct DirectoryPeers {
    directory: RelayDirectory,
    region: RegionName,
}

impl RegionPeers for DirectoryPeers {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.directory.gateway_addresses(&self.region)
    }
}

/// Configuration replica of a process, which can also start a control process.
pub struct ConfigRuntime {
    settings: ConfigSettings,
    context: ProcessContext,
    replica: Rc<ConfigReplica>,
}

impl ConfigRuntime {
    /// Creates a replica that does not receive updates until [`start`](Self::start) is called. Use
    /// [`replica`](Self::replica) as the configuration source of the gateway.
    pub fn new(settings: ConfigSettings, context: ProcessContext) -> Self {
        let control_addresses = settings.voters.iter().map(|(_, address)| *address).collect();
        let (vm, region) = (settings.vm.clone(), settings.region.clone());
        let config = ReplicaConfig::new(vm, region, settings.peer_address, control_addresses);
        let replica = ConfigReplica::new(config, context.clone());
        Self { settings, context, replica }
    }

    /// Returns the configuration replica of this process.
    pub fn replica(&self) -> &Rc<ConfigReplica> {
        &self.replica
    }

    /// Connects the replica to a started gateway and registers the operator routes. With a data
    /// folder, also starts a control process and returns it.
    pub async fn start(
        &self,
        node: &GatewayNode,
        folder: Option<Rc<dyn DataFolder>>,
    ) -> Result<Option<ControlNode>, StartError> {
        let transport = Rc::clone(node.transport()) as Rc<dyn PeerTransport>;
        let events = Rc::clone(node.events()) as Rc<dyn EventSink>;
        let control = match folder {
            Some(folder) => {
                let started =
                    self.start_control(Rc::clone(&transport), folder, Rc::clone(&events)).await;
                Some(started.context(ControlStart)?)
            }
            None => None,
        };
        match &control {
            Some(control) => control.serve(node.handlers()),
            None => self.replica.serve(node.handlers()),
        }
        let region = self.settings.region.clone();
        let directory =
            RelayDirectory::new(region.clone(), node.relay().clone(), self.context.clone());
        let peers = DirectoryPeers { directory, region };
        let group_updates =
            follow_groups(Rc::clone(&self.replica), Rc::clone(&events), node.claim_group_adopter());
        self.context.spawner.spawn(Box::pin(group_updates));
        self.replica.start(transport, Rc::new(peers), events);
        self.add_routes(node, control.as_ref());
        Ok(control)
    }

    fn add_routes(&self, node: &GatewayNode, control: Option<&ControlNode>) {
        let (replica, control) = (Rc::clone(&self.replica), control.cloned());
        let (vm, claims) = (self.settings.vm.clone(), Rc::clone(node.claims()));
        let routes = ClaimRoutes::new(vm, Rc::clone(&replica), claims, control.clone());
        node.operator().register(ClaimRoutes::PREFIX, Rc::new(routes));
        let routes = Rc::new(ConfigRoutes::new(replica, control));
        for prefix in ConfigRoutes::PREFIXES {
            node.operator().register(prefix, Rc::clone(&routes) as _);
        }
    }

    async fn start_control(
        &self,
        transport: Rc<dyn PeerTransport>,
        folder: Rc<dyn DataFolder>,
        events: Rc<dyn EventSink>,
    ) -> Result<ControlNode, ControlError> {
        let settings = &self.settings;
        let voter = |(vm, address): &(VmName, SocketAddr)| InitialVoter {
            vm: vm.clone(),
            address: *address,
        };
        let config = ControlConfig::new(
            settings.cluster.as_str(),
            settings.vm.clone(),
            settings.region.clone(),
            settings.voters.iter().map(voter).collect(),
        );
        ControlNode::start(config, self.context.clone(), transport, folder, events).await
    }
}
