//! Hints that the gateways of a region exchange about the backend servers they share.

use {
    crate::{
        AnswerHint, BackendReport, PromptPart, RejectionLimit, StatedLimit, StatementChange,
        limit::LimitRecord, overload::shares::WorkspaceUse,
    },
    gullglade_units::{BackendRun, MonotonicTime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An update for the other gateways of the region. They send to the same backend servers, and each
/// gateway observes only few requests itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendHint {
    /// The run of a backend server.
    pub run: BackendRun,
    /// The request number, unique among all gateways.
    pub request: u64,
    /// The priority of the request.
    pub priority: u8,
    /// Age of the send when this hint is sent, microseconds.
    pub sent_ago_us: u32,
    /// The update.
    pub news: RequestUpdate,
}

/// A change in the state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestUpdate {
    /// The request was sent.
    Sent {
        /// Number of prompt tokens to process, or `None` for a request without a prompt.
        tokens: Option<u32>,
        /// The shared parts of the prompt, which the engine will cache.
        parts: Vec<PromptPart>,
        /// Whether the request probably holds its slot for long. Its end is then reported with
        /// [`Ended`](Self::Ended).
        holds_slot: bool,
        /// What the request takes of its workspace's share, while requests of the service wait for
        /// capacity.
        workspace: Option<WorkspaceUse>,
        /// The expected answer, if it is known and the service places requests by it.
        answer: Option<AnswerHint>,
    },
    /// The first byte of the answer was received.
    Begun {
        /// Age of the event, microseconds.
        ago_us: u32,
        /// The load that the backend server stated with the answer.
        load: Option<BackendReport>,
        /// The known rate limit of the backend server.
        limit: LimitUpdate,
        /// The learned pace of the engine, encoded; zeros if it is not known.
        pace: [u8; 2],
    },
    /// The request ended without an answer.
    Dropped,
    /// The backend server rejected the request and requested a back-off of the sending gateway.
    Backoff {
        /// The remaining time, microseconds.
        left_us: u32,
    },
    /// The backend server is leaving.
    Leaving,
    /// The rejection limit that the backend server states, if any.
    RejectionLimit(Option<RejectionLimit>),
    /// A request that was reported to hold its slot has ended after its answer had begun.
    Ended,
    /// The connections of a gateway to the backend server broke, so the run may have ended.
    MayHaveEnded,
    /// The backend server stated on its health path how long it stays cold.
    Cold {
        /// The remaining time, milliseconds; 0 if it is warm.
        left_ms: u32,
    },
}

/// The rate limit of a backend server as known to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limit that was stated last, if any.
    pub limit: Option<StatedLimit>,
    /// Age of the answer that stated it, microseconds. It may be much older than the first byte
    /// that it is sent with.
    pub ago_us: u32,
}

impl LimitUpdate {
    pub(crate) fn new(record: &LimitRecord, now: MonotonicTime) -> Self {
        Self { limit: record.limit(), ago_us: micros(now.since(record.received())) }
    }
}

/// A hint that was not sent yet, with times on the local clock.
#[derive(Clone, Debug)]
pub(crate) struct PendingHint {
    pub(crate) run: BackendRun,
    pub(crate) request: u64,
    pub(crate) priority: u8,
    pub(crate) sent: MonotonicTime,
    pub(crate) happened_at: MonotonicTime,
    pub(crate) news: RequestUpdate,
}

impl PendingHint {
    /// Converts the times to ages at `now`.
    pub(crate) fn into_hint(self, now: MonotonicTime) -> BackendHint {
        let Self { run, request, priority, sent, happened_at, mut news } = self;
        let age_us = micros(now.since(happened_at));
        match &mut news {
            RequestUpdate::Begun { ago_us, limit, .. } => {
                *ago_us = age_us;
                limit.ago_us = limit.ago_us.saturating_add(age_us);
            }
            RequestUpdate::Backoff { left_us } => *left_us = left_us.saturating_sub(age_us),
            RequestUpdate::Cold { left_ms } => *left_ms = left_ms.saturating_sub(age_us / 1_000),
            RequestUpdate::Sent { .. }
            | RequestUpdate::Dropped
            | RequestUpdate::Ended
            | RequestUpdate::Leaving
            | RequestUpdate::RejectionLimit(_)
            | RequestUpdate::MayHaveEnded => {}
        }
        let sent_ago_us = micros(now.since(sent));
        BackendHint { run, request, priority, sent_ago_us, news }
    }
}

/// Returns the update that is sent as soon as a statement changes. A limit is sent with the first
/// byte instead.
pub(crate) fn statement_update(change: &StatementChange) -> Option<RequestUpdate> {
    match change {
        StatementChange::Limit(_) => None,
        StatementChange::RejectionLimit(limit) => Some(RequestUpdate::RejectionLimit(*limit)),
        StatementChange::Backoff(backoff) => {
            Some(RequestUpdate::Backoff { left_us: micros(backoff.duration()) })
        }
        StatementChange::Leaving => Some(RequestUpdate::Leaving),
    }
}

/// Returns the time `micros` microseconds before `now`.
pub(crate) fn micros_ago(now: MonotonicTime, micros: u32) -> MonotonicTime {
    MonotonicTime(now.0.saturating_sub(Duration::from_micros(micros.into())))
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
