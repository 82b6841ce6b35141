//! Decides whether to keep waiting for a run that produces no output, or to look for a replacement.
//!
//! The load pattern: in overload, engines preempt running generations to free memory, and streams
//! pause for seconds although the engine is working. A second run would need another prefill where
//! capacity is equally scarce. A dead engine, on the other hand, is silent to all gateways.

use std::time::Duration;

/// Recheck interval of a silent run whose backend server is working.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after the first search that found no replacement. It doubles with each further one.
const INITIAL_SEARCH_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause between two searches.
const MAX_SEARCH_PAUSE: Duration = Duration::from_secs(2);

/// A run that produces no output.
#[derive(Clone, Copy, Debug)]
pub struct SilentRun {
    /// Time since the latest output.
    pub silence: Duration,
    /// The silence that is tolerated before a replacement is sought.
    pub timeout: Duration,
    /// The silence that is tolerated while the backend server is working. `None` means no limit.
    pub busy_timeout: Option<Duration>,
    /// Whether the backend server has recently answered any gateway.
    pub is_at_work: bool,
    /// Whether the run may be replaced by another one.
    pub may_be_replaced: bool,
    /// Time until the request expires.
    pub left: Duration,
    /// Number of searches during this silence that found no replacement.
    pub searches: u32,
    /// Time since the last of these searches ended.
    pub searched_ago: Duration,
}

/// The action to take on a silent run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Wait for this long, then decide again.
    Wait(Duration),
    /// Look for a replacement while the run continues.
    Search,
}

impl SilentRun {
    /// Returns the action to take now.
    pub fn next_action(&self) -> SilenceAction {
        if !self.may_be_replaced {
            return SilenceAction::Wait(self.left);
        }
        let due = self.timeout.saturating_sub(self.silence);
        let again = self.search_pause().saturating_sub(self.searched_ago);
        let is_waited_for = self.busy_timeout.is_none_or(|most| self.silence < most);
        let wait = match due.max(again) {
            Duration::ZERO if self.is_at_work && is_waited_for => RECHECK_INTERVAL,
            wait => wait,
        };
        match wait {
            Duration::ZERO => SilenceAction::Search,
            wait => SilenceAction::Wait(wait.min(self.left)),
        }
    }

    /// Returns the required pause after the last search.
    fn search_pause(&self) -> Duration {
        match self.searches {
            0 => Duration::ZERO,
            count => {
                let factor = 2_u32.saturating_pow(count.min(8) - 1);
                (INITIAL_SEARCH_PAUSE * factor).min(MAX_SEARCH_PAUSE)
            }
        }
    }
}
