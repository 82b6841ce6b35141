//! Orders to the platform's engines: load or unload models, adapters and versions, or change role.
//!
//! At most one VM sends orders at a time: the holder of a lease, which the control log grants with
//! a fencing number ([`LeaseSource`]). Engines that check the number refuse orders of an earlier
//! holder. Other engines obey every order, so the holder stops before its lease ends
//! ([`HeldLease`]), and its successor waits until that end has passed, including the maximum clock
//! drift.
//!
//! An [`OrderDispatcher`] holds the lease, carries out each order once per id, and keeps the
//! loading of weights within the rate of the weight store, which all regions share
//! ([`TokenBucket`]).

mod action;
mod bucket;
mod dispatcher;
mod error;
mod http;
mod lease;
mod platform;
mod registry;
mod settings;

pub use action::{EngineOrder, EngineRole, EngineTarget, OrderAction, PlatformOrder};
pub use bucket::TokenBucket;
pub use dispatcher::{DispatcherState, OrderDispatcher, OrderOutcome};
pub use error::OrderError;
pub use http::HttpPlatform;
pub use lease::{FenceNumber, HeldLease, LeaseError, LeaseGrant, LeaseSource};
pub use platform::{EngineOrders, PlatformClient, PlatformError};
pub use settings::OrderSettings;
