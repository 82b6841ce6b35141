//! The routes of a service that were used lately.
//!
//! The load pattern: short, urgent streams and long, less urgent ones compete for the same engines.
//! Which of them is urgent follows from the priorities of the routes that are in use, so a service
//! with a single kind of route is never limited in favour of another kind.

use {
    crate::{WorkItem, decay::decayed},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// A route counts as in use for this time after its last request. A gateway sees about two long
/// streams per second at a peak, and a peak lasts for tens of seconds.
const ACTIVE_TIME: Duration = Duration::from_secs(5);

/// Half-life of the counts of submitted and placed requests: several times the longest objective,
/// so that the ratio covers requests that are still waiting.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(3);

/// A kind of request starves if the share of it that is placed in time is below this part of the
/// share of all requests. Each kind is to get a quarter of the rate of all; the rest allows for
/// requests that are placed in time and end late.
const MIN_RATE_SHARE: f64 = 0.35;

/// Submitted requests of a kind below which nothing is concluded from the share that was placed.
const MIN_SUBMITTED: f64 = 2.0;

/// A request that holds its slot for longer is counted until its end is reported. A report of the
/// load comes with each first byte, several times a second, and corrects the count of shorter ones.
const LONG_HOLD: Duration = Duration::from_millis(500);

/// The weight of the newest sample of the time for which slots are held.
const HOLD_WEIGHT: f64 = 0.2;

/// A decaying number of events.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    at: MonotonicTime,
}

impl DecayingCount {
    fn value(&self, now: MonotonicTime) -> f64 {
        decayed(self.value, now.since(self.at), COUNT_HALF_LIFE)
    }

    fn add(&mut self, now: MonotonicTime) {
        *self = Self { value: self.value(now) + 1.0, at: now };
    }
}

/// The routes of one priority.
#[derive(Clone, Copy, Debug)]
struct RouteUse {
    priority: u8,
    /// The shortest objective since the routes came into use.
    objective: Duration,
    last_seen: MonotonicTime,
    submitted: DecayingCount,
    placed: DecayingCount,
    is_starved: bool,
    /// The mean time for which a request holds its slot, once one has ended.
    held: Option<Duration>,
}

/// The recent use of the routes of one service, by their own priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteActivity {
    routes: Vec<RouteUse>,
}

impl RouteActivity {
    /// Records a queued request.
    pub(super) fn note_submitted(&mut self, item: &WorkItem, now: MonotonicTime) {
        let (priority, objective) = (item.route.priority, item.route.objective);
        let known = self.routes.iter_mut().find(|r| r.priority == priority);
        let route = match known {
            Some(route) => route,
            None => self.routes.push_mut(RouteUse {
                priority,
                objective,
                last_seen: now,
                submitted: DecayingCount::default(),
                placed: DecayingCount::default(),
                is_starved: false,
                held: None,
            }),
        };
        let was_active = now.since(route.last_seen) < ACTIVE_TIME;
        route.objective = if was_active { route.objective.min(objective) } else { objective };
        route.last_seen = now;
        route.submitted.add(now);
        self.compare(now);
    }

    /// Records that a timely request was sent or forwarded.
    pub(super) fn note_placed(&mut self, priority: u8, now: MonotonicTime) {
        if let Some(route) = self.routes.iter_mut().find(|r| r.priority == priority) {
            route.placed.add(now);
        }
        self.compare(now);
    }

    /// Records for how long a request held its slot.
    pub(super) fn note_held(&mut self, priority: u8, held: Duration) {
        if let Some(route) = self.routes.iter_mut().find(|r| r.priority == priority) {
            let mean = |m: Duration| {
                m.mul_f64(1.0 - HOLD_WEIGHT).saturating_add(held.mul_f64(HOLD_WEIGHT))
            };
            route.held = Some(route.held.map_or(held, mean));
        }
    }

    /// Returns the mean time for which requests of this route hold their slot, or zero if none has
    /// ended yet.
    pub(super) fn held(&self, priority: u8) -> Duration {
        let route = self.routes.iter().find(|r| r.priority == priority);
        route.and_then(|r| r.held).unwrap_or_default()
    }

    /// Returns whether requests of this route hold their slot for long.
    pub(super) fn holds_slot(&self, priority: u8) -> bool {
        self.held(priority) >= LONG_HOLD
    }

    /// Returns the rate at which requests were placed recently.
    pub(super) fn placed_per_second(&self, now: MonotonicTime) -> f64 {
        let placed: f64 = self.routes.iter().map(|r| r.placed.value(now)).sum();
        // In a steady state the decaying count is the rate times this span.
        placed * std::f64::consts::LN_2 / COUNT_HALF_LIFE.as_secs_f64()
    }

    /// Returns the shortest objective of the routes in use.
    pub(super) fn shortest_objective(&self, now: MonotonicTime) -> Option<Duration> {
        self.active(now).map(|r| r.objective).min()
    }

    /// Returns the priority of the least urgent route in use.
    pub(super) fn least_urgent(&self, now: MonotonicTime) -> Option<u8> {
        self.active(now).map(|r| r.priority).max()
    }

    /// Returns whether a more urgent route is in use.
    pub(super) fn is_less_urgent(&self, priority: u8, now: MonotonicTime) -> bool {
        self.active(now).any(|r| r.priority < priority)
    }

    /// Returns whether a less urgent route is in use.
    pub(super) fn has_less_urgent(&self, priority: u8, now: MonotonicTime) -> bool {
        self.active(now).any(|r| r.priority > priority)
    }

    /// Returns whether too few requests of this route are placed, compared to those of all routes.
    pub(super) fn is_starved(&self, priority: u8) -> bool {
        self.routes.iter().any(|r| r.priority == priority && r.is_starved)
    }

    /// Compares the routes. All counts decay alike, so the result holds until the next count, and a
    /// scan of the queue does not repeat it for each request.
    fn compare(&mut self, now: MonotonicTime) {
        let (all_placed, all_submitted) = self
            .routes
            .iter()
            .fold((0.0, 0.0), |(p, s), r| (p + r.placed.value(now), s + r.submitted.value(now)));
        for route in &mut self.routes {
            let (placed, submitted) = (route.placed.value(now), route.submitted.value(now));
            route.is_starved = submitted >= MIN_SUBMITTED
                && placed / submitted < MIN_RATE_SHARE * all_placed / all_submitted;
        }
    }

    fn active(&self, now: MonotonicTime) -> impl Iterator<Item = &RouteUse> {
        self.routes.iter().filter(move |r| now.since(r.last_seen) < ACTIVE_TIME)
    }
}
