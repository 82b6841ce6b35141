//! A gateway of the replay: the real policy and the real queue, its own view of the engines.

use {
    crate::{
        ArrivalRow, World,
        engine::{CacheEvent, EngineAnswer},
        world::{DETECTION, at, span},
    },
    gullglade_admission::{
        AdmissionPermit, AdmissionPriority, AdmissionQueue, AdmissionRequest, AdmissionSettings,
        PoolLimits,
    },
    gullglade_route::{
        BackendRole, Candidate, EngineCapacity, EngineIndex, HealthState, LatencySettings,
        LoadReport, OwnLoadTracker, PrefixTable, RegionOffer, Residency, RouteDecision,
        RoutePolicy, RouteRequest, permit_capacity,
    },
    gullglade_units::{Clock, RandomSource, SeededRandom},
    std::{
        cell::{Cell, RefCell},
        future::Future,
        pin::Pin,
        rc::Rc,
        time::Duration,
    },
};

/// Seconds after which a caller has no use for a first token.
pub(crate) const DEADLINE: f64 = 20.0;

/// Seconds between two decisions of a request that waits in the queue.
const RECHECK: f64 = 0.25;

/// Seconds until a connection that nobody answers is given up.
const CONNECT_LIMIT: f64 = 1.0;

/// Attempts at one request.
const ATTEMPT_LIMIT: usize = 6;

/// Weight of a new sample in the average hold.
const HOLD_WEIGHT: f64 = 0.02;

/// Prefixes that a gateway remembers.
const PREFIX_LIMIT: usize = 20_000;

/// Seconds that a prefix is believed to stay in a cache.
const PREFIX_BELIEF: f64 = 120.0;

/// A region states its free slots less this part of all slots, as the summaries of `gullglade-backend`
/// do.
const RESERVE_SHARE: u32 = 10;

/// Spread of the lags of the gateways' reports, seconds.
const LAG_SPREAD: f64 = 0.2;

/// The share that the document grants a workspace: what it uses on average, by its rank, as a multiple of
/// an equal share. A workspace beyond those of the plan has an equal share.
fn zipf_share(rank: usize, count: usize) -> f64 {
    if rank >= count {
        return 1.0;
    }
    let sum: f64 = (1..=count).map(|r| 1.0 / r as f64).sum();
    count as f64 / (sum * (rank as f64 + 1.0))
}

/// Why a request has no first token here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServeFault {
    /// Refused: not run.
    NotRun,
    /// It was sent and broke.
    Broken,
}

type Served = Result<usize, ServeFault>;

/// One gateway.
pub(crate) struct GatewayModel {
    world: Rc<World>,
    region: usize,
    lag: f64,
    offer_share: f64,
    settings: LatencySettings,
    policy: Option<Box<dyn RoutePolicy>>,
    queue: AdmissionQueue,
    random: SeededRandom,
    ledgers: RefCell<Vec<OwnLoadTracker>>,
    failed: RefCell<Vec<f64>>,
    prefixes: RefCell<PrefixTable>,
    hold: Cell<f64>,
}

/// What one request does with its queue place.
struct Attempt<'a> {
    row: &'a ArrivalRow,
    origin: Option<usize>,
    barred: Vec<usize>,
}

impl GatewayModel {
    pub(crate) fn new(
        world: Rc<World>,
        region: usize,
        index: usize,
        settings: LatencySettings,
    ) -> Rc<Self> {
        let engines = world.regions[region].engines.len();
        let random = SeededRandom::new((region * 100 + index) as u64 + 1);
        let hold = world.plan.hold();
        let admission =
            AdmissionSettings { initial_holding_time: span(hold), ..AdmissionSettings::default() };
        let gateway = Self {
            region,
            lag: world.scenario.report_lag + random.unit() * LAG_SPREAD,
            offer_share: 1.0 / world.plan.regions[region].gateways.max(1) as f64,
            settings,
            policy: world.policy.build(settings),
            queue: AdmissionQueue::new(admission, world.context.clone()),
            random,
            ledgers: RefCell::new(vec![OwnLoadTracker::default(); engines]),
            failed: RefCell::new(vec![f64::NEG_INFINITY; engines]),
            prefixes: RefCell::new(PrefixTable::new(PREFIX_LIMIT, span(PREFIX_BELIEF))),
            hold: Cell::new(hold),
            world,
        };
        Rc::new(gateway)
    }

