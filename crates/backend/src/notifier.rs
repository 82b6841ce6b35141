//! Wakes the tasks that wait for news.

use {futures::channel::oneshot, std::cell::RefCell};

/// Wakes all who wait at the moment; remembers nothing for those who come later, so a waiter
/// checks its condition after it has begun to wait or before, without an await between.
#[derive(Default)]
pub(crate) struct Notifier {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notifier {
    pub(crate) fn notify_all(&self) {
        for waiter in self.waiters.take() {
            // A waiter that gave up has dropped its end.
            let _ = waiter.send(());
        }
    }

    /// Completes at the next ring.
    pub(crate) fn notified(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }
}
