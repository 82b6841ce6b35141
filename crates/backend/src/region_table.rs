//! What this gateway knows of the other regions.

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

/// A region is reachable as long as something was heard of it in this time.
const REACHABLE_FOR: Duration = Duration::from_secs(8);

/// A contact that failed is tried last for this long.
const FAILURE_PAUSE: Duration = Duration::from_secs(5);

/// The most gateways remembered of one region.
const CONTACT_LIMIT: usize = 32;

/// The unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(50);

/// The other regions. Every method returns without waiting.
pub(crate) struct RegionTable {
    clock: Rc<dyn Clock>,
    interval_scale: Rc<IntervalScale>,
    entries: RefCell<BTreeMap<RegionName, RegionEntry>>,
    reporters: RefCell<BTreeMap<RegionName, VmName>>,
    failed: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    version: Cell<u64>,
}

struct RegionEntry {
    totals: TotalsMap,
    target_versions: BTreeMap<TargetId, TargetVersions>,
    contacts: Vec<GatewayContact>,
    contacts_version: u64,
    heard: PastInstant,
    heard_version: u64,
    since: MonotonicTime,
    delay_millis: u16,
    origin: Origin,
}

/// Under which stamps a target was last told of.
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
            failed: RefCell::default(),
            version: Cell::new(0),
        }
    }

    /// Notes that `vm` spoke for `region`. True where another gateway spoke for it last: what `vm`
    /// leaves out, because it told so before, may have been overwritten since.
    ///
    /// Two gateways speak for one region while they have not heard of each other, as after a start.
    /// When the one that knows less speaks last and then falls silent, this region goes on with its
    /// poorer totals until the other's next whole message: it showed as a region without engines for
    /// half a minute.
    pub(crate) fn note_reporter(&self, region: &RegionName, vm: &VmName) -> bool {
        let before = self.reporters.borrow_mut().insert(region.clone(), vm.clone());
        before.is_some_and(|before| before != *vm)
    }

    /// Takes in what a region told. A message that is older than the newest heard is ignored: it
    /// took a slower way.
    pub(crate) fn apply(&self, delta: &RegionDelta, origin: Origin) {
        let now = self.clock.now();
        let heard = PastInstant::new(now, AGE_UNIT * u32::from(delta.age));
        let version = self.next_version();
        let mut entries = self.entries.borrow_mut();
        let entry =
            entries.entry(delta.region.clone()).or_insert_with(|| RegionEntry::new(heard, now));
        if heard.age(now) > entry.heard.age(now) {
            return;
        }
        if entry.heard.age(now) >= self.reachable_for() {
            entry.since = now;
        }
        entry.heard = heard;
        entry.heard_version = version;
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

    /// The mark of all heard so far.
    pub(crate) fn cursor(&self) -> u64 {
        self.version.get()
    }

    /// What was heard after `cursor` from one of `origins`.
    pub(crate) fn deltas_after(&self, cursor: u64, origins: &[Origin]) -> Vec<RegionDelta> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let fresh = entries
            .iter()
            .filter(|(_, entry)| entry.heard_version > cursor && origins.contains(&entry.origin));
        fresh.map(|(region, entry)| entry.delta(region, cursor, now)).collect()
    }

    /// Notes gateways of a region, where nothing was heard of the region itself lately: those
    /// known before may all be gone.
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

    /// The regions known.
    pub(crate) fn names(&self) -> Vec<RegionName> {
        self.entries.borrow().keys().cloned().collect()
    }

    /// The gateways of `region` to turn to.
    pub(crate) fn contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        self.entries.borrow().get(region).map_or_else(Vec::new, |entry| entry.contacts.clone())
    }

    /// Whether a call to `address` failed lately.
    pub(crate) fn has_failed(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        self.failed.borrow().get(&address).is_some_and(|until| now < *until)
    }

    /// A call to the gateway at `address` did not get through.
    pub(crate) fn note_failure(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, until| now < *until);
        failed.insert(address, now + FAILURE_PAUSE);
    }

    /// What each region offers for `target`.
    pub(crate) fn summaries(&self, target: BackendTarget<'_>) -> Vec<RegionSummary> {
        let now = self.clock.now();
        let id = TargetId::from(target);
        let entries = self.entries.borrow();
        let summary = |(region, entry): (&RegionName, &RegionEntry)| {
            Some(RegionSummary {
                region: region.clone(),
                is_reachable: entry.heard.age(now) < self.reachable_for(),
                delay: Duration::from_millis(u64::from(entry.delay_millis)),
                totals: *entry.totals.get(&id)?,
                age: entry.heard.age(now),
                reachable_for: now.since(entry.since),
            })
        };
        entries.iter().filter_map(summary).collect()
    }

    /// Whether anything was heard of `region` lately.
    pub(crate) fn is_reachable(&self, region: &RegionName) -> bool {
        let now = self.clock.now();
        self.entries
            .borrow()
            .get(region)
            .is_some_and(|entry| entry.heard.age(now) < self.reachable_for())
    }
}

impl RegionEntry {
    fn new(heard: PastInstant, now: MonotonicTime) -> Self {
        Self {
            totals: TotalsMap::new(),
            target_versions: BTreeMap::new(),
            contacts: Vec::new(),
            contacts_version: 0,
            heard,
            heard_version: 0,
            since: now,
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
        let age = self.heard.age(now).as_millis() / AGE_UNIT.as_millis();
        RegionDelta {
            region: region.clone(),
            age: u8::try_from(age).unwrap_or(u8::MAX),
            delay_millis: self.delay_millis,
            totals,
            contacts: (self.contacts_version > cursor).then(|| self.contacts.clone()),
        }
    }
}
