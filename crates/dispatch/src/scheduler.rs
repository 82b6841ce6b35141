//! The request queue of one gateway, and the placement of the queued requests.
//!
//! The load patterns:
//!
//! - The peak load of a region is several times its usual load while other regions are idle.
//!   Requests are forwarded to another region if they would miss their latency objective here and
//!   meet it there.
//! - Prompt lengths differ by a factor of a hundred. Placement is based on the work ahead of a
//!   request and not on the number of requests.
//! - In overload, requests wait in the queue of the gateway and not in those of the backend
//!   servers, because the gateway can still reorder, forward or refuse them.
//!
//! A request waits only if capacity is expected in time. Otherwise it is refused at once, with the
//! time after which capacity is expected.

mod decide;
mod end;
mod paths;
mod place;
mod prefix_value;
mod prompt_copy;
mod restarts;
mod scan;

pub use restarts::HealthCheck;

use {
    crate::{
        AllowanceShare, BackendHint, BackendInfo, BackendLoad, BackendReport, BackendStatements,
        CacheEstimate, Decision, FirstByteTimes, HealthRecord, LimitUpdate, PromptShape,
        RegionInfo, RepeatArrival, RepeatBudget, RepeatDecision, RequestUpdate, SchedulerSettings,
        SentRequest, StallDetector, StatementChange, TicketId, WorkCost, WorkItem, WorkOutcome,
        answer_end::{EngineAnswers, RequestedAnswer},
        gateway_paths::GatewayPaths,
        hint::{PendingHint, micros_ago, statement_update},
        load::PROGRESS_MAX_AGE,
        membership::GatewayMembership,
        overload::OverloadControl,
        path_monitor::{PathChange, PathMonitor},
        priority::LatencyObjectives,
        rate::SendPacer,
        regions::RegionTable,
        rejection::RejectionGuard,
        restart::RestartRecord,
        statement::{RetainedStatements, StatementRecord},
    },
    end::ServiceAnswers,
    gullglade_traffic::{ServicePool, TrafficRoute},
    gullglade_units::{
        BackendName, BackendRun, FailureDomain, MonotonicTime, RegionName, ServiceName, VmName,
        rendezvous,
    },
    place::load_penalty_ms,
    scan::ServiceScan,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
        time::Duration,
    },
};

/// A load report that is younger than this is attached to the first-byte hint, because it came with
/// the head of the same answer.
const SHARED_REPORT_MAX_AGE: Duration = Duration::from_millis(100);

/// The assumed round-trip time to another gateway of this region until it is measured.
const OWN_REGION_RTT: Duration = Duration::from_millis(2);

struct Backend {
    info: BackendInfo,
    load: BackendLoad,
    cache: CacheEstimate,
    health: HealthRecord,
    pacer: SendPacer,
    statements: StatementRecord,
    rejection_guard: RejectionGuard,
    answers: EngineAnswers,
    restart: RestartRecord,
}

impl Backend {
    /// Returns whether requests may be sent to it at all.
    fn may_serve(&self, evacuated: &BTreeSet<FailureDomain>) -> bool {
        let is_serving = self.info.is_serving && !self.statements.is_leaving;
        is_serving && !evacuated.contains(&self.info.domain)
    }
}

/// The interval at which [`Scheduler::check_stall`] has to be called.
pub const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The backend run that a request was sent to.
struct Placement {
    run: BackendRun,
    /// When the latest bytes of the answer arrived. They are recorded here because a run that is no
    /// longer announced may still answer, while its [`Backend`] entry is gone.
    last_byte: Option<MonotonicTime>,
    /// The request as it was sent.
    sent: SentRequest,
    /// Whether other gateways were told that it holds its slot for long.
    holds_slot: bool,
    route: Rc<TrafficRoute>,
    /// The length of the answer that the caller expects, in tokens.
    length_hint: Option<u32>,
}

struct Waiting {
    ticket: TicketId,
    item: WorkItem,
}

