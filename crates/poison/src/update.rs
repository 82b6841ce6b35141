//! What gateways and control processes tell each other of requests that end backend servers.

use {
    crate::ContentFingerprint,
    gullglade_units::BackendRun,
    serde::{Deserialize, Serialize},
};

/// What one process knows and another may lack.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The teller's last change; what it tells next is what came after.
    pub cursor: u64,
    /// What is known of some requests.
    pub reports: Vec<CrashReport>,
    /// Runs that were thought to have ended and have answered since.
    pub alive: Vec<RunAliveReport>,
}

/// What is known of one request. It adds to what the listener knows and takes nothing away, so it
/// may come twice, late or in another order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub print: ContentFingerprint,
    /// What happened to sends of it.
    pub sends: Vec<SendReport>,
    /// How long ago it was let go by an operator, milliseconds: what was before counts no more.
    pub let_go_ago_ms: Option<u32>,
}

/// How one send of a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendReport {
    /// How long ago, milliseconds.
    pub ended_ago_ms: u32,
    /// How long it had been with the backend server by then, milliseconds.
    pub lasted_ms: u32,
    /// How.
    pub end: SendEnd,
}

/// How a send ended, as far as it tells of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendEnd {
    /// The connection to this run broke while it had the request.
    CutOff(BackendRun),
    /// It was answered whole. The number tells one answer from another.
    Answered(u64),
}

/// A run that was thought to have ended and has answered since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAliveReport {
    /// The run.
    pub run: BackendRun,
    /// How long ago the request was sent that it answered, milliseconds.
    pub sent_ago_ms: u32,
}
