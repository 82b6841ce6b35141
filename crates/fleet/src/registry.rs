//! What one control process has heard itself.

use {
    crate::{
        BackendObservation, BackendRecord, DepartedRun, FleetSnapshot, GatewayAnnouncement,
        GatewayObservation, GatewayPhase, RegionOffer, ServiceOffer,
    },
    gullglade_poison::CrashUpdate,
    gullglade_units::{
        BackendName, Incarnation, MonotonicTime, RegionName, ServiceName, VmName, WallMillis,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// A cold time that moves by less than this is the same one, told again.
const COLD_SLACK: Duration = Duration::from_millis(300);

/// How long a departed or silent backend server, or a silent gateway, is remembered. A goodbye
/// must be remembered for longer than an announcement can be delayed by a network partition: one
/// that comes later would bring the run back. Ten times the longest partition that is planned for.
const MEMORY: Duration = Duration::from_secs(120);

/// Settings of a [`FleetRegistry`].
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// The time between two announcements of a backend server.
    pub announce_interval: Duration,
    /// Announcements are overdue after this. Backend servers announce late by seconds at times, so
    /// several intervals.
    pub backend_silence: Duration,
    /// A gateway is silent after this without a call; it calls at least every
    /// [`sync_hold`](Self::sync_hold).
    pub gateway_silence: Duration,
    /// How long a gateway's call waits for news.
    pub sync_hold: Duration,
}

impl FleetSettings {
    /// The settings for backend servers that announce themselves every `interval`.
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
    /// When it stops being cold.
    cold_until: MonotonicTime,
    heard: MonotonicTime,
    is_silent: bool,
    /// Whether it was only heard in the run before this one.
    is_recalled: bool,
    changed: u64,
}

/// A gateway, as one control process hears it.
pub(crate) struct GatewayEntry {
    pub(crate) pulse: GatewayAnnouncement,
    offers: Vec<ServiceOffer>,
    heard: MonotonicTime,
    is_silent: bool,
    /// The number of its last change.
    pub(crate) changed: u64,
}

/// A goodbye. Final for the run that said it and those before.
struct Departure {
    last: Incarnation,
    /// Where the run was, if it was heard here.
    region: Option<RegionName>,
    heard: MonotonicTime,
    changed: u64,
}

/// The backend servers and gateways that one control process hears. Numbers its changes, so that
/// a gateway is told only what it lacks.
pub struct FleetRegistry {
    settings: FleetSettings,
    started: MonotonicTime,
    backends: BTreeMap<BackendName, BackendEntry>,
    departed: BTreeMap<BackendName, Departure>,
    gateways: BTreeMap<VmName, GatewayEntry>,
    last: u64,
    /// The last change that concerns only one region's gateways, and the last one of all others.
    last_of_region: BTreeMap<RegionName, u64>,
    last_common: u64,
}

impl FleetRegistry {
    /// An empty book of a process that starts `now`.
    pub fn new(settings: FleetSettings, now: MonotonicTime) -> Self {
        Self {
            settings,
            started: now,
            backends: BTreeMap::new(),
            departed: BTreeMap::new(),
            gateways: BTreeMap::new(),
            last: 0,
            last_of_region: BTreeMap::new(),
            last_common: 0,
        }
    }

    /// Its settings.
    pub fn settings(&self) -> &FleetSettings {
        &self.settings
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last
    }

    /// The number of the last change that concerns gateways of `region`.
    pub fn last_change_for(&self, region: &RegionName) -> u64 {
        let of_region = self.last_of_region.get(region).copied().unwrap_or_default();
        of_region.max(self.last_common)
    }

    /// Numbers a change; `region`: the one whose gateways alone it concerns.
    fn number_change(&mut self, region: Option<&RegionName>) -> u64 {
        self.last += 1;
        match region {
            Some(region) => {
                self.last_of_region.insert(region.clone(), self.last);
            }
            None => self.last_common = self.last,
        }
        self.last
    }

    /// Whether this process has run for long enough to have heard every gateway that runs. Before
    /// that its list of gateways is cut short, and callers would all be sent to the first ones.
    pub fn has_heard_gateways(&self, now: MonotonicTime) -> bool {
        now.since(self.started) > self.settings.gateway_silence
    }

    /// Takes note of an announcement. Returns the standing where it changed.
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
        let is_news =
            self.backends.get(&record.name).is_none_or(|entry| entry.is_news(&record, cold_until));
        let region = record.region.clone();
        let next = if is_news { self.number_change(Some(&region)) } else { self.last };
        if let Some(entry) = self.backends.get_mut(&record.name) {
            entry.record = record;
            entry.cold_until = cold_until;
            entry.heard = now;
            entry.is_silent = false;
            entry.is_recalled = false;
            if !is_news {
                return None;
            }
            entry.changed = next;
            return Some(entry.standing(now));
        }
        let entry = BackendEntry {
            record,
            cold_until,
            heard: now,
            is_silent: false,
            is_recalled: false,
            changed: next,
        };
        let standing = entry.standing(now);
        self.backends.insert(entry.record.name.clone(), entry);
        Some(standing)
    }

    /// What is worth keeping for the next run.
    pub fn snapshot(&self, now: MonotonicTime) -> FleetSnapshot {
        let heard = self.backends.values().filter(|entry| !entry.is_silent);
        FleetSnapshot {
            backends: heard.map(|entry| entry.standing(now).record).collect(),
            departed: self.departed_after(0),
            crashes: CrashUpdate::default(),
        }
    }

    /// Takes in what the run before kept, where nothing newer was heard.
    pub fn restore(&mut self, memory: FleetSnapshot, now: MonotonicTime) {
        for DepartedRun { name, last } in memory.departed {
            let changed = self.number_change(None);
            let departure = Departure { last, region: None, heard: now, changed };
            self.departed.entry(name).or_insert(departure);
        }
        for record in memory.backends {
            if self.backends.contains_key(&record.name) {
                continue;
            }
            self.announce(record.clone(), now);
            if let Some(entry) = self.backends.get_mut(&record.name) {
                entry.is_recalled = true;
            }
        }
    }

    /// Takes note of a goodbye, also of a run that was never heard here: it said so once, to this
    /// process. A goodbye does not say which run it is of, so it is of every one that had started
    /// by then, `wall`. Returns whether it is news.
    pub fn leave(&mut self, name: &BackendName, wall: WallMillis, now: MonotonicTime) -> bool {
        let known = self.backends.get(name).map(|entry| entry.record.incarnation);
        let told = self.departed.get(name).map(|departure| departure.last);
        if told.is_some() && known <= told {
            return false;
        }
        let region = self.backends.remove(name).map(|entry| entry.record.region);
        let changed = self.number_change(region.as_ref());
        // The clock of a backend server may be ahead of this one.
        let last = Incarnation(wall.0).max(known.unwrap_or_default());
        self.departed.insert(name.clone(), Departure { last, region, heard: now, changed });
        true
    }

    /// The runs whose goodbyes came after `cursor`.
    pub fn departed_after(&self, cursor: u64) -> Vec<DepartedRun> {
        let changed = self.departed.iter().filter(|(_, d)| d.changed > cursor);
        changed.map(|(name, d)| DepartedRun { name: name.clone(), last: d.last }).collect()
    }

    /// Takes note of a gateway's sign of life. Returns its standing where it changed.
    pub fn announce_gateway(
        &mut self,
        pulse: &GatewayAnnouncement,
        now: MonotonicTime,
    ) -> Option<GatewayObservation> {
        if let Some(entry) = self.gateways.get_mut(&pulse.profile.vm) {
            entry.heard = now;
            if entry.pulse == *pulse && !entry.is_silent {
                return None;
            }
        }
        let changed = self.number_change(None);
        let entry = GatewayEntry {
            pulse: pulse.clone(),
            offers: Vec::new(),
            heard: now,
            is_silent: false,
            changed,
        };
        let standing = entry.standing();
        self.gateways.insert(pulse.profile.vm.clone(), entry);
        Some(standing)
    }

    /// Takes note of what a gateway's region offers. No change in the sense of
    /// [`last_change`](Self::last_change): offers change all the time, and each reply has them.
    pub fn note_offers(&mut self, vm: &VmName, offers: Vec<ServiceOffer>) {
        if let Some(entry) = self.gateways.get_mut(vm) {
            entry.offers = offers;
        }
    }

    /// What each region offers: the mean over its gateways that are ready, since each of them
    /// sees the load only in part.
    pub fn region_offers(&self) -> Vec<RegionOffer> {
        let mut told: BTreeMap<(&RegionName, &ServiceName), Vec<&ServiceOffer>> = BTreeMap::new();
        for entry in self.gateways.values().filter(|e| e.is_ready()) {
            for offer in &entry.offers {
                let key = (&entry.pulse.profile.region, &offer.service);
                told.entry(key).or_default().push(offer);
            }
        }
        let offer = |((region, service), offers): ((&RegionName, &ServiceName), Vec<_>)| {
            let region = region.clone();
            RegionOffer { region, offer: mean_offer(service.clone(), &offers) }
        };
        told.into_iter().map(offer).collect()
    }

    /// Notices who has fallen silent, and forgets who has long been. Returns what changed.
    pub fn tick(
        &mut self,
        now: MonotonicTime,
    ) -> (Vec<BackendObservation>, Vec<GatewayObservation>) {
        let settings = self.settings;
        let silence = settings.backend_silence;
        let is_kept = |e: &BackendEntry| !e.is_recalled || now.since(e.heard) < silence;
        self.backends.retain(|_, e| now.since(e.heard) < MEMORY && is_kept(e));
        self.departed.retain(|_, d| now.since(d.heard) < MEMORY);
        self.gateways.retain(|_, e| now.since(e.heard) < MEMORY);
        (self.silence_backends(now), self.silence_gateways(now))
    }

    fn silence_backends(&mut self, now: MonotonicTime) -> Vec<BackendObservation> {
        let silence = self.settings.backend_silence;
        let is_due = |e: &BackendEntry| now.since(e.heard) > silence && !e.is_silent;
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
            silent.push(entry.standing(now));
        }
        silent
    }

    fn silence_gateways(&mut self, now: MonotonicTime) -> Vec<GatewayObservation> {
        let silence = self.settings.gateway_silence;
        let is_due = |e: &GatewayEntry| now.since(e.heard) > silence && !e.is_silent;
        let due = self.gateways.iter().filter(|(_, e)| is_due(e)).map(|(vm, _)| vm.clone());
        let due: Vec<VmName> = due.collect();
        let mut silent = Vec::new();
        for vm in due {
            let changed = self.number_change(None);
            let Some(entry) = self.gateways.get_mut(&vm) else { continue };
            entry.is_silent = true;
            entry.changed = changed;
            silent.push(entry.standing());
        }
        silent
    }

    /// The backend servers that changed after `cursor`.
    pub fn backends_after(&self, cursor: u64, now: MonotonicTime) -> Vec<BackendObservation> {
        let changed = self.backends.values().filter(|e| e.changed > cursor);
        changed.map(|e| e.standing(now)).collect()
    }

    /// The backend servers of `region` that changed after `cursor`.
    pub(crate) fn region_backends_after(
        &self,
        region: &RegionName,
        cursor: u64,
        now: MonotonicTime,
    ) -> Vec<BackendObservation> {
        let changed = self.backends.values().filter(|e| e.changed > cursor);
        changed.filter(|e| e.record.region == *region).map(|e| e.standing(now)).collect()
    }

    /// The runs whose goodbyes came after `cursor`, of `region` or of an unknown one.
    pub(crate) fn region_departed_after(
        &self,
        region: &RegionName,
        cursor: u64,
    ) -> Vec<DepartedRun> {
        let is_near = |d: &Departure| d.region.as_ref().is_none_or(|r| r == region);
        let changed = self.departed.iter().filter(|(_, d)| d.changed > cursor && is_near(d));
        changed.map(|(name, d)| DepartedRun { name: name.clone(), last: d.last }).collect()
    }

    /// All gateways, heard or silent.
    pub(crate) fn gateways(&self) -> impl Iterator<Item = &GatewayEntry> {
        self.gateways.values()
    }

    /// The gateways that are heard, also those that are starting or stopping: they share common
    /// limits. Counted when they are ready, the first ones after a loss of power everywhere would
    /// each take the parts of many.
    pub fn gateway_total(&self) -> usize {
        self.gateways.values().filter(|e| !e.is_silent).count()
    }

    /// The callers' addresses of the gateways that callers in `region` should use.
    ///
    /// Those of the region that are ready; where it has none, those of other regions that
    /// `is_home` allows; then those of either that are stopping, as they still serve for a while.
    /// A region that is no home comes last, and only where every region is one: a caller sends its
    /// body to whom it is told to connect to.
    pub fn entry_addresses(
        &self,
        region: &RegionName,
        is_home: impl Fn(&RegionName) -> bool,
    ) -> Vec<SocketAddr> {
        let is_near = |e: &GatewayEntry| e.pulse.profile.region == *region;
        let is_allowed = |e: &GatewayEntry| is_home(&e.pulse.profile.region);
        let is_stopping =
            |e: &GatewayEntry| e.pulse.phase == GatewayPhase::Stopping && !e.is_silent;
        let choices: [&dyn Fn(&GatewayEntry) -> bool; 4] = [
            &|e| e.is_ready() && is_near(e),
            &|e| e.is_ready() && is_allowed(e),
            &|e| is_stopping(e) && is_near(e),
            &|e| is_stopping(e) && is_allowed(e),
        ];
        for choice in choices {
            let chosen = self.gateways.values().filter(|e| choice(e));
            let found: Vec<_> = chosen.map(|e| e.pulse.profile.caller_address).collect();
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    /// How many backend servers and gateways are heard.
    pub fn heard(&self) -> (usize, usize) {
        let backends = self.backends.values().filter(|e| !e.is_silent).count();
        let gateways = self.gateways.values().filter(|e| !e.is_silent).count();
        (backends, gateways)
    }
}

impl BackendEntry {
    /// Whether an announcement says anything that gateways do not know.
    fn is_news(&self, record: &BackendRecord, cold_until: MonotonicTime) -> bool {
        let moved = cold_until.since(self.cold_until).max(self.cold_until.since(cold_until));
        let is_cold_news = !record.cold_for.is_zero() && moved > COLD_SLACK;
        let known = &self.record;
        self.is_silent
            || self.is_recalled
            || is_cold_news
            || known.incarnation != record.incarnation
            || known.state != record.state
            || known.address != record.address
            || known.service != record.service
            || known.domain != record.domain
            || known.slots != record.slots
    }

    fn standing(&self, now: MonotonicTime) -> BackendObservation {
        let mut record = self.record.clone();
        record.cold_for = self.cold_until.since(now);
        BackendObservation { record, is_silent: self.is_silent, is_recalled: self.is_recalled }
    }
}

impl GatewayEntry {
    pub(crate) fn is_ready(&self) -> bool {
        self.pulse.phase == GatewayPhase::Ready && !self.is_silent
    }

    pub(crate) fn standing(&self) -> GatewayObservation {
        GatewayObservation {
            profile: self.pulse.profile.clone(),
            phase: self.pulse.phase,
            is_silent: self.is_silent,
        }
    }
}

/// The mean of what some gateways offer of one service.
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
