//! What of a book a gateway is told.
//!
//! The load pattern: hundreds of gateways follow every control process, and everything changes at
//! once when a deployment starts or comes back after a loss of power. Told of everything, each
//! gateway merges the backend servers and gateways of all regions, at a cost that grows with the
//! square of the VMs. It places work in its own region only, and hands work to a few gateways of
//! each other region, so that is what it is told of.

use {
    crate::{BackendStanding, DepartedRun, FleetBook, GatewayStanding},
    gullglade_units::{MonotonicTime, RegionName, VmName, rendezvous::score},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// The ready gateways of each other region that a gateway is told of. It hands work to three of
/// them; the others take their place when they stop or fall silent.
const AWAY_GATEWAYS: usize = 8;

/// A gateway that follows a control process.
#[derive(Clone, Copy, Debug)]
pub struct Audience<'a> {
    /// Its VM.
    pub vm: &'a VmName,
    /// Its region.
    pub region: &'a RegionName,
}

/// What changed in a book, as far as it concerns one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetNews {
    /// Backend servers of its region.
    pub backends: Vec<BackendStanding>,
    /// Runs that said goodbye, of its region or of an unknown one.
    pub departed: Vec<DepartedRun>,
    /// Gateways of its region, and some of the others.
    pub gateways: Vec<GatewayStanding>,
}

impl Audience<'_> {
    /// What changed in `book` after `cursor`.
    pub fn news(&self, book: &FleetBook, cursor: u64, now: MonotonicTime) -> FleetNews {
        FleetNews {
            backends: book.region_backends_after(self.region, cursor, now),
            departed: book.region_departed_after(self.region, cursor),
            gateways: self.gateways(book, cursor),
        }
    }

    fn gateways(&self, book: &FleetBook, cursor: u64) -> Vec<GatewayStanding> {
        let mut told = Vec::new();
        let mut away: BTreeMap<&RegionName, (bool, Vec<_>)> = BTreeMap::new();
        for (standing, changed) in book.gateway_changes() {
            let is_news = changed > cursor;
            if standing.profile.region == *self.region {
                told.extend(is_news.then(|| standing.to_standing()));
                continue;
            }
            let (has_news, rows) = away.entry(&standing.profile.region).or_default();
            *has_news |= is_news;
            rows.push(standing);
        }
        for (has_news, mut rows) in away.into_values() {
            if !has_news {
                continue;
            }
            rows.sort_by_cached_key(|row| {
                Reverse(score(self.vm.as_str(), row.profile.vm.as_str()))
            });
            // Those that are not ready any more are told too: the gateway may still count on them.
            let mut ready = 0;
            for row in rows {
                ready += usize::from(row.is_ready());
                told.push(row.to_standing());
                if ready == AWAY_GATEWAYS {
                    break;
                }
            }
        }
        told
    }
}
