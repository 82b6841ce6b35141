//! Answer of `/v1/entry`: the gateways that a caller should use.
//!
//! The answer is computed from local knowledge, so that it does not depend on any other process.
//! Gateways of this region come first, in random order weighted by their free capacity. A list
//! sorted by load would direct all callers that ask within one heartbeat interval to the same
//! gateway. Weighted random order spreads them, and the least loaded gateway only gets the largest
//! share.

use {
    crate::{BackendRelay, GatewayContact, member_table::MemberTable, region_table::RegionTable},
    gullglade_units::{ProcessContext, RandomSource, RegionName, VmName},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Validity of an answer. It is shortened at random by up to 20 %, so that callers that started
/// together do not stay synchronized.
const ANSWER_TTL: Duration = Duration::from_secs(5);

/// Gateways at or above this share of their limit are omitted while others are below it.
const OVERLOAD_SHARE: f64 = 0.95;

/// Weight of an idle gateway of the largest size.
const MAX_WEIGHT: f64 = 1_000.0;

/// Maximum number of gateways in an answer.
const ANSWER_LIMIT: usize = 8;

/// Answer of `/v1/entry`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryAnswer {
    /// Validity in milliseconds.
    pub ttl_millis: u64,
    /// Gateways in the order in which to try them: the first is to be used, the others are
    /// fallbacks.
    pub gateways: Vec<EntryGateway>,
}

/// Gateway in an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryGateway {
    /// VM of the gateway.
    pub vm: VmName,
    /// Region of the gateway.
    pub region: RegionName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Weight relative to the other gateways of its region, from 1 to 1000, for callers that spread
    /// their own requests.
    pub weight: u32,
}

/// Gateway that accepts callers, as far as known.
#[derive(Clone, Debug)]
pub(crate) struct EntryCandidate {
    contact: GatewayContact,
    region: RegionName,
    /// Maximum number of concurrent requests. 1 if unknown.
    limit: u32,
    /// Share of the limit in use.
    load: f64,
    /// Whether the gateway is in this region.
    is_local: bool,
}

/// Builds an answer from the known gateways.
pub(crate) fn answer(candidates: Vec<EntryCandidate>, random: &dyn RandomSource) -> EntryAnswer {
    let (local, remote): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.is_local);
    let mut gateways = weighted_order(local, random);
    gateways.extend(weighted_order(remote, random));
    gateways.truncate(ANSWER_LIMIT);
    let ttl = ANSWER_TTL.mul_f64(1.0 - 0.2 * random.unit());
    EntryAnswer { ttl_millis: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX), gateways }
}

/// Orders the candidates by weighted random sampling without replacement, with the free capacity as
/// the weight (Efraimidis and Spirakis, 2006).
fn weighted_order(candidates: Vec<EntryCandidate>, random: &dyn RandomSource) -> Vec<EntryGateway> {
    let all_full = candidates.iter().all(|candidate| candidate.load >= OVERLOAD_SHARE);
    let largest = candidates.iter().map(|candidate| candidate.limit).max().unwrap_or(1);
    let usable = candidates.iter().filter(|candidate| all_full || candidate.load < OVERLOAD_SHARE);
    let mut keyed: Vec<(f64, EntryGateway)> = usable
        .map(|candidate| {
            let weight = weight(candidate, largest);
            let key = -random.unit().max(f64::MIN_POSITIVE).ln() / f64::from(weight);
            (key, entry_gateway(candidate, weight))
        })
        .collect();
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().map(|(_, entry)| entry).collect()
}

/// Returns the free capacity relative to the size of the `largest` gateway.
fn weight(candidate: &EntryCandidate, largest: u32) -> u32 {
    let size = f64::from(candidate.limit) / f64::from(largest.max(1));
    (size * (1.0 - candidate.load) * MAX_WEIGHT).max(1.0) as u32
}

fn entry_gateway(candidate: &EntryCandidate, weight: u32) -> EntryGateway {
    EntryGateway {
        vm: candidate.contact.vm.clone(),
        region: candidate.region.clone(),
        address: candidate.contact.caller_address,
        weight,
    }
}

/// Returns the gateways of this region.
pub(crate) fn local_candidates(members: &MemberTable) -> Vec<EntryCandidate> {
    let serving = members.serving().into_iter();
    serving
        .map(|(record, _)| EntryCandidate {
            contact: record.contact(),
            limit: record.profile.limit,
            load: record.load_share(),
            region: record.profile.region,
            is_local: true,
        })
        .collect()
}

/// Returns the gateways of reachable regions, for callers whose own region has no gateway left.
pub(crate) fn remote_candidates(regions: &RegionTable) -> Vec<EntryCandidate> {
    let mut candidates = Vec::new();
    for region in regions.names() {
        if !regions.is_reachable(&region) {
            continue;
        }
        let contacts = regions.contacts(&region).into_iter();
        candidates.extend(contacts.map(|contact| EntryCandidate {
            contact,
            region: region.clone(),
            limit: 1,
            load: 0.0,
            is_local: false,
        }));
    }
    candidates
}

/// Serves `/v1/entry` from the state of a relay.
pub struct EntryTable {
    relay: BackendRelay,
    context: ProcessContext,
}

impl EntryTable {
    /// Creates a table backed by `relay`.
    pub fn new(relay: BackendRelay, context: ProcessContext) -> Self {
        Self { relay, context }
    }

    /// Returns the gateways that a caller should use, limited to the regions for which `allowed`
    /// returns true.
    pub fn answer(&self, allowed: impl Fn(&RegionName) -> bool) -> EntryAnswer {
        let mut candidates = self.relay.entry_candidates();
        candidates.retain(|candidate| allowed(&candidate.region));
        answer(candidates, &*self.context.random)
    }
}
