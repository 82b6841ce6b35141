//! The repeats of a request, which its service's budget grants.

use {
    super::Journey,
    crate::{
        arrival::OpenRepeat,
        outcome::{FinalWord, RepeatReason},
    },
    gullglade_dispatch::Scheduler,
    std::time::Duration,
};

/// The pause before the budget is asked for a repeat again.
const LEAST_REPEAT_WAIT: Duration = Duration::from_millis(20);

/// A request that has arrived at a backend server and is to be sent once more.
pub(super) struct PendingRepeat {
    pub(super) reason: RepeatReason,
    /// What its caller is told where the budget has no repeat left by the time there is a place.
    pub(super) otherwise: FinalWord,
}

impl Journey {
    /// Has the request sent once more, where the budget has a repeat left.
    pub(super) fn plan_repeat(
        &mut self,
        reason: RepeatReason,
        otherwise: FinalWord,
    ) -> Result<(), FinalWord> {
        if !self.has_repeat_left(reason) && !self.may_await_repeat() {
            return Err(otherwise);
        }
        self.pending = Some(PendingRepeat { reason, otherwise });
        Ok(())
    }

    /// Whether a repeat that the budget does not have now is waited for: the caller has a part of
    /// the answer, or a run was given up that may answer, and there will be one in time.
    fn may_await_repeat(&self) -> bool {
        let has_begun = self.last_event.is_some() || self.ledger.has_given_up();
        has_begun && self.repeat_wait().is_some_and(|wait| wait < self.left())
    }

    /// How long it is until the budget has a repeat, as far as is known. Zero: it has one now. The
    /// clock is read once, as a moment that is taken before the answer always lies before it.
    fn repeat_wait(&self) -> Option<Duration> {
        let service = &self.item.service;
        let next = |scheduler: &mut Scheduler, now| {
            scheduler.next_repeat(service, now).map(|at| at.since(now))
        };
        self.proxy.dispatcher().with_scheduler(next)
    }

    /// Waits until there is a repeat for the one that is pending. Others may take it first.
    pub(super) async fn await_repeat(&mut self) {
        let mut began = None;
        while self.pending.is_some() && !self.sends.has_repeat() && self.may_await_repeat() {
            let Some(wait) = self.repeat_wait().filter(|wait| !wait.is_zero()) else { break };
            began.get_or_insert_with(|| self.now());
            self.proxy.context().clock.sleep(wait.max(LEAST_REPEAT_WAIT)).await;
        }
        if let Some(began) = began {
            self.log.repeat_awaited(self.now().since(began));
        }
    }

    /// Whether the service's budget has a repeat left.
    pub(crate) fn has_repeat_left(&mut self, reason: RepeatReason) -> bool {
        if self.sends.has_repeat() {
            return true;
        }
        let service = &self.item.service;
        let dispatcher = self.proxy.dispatcher();
        let decision =
            dispatcher.with_scheduler(|scheduler, now| scheduler.peek_repeat(service, now));
        if !decision.is_granted {
            self.log.repeat(reason, decision);
        }
        decision.is_granted
    }

    /// Takes the repeat that is pending out of the service's budget, at the time at which it is
    /// sent: it may have waited for its place for longer than a window has room for.
    pub(super) fn take_repeat(&mut self) -> Result<(), FinalWord> {
        let Some(PendingRepeat { reason, otherwise }) = self.pending.take() else { return Ok(()) };
        if self.take_from_budget(reason) { Ok(()) } else { Err(otherwise) }
    }

    /// Takes a repeat out of the service's budget; whether there was one.
    pub(crate) fn take_from_budget(&mut self, reason: RepeatReason) -> bool {
        // One that was granted and never arrived has not been used.
        if self.sends.has_repeat() {
            return true;
        }
        let service = &self.item.service;
        let dispatcher = self.proxy.dispatcher();
        let decision =
            dispatcher.with_scheduler(|scheduler, now| scheduler.take_repeat(service, now));
        self.log.repeat(reason, decision);
        if decision.is_granted {
            self.sends.add_repeat(OpenRepeat::new(&self.proxy, &self.call.id, service));
        }
        decision.is_granted
    }
}
