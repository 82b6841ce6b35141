//! One-shot broadcast signal for the tasks of a thread.

use futures::{
    channel::oneshot,
    future::{FutureExt, Shared},
};

/// Sender of a signal. Dropping it raises the signal too.
pub(crate) struct SignalSource {
    sender: oneshot::Sender<()>,
}

/// Receiver of a signal. Stays raised once raised.
#[derive(Clone)]
pub(crate) struct Signal {
    receiver: Shared<oneshot::Receiver<()>>,
}

/// Creates a signal and its source.
pub(crate) fn signal() -> (SignalSource, Signal) {
    let (sender, receiver) = oneshot::channel();
    (SignalSource { sender }, Signal { receiver: receiver.shared() })
}

impl SignalSource {
    /// Raises the signal.
    pub(crate) fn raise(self) {
        let _ = self.sender.send(());
    }
}

impl Signal {
    /// Completes once the signal is raised.
    pub(crate) async fn raised(&self) {
        let _ = self.receiver.clone().await;
    }
}
