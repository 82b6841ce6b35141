//! Where a request would go: the choice among the own region's backend servers, and the question
//! whether another region would serve it better.

use {
    super::{
        Backend, Scheduler,
        copying::CopySource,
        look::{FullLook, ServiceLook},
        work_cost,
    },
    crate::{
        PromptCopy, PromptShape, RegionInfo, SchedulerSettings, WorkCost, WorkItem,
        rate::RateBound,
        roster::{GatewayPlace, HANDOVER},
        urgency::{ObjectiveBook, Urgency},
    },
    gullglade_units::{BackendName, MonotonicTime, RegionName, rendezvous},
    std::time::Duration,
};

/// A model engine with more unread work than this ahead takes no more from here.
const BACKLOG_LIMIT_MS: f64 = 500.0;

/// A plain backend server with more work than this ahead takes no more from here.
const PLAIN_BACKLOG_MS: f64 = 100.0;

/// A plain backend server gets up to this many times the requests that it runs at once: gateways
/// that share one of few places learn late that a place has become free, and it would stand idle.
const PLAIN_FULLNESS: u32 = 2;

/// Work stays where it would be begun within this, strain included, milliseconds.
const AWAY_WAIT_MS: f64 = 40.0;

/// The own region must be worse by this much before work leaves it, so that work does not go back
/// and forth. What leaves only once it is nearly late here is late there.
const AWAY_MARGIN_MS: f64 = 20.0;

/// What a full backend server costs against an empty one when regions are compared, milliseconds.
/// A first byte says nothing of what comes after it: a full engine reads and generates in turns.
const STRAIN_MS: f64 = 300.0;

/// What reading counts in the choice, for each millisecond that it takes. An engine that reads
/// delays every generation that runs there and every prompt behind it.
const READ_WEIGHT: f64 = 20.0;

/// What a failed request costs in milliseconds, times a backend server's failure rate: it ranks
/// one that fails often behind one that is slower by that much.
const FAILURE_COST_MS: f64 = 400.0;

/// The same for a request that may run only once: a failure is its end. What may be repeated goes
/// there meanwhile, and shows when it works again.
const LOSS_COST_MS: f64 = 4_000.0;

/// What a full backend server costs against an empty one, milliseconds: generation slows down with
/// the requests that run together.
const CROWD_COST_MS: f64 = 40.0;

/// A cold backend server that is not this gateway's to send to is looked at again after this.
const COLD_LOOK: Duration = Duration::from_millis(500);

/// A request that found no room is looked at again after this, if nothing happens before.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Suspects are looked at again after this.
const SUSPECT_LOOK: Duration = Duration::from_millis(100);

/// What a rejected request costs, milliseconds, times a backend server's rejection rate. One that
/// rejects is idle and would draw work that others have room for.
const REJECTION_COST_MS: f64 = 3_000.0;

/// What a backend server from which another gateway backs off costs in the choice, milliseconds: it
/// gets work where nobody else has room.
const PEER_BACKOFF_COST_MS: f64 = 1_000.0;

/// A request that waits for the end of a back-off waits for so much longer, milliseconds: gateways
/// resume gradually.
const RESUME_MS: f64 = 300.0;

/// What is expected where backend servers are cold and may not be sent to, milliseconds.
const COLD_WAIT_MS: f64 = 300.0;

/// What a look at the own region found.
pub(crate) enum Local {
    Place {
        backend: BackendName,
        here: HereTimes,
        copy: Option<PromptCopy>,
    },
    /// Room is expected: a look again then.
    Later {
        here: HereTimes,
        again: MonotonicTime,
        /// The first end of a back-off, where this gateway backs off from all that may take it.
        backoff_ends: Option<MonotonicTime>,
    },
    Suspects {
        again: MonotonicTime,
    },
    Nobody,
}

/// How a request would fare in the own region, milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HereTimes {
    /// The priority with which it would be sent.
    pub(crate) priority: u8,
    /// Until its first byte.
    pub(crate) expected_ms: f64,
    /// The part of it in which nothing is done for the request yet.
    pub(crate) wait_ms: f64,
    /// What the least strained backend server's other requests cost it.
    pub(crate) strain_ms: f64,
    /// Its own reading or work in another region, where nothing of its prompt is known to be held.
    pub(crate) away_own_ms: f64,
}

