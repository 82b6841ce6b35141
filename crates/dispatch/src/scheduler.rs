//! The queue of one gateway, and the choice of a place for each request in it.
//!
//! The load patterns:
//!
//! - A region's peak is several times its quiet hours while other regions are quiet. Work goes to
//!   another region where the own one would miss its objective and the other would not.
//! - Prompts differ in length a hundredfold. A request is placed by the work ahead of it, not by
//!   the count of requests.
//! - At the worst of the load there is more work than room. It waits here and not in the backend
//!   servers' own queues: here it can still be ordered, sent elsewhere or truly turned away.
//!
//! A request waits only for room that is expected in time. One that is known to come too late is
//! turned away at once, with the time after which there will be room.

mod copying;
mod deciding;
mod look;
mod placing;

use {
    crate::{
        AllowanceShare, BackendHint, BackendInfo, BackendLoad, BackendReport, BackendStatements,
        CacheEstimate, Decision, FirstByteTimes, HealthRecord, LimitUpdate, PromptShape,
        RegionInfo, RepeatArrival, RepeatBudget, RepeatDecision, RequestUpdate, SchedulerSettings,
        SentRequest, StallDetector, StatementChange, TicketId, WorkCost, WorkItem, WorkOutcome,
        hint::{OwnHint, ago, statement_news},
        load::PROGRESS_AGE,
        rate::RateGate,
        regions::RegionBook,
        roster::GatewayRoster,
        statement::{RetainedStatements, StatementRecord},
        urgency::ObjectiveBook,
    },
    gullglade_traffic::ServicePool,
    gullglade_units::{
        BackendName, BackendRun, FailureDomain, MonotonicTime, RegionName, ServiceName, VmName,
        rendezvous,
    },
    look::ServiceLook,
    placing::strain_ms,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
        time::Duration,
    },
};

/// A stated load this young is told with a first byte: it came with the head of the same answer.
const TOLD_REPORT_AGE: Duration = Duration::from_millis(100);

struct Backend {
    facts: BackendInfo,
    load: BackendLoad,
    cache: CacheEstimate,
    health: HealthRecord,
    gate: RateGate,
    stated: StatementRecord,
}

/// How often [`Scheduler::check_stall`] is to be called.
pub const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Where a request runs.
struct SentPlace {
    run: BackendRun,
    /// When something last came of its answer. A run that is announced no more may go on for a
    /// while, and nothing else is kept of it.
    heard: Option<MonotonicTime>,
}

struct Waiting {
    ticket: TicketId,
    item: WorkItem,
}

/// The requests of one gateway that wait or run.
pub struct Scheduler {
    settings: SchedulerSettings,
    services: BTreeMap<ServiceName, Rc<ServicePool>>,
    backends: BTreeMap<BackendName, Backend>,
    regions: RegionBook,
    objectives: HashMap<ServiceName, ObjectiveBook>,
    evacuated: Rc<BTreeSet<FailureDomain>>,
    /// Failure domains that were evacuated, and when that ended.
    returned: BTreeMap<FailureDomain, MonotonicTime>,
    gateways: GatewayRoster,
    /// Its part of what all gateways together may do.
    share: AllowanceShare,
    budgets: HashMap<ServiceName, RepeatBudget>,
    stalls: StallDetector,
    waiting: Vec<Waiting>,
    /// What other gateways of the region have not yet been told of.
    hints: Vec<OwnHint>,
    /// The part of its requests' numbers that is this gateway's own.
    request_base: u64,
    /// Runs of backend servers that are over, whatever is still announced of them.
    ended: BTreeSet<BackendRun>,
    retained: RetainedStatements,
    /// Where the requests run that were sent.
    sent: HashMap<TicketId, SentPlace>,
    next_ticket: u64,
    wake: Option<MonotonicTime>,
}

impl Scheduler {
    /// A scheduler that knows of no backend server yet.
    pub fn new(settings: SchedulerSettings) -> Self {
        let request_base = rendezvous::score(settings.own.as_str(), "requests");
        Self {
            gateways: GatewayRoster::new(settings.own.clone()),
            request_base,
            share: AllowanceShare::new(settings.regions),
            settings,
            services: BTreeMap::new(),
            backends: BTreeMap::new(),
            regions: RegionBook::default(),
            objectives: HashMap::new(),
            evacuated: Rc::default(),
            returned: BTreeMap::new(),
            budgets: HashMap::new(),
            stalls: StallDetector::new(STALL_CHECK_INTERVAL),
            waiting: Vec::new(),
            hints: Vec::new(),
            ended: BTreeSet::new(),
            retained: RetainedStatements::default(),
            sent: HashMap::new(),
            next_ticket: 0,
            wake: None,
        }
    }

