//! What came of the demo, as a short table.

use {
    gullglade_stub::{LatencySummary, LoadTally},
    std::{collections::BTreeMap, fmt},
};

/// The figures of the callers of one region.
pub struct RegionFigures {
    /// What the callers saw.
    pub tally: LoadTally,
    /// Requests that the region's gateways took from callers: these, orders and bound ones.
    pub gateway_requests: f64,
    /// Attempts that the region's gateways sent to other regions.
    pub sent_away: f64,
}

/// What came of the demo.
#[derive(Default)]
pub struct DemoVerdict {
    /// By region of the callers.
    pub regions: BTreeMap<String, RegionFigures>,
    /// Orders that two regions raced for.
    pub orders: u64,
    /// Of these, those that ran.
    pub orders_run: u64,
    /// Of these, those that ran more than once.
    pub doubled: u64,
    /// Of these, those that ran although each caller was told `not-run`.
    pub not_run_that_ran: u64,
    /// Requests that were served where their workspace does not allow it.
    pub out_of_residency: u64,
    /// Promises that the gateways themselves found broken.
    pub breaches: f64,
}

impl DemoVerdict {
    /// The promises that broke; empty where all held.
    pub fn broken_promises(&self) -> Vec<String> {
        let wrong: u64 = self.regions.values().map(|row| row.tally.wrong).sum();
        let checks = [
            ("answers that looked whole and were not", wrong),
            ("doubled orders", self.doubled),
            ("orders told not-run that ran", self.not_run_that_ran),
            ("requests served out of residency", self.out_of_residency),
            ("breaches found by gateways", self.breaches as u64),
        ];
        let broken = checks.into_iter().filter(|(_, count)| *count > 0);
        broken.map(|(what, count)| format!("{count} {what}")).collect()
    }
}

impl fmt::Display for DemoVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>9}  {:>22}",
            "region",
            "requests",
            "whole",
            "not-run",
            "unknown",
            "broken",
            "wrong",
            "sent away",
            "first token p50/95/99"
        )?;
        for (region, row) in &self.regions {
            write_row(f, region, row)?;
        }
        writeln!(
            f,
            "orders raced by two regions: {}, run {}, doubled {}, told not-run but run {}",
            self.orders, self.orders_run, self.doubled, self.not_run_that_ran
        )?;
        write!(f, "out of residency: {}", self.out_of_residency)
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, region: &str, row: &RegionFigures) -> fmt::Result {
    let tally = &row.tally;
    let first = LatencySummary::new(&tally.first_token);
    let away = 100.0 * row.sent_away / row.gateway_requests.max(1.0);
    writeln!(
        f,
        "{region:<10} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>8.1}%  {:>6.0}/{:>5.0}/{:>5.0} ms",
        tally.requests,
        tally.whole,
        tally.not_run,
        tally.unknown,
        tally.broken,
        tally.wrong,
        away,
        first.p50,
        first.p95,
        first.p99
    )
}
