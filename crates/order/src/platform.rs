//! The interface to the platform's engines.

use {
    crate::{EngineTarget, FenceNumber, PlatformOrder},
    gullglade_units::{BackendName, ChangeId, LocalFuture},
    snafu::Snafu,
};

/// A call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The engine has seen a higher fencing number.
    #[snafu(display("engine {backend} has taken orders under fencing number {seen}"))]
    StaleFence {
        /// The engine.
        backend: BackendName,
        /// The highest number that the engine has seen; zero if it does not report one.
        seen: FenceNumber,
    },
    /// The engine refused the order.
    #[snafu(display("engine {backend} refused the order: {reason}"))]
    Refused {
        /// The engine.
        backend: BackendName,
        /// The reason given by the engine.
        reason: String,
    },
    /// No byte of the order was sent to the engine.
    #[snafu(display("engine {backend} cannot be reached: {reason}; check that it runs"))]
    Unreachable {
        /// The engine.
        backend: BackendName,
        /// Description of the failure.
        reason: String,
    },
    /// The engine gave no usable answer, so it may have taken the order.
    #[snafu(display("engine {backend} gave no answer ({reason}): it may have taken the order"))]
    Unanswered {
        /// The engine.
        backend: BackendName,
        /// Description of the failure.
        reason: String,
    },
}

/// The orders that an engine reports to have taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineOrders {
    /// The highest fencing number that the engine has seen.
    pub fence: FenceNumber,
    /// The ids of orders that the engine took, as far as it remembers them.
    pub taken: Vec<ChangeId>,
}

/// Sends orders to engines.
pub trait PlatformClient {
    /// Sends one order. Returns `Ok` if the engine took it.
    fn send<'a>(
        &'a self,
        target: &'a EngineTarget,
        order: &'a PlatformOrder,
    ) -> LocalFuture<'a, Result<(), PlatformError>>;

    /// Returns the orders that an engine has taken.
    fn orders<'a>(
        &'a self,
        target: &'a EngineTarget,
    ) -> LocalFuture<'a, Result<EngineOrders, PlatformError>>;
}
