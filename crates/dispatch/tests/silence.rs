//! What is done about a run from which nothing comes.

use {
    gullglade_dispatch::{SilenceAction, SilentRun},
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A run whose patience is over, at a backend server that is silent to all.
const DUE: SilentRun = SilentRun {
    silence: ms(1_200),
    timeout: ms(1_200),
    busy_timeout: None,
    is_at_work: false,
    may_be_replaced: true,
    left: ms(20_000),
    searches: 0,
    searched_ago: Duration::ZERO,
};

/// The same, at a backend server that answers others, for a while longer.
const AT_WORK: SilentRun = SilentRun { is_at_work: true, busy_timeout: Some(ms(2_400)), ..DUE };

#[test]
fn a_run_at_work_or_without_a_successor_is_waited_for() {
    // Streams were ended after a pause while their backend servers were at work on them.
    struct Case {
        what: &'static str,
        run: SilentRun,
        step: SilenceAction,
    }
    let wait = |millis| SilenceAction::Wait(ms(millis));
    let case = |what, run, step| Case { what, run, step };
    let cases = [
        case("nothing came for the usual time", DUE, SilenceAction::Search),
        case("far longer", SilentRun { silence: ms(9_000), ..DUE }, SilenceAction::Search),
        case("not yet", SilentRun { silence: ms(1_199), ..DUE }, wait(1)),
        case("something just came", SilentRun { silence: ms(0), ..DUE }, wait(1_200)),
        case("no patience", SilentRun { silence: ms(0), timeout: ms(0), ..DUE }, {
            SilenceAction::Search
        }),
        case("its server answers others", SilentRun { is_at_work: true, ..DUE }, wait(100)),
        case(
            "the same, for long",
            SilentRun { is_at_work: true, silence: ms(19_000), left: ms(1_000), ..DUE },
            wait(100),
        ),
        case(
            "the same, to the end of its time",
            SilentRun { is_at_work: true, left: ms(30), ..DUE },
            wait(30),
        ),
        case(
            "not yet, and its server answers others",
            SilentRun { is_at_work: true, silence: ms(200), ..DUE },
            wait(1_000),
        ),
        case(
            "its server answers others, and it was waited for nearly as long as such ones are",
            SilentRun { silence: ms(2_399), ..AT_WORK },
            wait(100),
        ),
        case(
            "its server answers others, and it hangs",
            SilentRun { silence: ms(2_400), ..AT_WORK },
            SilenceAction::Search,
        ),
        case(
            "nothing may follow it",
            SilentRun { may_be_replaced: false, silence: ms(9_000), ..DUE },
            wait(20_000),
        ),
        case(
            "nothing may follow it, and its server answers others",
            SilentRun { may_be_replaced: false, is_at_work: true, ..DUE },
            wait(20_000),
        ),
        case(
            "its time ends before its patience",
            SilentRun { silence: ms(0), left: ms(700), ..DUE },
            wait(700),
        ),
        case("a search has just failed", SilentRun { searches: 1, ..DUE }, wait(250)),
        case(
            "a search failed a while ago",
            SilentRun { searches: 1, searched_ago: ms(200), ..DUE },
            wait(50),
        ),
        case(
            "a search failed long ago",
            SilentRun { searches: 1, searched_ago: ms(250), ..DUE },
            SilenceAction::Search,
        ),
        case("two have failed", SilentRun { searches: 2, ..DUE }, wait(500)),
        case("three have failed", SilentRun { searches: 3, ..DUE }, wait(1_000)),
        case("many have failed", SilentRun { searches: 40, ..DUE }, wait(2_000)),
        case("all have failed", SilentRun { searches: u32::MAX, ..DUE }, wait(2_000)),
        case(
            "its server came back after a search failed",
            SilentRun { searches: 1, searched_ago: ms(250), is_at_work: true, ..DUE },
            wait(100),
        ),
        case(
            "a search has just failed, near the end of its time",
            SilentRun { searches: 4, left: ms(90), ..DUE },
            wait(90),
        ),
    ];
    for Case { what, run, step } in cases {
        assert_eq!(run.next_action(), step, "{what}: {run:?}");
    }
}

/// Every combination of some values of all facts.
fn all_runs() -> impl Iterator<Item = SilentRun> {
    let times = [0, 1, 99, 100, 250, 1_199, 1_200, 1_201, 5_000].map(ms);
    let flags = [false, true];
    let counts = [0, 1, 2, 3, 8, 9, 32, 33, u32::MAX];
    times.into_iter().flat_map(move |silence| {
        times.into_iter().flat_map(move |left| {
            times.into_iter().flat_map(move |searched_ago| {
                counts.into_iter().flat_map(move |searches| {
                    flags.into_iter().flat_map(move |is_at_work| {
                        flags.into_iter().map(move |may_be_replaced| SilentRun {
                            silence,
                            timeout: ms(1_200),
                            busy_timeout: None,
                            is_at_work,
                            may_be_replaced,
                            left,
                            searches,
                            searched_ago,
                        })
                    })
                })
            })
        })
    })
}

#[test]
fn every_wait_is_within_the_time_that_is_left_and_not_empty() {
    // A gateway that waits for no time at all looks at a silent run again and again.
    for run in all_runs() {
        match run.next_action() {
            SilenceAction::Wait(wait) => {
                assert!(wait <= run.left, "{run:?}: {wait:?}");
                assert!(!wait.is_zero() || run.left.is_zero(), "{run:?}: {wait:?}");
            }
            SilenceAction::Search => {
                assert!(run.may_be_replaced && !run.is_at_work, "{run:?}");
                assert!(run.silence >= run.timeout, "{run:?}");
            }
        }
    }
}

/// What a run did that was silent for `lasts`, whose searches all fail after `search`.
struct SilencePlay {
    searches: u32,
    steps: u32,
}

fn play(lasts: Duration, search: Duration, at_work: impl Fn(Duration) -> bool) -> SilencePlay {
    let mut played = SilencePlay { searches: 0, steps: 0 };
    let (mut now, mut searched) = (Duration::ZERO, Duration::ZERO);
    while now < lasts {
        let run = SilentRun {
            silence: now,
            is_at_work: at_work(now),
            left: lasts - now,
            searches: played.searches,
            searched_ago: now - searched,
            ..DUE
        };
        played.steps += 1;
        match run.next_action() {
            SilenceAction::Wait(wait) => now += wait,
            SilenceAction::Search => {
                now += search;
                searched = now;
                played.searches += 1;
            }
        }
    }
    played
}

#[test]
fn a_silent_run_causes_few_searches() {
    // Searches that fail would be repeated each millisecond.
    const LASTS: Duration = Duration::from_secs(10);
    const MOST_SEARCHES: u32 = 20;
    for search in [0, 1, 110, 600, 3_000].map(ms) {
        let silent = play(LASTS, search, |_| false);
        assert!((1..=MOST_SEARCHES).contains(&silent.searches), "{search:?}: {}", silent.searches);
        let flickers = play(LASTS, search, |now| now.as_millis() % 300 < 150);
        assert!(flickers.searches <= MOST_SEARCHES, "{search:?}: {}", flickers.searches);
        assert!(flickers.steps <= 10 * MOST_SEARCHES, "{search:?}: {} steps", flickers.steps);
    }
    let at_work = play(LASTS, Duration::ZERO, |_| true);
    assert_eq!(at_work.searches, 0);
    assert!(at_work.steps <= 100, "{} looks in {LASTS:?}", at_work.steps);
}
