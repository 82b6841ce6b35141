//! The slots of an engine that requests of other gateways hold for long.
//!
//! The load pattern: a long stream holds its slot for seconds, while the part of the stated load
//! that is due to other gateways halves every 200 ms. An engine that is full of such streams looked
//! idle after half a second, and the next request preempted one of them. So a gateway tells the
//! others when it sends a request of a route that holds slots for long, and when that request ends.

use {
    gullglade_units::MonotonicTime,
    std::{collections::HashMap, time::Duration},
};

/// A request is forgotten after this time, as the gateway that sent it was killed or the hint of
/// its end was lost. It is well above the deadlines of long streams (10 to 12 s).
const MAX_AGE: Duration = Duration::from_secs(30);

/// A load report may not include requests that were sent this shortly before it.
const REPORT_MARGIN: Duration = Duration::from_millis(50);

/// The requests of other gateways that hold slots of one engine for long.
#[derive(Debug, Default)]
pub(crate) struct HeldSlots {
    sent: HashMap<u64, MonotonicTime>,
}

impl HeldSlots {
    pub(crate) fn add(&mut self, request: u64, sent: MonotonicTime, now: MonotonicTime) {
        self.sent.retain(|_, sent| now.since(*sent) < MAX_AGE);
        self.sent.insert(request, sent);
    }

    pub(crate) fn remove(&mut self, request: u64) {
        self.sent.remove(&request);
    }

    /// Returns the number of held slots.
    pub(crate) fn count(&self, now: MonotonicTime) -> usize {
        self.sent.values().filter(|sent| now.since(**sent) < MAX_AGE).count()
    }

    /// Applies the number of requests of other gateways that an engine stated at `stated_at`. The
    /// oldest requests beyond that number have ended without a hint.
    pub(crate) fn trim(&mut self, others: usize, stated_at: MonotonicTime) {
        let is_stated = |sent: MonotonicTime| sent + REPORT_MARGIN < stated_at;
        let mut known: Vec<(MonotonicTime, u64)> = self
            .sent
            .iter()
            .filter(|(_, sent)| is_stated(**sent))
            .map(|(request, sent)| (*sent, *request))
            .collect();
        known.sort_unstable();
        let excess = known.len().saturating_sub(others);
        for (_, request) in known.into_iter().take(excess) {
            self.sent.remove(&request);
        }
    }
}
