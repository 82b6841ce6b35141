//! Request routing: selects a backend server, a remote region, a wait or a refusal.
//!
//! A gateway fills borrowed rows (a [`Candidate`] for each backend server of its region, a
//! [`RegionOffer`] for each other region) and asks a [`RoutePolicy`]. This crate does no I/O, reads
//! no clock and spawns no tasks: the time and the random source are arguments, so the experiments
//! and the gateway run the same code.
//!
//! [`CheckedPolicy`] enforces the invariants (residency, at most one hop between regions, no work
//! for a leaving backend server) outside the policies: it passes them only the allowed rows and
//! validates their answer. [`LatencyPolicy`] is the default policy; [`baseline`] holds the policies
//! that it is compared with.
//!
//! Two helpers track the state of the gateway itself: [`OwnLoadTracker`] counts its requests at one
//! backend server, and [`PrefixTable`] records which engines are expected to hold a prompt prefix
//! in their caches.

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
