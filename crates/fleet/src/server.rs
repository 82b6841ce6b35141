//! A control process's side: its book, and the gateways that follow it.

use {
    crate::{
        BackendObservation, BackendRecord, FleetRegistry, FleetSettings, FleetSnapshot,
        FleetUpdate, GatewayObservation, RegionOffer, SyncReply, SyncRequest, TrafficSource,
        UpdateFilter,
        message::{FLEET_PREFIX, SYNC},
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
        BackendName, BootTime, LocalFuture, MonotonicTime, ProcessContext, RegionName, decode,
        encode, timeout,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// How often what changed is kept on the disk: backend servers come and go by seconds.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// How often silences are looked for.
const TICK: Duration = Duration::from_millis(300);

/// News is gathered for this long for each gateway that is told. When a deployment starts,
/// hundreds of gateways and backend servers are heard within a moment; told one by one, each of
/// them would cost as many replies as there are gateways.
const GATHER_PER_GATEWAY: Duration = Duration::from_micros(250);

/// The longest that news is gathered: short against the second in which a departure must be known.
const MOST_GATHER: Duration = Duration::from_millis(80);

/// What regions offer is worked out anew after this. It is a mean over what gateways tell every
/// half second.
const OFFERS_AGE: Duration = Duration::from_millis(100);

/// A call that waits for the next change that concerns its gateway.
struct WaitingCall {
    region: RegionName,
    /// The last change that its gateway has.
    cursor: u64,
    wake: oneshot::Sender<()>,
}

/// The fleet as one control process hears it.
pub struct FleetServer {
    book: RefCell<FleetRegistry>,
    /// Calls that wait for the next change.
    waiting: RefCell<Vec<WaitingCall>>,
    /// What regions offer, and when it was worked out.
    offers: RefCell<Option<(Vec<RegionOffer>, MonotonicTime)>>,
    /// Requests that end backend servers, as all gateways tell.
    crashes: Rc<SharedCrashTracker>,
    source: Rc<dyn TrafficSource>,
    context: ProcessContext,
    events: Rc<dyn EventSink>,
    run: u64,
    /// Whether backend servers changed since what is known of them was last kept.
    is_unsaved: Cell<bool>,
}

impl FleetServer {
    /// The fleet of a process that has heard nobody yet.
    pub fn new(
        settings: FleetSettings,
        source: Rc<dyn TrafficSource>,
        crashes: Rc<SharedCrashTracker>,
        context: ProcessContext,
        events: Rc<dyn EventSink>,
    ) -> Rc<Self> {
        let run = context.random.next_u64() | 1;
        Rc::new(Self {
            book: RefCell::new(FleetRegistry::new(settings, context.clock.now())),
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

    /// Serves gateways, and looks for silences, for as long as the process runs.
    pub fn start(self: &Rc<Self>, handlers: &HandlerTable) {
        handlers.register(FLEET_PREFIX, Rc::new(SyncHandler(Rc::clone(self))));
        let server = Rc::clone(self);
        self.context.spawner.spawn(Box::pin(async move {
            loop {
                server.context.clock.sleep(TICK).await;
                server.tick();
            }
        }));
    }

    /// Takes in what the run before kept in `folder`, and keeps there what this one hears.
    pub async fn remember(self: &Rc<Self>, folder: Rc<dyn DataFolder>) {
        match FleetSnapshot::load(&*folder).await {
            Ok(memory) => {
                let event = EventDraft::new("fleet.recalled");
                let event = event.field("backends", memory.backends.len());
                self.events.emit(event.field("departed", memory.departed.len()));
                self.crashes.merge(memory.crashes.clone());
                self.book.borrow_mut().restore(memory, self.context.clock.now());
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
        let mut memory = self.book.borrow().snapshot(self.context.clock.now());
        memory.crashes = self.crashes.updates_after(0, UpdateScope::Suspects);
        if let Err(error) = memory.save(folder).await {
            // It is a hint: the next change writes it again.
            let event = EventDraft::new("fleet.unsaved").level(Level::Warn);
            self.events.emit(event.error("reason", &error));
        }
    }

    /// Takes note of an announcement.
    pub fn announce(&self, record: BackendRecord) {
        let change = self.book.borrow_mut().announce(record, self.context.clock.now());
        if let Some(standing) = change {
            self.events.emit(backend_event("backend.announced", &standing));
            self.is_unsaved.set(true);
            self.wake();
        }
    }

    /// Takes note of a goodbye.
    pub fn leave(&self, name: &BackendName) {
        let clock = &self.context.clock;
        let is_news = self.book.borrow_mut().leave(name, clock.wall(), clock.now());
        if is_news {
            self.events.emit(EventDraft::new("backend.left").field("backend", name));
            self.is_unsaved.set(true);
            self.wake();
        }
    }

    /// The callers' addresses of the gateways that callers in `region` should use; `None` while
    /// this process may not have heard all of them.
    pub(crate) fn entry_addresses(
        &self,
        region: &RegionName,
        is_home: impl Fn(&RegionName) -> bool,
    ) -> Option<Vec<SocketAddr>> {
        let book = self.book.borrow();
        let has_heard = book.has_heard_gateways(self.context.clock.now());
        has_heard.then(|| book.entry_addresses(region, is_home))
    }

    /// The configuration that this process follows.
    pub(crate) fn source(&self) -> &dyn TrafficSource {
        &*self.source
    }

    /// How many backend servers and gateways are heard.
    pub fn heard(&self) -> (usize, usize) {
        self.book.borrow().heard()
    }

    fn tick(&self) {
        let (backends, gateways) = self.book.borrow_mut().tick(self.context.clock.now());
        for standing in &backends {
            self.events.emit(backend_event("backend.silent", standing).level(Level::Warn));
        }
        for standing in &gateways {
            self.events.emit(gateway_event("gateway.silent", standing).level(Level::Warn));
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
        let book = self.book.borrow();
        let is_concerned =
            |call: &mut WaitingCall| book.last_change_for(&call.region) > call.cursor;
        let woken: Vec<_> = self.waiting.borrow_mut().extract_if(.., is_concerned).collect();
        for call in woken {
            // Whoever waited may be gone, which takes nothing from the others.
            let _: Result<(), ()> = call.wake.send(());
        }
    }

    async fn sync(&self, request: SyncRequest) -> SyncReply {
        let arrived = self.context.clock.boot();
        let change =
            self.book.borrow_mut().announce_gateway(&request.pulse, self.context.clock.now());
        if let Some(standing) = change {
            self.events.emit(gateway_event("gateway.heard", &standing));
            self.wake();
        }
        let vm = &request.pulse.profile.vm;
        self.book.borrow_mut().note_offers(vm, request.offers.clone());
        if self.crashes.merge(request.crashes.clone()) {
            self.is_unsaved.set(true);
        }
        if request.run == self.run {
            self.wait_for_news(&request).await;
        }
        self.reply(&request, arrived)
    }

    async fn wait_for_news(&self, request: &SyncRequest) {
        let (wake, woken) = oneshot::channel();
        {
            let book = self.book.borrow();
            let region = request.pulse.profile.region.clone();
            let has_news = book.last_change_for(&region) > request.cursor;
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|other| !other.wake.is_canceled());
            if !has_news {
                waiting.push(WaitingCall { region, cursor: request.cursor, wake });
            }
            // Where there is news already the dropped sender wakes the call at once.
        }
        let hold = self.book.borrow().settings().sync_hold;
        let changed = self.source.changed(request.traffic_index);
        let news = async {
            if let Either::Left((_, changed)) = select(pin!(woken), pin!(changed)).await {
                let gather = pin!(self.context.clock.sleep(self.gather()));
                select(gather, changed).await;
            }
        };
        let _: Option<()> = timeout(&*self.context.clock, hold, news).await;
    }

    /// How long news is gathered before it is told.
    fn gather(&self) -> Duration {
        let (_, gateways) = self.heard();
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        GATHER_PER_GATEWAY.saturating_mul(gateways).min(MOST_GATHER)
    }

    fn region_offers(&self) -> Vec<RegionOffer> {
        let now = self.context.clock.now();
        let mut held = self.offers.borrow_mut();
        if let Some((offers, at)) = &*held
            && now.since(*at) < OFFERS_AGE
        {
            return offers.clone();
        }
        let offers = self.book.borrow().region_offers();
        *held = Some((offers.clone(), now));
        offers
    }

    fn reply(&self, request: &SyncRequest, arrived: BootTime) -> SyncReply {
        let is_known = request.run == self.run;
        let cursor = if is_known { request.cursor } else { 0 };
        let crash_cursor = if is_known { request.crash_cursor } else { 0 };
        let book = self.book.borrow();
        let profile = &request.pulse.profile;
        let audience = UpdateFilter { vm: &profile.vm, region: &profile.region };
        let FleetUpdate { backends, departed, gateways } =
            audience.updates(&book, cursor, self.context.clock.now());
        SyncReply {
            run: self.run,
            cursor: book.last_change(),
            backends,
            departed,
            gateways,
            gateway_total: u32::try_from(book.gateway_total()).unwrap_or(u32::MAX),
            crashes: self.crashes.updates_after(crash_cursor, UpdateScope::Suspects),
            regions: self.region_offers(),
            traffic: self.source.newer(request.traffic_index, request.version),
            confirmed_ago: self.source.confirmed_ago(),
            held: self.context.clock.boot().since(arrived),
            controls: self.source.controls(),
        }
    }
}

fn backend_event(kind: &'static str, standing: &BackendObservation) -> EventDraft {
    let record = &standing.record;
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

fn gateway_event(kind: &'static str, standing: &GatewayObservation) -> EventDraft {
    EventDraft::new(kind)
        .field("gateway", &standing.profile.vm)
        .field("run", standing.profile.run)
        .field("phase", standing.phase)
}

/// Serves the methods "fleet.*".
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
