//! Waits for the output of a run, and searches for another place if it stays silent.
//!
//! A run is abandoned only for another one that is secured: its place is reserved, its retry is
//! taken from the budget, and the new run has begun. Until then output of the old run counts.

use {
    crate::{
        execution::RequestExecution,
        handover::{HandoverOutcome, RunOutput},
        liveness::RunMonitor,
        outcome::{RetryReason, UnknownReason},
        search::PlaceSearch,
    },
    futures::future::{Either, select},
    gullglade_dispatch::{SilenceAction, SilentRun},
    gullglade_units::{MonotonicTime, timeout},
    std::{pin::pin, rc::Rc, time::Duration},
};

/// Result of waiting for a run.
pub(crate) enum WaitOutcome<T> {
    /// The run has produced output.
    Output(T),
    /// Another run is secured. The old run must be cancelled before anything else is done.
    Replaced,
    /// The time of the request is over.
    TimedOut,
}

/// Failed searches for another place during one silence.
#[derive(Default)]
struct FailedSearches {
    count: u32,
    last: Option<MonotonicTime>,
}

impl RequestExecution {
    /// Waits for `next`, the next output of `run`.
    pub(crate) async fn wait_or_replace<T: RunOutput>(
        &mut self,
        run: &RunMonitor,
        next: impl Future<Output = T>,
    ) -> WaitOutcome<T> {
        let now = self.now();
        self.wait_or_replace_since(run, now, next).await
    }

    /// Waits for `next`, the next output of `run`, which has been silent since `began`.
    pub(crate) async fn wait_or_replace_since<T: RunOutput>(
        &mut self,
        run: &RunMonitor,
        began: MonotonicTime,
        next: impl Future<Output = T>,
    ) -> WaitOutcome<T> {
        let mut next = pin!(next);
        let clock = Rc::clone(&self.proxy.context().clock);
        let mut failed = FailedSearches::default();
        loop {
            match self.silent_run(run, began, &failed).next_action() {
                SilenceAction::Wait(wait) => {
                    if let Some(output) = timeout(&*clock, wait, next.as_mut()).await {
                        return WaitOutcome::Output(output);
                    }
                }
                SilenceAction::Search => {
                    // Output that arrives meanwhile ends the search and releases its place.
                    let found = match self.begin_search(run) {
                        None => None,
                        Some(search) => {
                            let search = timeout(&*clock, self.left(), search.run());
                            // Boxed, since searches are rare and every wait would reserve space for
                            // the future.
                            match select(next.as_mut(), Box::pin(search)).await {
                                Either::Left((output, _)) => return WaitOutcome::Output(output),
                                Either::Right((found, _)) => found.flatten(),
                            }
                        }
                    };
                    // The backend server may have responded to others during the search.
                    let step = self.silent_run(run, began, &failed).next_action();
                    if let Some(found) = found.filter(|_| step == SilenceAction::Search)
                        && self.take_overdue_retry()
                    {
                        let silence = clock.now().since(began);
                        match self.hand_over(run, next.as_mut(), found, silence).await {
                            HandoverOutcome::Output(output) => return WaitOutcome::Output(output),
                            HandoverOutcome::Kept => {}
                            HandoverOutcome::Replaced => return WaitOutcome::Replaced,
                        }
                    }
                    failed = FailedSearches { count: failed.count + 1, last: Some(clock.now()) };
                }
            }
            if self.left().is_zero() {
                run.note_silence(clock.now().since(began));
                self.log.note_limit(self.reached_limit());
                return WaitOutcome::TimedOut;
            }
        }
    }

    fn silent_run(
        &self,
        run: &RunMonitor,
        began: MonotonicTime,
        failed: &FailedSearches,
    ) -> SilentRun {
        let now = self.now();
        SilentRun {
            silence: now.since(began),
            timeout: run.silence_limit,
            busy_timeout: run.at_work_silence_limit,
            is_at_work: run.liveness.is_at_work(),
            may_be_replaced: self.may_be_replaced(),
            left: self.left(),
            searches: failed.count,
            searched_ago: failed.last.map_or(Duration::ZERO, |last| now.since(last)),
        }
    }

    /// Starts a search for another place while `run` continues, if the budget has a retry left.
    fn begin_search(&mut self, run: &RunMonitor) -> Option<PlaceSearch> {
        let reason = RetryReason::Unknown(UnknownReason::Overdue);
        let may_search = self.check_hold().is_ok() && self.has_retry_left(reason);
        may_search.then(|| PlaceSearch::new_alongside(self, run))
    }

    /// Takes the retry for the place that was found. Without one the place is released and the run
    /// continues.
    fn take_overdue_retry(&mut self) -> bool {
        let reason = RetryReason::Unknown(UnknownReason::Overdue);
        self.check_hold().is_ok() && self.take_from_budget(reason)
    }
}
