//! Invariants that every simulation is checked against.

use {
    super::{
        CallerOutcome, SimulationRecord, SimulationReport,
        engines::{RunEnd, RunRecord, plain_response},
    },
    gullglade_units::MonotonicTime,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// An invariant of the simulations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Invariant {
    /// The last run of a request that ends early was not cancelled while it was at work and in
    /// time.
    CutAtWork,
    /// As `CutAtWork`, if the backend server of the replacement rejected it or could not be
    /// reached.
    CutForRefusal,
    /// As `CutAtWork`, if the link to the region of the replacement lost messages meanwhile.
    CutForLoss,
    /// Two runs of a request are not at work at the same time.
    TwoAtWork,
    /// Events are relayed in order and once, and the end follows the last one.
    Order,
    /// Arrivals beyond the first one of each request stay within the retry budget.
    Budget,
    /// A request runs no more often than its route allows. A second run at the same engine does not
    /// count if the gateway abandoned the first one.
    Attempts,
    /// A silent run causes a limited number of searches.
    Searches,
    /// A request ends by its deadline.
    Late,
    /// A run ends with the request of its caller.
    Gone,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.what)
    }
}

/// Longest time for which two backend servers may run one request, while one of them is being
/// cancelled.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// An event that comes at least this long before the deadline is in time.
const IN_TIME_MARGIN: Duration = Duration::from_millis(700);

/// An end more than this long before the deadline is early.
const EARLY_MARGIN: Duration = Duration::from_millis(250);

/// Time by which a request may exceed its deadline.
const LATE_MARGIN: Duration = Duration::from_millis(500);

/// Time after which all gateways have a new configuration.
const CONFIGURATION_DELAY: Duration = Duration::from_secs(2);

const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;

/// Most searches for one request within ten seconds, longer than any request lasts.
const MAX_SEARCHES: usize = 20;

/// Most forwards of one request without a silent run.
const MAX_FORWARDS_PER_REQUEST: usize = 4;

impl RunEnd {
    fn is_arrival(self) -> bool {
        self != Self::Unreachable
    }

    fn is_run(self) -> bool {
        self.is_arrival() && self != Self::TurnedAway
    }
}

impl SimulationRecord {
    pub(super) fn report(&self) -> SimulationReport {
        let requests = self.outcomes.len();
        SimulationReport {
            violations: self.check(),
            requests,
            complete: (0..requests).filter(|number| self.is_complete(*number)).count(),
            arrivals: self.runs.iter().filter(|run| run.end.is_arrival()).count(),
            silent: self.runs.iter().filter(|run| run.is_silent).count(),
        }
    }

