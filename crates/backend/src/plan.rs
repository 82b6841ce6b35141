//! Dissemination plan inside a region: two-step gossip over a grid of gateways.
//!
//! Gateways are assigned to rows by hash. A gateway sends the updates that it received directly to
//! the other gateways of its row. It forwards these and the updates received from its row to the
//! gateways of other rows for which it is the relay of its row, chosen by rendezvous hash in even
//! shares. Every update thus reaches every gateway in two steps along a single path, and each
//! gateway communicates with about twice the square root of the number of gateways instead of all
//! of them.
//!
//! Rows deliberately ignore failure domains, so that the loss of one domain does not take out a
//! whole row.

use {
    gullglade_units::{
        FailureDomain, VmName,
        rendezvous::{deal, ranked},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of gateways up to which there is a single row, in which every gateway sends to every
/// other one.
const SINGLE_ROW_LIMIT: usize = 12;

/// Number of gateways of the same row that watch each gateway.
const WATCHERS_PER_GATEWAY: usize = 3;

/// Rendezvous key for the assignment of gateways to rows.
const ROW_KEY: &str = "row";

/// Dissemination plan of one gateway for one set of live gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Other gateways of the row. They receive the updates that this gateway received directly.
    pub row_peers: BTreeSet<VmName>,
    /// Gateways of other rows. They receive the updates that this gateway received directly or from
    /// its row.
    pub relay_targets: BTreeSet<VmName>,
    /// Row peers that this gateway calls at a shorter interval to detect their failure quickly.
    /// Each gateway has `WATCHERS_PER_GATEWAY` watchers, in other failure domains where possible: a
    /// watcher that fails together with the watched gateway detects nothing.
    pub watched: BTreeSet<VmName>,
    rows: BTreeMap<VmName, u64>,
}

impl RelayPlan {
    /// Computes the plan of `local` among `members`, given with their failure domains. `members`
    /// may or may not contain `local`.
    pub fn new(local: &VmName, members: &BTreeMap<VmName, FailureDomain>) -> Self {
        let rows = assign_rows(local, members);
        let row_of = |vm: &VmName| rows.get(vm).copied().unwrap_or(0);
        let row: Vec<&VmName> = rows.keys().filter(|vm| row_of(vm) == row_of(local)).collect();
        let others = rows.keys().filter(|vm| row_of(vm) != row_of(local));
        let assigned = deal(others, &row).into_iter().filter(|(_, relay)| **relay == local);
        let relay_targets = assigned.map(|(target, _)| target.clone()).collect();
        let row_peers: BTreeSet<VmName> =
            row.iter().filter(|peer| **peer != local).map(|peer| (*peer).clone()).collect();
        let is_watched = |peer: &&VmName| {
            let others = row.iter().copied().filter(|other| other != peer);
            let mut watchers = ranked(peer.as_str(), others);
            watchers.sort_by_key(|watcher| members.get(*watcher) == members.get(*peer));
            watchers.into_iter().take(WATCHERS_PER_GATEWAY).any(|vm| vm == local)
        };
        let watched = row_peers.iter().filter(is_watched).cloned().collect();
        Self { row_peers, relay_targets, watched, rows }
    }

    /// Returns the number of rows.
    pub fn row_count(&self) -> u64 {
        self.rows.values().max().map_or(0, |last| last + 1)
    }

    /// Returns the row of `vm`.
    pub fn row_of(&self, vm: &VmName) -> Option<u64> {
        self.rows.get(vm).copied()
    }
}

/// Assigns the members to rows of equal size, in the order of their hashes. A member that joins or
/// leaves moves at most one other member from each row to the next.
fn assign_rows(local: &VmName, members: &BTreeMap<VmName, FailureDomain>) -> BTreeMap<VmName, u64> {
    let all: BTreeSet<&VmName> = members.keys().chain([local]).collect();
    let (count, rows) = (all.len(), row_count(all.len()));
    let ordered = ranked(ROW_KEY, all).into_iter().enumerate();
    let row = |index: usize| u64::try_from(index * rows / count).unwrap_or(0);
    ordered.map(|(index, vm)| (vm.clone(), row(index))).collect()
}

/// Returns the number of rows for `members` gateways: a power of two near the square root, so that
/// it rarely changes.
fn row_count(members: usize) -> usize {
    if members <= SINGLE_ROW_LIMIT { 1 } else { members.isqrt().next_power_of_two() }
}
