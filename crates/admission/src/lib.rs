//! Deadline-aware queues, fair shares and retry budgets.
//!
//! A gateway lets no more requests of a model run than its engines have slots for; the rest waits
//! here, where it can still be ordered, refused or cancelled. The order is priority first, then fair
//! shares of the workspaces (start-time fair queueing, Goyal et al., 1996), then the earliest deadline.
//! What cannot start before its deadline is refused when it comes, while its caller can still go
//! elsewhere, and always as `not-run`.

mod budget;
mod flow;
mod pool;
mod queue;
mod request;

pub use budget::{RetryBudget, RetrySettings};
pub use pool::{PoolCounts, PoolLimits};
pub use queue::{AdmissionPermit, AdmissionQueue, AdmissionSettings};
pub use request::{AdmissionPriority, AdmissionRefusal, AdmissionRequest};
