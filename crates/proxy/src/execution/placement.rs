//! Placement of the next attempt of a request.

use {
    super::RequestExecution,
    crate::{
        outcome::{AttemptOutcome, HeldPromptPart, NotRunReason, RequestError, UnknownReason},
        search::{FoundPlace, LocalPlace},
    },
    gullglade_dispatch::{Decision, NextTarget, RefusalReason},
    gullglade_poison::{CrashSuspect, RequestHold, SuspectState},
    gullglade_units::RegionName,
};

impl RequestExecution {
    /// Returns a place for the single attempt that a gateway makes for another one.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if there is no place.
    pub(crate) async fn find_single_place(&mut self) -> Result<FoundPlace, AttemptOutcome> {
        self.find_place().await.map_err(|error| match error {
            RequestError::Refused(RefusalReason::AllSuspect, wait) => {
                AttemptOutcome::NotRun(NotRunReason::NoPath, Some(wait))
            }
            RequestError::Refused(_, wait) => {
                AttemptOutcome::NotRun(NotRunReason::RefusedAway, Some(wait))
            }
            RequestError::HeldBack { ends, left, .. } => {
                AttemptOutcome::NotRun(NotRunReason::HeldBack { ends }, Some(left))
            }
            RequestError::HeldPart { held, left } => {
                AttemptOutcome::NotRun(NotRunReason::HeldPart(held), Some(left))
            }
            _ => AttemptOutcome::NotRun(NotRunReason::RefusedAway, None),
        })
    }

    /// Waits for a place, after the retry budget and returns have been considered.
    pub(super) async fn find_place(&mut self) -> Result<FoundPlace, RequestError> {
        self.check_hold()?;
        self.await_retry().await;
        if let Some(region) = self.plan_return()? {
            self.take_retry()?;
            self.log.record_sent_away(&region, None, &self.item);
            return Ok(FoundPlace::Remote(region));
        }
        self.place().await
    }

    /// Waits for a place from the dispatcher.
    async fn place(&mut self) -> Result<FoundPlace, RequestError> {
        let item = self.item.clone();
        self.item.is_new = false;
        let (ticket, verdict) = self.proxy.dispatcher().place(item).await;
        // The request may have been put on hold while it waited.
        self.check_hold()?;
        if verdict.is_sent() {
            self.take_retry()?;
        }
        match verdict {
            Decision::Refuse { reason, retry_after, details } => {
                if self.ledger.has_run() {
                    return Err(self.unknown(UnknownReason::Overdue));
                }
                self.log.record_refused(reason, retry_after, details, &self.item);
                Err(RequestError::Refused(reason, retry_after))
            }
            Decision::Send { run, address, priority, expected_ms, copy } => {
                let placed = LocalPlace { ticket, run, address, priority, expected_ms, copy };
                Ok(FoundPlace::Local(placed))
            }
            Decision::Forward { region, local_ms } => {
                drop(ticket);
                self.log.record_sent_away(&region, local_ms, &self.item);
                Ok(FoundPlace::Remote(region))
            }
        }
    }

    /// If no other backend server may get the request, plans to send it back to the one whose run
    /// was abandoned last. Returns the region of that backend server if it is another one.
    fn plan_return(&mut self) -> Result<Option<RegionName>, RequestError> {
        let Some(NextTarget::Return(used)) = self.ledger.next_target() else { return Ok(None) };
        let used = used.clone();
        let remote_region =
            Some(&used.region).filter(|region| *region != self.proxy.region()).cloned();
        let dispatcher = self.proxy.dispatcher();
        let is_broken = |region| dispatcher.with_scheduler(|s, now| s.is_path_broken(region, now));
        if remote_region.as_ref().is_some_and(is_broken) {
            return Err(self.unknown(UnknownReason::LostAway));
        }
        self.log.record_return(&used);
        self.ledger.note_return(&used);
        self.item.returns_to = Some(used.name.clone());
        self.return_target = Some(used);
        // The earlier run there is gone.
        self.must_replace_run = true;
        Ok(remote_region)
    }

    /// Checks that neither the request nor a part of its prompt is held back. One under which
    /// backend servers ended would end the next one together with all other runs there, regardless
    /// of its id and of the gateway that received it.
    pub(crate) fn check_hold(&self) -> Result<(), RequestError> {
        let crashes = self.proxy.crashes();
        if crashes.is_empty() {
            return Ok(());
        }
        let content = CrashSuspect::Content(self.fingerprint.get());
        let parts = self.fingerprint.parts().iter().copied().map(CrashSuspect::Part);
        let suspects = || std::iter::once(content).chain(parts.clone());
        for suspect in suspects() {
            self.check_suspect(suspect)?;
        }
        if !self.is_probe.get() {
            let is_probed =
                |suspect: &CrashSuspect| crashes.state(suspect, false) == SuspectState::Probe;
            for suspect in suspects().filter(is_probed) {
                crashes.note_probe(suspect);
                self.is_probe.set(true);
            }
        }
        Ok(())
    }

    fn check_suspect(&self, suspect: CrashSuspect) -> Result<(), RequestError> {
        let state = self.proxy.crashes().state(&suspect, self.is_probe.get());
        let SuspectState::Held(RequestHold { ends, left }) = state else { return Ok(()) };
        match suspect {
            CrashSuspect::Content(print) => Err(RequestError::HeldBack { print, ends, left }),
            CrashSuspect::Part(print) => Err(self.held_part(HeldPromptPart { print, ends }, left)),
        }
    }
}
