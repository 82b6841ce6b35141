//! Selection of a backend server in this region, and the comparison with other regions.

use {
    super::{
        Backend, Scheduler,
        end::{CandidateChoice, EndCost},
        prefix_value::{ExpectedWork, PrefixValue},
        prompt_copy::CopySource,
        scan::{AllFull, ServiceScan},
        work_cost,
    },
    crate::{
        PromptCopy, PromptShape, RegionInfo, RejectionLimit, SchedulerSettings, WorkCost, WorkItem,
        membership::{GatewayPosition, TRANSFER_DELAY},
        overload::limits::PlacementLimits,
        priority::{EffectivePriority, LatencyObjectives},
        rate::RateBound,
        rejection::KnownRoom,
    },
    gullglade_traffic::ServicePool,
    gullglade_units::{BackendName, MonotonicTime, RegionName, ServiceName, rendezvous},
    std::time::Duration,
};

/// A model engine with more prefill work ahead than this gets no further requests.
const BACKLOG_LIMIT_MS: f64 = 500.0;

/// A backend server of a plain service with more work ahead than this gets no further requests.
const PLAIN_BACKLOG_LIMIT_MS: f64 = 100.0;

/// Upper bound of the utilization of a plain backend server. It exceeds 1 because gateways that
/// share few slots learn late that one is free, and the slot would stay idle meanwhile.
const PLAIN_MAX_UTILIZATION: u32 = 2;

/// A request is not forwarded if its wait and the load penalty together are below this.
const FORWARD_MIN_WAIT_MS: f64 = 40.0;

/// The minimum advantage of another region before a request is forwarded to it. It keeps requests
/// from bouncing between regions, and is small because a request that is forwarded only when it is
/// nearly late arrives late.
const FORWARD_MARGIN_MS: f64 = 20.0;

/// The cost of a fully utilized backend server, compared to an idle one, when regions are compared.
/// The time to first byte does not include the slower generation on a busy engine.
const FULL_LOAD_PENALTY_MS: f64 = 300.0;

/// The weight of prefill time in the placement cost, since prefill delays all generations on the
/// engine and all prompts behind it.
const PREFILL_WEIGHT: f64 = 20.0;

/// The cost per unit of failure rate, which trades failures off against latency.
const FAILURE_COST_MS: f64 = 400.0;

/// The cost per unit of failure rate for requests that must not be repeated, since a failure is
/// final for them. Repeatable requests still go to such a backend server and show when it recovers.
const UNREPEATABLE_FAILURE_COST_MS: f64 = 4_000.0;

/// The cost of a fully utilized backend server compared to an idle one: generation slows down with
/// the number of concurrent requests.
const CONCURRENCY_COST_MS: f64 = 40.0;

/// Recheck interval for a cold backend server of whose rate this gateway has no share.
const COLD_RECHECK: Duration = Duration::from_millis(500);

/// Recheck interval for a request that found no capacity.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Recheck interval if all backend servers are suspect.
const SUSPECT_RECHECK: Duration = Duration::from_millis(100);

/// A load report that is younger than this tells whether a backend server has room.
const ROOM_REPORT_MAX_AGE: Duration = Duration::from_millis(200);

/// The cost per unit of rejection rate. A backend server that rejects requests looks idle and would
/// otherwise attract them while others have capacity.
const REJECTION_COST_MS: f64 = 3_000.0;

/// The cost of a backend server from which another gateway backs off. It gets requests only if no
/// other has capacity.
const PEER_BACKOFF_COST_MS: f64 = 1_000.0;

/// The extra wait expected after the end of a back-off, since gateways resume gradually.
const RESUME_DELAY_MS: f64 = 300.0;

/// The expected wait if all backend servers are cold and may not be sent to.
const COLD_WAIT_MS: f64 = 300.0;

