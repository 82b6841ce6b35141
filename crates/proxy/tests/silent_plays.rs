//! Random plays with runs that go silent: nothing at work is given up for what is not secured.
//!
//! `GULLGLADE_SCHEDULES` sets how many are played, ten times as many as plays; `GULLGLADE_SEED`
//! plays one alone.

mod plays;
mod support;

use {
    plays::Rule,
    std::{
        collections::BTreeMap,
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

/// The rules that one play broke, as text; a panic breaks the rule `None`.
fn breaches(seed: u64, gateways: usize) -> Vec<(Option<Rule>, String)> {
    match catch_unwind(AssertUnwindSafe(|| plays::play(seed, gateways))) {
        Ok(found) => found.into_iter().map(|b| (Some(b.rule), b.to_string())).collect(),
        Err(_) => vec![(None, "panicked".to_owned())],
    }
}

fn setting(name: &str) -> Option<u64> {
    env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Plays `count` seeds.
fn check(count: u64, gateways: usize) {
    let seeds: Vec<u64> = match setting("GULLGLADE_SEED") {
        Some(seed) => vec![seed],
        None => (0..count).collect(),
    };
    let thread_of = |thread: u64| {
        let seeds: Vec<u64> = seeds.iter().copied().filter(|s| s % THREADS == thread).collect();
        thread::spawn(move || {
            let found = |seed| breaches(seed, gateways).into_iter().map(move |b| (seed, b));
            seeds.into_iter().flat_map(found).collect::<Vec<_>>()
        })
    };
    let threads: Vec<_> = (0..THREADS).map(thread_of).collect();
    let mut found: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("plays")).collect();
    found.sort();
    let mut plays: BTreeMap<Option<Rule>, Vec<u64>> = BTreeMap::new();
    for (seed, (rule, _)) in &found {
        plays.entry(*rule).or_default().push(*seed);
    }
    for seeds in plays.values_mut() {
        seeds.dedup();
    }
    for (rule, seeds) in &plays {
        println!("{rule:?}: {} of {count} plays, seeds {seeds:?}", seeds.len());
    }
    for (seed, (_, what)) in
        found.iter().take(setting("GULLGLADE_PRINT").map_or(MOST_PRINTED, |n| n as usize))
    {
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
    check(setting("GULLGLADE_SCHEDULES").map_or(DEFAULT_PLAYS / 4, |count| count / 40), 3);
}

#[test]
fn no_play_of_sixty_gateways_ends_a_run_at_work() {
    // Searches for a place grew with the number of gateways.
    check(setting("GULLGLADE_SCHEDULES").map_or(2, |count| count / 2_000), 60);
}
