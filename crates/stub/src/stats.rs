//! What a stand-in did, so that a test can hold the system's words against it.

use {
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// The answer to `GET /stub/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStats {
    /// Requests accepted for a run, whatever became of them.
    pub runs: u64,
    /// Runs by the request's `idempotency-key`.
    pub by_key: BTreeMap<String, u64>,
    /// Runs whose caller went away before the end.
    pub cancelled: u64,
}

/// Counts the runs of one stand-in.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounter {
    stats: Rc<RefCell<RunStats>>,
}

impl RunCounter {
    /// Counts a run from the moment that its request is accepted: from then on `not-run` would be
    /// a lie, even while the request waits for a slot.
    pub(crate) fn start(&self, key: Option<&str>) -> RunGuard {
        let mut stats = self.stats.borrow_mut();
        stats.runs += 1;
        if let Some(key) = key {
            *stats.by_key.entry(key.to_owned()).or_default() += 1;
        }
        RunGuard { counter: self.clone(), finished: false }
    }

    /// The counts so far.
    pub(crate) fn snapshot(&self) -> RunStats {
        self.stats.borrow().clone()
    }
}

/// One run; counted as cancelled when dropped before [`finish`](Self::finish).
#[derive(Debug)]
pub(crate) struct RunGuard {
    counter: RunCounter,
    finished: bool,
}

impl RunGuard {
    /// The run came to its end.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.counter.stats.borrow_mut().cancelled += 1;
        }
    }
}
