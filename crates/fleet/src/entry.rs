//! Resolution of the gateways that callers should connect to.

use {
    crate::{CallerCounter, FleetServer},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_traffic::{TrafficConfig, TrafficFormat, TrafficRoute},
    gullglade_units::RegionName,
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
};

/// Resolves the gateways for callers from the gateways that one control process observes.
pub struct EntryResolver {
    fleet: Rc<FleetServer>,
    format: Rc<dyn TrafficFormat>,
    events: Rc<dyn EventSink>,
    cached: RefCell<Option<Rc<TrafficConfig>>>,
    callers: RefCell<CallerCounter>,
}

impl EntryResolver {
    /// Creates a resolver over the gateways that `fleet` observes.
    pub fn new(
        fleet: Rc<FleetServer>,
        format: Rc<dyn TrafficFormat>,
        events: Rc<dyn EventSink>,
    ) -> Self {
        Self { fleet, format, events, cached: RefCell::default(), callers: RefCell::default() }
    }

    /// Returns the caller addresses of the gateways that the caller of `host` at `remote` in
    /// `region` should use; `None` while this process may not have observed all gateways.
    ///
    /// A caller sends its body to the gateway that it connects to. If its own region has no
    /// gateway, it is therefore directed to regions in which all routes of its host may be served,
    /// if there are any.
    pub fn addresses(
        &self,
        host: &str,
        region: &RegionName,
        remote: SocketAddr,
    ) -> Option<Vec<SocketAddr>> {
        let config = self.config();
        let is_home = |candidate: &RegionName| {
            let allows = |route: &Rc<TrafficRoute>| route.allows(candidate);
            config.as_ref().is_none_or(|config| config.routes().of_host(host).all(allows))
        };
        let caller = self.callers.borrow_mut().identify(remote, host, self.fleet.wall());
        self.fleet.entry_addresses(region, is_home, &caller)
    }

    /// Returns the configuration applied here, which may be older than the newest one.
    fn config(&self) -> Option<Rc<TrafficConfig>> {
        let cached = self.cached.borrow().clone();
        let version = cached.as_ref().map(|config| config.version());
        let newer = self.fleet.source().newer(0, version).and_then(|snapshot| snapshot.text);
        let Some(text) = newer else { return cached };
        let read = self.format.read(&text).and_then(TrafficConfig::try_from);
        match read {
            Ok(config) => {
                let config = Rc::new(config);
                self.cached.replace(Some(Rc::clone(&config)));
                Some(config)
            }
            Err(error) => {
                let event = EventDraft::new("traffic.unreadable").level(Level::Error);
                self.events.emit(event.error("reason", &error));
                cached
            }
        }
    }
}
