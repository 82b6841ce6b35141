//! Sends to backend servers that may still be taken back.

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

/// The sends that have not ended, by the run that they go to.
#[derive(Default)]
pub(crate) struct PendingSends {
    sends: RefCell<BTreeMap<SendKey, (SendPermit, oneshot::Sender<()>)>>,
    next_number: Cell<u64>,
}

/// One send. Dropped, it has ended.
pub(crate) struct PendingSend {
    table: Rc<PendingSends>,
    key: SendKey,
    pub(crate) permit: SendPermit,
    /// Told when the send is taken back.
    pub(crate) revoked: oneshot::Receiver<()>,
}

impl PendingSends {
    /// Begins a send to `run`.
    pub(crate) fn begin(self: &Rc<Self>, run: &BackendRun) -> PendingSend {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (run.clone(), number);
        let (revoke_sender, revoked) = oneshot::channel();
        let permit = SendPermit::default();
        self.sends.borrow_mut().insert(key.clone(), (permit.clone(), revoke_sender));
        PendingSend { table: Rc::clone(self), key, permit, revoked }
    }

    /// Takes back what has no connection yet, for a run that wants nothing more.
    pub(crate) fn revoke(&self, run: &BackendRun) {
        let all = (run.clone(), 0)..=(run.clone(), u64::MAX);
        let mut sends = self.sends.borrow_mut();
        let keys: Vec<SendKey> = sends.range(all).map(|(key, _)| key.clone()).collect();
        for key in keys {
            let send = sends.remove(&key).filter(|(permit, _)| permit.revoke());
            if let Some((_, revoke_sender)) = send {
                // Nobody waits any more where the caller has just left.
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
