//! The part of a common allowance that one gateway may use.
//!
//! The load pattern: a bound holds for all gateways together, in every window, while gateways are
//! killed, start again, and lose sight of each other. They do not ask each other for leave; each
//! takes a part that depends only on what it has heard.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// How many parts an allowance of all gateways is divided into, as one run of a gateway knows.
///
/// The parts of all runs stay within the whole in any window, because:
///
/// - The number of parts never falls while a run lasts. A gateway that is no longer heard may be
///   behind a cut, or may have used its part a moment ago.
/// - A run takes nothing for a window after it first heard of the fleet. The run before it on the
///   same VM may have used that part, and the first answers of control processes that have just
///   started name few gateways.
/// - Each region takes at most its part of the whole, however little it hears of the others.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceShare {
    regions: usize,
    parts: usize,
    /// When the number of gateways was first told.
    known_since: Option<MonotonicTime>,
}

impl AllowanceShare {
    /// The share of a run that has heard of no other gateway yet, in a deployment of `regions`.
    pub fn new(regions: usize) -> Self {
        Self { regions: regions.max(1), parts: 1, known_since: None }
    }

    /// Takes the number of gateways of the own region.
    pub fn note_region(&mut self, gateways: usize) {
        self.parts = self.parts.max(gateways * self.regions);
    }

    /// Takes the number of gateways of all regions. None at all: nothing has been heard yet.
    pub fn note_total(&mut self, gateways: usize, now: MonotonicTime) {
        self.parts = self.parts.max(gateways);
        if gateways > 0 {
            self.known_since.get_or_insert(now);
        }
    }

    /// How many parts there are.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// Whether the fleet has been known for so long.
    pub fn is_known_for(&self, time: Duration, now: MonotonicTime) -> bool {
        self.known_since.is_some_and(|since| now.since(since) >= time)
    }

    /// When the fleet has been known for so long, where it is known.
    pub fn known_at(&self, time: Duration) -> Option<MonotonicTime> {
        self.known_since.map(|since| since + time)
    }

    /// The own part of an allowance of `whole` per `window`.
    pub fn part(&self, whole: f64, window: Duration, now: MonotonicTime) -> f64 {
        if self.is_known_for(window, now) { whole / self.parts as f64 } else { 0.0 }
    }
}
