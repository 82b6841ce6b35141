//! What of a book a gateway is told.
//!
//! The load pattern: hundreds of gateways follow every control process, and everything changes at
//! once when a deployment starts or comes back after a loss of power. Told of everything, each
//! gateway merges the backend servers and gateways of all regions, at a cost that grows with the
//! square of the VMs. It places work in its own region only, and hands work to a few gateways of
//! each other region, so that is what it is told of.

use {
    crate::{BackendObservation, DepartedRun, FleetRegistry, GatewayObservation},
    gullglade_units::{MonotonicTime, RegionName, VmName, rendezvous::score},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// The ready gateways of each other region that a gateway is told of. It hands work to three of
/// them; the others take their place when they stop or fall silent.
const AWAY_GATEWAYS: usize = 8;

/// A gateway that follows a control process.
#[derive(Clone, Copy, Debug)]
pub struct UpdateFilter<'a> {
    /// Its VM.
    pub vm: &'a VmName,
    /// Its region.
    pub region: &'a RegionName,
}

/// What changed in a book, as far as it concerns one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetUpdate {
    /// Backend servers of its region.
    pub backends: Vec<BackendObservation>,
    /// Runs that said goodbye, of its region or of an unknown one.
    pub departed: Vec<DepartedRun>,
    /// Gateways of its region, and some of the others.
    pub gateways: Vec<GatewayObservation>,
}

impl UpdateFilter<'_> {
    /// What changed in `book` after `cursor`.
    pub fn updates(&self, book: &FleetRegistry, cursor: u64, now: MonotonicTime) -> FleetUpdate {
        FleetUpdate {
            backends: book.region_backends_after(self.region, cursor, now),
            departed: book.region_departed_after(self.region, cursor),
            gateways: self.gateways(book, cursor),
        }
    }

    fn gateways(&self, book: &FleetRegistry, cursor: u64) -> Vec<GatewayObservation> {
        let mut told = Vec::new();
        let mut away: BTreeMap<&RegionName, (bool, Vec<_>)> = BTreeMap::new();
        for entry in book.gateways() {
            let is_news = entry.changed > cursor;
            let region = &entry.pulse.profile.region;
            if region == self.region {
                told.extend(is_news.then(|| entry.standing()));
                continue;
            }
            let (has_news, entries) = away.entry(region).or_default();
            *has_news |= is_news;
            entries.push(entry);
        }
        for (has_news, mut entries) in away.into_values() {
            if !has_news {
                continue;
            }
            entries.sort_by_cached_key(|entry| {
                Reverse(score(self.vm.as_str(), entry.pulse.profile.vm.as_str()))
            });
            // Those that are not ready any more are told too: the gateway may still count on them.
            let mut ready = 0;
            for entry in entries {
                ready += usize::from(entry.is_ready());
                told.push(entry.standing());
                if ready == AWAY_GATEWAYS {
                    break;
                }
            }
        }
        told
    }
}
