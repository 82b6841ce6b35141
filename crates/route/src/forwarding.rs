//! Limits on forwarding to other regions, and the tracker of forwarded requests.

use {
    crate::{RouteRequest, RouteWeights},
    gullglade_units::{MonotonicTime, RegionName},
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Thresholds for forwarding a request, for a document that weighs latency and forwarding equally.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingThresholds {
    /// Local time to first token below which nothing is forwarded, as a multiple of the target.
    pub floor: f64,
    /// Time that forwarding must save, as a multiple of the target.
    pub margin: f64,
}

/// Limits on forwarding.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingSettings {
    /// Maximum fraction of this gateway's requests that may be forwarded. Default 0.5.
    pub max_share: f64,
    /// Averaging window of the forwarded share. Default 30 s.
    pub window: Duration,
    /// Thresholds while nothing is forwarded. Default: floor 0.8, margin 0.15.
    pub base: ForwardingThresholds,
    /// Thresholds while a share of `relaxed_share` or more is forwarded. Default: floor 0.2, margin
    /// 0.
    pub relaxed: ForwardingThresholds,
    /// Forwarded share at which the `relaxed` thresholds apply; below it the thresholds are
    /// interpolated linearly. Default 0.2.
    ///
    /// This provides hysteresis: a region that has to forward for a while does so early, before its
    /// queue grows, and one whose load only fluctuates keeps its requests.
    pub relaxed_share: f64,
    /// Exponent of the ratio of the document's weights by which the thresholds are scaled. Default
    /// 0.4: a weight of 0.8 on latency scales them by 0.57, a weight of 0.2 by 1.74.
    pub weight_exponent: f64,
    /// Ramp-up time during which a recovered region's offer is trusted only in part. Default 20 s.
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
    /// Returns the effective thresholds, in seconds, while `share` of the requests is forwarded.
    fn thresholds(
        &self,
        weights: &RouteWeights,
        target: Duration,
        share: f64,
    ) -> ForwardingThresholds {
        let scale = weights.forwarding_ratio().powf(self.weight_exponent) * target.as_secs_f64();
        let relaxation = (share / self.relaxed_share.max(1e-6)).min(1.0);
        let interpolate = |base: f64, relaxed: f64| scale * (base + (relaxed - base) * relaxation);
        ForwardingThresholds {
            floor: interpolate(self.base.floor, self.relaxed.floor),
            margin: interpolate(self.base.margin, self.relaxed.margin),
        }
    }
}

/// Requests sent within [`GROUP_SPAN`].
#[derive(Clone, Copy, Debug)]
struct SentGroup {
    time: MonotonicTime,
    count: u32,
}

/// Requests sent within this time of each other are recorded as one group.
const GROUP_SPAN: Duration = Duration::from_millis(50);

/// Retention of the groups; an older offer is treated as if nothing had been sent before.
const GROUP_RETENTION: Duration = Duration::from_secs(10);

/// Requests sent to one region.
#[derive(Debug, Default)]
struct SentHistory {
    groups: VecDeque<SentGroup>,
    running: f64,
    updated: MonotonicTime,
}

impl SentHistory {
    /// Returns the expected number of requests that still run there, with exponentially distributed
    /// holding times of mean `holding_time` seconds.
    fn running(&self, now: MonotonicTime, holding_time: f64) -> f64 {
        self.running * surviving_fraction(now.since(self.updated), holding_time)
    }

    fn record_sent(&mut self, now: MonotonicTime, holding_time: f64) {
        self.running = self.running(now, holding_time) + 1.0;
        self.updated = now;
        while self.groups.front().is_some_and(|group| now.since(group.time) > GROUP_RETENTION) {
            self.groups.pop_front();
        }
        match self.groups.back_mut() {
            Some(group) if now.since(group.time) < GROUP_SPAN => group.count += 1,
            _ => self.groups.push_back(SentGroup { time: now, count: 1 }),
        }
    }

    /// Returns how many more requests run there than `age` ago: those sent since, less those that
    /// ended.
    fn in_flight_change(&self, now: MonotonicTime, age: Duration, holding_time: f64) -> f64 {
        let recent = self.groups.iter().rev().take_while(|group| now.since(group.time) < age);
        let new: f64 = recent
            .map(|g| f64::from(g.count) * surviving_fraction(now.since(g.time), holding_time))
            .sum();
        let old = (self.running(now, holding_time) - new).max(0.0);
        new - old * (1.0 / surviving_fraction(age, holding_time).max(1e-3) - 1.0)
    }
}

fn surviving_fraction(time: Duration, holding_time: f64) -> f64 {
    (-time.as_secs_f64() / holding_time.max(1e-3)).exp()
}

#[derive(Debug, Default)]
struct TrackerState {
    last: MonotonicTime,
    total: f64,
    forwarded: f64,
    rows: BTreeMap<RegionName, SentHistory>,
}

/// Tracks forwarded requests: their share of all requests, and those in flight per region.
#[derive(Debug, Default)]
pub struct ForwardingTracker {
    state: RefCell<TrackerState>,
}

impl ForwardingTracker {
    /// Returns the fraction of recent requests that were forwarded, 0 to 1.
    pub fn share(&self) -> f64 {
        let state = self.state.borrow();
        if state.total < 1.0 { 0.0 } else { state.forwarded / state.total }
    }

    /// Records the decision on one request.
    pub fn record_decision(
        &self,
        settings: &ForwardingSettings,
        now: MonotonicTime,
        forwarded: bool,
    ) {
        let mut state = self.state.borrow_mut();
        let elapsed = now.since(state.last).as_secs_f64();
        let decay = (-elapsed / settings.window.as_secs_f64().max(1e-9)).exp();
        state.last = now;
        state.total = state.total * decay + 1.0;
        state.forwarded = state.forwarded * decay + if forwarded { 1.0 } else { 0.0 };
    }

    /// Returns whether to forward a request whose first token is expected after `local` seconds in
    /// this region and after `remote` seconds in the other one.
    pub fn should_forward(
        &self,
        settings: &ForwardingSettings,
        request: &RouteRequest<'_>,
        local: f64,
        remote: f64,
    ) -> bool {
        let share = self.share();
        let thresholds = settings.thresholds(&request.weights, request.target, share);
        share < settings.max_share && local > thresholds.floor && remote + thresholds.margin < local
    }

    /// Returns how many more requests of this gateway run in `region` than `age` ago, which an
    /// offer of that age cannot include; negative if fewer run. `holding_time` is the mean holding
    /// time of a slot there.
    pub fn in_flight_change(
        &self,
        region: &RegionName,
        now: MonotonicTime,
        age: Duration,
        holding_time: Duration,
    ) -> f64 {
        let state = self.state.borrow();
        state
            .rows
            .get(region)
            .map_or(0.0, |row| row.in_flight_change(now, age, holding_time.as_secs_f64()))
    }

    /// Records one request sent to `region`.
    pub fn record_sent(&self, region: &RegionName, now: MonotonicTime, holding_time: Duration) {
        let mut state = self.state.borrow_mut();
        if !state.rows.contains_key(region) {
            state.rows.insert(region.clone(), SentHistory::default());
        }
        if let Some(row) = state.rows.get_mut(region) {
            row.record_sent(now, holding_time.as_secs_f64());
        }
    }
}
