//! Places that this gateway reserved for gateways of other regions, and the runs begun there.

use {
    futures::channel::oneshot,
    gullglade_units::{Clock, timeout},
    std::{cell::RefCell, collections::HashMap, future::pending, time::Duration},
};

/// What the calling gateway has said of a place.
enum ReservedPlace {
    /// Nothing yet. Told: that it is to be used.
    Offered(oneshot::Sender<RunCommitment>),
    /// The request was sent there. Told: that the run may go on after its lease.
    Leased(oneshot::Sender<()>),
    /// The request was sent there for good.
    Kept,
}

/// What a run is begun for.
pub(crate) struct RunCommitment {
    /// Where it replaces a run that has not ended: how long it may go on without a further word,
    /// and that word.
    lease: Option<(Duration, oneshot::Receiver<()>)>,
}

impl RunCommitment {
    /// Returns when the run has to end, as its gateway has not said that it may go on.
    pub(crate) async fn ended(self, clock: &dyn Clock) {
        if let Some((lease, kept)) = self.lease
            && !matches!(timeout(clock, lease, kept).await, Some(Ok(())))
        {
            return;
        }
        pending().await
    }
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
    /// Offers a place under `token`. The receiver is told that it is to be used.
    pub(crate) fn offer(
        &self,
        token: u64,
    ) -> (ReservationGuard<'_>, oneshot::Receiver<RunCommitment>) {
        let (sender, used) = oneshot::channel();
        self.0.borrow_mut().insert(token, ReservedPlace::Offered(sender));
        (ReservationGuard { table: self, token }, used)
    }

    /// Has the place used, with a lease or for good, also after a lease; false where it is no
    /// longer reserved, or its run has ended.
    pub(crate) fn commit(&self, token: u64, lease: Option<Duration>) -> bool {
        let mut places = self.0.borrow_mut();
        let Some(place) = places.remove(&token) else { return false };
        let next = match place {
            ReservedPlace::Offered(used) => {
                let (keep, kept) = oneshot::channel();
                let next = match lease {
                    Some(_) => ReservedPlace::Leased(keep),
                    None => ReservedPlace::Kept,
                };
                let lease = lease.map(|lease| (lease, kept));
                used.send(RunCommitment { lease }).is_ok().then_some(next)
            }
            ReservedPlace::Leased(keep) if lease.is_none() => {
                keep.send(()).is_ok().then_some(ReservedPlace::Kept)
            }
            begun => Some(begun),
        };
        let is_reserved = next.is_some();
        places.extend(next.map(|place| (token, place)));
        is_reserved
    }
}

impl Drop for ReservationGuard<'_> {
    fn drop(&mut self) {
        self.table.0.borrow_mut().remove(&self.token);
    }
}