    /// Returns the violated invariants.
    fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for number in 0..self.outcomes.len() {
            let mut report = |invariant, found: Option<String>| {
                let what = found.map(|found| format!("call-{number}: {found}"));
                violations.extend(what.map(|what| Violation { invariant, what }));
            };
            let runs: Vec<&RunRecord> = self.runs.iter().filter(|r| r.request == number).collect();
            if let Some((invariant, found)) = self.cancelled_at_work(number, &runs) {
                report(invariant, Some(found));
            }
            report(Invariant::TwoAtWork, self.two_at_work(number, &runs));
            report(Invariant::Order, self.out_of_order(number));
            report(Invariant::Attempts, self.too_many_attempts(&runs));
            report(Invariant::Searches, self.too_many_searches(number));
            report(Invariant::Late, self.too_late(number));
            report(Invariant::Gone, self.running_after_caller_left(number, &runs));
        }
        let mut report = |invariant, found: Option<String>| {
            violations.extend(found.map(|what| Violation { invariant, what }));
        };
        report(Invariant::Budget, self.over_budget());
        report(Invariant::Searches, self.too_many_forwards());
        violations
    }

    /// Returns the shortest and the longest timeout of a request that began at `begin`.
    fn timeouts(&self, begin: MonotonicTime) -> (Duration, Duration) {
        let first = self.simulation.timeout;
        match self.simulation.later {
            Some((at, later)) if begin >= at + CONFIGURATION_DELAY => (later, later),
            Some((at, later)) if begin >= at => (first.min(later), first.max(later)),
            _ => (first, first),
        }
    }

    /// Returns the earliest and the latest deadline of a request.
    fn ends(&self, number: usize) -> (MonotonicTime, MonotonicTime) {
        let caller = &self.simulation.callers[number];
        let (shortest, longest) = self.timeouts(caller.begin);
        (
            caller.begin + shortest.min(caller.caller_timeout),
            caller.begin + longest.min(caller.caller_timeout),
        )
    }

    fn is_complete(&self, number: usize) -> bool {
        let outcome = &self.outcomes[number];
        outcome.status == 200 && !outcome.is_incomplete
    }

    fn cancelled_at_work(&self, number: usize, runs: &[&RunRecord]) -> Option<(Invariant, String)> {
        let outcome = &self.outcomes[number];
        let (ends, _) = self.ends(number);
        if self.is_complete(number) || outcome.has_left || outcome.done + EARLY_MARGIN >= ends {
            return None;
        }
        let last = runs.iter().filter(|run| run.end.is_run()).max_by_key(|run| run.begin)?;
        let RunEnd::Cancelled(Some(due)) = last.end else { return None };
        let pair = (last.gateway, self.simulation.callers[number].gateway);
        if due + IN_TIME_MARGIN >= ends || self.simulation.links.has_loss_before(last.finish?, pair)
        {
            return None;
        }
        let is_refusal = |run: &&&RunRecord| run.begin >= last.begin && !run.end.is_run();
        let lost = self.simulation.links.has_loss_during(last.finish?..outcome.done, pair.1);
        let invariant = match runs.iter().find(is_refusal) {
            Some(_) => Invariant::CutForRefusal,
            None if lost => Invariant::CutForLoss,
            None => Invariant::CutAtWork,
        };
        let description = describe_outcome(outcome);
        let line = self.last_line(number);
        Some((
            invariant,
            format!("{description} before {ends:?}, next event at {due:?}; {runs:?}; {line}"),
        ))
    }

    /// Returns the last log line with the progress of a request.
    fn last_line(&self, number: usize) -> &str {
        let id = format!("request=call-{number} ");
        let of_request = |line: &&String| line.contains(&id) && line.contains(" bound=");
        self.lines.iter().rev().find(of_request).map_or("", String::as_str)
    }

    fn two_at_work(&self, number: usize, runs: &[&RunRecord]) -> Option<String> {
        let runs: Vec<_> = runs.iter().filter(|run| run.end.is_run()).collect();
        let caller = self.simulation.callers[number].gateway;
        for (place, first) in runs.iter().enumerate() {
            for second in &runs[place + 1..] {
                let end = first.finish.into_iter().chain(second.finish).min();
                let overlap = end.map_or(Duration::MAX, |end| end.since(second.begin));
                let pair = (first.gateway, caller);
                let is_cut = self.simulation.links.has_loss_before(second.begin, pair)
                    || first
                        .finish
                        .is_some_and(|at| self.simulation.links.has_loss_before(at, pair));
                if overlap > MAX_OVERLAP && !is_cut {
                    return Some(format!("{overlap:?} of {first:?} and {second:?}"));
                }
            }
        }
        None
    }

    fn out_of_order(&self, number: usize) -> Option<String> {
        let outcome = &self.outcomes[number];
        if outcome.status != 200 {
            return None;
        }
        let body = String::from_utf8_lossy(&outcome.body);
        let Some(last) = self.simulation.pool.requests[number].events else {
            let is_right = outcome.body == plain_response(number) || outcome.has_left;
            return (!is_right).then(|| format!("{body:?}"));
        };
        let count = body.matches("\n\n").count() as u64;
        let expected: String =
            (1..=count).map(|event| format!("id: {event}\ndata: {number}-{event}\n\n")).collect();
        let is_complete = outcome.is_incomplete || outcome.has_left || count == last;
        (body != expected || !is_complete).then(|| format!("{count} of {last}: {body:?}"))
    }

    fn too_many_attempts(&self, runs: &[&RunRecord]) -> Option<String> {
        let mut engines: BTreeMap<(usize, usize), Vec<RunEnd>> = BTreeMap::new();
        let counts = |run: &&&RunRecord| run.end.is_run() && run.end != RunEnd::Died;
        for run in runs.iter().filter(counts) {
            engines.entry((run.region, run.engine)).or_default().push(run.end);
        }
        let is_return = |ends: &&Vec<RunEnd>| matches!(ends[..], [RunEnd::Cancelled(_), _, ..]);
        let returns = engines.values().filter(is_return).count();
        let count = engines.values().map(Vec::len).sum::<usize>() - returns;
        let allowed = self.simulation.max_attempts as usize;
        (count > allowed).then(|| {
            format!("{count} runs and {returns} returns where {allowed} are allowed: {runs:?}")
        })
    }

    fn too_many_searches(&self, number: usize) -> Option<String> {
        let id = format!("request=call-{number} ");
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.contains(&id)) {
            let kind = line.split(' ').next().unwrap_or_default();
            let is_search = kind.starts_with("request.search")
                || ["request.placed", "request.away", "request.refused"].contains(&kind);
            if is_search {
                *kinds.entry(kind).or_default() += 1;
            }
        }
        let max_count = kinds.values().copied().max().unwrap_or_default();
        (max_count > MAX_SEARCHES).then(|| format!("{kinds:?}"))
    }

    fn too_many_forwards(&self) -> Option<String> {
        let mut silent: Vec<_> = self.runs.iter().filter(|run| run.is_silent).collect();
        silent.sort_by_key(|run| run.request);
        silent.dedup_by_key(|run| run.request);
        let allowed = MAX_FORWARDS_PER_REQUEST * self.outcomes.len() + MAX_SEARCHES * silent.len();
        // The network decides twice on the request of a stream.
        let forward_count = self.simulation.links.forward_count.get().div_ceil(2);
        let found = || format!("{forward_count} forwards of {} requests", self.outcomes.len());
        (forward_count > allowed).then(found)
    }

    fn too_late(&self, number: usize) -> Option<String> {
        let (_, ends) = self.ends(number);
        let outcome = &self.outcomes[number];
        (outcome.done > ends + LATE_MARGIN)
            .then(|| format!("{} after {ends:?}", describe_outcome(outcome)))
    }

    fn running_after_caller_left(&self, number: usize, runs: &[&RunRecord]) -> Option<String> {
        let outcome = &self.outcomes[number];
        let is_left = |run: &&&RunRecord| {
            let pair = (run.gateway, self.simulation.callers[number].gateway);
            let end = run.finish.unwrap_or(MonotonicTime(Duration::MAX));
            end > outcome.done + LATE_MARGIN
                && !self.simulation.links.has_loss_before(outcome.done, pair)
        };
        let run = runs.iter().find(is_left)?;
        Some(format!("{} and {run:?}", describe_outcome(outcome)))
    }

    fn over_budget(&self) -> Option<String> {
        let mut arrivals: Vec<_> = self.runs.iter().filter(|run| run.end.is_arrival()).collect();
        arrivals.sort_by_key(|run| run.begin);
        let mut has_come = vec![false; self.outcomes.len()];
        arrivals.retain(|run| std::mem::replace(&mut has_come[run.request], true));
        let retries: Vec<_> = arrivals.iter().map(|run| run.begin).collect();
        let sent: Vec<_> = self.simulation.callers.iter().map(|caller| caller.begin).collect();
        for end in &retries {
            let count = count_within_window(&retries, *end, Duration::ZERO);
            let sent = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW]
                .map(|ago| count_within_window(&sent, *end, ago));
            let max_sent = sent.into_iter().max().unwrap_or_default();
            let allowed = RETRY_RATIO * max_sent as f64 + self.simulation.repeat_slack;
            if count as f64 > allowed {
                return Some(format!("{count} retries at {end:?}, {allowed} allowed"));
            }
        }
        None
    }
}

fn describe_outcome(outcome: &CallerOutcome) -> String {
    let how = if outcome.is_incomplete { "broken off" } else { "ended" };
    format!("status {} {how} at {:?}", outcome.status, outcome.done)
}

/// Returns the number of `times` in the window that ends `ago` before `end`.
fn count_within_window(times: &[MonotonicTime], end: MonotonicTime, ago: Duration) -> usize {
    let age = |at: &MonotonicTime| end.0.saturating_sub(ago).checked_sub(at.0);
    times.iter().filter(|at| age(at).is_some_and(|age| age < BUDGET_WINDOW)).count()
}
