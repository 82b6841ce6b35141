//! Support code shared by the tests of this crate.
#![allow(dead_code, unreachable_pub, reason = "each test binary uses a part of it")]

pub mod cluster;
pub mod disk;
pub mod gateways;
pub mod held_link;
pub mod history;
pub mod schedule;
