//! The configuration of a process: its replica, and where it has that role, its control process.

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

/// Who a process is towards control.
#[derive(Clone, Debug)]
pub struct ConfigSettings {
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Name of this VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Where other processes reach it.
    pub peer_address: SocketAddr,
    /// The voters that found the log.
    pub voters: Vec<(VmName, SocketAddr)>,
}

/// The gateways of a region, as the directory knows them.
struct DirectoryPeers {
    directory: RelayDirectory,
    region: RegionName,
}

impl RegionPeers for DirectoryPeers {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.directory.gateway_addresses(&self.region)
    }
}

/// The replica of a process, and its control process if it has one.
pub struct ConfigPart {
    settings: ConfigSettings,
    context: ProcessContext,
    replica: Rc<ConfigReplica>,
}

impl ConfigPart {
    /// A part that follows nothing yet. Its [`replica`](Self::replica) is the gateway's
    /// configuration.
    pub fn new(settings: ConfigSettings, context: ProcessContext) -> Self {
        let controls = settings.voters.iter().map(|(_, address)| *address).collect();
        let (vm, region) = (settings.vm.clone(), settings.region.clone());
        let config = ReplicaConfig::new(vm, region, settings.peer_address, controls);
        let replica = ConfigReplica::new(config, context.clone());
        Self { settings, context, replica }
    }

    /// The configuration that this process has in force.
    pub fn replica(&self) -> &Rc<ConfigReplica> {
        &self.replica
    }

    /// Joins the parts to a started process. With a data folder it is a control process too.
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
        let follow = follow_groups(Rc::clone(&self.replica), Rc::clone(&events), node.adopter());
        self.context.spawner.spawn(Box::pin(follow));
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
