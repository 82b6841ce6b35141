//! The answer of `/v1/entry`: which gateways a caller should use.
//!
//! The answer comes from this gateway's own knowledge, so it needs nobody else to be reachable.
//! Gateways of the own region come first, in a random order weighted by their free share. A list
//! sorted by load would send every caller that asks within one heartbeat to the same gateway;
//! weights spread them, and the gateway that carries least merely gets the most.

use {
    crate::{BackendRelay, GatewayContact, member_table::MemberTable, region_table::RegionTable},
    gullglade_units::{ProcessContext, RandomSource, RegionName, VmName},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// How long an answer holds; shortened at random by up to a fifth, so that callers that began
/// together do not stay together.
const ANSWER_TTL: Duration = Duration::from_secs(5);

/// A gateway above this share of its limit is left out while others are below it.
const OVERLOAD_SHARE: f64 = 0.95;

/// The weight of a gateway that carries nothing.
const MAX_WEIGHT: f64 = 1_000.0;

/// The most gateways in one answer.
const ANSWER_LIMIT: usize = 8;

/// One answer, the gateways in the order in which to try them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryAnswer {
    /// How long to use it, milliseconds.
    pub ttl_millis: u64,
    /// The gateways; the first is the one to use, the others are for when it fails.
    pub gateways: Vec<EntryGateway>,
}

/// One gateway of an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryGateway {
    /// Its VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Its share of callers, relative to the others of its region: 1 to 1000. A caller that
    /// spreads its own requests uses these.
    pub weight: u32,
}

/// One gateway that takes callers, as far as is known.
#[derive(Clone, Debug)]
pub(crate) struct EntryCandidate {
    contact: GatewayContact,
    region: RegionName,
    /// Requests that it takes at the same time; 1 where it is not known.
    limit: u32,
    /// The share of the limit in use.
    load: f64,
    /// Stands in the own region.
    is_local: bool,
}

/// Answers from the known gateways.
pub(crate) fn answer(candidates: Vec<EntryCandidate>, random: &dyn RandomSource) -> EntryAnswer {
    let (local, remote): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.is_local);
    let mut gateways = weighted_order(local, random);
    gateways.extend(weighted_order(remote, random));
    gateways.truncate(ANSWER_LIMIT);
    let ttl = ANSWER_TTL.mul_f64(1.0 - 0.2 * random.unit());
    EntryAnswer { ttl_millis: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX), gateways }
}

/// A random order weighted by free share (Efraimidis and Spirakis, 2006).
fn weighted_order(candidates: Vec<EntryCandidate>, random: &dyn RandomSource) -> Vec<EntryGateway> {
    let all_full = candidates.iter().all(|candidate| candidate.load >= OVERLOAD_SHARE);
    let largest = candidates.iter().map(|candidate| candidate.limit).max().unwrap_or(1);
    let usable = candidates.iter().filter(|candidate| all_full || candidate.load < OVERLOAD_SHARE);
    let mut keyed: Vec<(f64, EntryGateway)> = usable
        .map(|candidate| {
            let weight = weight(candidate, largest);
            let key = -random.unit().max(f64::MIN_POSITIVE).ln() / f64::from(weight);
            (key, entry(candidate, weight))
        })
        .collect();
    keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
    keyed.into_iter().map(|(_, entry)| entry).collect()
}

/// What is free, relative to the `largest` gateway.
fn weight(candidate: &EntryCandidate, largest: u32) -> u32 {
    let size = f64::from(candidate.limit) / f64::from(largest.max(1));
    (size * (1.0 - candidate.load) * MAX_WEIGHT).max(1.0) as u32
}

fn entry(candidate: &EntryCandidate, weight: u32) -> EntryGateway {
    EntryGateway {
        vm: candidate.contact.vm.clone(),
        region: candidate.region.clone(),
        address: candidate.contact.caller_address,
        weight,
    }
}

/// The rows of the own region.
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

/// The rows of the regions heard of lately: for callers whose own region has no gateway left.
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

/// Answers `/v1/entry` from the knowledge of one relay.
pub struct EntryTable {
    relay: BackendRelay,
    context: ProcessContext,
}

impl EntryTable {
    /// Answers from what `relay` knows.
    pub fn new(relay: BackendRelay, context: ProcessContext) -> Self {
        Self { relay, context }
    }

    /// The gateways that a caller should use, of the regions that `allowed` lets it enter.
    pub fn answer(&self, allowed: impl Fn(&RegionName) -> bool) -> EntryAnswer {
        let mut candidates = self.relay.entry_candidates();
        candidates.retain(|candidate| allowed(&candidate.region));
        answer(candidates, &*self.context.random)
    }
}
