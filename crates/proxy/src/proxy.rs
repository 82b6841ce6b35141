//! The proxy and its parts.

use {
    crate::{
        BackendDialect, CallerRequest, CallerRequestId, Dispatcher,
        access::AccessChecker,
        attempt::AttemptSender,
        compact_hints::KnownRuns,
        configuration_gate::ConfigurationGate,
        exchange_log::ExchangeLog,
        execution::RequestExecution,
        forward::Forwarder,
        gateway_choice::ForwardCounts,
        health_check::HealthChecker,
        hints::HintSender,
        notice::GatewayNotice,
        outcome::RequestError,
        quota::{QuotaEnforcer, QuotaParts},
        relayed_replies::RelayedReplies,
        unread_headers::UnreadHeaderReporter,
    },
    futures::future::join_all,
    gullglade_dispatch::{PathChange, STALL_CHECK_INTERVAL, Scheduler},
    gullglade_event::{EventDraft, EventSink, Level, MetricSet},
    gullglade_fleet::{ActiveTraffic, FleetFollower},
    gullglade_http::{ApiError, BodyBudget, BodyError, HttpClient, ReplyBody},
    gullglade_peer::{NoticeSender, PeerTransport},
    gullglade_poison::{FingerprintKey, SharedCrashTracker},
    gullglade_quota::QuotaTolerance,
    gullglade_units::{MonotonicTime, ProcessContext, RegionName, decode},
    http::Response,
    std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration},
};

/// Parts of a proxy.
pub struct ProxyParts {
    /// Clock, random source and task spawner.
    pub context: ProcessContext,
    /// Fleet membership and the configuration in force.
    pub fleet: Rc<FleetFollower>,
    /// Scheduler access for placing requests.
    pub dispatcher: Rc<Dispatcher>,
    /// Client for backend servers.
    pub client: Rc<dyn HttpClient>,
    /// Transport for calls to other gateways.
    pub transport: Rc<dyn PeerTransport>,
    /// Sender of notices to other gateways.
    pub notices: Rc<dyn NoticeSender>,
    /// Headers of requests to and responses from backend servers.
    pub dialect: Rc<dyn BackendDialect>,
    /// Ledger of requests that ended backend servers.
    pub crashes: Rc<SharedCrashTracker>,
    /// Key for request fingerprints, the same in all gateways.
    pub fingerprint_key: FingerprintKey,
    /// Time within which a revoked key must be refused, even without contact to control processes;
    /// `None` if a gateway without contact may keep accepting keys.
    pub revocation: Option<Duration>,
    /// Tolerance by which all gateways together may exceed a quota.
    pub tolerance: QuotaTolerance,
    /// Regions of the deployment; which of them have gateways is discovered.
    pub regions: BTreeSet<RegionName>,
    /// Memory for responses that are buffered before the first byte is relayed.
    pub body_budget: BodyBudget,
    /// Sink for log events.
    pub events: Rc<dyn EventSink>,
    /// Counters and histograms.
    pub metrics: Rc<MetricSet>,
}

struct ProxyShared {
    parts: ProxyParts,
    attempts: AttemptSender,
    forwarder: Forwarder,
    access: AccessChecker,
    quota: Rc<QuotaEnforcer>,
    /// Time at which unfinished requests are cut off, if this gateway is about to stop and takes only
    /// what ends before.
    cutoff: Cell<Option<MonotonicTime>>,
    /// The same for requests of other gateways.
    forward_cutoff: Cell<Option<MonotonicTime>>,
    /// Number of requests in progress for gateways of other regions.
    forwards: Cell<usize>,
    /// Callers' requests that arrived before the first configuration.
    configuration_gate: ConfigurationGate,
    known_runs: Rc<KnownRuns>,
    relayed_replies: Rc<RelayedReplies>,
    health: Rc<HealthChecker>,
}