    /// Takes the services of the configuration in force, and the evacuated failure domains.
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

    /// Takes the backend servers of the own region as they are believed to be.
    pub fn set_backends(
        &mut self,
        facts: impl IntoIterator<Item = BackendInfo>,
        now: MonotonicTime,
    ) {
        let mut old = std::mem::take(&mut self.backends);
        let (ended, facts): (Vec<_>, Vec<_>) =
            facts.into_iter().partition(|f| self.ended.contains(&f.run()));
        // What is announced no more need not be remembered.
        self.ended = ended.iter().map(BackendInfo::run).collect();
        for facts in facts {
            // Another run holds nothing of the one before, and is to be blamed for nothing of it.
            let known = match old.get(&facts.name) {
                Some(backend) if backend.facts.incarnation == facts.incarnation => {
                    old.remove(&facts.name)
                }
                _ => None,
            };
            let backend = match known {
                Some(backend) => Backend { facts, ..backend },
                None => Backend {
                    stated: self.retained.take(&facts.run()),
                    facts,
                    load: BackendLoad::default(),
                    cache: CacheEstimate::default(),
                    health: HealthRecord::default(),
                    gate: RateGate::default(),
                },
            };
            self.backends.insert(backend.facts.name.clone(), backend);
        }
        for backend in old.into_values() {
            self.retained.keep(backend.facts.run(), backend.stated, now);
        }
        self.retained.drop_old(now);
    }

    /// Takes the gateways of the own region that take callers.
    pub fn set_gateways(
        &mut self,
        own_region: impl IntoIterator<Item = VmName>,
        now: MonotonicTime,
    ) {
        self.gateways.set(own_region, now);
        self.share.note_region(self.gateways.len());
    }

    /// Takes the number of gateways in all regions, which share common limits.
    pub fn set_gateway_total(&mut self, total: usize, now: MonotonicTime) {
        self.share.note_total(total, now);
    }

    /// Takes what other regions say of their services.
    pub fn set_regions(&mut self, regions: Vec<RegionInfo>) {
        self.regions.set(regions);
    }

    /// What this gateway would tell other regions of its own: for each service the backend servers
    /// that would be given work, and the least time until a first byte, strain included.
    pub fn offers(&self, now: MonotonicTime) -> Vec<RegionInfo> {
        let services: BTreeSet<&ServiceName> =
            self.backends.values().map(|b| &b.facts.service).collect();
        services.into_iter().filter_map(|service| self.offer(service, now)).collect()
    }

    /// The same of one service; `None` where nobody could be given work of it.
    pub fn offer(&self, service: &ServiceName, now: MonotonicTime) -> Option<RegionInfo> {
        let is_trusted = |b: &Backend| !b.health.is_suspect(now) && !b.load.is_stalled(now);
        let is_held =
            |b: &Backend| b.stated.limit.limit().is_some() || b.stated.backoff.is_backed_off(now);
        let is_open = |b: &Backend| !is_held(b) && !self.is_cold(b, now);
        let sound = |b: &&Backend| !b.facts.is_silent && is_trusted(b) && is_open(b);
        let times: Vec<FirstByteTimes> = self
            .serving(service)
            .filter(sound)
            .map(|backend| {
                let cost = idle_cost(backend);
                let strain_ms = strain_ms(backend, now);
                FirstByteTimes::by_priority(|p| {
                    strain_ms + backend.load.first_byte_ms(cost, p, now)
                })
            })
            .collect();
        Some(RegionInfo {
            region: self.settings.region.clone(),
            service: service.clone(),
            backends: u32::try_from(times.len()).unwrap_or(u32::MAX),
            first_byte: times.into_iter().reduce(FirstByteTimes::least)?,
        })
    }

