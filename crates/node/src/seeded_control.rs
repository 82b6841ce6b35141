//! A control process that finds the others through seeds, and hears the fleet.

use {
    crate::{
        StartError,
        core::{CoreSettings, NodeCore},
        error::HttpStart,
    },
    gullglade_control::{ControlConfig, ControlError, ControlNode, DataFolder},
    gullglade_event::{EventDraft, EventSink, MetricSet, ThrottledSink},
    gullglade_fleet::{FleetServer, FleetSettings},
    gullglade_http::{HttpServer, RequestHandler, ServerConfig},
    gullglade_peer::{PeerConfig, PeerIdentity},
    gullglade_units::ProcessContext,
    snafu::ResultExt,
    std::{net::SocketAddr, rc::Rc},
};

/// What a control process is told.
pub struct SeededControlSettings {
    /// Who it is to its peers.
    pub identity: PeerIdentity,
    /// Sessions with its peers.
    pub peer: PeerConfig,
    /// Where it takes peer sessions.
    pub peer_address: SocketAddr,
    /// The log.
    pub control: ControlConfig,
    /// The fleet.
    pub fleet: FleetSettings,
    /// Events kept in memory.
    pub event_limit: usize,
}

/// A running control process.
pub struct SeededControl {
    context: ProcessContext,
    control: ControlNode,
    fleet: Rc<FleetServer>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
}

impl SeededControl {
    /// Starts a process inside the monoio runtime of this thread, with its state in `folder`.
    pub async fn start(
        settings: SeededControlSettings,
        context: ProcessContext,
        folder: Rc<dyn DataFolder>,
    ) -> Result<Rc<Self>, StartError> {
        let core = NodeCore::open(
            CoreSettings {
                identity: settings.identity,
                peer: settings.peer,
                peer_address: settings.peer_address,
                event_limit: settings.event_limit,
            },
            &context,
            None,
        )?;
        let log = Rc::clone(&core.events) as Rc<dyn EventSink>;
        let events: Rc<dyn EventSink> = Rc::new(ThrottledSink::new(log, Rc::clone(&context.clock)));
        let transport = Rc::clone(&core.pool) as _;
        let control = ControlNode::start(
            settings.control,
            context.clone(),
            transport,
            folder,
            Rc::clone(&events),
        )
        .await
        .context(crate::error::ControlStart)?;
        control.serve(&core.handlers);
        let source = Rc::new(control.clone());
        let fleet = FleetServer::new(settings.fleet, source, context.clone(), Rc::clone(&events));
        fleet.start(&core.handlers);
        let node = Rc::new(Self { control, fleet, events, metrics: core.metrics, context });
        node.context.spawner.spawn(Box::pin(core.server.run()));
        node.events.emit(EventDraft::new("node.started").field("peer", settings.peer_address));
        Ok(node)
    }

    /// Its part of the log.
    pub fn control(&self) -> &ControlNode {
        &self.control
    }

    /// The fleet as it hears it.
    pub fn fleet(&self) -> &Rc<FleetServer> {
        &self.fleet
    }

    /// Its time line.
    pub fn events(&self) -> &Rc<dyn EventSink> {
        &self.events
    }

    /// Its metrics.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// Serves `handler` at `address`, to the end of the process.
    pub fn serve(
        &self,
        address: SocketAddr,
        config: ServerConfig,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let server = HttpServer::bind(address, config, self.context.clone(), handler)
            .context(HttpStart { port: "control" })?;
        self.context.spawner.spawn(Box::pin(server.run()));
        Ok(())
    }

    /// Completes when this process can no longer take part, with the reason and the remedy.
    pub async fn stopped(&self) -> ControlError {
        self.control.stopped().await
    }
}
