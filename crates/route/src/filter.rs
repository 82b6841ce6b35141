//! The hard filters, applied before every policy, and the check of its answer.

use {
    crate::{
        BackendRole, Candidate, HealthState, RefuseReason, RegionOffer, RouteDecision, RoutePolicy,
        RouteRequest,
    },
    gullglade_units::{RandomSource, RegionName},
    std::time::Duration,
};

/// When a refused caller may try again where nothing better is known.
const REFUSE_PAUSE: Duration = Duration::from_secs(1);

/// Why a forwarded request is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// It comes from this region itself.
    Loop,
    /// It has travelled between regions already and is to travel again.
    SecondHop,
}

/// Both ends of a forward check it with this: the sender with its own origin (`None` for a request
/// of its own callers), the receiver with the origin that came along.
///
/// Without the receiver's check a gateway of an older version, or one whose settings name a wrong
/// region, could pass a request on for ever; it would show as the same request id arriving twice.
pub fn check_forward(
    origin: Option<&RegionName>,
    from: &RegionName,
    to: &RegionName,
) -> Result<(), ForwardError> {
    if from == to {
        return Err(ForwardError::Loop);
    }
    match origin {
        None => Ok(()),
        Some(origin) if origin == from => Ok(()),
        Some(origin) if origin == to => Err(ForwardError::Loop),
        Some(_) => Err(ForwardError::SecondHop),
    }
}

fn permits(request: &RouteRequest<'_>, region: &RegionName) -> bool {
    let home = request.home.is_none_or(|home| home == region);
    home && request.residency.allows(region)
}

fn fits(request: &RouteRequest<'_>, candidate: &Candidate<'_>) -> bool {
    candidate.region == request.local_region
        && !candidate.leaving
        && candidate.health != HealthState::Down
        && candidate.role == request.role
        && candidate.role != BackendRole::Standby
        && request.model.is_none_or(|model| candidate.models.contains(model))
}

fn may_go(request: &RouteRequest<'_>, offer: &RegionOffer<'_>) -> bool {
    request.origin.is_none()
        && !request.stale_config
        && offer.reachable
        && offer.region != request.local_region
        && permits(request, offer.region)
}

/// The rows that a request may go to, as indexes.
#[derive(Debug, Default)]
pub struct EligibleSet {
    /// Allowed candidates: the healthy ones, or the suspect ones where none is healthy.
    pub candidates: Vec<usize>,
    /// Allowed offers.
    pub offers: Vec<usize>,
}

impl EligibleSet {
    /// Applies the hard filters.
    pub fn new(
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
    ) -> Self {
        let offers = indexes(offers, |o| may_go(request, o));
        if !permits(request, request.local_region) {
            return Self { candidates: Vec::new(), offers };
        }
        let healthy = |c: &Candidate<'_>| c.health == HealthState::Healthy && fits(request, c);
        let mut candidates_left = indexes(candidates, healthy);
        if candidates_left.is_empty() {
            candidates_left = indexes(candidates, |c| fits(request, c));
        }
        Self { candidates: candidates_left, offers }
    }

    /// The refusal where nothing is left.
    fn refusal(&self, request: &RouteRequest<'_>) -> Option<RouteDecision> {
        if !self.candidates.is_empty() || !self.offers.is_empty() {
            return None;
        }
        let reason = if request.origin == Some(request.local_region) {
            RefuseReason::Loop
        } else if permits(request, request.local_region) {
            RefuseReason::NoBackend
        } else {
            RefuseReason::Residency
        };
        Some(RouteDecision::Refuse { reason, retry_after: REFUSE_PAUSE })
    }
}

fn indexes<T>(rows: &[T], keep: impl Fn(&T) -> bool) -> Vec<usize> {
    let mut kept = Vec::with_capacity(rows.len());
    kept.extend(rows.iter().enumerate().filter(|(_, row)| keep(row)).map(|(index, _)| index));
    kept
}

/// A policy behind the hard filters: it sees only rows that are allowed, whatever it is.
pub struct CheckedPolicy<P> {
    inner: P,
}

impl<P: RoutePolicy> CheckedPolicy<P> {
    /// Puts the filters before `inner`.
    pub fn new(inner: P) -> Self {
        Self { inner }
    }

    /// The policy behind the filters.
    pub fn inner(&self) -> &P {
        &self.inner
    }
}

impl<P: RoutePolicy> RoutePolicy for CheckedPolicy<P> {
    fn decide(
        &self,
        request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        if request.origin == Some(request.local_region) {
            let reason = RefuseReason::Loop;
            return RouteDecision::Refuse { reason, retry_after: REFUSE_PAUSE };
        }
        let eligible = EligibleSet::new(request, candidates, offers);
        if let Some(refusal) = eligible.refusal(request) {
            return refusal;
        }
        let rows: Vec<_> = eligible.candidates.iter().map(|i| candidates[*i]).collect();
        let regions: Vec<_> = eligible.offers.iter().map(|i| offers[*i]).collect();
        translate(self.inner.decide(request, &rows, &regions, random), &eligible)
    }
}

/// Turns the policy's indexes into the caller's. An index that is out of bounds is a fault of the
/// policy; it refuses the request rather than the process.
fn translate(decision: RouteDecision, eligible: &EligibleSet) -> RouteDecision {
    let translated = match decision {
        RouteDecision::Local { backend } => {
            eligible.candidates.get(backend).map(|&backend| RouteDecision::Local { backend })
        }
        RouteDecision::Forward { offer } => {
            eligible.offers.get(offer).map(|&offer| RouteDecision::Forward { offer })
        }
        other => Some(other),
    };
    let reason = RefuseReason::NoBackend;
    translated.unwrap_or(RouteDecision::Refuse { reason, retry_after: REFUSE_PAUSE })
}
