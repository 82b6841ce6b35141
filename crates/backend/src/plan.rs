//! Who tells whom inside a region.
//!
//! Gateways are dealt out to rows by hash. What a gateway heard itself it tells the other members
//! of its row; what it heard from its row it tells those members of other rows for which it is the
//! row's relay (by rendezvous hash, in even shares). So everything reaches everyone in two steps, along one path,
//! and each gateway talks to about two times the square root of the region's gateways instead of
//! all of them. Rows ignore failure domains on purpose: the loss of one domain must not take a
//! whole row.

use {
    gullglade_units::{
        FailureDomain, VmName,
        rendezvous::{deal, ranked},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Up to this many gateways everyone tells everyone.
const SINGLE_ROW_LIMIT: usize = 12;

/// How many members of its row watch each gateway.
const WATCHERS_PER_GATEWAY: usize = 3;

/// The key that places gateways in rows.
const ROW_KEY: &str = "row";

/// The part of one gateway in its region's relaying, for one set of live members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// The other members of its row: told what it heard itself.
    pub row_peers: BTreeSet<VmName>,
    /// Members of other rows: told what it heard from its row and itself.
    pub relay_targets: BTreeSet<VmName>,
    /// The mates that it calls more often, to notice their death soon: each gateway has
    /// `WATCHERS_PER_GATEWAY` of these watchers, of other failure domains where there are any: watchers that
    /// die together with the watched notice nothing.
    pub watched: BTreeSet<VmName>,
    rows: BTreeMap<VmName, u64>,
}

impl RelayPlan {
    /// The plan of `local` among `members`, which are given with their failure domains and in which
    /// `local` may or may not be listed.
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

    /// The number of rows.
    pub fn row_count(&self) -> u64 {
        self.rows.values().max().map_or(0, |last| last + 1)
    }

    /// The row of `vm`.
    pub fn row_of(&self, vm: &VmName) -> Option<u64> {
        self.rows.get(vm).copied()
    }
}

/// Deals the members out to rows: in the order of their hashes, in equal parts. A member that
/// comes or goes moves one other member at most from each row to the next.
fn assign_rows(local: &VmName, members: &BTreeMap<VmName, FailureDomain>) -> BTreeMap<VmName, u64> {
    let all: BTreeSet<&VmName> = members.keys().chain([local]).collect();
    let (count, rows) = (all.len(), row_count(all.len()));
    let ordered = ranked(ROW_KEY, all).into_iter().enumerate();
    let row = |index: usize| u64::try_from(index * rows / count).unwrap_or(0);
    ordered.map(|(index, vm)| (vm.clone(), row(index))).collect()
}

/// Rows for `members` gateways: a power of two near the square root, so that it seldom changes.
fn row_count(members: usize) -> usize {
    if members <= SINGLE_ROW_LIMIT { 1 } else { members.isqrt().next_power_of_two() }
}
