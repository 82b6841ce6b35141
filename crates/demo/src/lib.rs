//! Whole small deployments in one process, on loopback.
//!
//! Each gateway is a thread with a runtime of its own, as it would be a process on a VM of its own;
//! the backend servers of a region share one thread. They talk over real TCP and real h2, with the
//! delays between regions imitated, so a session here fails and recovers as it would between VMs.
//! The demo and the integration tests use the same [`Deployment`].

mod backend_thread;
mod caller;
mod deployment;
mod error;
mod gateway_thread;
mod host;
mod plan;
mod sample;
mod serve;
mod show;
mod verdict;

pub use backend_thread::{BackendAddress, BackendThread};
pub use caller::{CallerClient, CallerReply, read_reply};
pub use deployment::Deployment;
pub use error::DemoError;
pub use gateway_thread::{BackendCount, GatewayCounts, GatewayThread, OPERATOR_TOKEN};
pub use plan::{BackendPlan, DeploymentPlan, GatewayPlan};
pub use sample::{CALLER_TOKEN, sample_plan};
pub use serve::ServeNote;
pub use show::run_show;
pub use verdict::{DemoVerdict, RegionFigures};