/// Queues the requests of one gateway and places them on backend servers.
pub struct Scheduler {
    settings: SchedulerSettings,
    services: BTreeMap<ServiceName, Rc<ServicePool>>,
    backends: BTreeMap<BackendName, Backend>,
    regions: RegionTable,
    objectives: HashMap<ServiceName, LatencyObjectives>,
    overload: OverloadControl,
    /// What is known about the answers of each service of model engines.
    answers: HashMap<ServiceName, ServiceAnswers>,
    evacuated: Rc<BTreeSet<FailureDomain>>,
    /// Failure domains whose evacuation has ended, with the time of its end.
    returned: BTreeMap<FailureDomain, MonotonicTime>,
    gateways: GatewayMembership,
    gateway_paths: GatewayPaths,
    /// The paths of this gateway to the backend servers of each service.
    paths: HashMap<ServiceName, PathMonitor<BackendName>>,
    path_changes: Vec<PathChange>,
    /// The share of this gateway in the fleet-wide allowances.
    share: AllowanceShare,
    budgets: HashMap<ServiceName, RepeatBudget>,
    stall_detector: StallDetector,
    waiting: Vec<Waiting>,
    /// Hints that were not yet sent to the other gateways of the region.
    hints: Vec<PendingHint>,
    /// Base of the request numbers of this gateway, to keep them distinct from those of others.
    request_base: u64,
    /// Runs that have ended, although announcements may still list them.
    ended: BTreeSet<BackendRun>,
    retained: RetainedStatements,
    /// The run that each unfinished request was sent to.
    sent: HashMap<TicketId, Placement>,
    next_ticket: u64,
    wake: Option<MonotonicTime>,
}

impl Scheduler {
    /// Creates a scheduler that knows no backend servers.
    pub fn new(settings: SchedulerSettings) -> Self {
        let request_base = rendezvous::score(settings.own.as_str(), "requests");
        let mut regions = RegionTable::default();
        regions.note_rtt(&settings.region, OWN_REGION_RTT);
        Self {
            gateways: GatewayMembership::new(settings.own.clone()),
            gateway_paths: GatewayPaths::default(),
            paths: HashMap::new(),
            path_changes: Vec::new(),
            request_base,
            share: AllowanceShare::new(settings.regions),
            overload: OverloadControl::new(settings.overload_control),
            settings,
            services: BTreeMap::new(),
            backends: BTreeMap::new(),
            regions,
            objectives: HashMap::new(),
            answers: HashMap::new(),
            evacuated: Rc::default(),
            returned: BTreeMap::new(),
            budgets: HashMap::new(),
            stall_detector: StallDetector::new(STALL_CHECK_INTERVAL),
            waiting: Vec::new(),
            hints: Vec::new(),
            ended: BTreeSet::new(),
            retained: RetainedStatements::default(),
            sent: HashMap::new(),
            next_ticket: 0,
            wake: None,
        }
    }

    /// Replaces the services of the current configuration and the set of evacuated failure domains.
    pub fn set_configuration(
        &mut self,
        services: impl IntoIterator<Item = Rc<ServicePool>>,
        evacuated: &Rc<BTreeSet<FailureDomain>>,
        now: MonotonicTime,
    ) {
        self.services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let ended = self.evacuated.difference(evacuated).cloned();
        self.returned.extend(ended.map(|domain| (domain, now)));
        self.evacuated = Rc::clone(evacuated);
    }

