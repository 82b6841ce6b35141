//! Wakes tasks that wait for a condition.

use {futures::channel::oneshot, std::cell::RefCell};

/// Broadcast notification without memory: wakes all current waiters and is lost for later ones. A
/// waiter must therefore call [`notified`](Self::notified) and check its condition without an await
/// in between.
#[derive(Default)]
pub(crate) struct Notifier {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notifier {
    pub(crate) fn notify_all(&self) {
        for waiter in self.waiters.take() {
            // Sending fails only if the waiter was dropped.
            let _ = waiter.send(());
        }
    }

    /// Completes at the next call of [`notify_all`](Self::notify_all).
    pub(crate) fn notified(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        receiver
    }
}
