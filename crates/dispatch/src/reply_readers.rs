//! Decides which replies are given up because their callers do not read them.
//!
//! The load pattern: callers ask for long replies and read nothing. Each reply that does not fit
//! into memory holds buffers here and a slot of a backend server until its caller reads, so a few
//! hundred such callers use up the memory, and all slots of a service.

use {
    gullglade_units::{MonotonicTime, ServiceName},
    std::{collections::BTreeMap, time::Duration},
};

/// A reply of which its caller has taken nothing for this time is given up if others lack its slot.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);

/// The same if the replies have used up their memory.
const UNREAD_LIMIT_WITHOUT_MEMORY: Duration = Duration::from_millis(100);

/// Identifies a reply among those that are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReaderId(u64);

struct ReplyReader {
    service: ServiceName,
    /// Since when the caller has not taken what it was offered.
    unread_since: Option<MonotonicTime>,
}

/// The replies that are relayed while they arrive, and how their callers read them.
pub struct ReplyReaders {
    readers: BTreeMap<ReaderId, ReplyReader>,
    /// Number of replies of which something offered has not been taken.
    unread: usize,
    limit: usize,
    next_id: u64,
}

impl ReplyReaders {
    /// Creates a table of replies; there is memory for `limit` unread ones.
    pub fn new(limit: usize) -> Self {
        Self { readers: BTreeMap::new(), unread: 0, limit, next_id: 0 }
    }

    /// Adds a reply of `service`.
    pub fn add(&mut self, service: ServiceName) -> ReaderId {
        let id = ReaderId(self.next_id);
        self.next_id += 1;
        self.readers.insert(id, ReplyReader { service, unread_since: None });
        id
    }

    /// Removes a reply that has ended or was given up.
    pub fn remove(&mut self, id: ReaderId) {
        self.note_taken(id);
        self.readers.remove(&id);
    }

    /// Notes that a piece was offered to the caller at `now`.
    pub fn note_offered(&mut self, id: ReaderId, now: MonotonicTime) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        if reader.unread_since.replace(now).is_none() {
            self.unread += 1;
        }
    }

    /// Notes that the caller has taken what it was offered.
    pub fn note_taken(&mut self, id: ReaderId) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        if reader.unread_since.take().is_some() {
            self.unread -= 1;
        }
    }

    /// Returns the replies to give up at `now` so that there is memory for the others, the one that
    /// is unread for the longest time first.
    pub fn over_memory(&self, now: MonotonicTime) -> Vec<ReaderId> {
        let excess = self.unread.saturating_sub(self.limit);
        if excess == 0 {
            return Vec::new();
        }
        let mut unread = self.unread_for(UNREAD_LIMIT_WITHOUT_MEMORY, |_| true, now);
        unread.truncate(excess);
        unread
    }

    /// Returns the replies to give up at `now` so that others get their slots, the one that is
    /// unread for the longest time first. `is_full` tells whether a service has no slot left.
    pub fn over_slots(
        &self,
        is_full: impl Fn(&ServiceName) -> bool,
        now: MonotonicTime,
    ) -> Vec<ReaderId> {
        self.unread_for(UNREAD_LIMIT, is_full, now)
    }

    fn unread_for(
        &self,
        limit: Duration,
        is_affected: impl Fn(&ServiceName) -> bool,
        now: MonotonicTime,
    ) -> Vec<ReaderId> {
        let unread = self.readers.iter().filter_map(|(id, reader)| {
            let since = reader.unread_since?;
            (now.since(since) >= limit && is_affected(&reader.service)).then_some((since, *id))
        });
        let mut unread: Vec<_> = unread.collect();
        unread.sort_unstable();
        unread.into_iter().map(|(_, id)| id).collect()
    }
}
