//! The gateways of the own region that this gateway knows, itself among them.

use {
    crate::{
        AgedRecord, GatewayHeartbeat, GatewayLoad, GatewayProfile, GatewayRecord, Origin, RunId,
        RunStatus, ServingState, StatusChange,
        message::{low_bits, nearest_sequence},
        pace::RegionPace,
        past::PastMoment,
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

/// How long the record of a dead gateway is kept, so that nothing late brings it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Silence after which a gateway whose row should vouch for it is taken for dead here: its whole
/// row may be gone.
const SILENT_AFTER: Duration = Duration::from_secs(8);

/// The sequence of a gateway's record counts these.
const SEQUENCE_TICK: Duration = Duration::from_millis(100);

/// Sequences beyond the last one heard that a declaration of death covers. Heartbeats relayed by
/// gateways that have not noticed yet arrive up to two ticks after it; without the margin they
/// would bring the dead gateway back into entry answers.
const EXPIRE_MARGIN: u64 = 30;

/// Known gateways. Every method returns without waiting.
pub(crate) struct MemberTable {
    own: VmName,
    clock: Rc<dyn Clock>,
    pace: Rc<RegionPace>,
    /// The start of this run.
    start: MonotonicTime,
    /// What the own sequence is ahead of the ticks since the start.
    sequence_lead: Cell<u64>,
    rows: RefCell<BTreeMap<VmName, MemberRow>>,
    by_id: RefCell<HashMap<RunId, VmName>>,
    generation: Cell<u64>,
    stamp: Cell<u64>,
}

struct MemberRow {
    record: GatewayRecord,
    id: RunId,
    origin: Origin,
    heard: PastMoment,
    serving_since: PastMoment,
    /// Grows with each heartbeat taken, over all rows.
    stamp: u64,
}

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PulseOutcome {
    /// It is newer than what was known, or not.
    Known,
    /// It is newer, and the gateway had been taken for dead.
    Returned,
    /// No row has this id.
    Unknown,
}

impl MemberTable {
    pub(crate) fn new(
        vm: VmName,
        incarnation: Incarnation,
        profile: GatewayProfile,
        clock: Rc<dyn Clock>,
        pace: Rc<RegionPace>,
    ) -> Self {
        let status = RunStatus::new(incarnation, 1, ServingState::Serving);
        let load = GatewayLoad::default();
        let record = GatewayRecord { vm: vm.clone(), status, profile, load };
        let table = Self {
            own: vm,
            start: clock.now(),
            sequence_lead: Cell::new(1),
            clock,
            pace,
            rows: RefCell::default(),
            by_id: RefCell::default(),
            generation: Cell::new(0),
            stamp: Cell::new(0),
        };
        let aged = AgedRecord::new(record, Duration::ZERO, Duration::ZERO);
        table.take(&aged, Origin::Direct);
        table
    }

    /// The own name.
    pub(crate) fn own(&self) -> &VmName {
        &self.own
    }

    /// Changes the own record; the next heartbeat tells its load.
    fn update_own(&self, update: impl FnOnce(&mut GatewayRecord)) -> GatewayHeartbeat {
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(&self.own).expect("the own row is made first and never removed");
        update(&mut row.record);
        row.record.status.sequence = self.own_sequence();
        row.heard = PastMoment::new(self.clock.now(), Duration::ZERO);
        pulse(row)
    }

    /// Sets what the own gateway carries.
    pub(crate) fn set_load(&self, load: GatewayLoad) {
        self.update_own(|record| record.load = load);
    }

    /// The own gateway takes no new callers from now on.
    pub(crate) fn drain(&self) {
        self.update_own(|record| record.status.state = ServingState::Leaving);
        self.generation.set(self.generation.get() + 1);
    }

    /// Counts one more heartbeat of the own gateway and returns it.
    pub(crate) fn beat(&self) -> GatewayHeartbeat {
        self.update_own(|_| {})
    }

    /// Hears of the own gateway from others. True: they take it for dead or for another run, and
    /// its record, now the newest, must be told. A clock that stepped back between two runs gives
    /// the new run the lower incarnation; without outbidding it would be ignored until the old
    /// record is forgotten.
    pub(crate) fn take_echo(&self, echo: &GatewayRecord) -> bool {
        let own = self.rows.borrow()[&self.own].record.status;
        if echo.status.incarnation > own.incarnation {
            self.outbid(echo.status.incarnation);
            return true;
        }
        let mistaken = echo.status.incarnation == own.incarnation && echo.status.is_expired();
        if let (true, Some(expired)) = (mistaken, echo.status.expired) {
            let behind = (expired + 1).saturating_sub(self.own_sequence());
            self.sequence_lead.set(self.sequence_lead.get() + behind);
            self.update_own(|_| {});
        }
        mistaken
    }

    fn own_sequence(&self) -> u64 {
        let ticks = self.clock.now().since(self.start).as_millis() / SEQUENCE_TICK.as_millis();
        u64::try_from(ticks).unwrap_or(u64::MAX).saturating_add(self.sequence_lead.get())
    }

    fn outbid(&self, other: Incarnation) {
        self.update_own(|record| record.status.incarnation = Incarnation(other.0 + 1));
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(&self.own).expect("the own row is made first and never removed");
        let mut by_id = self.by_id.borrow_mut();
        by_id.remove(&row.id);
        row.id = RunId::new(self.own.as_str(), row.record.status.incarnation);
        by_id.insert(row.id, self.own.clone());
        self.generation.set(self.generation.get() + 1);
    }

    /// Takes in the record of another gateway.
    pub(crate) fn take(&self, aged: &AgedRecord<GatewayRecord>, origin: Origin) -> StatusChange {
        let now = self.clock.now();
        let heard = PastMoment::new(now, aged.age());
        let record = &aged.record;
        let mut rows = self.rows.borrow_mut();
        let (row, change) = match rows.get_mut(&record.vm) {
            Some(row) => {
                let change = row.record.merge(record);
                (row, change)
            }
            None if !record.status.is_live() && aged.age() >= FORGET_AFTER => {
                return StatusChange::default();
            }
            None => {
                let row = MemberRow::new(record.clone(), heard);
                let change =
                    StatusChange { membership: true, advanced: true, ..StatusChange::default() };
                (rows.entry(record.vm.clone()).or_insert(row), change)
            }
        };
        if change.advanced {
            self.stamp.set(self.stamp.get() + 1);
            row.refresh(origin, heard, self.stamp.get(), now);
        }
        if change.restarted || row.serving_since.age(now) < aged.serving() {
            row.serving_since = PastMoment::new(now, aged.serving());
        }
        if change.membership {
            self.generation.set(self.generation.get() + 1);
            self.by_id.borrow_mut().remove(&row.id);
            row.id = RunId::new(record.vm.as_str(), row.record.status.incarnation);
            self.by_id.borrow_mut().insert(row.id, record.vm.clone());
        }
        change
    }

    /// Takes in a heartbeat.
    pub(crate) fn take_pulse(&self, pulse: &GatewayHeartbeat, origin: Origin) -> PulseOutcome {
        let Some(vm) = self.by_id.borrow().get(&pulse.id).cloned() else {
            return PulseOutcome::Unknown;
        };
        let Some(mut record) = self.record(&vm).filter(|_| vm != self.own) else {
            return PulseOutcome::Known;
        };
        record.status.sequence = nearest_sequence(record.status.sequence, pulse.sequence);
        record.status.expired = None;
        record.load = pulse.load;
        let aged = AgedRecord::new(record, Duration::ZERO, Duration::ZERO);
        let change = self.take(&aged, origin);
        if change.membership { PulseOutcome::Returned } else { PulseOutcome::Known }
    }

    /// The heartbeats taken after `mark` from the own row.
    pub(crate) fn row_pulses_after(&self, mark: u64) -> Vec<GatewayHeartbeat> {
        let rows = self.rows.borrow();
        let fresh = |row: &&MemberRow| row.origin == Origin::Row && row.stamp > mark;
        rows.values().filter(fresh).map(pulse).collect()
    }

    /// The mark of all heartbeats taken so far.
    pub(crate) fn pulse_mark(&self) -> u64 {
        self.stamp.get()
    }

    /// Whether nothing was heard of `vm` for so long that its row may be gone.
    pub(crate) fn is_silent(&self, vm: &VmName) -> bool {
        let now = self.clock.now();
        self.rows.borrow().get(vm).is_none_or(|row| self.silence(row, now) >= self.silent_after())
    }

    /// Declares `vm` dead at the last heartbeat known; false where it was already.
    pub(crate) fn expire(&self, vm: &VmName) -> bool {
        let mut rows = self.rows.borrow_mut();
        let Some(row) = rows.get_mut(vm).filter(|row| !row.record.status.is_expired()) else {
            return false;
        };
        row.record.status.expire(EXPIRE_MARGIN);
        self.generation.set(self.generation.get() + 1);
        true
    }

    /// Forgets gateways that have been dead for long.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let forgettable =
            |row: &MemberRow| !row.record.status.is_live() && row.heard.age(now) >= FORGET_AFTER;
        let before = self.rows.borrow().len();
        self.rows.borrow_mut().retain(|vm, row| *vm == self.own || !forgettable(row));
        let rows = self.rows.borrow();
        self.by_id.borrow_mut().retain(|_, vm| rows.contains_key(vm));
        if rows.len() != before {
            self.generation.set(self.generation.get() + 1);
        }
    }

    /// Counts changes of membership.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// The gateways that are not known to be dead, with their failure domains.
    pub(crate) fn alive_domains(&self) -> BTreeMap<VmName, FailureDomain> {
        let rows = self.rows.borrow();
        let alive = rows.iter().filter(|(_, row)| !row.record.status.is_expired());
        alive.map(|(vm, row)| (vm.clone(), row.record.profile.domain.clone())).collect()
    }

    /// The gateways that are not known to be dead, draining ones included.
    pub(crate) fn alive(&self) -> BTreeSet<VmName> {
        let rows = self.rows.borrow();
        let alive = rows.iter().filter(|(_, row)| !row.record.status.is_expired());
        alive.map(|(vm, _)| vm.clone()).collect()
    }

    /// The gateways alive that do not drain, or all alive ones where all drain.
    pub(crate) fn preferred(&self) -> Vec<VmName> {
        let rows = self.rows.borrow();
        let live = |only_serving: bool| {
            let kept = rows.iter().filter(|(_, row)| match only_serving {
                true => row.record.status.is_live(),
                false => !row.record.status.is_expired(),
            });
            kept.map(|(vm, _)| vm.clone()).collect::<Vec<_>>()
        };
        let serving = live(true);
        if serving.is_empty() { live(false) } else { serving }
    }

    /// The gateways that are known to be dead.
    pub(crate) fn lost(&self) -> Vec<VmName> {
        let rows = self.rows.borrow();
        let lost = rows.iter().filter(|(_, row)| row.record.status.is_expired());
        lost.map(|(vm, _)| vm.clone()).collect()
    }

    /// The gateway whose run has this id.
    pub(crate) fn name_of(&self, id: RunId) -> Option<VmName> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// The gateways that take callers, as far as is known here, and the age of their heartbeats.
    pub(crate) fn serving(&self) -> Vec<(GatewayRecord, Duration)> {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        rows.values()
            .filter(|row| row.record.status.is_live())
            .map(|row| (row.record.clone(), self.silence(row, now)))
            .filter(|(_, age)| *age < self.silent_after())
            .collect()
    }

    fn silent_after(&self) -> Duration {
        self.pace.stretch(SILENT_AFTER)
    }

    fn silence(&self, row: &MemberRow, now: MonotonicTime) -> Duration {
        if row.record.vm == self.own { Duration::ZERO } else { row.heard.age(now) }
    }

    /// The record of `vm`.
    pub(crate) fn record(&self, vm: &VmName) -> Option<GatewayRecord> {
        self.rows.borrow().get(vm).map(|row| row.record.clone())
    }

    /// The record of `vm` and its age.
    pub(crate) fn aged(&self, vm: &VmName) -> Option<AgedRecord<GatewayRecord>> {
        let now = self.clock.now();
        self.rows.borrow().get(vm).map(|row| self.aged_row(row, now))
    }

    fn aged_row(&self, row: &MemberRow, now: MonotonicTime) -> AgedRecord<GatewayRecord> {
        let (age, serving) = (self.silence(row, now), row.serving_since.age(now));
        AgedRecord::new(row.record.clone(), age, serving)
    }

    /// The records that comparisons cover.
    pub(crate) fn compared(&self) -> Vec<AgedRecord<GatewayRecord>> {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        let compared =
            |row: &&MemberRow| row.record.status.is_live() || row.heard.age(now) < FORGET_AFTER / 2;
        rows.values().filter(compared).map(|row| self.aged_row(row, now)).collect()
    }

    /// A hash of the membership of gateways.
    pub(crate) fn hash(&self) -> u32 {
        let hash_of = |aged: AgedRecord<GatewayRecord>| {
            let status = aged.record.status;
            let content = (&aged.record.vm, status.incarnation, status.state, status.is_expired());
            xxh3_64(&encode(&content)) as u32
        };
        self.compared().into_iter().map(hash_of).fold(0, |all, hash| all ^ hash)
    }
}

impl MemberRow {
    fn new(record: GatewayRecord, heard: PastMoment) -> Self {
        let id = RunId::new(record.vm.as_str(), record.status.incarnation);
        Self { record, id, origin: Origin::OtherRow, heard, serving_since: heard, stamp: 0 }
    }

    fn refresh(&mut self, origin: Origin, heard: PastMoment, stamp: u64, now: MonotonicTime) {
        if heard.age(now) < self.heard.age(now) {
            self.heard = heard;
        }
        self.origin = if origin == Origin::Sync { self.origin } else { origin };
        self.stamp = stamp;
    }
}

fn pulse(row: &MemberRow) -> GatewayHeartbeat {
    let sequence = low_bits(row.record.status.sequence);
    GatewayHeartbeat { id: row.id, sequence, load: row.record.load }
}
