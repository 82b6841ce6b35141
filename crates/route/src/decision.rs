//! What a policy answers.

use {
    crate::{Candidate, RegionOffer, RouteRequest},
    gullglade_units::RandomSource,
    std::time::Duration,
};

/// Why a request is refused. A refusal is always `not-run`: no byte has gone anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// No region that the document allows can be used from here.
    Residency,
    /// A forwarded request came back to the region it came from.
    Loop,
    /// No backend server in reach serves the model.
    NoBackend,
    /// It would be answered after its deadline.
    TooLate,
}

impl RefuseReason {
    /// The stable code of this reason, for replies and logs.
    pub fn code(self) -> &'static str {
        match self {
            RefuseReason::Residency => "residency",
            RefuseReason::Loop => "loop",
            RefuseReason::NoBackend => "no_backend",
            RefuseReason::TooLate => "too_late",
        }
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// To the backend server of this row.
    Local {
        /// Index into the candidates.
        backend: usize,
    },
    /// To a gateway of the region of this row.
    Forward {
        /// Index into the offers.
        offer: usize,
    },
    /// Nowhere yet: ask again when a slot becomes free, a report arrives, or after this time.
    Wait {
        /// The longest time until the next question.
        at_most: Duration,
    },
    /// Nowhere.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When a new attempt makes sense.
        retry_after: Duration,
    },
}

/// A way to decide. Implementations may remember their own decisions, nothing else.
pub trait RoutePolicy {
    /// Decides one request.
    fn decide(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision;
}

impl RoutePolicy for Box<dyn RoutePolicy> {
    fn decide(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        (**self).decide(request, candidates, offers, random)
    }
}
