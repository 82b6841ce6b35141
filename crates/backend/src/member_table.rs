//! Table of the known gateways of this region, including this gateway.

use {
    crate::{
        AgedRecord, GatewayHeartbeat, GatewayLoad, GatewayProfile, GatewayRecord, Origin, RunId,
        RunStatus, ServingState, StatusChange,
        interval_scale::IntervalScale,
        message::{low_bits, nearest_sequence},
        past_instant::PastInstant,
    },
    gullglade_units::{Clock, FailureDomain, Incarnation, MonotonicTime, VmName, encode},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Retention of the records of dead gateways. Prevents late messages from restoring them.
const RETENTION: Duration = Duration::from_secs(600);

/// Time without a heartbeat after which a gateway of another row is considered dead even though its
/// row has not declared it dead: the whole row may be down.
const SILENT_AFTER: Duration = Duration::from_secs(8);

/// Unit of the sequence number of a gateway's record.
const SEQUENCE_INTERVAL: Duration = Duration::from_millis(100);

/// Sequence numbers beyond the last known one that a declaration of death covers. Heartbeats
/// relayed by gateways that have not yet received the declaration arrive up to two relay intervals
/// after it. Without the margin they would restore the dead gateway to entry answers.
const EXPIRE_SEQUENCE_MARGIN: u64 = 30;

/// Known gateways of the region. No method blocks.
pub(crate) struct MemberTable {
    local_vm: VmName,
    clock: Rc<dyn Clock>,
    interval_scale: Rc<IntervalScale>,
    /// Start time of this run.
    start: MonotonicTime,
    /// Difference between the sequence number of this gateway and the number of intervals since the
    /// start.
    sequence_offset: Cell<u64>,
    entries: RefCell<BTreeMap<VmName, MemberEntry>>,
    by_id: RefCell<HashMap<RunId, VmName>>,
    generation: Cell<u64>,
    version: Cell<u64>,
}

struct MemberEntry {
    record: GatewayRecord,
    id: RunId,
    origin: Origin,
    heard_at: PastInstant,
    serving_since: PastInstant,
    /// Version of the last heartbeat, increasing over all entries.
    version: u64,
}

/// Result of merging a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    /// The gateway is known and was not considered dead. The heartbeat may or may not be newer.
    Known,
    /// The heartbeat is newer, and the gateway had been considered dead.
    Returned,
    /// No entry has this run identifier.
    Unknown,
}

impl MemberTable {
    pub(crate) fn new(
        vm: VmName,
        incarnation: Incarnation,
        profile: GatewayProfile,
        clock: Rc<dyn Clock>,
        interval_scale: Rc<IntervalScale>,
    ) -> Self {
        let status = RunStatus::new(incarnation, 1, ServingState::Serving);
        let load = GatewayLoad::default();
        let record = GatewayRecord { vm: vm.clone(), status, profile, load };
        let table = Self {
            local_vm: vm,
            start: clock.now(),
            sequence_offset: Cell::new(1),
            clock,
            interval_scale,
            entries: RefCell::default(),
            by_id: RefCell::default(),
            generation: Cell::new(0),
            version: Cell::new(0),
        };
        let aged = AgedRecord::new(record, Duration::ZERO, Duration::ZERO);
        table.merge_record(&aged, Origin::Direct);
        table
    }

    /// Returns the VM of this gateway.
    pub(crate) fn local_vm(&self) -> &VmName {
        &self.local_vm
    }

    /// Updates the record of this gateway and returns its heartbeat.
    fn update_local(&self, update: impl FnOnce(&mut GatewayRecord)) -> GatewayHeartbeat {
        let mut entries = self.entries.borrow_mut();
        let entry = entries
            .get_mut(&self.local_vm)
            .expect("the entry of this gateway is created first and never removed");
        update(&mut entry.record);
        entry.record.status.sequence = self.local_sequence();
        entry.heard_at = PastInstant::new(self.clock.now(), Duration::ZERO);
        heartbeat(entry)
    }

