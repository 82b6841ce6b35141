//! What gateways of a region tell each other of the backend servers that they share.

use {
    crate::{BackendReport, PromptPart, StatedLimit, StatementChange, limit::LimitRecord},
    gullglade_units::{BackendRun, MonotonicTime},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Something that other gateways of the region should know of: they send to the same backend
/// servers, and see little of each of them themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendHint {
    /// The run of a backend server.
    pub run: BackendRun,
    /// The request's number among those of all gateways.
    pub request: u64,
    /// Its priority.
    pub priority: u8,
    /// How long ago it was sent, microseconds, when this is told.
    pub sent_ago_us: u32,
    /// What happened.
    pub news: RequestUpdate,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestUpdate {
    /// It was sent.
    Sent {
        /// The prompt tokens to be read; `None` for a request without a prompt.
        tokens: Option<u32>,
        /// The parts of its prompt that other requests may share, which the engine will hold.
        parts: Vec<PromptPart>,
    },
    /// The first byte of its answer came.
    Begun {
        /// How long ago, microseconds.
        ago_us: u32,
        /// The load that the backend server stated with the answer.
        load: Option<BackendReport>,
        /// What is known of its limit.
        limit: LimitUpdate,
    },
    /// It ended without an answer.
    Dropped,
    /// The backend server rejected it and requested a back-off of the gateway that had sent it.
    Backoff {
        /// How long that still lasts, microseconds.
        left_us: u32,
    },
    /// The backend server leaves.
    Leaving,
}

/// The limit of a backend server, as a gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limit that it stated last, if it stated one.
    pub limit: Option<StatedLimit>,
    /// How long ago the answer came that said so, microseconds. That may be long before the first
    /// byte with which it is told.
    pub ago_us: u32,
}

impl LimitUpdate {
    pub(crate) fn new(record: &LimitRecord, now: MonotonicTime) -> Self {
        Self { limit: record.limit(), ago_us: micros(now.since(record.came())) }
    }
}

/// A hint that is still to be told: its times are those of this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnHint {
    pub(crate) run: BackendRun,
    pub(crate) request: u64,
    pub(crate) priority: u8,
    pub(crate) sent: MonotonicTime,
    pub(crate) happened: MonotonicTime,
    pub(crate) news: RequestUpdate,
}

impl OwnHint {
    /// As it is told at `now`.
    pub(crate) fn told(self, now: MonotonicTime) -> BackendHint {
        let Self { run, request, priority, sent, happened, mut news } = self;
        let age_us = micros(now.since(happened));
        match &mut news {
            RequestUpdate::Begun { ago_us, limit, .. } => {
                *ago_us = age_us;
                limit.ago_us = limit.ago_us.saturating_add(age_us);
            }
            RequestUpdate::Backoff { left_us } => *left_us = left_us.saturating_sub(age_us),
            RequestUpdate::Sent { .. } | RequestUpdate::Dropped | RequestUpdate::Leaving => {}
        }
        let sent_ago_us = micros(now.since(sent));
        BackendHint { run, request, priority, sent_ago_us, news }
    }
}

/// What others are told of a statement at once. A limit goes along with the first byte instead.
pub(crate) fn statement_news(change: &StatementChange) -> Option<RequestUpdate> {
    match change {
        StatementChange::Limit(_) => None,
        StatementChange::Backoff(backoff) => {
            Some(RequestUpdate::Backoff { left_us: micros(backoff.duration()) })
        }
        StatementChange::Leaving => Some(RequestUpdate::Leaving),
    }
}

/// The time that was so many microseconds ago.
pub(crate) fn ago(now: MonotonicTime, micros: u32) -> MonotonicTime {
    MonotonicTime(now.0.saturating_sub(Duration::from_micros(micros.into())))
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
