//! The gateways among which the rate of a backend server is divided.

use {
    gullglade_units::{BackendName, MonotonicTime, VmName, rendezvous::score},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A part of a rate changes hands only after this, in which the gateways of a region learn of each
/// other and the last sends of the one before drop out of the count.
pub(crate) const HANDOVER: Duration = Duration::from_secs(3);

/// The place of a gateway among those that share a rate. They rank themselves alike, and in another
/// order for each backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayPlace {
    pub(crate) rank: usize,
    pub(crate) count: usize,
}

/// The gateways of a region, as one of them knows, with those that were there a moment ago.
///
/// Gateways learn of each other at different moments. The parts that they take stay within the
/// whole, because each of them counts every gateway that may still use a part: one that is no
/// longer listed may have used its own in this span. A gateway that began lately takes no part
/// until all others count it.
#[derive(Debug)]
pub(crate) struct GatewayRoster {
    own: VmName,
    /// Those that are listed, and this one in any case.
    listed: BTreeSet<VmName>,
    /// Those no longer listed, and since when.
    left: BTreeMap<VmName, MonotonicTime>,
}

impl GatewayRoster {
    /// A gateway that knows of itself alone.
    pub(crate) fn new(own: VmName) -> Self {
        Self { listed: BTreeSet::from([own.clone()]), left: BTreeMap::new(), own }
    }

    /// Takes the gateways that are listed now.
    pub(crate) fn set(&mut self, listed: impl IntoIterator<Item = VmName>, now: MonotonicTime) {
        let listed: BTreeSet<VmName> = listed.into_iter().chain([self.own.clone()]).collect();
        self.left.retain(|name, at| !listed.contains(name) && now.since(*at) < HANDOVER);
        let gone = self.listed.difference(&listed).cloned();
        self.left.extend(gone.map(|name| (name, now)));
        self.listed = listed;
    }

    /// How many are listed.
    pub(crate) fn len(&self) -> usize {
        self.listed.len()
    }

    /// The place of this gateway among all that may use a part of the rate of `backend`.
    pub(crate) fn place(&self, backend: &BackendName, now: MonotonicTime) -> GatewayPlace {
        let score_of = |gateway: &VmName| score(backend.as_str(), gateway.as_str());
        let own = score_of(&self.own);
        let left = self.left.iter().filter(|(_, at)| now.since(**at) < HANDOVER);
        let holders = self.listed.iter().chain(left.map(|(name, _)| name));
        let mut place = GatewayPlace { rank: 0, count: 0 };
        for gateway in holders {
            place.count += 1;
            place.rank += usize::from(score_of(gateway) > own);
        }
        place
    }
}
