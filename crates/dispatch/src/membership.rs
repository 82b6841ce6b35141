//! The gateways among which the send rate of a backend server is divided.

use {
    gullglade_units::{BackendName, MonotonicTime, VmName, rendezvous::score},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The share of a departed gateway is reassigned only after this time. By then the gateways of the
/// region have learned of the change, and its last sends have left the rate window.
pub(crate) const TRANSFER_DELAY: Duration = Duration::from_secs(3);

/// The rank of a gateway among those that share a rate. All gateways compute the same order, which
/// differs between backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GatewayPosition {
    pub(crate) rank: usize,
    pub(crate) count: usize,
}

impl GatewayPosition {
    /// Returns the share of this gateway in a `whole` of indivisible units.
    pub(crate) fn share_of(self, whole: usize) -> usize {
        let count = self.count.max(1);
        whole / count + usize::from(self.rank < whole % count)
    }
}

/// The gateways of a region as known to one of them, including those that departed recently.
///
/// Gateways learn of changes at different moments. Their shares never exceed the whole, because
/// each gateway counts every other one that may still use a share: a departed gateway may have used
/// its own within [`TRANSFER_DELAY`], and a new gateway takes no share until all others count it.
#[derive(Debug)]
pub(crate) struct GatewayMembership {
    own: VmName,
    /// The listed gateways, always including this one.
    listed: BTreeSet<VmName>,
    /// Gateways that are no longer listed, with the time at which they disappeared.
    departed: BTreeMap<VmName, MonotonicTime>,
}

impl GatewayMembership {
    /// Creates a list that contains only this gateway.
    pub(crate) fn new(own: VmName) -> Self {
        Self { listed: BTreeSet::from([own.clone()]), departed: BTreeMap::new(), own }
    }

    /// Replaces the listed gateways.
    pub(crate) fn set(&mut self, listed: impl IntoIterator<Item = VmName>, now: MonotonicTime) {
        let listed: BTreeSet<VmName> = listed.into_iter().chain([self.own.clone()]).collect();
        self.departed.retain(|name, at| !listed.contains(name) && now.since(*at) < TRANSFER_DELAY);
        let gone = self.listed.difference(&listed).cloned();
        self.departed.extend(gone.map(|name| (name, now)));
        self.listed = listed;
    }

    /// Returns the other listed gateways.
    pub(crate) fn others(&self) -> impl Iterator<Item = &VmName> {
        self.listed.iter().filter(|name| **name != self.own)
    }

    /// Returns the number of listed gateways.
    pub(crate) fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns the position of this gateway among all that may use a share of the rate of
    /// `backend`.
    pub(crate) fn position(&self, backend: &BackendName, now: MonotonicTime) -> GatewayPosition {
        let score_of = |gateway: &VmName| score(backend.as_str(), gateway.as_str());
        let own = score_of(&self.own);
        let departed = self.departed.iter().filter(|(_, at)| now.since(**at) < TRANSFER_DELAY);
        let claimants = self.listed.iter().chain(departed.map(|(name, _)| name));
        let mut position = GatewayPosition { rank: 0, count: 0 };
        for gateway in claimants {
            position.count += 1;
            position.rank += usize::from(score_of(gateway) > own);
        }
        position
    }
}
