//! Handover from a silent run to the run that replaces it.
//!
//! Both runs are in progress for a short time. The old run is cancelled once the new one responds,
//! or is known to have begun at the end of that time; it continues if the new one fails first. Only
//! one of them is relayed to the caller: the new run resumes after the last event that the caller
//! has, so output of the old run is buffered until it is certain that the new run does not take
//! over, unless it completes the response.

use {
    crate::{
        execution::{LeasedStart, RequestExecution, SecuredRun, SentRun},
        liveness::{RunLiveness, RunMonitor},
        outcome::{AttemptOutcome, AttemptTarget, KeptReason, NotRunReason, UnknownReason},
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

/// State of a run, derived from its next output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputState {
    /// The run continues.
    Progress,
    /// The run is complete.
    Complete,
    /// The run has failed.
    Failed,
}

/// Output of a run.
pub(crate) trait RunOutput {
    /// Returns the state of the run after this output.
    fn state(&self) -> OutputState;
}

impl RunOutput for AttemptOutcome {
    fn state(&self) -> OutputState {
        match self {
            Self::Response(response) if !response.is_failure() => OutputState::Progress,
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

/// Outcome of a handover.
pub(crate) enum HandoverOutcome<T> {
    /// The old run continues, with this output.
    Output(T),
    /// The old run continues.
    Kept,
    /// The new run takes over. The old one must be cancelled now.
    Replaced,
}

/// First event that decides about a new run.
enum NewRunStep {
    /// The attempt ended or a response has begun.
    Ended(AttemptOutcome),
    /// The overlap is over; true if the new run is known to have begun.
    Settled(bool),
}

impl RequestExecution {
    /// Sends the request to `found` to replace `run`, which has been silent for `silence`; `next`
    /// is its next output.
    pub(crate) async fn hand_over<T: RunOutput>(
        &mut self,
        run: &RunMonitor,
        next: impl Future<Output = T> + Unpin,
        found: FoundPlace,
        silence: Duration,
    ) -> HandoverOutcome<T> {
        let Some(times) = self.handover_times(run, &found) else {
            self.abandon_run(run, silence, SecuredRun::Place(found));
            return HandoverOutcome::Replaced;
        };
        let SentRun { monitor, mut outcome, leased } = self.send_within(found, Some(times));
        let (lease, begun) = leased.map(|LeasedStart { run, begun }| (run, begun)).unzip();
        let mut overlap_end = pin!(self.overlap_end(&monitor, times, begun));
        let mut buffered_output = None;
        let step = match select(select(next, outcome.as_mut()), overlap_end.as_mut()).await {
            Either::Left((Either::Right((attempt, _)), _)) => NewRunStep::Ended(attempt),
            Either::Right((has_begun, _)) => NewRunStep::Settled(has_begun),
            Either::Left((Either::Left((output, _)), _)) => match output.state() {
                OutputState::Failed => NewRunStep::Settled(true),
                OutputState::Complete => {
                    self.note_new_run_cancelled(&monitor, KeptReason::Complete);
                    return HandoverOutcome::Output(output);
                }
                OutputState::Progress => {
                    buffered_output = Some(output);
                    match select(outcome.as_mut(), overlap_end).await {
                        Either::Left((attempt, _)) => NewRunStep::Ended(attempt),
                        Either::Right((has_begun, _)) => NewRunStep::Settled(has_begun),
                    }
                }
            },
        };
        let outcome: LocalFuture<'static, AttemptOutcome> = match step {
            NewRunStep::Settled(true) => outcome,
            NewRunStep::Ended(attempt) if attempt.state() == OutputState::Progress => {
                Box::pin(ready(attempt))
            }
            NewRunStep::Settled(false) => {
                self.note_new_run_not_begun(&monitor);
                return buffered_output.map_or(HandoverOutcome::Kept, HandoverOutcome::Output);
            }
            NewRunStep::Ended(attempt) => {
                self.note_new_run_failed(&monitor, attempt);
                return buffered_output.map_or(HandoverOutcome::Kept, HandoverOutcome::Output);
            }
        };
        if let Some(run) = lease {
            self.proxy.forwarder().keep_run(run);
        }
        self.abandon_run(
            run,
            silence,
            SecuredRun::Sent(SentRun { monitor, outcome, leased: None }),
        );
        HandoverOutcome::Replaced
    }

    /// Waits for the end of the overlap. Returns `true` if the new run takes over by then.
    fn overlap_end(
        &self,
        new: &RunMonitor,
        times: HandoverTimes,
        begun: Option<oneshot::Receiver<()>>,
    ) -> impl Future<Output = bool> + use<> {
        let clock = Rc::clone(&self.proxy.context().clock);
        let liveness = new.liveness.clone();
        let overlap = times.overlap.min(self.left());
        async move {
            let Some(begun) = begun else {
                clock.sleep(overlap).await;
                return matches!(liveness, RunLiveness::Local(here) if here.has_begun());
            };
            let has_begun = matches!(timeout(&*clock, overlap, begun).await, Some(Ok(())));
            if has_begun {
                clock.sleep(times.grace).await;
            }
            has_begun
        }
    }

    /// Returns the times of a handover from `run` to `found`; `None` if `run` must be cancelled
    /// first.
    fn handover_times(&self, run: &RunMonitor, found: &FoundPlace) -> Option<HandoverTimes> {
        // The usual round trip lags behind when a link has just become slower.
        let one_way_delay = |region: &RegionName| {
            let usual = self.proxy.forwarder().round_trip(region);
            let latest = match found {
                FoundPlace::Reserved(reserved) if reserved.region == *region => reserved.round_trip,
                _ => Duration::ZERO,
            };
            usual.max(latest) / 2
        };
        let cancel = match &run.target {
            AttemptTarget::Local(_) => Duration::ZERO,
            AttemptTarget::Remote(region) => one_way_delay(region),
        };
        let begin = match found {
            FoundPlace::Local(_) => Duration::ZERO,
            FoundPlace::Remote(region) => one_way_delay(region),
            FoundPlace::Reserved(reserved) => one_way_delay(&reserved.region),
        };
        HandoverDelays { cancel, begin }.times()
    }

    /// Abandons `run` in favor of `secured`.
    fn abandon_run(&mut self, run: &RunMonitor, silence: Duration, secured: SecuredRun) {
        run.note_silence(silence);
        self.log.note_replaced(run.liveness.is_at_work());
        self.record_attempt(run, &AttemptOutcome::Unknown(UnknownReason::Overdue));
        self.replace_with(run, secured);
    }

    /// Records that the new run was cancelled and may have run.
    fn note_new_run_cancelled(&mut self, new: &RunMonitor, reason: KeptReason) {
        self.log.record_run_kept(&new.target, reason);
        self.count_concurrent_attempt(&AttemptOutcome::Unknown(UnknownReason::Overdue));
    }

    /// Records that the new run was cancelled before it was known to have begun. In the own region
    /// it has certainly not run.
    fn note_new_run_not_begun(&mut self, new: &RunMonitor) {
        let outcome = match new.target {
            AttemptTarget::Local(_) => AttemptOutcome::NotRun(NotRunReason::Unreachable, None),
            AttemptTarget::Remote(_) => AttemptOutcome::Unknown(UnknownReason::LostAway),
        };
        self.record_attempt(new, &outcome);
        self.log.record_run_kept(&new.target, KeptReason::NewNotBegun);
        self.count_concurrent_attempt(&outcome);
    }

    /// Records that the new run failed with `outcome`.
    fn note_new_run_failed(&mut self, new: &RunMonitor, outcome: AttemptOutcome) {
        let outcome = match outcome {
            // An error of the backend server's own; the response is not read.
            AttemptOutcome::Response(_) => AttemptOutcome::Unknown(UnknownReason::Incomplete),
            outcome => outcome,
        };
        self.record_attempt(new, &outcome);
        self.log.record_run_kept(&new.target, KeptReason::NewFailed);
        self.count_concurrent_attempt(&outcome);
    }
}
