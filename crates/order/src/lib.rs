//! Orders to the platform's engines: load models, adapters and versions, or change role.
//!
//! At most one VM gives them at a time, the holder of a lease that comes from the control log with
//! a fencing number ([`LeaseSource`]). Engines that check the number refuse an old holder by
//! themselves. Others obey whoever speaks, so the holder stops before its lease ends
//! ([`HeldLease`]) and its successor waits until that end has passed by every clock's error.
//!
//! An [`OrderDispatcher`] holds the lease, gives each order once by its id, and paces whatever loads
//! weights under the rate of the weight store, which all regions share ([`TokenBucket`]).

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
