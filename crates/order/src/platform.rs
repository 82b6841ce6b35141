//! The platform's face for orders.

use {
    crate::{EngineTarget, FenceNumber, PlatformOrder},
    gullglade_units::{BackendName, ChangeId, LocalFuture},
    snafu::Snafu,
};

/// Why an order has no receipt.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PlatformError {
    /// The engine has seen a higher fencing number.
    #[snafu(display("engine {backend} has orders under fencing number {seen}"))]
    StaleFence {
        /// The engine.
        backend: BackendName,
        /// The highest number it has seen, where it says so.
        seen: FenceNumber,
    },
    /// The engine refuses the order itself.
    #[snafu(display("engine {backend} refuses the order: {reason}"))]
    Refused {
        /// The engine.
        backend: BackendName,
        /// Its words.
        reason: String,
    },
    /// No byte of the order reached the engine.
    #[snafu(display("engine {backend} cannot be reached: {reason}; check that it runs"))]
    Unreachable {
        /// The engine.
        backend: BackendName,
        /// What failed.
        reason: String,
    },
    /// The order may have been taken.
    #[snafu(display("engine {backend} gave no answer ({reason}): it may have taken the order"))]
    Unanswered {
        /// The engine.
        backend: BackendName,
        /// What failed.
        reason: String,
    },
}

/// The orders an engine says it has taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineOrders {
    /// The highest fencing number it has seen.
    pub fence: FenceNumber,
    /// The ids of orders it took, where it remembers them.
    pub taken: Vec<ChangeId>,
}

/// Sends orders to engines.
pub trait PlatformClient {
    /// Sends one order; `Ok` says that the engine took it.
    fn send<'a>(
        &'a self,
        target: &'a EngineTarget,
        order: &'a PlatformOrder,
    ) -> LocalFuture<'a, Result<(), PlatformError>>;

    /// Asks an engine which orders it took.
    fn orders<'a>(
        &'a self,
        target: &'a EngineTarget,
    ) -> LocalFuture<'a, Result<EngineOrders, PlatformError>>;
}
