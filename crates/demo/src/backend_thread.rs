//! The backend servers of one region, in one thread.

use {
    crate::{
        BackendPlan, DemoError,
        host::{ThreadBody, ThreadHost},
    },
    futures::channel::oneshot,
    gullglade_stub::{
        EngineConfig, EngineHandle, FaultOrder, RunStats, ServiceConfig, ServiceHandle, StubEngine,
        StubService,
    },
    gullglade_units::{BackendName, FailureDomain, ProcessContext, RegionName},
    std::{net::SocketAddr, rc::Rc},
};

/// Where a backend server listens.
#[derive(Clone, Debug)]
pub struct BackendAddress {
    /// Its name.
    pub name: BackendName,
    /// Where it takes requests.
    pub address: SocketAddr,
}

pub(crate) enum BackendCommand {
    Stats(oneshot::Sender<Vec<(BackendName, RunStats)>>),
    Fault(BackendName, FaultOrder, oneshot::Sender<()>),
    Leave(BackendName, oneshot::Sender<()>),
    Kill(BackendName, oneshot::Sender<()>),
}

/// The backend servers of one region.
pub struct BackendThread {
    region: RegionName,
    backends: Vec<BackendAddress>,
    host: ThreadHost<BackendCommand>,
}

impl BackendThread {
    /// Starts the stand-ins; they announce themselves to `gateways`.
    pub(crate) async fn start(
        region: RegionName,
        plans: Vec<BackendPlan>,
        gateways: Vec<SocketAddr>,
    ) -> Result<Self, DemoError> {
        let name = format!("backends-{region}");
        let (host, backends) = ThreadHost::start::<BackendBody>(name, (plans, gateways)).await?;
        Ok(Self { region, backends, host })
    }

    /// The region.
    pub fn region(&self) -> &RegionName {
        &self.region
    }

    /// The backend servers.
    pub fn backends(&self) -> &[BackendAddress] {
        &self.backends
    }

    /// What each ran.
    pub async fn stats(&self) -> Result<Vec<(BackendName, RunStats)>, DemoError> {
        self.host.ask(BackendCommand::Stats).await
    }

    /// Switches a fault of one on or off.
    pub async fn set_fault(&self, name: &BackendName, order: FaultOrder) -> Result<(), DemoError> {
        self.host.ask(|reply| BackendCommand::Fault(name.clone(), order, reply)).await
    }

    /// Lets one leave gracefully; completes when it has told a gateway so.
    pub async fn leave(&self, name: &BackendName) -> Result<(), DemoError> {
        self.host.ask(|reply| BackendCommand::Leave(name.clone(), reply)).await
    }

    /// Kills one.
    pub async fn kill(&self, name: &BackendName) -> Result<(), DemoError> {
        self.host.ask(|reply| BackendCommand::Kill(name.clone(), reply)).await
    }
}

/// One stand-in of either kind.
#[derive(Clone)]
enum StandIn {
    Engine(Rc<EngineHandle>),
    Service(Rc<ServiceHandle>),
}

impl StandIn {
    fn name(&self) -> &BackendName {
        match self {
            Self::Engine(engine) => engine.name(),
            Self::Service(service) => service.name(),
        }
    }

    fn address(&self) -> BackendAddress {
        let address = match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        };
        BackendAddress { name: self.name().clone(), address }
    }

    fn stats(&self) -> RunStats {
        match self {
            Self::Engine(engine) => engine.stats(),
            Self::Service(service) => service.stats(),
        }
    }

    fn set_fault(&self, order: FaultOrder) {
        match self {
            Self::Engine(engine) => engine.set_fault(order),
            Self::Service(service) => service.set_fault(order),
        }
    }

    async fn leave(self) {
        match self {
            Self::Engine(engine) => engine.leave().await,
            Self::Service(service) => service.leave().await,
        }
    }

    fn kill(&self) {
        match self {
            Self::Engine(engine) => engine.kill(),
            Self::Service(service) => service.kill(),
        }
    }
}

struct BackendBody {
    stand_ins: Vec<StandIn>,
}

impl ThreadBody<BackendCommand> for BackendBody {
    type Input = (Vec<BackendPlan>, Vec<SocketAddr>);
    type Started = Vec<BackendAddress>;

    async fn start((plans, gateways): Self::Input) -> Result<(Self, Vec<BackendAddress>), String> {
        let context = ProcessContext::system();
        let start = |plan| start_one(plan, &gateways, &context);
        let stand_ins = plans.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
        let addresses = stand_ins.iter().map(StandIn::address).collect();
        Ok((Self { stand_ins }, addresses))
    }

    async fn serve(&mut self, command: BackendCommand) -> bool {
        match command {
            BackendCommand::Stats(reply) => {
                let stats = self.stand_ins.iter().map(|s| (s.name().clone(), s.stats()));
                let _gone = reply.send(stats.collect());
            }
            BackendCommand::Fault(name, order, reply) => {
                self.each(&name, |stand_in| stand_in.set_fault(order));
                let _gone = reply.send(());
            }
            BackendCommand::Leave(name, reply) => {
                self.each(&name, |stand_in| drop(monoio::spawn(stand_in.clone().leave())));
                let _gone = reply.send(());
            }
            BackendCommand::Kill(name, reply) => {
                self.each(&name, StandIn::kill);
                let _gone = reply.send(());
            }
        }
        true
    }
}

impl BackendBody {
    fn each(&self, name: &BackendName, work: impl FnMut(&StandIn)) {
        self.stand_ins.iter().filter(|stand_in| stand_in.name() == name).for_each(work);
    }
}

fn start_one(
    plan: BackendPlan,
    gateways: &[SocketAddr],
    context: &ProcessContext,
) -> Result<StandIn, String> {
    let domain = FailureDomain::try_from(plan.region().as_str()).map_err(|e| e.to_string())?;
    match plan {
        BackendPlan::Engine { name, region, model, limits } => {
            let config = EngineConfig::new(name, region, domain, model)
                .limits(limits)
                .gateways(gateways.to_vec());
            let engine = StubEngine::start(config, context.clone()).map_err(|e| e.to_string())?;
            Ok(StandIn::Engine(Rc::new(engine)))
        }
        BackendPlan::Service { name, region, service } => {
            let config =
                ServiceConfig::new(name, region, domain, service).gateways(gateways.to_vec());
            let service = StubService::start(config, context.clone()).map_err(|e| e.to_string())?;
            Ok(StandIn::Service(Rc::new(service)))
        }
    }
}
