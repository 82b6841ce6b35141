//! The choice of the gateway that takes a forwarded request.
//!
//! Load: a gateway prefers a few gateways of each region, whose VMs may have several times the
//! capacity of one another. With a uniform choice, a VM of 0.09 core gets as many long streams as
//! one of 0.3 core beside it.
//!
//! Two gateways are drawn by weight, and the one with fewer own requests in progress for its weight
//! is tried first (power of two choices, Mitzenmacher, 1996). The draw alone would follow the
//! capacity on average; the comparison also avoids a gateway whose requests take longer than usual.

use {
    gullglade_units::{RandomSource, VmName},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// Part of a request that counts in addition to those in progress. With none, a small gateway
/// without requests precedes a large one with a single request, and gets 1.32 times its part where
/// one request is in progress on average; with a whole one it gets 0.34 times its part.
const ADDED_REQUEST: f64 = 0.3;

/// A gateway that can take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayOption {
    /// Weight of its VM.
    pub weight: f64,
    /// Number of requests of this gateway that are in progress there.
    pub in_progress: usize,
}

/// Returns the indexes of up to two of `options`, in the order in which they are tried.
pub fn choose_gateways(options: &[GatewayOption], random: &dyn RandomSource) -> Vec<usize> {
    let Some(first) = draw(options, None, random) else { return Vec::new() };
    let Some(second) = draw(options, Some(first), random) else { return vec![first] };
    let load = |index: usize| {
        let GatewayOption { weight, in_progress } = options[index];
        (in_progress as f64 + ADDED_REQUEST) / weight
    };
    match load(second) < load(first) {
        true => vec![second, first],
        false => vec![first, second],
    }
}

/// Draws one of the options by weight, but not `excluded`.
fn draw(
    options: &[GatewayOption],
    excluded: Option<usize>,
    random: &dyn RandomSource,
) -> Option<usize> {
    let allowed = || options.iter().enumerate().filter(|(index, _)| Some(*index) != excluded);
    let total: f64 = allowed().map(|(_, option)| option.weight).sum();
    let mut drawn = random.unit() * total;
    let mut found = None;
    for (index, option) in allowed() {
        found = Some(index);
        drawn -= option.weight;
        if drawn < 0.0 {
            break;
        }
    }
    found
}

/// Counts of the own requests in progress at other gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwardCounts(Rc<RefCell<BTreeMap<VmName, usize>>>);

impl ForwardCounts {
    /// Returns the number of requests in progress at `vm`.
    pub(crate) fn at(&self, vm: &VmName) -> usize {
        self.0.borrow().get(vm).copied().unwrap_or_default()
    }

    /// Counts a request at `vm` until the guard is dropped.
    pub(crate) fn begin(&self, vm: &VmName) -> CountedForward {
        *self.0.borrow_mut().entry(vm.clone()).or_default() += 1;
        CountedForward { counts: self.clone(), vm: vm.clone() }
    }
}

/// A request in progress at another gateway.
#[derive(Debug)]
pub(crate) struct CountedForward {
    counts: ForwardCounts,
    vm: VmName,
}

impl Drop for CountedForward {
    fn drop(&mut self) {
        let mut counts = self.counts.0.borrow_mut();
        if let Some(count) = counts.get_mut(&self.vm) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.vm);
            }
        }
    }
}
