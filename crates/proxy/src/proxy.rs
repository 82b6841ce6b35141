//! The parts of a proxy, and its door.

use {
    crate::{
        BackendDialect, CallerRequest, CallerRequestId, Dispatcher,
        access::AccessGate,
        attempt::AttemptParts,
        forward::Forwarder,
        hints::HintSender,
        journey::Journey,
        notice::GatewayNotice,
        outcome::FinalWord,
        quota::{QuotaDesk, QuotaParts},
        starting::StartGate,
        unread_headers::UnreadHeaders,
    },
    gullglade_dispatch::{STALL_CHECK_INTERVAL, Scheduler},
    gullglade_event::{EventDraft, EventSink, Level, MetricSet},
    gullglade_fleet::{ActiveTraffic, FleetFollower},
    gullglade_http::{HttpClient, ReplyBody},
    gullglade_peer::{NoticeSender, PeerTransport},
    gullglade_poison::{FingerprintKey, SharedCrashTracker},
    gullglade_quota::QuotaTolerance,
    gullglade_units::{MonotonicTime, ProcessContext, RegionName, decode},
    http::Response,
    std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration},
};

/// What a proxy is put together from.
pub struct ProxyParts {
    /// Clock, random source, tasks.
    pub context: ProcessContext,
    /// The fleet and the configuration in force.
    pub fleet: Rc<FleetFollower>,
    /// Places requests.
    pub dispatcher: Rc<Dispatcher>,
    /// Sends to backend servers.
    pub client: Rc<dyn HttpClient>,
    /// Calls other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// Tells the region's gateways of placements.
    pub notices: Rc<dyn NoticeSender>,
    /// How backend servers are spoken to.
    pub dialect: Rc<dyn BackendDialect>,
    /// What is known of requests that end backend servers.
    pub crashes: Rc<SharedCrashTracker>,
    /// Makes the fingerprints of requests, the same in all gateways.
    pub fingerprint_key: FingerprintKey,
    /// The time after which a key that was taken away must be refused, also without contact to
    /// control processes; `None` where a gateway without contact may go on.
    pub revocation: Option<Duration>,
    /// How far beyond a quota all gateways together may come.
    pub tolerance: QuotaTolerance,
    /// The regions of the deployment; which of them have gateways is learned.
    pub regions: BTreeSet<RegionName>,
    /// The time line.
    pub events: Rc<dyn EventSink>,
    /// Counters and histograms.
    pub metrics: Rc<MetricSet>,
}

struct ProxyShared {
    parts: ProxyParts,
    attempts: AttemptParts,
    forwarder: Forwarder,
    access: AccessGate,
    quota: Rc<QuotaDesk>,
    /// When what is not finished will be cut off, for a gateway that is about to end.
    cutoff: Cell<Option<MonotonicTime>>,
    /// Requests of other regions' gateways that are in progress here.
    forwards: Cell<usize>,
    /// Callers' requests that came before the first configuration.
    start_gate: StartGate,
}

/// How often [`Proxy::forwards_finished`] looks. The session's task writes the last piece of an
/// answer meanwhile.
const FORWARDS_LOOK: Duration = Duration::from_millis(50);

/// One request of another region's gateway, in progress here.
pub(crate) struct ForwardGuard(Rc<ProxyShared>);

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.forwards.set(self.0.forwards.get() - 1);
    }
}

/// Takes callers' requests.
#[derive(Clone)]
pub struct Proxy {
    shared: Rc<ProxyShared>,
}

impl Proxy {
    /// A proxy over its parts.
    pub fn new(parts: ProxyParts) -> Self {
        let attempts = AttemptParts {
            client: Rc::clone(&parts.client),
            dialect: Rc::clone(&parts.dialect),
            unread: UnreadHeaders::new(Rc::clone(&parts.events)),
        };
        let forwarder = Forwarder {
            transport: Rc::clone(&parts.transport),
            fleet: Rc::clone(&parts.fleet),
            context: parts.context.clone(),
            dispatcher: Rc::clone(&parts.dispatcher),
        };
        let access = AccessGate::new(Rc::clone(&parts.fleet), parts.revocation);
        let quota = QuotaDesk::new(QuotaParts {
            context: parts.context.clone(),
            fleet: Rc::clone(&parts.fleet),
            notices: Rc::clone(&parts.notices),
            events: Rc::clone(&parts.events),
            metrics: Rc::clone(&parts.metrics),
            revocation: parts.revocation,
            tolerance: parts.tolerance,
            regions: parts.regions.clone(),
        });
        quota.start();
        let hints = HintSender::new(
            Rc::clone(&parts.notices),
            Rc::clone(&parts.fleet),
            parts.context.clone(),
        );
        hints.attach(&parts.dispatcher);
        let cutoff = Cell::new(None);
        let forwards = Cell::new(0);
        let start_gate = StartGate::default();
        let shared =
            ProxyShared { parts, attempts, forwarder, access, quota, cutoff, forwards, start_gate };
        let proxy = Self { shared: Rc::new(shared) };
        proxy.watch_start();
        proxy.watch_stalls();
        proxy
    }

    /// Notices when this process has stood still.
    fn watch_stalls(&self) {
        let shared = Rc::downgrade(&self.shared);
        let clock = Rc::clone(&self.context().clock);
        self.context().spawner.spawn(Box::pin(async move {
            loop {
                clock.sleep(STALL_CHECK_INTERVAL).await;
                let Some(shared) = shared.upgrade() else { return };
                let ProxyParts { dispatcher, events, .. } = &shared.parts;
                if let Some(stall) = dispatcher.with_scheduler(Scheduler::check_stall) {
                    let event = EventDraft::new("gateway.stood_still").level(Level::Warn);
                    events.emit(event.millis("stall_ms", stall));
                }
            }
        }));
    }