    /// Requests waiting in the queue.
    pub(crate) fn waiting(&self) -> u64 {
        self.queue.counts(&self.world.models[0]).waiting
    }

    /// Takes note of new reports.
    pub(crate) fn tick(&self) {
        if !self.world.policy.uses_queue() {
            return;
        }
        let gateways = self.world.plan.regions[self.region].gateways;
        let LatencySettings { overcommit, reserve, .. } = self.settings;
        let capacity = permit_capacity(&self.candidates(None), overcommit, reserve, gateways);
        let limits = PoolLimits { permits: capacity.permits, over_share: capacity.over_share };
        self.queue.set_limits(&self.world.models[0], limits);
    }

    /// Takes note of a cache event, if it arrives.
    pub(crate) fn cache_event(&self, engine: usize, event: &CacheEvent, loss: f64) {
        if self.random.unit() < loss {
            return;
        }
        let index = EngineIndex(engine as u32);
        let mut prefixes = self.prefixes.borrow_mut();
        prefixes.record_stored(index, &event.stored, at(event.time));
        for hash in &event.evicted {
            prefixes.record_evicted(index, *hash);
        }
    }

    /// The rows of the decision, with the expected cache hits of `row`.
    fn candidates(&self, row: Option<&ArrivalRow>) -> Vec<Candidate<'_>> {
        let now = self.world.now();
        let region = &self.world.regions[self.region];
        let mut cached = vec![0_u32; region.engines.len()];
        if let Some(row) = row {
            let prefixes = self.prefixes.borrow();
            prefixes.for_each_holder(&row.marks, at(now), |engine, tokens| {
                let place = &mut cached[engine.0 as usize];
                *place = tokens.max(*place);
            });
        }
        let ledgers = self.ledgers.borrow();
        let failed = self.failed.borrow();
        let rows = region.engines.iter().enumerate().map(|(index, engine)| {
            let sample = engine.sampled(now - self.lag);
            let age = span(now - sample.time);
            let down = !engine.alive(now - DETECTION) || failed[index] > now - DETECTION;
            Candidate {
                name: &engine.name,
                region: &region.name,
                models: &self.world.models,
                role: BackendRole::Generate,
                health: if down { HealthState::Down } else { HealthState::Healthy },
                leaving: false,
                capacity: EngineCapacity {
                    slots: engine.spec.slots,
                    prefill_rate: engine.spec.prefill_rate,
                },
                report: LoadReport {
                    active: sample.active,
                    prefill_tokens: sample.prefill_tokens,
                    age,
                },
                own: ledgers[index].load(at(now), age),
                cached_tokens: cached[index],
                link: self.world.plan.domain_link,
                since_join: span(now - engine.born(now)),
            }
        });
        rows.collect()
    }

    /// The offers of the other regions, and which regions they are.
    fn offers(&self, barred: &[usize]) -> (Vec<RegionOffer<'_>>, Vec<usize>) {
        let now = self.world.now();
        let others = (0..self.world.regions.len()).filter(|r| *r != self.region);
        let open = others.filter(|region| !barred.contains(region));
        let rows = open.filter_map(|region| {
            let summary = self.world.summary(self.region, region)?;
            let offer = RegionOffer {
                region: &self.world.regions[region].name,
                reachable: self.world.believes_reachable(self.region, region),
                link: self.world.plan.region_link,
                slots: summary.slots,
                free_slots: summary.free_slots.saturating_sub(summary.slots / RESERVE_SHARE),
                prefill_tokens: summary.prefill_tokens,
                prefill_rate: summary.prefill_rate,
                age: span(now - summary.known),
                since_return: span(self.world.since_return(self.region, region)),
                share: self.offer_share,
            };
            Some((offer, region))
        });
        rows.unzip()
    }

    fn decide(&self, attempt: &Attempt<'_>, queue_wait: Duration) -> (RouteDecision, Vec<usize>) {
        let world = &self.world;
        let row = attempt.row;
        let (offers, regions) = self.offers(&attempt.barred);
        let waited = world.now() - row.time;
        let request = RouteRequest {
            now: world.clock.now(),
            local_region: &world.regions[self.region].name,
            origin: attempt.origin.map(|region| &world.regions[region].name),
            residency: Residency::Anywhere,
            home: row.home.map(|region| &world.regions[region].name),
            stale_config: false,
            model: Some(&world.models[0]),
            role: BackendRole::Generate,
            prompt_tokens: row.prompt_tokens,
            holding_time: span(self.hold.get()),
            target: world.plan.target,
            deadline: Some(span(DEADLINE - waited)),
            waited: span(waited),
            queue_wait,
            within_share: !self.is_over_share(row),
            weights: world.plan.weights,
        };
        let policy = self.policy.as_ref().expect("gateways run real policies");
        let decision = policy.decide(&request, &self.candidates(Some(row)), &offers, &self.random);
        (decision, regions)
    }

    fn queue_wait(&self, row: &ArrivalRow) -> Duration {
        let workspace = &self.world.workspaces[row.workspace];
        self.queue.expected_wait(&self.world.models[0], workspace, AdmissionPriority::Normal)
    }

    fn is_over_share(&self, row: &ArrivalRow) -> bool {
        let workspace = &self.world.workspaces[row.workspace];
        self.queue.is_over_share(&self.world.models[0], workspace, AdmissionPriority::Normal)
    }

    /// Brings a request to its first token and answers with the region that gave it.
    pub(crate) fn serve(
        self: Rc<Self>,
        row: Rc<ArrivalRow>,
        origin: Option<usize>,
    ) -> Pin<Box<dyn Future<Output = Served>>> {
        Box::pin(async move {
            let mut attempt = Attempt { row: &row, origin, barred: Vec::new() };
            let mut permit = None;
            for _ in 0..ATTEMPT_LIMIT {
                let outcome = self.attempt(&mut attempt, &mut permit).await;
                match outcome {
                    Err(ServeFault::Broken) => self.world.measure.borrow_mut().retried(),
                    done => return done,
                }
            }
            Err(ServeFault::NotRun)
        })
    }

    /// One attempt: decides, and waits where the decision is to wait.
    async fn attempt(
        self: &Rc<Self>,
        attempt: &mut Attempt<'_>,
        permit: &mut Option<AdmissionPermit>,
    ) -> Served {
        loop {
            let needs_permit = self.world.policy.uses_queue() && permit.is_none();
            let wait = if needs_permit { self.queue_wait(attempt.row) } else { Duration::ZERO };
            let (decision, regions) = self.decide(attempt, wait);
            match decision {
                RouteDecision::Refuse { .. } => return Err(ServeFault::NotRun),
                RouteDecision::Forward { offer } => {
                    permit.take();
                    let region = regions[offer];
                    let outcome = self.forward(attempt.row, region).await;
                    if outcome.is_err() {
                        attempt.barred.push(region);
                        return Err(ServeFault::Broken);
                    }
                    return outcome;
                }
                _ if needs_permit => *permit = self.enter(attempt).await?,
                RouteDecision::Local { backend } => {
                    return self.dispatch(attempt.row, backend, permit.take()).await;
                }
                RouteDecision::Wait { at_most } => self.world.clock.sleep(at_most).await,
            }
        }
    }

    /// Waits for a slot; none where going away has become the better way.
    async fn enter(&self, attempt: &Attempt<'_>) -> Result<Option<AdmissionPermit>, ServeFault> {
        let row = attempt.row;
        let ticket = AdmissionRequest {
            workspace: self.world.workspaces[row.workspace].clone(),
            share: zipf_share(row.workspace, self.world.plan.workspaces),
            model: self.world.models[0].clone(),
            priority: AdmissionPriority::Normal,
            deadline: Some(at(row.time + DEADLINE)),
            cost: row.prompt_tokens + row.answer_tokens,
        };
        let mut entering = self.queue.acquire(ticket);
        loop {
            let pause = self.world.clock.sleep(span(RECHECK));
            match futures::future::select(entering, pause).await {
                futures::future::Either::Left((outcome, _)) => {
                    return outcome.map(Some).map_err(|_| ServeFault::NotRun);
                }
                futures::future::Either::Right(((), rest)) => entering = rest,
            }
            let wait = self.queue_wait(row);
            if matches!(self.decide(attempt, wait).0, RouteDecision::Forward { .. }) {
                return Ok(None);
            }
        }
    }

    /// Sends a request to an engine and waits for its first token.
    async fn dispatch(
        self: &Rc<Self>,
        row: &ArrivalRow,
        index: usize,
        permit: Option<AdmissionPermit>,
    ) -> Served {
        let world = &self.world;
        let engine = world.regions[self.region].engines[index].clone();
        let link = world.plan.domain_link.as_secs_f64();
        let uncached = self.expected_uncached(row, index);
        self.started(index, row, uncached);
        world.clock.until(at(world.now() + link)).await;
        let generation = engine.generation(world.now());
        match engine.submit(world.now(), row) {
            EngineAnswer::Broken { at: time } => {
                world.clock.until(at(time + link)).await;
                self.first_token(index, uncached);
                self.finished(index);
                self.failed.borrow_mut()[index] = world.now();
                Err(ServeFault::Broken)
            }
            EngineAnswer::Whole { first, end, uncached: read } => {
                world.clock.until(at(first)).await;
                engine.first_token(generation, read);
                world.clock.until(at(first + link)).await;
                self.first_token(index, uncached);
                let gateway = self.clone();
                let sent = world.now();
                world.context.spawner.spawn(Box::pin(async move {
                    gateway.world.clock.until(at(end)).await;
                    engine.finished(generation);
                    gateway.world.clock.until(at(end + link)).await;
                    gateway.finished(index);
                    gateway.held(gateway.world.now() - sent);
                    drop(permit);
                    gateway.tick();
                }));
                Ok(self.region)
            }
        }
    }

    fn expected_uncached(&self, row: &ArrivalRow, index: usize) -> u32 {
        let mut cached = 0;
        let now = at(self.world.now());
        self.prefixes.borrow().for_each_holder(&row.marks, now, |engine, tokens| {
            if engine.0 as usize == index {
                cached = tokens.max(cached);
            }
        });
        row.prompt_tokens.saturating_sub(cached)
    }

    fn started(&self, index: usize, row: &ArrivalRow, uncached: u32) {
        let now = at(self.world.now());
        self.ledgers.borrow_mut()[index].started(now, uncached);
        self.prefixes.borrow_mut().record_stored(EngineIndex(index as u32), &row.marks, now);
    }

    fn first_token(&self, index: usize, uncached: u32) {
        let now = at(self.world.now());
        self.ledgers.borrow_mut()[index].first_token(now, uncached);
    }

    fn finished(&self, index: usize) {
        let now = at(self.world.now());
        self.ledgers.borrow_mut()[index].finished(now);
    }

    fn held(&self, seconds: f64) {
        self.hold.set(self.hold.get() + HOLD_WEIGHT * (seconds - self.hold.get()));
    }

    /// Sends a request to a gateway of another region.
    async fn forward(&self, row: &ArrivalRow, region: usize) -> Served {
        let world = &self.world;
        let link = world.plan.region_link.as_secs_f64();
        if !self.reaches(region) {
            world.clock.until(at(world.now() + CONNECT_LIMIT)).await;
            return Err(ServeFault::Broken);
        }
        world.clock.until(at(world.now() + link)).await;
        let remote = world.gateway(region, row.session);
        let outcome = remote.serve(Rc::new(row.clone()), Some(self.region)).await;
        world.clock.until(at(world.now() + link)).await;
        if !self.reaches(region) {
            world.clock.until(at(world.now() + DETECTION)).await;
            return Err(ServeFault::Broken);
        }
        outcome
    }

    fn reaches(&self, region: usize) -> bool {
        let now = self.world.now();
        let scenario = &self.world.scenario;
        scenario.connected(self.region, region, now) && !scenario.is_lost(region, now)
    }
}
