//! Which backend servers a request was sent to, and which may get it next.
//!
//! The load pattern: at the worst of the load engines pause for seconds, and when one of two silent
//! runs has to end it is not known which backend server will go on. The one that was kept may hang
//! or end while the other one would have answered. Routes limit how many backend servers a request
//! is sent to, so one whose run was given up while it was silent may get the request again, once.

use {
    gullglade_units::{BackendName, RegionName},
    std::mem::take,
};

/// A backend server that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsedBackend {
    /// Where it is.
    pub region: RegionName,
    /// Its name.
    pub name: BackendName,
}

/// Where a request may be sent next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextTarget<'a> {
    /// To a backend server that has not had it.
    Fresh,
    /// Back to this one.
    Return(&'a UsedBackend),
}

/// The backend servers that may have run one request.
#[derive(Debug)]
pub struct AttemptTracker {
    /// The most that there may be.
    most: u32,
    /// Those whose runs have ended.
    ran: u32,
    /// Whether the run under way is at one of them.
    is_return: bool,
    /// Those whose runs were given up while they were silent, the latest last.
    given_up: Vec<UsedBackend>,
}

impl AttemptTracker {
    /// The ledger of a request that may be sent to `most` backend servers.
    pub fn new(most: u32) -> Self {
        Self { most, ran: 0, is_return: false, given_up: Vec::new() }
    }

    /// Whether the request may have run, the run under way aside.
    pub fn has_run(&self) -> bool {
        self.ran > 0
    }

    /// Where the request may go after the runs that have ended.
    pub fn next_target(&self) -> Option<NextTarget<'_>> {
        match self.ran < self.most {
            true => Some(NextTarget::Fresh),
            false => self.given_up.last().map(NextTarget::Return),
        }
    }

    /// Whether another backend server may get it while the run under way goes on.
    pub fn may_be_replaced(&self) -> bool {
        self.ran + u32::from(!self.is_return) < self.most
    }

    /// Whether a run of it was given up that may be returned to.
    pub fn has_given_up(&self) -> bool {
        !self.given_up.is_empty()
    }

    /// The request is sent back to `backend`, which may not get it once more.
    pub fn note_return(&mut self, backend: &UsedBackend) {
        self.is_return = true;
        self.given_up.retain(|given_up| given_up != backend);
    }

    /// The send back to `backend` certainly did not run: it may be made again.
    pub fn note_return_refused(&mut self, backend: UsedBackend) {
        self.is_return = false;
        self.given_up.push(backend);
    }

    /// The run under way has ended by itself.
    pub fn note_ended(&mut self) {
        self.ran += u32::from(!take(&mut self.is_return));
    }

    /// The run under way, at `backend` where that is known, was given up while it was silent.
    pub fn note_given_up(&mut self, backend: Option<UsedBackend>) {
        let is_first = !self.is_return;
        self.note_ended();
        self.given_up.extend(backend.filter(|_| is_first));
    }

    /// A run beside the one under way has ended before it.
    pub fn note_ended_beside(&mut self) {
        self.ran += 1;
    }
}
