//! A notification primitive that wakes the tasks waiting for a condition.

use std::{cell::RefCell, task::Waker};

/// The wakers of the waiting tasks. Each task checks its condition again when it is woken.
#[derive(Debug, Default)]
pub(crate) struct WakeSignal {
    wakers: RefCell<Vec<Waker>>,
}

impl WakeSignal {
    /// Registers `waker` to be woken by the next [`notify`](Self::notify).
    pub(crate) fn register(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|w| w.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }

    /// Wakes every registered task.
    pub(crate) fn notify(&self) {
        let wakers = self.wakers.take();
        wakers.into_iter().for_each(Waker::wake);
    }
}
