//! The waiting requests of one workspace at one priority.

use {
    crate::{AdmissionPermit, AdmissionPriority, AdmissionRefusal, AdmissionRequest},
    futures::channel::oneshot,
    gullglade_units::{MonotonicTime, WorkspaceName},
    std::collections::BTreeMap,
};

/// Orders the requests of a flow: earliest deadline, then first come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaiterKey {
    /// The deadline, the end of time for none.
    pub(crate) deadline: MonotonicTime,
    /// Order of coming.
    pub(crate) sequence: u64,
}

/// A request that waits.
pub(crate) struct Waiter {
    /// Its cost by its share: how far it moves its flow's virtual time.
    pub(crate) charge: u64,
    /// Wakes the task.
    pub(crate) sender: WaiterSender,
}

/// The way to a waiting task.
pub(crate) type WaiterSender = oneshot::Sender<Result<AdmissionPermit, AdmissionRefusal>>;

impl Waiter {
    /// Answers the task; where it is gone the answer, and with it a permit, is dropped.
    pub(crate) fn answer(self, outcome: Result<AdmissionPermit, AdmissionRefusal>) {
        drop(self.sender.send(outcome));
    }
}

/// Time in which a [`DecayedSum`] forgets all but 1 / e, seconds.
const DEMAND_WINDOW: f64 = 30.0;

/// A sum whose terms lose their weight exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedSum {
    sum: f64,
    updated: MonotonicTime,
}

impl DecayedSum {
    /// The sum now.
    pub(crate) fn at(&self, now: MonotonicTime) -> f64 {
        self.sum * (-now.since(self.updated).as_secs_f64() / DEMAND_WINDOW).exp()
    }

    /// Adds a term.
    pub(crate) fn add(&mut self, now: MonotonicTime, term: f64) {
        self.sum = self.at(now) + term;
        self.updated = now;
    }
}

/// One workspace at one priority.
pub(crate) struct Flow {
    /// The workspace.
    pub(crate) workspace: WorkspaceName,
    /// The priority.
    pub(crate) priority: AdmissionPriority,
    /// The workspace's share against the others'.
    pub(crate) share: f64,
    /// Permits out.
    pub(crate) running: u32,
    /// Requests that came lately.
    pub(crate) demand: DecayedSum,
    /// When its next request may start while it is over its share.
    pub(crate) next_start: MonotonicTime,
    /// Its place among those over their share.
    pub(crate) held_until: Option<MonotonicTime>,
    /// Virtual time at which the next request of this flow starts.
    pub(crate) start: u64,
    /// What waits.
    pub(crate) waiters: BTreeMap<WaiterKey, Waiter>,
}

impl Flow {
    /// An idle flow that may start at once.
    pub(crate) fn new(request: &AdmissionRequest, start: u64) -> Self {
        Self {
            workspace: request.workspace.clone(),
            priority: request.priority,
            share: request.checked_share(),
            running: 0,
            demand: DecayedSum::default(),
            next_start: MonotonicTime::default(),
            held_until: None,
            start,
            waiters: BTreeMap::new(),
        }
    }

    /// Whether it has permits out or requests waiting.
    pub(crate) fn is_active(&self) -> bool {
        self.running > 0 || !self.waiters.is_empty()
    }
}
