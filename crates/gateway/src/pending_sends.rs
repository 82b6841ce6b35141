//! Sends to backend servers that can still be revoked.

use {
    futures::channel::oneshot,
    gullglade_http::SendPermit,
    gullglade_units::BackendRun,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
};

type SendKey = (BackendRun, u64);

/// The sends in progress, by the backend run that they go to.
#[derive(Default)]
pub(crate) struct PendingSends {
    sends: RefCell<BTreeMap<SendKey, (SendPermit, oneshot::Sender<()>)>>,
    next_number: Cell<u64>,
}

/// A send in progress. It is removed from the table on drop.
pub(crate) struct PendingSend {
    table: Rc<PendingSends>,
    key: SendKey,
    pub(crate) permit: SendPermit,
    /// Completes when the send is revoked.
    pub(crate) revoked: oneshot::Receiver<()>,
}

impl PendingSends {
    /// Registers a send to `run`.
    pub(crate) fn begin(self: &Rc<Self>, run: &BackendRun) -> PendingSend {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (run.clone(), number);
        let (revoke_sender, revoked) = oneshot::channel();
        let permit = SendPermit::default();
        self.sends.borrow_mut().insert(key.clone(), (permit.clone(), revoke_sender));
        PendingSend { table: Rc::clone(self), key, permit, revoked }
    }

    /// Revokes the sends to `run` that have no connection yet, after the run has asked for no more
    /// requests.
    pub(crate) fn revoke(&self, run: &BackendRun) {
        let all = (run.clone(), 0)..=(run.clone(), u64::MAX);
        let mut sends = self.sends.borrow_mut();
        let keys: Vec<SendKey> = sends.range(all).map(|(key, _)| key.clone()).collect();
        for key in keys {
            let send = sends.remove(&key).filter(|(permit, _)| permit.revoke());
            if let Some((_, revoke_sender)) = send {
                // The receiver is gone if the caller has disconnected.
                let _: Result<(), ()> = revoke_sender.send(());
            }
        }
    }
}

impl Drop for PendingSend {
    fn drop(&mut self) {
        self.table.sends.borrow_mut().remove(&self.key);
    }
}
