//! Selection of the processes to ask for configuration.

use {
    super::message::ControlEndpoint,
    gullglade_units::{MonotonicTime, RegionName},
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The number of gateways per relay; larger regions have several relays. At one request every four
/// seconds each, 32 gateways send 8 requests a second.
const FOLLOWERS_PER_RELAY: usize = 32;

/// The initial backoff of a process that did not answer. It doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_secs(2);

/// The maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The backoff of processes that did not answer.
#[derive(Debug, Default)]
pub(super) struct BackoffTable {
    failures: RefCell<BTreeMap<SocketAddr, (u32, MonotonicTime)>>,
}

impl BackoffTable {
    pub(super) fn note_failure(&self, address: SocketAddr, now: MonotonicTime) {
        let mut failures = self.failures.borrow_mut();
        let (count, until) = failures.entry(address).or_default();
        let backoff = MIN_BACKOFF.saturating_mul(1 << (*count).min(4)).min(MAX_BACKOFF);
        *count += 1;
        *until = now + backoff;
    }

    pub(super) fn note_success(&self, address: SocketAddr) {
        self.failures.borrow_mut().remove(&address);
    }

    fn is_backing_off(&self, address: SocketAddr, now: MonotonicTime) -> bool {
        self.failures.borrow().get(&address).is_some_and(|(_, until)| now < *until)
    }
}

/// The inputs of the selection.
pub(super) struct UpstreamInputs<'a> {
    /// The address of this process.
    pub(super) own_address: SocketAddr,
    pub(super) region: &'a RegionName,
    /// The addresses of the region's gateways.
    pub(super) peers: Vec<SocketAddr>,
    /// The endpoints of the control processes.
    pub(super) controls: &'a [ControlEndpoint],
    pub(super) backoffs: &'a BackoffTable,
    pub(super) now: MonotonicTime,
}

/// The processes to ask, in order of preference.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct UpstreamOrder {
    /// Whether this process is a relay of its region.
    pub(super) is_relay: bool,
    /// The upstreams to ask first, in order of preference.
    pub(super) preferred: Vec<SocketAddr>,
    /// The processes to ask if none of the preferred ones has a recently confirmed state. The
    /// region may be cut off from control, and another of its gateways may have a newer
    /// configuration.
    pub(super) fallback: Vec<SocketAddr>,
}

impl UpstreamInputs<'_> {
    /// Selects the upstreams: a relay asks the control processes, every other gateway asks the
    /// relays. A relay that does not answer is skipped, and the next one in rank takes its place.
    pub(super) fn select(&self) -> UpstreamOrder {
        let ranked = self.ranked_peers();
        let count = 1 + ranked.len() / FOLLOWERS_PER_RELAY;
        let relays = &ranked[..count.min(ranked.len())];
        let is_relay = relays.contains(&self.own_address);
        let controls = self.ranked_controls();
        let preferred = if is_relay { controls.clone() } else { self.rotated(relays) };
        let mut fallback: Vec<_> =
            ranked.iter().copied().filter(|a| *a != self.own_address).collect();
        fallback.extend(controls);
        fallback.retain(|address| !preferred.contains(address));
        UpstreamOrder { is_relay, preferred, fallback }
    }

    fn is_usable(&self, address: SocketAddr) -> bool {
        address == self.own_address || !self.backoffs.is_backing_off(address, self.now)
    }

    fn ranked_peers(&self) -> Vec<SocketAddr> {
        let all: BTreeSet<_> = self.peers.iter().copied().chain([self.own_address]).collect();
        let mut ranked: Vec<_> = all.into_iter().filter(|a| self.is_usable(*a)).collect();
        ranked.sort_by_key(|address| rank_hash(self.region.as_str(), *address));
        ranked
    }

    /// Returns the control processes: this one, then those of the region, then the others. Each
    /// group is in an order that differs between regions, to distribute the load.
    fn ranked_controls(&self) -> Vec<SocketAddr> {
        let usable = |endpoint: &&ControlEndpoint| self.is_usable(endpoint.address);
        let mut endpoints: Vec<_> = self.controls.iter().filter(usable).collect();
        endpoints.sort_by_key(|endpoint| {
            let is_other = endpoint.address != self.own_address;
            (
                is_other,
                endpoint.region != *self.region,
                rank_hash(self.region.as_str(), endpoint.address),
            )
        });
        endpoints.into_iter().map(|endpoint| endpoint.address).collect()
    }

    fn rotated(&self, relays: &[SocketAddr]) -> Vec<SocketAddr> {
        let start = rank_hash("follower", self.own_address) as usize % relays.len();
        relays[start..].iter().chain(&relays[..start]).copied().collect()
    }
}

/// Returns a hash that is the same on every process.
fn rank_hash(salt: &str, address: SocketAddr) -> u32 {
    crc32fast::hash(format!("{salt} {address}").as_bytes())
}
