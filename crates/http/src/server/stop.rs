//! Stopping a server: gracefully, or at once.

use {
    futures::{
        FutureExt,
        channel::oneshot,
        future::{Either, Shared, select},
    },
    std::{
        cell::RefCell,
        future::Future,
        pin::{Pin, pin},
        rc::Rc,
    },
};

/// A signal that is given once and that any number of tasks wait for.
#[derive(Clone)]
pub(crate) struct OnceSignal {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl OnceSignal {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self { sender: Rc::new(RefCell::new(Some(sender))), receiver: receiver.shared() }
    }

    /// Gives the signal; again is no different from once.
    pub(crate) fn give(&self) {
        // Dropping the sender completes the receiver.
        drop(self.sender.borrow_mut().take());
    }

    pub(crate) fn given(&self) -> bool {
        self.sender.borrow().is_none()
    }

    pub(crate) async fn wait(&self) {
        let _: Result<(), oneshot::Canceled> = self.receiver.clone().await;
    }

    /// Runs `future` until it completes or the signal is given.
    ///
    /// It is taken by reference because an `async fn` keeps room for its argument beside the
    /// place where it pins it, which would double the memory of every connection.
    pub(crate) async fn guard<F: Future>(&self, future: Pin<&mut F>) -> Option<F::Output> {
        match select(pin!(self.wait()), future).await {
            Either::Left(_) => None,
            Either::Right((output, _)) => Some(output),
        }
    }
}

/// Stops one [`HttpServer`](crate::HttpServer).
#[derive(Clone)]
pub struct StopHandle {
    pub(crate) retire: OnceSignal,
    pub(crate) stop: OnceSignal,
    pub(crate) abort: OnceSignal,
    pub(crate) finished: OnceSignal,
}

impl StopHandle {
    pub(crate) fn new() -> Self {
        Self {
            retire: OnceSignal::new(),
            stop: OnceSignal::new(),
            abort: OnceSignal::new(),
            finished: OnceSignal::new(),
        }
    }

    /// Serves on, new connections too, but asks callers with every reply to use another
    /// connection. Callers that still come here because they have not yet learned of another
    /// place are served, and leave by themselves.
    pub fn retire(&self) {
        self.retire.give();
    }

    /// Accepts no more connections, closes the idle ones, and lets requests in progress finish.
    pub fn stop(&self) {
        self.stop.give();
    }

    /// Drops all connections at once, as a kill of the process would.
    pub fn abort(&self) {
        self.abort.give();
        self.stop.give();
    }

    /// Whether [`stop`](Self::stop) or [`abort`](Self::abort) was called.
    pub fn stopping(&self) -> bool {
        self.stop.given()
    }

    /// Whether replies ask callers to use another connection.
    pub(crate) fn retiring(&self) -> bool {
        self.retire.given() || self.stop.given()
    }

    /// Completes when the last connection is closed.
    pub async fn finished(&self) {
        self.finished.wait().await;
    }
}
