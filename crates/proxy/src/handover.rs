//! From a silent run to the one that replaces it.
//!
//! Both are under way for a moment. The old run is ended once the new one answers, or is known to
//! have begun by the end of that moment; it goes on where the new one fails first. Only one of them
//! is ever read to the caller: the new one continues after the last event that the caller has, so
//! what comes from the old one meanwhile is held until it is certain that the new one does not
//! follow, unless it completes the answer.

use {
    crate::{
        journey::{Journey, LeasedStart, SecuredRun, SentRun},
        liveness::{RunLiveness, RunWatch},
        outcome::{AttemptEnd, AttemptPlace, KeptReason, NotRunReason, UnknownReason},
        search::FoundPlace,
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, ready, select},
    },
    gullglade_dispatch::{HandoverDelays, HandoverTimes},
    gullglade_http::BodyError,
    gullglade_units::{LocalFuture, RegionName, timeout},
    std::{pin::pin, rc::Rc, time::Duration},
};

/// What the next thing that comes of a run says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputState {
    /// It goes on.
    Progress,
    /// It is complete.
    Complete,
    /// It has failed.
    Failed,
}

/// What comes of a run.
pub(crate) trait RunOutput {
    /// What this says of the run.
    fn state(&self) -> OutputState;
}

impl RunOutput for AttemptEnd {
    fn state(&self) -> OutputState {
        match self {
            Self::Answer(answer) if !answer.is_failure() => OutputState::Progress,
            _ => OutputState::Failed,
        }
    }
}

impl RunOutput for Option<Result<Bytes, BodyError>> {
    fn state(&self) -> OutputState {
        match self {
            None => OutputState::Complete,
            Some(Ok(_)) => OutputState::Progress,
            Some(Err(_)) => OutputState::Failed,
        }
    }
}

/// How a handover ended.
pub(crate) enum HandoverEnd<T> {
    /// The old run goes on, and this came of it.
    Came(T),
    /// The old run goes on.
    Kept,
    /// The new run follows. The old one is to be ended now.
    Replaced,
}

/// What becomes of a new run first.
enum NewRunStep {
    /// An answer, or its end.
    Ended(AttemptEnd),
    /// The time for both runs is over: whether the new one is known to have begun.
    Settled(bool),
}

