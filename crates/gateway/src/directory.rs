//! What a gateway knows of the other gateways and of other regions.

use {
    crate::decide::backend_target,
    gullglade_backend::{BackendRelay, EntryTable, RegionSummary},
    gullglade_document::ServiceTarget,
    gullglade_units::{ProcessContext, RegionName, VmName},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// Another region, as far as one target is concerned.
#[derive(Debug, Clone)]
pub struct RegionStatus {
    /// The region.
    pub region: RegionName,
    /// Whether a gateway there was heard of lately.
    pub reachable: bool,
    /// One-way delay between gateways.
    pub link: Duration,
    /// Slots of its backend servers for the target.
    pub slots: u32,
    /// Slots that it says are free.
    pub free_slots: u32,
    /// Prompt tokens waiting there.
    pub prefill_tokens: u32,
    /// Prompt tokens its backend servers read in a second.
    pub prefill_rate: f64,
    /// Time since it said so.
    pub age: Duration,
    /// Time since it came back from an outage or a partition.
    pub since_return: Duration,
    /// Part of its free slots that this gateway may count on.
    pub share: f64,
}

/// A gateway that a caller may use.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EntryGateway {
    /// Its VM.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// Where callers reach it.
    pub url: String,
    /// 0 is the best group; callers use a lower group only where no better one answers.
    pub rank: u32,
    /// Share of the callers of its group, in parts of the group's sum.
    pub weight: u32,
}

/// The answer to `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EntryAnswer {
    /// Milliseconds for which it may be used.
    pub ttl_ms: u64,
    /// The gateways, best first.
    pub gateways: Vec<EntryGateway>,
}

/// Answers from what this process knows; never waits.
pub trait RegionDirectory {
    /// Other regions that may take requests for `target`.
    fn region_statuses(&self, target: &ServiceTarget) -> Vec<RegionStatus>;

    /// Peer addresses of the gateways of `region`, the one to use first in front.
    fn gateway_addresses(&self, region: &RegionName) -> Vec<SocketAddr>;

    /// Gateways of this region, this one included, that share its backend servers.
    fn gateway_count(&self) -> usize {
        1
    }

    /// The gateways that callers of a service allowed in `regions` should use.
    fn entry(&self, regions: &[RegionName]) -> EntryAnswer;

    /// A call to the gateway at `address` did not get through.
    fn note_failure(&self, address: SocketAddr);
}

/// The directory of a process: what its relay has heard of.
pub struct RelayDirectory {
    local_region: RegionName,
    relay: BackendRelay,
    table: EntryTable,
}

impl RelayDirectory {
    /// The directory of a gateway in `here`.
    pub fn new(local_region: RegionName, relay: BackendRelay, context: ProcessContext) -> Self {
        Self { local_region, table: EntryTable::new(relay.clone(), context), relay }
    }

    fn region_status(&self, summary: RegionSummary) -> RegionStatus {
        let totals = summary.totals;
        // All gateways of this region read the same offer; each counts on its part of it.
        let share = 1.0 / self.relay.members().len().max(1) as f64;
        RegionStatus {
            region: summary.region,
            reachable: summary.is_reachable,
            link: summary.delay,
            slots: totals.slots,
            free_slots: totals.free_slots,
            prefill_tokens: u32::try_from(totals.prefill_tokens).unwrap_or(u32::MAX),
            prefill_rate: totals.prefill_rate as f64,
            age: summary.age,
            since_return: summary.reachable_for,
            share,
        }
    }
}

impl RegionDirectory for RelayDirectory {
    fn region_statuses(&self, target: &ServiceTarget) -> Vec<RegionStatus> {
        let summaries = self.relay.summaries(backend_target(target));
        summaries.into_iter().map(|summary| self.region_status(summary)).collect()
    }

    fn gateway_count(&self) -> usize {
        self.relay.members().len()
    }

    fn gateway_addresses(&self, region: &RegionName) -> Vec<SocketAddr> {
        self.relay.contacts(region).into_iter().map(|contact| contact.peer_address).collect()
    }

    fn entry(&self, regions: &[RegionName]) -> EntryAnswer {
        let answer = self.table.answer(|region| regions.contains(region));
        let gateway = |entry: gullglade_backend::EntryGateway| EntryGateway {
            rank: u32::from(entry.region != self.local_region),
            name: entry.vm,
            region: entry.region,
            url: format!("http://{}", entry.address),
            weight: entry.weight,
        };
        EntryAnswer {
            ttl_ms: answer.ttl_millis,
            gateways: answer.gateways.into_iter().map(gateway).collect(),
        }
    }

    fn note_failure(&self, address: SocketAddr) {
        self.relay.note_failure(address);
    }
}
