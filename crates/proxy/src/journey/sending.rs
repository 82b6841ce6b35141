//! The sends of a request: to a backend server of the own region, or to another region.

use {
    super::Journey,
    crate::{
        attempt::Attempt,
        forward::{ForwardCall, LeasedRun},
        liveness::{RemoteLiveness, RunLiveness, RunWatch},
        outcome::{AttemptEnd, AttemptPlace},
        search::{FoundPlace, PlacedRun},
        send_watch::SendWatch,
    },
    futures::channel::oneshot,
    gullglade_dispatch::HandoverTimes,
    gullglade_units::{BackendRun, LocalFuture, RegionName},
    std::{rc::Rc, time::Duration},
};

/// How much later than expected the head of a repeatable answer may be before another place is
/// sought: this many times the expectation, and the time below.
const PATIENCE_FACTOR: f64 = 2.0;

/// A plain answer's least patience.
const PLAIN_PATIENCE: Duration = Duration::from_millis(150);

/// A stream's least patience: its prompt may be among the longest, and a second read of it takes
/// as long again.
const STREAM_PATIENCE: Duration = Duration::from_millis(600);

/// A request that was sent.
pub(crate) struct SentRun {
    pub(crate) watch: RunWatch,
    /// How the attempt ends. Dropped, it cancels the work.
    pub(crate) end: LocalFuture<'static, AttemptEnd>,
    /// Of a run that began with a lease.
    pub(crate) leased: Option<LeasedStart>,
}

/// The start of a run in another region, beside one that has not ended.
pub(crate) struct LeasedStart {
    /// What keeps it; it ends by itself otherwise.
    pub(crate) run: LeasedRun,
    /// Told when it is certain that the run has begun.
    pub(crate) begun: oneshot::Receiver<()>,
}

/// The attempt that follows a run that was given up.
pub(crate) enum SecuredRun {
    /// Its place is reserved.
    Place(FoundPlace),
    /// It is under way.
    Sent(SentRun),
}

impl Journey {
    /// Sends it to a place.
    pub(crate) fn send(&mut self, found: FoundPlace) -> SentRun {
        self.send_within(found, None)
    }

    /// Sends it to a place; with `times`, while the run that it is to replace has not ended.
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
        let flight = self.sends.begin();
        match found {
            FoundPlace::Here(placed) => {
                let PlacedRun { ticket, run, address, priority, expected_ms, copy } = placed;
                let ticket = ticket.watched(self.watch(&run));
                self.log.placed(&run.backend, expected_ms, copy);
                let watch = RunWatch {
                    place: AttemptPlace::Here(run.backend.clone()),
                    liveness: ticket.liveness(),
                    patience: self.patience(expected_ms),
                    work_patience: None,
                };
                let attempt = Attempt {
                    call: Rc::clone(&self.call),
                    backend: run.backend,
                    address,
                    left,
                    priority,
                    workspace: self.item.workspace.clone(),
                    resume_after: self.last_event,
                    copy_from: copy.map(|copy| copy.from),
                    is_once_only: !self.item.route.kind.may_repeat(),
                };
                let send = async move { proxy.attempts().send(attempt, ticket).await };
                let end = Box::pin(flight.follow(send));
                SentRun { watch, end, leased: None }
            }
            FoundPlace::Away(region) => {
                let forward = ForwardCall {
                    print: self.print.made(),
                    ..ForwardCall::new(&self.call, &self.item, self.last_event, self.now())
                };
                let may_repeat = self.may_be_replaced();
                let watch = self.away_watch(&region);
                let liveness = watch.liveness.clone();
                let send = async move {
                    proxy.forwarder().send(&region, forward, may_repeat, liveness).await
                };
                let end = Box::pin(flight.follow(send));
                SentRun { watch, end, leased: None }
            }
            FoundPlace::Reserved(reserved) => {
                self.log.away(&reserved.region, None, &self.item);
                let watch = self.away_watch(&reserved.region);
                let liveness = watch.liveness.clone();
                let service = self.item.service.clone();
                let (told, begun) = oneshot::channel();
                let leased = times.map(|times| LeasedStart { run: reserved.leased(times), begun });
                let send = async move {
                    let forwarder = proxy.forwarder();
                    forwarder.commit(reserved, &service, left, liveness, times, told).await
                };
                let end = Box::pin(flight.follow(send));
                SentRun { watch, end, leased }
            }
        }
    }

    fn away_watch(&self, region: &RegionName) -> RunWatch {
        RunWatch {
            place: AttemptPlace::Away(region.clone()),
            liveness: RunLiveness::Away(RemoteLiveness::new(&self.proxy.context().clock)),
            patience: self.proxy.forwarder().accept_limit(region),
            work_patience: None,
        }
    }

    fn watch(&self, run: &BackendRun) -> SendWatch {
        SendWatch {
            print: Rc::clone(&self.print),
            run: run.clone(),
            sent: self.now(),
            crashes: Rc::clone(self.proxy.crashes()),
            events: Rc::clone(self.proxy.events()),
        }
    }

    /// How late the head of an answer may be before another place is sought.
    fn patience(&self, expected_ms: f64) -> Duration {
        let kind = self.item.route.kind;
        let least = if kind.is_stream() { STREAM_PATIENCE } else { PLAIN_PATIENCE };
        let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1_000.0);
        least + expected.mul_f64(PATIENCE_FACTOR)
    }
}
