//! A network for tests: calls between the processes of a
//! [`FakeWorld`](gullglade_units::fake::FakeWorld) go straight to their handlers, and a
//! [`FakePolicy`] decides for each message whether it is delayed, lost, doubled or refused.
//!
//! Its failures are those of the real transport: a refused call says that nothing was sent, a lost
//! one runs into its limit, a killed process breaks the calls that it was serving, and an abandoned
//! call drops its handler's future.

mod endpoint;
mod network;
mod policy;
mod serve;

pub use endpoint::FakeTransport;
pub use network::{FakeNetwork, FakeNode};
pub use policy::{FakeLink, FakePolicy, MessageAction, MessageDirection, MessagePath};