    /// Sets the load of this gateway.
    pub(crate) fn set_load(&self, load: GatewayLoad) {
        self.update_local(|record| record.load = load);
    }

    /// Marks this gateway as draining: it accepts no new callers.
    pub(crate) fn drain(&self) {
        self.update_local(|record| record.status.state = ServingState::Leaving);
        self.generation.set(self.generation.get() + 1);
    }

    /// Advances the heartbeat of this gateway and returns it.
    pub(crate) fn next_heartbeat(&self) -> GatewayHeartbeat {
        self.update_local(|_| {})
    }

    /// Checks a copy of this gateway's own record received from a peer. Returns true if the copy
    /// declares this gateway dead or belongs to another run. The local record then supersedes the
    /// copy and must be propagated.
    ///
    /// If the clock stepped back between two runs, the new run has the lower incarnation. It raises
    /// its incarnation above that of the copy. Otherwise its records would be ignored until the old
    /// record is dropped.
    pub(crate) fn refute_stale_copy(&self, copy: &GatewayRecord) -> bool {
        let local = self.entries.borrow()[&self.local_vm].record.status;
        if copy.status.incarnation > local.incarnation {
            self.raise_incarnation(copy.status.incarnation);
            return true;
        }
        let is_declared_dead =
            copy.status.incarnation == local.incarnation && copy.status.is_expired();
        if let (true, Some(expired)) = (is_declared_dead, copy.status.expired) {
            let behind = (expired + 1).saturating_sub(self.local_sequence());
            self.sequence_offset.set(self.sequence_offset.get() + behind);
            self.update_local(|_| {});
        }
        is_declared_dead
    }

    fn local_sequence(&self) -> u64 {
        let ticks = self.clock.now().since(self.start).as_millis() / SEQUENCE_INTERVAL.as_millis();
        u64::try_from(ticks).unwrap_or(u64::MAX).saturating_add(self.sequence_offset.get())
    }

    fn raise_incarnation(&self, other: Incarnation) {
        self.update_local(|record| record.status.incarnation = Incarnation(other.0 + 1));
        let mut entries = self.entries.borrow_mut();
        let entry = entries
            .get_mut(&self.local_vm)
            .expect("the entry of this gateway is created first and never removed");
        let mut by_id = self.by_id.borrow_mut();
        by_id.remove(&entry.id);
        entry.id = RunId::new(self.local_vm.as_str(), entry.record.status.incarnation);
        by_id.insert(entry.id, self.local_vm.clone());
        self.generation.set(self.generation.get() + 1);
    }

    /// Merges the record of a gateway.
    pub(crate) fn merge_record(
        &self,
        aged: &AgedRecord<GatewayRecord>,
        origin: Origin,
    ) -> StatusChange {
        let now = self.clock.now();
        let heard_at = PastInstant::new(now, aged.age());
        let record = &aged.record;
        let mut entries = self.entries.borrow_mut();
        let (entry, change) = match entries.get_mut(&record.vm) {
            Some(entry) => {
                let change = entry.record.merge(record);
                (entry, change)
            }
            None if !record.status.is_live() && aged.age() >= RETENTION => {
                return StatusChange::default();
            }
            None => {
                let entry = MemberEntry::new(record.clone(), heard_at);
                let change =
                    StatusChange { membership: true, advanced: true, ..StatusChange::default() };
                (entries.entry(record.vm.clone()).or_insert(entry), change)
            }
        };
        if change.advanced {
            self.version.set(self.version.get() + 1);
            entry.refresh(origin, heard_at, self.version.get(), now);
        }
        if change.restarted || entry.serving_since.age(now) < aged.serving() {
            entry.serving_since = PastInstant::new(now, aged.serving());
        }
        if change.membership {
            self.generation.set(self.generation.get() + 1);
            self.by_id.borrow_mut().remove(&entry.id);
            entry.id = RunId::new(record.vm.as_str(), entry.record.status.incarnation);
            self.by_id.borrow_mut().insert(entry.id, record.vm.clone());
        }
        change
    }

