//! Tracks the backend servers that a request was sent to, and selects those that may get it next.
//!
//! The load pattern: in overload engines pause for seconds, and when one of two silent runs has to
//! end, it is unknown which backend server will continue. The one that was kept may hang or fail
//! while the other one would have answered. Routes limit the number of backend servers per request,
//! so a backend server whose run was given up while silent may get the request once more.

use {
    gullglade_units::{BackendName, RegionName},
    std::mem::take,
};

/// A backend server that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsedBackend {
    /// Its region.
    pub region: RegionName,
    /// Its name.
    pub name: BackendName,
}

/// The next destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextTarget<'a> {
    /// A backend server that has not had the request.
    Fresh,
    /// A backend server whose run of the request was given up.
    Return(&'a UsedBackend),
}

/// The backend servers that may have run one request.
#[derive(Debug)]
pub struct AttemptTracker {
    /// The maximum number of backend servers.
    max_backends: u32,
    /// Number of backend servers whose runs have ended.
    ended_runs: u32,
    /// Whether the current run is at a backend server that had the request before.
    is_return: bool,
    /// Backend servers whose runs were given up while silent, the latest last.
    given_up: Vec<UsedBackend>,
}

impl AttemptTracker {
    /// Creates the tracker of a request that may be sent to `max_backends` backend servers.
    pub fn new(max_backends: u32) -> Self {
        Self { max_backends, ended_runs: 0, is_return: false, given_up: Vec::new() }
    }

    /// Returns whether the request may have run, apart from the current run.
    pub fn has_run(&self) -> bool {
        self.ended_runs > 0
    }

    /// Returns the next destination after the runs that have ended, or `None` if the request may
    /// not be sent again.
    pub fn next_target(&self) -> Option<NextTarget<'_>> {
        match self.ended_runs < self.max_backends {
            true => Some(NextTarget::Fresh),
            false => self.given_up.last().map(NextTarget::Return),
        }
    }

    /// Returns whether another backend server may get the request while the current run continues.
    pub fn may_be_replaced(&self) -> bool {
        self.ended_runs + u32::from(!self.is_return) < self.max_backends
    }

    /// Returns whether there is a given-up run whose backend server may get the request again.
    pub fn has_given_up(&self) -> bool {
        !self.given_up.is_empty()
    }

    /// Records that the request is sent back to `backend`, which may not get it a third time.
    pub fn note_return(&mut self, backend: &UsedBackend) {
        self.is_return = true;
        self.given_up.retain(|given_up| given_up != backend);
    }

    /// Records that the request certainly did not run after it was sent back to `backend`, so it
    /// may be sent back again.
    pub fn note_return_refused(&mut self, backend: UsedBackend) {
        self.is_return = false;
        self.given_up.push(backend);
    }

    /// Records that the current run ended by itself.
    pub fn note_ended(&mut self) {
        self.ended_runs += u32::from(!take(&mut self.is_return));
    }

    /// Records that the current run was given up while silent. `backend` is its backend server, if
    /// known.
    pub fn note_given_up(&mut self, backend: Option<UsedBackend>) {
        let is_first = !self.is_return;
        self.note_ended();
        self.given_up.extend(backend.filter(|_| is_first));
    }

    /// Records that a concurrent run ended before the current one.
    pub fn note_ended_beside(&mut self) {
        self.ended_runs += 1;
    }
}