/// The result of a placement attempt in this region.
pub(crate) enum LocalChoice {
    Send {
        backend: BackendName,
        estimate: LocalEstimate,
        copy: Option<PromptCopy>,
    },
    /// Capacity is expected later.
    Wait {
        estimate: LocalEstimate,
        recheck_at: MonotonicTime,
        /// The earliest end of a back-off, if this gateway backs off from all eligible backend
        /// servers.
        backoff_end: Option<MonotonicTime>,
    },
    AllSuspect {
        recheck_at: MonotonicTime,
        /// Whether one of them is only silent. It may go on at any moment.
        is_any_stalled: bool,
    },
    NoBackend,
}

/// The estimated latency of a request in this region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalEstimate {
    /// The priority with which the request would be sent.
    pub(crate) priority: u8,
    /// Time to first byte, milliseconds.
    pub(crate) expected_ms: f64,
    /// The part of `expected_ms` before work on the request begins.
    pub(crate) wait_ms: f64,
    /// The cost of the concurrent requests at the selected backend server, milliseconds.
    pub(crate) load_penalty_ms: f64,
    /// Service time in another region, where no part of the prompt is known to be cached,
    /// milliseconds.
    pub(crate) remote_service_ms: f64,
}

impl Scheduler {
    /// Returns the regions that offer the service and may serve the request.
    pub(super) fn allowed_offers<'a>(
        &'a self,
        item: &'a WorkItem,
    ) -> impl Iterator<Item = &'a RegionInfo> {
        self.regions
            .offers(&item.service)
            .filter(|r| r.region != self.settings.region && item.allows(&r.region))
    }

    pub(super) fn place_locally(
        &self,
        item: &WorkItem,
        scan: &mut ServiceScan,
        now: MonotonicTime,
    ) -> LocalChoice {
        let limits = self.overload.limits(item, now);
        if let Some(full) = scan.full(item, limits) {
            return wait_for_capacity(full, scan, item);
        }
        let is_eligible = |b: &&Backend| item.may_go_to(&b.info.name);
        let eligible_backends: Vec<&Backend> =
            self.serving(&item.service).filter(is_eligible).collect();
        if eligible_backends.is_empty() {
            return LocalChoice::NoBackend;
        }
        // Backend servers with overdue announcements are used only if there are no others.
        let is_any_announced = eligible_backends.iter().any(|b| !b.info.is_silent);
        let announced =
            eligible_backends.into_iter().filter(|b| !b.info.is_silent || !is_any_announced);
        let (suspect, healthy): (Vec<&Backend>, Vec<&Backend>) =
            announced.partition(|b| self.is_suspect(b, now) || b.load.is_stalled(now));
        let (backed_off, open): (Vec<&Backend>, Vec<&Backend>) =
            healthy.into_iter().partition(|b| b.statements.backoff.until(now).is_some());
        // A suspect is retried soon, whereas a back-off may last for minutes.
        if open.is_empty() && !suspect.is_empty() {
            let is_any_stalled = suspect.iter().any(|backend| !self.is_suspect(backend, now));
            let recheck_at = now + SUSPECT_RECHECK;
            return LocalChoice::AllSuspect { recheck_at, is_any_stalled };
        }
        self.choose_backend(item, scan, limits, &open, &backed_off, now)
    }

    fn choose_backend(
        &self,
        item: &WorkItem,
        scan: &mut ServiceScan,
        limits: PlacementLimits,
        open: &[&Backend],
        backed_off: &[&Backend],
        now: MonotonicTime,
    ) -> LocalChoice {
        let objectives = self.objectives.get(&item.service).copied().unwrap_or_default();
        let shared = self.shared_parts(item, open, &objectives, now);
        let outlook = self.answer_outlook(item, open, now);
        let mut choice = CandidateChoice::default();
        let mut wait_ms = f64::MAX;
        let mut held_wait_ms = f64::MAX;
        let mut recheck_at = now + RECHECK_INTERVAL;
        let ends = backed_off.iter().filter_map(|backend| backend.statements.backoff.until(now));
        let backoff_end = ends.min().filter(|_| open.is_empty());
        for backend in open.iter().chain(backed_off) {
            if let Some(SendHold { until, wait_ms }) = self.send_hold(backend, now) {
                recheck_at = recheck_at.min(until);
                held_wait_ms = held_wait_ms.min(wait_ms);
                continue;
            }
            let mut candidate = candidate(item, backend, &shared, &objectives, limits, now);
            if let Some(outlook) = &outlook {
                candidate.add_end(outlook.cost(item, backend, &candidate, now));
            }
            wait_ms = wait_ms.min(candidate.estimate.wait_ms);
            let is_spared = outlook.as_ref().is_some_and(|outlook| outlook.is_spared(backend, now));
            choice.offer(candidate, &backend.info.name, is_spared, |candidate| {
                self.has_capacity(backend, item, candidate.estimate.priority, limits, now)
            });
        }
        let has_strained = choice.has_strained();
        match choice.best(item, now) {
            Some((Candidate { estimate, copy, .. }, name)) => {
                LocalChoice::Send { backend: name.clone(), estimate, copy }
            }
            None => {
                let wait_ms = if wait_ms == f64::MAX { held_wait_ms } else { wait_ms };
                let wait_ms = wait_ms + RECHECK_INTERVAL.as_secs_f64() * 1_000.0;
                let full = AllFull { wait_ms, recheck_at, backoff_end };
                // While strained engines have capacity, it depends on the request whether it waits.
                if !has_strained {
                    scan.note_full(item, limits, full);
                }
                wait_for_capacity(full, scan, item)
            }
        }
    }

    /// Locates the shared parts of the prompt as far as they are known or can be guessed.
    fn shared_parts<'a>(
        &self,
        item: &WorkItem,
        healthy: &[&'a Backend],
        objectives: &LatencyObjectives,
        now: MonotonicTime,
    ) -> SharedParts<'a> {
        let likely_holder = likely_holder(item, healthy);
        let engine = self.services.get(&item.service).and_then(|service| service.engine);
        let source = item.prompt.as_ref().zip(engine);
        let source =
            source.and_then(|(s, engine)| CopySource::find(s, healthy, likely_holder, engine));
        let engine = engine.filter(|_| self.settings.weighs_cached_prefixes);
        let value = engine.map(|engine| PrefixValue::new(engine, healthy, objectives, now));
        SharedParts { likely_holder, source, value }
    }

    /// Returns whether a backend server has capacity for the request now.
    fn has_capacity(
        &self,
        backend: &Backend,
        item: &WorkItem,
        priority: u8,
        limits: PlacementLimits,
        now: MonotonicTime,
    ) -> bool {
        let Some(service) = self.services.get(&item.service) else { return false };
        if backend.load.own_requests() >= self.connection_share(&item.service) {
            return false;
        }
        if let Some(limit) = self.rejection_limit(&item.service) {
            let is_secured = self.is_room_secured(backend, limit, now);
            // At a plain backend server a request waits only for a slot, and has one.
            if !is_secured || service.engine.is_none() {
                return is_secured;
            }
        }
        let slots = backend.info.slots.max(1);
        let (max_requests, backlog_limit_ms) = match service.engine {
            Some(_) => (limits.usable_slots(slots), limits.backlog_ms.unwrap_or(BACKLOG_LIMIT_MS)),
            None => (slots * PLAIN_MAX_UTILIZATION, PLAIN_BACKLOG_LIMIT_MS),
        };
        if backend.load.total_requests(now) >= max_requests
            || !limits.allows_inflow(backend.load.prefill_inflow(now))
        {
            return false;
        }
        backend.load.ahead_ms(priority, now) < backlog_limit_ms
    }

    /// Returns the rejection limit of the backend servers of a service, if any of them stated one.
    /// Not each of them may have answered this gateway yet.
    fn rejection_limit(&self, service: &ServiceName) -> Option<RejectionLimit> {
        self.serving(service).filter_map(|backend| backend.statements.rejection_limit).min()
    }

    /// Returns whether a request will find room at a backend server, as far as this gateway can
    /// know.
    fn is_room_secured(
        &self,
        backend: &Backend,
        limit: RejectionLimit,
        now: MonotonicTime,
    ) -> bool {
        let report = backend.load.recent_report(ROOM_REPORT_MAX_AGE, now);
        let room = KnownRoom {
            slots: backend.info.slots.max(1) as usize,
            own: backend.load.own_requests(),
            total: report.map(|_| backend.load.total_requests(now) as usize),
        };
        let position = self.gateways.position(&backend.info.name, now);
        backend.rejection_guard.allows(limit, room, position, now)
    }

    pub(super) fn is_cold(&self, backend: &Backend, now: MonotonicTime) -> bool {
        let Some(service) = self.services.get(&backend.info.service) else { return false };
        if service.warmup.requests_per_second <= 0.0 {
            return false;
        }
        // The backend servers of a formerly evacuated failure domain may have become cold
        // meanwhile, which only their next announcement will tell.
        let returned = self.returned.get(&backend.info.domain);
        let may_be_cold = returned.is_some_and(|at| now.since(*at) < service.warmup.duration);
        let may_be_new = backend.restart.may_be_cold(service.warmup.duration, now);
        now < backend.info.cold_until || may_be_cold || may_be_new
    }

    /// Returns the reason for which a serving backend server may not be sent to now, if there is
    /// one.
    fn send_hold(&self, backend: &Backend, now: MonotonicTime) -> Option<SendHold> {
        let hold = |until: MonotonicTime, more_ms: f64| {
            let wait_ms = until.since(now).as_secs_f64() * 1_000.0 + more_ms;
            SendHold { until, wait_ms }
        };
        let holds = [
            self.cold_wait(backend, now).map(|until| SendHold { until, wait_ms: COLD_WAIT_MS }),
            self.limit_wait(backend, now).map(|until| hold(until, 0.0)),
            self.backoff_wait(backend, now).map(|until| hold(until, RESUME_DELAY_MS)),
        ];
        holds.into_iter().flatten().max_by_key(|hold| hold.until)
    }

    fn backoff_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        backend
            .statements
            .backoff
            .next_send(|| self.gateways.position(&backend.info.name, now), now)
    }

    fn cold_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        if !self.is_cold(backend, now) {
            return None;
        }
        let service = self.services.get(&backend.info.service)?;
        let bound = self.cold_bound(service);
        let position = self.gateways.position(&backend.info.name, now);
        let next = self.next_send(backend, &bound, position, now).unwrap_or(now + COLD_RECHECK);
        // The health check takes the next send: its answer may end the cold time.
        if next <= now && backend.restart.is_check_due(service.warmup.duration, now) {
            return Some(now + RECHECK_INTERVAL);
        }
        (next > now).then_some(next)
    }

    /// Returns the bound of sends to a cold backend server of `service`.
    pub(super) fn cold_bound(&self, service: &ServicePool) -> RateBound {
        let SchedulerSettings { cold_rate_factor, cold_rate_slack, .. } = &self.settings;
        RateBound::cold(service.warmup.requests_per_second * cold_rate_factor + cold_rate_slack)
    }

    fn limit_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        let bound = RateBound::stated(backend.statements.limit.limit()?);
        let position = self.gateways.position(&backend.info.name, now);
        let next = self.next_send(backend, &bound, position, now);
        let next = next.unwrap_or_else(|| backend.statements.limit.next_probe(position.rank));
        (next > now).then_some(next)
    }

    /// Returns the earliest time at which the share of this gateway in `bound` allows a send, or
    /// `None` if it has no share.
    pub(super) fn next_send(
        &self,
        backend: &Backend,
        bound: &RateBound,
        position: GatewayPosition,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if !self.share.is_known_for(TRANSFER_DELAY, now) {
            return None;
        }
        backend.pacer.next_send(bound.share(position), bound)
    }

    /// Returns the region whose gateways would serve the request sooner than this gateway, if there
    /// is one. It is the own region if this gateway has no path to a backend server but others of
    /// the region may have one.
    pub(super) fn better_region(
        &self,
        item: &WorkItem,
        estimate: Option<LocalEstimate>,
        now: MonotonicTime,
    ) -> Option<RegionName> {
        if !item.may_forward
            || estimate.is_some_and(|estimate| {
                estimate.wait_ms + estimate.load_penalty_ms < FORWARD_MIN_WAIT_MS
            })
        {
            return None;
        }
        let priority = estimate.map_or(item.priority(), |estimate| estimate.priority);
        let first_byte_ms =
            |r: &RegionName| self.regions.first_byte_ms(r, &item.service, priority, now);
        let elsewhere = self.allowed_offers(item).map(|offer| &offer.region);
        let elsewhere = elsewhere.filter(|_| item.returns_to.is_none());
        let may_relay = estimate.is_none() && self.may_relay(item, now);
        let (remote_ms, best) = elsewhere
            .chain(may_relay.then_some(&self.settings.region))
            .filter(|region| !self.regions.is_paused(region, &item.service, now))
            .map(|region| (first_byte_ms(region), region))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        match estimate {
            Some(estimate)
                if remote_ms + estimate.remote_service_ms + FORWARD_MARGIN_MS
                    >= estimate.expected_ms + estimate.load_penalty_ms =>
            {
                None
            }
            _ => Some(best.clone()),
        }
    }

    /// Returns whether another gateway of this region may have a path to a backend server that may
    /// run the request, while this one has none. A backend server that is stalled is stalled for
    /// all of them.
    pub(super) fn may_relay(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let is_out_of_reach = |backend: &Backend| {
            item.may_run_at(&backend.info.name)
                && (!item.may_go_to(&backend.info.name) || self.is_suspect(backend, now))
        };
        let region = &self.settings.region;
        item.allows(region)
            && !self.regions.is_paused(region, &item.service, now)
            && self.serving(&item.service).any(is_out_of_reach)
            && self.gateways.others().any(|vm| self.may_forward_to(vm, &item.service, now))
    }
}

