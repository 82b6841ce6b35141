//! Keeps a gateway's view up to date, with one task per followed control process.

use {
    crate::{
        ActiveTraffic, BackendRow, FleetView, GatewayAnnouncement, GatewayPhase, GatewayProfile,
        ServiceOffer, SyncReply, SyncRequest, VmCapacity, message::SYNC, view::ViewChange,
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

/// Timeout of a call. A control process holds it for up to 600 ms; the rest covers two round trips
/// between regions and the pauses of a batch-scheduled process.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Mean delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval at which the list of followed control processes is reconciled.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer after which the observations of a control process no longer count.
const CONTROL_EXPIRY: Duration = Duration::from_secs(6);

/// Dependencies of a follower.
pub struct FollowerParts {
    /// Transport for calls to control processes.
    pub transport: Rc<dyn PeerTransport>,
    /// Clock, random source and task spawner.
    pub context: ProcessContext,
    /// Sink for events about changes of the view.
    pub events: Rc<dyn EventSink>,
    /// Parser of the traffic configuration.
    pub format: Rc<dyn TrafficFormat>,
    /// Tracker of requests that crash backend servers.
    pub crashes: Rc<SharedCrashTracker>,
}

/// State of the connection to one control process.
#[derive(Default)]
struct ControlLink {
    run: u64,
    cursor: u64,
    /// Last crash change of the control process that was merged here.
    crash_cursor: u64,
    /// Last crash change of this gateway that was sent to the control process.
    crash_sent_cursor: u64,
    last_answer: Option<MonotonicTime>,
    is_lost: bool,
}

/// Callback after each reply of a control process; the argument is false if nothing but the
/// regions' offers can have changed.
pub type ViewWatcher = Rc<dyn Fn(bool)>;

/// Follows the control processes on behalf of a gateway.
pub struct FleetFollower {
    parts: FollowerParts,
    profile: GatewayProfile,
    /// Announced capacity, which may change with the settings of the process.
    capacity: Cell<VmCapacity>,
    phase: Cell<GatewayPhase>,
    seeds: RefCell<BTreeSet<SocketAddr>>,
    followed: RefCell<BTreeMap<SocketAddr, ControlLink>>,
    view: RefCell<FleetView>,
    /// Dropping these senders ends the calls in progress, so that a new phase is announced at once.
    phase_changed: RefCell<Vec<oneshot::Sender<()>>>,
    /// The offers of this gateway's region, as last set.
    offers: RefCell<Vec<ServiceOffer>>,
    watchers: RefCell<Vec<ViewWatcher>>,
}

impl FleetFollower {
    /// Creates a follower for the gateway of `profile` that starts with the control processes at
    /// `seeds`.
    pub fn new(
        profile: GatewayProfile,
        seeds: impl IntoIterator<Item = SocketAddr>,
        parts: FollowerParts,
    ) -> Rc<Self> {
        let view = RefCell::new(FleetView::new(Rc::clone(&parts.format)));
        parts.crashes.set_gateway(profile.vm.as_str());
        Rc::new(Self {
            parts,
            capacity: Cell::new(profile.capacity),
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

    /// Starts the tasks of the follower.
    pub fn start(self: &Rc<Self>) {
        let follower = Rc::clone(self);
        self.parts.context.spawner.spawn(Box::pin(async move {
            loop {
                follower.reconcile();
                follower.parts.context.clock.sleep(RECONCILE_INTERVAL).await;
            }
        }));
    }

    /// Returns the profile of this gateway.
    pub fn profile(&self) -> &GatewayProfile {
        &self.profile
    }

    /// Returns the capacity of this gateway's VM.
    pub fn capacity(&self) -> VmCapacity {
        self.capacity.get()
    }

    /// Sets the capacity of this gateway's VM and announces it at once.
    pub fn set_capacity(&self, capacity: VmCapacity) {
        let previous = self.capacity.replace(capacity);
        if previous == capacity {
            return;
        }
        let event = EventDraft::new("gateway.capacity_changed").field("gateway", &self.profile.vm);
        self.parts.events.emit(event.field("from", previous).field("to", capacity));
        self.phase_changed.take();
    }

    /// Returns the announced phase of this gateway.
    pub fn phase(&self) -> GatewayPhase {
        self.phase.get()
    }

    /// Sets the phase of this gateway and announces it at once.
    pub fn set_phase(&self, phase: GatewayPhase) {
        if self.phase.replace(phase) == phase {
            return;
        }
        self.parts.events.emit(EventDraft::new("gateway.phase").field("phase", phase));
        self.phase_changed.take();
    }

    /// Sets the offers of this gateway's region, which are sent with the next call.
    pub fn set_offers(&self, offers: Vec<ServiceOffer>) {
        self.offers.replace(offers);
    }

    /// Replaces the seeds, for a deployment whose control processes have moved.
    pub fn set_seeds(self: &Rc<Self>, seeds: impl IntoIterator<Item = SocketAddr>) {
        let seeds: BTreeSet<_> = seeds.into_iter().collect();
        if *self.seeds.borrow() == seeds {
            return;
        }
        self.parts.events.emit(EventDraft::new("control.seeds").field("seeds", seeds.len()));
        self.seeds.replace(seeds);
        self.reconcile();
    }

    /// Registers a callback that runs after each reply of a control process. There are ten replies
    /// per second, so the callback should skip its work if only offers changed.
    pub fn watch(&self, watcher: ViewWatcher) {
        self.watchers.borrow_mut().push(watcher);
    }

    /// Calls `read` with the view.
    pub fn read<T>(&self, read: impl FnOnce(&FleetView) -> T) -> T {
        read(&self.view.borrow())
    }

    /// Returns the active traffic configuration.
    pub fn traffic(&self) -> Option<ActiveTraffic> {
        self.view.borrow().traffic().cloned()
    }

    /// Returns the time since the active configuration was known to be the newest; `None` if it
    /// never was in this run. Includes the time for which the VM was suspended.
    pub fn confirmed_ago(&self) -> Option<Duration> {
        let confirmed = self.view.borrow().confirmed()?;
        Some(self.parts.context.clock.boot().since(confirmed))
    }

    /// Returns how many of the followed control processes answer, and how many are followed.
    pub fn links(&self) -> (usize, usize) {
        let followed = self.followed.borrow();
        (
            followed.values().filter(|l| l.last_answer.is_some() && !l.is_lost).count(),
            followed.len(),
        )
    }

    /// Starts to follow new control processes, and discards the observations of those that have not
    /// answered for [`CONTROL_EXPIRY`].
    fn reconcile(self: &Rc<Self>) {
        let mut wanted = self.seeds.borrow().clone();
        wanted.extend(self.view.borrow().controls());
        let mut followed = self.followed.borrow_mut();
        followed.retain(|address, _| wanted.contains(address));
        for address in wanted {
            if let Entry::Vacant(vacant) = followed.entry(address) {
                vacant.insert(ControlLink::default());
                self.parts.context.spawner.spawn(Box::pin(Rc::clone(self).follow(address)));
            }
        }
        let now = self.parts.context.clock.now();
        for (address, link) in followed.iter_mut() {
            let is_expired = link.last_answer.is_some_and(|at| now.since(at) > CONTROL_EXPIRY);
            if is_expired && !link.is_lost {
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
                Some(Ok(reply)) => self.handle_reply(control, &request, asked, reply),
                // The transport logs lost and restored sessions.
                Some(Err(_)) => {
                    let delay = RETRY_DELAY.mul_f64(0.5 + self.parts.context.random.unit());
                    self.parts.context.clock.sleep(delay).await;
                }
            }
        }
    }

    /// Builds the next request; `None` if the control process is no longer followed.
    fn request(&self, control: SocketAddr) -> Option<SyncRequest> {
        let followed = self.followed.borrow();
        let link = followed.get(&control)?;
        let view = self.view.borrow();
        let traffic = view.traffic();
        let run = if link.is_lost { 0 } else { link.run };
        // A run that knows nothing is sent all crashes, including those observed by others: if all
        // control processes restart, only the gateways still know them.
        let sent_cursor = if run == 0 { 0 } else { link.crash_sent_cursor };
        Some(SyncRequest {
            pulse: GatewayAnnouncement {
                profile: GatewayProfile { capacity: self.capacity.get(), ..self.profile.clone() },
                phase: self.phase.get(),
            },
            offers: self.offers.borrow().clone(),
            crashes: self.parts.crashes.updates_after(sent_cursor, UpdateScope::Own),
            crash_cursor: link.crash_cursor,
            run,
            cursor: link.cursor,
            traffic_index: traffic.map_or(0, |t| t.index),
            version: traffic.map(|t| t.config.version()),
        })
    }

    /// Makes one call; `None` if the phase of this gateway changed meanwhile.
    async fn call(
        &self,
        control: SocketAddr,
        request: &SyncRequest,
    ) -> Option<Result<SyncReply, PeerError>> {
        let (cancel, changed) = oneshot::channel::<()>();
        {
            let mut waiting = self.phase_changed.borrow_mut();
            waiting.retain(|other| !other.is_canceled());
            waiting.push(cancel);
        }
        let body = Bytes::from(encode(request));
        let calling = self.parts.transport.call(control, SYNC, body, CALL_TIMEOUT);
        match select(calling, pin!(changed)).await {
            Either::Left((Ok(reply), _)) => {
                Some(decode(&reply).map_err(|e| PeerFault::malformed(e).into()))
            }
            Either::Left((Err(error), _)) => Some(Err(error)),
            Either::Right(_) => None,
        }
    }

    fn handle_reply(
        &self,
        control: SocketAddr,
        request: &SyncRequest,
        asked: BootTime,
        reply: SyncReply,
    ) {
        let now = self.parts.context.clock.now();
        let is_complete = reply.run != request.run;
        let (run, cursor) = (reply.run, reply.cursor);
        let crash_cursor = reply.crashes.cursor;
        let has_all_crashes = !is_complete || request.run == 0;
        let crash_sent_cursor = if has_all_crashes { request.crashes.cursor } else { 0 };
        self.parts.crashes.merge(reply.crashes.clone());
        let change = self.view.borrow_mut().merge(control, is_complete, reply, asked, now);
        self.parts.crashes.set_gateways(self.view.borrow().gateway_total());
        if let Some(link) = self.followed.borrow_mut().get_mut(&control) {
            if link.is_lost || link.last_answer.is_none() {
                self.parts.events.emit(EventDraft::new("control.heard").field("control", control));
            }
            let last_answer = Some(now);
            *link = ControlLink {
                run,
                cursor,
                crash_cursor,
                crash_sent_cursor,
                last_answer,
                is_lost: false,
            };
        }
        match change {
            Ok(change) => self.notify(control, &change, now),
            Err(error) => {
                let event = EventDraft::new("traffic.unreadable").level(Level::Error);
                self.parts.events.emit(event.field("control", control).error("reason", &error));
            }
        }
    }

    fn notify(&self, control: SocketAddr, change: &ViewChange, now: MonotonicTime) {
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