    /// How many requests wait, and how many run.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.sent.len())
    }

    /// To be called at regular times; for how long this gateway has stood still, if it has.
    pub fn check_stall(&mut self, now: MonotonicTime) -> Option<Duration> {
        self.stalls.check(now)
    }

    /// Puts a request into the queue; [`poll`](Self::poll) says what becomes of it.
    pub fn submit(&mut self, item: WorkItem, now: MonotonicTime) -> TicketId {
        if item.is_new {
            let sent = self.stalls.sent_since(now);
            self.budget(&item.service).note_request(sent, now);
        }
        self.objectives.entry(item.service.clone()).or_default().note(&item);
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        self.waiting.push(Waiting { ticket, item });
        ticket
    }

    /// Takes a request out of the queue: its caller left.
    pub fn withdraw(&mut self, ticket: TicketId) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Decides about the requests that wait, as far as it can be decided now.
    pub fn poll(&mut self, now: MonotonicTime) -> Vec<(TicketId, Decision)> {
        self.wake = None;
        let mut verdicts = Vec::new();
        let mut queue = std::mem::take(&mut self.waiting);
        // At the worst of the load there is always more that is late than there is room. What can
        // still meet its objective goes before what cannot, or nothing would meet it any more.
        queue.sort_by_key(|w| {
            let route = &w.item.route;
            (w.item.priority(), now > w.item.arrived + route.objective, w.item.arrived, w.ticket)
        });
        let mut looks: HashMap<ServiceName, ServiceLook> = HashMap::new();
        for waiting in queue {
            let service = &waiting.item.service;
            if !looks.contains_key(service) {
                looks.insert(service.clone(), self.begin_look(service));
            }
            let Some(look) = looks.get_mut(service) else { continue };
            match self.decide(&waiting, look, now) {
                Some(verdict) => {
                    self.carry_out(&waiting, &verdict, now);
                    verdicts.push((waiting.ticket, verdict));
                }
                None => {
                    look.queue(&waiting.item);
                    self.waiting.push(waiting);
                }
            }
        }
        verdicts
    }

    /// Begins a look at what waits for one service. Every gateway of the region has such a queue,
    /// and all of them share the backend servers.
    fn begin_look(&self, service: &ServiceName) -> ServiceLook {
        let loads = self.serving(service).map(|b| (&b.load, b.facts.slots));
        ServiceLook::new(loads, self.gateways.len())
    }

    /// When [`poll`](Self::poll) should be called again at the latest.
    pub fn next_wake(&self) -> Option<MonotonicTime> {
        self.wake
    }

    /// Notes the first byte of an answer.
    pub fn note_progress(&mut self, ticket: TicketId, now: MonotonicTime) {
        if let Some(place) = self.sent.get_mut(&ticket) {
            place.heard = Some(now);
        }
        let Some(backend) = self.sent_to(ticket) else { return };
        // Called with every piece of an answer: what follows is for the first one alone.
        let Some(sent) = backend.load.begin(ticket, now) else { return };
        backend.stated.backoff.note_accepted(now);
        backend.health.note_accepted(now);
        let load = backend.load.recent_report(TOLD_REPORT_AGE, now);
        let limit = LimitUpdate::new(&backend.stated.limit, now);
        let run = backend.facts.run();
        let news = RequestUpdate::Begun { ago_us: 0, load, limit };
        self.note_own(run, sent, news, now);
    }

    /// Keeps something to be told to the region's other gateways.
    fn note_own(
        &mut self,
        run: BackendRun,
        request: SentRequest,
        news: RequestUpdate,
        now: MonotonicTime,
    ) {
        let SentRequest { request, priority, sent, .. } = request;
        let happened = now;
        let hint = OwnHint { run, request, priority, sent, happened, news };
        self.hints.push(hint);
    }

    /// Notes what a backend server stated with its answer to a request; what is new of it.
    pub fn note_statements(
        &mut self,
        ticket: TicketId,
        statements: &BackendStatements,
        now: MonotonicTime,
    ) -> Vec<StatementChange> {
        let Some(SentPlace { run, .. }) = self.sent.get(&ticket) else { return Vec::new() };
        let Some(backend) = run_of(&mut self.backends, run) else {
            return self.retained.note(run, statements, now);
        };
        if let Some(load) = statements.load {
            backend.load.note_report(load, now);
        }
        let changes = backend.stated.note(statements, now);
        let Some(sent) = backend.load.sent(ticket).filter(|_| !changes.is_empty()) else {
            return changes;
        };
        let run = run.clone();
        for news in changes.iter().filter_map(statement_news) {
            self.note_own(run.clone(), sent, news, now);
        }
        changes
    }

    /// Whether a place that was given may still be used: its run may have said meanwhile that it
    /// leaves or wants nothing.
    pub fn is_placement_usable(&self, ticket: TicketId, now: MonotonicTime) -> bool {
        let Some(SentPlace { run, .. }) = self.sent.get(&ticket) else { return false };
        let backend = self.backends.get(&run.backend);
        backend.filter(|backend| backend.facts.incarnation == run.incarnation).is_some_and(
            |backend| self.may_serve(backend) && backend.stated.backoff.until(now).is_none(),
        )
    }

    /// The requests that were sent to `run` and have not ended.
    pub fn sent_to_run(&self, run: &BackendRun) -> Vec<TicketId> {
        let there = self.sent.iter().filter(|(_, place)| place.run == *run);
        there.map(|(ticket, _)| *ticket).collect()
    }

    /// The run that a request was sent to, while it is the one that is known.
    fn sent_to(&mut self, ticket: TicketId) -> Option<&mut Backend> {
        let place = self.sent.get(&ticket)?;
        run_of(&mut self.backends, &place.run)
    }

    /// Notes how a send ended.
    pub fn end(&mut self, ticket: TicketId, outcome: WorkOutcome, now: MonotonicTime) {
        let Some(SentPlace { run, .. }) = self.sent.remove(&ticket) else { return };
        let Some(backend) = run_of(&mut self.backends, &run) else { return };
        let unbegun = backend.load.end(ticket);
        backend.health.note(outcome, now);
        match outcome {
            WorkOutcome::Misdirected => {
                // The run that was meant is over, whatever its last announcement said.
                self.backends.remove(&run.backend);
                self.ended.insert(run.clone());
            }
            WorkOutcome::Shed => {
                let slots = backend.facts.slots;
                let full = BackendReport { running: slots, waiting: 1, slots };
                backend.load.note_report(full, now);
            }
            _ => {}
        }
        if let Some(sent) = unbegun {
            self.note_own(run, sent, RequestUpdate::Dropped, now);
        }
    }

    /// Whether the budget of `service` has a repeat left.
    pub fn peek_repeat(&mut self, service: &ServiceName, now: MonotonicTime) -> RepeatDecision {
        let share = self.share;
        self.budget(service).look(&share, now)
    }

    /// When the budget of `service` will have a repeat, where nothing changes before.
    pub fn next_repeat(
        &mut self,
        service: &ServiceName,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let share = self.share;
        self.budget(service).next_grant(&share, now)
    }

    /// Takes one repeat out of the budget of `service`, where there is one left. It counts there
    /// until a window after [`settle_repeat`](Self::settle_repeat).
    pub fn take_repeat(&mut self, service: &ServiceName, now: MonotonicTime) -> RepeatDecision {
        let share = self.share;
        self.budget(service).take(&share, now)
    }

    /// Settles a repeat of `service` that was taken: it is over, or will never be sent.
    pub fn settle_repeat(
        &mut self,
        service: &ServiceName,
        arrival: RepeatArrival,
        now: MonotonicTime,
    ) {
        self.budget(service).settle(arrival, now);
    }

    /// Whether the path to a region was found to be broken just now.
    pub fn is_path_broken(&self, region: &RegionName, now: MonotonicTime) -> bool {
        self.regions.is_broken(region, now)
    }

    /// Notes that the path to a region is broken: it gets no work for `pause`.
    pub fn pause_region(&mut self, region: &RegionName, pause: Duration, now: MonotonicTime) {
        self.regions.note_broken(region.clone(), now + pause);
    }

    /// Notes that a region turned work of a service away: it gets no more of it for `pause`.
    pub fn pause_service(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        pause: Duration,
        now: MonotonicTime,
    ) {
        self.regions.note_refused(region, service, now + pause);
    }

    /// Notes what a region offers of a service, as it said with a forward.
    pub fn note_region_offer(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        word: FirstByteTimes,
        now: MonotonicTime,
    ) {
        self.regions.note_word(region, service, word, now);
    }

    /// Notes how long a request took to another region and its word of arrival back.
    pub fn note_region_rtt(&mut self, region: &RegionName, took: Duration) {
        self.regions.note_delay(region, took);
    }

    /// The time to another region and back, milliseconds.
    pub fn region_rtt_ms(&self, region: &RegionName) -> f64 {
        self.regions.delay_ms(region)
    }

    /// The least time that a request took to another region and its word of arrival back; zero
    /// before the first one.
    pub fn min_region_rtt(&self, region: &RegionName) -> Duration {
        self.regions.least_delay(region)
    }

    /// Whether the backend server that a request was sent to has shown lately that it works.
    pub fn is_at_work(&mut self, ticket: TicketId, now: MonotonicTime) -> bool {
        let heard = self.sent.get(&ticket).and_then(|place| place.heard);
        let answers = heard.is_some_and(|at| now.since(at) < PROGRESS_AGE);
        answers || self.sent_to(ticket).is_some_and(|b| b.load.is_at_work(now))
    }

    /// Takes what has happened since the last call, to be told to the region's others.
    pub fn take_hints(&mut self, now: MonotonicTime) -> Vec<BackendHint> {
        self.hints.drain(..).map(|hint| hint.told(now)).collect()
    }

    /// Whether there is anything to be told to the region's others.
    pub fn has_hints(&self) -> bool {
        !self.hints.is_empty()
    }

    /// Notes what another gateway of the region told.
    pub fn note_hints(&mut self, hints: Vec<BackendHint>, now: MonotonicTime) {
        for hint in hints {
            self.note_hint(hint, now);
        }
    }

    fn note_hint(&mut self, hint: BackendHint, now: MonotonicTime) {
        let BackendHint { run, request, priority, sent_ago_us, news } = hint;
        let Some(backend) = run_of(&mut self.backends, &run) else {
            if news == RequestUpdate::Leaving {
                self.retained.note_leaving(run, now);
            }
            return;
        };
        let sent = ago(now, sent_ago_us);
        match news {
            RequestUpdate::Sent { tokens, parts } => {
                let cost = WorkCost { tokens, slots: backend.facts.slots };
                let other = SentRequest { request, cost, priority, sent };
                backend.load.send(None, other, now);
                let engine = self.services.get(&backend.facts.service).and_then(|s| s.engine);
                if let Some(engine) = engine {
                    backend.cache.note(&parts, engine.memory_tokens, now);
                }
            }
            RequestUpdate::Begun { ago_us, load, limit } => {
                let came = ago(now, ago_us);
                backend.stated.limit.note(limit.limit, ago(now, limit.ago_us));
                backend.load.note_first_byte(request, priority, sent, came);
                if let Some(load) = load {
                    backend.load.note_report(load, came);
                }
            }
            RequestUpdate::Dropped => backend.load.note_dropped(request),
            RequestUpdate::Backoff { left_us } => {
                let until = now + Duration::from_micros(left_us.into());
                backend.stated.backoff.note_peer(until, now);
            }
            RequestUpdate::Leaving => backend.stated.is_leaving = true,
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RepeatBudget {
        let SchedulerSettings { repeat_window, repeat_ratio, repeat_slack, .. } = self.settings;
        let new = || RepeatBudget::new(repeat_window, repeat_ratio, repeat_slack);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }

    fn carry_out(&mut self, waiting: &Waiting, verdict: &Decision, now: MonotonicTime) {
        let Decision::Send { run, copy, priority, .. } = verdict else { return };
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
        backend.load.send(Some(waiting.ticket), sent, now);
        let parts = waiting.item.prompt.as_ref().map(PromptShape::shared_parts);
        let parts = parts.unwrap_or_default().to_vec();
        backend.health.note_send(now);
        backend.gate.note(now);
        backend.stated.backoff.note_send(now);
        if let (Some(prompt), Some(engine)) = (&waiting.item.prompt, engine) {
            backend.cache.note(&prompt.parts, engine.memory_tokens, now);
        }
        self.sent.insert(waiting.ticket, SentPlace { run: run.clone(), heard: None });
        let news = RequestUpdate::Sent { tokens: cost.tokens, parts };
        self.note_own(run.clone(), sent, news, now);
    }

    /// The backend servers of a service that may be given work.
    fn serving<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Backend> {
        self.backends.values().filter(|b| b.facts.service == *service && self.may_serve(b))
    }

    /// Whether a backend server may be given work at all.
    fn may_serve(&self, backend: &Backend) -> bool {
        let facts = &backend.facts;
        let is_serving = facts.is_serving && !backend.stated.is_leaving;
        is_serving && !self.evacuated.contains(&facts.domain)
    }
}

/// The run of that name, where it is the one that is known.
fn run_of<'a>(
    backends: &'a mut BTreeMap<BackendName, Backend>,
    run: &BackendRun,
) -> Option<&'a mut Backend> {
    let backend = backends.get_mut(&run.backend)?;
    (backend.facts.incarnation == run.incarnation).then_some(backend)
}

/// What the request would take of a backend server.
fn work_cost(backend: &Backend, item: &WorkItem) -> WorkCost {
    let unread = |prompt: &PromptShape| {
        prompt.prompt_tokens.saturating_sub(backend.cache.held_tokens(prompt))
    };
    WorkCost { tokens: item.prompt.as_ref().map(unread), slots: backend.facts.slots }
}

/// A request that takes next to nothing, for what is told to other regions.
fn idle_cost(backend: &Backend) -> WorkCost {
    WorkCost { tokens: Some(0), slots: backend.facts.slots }
}
