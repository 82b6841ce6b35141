//! Requests for admission, and the reasons for refusing them.

use {
    gullglade_units::{ModelName, MonotonicTime, WorkspaceName},
    snafu::Snafu,
    std::time::Duration,
};

/// Priority of a request. All requests of a higher priority start before those of a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AdmissionPriority {
    /// Deferrable work, such as nightly summaries.
    Low,
    /// Default for documents that set no priority.
    #[default]
    Normal,
    /// Interactive work that a person waits for.
    High,
}

/// Request for a permit.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace that the request counts towards.
    pub workspace: WorkspaceName,
    /// Weight of the workspace relative to the other workspaces; 1 if the document sets none.
    pub share: f64,
    /// Model of the request; a plain service has a queue under its own name.
    pub model: ModelName,
    /// Priority of the request.
    pub priority: AdmissionPriority,
    /// Time after which starting the request is useless.
    pub deadline: Option<MonotonicTime>,
    /// Cost of the request, in a unit common to all requests of a model (tokens).
    pub cost: u32,
}

/// Minimum share, which keeps the charge of a request finite.
const MIN_SHARE: f64 = 1e-3;

impl AdmissionRequest {
    /// Returns the share, or its nearest valid value.
    pub(crate) fn checked_share(&self) -> f64 {
        if self.share.is_finite() { self.share.max(MIN_SHARE) } else { 1.0 }
    }
}

/// Reason for refusing admission. The request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AdmissionRefusal {
    /// The request cannot start before its deadline.
    #[snafu(display(
        "no slot for {model} before the deadline; try again in {} ms or allow more time",
        retry_after.as_millis()
    ))]
    TooLate {
        /// The model.
        model: ModelName,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
    /// The queue is full and this workspace has the most requests in it.
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
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// Returns the time after which a retry can succeed.
    pub fn retry_after(&self) -> Duration {
        match self {
            AdmissionRefusal::TooLate { retry_after, .. }
            | AdmissionRefusal::QueueFull { retry_after, .. } => *retry_after,
        }
    }
}
