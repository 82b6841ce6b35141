//! One row of the backend table: the shared record and what this gateway adds to it.

use {
    crate::{
        BackendConfig, BackendRecord, BackendView, CacheEvents, LoadReport, Origin, RunId,
        ServingState, StatusChange, cache::CacheEstimate, dispatch::DispatchTracker,
        past_instant::PastInstant,
    },
    gullglade_units::{BackendName, MonotonicTime},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// A load that differs by less than this share of the slots is not told on, unless a queue forms
/// or ends.
const MIN_LOAD_CHANGE_SHARE: f64 = 1.0 / 10.0;

/// A queue of prompt tokens that differs by less than this many seconds of reading is not told on.
const MIN_PREFILL_CHANGE_SECONDS: f64 = 0.1;

/// Whether a backend server may get new work from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackendHealth {
    /// It may.
    Serving,
    /// Only where nothing better is left: it is silent, restarts often, or a dispatch just failed.
    Suspect,
    /// No: it has been silent for longer than its lease.
    Expired,
    /// No: it said that it is leaving.
    Leaving,
    /// No: its profile is not known here yet.
    Unknown,
}

pub(crate) struct BackendEntry {
    pub(crate) record: BackendRecord,
    pub(crate) id: RunId,
    pub(crate) heard: PastInstant,
    /// Who told the newest report.
    pub(crate) origin: Origin,
    reported: PastInstant,
    pub(crate) serving_since: PastInstant,
    followed: bool,
    /// Since when this gateway would have heard of it; silence before counts for nothing.
    watched_since: MonotonicTime,
    failed_at: Option<MonotonicTime>,
    /// The end of the back-off that this run has requested of this gateway.
    backoff_until: Option<MonotonicTime>,
    restarts: RestartCounter,
    advertised: AdvertisedLoad,
    pub(crate) tracker: Rc<RefCell<DispatchTracker>>,
    pub(crate) cache: CacheEstimate,
}

/// The load that this gateway last offered to its peers.
#[derive(Clone, Copy, Debug, Default)]
struct AdvertisedLoad {
    load: LoadReport,
    at: MonotonicTime,
    /// Grows with each load offered, over all rows; a peer is told those above its mark.
    version: u64,
}

/// Restarts of late. A backend server that crashes again and again looks new and idle each time;
/// without the count it would draw work to lose it.
#[derive(Clone, Copy, Debug, Default)]
struct RestartCounter {
    count: u32,
    last: MonotonicTime,
}

impl RestartCounter {
    fn add(&mut self, config: &BackendConfig, now: MonotonicTime) {
        self.count = if self.is_recent(config, now) { self.count + 1 } else { 1 };
        self.last = now;
    }

    fn is_recent(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        self.count > 0 && now.since(self.last) < config.flap_window
    }

    fn is_flapping(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        self.count >= config.flap_limit && self.is_recent(config, now)
    }
}

