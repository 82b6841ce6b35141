//! A machine for tests: many processes on one thread in virtual time, the same on every run.
//!
//! [`FakeWorld`] runs tasks until all of them wait, then moves its clock to the next timer, so an
//! hour of leases costs no real time and a seed replays the same schedule. Each process has a
//! [`ProcessContext`](crate::ProcessContext) of its own with a wall clock that can be wrong, and
//! can be killed: its tasks are dropped where they stand.

mod process;
mod time;
mod world;

pub use process::FakeProcess;
pub use world::FakeWorld;
