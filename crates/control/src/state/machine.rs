//! The state machine to which every member applies the log.

use {
    super::{group_table::GroupTable, outcomes::OutcomeTable},
    crate::{
        change::{
            AcceptedChange, ChangeConflict, ChangeOutcome, ChangeRefusal, ChangeRequest,
            ConfigChange, ConfigOutcome, DocumentVersion, IdentifiedChange,
        },
        entry::{Command, LogEntry, LogIndex},
        groups::GroupRecord,
        traffic::TrafficRecord,
    },
    bytes::Bytes,
    gullglade_units::{CodecError, RegionName, ServiceName, WallMillis, decode, encode},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        rc::Rc,
    },
};

/// The number of accepted changes kept as history: four days at 4,900 changes a day.
const MAX_HISTORY: usize = 20_000;

/// The current state of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The change that created this state.
    pub change: AcceptedChange,
    /// The text of the document, or `None` if the service was removed. A removed service keeps its
    /// record, so that replicas learn of the removal and its version numbers are not reused.
    pub text: Option<Rc<str>>,
}

impl ServiceRecord {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn size_hint(&self) -> usize {
        const OVERHEAD_BYTES: usize = 128;
        OVERHEAD_BYTES + self.text.as_ref().map_or(0, |text| text.len())
    }
}

/// All documents, claim groups, outcomes and history at one index of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    data: StateData,
    traffic: TrafficRecord,
    by_index: BTreeMap<LogIndex, ServiceName>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StateData {
    applied: LogIndex,
    wall: WallMillis,
    services: BTreeMap<ServiceName, ServiceRecord>,
    outcomes: OutcomeTable,
    history: VecDeque<AcceptedChange>,
    groups: GroupTable,
}

impl ConfigState {
    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.data.applied
    }

    /// Returns the wall time of the last applied entry.
    pub fn wall(&self) -> WallMillis {
        self.data.wall
    }

    /// Returns the current state of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.data.services.get(name)
    }

    /// Returns all services, including removed ones.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.data.services.values()
    }

    /// Returns the services changed after `index`, ordered by the index of their last change.
    pub fn changed_after(&self, index: LogIndex) -> impl Iterator<Item = &ServiceRecord> {
        self.by_index.range(index.next()..).filter_map(|(_, name)| self.data.services.get(name))
    }

    /// Returns the retained history of accepted changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.data.history.iter()
    }

    /// Returns the claim group of `region`.
    pub fn group(&self, region: &RegionName) -> Option<&GroupRecord> {
        self.data.groups.get(region)
    }

    /// Returns all claim groups, ordered by region.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.data.groups.iter()
    }

    /// Returns the retained history of claim group epochs, oldest first.
    pub fn group_history(&self) -> impl DoubleEndedIterator<Item = &GroupRecord> {
        self.data.groups.history()
    }

    /// Applies the next entry. Returns the outcome if the entry carries a change.
    ///
    /// # Panics
    /// Panics if `entry` does not directly follow the last applied entry.
    pub fn apply(&mut self, entry: &LogEntry) -> Option<Result<ConfigOutcome, ChangeRefusal>> {
        assert_eq!(entry.index, self.data.applied.next(), "entries are applied in order");
        self.data.applied = entry.index;
        self.data.wall = entry.wall;
        let change = match &entry.command {
            Command::Change(request) => ConfigChange::Service(request.clone()),
            Command::ClaimGroup(request) => ConfigChange::ClaimGroup(request.clone()),
            Command::Traffic(change) => {
                let outcome = self.traffic.apply(change, entry.index);
                return Some(Ok(ConfigOutcome::Traffic(outcome)));
            }
            Command::Noop | Command::Membership(_) => return None,
        };
        let change = change.identified()?;
        Some(self.decide(change, entry))
    }

    /// Returns the recorded outcome of a change that was decided before, or the refusal of its id.
    pub(crate) fn recorded_outcome(
        &self,
        change: &ConfigChange,
    ) -> Option<Result<ConfigOutcome, ChangeRefusal>> {
        self.data.outcomes.recorded_outcome(change.identified()?)
    }

    /// Returns the current traffic configuration.
    pub fn traffic(&self) -> &TrafficRecord {
        &self.traffic
    }

    fn decide(
        &mut self,
        change: IdentifiedChange<'_>,
        entry: &LogEntry,
    ) -> Result<ConfigOutcome, ChangeRefusal> {
        if let Some(recorded) = self.data.outcomes.recorded_outcome(change) {
            return recorded;
        }
        let outcome = match change {
            IdentifiedChange::Service(request) => {
                ConfigOutcome::Service(self.decide_service(request, entry))
            }
            IdentifiedChange::ClaimGroup(request) => {
                ConfigOutcome::ClaimGroup(self.data.groups.decide(request, entry))
            }
        };
        self.data.outcomes.record(change, outcome.clone(), entry.wall);
        Ok(outcome)
    }

    fn decide_service(&mut self, request: &ChangeRequest, entry: &LogEntry) -> ChangeOutcome {
        let version = self.version(&request.service);
        if version == request.base {
            return ChangeOutcome::Accepted(self.accept(request, entry));
        }
        let winner = self.service(&request.service).map(|s| s.change.clone());
        ChangeOutcome::Conflict(ChangeConflict { base: request.base, version, winner })
    }

    fn version(&self, service: &ServiceName) -> DocumentVersion {
        self.service(service).map_or(0, |s| s.change.version)
    }

    fn accept(&mut self, request: &ChangeRequest, entry: &LogEntry) -> AcceptedChange {
        let change = AcceptedChange {
            id: request.id.clone(),
            author: request.author.clone(),
            service: request.service.clone(),
            version: request.base + 1,
            index: entry.index,
            wall: entry.wall,
        };
        let record = ServiceRecord { change: change.clone(), text: request.text.clone() };
        let old = self.data.services.insert(request.service.clone(), record);
        if let Some(old) = old {
            self.by_index.remove(&old.change.index);
        }
        self.by_index.insert(entry.index, request.service.clone());
        self.data.history.push_back(change.clone());
        if self.data.history.len() > MAX_HISTORY {
            self.data.history.pop_front();
        }
        change
    }

    /// Encodes the state.
    pub fn image(&self) -> Bytes {
        Bytes::from(encode(&(&self.data, &self.traffic)))
    }

    /// Decodes a state from an image.
    pub fn from_image(image: &[u8]) -> Result<Self, CodecError> {
        let (data, traffic): (StateData, _) = match decode(image) {
            Ok(parts) => parts,
            // An image of folder format 2 contains no traffic configuration.
            Err(_) => (decode(image)?, TrafficRecord::default()),
        };
        let index = |s: &ServiceRecord| (s.change.index, s.change.service.clone());
        let by_index = data.services.values().map(index).collect();
        Ok(Self { data, traffic, by_index })
    }
}
