//! Reports of the spending of gateways.

use {
    gullglade_units::{RegionName, VmName, WorkspaceName},
    serde::{Deserialize, Serialize},
};

/// Spending of one source for a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendCount {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units spent since the source's run began, less refunds.
    pub spent: u64,
    /// Units spent since the last report. A receiver without an earlier report counts only these.
    pub latest: i64,
    /// Level of the source's bucket, for a receiver that has just started.
    pub level: i64,
}

/// Spending of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSpend {
    /// The VM.
    pub vm: VmName,
    /// The run of its gateway.
    pub run: u64,
    /// Increases with each message of the run. Receivers ignore the counts of older messages.
    pub sequence: u64,
    /// Counts that have changed.
    pub counts: Vec<SpendCount>,
}

/// Spending of all gateways of a region, as known to one of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSpend {
    /// The region.
    pub region: RegionName,
    /// The gateway that reports it.
    pub by: VmSpend,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SpendNotice {
    /// From a gateway of the same region.
    Own(VmSpend),
    /// From another region. The first receiver relays the message in its own region.
    Region {
        /// The report.
        spend: RegionSpend,
        /// True if a gateway of the receiver's region has relayed the message.
        is_relayed: bool,
    },
}