impl Scheduler {
    /// What other regions offer that may serve the request.
    pub(super) fn allowed_offers<'a>(
        &'a self,
        item: &'a WorkItem,
    ) -> impl Iterator<Item = &'a RegionInfo> {
        self.regions
            .offers(&item.service)
            .filter(|r| r.region != self.settings.region && item.allows(&r.region))
    }

    pub(super) fn look_here(
        &self,
        item: &WorkItem,
        look: &mut ServiceLook,
        now: MonotonicTime,
    ) -> Local {
        if let Some(full) = look.full(item) {
            return later(full, look, item);
        }
        let eligible = |b: &&Backend| item.may_go_to(&b.facts.name);
        let pool: Vec<&Backend> = self.serving(&item.service).filter(eligible).collect();
        if pool.is_empty() {
            return Local::Nobody;
        }
        // The silent ones serve only where nobody else is left.
        let is_any_heard = pool.iter().any(|b| !b.facts.is_silent);
        let heard = pool.into_iter().filter(|b| !b.facts.is_silent || !is_any_heard);
        let (suspect, sound): (Vec<&Backend>, Vec<&Backend>) =
            heard.partition(|b| b.health.is_suspect(now) || b.load.is_stalled(now));
        let (backed_off, open): (Vec<&Backend>, Vec<&Backend>) =
            sound.into_iter().partition(|b| b.stated.backoff.until(now).is_some());
        // The pause of a suspect is short; a back-off may last for minutes.
        if open.is_empty() && !suspect.is_empty() {
            return Local::Suspects { again: now + SUSPECT_LOOK };
        }
        self.choose(item, look, &open, &backed_off, now)
    }

    fn choose(
        &self,
        item: &WorkItem,
        look: &mut ServiceLook,
        open: &[&Backend],
        backed_off: &[&Backend],
        now: MonotonicTime,
    ) -> Local {
        let shared = self.shared_parts(item, open);
        let objectives = self.objectives.get(&item.service).copied().unwrap_or_default();
        let mut best: Option<(Candidate, &BackendName)> = None;
        let mut wait_ms = f64::MAX;
        let mut bound_ms = f64::MAX;
        let mut again = now + LOOK_INTERVAL;
        let ends = backed_off.iter().filter_map(|backend| backend.stated.backoff.until(now));
        let backoff_ends = ends.min().filter(|_| open.is_empty());
        for backend in open.iter().chain(backed_off) {
            if let Some(SendHold { until, wait_ms }) = self.send_hold(backend, now) {
                again = again.min(until);
                bound_ms = bound_ms.min(wait_ms);
                continue;
            }
            let candidate = candidate(item, backend, &shared, &objectives, now);
            wait_ms = wait_ms.min(candidate.here.wait_ms);
            let is_better = best.as_ref().is_none_or(|(b, _)| candidate.cost_ms < b.cost_ms);
            if is_better && self.has_room(backend, item, candidate.here.priority, now) {
                best = Some((candidate, &backend.facts.name));
            }
        }
        match best {
            Some((Candidate { here, copy, .. }, name)) => {
                Local::Place { backend: name.clone(), here, copy }
            }
            None => {
                let wait_ms = if wait_ms == f64::MAX { bound_ms } else { wait_ms };
                let wait_ms = wait_ms + LOOK_INTERVAL.as_secs_f64() * 1_000.0;
                let full = FullLook { wait_ms, again, backoff_ends };
                look.note_full(item, full);
                later(full, look, item)
            }
        }
    }

    /// Where the shared parts of the prompt are, as far as that is known or likely.
    fn shared_parts<'a>(&self, item: &WorkItem, sound: &[&'a Backend]) -> SharedParts<'a> {
        let keeper = likely_keeper(item, sound);
        let engine = self.services.get(&item.service).and_then(|service| service.engine);
        let source = item.prompt.as_ref().zip(engine);
        let source = source.and_then(|(s, engine)| CopySource::find(s, sound, keeper, engine));
        SharedParts { keeper, source }
    }

    /// Whether a backend server can take the request now.
    fn has_room(
        &self,
        backend: &Backend,
        item: &WorkItem,
        priority: u8,
        now: MonotonicTime,
    ) -> bool {
        let Some(service) = self.services.get(&item.service) else { return false };
        let connections = service.connection_limit as usize / self.gateways.len().max(1);
        if backend.load.own() >= connections.max(1) {
            return false;
        }
        let (fullness, backlog_limit_ms) = match service.engine {
            Some(_) => (1, BACKLOG_LIMIT_MS),
            None => (PLAIN_FULLNESS, PLAIN_BACKLOG_MS),
        };
        if backend.load.total(now) >= backend.facts.slots.max(1) * fullness {
            return false;
        }
        backend.load.ahead_ms(priority, now) < backlog_limit_ms
    }

    pub(super) fn is_cold(&self, backend: &Backend, now: MonotonicTime) -> bool {
        let Some(service) = self.services.get(&backend.facts.service) else { return false };
        if service.cold.requests_per_second <= 0.0 {
            return false;
        }
        // Backend servers of a failure domain that was evacuated may have become cold meanwhile,
        // and say so only with their next announcement.
        let returned = self.returned.get(&backend.facts.domain);
        let may_be_cold = returned.is_some_and(|at| now.since(*at) < service.cold.duration);
        now < backend.facts.cold_until || may_be_cold
    }

    /// What keeps a backend server from being sent to now, though it serves.
    fn send_hold(&self, backend: &Backend, now: MonotonicTime) -> Option<SendHold> {
        let hold = |until: MonotonicTime, more_ms: f64| {
            let wait_ms = until.since(now).as_secs_f64() * 1_000.0 + more_ms;
            SendHold { until, wait_ms }
        };
        let holds = [
            self.cold_wait(backend, now).map(|until| SendHold { until, wait_ms: COLD_WAIT_MS }),
            self.limit_wait(backend, now).map(|until| hold(until, 0.0)),
            self.backoff_wait(backend, now).map(|until| hold(until, RESUME_MS)),
        ];
        holds.into_iter().flatten().max_by_key(|hold| hold.until)
    }

    fn backoff_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        backend.stated.backoff.wait(|| self.gateways.place(&backend.facts.name, now), now)
    }

    fn cold_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        if !self.is_cold(backend, now) {
            return None;
        }
        let service = self.services.get(&backend.facts.service)?;
        let SchedulerSettings { cold_over, cold_slack, .. } = &self.settings;
        let bound = RateBound::cold(service.cold.requests_per_second * cold_over + cold_slack);
        let place = self.gateways.place(&backend.facts.name, now);
        let next = self.next_send(backend, &bound, place, now).unwrap_or(now + COLD_LOOK);
        (next > now).then_some(next)
    }

    fn limit_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        let bound = RateBound::stated(backend.stated.limit.limit()?);
        let place = self.gateways.place(&backend.facts.name, now);
        let next = self.next_send(backend, &bound, place, now);
        let next = next.unwrap_or_else(|| backend.stated.limit.trial(place.rank));
        (next > now).then_some(next)
    }

    /// When this gateway's part of a bound leaves room for a send; `None` where it has no part.
    fn next_send(
        &self,
        backend: &Backend,
        bound: &RateBound,
        place: GatewayPlace,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        if !self.share.is_known_for(HANDOVER, now) {
            return None;
        }
        backend.gate.next_send(bound.part(place), bound)
    }

    /// The region that would serve the request better than this one, if there is one.
    pub(super) fn better_region(
        &self,
        item: &WorkItem,
        here: Option<HereTimes>,
        now: MonotonicTime,
    ) -> Option<RegionName> {
        let may_forward = item.may_forward && item.returns_to.is_none();
        if !may_forward || here.is_some_and(|here| here.wait_ms + here.strain_ms < AWAY_WAIT_MS) {
            return None;
        }
        let priority = here.map_or(item.priority(), |here| here.priority);
        let there_ms = |r: &RegionInfo| self.regions.first_byte_ms(r, priority, now);
        let best = self
            .allowed_offers(item)
            .filter(|r| !self.regions.is_paused(r, now))
            .min_by(|a, b| there_ms(a).total_cmp(&there_ms(b)))?;
        match here {
            Some(here)
                if there_ms(best) + here.away_own_ms + AWAY_MARGIN_MS
                    >= here.expected_ms + here.strain_ms =>
            {
                None
            }
            _ => Some(best.region.clone()),
        }
    }
}