/// A temporary hold on sends to a backend server.
struct SendHold {
    until: MonotonicTime,
    /// The expected wait of a request for the end of the hold, milliseconds.
    wait_ms: f64,
}

/// The location of the shared parts of a prompt.
struct SharedParts<'a> {
    /// The engine that probably holds them, if none is known to.
    likely_holder: Option<&'a BackendName>,
    /// The engine from which they can be copied.
    source: Option<CopySource<'a>>,
    /// The rule that weighs cached prefixes, if it is enabled.
    value: Option<PrefixValue>,
}

/// A backend server that could get the request.
pub(super) struct Candidate {
    /// The cost by which candidates are compared, milliseconds.
    pub(super) cost_ms: f64,
    pub(super) estimate: LocalEstimate,
    /// The work at the backend server.
    pub(super) work: WorkCost,
    copy: Option<PromptCopy>,
}

impl Candidate {
    /// Adds the cost of answers that do not end in time.
    fn add_end(&mut self, end: EndCost) {
        self.cost_ms += end.own_ms + end.others_ms;
    }
}

fn candidate(
    item: &WorkItem,
    backend: &Backend,
    shared: &SharedParts<'_>,
    objectives: &LatencyObjectives,
    limits: PlacementLimits,
    now: MonotonicTime,
) -> Candidate {
    let shape = item.prompt.as_ref();
    let source = shared.source.as_ref().zip(shape);
    let copy = source.and_then(|(source, shape)| source.copy_to(backend, shape));
    let work = work_cost(backend, item);
    let work = copy.map_or(work, |copy| copy.reduce(work));
    let EffectivePriority { priority, expected_ms } = match limits.priority {
        Some(priority) => EffectivePriority::fixed(&backend.load, work, priority, now),
        None => EffectivePriority::for_backend(&backend.load, item, work, objectives, now),
    };
    let wait_ms = expected_ms - backend.load.service_ms(work);
    let uncached = WorkCost { tokens: shape.map(|shape| shape.prompt_tokens), ..work };
    let (utilization, rejection_cost_ms) =
        (utilization(backend, now), rejection_cost_ms(backend, now));
    let estimate = LocalEstimate {
        priority,
        expected_ms,
        wait_ms,
        load_penalty_ms: load_penalty(utilization, rejection_cost_ms),
        remote_service_ms: backend.load.service_ms(uncached),
    };
    let prefill_tokens = match shared.likely_holder == Some(&backend.info.name) {
        true => shape.map(PromptShape::unshared_tokens),
        false => work.tokens,
    };
    let failure_cost_ms = match item.route.kind.may_repeat() {
        true => FAILURE_COST_MS,
        false => UNREPEATABLE_FAILURE_COST_MS,
    };
    let peer_backoff_ms = if backend.statements.backoff.is_peer_backing_off(now) {
        PEER_BACKOFF_COST_MS
    } else {
        0.0
    };
    let failure_cost_ms = failure_cost_ms * backend.health.failure_rate(now);
    let cost_ms = match (&shared.value, prefill_tokens) {
        (Some(value), Some(tokens)) => {
            let copying = copy.filter(|copy| copy.cost_tokens < copy.tokens);
            let prefill_tokens = tokens.saturating_sub(copying.map_or(0, |copy| copy.cost_tokens));
            let work = ExpectedWork { priority, expected_ms, prefill_tokens };
            let placement_ms = value.cost_ms(item, backend, work, now);
            placement_ms + peer_backoff_ms + rejection_cost_ms + failure_cost_ms
        }
        _ => {
            expected_ms
                + peer_backoff_ms
                + rejection_cost_ms
                + PREFILL_WEIGHT
                    * prefill_tokens.map_or(0.0, |tokens| backend.load.prefill_ms(tokens))
                + CONCURRENCY_COST_MS * utilization
                + failure_cost_ms
        }
    };
    Candidate { cost_ms, estimate, work, copy }
}

