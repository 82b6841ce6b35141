//! The traffic configuration in the log: one document for all routes under the operators' own
//! version numbers, and the failure domains that are evacuated.

mod change;
mod record;

pub use {
    change::{ConfigVersion, TrafficChange, TrafficEffect, TrafficOutcome},
    record::TrafficRecord,
};
