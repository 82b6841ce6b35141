//! The share of one gateway in a fleet-wide allowance.
//!
//! The load pattern: a limit holds for all gateways together in every window, while gateways are
//! killed, restart and lose contact with each other. They do not coordinate; the share of each
//! depends only on what it has learned of the fleet.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// The number of parts into which fleet-wide allowances are divided, as known to one run of a
/// gateway.
///
/// The shares of all runs never exceed the whole in any window, because:
///
/// - The number of parts never decreases during a run. A gateway that disappeared may be
///   partitioned off, or may have used its share a moment ago.
/// - A run uses nothing for a window after it first learned of the fleet. The previous run on the
///   same VM may have used that share, and control processes that have just started report few
///   gateways.
/// - Each region uses at most its part of the whole, however little it knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceShare {
    regions: usize,
    parts: usize,
    /// When the number of gateways was first received.
    known_since: Option<MonotonicTime>,
}

impl AllowanceShare {
    /// Creates the share of a run that knows no other gateways, in a deployment of `regions`
    /// regions.
    pub fn new(regions: usize) -> Self {
        Self { regions: regions.max(1), parts: 1, known_since: None }
    }

    /// Records the number of gateways in this region.
    pub fn note_region(&mut self, gateways: usize) {
        self.parts = self.parts.max(gateways * self.regions);
    }

    /// Records the number of gateways in all regions. Zero means that it is not known yet.
    pub fn note_total(&mut self, gateways: usize, now: MonotonicTime) {
        self.parts = self.parts.max(gateways);
        if gateways > 0 {
            self.known_since.get_or_insert(now);
        }
    }

    /// Returns the number of parts.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// Returns whether the fleet has been known for at least `time`.
    pub fn is_known_for(&self, time: Duration, now: MonotonicTime) -> bool {
        self.known_since.is_some_and(|since| now.since(since) >= time)
    }

    /// Returns when the fleet will have been known for `time`, or `None` if it is not known.
    pub fn known_at(&self, time: Duration) -> Option<MonotonicTime> {
        self.known_since.map(|since| since + time)
    }

    /// Returns the share of this gateway in an allowance of `whole` per `window`.
    pub fn part(&self, whole: f64, window: Duration, now: MonotonicTime) -> f64 {
        if self.is_known_for(window, now) { whole / self.parts as f64 } else { 0.0 }
    }
}
