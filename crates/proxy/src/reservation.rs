//! Places that this gateway reserved for gateways of other regions, and the runs begun there.

use {
    futures::channel::oneshot,
    std::{cell::RefCell, collections::HashMap, time::Duration},
};

/// What the calling gateway has said of a place.
enum ReservedPlace {
    /// Nothing yet. Told: the lease of the run, where it has one.
    Offered(oneshot::Sender<Option<Duration>>),
    /// The request was sent there. Told: that the run may go on after its lease.
    Leased(oneshot::Sender<()>),
    /// The run goes on.
    Kept,
}

/// All of them, by their numbers. Each word may come twice.
#[derive(Default)]
pub(crate) struct ReservationTable(RefCell<HashMap<u64, ReservedPlace>>);

/// A place that is offered. Dropped, its number means nothing any more.
pub(crate) struct ReservationGuard<'a> {
    table: &'a ReservationTable,
    token: u64,
}

impl ReservationTable {
    /// Offers a place under `token`. The receiver is told that it is to be used, and the lease.
    pub(crate) fn offer(
        &self,
        token: u64,
    ) -> (ReservationGuard<'_>, oneshot::Receiver<Option<Duration>>) {
        let (sender, used) = oneshot::channel();
        self.0.borrow_mut().insert(token, ReservedPlace::Offered(sender));
        (ReservationGuard { table: self, token }, used)
    }

    /// Has the place used, with a lease or for good; false where it is no longer reserved.
    pub(crate) fn commit(&self, token: u64, lease: Option<Duration>) -> bool {
        let mut places = self.0.borrow_mut();
        match places.remove(&token) {
            None => false,
            Some(ReservedPlace::Offered(sender)) => {
                let is_reserved = sender.send(lease).is_ok();
                if is_reserved {
                    places.insert(token, ReservedPlace::Kept);
                }
                is_reserved
            }
            Some(begun) => {
                places.insert(token, begun);
                true
            }
        }
    }

    /// Has a run go on after its lease; false where it has ended.
    pub(crate) fn keep(&self, token: u64) -> bool {
        let mut places = self.0.borrow_mut();
        match places.remove(&token) {
            None => false,
            Some(ReservedPlace::Leased(sender)) => {
                let is_running = sender.send(()).is_ok();
                if is_running {
                    places.insert(token, ReservedPlace::Kept);
                }
                is_running
            }
            Some(place) => {
                let is_kept = matches!(place, ReservedPlace::Kept);
                places.insert(token, place);
                is_kept
            }
        }
    }
}

impl ReservationGuard<'_> {
    /// The run begins with a lease; told when it may go on after that.
    pub(crate) fn begin_lease(&self) -> oneshot::Receiver<()> {
        let (sender, kept) = oneshot::channel();
        self.table.0.borrow_mut().insert(self.token, ReservedPlace::Leased(sender));
        kept
    }
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        self.table.0.borrow_mut().remove(&self.token);
    }
}
