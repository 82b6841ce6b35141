//! The replicated state: every service's document, every region's claim group, the traffic
//! configuration, the outcomes of changes and their history.
//!
//! Applying the same entries produces the same state on every member, so this module uses neither a
//! clock nor a random source. Time is the wall time that the leader recorded in the entry.

mod group_table;
mod machine;
mod outcomes;

pub use machine::{ConfigState, ServiceRecord};
pub use outcomes::OUTCOME_DAYS;
