//! What the relay between gateways asks of a table.

use {
    super::BackendTable,
    crate::{
        AgedRecord, BackendHealth, BackendRecord, LoadDelta, Origin, RunStatus, SubsetMember,
        backend_entry::BackendEntry,
        interval_scale::IntervalScale,
        message::nearest_sequence,
        past_instant::PastInstant,
        summary::{TotalsMap, add_backend},
    },
    gullglade_units::{BackendName, MonotonicTime, encode},
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Parts into which membership is divided for comparison.
pub(crate) const BUCKET_COUNT: usize = 16;

/// What became of a load that a peer told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LoadOutcome {
    /// It is newer than what was known, or not.
    Known,
    /// It is newer, and the backend server had been taken for dead.
    Returned(BackendName),
    /// No row has this id: membership is missing here.
    Unknown,
}

impl BackendTable {
    /// Takes in the load of a run.
    pub(crate) fn merge_load(&self, delta: &LoadDelta, origin: Origin) -> LoadOutcome {
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let Some(name) = entries.name_of(delta.id).cloned() else { return LoadOutcome::Unknown };
        let Some(entry) = entries.get_mut(&name) else { return LoadOutcome::Unknown };
        let status = entry.record.status;
        let sequence = nearest_sequence(status.sequence, delta.sequence);
        let cache_tokens = entry.record.profile().map_or(0, |p| p.capacity.cache_tokens);
        let record = BackendRecord {
            name: name.clone(),
            status: RunStatus::new(status.incarnation, sequence, status.state),
            profile: None,
            load: delta.load(cache_tokens),
        };
        let heard = PastInstant::new(now, delta.age());
        let change = entry.merge(&record, &self.config(), heard, now);
        if change.advanced {
            entries.advertise(&name, origin, &self.config(), now);
        }
        if change.membership {
            entries.index(&name);
            return LoadOutcome::Returned(name);
        }
        LoadOutcome::Known
    }

    /// The pace of the region, to be set by the relay.
    pub(crate) fn interval_scale(&self) -> Rc<IntervalScale> {
        self.interval_scale.clone()
    }

    /// The mark of all loads offered so far.
    pub(crate) fn load_cursor(&self) -> u64 {
        self.entries.borrow().version
    }

    /// The loads offered after `cursor` that were told by one of `origins`, of those followed by the
    /// receiver (`None`: all).
    pub(crate) fn loads_after(
        &self,
        cursor: u64,
        origins: &[Origin],
        followed: Option<&BTreeSet<BackendName>>,
    ) -> Vec<LoadDelta> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|entry| entry.advertised_version() > cursor && origins.contains(&entry.origin))
            .filter(|entry| followed.is_none_or(|names| names.contains(entry.name())))
            .map(|entry| load_delta(entry, now))
            .collect()
    }

    /// The totals of what was told by one of `origins` and serves.
    pub(crate) fn totals(&self, origins: &[Origin]) -> TotalsMap {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let mut sum = TotalsMap::new();
        entries
            .iter()
            .filter(|entry| origins.contains(&entry.origin))
            .filter(|entry| entry.health(&self.config(), now) == BackendHealth::Serving)
            .for_each(|entry| add_backend(&mut sum, &entry.record));
        sum
    }

    /// Declares expired what fell silent, as far as this gateway would know.
    pub(crate) fn expire_silent(&self) -> Vec<BackendName> {
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let silent: Vec<BackendName> = entries
            .iter()
            .filter(|entry| entry.origin == Origin::Direct || entry.is_followed())
            .filter(|entry| entry.is_lease_expired(&self.config(), now))
            .map(|entry| entry.name().clone())
            .collect();
        for name in &silent {
            if let Some(entry) = entries.get_mut(name) {
                entry.record.status.expire(0);
            }
            entries.index(name);
        }
        silent
    }

    /// Drops records that got no work for so long that nothing old can still arrive.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut entries = self.entries.borrow_mut();
        let forgotten: Vec<BackendName> = entries
            .iter()
            .filter(|entry| entry.is_forgettable(&self.config(), now))
            .map(|entry| entry.name().clone())
            .collect();
        forgotten.iter().for_each(|name| entries.remove(name));
    }

    /// Follows only `names` in detail.
    pub(crate) fn follow(&self, names: &BTreeSet<BackendName>) {
        self.entries.borrow_mut().follow(names, self.clock.now());
    }

    /// Counts changes of membership.
    pub(crate) fn generation(&self) -> u64 {
        self.entries.borrow().generation
    }

    /// The live rows, for the choice of subsets.
    pub(crate) fn subset_members(&self) -> Vec<SubsetMember> {
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|entry| entry.record.status.is_live())
            .filter_map(subset_member)
            .collect()
    }

    /// The record of `name` and its age.
    pub(crate) fn aged_record(&self, name: &BackendName) -> Option<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        self.entries.borrow().get(name).map(|entry| aged_record(entry, now))
    }

    /// Hashes of membership by part. Load is left out: it is never equal everywhere.
    pub(crate) fn bucket_hashes(&self) -> [u32; BUCKET_COUNT] {
        let mut bucket_hashes = [0_u32; BUCKET_COUNT];
        let now = self.clock.now();
        let entries = self.entries.borrow();
        for entry in entries.iter().filter(|entry| self.is_compared(entry, now)) {
            let status = &entry.record.status;
            let profile = entry.record.profile.as_ref().map(|p| p.sequence);
            let content =
                (entry.name(), status.incarnation, status.state, status.is_expired(), profile);
            bucket_hashes[bucket_of(entry.name())] ^= xxh3_64(&encode(&content)) as u32;
        }
        bucket_hashes
    }

    /// The records of part `bucket`.
    pub(crate) fn records_in_bucket(&self, bucket: usize) -> Vec<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|entry| bucket_of(entry.name()) == bucket && self.is_compared(entry, now))
            .map(|entry| aged_record(entry, now))
            .collect()
    }

    /// Dead records are forgotten at slightly different times; those half way there are left out
    /// of comparisons, so that gateways do not hand them back to each other without end.
    fn is_compared(&self, entry: &BackendEntry, now: MonotonicTime) -> bool {
        entry.record.status.is_live() || entry.heard.age(now) < self.config().retention / 2
    }
}

fn bucket_of(name: &BackendName) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % BUCKET_COUNT
}

fn aged_record(entry: &BackendEntry, now: MonotonicTime) -> AgedRecord<BackendRecord> {
    let age: Duration = entry.heard.age(now);
    AgedRecord::new(entry.record.clone(), age, entry.serving_since.age(now))
}

fn load_delta(entry: &BackendEntry, now: MonotonicTime) -> LoadDelta {
    let cache_tokens = entry.record.profile().map_or(0, |p| p.capacity.cache_tokens);
    let age = entry.report_age(now);
    LoadDelta::new(entry.id, entry.record.status.sequence, age, &entry.record.load, cache_tokens)
}

fn subset_member(entry: &BackendEntry) -> Option<SubsetMember> {
    let profile = entry.record.profile()?;
    let models = profile.models.iter().map(|m| format!("model {m}"));
    let services = profile.services.iter().map(|s| format!("service {s}"));
    Some(SubsetMember {
        name: entry.name().clone(),
        domain: profile.domain.clone(),
        targets: models.chain(services).collect(),
    })
}
