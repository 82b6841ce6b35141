//! Table of the other regions known to this gateway.

use {
    crate::{
        BackendTarget, GatewayContact, Origin, RegionDelta, RegionSummary, TargetId, TargetTotals,
        TotalsDelta, interval_scale::IntervalScale, past_instant::PastInstant, summary::TotalsMap,
    },
    gullglade_units::{Clock, MonotonicTime, RegionName, VmName},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Time after the last update for which a region is considered reachable.
const REACHABLE_FOR: Duration = Duration::from_secs(8);

/// Time for which a contact is tried last after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// Maximum number of contacts retained per region.
const CONTACT_LIMIT: usize = 32;

/// Unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(50);

/// State of the other regions. No method blocks.
pub(crate) struct RegionTable {
    clock: Rc<dyn Clock>,
    interval_scale: Rc<IntervalScale>,
    entries: RefCell<BTreeMap<RegionName, RegionEntry>>,
    reporters: RefCell<BTreeMap<RegionName, VmName>>,
    failed_until: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    version: Cell<u64>,
}

struct RegionEntry {
    totals: TotalsMap,
    target_versions: BTreeMap<TargetId, TargetVersions>,
    contacts: Vec<GatewayContact>,
    contacts_version: u64,
    heard_at: PastInstant,
    report_version: u64,
    reachable_since: MonotonicTime,
    delay_millis: u16,
    origin: Origin,
}

/// Versions of the last updates of a target: `full` for updates with capacity, `any` for all
/// updates.
#[derive(Clone, Copy, Debug, Default)]
struct TargetVersions {
    full: u64,
    any: u64,
}

impl RegionTable {
    pub(crate) fn new(clock: Rc<dyn Clock>, interval_scale: Rc<IntervalScale>) -> Self {
        Self {
            clock,
            interval_scale,
            entries: RefCell::default(),
            reporters: RefCell::default(),
            failed_until: RefCell::default(),
            version: Cell::new(0),
        }
    }

    /// Records that `vm` reported for `region`. Returns true if the previous report came from
    /// another gateway. Values that `vm` omitted as unchanged may have been overwritten since then.
    ///
    /// Two gateways report for the same region while they have not discovered each other, for
    /// example after a start. If the one with less information reports last and then stops, its
    /// incomplete totals remain until the next full report of the other one, and the region can
    /// appear to have no engines for half a minute.
    pub(crate) fn note_reporter(&self, region: &RegionName, vm: &VmName) -> bool {
        let before = self.reporters.borrow_mut().insert(region.clone(), vm.clone());
        before.is_some_and(|before| before != *vm)
    }

    /// Applies a report of a region. Reports older than the newest one are ignored, because they
    /// took a slower path.
    pub(crate) fn apply(&self, delta: &RegionDelta, origin: Origin) {
        let now = self.clock.now();
        let heard_at = PastInstant::new(now, AGE_UNIT * u32::from(delta.age));
        let version = self.next_version();
        let mut entries = self.entries.borrow_mut();
        let entry =
            entries.entry(delta.region.clone()).or_insert_with(|| RegionEntry::new(heard_at, now));
        if heard_at.age(now) > entry.heard_at.age(now) {
            return;
        }
        if entry.heard_at.age(now) >= self.reachable_for() {
            entry.reachable_since = now;
        }
        entry.heard_at = heard_at;
        entry.report_version = version;
        entry.origin = if origin == Origin::Sync { entry.origin } else { origin };
        entry.delay_millis = delta.delay_millis;
        for (target, full) in delta.totals.apply(&mut entry.totals) {
            let versions = entry.target_versions.entry(target).or_default();
            versions.any = version;
            versions.full = if full { version } else { versions.full };
        }
        if let Some(contacts) = delta.contacts.as_ref().filter(|c| **c != entry.contacts) {
            entry.contacts = contacts.clone();
            entry.contacts_version = version;
        }
    }

    fn reachable_for(&self) -> Duration {
        self.interval_scale.scale(REACHABLE_FOR)
    }

    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.version.get()
    }

    /// Returns the cursor after all updates received so far.
    pub(crate) fn cursor(&self) -> u64 {
        self.version.get()
    }

    /// Returns the updates received after `cursor` from one of `origins`.
    pub(crate) fn deltas_after(&self, cursor: u64, origins: &[Origin]) -> Vec<RegionDelta> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let updated = entries
            .iter()
            .filter(|(_, entry)| entry.report_version > cursor && origins.contains(&entry.origin));
        updated.map(|(region, entry)| entry.delta(region, cursor, now)).collect()
    }

    /// Adds contacts of a region that is not reachable. The known contacts of such a region may all
    /// be down.
    pub(crate) fn add_contacts(&self, region: &RegionName, contacts: Vec<GatewayContact>) {
        if self.is_reachable(region) {
            return;
        }
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let entry = entries
            .entry(region.clone())
            .or_insert_with(|| RegionEntry::new(PastInstant::new(now, self.reachable_for()), now));
        for contact in contacts {
            if !entry.contacts.contains(&contact) {
                entry.contacts.push(contact);
            }
        }
        let excess = entry.contacts.len().saturating_sub(CONTACT_LIMIT);
        entry.contacts.drain(..excess);
    }

    /// Returns the known regions.
    pub(crate) fn names(&self) -> Vec<RegionName> {
        self.entries.borrow().keys().cloned().collect()
    }

    /// Returns the contacts of `region`.
    pub(crate) fn contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        self.entries.borrow().get(region).map_or_else(Vec::new, |entry| entry.contacts.clone())
    }

    /// Returns whether a call to `address` failed recently.
    pub(crate) fn has_failed(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        self.failed_until.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// Records a failed call to the gateway at `address`.
    pub(crate) fn note_failure(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut failed_until = self.failed_until.borrow_mut();
        failed_until.retain(|_, until| now < *until);
        failed_until.insert(address, now + FAILURE_PAUSE);
    }

    /// Returns the capacity and load of each region for `target`.
    pub(crate) fn summaries(&self, target: BackendTarget<'_>) -> Vec<RegionSummary> {
        let now = self.clock.now();
        let id = TargetId::from(target);
        let entries = self.entries.borrow();
        let summary = |(region, entry): (&RegionName, &RegionEntry)| {
            Some(RegionSummary {
                region: region.clone(),
                is_reachable: entry.heard_at.age(now) < self.reachable_for(),
                delay: Duration::from_millis(u64::from(entry.delay_millis)),
                totals: *entry.totals.get(&id)?,
                age: entry.heard_at.age(now),
                reachable_for: now.since(entry.reachable_since),
            })
        };
        entries.iter().filter_map(summary).collect()
    }

    /// Returns whether an update about `region` was received recently.
    pub(crate) fn is_reachable(&self, region: &RegionName) -> bool {
        let now = self.clock.now();
        self.entries
            .borrow()
            .get(region)
            .is_some_and(|entry| entry.heard_at.age(now) < self.reachable_for())
    }
}

impl RegionEntry {
    fn new(heard_at: PastInstant, now: MonotonicTime) -> Self {
        Self {
            totals: TotalsMap::new(),
            target_versions: BTreeMap::new(),
            contacts: Vec::new(),
            contacts_version: 0,
            heard_at,
            report_version: 0,
            reachable_since: now,
            delay_millis: 0,
            origin: Origin::OtherRow,
        }
    }

    fn delta(&self, region: &RegionName, cursor: u64, now: MonotonicTime) -> RegionDelta {
        let mut totals = TotalsDelta::default();
        for (target, versions) in
            self.target_versions.iter().filter(|(_, versions)| versions.any > cursor)
        {
            let removed = TargetTotals::default();
            let current = self.totals.get(target).unwrap_or(&removed);
            totals.push(*target, current, versions.full > cursor);
        }
        let age = self.heard_at.age(now).as_millis() / AGE_UNIT.as_millis();
        RegionDelta {
            region: region.clone(),
            age: u8::try_from(age).unwrap_or(u8::MAX),
            delay_millis: self.delay_millis,
            totals,
            contacts: (self.contacts_version > cursor).then(|| self.contacts.clone()),
        }
    }
}
