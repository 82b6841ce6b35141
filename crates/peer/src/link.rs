//! Link emulation: injects delays and partitions, for the demo and for tests on one machine.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// Delay and partition state of the link to each address. The dialer applies it to its calls and
/// to each message of their replies.
pub trait LinkPolicy {
    /// Returns the one-way delay of messages to or from `address`.
    fn one_way_delay(&self, address: SocketAddr) -> Duration;

    /// Returns true while the link to `address` is partitioned.
    fn is_partitioned(&self, address: SocketAddr) -> bool;
}

/// [`LinkPolicy`] with delays and partitions per address that can change while sessions run.
#[derive(Debug, Default)]
pub struct LinkShaper {
    default_delay: Cell<Duration>,
    delays: RefCell<HashMap<SocketAddr, Duration>>,
    partitions: RefCell<HashSet<SocketAddr>>,
}

impl LinkShaper {
    /// Creates a shaper without delays or partitions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the one-way delay of addresses that have no delay of their own.
    pub fn set_default_delay(&self, delay: Duration) {
        self.default_delay.set(delay);
    }

    /// Sets the one-way delay to `address`.
    pub fn set_delay(&self, address: SocketAddr, delay: Duration) {
        self.delays.borrow_mut().insert(address, delay);
    }

    /// Partitions the link to `address`, or heals it.
    pub fn set_partitioned(&self, address: SocketAddr, partitioned: bool) {
        let mut partitions = self.partitions.borrow_mut();
        if partitioned {
            partitions.insert(address);
        } else {
            partitions.remove(&address);
        }
    }
}

impl LinkPolicy for LinkShaper {
    fn one_way_delay(&self, address: SocketAddr) -> Duration {
        self.delays.borrow().get(&address).copied().unwrap_or(self.default_delay.get())
    }

    fn is_partitioned(&self, address: SocketAddr) -> bool {
        self.partitions.borrow().contains(&address)
    }
}
