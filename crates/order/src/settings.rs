//! Time limits and rates of orders.

use std::time::Duration;

/// The drift of a clock is at most a duration divided by this number: one percent, far above the
/// few parts per million of real oscillators, because time daemons also slew the clocks of VMs.
const DRIFT_DIVISOR: u32 = 100;

/// Time limits and rates. They must be the same in every process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    pub(crate) send_limit: Duration,
    pub(crate) delivery_limit: Duration,
    pub(crate) retry_pause: Duration,
    pub(crate) max_send_attempts: u32,
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
            max_send_attempts: 5,
            acquire_pause: Duration::from_secs(1),
            weight_rate: 1 << 30,
            weight_burst: 256 << 30,
            outcome_limit: 10_000,
        }
    }
}

impl OrderSettings {
    /// Sets the time limit for sending one order. Default 2 s. A holder sends no order if less than
    /// this remains of its lease.
    pub fn send_limit(mut self, limit: Duration) -> Self {
        self.send_limit = limit;
        self
    }

    /// Sets how long after its sender gave up an order may still be delivered by the network or
    /// taken by a stalled engine. Default 2 s. Nothing bounds this time for certain; if it matters,
    /// use engines that check fencing.
    pub fn delivery_limit(mut self, limit: Duration) -> Self {
        self.delivery_limit = limit;
        self
    }

    /// Sets the rate of the weight store, for all regions together, in bytes per second. Default 1
    /// GiB/s.
    pub fn weight_rate(mut self, rate: u64) -> Self {
        self.weight_rate = rate;
        self
    }

    /// Sets the maximum size in bytes of weights ordered at once. The largest model must fit.
    /// Default 256 GiB.
    pub fn weight_burst(mut self, burst: u64) -> Self {
        self.weight_burst = burst;
        self
    }

    /// Sets the number of completed orders whose outcomes are kept. Default 10,000.
    pub fn outcome_limit(mut self, orders: usize) -> Self {
        self.outcome_limit = orders;
        self
    }

    /// Returns the usable part of a lease: its duration less the time to send an order and the
    /// clock drift.
    pub(crate) fn usable(&self, duration: Duration) -> Duration {
        let drift = duration / DRIFT_DIVISOR;
        duration.saturating_sub(drift + self.send_limit)
    }

    /// Returns the time that a new holder waits before it sends orders to engines that ignore
    /// fencing.
    pub(crate) fn predecessor_wait(&self, predecessor_left: Duration) -> Duration {
        if predecessor_left.is_zero() {
            return self.delivery_limit;
        }
        predecessor_left + predecessor_left / DRIFT_DIVISOR + self.delivery_limit
    }
}
