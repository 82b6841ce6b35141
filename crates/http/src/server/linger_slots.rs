//! Bounds the number of connections that linger after their last reply.

use std::{cell::Cell, rc::Rc};

/// The most connections that linger at once. Each holds what its caller still sends, so a crowd whose
/// bodies are refused would fill the memory with them; the next ones are closed at once.
const LINGER_LIMIT: usize = 64;

/// Counts lingering connections. Clones share the count.
#[derive(Clone, Default)]
pub(crate) struct LingerSlots(Rc<Cell<usize>>);

/// One lingering connection; uncounted on drop.
pub(crate) struct LingerSlot(LingerSlots);

impl LingerSlots {
    /// Counts a connection; `None` if too many linger.
    pub(crate) fn take(&self) -> Option<LingerSlot> {
        let count = self.0.get();
        (count < LINGER_LIMIT).then(|| {
            self.0.set(count + 1);
            LingerSlot(self.clone())
        })
    }
}

impl Drop for LingerSlot {
    fn drop(&mut self) {
        let slots = &self.0.0;
        slots.set(slots.get() - 1);
    }
}
