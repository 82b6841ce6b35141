//! The current claim groups and the history of their changes.

use {
    crate::{
        entry::LogEntry,
        groups::{GroupConflict, GroupOutcome, GroupRecord, GroupRequest},
    },
    gullglade_units::RegionName,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The number of epochs kept as history. A group changes when a VM is replaced, a few times a year.
const MAX_HISTORY: usize = 1_000;

/// The claim group of each region. Epochs only increase, and groups are never removed: a region
/// without a group would forget the claims it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct GroupTable {
    groups: BTreeMap<RegionName, GroupRecord>,
    history: VecDeque<GroupRecord>,
}

impl GroupTable {
    pub(super) fn get(&self, region: &RegionName) -> Option<&GroupRecord> {
        self.groups.get(region)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &GroupRecord> {
        self.groups.values()
    }

    pub(super) fn history(&self) -> impl DoubleEndedIterator<Item = &GroupRecord> {
        self.history.iter()
    }

    /// Decides a change that has no recorded outcome.
    pub(super) fn decide(&mut self, request: &GroupRequest, entry: &LogEntry) -> GroupOutcome {
        let current = self.groups.get(&request.region);
        if current.map_or(0, |record| record.epoch) != request.base {
            let (region, base) = (request.region.clone(), request.base);
            let winner = current.cloned();
            return GroupOutcome::Conflict(GroupConflict { region, base, winner });
        }
        if let Err(refusal) = request.check_transition(current) {
            return GroupOutcome::Refused(refusal);
        }
        let record = request.record(current, entry.index, entry.wall);
        self.groups.insert(record.region.clone(), record.clone());
        self.history.push_back(record.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        GroupOutcome::Accepted(record)
    }
}