impl BackendEntry {
    pub(crate) fn new(
        record: BackendRecord,
        config: &BackendConfig,
        heard: PastInstant,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id: RunId::new(record.name.as_str(), record.status.incarnation),
            record,
            heard,
            origin: Origin::OtherRow,
            reported: heard,
            serving_since: heard,
            followed: true,
            watched_since: now,
            failed_at: None,
            backoff_until: None,
            restarts: RestartCounter::default(),
            advertised: AdvertisedLoad::default(),
            tracker: Rc::default(),
            cache: CacheEstimate::new(config.prefix_limit, config.prefix_half_life),
        }
    }

    pub(crate) fn name(&self) -> &BackendName {
        &self.record.name
    }

    /// Merges a record that was current at `heard`.
    pub(crate) fn merge(
        &mut self,
        record: &BackendRecord,
        config: &BackendConfig,
        heard: PastInstant,
        now: MonotonicTime,
    ) -> StatusChange {
        let was_out = self.health(config, now) == BackendHealth::Expired;
        let change = self.record.merge(record);
        if change.restarted {
            self.restart(config, now);
        }
        if change.advanced {
            self.apply_report(heard, now);
        }
        if change.restarted || (was_out && change.advanced) {
            self.serving_since = heard;
            self.watched_since = now;
        }
        change
    }

    fn restart(&mut self, config: &BackendConfig, now: MonotonicTime) {
        self.id = RunId::new(self.record.name.as_str(), self.record.status.incarnation);
        self.cache.clear();
        self.tracker = Rc::default();
        self.restarts.add(config, now);
        self.failed_at = None;
        self.backoff_until = None;
    }

    fn apply_report(&mut self, heard: PastInstant, now: MonotonicTime) {
        if heard.age(now) < self.heard.age(now) {
            self.heard = heard;
        }
        self.reported = heard;
        self.tracker.borrow_mut().apply_report(heard.to_local());
        self.failed_at = self.failed_at.filter(|failed_at| *failed_at >= heard.to_local());
    }

    /// Offers the newest load to peers under `version`, where they would decide differently by it or
    /// have not heard for `config.refresh_after`.
    pub(crate) fn advertise(&mut self, config: &BackendConfig, version: u64, now: MonotonicTime) {
        let stale = now.since(self.advertised.at) >= config.load_refresh_interval;
        let relayed = self.origin == Origin::Row;
        if self.advertised.version == 0 || stale || relayed || self.differs_from_advertised() {
            self.advertised = AdvertisedLoad { load: self.record.load, at: now, version };
        }
    }

    fn differs_from_advertised(&self) -> bool {
        let Some(profile) = self.record.profile() else { return false };
        let (advertised, load) = (&self.advertised.load, &self.record.load);
        let requests = |l: &LoadReport| f64::from(l.running) + f64::from(l.waiting);
        let slots = f64::from(profile.capacity.slots);
        let rate = f64::from(profile.capacity.prefill_tokens_per_second);
        let prefill = load.queued_prefill_tokens.abs_diff(advertised.queued_prefill_tokens) as f64;
        (load.waiting > 0) != (advertised.waiting > 0)
            || (requests(load) - requests(advertised)).abs() > slots * MIN_LOAD_CHANGE_SHARE
            || prefill > rate * MIN_PREFILL_CHANGE_SECONDS
    }

    pub(crate) fn advertised_version(&self) -> u64 {
        self.advertised.version
    }

    pub(crate) fn apply_cache_events(&mut self, events: &CacheEvents, now: MonotonicTime) {
        self.cache.apply_events(events, now);
    }

    /// Remembers that a dispatch failed, until a report that was written later.
    pub(crate) fn note_failure(&mut self, now: MonotonicTime) {
        self.failed_at = Some(now);
    }

    /// Notes that this run wants nothing before `until`; whether that is later than known. A
    /// shorter back-off does not shorten what was requested before.
    pub(crate) fn note_backoff(&mut self, until: MonotonicTime) -> bool {
        let is_later = self.backoff_until.is_none_or(|known| known < until);
        if is_later {
            self.backoff_until = Some(until);
        }
        is_later
    }

    /// The end of the back-off, while it lasts.
    pub(crate) fn backoff_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Whether this gateway follows it in detail; a new one until the subsets are chosen anew.
    pub(crate) fn is_followed(&self) -> bool {
        self.followed
    }

    /// Follows it from now on, or no more. Its reports should come from now on; silence before
    /// counts for nothing.
    pub(crate) fn follow(&mut self, followed: bool, now: MonotonicTime) {
        if followed && !self.followed {
            self.watched_since = now;
        }
        self.followed = followed;
    }

    /// Whether it has been silent for longer than its lease, as far as this gateway would know.
    pub(crate) fn is_lease_expired(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        let silence = self.heard.age(now).min(now.since(self.watched_since));
        self.record.status.is_live() && silence >= config.lease + self.slack(config)
    }

    /// What relaying may add to the age of a report.
    fn slack(&self, config: &BackendConfig) -> Duration {
        if self.origin == Origin::Direct { Duration::ZERO } else { config.relay_slack }
    }

    pub(crate) fn health(&self, config: &BackendConfig, now: MonotonicTime) -> BackendHealth {
        let silence = self.heard.age(now).saturating_sub(self.slack(config));
        let doubtful = silence >= config.suspect_after
            || self.failed_at.is_some()
            || self.restarts.is_flapping(config, now);
        match self.record.status.state {
            ServingState::Leaving => BackendHealth::Leaving,
            ServingState::Serving if self.record.status.is_expired() => BackendHealth::Expired,
            ServingState::Serving if silence >= config.lease => BackendHealth::Expired,
            ServingState::Serving if self.record.profile.is_none() => BackendHealth::Unknown,
            ServingState::Serving if doubtful => BackendHealth::Suspect,
            ServingState::Serving => BackendHealth::Serving,
        }
    }

    /// Whether it got no work for so long that nothing old can still arrive.
    pub(crate) fn is_forgettable(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        !self.record.status.is_live() && self.heard.age(now) >= config.retention
    }

    /// The row for the routing decision, where the backend server may get work.
    pub(crate) fn view<'a>(
        &'a self,
        config: &BackendConfig,
        now: MonotonicTime,
    ) -> Option<BackendView<'a>> {
        let suspect = match self.health(config, now) {
            BackendHealth::Serving => false,
            BackendHealth::Suspect => true,
            BackendHealth::Expired | BackendHealth::Leaving | BackendHealth::Unknown => {
                return None;
            }
        };
        let profile = self.record.profile()?;
        Some(BackendView {
            name: &self.record.name,
            incarnation: self.record.status.incarnation,
            region: &profile.region,
            domain: &profile.domain,
            address: profile.address,
            kind: profile.kind,
            models: &profile.models,
            capacity: profile.capacity,
            load: self.record.load,
            load_age: self.reported.age(now),
            own: self.tracker.borrow().own_load(),
            suspect,
            backoff_until: self.backoff_until(now),
            serving_for: self.serving_since.age(now),
            cache: &self.cache,
            now,
        })
    }

    pub(crate) fn report_age(&self, now: MonotonicTime) -> Duration {
        self.reported.age(now)
    }
}
