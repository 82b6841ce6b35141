//! A lease source and engines for tests, in virtual time.

// Each test binary uses a different part of this module.
#![allow(dead_code)]

use {
    gullglade_backend::FencingMode,
    gullglade_event::NullSink,
    gullglade_order::{
        EngineOrder, EngineOrders, EngineTarget, FenceNumber, LeaseError, LeaseGrant, LeaseSource,
        OrderAction, OrderDispatcher, OrderError, OrderOutcome, OrderSettings, PlatformClient,
        PlatformError, PlatformOrder,
    },
    gullglade_units::{
        BackendName, ChangeId, LocalFuture, ModelName, MonotonicTime, VmName,
        fake::{FakeProcess, FakeWorld},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Duration of the source's leases.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(10);

/// One-way delay of a call to an engine or to the source.
const DELAY: Duration = Duration::from_millis(55);

/// State of the lease in the control log.
#[derive(Default)]
pub(crate) struct LeaseState {
    fence: Cell<u64>,
    holder: RefCell<Option<VmName>>,
    ends: Cell<MonotonicTime>,
}

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRecord {
    pub(crate) at: MonotonicTime,
    pub(crate) fence: FenceNumber,
    pub(crate) id: ChangeId,
    pub(crate) bytes: u64,
}

#[derive(Default)]
struct FakeEngine {
    checks: bool,
    highest: FenceNumber,
    records: Vec<EngineRecord>,
    /// Number of answers still to lose.
    lost_answers: usize,
}

/// The lease, the engines and the virtual time that all VMs share.
pub(crate) struct OrderWorld {
    pub(crate) world: FakeWorld,
    pub(crate) settings: OrderSettings,
    lease_state: Rc<LeaseState>,
    engines: Rc<RefCell<BTreeMap<BackendName, FakeEngine>>>,
}

/// A VM that may hold the lease.
pub(crate) struct OrderVm {
    pub(crate) process: FakeProcess,
    pub(crate) dispatcher: OrderDispatcher,
    /// True while the VM is partitioned from the control log.
    pub(crate) cut_off: Rc<Cell<bool>>,
    /// Additional delay of the VM's orders to engines, and of the source's answers to the VM.
    pub(crate) extra_delay: Rc<Cell<Duration>>,
}

struct FakeSource {
    process: FakeProcess,
    lease_state: Rc<LeaseState>,
    cut_off: Rc<Cell<bool>>,
    extra_delay: Rc<Cell<Duration>>,
}

impl FakeSource {
    async fn reach(&self) -> Result<(), LeaseError> {
        self.process.context().clock.sleep(DELAY).await;
        match self.cut_off.get() {
            false => Ok(()),
            true => Err(LeaseError::Unavailable { reason: "partitioned".to_owned() }),
        }
    }

    async fn answer(&self) {
        self.process.context().clock.sleep(DELAY + self.extra_delay.get()).await;
    }

    fn now(&self) -> MonotonicTime {
        self.process.context().clock.now()
    }
}

impl LeaseSource for FakeSource {
    fn acquire<'a>(&'a self, vm: &'a VmName) -> LocalFuture<'a, Result<LeaseGrant, LeaseError>> {
        Box::pin(async move {
            self.reach().await?;
            let (lease_state, now) = (&self.lease_state, self.now());
            let holder = lease_state.holder.borrow().clone();
            if let Some(holder) =
                holder.filter(|holder| holder != vm && lease_state.ends.get() > now)
            {
                let fence = FenceNumber(lease_state.fence.get());
                return Err(LeaseError::Held { holder, fence });
            }
            let predecessor_left = lease_state.ends.get().since(now);
            lease_state.fence.set(lease_state.fence.get() + 1);
            *lease_state.holder.borrow_mut() = Some(vm.clone());
            lease_state.ends.set(now + LEASE_DURATION);
            let fence = FenceNumber(lease_state.fence.get());
            self.answer().await;
            Ok(LeaseGrant { fence, duration: LEASE_DURATION, predecessor_left })
        })
    }

    fn renew(&self, fence: FenceNumber) -> LocalFuture<'_, Result<Duration, LeaseError>> {
        Box::pin(async move {
            self.reach().await?;
            if fence != FenceNumber(self.lease_state.fence.get()) {
                return Err(LeaseError::Lost { fence });
            }
            self.lease_state.ends.set(self.now() + LEASE_DURATION);
            self.answer().await;
            Ok(LEASE_DURATION)
        })
    }
}

struct FakePlatform {
    process: FakeProcess,
    engines: Rc<RefCell<BTreeMap<BackendName, FakeEngine>>>,
    extra_delay: Rc<Cell<Duration>>,
}

impl PlatformClient for FakePlatform {
    fn send<'a>(
        &'a self,
        target: &'a EngineTarget,
        order: &'a PlatformOrder,
    ) -> LocalFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let clock = Rc::clone(&self.process.context().clock);
            clock.sleep(DELAY + self.extra_delay.get()).await;
            let backend = target.backend.clone();
            {
                let mut engines = self.engines.borrow_mut();
                let engine = engines.get_mut(&backend).expect("a known engine");
                if engine.checks && order.fence < engine.highest {
                    return Err(PlatformError::StaleFence { backend, seen: engine.highest });
                }
                engine.highest = engine.highest.max(order.fence);
                let (id, bytes) = (order.id.clone(), order.action.weight_bytes());
                let record = EngineRecord { at: clock.now(), fence: order.fence, id, bytes };
                engine.records.push(record);
                if engine.lost_answers > 0 {
                    engine.lost_answers -= 1;
                    let reason = "answer lost".to_owned();
                    return Err(PlatformError::Unanswered { backend, reason });
                }
            }
            clock.sleep(DELAY).await;
            Ok(())
        })
    }

    fn orders<'a>(
        &'a self,
        target: &'a EngineTarget,
    ) -> LocalFuture<'a, Result<EngineOrders, PlatformError>> {
        Box::pin(async move {
            self.process.context().clock.sleep(DELAY * 2).await;
            let engines = self.engines.borrow();
            let engine = &engines[&target.backend];
            let taken = engine.records.iter().map(|record| record.id.clone()).collect();
            Ok(EngineOrders { fence: engine.highest, taken })
        })
    }
}

