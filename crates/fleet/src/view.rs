//! A gateway's view of the fleet, merged from all control processes that it follows.

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

/// Time for which a member that no control process observes is still considered live. After a
/// restart of all control processes none of them knows any members, and backend servers take a few
/// intervals to announce themselves again.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a member is considered live that a control process only restored from its
/// snapshot. A live one announces itself every interval, with up to a second of delay.
const RESTORED_LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Retention of departures and of members that no control process observes, equal to that of the
/// control processes.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum age of a confirmation for the configuration to count as the newest. Leaders confirm with
/// every heartbeat, so this tolerates a few lost ones.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

/// The traffic configuration in use at this gateway.
#[derive(Clone)]
pub struct ActiveTraffic {
    /// The configuration.
    pub config: Rc<TrafficConfig>,
    /// Its text.
    pub text: Bytes,
    /// Failure domains that are evacuated.
    pub evacuated: Rc<BTreeSet<FailureDomain>>,
    /// Log index of its last change; never decreases in one run of the process.
    pub index: u64,
    /// Time when that change was received.
    pub since: MonotonicTime,
}

/// A backend server as seen by this gateway.
#[derive(Clone, Debug)]
pub struct BackendRow {
    /// Its last announced state.
    pub record: BackendRecord,
    /// Time when it stops being cold.
    pub cold_until: MonotonicTime,
    /// Whether no control process observes it.
    pub is_silent: bool,
    /// Time when this gateway received its last announced state.
    pub received: MonotonicTime,
}

/// A gateway, possibly this one, as seen by this gateway.
#[derive(Clone, Debug)]
pub struct GatewayRow {
    /// Its profile.
    pub profile: GatewayProfile,
    /// Its last announced phase.
    pub phase: GatewayPhase,
    /// Whether no control process observes it.
    pub is_silent: bool,
}

/// A member, with the control processes that observe it.
struct Observed<T> {
    last: T,
    received: MonotonicTime,
    /// Last time that a control process was known to observe it.
    last_heard: MonotonicTime,
    /// For each control process that reported on it: whether it is silent there.
    reporters: BTreeMap<SocketAddr, bool>,
}

impl<T> Observed<T> {
    fn new(last: T, now: MonotonicTime) -> Self {
        Self { last, received: now, last_heard: now, reporters: BTreeMap::new() }
    }

    fn is_observed(&self) -> bool {
        self.reporters.values().any(|is_silent| !is_silent)
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        if self.is_observed() {
            return false;
        }
        // The member is silent if all control processes that know it agree. If none of them reports
        // on it, they may just have been restarted.
        !self.reporters.is_empty() || now.since(self.last_heard) > LIVENESS_TIMEOUT
    }

    fn record_report(&mut self, control: SocketAddr, is_silent: bool, now: MonotonicTime) {
        self.reporters.insert(control, is_silent);
        if !is_silent {
            self.last_heard = now;
        }
    }

    fn remove_reporter(&mut self, control: SocketAddr, now: MonotonicTime) {
        if self.reporters.remove(&control) == Some(false) {
            self.last_heard = now;
        }
    }
}

/// Changes made by a reply, for watchers and for the log.
#[derive(Debug, Default)]
pub struct ViewChange {
    /// Whether a configuration or evacuation took effect.
    pub traffic: bool,
    /// Backend servers that are new or announced a change.
    pub backends: Vec<BackendName>,
    /// Backend servers that departed.
    pub departed: Vec<BackendName>,
    /// Gateways that are new or announced a change.
    pub gateways: Vec<VmName>,
    /// Whether anything but the regions' offers can have changed.
    pub is_structural: bool,
}

