//! The account of what a gateway sends to other regions.

use {
    crate::{RouteRequest, RouteWeights},
    gullglade_units::{MonotonicTime, RegionName},
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// When a request goes away, for a document that weighs both measures the same.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingThresholds {
    /// The local time to first token below which nothing goes away, as a multiple of the target.
    pub floor: f64,
    /// What going away must save, as a multiple of the target.
    pub margin: f64,
}

/// Bounds on sending away.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingSettings {
    /// Part of this gateway's requests that may go away, at most. Default 0.5.
    pub max_share: f64,
    /// Time over which the share is averaged. Default 30 s.
    pub window: Duration,
    /// The bounds while nothing goes away. Default: floor 0.8, margin 0.15.
    pub base: ForwardingThresholds,
    /// The bounds while `relaxed_share` or more goes away. Default: floor 0.2, margin 0.
    pub relaxed: ForwardingThresholds,
    /// The share at which the bounds of `relaxed` are reached; between they change in proportion.
    /// Default 0.2.
    ///
    /// This is the hysteresis: a region that must send away for a while anyway does so early, before its
    /// queue is long, and one that only fluctuates keeps its work.
    pub relaxed_share: f64,
    /// The power of the ratio of the document's weights by which the bounds are multiplied. Default 0.4:
    /// a weight of 0.8 on latency lowers them to 0.57, a weight of 0.2 raises them to 1.74.
    pub weight_exponent: f64,
    /// Time over which a region that came back is trusted with its full offer. Default 20 s.
    pub return_ramp: Duration,
}

impl Default for ForwardingSettings {
    fn default() -> Self {
        Self {
            max_share: 0.5,
            window: Duration::from_secs(30),
            base: ForwardingThresholds { floor: 0.8, margin: 0.15 },
            relaxed: ForwardingThresholds { floor: 0.2, margin: 0.0 },
            relaxed_share: 0.2,
            weight_exponent: 0.4,
            return_ramp: Duration::from_secs(20),
        }
    }
}

impl ForwardingSettings {
    /// The bounds in force, seconds, where `share` of the requests goes away.
    fn bounds(&self, weights: &RouteWeights, target: Duration, share: f64) -> ForwardingThresholds {
        let scale = weights.away_ratio().powf(self.weight_exponent) * target.as_secs_f64();
        let need = (share / self.relaxed_share.max(1e-6)).min(1.0);
        let between = |base: f64, relaxed: f64| scale * (base + (relaxed - base) * need);
        ForwardingThresholds {
            floor: between(self.base.floor, self.relaxed.floor),
            margin: between(self.base.margin, self.relaxed.margin),
        }
    }
}

/// Requests sent at about the same time.
#[derive(Clone, Copy, Debug)]
struct SentGroup {
    time: MonotonicTime,
    count: u32,
}

/// Requests sent within this time of each other are remembered as one group.
const GROUP_SPAN: Duration = Duration::from_millis(50);

/// Groups are remembered for this long; an older offer counts as if nothing had been sent before.
const MEMORY: Duration = Duration::from_secs(10);

/// What was sent to one region.
#[derive(Debug, Default)]
struct SentRow {
    groups: VecDeque<SentGroup>,
    running: f64,
    updated: MonotonicTime,
}

impl SentRow {
    /// Requests that are still running there, if each ends at any moment with the same probability and
    /// runs for `hold` on average.
    fn running(&self, now: MonotonicTime, hold: f64) -> f64 {
        self.running * kept(now.since(self.updated), hold)
    }

    fn record_sent(&mut self, now: MonotonicTime, hold: f64) {
        self.running = self.running(now, hold) + 1.0;
        self.updated = now;
        while self.groups.front().is_some_and(|group| now.since(group.time) > MEMORY) {
            self.groups.pop_front();
        }
        match self.groups.back_mut() {
            Some(group) if now.since(group.time) < GROUP_SPAN => group.count += 1,
            _ => self.groups.push_back(SentGroup { time: now, count: 1 }),
        }
    }

    /// How many more run there now than `age` ago: those sent since, less those that ended.
    fn in_flight_change(&self, now: MonotonicTime, age: Duration, hold: f64) -> f64 {
        let recent = self.groups.iter().rev().take_while(|group| now.since(group.time) < age);
        let new: f64 = recent.map(|g| f64::from(g.count) * kept(now.since(g.time), hold)).sum();
        let old = (self.running(now, hold) - new).max(0.0);
        new - old * (1.0 / kept(age, hold).max(1e-3) - 1.0)
    }
}

fn kept(time: Duration, hold: f64) -> f64 {
    (-time.as_secs_f64() / hold.max(1e-3)).exp()
}

#[derive(Debug, Default)]
struct AccountState {
    last: MonotonicTime,
    total: f64,
    away: f64,
    rows: BTreeMap<RegionName, SentRow>,
}

/// Counts what goes away, as a share and against each region's stated spare capacity.
#[derive(Debug, Default)]
pub struct ForwardingTracker {
    state: RefCell<AccountState>,
}

impl ForwardingTracker {
    /// The share of recent requests that went away, 0 to 1.
    pub fn share(&self) -> f64 {
        let state = self.state.borrow();
        if state.total < 1.0 { 0.0 } else { state.away / state.total }
    }

    /// Records one decided request.
    pub fn record_decision(&self, settings: &ForwardingSettings, now: MonotonicTime, away: bool) {
        let mut state = self.state.borrow_mut();
        let elapsed = now.since(state.last).as_secs_f64();
        let keep = (-elapsed / settings.window.as_secs_f64().max(1e-9)).exp();
        state.last = now;
        state.total = state.total * keep + 1.0;
        state.away = state.away * keep + if away { 1.0 } else { 0.0 };
    }

    /// Whether a request whose first token is expected after `local` seconds here and after `away` seconds
    /// elsewhere should go away.
    pub fn should_forward(
        &self,
        settings: &ForwardingSettings,
        request: &RouteRequest<'_>,
        local: f64,
        away: f64,
    ) -> bool {
        let share = self.share();
        let bounds = settings.bounds(&request.weights, request.target, share);
        share < settings.max_share && local > bounds.floor && away + bounds.margin < local
    }

    /// How many more requests of this gateway run in `region` than `age` ago, which an offer of that age
    /// cannot know of; below zero where fewer do. `hold` is how long one runs there on average.
    pub fn in_flight_change(
        &self,
        region: &RegionName,
        now: MonotonicTime,
        age: Duration,
        hold: Duration,
    ) -> f64 {
        let state = self.state.borrow();
        state.rows.get(region).map_or(0.0, |row| row.in_flight_change(now, age, hold.as_secs_f64()))
    }

    /// Notes one request sent to `region`.
    pub fn record_sent(&self, region: &RegionName, now: MonotonicTime, hold: Duration) {
        let mut state = self.state.borrow_mut();
        if !state.rows.contains_key(region) {
            state.rows.insert(region.clone(), SentRow::default());
        }
        if let Some(row) = state.rows.get_mut(region) {
            row.record_sent(now, hold.as_secs_f64());
        }
    }
}
