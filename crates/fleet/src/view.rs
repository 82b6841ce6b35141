//! What a gateway believes, merged from all control processes that it follows.

use {
    crate::{
        BackendObservation, BackendRecord, DepartedRun, GatewayObservation, GatewayPhase,
        GatewayProfile, RegionOffer, ServingState, SyncReply,
    },
    bytes::Bytes,
    gullglade_traffic::{TrafficConfig, TrafficError, TrafficFormat},
    gullglade_units::{
        BackendName, BootTime, FailureDomain, Incarnation, MonotonicTime, RegionName, VmName,
        rendezvous::score,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// A backend server or gateway that no control process hears is believed to be there for this
/// long more. After a restart of all control processes each of them knows nobody, and backend
/// servers take a few intervals to announce themselves again.
const BELIEF: Duration = Duration::from_secs(8);

/// One that a control process only recalls from its run before is believed to be there for this
/// long: it announces itself every interval, and that is late by a second at times.
const RECALLED_BELIEF: Duration = Duration::from_secs(3);

/// How long a departure, or a member nobody speaks of, is remembered; as long as the control
/// processes remember it.
const MEMORY: Duration = Duration::from_secs(120);

/// A configuration counts as the newest where a control process had it confirmed this lately.
/// Leaders confirm with every heartbeat, so this bears a few lost ones.
const CONFIRMATION: Duration = Duration::from_secs(2);

/// The traffic configuration in force at this gateway.
#[derive(Clone)]
pub struct ActiveTraffic {
    /// The configuration.
    pub config: Rc<TrafficConfig>,
    /// Its text.
    pub text: Bytes,
    /// The failure domains that are evacuated.
    pub evacuated: Rc<BTreeSet<FailureDomain>>,
    /// The index of its last change in the log; never goes down in one run of the process.
    pub index: u64,
    /// When that change was learned.
    pub since: MonotonicTime,
}

/// A backend server as this gateway believes it to be.
#[derive(Clone, Debug)]
pub struct BackendRow {
    /// What it said last.
    pub record: BackendRecord,
    /// When it stops being cold.
    pub cold_until: MonotonicTime,
    /// Whether no control process hears it.
    pub is_silent: bool,
    /// When this gateway learned of what it said last.
    pub learned: MonotonicTime,
}

/// Another gateway, or this one, as this gateway believes it to be.
#[derive(Clone, Debug)]
pub struct GatewayRow {
    /// What it is.
    pub profile: GatewayProfile,
    /// What it said last.
    pub phase: GatewayPhase,
    /// Whether no control process hears it.
    pub is_silent: bool,
}

/// One member, and which control processes hear it.
struct Believed<T> {
    last: T,
    learned: MonotonicTime,
    /// When a control process was last known to hear it.
    heard: MonotonicTime,
    /// By control process: whether that one calls it silent.
    voices: BTreeMap<SocketAddr, bool>,
}

impl<T> Believed<T> {
    fn new(last: T, now: MonotonicTime) -> Self {
        Self { last, learned: now, heard: now, voices: BTreeMap::new() }
    }

    fn is_heard(&self) -> bool {
        self.voices.values().any(|is_silent| !is_silent)
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        if self.is_heard() {
            return false;
        }
        // Where the control processes that know it agree that it is silent, it is. Where none of
        // them speaks of it, they may just have been restarted.
        !self.voices.is_empty() || now.since(self.heard) > BELIEF
    }

    fn note_voice(&mut self, control: SocketAddr, is_silent: bool, now: MonotonicTime) {
        self.voices.insert(control, is_silent);
        if !is_silent {
            self.heard = now;
        }
    }

    fn drop_voice(&mut self, control: SocketAddr, now: MonotonicTime) {
        if self.voices.remove(&control) == Some(false) {
            self.heard = now;
        }
    }
}

/// What changed with a reply, for whoever acts on it and for the log.
#[derive(Debug, Default)]
pub struct ViewChange {
    /// A configuration or evacuation came into force.
    pub traffic: bool,
    /// Backend servers that are new, or said something new.
    pub backends: Vec<BackendName>,
    /// Backend servers that are gone.
    pub departed: Vec<BackendName>,
    /// Gateways that are new, or said something new.
    pub gateways: Vec<VmName>,
    /// Whether anything may have changed beside what regions offer.
    pub is_structural: bool,
}

/// The view of one gateway.
pub struct FleetView {
    format: Rc<dyn TrafficFormat>,
    traffic: Option<ActiveTraffic>,
    /// A time at which the configuration in force is known to have been the newest.
    confirmed: Option<BootTime>,
    backends: BTreeMap<BackendName, Believed<BackendRow>>,
    /// The latest run of each name that said goodbye, and when this gateway learned of it.
    departed: BTreeMap<BackendName, (Incarnation, MonotonicTime)>,
    gateways: BTreeMap<VmName, Believed<GatewayRow>>,
    controls: BTreeSet<SocketAddr>,
    /// How many gateways of all regions are heard, by control process.
    gateway_totals: BTreeMap<SocketAddr, u32>,
    regions: Vec<RegionOffer>,
}

impl FleetView {
    /// The view of a gateway that has heard nothing yet.
    pub fn new(format: Rc<dyn TrafficFormat>) -> Self {
        Self {
            format,
            traffic: None,
            confirmed: None,
            backends: BTreeMap::new(),
            departed: BTreeMap::new(),
            gateways: BTreeMap::new(),
            controls: BTreeSet::new(),
            gateway_totals: BTreeMap::new(),
            regions: Vec::new(),
        }
    }

    /// The configuration in force; `None` before the first.
    pub fn traffic(&self) -> Option<&ActiveTraffic> {
        self.traffic.as_ref()
    }

    /// The latest time at which the configuration in force is known to have been the newest.
    pub fn confirmed(&self) -> Option<BootTime> {
        self.confirmed
    }

    /// The control processes, as one of them named them last.
    pub fn controls(&self) -> &BTreeSet<SocketAddr> {
        &self.controls
    }

    /// What all regions offer, as a control process said last.
    pub fn regions(&self) -> &[RegionOffer] {
        &self.regions
    }

    /// All backend servers believed to be there.
    pub fn backends(&self, now: MonotonicTime) -> impl Iterator<Item = BackendRow> {
        self.backends.values().map(move |b| {
            let mut row = b.last.clone();
            row.is_silent = b.is_silent(now);
            row
        })
    }

    /// How many gateways of all regions are heard, by the control process that hears most of
    /// them: one that was just restarted has heard few.
    pub fn gateway_total(&self) -> usize {
        self.gateway_totals.values().max().map_or(0, |total| *total as usize)
    }

    /// The gateways known: those of the own region, and some of each other one.
    pub fn gateways(&self, now: MonotonicTime) -> impl Iterator<Item = GatewayRow> {
        self.gateways.values().map(move |g| {
            let mut row = g.last.clone();
            row.is_silent = g.is_silent(now);
            row
        })
    }

    /// The gateways of `region` that take callers.
    pub fn ready_gateways(&self, region: &RegionName, now: MonotonicTime) -> Vec<GatewayRow> {
        let is_ready = |g: &GatewayRow| g.phase == GatewayPhase::Ready && !g.is_silent;
        self.gateways(now).filter(|g| is_ready(g) && g.profile.region == *region).collect()
    }

    /// Up to `most` other ready gateways of the region of `own`: in a large region the first by a
    /// hash, which stay the same ones as long as they are ready. Who is told that a request was sent
    /// has to be told of its first byte, too.
    pub fn neighbours(
        &self,
        own: &GatewayProfile,
        most: usize,
        now: MonotonicTime,
    ) -> Vec<SocketAddr> {
        let mut rows = self.ready_gateways(&own.region, now);
        rows.retain(|row| row.profile.vm != own.vm);
        if rows.len() > most {
            let by_hash = |row: &GatewayRow| score(own.vm.as_str(), row.profile.vm.as_str());
            rows.sort_by_cached_key(|row| Reverse(by_hash(row)));
            rows.truncate(most);
        }
        rows.into_iter().map(|row| row.profile.peer_address).collect()
    }

    /// The gateways of `region` that take work from other gateways: those that take callers, or
    /// where there are none, those that are stopping, as they still serve for a while.
    pub fn serving_gateways(&self, region: &RegionName, now: MonotonicTime) -> Vec<GatewayRow> {
        let ready = self.ready_gateways(region, now);
        if !ready.is_empty() {
            return ready;
        }
        let is_stopping = |g: &GatewayRow| g.phase == GatewayPhase::Stopping && !g.is_silent;
        self.gateways(now).filter(|g| is_stopping(g) && g.profile.region == *region).collect()
    }

    /// Takes in what `control` says. `whole`: it is all that this control process knows, and what
    /// it said before no longer counts. `asked`: when the call that it answers was sent.
    pub fn merge(
        &mut self,
        control: SocketAddr,
        whole: bool,
        reply: SyncReply,
        asked: BootTime,
        now: MonotonicTime,
    ) -> Result<ViewChange, TrafficError> {
        if whole {
            self.remove_control(control, now);
        }
        let has_rows =
            !(reply.departed.is_empty() && reply.backends.is_empty() && reply.gateways.is_empty());
        let is_structural =
            whole || has_rows || reply.traffic.is_some() || self.confirmed.is_none();
        let mut change = ViewChange { is_structural, ..ViewChange::default() };
        for run in reply.departed {
            self.merge_departure(run, now, &mut change);
        }
        for standing in reply.backends {
            self.merge_backend(control, standing, now, &mut change);
        }
        for standing in reply.gateways {
            self.merge_gateway(control, standing, now, &mut change);
        }
        self.gateway_totals.insert(control, reply.gateway_total);
        if !reply.controls.is_empty() {
            self.controls = reply.controls.into_iter().collect();
        }
        // A control process that was just restarted has heard no offers yet.
        if !reply.regions.is_empty() {
            self.regions = reply.regions;
        }
        self.forget_old(now);
        let snapshot_index = reply.traffic.as_ref().map(|t| t.index);
        if let Some(snapshot) = reply.traffic {
            change.traffic = self.adopt(snapshot, now)?;
        }
        // A control process that has nothing newer, confirmed lately, confirms what is in force.
        let is_newest = snapshot_index <= self.traffic.as_ref().map(|t| t.index);
        if let Some(ago) = reply.confirmed_ago.filter(|ago| is_newest && *ago < CONFIRMATION) {
            // The call came there no sooner than it was sent, and the reply may have been on its way
            // for any time: only the time of the call bounds when it was made.
            self.confirmed = self.confirmed.max((asked + reply.held).earlier(ago));
        }
        Ok(change)
    }

    /// Notes that `control` is no longer heard: what it said last is no longer vouched for.
    pub fn remove_control(&mut self, control: SocketAddr, now: MonotonicTime) {
        self.gateway_totals.remove(&control);
        self.backends.values_mut().for_each(|b| b.drop_voice(control, now));
        self.gateways.values_mut().for_each(|g| g.drop_voice(control, now));
    }

    fn adopt(
        &mut self,
        snapshot: crate::TrafficSnapshot,
        now: MonotonicTime,
    ) -> Result<bool, TrafficError> {
        let held = self.traffic.as_ref();
        if held.is_some_and(|held| held.index >= snapshot.index) {
            return Ok(false);
        }
        let held_version = held.map(|held| held.config.version());
        let (config, text) = match (snapshot.text, held) {
            (Some(text), _) => {
                let raw = self.format.read(&text)?;
                (Rc::new(TrafficConfig::try_from(raw)?), text)
            }
            (None, Some(held)) if snapshot.version == held_version => {
                (Rc::clone(&held.config), held.text.clone())
            }
            // Evacuations before the first configuration: nothing is in force yet.
            (None, _) => return Ok(false),
        };
        let evacuated = Rc::new(snapshot.evacuated);
        self.traffic =
            Some(ActiveTraffic { config, text, evacuated, index: snapshot.index, since: now });
        Ok(true)
    }

    fn merge_departure(&mut self, run: DepartedRun, now: MonotonicTime, change: &mut ViewChange) {
        let DepartedRun { name, last } = run;
        if self.backends.get(&name).is_some_and(|b| b.last.record.incarnation <= last) {
            self.backends.remove(&name);
        }
        let told = self.departed.get(&name).map(|(told, _)| *told);
        self.departed.insert(name.clone(), (last.max(told.unwrap_or_default()), now));
        if told.is_none_or(|told| told < last) {
            change.departed.push(name);
        }
    }

    fn merge_backend(
        &mut self,
        control: SocketAddr,
        standing: BackendObservation,
        now: MonotonicTime,
        change: &mut ViewChange,
    ) {
        let BackendObservation { record, is_silent, is_recalled } = standing;
        if self.departed.get(&record.name).is_some_and(|(last, _)| record.incarnation <= *last) {
            return;
        }
        let name = record.name.clone();
        let row = BackendRow {
            cold_until: now + record.cold_for,
            record,
            is_silent: false,
            learned: now,
        };
        let Some(known) = self.backends.get_mut(&name) else {
            let mut believed = Believed::new(row, now);
            if is_recalled {
                // Nobody vouches for it, and it is believed for less long.
                believed.heard = MonotonicTime(now.0.saturating_sub(BELIEF - RECALLED_BELIEF));
            } else {
                believed.note_voice(control, is_silent, now);
            }
            self.backends.insert(name.clone(), believed);
            change.backends.push(name);
            return;
        };
        // What a control process says of an earlier run, or kept from its own run before, is no word
        // on the one that is known.
        if is_recalled || row.record.incarnation < known.last.record.incarnation {
            return;
        }
        if row.record.incarnation > known.last.record.incarnation {
            *known = Believed::new(row, now);
            known.note_voice(control, is_silent, now);
            change.backends.push(name);
            return;
        }
        known.note_voice(control, is_silent, now);
        if row.record.sequence > known.last.record.sequence {
            let is_news = row.record.state != known.last.record.state
                || row.record.address != known.last.record.address
                || row.cold_until > known.last.cold_until;
            // A run that is leaving does not come back.
            let is_leaving = known.last.record.state == ServingState::Leaving;
            known.last = row;
            if is_leaving {
                known.last.record.state = ServingState::Leaving;
            }
            known.learned = now;
            if is_news {
                change.backends.push(name);
            }
        }
    }

    fn merge_gateway(
        &mut self,
        control: SocketAddr,
        standing: GatewayObservation,
        now: MonotonicTime,
        change: &mut ViewChange,
    ) {
        let GatewayObservation { profile, phase, is_silent } = standing;
        let vm = profile.vm.clone();
        let row = GatewayRow { profile, phase, is_silent: false };
        let known = self.gateways.entry(vm.clone()).or_insert_with(|| {
            change.gateways.push(vm.clone());
            Believed::new(row.clone(), now)
        });
        // Runs of one VM have no order that a clock could tell, so the voices of an earlier run
        // end as soon as anyone hears another one.
        if known.last.profile.run != row.profile.run {
            if is_silent {
                return;
            }
            known.voices.clear();
        }
        known.note_voice(control, is_silent, now);
        if known.last.profile != row.profile || known.last.phase != row.phase {
            known.last = row;
            known.learned = now;
            change.gateways.push(vm);
        }
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        self.departed.retain(|_, (_, at)| now.since(*at) < MEMORY);
        self.backends.retain(|_, b| b.is_heard() || now.since(b.heard.max(b.learned)) < MEMORY);
        self.gateways.retain(|_, g| g.is_heard() || now.since(g.heard.max(g.learned)) < MEMORY);
    }
}
