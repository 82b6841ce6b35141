//! The rules that every play is held to.

use {
    super::{
        PlayOutcome, PlayRecord, PlayReport,
        engines::{RunEnd, RunRecord, plain_answer},
    },
    gullglade_units::MonotonicTime,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// A rule of the plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    /// A run that is at work and in time is not the last one of a request that ends early.
    CutAtWork,
    /// The same where the backend server that was to go on turned it away, or could not be reached.
    CutForRefusal,
    /// The same where the link to the region that was to go on lost words meanwhile.
    CutForLoss,
    /// Two runs of a request are not at work at the same time.
    TwoAtWork,
    /// Events come in order, each once, and the end after the last one.
    Order,
    /// Arrivals beyond the first of each request stay within the budget.
    Budget,
    /// A request runs no more often than its route allows. A second run at an engine does not count
    /// where the gateway let go of the first one.
    Attempts,
    /// A silent run causes few searches.
    Searches,
    /// A request ends with its time.
    Late,
    /// A run ends with its caller.
    Gone,
}

/// A rule that a play broke.
#[derive(Clone, Debug)]
pub(crate) struct Breach {
    pub(crate) rule: Rule,
    what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// Two backend servers may be at work on a request for so long, while one is told to stop.
const MOST_TOGETHER: Duration = Duration::from_millis(400);

/// An event that comes this long before the end of the time is in time.
const IN_TIME: Duration = Duration::from_millis(700);

/// An end this long before the end of the time is early.
const EARLY: Duration = Duration::from_millis(250);

/// A request may last so much longer than its time.
const LATE: Duration = Duration::from_millis(500);

/// A gateway knows a new configuration after this.
const APPLIED: Duration = Duration::from_secs(2);

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;

/// What one request may be searched a place for in ten seconds, longer than any lasts.
const MOST_SEARCHES: usize = 20;

/// What one request without a silent run may be asked for at other gateways.
const USUAL_ASKS: usize = 4;

impl RunEnd {
    fn is_arrival(self) -> bool {
        self != Self::Unreachable
    }

    fn is_run(self) -> bool {
        self.is_arrival() && self != Self::TurnedAway
    }
}

impl PlayRecord {
    pub(super) fn report(&self) -> PlayReport {
        let requests = self.outcomes.len();
        PlayReport {
            breaches: self.check(),
            requests,
            whole: (0..requests).filter(|number| self.is_whole(*number)).count(),
            arrivals: self.runs.iter().filter(|run| run.end.is_arrival()).count(),
            silent: self.runs.iter().filter(|run| run.is_silent).count(),
        }
    }

    /// The rules that it breaks.
    fn check(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for number in 0..self.outcomes.len() {
            let mut note = |rule, found: Option<String>| {
                let what = found.map(|found| format!("call-{number}: {found}"));
                breaches.extend(what.map(|what| Breach { rule, what }));
            };
            let runs: Vec<&RunRecord> = self.runs.iter().filter(|r| r.request == number).collect();
            if let Some((rule, found)) = self.cut_at_work(number, &runs) {
                note(rule, Some(found));
            }
            note(Rule::TwoAtWork, self.two_at_work(number, &runs));
            note(Rule::Order, self.out_of_order(number));
            note(Rule::Attempts, self.too_many_runs(&runs));
            note(Rule::Searches, self.too_many_searches(number));
            note(Rule::Late, self.too_late(number));
            note(Rule::Gone, self.still_running(number, &runs));
        }
        let mut note = |rule, found: Option<String>| {
            breaches.extend(found.map(|what| Breach { rule, what }));
        };
        note(Rule::Budget, self.over_budget());
        note(Rule::Searches, self.too_many_asks());
        breaches
    }

    /// The least and the most time that the route gives a request that began then.
    fn timeouts(&self, begin: MonotonicTime) -> (Duration, Duration) {
        let first = self.play.timeout;
        match self.play.later {
            Some((at, later)) if begin >= at + APPLIED => (later, later),
            Some((at, later)) if begin >= at => (first.min(later), first.max(later)),
            _ => (first, first),
        }
    }

    /// When the time of a request is over: at the earliest, and at the latest.
    fn ends(&self, number: usize) -> (MonotonicTime, MonotonicTime) {
        let caller = &self.play.callers[number];
        let (least, most) = self.timeouts(caller.begin);
        (
            caller.begin + least.min(caller.caller_timeout),
            caller.begin + most.min(caller.caller_timeout),
        )
    }

    fn is_whole(&self, number: usize) -> bool {
        let outcome = &self.outcomes[number];
        outcome.status == 200 && !outcome.is_broken
    }

    fn cut_at_work(&self, number: usize, runs: &[&RunRecord]) -> Option<(Rule, String)> {
        let outcome = &self.outcomes[number];
        let (ends, _) = self.ends(number);
        if self.is_whole(number) || outcome.has_left || outcome.done + EARLY >= ends {
            return None;
        }
        let last = runs.iter().filter(|run| run.end.is_run()).max_by_key(|run| run.begin)?;
        let RunEnd::Cancelled(Some(due)) = last.end else { return None };
        let pair = (last.gateway, self.play.callers[number].gateway);
        if due + IN_TIME >= ends || self.play.links.lost_before(last.finish?, pair) {
            return None;
        }
        let is_refusal = |run: &&&RunRecord| run.begin >= last.begin && !run.end.is_run();
        let lost = self.play.links.lost_between(last.finish?..outcome.done, pair.1);
        let rule = match runs.iter().find(is_refusal) {
            Some(_) => Rule::CutForRefusal,
            None if lost => Rule::CutForLoss,
            None => Rule::CutAtWork,
        };
        let told = told(outcome);
        let line = self.last_line(number);
        Some((rule, format!("{told} before {ends:?}, next event at {due:?}; {runs:?}; {line}")))
    }

