//! The time for which hints are batched before they are sent.
//!
//! Load: a region of many gateways, of which some have a much smaller link than others. At 50
//! requests/s beside 24 other gateways, the headers of notices take 4% of a link of 7.5 Mbit/s if
//! a notice is sent every 20 ms.

use {gullglade_fleet::VmCapacity, std::time::Duration};

/// Time for which hints are batched: a tenth of the time that reading a typical prompt takes.
const BATCH_DELAY: Duration = Duration::from_millis(8);

/// Batching time in a region with more than [`SMALL_REGION_PEERS`] other gateways, where each
/// notice costs more in total.
const LARGE_REGION_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Batching time of a gateway with a small link in such a region. Its hints are 10 ms older on
/// average; it sends fewer of them than the gateways with larger links.
const SMALL_LINK_BATCH_DELAY: Duration = Duration::from_millis(40);

/// Most other gateways for which [`BATCH_DELAY`] applies.
const SMALL_REGION_PEERS: usize = 8;

/// A link is small if it is at most this part of the largest one of the region.
const SMALL_LINK_PART: f64 = 0.5;

/// Returns the batching time of a gateway of capacity `own` that notifies `peers` others in a
/// region of gateways of capacities `region`.
pub fn batch_delay(
    peers: usize,
    own: &VmCapacity,
    region: impl IntoIterator<Item = VmCapacity>,
) -> Duration {
    if peers <= SMALL_REGION_PEERS {
        return BATCH_DELAY;
    }
    let largest = region.into_iter().filter_map(|capacity| capacity.link_kbps()).max();
    let is_small = own
        .link_kbps()
        .zip(largest)
        .is_some_and(|(own, largest)| f64::from(own) <= f64::from(largest) * SMALL_LINK_PART);
    if is_small { SMALL_LINK_BATCH_DELAY } else { LARGE_REGION_BATCH_DELAY }
}