    /// Lets waiting requests in with the first configuration.
    fn watch_start(&self) {
        let shared = Rc::downgrade(&self.shared);
        self.shared.parts.fleet.watch(Rc::new(move |_| {
            let Some(shared) = shared.upgrade() else { return };
            if shared.parts.fleet.traffic().is_some() {
                shared.start_gate.open();
            }
        }));
    }

    /// Serves a caller's request. Dropped, it cancels the work behind it; so does dropping the
    /// reply's body before its end.
    pub async fn serve(&self, mut call: CallerRequest) -> Response<ReplyBody> {
        let id = call.id.clone();
        let mut waited = Duration::ZERO;
        if self.traffic().is_none() {
            waited = self.shared.start_gate.wait(call.caller_timeout, self.context()).await;
            call.caller_timeout =
                call.caller_timeout.map(|caller_timeout| caller_timeout.saturating_sub(waited));
        }
        match Journey::begin(self, call, waited) {
            Ok(journey) => journey.run().await,
            Err(word) => {
                self.tell_refused(&id, word, waited);
                word.into_response(self.dialect())
            }
        }
    }

    /// Tells of a request that is refused before it is queued.
    fn tell_refused(&self, id: &CallerRequestId, word: FinalWord, waited: Duration) {
        let kind = match word {
            FinalWord::NoRoute => "request.no_route",
            FinalWord::Leaving => "request.leaving",
            FinalWord::NoAccess(denial) => {
                self.metrics().access_denied(denial.label());
                "request.no_access"
            }
            // The quotas' own line says more.
            FinalWord::OverQuota(_) => return,
            _ => "request.no_configuration",
        };
        let version = self.traffic().map(|t| t.config.version());
        let event = EventDraft::new(kind).field("request", id);
        let event = event.optional("version", version).millis("waited_ms", waited);
        let event = match word {
            FinalWord::NoAccess(denial) => {
                let age = self.shared.parts.fleet.confirmed_ago();
                let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
                event.field("reason", denial).optional("confirmed_ago_ms", age_ms)
            }
            _ => event,
        };
        self.events().emit(event);
    }

    /// From now on takes only requests that end by themselves before `time`, at which this process
    /// will cut off what is left.
    pub fn set_cutoff(&self, time: MonotonicTime) {
        self.shared.cutoff.set(Some(time));
    }

    /// Whether a request that may take `left` can still end by itself.
    pub(crate) fn has_time_for(&self, left: Duration) -> bool {
        let now = self.context().clock.now();
        self.shared.cutoff.get().is_none_or(|cut| left <= cut.since(now))
    }

    /// Completes when nothing that gateways of other regions sent here is in progress.
    ///
    /// Their callers are not connected to this process, so the end of its own callers' connections
    /// says nothing of them: a stop that did not wait would cut their answers in the middle.
    pub async fn wait_for_forwards(&self) {
        let mut quiet_looks = 0;
        while quiet_looks < 2 {
            self.context().clock.sleep(FORWARDS_LOOK).await;
            quiet_looks = if self.shared.forwards.get() == 0 { quiet_looks + 1 } else { 0 };
        }
    }

    /// Counts a request of another region's gateway until the guard is dropped.
    pub(crate) fn begin_forward(&self) -> ForwardGuard {
        self.shared.forwards.set(self.shared.forwards.get() + 1);
        ForwardGuard(Rc::clone(&self.shared))
    }

    /// Takes a notice of another gateway: where it sent requests, or what was spent of quotas.
    pub fn handle_notice(&self, body: &[u8]) {
        match decode(body) {
            Ok(GatewayNotice::Hints(hints)) => {
                self.dispatcher().with_scheduler(|scheduler, now| scheduler.note_hints(hints, now));
            }
            Ok(GatewayNotice::Spend(spend)) => self.quota().note(spend),
            Err(error) => {
                let event = EventDraft::new("gateway.notice_unreadable").level(Level::Warn);
                self.events().emit(event.error("reason", &error));
            }
        }
    }

    /// Keeps sessions to gateways of other regions. To be called every few seconds.
    pub fn keep_sessions_alive(&self) {
        self.shared.forwarder.keep_sessions_alive();
    }

    /// The configuration in force.
    pub(crate) fn traffic(&self) -> Option<ActiveTraffic> {
        self.shared.parts.fleet.traffic()
    }

    pub(crate) fn access(&self) -> &AccessGate {
        &self.shared.access
    }

    pub(crate) fn quota(&self) -> &Rc<QuotaDesk> {
        &self.shared.quota
    }

    pub(crate) fn region(&self) -> &RegionName {
        &self.shared.parts.fleet.profile().region
    }

    pub(crate) fn context(&self) -> &ProcessContext {
        &self.shared.parts.context
    }

    pub(crate) fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.shared.parts.dispatcher
    }

    pub(crate) fn crashes(&self) -> &Rc<SharedCrashTracker> {
        &self.shared.parts.crashes
    }

    pub(crate) fn fingerprint_key(&self) -> FingerprintKey {
        self.shared.parts.fingerprint_key
    }

    pub(crate) fn attempts(&self) -> &AttemptParts {
        &self.shared.attempts
    }

    pub(crate) fn forwarder(&self) -> &Forwarder {
        &self.shared.forwarder
    }

    pub(crate) fn dialect(&self) -> &dyn BackendDialect {
        &*self.shared.parts.dialect
    }

    pub(crate) fn events(&self) -> &Rc<dyn EventSink> {
        &self.shared.parts.events
    }

    pub(crate) fn metrics(&self) -> &Rc<MetricSet> {
        &self.shared.parts.metrics
    }
}
