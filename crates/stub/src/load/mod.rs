//! Callers: seeded open-loop traffic whose every answer is checked.

mod arrivals;
mod call;
mod entry;
mod pair;
mod plan;
mod report;
mod runner;
mod sse;
mod tally;

pub use {
    call::{CallKind, CallOutcome},
    pair::{PairPlan, PairReport, run_pairs},
    plan::{LoadPlan, LoadTarget},
    report::{LatencySummary, LoadSummary},
    runner::run_load,
    tally::LoadTally,
};