impl OrderWorld {
    pub(crate) fn new(seed: u64, settings: OrderSettings) -> Self {
        let (world, _) = FakeWorld::new(seed);
        let engines: BTreeMap<_, _> = [("checks", true), ("ignores", false)]
            .map(|(name, checks)| (backend(name), FakeEngine { checks, ..Default::default() }))
            .into();
        Self {
            world,
            settings,
            lease_state: Rc::default(),
            engines: Rc::new(RefCell::new(engines)),
        }
    }

    /// Starts a VM that tries to acquire the lease from now on.
    pub(crate) fn vm(&self, name: &str) -> OrderVm {
        let process = self.world.process();
        let (cut_off, extra_delay) =
            (Rc::new(Cell::new(false)), Rc::new(Cell::new(Duration::ZERO)));
        let source = FakeSource {
            process: process.clone(),
            lease_state: Rc::clone(&self.lease_state),
            cut_off: Rc::clone(&cut_off),
            extra_delay: Rc::clone(&extra_delay),
        };
        let engines = Rc::clone(&self.engines);
        let platform = FakePlatform {
            process: process.clone(),
            engines,
            extra_delay: Rc::clone(&extra_delay),
        };
        let context = process.context().clone();
        let dispatcher = OrderDispatcher::new(
            context.clone(),
            self.settings,
            VmName::try_from(name).unwrap(),
            Rc::new(source),
            Rc::new(platform),
            Rc::new(NullSink),
        );
        context.spawner.spawn(Box::pin(dispatcher.clone().run()));
        OrderVm { process, dispatcher, cut_off, extra_delay }
    }

    /// Revokes the lease from its holder at once, as an operator can.
    pub(crate) fn revoke(&self) {
        *self.lease_state.holder.borrow_mut() = None;
    }

    pub(crate) fn lose_answers(&self, engine: &str, count: usize) {
        self.engines.borrow_mut().get_mut(&backend(engine)).unwrap().lost_answers = count;
    }

    /// Returns the orders that reached an engine, in the order of arrival.
    pub(crate) fn records(&self, engine: &str) -> Vec<EngineRecord> {
        self.engines.borrow()[&backend(engine)].records.clone()
    }

    /// Submits an order and waits for its outcome.
    pub(crate) fn submit(
        &self,
        vm: &OrderVm,
        order: EngineOrder,
    ) -> Result<OrderOutcome, OrderError> {
        self.world.run_until(vm.dispatcher.submit(order))
    }

    /// Submits an order without waiting for its outcome.
    pub(crate) fn start(&self, vm: &OrderVm, order: EngineOrder) {
        let dispatcher = vm.dispatcher.clone();
        vm.process.context().spawner.spawn(Box::pin(async move {
            let _outcome = dispatcher.submit(order).await;
        }));
    }

    /// Returns a description of the first engine, if any, that obeyed an older holder after a newer
    /// one.
    pub(crate) fn ordering_fault(&self) -> Option<String> {
        self.engines.borrow().iter().find_map(|(name, engine)| {
            let back = engine.records.windows(2).find(|pair| pair[1].fence < pair[0].fence)?;
            Some(format!("engine {name} obeyed an old holder: {back:?}"))
        })
    }
}

fn backend(name: &str) -> BackendName {
    BackendName::try_from(name).unwrap()
}

/// Returns an order with id `text` to load a model of `bytes`.
pub(crate) fn load(text: &str, engine: &str, bytes: u64) -> EngineOrder {
    let fencing = if engine == "checks" { FencingMode::Checks } else { FencingMode::Ignores };
    EngineOrder {
        id: ChangeId::try_from(text.to_owned()).unwrap(),
        target: EngineTarget {
            backend: backend(engine),
            address: SocketAddr::from(([10, 0, 1, 1], 8000)),
            fencing,
        },
        action: OrderAction::LoadModel {
            model: ModelName::try_from("ballast-quote").unwrap(),
            version: Some("7".to_owned()),
            bytes,
        },
    }
}
