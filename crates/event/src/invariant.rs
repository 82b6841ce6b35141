//! System invariants that running processes check.

/// An invariant of the system that a check at run time monitors. [`MetricSet::record_violation`] counts
/// each time a check finds a violation, or prevents one that a peer or a backend server was about
/// to cause. Every counter must stay 0; the example alerts include one on any increase. Invariants
/// that no single process can check are monitored by other means: see `docs/operators/alerts.md`.
///
/// [`MetricSet::record_violation`]: crate::MetricSet::record_violation
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Another gateway sent a request to a region that its service does not allow; the request was
    /// refused.
    Residency,
    /// A request that had already been forwarded was forwarded again; it was refused.
    NoLoop,
    /// The id of an answer did not match its request; the answer was dropped.
    OwnAnswer,
    /// An answer ended early after its first byte was sent to the caller, and could not be resumed.
    WholeAnswer,
    /// A configuration older than the one in force was offered.
    NoRevert,
}

impl Invariant {
    /// Every monitored invariant, in declaration order.
    pub const ALL: [Invariant; 5] = [
        Invariant::Residency,
        Invariant::NoLoop,
        Invariant::OwnAnswer,
        Invariant::WholeAnswer,
        Invariant::NoRevert,
    ];

    /// Returns the value of the `promise` label.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::Residency => "residency",
            Invariant::NoLoop => "no_loop",
            Invariant::OwnAnswer => "own_answer",
            Invariant::WholeAnswer => "whole_answer",
            Invariant::NoRevert => "no_revert",
        }
    }
}
