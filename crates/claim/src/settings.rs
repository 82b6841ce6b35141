//! Times and bounds of claims.

use {
    snafu::{Snafu, ensure},
    std::time::Duration,
};

/// A send may wait for its claim as long as for so many grants: its body may come in slowly.
const GRANT_LIMITS_PER_SEND: u32 = 4;

/// Why settings contradict each other.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The window is too short for grants.
    #[snafu(display(
        "the retention window {window:?} must be at least ten times the grant limit {grant:?}: \
         raise the window or lower the grant limit"
    ))]
    ShortWindow {
        /// The window.
        window: Duration,
        /// The grant limit.
        grant: Duration,
    },
}

/// Times and bounds, the same in every process of a deployment.
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
    /// How long a key guards against a second run, counted from its making (keys that name it) or
    /// its first claim (opaque keys). Default 24 hours.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// How far a key's time may lie ahead of a VM's clock. Default 10 s.
    pub fn key_ahead(mut self, ahead: Duration) -> Self {
        self.key_ahead = ahead;
        self
    }

    /// The most by which a VM's wall clock is wrong. Default 5 s. Together with
    /// [`key_ahead`](Self::key_ahead) it sets how long a region takes no orders after all its
    /// replicas restarted at once: `key_ahead + 2 * clock_error`.
    pub fn clock_error(mut self, error: Duration) -> Self {
        self.clock_error = error;
        self
    }

    /// The most time between a grant and its dispatch. Default 60 s. A send may claim its key up to
    /// four times as long after it was received, and a key that nobody dispatched is forgotten
    /// after eight times as long.
    pub fn grant_limit(mut self, limit: Duration) -> Self {
        self.grant_limit = limit;
        self
    }

    /// The most time for one call to a replica. Default 500 ms, which covers 55 ms links.
    pub fn call_limit(mut self, limit: Duration) -> Self {
        self.call_limit = limit;
        self
    }

    /// How long a send waits for another one that was granted the key but has not dispatched it,
    /// before it takes over. Default 1 s.
    pub fn takeover_delay(mut self, takeover_delay: Duration) -> Self {
        self.takeover_delay = takeover_delay;
        self
    }

    /// The most bytes of one stored answer. Default 256 KiB.
    pub fn answer_limit(mut self, bytes: usize) -> Self {
        self.answer_limit = bytes;
        self
    }

    /// The most bytes of all answers stored in one replica; beyond it the oldest answers are
    /// dropped, their claims are kept. Default 64 MiB.
    pub fn answer_budget(mut self, bytes: usize) -> Self {
        self.answer_budget = bytes;
        self
    }

    /// The most claims in one replica; beyond it new keys are refused, no claim is forgotten.
    /// Default 200,000.
    pub fn claim_limit(mut self, claims: usize) -> Self {
        self.claim_limit = claims;
        self
    }

    /// The bound on one stored answer, bytes.
    pub fn max_answer(&self) -> usize {
        self.answer_limit
    }

    /// The settings, where they fit together.
    pub fn checked(self) -> Result<Self, SettingsError> {
        let (window, grant) = (self.window, self.grant_limit);
        ensure!(window >= grant * 10, ShortWindowSnafu { window, grant });
        Ok(self)
    }

    /// How long after its start a replica that lost its memory knows nothing of a key's past:
    /// a key voted on before may lie [`key_ahead`](Self::key_ahead) ahead of the clock then, and
    /// the clocks then and now may each be wrong.
    pub(crate) fn blind_time(&self) -> Duration {
        self.key_ahead + self.clock_error * 2
    }

    /// How long after it was received a send may still claim its key.
    pub(crate) fn send_limit(&self) -> Duration {
        self.grant_limit * GRANT_LIMITS_PER_SEND
    }

    /// How long a replica keeps a record of a key that nobody dispatched: twice as long as a send
    /// may wait, so that no send is left that the record still holds back.
    pub(crate) fn idle_limit(&self) -> Duration {
        self.send_limit() * 2
    }

    /// How long a replica keeps a record, by monotonic time.
    pub(crate) fn retention(&self) -> Duration {
        self.window + self.blind_time()
    }
}
