//! Simulated network for tests. Calls between the processes of a
//! [`FakeWorld`](gullglade_units::fake::FakeWorld) invoke the handlers directly, and a
//! [`FakePolicy`] decides for each message whether it is delayed, dropped, duplicated or refused.
//!
//! Failures match those of the real transport: a refused call reports that nothing was sent, a
//! dropped call times out, killing a process breaks the calls that it serves, and dropping a call
//! drops the future of its handler.

mod endpoint;
mod network;
mod policy;
mod serve;

pub use endpoint::FakeTransport;
pub use network::{FakeNetwork, FakeNode};
pub use policy::{FakeLink, FakePolicy, MessageAction, MessageDirection, MessagePath};
