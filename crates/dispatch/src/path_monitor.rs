//! Whether this gateway has a path to a group of targets: the backend servers of a service, or the
//! gateways of a region.
//!
//! The load pattern: a gateway is partitioned from all backend servers while they serve the other
//! gateways of its region. A request to any of them waits for a connection timeout.
//!
//! If two targets fail and no other one of the group has sent anything in between, the path is
//! considered lost rather than each of the targets. An answer of any of them, or an established
//! connection, shows that the path is back. One target that fails says nothing about the others.

use {gullglade_units::ServiceName, std::collections::BTreeSet};

/// Number of targets that fail until the path is considered lost, if there are as many.
const MIN_FAILED: usize = 2;

/// A change of the path of this gateway to the backend servers of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// The service.
    pub service: ServiceName,
    /// Whether the path is considered lost from now on.
    pub is_lost: bool,
    /// Backend servers that failed since any of the service sent something. Zero once the path is
    /// back.
    pub failed: usize,
    /// The serving backend servers of the service in this region.
    pub serving: usize,
}

/// The path of this gateway to a group of targets.
#[derive(Debug)]
pub(crate) struct PathMonitor<T> {
    /// Targets that failed since any of the group sent something.
    failed: BTreeSet<T>,
    is_lost: bool,
    /// The target that was probed last.
    last_probed: Option<T>,
}

impl<T> Default for PathMonitor<T> {
    fn default() -> Self {
        Self { failed: BTreeSet::new(), is_lost: false, last_probed: None }
    }
}

impl<T: Clone + Ord> PathMonitor<T> {
    /// Records that `target`, one of a group of `count`, could not be reached. Returns whether the
    /// path is considered lost from now on.
    pub(crate) fn note_failed(&mut self, target: &T, count: usize) -> bool {
        self.failed.insert(target.clone());
        let is_lost = self.failed.len() >= MIN_FAILED.min(count);
        is_lost && !std::mem::replace(&mut self.is_lost, true)
    }

    /// Records that a target sent something or accepted a connection. Returns whether the path was
    /// considered lost until now.
    pub(crate) fn note_contact(&mut self) -> bool {
        self.failed.clear();
        std::mem::take(&mut self.is_lost)
    }

    /// Returns the number of targets that failed since any of the group sent something.
    pub(crate) fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether the path is considered lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Selects up to `limit` of `targets`, in turn, for connection attempts.
    pub(crate) fn next_probes<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a T> + Clone,
        limit: usize,
    ) -> Vec<T>
    where
        T: 'a,
    {
        let last = self.last_probed.clone();
        let is_next = |target: &&T| last.as_ref().is_none_or(|last| **target > *last);
        let rest = targets.clone().filter(|target| !is_next(target));
        let probes: Vec<T> = targets.filter(is_next).chain(rest).take(limit).cloned().collect();
        self.last_probed = probes.last().cloned();
        probes
    }
}
