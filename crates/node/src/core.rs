//! Components common to all processes: identity, peer sessions, event log and metrics.

use {
    crate::{
        NodeSettings, StartError,
        error::{HttpStart, MetricsStart, PeerStart},
    },
    gullglade_event::{EventLog, EventSink, MetricSet, ThrottledSink},
    gullglade_http::{HttpServer, RequestHandler, ServerConfig},
    gullglade_peer::{HandlerTable, LinkPolicy, PeerConfig, PeerIdentity, PeerPool, PeerServer},
    gullglade_units::{HybridClock, ProcessContext},
    snafu::ResultExt,
    std::{net::SocketAddr, rc::Rc},
};

/// Components that the rest of a process is built on. Peer sessions and the event log share one
/// hybrid logical clock, so that an event caused by a message is stamped later than the sender's
/// event.
pub(crate) struct NodeCore {
    pub(crate) context: ProcessContext,
    pub(crate) identity: PeerIdentity,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) events: Rc<EventLog>,
    pub(crate) handlers: Rc<HandlerTable>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) server: PeerServer,
}

/// Settings common to all processes.
#[derive(Clone)]
pub struct CoreSettings {
    /// Identity that the process presents to its peers.
    pub identity: PeerIdentity,
    /// Configuration of peer sessions.
    pub peer: PeerConfig,
    /// Listen address for peer sessions.
    pub peer_address: SocketAddr,
    /// Maximum number of events kept in memory.
    pub event_limit: usize,
}

impl NodeCore {
    /// Binds the peer port and creates the event log, with the default session configuration.
    pub(crate) fn bind(
        settings: &NodeSettings,
        context: &ProcessContext,
        link: Option<Rc<dyn LinkPolicy>>,
    ) -> Result<Self, StartError> {
        let identity = PeerIdentity {
            vm: settings.vm.clone(),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            incarnation: settings.incarnation,
        };
        let (cluster, secret) = (settings.cluster.clone(), settings.secret.clone());
        let settings = CoreSettings {
            peer: PeerConfig::new(identity.clone(), cluster, secret),
            identity,
            peer_address: settings.peer_address,
            event_limit: settings.event_limit,
        };
        Self::open(settings, context, link)
    }

    /// Like [`bind`](Self::bind), with a caller-supplied session configuration.
    pub(crate) fn open(
        settings: CoreSettings,
        context: &ProcessContext,
        link: Option<Rc<dyn LinkPolicy>>,
    ) -> Result<Self, StartError> {
        let CoreSettings { identity, peer, peer_address, event_limit } = settings;
        let hybrid = Rc::new(HybridClock::default());
        let vm = identity.vm.clone();
        let events = Rc::new(EventLog::new(vm, Rc::clone(&hybrid), context.clone(), event_limit));
        let config = peer.events(Rc::clone(&events) as Rc<dyn EventSink>);
        let handlers = Rc::new(HandlerTable::new());
        let server = PeerServer::bind(
            peer_address,
            config.clone(),
            context.clone(),
            Rc::clone(&hybrid),
            Rc::clone(&handlers),
        )
        .context(PeerStart)?;
        let pool = match link {
            Some(link) => PeerPool::with_link(config, context.clone(), Rc::clone(&hybrid), link),
            None => PeerPool::new(config, context.clone(), Rc::clone(&hybrid)),
        };
        Ok(Self {
            identity,
            metrics: Rc::new(MetricSet::new().context(MetricsStart)?),
            events,
            handlers,
            pool: Rc::new(pool),
            server,
            context: context.clone(),
        })
    }

    /// Returns the event log behind a rate limit per event kind.
    pub(crate) fn throttled_events(&self) -> Rc<dyn EventSink> {
        let log = Rc::clone(&self.events) as Rc<dyn EventSink>;
        Rc::new(ThrottledSink::new(log, Rc::clone(&self.context.clock)))
    }
}

/// Binds an HTTP server to `address`. `port` names the port in the error message.
pub(crate) fn http_server(
    port: &'static str,
    address: SocketAddr,
    config: ServerConfig,
    context: &ProcessContext,
    handler: Rc<dyn RequestHandler>,
) -> Result<HttpServer, StartError> {
    HttpServer::bind(address, config, context.clone(), handler).context(HttpStart { port })
}
