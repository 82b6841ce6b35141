//! Stand-ins for what the system meets but does not own: model engines, plain services, the weight
//! store, and callers.
//!
//! They exist for tests, the demo and measurements. Everything a promise depends on can be asked
//! of them afterwards (how often each key ran, what was cancelled), and each fault that the system
//! must survive can be switched on.

mod announcer;
mod backend_run;
mod engine;
mod face;
mod fault;
mod headers;
mod load;
mod server;
mod service;
mod stats;
mod token;
mod weights;

pub use {
    engine::{
        BatchEngine, CacheChange, EngineConfig, EngineHandle, EngineLimits, EngineRole, GatePermit,
        LaggedLoad, OrderAction, OrderOutcome, OrderRecord, OrderState, PlatformOrder, PrefixCache,
        PriorityGate, RequestPriority, SequenceRequest, SequenceToken, StubEngine, TokenSequence,
    },
    fault::{FaultKind, FaultOrder},
    headers::{
        KEY_HEADER, LEAVING_HEADER, LOAD_HEADER, PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER,
    },
    load::{
        CallKind, CallOutcome, LatencySummary, LoadPlan, LoadSummary, LoadTally, LoadTarget,
        PairPlan, PairReport, run_load, run_pairs,
    },
    server::{ServerHandle, StubError},
    service::{OrderBook, PlacedOrder, ServiceConfig, ServiceHandle, StubService},
    stats::RunStats,
    token::TokenSource,
    weights::StubWeights,
};
