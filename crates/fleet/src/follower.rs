//! Keeps a gateway's view up to date: one task for each control process that it follows.

use {
    crate::{
        ActiveTraffic, BackendRow, FleetView, GatewayAnnouncement, GatewayPhase, GatewayProfile,
        ServiceOffer, SyncReply, SyncRequest, message::SYNC, view::ViewChange,
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_peer::{PeerError, PeerFault, PeerTransport},
    gullglade_poison::{SharedCrashTracker, UpdateScope},
    gullglade_traffic::TrafficFormat,
    gullglade_units::{BootTime, MonotonicTime, ProcessContext, decode, encode},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, btree_map::Entry},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// The limit on one call. A control process holds it for up to 600 ms; the rest is two round
/// trips between regions and the pauses of a batch-scheduled process.
const CALL_LIMIT: Duration = Duration::from_millis(1_800);

/// The wait after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How often the list of control processes to follow is looked over.
const LOOK_OVER: Duration = Duration::from_millis(500);

/// A control process that has not answered for this long is no longer a witness for anybody.
const VOICE_EXPIRY: Duration = Duration::from_secs(6);

/// What a follower works with.
pub struct FollowerParts {
    /// Calls control processes.
    pub transport: Rc<dyn PeerTransport>,
    /// Clock, random source, tasks.
    pub context: ProcessContext,
    /// Where changes of belief are told.
    pub events: Rc<dyn EventSink>,
    /// Reads the configuration.
    pub format: Rc<dyn TrafficFormat>,
    /// What is known of requests that end backend servers.
    pub crashes: Rc<SharedCrashTracker>,
}

/// How one control process is doing.
#[derive(Default)]
struct ControlLink {
    run: u64,
    cursor: u64,
    /// Of what is known there of requests that end backend servers, the last change told here.
    crash_cursor: u64,
    /// Of what is known here of them, the last change told there.
    crashes_told: u64,
    answered: Option<MonotonicTime>,
    is_lost: bool,
}

/// Called after each reply of a control process, with whether more may have changed than what
/// regions offer.
pub type ViewWatcher = Rc<dyn Fn(bool)>;

/// Follows the control processes for a gateway.
pub struct FleetFollower {
    parts: FollowerParts,
    profile: GatewayProfile,
    phase: Cell<GatewayPhase>,
    seeds: RefCell<BTreeSet<SocketAddr>>,
    followed: RefCell<BTreeMap<SocketAddr, ControlLink>>,
    view: RefCell<FleetView>,
    /// Dropped to end the calls in progress, so that a new phase is told at once.
    phase_changed: RefCell<Vec<oneshot::Sender<()>>>,
    /// What this gateway's region offers, as it told last.
    offers: RefCell<Vec<ServiceOffer>>,
    watchers: RefCell<Vec<ViewWatcher>>,
}

impl FleetFollower {
    /// A follower for the gateway of `profile` that begins with the control processes at `seeds`.
    pub fn new(
        profile: GatewayProfile,
        seeds: impl IntoIterator<Item = SocketAddr>,
        parts: FollowerParts,
    ) -> Rc<Self> {
        let view = RefCell::new(FleetView::new(Rc::clone(&parts.format)));
        Rc::new(Self {
            parts,
            profile,
            phase: Cell::new(GatewayPhase::Starting),
            seeds: RefCell::new(seeds.into_iter().collect()),
            followed: RefCell::default(),
            view,
            phase_changed: RefCell::default(),
            offers: RefCell::default(),
            watchers: RefCell::default(),
        })
    }

    /// Starts to follow.
    pub fn start(self: &Rc<Self>) {
        let follower = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            loop {
                follower.look_over();
                follower.parts.context.clock.sleep(LOOK_OVER).await;
            }
        }));
    }

    /// What this gateway is.
    pub fn profile(&self) -> &GatewayProfile {
        &self.profile
    }

    /// What this gateway says it is about to do.
    pub fn phase(&self) -> GatewayPhase {
        self.phase.get()
    }

    /// Says what this gateway is about to do, at once.
    pub fn set_phase(&self, phase: GatewayPhase) {
        if self.phase.replace(phase) == phase {
            return;
        }
        self.parts.events.emit(EventDraft::new("gateway.phase").field("phase", phase));
        self.phase_changed.take();
    }

    /// Takes what this gateway's region offers, to be told with the next call.
    pub fn set_offers(&self, offers: Vec<ServiceOffer>) {
        self.offers.replace(offers);
    }

    /// Takes other seeds, for a deployment whose control processes have moved.
    pub fn set_seeds(self: &Rc<Self>, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        if *self.seeds.borrow() == seeds {
            return;
        }
        self.parts.events.emit(EventDraft::new("control.seeds").field("seeds", seeds.len()));
        self.seeds.replace(seeds);
        self.look_over();
    }

    /// Calls `watcher` after each reply of a control process. It need not take in everything again
    /// where nothing but offers changed: there are ten replies a second.
    pub fn watch(&self, watcher: ViewWatcher) {
        self.watchers.borrow_mut().push(watcher);
    }

    /// Reads the view.
    pub fn read<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.view.borrow())
    }

    /// The configuration in force.
    pub fn traffic(&self) -> Option<ActiveTraffic> {
        self.view.borrow().traffic().cloned()
    }

    /// How long ago the configuration in force is known to have been the newest; `None` where it
    /// never was in this run. Counts the time for which the VM was suspended.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        let confirmed = self.view.borrow().confirmed()?;
        Some(self.parts.context.clock.boot().since(confirmed))
    }

    /// How many of the followed control processes answer, and how many are followed.
    pub fn links(&self) -> (usize, usize) {
        let followed = self.followed.borrow();
        (followed.values().filter(|l| l.answered.is_some() && !l.is_lost).count(), followed.len())
    }

    /// Begins to follow who is new, and drops the word of who has long been unheard.
    fn look_over(self: &Rc<Self>) {
        let mut wanted = self.seeds.borrow().clone();
        wanted.extend(self.view.borrow().controls());
        let mut followed = self.followed.borrow_mut();
        followed.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if let Entry::Vacant(place) = followed.entry(address) {
                place.insert(ControlLink::default());
                self.parts.context.spawner.spawn(Box::pin(Rc::clone(self).follow(address)));
            }
        }
        let now = self.parts.context.clock.now();
        for (address, link) in followed.iter_mut() {
            let is_unheard = link.answered.is_some_and(|at| now.since(at) > VOICE_EXPIRY);
            if is_unheard && !link.is_lost {
                link.is_lost = true;
                self.view.borrow_mut().remove_control(*address, now);
                let event = EventDraft::new("control.lost").level(Level::Warn);
                self.parts.events.emit(event.field("control", *address));
            }
        }
    }

    async fn follow(self: Rc<Self>, control: SocketAddr) {
        while let Some(request) = self.request(control) {
            let asked = self.parts.context.clock.boot();
            match self.call(control, &request).await {
                None => {}
                Some(Ok(reply)) => self.take(control, &request, asked, reply),
                // The transport tells of sessions that are lost and regained.
                Some(Err(_)) => {
                    let pause = RETRY_PAUSE.mul_f64(0.5 + self.parts.context.random.unit());
                    self.parts.context.clock.sleep(pause).await;
                }
            }
        }
    }

    /// `None` once the control process is no longer followed.
    fn request(&self, control: SocketAddr) -> Option<SyncRequest> {
        let followed = self.followed.borrow();
        let link = followed.get(&control)?;
        let view = self.view.borrow();
        let traffic = view.traffic();
        let run = if link.is_lost { 0 } else { link.run };
        // A run that knows nothing is told everything, also what others saw: where all control
        // processes start again, what they knew stands with the gateways alone.
        let told = if run == 0 { 0 } else { link.crashes_told };
        Some(SyncRequest {
            pulse: GatewayAnnouncement { profile: self.profile.clone(), phase: self.phase.get() },
            offers: self.offers.borrow().clone(),
            crashes: self.parts.crashes.updates_after(told, UpdateScope::Own),
            crash_cursor: link.crash_cursor,
            run,
            cursor: link.cursor,
            traffic_index: traffic.map_or(0, |t| t.index),
            version: traffic.map(|t| t.config.version()),
        })
    }

    /// One call; `None` where this gateway's phase changed meanwhile.
    async fn call(
        &self,
        control: SocketAddr,
        request: &SyncRequest,
    ) -> Option<Result<SyncReply, PeerError>> {
        let (keep, changed) = oneshot::channel::<()>();
        {
            let mut waiting = self.phase_changed.borrow_mut();
            waiting.retain(|other| !other.is_canceled());
            waiting.push(keep);
        }
        let body = Bytes::from(encode(request));
        let calling = self.parts.transport.call(control, SYNC, body, CALL_LIMIT);
        match select(calling, pin!(changed)).await {
            Either::Left((Ok(reply), _)) => {
                Some(decode(&reply).map_err(|e| PeerFault::malformed(e).into()))
            }
            Either::Left((Err(error), _)) => Some(Err(error)),
            Either::Right(_) => None,
        }
    }

    fn take(&self, control: SocketAddr, request: &SyncRequest, asked: BootTime, reply: SyncReply) {
        let now = self.parts.context.clock.now();
        let whole = reply.run != request.run;
        let (run, cursor) = (reply.run, reply.cursor);
        let crash_cursor = reply.crashes.cursor;
        let is_told = !whole || request.run == 0;
        let crashes_told = if is_told { request.crashes.cursor } else { 0 };
        self.parts.crashes.merge(reply.crashes.clone());
        let change = self.view.borrow_mut().merge(control, whole, reply, asked, now);
        if let Some(link) = self.followed.borrow_mut().get_mut(&control) {
            if link.is_lost || link.answered.is_none() {
                self.parts.events.emit(EventDraft::new("control.heard").field("control", control));
            }
            let answered = Some(now);
            *link =
                ControlLink { run, cursor, crash_cursor, crashes_told, answered, is_lost: false };
        }
        match change {
            Ok(change) => self.tell(control, &change, now),
            Err(error) => {
                let event = EventDraft::new("traffic.unreadable").level(Level::Error);
                self.parts.events.emit(event.field("control", control).error("reason", &error));
            }
        }
    }

    fn tell(&self, control: SocketAddr, change: &ViewChange, now: MonotonicTime) {
        let events = &self.parts.events;
        let view = self.view.borrow();
        if let Some(traffic) = view.traffic().filter(|_| change.traffic) {
            let event = EventDraft::new("traffic.in_force").field("control", control);
            let event = event.field("version", traffic.config.version());
            let event = event.field("routes", traffic.config.routes().len());
            events.emit(
                event.field("index", traffic.index).field("evacuated", traffic.evacuated.len()),
            );
        }
        for name in &change.departed {
            events.emit(EventDraft::new("backend.gone").field("backend", name));
        }
        let rows: Vec<BackendRow> = match change.backends.is_empty() {
            true => Vec::new(),
            false => view.backends(now).collect(),
        };
        for row in rows.iter().filter(|r| change.backends.contains(&r.record.name)) {
            events.emit(
                EventDraft::new("backend.known")
                    .field("backend", &row.record.name)
                    .field("service", &row.record.service)
                    .field("address", row.record.address)
                    .field("state", row.record.state)
                    .field("incarnation", row.record.incarnation)
                    .field("sequence", row.record.sequence)
                    .millis("cold_ms", row.cold_until.since(now)),
            );
        }
        for vm in &change.gateways {
            events.emit(EventDraft::new("gateway.known").field("gateway", vm));
        }
        drop(view);
        let watchers = self.watchers.borrow().clone();
        watchers.iter().for_each(|watcher| watcher(change.is_structural));
    }
}
