//! The decision: which backend server, in which region, now, later or not at all.
//!
//! A gateway fills borrowed rows ([`Candidate`] for each backend server of its region,
//! [`RegionOffer`] for each other region) and asks a [`RoutePolicy`]. Nothing here does I/O, reads a
//! clock or starts a task: the time and the random source come with the call, so the experiments and
//! the gateway run the same code.
//!
//! [`CheckedPolicy`] keeps what must always hold (residency, at most one hop, no work for a leaving
//! backend server) outside the policies: it hands them only what is allowed, and checks what they
//! answer. [`LatencyPolicy`] is the policy of the product, [`baseline`] holds those it is compared with.
//!
//! The helpers beside the policies keep what a gateway knows of itself: [`OwnLoadTracker`] its own work at
//! one backend server, [`PrefixTable`] where prompt prefixes are expected in caches.

pub mod baseline;
mod candidate;
mod capacity;
mod decision;
mod estimate;
mod filter;
mod forwarding;
mod latency;
mod offer;
mod own_load;
mod prefix;
mod request;

pub use candidate::{BackendRole, Candidate, EngineCapacity, HealthState, LoadReport, OwnLoad};
pub use capacity::{PermitCapacity, permit_capacity};
pub use decision::{RefuseReason, RouteDecision, RoutePolicy};
pub use estimate::{EstimateSettings, FirstTokenEstimate, PoolLoad, forwarded_first_token};
pub use filter::{CheckedPolicy, EligibleSet, ForwardError, check_forward};
pub use forwarding::{ForwardingSettings, ForwardingThresholds, ForwardingTracker};
pub use latency::{LatencyPolicy, LatencySettings};
pub use offer::RegionOffer;
pub use own_load::OwnLoadTracker;
pub use prefix::{EngineIndex, PrefixTable, PromptPrefix};
pub use request::{Residency, RouteRequest, RouteWeights};
