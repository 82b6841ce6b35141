//! Operations of the backend table for gossip between gateways.

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

/// Number of buckets into which the membership is divided for comparison.
pub(crate) const BUCKET_COUNT: usize = 16;

/// Result of merging a load received from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LoadOutcome {
    /// The run is known and was not expired. The load may or may not be newer.
    Known,
    /// The load is newer, and the backend server had been declared expired.
    Returned(BackendName),
    /// No entry has this run identifier: this gateway has missed a membership change.
    Unknown,
}

impl BackendTable {
    /// Merges the load of a run.
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
        let heard_at = PastInstant::new(now, delta.age());
        let change = entry.merge(&record, &self.config(), heard_at, now);
        if change.advanced {
            entries.advertise(&name, origin, &self.config(), now);
        }
        if change.membership {
            entries.index(&name);
            return LoadOutcome::Returned(name);
        }
        LoadOutcome::Known
    }

    /// Returns the interval scale of the region, which the relay sets.
    pub(crate) fn interval_scale(&self) -> Rc<IntervalScale> {
        self.interval_scale.clone()
    }

    /// Returns the cursor after all loads advertised so far.
    pub(crate) fn load_cursor(&self) -> u64 {
        self.entries.borrow().version
    }

    /// Returns the loads advertised after `cursor` whose origin is one of `origins`, limited to the
    /// backend servers in `followed` if given.
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

    /// Returns the totals of the serving backend servers whose origin is one of `origins`.
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

    /// Declares the backend servers expired whose lease has run out, as far as this gateway would
    /// have received their reports. Returns their names.
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

    /// Drops the records of backend servers that have been out of service for longer than the
    /// retention.
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

    /// Returns the number of membership changes so far.
    pub(crate) fn generation(&self) -> u64 {
        self.entries.borrow().generation
    }

    /// Returns the live backend servers, as input for subsetting.
    pub(crate) fn subset_members(&self) -> Vec<SubsetMember> {
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|entry| entry.record.status.is_live())
            .filter_map(subset_member)
            .collect()
    }

    /// Returns the record of `name` with its age.
    pub(crate) fn aged_record(&self, name: &BackendName) -> Option<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        self.entries.borrow().get(name).map(|entry| aged_record(entry, now))
    }

    /// Returns a hash of the membership per bucket. Load is excluded, because it is never equal on
    /// all gateways.
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

    /// Returns the records of one bucket.
    pub(crate) fn records_in_bucket(&self, bucket: usize) -> Vec<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|entry| bucket_of(entry.name()) == bucket && self.is_compared(entry, now))
            .map(|entry| aged_record(entry, now))
            .collect()
    }

    /// Returns whether the entry is covered by bucket hashes. Gateways drop dead records at
    /// slightly different times, so records past half of their retention are excluded. Otherwise
    /// the gateways would restore them on each other forever.
    fn is_compared(&self, entry: &BackendEntry, now: MonotonicTime) -> bool {
        entry.record.status.is_live() || entry.heard_at.age(now) < self.config().retention / 2
    }
}

fn bucket_of(name: &BackendName) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % BUCKET_COUNT
}

fn aged_record(entry: &BackendEntry, now: MonotonicTime) -> AgedRecord<BackendRecord> {
    let age: Duration = entry.heard_at.age(now);
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