/// A backend server may not be sent to now.
struct SendHold {
    until: MonotonicTime,
    /// What a request is expected to wait for it, milliseconds.
    wait_ms: f64,
}

/// Where the shared parts of a prompt are.
struct SharedParts<'a> {
    /// Who probably holds them, where nobody is known to.
    keeper: Option<&'a BackendName>,
    /// From where they can be copied.
    source: Option<CopySource<'a>>,
}

/// How a request would fare at one backend server.
struct Candidate {
    /// What is compared, milliseconds.
    cost_ms: f64,
    here: HereTimes,
    copy: Option<PromptCopy>,
}

fn candidate(
    item: &WorkItem,
    backend: &Backend,
    shared: &SharedParts<'_>,
    objectives: &ObjectiveBook,
    now: MonotonicTime,
) -> Candidate {
    let shape = item.prompt.as_ref();
    let source = shared.source.as_ref().zip(shape);
    let copy = source.and_then(|(source, shape)| source.copy_to(backend, shape));
    let work = work_cost(backend, item);
    let work = copy.map_or(work, |copy| copy.reduce(work));
    let Urgency { priority, expected_ms } = Urgency::at(&backend.load, item, work, objectives, now);
    let wait_ms = expected_ms - backend.load.own_ms(work);
    let whole = WorkCost { tokens: shape.map(|shape| shape.prompt_tokens), ..work };
    let (fullness, rejected_ms) = (fullness(backend, now), rejected_ms(backend, now));
    let here = HereTimes {
        priority,
        expected_ms,
        wait_ms,
        strain_ms: strain_of(fullness, rejected_ms),
        away_own_ms: backend.load.own_ms(whole),
    };
    let read_tokens = match shared.keeper == Some(&backend.facts.name) {
        true => shape.map(PromptShape::own_tokens),
        false => work.tokens,
    };
    let failure_cost_ms = match item.route.kind.may_repeat() {
        true => FAILURE_COST_MS,
        false => LOSS_COST_MS,
    };
    let peer_backoff_ms =
        if backend.stated.backoff.is_peer_backing_off(now) { PEER_BACKOFF_COST_MS } else { 0.0 };
    let cost_ms = expected_ms
        + peer_backoff_ms
        + rejected_ms
        + READ_WEIGHT * read_tokens.map_or(0.0, |tokens| backend.load.read_ms(tokens))
        + CROWD_COST_MS * fullness
        + failure_cost_ms * backend.health.failure_rate(now);
    Candidate { cost_ms, here, copy }
}

