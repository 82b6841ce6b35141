//! A run's figures, for people and as JSON.

use {
    crate::load::tally::LoadTally,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// Quantiles of a latency, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Half are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl LatencySummary {
    /// The quantiles of a histogram of microseconds.
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { p50, p95, p99, max } = self;
        write!(f, "p50 {p50:.3}  p95 {p95:.3}  p99 {p99:.3}  max {max:.3} ms")
    }
}

/// A run's figures.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSummary {
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
    /// Replies by status.
    pub by_status: BTreeMap<u16, u64>,
    /// Length of the run, seconds.
    pub seconds: f64,
    /// Whole answers a second.
    pub requests_per_second: f64,
    /// Tokens received a second.
    pub tokens_per_second: f64,
    /// From arrival to the first token, milliseconds.
    pub first_token_ms: LatencySummary,
    /// Between two tokens, milliseconds.
    pub inter_token_ms: LatencySummary,
    /// From arrival to the end of whole answers, milliseconds.
    pub total_ms: LatencySummary,
}

impl From<&LoadTally> for LoadSummary {
    fn from(tally: &LoadTally) -> Self {
        let seconds = tally.elapsed.as_secs_f64();
        let rate = |count: u64| if seconds > 0.0 { count as f64 / seconds } else { 0.0 };
        Self {
            requests: tally.requests,
            whole: tally.whole,
            not_run: tally.not_run,
            unknown: tally.unknown,
            broken: tally.broken,
            wrong: tally.wrong,
            retries: tally.retries,
            skipped: tally.skipped,
            by_status: tally.by_status.clone(),
            seconds,
            requests_per_second: rate(tally.whole),
            tokens_per_second: rate(tally.tokens),
            first_token_ms: LatencySummary::new(&tally.first_token),
            inter_token_ms: LatencySummary::new(&tally.pauses),
            total_ms: LatencySummary::new(&tally.total),
        }
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests     {} in {:.2} s", self.requests, self.seconds)?;
        writeln!(f, "whole        {} ({:.1}/s)", self.whole, self.requests_per_second)?;
        writeln!(f, "not run      {} ({} retries)", self.not_run, self.retries)?;
        writeln!(f, "unknown      {}", self.unknown)?;
        writeln!(f, "broken       {}", self.broken)?;
        writeln!(f, "wrong        {}", self.wrong)?;
        writeln!(f, "skipped      {}", self.skipped)?;
        writeln!(f, "tokens/s     {:.0}", self.tokens_per_second)?;
        writeln!(f, "first token  {}", self.first_token_ms)?;
        writeln!(f, "inter-token  {}", self.inter_token_ms)?;
        write!(f, "whole answer {}", self.total_ms)
    }
}
