//! Whether a run from which nothing comes is waited for, or another one is sought beside it.
//!
//! The load pattern: at the worst of the load engines take memory away from generations that run,
//! and a stream pauses for seconds while its engine is at work. Another run would read the prompt
//! again where there is as little room. An engine that is dead is silent to everybody.

use std::time::Duration;

/// A run that is waited for because its backend server is at work is looked at again after this.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a first search that found no place; it doubles with each further one.
const FIRST_SEARCH_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause between two searches.
const LONGEST_SEARCH_PAUSE: Duration = Duration::from_secs(2);

/// A run from which nothing comes.
#[derive(Clone, Copy, Debug)]
pub struct SilentRun {
    /// How long nothing has come.
    pub silence: Duration,
    /// How long that is usual.
    pub timeout: Duration,
    /// How long it is waited for where its backend server is at work; `None`: to the end.
    pub busy_timeout: Option<Duration>,
    /// Whether its backend server has answered anybody lately.
    pub is_at_work: bool,
    /// Whether another run may take its place.
    pub may_be_replaced: bool,
    /// How much longer anyone waits for the answer.
    pub left: Duration,
    /// Searches for another place that found none in this silence.
    pub searches: u32,
    /// How long ago the last one ended.
    pub searched_ago: Duration,
}

/// What is to be done about a silent run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceAction {
    /// Wait for it for so long, and ask again.
    Wait(Duration),
    /// Look for another place while it is still waited for.
    Search,
}

impl SilentRun {
    /// What is to be done now.
    pub fn next_action(&self) -> SilenceAction {
        if !self.may_be_replaced {
            return SilenceAction::Wait(self.left);
        }
        let due = self.timeout.saturating_sub(self.silence);
        let again = self.search_pause().saturating_sub(self.searched_ago);
        let is_waited_for = self.busy_timeout.is_none_or(|most| self.silence < most);
        let wait = match due.max(again) {
            Duration::ZERO if self.is_at_work && is_waited_for => LOOK_INTERVAL,
            wait => wait,
        };
        match wait {
            Duration::ZERO => SilenceAction::Search,
            wait => SilenceAction::Wait(wait.min(self.left)),
        }
    }

    /// The pause after the last search.
    fn search_pause(&self) -> Duration {
        match self.searches {
            0 => Duration::ZERO,
            count => {
                let factor = 2_u32.saturating_pow(count.min(8) - 1);
                (FIRST_SEARCH_PAUSE * factor).min(LONGEST_SEARCH_PAUSE)
            }
        }
    }
}
