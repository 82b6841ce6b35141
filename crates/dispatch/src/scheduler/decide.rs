//! The decision on a queued request: send, forward to another region, refuse, or keep waiting.
//!
//! A request waits only if capacity is expected in time. Otherwise it is refused at once, with the
//! time after which capacity is expected.

use {
    super::{
        Scheduler, Waiting,
        place::{LocalChoice, LocalEstimate},
        scan::ServiceScan,
    },
    crate::{Decision, RefusalDetails, RefusalReason, WorkItem},
    gullglade_units::MonotonicTime,
    std::time::Duration,
};

/// Lower bound of `retry_after`: earlier retries only add load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Upper bound of `retry_after`: predictions further ahead are unreliable.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that would be answered later than this multiple of its objective is refused at once.
/// An early refusal serves its caller better than a late answer, and leaves the capacity to
/// requests that can be answered in time.
const MAX_OBJECTIVE_MULTIPLE: u32 = 3;

/// `retry_after` is spread over this additional time, so that callers do not return all at once.
const RETRY_SPREAD_MS: u64 = 500;

/// Connection failures of one request after which another gateway of the region sends it. If open
/// connections continue to work and new ones fail, a backend server answers some requests and is
/// unreachable for others, so it is not suspect for long.
const MAX_CONNECTION_FAILURES: usize = 2;

/// Recheck interval of a request that another gateway is to send, if no forward is possible now.
const RELAY_RECHECK: Duration = Duration::from_millis(50);

/// Time reserved for returning a refusal before the deadline of the caller.
const REFUSAL_MARGIN: Duration = Duration::from_millis(20);

/// Returns whether a request may wait until `recheck_at` while all backend servers that may get it
/// are suspect.
fn may_await_suspect(
    item: &WorkItem,
    recheck_at: MonotonicTime,
    is_any_stalled: bool,
    now: MonotonicTime,
) -> bool {
    let left = item.first_byte_deadline.since(now);
    let is_in_time = recheck_at.since(now) * 3 < left;
    // Only one backend server may get it.
    if item.returns_to.is_some() {
        return is_in_time;
    }
    // A backend server that is stalled is stalled for all gateways, and may go on before the
    // deadline. For one that failed, the gateway that forwarded a request here may know another
    // place, and a request that is late already is refused.
    let may_meet_objective = recheck_at <= item.arrived + item.route.objective;
    is_in_time && (is_any_stalled || item.may_forward && may_meet_objective)
}

