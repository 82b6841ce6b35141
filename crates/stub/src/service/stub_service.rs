//! A running stand-in plain service.

use {
    crate::{
        announcer::{AnnouncerConfig, BackendAnnouncer},
        backend_run::BackendRun,
        engine::PriorityGate,
        fault::{FaultOrder, FaultSwitch},
        server::{StubError, start_server},
        service::{
            book::OrderBook,
            config::ServiceConfig,
            handler::{ServiceHandler, ServiceState},
        },
        stats::{RunCounter, RunStats},
    },
    gullglade_http::{ClientConfig, PooledClient},
    gullglade_units::{BackendName, Incarnation, ProcessContext},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Starts stand-in plain services.
pub struct StubService;

impl StubService {
    /// Binds, serves and announces one service, in tasks of their own.
    pub fn start(
        config: ServiceConfig,
        context: ProcessContext,
    ) -> Result<ServiceHandle, StubError> {
        let client = Rc::new(PooledClient::new(ClientConfig::new(), context.clone()));
        let announcing = AnnouncerConfig {
            name: config.name.clone(),
            incarnation: config.incarnation.unwrap_or(Incarnation(context.clock.wall().0)),
            gateways: config.gateways.clone(),
            token: config.token.clone(),
        };
        let state = Rc::new(ServiceState {
            address: Cell::new(config.listen),
            slots: PriorityGate::new(config.slots),
            counter: RunCounter::default(),
            faults: FaultSwitch::default(),
            book: RefCell::new(OrderBook::default()),
            context: context.clone(),
            config,
        });
        state.faults.set(state.config.fault);
        let handler = Rc::new(ServiceHandler { state: state.clone() });
        let server = start_server(state.config.listen, handler, context.clone())?;
        state.address.set(server.address());
        let announcer = BackendAnnouncer::start(announcing, state.clone(), client, context.clone());
        let leave_grace = state.config.leave_grace;
        let run = BackendRun { server, announcer, context, leave_grace };
        Ok(ServiceHandle { state, run })
    }
}

/// One running service.
pub struct ServiceHandle {
    state: Rc<ServiceState>,
    run: BackendRun,
}

impl ServiceHandle {
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

    /// The orders placed.
    pub fn book(&self) -> OrderBook {
        self.state.book.borrow().clone()
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