/// Merged view of one gateway.
pub struct FleetView {
    format: Rc<dyn TrafficFormat>,
    traffic: Option<ActiveTraffic>,
    /// Latest time when the active configuration was known to be the newest.
    confirmed: Option<BootTime>,
    backends: BTreeMap<BackendName, Observed<BackendRow>>,
    /// Latest departed run of each name, and the time when this gateway received the departure.
    departed: BTreeMap<BackendName, (Incarnation, MonotonicTime)>,
    gateways: BTreeMap<VmName, Observed<GatewayRow>>,
    controls: BTreeSet<SocketAddr>,
    /// Number of live gateways in all regions, per control process.
    gateway_totals: BTreeMap<SocketAddr, u32>,
    /// Time since when at least one control process has been reachable; `None` while none is.
    reachable_since: Option<MonotonicTime>,
    regions: Vec<RegionOffer>,
}

impl FleetView {
    /// Creates an empty view.
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
            reachable_since: None,
            regions: Vec::new(),
        }
    }

    /// Returns the active configuration; `None` before the first.
    pub fn traffic(&self) -> Option<&ActiveTraffic> {
        self.traffic.as_ref()
    }

    /// Returns the latest time when the active configuration was known to be the newest.
    pub fn confirmed(&self) -> Option<BootTime> {
        self.confirmed
    }

    /// Returns the control processes, as last reported by one of them.
    pub fn controls(&self) -> &BTreeSet<SocketAddr> {
        &self.controls
    }

    /// Returns the offers of all regions, as last reported by a control process.
    pub fn regions(&self) -> &[RegionOffer] {
        &self.regions
    }

    /// Returns all backend servers that have not departed.
    pub fn backends(&self, now: MonotonicTime) -> impl Iterator<Item = BackendRow> {
        self.backends.values().map(move |b| {
            let mut row = b.last.clone();
            row.is_silent = b.is_silent(now);
            row
        })
    }

    /// Returns the number of live gateways in all regions: the maximum over the control processes,
    /// because one that just restarted has observed few.
    pub fn gateway_total(&self) -> usize {
        self.gateway_totals.values().max().map_or(0, |total| *total as usize)
    }

    /// Returns the known gateways: those of the local region, and some of each other region.
    pub fn gateways(&self, now: MonotonicTime) -> impl Iterator<Item = GatewayRow> {
        self.gateways.values().map(move |g| {
            let mut row = g.last.clone();
            row.is_silent = g.is_silent(now);
            row
        })
    }

    /// Returns the gateways of `region` that accept callers.
    pub fn ready_gateways(&self, region: &RegionName, now: MonotonicTime) -> Vec<GatewayRow> {
        let is_ready = |g: &GatewayRow| g.phase == GatewayPhase::Ready && !g.is_silent;
        self.gateways(now).filter(|g| is_ready(g) && g.profile.region == *region).collect()
    }

    /// Returns the gateways of `region` that may send requests to backend servers, among which the
    /// limits of backend servers are divided: the ready ones, and those that are stopping, as they
    /// still send what they have accepted. While no control process is reachable, nothing is known
    /// of their end, so all of them count.
    pub fn sending_gateways(&self, region: &RegionName, now: MonotonicTime) -> Vec<GatewayRow> {
        let may_send = |g: &&Observed<GatewayRow>| {
            let GatewayRow { profile, phase, .. } = &g.last;
            let has_ended = g.is_silent(now) && self.is_silence_known(g, now);
            profile.region == *region && *phase != GatewayPhase::Starting && !has_ended
        };
        self.gateways.values().filter(may_send).map(|g| g.last.clone()).collect()
    }

    /// Returns whether a control process reports that `member` is silent, or has been reachable for
    /// long enough to have reported on it.
    fn is_silence_known<T>(&self, member: &Observed<T>, now: MonotonicTime) -> bool {
        let is_awaited = |since: MonotonicTime| now.since(since) <= LIVENESS_TIMEOUT;
        !member.reporters.is_empty() || self.reachable_since.is_some_and(|at| !is_awaited(at))
    }

    /// Returns up to `limit` other ready gateways of the region of `own`. In a large region they
    /// are selected by rendezvous hashing, so the selection is stable while they are ready: a
    /// gateway that is notified of a sent request must also be notified of its first byte.
    pub fn neighbours(
        &self,
        own: &GatewayProfile,
        limit: usize,
        now: MonotonicTime,
    ) -> Vec<SocketAddr> {
        let mut rows = self.ready_gateways(&own.region, now);
        rows.retain(|row| row.profile.vm != own.vm);
        if rows.len() > limit {
            let by_hash = |row: &GatewayRow| score(own.vm.as_str(), row.profile.vm.as_str());
            rows.sort_by_cached_key(|row| Reverse(by_hash(row)));
            rows.truncate(limit);
        }
        rows.into_iter().map(|row| row.profile.peer_address).collect()
    }

    /// Returns the gateways of `region` that take work from other gateways: the ready ones, or if
    /// there are none, those that are stopping, as they still serve for a while.
    pub fn serving_gateways(&self, region: &RegionName, now: MonotonicTime) -> Vec<GatewayRow> {
        let ready = self.ready_gateways(region, now);
        if !ready.is_empty() {
            return ready;
        }
        let is_stopping = |g: &GatewayRow| g.phase == GatewayPhase::Stopping && !g.is_silent;
        self.gateways(now).filter(|g| is_stopping(g) && g.profile.region == *region).collect()
    }

    /// Merges a reply of `control`. If `is_complete`, it contains everything that this control
    /// process knows and replaces its earlier replies. `asked` is the send time of the call.
    pub fn merge(
        &mut self,
        control: SocketAddr,
        is_complete: bool,
        reply: SyncReply,
        asked: BootTime,
        now: MonotonicTime,
    ) -> Result<ViewChange, TrafficError> {
        if is_complete {
            self.remove_observations(control, now);
        }
        let has_rows =
            !(reply.departed.is_empty() && reply.backends.is_empty() && reply.gateways.is_empty());
        let is_structural =
            is_complete || has_rows || reply.traffic.is_some() || self.confirmed.is_none();
        let mut change = ViewChange { is_structural, ..ViewChange::default() };
        for run in reply.departed {
            self.merge_departure(run, now, &mut change);
        }
        for observation in reply.backends {
            self.merge_backend(control, observation, now, &mut change);
        }
        for observation in reply.gateways {
            self.merge_gateway(control, observation, now, &mut change);
        }
        self.gateway_totals.insert(control, reply.gateway_total);
        self.reachable_since.get_or_insert(now);
        if !reply.controls.is_empty() {
            self.controls = reply.controls.into_iter().collect();
        }
        // A control process that just restarted has received no offers yet.
        if !reply.regions.is_empty() {
            self.regions = reply.regions;
        }
        self.expire(now);
        let snapshot_index = reply.traffic.as_ref().map(|t| t.index);
        if let Some(snapshot) = reply.traffic {
            change.traffic = self.apply_traffic(snapshot, now)?;
        }
        // A control process with nothing newer and a recent confirmation confirms the active
        // configuration.
        let is_newest = snapshot_index <= self.traffic.as_ref().map(|t| t.index);
        if let Some(ago) =
            reply.confirmed_ago.filter(|ago| is_newest && *ago < MAX_CONFIRMATION_AGE)
        {
            // The call arrived no earlier than it was sent, and the reply may have been in transit
            // for any time: only the send time of the call bounds the age of the confirmation.
            self.confirmed = self.confirmed.max((asked + reply.held).earlier(ago));
        }
        Ok(change)
    }

    /// Removes the observations of `control`, which is no longer reachable.
    pub fn remove_control(&mut self, control: SocketAddr, now: MonotonicTime) {
        self.remove_observations(control, now);
        if self.gateway_totals.is_empty() {
            self.reachable_since = None;
        }
    }

    fn remove_observations(&mut self, control: SocketAddr, now: MonotonicTime) {
        self.gateway_totals.remove(&control);
        self.backends.values_mut().for_each(|b| b.remove_reporter(control, now));
        self.gateways.values_mut().for_each(|g| g.remove_reporter(control, now));
    }

    fn apply_traffic(
        &mut self,
        snapshot: crate::TrafficSnapshot,
        now: MonotonicTime,
    ) -> Result<bool, TrafficError> {
        let current = self.traffic.as_ref();
        if current.is_some_and(|current| current.index >= snapshot.index) {
            return Ok(false);
        }
        let current_version = current.map(|current| current.config.version());
        let (config, text) = match (snapshot.text, current) {
            (Some(text), _) => {
                let raw = self.format.read(&text)?;
                (Rc::new(TrafficConfig::try_from(raw)?), text)
            }
            (None, Some(current)) if snapshot.version == current_version => {
                (Rc::clone(&current.config), current.text.clone())
            }
            // Evacuations before the first configuration have no effect yet.
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
        let known = self.departed.get(&name).map(|(known, _)| *known);
        self.departed.insert(name.clone(), (last.max(known.unwrap_or_default()), now));
        if known.is_none_or(|known| known < last) {
            change.departed.push(name);
        }
    }

    fn merge_backend(
        &mut self,
        control: SocketAddr,
        observation: BackendObservation,
        now: MonotonicTime,
        change: &mut ViewChange,
    ) {
        let BackendObservation { record, is_silent, is_recalled } = observation;
        if self.departed.get(&record.name).is_some_and(|(last, _)| record.incarnation <= *last) {
            return;
        }
        let name = record.name.clone();
        let row = BackendRow {
            cold_until: now + record.cold_for,
            record,
            is_silent: false,
            received: now,
        };
        let Some(known) = self.backends.get_mut(&name) else {
            let mut observed = Observed::new(row, now);
            if is_recalled {
                // No control process observes it, so it is considered live for a shorter time.
                observed.last_heard = MonotonicTime(
                    now.0.saturating_sub(LIVENESS_TIMEOUT - RESTORED_LIVENESS_TIMEOUT),
                );
            } else {
                observed.record_report(control, is_silent, now);
            }
            self.backends.insert(name.clone(), observed);
            change.backends.push(name);
            return;
        };
        // Reports about an earlier run, or restored from a snapshot, do not apply to the known run.
        if is_recalled || row.record.incarnation < known.last.record.incarnation {
            return;
        }
        if row.record.incarnation > known.last.record.incarnation {
            *known = Observed::new(row, now);
            known.record_report(control, is_silent, now);
            change.backends.push(name);
            return;
        }
        known.record_report(control, is_silent, now);
        if row.record.sequence > known.last.record.sequence {
            let is_change = row.record.state != known.last.record.state
                || row.record.address != known.last.record.address
                || row.cold_until > known.last.cold_until;
            // A run that is leaving does not return to serving.
            let is_leaving = known.last.record.state == ServingState::Leaving;
            known.last = row;
            if is_leaving {
                known.last.record.state = ServingState::Leaving;
            }
            known.received = now;
            if is_change {
                change.backends.push(name);
            }
        }
    }

    fn merge_gateway(
        &mut self,
        control: SocketAddr,
        observation: GatewayObservation,
        now: MonotonicTime,
        change: &mut ViewChange,
    ) {
        let GatewayObservation { profile, phase, is_silent } = observation;
        let vm = profile.vm.clone();
        let row = GatewayRow { profile, phase, is_silent: false };
        let known = self.gateways.entry(vm.clone()).or_insert_with(|| {
            change.gateways.push(vm.clone());
            Observed::new(row.clone(), now)
        });
        // Runs of one VM cannot be ordered by a clock, so reports about the earlier run are
        // discarded when any control process observes another run.
        if known.last.profile.run != row.profile.run {
            if is_silent {
                return;
            }
            known.reporters.clear();
        }
        known.record_report(control, is_silent, now);
        if known.last.profile != row.profile || known.last.phase != row.phase {
            known.last = row;
            known.received = now;
            change.gateways.push(vm);
        }
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.departed.retain(|_, (_, at)| now.since(*at) < RETENTION);
        self.backends
            .retain(|_, b| b.is_observed() || now.since(b.last_heard.max(b.received)) < RETENTION);
        self.gateways
            .retain(|_, g| g.is_observed() || now.since(g.last_heard.max(g.received)) < RETENTION);
    }
}
