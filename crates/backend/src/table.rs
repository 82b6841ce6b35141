//! Table of the backend servers of the region.

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

/// Reason for which an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AnnounceRefusal {
    /// The backend server is in another region.
    #[snafu(display(
        "{name} is in region {region}, this gateway in {local_region}; announce to a gateway of \
         {region}"
    ))]
    WrongRegion {
        /// Name of the backend server.
        name: BackendName,
        /// Announced region.
        region: RegionName,
        /// Region of this gateway.
        local_region: RegionName,
    },
    /// The table has reached its limit of backend servers.
    #[snafu(display(
        "{name} is refused: {limit} backend servers are registered already; check for programs \
         that announce a new name each time, and raise the limit only if the region is that large"
    ))]
    TableFull {
        /// Name of the backend server.
        name: BackendName,
        /// Maximum number of backend servers.
        limit: usize,
    },
    /// The run identifier collides with that of another backend server.
    #[snafu(display(
        "{name} is refused: its run identifier collides with that of {other}; restart {name} with \
         a higher incarnation"
    ))]
    IdTaken {
        /// Name of the backend server.
        name: BackendName,
        /// Name of the backend server that holds the identifier.
        other: BackendName,
    },
}

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnounceOutcome {
    /// Reply to the backend server.
    pub reply: AnnounceReply,
    /// Effect on the replicated status.
    pub change: StatusChange,
}

/// Known backend servers of one region, shared by the tasks of a gateway. No method blocks.
pub struct BackendTable {
    region: RegionName,
    config: BackendConfig,
    interval_scale: Rc<IntervalScale>,
    clock: Rc<dyn Clock>,
    entries: RefCell<TableEntries>,
}

impl BackendTable {
    /// Creates an empty table for `region`.
    pub fn new(region: RegionName, config: BackendConfig, clock: Rc<dyn Clock>) -> Self {
        Self { region, config, interval_scale: Rc::default(), clock, entries: RefCell::default() }
    }

    fn config(&self) -> BackendConfig {
        self.config.scaled(&self.interval_scale)
    }

    /// Processes an announcement that this gateway received from the backend server itself.
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

    /// Refuses a record whose run identifier is used by another backend server. Load updates carry
    /// only the identifier and would be applied to the wrong one.
    fn check_id(&self, record: &BackendRecord) -> Result<(), AnnounceRefusal> {
        let id = RunId::new(record.name.as_str(), record.status.incarnation);
        match self.entries.borrow().name_of(id) {
            Some(other) if *other != record.name => {
                Err(AnnounceRefusal::IdTaken { name: record.name.clone(), other: other.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Merges a record from any source.
    pub fn merge_record(
        &self,
        aged: &AgedRecord<BackendRecord>,
        origin: Origin,
    ) -> Result<StatusChange, AnnounceRefusal> {
        let record = &aged.record;
        self.check_region(record)?;
        let now = self.clock.now();
        let heard_at = PastInstant::new(now, aged.age());
        let mut entries = self.entries.borrow_mut();
        let full = entries.len() >= self.config().backend_limit;
        let change = match entries.get_mut(&record.name) {
            Some(entry) => entry.merge(record, &self.config(), heard_at, now),
            None if !record.status.is_live() && aged.age() >= self.config().retention => {
                return Ok(StatusChange::default());
            }
            None if full => {
                let (name, limit) = (record.name.clone(), self.config().backend_limit);
                return Err(AnnounceRefusal::TableFull { name, limit });
            }
            None => {
                entries.insert(BackendEntry::new(record.clone(), &self.config(), heard_at, now));
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

    /// Calls `read` with all backend servers that may get new requests for `target`, ordered by
    /// name. `read` must not call back into the table.
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

    /// Records a dispatch of a request to `name` until the guard is dropped. Returns `None` if the
    /// backend server has left, expired or requested a back-off since it was selected. The caller
    /// must then select again.
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

    /// Records that a dispatch to `name` failed to connect. The backend server is suspect until its
    /// next report.
    pub fn note_failure(&self, name: &BackendName) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(name) {
            entry.note_failure(self.clock.now());
        }
    }

    /// Records that this run requested not to get any requests from this gateway before `until`.
    /// Returns whether this extends the known back-off. Has no effect on other runs of the same
    /// name.
    pub fn note_backoff(&self, run: &BackendRun, until: MonotonicTime) -> bool {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&run.backend);
        let entry = entry.filter(|entry| entry.record.status.incarnation == run.incarnation);
        entry.is_some_and(|entry| entry.note_backoff(until))
    }

    /// Returns the end of the back-off that `name` has requested of this gateway, if not yet
    /// passed.
    pub fn backoff_until(&self, name: &BackendName) -> Option<MonotonicTime> {
        self.entries.borrow().get(name)?.backoff_until(self.clock.now())
    }

    /// Returns the health of `name`, if known.
    pub fn health(&self, name: &BackendName) -> Option<BackendHealth> {
        let now = self.clock.now();
        self.entries.borrow().get(name).map(|entry| entry.health(&self.config(), now))
    }

    /// Returns the record of `name`, if known.
    pub fn record(&self, name: &BackendName) -> Option<BackendRecord> {
        self.entries.borrow().get(name).map(|entry| entry.record.clone())
    }

    /// Returns the names of all backend servers in the table, including those that have left.
    pub fn names(&self) -> Vec<BackendName> {
        self.entries.borrow().iter().map(|entry| entry.name().clone()).collect()
    }

    /// Returns the number of backend servers in the table, including those that have left.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
