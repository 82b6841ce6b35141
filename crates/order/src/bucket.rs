//! Rate limit for weights that engines load from the weight store, which all regions share.

use {gullglade_units::MonotonicTime, std::time::Duration};

/// A token bucket. In any time T it grants at most `burst + rate * T` bytes.
///
/// The bucket starts empty. If it started full, each new holder of the lease could grant a whole
/// burst in addition to its predecessor's, and the load on the store would exceed its rate after
/// each succession.
#[derive(Debug)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    /// Time at which the level is zero. The level at `now` is `(now - empty_at) * rate`; it is
    /// negative before that time.
    empty_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates a bucket of `rate` bytes per second (at least 1) and `burst` bytes, which is empty
    /// at `start`.
    pub fn new(rate: u64, burst: u64, start: MonotonicTime) -> Self {
        Self { rate: rate.max(1), burst, empty_at: start }
    }

    /// Takes `bytes` and returns how long to wait for them. Calls are served in order. Returns
    /// `None` if `bytes` exceeds the burst.
    pub fn take(&mut self, bytes: u64, now: MonotonicTime) -> Option<Duration> {
        if bytes > self.burst {
            return None;
        }
        if bytes == 0 {
            return Some(Duration::ZERO);
        }
        let full_since = MonotonicTime(now.0.saturating_sub(self.fill_time(self.burst)));
        self.empty_at = self.empty_at.max(full_since) + self.fill_time(bytes);
        Some(self.empty_at.since(now))
    }

    /// Returns `bytes` that were taken but not used to the bucket.
    pub fn refund(&mut self, bytes: u64) {
        let time = self.fill_time(bytes);
        self.empty_at = MonotonicTime(self.empty_at.0.saturating_sub(time));
    }

    fn fill_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate as f64)
    }
}
