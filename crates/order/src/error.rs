//! Errors of orders.

use {
    crate::PlatformError,
    gullglade_units::{BackendName, ChangeId},
    snafu::Snafu,
};

/// An order failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OrderError {
    /// This VM does not hold the lease.
    #[snafu(display(
        "this VM may not send orders now ({reason}): submit the order, under the same id, to the \
         holder that `gladectl status` names"
    ))]
    NotHolder {
        /// The reason.
        reason: String,
    },
    /// The id was used for a different order.
    #[snafu(display("order id {id} was used for a different order: give this one its own id"))]
    IdReused {
        /// Id of the order.
        id: ChangeId,
    },
    /// The weights exceed the burst of the weight store's rate limit.
    #[snafu(display(
        "order {id} loads {bytes} bytes of weights, at most {burst} are allowed: raise the weight \
         burst in the settings"
    ))]
    TooLarge {
        /// Id of the order.
        id: ChangeId,
        /// Size of the weights in bytes.
        bytes: u64,
        /// The burst in bytes.
        burst: u64,
    },
    /// The lease ended while the order waited or was being sent.
    #[snafu(display(
        "the lease ended before engine {backend} confirmed order {id} ({taken}): submit it \
         again, under the same id, to the new holder"
    ))]
    LeaseEnded {
        /// Id of the order.
        id: ChangeId,
        /// The engine.
        backend: BackendName,
        /// Text that tells if the engine may have taken the order.
        taken: &'static str,
    },
    /// The engine did not take the order, or gave no answer.
    #[snafu(display("order {id} failed: {source}"))]
    Platform {
        /// Id of the order.
        id: ChangeId,
        /// The last error.
        source: PlatformError,
    },
}
