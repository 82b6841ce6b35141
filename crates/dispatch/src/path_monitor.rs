//! Whether this gateway has a path to the backend servers of a service.
//!
//! The load pattern: a gateway is partitioned from all backend servers while they serve the other
//! gateways of its region. Each of dozens of backend servers would otherwise fail a request of its
//! own until the gateway knows, and each of these requests waits for a connection timeout.
//!
//! If connections to two backend servers fail and no other one of the service has sent anything in
//! between, the path is considered lost rather than each of the backend servers. An answer of any of
//! them, or an established connection, shows that the path is back.

use {
    gullglade_units::{BackendName, ServiceName},
    std::collections::BTreeSet,
};

/// Number of backend servers to which connections fail until the path is considered lost.
const MIN_FAILED: usize = 2;

/// A change of the path of this gateway to the backend servers of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// The service.
    pub service: ServiceName,
    /// Whether the path is considered lost from now on.
    pub is_lost: bool,
}

/// The path of this gateway to the backend servers of one service.
#[derive(Debug, Default)]
pub(crate) struct PathMonitor {
    /// Backend servers to which a connection failed since any of the service sent something.
    failed: BTreeSet<BackendName>,
    is_lost: bool,
    /// The backend server that was probed last.
    last_probed: Option<BackendName>,
}

impl PathMonitor {
    /// Records that no connection to `backend` could be established. Returns whether the path is
    /// considered lost from now on.
    pub(crate) fn note_failed(&mut self, backend: &BackendName) -> bool {
        self.failed.insert(backend.clone());
        self.failed.len() >= MIN_FAILED && !std::mem::replace(&mut self.is_lost, true)
    }

    /// Records that a backend server sent something or accepted a connection. Returns whether the
    /// path was considered lost until now.
    pub(crate) fn note_contact(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.is_lost)
    }

    /// Returns whether the path is considered lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Selects up to `limit` of the `serving` backend servers, in turn, for connection attempts.
    pub(crate) fn next_probes<'a>(
        &mut self,
        serving: impl Iterator<Item = &'a BackendName> + Clone,
        limit: usize,
    ) -> Vec<BackendName> {
        let last = self.last_probed.clone();
        let is_next = |name: &&BackendName| last.as_ref().is_none_or(|last| **name > *last);
        let rest = serving.clone().filter(|name| !is_next(name));
        let probes: Vec<_> = serving.filter(is_next).chain(rest).take(limit).cloned().collect();
        self.last_probed = probes.last().cloned();
        probes
    }
}
