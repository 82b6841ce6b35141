//! Entries of the backend table and their indexes.

use {
    crate::{
        AgedRecord, BackendConfig, BackendRecord, BackendTarget, Origin, RunId, StatusChange,
        backend_entry::BackendEntry, past_instant::PastInstant,
    },
    gullglade_units::{BackendName, ModelName, MonotonicTime, ServiceName},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Entries with indexes by name, run identifier, model and service. The routing decision iterates
/// over the entries of one target for every request, so the indexes hold direct positions.
#[derive(Default)]
pub(super) struct TableEntries {
    slots: Vec<Option<BackendEntry>>,
    free: Vec<usize>,
    by_name: SlotsByName,
    by_id: HashMap<RunId, BackendName>,
    by_model: HashMap<ModelName, SlotsByName>,
    by_service: HashMap<ServiceName, SlotsByName>,
    /// Version of the last load advertised to peers.
    pub(super) version: u64,
    /// Number of membership changes.
    pub(super) generation: u64,
}

/// Positions of entries, ordered by name.
type SlotsByName = BTreeMap<BackendName, usize>;

impl TableEntries {
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(super) fn get(&self, name: &BackendName) -> Option<&BackendEntry> {
        self.slots[*self.by_name.get(name)?].as_ref()
    }

    pub(super) fn get_mut(&mut self, name: &BackendName) -> Option<&mut BackendEntry> {
        self.slots[*self.by_name.get(name)?].as_mut()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &BackendEntry> {
        self.by_name.values().filter_map(|slot| self.slots[*slot].as_ref())
    }

    pub(super) fn name_of(&self, id: RunId) -> Option<&BackendName> {
        self.by_id.get(&id)
    }

    pub(super) fn insert(&mut self, entry: BackendEntry) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_name.insert(entry.name().clone(), slot);
        self.slots[slot] = Some(entry);
    }

    /// Updates the indexes and the advertised load of `name` after a merge.
    pub(super) fn apply_change(
        &mut self,
        name: &BackendName,
        change: StatusChange,
        origin: Origin,
        aged: &AgedRecord<BackendRecord>,
        config: &BackendConfig,
        now: MonotonicTime,
    ) {
        if change.membership {
            self.index(name);
        }
        if !change.advanced {
            return;
        }
        let serving = PastInstant::new(now, aged.serving());
        if let Some(entry) = self.get_mut(name)
            && serving.age(now) > entry.serving_since.age(now)
        {
            entry.serving_since = serving;
        }
        self.advertise(name, origin, config, now);
    }

    /// Records the origin of the newest report of `name` and advertises its load to peers.
    pub(super) fn advertise(
        &mut self,
        name: &BackendName,
        origin: Origin,
        config: &BackendConfig,
        now: MonotonicTime,
    ) {
        self.version += 1;
        let version = self.version;
        if let Some(entry) = self.get_mut(name) {
            entry.origin = if origin == Origin::Sync { entry.origin } else { origin };
            entry.advertise(config, version, now);
        }
    }

    /// Rebuilds the index entries of `name` after a change of membership.
    pub(super) fn index(&mut self, name: &BackendName) {
        self.generation += 1;
        self.remove_from_indexes(name);
        let Some(slot) = self.by_name.get(name).copied() else { return };
        let Some(entry) = &self.slots[slot] else { return };
        self.by_id.entry(entry.id).or_insert_with(|| name.clone());
        let Some(profile) = entry.record.profile() else { return };
        for model in &profile.models {
            self.by_model.entry(model.clone()).or_default().insert(name.clone(), slot);
        }
        for service in &profile.services {
            self.by_service.entry(service.clone()).or_default().insert(name.clone(), slot);
        }
    }

    fn remove_from_indexes(&mut self, name: &BackendName) {
        self.by_id.retain(|_, indexed| indexed != name);
        self.by_model.retain(|_, slots| {
            slots.remove(name);
            !slots.is_empty()
        });
        self.by_service.retain(|_, slots| {
            slots.remove(name);
            !slots.is_empty()
        });
    }

    pub(super) fn remove(&mut self, name: &BackendName) {
        self.generation += 1;
        self.remove_from_indexes(name);
        if let Some(slot) = self.by_name.remove(name) {
            self.slots[slot] = None;
            self.free.push(slot);
        }
    }

    /// Returns the followed entries that serve `target`, ordered by name.
    pub(super) fn serving(&self, target: BackendTarget<'_>) -> impl Iterator<Item = &BackendEntry> {
        let slots = match target {
            BackendTarget::Model(model) => self.by_model.get(model),
            BackendTarget::Service(service) => self.by_service.get(service),
        };
        let slots = slots.into_iter().flat_map(BTreeMap::values);
        slots.filter_map(|slot| self.slots[*slot].as_ref()).filter(|entry| entry.is_followed())
    }

    /// Follows exactly `names` from now on.
    pub(super) fn follow(&mut self, names: &BTreeSet<BackendName>, now: MonotonicTime) {
        for entry in self.slots.iter_mut().flatten() {
            entry.follow(names.contains(entry.name()), now);
        }
    }
}
