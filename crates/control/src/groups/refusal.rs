//! Errors of claim group changes.

use {
    super::request::{GroupEpoch, MAX_GROUP_MEMBERS},
    gullglade_units::{RegionName, VmName},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Reasons to refuse a claim group. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(super)))]
pub enum GroupRefusal {
    /// The group has no members.
    #[snafu(display("a claim group needs at least one member; give --member VM=IP:PORT"))]
    Empty,
    /// The group has too many members.
    #[snafu(display(
        "{count} members: every claim asks all of them; give {MAX_GROUP_MEMBERS} or fewer"
    ))]
    TooMany {
        /// The number of members given.
        count: usize,
    },
    /// A VM is listed twice, so its vote would count twice.
    #[snafu(display("VM {vm} is listed twice among the members; list each VM once"))]
    DuplicateVm {
        /// The VM.
        vm: VmName,
    },
    /// Two VMs have the same address, so one process would be asked twice.
    #[snafu(display("two members have the address {address}; give each its own peer address"))]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// The address is not one to which others can connect.
    #[snafu(display(
        "{vm} cannot be reached at address {address}; give the --peer-address of its process"
    ))]
    NoAddress {
        /// The VM.
        vm: VmName,
        /// The address given.
        address: SocketAddr,
    },
    /// A retired VM was not a member of the preceding epoch, or is a member of the new one.
    #[snafu(display(
        "VM {vm} cannot be retired: it must be a member of epoch {base} and no member of the next"
    ))]
    NotLeaving {
        /// The VM.
        vm: VmName,
        /// The preceding epoch.
        base: GroupEpoch,
    },
    /// More than one member changes between two epochs.
    #[snafu(display(
        "from epoch {base} of {region} {joining} members would join, {leaving} leave and {moved} \
         change their address; change one VM at a time, and wait in between until \
         `gladectl claims show` reports every replica as complete"
    ))]
    TooFarApart {
        /// The region.
        region: RegionName,
        /// The preceding epoch.
        base: GroupEpoch,
        /// The number of members added.
        joining: usize,
        /// The number of members removed.
        leaving: usize,
        /// The number of members whose address changed.
        moved: usize,
    },
    /// No service's document allows the region.
    #[snafu(display(
        "no service's document allows region {region}; correct --region, or apply the document \
         first"
    ))]
    UnknownRegion {
        /// The region.
        region: RegionName,
    },
}
