//! Counting what came of many calls.

use {
    crate::load::call::{CallKind, CallOutcome},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Digits to which latencies are kept apart.
const LATENCY_DIGITS: u8 = 3;

/// The longest latency told apart, microseconds: ten minutes; longer ones count as this.
const LONGEST_MICROS: u64 = 600_000_000;

/// What came of many calls. Times are in microseconds.
#[derive(Clone)]
pub struct LoadTally {
    /// Calls that ended.
    pub requests: u64,
    /// Calls answered whole.
    pub whole: u64,
    /// Calls refused and stated as not run.
    pub not_run: u64,
    /// Calls that failed and may have run.
    pub unknown: u64,
    /// Answers that broke off visibly.
    pub broken: u64,
    /// Answers that looked whole and were not.
    pub wrong: u64,
    /// Times that a refused call was sent again.
    pub retries: u64,
    /// Arrivals that were not sent because too many calls were in progress.
    pub skipped: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From the first arrival to the last end.
    pub elapsed: Duration,
    /// Replies by status.
    pub by_status: BTreeMap<u16, u64>,
    /// From arrival to the first token, of streamed answers.
    pub first_token: Histogram<u64>,
    /// Between two tokens of a streamed answer.
    pub pauses: Histogram<u64>,
    /// From arrival to the end, of whole answers.
    pub total: Histogram<u64>,
}

impl Default for LoadTally {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, LONGEST_MICROS, LATENCY_DIGITS)
                .expect("the bounds are in order and 3 digits are within 0 to 5")
        };
        Self {
            requests: 0,
            whole: 0,
            not_run: 0,
            unknown: 0,
            broken: 0,
            wrong: 0,
            retries: 0,
            skipped: 0,
            tokens: 0,
            elapsed: Duration::ZERO,
            by_status: BTreeMap::new(),
            first_token: empty(),
            pauses: empty(),
            total: empty(),
        }
    }
}

impl LoadTally {
    /// Counts one call: what came of it, and how long after its arrival the first token and the
    /// end came.
    pub(crate) fn count(
        &mut self,
        outcome: &CallOutcome,
        first_token: Option<Duration>,
        total: Duration,
    ) {
        self.requests += 1;
        self.tokens += outcome.tokens;
        *self.kind_count(outcome.kind) += 1;
        if let Some(status) = outcome.status {
            *self.by_status.entry(status.as_u16()).or_default() += 1;
        }
        outcome.pauses.iter().for_each(|pause| self.pauses.saturating_record(micros(*pause)));
        if let Some(first) = first_token {
            self.first_token.saturating_record(micros(first));
        }
        if outcome.kind == CallKind::Whole {
            self.total.saturating_record(micros(total));
        }
    }

    /// Adds the counts of another thread of the same run.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.broken += other.broken;
        self.wrong += other.wrong;
        self.retries += other.retries;
        self.skipped += other.skipped;
        self.tokens += other.tokens;
        self.elapsed = self.elapsed.max(other.elapsed);
        for (status, count) in &other.by_status {
            *self.by_status.entry(*status).or_default() += count;
        }
        add(&mut self.first_token, &other.first_token);
        add(&mut self.pauses, &other.pauses);
        add(&mut self.total, &other.total);
    }

    fn kind_count(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Whole => &mut self.whole,
            CallKind::NotRun => &mut self.not_run,
            CallKind::Unknown => &mut self.unknown,
            CallKind::Broken => &mut self.broken,
            CallKind::Wrong => &mut self.wrong,
        }
    }
}

fn add(sum: &mut Histogram<u64>, other: &Histogram<u64>) {
    sum.add(other).expect("both have the same bounds");
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
