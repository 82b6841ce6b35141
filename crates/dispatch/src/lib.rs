//! Request scheduling of one gateway: placement on backend servers, queueing and load shedding.
//!
//! The crate does no I/O, reads no clock and starts no task. Callers pass the time to each method,
//! so the gateway and the load replays of the tests run the same code. A gateway submits each
//! request to a [`Scheduler`] as a [`WorkItem`], reports observations ([`WorkOutcome`],
//! [`BackendReport`], changes of the fleet), and carries out each [`Decision`].
//!
//! - [`BackendLoad`] predicts the time to first byte at a backend server.
//! - [`AnswerHint`] tells other gateways how long an answer is expected to run.
//! - [`CacheEstimate`] estimates which prompt parts are in the cache of a model engine.
//! - [`HealthRecord`] detects failing backend servers by passive outlier detection.
//! - [`SilentRun`] decides when to look for a replacement of a run that produces no output.
//! - [`AttemptTracker`] limits the backend servers that one request is sent to.
//! - [`HandoverDelays`] determines how long a run is kept after its replacement was sent.
//! - [`ReplyReaders`] decides which replies are given up because their callers do not read.
//! - [`RepeatBudget`] and [`AllowanceShare`] divide a fleet-wide retry budget among gateways.

mod answer_end;
mod attempts;
mod backoff;
mod budget;
mod cache;
mod cache_value;
mod caller_deadline;
mod decay;
mod decision;
mod deployment;
mod gateway_paths;
mod handover;
mod health;
mod hint;
mod limit;
mod load;
mod membership;
mod overload;
mod pace;
mod path_monitor;
mod prefill;
mod priority;
mod rate;
mod regions;
mod rejection;
mod reply_readers;
mod restart;
mod scheduler;
mod share;
mod silence;
mod stall;
mod statement;
mod work;

pub use {
    answer_end::AnswerHint,
    attempts::{AttemptTracker, NextTarget, UsedBackend},
    backoff::{InvalidBackoff, StatedBackoff},
    budget::{RepeatArrival, RepeatBudget, RepeatDecision},
    cache::CacheEstimate,
    caller_deadline::deadline_for_first_byte,
    decision::{Decision, FullShare, PromptCopy, RefusalDetails},
    deployment::{BackendInfo, SchedulerSettings},
    handover::{HandoverDelays, HandoverTimes},
    health::HealthRecord,
    hint::{BackendHint, LimitUpdate, RequestUpdate},
    limit::{InvalidLimit, StatedLimit},
    load::{BackendLoad, BackendReport, SentRequest, WorkCost},
    overload::shares::WorkspaceUse,
    path_monitor::PathChange,
    regions::{FirstByteTimes, RegionInfo},
    rejection::{InvalidRejectionLimit, RejectionLimit},
    reply_readers::{ReaderId, ReplyReaders},
    scheduler::{HealthCheck, STALL_CHECK_INTERVAL, Scheduler},
    share::AllowanceShare,
    silence::{SilenceAction, SilentRun},
    stall::StallDetector,
    statement::{BackendStatements, StatementChange},
    work::{PromptPart, PromptShape, RefusalReason, TicketId, WorkItem, WorkOutcome},
};
