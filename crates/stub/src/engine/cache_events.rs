//! What an engine tells about its cache: late, and with gaps.

use {
    crate::engine::prefix::CacheChange,
    gullglade_backend::{CacheEvent, CacheEvents},
    gullglade_units::{MonotonicTime, RandomSource},
    std::{collections::VecDeque, time::Duration},
};

/// Events kept for readers; older ones are a gap to whoever asks later.
const KEPT_EVENTS: usize = 16_384;

#[derive(Debug)]
struct JournalEntry {
    at: MonotonicTime,
    number: u64,
    event: CacheEvent,
}

/// Keeps events back for a delay and loses some.
#[derive(Debug)]
pub(super) struct CacheJournal {
    delay: Duration,
    loss: f64,
    next: u64,
    entries: VecDeque<JournalEntry>,
}

impl CacheJournal {
    /// Events are shown `delay` late; a share `loss` (0 to 1) of the changes is never shown, but
    /// counted, so that it leaves a gap in the numbers.
    pub(super) fn new(delay: Duration, loss: f64) -> Self {
        Self { delay, loss, next: 0, entries: VecDeque::new() }
    }

    /// Notes a change of the cache.
    pub(super) fn record(
        &mut self,
        now: MonotonicTime,
        change: &CacheChange,
        random: &dyn RandomSource,
    ) {
        let evicted = change.evicted.iter().map(|hash| CacheEvent::Evicted(*hash));
        let stored = change.stored.iter().map(|hash| CacheEvent::Stored(*hash));
        if random.unit() < self.loss {
            self.next += (change.evicted.len() + change.stored.len()) as u64;
            return;
        }
        evicted.chain(stored).for_each(|event| self.push(now, event));
    }

    /// Notes that the cache is empty now.
    pub(super) fn record_cleared(&mut self, now: MonotonicTime) {
        self.push(now, CacheEvent::Cleared);
    }

    /// The next unbroken run of at most `limit` events from number `since` on that may be seen at
    /// `now`.
    pub(super) fn run_from(
        &self,
        now: MonotonicTime,
        since: u64,
        limit: usize,
    ) -> Option<CacheEvents> {
        let start = self.entries.partition_point(|entry| entry.number < since);
        let first = self.entries.get(start)?.number;
        let seen = |entry: &&JournalEntry| now.since(entry.at) >= self.delay;
        let events: Vec<_> = self
            .entries
            .range(start..)
            .take(limit)
            .zip(first..)
            .take_while(|(entry, number)| entry.number == *number && seen(entry))
            .map(|(entry, _)| entry.event)
            .collect();
        (!events.is_empty()).then_some(CacheEvents { first, events })
    }

    fn push(&mut self, at: MonotonicTime, event: CacheEvent) {
        if self.entries.len() == KEPT_EVENTS {
            self.entries.pop_front();
        }
        self.entries.push_back(JournalEntry { at, number: self.next, event });
        self.next += 1;
    }
}
