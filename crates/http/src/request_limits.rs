//! Limits on requests that may change while a listener serves.

use std::{cell::Cell, rc::Rc, time::Duration};

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time for which a connection may wait for its next request.
    pub idle_timeout: Duration,
}

/// Limits of a [`ServerConfig`](crate::ServerConfig) that are set while its listener serves. Clones
/// share them.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits(Rc<Cell<Option<RequestLimits>>>);

impl SharedLimits {
    /// Sets the limits, which apply to heads and bodies that begin from now on.
    pub fn set(&self, limits: RequestLimits) {
        self.0.set(Some(limits));
    }

    pub(crate) fn get(&self) -> Option<RequestLimits> {
        self.0.get()
    }
}
