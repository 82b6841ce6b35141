//! Paces what all regions fetch from the weight store.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// A token bucket: in any time T it gives at most `burst + rate * T` bytes.
///
/// It starts empty. A full one would let each new holder of the lease give a whole burst on top of
/// its predecessor's, and the store would be asked for more than its rate after each succession.
#[derive(Debug)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    /// When the bucket will be empty of debt: tokens are `(now - empty_at) * rate`.
    empty_at: MonotonicTime,
}

impl TokenBucket {
    /// A bucket of `rate` bytes a second (above zero) and `burst` bytes, empty at `start`.
    pub fn new(rate: u64, burst: u64, start: MonotonicTime) -> Self {
        Self { rate: rate.max(1), burst, empty_at: start }
    }

    /// Takes `bytes`, in the order of asking, and says how long to wait for them. `None` where
    /// more is asked for than the bucket ever holds.
    pub fn take(&mut self, bytes: u64, now: MonotonicTime) -> Option<Duration> {
        if bytes > self.burst {
            return None;
        }
        if bytes == 0 {
            return Some(Duration::ZERO);
        }
        let full_since = MonotonicTime(now.0.saturating_sub(self.time_of(self.burst)));
        self.empty_at = self.empty_at.max(full_since) + self.time_of(bytes);
        Some(self.empty_at.since(now))
    }

    /// Gives back `bytes` that were taken and not used.
    pub fn refund(&mut self, bytes: u64) {
        let time = self.time_of(bytes);
        self.empty_at = MonotonicTime(self.empty_at.0.saturating_sub(time));
    }

    fn time_of(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate as f64)
    }
}
