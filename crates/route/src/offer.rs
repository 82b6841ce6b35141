//! Capacity that another region advertises.

use {gullglade_units::RegionName, std::time::Duration};

/// Advertised capacity of another region that serves the model.
#[derive(Clone, Copy, Debug)]
pub struct RegionOffer<'a> {
    /// The region.
    pub region: &'a RegionName,
    /// Whether a gateway of the region is reachable.
    pub reachable: bool,
    /// One-way network delay between the gateways.
    pub link: Duration,
    /// Total slots of the region's engines for the model.
    pub slots: u32,
    /// Free slots, as advertised by the region.
    pub free_slots: u32,
    /// Total prompt tokens that wait for prefill in the region.
    pub prefill_tokens: u32,
    /// Total prefill rate of the region's engines, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Time since the engines reported these figures, which is longer than the time since the
    /// region advertised them.
    pub age: Duration,
    /// Time since the region recovered from an outage or a network partition.
    pub since_return: Duration,
    /// Fraction of the local region's traffic to that region that this gateway may send, 0 to 1:
    /// the inverse of the number of gateways of the local region that send there.
    pub share: f64,
}
