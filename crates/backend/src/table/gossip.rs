//! What the relay between gateways asks of a table.

use {
    super::BackendTable,
    crate::{
        AgedRecord, BackendHealth, BackendRecord, LoadDelta, Origin, RunStatus, SubsetMember,
        message::nearest_sequence,
        pace::RegionPace,
        past::PastMoment,
        row::BackendRow,
        summary::{TotalsMap, add_backend},
    },
    gullglade_units::{BackendName, MonotonicTime, encode},
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// Parts into which membership is divided for comparison.
pub(crate) const PART_COUNT: usize = 16;

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
    pub(crate) fn take_load(&self, delta: &LoadDelta, origin: Origin) -> LoadOutcome {
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let Some(name) = rows.name_of(delta.id).cloned() else { return LoadOutcome::Unknown };
        let Some(row) = rows.get_mut(&name) else { return LoadOutcome::Unknown };
        let status = row.record.status;
        let sequence = nearest_sequence(status.sequence, delta.sequence);
        let cache_tokens = row.record.profile().map_or(0, |p| p.capacity.cache_tokens);
        let record = BackendRecord {
            name: name.clone(),
            status: RunStatus::new(status.incarnation, sequence, status.state),
            profile: None,
            load: delta.load(cache_tokens),
        };
        let heard = PastMoment::new(now, delta.age());
        let change = row.merge(&record, &self.config(), heard, now);
        if change.advanced {
            rows.offer(&name, origin, &self.config(), now);
        }
        if change.membership {
            rows.index(&name);
            return LoadOutcome::Returned(name);
        }
        LoadOutcome::Known
    }

    /// The pace of the region, to be set by the relay.
    pub(crate) fn pace(&self) -> Rc<RegionPace> {
        self.pace.clone()
    }

    /// The mark of all loads offered so far.
    pub(crate) fn load_mark(&self) -> u64 {
        self.rows.borrow().stamp
    }

    /// The loads offered after `mark` that were told by one of `origins`, of those followed by the
    /// receiver (`None`: all).
    pub(crate) fn loads_after(
        &self,
        mark: u64,
        origins: &[Origin],
        followed: Option<&BTreeSet<BackendName>>,
    ) -> Vec<LoadDelta> {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        rows.iter()
            .filter(|row| row.told_stamp() > mark && origins.contains(&row.origin))
            .filter(|row| followed.is_none_or(|names| names.contains(row.name())))
            .map(|row| load_delta(row, now))
            .collect()
    }

    /// The totals of what was told by one of `origins` and serves.
    pub(crate) fn totals(&self, origins: &[Origin]) -> TotalsMap {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        let mut sum = TotalsMap::new();
        rows.iter()
            .filter(|row| origins.contains(&row.origin))
            .filter(|row| row.health(&self.config(), now) == BackendHealth::Serving)
            .for_each(|row| add_backend(&mut sum, &row.record));
        sum
    }

    /// Declares expired what fell silent, as far as this gateway would know.
    pub(crate) fn expire_silent(&self) -> Vec<BackendName> {
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let silent: Vec<BackendName> = rows
            .iter()
            .filter(|row| row.origin == Origin::Direct || row.is_followed())
            .filter(|row| row.lease_over(&self.config(), now))
            .map(|row| row.name().clone())
            .collect();
        for name in &silent {
            if let Some(row) = rows.get_mut(name) {
                row.record.status.expire(0);
            }
            rows.index(name);
        }
        silent
    }

    /// Drops records that got no work for so long that nothing old can still arrive.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let forgotten: Vec<BackendName> = rows
            .iter()
            .filter(|row| row.forgettable(&self.config(), now))
            .map(|row| row.name().clone())
            .collect();
        forgotten.iter().for_each(|name| rows.remove(name));
    }

    /// Follows only `names` in detail.
    pub(crate) fn follow(&self, names: &BTreeSet<BackendName>) {
        self.rows.borrow_mut().follow(names, self.clock.now());
    }

    /// Counts changes of membership.
    pub(crate) fn generation(&self) -> u64 {
        self.rows.borrow().generation
    }

    /// The live rows, for the choice of subsets.
    pub(crate) fn subset_members(&self) -> Vec<SubsetMember> {
        let rows = self.rows.borrow();
        rows.iter().filter(|row| row.record.status.is_live()).filter_map(subset_member).collect()
    }

    /// The record of `name` and its age.
    pub(crate) fn aged(&self, name: &BackendName) -> Option<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        self.rows.borrow().get(name).map(|row| aged(row, now))
    }

    /// Hashes of membership by part. Load is left out: it is never equal everywhere.
    pub(crate) fn part_hashes(&self) -> [u32; PART_COUNT] {
        let mut parts = [0_u32; PART_COUNT];
        let now = self.clock.now();
        let rows = self.rows.borrow();
        for row in rows.iter().filter(|row| self.is_compared(row, now)) {
            let status = &row.record.status;
            let profile = row.record.profile.as_ref().map(|p| p.sequence);
            let content =
                (row.name(), status.incarnation, status.state, status.is_expired(), profile);
            parts[part_of(row.name())] ^= xxh3_64(&encode(&content)) as u32;
        }
        parts
    }

    /// The records of part `part`.
    pub(crate) fn aged_in_part(&self, part: usize) -> Vec<AgedRecord<BackendRecord>> {
        let now = self.clock.now();
        let rows = self.rows.borrow();
        rows.iter()
            .filter(|row| part_of(row.name()) == part && self.is_compared(row, now))
            .map(|row| aged(row, now))
            .collect()
    }

    /// Dead records are forgotten at slightly different times; those half way there are left out
    /// of comparisons, so that gateways do not hand them back to each other without end.
    fn is_compared(&self, row: &BackendRow, now: MonotonicTime) -> bool {
        row.record.status.is_live() || row.heard.age(now) < self.config().retention / 2
    }
}

fn part_of(name: &BackendName) -> usize {
    xxh3_64(name.as_str().as_bytes()) as usize % PART_COUNT
}

fn aged(row: &BackendRow, now: MonotonicTime) -> AgedRecord<BackendRecord> {
    let age: Duration = row.heard.age(now);
    AgedRecord::new(row.record.clone(), age, row.serving_since.age(now))
}

fn load_delta(row: &BackendRow, now: MonotonicTime) -> LoadDelta {
    let cache_tokens = row.record.profile().map_or(0, |p| p.capacity.cache_tokens);
    let age = row.report_age(now);
    LoadDelta::new(row.id, row.record.status.sequence, age, &row.record.load, cache_tokens)
}

fn subset_member(row: &BackendRow) -> Option<SubsetMember> {
    let profile = row.record.profile()?;
    let models = profile.models.iter().map(|m| format!("model {m}"));
    let services = profile.services.iter().map(|s| format!("service {s}"));
    Some(SubsetMember {
        name: row.name().clone(),
        domain: profile.domain.clone(),
        targets: models.chain(services).collect(),
    })
}
