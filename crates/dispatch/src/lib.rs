//! Where work goes, how it waits and when it is turned away.
//!
//! Nothing here does I/O, reads a clock or starts a task: the time comes with each call, so the
//! gateway and the replays of load run the same code. A gateway hands each request to a
//! [`Scheduler`] as a [`WorkItem`], tells it what it learns ([`WorkOutcome`], [`BackendReport`],
//! the fleet), and carries out the [`Decision`]s.
//!
//! - [`BackendLoad`] predicts when a backend server would give the first byte.
//! - [`CacheEstimate`] knows which prompt parts a model engine probably still holds.
//! - [`HealthRecord`] believes outcomes, and lets a suspect back by trial.
//! - [`SilentRun`] says when another place is sought beside a run from which nothing comes.
//! - [`AttemptTracker`] says which backend servers may get a request next.
//! - [`HandoverDelays`] says how long such a run is kept beside the one that replaces it.
//! - [`RepeatBudget`] and [`AllowanceShare`] divide what all gateways together may do.

mod attempts;
mod backoff;
mod budget;
mod cache;
mod decision;
mod facts;
mod fade;
mod handover;
mod health;
mod hint;
mod limit;
mod load;
mod patience;
mod rate;
mod regions;
mod roster;
mod scheduler;
mod share;
mod silence;
mod stall;
mod statement;
mod unread;
mod urgency;
mod work;

pub use {
    attempts::{AttemptTracker, NextTarget, UsedBackend},
    backoff::{InvalidBackoff, StatedBackoff},
    budget::{RepeatArrival, RepeatBudget, RepeatDecision},
    cache::CacheEstimate,
    decision::{Decision, PromptCopy, RefusalDetails},
    facts::{BackendInfo, SchedulerSettings},
    handover::{HandoverDelays, HandoverTimes},
    health::HealthRecord,
    hint::{BackendHint, LimitUpdate, RequestUpdate},
    limit::{InvalidLimit, StatedLimit},
    load::{BackendLoad, BackendReport, SentRequest, WorkCost},
    patience::deadline_for_first_byte,
    regions::{FirstByteTimes, RegionInfo},
    scheduler::{STALL_CHECK_INTERVAL, Scheduler},
    share::AllowanceShare,
    silence::{SilenceAction, SilentRun},
    stall::StallDetector,
    statement::{BackendStatements, StatementChange},
    work::{PromptPart, PromptShape, RefusalReason, TicketId, WorkItem, WorkOutcome},
};
