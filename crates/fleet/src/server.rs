//! Fleet server of a control process: its registry, and the calls of the gateways that follow it.

use {
    crate::{
        BackendObservation, BackendRecord, EntryCaller, FleetRegistry, FleetSettings,
        FleetSnapshot, FleetUpdate, GatewayListing, GatewayObservation, RegionOffer, SyncReply,
        SyncRequest, TrafficSource, UpdateFilter,
        message::{FLEET_PREFIX, SYNC},
        select_entries,
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_control::DataFolder,
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_peer::{HandlerTable, PeerFault, PeerHandler, PeerIdentity},
    gullglade_poison::{SharedCrashTracker, UpdateScope},
    gullglade_units::{
        BackendName, BootTime, LocalFuture, MonotonicTime, ProcessContext, RegionName, WallMillis,
        decode, encode, timeout,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// Interval between saves of a changed snapshot; backend servers come and go at intervals of
/// seconds.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks for silent members.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Batching delay per live gateway. When a deployment starts, hundreds of gateways and backend
/// servers announce themselves at about the same time; without batching, each of them would cost as
/// many replies as there are gateways.
const BATCH_DELAY_PER_GATEWAY: Duration = Duration::from_micros(250);

/// Maximum batching delay, which is short compared with the second within which a departure must be
/// known.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(80);

/// Maximum age of the cached offers, which are averages of what gateways send every half second.
const MAX_OFFERS_AGE: Duration = Duration::from_millis(100);

/// A call that waits for the next change that concerns its gateway.
struct WaitingCall {
    region: RegionName,
    /// Last change that its gateway has.
    cursor: u64,
    wake: oneshot::Sender<()>,
}

/// Serves one control process's observations of the fleet to gateways.
pub struct FleetServer {
    registry: RefCell<FleetRegistry>,
    /// Calls that wait for the next change.
    waiting: RefCell<Vec<WaitingCall>>,
    /// Cached offers of the regions, with the time of their computation.
    offers: RefCell<Option<(Vec<RegionOffer>, MonotonicTime)>>,
    /// Requests that crash backend servers, as reported by all gateways.
    crashes: Rc<SharedCrashTracker>,
    source: Rc<dyn TrafficSource>,
    context: ProcessContext,
    events: Rc<dyn EventSink>,
    run: u64,
    /// Whether backend servers or crashes changed since the last save.
    is_unsaved: Cell<bool>,
}

impl FleetServer {
    /// Creates a server with an empty registry.
    pub fn new(
        settings: FleetSettings,
        source: Rc<dyn TrafficSource>,
        crashes: Rc<SharedCrashTracker>,
        context: ProcessContext,
        events: Rc<dyn EventSink>,
    ) -> Rc<Self> {
        let run = context.random.next_u64() | 1;
        Rc::new(Self {
            registry: RefCell::new(FleetRegistry::new(settings, context.clock.now())),
            waiting: RefCell::default(),
            offers: RefCell::default(),
            crashes,
            source,
            context,
            events,
            run,
            is_unsaved: Cell::new(false),
        })
    }

    /// Serves gateways and checks for silent members for the rest of the process's lifetime.
    pub fn start(self: &Rc<Self>, handlers: &HandlerTable) {
        handlers.register(FLEET_PREFIX, Rc::new(SyncHandler(Rc::clone(self))));
        let server = Rc::clone(self);
        self.context.spawner.spawn(Box::pin(async move {
            loop {
                server.context.clock.sleep(TICK_INTERVAL).await;
                server.tick();
            }
        }));
    }

    /// Restores the snapshot that the previous run saved in `folder`, and saves the changes of this
    /// run there.
    pub async fn restore_and_persist(self: &Rc<Self>, folder: Rc<dyn DataFolder>) {
        match FleetSnapshot::load(&*folder).await {
            Ok(snapshot) => {
                let event = EventDraft::new("fleet.recalled");
                let event = event.field("backends", snapshot.backends.len());
                self.events.emit(event.field("departed", snapshot.departed.len()));
                self.crashes.merge(snapshot.crashes.clone());
                self.registry.borrow_mut().restore(snapshot, self.context.clock.now());
            }
            Err(error) => {
                let event = EventDraft::new("fleet.not_recalled").level(Level::Warn);
                self.events.emit(event.error("reason", &error));
            }
        }
        let server = Rc::clone(self);
        self.context.spawner.spawn(Box::pin(async move {
            loop {
                server.context.clock.sleep(SAVE_INTERVAL).await;
                server.save(&*folder).await;
            }
        }));
    }

    async fn save(&self, folder: &dyn DataFolder) {
        if !self.is_unsaved.replace(false) {
            return;
        }
        let mut snapshot = self.registry.borrow().snapshot(self.context.clock.now());
        snapshot.crashes = self.crashes.updates_after(0, UpdateScope::Suspects);
        if let Err(error) = snapshot.save(folder).await {
            // The snapshot is only a hint: the next change writes it again.
            let event = EventDraft::new("fleet.unsaved").level(Level::Warn);
            self.events.emit(event.error("reason", &error));
        }
    }

    /// Records an announcement of a backend server.
    pub fn announce(&self, record: BackendRecord) {
        let change = self.registry.borrow_mut().announce(record, self.context.clock.now());
        if let Some(observation) = change {
            self.events.emit(backend_event("backend.announced", &observation));
            self.is_unsaved.set(true);
            self.wake();
        }
    }

    /// Records the departure of a backend server.
    pub fn leave(&self, name: &BackendName) {
        let clock = &self.context.clock;
        let is_new = self.registry.borrow_mut().leave(name, clock.wall(), clock.now());
        if is_new {
            self.events.emit(EventDraft::new("backend.left").field("backend", name));
            self.is_unsaved.set(true);
            self.wake();
        }
    }

    /// Returns the caller addresses of the gateways that `caller` in `region` should use; `None`
    /// while this process may not have observed all gateways.
    pub(crate) fn entry_addresses(
        &self,
        region: &RegionName,
        is_home: impl Fn(&RegionName) -> bool,
        caller: &EntryCaller,
    ) -> Option<Vec<SocketAddr>> {
        let clock = &self.context.clock;
        let registry = self.registry.borrow();
        registry.has_complete_gateways(clock.now()).then(|| {
            select_entries(&registry.entry_candidates(region, is_home), caller, clock.wall())
        })
    }

    /// Returns the gateways that this process observes.
    pub fn gateway_listings(&self) -> Vec<GatewayListing> {
        self.registry.borrow().gateway_listings()
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> WallMillis {
        self.context.clock.wall()
    }

    /// Returns the source of the traffic configuration.
    pub(crate) fn source(&self) -> &dyn TrafficSource {
        &*self.source
    }

    /// Returns the numbers of live backend servers and live gateways.
    pub fn live_counts(&self) -> (usize, usize) {
        self.registry.borrow().live_counts()
    }

    fn tick(&self) {
        let (backends, gateways) = self.registry.borrow_mut().tick(self.context.clock.now());
        for observation in &backends {
            self.events.emit(backend_event("backend.silent", observation).level(Level::Warn));
        }
        for observation in &gateways {
            self.events.emit(gateway_event("gateway.silent", observation).level(Level::Warn));
        }
        if !backends.is_empty() {
            self.is_unsaved.set(true);
        }
        if !backends.is_empty() || !gateways.is_empty() {
            self.wake();
        }
    }

    /// Wakes the calls that a change concerns.
    fn wake(&self) {
        let registry = self.registry.borrow();
        let is_concerned =
            |call: &mut WaitingCall| registry.last_change_for(&call.region) > call.cursor;
        let woken: Vec<_> = self.waiting.borrow_mut().extract_if(.., is_concerned).collect();
        for call in woken {
            // A waiting call may have been dropped, which does not affect the others.
            let _: Result<(), ()> = call.wake.send(());
        }
    }

    async fn sync(&self, request: SyncRequest) -> SyncReply {
        let arrived = self.context.clock.boot();
        let profile = &request.pulse.profile;
        let previous = self.registry.borrow().gateway_capacity(&profile.vm);
        let change =
            self.registry.borrow_mut().announce_gateway(&request.pulse, self.context.clock.now());
        if let Some(previous) = previous.filter(|previous| *previous != profile.capacity) {
            let event = EventDraft::new("gateway.capacity_changed").field("gateway", &profile.vm);
            self.events.emit(event.field("from", previous).field("to", profile.capacity));
        }
        if let Some(observation) = change {
            self.events.emit(gateway_event("gateway.heard", &observation));
            self.wake();
        }
        self.registry.borrow_mut().record_offers(&profile.vm, request.offers.clone());
        if self.crashes.merge(request.crashes.clone()) {
            self.is_unsaved.set(true);
        }
        if request.run == self.run {
            self.wait_for_updates(&request).await;
        }
        self.reply(&request, arrived)
    }

    async fn wait_for_updates(&self, request: &SyncRequest) {
        let (wake, woken) = oneshot::channel();
        {
            let registry = self.registry.borrow();
            let region = request.pulse.profile.region.clone();
            let has_updates = registry.last_change_for(&region) > request.cursor;
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|other| !other.wake.is_canceled());
            if !has_updates {
                waiting.push(WaitingCall { region, cursor: request.cursor, wake });
            }
            // If there are updates already, the dropped sender wakes the call at once.
        }
        let hold = self.registry.borrow().settings().sync_hold;
        let changed = self.source.changed(request.traffic_index);
        let update = async {
            if let Either::Left((_, changed)) = select(pin!(woken), pin!(changed)).await {
                let batch_delay = pin!(self.context.clock.sleep(self.batch_delay()));
                select(batch_delay, changed).await;
            }
        };
        let _: Option<()> = timeout(&*self.context.clock, hold, update).await;
    }

    /// Returns the batching delay for the current number of gateways.
    fn batch_delay(&self) -> Duration {
        let (_, gateways) = self.live_counts();
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        BATCH_DELAY_PER_GATEWAY.saturating_mul(gateways).min(MAX_BATCH_DELAY)
    }

    fn region_offers(&self) -> Vec<RegionOffer> {
        let now = self.context.clock.now();
        let mut cached = self.offers.borrow_mut();
        if let Some((offers, at)) = &*cached
            && now.since(*at) < MAX_OFFERS_AGE
        {
            return offers.clone();
        }
        let offers = self.registry.borrow().region_offers();
        *cached = Some((offers.clone(), now));
        offers
    }

    fn reply(&self, request: &SyncRequest, arrived: BootTime) -> SyncReply {
        let is_known = request.run == self.run;
        let cursor = if is_known { request.cursor } else { 0 };
        let crash_cursor = if is_known { request.crash_cursor } else { 0 };
        let registry = self.registry.borrow();
        let profile = &request.pulse.profile;
        let filter = UpdateFilter { vm: &profile.vm, region: &profile.region };
        let FleetUpdate { backends, departed, gateways } =
            filter.updates(&registry, cursor, self.context.clock.now());
        SyncReply {
            run: self.run,
            cursor: registry.last_change(),
            backends,
            departed,
            gateways,
            gateway_total: u32::try_from(registry.gateway_total()).unwrap_or(u32::MAX),
            crashes: self.crashes.updates_after(crash_cursor, UpdateScope::Suspects),
            regions: self.region_offers(),
            traffic: self.source.newer(request.traffic_index, request.version),
            confirmed_ago: self.source.confirmed_ago(),
            held: self.context.clock.boot().since(arrived),
            controls: self.source.controls(),
        }
    }
}

fn backend_event(kind: &'static str, observation: &BackendObservation) -> EventDraft {
    let record = &observation.record;
    EventDraft::new(kind)
        .field("backend", &record.name)
        .field("service", &record.service)
        .field("address", record.address)
        .field("domain", &record.domain)
        .field("state", record.state)
        .field("incarnation", record.incarnation)
        .field("sequence", record.sequence)
        .millis("cold_ms", record.cold_for)
}

fn gateway_event(kind: &'static str, observation: &GatewayObservation) -> EventDraft {
    EventDraft::new(kind)
        .field("gateway", &observation.profile.vm)
        .field("run", observation.profile.run)
        .field("phase", observation.phase)
}

/// Handler of the methods "fleet.*".
struct SyncHandler(Rc<FleetServer>);

impl PeerHandler for SyncHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            if method != SYNC {
                return Err(PeerFault::unknown_method(method));
            }
            let request: SyncRequest = decode(&body).map_err(PeerFault::malformed)?;
            Ok(Bytes::from(encode(&self.0.sync(request).await)))
        })
    }
}
