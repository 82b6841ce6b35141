//! Rejection of evacuation orders that arrive late.
//!
//! An evacuation and its withdrawal are idempotent alone, but each undoes the other. A forwarded
//! order can be held up on its way to the leader until after the operator has turned to another
//! process and had a later order acknowledged; it must not be applied then.
//!
//! Each order therefore names a position that its receiver had observed while the operator was
//! waiting. A later order is appended after that position, whichever member leads: its leader has
//! every committed entry, and its term is no older than that of a leader that answered before. So a
//! leader rejects an order if it has appended another one about the same failure domain after the
//! named position. Every order is appended, even one that changes nothing, or an acknowledged one
//! would leave no trace.

use {
    super::error::ChangeError,
    crate::{
        entry::{Command, LogPosition},
        traffic::TrafficChange,
    },
    gullglade_units::FailureDomain,
    std::collections::BTreeMap,
};

/// The positions of evacuation orders in the log of a leader.
#[derive(Debug)]
pub(crate) struct OrderFence {
    /// The first entry of the leader, which all orders of earlier terms precede.
    first: LogPosition,
    /// The last order that the leader has appended about each failure domain.
    latest: BTreeMap<FailureDomain, LogPosition>,
}

impl OrderFence {
    /// Creates the fence of a leader whose first entry is at `first`.
    pub(crate) fn new(first: LogPosition) -> Self {
        Self { first, latest: BTreeMap::new() }
    }

    /// Admits a command to be appended at `position`, unless it is an order that another one may
    /// have superseded since its receiver observed the log at `observed`. An order without such a
    /// position comes from a process that does not name one, and is admitted.
    pub(crate) fn admit(
        &mut self,
        command: &Command,
        observed: Option<LogPosition>,
        position: LogPosition,
    ) -> Result<(), ChangeError> {
        let Command::Traffic(TrafficChange::Evacuate { domain, .. }) = command else {
            return Ok(());
        };
        let latest = self.latest.get(domain).copied().unwrap_or(self.first);
        if observed.is_some_and(|observed| observed < latest) {
            return Err(ChangeError::Superseded { term: latest.term, index: latest.index });
        }
        self.latest.insert(domain.clone(), position);
        Ok(())
    }
}
