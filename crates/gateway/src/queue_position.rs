//! The position of a request in the admission queue, kept while another region is tried.

use {
    futures::future::{Either, select},
    gullglade_admission::{AdmissionPermit, AdmissionRefusal},
    gullglade_units::{Clock, LocalFuture, timeout},
    std::{pin::pin, time::Duration},
};

/// Maximum time that a granted slot is reserved for a request while another region is tried. A
/// region refuses within one round trip.
const SLOT_RESERVATION: Duration = Duration::from_millis(250);

/// Future that completes when a slot is granted or refused.
pub(crate) type SlotWait = LocalFuture<'static, Result<AdmissionPermit, AdmissionRefusal>>;

/// The position of a request in the admission queue.
#[derive(Default)]
pub(crate) enum QueuePosition {
    /// The request has not been queued, or the queue refused it.
    #[default]
    NotQueued,
    /// The request is waiting in the queue.
    Waiting(SlotWait),
    /// The request holds a slot.
    Granted(AdmissionPermit),
    /// A slot was granted while another region was tried, and passed to the next request.
    SlotReleased,
}

impl QueuePosition {
    /// Returns whether the request entered the queue, in which case it may continue here without a
    /// retry from the budget.
    pub(crate) fn has_entered(&self) -> bool {
        !matches!(self, Self::NotQueued)
    }

    /// Returns whether the request holds a slot.
    pub(crate) fn is_granted(&self) -> bool {
        matches!(self, Self::Granted(_))
    }

    /// Takes the slot, if the request holds one.
    pub(crate) fn take_permit(&mut self) -> Option<AdmissionPermit> {
        match std::mem::take(self) {
            Self::Granted(permit) => Some(permit),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Runs `forward` and keeps the queue position meanwhile.
    pub(crate) async fn hold_during<T>(
        &mut self,
        clock: &dyn Clock,
        forward: impl Future<Output = T>,
    ) -> T {
        let mut forward = pin!(forward);
        if let Self::Waiting(waiting) = self {
            *self = match select(forward.as_mut(), waiting).await {
                Either::Left((outcome, _)) => return outcome,
                Either::Right((Ok(permit), _)) => Self::Granted(permit),
                Either::Right((Err(_), _)) => Self::NotQueued,
            };
        }
        if self.is_granted() {
            if let Some(outcome) = timeout(clock, SLOT_RESERVATION, forward.as_mut()).await {
                return outcome;
            }
            *self = Self::SlotReleased;
        }
        forward.await
    }
}
