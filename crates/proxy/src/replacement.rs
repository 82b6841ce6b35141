//! The wait for a run, and the search for another place beside it.
//!
//! A run is given up only for another one that is secured: its place is reserved, its repeat is
//! taken out of the budget, and the new run has begun. Until then what comes of the old one counts.

use {
    crate::{
        handover::{HandoverEnd, RunOutput},
        journey::Journey,
        liveness::RunWatch,
        outcome::{RepeatReason, UnknownReason},
        search::PlaceSearch,
    },
    futures::future::{Either, select},
    gullglade_dispatch::{SilenceAction, SilentRun},
    gullglade_units::{MonotonicTime, timeout},
    std::{pin::pin, rc::Rc, time::Duration},
};

/// How a wait for a run ended.
pub(crate) enum WaitEnd<T> {
    /// Something came.
    Came(T),
    /// Another run is secured. This one is to be ended before anything else is done.
    Replaced,
    /// The time of the request is over.
    TimedOut,
}

/// The searches in one silence that found no place.
#[derive(Default)]
struct FailedSearches {
    count: u32,
    last: Option<MonotonicTime>,
}

impl Journey {
    /// Waits for `next`, the next thing of `run`.
    pub(crate) async fn wait_or_replace<T: RunOutput>(
        &mut self,
        run: &RunWatch,
        next: impl Future<Output = T>,
    ) -> WaitEnd<T> {
        let mut next = pin!(next);
        let clock = Rc::clone(&self.proxy.context().clock);
        let began = clock.now();
        let mut failed = FailedSearches::default();
        loop {
            match self.silent_run(run, began, &failed).next_action() {
                SilenceAction::Wait(wait) => {
                    if let Some(output) = timeout(&*clock, wait, next.as_mut()).await {
                        return WaitEnd::Came(output);
                    }
                }
                SilenceAction::Search => {
                    // What comes in the meantime ends the search, and gives back its place.
                    let found = match self.begin_search(run) {
                        None => None,
                        Some(search) => {
                            let search = timeout(&*clock, self.left(), search.run());
                            // Boxed: a search is rare, and every wait would keep room for it.
                            match select(next.as_mut(), Box::pin(search)).await {
                                Either::Left((output, _)) => return WaitEnd::Came(output),
                                Either::Right((found, _)) => found.flatten(),
                            }
                        }
                    };
                    // Its backend server may have answered others during the search.
                    let step = self.silent_run(run, began, &failed).next_action();
                    if let Some(found) = found.filter(|_| step == SilenceAction::Search)
                        && self.take_overdue_repeat()
                    {
                        let silence = clock.now().since(began);
                        match self.hand_over(run, next.as_mut(), found, silence).await {
                            HandoverEnd::Came(output) => return WaitEnd::Came(output),
                            HandoverEnd::Kept => {}
                            HandoverEnd::Replaced => return WaitEnd::Replaced,
                        }
                    }
                    failed = FailedSearches { count: failed.count + 1, last: Some(clock.now()) };
                }
            }
            if self.left().is_zero() {
                run.note_silence(clock.now().since(began));
                self.log.reached(self.reached_limit());
                return WaitEnd::TimedOut;
            }
        }
    }

    fn silent_run(
        &self,
        run: &RunWatch,
        began: MonotonicTime,
        failed: &FailedSearches,
    ) -> SilentRun {
        let now = self.now();
        SilentRun {
            silence: now.since(began),
            timeout: run.patience,
            busy_timeout: run.work_patience,
            is_at_work: run.liveness.is_at_work(),
            may_be_replaced: self.may_be_replaced(),
            left: self.left(),
            searches: failed.count,
            searched_ago: failed.last.map_or(Duration::ZERO, |last| now.since(last)),
        }
    }

    /// A search for a place beside `run`, where the budget has a repeat left.
    fn begin_search(&mut self, run: &RunWatch) -> Option<PlaceSearch> {
        let reason = RepeatReason::Unknown(UnknownReason::Overdue);
        let may_search = self.check_hold().is_ok() && self.has_repeat_left(reason);
        may_search.then(|| PlaceSearch::beside(self, run))
    }

    /// Takes the repeat for the place that was found. Without one left the place is given back,
    /// and the run goes on.
    fn take_overdue_repeat(&mut self) -> bool {
        let reason = RepeatReason::Unknown(UnknownReason::Overdue);
        self.check_hold().is_ok() && self.take_from_budget(reason)
    }
}
