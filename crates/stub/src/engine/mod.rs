//! A stand-in model engine.

mod answer;
mod answer_writer;
mod batch;
mod cache_events;
mod completion;
mod config;
mod gate;
mod handler;
mod load;
mod orders;
mod prefix;
mod stub_engine;

pub use {
    batch::{BatchEngine, EngineLimits, SequenceRequest, SequenceToken, TokenSequence},
    config::EngineConfig,
    gate::{GatePermit, PriorityGate, RequestPriority},
    load::LaggedLoad,
    orders::{EngineRole, OrderAction, OrderOutcome, OrderRecord, OrderState, PlatformOrder},
    prefix::{CacheChange, PrefixCache},
    stub_engine::{EngineHandle, StubEngine},
};
