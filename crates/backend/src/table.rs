//! All backend servers of the region that this gateway knows.

mod entries;
pub(crate) mod gossip;

use {
    crate::{
        AgedRecord, AnnounceReply, Announcement, BackendConfig, BackendHealth, BackendRecord,
        BackendTarget, BackendView, Origin, PrefixHash, RunId, StatusChange,
        backend_entry::BackendEntry, dispatch::DispatchGuard, interval_scale::IntervalScale,
        past_instant::PastInstant,
    },
    entries::TableEntries,
    gullglade_units::{BackendName, BackendRun, Clock, Incarnation, MonotonicTime, RegionName},
    snafu::Snafu,
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Why an announcement is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AnnounceRefusal {
    /// It stands elsewhere.
    #[snafu(display(
        "{name} stands in region {region}, this gateway in {local_region}; announce to a gateway of {region}"
    ))]
    WrongRegion {
        /// The backend server.
        name: BackendName,
        /// Where it says it stands.
        region: RegionName,
        /// Where this gateway stands.
        local_region: RegionName,
    },
    /// Too many names.
    #[snafu(display(
        "{name} is not taken: {limit} backend servers are known already; do programs announce ever \
         new names? Raise the limit only if the region is that large"
    ))]
    TableFull {
        /// The backend server.
        name: BackendName,
        /// The most that are remembered.
        limit: usize,
    },
    /// The short id of this run is another's.
    #[snafu(display(
        "{name} is not taken: the short id of this run is that of {other}; restart {name} with a \
         higher incarnation"
    ))]
    IdTaken {
        /// The backend server.
        name: BackendName,
        /// Whose id it is.
        other: BackendName,
    },
}

/// What an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnounceOutcome {
    /// The answer for the backend server.
    pub reply: AnnounceReply,
    /// What changed here.
    pub change: StatusChange,
}

/// The known backend servers of one region. Shared by the tasks of a gateway; every method
/// returns without waiting.
pub struct BackendTable {
    region: RegionName,
    config: BackendConfig,
    interval_scale: Rc<IntervalScale>,
    clock: Rc<dyn Clock>,
    entries: RefCell<TableEntries>,
}

impl BackendTable {
    /// An empty table of `region`.
    pub fn new(region: RegionName, config: BackendConfig, clock: Rc<dyn Clock>) -> Self {
        Self { region, config, interval_scale: Rc::default(), clock, entries: RefCell::default() }
    }

    fn config(&self) -> BackendConfig {
        self.config.scaled(&self.interval_scale)
    }

    /// Takes in what a backend server said to this gateway itself.
    pub fn announce(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnounceOutcome, AnnounceRefusal> {
        let record = BackendRecord::from(announcement);
        self.check_id(&record)?;
        let aged = AgedRecord::new(record, Duration::ZERO, Duration::ZERO);
        let change = self.merge_record(&aged, Origin::Direct)?;
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&aged.record.name) else {
            let current = aged.record.status.incarnation;
            return Ok(AnnounceOutcome { reply: self.reply(change, current, true), change });
        };
        if let (Some(events), false) = (&announcement.cache_events, change.superseded) {
            entry.apply_cache_events(events, self.clock.now());
        }
        let current = entry.record.status.incarnation;
        let reply = self.reply(change, current, entry.record.profile.is_none());
        Ok(AnnounceOutcome { reply, change })
    }

    fn reply(
        &self,
        change: StatusChange,
        current: Incarnation,
        profile_wanted: bool,
    ) -> AnnounceReply {
        let lease = if change.superseded { Duration::ZERO } else { self.config().lease };
        AnnounceReply {
            lease_millis: millis(lease),
            renew_millis: millis(self.config().renew_interval),
            profile_wanted: profile_wanted && !change.superseded,
            superseded_by: change.superseded.then_some(current),
        }
    }

