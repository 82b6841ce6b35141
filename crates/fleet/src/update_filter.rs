//! Selects the changes of a registry that concern one gateway.
//!
//! Load scenario: hundreds of gateways follow every control process, and everything changes at once
//! when a deployment starts or recovers from a loss of power. If each gateway merged the backend
//! servers and gateways of all regions, the cost would grow with the square of the number of VMs. A
//! gateway places work only in its own region and forwards work to a few gateways of each other
//! region, so it is sent only those.

use {
    crate::{BackendObservation, DepartedRun, FleetRegistry, GatewayObservation},
    gullglade_units::{MonotonicTime, RegionName, VmName, rendezvous::score},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Number of ready gateways of each other region that are sent to a gateway. It forwards work to
/// three of them; the others replace those that stop or become silent.
const REMOTE_GATEWAYS: usize = 8;

/// Selects the changes for one gateway that follows a control process.
#[derive(Clone, Copy, Debug)]
pub struct UpdateFilter<'a> {
    /// VM of the gateway.
    pub vm: &'a VmName,
    /// Region of the gateway.
    pub region: &'a RegionName,
}

/// Changes of a registry that concern one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetUpdate {
    /// Backend servers of its region.
    pub backends: Vec<BackendObservation>,
    /// Departures in its region or in an unknown region.
    pub departed: Vec<DepartedRun>,
    /// Gateways of its region, and some of the other regions.
    pub gateways: Vec<GatewayObservation>,
}

impl UpdateFilter<'_> {
    /// Returns the changes of `registry` after `cursor`.
    pub fn updates(
        &self,
        registry: &FleetRegistry,
        cursor: u64,
        now: MonotonicTime,
    ) -> FleetUpdate {
        FleetUpdate {
            backends: registry.region_backends_after(self.region, cursor, now),
            departed: registry.region_departed_after(self.region, cursor),
            gateways: self.gateways(registry, cursor),
        }
    }

    fn gateways(&self, registry: &FleetRegistry, cursor: u64) -> Vec<GatewayObservation> {
        let mut selected = Vec::new();
        let mut remote: BTreeMap<&RegionName, (bool, Vec<_>)> = BTreeMap::new();
        for entry in registry.gateways() {
            let is_changed = entry.changed > cursor;
            let region = &entry.announcement.profile.region;
            if region == self.region {
                selected.extend(is_changed.then(|| entry.observation()));
                continue;
            }
            let (has_changes, entries) = remote.entry(region).or_default();
            *has_changes |= is_changed;
            entries.push(entry);
        }
        for (has_changes, mut entries) in remote.into_values() {
            if !has_changes {
                continue;
            }
            entries.sort_by_cached_key(|entry| {
                Reverse(score(self.vm.as_str(), entry.announcement.profile.vm.as_str()))
            });
            // Gateways that are no longer ready are included, because the receiver may still rely
            // on them.
            let mut ready = 0;
            for entry in entries {
                ready += usize::from(entry.is_ready());
                selected.push(entry.observation());
                if ready == REMOTE_GATEWAYS {
                    break;
                }
            }
        }
        selected
    }
}
