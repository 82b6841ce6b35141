//! Backend servers and gateways observed by one control process.

use {
    crate::{
        BackendObservation, BackendRecord, DepartedRun, EntryCandidate, FleetSnapshot,
        GatewayAnnouncement, GatewayListing, GatewayObservation, GatewayPhase, GatewayProfile,
        RegionOffer, ServiceOffer, VmCapacity, gateway_weights,
    },
    gullglade_poison::CrashUpdate,
    gullglade_units::{
        BackendName, Incarnation, MonotonicTime, RegionName, ServiceName, VmName, WallMillis,
    },
    std::{collections::BTreeMap, iter, net::SocketAddr, time::Duration},
};

/// Smaller differences between announced cold times are ignored.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

/// Retention of departed and silent backend servers and of silent gateways. A departure must be
/// kept for longer than a network partition can delay an announcement, because a later announcement
/// would bring the run back. This is ten times the longest expected partition.
const RETENTION: Duration = Duration::from_secs(120);

/// Settings of a [`FleetRegistry`].
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// Interval between announcements of a backend server.
    pub announce_interval: Duration,
    /// Time after which announcements of a backend server are overdue. Announcements can be late by
    /// seconds, so this is several intervals.
    pub backend_silence: Duration,
    /// Time without a call after which a gateway is silent; it calls at least every
    /// [`sync_hold`](Self::sync_hold).
    pub gateway_silence: Duration,
    /// Maximum time that a gateway's call waits for updates.
    pub sync_hold: Duration,
}

impl FleetSettings {
    /// Creates the settings for backend servers that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            announce_interval: interval,
            backend_silence: interval * 4,
            gateway_silence: Duration::from_millis(1_800),
            sync_hold: Duration::from_millis(600),
        }
    }
}

struct BackendEntry {
    record: BackendRecord,
    /// Time when it stops being cold.
    cold_until: MonotonicTime,
    last_heard: MonotonicTime,
    is_silent: bool,
    /// Whether it was only observed by the previous run of this process.
    is_recalled: bool,
    changed: u64,
}

/// A gateway observed by one control process.
pub(crate) struct GatewayEntry {
    pub(crate) announcement: GatewayAnnouncement,
    offers: Vec<ServiceOffer>,
    last_heard: MonotonicTime,
    is_silent: bool,
    /// Number of its last change.
    pub(crate) changed: u64,
}

/// Departure of a run, final for it and all earlier runs.
struct Departure {
    last: Incarnation,
    /// Region of the run, if the run was observed here.
    region: Option<RegionName>,
    last_heard: MonotonicTime,
    changed: u64,
}

/// Registry of the backend servers and gateways that one control process observes. Changes are
/// numbered, so that a gateway is sent only what it lacks.
pub struct FleetRegistry {
    settings: FleetSettings,
    started: MonotonicTime,
    backends: BTreeMap<BackendName, BackendEntry>,
    departed: BTreeMap<BackendName, Departure>,
    gateways: BTreeMap<VmName, GatewayEntry>,
    last_change: u64,
    /// Last change that concerns the gateways of one region only, and last change that concerns all
    /// gateways.
    last_region_changes: BTreeMap<RegionName, u64>,
    last_common_change: u64,
}

