//! Messages about crashes that gateways and control processes exchange.

use {
    crate::ContentFingerprint,
    gullglade_units::BackendRun,
    serde::{Deserialize, Serialize},
};

/// Changes that one process reports to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Number of the sender's last change; its next update contains the changes after it.
    pub cursor: u64,
    /// Crash histories of requests.
    pub reports: Vec<CrashReport>,
    /// Runs that answered after their presumed crash.
    pub alive: Vec<RunAliveReport>,
}

/// Crash history of one request. Merging is idempotent and commutative, so a report may be
/// delivered repeatedly, late or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub print: ContentFingerprint,
    /// Completed sends of the request.
    pub sends: Vec<SendReport>,
    /// Time since an operator released the request, in milliseconds; earlier sends do not count.
    pub let_go_ago_ms: Option<u32>,
}

/// How one send of a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendReport {
    /// Time since the end, in milliseconds.
    pub ended_ago_ms: u32,
    /// Time that the request had spent on the backend server, in milliseconds.
    pub lasted_ms: u32,
    /// Outcome of the send.
    pub end: SendEnd,
}

/// Outcome of a send, as far as it is evidence for or against the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendEnd {
    /// The connection to this run broke while it had the request.
    CutOff(BackendRun),
    /// The answer was complete. The number identifies the answer.
    Answered(u64),
}

/// A run that answered after its presumed crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAliveReport {
    /// The run.
    pub run: BackendRun,
    /// Time since the answered request was sent, in milliseconds.
    pub sent_ago_ms: u32,
}
