//! The traffic configuration in the log: a single document for all routes, with operator-assigned
//! versions, and the set of evacuated failure domains.

mod change;
mod record;

pub use {
    change::{ConfigVersion, TrafficChange, TrafficEffect, TrafficOutcome},
    record::TrafficRecord,
};