impl FleetRegistry {
    /// Creates an empty registry for a process that starts at `now`.
    pub fn new(settings: FleetSettings, now: MonotonicTime) -> Self {
        Self {
            settings,
            started: now,
            backends: BTreeMap::new(),
            departed: BTreeMap::new(),
            gateways: BTreeMap::new(),
            last_change: 0,
            last_region_changes: BTreeMap::new(),
            last_common_change: 0,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the number of the last change that concerns gateways of `region`.
    pub fn last_change_for(&self, region: &RegionName) -> u64 {
        let of_region = self.last_region_changes.get(region).copied().unwrap_or_default();
        of_region.max(self.last_common_change)
    }

    /// Numbers a change that concerns the gateways of `region` only, or all gateways if it is
    /// `None`.
    fn number_change(&mut self, region: Option<&RegionName>) -> u64 {
        self.last_change += 1;
        match region {
            Some(region) => {
                self.last_region_changes.insert(region.clone(), self.last_change);
            }
            None => self.last_common_change = self.last_change,
        }
        self.last_change
    }

    /// Returns whether this process has run for long enough to observe every running gateway.
    /// Before that its list of gateways is incomplete, and all callers would be sent to the first
    /// ones.
    pub fn has_complete_gateways(&self, now: MonotonicTime) -> bool {
        now.since(self.started) > self.settings.gateway_silence
    }

    /// Records an announcement. Returns the observation if it changed.
    pub fn announce(
        &mut self,
        record: BackendRecord,
        now: MonotonicTime,
    ) -> Option<BackendObservation> {
        if self.departed.get(&record.name).is_some_and(|d| record.incarnation <= d.last) {
            return None;
        }
        let cold_until = now + record.cold_for;
        if let Some(entry) = self.backends.get(&record.name)
            && !record.is_after(&entry.record)
        {
            return None;
        }
        let is_change = self
            .backends
            .get(&record.name)
            .is_none_or(|entry| entry.is_change(&record, cold_until));
        let region = record.region.clone();
        let next = if is_change { self.number_change(Some(&region)) } else { self.last_change };
        if let Some(entry) = self.backends.get_mut(&record.name) {
            entry.record = record;
            entry.cold_until = cold_until;
            entry.last_heard = now;
            entry.is_silent = false;
            entry.is_recalled = false;
            if !is_change {
                return None;
            }
            entry.changed = next;
            return Some(entry.observation(now));
        }
        let entry = BackendEntry {
            record,
            cold_until,
            last_heard: now,
            is_silent: false,
            is_recalled: false,
            changed: next,
        };
        let observation = entry.observation(now);
        self.backends.insert(entry.record.name.clone(), entry);
        Some(observation)
    }

    /// Returns the state to persist for the next run.
    pub fn snapshot(&self, now: MonotonicTime) -> FleetSnapshot {
        let live = self.backends.values().filter(|entry| !entry.is_silent);
        FleetSnapshot {
            backends: live.map(|entry| entry.observation(now).record).collect(),
            departed: self.departed_after(0),
            crashes: CrashUpdate::default(),
        }
    }

    /// Restores the state persisted by the previous run, except where newer state was observed.
    pub fn restore(&mut self, snapshot: FleetSnapshot, now: MonotonicTime) {
        for DepartedRun { name, last } in snapshot.departed {
            let changed = self.number_change(None);
            let departure = Departure { last, region: None, last_heard: now, changed };
            self.departed.entry(name).or_insert(departure);
        }
        for record in snapshot.backends {
            if self.backends.contains_key(&record.name) {
                continue;
            }
            self.announce(record.clone(), now);
            if let Some(entry) = self.backends.get_mut(&record.name) {
                entry.is_recalled = true;
            }
        }
    }

    /// Records a departure, including that of a run never observed here: it is announced only once,
    /// to one process. A departure does not name the run, so it applies to every run that had
    /// started by the time `wall`. Returns whether it is new.
    pub fn leave(&mut self, name: &BackendName, wall: WallMillis, now: MonotonicTime) -> bool {
        let known = self.backends.get(name).map(|entry| entry.record.incarnation);
        let departed = self.departed.get(name).map(|departure| departure.last);
        if departed.is_some() && known <= departed {
            return false;
        }
        let region = self.backends.remove(name).map(|entry| entry.record.region);
        let changed = self.number_change(region.as_ref());
        // The clock of the backend server may be ahead of this one.
        let last = Incarnation(wall.0).max(known.unwrap_or_default());
        self.departed.insert(name.clone(), Departure { last, region, last_heard: now, changed });
        true
    }

    /// Returns the departures after `cursor`.
    pub fn departed_after(&self, cursor: u64) -> Vec<DepartedRun> {
        let changed = self.departed.iter().filter(|(_, d)| d.changed > cursor);
        changed.map(|(name, d)| DepartedRun { name: name.clone(), last: d.last }).collect()
    }

    /// Records an announcement of a gateway. Returns the observation if it changed.
    pub fn announce_gateway(
        &mut self,
        announcement: &GatewayAnnouncement,
        now: MonotonicTime,
    ) -> Option<GatewayObservation> {
        if let Some(entry) = self.gateways.get_mut(&announcement.profile.vm) {
            entry.last_heard = now;
            if entry.announcement == *announcement && !entry.is_silent {
                return None;
            }
        }
        let changed = self.number_change(None);
        let entry = GatewayEntry {
            announcement: announcement.clone(),
            offers: Vec::new(),
            last_heard: now,
            is_silent: false,
            changed,
        };
        let observation = entry.observation();
        self.gateways.insert(announcement.profile.vm.clone(), entry);
        Some(observation)
    }

    /// Records the offers of a gateway's region. This does not count for
    /// [`last_change`](Self::last_change): offers change continuously and are part of each reply.
    pub fn record_offers(&mut self, vm: &VmName, offers: Vec<ServiceOffer>) {
        if let Some(entry) = self.gateways.get_mut(vm) {
            entry.offers = offers;
        }
    }

    /// Returns the offers of each region, averaged over its ready gateways because each of them
    /// observes only a part of the load.
    pub fn region_offers(&self) -> Vec<RegionOffer> {
        let mut grouped: BTreeMap<(&RegionName, &ServiceName), Vec<&ServiceOffer>> =
            BTreeMap::new();
        for entry in self.gateways.values().filter(|e| e.is_ready()) {
            for offer in &entry.offers {
                let key = (&entry.announcement.profile.region, &offer.service);
                grouped.entry(key).or_default().push(offer);
            }
        }
        let offer = |((region, service), offers): ((&RegionName, &ServiceName), Vec<_>)| {
            let region = region.clone();
            RegionOffer { region, offer: mean_offer(service.clone(), &offers) }
        };
        grouped.into_iter().map(offer).collect()
    }

    /// Marks silent backend servers and gateways, and removes those past their retention. Returns
    /// the observations that changed.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
    ) -> (Vec<BackendObservation>, Vec<GatewayObservation>) {
        let settings = self.settings;
        let silence = settings.backend_silence;
        let is_retained = |e: &BackendEntry| !e.is_recalled || now.since(e.last_heard) < silence;
        self.backends.retain(|_, e| now.since(e.last_heard) < RETENTION && is_retained(e));
        self.departed.retain(|_, d| now.since(d.last_heard) < RETENTION);
        self.gateways.retain(|_, e| now.since(e.last_heard) < RETENTION);
        (self.mark_silent_backends(now), self.mark_silent_gateways(now))
    }

    fn mark_silent_backends(&mut self, now: MonotonicTime) -> Vec<BackendObservation> {
        let silence = self.settings.backend_silence;
        let is_due = |e: &BackendEntry| now.since(e.last_heard) > silence && !e.is_silent;
        let due = self.backends.values().filter(|e| is_due(e)).map(|e| e.record.name.clone());
        let due: Vec<BackendName> = due.collect();
        let mut silent = Vec::new();
        for name in due {
            let Some(region) = self.backends.get(&name).map(|e| e.record.region.clone()) else {
                continue;
            };
            let changed = self.number_change(Some(&region));
            let Some(entry) = self.backends.get_mut(&name) else { continue };
            entry.is_silent = true;
            entry.changed = changed;
            silent.push(entry.observation(now));
        }
        silent
    }

    fn mark_silent_gateways(&mut self, now: MonotonicTime) -> Vec<GatewayObservation> {
        let silence = self.settings.gateway_silence;
        let is_due = |e: &GatewayEntry| now.since(e.last_heard) > silence && !e.is_silent;
        let due = self.gateways.iter().filter(|(_, e)| is_due(e)).map(|(vm, _)| vm.clone());
        let due: Vec<VmName> = due.collect();
        let mut silent = Vec::new();
        for vm in due {
            let changed = self.number_change(None);
            let Some(entry) = self.gateways.get_mut(&vm) else { continue };
            entry.is_silent = true;
            entry.changed = changed;
            silent.push(entry.observation());
        }
        silent
    }

    /// Returns the backend servers that changed after `cursor`.
    pub fn backends_after(&self, cursor: u64, now: MonotonicTime) -> Vec<BackendObservation> {
        let changed = self.backends.values().filter(|e| e.changed > cursor);
        changed.map(|e| e.observation(now)).collect()
    }

    /// Returns the backend servers of `region` that changed after `cursor`.
    pub(crate) fn region_backends_after(
        &self,
        region: &RegionName,
        cursor: u64,
        now: MonotonicTime,
    ) -> Vec<BackendObservation> {
        let changed = self.backends.values().filter(|e| e.changed > cursor);
        changed.filter(|e| e.record.region == *region).map(|e| e.observation(now)).collect()
    }

    /// Returns the departures after `cursor` in `region` or in an unknown region.
    pub(crate) fn region_departed_after(
        &self,
        region: &RegionName,
        cursor: u64,
    ) -> Vec<DepartedRun> {
        let is_near = |d: &Departure| d.region.as_ref().is_none_or(|r| r == region);
        let changed = self.departed.iter().filter(|(_, d)| d.changed > cursor && is_near(d));
        changed.map(|(name, d)| DepartedRun { name: name.clone(), last: d.last }).collect()
    }

    /// Returns all gateways, live or silent.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = &GatewayEntry> {
        self.gateways.values()
    }