    /// Merges a heartbeat.
    pub(crate) fn merge_heartbeat(
        &self,
        heartbeat: &GatewayHeartbeat,
        origin: Origin,
    ) -> HeartbeatOutcome {
        let Some(vm) = self.by_id.borrow().get(&heartbeat.id).cloned() else {
            return HeartbeatOutcome::Unknown;
        };
        let Some(mut record) = self.record(&vm).filter(|_| vm != self.local_vm) else {
            return HeartbeatOutcome::Known;
        };
        record.status.sequence = nearest_sequence(record.status.sequence, heartbeat.sequence);
        record.status.expired = None;
        record.load = heartbeat.load;
        let aged = AgedRecord::new(record, Duration::ZERO, Duration::ZERO);
        let change = self.merge_record(&aged, origin);
        if change.membership { HeartbeatOutcome::Returned } else { HeartbeatOutcome::Known }
    }

    /// Returns the heartbeats of this gateway's row received after `cursor`.
    pub(crate) fn row_heartbeats_after(&self, cursor: u64) -> Vec<GatewayHeartbeat> {
        let entries = self.entries.borrow();
        let updated = |entry: &&MemberEntry| entry.origin == Origin::Row && entry.version > cursor;
        entries.values().filter(updated).map(heartbeat).collect()
    }

    /// Returns the cursor after all heartbeats received so far.
    pub(crate) fn heartbeat_cursor(&self) -> u64 {
        self.version.get()
    }

    /// Returns whether no heartbeat of `vm` was received for so long that its whole row may be
    /// down.
    pub(crate) fn is_silent(&self, vm: &VmName) -> bool {
        let now = self.clock.now();
        self.entries
            .borrow()
            .get(vm)
            .is_none_or(|entry| self.silence(entry, now) >= self.silent_after())
    }

    /// Declares `vm` dead as of its last known heartbeat. Returns false if it was already declared
    /// dead.
    pub(crate) fn expire(&self, vm: &VmName) -> bool {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(vm).filter(|entry| !entry.record.status.is_expired())
        else {
            return false;
        };
        entry.record.status.expire(EXPIRE_SEQUENCE_MARGIN);
        self.generation.set(self.generation.get() + 1);
        true
    }

