//! A checker of what the operators and processes of a run have observed.

use {
    gullglade_control::{
        AcceptedChange, ChangeConflict, ChangeError, ChangeOutcome, ChangeRequest, ConfigState,
        LogIndex,
    },
    gullglade_units::{ChangeId, MonotonicTime, ServiceName},
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of recent changes of each process that are compared in each check.
const RECENT_CHANGES: usize = 12;

/// Checks a run while it is in progress. Panics if a guarantee is violated.
#[derive(Default)]
pub struct HistoryChecker {
    /// The first outcome received for each change.
    outcomes: BTreeMap<ChangeId, ChangeOutcome>,
    /// The change at each version that any operator or process has observed.
    winners: BTreeMap<(ServiceName, u64), AcceptedChange>,
    /// The change at each index.
    ids: BTreeMap<LogIndex, ChangeId>,
    /// The changes for which every reply reported that they were not run.
    not_run: BTreeSet<ChangeId>,
    /// The changes for which some reply left the outcome unknown.
    unknown: BTreeSet<ChangeId>,
    /// The time at which an operator first learned that everything up to an index was accepted.
    acknowledged: BTreeMap<LogIndex, MonotonicTime>,
    /// The highest index observed in each process.
    highest: BTreeMap<String, LogIndex>,
}

impl HistoryChecker {
    /// Records a reply to an operator.
    pub fn record_reply(
        &mut self,
        request: &ChangeRequest,
        reply: &Result<ChangeOutcome, ChangeError>,
    ) {
        match reply {
            Ok(outcome) => self.record_outcome(request, outcome),
            Err(ChangeError::NoLeader | ChangeError::Overloaded { .. }) => {
                if !self.unknown.contains(&request.id) && !self.outcomes.contains_key(&request.id) {
                    self.not_run.insert(request.id.clone());
                }
            }
            Err(_) => self.record_unknown(&request.id),
        }
    }

    /// Records that an operator sends a change, which may run until a reply says otherwise.
    pub fn record_send(&mut self, request: &ChangeRequest) {
        self.not_run.remove(&request.id);
    }

    /// Records that no reply arrived.
    pub fn record_unknown(&mut self, id: &ChangeId) {
        self.not_run.remove(id);
        self.unknown.insert(id.clone());
    }

    fn record_outcome(&mut self, request: &ChangeRequest, outcome: &ChangeOutcome) {
        self.record_unknown(&request.id);
        let first = self.outcomes.entry(request.id.clone()).or_insert_with(|| outcome.clone());
        assert_eq!(first, outcome, "a resend of {} received another outcome", request.id);
        match outcome {
            ChangeOutcome::Accepted(change) => {
                assert_eq!((change.version, &change.id), (request.base + 1, &request.id));
                self.observe(change);
            }
            ChangeOutcome::Conflict(ChangeConflict { base, version, winner }) => {
                assert!(base != version, "conflict at the base version: {request:?}");
                winner.iter().for_each(|winner| self.observe(winner));
            }
        }
    }

    /// Records a change observed anywhere.
    fn observe(&mut self, change: &AcceptedChange) {
        assert!(!self.not_run.contains(&change.id), "{} was reported as not run", change.id);
        let id = self.ids.entry(change.index).or_insert_with(|| change.id.clone());
        assert_eq!(*id, change.id, "two changes at index {}", change.index.0);
        let key = (change.service.clone(), change.version);
        let winner = self.winners.entry(key).or_insert_with(|| change.clone());
        assert_eq!(winner, change, "two winners of {} {}", change.service, change.version);
    }

    /// Checks the applied state of a control process. `process` identifies one run of it.
    pub fn check_control(&mut self, process: &str, state: &ConfigState) {
        self.check_index(process, state.applied());
        state.history().rev().take(RECENT_CHANGES).for_each(|change| self.observe(change));
    }

    /// Checks the configuration in force on a gateway: its services and their changes.
    pub fn check_gateway(&mut self, process: &str, applied: LogIndex, changes: &[AcceptedChange]) {
        self.check_index(process, applied);
        for change in changes {
            self.observe(change);
            assert!(change.index <= applied, "{process} is ahead of its index");
        }
    }

    /// Records that an operator learned that the change at `index` is accepted.
    pub fn acknowledged(&mut self, index: LogIndex, now: MonotonicTime) {
        self.acknowledged.entry(index).or_insert(now);
    }

    /// Checks a control process's claim that at `confirmed` its state included every accepted
    /// change.
    pub fn check_confirmed(&self, process: &str, applied: LogIndex, confirmed: MonotonicTime) {
        for (index, acknowledged_at) in self.acknowledged.range(applied.next()..) {
            assert!(
                *acknowledged_at >= confirmed,
                "{process} has applied {} and reports that this was everything at {confirmed:?}, \
                 but {} was acknowledged at {acknowledged_at:?}",
                applied.0,
                index.0
            );
        }
    }

    fn check_index(&mut self, process: &str, applied: LogIndex) {
        let highest = self.highest.entry(process.to_owned()).or_default();
        assert!(applied >= *highest, "the index of {process} decreased");
        *highest = applied;
    }

    /// Checks the final state, after all faults are healed and a leader has confirmed it.
    pub fn check_final_state(&self, state: &ConfigState) {
        let kept: BTreeMap<_, _> = state.history().map(|c| (c.id.clone(), c)).collect();
        for change in self.winners.values() {
            assert_eq!(kept.get(&change.id), Some(&change), "{} is lost", change.id);
        }
        for change in state.history() {
            assert!(!self.not_run.contains(&change.id), "{} was reported as not run", change.id);
        }
        for record in state.services() {
            let own = state.history().filter(|c| c.service == record.change.service);
            let versions: Vec<_> = own.map(|c| c.version).collect();
            let expected: Vec<_> = (1..=record.change.version).collect();
            assert_eq!(versions, expected, "versions of {}", record.change.service);
        }
    }

    /// Returns the number of changes that operators know to be accepted.
    pub fn accepted(&self) -> usize {
        self.outcomes.values().filter(|o| matches!(o, ChangeOutcome::Accepted(_))).count()
    }
}