    /// Returns the number of live gateways, including those that are starting or stopping, because
    /// they share common limits. If only ready gateways were counted, the first ones after a
    /// complete restart would each take the shares of many.
    pub fn gateway_total(&self) -> usize {
        self.gateways.values().filter(|e| !e.is_silent).count()
    }

    /// Returns the gateways that callers in `region` should use.
    ///
    /// These are the ready gateways of the region; if there are none, the ready ones of other
    /// regions that `is_home` allows; then those of either that are stopping, as they still serve
    /// for a while. Other regions that `is_home` does not allow are never used, because a caller
    /// sends its body to the gateway that it is directed to.
    pub fn entry_candidates(
        &self,
        region: &RegionName,
        is_home: impl Fn(&RegionName) -> bool,
    ) -> Vec<EntryCandidate<'_>> {
        let is_near = |e: &GatewayEntry| e.announcement.profile.region == *region;
        let is_allowed = |e: &GatewayEntry| is_home(&e.announcement.profile.region);
        let is_stopping =
            |e: &GatewayEntry| e.announcement.phase == GatewayPhase::Stopping && !e.is_silent;
        let choices: [&dyn Fn(&GatewayEntry) -> bool; 4] = [
            &|e| e.is_ready() && is_near(e),
            &|e| e.is_ready() && is_allowed(e),
            &|e| is_stopping(e) && is_near(e),
            &|e| is_stopping(e) && is_allowed(e),
        ];
        for choice in choices {
            let chosen = self.gateways.values().filter(|e| choice(e));
            let found: Vec<_> = chosen.map(|e| &e.announcement.profile).collect();
            if !found.is_empty() {
                let capacities: Vec<_> = found.iter().map(|profile| profile.capacity).collect();
                let weighted = found.into_iter().zip(gateway_weights(&capacities));
                return weighted.map(|(profile, weight)| candidate(profile, weight)).collect();
            }
        }
        Vec::new()
    }

    /// Returns the caller addresses of [`entry_candidates`](Self::entry_candidates).
    pub fn entry_addresses(
        &self,
        region: &RegionName,
        is_home: impl Fn(&RegionName) -> bool,
    ) -> Vec<SocketAddr> {
        self.entry_candidates(region, is_home).into_iter().map(|entry| entry.address).collect()
    }

    /// Returns all gateways, live or silent, by region. Weights are relative to the ready gateways
    /// of the region, as for answers of the directory.
    pub fn gateway_listings(&self) -> Vec<GatewayListing> {
        let mut regions: BTreeMap<&RegionName, Vec<&GatewayEntry>> = BTreeMap::new();
        for entry in self.gateways.values() {
            regions.entry(&entry.announcement.profile.region).or_default().push(entry);
        }
        let mut listings = Vec::new();
        for mut entries in regions.into_values() {
            entries.sort_by_key(|entry| !entry.is_ready());
            let ready = entries.iter().filter(|entry| entry.is_ready());
            let capacities: Vec<_> =
                ready.map(|entry| entry.announcement.profile.capacity).collect();
            let weights = gateway_weights(&capacities).into_iter().map(Some);
            let weights = weights.chain(iter::repeat(None));
            listings.extend(entries.into_iter().zip(weights).map(|(e, w)| e.listing(w)));
        }
        listings
    }

    /// Returns the capacity that a gateway announced last.
    pub(crate) fn gateway_capacity(&self, vm: &VmName) -> Option<VmCapacity> {
        self.gateways.get(vm).map(|entry| entry.announcement.profile.capacity)
    }

    /// Returns the numbers of live backend servers and live gateways.
    pub fn live_counts(&self) -> (usize, usize) {
        let backends = self.backends.values().filter(|e| !e.is_silent).count();
        let gateways = self.gateways.values().filter(|e| !e.is_silent).count();
        (backends, gateways)
    }
}

