//! Replays seeded arrivals against the real decision code, in virtual time.
//!
//! The policies of `gullglade-route` and the queue of `gullglade-admission` run as in a gateway; only
//! what stands behind their interfaces is replaced: engines are small models (slots, prefill, decode,
//! a prefix cache), their reports and cache events come late, and a link is a delay. There is no
//! network and no process in it: this compares decisions, it does not simulate a cluster.
//!
//! All policies of one run meet the same arrivals. [`PolicyKind::Omniscient`] is the bound: one queue
//! that knows the true state of every engine of every region at every moment.

mod arrivals;
mod bounds;
mod cache;
mod deployment;
mod engine;
mod fairness;
mod gateway;
mod measure;
mod omniscient;
mod plot;
mod policy;
mod replay;
mod report;
mod scenario;
mod summary;
mod table;
mod time;
mod world;

pub use arrivals::{ArrivalRow, ArrivalSet};
pub use deployment::{DeploymentKind, DeploymentPlan, EngineSpec, RegionPlan};
pub use fairness::{FairnessRow, replay_fairness};
pub use measure::MeasureRow;
pub use plot::{PlotError, plot_table};
pub use policy::PolicyKind;
pub use replay::{ReplaySettings, replay_cell};
pub use report::ReplayTable;
pub use scenario::{OutageSpan, ScenarioKind, ScenarioPlan};
use world::World;

pub use table::replay_table;
pub use time::{VirtualClock, VirtualRun};
