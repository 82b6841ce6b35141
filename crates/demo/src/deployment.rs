//! A running deployment.

use {
    crate::{
        BackendCount, BackendPlan, BackendThread, DemoError, DeploymentPlan, GatewayThread,
        gateway_thread::{GatewayInput, NeighbourGateway, NeighbourList, listen_ports},
    },
    gullglade_units::{ProcessContext, RegionName},
    std::{net::SocketAddr, time::Duration},
};

/// How often a condition is looked at while it is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Gateways and backend servers, each region's announced to its own gateways.
pub struct Deployment {
    plan: DeploymentPlan,
    gateways: Vec<GatewayThread>,
    backends: Vec<BackendThread>,
}

impl Deployment {
    /// Starts everything and waits until every gateway knows its region's backend servers. To be
    /// called inside a monoio runtime.
    pub async fn start(plan: DeploymentPlan) -> Result<Self, DemoError> {
        let mut gateways = Vec::new();
        for (number, gateway) in plan.gateways.iter().enumerate() {
            let input = GatewayInput {
                plan: gateway.clone(),
                documents: plan.documents.clone(),
                listen: listen_ports(plan.port_base, number),
                seeds: gateways.iter().map(|g: &GatewayThread| g.addresses().peer).collect(),
            };
            gateways.push(GatewayThread::start(input).await?);
        }
        let mut deployment = Self { plan, gateways, backends: Vec::new() };
        deployment.introduce().await?;
        deployment.start_backends().await?;
        Ok(deployment)
    }

    /// Starts the gateway on `vm` again, with an empty memory and new ports, and waits until it
    /// knows what it must. The old one is killed.
    pub async fn restart(&mut self, vm: &str) -> Result<(), DemoError> {
        let number = self.number_of(vm);
        self.gateways[number].kill().await?;
        let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != number);
        let input = GatewayInput {
            plan: self.plan.gateways[number].clone(),
            documents: self.plan.documents.clone(),
            listen: listen_ports(None, number),
            seeds: others.map(|(_, gateway)| gateway.addresses().peer).collect(),
        };
        self.gateways[number] = GatewayThread::start(input).await?;
        self.wait_for_backends(&self.gateways[number]).await
    }

    fn number_of(&self, vm: &str) -> usize {
        let found = self.plan.gateways.iter().position(|gateway| gateway.vm.as_str() == vm);
        found.unwrap_or_else(|| panic!("the plan has no VM {vm}"))
    }

    async fn wait_for_backends(&self, gateway: &GatewayThread) -> Result<(), DemoError> {
        let wanted = self.wanted_backends(&gateway.plan().region);
        while gateway.backends().await? != wanted {
            monoio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    async fn introduce(&self) -> Result<(), DemoError> {
        let neighbours: Vec<NeighbourGateway> = self
            .gateways
            .iter()
            .map(|gateway| NeighbourGateway {
                vm: gateway.plan().vm.clone(),
                region: gateway.plan().region.clone(),
                peer_address: gateway.addresses().peer,
            })
            .collect();
        let list = NeighbourList {
            gateways: neighbours,
            created: ProcessContext::system().clock.wall(),
            region_delay: self.plan.region_delay,
        };
        for gateway in &self.gateways {
            gateway.set_neighbours(list.clone()).await?;
        }
        Ok(())
    }

    async fn start_backends(&mut self) -> Result<(), DemoError> {
        for region in self.plan.regions() {
            let of_region = |b: &&BackendPlan| *b.region() == region;
            let plans: Vec<_> = self.plan.backends.iter().filter(of_region).cloned().collect();
            let announce_to = self.caller_addresses(&region);
            self.backends.push(BackendThread::start(region, plans, announce_to).await?);
        }
        for gateway in &self.gateways {
            self.wait_for_backends(gateway).await?;
        }
        Ok(())
    }

    /// What a gateway of `region` must know of before the deployment counts as started.
    fn wanted_backends(&self, region: &RegionName) -> BackendCount {
        let near = self.plan.backends.iter().filter(|b| b.region() == region).count();
        BackendCount { near, far: self.plan.backends.len() - near }
    }

    /// What it consists of.
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// The gateways.
    pub fn gateways(&self) -> &[GatewayThread] {
        &self.gateways
    }

    /// The gateway on `vm`.
    ///
    /// # Panics
    /// Where the plan has no such VM.
    pub fn gateway(&self, vm: &str) -> &GatewayThread {
        &self.gateways[self.number_of(vm)]
    }

    /// The backend servers, by region.
    pub fn backends(&self) -> &[BackendThread] {
        &self.backends
    }

    /// The backend servers of `region`.
    ///
    /// # Panics
    /// Where the plan has no such region.
    pub fn region(&self, region: &str) -> &BackendThread {
        let found = self.backends.iter().find(|b| b.region().as_str() == region);
        found.unwrap_or_else(|| panic!("the plan has no region {region}"))
    }

    /// Where callers reach the gateways of `region`.
    pub fn caller_addresses(&self, region: &RegionName) -> Vec<SocketAddr> {
        let of_region = self.gateways.iter().filter(|g| g.plan().region == *region);
        of_region.map(|g| g.addresses().caller).collect()
    }

    /// Cuts `region` off from all others, or heals the cut.
    pub async fn set_partition(&self, region: &RegionName, cut: bool) -> Result<(), DemoError> {
        for gateway in &self.gateways {
            let inside = gateway.plan().region == *region;
            let across = self
                .gateways
                .iter()
                .filter(|other| (other.plan().region == *region) != inside)
                .map(|other| other.addresses().peer)
                .collect();
            gateway.set_cut(across, cut).await?;
        }
        Ok(())
    }
}
