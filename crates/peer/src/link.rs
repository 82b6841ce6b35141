//! Delays and partitions put on links on purpose, for the demo and for tests on one machine.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// What the link to an address does to messages. The dialer applies it to both directions of its
/// own calls, chunk by chunk.
pub trait LinkPolicy {
    /// The delay of a message to or from `address`, one way.
    fn one_way_delay(&self, address: SocketAddr) -> Duration;

    /// Whether the link loses everything now.
    fn is_partitioned(&self, address: SocketAddr) -> bool;
}

/// Delays by address and cuts that are set and healed while sessions run.
#[derive(Debug, Default)]
pub struct LinkShaper {
    default: Cell<Duration>,
    delays: RefCell<HashMap<SocketAddr, Duration>>,
    cuts: RefCell<HashSet<SocketAddr>>,
}

impl LinkShaper {
    /// A shaper that changes nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the one-way delay of addresses without one of their own.
    pub fn set_default_delay(&self, delay: Duration) {
        self.default.set(delay);
    }

    /// Sets the one-way delay to `address`.
    pub fn set_delay(&self, address: SocketAddr, delay: Duration) {
        self.delays.borrow_mut().insert(address, delay);
    }

    /// Cuts the link to `address`, or heals it.
    pub fn set_partitioned(&self, address: SocketAddr, cut: bool) {
        let mut cuts = self.cuts.borrow_mut();
        if cut {
            cuts.insert(address);
        } else {
            cuts.remove(&address);
        }
    }
}

impl LinkPolicy for LinkShaper {
    fn one_way_delay(&self, address: SocketAddr) -> Duration {
        self.delays.borrow().get(&address).copied().unwrap_or(self.default.get())
    }

    fn is_partitioned(&self, address: SocketAddr) -> bool {
        self.cuts.borrow().contains(&address)
    }
}