impl ProxyShared {
    /// Tries to connect to backend servers to which connections failed.
    fn probe_connections(&self) {
        let ProxyParts { dispatcher, events, client, context, .. } = &self.parts;
        let (changes, probes) = dispatcher.with_scheduler(|scheduler, now| {
            (scheduler.take_path_changes(), scheduler.connection_probes(now))
        });
        for PathChange { service, is_lost, failed, serving } in changes {
            let (kind, level) = match is_lost {
                true => ("path.lost", Level::Warn),
                false => ("path.restored", Level::Info),
            };
            let event = EventDraft::new(kind).level(level).field("service", service);
            events.emit(event.field("failed", failed).field("serving", serving));
        }
        for (run, address) in probes {
            let (dispatcher, client) = (Rc::clone(dispatcher), Rc::clone(client));
            let health = Rc::clone(&self.health);
            context.spawner.spawn(Box::pin(async move {
                // A failure changes nothing, and `path.lost` was logged before.
                if client.connect(address).await.is_ok() {
                    // The health checks come first: they say how fast waiting requests may follow.
                    let checks = dispatcher.update_scheduler(|scheduler, now| {
                        scheduler.note_connected(&run, now);
                        scheduler.health_checks(now)
                    });
                    join_all(checks.into_iter().map(|check| health.check(check))).await;
                }
            }));
        }
    }

    /// Asks backend servers that may have started again how long they stay cold.
    fn check_health(&self) {
        let ProxyParts { dispatcher, context, .. } = &self.parts;
        for check in dispatcher.with_scheduler(Scheduler::health_checks) {
            let health = Rc::clone(&self.health);
            context.spawner.spawn(Box::pin(async move { health.check(check).await }));
        }
    }
}

/// Poll interval of [`Proxy::wait_for_forwards`]. It leaves the session's task time to write the
/// last frame of a response.
const FORWARDS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request in progress for a gateway of another region.
pub(crate) struct ForwardGuard(Rc<ProxyShared>);

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.forwards.set(self.0.forwards.get() - 1);
    }
}

/// What the head of a request says about its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteLookup {
    /// This gateway has no configuration yet.
    Unconfigured,
    /// No route matches the request.
    Unrouted,
    /// A route matches, which limits the time of its requests.
    Routed {
        /// Longest time for which a request may be kept waiting.
        timeout: Duration,
    },
}

/// Serves callers' requests.
#[derive(Clone)]
pub struct Proxy {
    shared: Rc<ProxyShared>,
}

