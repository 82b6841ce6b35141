//! Control process that discovers its peers through seed addresses and tracks the fleet.

use {
    crate::{
        HeldRequests, StartError,
        core::{CoreSettings, NodeCore, http_server},
    },
    gullglade_control::{ControlConfig, ControlError, ControlNode, DataFolder},
    gullglade_event::{EventDraft, EventSink, MetricSet},
    gullglade_fleet::{FleetServer, FleetSettings},
    gullglade_http::{RequestHandler, ServerConfig},
    gullglade_poison::{CrashTrackerSettings, SharedCrashTracker},
    gullglade_units::ProcessContext,
    snafu::ResultExt,
    std::{net::SocketAddr, rc::Rc},
};

/// Settings of a control process.
pub struct SeededControlSettings {
    /// Settings common to all processes.
    pub core: CoreSettings,
    /// Settings of the replicated log.
    pub control: ControlConfig,
    /// Settings of fleet tracking.
    pub fleet: FleetSettings,
    /// Thresholds for holding back requests that crash backend servers.
    pub crashes: CrashTrackerSettings,
}

/// A running control process.
pub struct SeededControl {
    context: ProcessContext,
    control: ControlNode,
    fleet: Rc<FleetServer>,
    crashes: Rc<SharedCrashTracker>,
    events: Rc<dyn EventSink>,
    metrics: Rc<MetricSet>,
}

impl SeededControl {
    /// Starts a process on the monoio runtime of the calling thread, with its state in `folder`.
    pub async fn start(
        settings: SeededControlSettings,
        context: ProcessContext,
        folder: Rc<dyn DataFolder>,
    ) -> Result<Rc<Self>, StartError> {
        let peer_address = settings.core.peer_address;
        let core = NodeCore::open(settings.core, &context, None)?;
        let events = core.throttled_events();
        let transport = Rc::clone(&core.pool) as _;
        let control = ControlNode::start(
            settings.control,
            context.clone(),
            transport,
            Rc::clone(&folder),
            Rc::clone(&events),
        )
        .await
        .context(crate::error::ControlStart)?;
        control.serve(&core.handlers);
        let source = Rc::new(control.clone());
        let crashes = SharedCrashTracker::new(
            settings.crashes,
            Rc::clone(&context.clock),
            Rc::clone(&events),
            Rc::clone(&core.metrics),
        );
        let fleet = FleetServer::new(
            settings.fleet,
            source,
            Rc::clone(&crashes),
            context.clone(),
            Rc::clone(&events),
        );
        fleet.restore_and_persist(folder).await;
        fleet.start(&core.handlers);
        let node =
            Rc::new(Self { control, fleet, crashes, events, metrics: core.metrics, context });
        node.context.spawner.spawn(Box::pin(core.server.run()));
        node.events.emit(EventDraft::new("node.started").field("peer", peer_address));
        Ok(node)
    }

    /// Returns the control node, which replicates the log.
    pub fn control(&self) -> &ControlNode {
        &self.control
    }

    /// Returns the fleet server, which tracks gateways and backend servers.
    pub fn fleet(&self) -> &Rc<FleetServer> {
        &self.fleet
    }

    /// Returns the requests held back according to this process.
    pub fn held_requests(&self) -> HeldRequests {
        HeldRequests::new(Rc::clone(&self.crashes))
    }

    /// Returns the event log, rate-limited per event kind.
    pub fn events(&self) -> &Rc<dyn EventSink> {
        &self.events
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Rc<MetricSet> {
        &self.metrics
    }

    /// Serves HTTP at `address` with `handler` until the process ends.
    pub fn serve(
        &self,
        address: SocketAddr,
        config: ServerConfig,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<(), StartError> {
        let server = http_server("control", address, config, &self.context, handler)?;
        self.context.spawner.spawn(Box::pin(server.run()));
        Ok(())
    }

    /// Waits until this process can no longer participate, and returns the error with its cause and
    /// remedy.
    pub async fn stopped(&self) -> ControlError {
        self.control.stopped().await
    }
}
