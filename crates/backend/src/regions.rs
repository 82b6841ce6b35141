//! What this gateway knows of the other regions.

use {
    crate::{
        BackendTarget, GatewayContact, Origin, RegionDelta, RegionSummary, TargetId, TargetTotals,
        TotalsDelta, pace::RegionPace, past::PastMoment, summary::TotalsMap,
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
pub(crate) struct RegionBook {
    clock: Rc<dyn Clock>,
    pace: Rc<RegionPace>,
    rows: RefCell<BTreeMap<RegionName, RegionRow>>,
    speakers: RefCell<BTreeMap<RegionName, VmName>>,
    failed: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    stamp: Cell<u64>,
}

struct RegionRow {
    totals: TotalsMap,
    told: BTreeMap<TargetId, ToldStamps>,
    contacts: Vec<GatewayContact>,
    contacts_stamp: u64,
    heard: PastMoment,
    heard_stamp: u64,
    since: MonotonicTime,
    delay_millis: u16,
    origin: Origin,
}

/// Under which stamps a target was last told of.
#[derive(Clone, Copy, Debug, Default)]
struct ToldStamps {
    whole: u64,
    any: u64,
}

impl RegionBook {
    pub(crate) fn new(clock: Rc<dyn Clock>, pace: Rc<RegionPace>) -> Self {
        Self {
            clock,
            pace,
            rows: RefCell::default(),
            speakers: RefCell::default(),
            failed: RefCell::default(),
            stamp: Cell::new(0),
        }
    }

    /// Notes that `vm` spoke for `region`. True where another gateway spoke for it last: what `vm`
    /// leaves out, because it told so before, may have been overwritten since.
    ///
    /// Two gateways speak for one region while they have not heard of each other, as after a start.
    /// When the one that knows less speaks last and then falls silent, this region goes on with its
    /// poorer totals until the other's next whole message: it showed as a region without engines for
    /// half a minute.
    pub(crate) fn note_speaker(&self, region: &RegionName, vm: &VmName) -> bool {
        let before = self.speakers.borrow_mut().insert(region.clone(), vm.clone());
        before.is_some_and(|before| before != *vm)
    }

    /// Takes in what a region told. A message that is older than the newest heard is ignored: it
    /// took a slower way.
    pub(crate) fn take(&self, delta: &RegionDelta, origin: Origin) {
        let now = self.clock.now();
        let heard = PastMoment::new(now, AGE_UNIT * u32::from(delta.age));
        let stamp = self.next_stamp();
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry(delta.region.clone()).or_insert_with(|| RegionRow::new(heard, now));
        if heard.age(now) > row.heard.age(now) {
            return;
        }
        if row.heard.age(now) >= self.reachable_for() {
            row.since = now;
        }
        row.heard = heard;
        row.heard_stamp = stamp;
        row.origin = if origin == Origin::Sync { row.origin } else { origin };
        row.delay_millis = delta.delay_millis;
        for (target, whole) in delta.totals.apply(&mut row.totals) {
            let stamps = row.told.entry(target).or_default();
            stamps.any = stamp;
            stamps.whole = if whole { stamp } else { stamps.whole };
        }
        if let Some(contacts) = delta.contacts.as_ref().filter(|c| **c != row.contacts) {
            row.contacts = contacts.clone();
            row.contacts_stamp = stamp;
        }
    }

    fn reachable_for(&self) -> Duration {
        self.pace.stretch(REACHABLE_FOR)
    }

    fn next_stamp(&self) -> u64 {
        self.stamp.set(self.stamp.get() + 1);
        self.stamp.get()
    }

    /// The mark of all heard so far.
    pub(crate) fn mark(&self) -> u64 {
        self.stamp.get()
    }

    /// What was heard after `mark` from one of `origins`.
    pub(crate) fn deltas_after(&self, mark: u64, origins: &[Origin]) -> Vec<RegionDelta> {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        let fresh =
            rows.iter().filter(|(_, row)| row.heard_stamp > mark && origins.contains(&row.origin));
        fresh.map(|(region, row)| row.delta(region, mark, now)).collect()
    }

    /// Notes gateways of a region, where nothing was heard of the region itself lately: those
    /// known before may all be gone.
    pub(crate) fn introduce(&self, region: &RegionName, contacts: Vec<GatewayContact>) {
        if self.is_reachable(region) {
            return;
        }
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let row = rows
            .entry(region.clone())
            .or_insert_with(|| RegionRow::new(PastMoment::new(now, self.reachable_for()), now));
        for contact in contacts {
            if !row.contacts.contains(&contact) {
                row.contacts.push(contact);
            }
        }
        let excess = row.contacts.len().saturating_sub(CONTACT_LIMIT);
        row.contacts.drain(..excess);
    }

    /// The regions known.
    pub(crate) fn names(&self) -> Vec<RegionName> {
        self.rows.borrow().keys().cloned().collect()
    }

    /// The gateways of `region` to turn to.
    pub(crate) fn contacts(&self, region: &RegionName) -> Vec<GatewayContact> {
        self.rows.borrow().get(region).map_or_else(Vec::new, |row| row.contacts.clone())
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
        let rows = self.rows.borrow();
        let summary = |(region, row): (&RegionName, &RegionRow)| {
            Some(RegionSummary {
                region: region.clone(),
                is_reachable: row.heard.age(now) < self.reachable_for(),
                delay: Duration::from_millis(u64::from(row.delay_millis)),
                totals: *row.totals.get(&id)?,
                age: row.heard.age(now),
                reachable_for: now.since(row.since),
            })
        };
        rows.iter().filter_map(summary).collect()
    }

    /// Whether anything was heard of `region` lately.
    pub(crate) fn is_reachable(&self, region: &RegionName) -> bool {
        let now = self.clock.now();
        self.rows.borrow().get(region).is_some_and(|row| row.heard.age(now) < self.reachable_for())
    }
}

impl RegionRow {
    fn new(heard: PastMoment, now: MonotonicTime) -> Self {
        Self {
            totals: TotalsMap::new(),
            told: BTreeMap::new(),
            contacts: Vec::new(),
            contacts_stamp: 0,
            heard,
            heard_stamp: 0,
            since: now,
            delay_millis: 0,
            origin: Origin::OtherRow,
        }
    }

    fn delta(&self, region: &RegionName, mark: u64, now: MonotonicTime) -> RegionDelta {
        let mut totals = TotalsDelta::default();
        for (target, stamps) in self.told.iter().filter(|(_, stamps)| stamps.any > mark) {
            let gone = TargetTotals::default();
            let current = self.totals.get(target).unwrap_or(&gone);
            totals.push(*target, current, stamps.whole > mark);
        }
        let age = self.heard.age(now).as_millis() / AGE_UNIT.as_millis();
        RegionDelta {
            region: region.clone(),
            age: u8::try_from(age).unwrap_or(u8::MAX),
            delay_millis: self.delay_millis,
            totals,
            contacts: (self.contacts_stamp > mark).then(|| self.contacts.clone()),
        }
    }
}