impl Journey {
    /// Has the request sent to `found` in place of `run`, of which nothing has come for `silence`
    /// and `next` is the next thing.
    pub(crate) async fn hand_over<T: RunOutput>(
        &mut self,
        run: &RunWatch,
        next: impl Future<Output = T> + Unpin,
        found: FoundPlace,
        silence: Duration,
    ) -> HandoverEnd<T> {
        let Some(times) = self.handover_times(run, &found) else {
            self.give_up(run, silence, SecuredRun::Place(found));
            return HandoverEnd::Replaced;
        };
        let SentRun { watch, mut end, leased } = self.send_within(found, Some(times));
        let (lease, begun) = leased.map(|LeasedStart { run, begun }| (run, begun)).unzip();
        let mut settled = pin!(self.settled(&watch, times, begun));
        let mut held = None;
        let step = match select(select(next, end.as_mut()), settled.as_mut()).await {
            Either::Left((Either::Right((attempt, _)), _)) => NewRunStep::Ended(attempt),
            Either::Right((has_begun, _)) => NewRunStep::Settled(has_begun),
            Either::Left((Either::Left((output, _)), _)) => match output.state() {
                OutputState::Failed => NewRunStep::Settled(true),
                OutputState::Complete => {
                    self.ran_beside(&watch, KeptReason::Complete);
                    return HandoverEnd::Came(output);
                }
                OutputState::Progress => {
                    held = Some(output);
                    match select(end.as_mut(), settled).await {
                        Either::Left((attempt, _)) => NewRunStep::Ended(attempt),
                        Either::Right((has_begun, _)) => NewRunStep::Settled(has_begun),
                    }
                }
            },
        };
        let end: LocalFuture<'static, AttemptEnd> = match step {
            NewRunStep::Settled(true) => end,
            NewRunStep::Ended(attempt) if attempt.state() == OutputState::Progress => {
                Box::pin(ready(attempt))
            }
            NewRunStep::Settled(false) => {
                self.not_begun_beside(&watch);
                return held.map_or(HandoverEnd::Kept, HandoverEnd::Came);
            }
            NewRunStep::Ended(attempt) => {
                self.failed_beside(&watch, attempt);
                return held.map_or(HandoverEnd::Kept, HandoverEnd::Came);
            }
        };
        if let Some(run) = lease {
            self.proxy.forwarder().keep(run);
        }
        self.give_up(run, silence, SecuredRun::Sent(SentRun { watch, end, leased: None }));
        HandoverEnd::Replaced
    }

    /// Waits until it is decided by the time alone whether a new run follows; whether it does.
    fn settled(
        &self,
        new: &RunWatch,
        times: HandoverTimes,
        begun: Option<oneshot::Receiver<()>>,
    ) -> impl Future<Output = bool> + use<> {
        let clock = Rc::clone(&self.proxy.context().clock);
        let liveness = new.liveness.clone();
        let most = times.overlap.min(self.left());
        async move {
            let Some(begun) = begun else {
                clock.sleep(most).await;
                return matches!(liveness, RunLiveness::Here(here) if here.has_begun());
            };
            let has_begun = matches!(timeout(&*clock, most, begun).await, Some(Ok(())));
            if has_begun {
                clock.sleep(times.grace).await;
            }
            has_begun
        }
    }

    /// The times of a handover from `run` to `found`; `None` where `run` has to end first.
    fn handover_times(&self, run: &RunWatch, found: &FoundPlace) -> Option<HandoverTimes> {
        // The usual time lags behind a link that has just become slower.
        let way = |region: &RegionName| {
            let usual = self.proxy.forwarder().round_trip(region);
            let latest = match found {
                FoundPlace::Reserved(reserved) if reserved.region == *region => reserved.round_trip,
                _ => Duration::ZERO,
            };
            usual.max(latest) / 2
        };
        let cancel = match &run.place {
            AttemptPlace::Here(_) => Duration::ZERO,
            AttemptPlace::Away(region) => way(region),
        };
        let begin = match found {
            FoundPlace::Here(_) => Duration::ZERO,
            FoundPlace::Away(region) => way(region),
            FoundPlace::Reserved(reserved) => way(&reserved.region),
        };
        HandoverDelays { cancel, begin }.times()
    }

    /// Gives up `run` for `secured`.
    fn give_up(&mut self, run: &RunWatch, silence: Duration, secured: SecuredRun) {
        run.note_silence(silence);
        self.log.replaced(run.liveness.is_at_work());
        self.note_place(run, &AttemptEnd::Unknown(UnknownReason::Overdue));
        self.replace_with(run, secured);
    }

    /// The new run is ended, and may have run.
    fn ran_beside(&mut self, new: &RunWatch, reason: KeptReason) {
        self.log.kept(&new.place, reason);
        self.count_beside(&AttemptEnd::Unknown(UnknownReason::Overdue));
    }

    /// The new run is ended before it is known to have begun. In the own region it has not.
    fn not_begun_beside(&mut self, new: &RunWatch) {
        let end = match new.place {
            AttemptPlace::Here(_) => AttemptEnd::NotRun(NotRunReason::Unreachable, None),
            AttemptPlace::Away(_) => AttemptEnd::Unknown(UnknownReason::LostAway),
        };
        self.note_place(new, &end);
        self.log.kept(&new.place, KeptReason::NewNotBegun);
        self.count_beside(&end);
    }

    /// The new run has ended as `end` says.
    fn failed_beside(&mut self, new: &RunWatch, end: AttemptEnd) {
        let end = match end {
            // A failure that the backend server states; its answer is not read.
            AttemptEnd::Answer(_) => AttemptEnd::Unknown(UnknownReason::Incomplete),
            end => end,
        };
        self.note_place(new, &end);
        self.log.kept(&new.place, KeptReason::NewFailed);
        self.count_beside(&end);
    }
}
