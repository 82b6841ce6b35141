//! In-memory log of membership changes that are to be propagated to peers.

use {
    gullglade_units::{BackendName, VmName},
    std::{cell::RefCell, collections::VecDeque},
};

/// Maximum number of retained changes. A peer that is further behind recovers the rest by
/// anti-entropy.
const LOG_LIMIT: usize = 4_096;

/// Source from which this gateway received an update. Determines the peers to which the update is
/// forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// Received from the backend server or region itself, or produced by this gateway. Forwarded to
    /// all peers of the relay plan.
    Direct,
    /// Received from a gateway of the same row. Forwarded to other rows.
    Row,
    /// Received from a gateway of another row. Not forwarded.
    OtherRow,
    /// Received by anti-entropy sync. Does not replace the origin recorded for later updates.
    Sync,
}

/// Subject of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ChangedKey {
    Backend(BackendName),
    Gateway(VmName),
}

#[derive(Clone, Debug)]
pub(crate) struct LoggedChange {
    pub(crate) key: ChangedKey,
    pub(crate) origin: Origin,
    /// Propagated immediately and redundantly: a backend server no longer takes requests, or a
    /// gateway has joined, left or changed its state.
    pub(crate) urgent: bool,
}

/// Bounded log of changes with consecutive numbers.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    changes: RefCell<VecDeque<LoggedChange>>,
    dropped: std::cell::Cell<u64>,
}

impl ChangeLog {
    pub(crate) fn push(&self, change: LoggedChange) {
        let mut changes = self.changes.borrow_mut();
        if changes.len() == LOG_LIMIT {
            changes.pop_front();
            self.dropped.set(self.dropped.get() + 1);
        }
        changes.push_back(change);
    }

    /// Returns the number of the next change.
    pub(crate) fn end(&self) -> u64 {
        let length = u64::try_from(self.changes.borrow().len()).unwrap_or(u64::MAX);
        self.dropped.get().saturating_add(length)
    }

    /// Returns the retained changes from number `start` on.
    pub(crate) fn since(&self, start: u64) -> Vec<LoggedChange> {
        let skip = start.saturating_sub(self.dropped.get());
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.changes.borrow().iter().skip(skip).cloned().collect()
    }
}
