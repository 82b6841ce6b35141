//! Control processes on simulated clocks, a simulated network and simulated disks.

use {
    super::disk::FakeDisk,
    gullglade_control::{
        ChangeError, ChangeOutcome, ChangeRequest, ControlConfig, ControlError, ControlNode,
        InitialVoter, SeedSettings,
    },
    gullglade_event::{EventSink, MemorySink},
    gullglade_peer::{
        HandlerTable, PeerIdentity,
        fake::{FakeNetwork, FakeNode, FakePolicy, FakeTransport},
    },
    gullglade_units::{
        ChangeId, FailureDomain, HybridClock, Incarnation, RandomSource, RegionName, ServiceName,
        VmName,
        fake::{FakeProcess, FakeWorld},
    },
    std::{
        cell::{Cell, RefCell},
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
};

/// The time that a sync of a simulated disk takes.
pub const SYNC_DELAY: Duration = Duration::from_millis(2);

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, index as u8 + 1]), 8082)
}

pub fn vm(index: usize) -> VmName {
    VmName::try_from(format!("vm-{index}")).expect("a name")
}

pub fn region(index: usize) -> RegionName {
    RegionName::try_from(format!("region-{index}")).expect("a name")
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

/// Builds a small valid document whose only workspace is named `note`.
pub fn document(service: &str, note: &str) -> Rc<str> {
    let token = "ab".repeat(32);
    format!(
        r#"{{"service":"{service}","regions":["puget"],"models":[{{"name":"quote"}}],
        "workspaces":[{{"name":"{note}","token_sha256":["{token}"]}}]}}"#
    )
    .into()
}

pub fn change(id: &str, name: &str, base: u64, note: &str) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::try_from(id.to_owned()).expect("an id"),
        service: service(name),
        base,
        text: Some(document(name, note)),
        author: "clerk".to_owned(),
    }
}

/// A process that runs or has run on a VM.
pub struct RunningNode {
    pub process: FakeProcess,
    pub node: Option<ControlNode>,
    pub refused: Option<ControlError>,
}

/// A VM with its disk.
pub struct ControlVm {
    pub index: usize,
    pub disk: RefCell<Rc<FakeDisk>>,
    pub running: RefCell<Option<RunningNode>>,
    pub starts: Cell<u64>,
    /// Whether no process may be started on this VM any more.
    pub is_retired: Cell<bool>,
}

/// A set of control VMs.
pub struct Cluster {
    pub world: FakeWorld,
    pub network: FakeNetwork,
    pub events: Rc<MemorySink>,
    pub vms: Vec<ControlVm>,
    pub config: Box<dyn Fn(ControlConfig) -> ControlConfig>,
    /// The number of VMs that are seeds; 0 if the voters are listed.
    pub seeds: Cell<usize>,
    /// Whether started processes are told that this is the first start of the deployment.
    pub is_first_start: Cell<bool>,
    voters: usize,
}

impl Cluster {
    /// Creates `voters` VMs that found the log and `spares` that are not part of it. No process is
    /// started.
    pub fn new(seed: u64, voters: usize, spares: usize, policy: Rc<dyn FakePolicy>) -> Self {
        let (world, _) = FakeWorld::new(seed);
        let vm = |index| ControlVm {
            index,
            disk: RefCell::new(FakeDisk::new()),
            running: RefCell::default(),
            starts: Cell::new(0),
            is_retired: Cell::new(false),
        };
        Self {
            network: FakeNetwork::new(policy),
            world,
            events: Rc::default(),
            vms: (0..voters + spares).map(vm).collect(),
            config: Box::new(|config| config),
            seeds: Cell::new(0),
            is_first_start: Cell::new(false),
            voters,
        }
    }

    /// Starts a cluster of three members on a network with `policy`, and waits for a leader.
    pub fn started(seed: u64, policy: Rc<dyn FakePolicy>) -> Self {
        let cluster = Self::new(seed, 3, 1, policy);
        (0..3).for_each(|i| cluster.start(i));
        cluster.wait_for_leader();
        cluster
    }

    pub fn join(&self, index: usize, process: &FakeProcess) -> (FakeTransport, Rc<HandlerTable>) {
        let handlers = Rc::new(HandlerTable::new());
        let transport = self.network.join(FakeNode {
            address: address(index),
            identity: PeerIdentity {
                vm: vm(index),
                region: region(index),
                domain: FailureDomain::try_from("d").expect("a name"),
                incarnation: Incarnation(self.world.now().0.as_micros() as u64),
            },
            context: process.context().clone(),
            clock: Rc::new(HybridClock::default()),
            handlers: Rc::clone(&handlers),
        });
        (transport, handlers)
    }

