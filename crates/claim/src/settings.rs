//! Time limits and size limits of claims.

use {
    snafu::{Snafu, ensure},
    std::time::Duration,
};

/// Time that a send may wait for its claim, in grant limits: its body may arrive slowly.
const GRANT_LIMITS_PER_SEND: u32 = 4;

/// Settings that contradict each other.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The retention window is too short for the grant limit.
    #[snafu(display(
        "the retention window {window:?} must be at least ten times the grant limit {grant:?}: \
         raise the window or lower the grant limit"
    ))]
    ShortWindow {
        /// The retention window.
        window: Duration,
        /// The grant limit.
        grant: Duration,
    },
}

/// Time limits and size limits. They must be the same in every process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSettings {
    pub(crate) window: Duration,
    pub(crate) key_ahead: Duration,
    pub(crate) clock_error: Duration,
    pub(crate) grant_limit: Duration,
    pub(crate) call_limit: Duration,
    pub(crate) takeover_delay: Duration,
    pub(crate) min_poll_delay: Duration,
    pub(crate) max_poll_delay: Duration,
    pub(crate) answer_limit: usize,
    pub(crate) answer_budget: usize,
    pub(crate) claim_limit: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 3600),
            key_ahead: Duration::from_secs(10),
            clock_error: Duration::from_secs(5),
            grant_limit: Duration::from_secs(60),
            call_limit: Duration::from_millis(500),
            takeover_delay: Duration::from_secs(1),
            min_poll_delay: Duration::from_millis(50),
            max_poll_delay: Duration::from_secs(1),
            answer_limit: 256 << 10,
            answer_budget: 64 << 20,
            claim_limit: 200_000,
        }
    }
}

impl ClaimSettings {
    /// Sets the retention window: how long a key prevents a second run. It is counted from the
    /// creation of keys that state their time, and from the first claim of opaque keys. Default 24
    /// hours.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets how far the creation time of a key may be ahead of a VM's clock. Default 10 s.
    pub fn key_ahead(mut self, ahead: Duration) -> Self {
        self.key_ahead = ahead;
        self
    }

    /// Sets the maximum error of a VM's wall clock. Default 5 s. Together with
    /// [`key_ahead`](Self::key_ahead) it determines how long a region refuses orders after all its
    /// replicas have restarted at once: `key_ahead + 2 * clock_error`.
    pub fn clock_error(mut self, error: Duration) -> Self {
        self.clock_error = error;
        self
    }

    /// Sets the maximum time between a grant and its dispatch. Default 60 s. A send may claim its
    /// key up to four times this long after it was received, and the record of a key that was not
    /// dispatched is evicted after eight times this long.
    pub fn grant_limit(mut self, limit: Duration) -> Self {
        self.grant_limit = limit;
        self
    }

    /// Sets the time limit of one call to a replica. Default 500 ms, which allows for links with a
    /// delay of 55 ms.
    pub fn call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// Sets how long a send waits for another one that was granted the key but has not dispatched,
    /// before it takes over the key. Default 1 s.
    pub fn takeover_delay(mut self, takeover_delay: Duration) -> Self {
        self.takeover_delay = takeover_delay;
        self
    }

    /// Sets the maximum size of one stored answer in bytes. Default 256 KiB.
    pub fn answer_limit(mut self, bytes: usize) -> Self {
        self.answer_limit = bytes;
        self
    }

    /// Sets the maximum total size in bytes of the answers stored in one replica. Beyond it the
    /// oldest answers are dropped and their claims kept. Default 64 MiB.
    pub fn answer_budget(mut self, bytes: usize) -> Self {
        self.answer_budget = bytes;
        self
    }

    /// Sets the maximum number of claims in one replica. Beyond it new keys are refused; no claim
    /// is evicted. Default 200,000.
    pub fn claim_limit(mut self, claims: usize) -> Self {
        self.claim_limit = claims;
        self
    }

    /// Returns the maximum size of one stored answer in bytes.
    pub fn max_answer(&self) -> usize {
        self.answer_limit
    }

    /// Returns the settings, or an error if they contradict each other.
    pub fn checked(self) -> Result<Self, SettingsError> {
        let (window, grant) = (self.window, self.grant_limit);
        ensure!(window >= grant * 10, ShortWindowSnafu { window, grant });
        Ok(self)
    }

    /// Time after the start of a replica without state during which it cannot rule out earlier
    /// votes on a new key: a key voted on before may have been [`key_ahead`](Self::key_ahead) ahead
    /// of the clock, and the clocks then and now may each be wrong.
    pub(crate) fn blind_time(&self) -> Duration {
        self.key_ahead + self.clock_error * 2
    }

    /// Maximum age of a send that claims its key.
    pub(crate) fn send_limit(&self) -> Duration {
        self.grant_limit * GRANT_LIMITS_PER_SEND
    }

    /// Retention time of the record of a key that was not dispatched: twice the maximum age of a
    /// send, so that no send remains that the record has to block.
    pub(crate) fn idle_limit(&self) -> Duration {
        self.send_limit() * 2
    }

    /// Retention time of all other records, by monotonic time.
    pub(crate) fn retention(&self) -> Duration {
        self.window + self.blind_time()
    }
}
