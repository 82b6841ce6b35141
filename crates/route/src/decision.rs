//! Routing decisions and the trait that policies implement.

use {
    crate::{Candidate, RegionOffer, RouteRequest},
    gullglade_units::RandomSource,
    std::time::Duration,
};

/// Reason for refusing a request. A refused request is always `not-run`: no byte of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The residency rules of the document exclude every region that is reachable from here.
    Residency,
    /// A forwarded request came back to the region that it came from.
    Loop,
    /// No reachable backend server serves the model.
    NoBackend,
    /// The answer would come after the deadline of the request.
    TooLate,
}

impl RefuseReason {
    /// Returns the stable code of this reason, for replies and logs.
    pub fn code(self) -> &'static str {
        match self {
            RefuseReason::Residency => "residency",
            RefuseReason::Loop => "loop",
            RefuseReason::NoBackend => "no_backend",
            RefuseReason::TooLate => "too_late",
        }
    }
}

/// Outcome of a routing decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Run the request on a backend server of this region.
    Local {
        /// Index into the candidates.
        backend: usize,
    },
    /// Forward the request to a gateway of another region.
    Forward {
        /// Index into the offers.
        offer: usize,
    },
    /// Keep the request queued, and decide again when a slot becomes free, a load report arrives or
    /// `at_most` has passed.
    Wait {
        /// The longest time until the next decision.
        at_most: Duration,
    },
    /// Refuse the request.
    Refuse {
        /// The reason for the refusal.
        reason: RefuseReason,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

/// Routing policy. Implementations may keep state about their own decisions only.
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
