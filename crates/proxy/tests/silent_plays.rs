//! Random plays with runs that go silent: nothing at work is given up for what is not secured.
//!
//! `GULLGLADE_SCHEDULES` sets how many are played, ten times as many as plays; `GULLGLADE_SEED`
//! plays one alone.

mod plays;
mod support;

use {
    plays::{Breach, PlayReport, Rule},
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        panic::{AssertUnwindSafe, catch_unwind},
        thread,
    },
};

const THREADS: u64 = 3;

/// Plays without `GULLGLADE_SCHEDULES`.
const DEFAULT_PLAYS: u64 = 100;

/// Breaches that are printed in full.
const MOST_PRINTED: usize = 12;

/// A play, the rules that it broke as text; a panic breaks the rule `None`.
struct PlayedSeed {
    seed: u64,
    found: Vec<(Option<Rule>, String)>,
    report: PlayReport,
}

impl PlayedSeed {
    fn new(seed: u64, gateways: usize) -> Self {
        match catch_unwind(AssertUnwindSafe(|| plays::play(seed, gateways))) {
            Ok(report) => {
                let text = |breach: &Breach| (Some(breach.rule), breach.to_string());
                Self { seed, found: report.breaches.iter().map(text).collect(), report }
            }
            Err(_) => {
                let found = vec![(None, "panicked".to_owned())];
                Self { seed, found, report: PlayReport::default() }
            }
        }
    }
}

fn setting(name: &str) -> Option<u64> {
    env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Plays the seeds in some threads.
fn play_all(seeds: &[u64], gateways: usize) -> Vec<PlayedSeed> {
    let thread_of = |thread: u64| {
        let seeds: Vec<u64> = seeds.iter().copied().filter(|s| s % THREADS == thread).collect();
        thread::spawn(move || {
            seeds.into_iter().map(|seed| PlayedSeed::new(seed, gateways)).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(thread_of).collect();
    threads.into_iter().flat_map(|thread| thread.join().expect("plays")).collect()
}

/// Prints what all plays came to.
fn print_sums(played: &[PlayedSeed], gateways: usize) {
    let sum = |part: fn(&PlayReport) -> usize| -> usize {
        played.iter().map(|played| part(&played.report)).sum()
    };
    println!(
        "{} plays of {gateways} gateways: {} of {} requests answered whole, {} arrivals, {} silent",
        played.len(),
        sum(|report| report.whole),
        sum(|report| report.requests),
        sum(|report| report.arrivals),
        sum(|report| report.silent),
    );
}

/// Prints the seeds that broke each rule.
fn print_rules(played: &[PlayedSeed]) {
    let mut seeds: BTreeMap<Option<Rule>, BTreeSet<u64>> = BTreeMap::new();
    for PlayedSeed { seed, found, .. } in played {
        for (rule, _) in found {
            seeds.entry(*rule).or_default().insert(*seed);
        }
    }
    for (rule, seeds) in &seeds {
        println!("{rule:?}: {} of {} plays, seeds {seeds:?}", seeds.len(), played.len());
    }
}

/// Plays `count` seeds.
fn check(count: u64, gateways: usize) {
    let seeds: Vec<u64> = match setting("GULLGLADE_SEED") {
        Some(seed) => vec![seed],
        None => (0..count).collect(),
    };
    let played = play_all(&seeds, gateways);
    print_sums(&played, gateways);
    print_rules(&played);
    let found = |played: PlayedSeed| played.found.into_iter().map(move |f| (played.seed, f));
    let mut found: Vec<_> = played.into_iter().flat_map(found).collect();
    found.sort();
    for (seed, (_, what)) in found.iter().take(MOST_PRINTED) {
        println!("GULLGLADE_SEED={seed}, {gateways} gateways: {what}");
    }
    assert!(found.is_empty(), "{} breaches with {gateways} gateways", found.len());
}

#[test]
fn no_play_of_two_gateways_ends_a_run_at_work() {
    // Streams were broken off while their backend servers were at work on them.
    check(setting("GULLGLADE_SCHEDULES").map_or(DEFAULT_PLAYS, |count| count / 10), 2);
}

#[test]
fn no_play_of_three_gateways_ends_a_run_at_work() {
    // Gateways that share backend servers took each other's places while a run was silent.
    check(setting("GULLGLADE_SCHEDULES").map_or(DEFAULT_PLAYS / 4, |count| (count / 40).max(1)), 3);
}

#[test]
fn no_play_of_sixty_gateways_ends_a_run_at_work() {
    // Searches for a place grew with the number of gateways.
    check(setting("GULLGLADE_SCHEDULES").map_or(2, |count| (count / 2_000).max(1)), 60);
}
