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
pub(crate) struct OpenSends {
    sends: RefCell<BTreeMap<SendKey, (SendPermit, oneshot::Sender<()>)>>,
    next_number: Cell<u64>,
}

/// One send. Dropped, it has ended.
pub(crate) struct OpenSend {
    table: Rc<OpenSends>,
    key: SendKey,
    pub(crate) permit: SendPermit,
    /// Told when the send is taken back.
    pub(crate) revoked: oneshot::Receiver<()>,
}

impl OpenSends {
    /// Begins a send to `run`.
    pub(crate) fn begin(self: &Rc<Self>, run: &BackendRun) -> OpenSend {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (run.clone(), number);
        let (told, revoked) = oneshot::channel();
        let permit = SendPermit::default();
        self.sends.borrow_mut().insert(key.clone(), (permit.clone(), told));
        OpenSend { table: Rc::clone(self), key, permit, revoked }
    }

    /// Takes back what has no connection yet, for a run that wants nothing more.
    pub(crate) fn revoke(&self, run: &BackendRun) {
        let all = (run.clone(), 0)..=(run.clone(), u64::MAX);
        let mut sends = self.sends.borrow_mut();
        let keys: Vec<SendKey> = sends.range(all).map(|(key, _)| key.clone()).collect();
        for key in keys {
            let send = sends.remove(&key).filter(|(permit, _)| permit.revoke());
            if let Some((_, told)) = send {
                // Nobody waits any more where the caller has just left.
                let _: Result<(), ()> = told.send(());
            }
        }
    }
}

impl Drop for OpenSend {
    fn drop(&mut self) {
        self.table.sends.borrow_mut().remove(&self.key);
    }
}
