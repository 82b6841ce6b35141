//! Shares the processor between connections that send much and all others.
//!
//! A byte may cost little or much, so what counts is the time that it took. Connections that send
//! more than a turn's worth wait for turns in one lane, and each turn is followed by a pause as long
//! as the turn was: together they take half of the processor at most.

use {
    gullglade_units::MonotonicTime,
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Shortest time between two turns.
const MIN_TURN: Duration = Duration::from_micros(100);

/// A turn is charged this many times what it took.
const CHARGE_FACTOR: u32 = 2;

/// The lane that all listeners of a process share. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct WorkLane {
    free_at: Rc<Cell<MonotonicTime>>,
}

impl WorkLane {
    /// Books the next turn at `now`, and returns how long to wait for it.
    pub fn book(&self, now: MonotonicTime) -> Duration {
        let start = self.free_at.get().max(now);
        self.free_at.set(start + MIN_TURN);
        start.since(now)
    }

    /// Charges a turn that took `elapsed` until `now`.
    pub fn charge(&self, elapsed: Duration, now: MonotonicTime) {
        self.free_at.set(self.free_at.get().max(now) + elapsed * (CHARGE_FACTOR - 1));
    }
}