    fn config_of(&self, index: usize) -> ControlConfig {
        if self.seeds.get() > 0 {
            let settings = SeedSettings {
                own: address(index),
                seeds: (0..self.seeds.get()).map(address).collect(),
                is_first_start: self.is_first_start.get(),
                max_voters: 5,
            };
            let config = ControlConfig::seeded("prod", vm(index), region(index), settings);
            return (self.config)(config.trust_disk());
        }
        let voters = (0..self.voters).map(|i| InitialVoter { vm: vm(i), address: address(i) });
        (self.config)(ControlConfig::new("prod", vm(index), region(index), voters.collect()))
    }

    /// Starts a process on a VM.
    pub fn start(&self, index: usize) {
        let control_vm = &self.vms[index];
        control_vm.starts.set(control_vm.starts.get() + 1);
        let process = self.world.process();
        let (transport, handlers) = self.join(index, &process);
        let disk = Rc::clone(&control_vm.disk.borrow());
        disk.set_delay(Rc::clone(&process.context().clock), SYNC_DELAY);
        let events: Rc<dyn EventSink> = self.events.clone();
        let context = process.context().clone();
        let started = self.world.run_until(ControlNode::start(
            self.config_of(index),
            context,
            Rc::new(transport),
            disk,
            events,
        ));
        let (node, refused) = match started {
            Ok(node) => {
                node.serve(&handlers);
                (Some(node), None)
            }
            Err(error) => (None, Some(error)),
        };
        *control_vm.running.borrow_mut() = Some(RunningNode { process, node, refused });
    }

    /// Kills the process. All its writes remain, synced or not.
    pub fn kill(&self, index: usize) {
        if let Some(running) = self.vms[index].running.borrow_mut().take() {
            running.process.kill();
            self.network.leave(address(index));
        }
    }

    /// Takes the power from a VM: unsynced writes are lost or torn.
    pub fn lose_power(&self, index: usize, random: &dyn RandomSource) {
        self.kill(index);
        self.vms[index].disk.borrow().lose_power(random);
    }

    /// Replaces the disk of a VM, which must not be running, by an empty one.
    pub fn empty_disk(&self, index: usize) {
        *self.vms[index].disk.borrow_mut() = FakeDisk::new();
    }

    pub fn node(&self, index: usize) -> Option<ControlNode> {
        self.vms[index].running.borrow().as_ref().and_then(|r| r.node.clone())
    }

    pub fn running(&self) -> Vec<(usize, ControlNode)> {
        (0..self.vms.len()).filter_map(|i| Some((i, self.node(i)?))).collect()
    }

    /// Returns the running process that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let statuses = self.running().into_iter().map(|(i, n)| (i, n.status()));
        statuses.filter(|(_, s)| s.is_leader).max_by_key(|(_, s)| s.term).map(|(i, _)| i)
    }

    /// Runs until `check` holds. Panics after a minute.
    pub fn wait_until(&self, what: &str, check: impl Fn(&Self) -> bool) {
        for _ in 0..6_000 {
            if check(self) {
                return;
            }
            self.world.run_for(Duration::from_millis(10));
        }
        let statuses: Vec<_> = self.running().into_iter().map(|(i, n)| (i, n.status())).collect();
        panic!(
            "not within a minute: {what}; members: {statuses:#?}; events: {:#?}",
            self.events.lines()
        );
    }

    pub fn wait_for_leader(&self) -> usize {
        self.wait_until("a leader", |c| c.leader().is_some_and(|i| c.is_settled(i)));
        self.leader().expect("a leader")
    }

    /// Returns whether the leader at `index` has committed an entry of its term.
    fn is_settled(&self, index: usize) -> bool {
        let Some(node) = self.node(index) else { return false };
        let status = node.status();
        status.commit == status.last
    }

    pub fn change(&self, at: usize, request: ChangeRequest) -> Result<ChangeOutcome, ChangeError> {
        let node = self.node(at).expect("a running node");
        self.world.run_until(node.change(request))
    }

    pub fn accepted(&self, at: usize, request: ChangeRequest) -> u64 {
        match self.change(at, request.clone()) {
            Ok(ChangeOutcome::Accepted(change)) => change.version,
            other => panic!("{request:?} was not accepted: {other:?}"),
        }
    }

    /// Returns the version of a service that is applied on a VM.
    pub fn version(&self, at: usize, name: &str) -> u64 {
        let node = self.node(at).expect("a running node");
        node.read(|state| state.service(&service(name)).map_or(0, |s| s.change.version))
    }
}
