//! Where work goes, how it waits and when it is turned away.
//!
//! Nothing here does I/O, reads a clock or starts a task: the time comes with each call, so the
//! gateway and the replays of load run the same code. A gateway hands each request to a
//! [`Scheduler`] as a [`WorkItem`], tells it what it learns ([`WorkOutcome`], [`BackendReport`],
//! the fleet), and carries out the [`Verdict`]s.
//!
//! - [`BackendLoad`] predicts when a backend server would give the first byte.
//! - [`CacheEstimate`] knows which prompt parts a model engine probably still holds.
//! - [`HealthRecord`] believes outcomes, and lets a suspect back by trial.
//! - [`SilentRun`] says when another place is sought beside a run from which nothing comes.
//! - [`AttemptLedger`] says which backend servers may get a request next.
//! - [`HandoverDelays`] says how long such a run is kept beside the one that replaces it.
//! - [`RepeatBudget`] and [`AllowanceShare`] divide what all gateways together may do.

mod attempts;
mod backoff;
mod budget;
mod cache;
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
mod verdict;
mod work;

pub use {
    attempts::{AttemptLedger, NextTarget, UsedBackend},
    backoff::{InvalidBackoff, StatedBackoff},
    budget::{RepeatArrival, RepeatBudget, RepeatDecision},
    cache::CacheEstimate,
    facts::{BackendFacts, SchedulerSettings},
    handover::{HandoverDelays, HandoverTimes},
    health::HealthRecord,
    hint::{BackendHint, LimitNews, RequestNews},
    limit::{InvalidLimit, StatedLimit},
    load::{BackendLoad, BackendReport, SentRequest, WorkCost},
    patience::begin_deadline,
    regions::{FirstByteTimes, RegionFacts},
    scheduler::{STALL_CHECK_INTERVAL, Scheduler},
    share::AllowanceShare,
    silence::{SilenceStep, SilentRun},
    stall::StallWatch,
    statement::{BackendStatements, StatementChange},
    verdict::{PromptCopy, RefusalFacts, Verdict},
    work::{PromptPart, PromptShape, RefusalReason, TicketId, WorkItem, WorkOutcome},
};
