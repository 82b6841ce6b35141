//! A bound on the memory that request bodies take together.
//!
//! Each body has a limit of its own, and each caller may have many connections: 20,000 connections
//! with bodies of 1 MiB would need 20 GB on a small VM. It would be noticed when the system ends
//! the process, with every request in it. Refusing what does not fit keeps the rest.

use std::{cell::Cell, fmt, rc::Rc};

/// The bytes that may be held.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    free: Rc<Cell<usize>>,
}

/// Bytes taken out of a budget until it is dropped. A copy shares them.
#[derive(Clone, Default)]
pub(crate) struct MemoryReservation {
    held: Option<Rc<ReservedBytes>>,
}

struct ReservedBytes {
    free: Rc<Cell<usize>>,
    bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { free: Rc::new(Cell::new(bytes)) }
    }

    /// Takes `bytes`; `None` where fewer are free.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let left = self.free.get().checked_sub(bytes)?;
        self.free.set(left);
        let held = ReservedBytes { free: Rc::clone(&self.free), bytes };
        Some(MemoryReservation { held: Some(Rc::new(held)) })
    }
}

impl MemoryReservation {
    /// Gives back what a body did not need. To be called before the share is copied.
    pub(crate) fn shrink(mut self, bytes: usize) -> Self {
        if let Some(held) = self.held.as_mut().and_then(Rc::get_mut) {
            let spare = held.bytes.saturating_sub(bytes);
            held.bytes -= spare;
            held.free.set(held.free.get() + spare);
        }
        self
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.free.set(self.free.get() + self.bytes);
    }
}

impl fmt::Debug for MemoryReservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MemoryShare({} bytes)", self.held.as_ref().map_or(0, |held| held.bytes))
    }
}

#[cfg(test)]
mod tests;
