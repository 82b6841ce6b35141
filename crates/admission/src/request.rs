//! What a request shows to be admitted, and why it is not.

use {
    gullglade_units::{ModelName, MonotonicTime, WorkspaceName},
    snafu::Snafu,
    std::time::Duration,
};

/// Requests of a higher priority start before all of a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdmissionPriority {
    /// Work that can wait, as nightly summaries.
    Low,
    /// What a document says nothing about.
    #[default]
    Normal,
    /// Somebody stands and waits.
    High,
}

/// One request at the door.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The workspace it counts for.
    pub workspace: WorkspaceName,
    /// The workspace's share against the others'; 1 where the document says nothing.
    pub share: f64,
    /// The model; a plain service has a queue under its own name.
    pub model: ModelName,
    /// Its priority.
    pub priority: AdmissionPriority,
    /// When its start is of no use any more.
    pub deadline: Option<MonotonicTime>,
    /// What it costs, in any unit that is the same for all requests of a model (tokens).
    pub cost: u32,
}

/// The least share, so that what a request is charged stays finite.
const MIN_SHARE: f64 = 1e-3;

impl AdmissionRequest {
    /// The share, within its bounds.
    pub(crate) fn checked_share(&self) -> f64 {
        if self.share.is_finite() { self.share.max(MIN_SHARE) } else { 1.0 }
    }
}

/// Why a request was not admitted. It was not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AdmissionRefusal {
    /// It cannot start before its deadline.
    #[snafu(display(
        "no slot for {model} before the deadline; try again in {} ms or allow more time",
        retry_after.as_millis()
    ))]
    TooLate {
        /// The model.
        model: ModelName,
        /// When a new attempt makes sense.
        retry_after: Duration,
    },
    /// The queue is full and this workspace holds the most of it.
    #[snafu(display(
        "the queue for {model} is full and workspace {workspace} holds the most of it; send fewer \
         requests at once or try again in {} ms",
        retry_after.as_millis()
    ))]
    QueueFull {
        /// The model.
        model: ModelName,
        /// The workspace.
        workspace: WorkspaceName,
        /// When a new attempt makes sense.
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// When a new attempt makes sense.
    pub fn retry_after(&self) -> Duration {
        match self {
            AdmissionRefusal::TooLate { retry_after, .. }
            | AdmissionRefusal::QueueFull { retry_after, .. } => *retry_after,
        }
    }
}
