//! Times and rates of orders.

use std::time::Duration;

/// Parts of a duration by which a clock may run too fast or too slow: one in a hundred, far above
/// the few in a million of real oscillators, since VMs are also slewed by time daemons.
const DRIFT_DIVISOR: u32 = 100;

/// Times and rates; the same in every process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    pub(crate) send_limit: Duration,
    pub(crate) delivery_limit: Duration,
    pub(crate) retry_pause: Duration,
    pub(crate) send_tries: u32,
    pub(crate) acquire_pause: Duration,
    pub(crate) weight_rate: u64,
    pub(crate) weight_burst: u64,
    pub(crate) outcome_limit: usize,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            send_limit: Duration::from_secs(2),
            delivery_limit: Duration::from_secs(2),
            retry_pause: Duration::from_millis(500),
            send_tries: 5,
            acquire_pause: Duration::from_secs(1),
            weight_rate: 1 << 30,
            weight_burst: 256 << 30,
            outcome_limit: 10_000,
        }
    }
}

impl OrderSettings {
    /// The most time for sending one order. Default 2 s. A holder sends none when less of its
    /// lease is left.
    pub fn send_limit(mut self, limit: Duration) -> Self {
        self.send_limit = limit;
        self
    }

    /// How long after its sender gave up an order may still come out of the network or of a
    /// stalled engine. Default 2 s. Nothing bounds this for certain: where it matters, use engines
    /// that check fencing.
    pub fn delivery_limit(mut self, limit: Duration) -> Self {
        self.delivery_limit = limit;
        self
    }

    /// The weight store's rate for all regions, bytes a second. Default 1 GiB.
    pub fn weight_rate(mut self, rate: u64) -> Self {
        self.weight_rate = rate;
        self
    }

    /// The most weights ordered at once, bytes; the largest model must fit. Default 256 GiB.
    pub fn weight_burst(mut self, burst: u64) -> Self {
        self.weight_burst = burst;
        self
    }

    /// How many orders a desk remembers the outcome of. Default 10,000.
    pub fn outcome_limit(mut self, orders: usize) -> Self {
        self.outcome_limit = orders;
        self
    }

    /// How much of a lease its holder uses: less the time to send an order and the clocks' drift.
    pub(crate) fn usable(&self, duration: Duration) -> Duration {
        let drift = duration / DRIFT_DIVISOR;
        duration.saturating_sub(drift + self.send_limit)
    }

    /// How long a new holder waits before it gives orders to engines that ignore fencing.
    pub(crate) fn predecessor_wait(&self, predecessor_left: Duration) -> Duration {
        if predecessor_left.is_zero() {
            return self.delivery_limit;
        }
        predecessor_left + predecessor_left / DRIFT_DIVISOR + self.delivery_limit
    }
}