    /// Drops the records of gateways that have been dead for longer than the retention.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let forgettable = |entry: &MemberEntry| {
            !entry.record.status.is_live() && entry.heard_at.age(now) >= RETENTION
        };
        let before = self.entries.borrow().len();
        self.entries.borrow_mut().retain(|vm, entry| *vm == self.local_vm || !forgettable(entry));
        let entries = self.entries.borrow();
        self.by_id.borrow_mut().retain(|_, vm| entries.contains_key(vm));
        if entries.len() != before {
            self.generation.set(self.generation.get() + 1);
        }
    }

    /// Returns the number of membership changes so far.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Returns the gateways not known to be dead, with their failure domains.
    pub(crate) fn alive_domains(&self) -> BTreeMap<VmName, FailureDomain> {
        let entries = self.entries.borrow();
        let alive = entries.iter().filter(|(_, entry)| !entry.record.status.is_expired());
        alive.map(|(vm, entry)| (vm.clone(), entry.record.profile.domain.clone())).collect()
    }

    /// Returns the gateways not known to be dead, including draining ones.
    pub(crate) fn alive(&self) -> BTreeSet<VmName> {
        let entries = self.entries.borrow();
        let alive = entries.iter().filter(|(_, entry)| !entry.record.status.is_expired());
        alive.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the live gateways that are not draining, or all live ones if all are draining.
    pub(crate) fn preferred(&self) -> Vec<VmName> {
        let entries = self.entries.borrow();
        let live = |only_serving: bool| {
            let kept = entries.iter().filter(|(_, entry)| match only_serving {
                true => entry.record.status.is_live(),
                false => !entry.record.status.is_expired(),
            });
            kept.map(|(vm, _)| vm.clone()).collect::<Vec<_>>()
        };
        let serving = live(true);
        if serving.is_empty() { live(false) } else { serving }
    }

    /// Returns the gateways known to be dead.
    pub(crate) fn dead(&self) -> Vec<VmName> {
        let entries = self.entries.borrow();
        let dead = entries.iter().filter(|(_, entry)| entry.record.status.is_expired());
        dead.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the gateway whose run has this identifier.
    pub(crate) fn name_of(&self, id: RunId) -> Option<VmName> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// Returns the gateways that accept callers, as far as known, with the age of their heartbeats.
    pub(crate) fn serving(&self) -> Vec<(GatewayRecord, Duration)> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        entries
            .values()
            .filter(|entry| entry.record.status.is_live())
            .map(|entry| (entry.record.clone(), self.silence(entry, now)))
            .filter(|(_, age)| *age < self.silent_after())
            .collect()
    }

    fn silent_after(&self) -> Duration {
        self.interval_scale.scale(SILENT_AFTER)
    }

    fn silence(&self, entry: &MemberEntry, now: MonotonicTime) -> Duration {
        if entry.record.vm == self.local_vm { Duration::ZERO } else { entry.heard_at.age(now) }
    }

    /// Returns the record of `vm`.
    pub(crate) fn record(&self, vm: &VmName) -> Option<GatewayRecord> {
        self.entries.borrow().get(vm).map(|entry| entry.record.clone())
    }

    /// Returns the record of `vm` with its age.
    pub(crate) fn aged_record(&self, vm: &VmName) -> Option<AgedRecord<GatewayRecord>> {
        let now = self.clock.now();
        self.entries.borrow().get(vm).map(|entry| self.aged_entry(entry, now))
    }

    fn aged_entry(&self, entry: &MemberEntry, now: MonotonicTime) -> AgedRecord<GatewayRecord> {
        let (age, serving) = (self.silence(entry, now), entry.serving_since.age(now));
        AgedRecord::new(entry.record.clone(), age, serving)
    }

    /// Returns the records covered by digests. Records past half of their retention are excluded,
    /// because gateways drop them at slightly different times.
    pub(crate) fn compared_records(&self) -> Vec<AgedRecord<GatewayRecord>> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let is_compared = |entry: &&MemberEntry| {
            entry.record.status.is_live() || entry.heard_at.age(now) < RETENTION / 2
        };
        entries.values().filter(is_compared).map(|entry| self.aged_entry(entry, now)).collect()
    }

    /// Returns a hash of the gateway membership.
    pub(crate) fn hash(&self) -> u32 {
        let hash_of = |aged: AgedRecord<GatewayRecord>| {
            let status = aged.record.status;
            let content = (&aged.record.vm, status.incarnation, status.state, status.is_expired());
            xxh3_64(&encode(&content)) as u32
        };
        self.compared_records().into_iter().map(hash_of).fold(0, |all, hash| all ^ hash)
    }
}

impl MemberEntry {
    fn new(record: GatewayRecord, heard_at: PastInstant) -> Self {
        let id = RunId::new(record.vm.as_str(), record.status.incarnation);
        Self { record, id, origin: Origin::OtherRow, heard_at, serving_since: heard_at, version: 0 }
    }

    fn refresh(&mut self, origin: Origin, heard_at: PastInstant, version: u64, now: MonotonicTime) {
        if heard_at.age(now) < self.heard_at.age(now) {
            self.heard_at = heard_at;
        }
        self.origin = if origin == Origin::Sync { self.origin } else { origin };
        self.version = version;
    }
}

fn heartbeat(entry: &MemberEntry) -> GatewayHeartbeat {
    let sequence = low_bits(entry.record.status.sequence);
    GatewayHeartbeat { id: entry.id, sequence, load: entry.record.load }
}
