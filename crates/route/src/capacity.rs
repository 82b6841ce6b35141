//! Number of requests that a gateway may run in its own region.

use crate::{BackendRole, Candidate, HealthState};

/// Permits of a gateway's admission queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCapacity {
    /// Permits for all workspaces.
    pub permits: u32,
    /// Permits for workspaces that are over their share.
    pub over_share: u32,
}

/// Computes the permits of this gateway: its requests at the engines plus the estimated remaining
/// capacity, with `overcommit` requests beyond the slots of each engine. A workspace over its share
/// may use only the free slots beyond the fraction `reserve` of all slots, and of these only one
/// part in `gateways`.
///
/// All gateways of a region see the same free slots. If they overcommit them together, the excess
/// queues in the engines until the next report corrects it; but a workspace with a permanent
/// backlog would take all free slots at every report.
pub fn permit_capacity(
    candidates: &[Candidate<'_>],
    overcommit: u32,
    reserve: f64,
    gateways: usize,
) -> PermitCapacity {
    let usable = || candidates.iter().filter(|c| is_usable(c));
    let own: u32 = sum(usable().map(|c| c.own.active));
    let remaining_slots: u32 = sum(usable().map(|c| remaining_slots(c, overcommit)));
    let free: u32 = sum(usable().map(Candidate::free_slots));
    let slots: u32 = sum(usable().map(|c| c.capacity.slots));
    let gateways = u32::try_from(gateways.max(1)).unwrap_or(u32::MAX);
    let reserved = (f64::from(slots) * reserve.clamp(0.0, 1.0)).ceil() as u32;
    PermitCapacity {
        permits: own.saturating_add(remaining_slots),
        over_share: own.saturating_add(free.saturating_sub(reserved) / gateways),
    }
}

fn sum(values: impl Iterator<Item = u32>) -> u32 {
    values.fold(0, u32::saturating_add)
}

fn remaining_slots(candidate: &Candidate<'_>, overcommit: u32) -> u32 {
    let limit = candidate.capacity.slots.saturating_add(overcommit);
    limit.saturating_sub(candidate.active_now())
}

fn is_usable(candidate: &Candidate<'_>) -> bool {
    !candidate.leaving
        && candidate.health != HealthState::Down
        && candidate.role != BackendRole::Standby
}
