//! A limit on the total memory of request bodies.
//!
//! Each body has its own limit, but a caller may open many connections: 20,000 connections with
//! bodies of 1 MiB would need 20 GB, more than a small VM has. The system would then kill the
//! process and all its requests. Refusing the requests that exceed the budget protects the others.

use std::{cell::Cell, fmt, rc::Rc};

/// The memory that is still available for request bodies.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    free: Rc<Cell<usize>>,
}

/// Bytes reserved from a budget until the last clone is dropped. Clones share the reservation.
#[derive(Clone, Default)]
pub(crate) struct MemoryReservation {
    reserved: Option<Rc<ReservedBytes>>,
}

struct ReservedBytes {
    free: Rc<Cell<usize>>,
    bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { free: Rc::new(Cell::new(bytes)) }
    }

    /// Reserves `bytes`. Returns `None` if fewer are available.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let remaining = self.free.get().checked_sub(bytes)?;
        self.free.set(remaining);
        let reserved = ReservedBytes { free: Rc::clone(&self.free), bytes };
        Some(MemoryReservation { reserved: Some(Rc::new(reserved)) })
    }
}

impl MemoryReservation {
    /// Reduces the reservation to `bytes`. Has no effect once the reservation has been cloned.
    pub(crate) fn shrink(mut self, bytes: usize) -> Self {
        if let Some(reserved) = self.reserved.as_mut().and_then(Rc::get_mut) {
            let excess = reserved.bytes.saturating_sub(bytes);
            reserved.bytes -= excess;
            reserved.free.set(reserved.free.get() + excess);
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
        write!(
            f,
            "MemoryShare({} bytes)",
            self.reserved.as_ref().map_or(0, |reserved| reserved.bytes)
        )
    }
}

#[cfg(test)]
mod tests;