    /// Replaces the known backend servers of this region.
    pub fn set_backends(
        &mut self,
        announced: impl IntoIterator<Item = BackendInfo>,
        now: MonotonicTime,
    ) {
        let mut previous = std::mem::take(&mut self.backends);
        let (ended, announced): (Vec<_>, Vec<_>) =
            announced.into_iter().partition(|f| self.ended.contains(&f.run()));
        // Ended runs that are no longer announced are forgotten.
        self.ended = ended.iter().map(BackendInfo::run).collect();
        for info in announced {
            // Load, cache contents and failures of an earlier incarnation do not apply to a new
            // one. What was sent lately does: it may have been the new one that got it.
            let earlier = previous.get_mut(&info.name);
            let pacer = earlier.map(|backend| std::mem::take(&mut backend.pacer));
            let known = match previous.get(&info.name) {
                Some(backend) if backend.info.incarnation == info.incarnation => {
                    previous.remove(&info.name)
                }
                _ => None,
            };
            let pacer = pacer.unwrap_or_default();
            let backend = match known {
                Some(backend) => Backend { info, pacer, ..backend },
                None => Backend {
                    statements: self.retained.take(&info.run()),
                    info,
                    load: BackendLoad::default(),
                    cache: CacheEstimate::default(),
                    health: HealthRecord::default(),
                    pacer,
                    rejection_guard: RejectionGuard::default(),
                    answers: EngineAnswers::default(),
                    restart: RestartRecord::default(),
                },
            };
            self.backends.insert(backend.info.name.clone(), backend);
        }
        for backend in previous.into_values() {
            self.retained.retain(backend.info.run(), backend.statements, now);
        }
        self.retained.expire(now);
        self.answers.values_mut().for_each(ServiceAnswers::expire);
    }

    /// Replaces the gateways of this region that may send requests to backend servers.
    pub fn set_gateways(
        &mut self,
        own_region: impl IntoIterator<Item = VmName>,
        now: MonotonicTime,
    ) {
        self.gateways.set(own_region, now);
        self.share.note_region(self.gateways.len());
    }

    /// Sets the number of gateways in all regions, among which fleet-wide limits are divided.
    pub fn set_gateway_total(&mut self, total: usize, now: MonotonicTime) {
        self.share.note_total(total, now);
    }

    /// Replaces the reported capacity of the other regions.
    pub fn set_regions(&mut self, regions: Vec<RegionInfo>) {
        self.regions.set(regions);
    }

    /// Returns the capacity to be reported to other regions: for each service, the number of
    /// backend servers that accept work and the least time to first byte including the load
    /// penalty.
    pub fn offers(&self, now: MonotonicTime) -> Vec<RegionInfo> {
        let services: BTreeSet<&ServiceName> =
            self.backends.values().map(|b| &b.info.service).collect();
        services.into_iter().filter_map(|service| self.offer(service, now)).collect()
    }

    /// Returns the capacity of one service, or `None` if no backend server accepts work for it.
    pub fn offer(&self, service: &ServiceName, now: MonotonicTime) -> Option<RegionInfo> {
        let is_trusted = |b: &Backend| !self.is_suspect(b, now) && !b.load.is_stalled(now);
        let is_held = |b: &Backend| {
            b.statements.limit.limit().is_some() || b.statements.backoff.is_backed_off(now)
        };
        let is_open = |b: &Backend| !is_held(b) && !self.is_cold(b, now);
        let healthy = |b: &&Backend| !b.info.is_silent && is_trusted(b) && is_open(b);
        let times: Vec<FirstByteTimes> = self
            .serving(service)
            .filter(healthy)
            .map(|backend| {
                let cost = idle_cost(backend);
                let load_penalty_ms = load_penalty_ms(backend, now);
                FirstByteTimes::by_priority(|p| {
                    load_penalty_ms + backend.load.first_byte_ms(cost, p, now)
                })
            })
            .collect();
        Some(RegionInfo {
            region: self.settings.region.clone(),
            service: service.clone(),
            backends: u32::try_from(times.len()).unwrap_or(u32::MAX),
            first_byte: times.into_iter().reduce(FirstByteTimes::min)?,
        })
    }

