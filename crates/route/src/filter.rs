//! Hard filters that run before every policy, and validation of the policy's answer.

use {
    crate::{
        BackendRole, Candidate, HealthState, RefuseReason, RegionOffer, RouteDecision, RoutePolicy,
        RouteRequest,
    },
    gullglade_units::{RandomSource, RegionName},
    std::time::Duration,
};

/// Retry delay of a refusal for which no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for rejecting a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// The request comes from this region itself.
    Loop,
    /// The request was forwarded between regions before and would be forwarded again.
    SecondHop,
}

/// Checks that a request may be forwarded from `from` to `to`. Both ends call this: the sender with
/// the origin that it received (`None` for a request of its own callers), the receiver with the
/// origin in the forwarded request.
///
/// Without the check at the receiver, a gateway of an older version, or one that is configured with
/// a wrong region, could forward a request in a loop; the same request id would then arrive twice.
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

fn allows_region(request: &RouteRequest<'_>, region: &RegionName) -> bool {
    let home = request.home.is_none_or(|home| home == region);
    home && request.residency.allows(region)
}

fn is_eligible(request: &RouteRequest<'_>, candidate: &Candidate<'_>) -> bool {
    candidate.region == request.local_region
        && !candidate.leaving
        && candidate.health != HealthState::Down
        && candidate.role == request.role
        && candidate.role != BackendRole::Standby
        && request.model.is_none_or(|model| candidate.models.contains(model))
}

fn can_forward(request: &RouteRequest<'_>, offer: &RegionOffer<'_>) -> bool {
    request.origin.is_none()
        && !request.stale_config
        && offer.reachable
        && offer.region != request.local_region
        && allows_region(request, offer.region)
}

/// Indexes of the rows that a request may use.
#[derive(Debug, Default)]
pub struct EligibleSet {
    /// Allowed candidates: the healthy ones, or the suspect ones if none is healthy.
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
        let offers = matching_indexes(offers, |o| can_forward(request, o));
        if !allows_region(request, request.local_region) {
            return Self { candidates: Vec::new(), offers };
        }
        let healthy =
            |c: &Candidate<'_>| c.health == HealthState::Healthy && is_eligible(request, c);
        let mut allowed = matching_indexes(candidates, healthy);
        if allowed.is_empty() {
            allowed = matching_indexes(candidates, |c| is_eligible(request, c));
        }
        Self { candidates: allowed, offers }
    }

    /// Returns the refusal if no row is allowed.
    fn refusal(&self, request: &RouteRequest<'_>) -> Option<RouteDecision> {
        if !self.candidates.is_empty() || !self.offers.is_empty() {
            return None;
        }
        let reason = if request.origin == Some(request.local_region) {
            RefuseReason::Loop
        } else if allows_region(request, request.local_region) {
            RefuseReason::NoBackend
        } else {
            RefuseReason::Residency
        };
        Some(RouteDecision::Refuse { reason, retry_after: DEFAULT_RETRY_AFTER })
    }
}

fn matching_indexes<T>(rows: &[T], keep: impl Fn(&T) -> bool) -> Vec<usize> {
    let mut kept = Vec::with_capacity(rows.len());
    kept.extend(rows.iter().enumerate().filter(|(_, row)| keep(row)).map(|(index, _)| index));
    kept
}

/// Wraps a policy with the hard filters, so that the policy sees only allowed rows.
pub struct CheckedPolicy<P> {
    inner: P,
}

impl<P: RoutePolicy> CheckedPolicy<P> {
    /// Wraps `inner` with the filters.
    pub fn new(inner: P) -> Self {
        Self { inner }
    }

    /// Returns the wrapped policy.
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
            return RouteDecision::Refuse { reason, retry_after: DEFAULT_RETRY_AFTER };
        }
        let eligible = EligibleSet::new(request, candidates, offers);
        if let Some(refusal) = eligible.refusal(request) {
            return refusal;
        }
        let rows: Vec<_> = eligible.candidates.iter().map(|i| candidates[*i]).collect();
        let regions: Vec<_> = eligible.offers.iter().map(|i| offers[*i]).collect();
        map_indexes(self.inner.decide(request, &rows, &regions, random), &eligible)
    }
}

/// Maps the indexes of the policy's answer to the caller's rows. An index that is out of bounds is
/// a bug in the policy; it refuses the request instead of aborting the process.
fn map_indexes(decision: RouteDecision, eligible: &EligibleSet) -> RouteDecision {
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
    translated.unwrap_or(RouteDecision::Refuse { reason, retry_after: DEFAULT_RETRY_AFTER })
}
