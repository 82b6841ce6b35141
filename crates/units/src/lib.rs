//! Checked names, ids, clocks and the codec that every other crate shares.
//!
//! Everything here is small and free of policy. The traits ([`Clock`], [`RandomSource`],
//! [`TaskSpawner`]) are the seams at which tests put fakes: code that decides something takes them
//! from a [`ProcessContext`] and never asks the operating system itself, so that a test can replay
//! the same schedule again from a seed.

mod clock;
mod codec;
mod context;
#[cfg(feature = "fake")]
pub mod fake;
mod hybrid;
mod ids;
mod names;
mod random;
pub mod rendezvous;
mod token;

pub use clock::{BootTime, Clock, ClockStamp, MonotonicTime, SystemClock, WallMillis, timeout};
pub use codec::{CodecError, decode, encode};
pub use context::{LocalFuture, ProcessContext, SystemSpawner, TaskSpawner};
pub use hybrid::{HybridClock, HybridStamp, StampError};
pub use ids::{BackendRun, ChangeId, Incarnation, KeyError, OrderKey, RequestId};
pub use names::{
    BackendName, ClusterName, FailureDomain, ModelName, NameError, RegionName, ServiceName, VmName,
    WorkspaceName,
};
pub use random::{RandomSource, SeededRandom};
pub use token::TokenHash;