impl Scheduler {
    /// Decides on a request. Returns `None` if it stays in the queue.
    pub(super) fn decide(
        &mut self,
        waiting: &Waiting,
        scan: &mut ServiceScan,
        now: MonotonicTime,
    ) -> Option<Decision> {
        let item = &waiting.item;
        if now + REFUSAL_MARGIN >= item.first_byte_deadline {
            return Some(self.refuse(RefusalReason::TooLate, waiting, Duration::ZERO, now));
        }
        if self.exceeds_memory(item) || self.cannot_end(item, now) {
            return Some(self.refuse(RefusalReason::CannotEnd, waiting, Duration::ZERO, now));
        }
        let local = match item.allows(&self.settings.region) {
            true if self.has_failed_to_connect(item, now) => {
                LocalChoice::AllSuspect { recheck_at: now + RELAY_RECHECK, is_any_stalled: false }
            }
            true => self.place_locally(item, scan, now),
            false => LocalChoice::NoBackend,
        };
        let estimate = match &local {
            LocalChoice::Send { estimate, .. } | LocalChoice::Wait { estimate, .. } => {
                Some(*estimate)
            }
            LocalChoice::AllSuspect { .. } | LocalChoice::NoBackend => None,
        };
        if let Some(region) = self.better_region(item, estimate, now) {
            let local_ms = estimate.map(|estimate| estimate.expected_ms);
            return Some(Decision::Forward { region, local_ms });
        }
        match local {
            LocalChoice::Send { backend, estimate, copy } => {
                let info = &self.backends.get(&backend)?.info;
                let (address, run) = (info.address, info.run());
                let LocalEstimate { expected_ms, priority, .. } = estimate;
                Some(Decision::Send { run, address, priority, expected_ms, copy })
            }
            LocalChoice::Wait { estimate, recheck_at, backoff_end } => {
                let wait =
                    Duration::from_secs_f64((estimate.expected_ms + scan.queued_ms()) / 1_000.0);
                let max_multiple = match self.overload.refuses_late(item, now) {
                    true => 1,
                    false => MAX_OBJECTIVE_MULTIPLE,
                };
                let useful_by = item.arrived + item.route.objective * max_multiple;
                if now + wait >= item.first_byte_deadline.min(useful_by) {
                    let (reason, wait) = match backoff_end {
                        Some(end) => (RefusalReason::Backoff, end.since(now)),
                        None => {
                            let promised = self.overload.promise_retry(item, now);
                            let wait = promised.unwrap_or(wait.min(MAX_RETRY_AFTER));
                            (RefusalReason::TooLate, wait)
                        }
                    };
                    return Some(self.refuse(reason, waiting, wait, now));
                }
                self.wake_by(recheck_at.min(item.first_byte_deadline));
                None
            }
            LocalChoice::AllSuspect { recheck_at, is_any_stalled } => {
                if may_await_suspect(item, recheck_at, is_any_stalled, now) {
                    self.wake_by(recheck_at);
                    return None;
                }
                let wait = recheck_at.since(now);
                Some(self.refuse(RefusalReason::AllSuspect, waiting, wait, now))
            }
            LocalChoice::NoBackend => {
                Some(self.refuse(RefusalReason::NoBackend, waiting, MIN_RETRY_AFTER, now))
            }
        }
    }

    /// Returns whether the prompt is larger than the memory of an engine, which would reject it.
    fn exceeds_memory(&self, item: &WorkItem) -> bool {
        let engine = self.services.get(&item.service).and_then(|service| service.engine);
        let engine = engine.zip(item.prompt.as_ref());
        engine
            .is_some_and(|(engine, prompt)| u64::from(prompt.prompt_tokens) > engine.memory_tokens)
    }

    /// Returns whether a request met so many connection failures here that another gateway of this
    /// region should send it.
    fn has_failed_to_connect(&self, item: &WorkItem, now: MonotonicTime) -> bool {
        let is_limit_reached = item.unreachable.len() >= MAX_CONNECTION_FAILURES;
        is_limit_reached && item.may_forward && self.may_relay(item, now)
    }

    fn refuse(
        &self,
        reason: RefusalReason,
        waiting: &Waiting,
        wait: Duration,
        now: MonotonicTime,
    ) -> Decision {
        // Spread by the ticket number, so that adjacent requests get different times.
        let spread = Duration::from_millis(waiting.ticket.0.wrapping_mul(131) % RETRY_SPREAD_MS);
        let details = self.refusal_details(&waiting.item, now);
        Decision::Refuse { reason, retry_after: wait.max(MIN_RETRY_AFTER) + spread, details }
    }

    fn refusal_details(&self, item: &WorkItem, now: MonotonicTime) -> RefusalDetails {
        let of_service = || self.backends.values().filter(|b| b.info.service == item.service);
        let serving = || self.serving(&item.service);
        let offers = || self.allowed_offers(item);
        RefusalDetails {
            known: of_service().count(),
            serving: serving().count(),
            suspect: serving().filter(|b| self.is_suspect(b, now)).count(),
            cold: serving().filter(|b| self.is_cold(b, now)).count(),
            backed_off: serving().filter(|b| b.statements.backoff.until(now).is_some()).count(),
            regions: offers().count(),
            paused: offers().filter(|r| self.regions.is_paused(&r.region, &r.service, now)).count(),
            waiting: self.waiting.len(),
            share: self.overload.full_share(item, now),
        }
    }

    fn wake_by(&mut self, at: MonotonicTime) {
        self.wake = Some(self.wake.map_or(at, |wake| wake.min(at)));
    }
}
