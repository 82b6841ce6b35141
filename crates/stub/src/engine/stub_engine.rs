//! A running stand-in engine.

use {
    crate::{
        announcer::{AnnouncerConfig, BackendAnnouncer},
        backend_run::BackendRun,
        engine::{
            batch::BatchEngine,
            config::EngineConfig,
            handler::{EngineHandler, EngineState},
            orders::OrderState,
        },
        fault::{FaultOrder, FaultSwitch},
        server::{StubError, start_server},
        stats::{RunCounter, RunStats},
    },
    gullglade_backend::LoadReport,
    gullglade_http::{ClientConfig, HttpClient, PooledClient},
    gullglade_units::{BackendName, Incarnation, ProcessContext},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Starts stand-in engines.
pub struct StubEngine;

impl StubEngine {
    /// Binds, serves and announces one engine, in tasks of their own.
    pub fn start(config: EngineConfig, context: ProcessContext) -> Result<EngineHandle, StubError> {
        let client: Rc<dyn HttpClient> =
            Rc::new(PooledClient::new(ClientConfig::new(), context.clone()));
        let announcing = AnnouncerConfig {
            name: config.name.clone(),
            incarnation: config.incarnation.unwrap_or(Incarnation(context.clock.wall().0)),
            gateways: config.gateways.clone(),
            token: config.token.clone(),
        };
        let state = Rc::new(EngineState {
            address: Cell::new(config.listen),
            batch: BatchEngine::new(config.limits, context.clone()),
            counter: RunCounter::default(),
            faults: FaultSwitch::default(),
            orders: RefCell::new(OrderState {
                models: config.models.clone(),
                ..OrderState::default()
            }),
            client: client.clone(),
            context: context.clone(),
            changed: RefCell::new(Box::new(|| {})),
            config,
        });
        state.faults.set(state.config.fault);
        let handler = Rc::new(EngineHandler { state: state.clone() });
        let server = start_server(state.config.listen, handler, context.clone())?;
        state.address.set(server.address());
        let announcer = BackendAnnouncer::start(announcing, state.clone(), client, context.clone());
        let weak = Rc::downgrade(&announcer);
        *state.changed.borrow_mut() = Box::new(move || {
            if let Some(announcer) = weak.upgrade() {
                announcer.announce_now();
            }
        });
        let leave_grace = state.config.leave_grace;
        let run = BackendRun { server, announcer, context, leave_grace };
        Ok(EngineHandle { state, run })
    }
}

/// One running engine.
pub struct EngineHandle {
    state: Rc<EngineState>,
    run: BackendRun,
}

impl EngineHandle {
    /// Its name.
    pub fn name(&self) -> &BackendName {
        &self.state.config.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.run.address()
    }

    /// What ran.
    pub fn stats(&self) -> RunStats {
        self.state.counter.snapshot()
    }

    /// The load as it is.
    pub fn load(&self) -> LoadReport {
        self.state.batch.load()
    }

    /// Announcements that a gateway acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.run.announcer.acknowledged()
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, order: FaultOrder) {
        self.state.faults.set(order);
    }

    /// Leaves: says so, takes requests for the grace that gateways need to hear of it, finishes
    /// what is in progress and falls silent.
    pub async fn leave(&self) {
        self.run.leave().await;
    }

    /// Dies: drops every connection and falls silent.
    pub fn kill(&self) {
        self.run.kill();
    }
}
