//! Baseline policies that [`LatencyPolicy`](crate::LatencyPolicy) is compared with. They run behind
//! the same hard filters, through [`CheckedPolicy`](crate::CheckedPolicy), and never wait.

use {
    crate::{Candidate, RefuseReason, RegionOffer, RouteDecision, RoutePolicy, RouteRequest},
    gullglade_units::RandomSource,
    std::{cell::Cell, time::Duration},
};

fn refuse_no_backend() -> RouteDecision {
    let reason = RefuseReason::NoBackend;
    RouteDecision::Refuse { reason, retry_after: Duration::from_secs(1) }
}

fn reported_load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.report.active) / f64::from(candidate.capacity.slots.max(1))
}

fn offer_load(offer: &RegionOffer<'_>) -> f64 {
    1.0 - f64::from(offer.free_slots) / f64::from(offer.slots.max(1))
}

/// Returns the offer with the lowest advertised load.
fn least_loaded_offer(offers: &[RegionOffer<'_>]) -> Option<(usize, f64)> {
    let loads = offers.iter().map(offer_load).enumerate();
    loads.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Selects the local engine, or the remote offer if there is no local engine or if `prefers_remote`
/// returns true for the local load (first argument) and the remote load (second).
fn local_or_remote(
    local: Option<(usize, f64)>,
    remote: Option<(usize, f64)>,
    prefers_remote: impl FnOnce(f64, f64) -> bool,
) -> RouteDecision {
    match (local, remote) {
        (Some((_, local_load)), Some((offer, remote_load)))
            if prefers_remote(local_load, remote_load) =>
        {
            RouteDecision::Forward { offer }
        }
        (Some((backend, _)), _) => RouteDecision::Local { backend },
        (None, Some((offer, _))) => RouteDecision::Forward { offer },
        (None, None) => refuse_no_backend(),
    }
}

/// Round robin over the engines of every region; an offer stands for the engines of its region.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: Cell<u64>,
}

/// Slots per turn of [`RoundRobin`].
const SLOTS_PER_TURN: u64 = 4;

fn turn_count(slots: u32) -> u64 {
    (u64::from(slots) / SLOTS_PER_TURN).max(1)
}

impl RoutePolicy for RoundRobin {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        _random: &dyn RandomSource,
    ) -> RouteDecision {
        let local = candidates.iter().map(|c| turn_count(c.capacity.slots));
        let total: u64 = local.chain(offers.iter().map(|o| turn_count(o.slots))).sum();
        let mut turn = self.next.get() % total.max(1);
        self.next.set(self.next.get() + TURN_STRIDE);
        for (backend, candidate) in candidates.iter().enumerate() {
            match turn.checked_sub(turn_count(candidate.capacity.slots)) {
                None => return RouteDecision::Local { backend },
                Some(remaining) => turn = remaining,
            }
        }
        for (offer, row) in offers.iter().enumerate() {
            match turn.checked_sub(turn_count(row.slots)) {
                None => return RouteDecision::Forward { offer },
                Some(remaining) => turn = remaining,
            }
        }
        refuse_no_backend()
    }
}

/// Step between two turns of [`RoundRobin`]. It is prime, hence coprime to every smaller number of
/// turns: all turns are visited, and consecutive requests go to engines of different regions.
const TURN_STRIDE: u64 = 7_919;

/// Selects the engine or region with the lowest reported load, without correction for its age.
#[derive(Debug, Default)]
pub struct LeastReported;

impl RoutePolicy for LeastReported {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        _random: &dyn RandomSource,
    ) -> RouteDecision {
        let loads = candidates.iter().map(reported_load).enumerate();
        let local = loads.min_by(|a, b| a.1.total_cmp(&b.1));
        local_or_remote(local, least_loaded_offer(offers), |local_load, remote_load| {
            remote_load < local_load
        })
    }
}

/// Power of two choices (Mitzenmacher, 2001): samples two local engines and selects the one with
/// the lower load, as reported and corrected by the gateway's own requests. Forwards the request if
/// both are full and a region has free slots.
#[derive(Debug, Default)]
pub struct TwoChoices;

fn corrected_load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.active_now()) / f64::from(candidate.capacity.slots.max(1))
}

fn random_index(count: usize, random: &dyn RandomSource) -> usize {
    usize::try_from(random.below(count as u64)).unwrap_or(0)
}

fn better_of_two(candidates: &[Candidate<'_>], random: &dyn RandomSource) -> Option<(usize, f64)> {
    if candidates.is_empty() {
        return None;
    }
    let first = random_index(candidates.len(), random);
    let second = random_index(candidates.len(), random);
    let (one, two) = (corrected_load(&candidates[first]), corrected_load(&candidates[second]));
    Some(if two < one { (second, two) } else { (first, one) })
}

impl RoutePolicy for TwoChoices {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        let local = better_of_two(candidates, random);
        local_or_remote(local, least_loaded_offer(offers), |local_load, remote_load| {
            local_load >= 1.0 && remote_load < 1.0
        })
    }
}

/// Power of two choices among the local engines. Forwards a request only if no local engine may run
/// it.
#[derive(Debug, Default)]
pub struct LocalOnly;

impl RoutePolicy for LocalOnly {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        random: &dyn RandomSource,
    ) -> RouteDecision {
        local_or_remote(better_of_two(candidates, random), least_loaded_offer(offers), |_, _| false)
    }
}
