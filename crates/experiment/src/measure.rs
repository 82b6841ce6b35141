//! What is counted.

use {hdrhistogram::Histogram, serde::Serialize};

/// A refused request that could have been served counts as a first token after this time.
const REFUSED_SECONDS: f64 = 60.0;

/// The longest time that is told from longer ones, microseconds.
const HIGHEST_MICROS: u64 = 3_600_000_000;

/// Running counts of one replay.
pub(crate) struct MeasureBook {
    first_tokens: Histogram<u64>,
    arrived: u64,
    answered: u64,
    away: u64,
    refused: u64,
    unservable: u64,
    retries: u64,
}

impl MeasureBook {
    pub(crate) fn new() -> Self {
        Self {
            first_tokens: Histogram::new_with_bounds(1, HIGHEST_MICROS, 3)
                .expect("the bounds are valid"),
            arrived: 0,
            answered: 0,
            away: 0,
            refused: 0,
            unservable: 0,
            retries: 0,
        }
    }

    pub(crate) fn answered(&mut self, seconds: f64, away: bool) {
        self.arrived += 1;
        self.answered += 1;
        self.away += u64::from(away);
        self.first_tokens.saturating_record(micros(seconds));
    }

    pub(crate) fn refused(&mut self) {
        self.arrived += 1;
        self.refused += 1;
        self.first_tokens.saturating_record(micros(REFUSED_SECONDS));
    }

    /// A request that no policy could have served: its places were not to be reached.
    pub(crate) fn unservable(&mut self) {
        self.arrived += 1;
        self.unservable += 1;
    }

    pub(crate) fn retried(&mut self) {
        self.retries += 1;
    }

    pub(crate) fn row(&self, policy: &'static str, costs: EngineCosts) -> MeasureRow {
        let at = |quantile| self.first_tokens.value_at_quantile(quantile) as f64 / 1e6;
        let part = |count: u64| count as f64 / self.arrived.max(1) as f64;
        let answers = self.answered.max(1) as f64;
        MeasureRow {
            policy,
            arrived: self.arrived,
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            share_away: self.away as f64 / answers,
            share_refused: part(self.refused),
            share_unservable: part(self.unservable),
            retries: self.retries,
            engine_seconds: costs.present / answers,
            busy_seconds: costs.busy / answers,
        }
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Engine time of one replay, seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineCosts {
    /// Engines that were there, idle or not.
    pub(crate) present: f64,
    /// Engines that worked.
    pub(crate) busy: f64,
}

/// The outcome of one policy in one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct MeasureRow {
    /// The policy.
    pub policy: &'static str,
    /// Requests measured.
    pub arrived: u64,
    /// Median time to first token, seconds; a refused request that could have been served counts as a
    /// minute.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Part of the answers that came from another region than the caller's.
    pub share_away: f64,
    /// Part of the requests refused though some allowed region was to be reached.
    pub share_refused: f64,
    /// Part of the requests whose allowed regions were all lost or cut off.
    pub share_unservable: f64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Engine-seconds an answer, idle engines counted.
    pub engine_seconds: f64,
    /// Engine-seconds an answer that engines worked: prompts read and slots held.
    pub busy_seconds: f64,
}
