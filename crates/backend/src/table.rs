//! All backend servers of the region that this gateway knows.

pub(crate) mod gossip;
mod rows;

use {
    crate::{
        AgedRecord, AnnounceReply, Announcement, BackendConfig, BackendHealth, BackendRecord,
        BackendTarget, BackendView, Origin, PrefixHash, RunId, StatusChange,
        dispatch::DispatchGuard, pace::RegionPace, past::PastMoment, row::BackendRow,
    },
    gullglade_units::{BackendName, BackendRun, Clock, Incarnation, MonotonicTime, RegionName},
    rows::TableRows,
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
    pace: Rc<RegionPace>,
    clock: Rc<dyn Clock>,
    rows: RefCell<TableRows>,
}

impl BackendTable {
    /// An empty table of `region`.
    pub fn new(region: RegionName, config: BackendConfig, clock: Rc<dyn Clock>) -> Self {
        Self { region, config, pace: Rc::default(), clock, rows: RefCell::default() }
    }

    fn config(&self) -> BackendConfig {
        self.config.paced(&self.pace)
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
        let mut rows = self.rows.borrow_mut();
        let Some(row) = rows.get_mut(&aged.record.name) else {
            let current = aged.record.status.incarnation;
            return Ok(AnnounceOutcome { reply: self.reply(change, current, true), change });
        };
        if let (Some(events), false) = (&announcement.cache_events, change.superseded) {
            row.observe_cache(events, self.clock.now());
        }
        let current = row.record.status.incarnation;
        let reply = self.reply(change, current, row.record.profile.is_none());
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
        match self.rows.borrow().name_of(id) {
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
        let heard = PastMoment::new(now, aged.age());
        let mut rows = self.rows.borrow_mut();
        let full = rows.len() >= self.config().backend_limit;
        let change = match rows.get_mut(&record.name) {
            Some(row) => row.merge(record, &self.config(), heard, now),
            None if !record.status.is_live() && aged.age() >= self.config().retention => {
                return Ok(StatusChange::default());
            }
            None if full => {
                let (name, limit) = (record.name.clone(), self.config().backend_limit);
                return Err(AnnounceRefusal::TableFull { name, limit });
            }
            None => {
                rows.insert(BackendRow::new(record.clone(), &self.config(), heard, now));
                StatusChange { membership: true, advanced: true, ..StatusChange::default() }
            }
        };
        rows.note(&record.name, change, origin, aged, &self.config(), now);
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
        let rows = self.rows.borrow();
        let views: Vec<BackendView<'_>> =
            rows.serving(target).filter_map(|row| row.view(&config, now)).collect();
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
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(name)?;
        row.view(&self.config(), now).filter(|view| view.backoff_until.is_none())?;
        row.cache.dispatched(prefixes, now);
        let ledger = row.ledger.clone();
        let id = ledger.borrow_mut().start(now, prefill_tokens);
        Some(DispatchGuard { ledger, clock: self.clock.clone(), id })
    }

    /// A dispatch to `name` failed to connect: it is suspect until it reports again.
    pub fn note_failure(&self, name: &BackendName) {
        if let Some(row) = self.rows.borrow_mut().get_mut(name) {
            row.note_failure(self.clock.now());
        }
    }

    /// This run has requested that nothing comes from this gateway before `until`. Whether that is
    /// later than known; what is known of another run of the name stays as it is.
    pub fn note_backoff(&self, run: &BackendRun, until: MonotonicTime) -> bool {
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(&run.backend);
        let row = row.filter(|row| row.record.status.incarnation == run.incarnation);
        row.is_some_and(|row| row.note_backoff(until))
    }

    /// The end of the back-off that `name` has requested of this gateway, while it lasts.
    pub fn backoff_until(&self, name: &BackendName) -> Option<MonotonicTime> {
        self.rows.borrow().get(name)?.backoff_until(self.clock.now())
    }

    /// What is known of `name`.
    pub fn health(&self, name: &BackendName) -> Option<BackendHealth> {
        let now = self.clock.now();
        self.rows.borrow().get(name).map(|row| row.health(&self.config(), now))
    }

    /// The record of `name`.
    pub fn record(&self, name: &BackendName) -> Option<BackendRecord> {
        self.rows.borrow().get(name).map(|row| row.record.clone())
    }

    /// Every backend server remembered, those that left included.
    pub fn names(&self) -> Vec<BackendName> {
        self.rows.borrow().iter().map(|row| row.name().clone()).collect()
    }

    /// How many backend servers are remembered, those that left included.
    pub fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
