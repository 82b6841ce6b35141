//! The in-memory part of the log: the entries after the snapshot.

use {
    crate::entry::{Command, LogEntry, LogIndex, Membership, Term},
    gullglade_units::WallMillis,
    std::{collections::VecDeque, rc::Rc},
};

/// The entries after a snapshot, and the memberships in force among them.
#[derive(Debug, Default)]
pub(crate) struct LogTail {
    base: LogIndex,
    base_term: Term,
    base_membership: Option<Rc<Membership>>,
    entries: VecDeque<LogEntry>,
    memberships: Vec<(LogIndex, Rc<Membership>)>,
    bytes: u64,
}

impl LogTail {
    pub(crate) fn new(base: LogIndex, base_term: Term, membership: Option<Membership>) -> Self {
        let base_membership = membership.map(Rc::new);
        Self { base, base_term, base_membership, ..Self::default() }
    }

    /// Returns the last index included in the snapshot.
    pub(crate) fn base(&self) -> LogIndex {
        self.base
    }

    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the wall time of the last entry, or `None` if that entry is in the snapshot.
    pub(crate) fn last_wall(&self) -> Option<WallMillis> {
        self.entries.back().map(|e| e.wall)
    }

    /// Returns the approximate size of the entries, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the term of the entry at `index`, or `None` if the log does not contain it.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base { Some(self.base_term) } else { self.get(index).map(|e| e.term) }
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries from `index` on.
    pub(crate) fn entries_from(&self, index: LogIndex) -> impl Iterator<Item = &LogEntry> {
        let offset = index.0.saturating_sub(self.base.0 + 1) as usize;
        self.entries.range(offset.min(self.entries.len())..)
    }

    /// Stores an entry at its index and discards all entries from that index on.
    pub(crate) fn put(&mut self, entry: LogEntry) {
        let offset = (entry.index.0 - self.base.0 - 1) as usize;
        for replaced in self.entries.drain(offset..) {
            self.bytes -= replaced.size_hint() as u64;
        }
        self.bytes += entry.size_hint() as u64;
        self.memberships.retain(|(index, _)| *index < entry.index);
        if let Command::Membership(membership) = &entry.command {
            self.memberships.push((entry.index, Rc::new(membership.clone())));
        }
        self.entries.push_back(entry);
    }

    /// Discards the entries up to `index`, which a snapshot now includes.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.base_membership = self.membership_at(index).cloned();
        self.memberships.retain(|(at, _)| *at > index);
        for entry in self.entries.drain(..(index.0 - self.base.0) as usize) {
            self.bytes -= entry.size_hint() as u64;
        }
        self.base = index;
        self.base_term = term;
    }

    /// Returns the membership in force: the last one in the log, committed or not.
    pub(crate) fn membership(&self) -> Option<&Rc<Membership>> {
        self.membership_at(self.last())
    }

    /// Returns the index of the membership in force, or that of the snapshot if it is older.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(self.base, |(index, _)| *index)
    }

    /// Returns the membership in force at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> Option<&Rc<Membership>> {
        let found = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, membership)| membership).or(self.base_membership.as_ref())
    }
}
