//! What becomes of a request: sent, sent to another region, turned away, or kept waiting.
//!
//! A request waits only for room that is expected in time. One that is known to come too late is
//! turned away at once, with the time after which there will be room.

use {
    super::{
        Scheduler, Waiting,
        look::ServiceLook,
        placing::{HereTimes, Local},
    },
    crate::{Decision, RefusalDetails, RefusalReason, WorkItem},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// The least time after which a caller may come back: shorter ones only add load.
const LEAST_RETRY: Duration = Duration::from_millis(250);

/// The longest time after which a caller is asked to come back. A prediction beyond it says little.
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// A request that would be answered later than this many times its objective is turned away at
/// once: its caller is better served by knowing than by a late answer, and so are those whose
/// turn comes sooner.
const WORTHWHILE_FACTOR: u32 = 3;

/// Returners are spread over this much more, so that they do not come as one wave.
const RETRY_SPREAD_MS: u64 = 500;

/// A request that is turned away keeps this much of its time for the way back.
const ANSWER_SLACK: Duration = Duration::from_millis(20);

impl Scheduler {
    /// What becomes of a request now; `None` where it waits on.
    pub(super) fn decide(
        &mut self,
        waiting: &Waiting,
        look: &mut ServiceLook,
        now: MonotonicTime,
    ) -> Option<Decision> {
        let item = &waiting.item;
        if now + ANSWER_SLACK >= item.first_byte_deadline {
            return Some(self.refuse(RefusalReason::TooLate, waiting, Duration::ZERO, now));
        }
        let local = match item.allows(&self.settings.region) {
            true => self.look_here(item, look, now),
            false => Local::Nobody,
        };
        let here = match &local {
            Local::Place { here, .. } | Local::Later { here, .. } => Some(*here),
            Local::Suspects { .. } | Local::Nobody => None,
        };
        if let Some(region) = self.better_region(item, here, now) {
            let local_ms = here.map(|here| here.expected_ms);
            return Some(Decision::Forward { region, local_ms });
        }
        match local {
            Local::Place { backend, here, copy } => {
                let facts = &self.backends.get(&backend)?.facts;
                let (address, run) = (facts.address, facts.run());
                let HereTimes { expected_ms, priority, .. } = here;
                Some(Decision::Send { run, address, priority, expected_ms, copy })
            }
            Local::Later { here, again, backoff_ends } => {
                let wait = Duration::from_secs_f64((here.expected_ms + look.queued_ms()) / 1_000.0);
                let worthwhile = item.arrived + item.route.objective * WORTHWHILE_FACTOR;
                if now + wait >= item.first_byte_deadline.min(worthwhile) {
                    let (reason, wait) = match backoff_ends {
                        Some(end) => (RefusalReason::Backoff, end.since(now)),
                        None => (RefusalReason::TooLate, wait.min(LONGEST_RETRY)),
                    };
                    return Some(self.refuse(reason, waiting, wait, now));
                }
                self.look_again(again.min(item.first_byte_deadline));
                None
            }
            Local::Suspects { again } => {
                let wait = again.since(now);
                let left = item.first_byte_deadline.since(now);
                if wait * 3 < left && wait < item.route.objective / 2 {
                    self.look_again(again);
                    return None;
                }
                Some(self.refuse(RefusalReason::AllSuspect, waiting, wait, now))
            }
            Local::Nobody => Some(self.refuse(RefusalReason::NoBackend, waiting, LEAST_RETRY, now)),
        }
    }

    fn refuse(
        &self,
        reason: RefusalReason,
        waiting: &Waiting,
        wait: Duration,
        now: MonotonicTime,
    ) -> Decision {
        // Spread by the ticket: neighbours in the queue come back one after the other.
        let spread = Duration::from_millis(waiting.ticket.0.wrapping_mul(131) % RETRY_SPREAD_MS);
        let facts = self.refusal_facts(&waiting.item, now);
        Decision::Refuse { reason, retry_after: wait.max(LEAST_RETRY) + spread, facts }
    }

    fn refusal_facts(&self, item: &WorkItem, now: MonotonicTime) -> RefusalDetails {
        let of_service = || self.backends.values().filter(|b| b.facts.service == item.service);
        let serving = || self.serving(&item.service);
        let offers = || self.allowed_offers(item);
        RefusalDetails {
            known: of_service().count(),
            serving: serving().count(),
            suspect: serving().filter(|b| b.health.is_suspect(now)).count(),
            cold: serving().filter(|b| self.is_cold(b, now)).count(),
            backed_off: serving().filter(|b| b.stated.backoff.until(now).is_some()).count(),
            regions: offers().count(),
            paused: offers().filter(|r| self.regions.is_paused(r, now)).count(),
            waiting: self.waiting.len(),
        }
    }

    fn look_again(&mut self, at: MonotonicTime) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
