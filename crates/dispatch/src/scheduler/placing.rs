//! Where a request would go: the choice among the own region's backend servers, and the question
//! whether another region would serve it better.

use {
    super::{
        Backend, Scheduler,
        look::{FullLook, ServiceLook},
        work_cost,
    },
    crate::{ColdGate, RegionFacts, SchedulerSettings, WorkItem},
    gullglade_units::{BackendName, MonotonicTime, RegionName},
    std::time::Duration,
};

/// A model engine with more unread work than this ahead takes no more from here. Long enough to
/// keep an engine busy between two looks at the queue, short against every objective.
const BACKLOG_LIMIT_MS: f64 = 500.0;

/// A plain backend server with more work than this ahead takes no more from here. Its requests
/// take tens of milliseconds, so it does not run dry before the next look at the queue.
const PLAIN_BACKLOG_MS: f64 = 100.0;

/// A plain backend server gets up to this many times the requests that it runs at once. Where many
/// gateways share one of few places, each knows late of places that have become free, and they
/// stood idle while requests waited: at nine tenths of the load, 22 gateways before two backend
/// servers of six places, the 95th percentile was 115 ms with 1 and 69 ms with 2.
const PLAIN_FULLNESS: u32 = 2;

/// The own region must be worse by this much before work leaves it. Estimates are off by about
/// this much, and leaving costs bytes and a cold cache.
const AWAY_MARGIN_MS: f64 = 80.0;

/// Work is sent away where the first byte here would come later than this part of the objective.
const AWAY_OBJECTIVE_SHARE: f64 = 0.8;

/// What a failed request costs in milliseconds, times a backend server's failure rate: it ranks
/// one that fails often behind one that is slower by that much.
const FAILURE_COST_MS: f64 = 400.0;

/// What a full backend server costs against an empty one, milliseconds: generation slows down with
/// the requests that run together.
const CROWD_COST_MS: f64 = 40.0;

/// A cold backend server that is not this gateway's to send to is looked at again after this.
const COLD_LOOK: Duration = Duration::from_millis(500);

/// A request that found no room is looked at again after this, if nothing happens before.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Suspects are looked at again after this.
const SUSPECT_LOOK: Duration = Duration::from_millis(100);

/// What is expected where all backend servers are cold and none may be sent to, milliseconds.
const COLD_WAIT_MS: f64 = 300.0;

/// What a look at the own region found.
pub(crate) enum Local {
    Place {
        backend: BackendName,
        expected_ms: f64,
    },
    /// Room is expected: the first byte after this many milliseconds, and a look again then.
    Later {
        expected_ms: f64,
        again: MonotonicTime,
    },
    Suspects {
        again: MonotonicTime,
    },
    Nobody,
}

impl Scheduler {
    /// What other regions offer that may serve the request.
    pub(super) fn allowed_offers<'a>(
        &'a self,
        item: &'a WorkItem,
    ) -> impl Iterator<Item = &'a RegionFacts> {
        self.regions
            .offers(&item.service)
            .filter(|r| r.region != self.settings.region && item.route.allows(&r.region))
    }

    pub(super) fn look_here(
        &self,
        item: &WorkItem,
        look: &mut ServiceLook,
        now: MonotonicTime,
    ) -> Local {
        if let Some(FullLook { wait_ms, again }) = look.full(item) {
            return Local::Later { expected_ms: wait_ms + look.own_ms(item), again };
        }
        let untried = |b: &&Backend| !item.tried.contains(&b.facts.name);
        let pool: Vec<&Backend> = self.serving(&item.service).filter(untried).collect();
        if pool.is_empty() {
            return Local::Nobody;
        }
        // The silent ones serve only where nobody else is left.
        let is_any_heard = pool.iter().any(|b| !b.facts.is_silent);
        let mut sound = pool
            .into_iter()
            .filter(|b| !b.facts.is_silent || !is_any_heard)
            .filter(|b| !b.health.is_suspect(now))
            .peekable();
        if sound.peek().is_none() {
            return Local::Suspects { again: now + SUSPECT_LOOK };
        }
        self.choose(item, look, sound, now)
    }

    fn choose<'a>(
        &self,
        item: &WorkItem,
        look: &mut ServiceLook,
        sound: impl Iterator<Item = &'a Backend>,
        now: MonotonicTime,
    ) -> Local {
        let mut best: Option<(f64, f64, &BackendName)> = None;
        let mut wait_ms = f64::MAX;
        let mut again = now + LOOK_INTERVAL;
        for backend in sound {
            if let Some(room) = self.cold_wait(backend, now) {
                again = again.min(room);
                continue;
            }
            let cost = work_cost(backend, item);
            let expected_ms = backend.load.first_byte_ms(cost, item.route.priority, now);
            wait_ms = wait_ms.min(expected_ms - backend.load.own_ms(cost));
            if !self.has_room(backend, item, now) {
                continue;
            }
            let crowd = f64::from(backend.load.total(now)) / f64::from(backend.facts.slots.max(1));
            let cost = expected_ms
                + CROWD_COST_MS * crowd
                + FAILURE_COST_MS * backend.health.failure_rate();
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, expected_ms, &backend.facts.name));
            }
        }
        match best {
            Some((_, expected_ms, name)) => Local::Place { backend: name.clone(), expected_ms },
            None => {
                let wait_ms = if wait_ms == f64::MAX { COLD_WAIT_MS } else { wait_ms };
                let wait_ms = wait_ms + LOOK_INTERVAL.as_secs_f64() * 1_000.0;
                look.note_full(item, FullLook { wait_ms, again });
                Local::Later { expected_ms: wait_ms + look.own_ms(item), again }
            }
        }
    }

    /// Whether a backend server can take the request now.
    fn has_room(&self, backend: &Backend, item: &WorkItem, now: MonotonicTime) -> bool {
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
        backend.load.ahead_ms(item.route.priority, now) < backlog_limit_ms
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

    /// When a cold backend server may next be sent to, where it may not now.
    fn cold_wait(&self, backend: &Backend, now: MonotonicTime) -> Option<MonotonicTime> {
        if !self.is_cold(backend, now) {
            return None;
        }
        let service = self.services.get(&backend.facts.service)?;
        let SchedulerSettings { cold_over, cold_slack, own, .. } = &self.settings;
        let rate = service.cold.requests_per_second * cold_over + cold_slack;
        let part = ColdGate::part(rate, &backend.facts.name, own, &self.gateways);
        let next = backend.cold.next_send(part).unwrap_or(now + COLD_LOOK);
        (next > now).then_some(next)
    }

    /// The region that would serve the request better than this one, if there is one.
    pub(super) fn better_region(
        &self,
        item: &WorkItem,
        here_ms: Option<f64>,
        now: MonotonicTime,
    ) -> Option<RegionName> {
        if !item.may_leave {
            return None;
        }
        if let Some(here_ms) = here_ms {
            let waited = now.since(item.arrived).as_secs_f64() * 1_000.0;
            let objective = item.route.objective.as_secs_f64() * 1_000.0;
            if waited + here_ms < AWAY_OBJECTIVE_SHARE * objective {
                return None;
            }
        }
        let there_ms = |r: &RegionFacts| self.regions.first_byte_ms(r, item.route.priority, now);
        let best = self
            .allowed_offers(item)
            .filter(|r| !self.regions.is_paused(r, now))
            .min_by(|a, b| there_ms(a).total_cmp(&there_ms(b)))?;
        match here_ms {
            Some(here_ms) if there_ms(best) + AWAY_MARGIN_MS >= here_ms => None,
            _ => Some(best.region.clone()),
        }
    }
}
