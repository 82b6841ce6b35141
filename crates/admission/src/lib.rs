//! Deadline-aware admission queues, fair shares and retry budgets.
//!
//! A gateway runs no more requests of a model than its engines have slots for. Further requests
//! wait in a queue here, where they can still be reordered, refused or cancelled. Requests are
//! ordered by priority, then by the fair shares of the workspaces (start-time fair queueing, Goyal
//! et al., 1996), then by earliest deadline. A request that cannot start before its deadline is
//! refused on arrival, while its caller can still go elsewhere. Every refusal is `not-run`.

mod budget;
mod flow;
mod pool;
mod queue;
mod request;

pub use budget::{RetryBudget, RetrySettings};
pub use pool::{PoolCounts, PoolLimits};
pub use queue::{AdmissionPermit, AdmissionQueue, AdmissionSettings};
pub use request::{AdmissionPriority, AdmissionRefusal, AdmissionRequest};