impl BackendEntry {
    /// Returns whether an announcement contains anything that gateways do not know.
    fn is_change(&self, record: &BackendRecord, cold_until: MonotonicTime) -> bool {
        let moved = cold_until.since(self.cold_until).max(self.cold_until.since(cold_until));
        let is_cold_change = !record.cold_for.is_zero() && moved > COLD_TOLERANCE;
        let known = &self.record;
        self.is_silent
            || self.is_recalled
            || is_cold_change
            || known.incarnation != record.incarnation
            || known.state != record.state
            || known.address != record.address
            || known.service != record.service
            || known.domain != record.domain
            || known.slots != record.slots
    }

    fn observation(&self, now: MonotonicTime) -> BackendObservation {
        let mut record = self.record.clone();
        record.cold_for = self.cold_until.since(now);
        BackendObservation { record, is_silent: self.is_silent, is_recalled: self.is_recalled }
    }
}

impl GatewayEntry {
    pub(crate) fn is_ready(&self) -> bool {
        self.announcement.phase == GatewayPhase::Ready && !self.is_silent
    }

    fn listing(&self, weight: Option<f64>) -> GatewayListing {
        let GatewayAnnouncement { profile, phase } = &self.announcement;
        GatewayListing {
            gateway: profile.vm.clone(),
            region: profile.region.clone(),
            domain: profile.domain.clone(),
            phase: phase.to_string(),
            is_silent: self.is_silent,
            cpu_millis: profile.capacity.cpu_millis(),
            memory_mb: profile.capacity.memory_mb(),
            link_kbps: profile.capacity.link_kbps(),
            weight,
        }
    }

    pub(crate) fn observation(&self) -> GatewayObservation {
        GatewayObservation {
            profile: self.announcement.profile.clone(),
            phase: self.announcement.phase,
            is_silent: self.is_silent,
        }
    }
}

fn candidate(profile: &GatewayProfile, weight: f64) -> EntryCandidate<'_> {
    EntryCandidate { vm: &profile.vm, address: profile.caller_address, weight }
}

/// Averages the offers of several gateways for one service.
fn mean_offer(service: ServiceName, offers: &[&ServiceOffer]) -> ServiceOffer {
    let priorities = offers.iter().map(|o| o.first_byte_ms.len()).max().unwrap_or_default();
    let mean = |priority: usize| {
        let times: Vec<u64> = offers
            .iter()
            .filter_map(|o| o.first_byte_ms.get(priority).map(|ms| u64::from(*ms)))
            .collect();
        let mean = times.iter().sum::<u64>() / times.len().max(1) as u64;
        u32::try_from(mean).unwrap_or(u32::MAX)
    };
    ServiceOffer {
        service,
        backends: offers.iter().map(|o| o.backends).max().unwrap_or_default(),
        first_byte_ms: (0..priorities).map(mean).collect(),
    }
}