/// The engine that probably holds the shared parts of a prompt though this gateway knows of none,
/// as after a restart: the first by a hash of the last shared part, which all gateways compute alike.
fn likely_keeper<'a>(item: &WorkItem, sound: &[&'a Backend]) -> Option<&'a BackendName> {
    let shape = item.prompt.as_ref()?;
    let part = shape.shared_parts().last()?.id.to_string();
    let shared = shape.shared_tokens();
    if sound.iter().any(|b| b.cache.held_tokens(shape) >= shared) {
        return None;
    }
    let names = sound.iter().map(|b| &b.facts.name);
    names.max_by_key(|name| rendezvous::score(&part, name.as_str()))
}

/// What is known where all backend servers are full.
fn later(full: FullLook, look: &ServiceLook, item: &WorkItem) -> Local {
    let FullLook { wait_ms, again, backoff_ends } = full;
    let here = HereTimes {
        priority: item.priority(),
        expected_ms: wait_ms + look.own_ms(item),
        wait_ms,
        strain_ms: STRAIN_MS,
        away_own_ms: look.whole_ms(item),
    };
    Local::Later { here, again, backoff_ends }
}

/// What the requests that are at a backend server cost one more, beside the work ahead of it.
pub(super) fn strain_ms(backend: &Backend, now: MonotonicTime) -> f64 {
    strain_of(fullness(backend, now), rejected_ms(backend, now))
}

fn strain_of(fullness: f64, rejected_ms: f64) -> f64 {
    STRAIN_MS * fullness.min(1.0) + rejected_ms
}

/// What rejections by a backend server are expected to cost one more request.
fn rejected_ms(backend: &Backend, now: MonotonicTime) -> f64 {
    REJECTION_COST_MS * backend.health.rejection_rate(now)
}

/// The requests at a backend server, as a part of those that it runs at once.
fn fullness(backend: &Backend, now: MonotonicTime) -> f64 {
    f64::from(backend.load.total(now)) / f64::from(backend.facts.slots.max(1))
}