/// Returns the engine that probably holds the shared parts of a prompt if this gateway knows of
/// none, for example after a restart. It is selected by rendezvous hashing of the last shared part,
/// with the same result in all gateways.
fn likely_holder<'a>(item: &WorkItem, healthy: &[&'a Backend]) -> Option<&'a BackendName> {
    let shape = item.prompt.as_ref()?;
    let part = shape.shared_parts().last()?.id.to_string();
    let shared = shape.shared_tokens();
    if healthy.iter().any(|b| b.cache.held_tokens(shape) >= shared) {
        return None;
    }
    let names = healthy.iter().map(|b| &b.info.name);
    names.max_by_key(|name| rendezvous::score(&part, name.as_str()))
}

/// Returns the choice to wait while all backend servers are full.
fn wait_for_capacity(full: AllFull, scan: &ServiceScan, item: &WorkItem) -> LocalChoice {
    let AllFull { wait_ms, recheck_at, backoff_end } = full;
    let estimate = LocalEstimate {
        priority: item.priority(),
        expected_ms: wait_ms + scan.cached_service_ms(item),
        wait_ms,
        load_penalty_ms: FULL_LOAD_PENALTY_MS,
        remote_service_ms: scan.uncached_service_ms(item),
    };
    LocalChoice::Wait { estimate, recheck_at, backoff_end }
}

/// Returns the cost of the concurrent requests for one more request, beside the work ahead of it.
pub(super) fn load_penalty_ms(backend: &Backend, now: MonotonicTime) -> f64 {
    load_penalty(utilization(backend, now), rejection_cost_ms(backend, now))
}

fn load_penalty(utilization: f64, rejection_cost_ms: f64) -> f64 {
    FULL_LOAD_PENALTY_MS * utilization.min(1.0) + rejection_cost_ms
}

/// Returns the expected cost of rejections for one more request, milliseconds.
fn rejection_cost_ms(backend: &Backend, now: MonotonicTime) -> f64 {
    REJECTION_COST_MS * backend.health.rejection_rate(now)
}

/// Returns the ratio of requests at a backend server to its slots.
fn utilization(backend: &Backend, now: MonotonicTime) -> f64 {
    f64::from(backend.load.total_requests(now)) / f64::from(backend.info.slots.max(1))
}
