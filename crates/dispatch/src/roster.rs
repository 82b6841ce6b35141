//! The gateways among which the rate of a backend server is divided.

use {
    gullglade_units::{MonotonicTime, VmName},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A part of a rate changes hands only after this: longer than the gateways of a region take to
/// learn of each other, and the span in which sends are counted, together.
pub(crate) const HANDOVER: Duration = Duration::from_secs(3);

/// The gateways of a region, as one of them knows, with those that were there a moment ago.
///
/// Gateways learn of each other at different moments. The parts that they take stay within the
/// whole, because each of them counts every gateway that may still use a part: one that is no
/// longer listed may have used its own in this span. A gateway that began lately takes no part
/// until all others count it.
#[derive(Debug)]
pub(crate) struct GatewayRoster {
    listed: BTreeSet<VmName>,
    /// Those no longer listed, and since when.
    left: BTreeMap<VmName, MonotonicTime>,
}

impl GatewayRoster {
    /// A gateway that knows of itself alone.
    pub(crate) fn new(own: VmName) -> Self {
        Self { listed: BTreeSet::from([own]), left: BTreeMap::new() }
    }

    /// Takes the gateways that are listed now.
    pub(crate) fn set(&mut self, listed: BTreeSet<VmName>, now: MonotonicTime) {
        self.left.retain(|name, at| !listed.contains(name) && now.since(*at) < HANDOVER);
        let gone = self.listed.difference(&listed).cloned();
        self.left.extend(gone.map(|name| (name, now)));
        self.listed = listed;
    }

    /// How many are listed.
    pub(crate) fn len(&self) -> usize {
        self.listed.len()
    }

    /// All that may use a part of a rate.
    pub(crate) fn holders(&self, now: MonotonicTime) -> impl Iterator<Item = &VmName> + Clone + '_ {
        let left = self.left.iter().filter(move |(_, at)| now.since(**at) < HANDOVER);
        self.listed.iter().chain(left.map(|(name, _)| name))
    }
}
