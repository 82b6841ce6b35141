//! The policies that the product's is compared with. They keep to the hard filters as well, through
//! [`CheckedPolicy`](crate::CheckedPolicy), and never wait.

use {
    crate::{Candidate, RefuseReason, RegionOffer, RouteDecision, RoutePolicy, RouteRequest},
    gullglade_units::RandomSource,
    std::{cell::Cell, time::Duration},
};

fn nowhere() -> RouteDecision {
    let reason = RefuseReason::NoBackend;
    RouteDecision::Refuse { reason, retry_after: Duration::from_secs(1) }
}

fn load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.report.active) / f64::from(candidate.capacity.slots.max(1))
}

fn offer_load(offer: &RegionOffer<'_>) -> f64 {
    1.0 - f64::from(offer.free_slots) / f64::from(offer.slots.max(1))
}

/// The offer whose region says it is emptiest.
fn emptiest(offers: &[RegionOffer<'_>]) -> Option<(usize, f64)> {
    let loads = offers.iter().map(offer_load).enumerate();
    loads.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// The engine chosen here, or the offer chosen elsewhere: where there is no engine here, or
/// `leaves` finds the load here (first) and there (second) to be worth it.
fn local_or_away(
    local: Option<(usize, f64)>,
    away: Option<(usize, f64)>,
    leaves: impl FnOnce(f64, f64) -> bool,
) -> RouteDecision {
    match (local, away) {
        (Some((_, here)), Some((offer, there))) if leaves(here, there) => {
            RouteDecision::Forward { offer }
        }
        (Some((backend, _)), _) => RouteDecision::Local { backend },
        (None, Some((offer, _))) => RouteDecision::Forward { offer },
        (None, None) => nowhere(),
    }
}

/// Each engine of every region in its turn, an offer standing for its region's engines.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: Cell<u64>,
}

/// Slots that one turn of [`RoundRobin`] stands for.
const TURN_SLOTS: u64 = 4;

fn turns(slots: u32) -> u64 {
    (u64::from(slots) / TURN_SLOTS).max(1)
}

impl RoutePolicy for RoundRobin {
    fn decide(
        &self,
        _request: &RouteRequest<'_>,
        candidates: &[Candidate<'_>],
        offers: &[RegionOffer<'_>],
        _random: &dyn RandomSource,
    ) -> RouteDecision {
        let local = candidates.iter().map(|c| turns(c.capacity.slots));
        let total: u64 = local.chain(offers.iter().map(|o| turns(o.slots))).sum();
        let mut turn = self.next.get() % total.max(1);
        self.next.set(self.next.get() + STRIDE);
        for (backend, candidate) in candidates.iter().enumerate() {
            match turn.checked_sub(turns(candidate.capacity.slots)) {
                None => return RouteDecision::Local { backend },
                Some(rest) => turn = rest,
            }
        }
        for (offer, row) in offers.iter().enumerate() {
            match turn.checked_sub(turns(row.slots)) {
                None => return RouteDecision::Forward { offer },
                Some(rest) => turn = rest,
            }
        }
        nowhere()
    }
}

/// Steps of [`RoundRobin`]; prime to every number of turns below it, so that all are visited and
/// engines of one region do not follow each other.
const STRIDE: u64 = 7_919;

/// The engine or region that reported the least load, uncorrected.
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
        let loads = candidates.iter().map(load).enumerate();
        let local = loads.min_by(|a, b| a.1.total_cmp(&b.1));
        local_or_away(local, emptiest(offers), |here, there| there < here)
    }
}

/// The better of two drawn engines by reported load and own work (power of two choices, Mitzenmacher,
/// 2001); away where both are full and a region has free slots.
#[derive(Debug, Default)]
pub struct TwoChoices;

fn corrected(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.active_now()) / f64::from(candidate.capacity.slots.max(1))
}

fn draw(count: usize, random: &dyn RandomSource) -> usize {
    usize::try_from(random.below(count as u64)).unwrap_or(0)
}

fn better_of_two(candidates: &[Candidate<'_>], random: &dyn RandomSource) -> Option<(usize, f64)> {
    if candidates.is_empty() {
        return None;
    }
    let first = draw(candidates.len(), random);
    let second = draw(candidates.len(), random);
    let (one, two) = (corrected(&candidates[first]), corrected(&candidates[second]));
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
        local_or_away(local, emptiest(offers), |here, there| here >= 1.0 && there < 1.0)
    }
}

/// The better of two drawn engines, never another region unless the request may not stay.
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
        local_or_away(better_of_two(candidates, random), emptiest(offers), |_, _| false)
    }
}
