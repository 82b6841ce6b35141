//! Sends of a request to backend servers of the own region and to other regions.

use {
    super::RequestExecution,
    crate::{
        attempt::Attempt,
        forward::LeasedRun,
        forward_message::ForwardRequest,
        liveness::{RemoteLiveness, RunLiveness, RunMonitor},
        outcome::{AttemptOutcome, AttemptTarget},
        search::{FoundPlace, LocalPlace},
        send_monitor::SendMonitor,
    },
    futures::channel::oneshot,
    gullglade_dispatch::HandoverTimes,
    gullglade_units::{BackendRun, LocalFuture, RegionName},
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// The head of a repeatable response may be late by the expected time multiplied by this factor,
/// plus a minimum, before another place is sought.
const HEAD_DELAY_FACTOR: f64 = 2.0;

/// Minimum delay that is allowed for the head of a plain response.
const MIN_PLAIN_HEAD_DELAY: Duration = Duration::from_millis(150);

/// Minimum delay that is allowed for the head of a stream. Its prompt may be among the longest, and
/// reading it a second time takes as long again.
const MIN_STREAM_HEAD_DELAY: Duration = Duration::from_millis(600);

/// A run in progress.
pub(crate) struct SentRun {
    pub(crate) monitor: RunMonitor,
    /// Outcome of the attempt. Dropping the future cancels the work.
    pub(crate) outcome: LocalFuture<'static, AttemptOutcome>,
    /// Set for a run that began with a lease.
    pub(crate) leased: Option<LeasedStart>,
}

/// Start of a run in another region, concurrent with a run that has not ended.
pub(crate) struct LeasedStart {
    /// Handle to keep the run, which otherwise ends by itself.
    pub(crate) run: LeasedRun,
    /// Completes when it is certain that the run has begun.
    pub(crate) begun: oneshot::Receiver<()>,
}

/// The attempt that replaces an abandoned run.
pub(crate) enum SecuredRun {
    /// The place is reserved.
    Place(FoundPlace),
    /// The run is in progress.
    Sent(SentRun),
}

impl RequestExecution {
    /// Sends the request to a place.
    pub(crate) fn send(&mut self, found: FoundPlace) -> SentRun {
        self.send_within(found, None)
    }

    /// Sends the request to a place. `times` is given while the run to be replaced has not ended.
    pub(crate) fn send_within(
        &mut self,
        found: FoundPlace,
        times: Option<HandoverTimes>,
    ) -> SentRun {
        if let Some(charge) = &mut self.charge {
            charge.note_sent();
        }
        let left = self.item.deadline.since(self.now());
        let proxy = self.proxy.clone();
        let tracked_send = self.sends.begin();
        match found {
            FoundPlace::Local(placed) => {
                let LocalPlace { ticket, run, address, priority, expected_ms, copy } = placed;
                let ticket = ticket.with_monitor(self.send_monitor(&run));
                self.log.record_placed(&run.backend, expected_ms, copy);
                let monitor = RunMonitor {
                    target: AttemptTarget::Local(run.backend.clone()),
                    liveness: ticket.liveness(),
                    silence_limit: self.head_silence_limit(expected_ms),
                    at_work_silence_limit: None,
                };
                let attempt = Attempt {
                    request: Rc::clone(&self.request),
                    backend: run.backend,
                    address,
                    left,
                    priority,
                    workspace: self.item.workspace.clone(),
                    resume_after: self.last_event,
                    copy_from: copy.map(|copy| copy.from),
                    is_non_repeatable: !self.item.route.kind.may_repeat(),
                };
                let send = async move { proxy.attempts().send(attempt, ticket).await };
                let outcome = Box::pin(tracked_send.track(send));
                SentRun { monitor, outcome, leased: None }
            }
            FoundPlace::Remote(region) => {
                let forward = ForwardRequest {
                    print: self.fingerprint.cached(),
                    ..ForwardRequest::new(&self.request, &self.item, self.last_event, self.now())
                };
                let may_repeat = self.may_be_replaced();
                let monitor = self.remote_monitor(&region);
                let liveness = monitor.liveness.clone();
                let send = async move {
                    proxy.forwarder().send(&region, forward, may_repeat, liveness).await
                };
                let outcome = Box::pin(tracked_send.track(send));
                SentRun { monitor, outcome, leased: None }
            }
            FoundPlace::Reserved(reserved) => {
                self.log.record_sent_away(&reserved.region, None, &self.item);
                let monitor = self.remote_monitor(&reserved.region);
                let liveness = monitor.liveness.clone();
                let service = self.item.service.clone();
                let (told, begun) = oneshot::channel();
                let leased = times.map(|times| LeasedStart { run: reserved.leased(times), begun });
                let send = async move {
                    let forwarder = proxy.forwarder();
                    forwarder.commit(reserved, &service, left, liveness, times, told).await
                };
                let outcome = Box::pin(tracked_send.track(send));
                SentRun { monitor, outcome, leased }
            }
        }
    }

    fn remote_monitor(&self, region: &RegionName) -> RunMonitor {
        RunMonitor {
            target: AttemptTarget::Remote(region.clone()),
            liveness: RunLiveness::Remote(RemoteLiveness::new(&self.proxy.context().clock)),
            silence_limit: self.proxy.forwarder().accept_timeout(region),
            at_work_silence_limit: None,
        }
    }

    fn send_monitor(&self, run: &BackendRun) -> SendMonitor {
        SendMonitor {
            fingerprint: Rc::clone(&self.fingerprint),
            run: run.clone(),
            sent: self.now(),
            has_begun: Cell::new(false),
            crashes: Rc::clone(self.proxy.crashes()),
            events: Rc::clone(self.proxy.events()),
        }
    }

    /// Returns the longest silence before the head of the response until another place is sought.
    fn head_silence_limit(&self, expected_ms: f64) -> Duration {
        let kind = self.item.route.kind;
        let least = if kind.is_stream() { MIN_STREAM_HEAD_DELAY } else { MIN_PLAIN_HEAD_DELAY };
        let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0);
        least + expected.mul_f64(HEAD_DELAY_FACTOR)
    }
}
