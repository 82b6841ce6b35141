//! Entry of the backend table: the replicated record and the local state of this gateway.

use {
    crate::{
        BackendConfig, BackendRecord, BackendView, CacheEvents, LoadReport, Origin, RunId,
        ServingState, StatusChange, cache::CacheEstimate, dispatch::DispatchTracker,
        past_instant::PastInstant,
    },
    gullglade_units::{BackendName, MonotonicTime},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Load changes up to this share of the slots are not advertised, unless the queue becomes empty or
/// non-empty.
const MIN_LOAD_CHANGE_SHARE: f64 = 1.0 / 10.0;

/// Changes of the prefill queue up to this time, in seconds of prefill throughput, are not
/// advertised.
const MIN_PREFILL_CHANGE_SECONDS: f64 = 0.1;

/// Health of a backend server as seen by this gateway. Determines whether it gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackendHealth {
    /// Gets new requests.
    Serving,
    /// Gets new requests only if no better backend server is left: it has not reported for some
    /// time, restarts often, or a dispatch to it has failed.
    Suspect,
    /// Gets no new requests: its lease has expired.
    Expired,
    /// Gets no new requests: it has announced that it is leaving.
    Leaving,
    /// Gets no new requests: its profile is not known to this gateway yet.
    Unknown,
}

pub(crate) struct BackendEntry {
    pub(crate) record: BackendRecord,
    pub(crate) id: RunId,
    pub(crate) heard_at: PastInstant,
    /// Source of the newest report.
    pub(crate) origin: Origin,
    reported: PastInstant,
    pub(crate) serving_since: PastInstant,
    followed: bool,
    /// Time since which this gateway receives the reports of the backend server. Silence before it
    /// does not count.
    watched_since: MonotonicTime,
    failed_at: Option<MonotonicTime>,
    /// End of the back-off that this run has requested of this gateway.
    backoff_until: Option<MonotonicTime>,
    restarts: RestartCounter,
    advertised: AdvertisedLoad,
    pub(crate) tracker: Rc<RefCell<DispatchTracker>>,
    pub(crate) cache: CacheEstimate,
}

/// The load last advertised to peers.
#[derive(Clone, Copy, Debug, Default)]
struct AdvertisedLoad {
    load: LoadReport,
    at: MonotonicTime,
    /// Version of the advertisement, increasing over all entries. A peer is sent the loads with
    /// versions above its cursor.
    version: u64,
}

/// Count of consecutive restarts. A backend server in a crash loop looks new and idle after each
/// restart and would otherwise attract requests only to lose them.
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
        heard_at: PastInstant,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id: RunId::new(record.name.as_str(), record.status.incarnation),
            record,
            heard_at,
            origin: Origin::OtherRow,
            reported: heard_at,
            serving_since: heard_at,
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

    /// Merges a record that was current at `heard_at`.
    pub(crate) fn merge(
        &mut self,
        record: &BackendRecord,
        config: &BackendConfig,
        heard_at: PastInstant,
        now: MonotonicTime,
    ) -> StatusChange {
        let was_out = self.health(config, now) == BackendHealth::Expired;
        let change = self.record.merge(record);
        if change.restarted {
            self.restart(config, now);
        }
        if change.advanced {
            self.apply_report(heard_at, now);
        }
        if change.restarted || (was_out && change.advanced) {
            self.serving_since = heard_at;
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

    fn apply_report(&mut self, heard_at: PastInstant, now: MonotonicTime) {
        if heard_at.age(now) < self.heard_at.age(now) {
            self.heard_at = heard_at;
        }
        self.reported = heard_at;
        self.tracker.borrow_mut().apply_report(heard_at.local_time());
        self.failed_at = self.failed_at.filter(|failed_at| *failed_at >= heard_at.local_time());
    }

    /// Advertises the newest load to peers under `version` if it differs enough to affect their
    /// decisions, was received from a gateway of the same row, or the last advertisement is older
    /// than `config.load_refresh_interval`.
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

    /// Marks the backend server as suspect until it sends a report written after `now`.
    pub(crate) fn note_failure(&mut self, now: MonotonicTime) {
        self.failed_at = Some(now);
    }

    /// Records that this run wants no requests before `until`. Returns whether this extends the
    /// known back-off. A shorter back-off does not shorten the one requested before.
    pub(crate) fn note_backoff(&mut self, until: MonotonicTime) -> bool {
        let is_later = self.backoff_until.is_none_or(|known| known < until);
        if is_later {
            self.backoff_until = Some(until);
        }
        is_later
    }

    /// Returns the end of the back-off if it has not passed yet.
    pub(crate) fn backoff_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.backoff_until.filter(|until| now < *until)
    }

    /// Returns whether this gateway follows the backend server in detail. A new one is followed
    /// until the subsets are recomputed.
    pub(crate) fn is_followed(&self) -> bool {
        self.followed
    }

    /// Sets whether this gateway follows the backend server. Its reports are expected from now on,
    /// so earlier silence does not count.
    pub(crate) fn follow(&mut self, followed: bool, now: MonotonicTime) {
        if followed && !self.followed {
            self.watched_since = now;
        }
        self.followed = followed;
    }

    /// Returns whether the lease has expired, counting only the time during which this gateway
    /// would have received reports.
    pub(crate) fn is_lease_expired(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        let silence = self.heard_at.age(now).min(now.since(self.watched_since));
        self.record.status.is_live() && silence >= config.lease + self.slack(config)
    }

    /// Returns the delay that relaying may add to the age of a report.
    fn slack(&self, config: &BackendConfig) -> Duration {
        if self.origin == Origin::Direct { Duration::ZERO } else { config.relay_slack }
    }

    pub(crate) fn health(&self, config: &BackendConfig, now: MonotonicTime) -> BackendHealth {
        let silence = self.heard_at.age(now).saturating_sub(self.slack(config));
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

    /// Returns whether the backend server has been out of service for so long that no outdated
    /// message about it can still arrive.
    pub(crate) fn is_forgettable(&self, config: &BackendConfig, now: MonotonicTime) -> bool {
        !self.record.status.is_live() && self.heard_at.age(now) >= config.retention
    }

    /// Returns the view for the routing decision, if the backend server may get new requests.
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
