//! Random simulations with silent runs: a run that is at work is not abandoned for one that is not
//! secured.
//!
//! `GULLGLADE_SCHEDULES` sets the number of schedules, ten times the number of simulations;
//! `GULLGLADE_SEED` runs the simulation of a single seed.

mod simulation;
mod support;

use {
    simulation::{Invariant, SimulationReport, Violation},
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        panic::{AssertUnwindSafe, catch_unwind},
        thread,
    },
};

const THREADS: u64 = 3;

/// Number of simulations if `GULLGLADE_SCHEDULES` is not set.
const DEFAULT_SIMULATIONS: u64 = 100;

/// Most violations that are printed in full.
const MAX_PRINTED: usize = 12;

/// Result of one seed, with the violated invariants as text; `None` stands for a panic.
struct SeedResult {
    seed: u64,
    found: Vec<(Option<Invariant>, String)>,
    report: SimulationReport,
}

impl SeedResult {
    fn new(seed: u64, gateways: usize) -> Self {
        match catch_unwind(AssertUnwindSafe(|| simulation::run_seed(seed, gateways))) {
            Ok(report) => {
                let text =
                    |violation: &Violation| (Some(violation.invariant), violation.to_string());
                Self { seed, found: report.violations.iter().map(text).collect(), report }
            }
            Err(_) => {
                let found = vec![(None, "panicked".to_owned())];
                Self { seed, found, report: SimulationReport::default() }
            }
        }
    }
}

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Runs the seeds on several threads.
fn run_seeds(seeds: &[u64], gateways: usize) -> Vec<SeedResult> {
    let thread_of = |thread: u64| {
        let seeds: Vec<u64> = seeds.iter().copied().filter(|s| s % THREADS == thread).collect();
        thread::spawn(move || {
            seeds.into_iter().map(|seed| SeedResult::new(seed, gateways)).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(thread_of).collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("plays")).collect()
}

/// Prints the totals of all simulations.
fn print_totals(results: &[SeedResult], gateways: usize) {
    let sum = |part: fn(&SimulationReport) -> usize| -> usize {
        results.iter().map(|result| part(&result.report)).sum()
    };
    println!(
        "{} plays of {gateways} gateways: {} of {} requests answered whole, {} arrivals, {} silent",
        results.len(),
        sum(|report| report.complete),
        sum(|report| report.requests),
        sum(|report| report.arrivals),
        sum(|report| report.silent),
    );
}

/// Prints the seeds that violated each invariant.
fn print_violations(results: &[SeedResult]) {
    let mut seeds: BTreeMap<Option<Invariant>, BTreeSet<u64>> = BTreeMap::new();
    for SeedResult { seed, found, .. } in results {
        for (invariant, _) in found {
            seeds.entry(*invariant).or_default().insert(*seed);
        }
    }
    for (invariant, seeds) in &seeds {
        println!("{invariant:?}: {} of {} plays, seeds {seeds:?}", seeds.len(), results.len());
    }
}

/// Runs the simulations of `count` seeds.
fn check(count: u64, gateways: usize) {
    let seeds: Vec<u64> = match env_number("GULLGLADE_SEED") {
        Some(seed) => vec![seed],
        None => (0..count).collect(),
    };
    let results = run_seeds(&seeds, gateways);
    print_totals(&results, gateways);
    print_violations(&results);
    let found = |result: SeedResult| result.found.into_iter().map(move |f| (result.seed, f));
    let mut found: Vec<_> = results.into_iter().flat_map(found).collect();
    found.sort();
    for (seed, (_, what)) in found.iter().take(MAX_PRINTED) {
        println!("GULLGLADE_SEED={seed}, {gateways} gateways: {what}");
    }
    assert!(found.is_empty(), "{} breaches with {gateways} gateways", found.len());
}

#[test]
fn two_gateways_never_end_a_run_at_work() {
    // Guards against breaking off streams while their backend servers are at work on them.
    check(env_number("GULLGLADE_SCHEDULES").map_or(DEFAULT_SIMULATIONS, |count| count / 10), 2);
}

#[test]
fn three_gateways_never_end_a_run_at_work() {
    // Gateways that share backend servers may take each other's places while a run is silent.
    check(
        env_number("GULLGLADE_SCHEDULES")
            .map_or(DEFAULT_SIMULATIONS / 4, |count| (count / 40).max(1)),
        3,
    );
}

#[test]
fn sixty_gateways_never_end_a_run_at_work() {
    // Guards against a number of searches that grows with the number of gateways.
    check(env_number("GULLGLADE_SCHEDULES").map_or(2, |count| (count / 2_000).max(1)), 60);
}
