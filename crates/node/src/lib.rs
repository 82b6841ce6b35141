//! Assembles gateway and control processes from the other crates.
//!
//! The binary and the demo start the same [`GatewayNode`]: three servers (callers, operators,
//! peers) around one gateway, on the runtime of the calling thread. This crate contains only
//! dependency wiring and the operator API; routing and claim logic live in the crates it connects.

mod claim_groups;
mod claim_routes;
mod config_routes;
mod config_runtime;
mod core;
mod deferred_handler;
mod error;
mod held_requests;
mod listener_resources;
mod node;
mod operator;
mod proxy_node;
mod report;
mod report_routes;
mod scheduler_inputs;
mod seeded_control;
mod settings;
mod workspaces;

pub use claim_routes::{ClaimRoutes, ReplicaRow};
pub use config_routes::{ConfigRoutes, ReplaceVoterRequest};
pub use config_runtime::{ConfigRuntime, ConfigSettings};
pub use core::CoreSettings;
pub use error::StartError;
pub use held_requests::{HeldError, HeldRequests, HeldRow};
pub use listener_resources::ListenerResources;
pub use node::{GatewayNode, NodeAddresses};
pub use operator::{OperatorPort, OperatorRoute};
pub use proxy_node::{ProxyNode, ProxyNodeSettings};
pub use report::{BackendReport, NodeReport, RegionReport};
pub use scheduler_inputs::SchedulerInputs;
pub use seeded_control::{SeededControl, SeededControlSettings};
pub use settings::{NodeDependencies, NodeSettings};
pub use workspaces::WorkspaceRow;
