//! Retries of a request, granted by the retry budget of its service.

use {
    super::RequestExecution,
    crate::{
        outcome::{RequestError, RetryReason},
        send_tracker::GrantedRetry,
    },
    gullglade_dispatch::Scheduler,
    std::time::Duration,
};

/// Shortest pause before the budget is asked for a retry again.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(20);

/// A retry of a request that has arrived at a backend server.
pub(super) struct PendingRetry {
    pub(super) reason: RetryReason,
    /// Error for the caller if the budget has no retry left by the time there is a place.
    pub(super) fallback: RequestError,
}

impl RequestExecution {
    /// Plans a retry.
    ///
    /// # Errors
    ///
    /// Returns `fallback` if the budget has no retry left and none is expected in time.
    pub(super) fn plan_retry(
        &mut self,
        reason: RetryReason,
        fallback: RequestError,
    ) -> Result<(), RequestError> {
        if !self.has_retry_left(reason) && !self.may_await_retry() {
            return Err(fallback);
        }
        self.pending_retry = Some(PendingRetry { reason, fallback });
        Ok(())
    }

    /// Returns `true` if it is worth waiting for a retry that the budget does not have now: the
    /// caller has received a part of the response, or a run was abandoned that may still respond,
    /// and a retry is expected in time.
    fn may_await_retry(&self) -> bool {
        let has_begun = self.last_event.is_some() || self.ledger.has_given_up();
        has_begun && self.retry_wait().is_some_and(|wait| wait < self.left())
    }

    /// Returns the expected time until the budget has a retry; zero if it has one now. The clock is
    /// read only once, since a time read before the scheduler call would always lie before the
    /// result.
    fn retry_wait(&self) -> Option<Duration> {
        let service = &self.item.service;
        let next = |scheduler: &mut Scheduler, now| {
            scheduler.next_repeat(service, now).map(|at| at.since(now))
        };
        self.proxy.dispatcher().with_scheduler(next)
    }

    /// Waits until there is a retry for the pending one. Other requests may take it first.
    pub(super) async fn await_retry(&mut self) {
        let mut began = None;
        while self.pending_retry.is_some() && !self.sends.has_retry() && self.may_await_retry() {
            let Some(wait) = self.retry_wait().filter(|wait| !wait.is_zero()) else { break };
            began.get_or_insert_with(|| self.now());
            self.proxy.context().clock.sleep(wait.max(MIN_RETRY_WAIT)).await;
        }
        if let Some(began) = began {
            self.log.record_retry_awaited(self.now().since(began));
        }
    }

    /// Returns `true` if the budget of the service has a retry left.
    pub(crate) fn has_retry_left(&mut self, reason: RetryReason) -> bool {
        if self.sends.has_retry() {
            return true;
        }
        let service = &self.item.service;
        let dispatcher = self.proxy.dispatcher();
        let decision =
            dispatcher.with_scheduler(|scheduler, now| scheduler.peek_repeat(service, now));
        if !decision.is_granted {
            self.log.record_retry(reason, decision);
        }
        decision.is_granted
    }

    /// Takes the pending retry from the budget of the service, at the time of sending: it may have
    /// waited for its place for longer than the budget's window.
    ///
    /// # Errors
    ///
    /// Returns the fallback error of the pending retry if the budget is used up.
    pub(super) fn take_retry(&mut self) -> Result<(), RequestError> {
        let Some(PendingRetry { reason, fallback }) = self.pending_retry.take() else {
            return Ok(());
        };
        if self.take_from_budget(reason) { Ok(()) } else { Err(fallback) }
    }

    /// Takes a retry from the budget of the service. Returns `true` if there was one.
    pub(crate) fn take_from_budget(&mut self, reason: RetryReason) -> bool {
        // A granted retry whose send never arrived is still unused.
        if self.sends.has_retry() {
            return true;
        }
        let service = &self.item.service;
        let dispatcher = self.proxy.dispatcher();
        let decision =
            dispatcher.with_scheduler(|scheduler, now| scheduler.take_repeat(service, now));
        self.log.record_retry(reason, decision);
        if decision.is_granted {
            self.sends.add_retry(GrantedRetry::new(&self.proxy, &self.request.id, service));
        }
        decision.is_granted
    }
}
