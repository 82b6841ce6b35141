//! What this gateway has to tell its peers, in the order in which it learned it.

use {
    gullglade_units::{BackendName, VmName},
    std::{cell::RefCell, collections::VecDeque},
};

/// Changes remembered. A peer that is further behind finds the rest by comparing digests.
const LOG_LIMIT: usize = 4_096;

/// Who told this gateway something; decides whom it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// The backend server or the caller itself: everybody has yet to hear.
    Direct,
    /// A member of the own row: the other rows have yet to hear.
    Row,
    /// A relay of another row: nobody waits to hear it from here.
    OtherRow,
    /// A sync. Says nothing of who tells it from now on.
    Sync,
}

/// Whose record changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ChangedKey {
    Backend(BackendName),
    Gateway(VmName),
}

#[derive(Clone, Debug)]
pub(crate) struct LoggedChange {
    pub(crate) key: ChangedKey,
    pub(crate) origin: Origin,
    /// To be told at once and by many ways: somebody stops taking work, or a gateway comes or goes.
    pub(crate) urgent: bool,
}

/// The changes, numbered without gaps.
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

    /// The number of the next change.
    pub(crate) fn end(&self) -> u64 {
        let length = u64::try_from(self.changes.borrow().len()).unwrap_or(u64::MAX);
        self.dropped.get().saturating_add(length)
    }

    /// The changes from number `start` on that are still remembered.
    pub(crate) fn since(&self, start: u64) -> Vec<LoggedChange> {
        let skip = start.saturating_sub(self.dropped.get());
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.changes.borrow().iter().skip(skip).cloned().collect()
    }
}