    /// Two runs of one id would get each other's loads.
    fn check_id(&self, record: &BackendRecord) -> Result<(), AnnounceRefusal> {
        let id = RunId::new(record.name.as_str(), record.status.incarnation);
        match self.entries.borrow().name_of(id) {
            Some(other) if *other != record.name => {
                Err(AnnounceRefusal::IdTaken { name: record.name.clone(), other: other.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Takes in a record, from wherever it came.
    pub fn merge_record(
        &self,
        aged: &AgedRecord<BackendRecord>,
        origin: Origin,
    ) -> Result<StatusChange, AnnounceRefusal> {
        let record = &aged.record;
        self.check_region(record)?;
        let now = self.clock.now();
        let heard = PastInstant::new(now, aged.age());
        let mut entries = self.entries.borrow_mut();
        let full = entries.len() >= self.config().backend_limit;
        let change = match entries.get_mut(&record.name) {
            Some(entry) => entry.merge(record, &self.config(), heard, now),
            None if !record.status.is_live() && aged.age() >= self.config().retention => {
                return Ok(StatusChange::default());
            }
            None if full => {
                let (name, limit) = (record.name.clone(), self.config().backend_limit);
                return Err(AnnounceRefusal::TableFull { name, limit });
            }
            None => {
                entries.insert(BackendEntry::new(record.clone(), &self.config(), heard, now));
                StatusChange { membership: true, advanced: true, ..StatusChange::default() }
            }
        };
        entries.apply_change(&record.name, change, origin, aged, &self.config(), now);
        Ok(change)
    }

    fn check_region(&self, record: &BackendRecord) -> Result<(), AnnounceRefusal> {
        match record.profile() {
            Some(profile) if profile.region != self.region => Err(AnnounceRefusal::WrongRegion {
                name: record.name.clone(),
                region: profile.region.clone(),
                local_region: self.region.clone(),
            }),
            _ => Ok(()),
        }
    }

    /// Calls `read` with every backend server that may get new work for `target` from here,
    /// ordered by name. `read` must not call back into the table.
    pub fn with_candidates<R>(
        &self,
        target: BackendTarget<'_>,
        read: impl FnOnce(&[BackendView<'_>]) -> R,
    ) -> R {
        let (now, config) = (self.clock.now(), self.config());
        let entries = self.entries.borrow();
        let views: Vec<BackendView<'_>> =
            entries.serving(target).filter_map(|entry| entry.view(&config, now)).collect();
        read(&views)
    }

    /// Counts one request of this gateway at `name` until the guard is dropped. `None`: the
    /// backend server left, fell silent or requested a back-off since it was chosen; choose again.
    pub fn dispatch(
        &self,
        name: &BackendName,
        prefill_tokens: u64,
        prefixes: &[PrefixHash],
    ) -> Option<DispatchGuard> {
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(name)?;
        entry.view(&self.config(), now).filter(|view| view.backoff_until.is_none())?;
        entry.cache.record_dispatch(prefixes, now);
        let tracker = entry.tracker.clone();
        let id = tracker.borrow_mut().start(now, prefill_tokens);
        Some(DispatchGuard { tracker, clock: self.clock.clone(), id })
    }

    /// A dispatch to `name` failed to connect: it is suspect until it reports again.
    pub fn note_failure(&self, name: &BackendName) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(name) {
            entry.note_failure(self.clock.now());
        }
    }

    /// This run has requested that nothing comes from this gateway before `until`. Whether that is
    /// later than known; what is known of another run of the name stays as it is.
    pub fn note_backoff(&self, run: &BackendRun, until: MonotonicTime) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&run.backend);
        let entry = entry.filter(|entry| entry.record.status.incarnation == run.incarnation);
        entry.is_some_and(|entry| entry.note_backoff(until))
    }

    /// The end of the back-off that `name` has requested of this gateway, while it lasts.
    pub fn backoff_until(&self, name: &BackendName) -> Option<MonotonicTime> {
        self.entries.borrow().get(name)?.backoff_until(self.clock.now())
    }

    /// What is known of `name`.
    pub fn health(&self, name: &BackendName) -> Option<BackendHealth> {
        let now = self.clock.now();
        self.entries.borrow().get(name).map(|entry| entry.health(&self.config(), now))
    }

    /// The record of `name`.
    pub fn record(&self, name: &BackendName) -> Option<BackendRecord> {
        self.entries.borrow().get(name).map(|entry| entry.record.clone())
    }

    /// Every backend server remembered, those that left included.
    pub fn names(&self) -> Vec<BackendName> {
        self.entries.borrow().iter().map(|entry| entry.name().clone()).collect()
    }

    /// How many backend servers are remembered, those that left included.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
