//! Places reserved for other gateways, and the runs that began there.

use {
    futures::channel::oneshot,
    gullglade_units::{Clock, timeout},
    std::{cell::RefCell, collections::HashMap, future::pending, time::Duration},
};

/// State of a reserved place.
enum ReservedPlace {
    /// The place is offered. The channel reports that it is committed.
    Offered(oneshot::Sender<RunCommitment>),
    /// The request was sent with a lease. The channel reports that the run may continue after it.
    Leased(oneshot::Sender<()>),
    /// The request was sent without a lease, or its lease was committed.
    Kept,
}

/// Terms on which a run begins.
pub(crate) struct RunCommitment {
    /// For the replacement of a run that has not ended: the time for which the run may continue
    /// without a commit, and the channel that reports the commit.
    lease: Option<(Duration, oneshot::Receiver<()>)>,
}

impl RunCommitment {
    /// Completes when the lease has expired without a commit; never for a run without a lease.
    pub(crate) async fn lease_expired(self, clock: &dyn Clock) {
        if let Some((lease, kept)) = self.lease
            && !matches!(timeout(clock, lease, kept).await, Some(Ok(())))
        {
            return;
        }
        pending().await
    }
}

/// Reservations by token. Each command may arrive twice.
#[derive(Default)]
pub(crate) struct ReservationTable(RefCell<HashMap<u64, ReservedPlace>>);

/// An offered place. Its token becomes invalid on drop.
pub(crate) struct ReservationGuard<'a> {
    table: &'a ReservationTable,
    token: u64,
}

impl ReservationTable {
    /// Offers a place under `token`. The receiver completes when the place is committed.
    pub(crate) fn offer(
        &self,
        token: u64,
    ) -> (ReservationGuard<'_>, oneshot::Receiver<RunCommitment>) {
        let (sender, committed) = oneshot::channel();
        self.0.borrow_mut().insert(token, ReservedPlace::Offered(sender));
        (ReservationGuard { table: self, token }, committed)
    }

    /// Commits the place, with a lease or permanently; also used to make a leased place permanent.
    /// Returns `false` if the place is no longer reserved or its run has ended.
    pub(crate) fn commit(&self, token: u64, lease: Option<Duration>) -> bool {
        let mut places = self.0.borrow_mut();
        let Some(place) = places.remove(&token) else { return false };
        let next = match place {
            ReservedPlace::Offered(committed) => {
                let (keep, kept) = oneshot::channel();
                let next = match lease {
                    Some(_) => ReservedPlace::Leased(keep),
                    None => ReservedPlace::Kept,
                };
                let lease = lease.map(|lease| (lease, kept));
                committed.send(RunCommitment { lease }).is_ok().then_some(next)
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