impl Proxy {
    /// Creates a proxy from its parts and starts its background tasks.
    pub fn new(parts: ProxyParts) -> Self {
        let attempts = AttemptSender {
            client: Rc::clone(&parts.client),
            dialect: Rc::clone(&parts.dialect),
            unread_headers: UnreadHeaderReporter::new(Rc::clone(&parts.events)),
            log: ExchangeLog::new(Rc::clone(&parts.events)),
        };
        let health = HealthChecker {
            client: Rc::clone(&parts.client),
            dialect: Rc::clone(&parts.dialect),
            dispatcher: Rc::clone(&parts.dispatcher),
            events: Rc::clone(&parts.events),
        };
        let forwarder = Forwarder {
            transport: Rc::clone(&parts.transport),
            fleet: Rc::clone(&parts.fleet),
            context: parts.context.clone(),
            dispatcher: Rc::clone(&parts.dispatcher),
            events: Rc::clone(&parts.events),
            counts: ForwardCounts::default(),
        };
        let access = AccessChecker::new(Rc::clone(&parts.fleet), parts.revocation);
        let quota = QuotaEnforcer::new(QuotaParts {
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
        let clock = Rc::clone(&parts.context.clock);
        let known_runs = KnownRuns::new(Rc::clone(&parts.fleet), clock);
        let hints = HintSender::new(
            Rc::clone(&parts.notices),
            Rc::clone(&parts.fleet),
            parts.context.clone(),
            Rc::clone(&known_runs),
        );
        hints.attach(&parts.dispatcher);
        let (cutoff, forward_cutoff) = (Cell::new(None), Cell::new(None));
        let forwards = Cell::new(0);
        let configuration_gate = ConfigurationGate::default();
        let relayed_replies = RelayedReplies::new(
            &parts.body_budget,
            Rc::clone(&parts.context.clock),
            Rc::clone(&parts.events),
        );
        let shared = ProxyShared {
            parts,
            attempts,
            forwarder,
            access,
            quota,
            cutoff,
            forward_cutoff,
            forwards,
            configuration_gate,
            known_runs,
            relayed_replies,
            health: Rc::new(health),
        };
        let proxy = Self { shared: Rc::new(shared) };
        proxy.watch_configuration();
        proxy.watch_stalls();
        proxy.watch_closes();
        proxy
    }

    /// Starts the task that detects stalls of this process, probes backend servers to which
    /// connections failed, and gives up replies that nobody reads.
    fn watch_stalls(&self) {
        let shared = Rc::downgrade(&self.shared);
        let clock = Rc::clone(&self.context().clock);
        self.context().spawner.spawn(Box::pin(async move {
            loop {
                clock.sleep(STALL_CHECK_INTERVAL).await;
                let Some(shared) = shared.upgrade() else { return };
                let ProxyParts { dispatcher, events, metrics, .. } = &shared.parts;
                match dispatcher.with_scheduler(Scheduler::check_stall) {
                    Some(stall) => {
                        let event = EventDraft::new("gateway.stood_still").level(Level::Warn);
                        events.emit(event.millis("stall_ms", stall));
                    }
                    // After a stall the callers have not been offered anything either.
                    None => {
                        shared.relayed_replies.free_memory();
                        shared.relayed_replies.free_slots(dispatcher);
                    }
                }
                let above = dispatcher.with_scheduler(|s, now| s.workspaces_above_share(now));
                metrics.workspaces_above_share(above);
                shared.probe_connections();
                shared.check_health();
            }
        }));
    }

    /// Reports closed connections to backend servers, which may have ended.
    fn watch_closes(&self) {
        let dispatcher = Rc::downgrade(&self.shared.parts.dispatcher);
        self.shared.parts.client.observe_closes(Rc::new(move |address| {
            if let Some(dispatcher) = dispatcher.upgrade() {
                dispatcher.update_scheduler(|scheduler, now| {
                    scheduler.note_connections_closed(address, now);
                });
            }
        }));
    }

    /// Releases waiting requests when the first configuration arrives.
    fn watch_configuration(&self) {
        let shared = Rc::downgrade(&self.shared);
        self.shared.parts.fleet.watch(Rc::new(move |_| {
            let Some(shared) = shared.upgrade() else { return };
            if shared.parts.fleet.traffic().is_some() {
                shared.configuration_gate.open();
            }
        }));
    }

    /// Looks up the route of a request whose body has not been read.
    pub fn look_up(&self, host: &str, path: &str) -> RouteLookup {
        let Some(traffic) = self.traffic() else { return RouteLookup::Unconfigured };
        match traffic.config.routes().find(host, path) {
            Some(route) => RouteLookup::Routed { timeout: route.timeout },
            None => RouteLookup::Unrouted,
        }
    }

    /// Refuses a request that [`look_up`](Self::look_up) found no route for.
    pub fn refuse_unrouted(&self, id: &CallerRequestId) -> Response<ReplyBody> {
        self.log_refused(id, RequestError::NoRoute, Duration::ZERO);
        RequestError::NoRoute.into_response(self.dialect())
    }

    /// Refuses a request whose body did not arrive whole; it has not run.
    pub fn refuse_body(&self, id: &CallerRequestId, error: BodyError) -> Response<ReplyBody> {
        let event = EventDraft::new("request.body_refused").field("request", id);
        self.events().emit(event.error("reason", &error));
        ApiError::from(error).into_response()
    }

    /// Serves a caller's request. Dropping the future cancels the work of the backend server, and
    /// so does dropping the body of the response before its end.
    pub async fn serve(&self, mut request: CallerRequest) -> Response<ReplyBody> {
        let id = request.id.clone();
        let mut waited = Duration::ZERO;
        if self.traffic().is_none() {
            waited =
                self.shared.configuration_gate.wait(request.caller_timeout, self.context()).await;
            request.caller_timeout =
                request.caller_timeout.map(|caller_timeout| caller_timeout.saturating_sub(waited));
        }
        match RequestExecution::begin(self, request, waited) {
            Ok(execution) => execution.run().await,
            Err(error) => {
                self.log_refused(&id, error, waited);
                error.into_response(self.dialect())
            }
        }
    }

    /// Logs a request that is refused before it is queued.
    fn log_refused(&self, id: &CallerRequestId, error: RequestError, waited: Duration) {
        let kind = match error {
            RequestError::NoRoute => "request.no_route",
            RequestError::Leaving => "request.leaving",
            RequestError::NoAccess(denial) => {
                self.metrics().access_denied(denial.label());
                "request.no_access"
            }
            // The quota enforcer logs its own line with more details.
            RequestError::OverQuota(_) => return,
            _ => "request.no_configuration",
        };
        let version = self.traffic().map(|t| t.config.version());
        let event = EventDraft::new(kind).field("request", id);
        let event = event.optional("version", version).millis("waited_ms", waited);
        let event = match error {
            RequestError::NoAccess(denial) => {
                let age = self.shared.parts.fleet.confirmed_ago();
                let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
                event.field("reason", denial).optional("confirmed_ago_ms", age_ms)
            }
            _ => event,
        };
        self.events().emit(event);
    }

    /// From now on accepts only requests that end by themselves before `time`, at which this
    /// process will cut off the remaining ones.
    pub fn set_cutoff(&self, time: MonotonicTime) {
        self.shared.cutoff.set(Some(time));
    }

    /// From now on accepts only those requests of other gateways that end by themselves before
    /// `time`. Their gateways can choose another one at once, which callers may not know yet.
    pub fn set_forward_cutoff(&self, time: MonotonicTime) {
        self.shared.forward_cutoff.set(Some(time));
    }

    /// Returns `true` if a caller's request that may take `left` can end by itself before the
    /// cutoff.
    pub(crate) fn has_time_for(&self, left: Duration) -> bool {
        self.ends_before(&self.shared.cutoff, left)
    }

    /// Returns `true` if a request of another gateway can.
    pub(crate) fn has_time_for_forward(&self, left: Duration) -> bool {
        self.ends_before(&self.shared.forward_cutoff, left)
    }

    fn ends_before(&self, cutoff: &Cell<Option<MonotonicTime>>, left: Duration) -> bool {
        let now = self.context().clock.now();
        cutoff.get().is_none_or(|cut| left <= cut.since(now))
    }

    /// Waits until no request from a gateway of another region is in progress.
    ///
    /// The callers of such requests are not connected to this process, so a shutdown that waits
    /// only for its own connections would cut off their responses.
    pub async fn wait_for_forwards(&self) {
        let mut idle_polls = 0;
        while idle_polls < 2 {
            self.context().clock.sleep(FORWARDS_POLL_INTERVAL).await;
            idle_polls = if self.shared.forwards.get() == 0 { idle_polls + 1 } else { 0 };
        }
    }

    /// Counts a request of another region's gateway until the guard is dropped.
    pub(crate) fn begin_forward(&self) -> ForwardGuard {
        self.shared.forwards.set(self.shared.forwards.get() + 1);
        ForwardGuard(Rc::clone(&self.shared))
    }

    /// Handles a notice of another gateway: hints on its sends, or quota usage.
    pub fn handle_notice(&self, body: &[u8]) {
        match decode(body) {
            Ok(GatewayNotice::Hints(hints)) => {
                let hints = self.shared.known_runs.directory().restore(hints);
                self.dispatcher().with_scheduler(|scheduler, now| scheduler.note_hints(hints, now));
            }
            Ok(GatewayNotice::Spend(spend)) => self.quota().handle_notice(spend),
            Err(error) => {
                let event = EventDraft::new("gateway.notice_unreadable").level(Level::Warn);
                self.events().emit(event.error("reason", &error));
            }
        }
    }

    /// Keeps sessions to gateways of other regions alive. Must be called every few seconds.
    pub fn keep_sessions_alive(&self) {
        self.shared.forwarder.keep_sessions_alive();
    }

    /// Returns the configuration in force.
    pub(crate) fn traffic(&self) -> Option<ActiveTraffic> {
        self.shared.parts.fleet.traffic()
    }

    pub(crate) fn access(&self) -> &AccessChecker {
        &self.shared.access
    }

    pub(crate) fn quota(&self) -> &Rc<QuotaEnforcer> {
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

    pub(crate) fn attempts(&self) -> &AttemptSender {
        &self.shared.attempts
    }

    pub(crate) fn relayed_replies(&self) -> &Rc<RelayedReplies> {
        &self.shared.relayed_replies
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

    pub(crate) fn body_budget(&self) -> &BodyBudget {
        &self.shared.parts.body_budget
    }

    pub(crate) fn metrics(&self) -> &Rc<MetricSet> {
        &self.shared.parts.metrics
    }
}