    /// What the gateway last told of a request.
    fn last_line(&self, number: usize) -> &str {
        let id = format!("request=call-{number} ");
        let of_request = |line: &&String| line.contains(&id) && line.contains(" bound=");
        self.lines.iter().rev().find(of_request).map_or("", String::as_str)
    }

    fn two_at_work(&self, number: usize, runs: &[&RunRecord]) -> Option<String> {
        let runs: Vec<_> = runs.iter().filter(|run| run.end.is_run()).collect();
        let caller = self.play.callers[number].gateway;
        for (place, first) in runs.iter().enumerate() {
            for second in &runs[place + 1..] {
                let end = first.finish.into_iter().chain(second.finish).min();
                let together = end.map_or(Duration::MAX, |end| end.since(second.begin));
                let pair = (first.gateway, caller);
                let is_cut = self.play.links.lost_before(second.begin, pair)
                    || first.finish.is_some_and(|at| self.play.links.lost_before(at, pair));
                if together > MOST_TOGETHER && !is_cut {
                    return Some(format!("{together:?} of {first:?} and {second:?}"));
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
        let Some(last) = self.play.floor.requests[number].events else {
            let is_right = outcome.body == plain_answer(number) || outcome.has_left;
            return (!is_right).then(|| format!("{body:?}"));
        };
        let count = body.matches("\n\n").count() as u64;
        let expected: String =
            (1..=count).map(|event| format!("id: {event}\ndata: {number}-{event}\n\n")).collect();
        let is_whole = outcome.is_broken || outcome.has_left || count == last;
        (body != expected || !is_whole).then(|| format!("{count} of {last}: {body:?}"))
    }

    fn too_many_runs(&self, runs: &[&RunRecord]) -> Option<String> {
        let mut engines: BTreeMap<(usize, usize), Vec<RunEnd>> = BTreeMap::new();
        let counts = |run: &&&RunRecord| run.end.is_run() && run.end != RunEnd::Died;
        for run in runs.iter().filter(counts) {
            engines.entry((run.region, run.engine)).or_default().push(run.end);
        }
        let is_return = |ends: &&Vec<RunEnd>| matches!(ends[..], [RunEnd::Cancelled(_), _, ..]);
        let returns = engines.values().filter(is_return).count();
        let count = engines.values().map(Vec::len).sum::<usize>() - returns;
        let most = self.play.max_attempts as usize;
        (count > most).then(|| {
            format!("{count} runs and {returns} returns where {most} are allowed: {runs:?}")
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
        let most = kinds.values().copied().max().unwrap_or_default();
        (most > MOST_SEARCHES).then(|| format!("{kinds:?}"))
    }

    fn too_many_asks(&self) -> Option<String> {
        let mut silent: Vec<_> = self.runs.iter().filter(|run| run.is_silent).collect();
        silent.sort_by_key(|run| run.request);
        silent.dedup_by_key(|run| run.request);
        let most = USUAL_ASKS * self.outcomes.len() + MOST_SEARCHES * silent.len();
        // The network draws the fate of a stream's request twice.
        let asked = self.play.links.asked.get().div_ceil(2);
        let found = || format!("{asked} asks of {} requests", self.outcomes.len());
        (asked > most).then(found)
    }

    fn too_late(&self, number: usize) -> Option<String> {
        let (_, ends) = self.ends(number);
        let outcome = &self.outcomes[number];
        (outcome.done > ends + LATE).then(|| format!("{} after {ends:?}", told(outcome)))
    }

    fn still_running(&self, number: usize, runs: &[&RunRecord]) -> Option<String> {
        let outcome = &self.outcomes[number];
        let is_left = |run: &&&RunRecord| {
            let pair = (run.gateway, self.play.callers[number].gateway);
            let end = run.finish.unwrap_or(MonotonicTime(Duration::MAX));
            end > outcome.done + LATE && !self.play.links.lost_before(outcome.done, pair)
        };
        let run = runs.iter().find(is_left)?;
        Some(format!("{} and {run:?}", told(outcome)))
    }

    fn over_budget(&self) -> Option<String> {
        let mut arrivals: Vec<_> = self.runs.iter().filter(|run| run.end.is_arrival()).collect();
        arrivals.sort_by_key(|run| run.begin);
        let mut has_come = vec![false; self.outcomes.len()];
        arrivals.retain(|run| std::mem::replace(&mut has_come[run.request], true));
        let repeats: Vec<_> = arrivals.iter().map(|run| run.begin).collect();
        let sent: Vec<_> = self.play.callers.iter().map(|caller| caller.begin).collect();
        for end in &repeats {
            let count = within(&repeats, *end, Duration::ZERO);
            let sent = [Duration::ZERO, WINDOW / 2, WINDOW].map(|ago| within(&sent, *end, ago));
            let most = sent.into_iter().max().unwrap_or_default();
            let allowed = RATIO * most as f64 + self.play.repeat_slack;
            if count as f64 > allowed {
                return Some(format!("{count} repeats at {end:?}, {allowed} allowed"));
            }
        }
        None
    }
}

fn told(outcome: &PlayOutcome) -> String {
    let how = if outcome.is_broken { "broken off" } else { "ended" };
    format!("status {} {how} at {:?}", outcome.status, outcome.done)
}

/// How many of `times` are in the window that ended `ago` before `end`.
fn within(times: &[MonotonicTime], end: MonotonicTime, ago: Duration) -> usize {
    let age = |at: &MonotonicTime| end.0.saturating_sub(ago).checked_sub(at.0);
    times.iter().filter(|at| age(at).is_some_and(|age| age < WINDOW)).count()
}
