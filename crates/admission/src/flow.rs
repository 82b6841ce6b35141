//! Queue of the waiting requests of one workspace at one priority.

use {
    crate::{AdmissionPermit, AdmissionPriority, AdmissionRefusal, AdmissionRequest},
    futures::channel::oneshot,
    gullglade_units::{MonotonicTime, WorkspaceName},
    std::collections::BTreeMap,
};

/// Sort key of a flow's requests: earliest deadline first, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterKey {
    /// Deadline of the request, or the maximum time if it has none.
    pub(crate) deadline: MonotonicTime,
    /// Sequence number of the arrival.
    pub(crate) sequence: u64,
}

/// A queued request.
pub(crate) struct Waiter {
    /// Cost of the request divided by the share of its workspace: the advance of the flow's virtual
    /// time.
    pub(crate) virtual_cost: u64,
    /// Completes the waiting task.
    pub(crate) sender: WaiterSender,
}

/// Channel to a waiting task.
pub(crate) type WaiterSender = oneshot::Sender<Result<AdmissionPermit, AdmissionRefusal>>;

impl Waiter {
    /// Sends the outcome to the task. If the task is gone, the outcome is dropped together with any
    /// permit in it.
    pub(crate) fn complete(self, outcome: Result<AdmissionPermit, AdmissionRefusal>) {
        drop(self.sender.send(outcome));
    }
}

/// Time constant of a [`DecayedSum`] in seconds.
const DEMAND_TIME_CONSTANT: f64 = 30.0;

/// Sum with exponentially decaying terms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedSum {
    sum: f64,
    updated: MonotonicTime,
}

impl DecayedSum {
    /// Returns the sum at `now`.
    pub(crate) fn at(&self, now: MonotonicTime) -> f64 {
        self.sum * (-now.since(self.updated).as_secs_f64() / DEMAND_TIME_CONSTANT).exp()
    }

    /// Adds a term.
    pub(crate) fn add(&mut self, now: MonotonicTime, term: f64) {
        self.sum = self.at(now) + term;
        self.updated = now;
    }
}

/// Queue and accounting of one workspace at one priority.
pub(crate) struct Flow {
    /// Workspace of the flow.
    pub(crate) workspace: WorkspaceName,
    /// Priority of the flow.
    pub(crate) priority: AdmissionPriority,
    /// Weight of the workspace relative to the other workspaces.
    pub(crate) share: f64,
    /// Permits currently held.
    pub(crate) running: u32,
    /// Recent number of requests.
    pub(crate) demand: DecayedSum,
    /// Earliest start of the next request while the flow is over its share.
    pub(crate) next_start: MonotonicTime,
    /// Key of the flow in the set of deferred flows, if it is deferred.
    pub(crate) deferred_until: Option<MonotonicTime>,
    /// Start tag: virtual time at which the next request of this flow starts.
    pub(crate) start_tag: u64,
    /// Queued requests.
    pub(crate) waiters: BTreeMap<WaiterKey, Waiter>,
}

impl Flow {
    /// Creates an idle flow with the given start tag.
    pub(crate) fn new(request: &AdmissionRequest, start_tag: u64) -> Self {
        Self {
            workspace: request.workspace.clone(),
            priority: request.priority,
            share: request.checked_share(),
            running: 0,
            demand: DecayedSum::default(),
            next_start: MonotonicTime::default(),
            deferred_until: None,
            start_tag,
            waiters: BTreeMap::new(),
        }
    }

    /// Returns whether the flow holds permits or has queued requests.
    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.waiters.is_empty()
    }
}