    /// Returns the number of queued requests and the number of unfinished sent requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.sent.len())
    }

    /// Returns whether requests of a service wait, or none of its backend servers has a slot and a
    /// connection left.
    pub fn is_full(&self, service: &ServiceName, now: MonotonicTime) -> bool {
        let has_room = |b: &Backend| {
            b.load.total_requests(now) < b.info.slots
                && b.load.own_requests() < self.connection_share(service)
        };
        self.waiting.iter().any(|w| w.item.service == *service)
            || !self.serving(service).any(has_room)
    }

    /// Returns the number of connections that this gateway may have to each backend server of a
    /// service.
    fn connection_share(&self, service: &ServiceName) -> usize {
        let limit = self.services.get(service).map_or(0, |pool| pool.connection_limit as usize);
        (limit / self.gateways.len().max(1)).max(1)
    }

    /// Returns the number of workspaces that used more than their share of a service under shortage.
    /// Zero without overload control.
    pub fn workspaces_above_share(&self, now: MonotonicTime) -> usize {
        self.overload.workspaces_above_share(now)
    }

    /// Detects whether this process was stalled, and returns the length of the stall. Has to be
    /// called every [`STALL_CHECK_INTERVAL`].
    pub fn check_stall(&mut self, now: MonotonicTime) -> Option<Duration> {
        self.stall_detector.check(now)
    }

    /// Adds a request to the queue. A later [`poll`](Self::poll) returns the decision on it.
    pub fn submit(&mut self, item: WorkItem, now: MonotonicTime) -> TicketId {
        if item.is_new {
            let sent = self.stall_detector.sent_since(now);
            self.budget(&item.service).note_request(sent, now);
        }
        self.objectives.entry(item.service.clone()).or_default().note(&item);
        self.overload.note_submitted(&item, now);
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        self.waiting.push(Waiting { ticket, item });
        ticket
    }

    /// Removes a request from the queue, after its caller has disconnected.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Decides on the queued requests. Requests without a decision stay in the queue.
    pub fn poll(&mut self, now: MonotonicTime) -> Vec<(TicketId, Decision)> {
        self.wake = None;
        let mut decisions = Vec::new();
        let mut queue = std::mem::take(&mut self.waiting);
        // In overload there are always more late requests than capacity. Requests that can still
        // meet their objective go first; otherwise no request would meet it.
        queue.sort_by_cached_key(|w| self.overload.rank(&w.item, w.ticket, now));
        let mut scans: HashMap<ServiceName, ServiceScan> = HashMap::new();
        for waiting in queue {
            let service = &waiting.item.service;
            if !scans.contains_key(service) {
                self.refresh_answers(service, now);
                scans.insert(service.clone(), self.start_scan(service));
            }
            let Some(scan) = scans.get_mut(service) else { continue };
            match self.decide(&waiting, scan, now) {
                Some(decision) => {
                    if decision.is_sent() {
                        self.overload.note_placed(&waiting.item, now);
                    }
                    self.apply(&waiting, &decision, now);
                    decisions.push((waiting.ticket, decision));
                }
                None => {
                    scan.add_queued(&waiting.item);
                    self.overload.note_waiting(&waiting.item, now);
                    self.waiting.push(waiting);
                }
            }
        }
        decisions
    }

    /// Starts a scan of the queued requests of one service. Every gateway of the region has such a
    /// queue, and all of them share the backend servers.
    fn start_scan(&self, service: &ServiceName) -> ServiceScan {
        let loads = self.serving(service).map(|b| (&b.load, b.info.slots));
        ServiceScan::new(loads, self.gateways.len())
    }

    /// Returns the time at which [`poll`](Self::poll) has to be called again, unless an event calls
    /// for it earlier.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        self.wake
    }

    /// Records that bytes of an answer arrived. Has to be called for the first byte and may be
    /// called for every later chunk.
    pub fn note_progress(&mut self, ticket: TicketId, now: MonotonicTime) {
        self.note_events(ticket, 1, now);
    }

    /// Records that bytes of a stream arrived in which this number of events ends. The pace of an
    /// engine is learned from events, of which several may arrive at once.
    pub fn note_events(&mut self, ticket: TicketId, events: u32, now: MonotonicTime) {
        let Some(placement) = self.sent.get_mut(&ticket) else { return };
        placement.last_byte = Some(now);
        let began = placement.sent.sent;
        let Some(backend) = self.sent_backend(ticket) else { return };
        backend.restart.note_own_contact(began, now);
        let service = backend.info.service.clone();
        self.note_contact(&service, now);
        if events > 0 {
            self.note_answer_events(ticket, events, now);
        }
        let Some(backend) = self.sent_backend(ticket) else { return };
        // The rest applies to the first chunk only.
        let Some(sent) = backend.load.note_own_first_byte(ticket, now) else { return };
        backend.statements.backoff.note_accepted(now);
        backend.health.note_accepted(now);
        let load = backend.load.recent_report(SHARED_REPORT_MAX_AGE, now);
        let limit = LimitUpdate::new(&backend.statements.limit, now);
        let run = backend.info.run();
        let pace = backend.answers.pace.shared();
        let news = RequestUpdate::Begun { ago_us: 0, load, limit, pace };
        self.queue_hint(run, sent, news, now);
    }

    /// Queues a hint for the other gateways of the region.
    fn queue_hint(
        &mut self,
        run: BackendRun,
        request: SentRequest,
        news: RequestUpdate,
        now: MonotonicTime,
    ) {
        let SentRequest { request, priority, sent, .. } = request;
        let happened_at = now;
        let hint = PendingHint { run, request, priority, sent, happened_at, news };
        self.hints.push(hint);
    }

    /// Records the statements that came with the answer to a request, and returns those that
    /// changed.
    pub fn note_statements(
        &mut self,
        ticket: TicketId,
        statements: &BackendStatements,
        now: MonotonicTime,
    ) -> Vec<StatementChange> {
        let Some(Placement { run, .. }) = self.sent.get(&ticket) else { return Vec::new() };
        let Some(backend) = backend_of_run(&mut self.backends, run) else {
            return self.retained.note(run, statements, now);
        };
        if let Some(load) = statements.load {
            backend.load.note_report(load, now);
        }
        if let Some(left) = statements.cold_left {
            backend.restart.note_stated(left, now);
        }
        let changes = backend.statements.note(statements, now);
        let Some(sent) = backend.load.sent(ticket).filter(|_| !changes.is_empty()) else {
            return changes;
        };
        let run = run.clone();
        for news in changes.iter().filter_map(statement_update) {
            self.queue_hint(run.clone(), sent, news, now);
        }
        changes
    }

    /// Returns whether the request may still be sent to the selected run. It may not if the run has
    /// announced meanwhile that it is leaving or has requested a back-off.
    pub fn is_placement_usable(&self, ticket: TicketId, now: MonotonicTime) -> bool {
        let Some(Placement { run, .. }) = self.sent.get(&ticket) else { return false };
        let backend = self.backends.get(&run.backend);
        backend.filter(|backend| backend.info.incarnation == run.incarnation).is_some_and(
            |backend| self.may_serve(backend) && backend.statements.backoff.until(now).is_none(),
        )
    }

    /// Returns the unfinished requests that were sent to `run`.
    pub fn sent_to_run(&self, run: &BackendRun) -> Vec<TicketId> {
        let there = self.sent.iter().filter(|(_, placement)| placement.run == *run);
        there.map(|(ticket, _)| *ticket).collect()
    }

    /// Returns the backend server that a request was sent to, unless a newer incarnation replaced
    /// it.
    fn sent_backend(&mut self, ticket: TicketId) -> Option<&mut Backend> {
        let placement = self.sent.get(&ticket)?;
        backend_of_run(&mut self.backends, &placement.run)
    }

    /// Records the outcome of a request that was sent.
    pub fn end(&mut self, ticket: TicketId, outcome: WorkOutcome, now: MonotonicTime) {
        let Some(placement) = self.sent.remove(&ticket) else { return };
        let Placement { run, last_byte, sent, holds_slot, route, length_hint } = placement;
        self.note_answer_end(ticket, &run, &route, length_hint, outcome);
        let Some(backend) = backend_of_run(&mut self.backends, &run) else { return };
        let unbegun = backend.load.end(ticket);
        backend.health.note(outcome, now);
        let service = backend.info.service.clone();
        match outcome {
            WorkOutcome::Unreachable => {
                self.note_unreachable(&service, &run.backend);
                self.note_lost(&run, now);
            }
            WorkOutcome::Broken => self.note_broken(&run, now),
            WorkOutcome::Answered | WorkOutcome::Failed => self.note_contact(&service, now),
            WorkOutcome::Misdirected => {
                // Another run answers at this address, so the intended one has ended, even if it is
                // still announced.
                self.backends.remove(&run.backend);
                self.ended.insert(run.clone());
            }
            WorkOutcome::Shed => {
                let slots = backend.info.slots;
                let full =
                    BackendReport { running: slots, waiting: 1, slots, slowdown_percent: None };
                backend.load.note_report(full, now);
                backend.rejection_guard.note_rejected(now);
                self.note_contact(&service, now);
            }
            _ => {}
        }
        if outcome == WorkOutcome::Answered && last_byte.is_some() {
            self.overload.note_held(&service, route.priority, now.since(sent.sent));
        }
        if let Some(sent) = unbegun {
            self.queue_hint(run, sent, RequestUpdate::Dropped, now);
        } else if holds_slot {
            self.queue_hint(run, sent, RequestUpdate::Ended, now);
        }
    }

    /// Records that a backend server sent bytes that belong to no answer.
    pub fn note_garbled(&mut self, run: &BackendRun, now: MonotonicTime) {
        if let Some(backend) = backend_of_run(&mut self.backends, run) {
            backend.health.note(WorkOutcome::Garbled, now);
        }
    }

    /// Returns whether the budget of `service` would grant a repeat, without taking it.
    pub fn peek_repeat(&mut self, service: &ServiceName, now: MonotonicTime) -> RepeatDecision {
        let share = self.share;
        self.budget(service).peek(&share, now)
    }

    /// Returns the earliest time at which the budget of `service` grants a repeat, provided that no
    /// further requests or repeats are counted until then.
    pub fn next_repeat(
        &mut self,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let share = self.share;
        self.budget(service).next_grant(&share, now)
    }

    /// Takes one repeat from the budget of `service`, if one is left. It counts until one window
    /// after its [settlement](Self::settle_repeat).
    pub fn take_repeat(&mut self, service: &ServiceName, now: MonotonicTime) -> RepeatDecision {
        let share = self.share;
        self.budget(service).take(&share, now)
    }

    /// Settles a granted repeat of `service`, after it has finished or was dropped unsent.
    pub fn settle_repeat(
        &mut self,
        service: &ServiceName,
        arrival: RepeatArrival,
        now: MonotonicTime,
    ) {
        self.budget(service).settle(arrival, now);
    }

    /// Returns whether the path to a region is considered broken.
    pub fn is_path_broken(&self, region: &RegionName, now: MonotonicTime) -> bool {
        self.regions.is_broken(region, now)
    }

    /// Records that a region refused a request of a service. No further requests of the service are
    /// forwarded to it for `pause`.
    pub fn pause_service(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        pause: Duration,
        now: MonotonicTime,
    ) {
        self.regions.note_refused(region, service, now + pause);
    }

    /// Records the first-byte times that a region returned with a forwarded request.
    pub fn note_region_offer(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        offer: FirstByteTimes,
        now: MonotonicTime,
    ) {
        self.regions.note_offer(region, service, offer, now);
    }

    /// Records a measured round-trip time to another region.
    pub fn note_region_rtt(&mut self, region: &RegionName, rtt: Duration) {
        self.regions.note_rtt(region, rtt);
    }

    /// Returns the smoothed round-trip time to another region in milliseconds.
    pub fn region_rtt_ms(&self, region: &RegionName) -> f64 {
        self.regions.rtt_ms(region)
    }

    /// Returns the lowest measured round-trip time to another region, or zero if there is none.
    pub fn min_region_rtt(&self, region: &RegionName) -> Duration {
        self.regions.min_rtt(region)
    }

    /// Returns whether the backend server of a request has recently shown progress, on this request
    /// or on any other.
    pub fn is_at_work(&mut self, ticket: TicketId, now: MonotonicTime) -> bool {
        let last_byte = self.sent.get(&ticket).and_then(|placement| placement.last_byte);
        let answers = last_byte.is_some_and(|at| now.since(at) < PROGRESS_MAX_AGE);
        answers || self.sent_backend(ticket).is_some_and(|b| b.load.is_at_work(now))
    }

    /// Returns the hints that have accumulated since the last call, with their ages relative to
    /// `now`.
    pub fn take_hints(&mut self, now: MonotonicTime) -> Vec<BackendHint> {
        self.hints.drain(..).map(|hint| hint.into_hint(now)).collect()
    }

    /// Returns whether there are hints to send.
    pub fn has_hints(&self) -> bool {
        !self.hints.is_empty()
    }

    /// Applies hints from another gateway of the region.
    pub fn note_hints(&mut self, hints: Vec<BackendHint>, now: MonotonicTime) {
        for hint in hints {
            self.note_hint(hint, now);
        }
    }

    fn note_hint(&mut self, hint: BackendHint, now: MonotonicTime) {
        let BackendHint { run, request, priority, sent_ago_us, news } = hint;
        let Some(backend) = backend_of_run(&mut self.backends, &run) else {
            if news == RequestUpdate::Leaving {
                self.retained.note_leaving(run, now);
            }
            return;
        };
        let sent = micros_ago(now, sent_ago_us);
        match news {
            RequestUpdate::Sent { tokens, parts, holds_slot, workspace, answer } => {
                if let Some(used) = workspace {
                    self.overload.note_peer_use(&backend.info.service, used, now);
                }
                let cost = WorkCost { tokens, slots: backend.info.slots };
                let other = SentRequest { request, cost, priority, sent };
                backend.load.note_send(None, other, now);
                if holds_slot && self.overload.is_on() {
                    backend.load.note_held(request, sent, now);
                }
                if let Some(answer) = answer {
                    let left = Duration::from_millis(answer.left_ms.into());
                    let requested = RequestedAnswer {
                        request,
                        ticket: None,
                        length: Some(answer.length()),
                        deadline: sent + left,
                    };
                    backend.answers.note_requested(requested, now);
                }
                let engine = self.services.get(&backend.info.service).and_then(|s| s.engine);
                if let Some(engine) = engine {
                    backend.cache.note(&parts, engine.memory_tokens, now);
                }
            }
            RequestUpdate::Begun { ago_us, load, limit, pace } => {
                let came = micros_ago(now, ago_us);
                backend.statements.limit.note(limit.limit, micros_ago(now, limit.ago_us));
                backend.load.note_first_byte(request, priority, sent, came);
                backend.restart.note_contact(sent, came);
                backend.answers.note_begun(request, came);
                backend.answers.pace.note_peer(pace);
                if let Some(load) = load {
                    backend.load.note_report(load, came);
                }
            }
            RequestUpdate::Dropped => {
                backend.load.note_dropped(request);
                backend.answers.note_dropped(request);
            }
            RequestUpdate::Ended => backend.load.note_ended(request),
            RequestUpdate::Backoff { left_us } => {
                let until = now + Duration::from_micros(left_us.into());
                backend.statements.backoff.note_peer(until, now);
            }
            RequestUpdate::Leaving => backend.statements.is_leaving = true,
            RequestUpdate::RejectionLimit(limit) => backend.statements.rejection_limit = limit,
            RequestUpdate::MayHaveEnded => Self::note_peer_suspicion(backend, now),
            RequestUpdate::Cold { left_ms } => {
                backend.restart.note_stated(Duration::from_millis(left_ms.into()), now);
            }
        }
        let is_in_prefill = backend.load.is_in_prefill(now);
        backend.answers.note_prefill(is_in_prefill, now);
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RepeatBudget {
        let SchedulerSettings { repeat_window, repeat_ratio, repeat_slack, .. } = self.settings;
        let new = || RepeatBudget::new(repeat_window, repeat_ratio, repeat_slack);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    fn apply(&mut self, waiting: &Waiting, decision: &Decision, now: MonotonicTime) {
        let Decision::Send { run, copy, priority, .. } = decision else { return };
        let name = &run.backend;
        let engine = self.services.get(&waiting.item.service).and_then(|s| s.engine);
        let Some(backend) = self.backends.get_mut(name) else { return };
        let cost = work_cost(backend, &waiting.item);
        let cost = copy.map_or(cost, |copy| copy.reduce(cost));
        let sent = SentRequest {
            request: self.request_base.wrapping_add(waiting.ticket.0),
            cost,
            priority: *priority,
            sent: now,
        };
        backend.load.note_send(Some(waiting.ticket), sent, now);
        let parts = waiting.item.prompt.as_ref().map(PromptShape::shared_parts);
        let parts = parts.unwrap_or_default().to_vec();
        backend.health.note_send(now);
        backend.pacer.note(now);
        backend.statements.backoff.note_send(now);
        backend.rejection_guard.note_send(now);
        if let (Some(prompt), Some(engine)) = (&waiting.item.prompt, engine) {
            backend.cache.note(&prompt.parts, engine.memory_tokens, now);
        }
        let prefill_ms = cost.tokens.map_or(0.0, |tokens| backend.load.prefill_ms(tokens));
        let workspace =
            self.overload.note_own_use(&waiting.item, prefill_ms, backend.info.slots, now);
        let holds_slot = self.overload.holds_slot(&waiting.item);
        let answer = self.note_answer_sent(waiting, sent.request, name, now);
        let placement = Placement {
            run: run.clone(),
            last_byte: None,
            sent,
            holds_slot,
            route: Rc::clone(&waiting.item.route),
            length_hint: waiting.item.prompt.as_ref().and_then(|p| p.expected_answer_tokens),
        };
        self.sent.insert(waiting.ticket, placement);
        let news =
            RequestUpdate::Sent { tokens: cost.tokens, parts, holds_slot, workspace, answer };
        self.queue_hint(run.clone(), sent, news, now);
    }

    /// Returns the backend servers of a service that may get requests.
    fn serving<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().filter(|b| b.info.service == *service && self.may_serve(b))
    }

    /// Returns whether a backend server may get requests at all.
    fn may_serve(&self, backend: &Backend) -> bool {
        backend.may_serve(&self.evacuated)
    }
}

/// Returns the entry of `run`, unless the known incarnation is a different one.
fn backend_of_run<'a>(
    backends: &'a mut BTreeMap<BackendName, Backend>,
    run: &BackendRun,
) -> Option<&'a mut Backend> {
    let backend = backends.get_mut(&run.backend)?;
    (backend.info.incarnation == run.incarnation).then_some(backend)
}

/// Returns the estimated cost of a request at a backend server.
fn work_cost(backend: &Backend, item: &WorkItem) -> WorkCost {
    let unread = |prompt: &PromptShape| {
        prompt.prompt_tokens.saturating_sub(backend.cache.held_tokens(prompt))
    };
    WorkCost { tokens: item.prompt.as_ref().map(unread), slots: backend.info.slots }
}

/// Returns the cost of a minimal request, used for the times that are reported to other regions.
fn idle_cost(backend: &Backend) -> WorkCost {
    WorkCost { tokens: Some(0), slots: backend.info.slots }
}
