//! A request's place in this gateway's queue, kept while another region is asked.

use {
    futures::future::{Either, select},
    gullglade_admission::{AdmissionPermit, AdmissionRefusal},
    gullglade_units::{Clock, LocalFuture, timeout},
    std::{pin::pin, time::Duration},
};

/// How long a slot waits for a request that another region has been asked to take. A refusal comes
/// within a round trip.
const SLOT_RESERVATION: Duration = Duration::from_millis(250);

/// Waits for a slot.
pub(crate) type SlotWait = LocalFuture<'static, Result<AdmissionPermit, AdmissionRefusal>>;

/// A request's place in the queue.
#[derive(Default)]
pub(crate) enum QueuePosition {
    /// It has not been in the queue, or was refused there.
    #[default]
    NotQueued,
    /// It waits for its turn.
    Waiting(SlotWait),
    /// It has a slot.
    Granted(AdmissionPermit),
    /// Its turn came while another region was asked, and the slot went to the next.
    SlotReleased,
}

impl QueuePosition {
    /// Whether the request may go on here without another attempt being granted.
    pub(crate) fn has_entered(&self) -> bool {
        !matches!(self, Self::NotQueued)
    }

    /// Whether it has a slot.
    pub(crate) fn is_granted(&self) -> bool {
        matches!(self, Self::Granted(_))
    }

    /// Takes the slot, where it has one.
    pub(crate) fn take_permit(&mut self) -> Option<AdmissionPermit> {
        match std::mem::take(self) {
            Self::Granted(permit) => Some(permit),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Runs `asking` and keeps the place meanwhile.
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
