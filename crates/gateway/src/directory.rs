//! The view that a gateway has of the other gateways and regions.

use {
    crate::decide::backend_target,
    gullglade_backend::{BackendRelay, EntryTable, RegionSummary},
    gullglade_document::ServiceTarget,
    gullglade_units::{ProcessContext, RegionName, VmName},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
};

/// State of another region with respect to one target.
#[derive(Debug, Clone)]
pub struct RegionStatus {
    /// The region.
    pub region: RegionName,
    /// Set if one of its gateways was heard from recently.
    pub reachable: bool,
    /// One-way network delay between gateways.
    pub link: Duration,
    /// Total slots of its backend servers for the target.
    pub slots: u32,
    /// Free slots that the region reports.
    pub free_slots: u32,
    /// Prompt tokens queued there.
    pub prefill_tokens: u32,
    /// Aggregate prefill rate of its backend servers, in tokens per second.
    pub prefill_rate: f64,
    /// Age of this report.
    pub age: Duration,
    /// Time since the region became reachable again after an outage or a partition.
    pub since_return: Duration,
    /// Fraction of its free slots that this gateway may count on.
    pub share: f64,
}

/// A gateway that callers may use as an entry point.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EntryGateway {
    /// Its VM.
    pub name: VmName,
    /// Its region.
    pub region: RegionName,
    /// URL at which callers reach it.
    pub url: String,
    /// Preference group; 0 is the most preferred. Callers use a higher group only if no gateway of
    /// a lower one answers.
    pub rank: u32,
    /// Weight within its group. A gateway receives its weight divided by the sum of the group's
    /// weights.
    pub weight: u32,
}

/// The answer to `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EntryAnswer {
    /// Time for which the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The gateways, most preferred first.
    pub gateways: Vec<EntryGateway>,
}

/// Lookup of gateways and regions. Answers from local state and never blocks.
pub trait RegionDirectory {
    /// Returns the other regions that may take requests for `target`.
    fn region_statuses(&self, target: &ServiceTarget) -> Vec<RegionStatus>;

    /// Returns the peer addresses of the gateways of `region`, in order of preference.
    fn gateway_addresses(&self, region: &RegionName) -> Vec<SocketAddr>;

    /// Returns the number of gateways in this region, including this one, that share its backend
    /// servers.
    fn gateway_count(&self) -> usize {
        1
    }

    /// Returns the gateways that callers of a service allowed in `regions` should use.
    fn entry(&self, regions: &[RegionName]) -> EntryAnswer;

    /// Records a failed call to the gateway at `address`.
    fn note_failure(&self, address: SocketAddr);
}

/// A directory based on what the backend relay of this process has received.
pub struct RelayDirectory {
    local_region: RegionName,
    relay: BackendRelay,
    table: EntryTable,
}

impl RelayDirectory {
    /// Creates the directory of a gateway in `local_region`.
    pub fn new(local_region: RegionName, relay: BackendRelay, context: ProcessContext) -> Self {
        Self { local_region, table: EntryTable::new(relay.clone(), context), relay }
    }

    fn region_status(&self, summary: RegionSummary) -> RegionStatus {
        let totals = summary.totals;
        // All gateways of this region read the same offer, so each counts on an equal fraction of
        // it.
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
