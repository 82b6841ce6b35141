//! Where a request goes next.

use {
    super::Journey,
    crate::{
        outcome::{AttemptEnd, FinalWord, NotRunReason, UnknownReason},
        search::{FoundPlace, PlacedRun},
    },
    gullglade_dispatch::{Decision, NextTarget},
    gullglade_poison::RequestHold,
    gullglade_units::RegionName,
};

impl Journey {
    /// A place for the only attempt that a gateway makes for one of another region; how the attempt
    /// ends where there is none.
    pub(crate) async fn single_place(&mut self) -> Result<FoundPlace, AttemptEnd> {
        self.find_place().await.map_err(|word| match word {
            FinalWord::Refused(_, wait) => {
                AttemptEnd::NotRun(NotRunReason::RefusedAway, Some(wait))
            }
            FinalWord::HeldBack { ends, left, .. } => {
                AttemptEnd::NotRun(NotRunReason::HeldBack { ends }, Some(left))
            }
            _ => AttemptEnd::NotRun(NotRunReason::RefusedAway, None),
        })
    }

    /// Waits for a place.
    pub(super) async fn find_place(&mut self) -> Result<FoundPlace, FinalWord> {
        self.check_hold()?;
        self.await_repeat().await;
        if let Some(region) = self.plan_return()? {
            self.take_repeat()?;
            self.log.away(&region, None, &self.item);
            return Ok(FoundPlace::Away(region));
        }
        self.place().await
    }

    /// Waits for a place that the dispatcher gives.
    async fn place(&mut self) -> Result<FoundPlace, FinalWord> {
        let item = self.item.clone();
        self.item.is_new = false;
        let (ticket, verdict) = self.proxy.dispatcher().place(item).await;
        // The third end may have become known while it waited.
        self.check_hold()?;
        if verdict.is_sent() {
            self.take_repeat()?;
        }
        match verdict {
            Decision::Refuse { reason, retry_after, details } => {
                if self.ledger.has_run() {
                    return Err(self.unknown(UnknownReason::Overdue));
                }
                self.log.refused(reason, retry_after, details, &self.item);
                Err(FinalWord::Refused(reason, retry_after))
            }
            Decision::Send { run, address, priority, expected_ms, copy } => {
                let placed = PlacedRun { ticket, run, address, priority, expected_ms, copy };
                Ok(FoundPlace::Here(placed))
            }
            Decision::Forward { region, local_ms } => {
                drop(ticket);
                self.log.away(&region, local_ms, &self.item);
                Ok(FoundPlace::Away(region))
            }
        }
    }

    /// Where no other backend server may get it, has it go back to the one that was given up last;
    /// its region where that is another one.
    fn plan_return(&mut self) -> Result<Option<RegionName>, FinalWord> {
        let Some(NextTarget::Return(used)) = self.ledger.next_target() else { return Ok(None) };
        let used = used.clone();
        let away = Some(&used.region).filter(|region| *region != self.proxy.region()).cloned();
        let dispatcher = self.proxy.dispatcher();
        let is_broken = |region| dispatcher.ask(|s, now| s.is_path_broken(region, now));
        if away.as_ref().is_some_and(is_broken) {
            return Err(self.unknown(UnknownReason::LostAway));
        }
        self.log.goes_back(&used);
        self.ledger.note_return(&used);
        self.item.returns_to = Some(used.name.clone());
        self.returning = Some(used);
        // The run that it had there is gone.
        self.owes_run = true;
        Ok(away)
    }

    /// Whether it may be sent. One under which backend servers ended would end the next one, with
    /// everything that runs there, whatever its id and wherever it came in.
    pub(crate) fn check_hold(&self) -> Result<(), FinalWord> {
        let crashes = self.proxy.crashes();
        if crashes.is_empty() {
            return Ok(());
        }
        let print = self.print.get();
        match crashes.hold(&print) {
            Some(RequestHold { ends, left }) => Err(FinalWord::HeldBack { print, ends, left }),
            None => Ok(()),
        }
    }
}
