//! Actions on a run that produces no output.

use {
    gullglade_dispatch::{SilenceAction, SilentRun},
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A run whose timeout has passed, at a backend server that is silent to all gateways.
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

/// The same at a backend server that answers other requests, with a longer timeout.
const AT_WORK: SilentRun = SilentRun { is_at_work: true, busy_timeout: Some(ms(2_400)), ..DUE };

#[test]
fn working_or_irreplaceable_run_is_waited_for() {
    // Guards against ending a stream after a pause while its backend server is working on it.
    struct Case {
        name: &'static str,
        run: SilentRun,
        action: SilenceAction,
    }
    let wait = |millis| SilenceAction::Wait(ms(millis));
    let case = |name, run, action| Case { name, run, action };
    let cases = [
        case("nothing came for the usual time", DUE, SilenceAction::Search),
        case("far longer", SilentRun { silence: ms(9_000), ..DUE }, SilenceAction::Search),
        case("not yet", SilentRun { silence: ms(1_199), ..DUE }, wait(1)),
        case("something just came", SilentRun { silence: ms(0), ..DUE }, wait(1_200)),
        case("zero timeout", SilentRun { silence: ms(0), timeout: ms(0), ..DUE }, {
            SilenceAction::Search
        }),
        case("its server answers others", SilentRun { is_at_work: true, ..DUE }, wait(100)),
        case(
            "the same, for long",
            SilentRun { is_at_work: true, silence: ms(19_000), left: ms(1_000), ..DUE },
            wait(100),
        ),
        case(
            "the same, shortly before the request expires",
            SilentRun { is_at_work: true, left: ms(30), ..DUE },
            wait(30),
        ),
        case(
            "not yet, and its server answers others",
            SilentRun { is_at_work: true, silence: ms(200), ..DUE },
            wait(1_000),
        ),
        case(
            "its server answers others, and the longer timeout has nearly passed",
            SilentRun { silence: ms(2_399), ..AT_WORK },
            wait(100),
        ),
        case(
            "its server answers others, and the longer timeout has passed",
            SilentRun { silence: ms(2_400), ..AT_WORK },
            SilenceAction::Search,
        ),
        case(
            "it may not be replaced",
            SilentRun { may_be_replaced: false, silence: ms(9_000), ..DUE },
            wait(20_000),
        ),
        case(
            "it may not be replaced, and its server answers others",
            SilentRun { may_be_replaced: false, is_at_work: true, ..DUE },
            wait(20_000),
        ),
        case(
            "the request expires before its timeout",
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
            "a search has just failed, shortly before the request expires",
            SilentRun { searches: 4, left: ms(90), ..DUE },
            wait(90),
        ),
    ];
    for Case { name, run, action } in cases {
        assert_eq!(run.next_action(), action, "{name}: {run:?}");
    }
}

/// Returns all combinations of some values of the fields.
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
fn waits_are_nonzero_and_within_the_remaining_time() {
    // Guards against busy loops: a gateway with a wait of zero checks a silent run again and again.
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

/// The actions on a run that is silent for `lasts`, whose searches all fail after `search`.
struct SilenceCounts {
    searches: u32,
    steps: u32,
}

fn simulate(
    lasts: Duration,
    search: Duration,
    at_work: impl Fn(Duration) -> bool,
) -> SilenceCounts {
    let mut counts = SilenceCounts { searches: 0, steps: 0 };
    let (mut now, mut searched) = (Duration::ZERO, Duration::ZERO);
    while now < lasts {
        let run = SilentRun {
            silence: now,
            is_at_work: at_work(now),
            left: lasts - now,
            searches: counts.searches,
            searched_ago: now - searched,
            ..DUE
        };
        counts.steps += 1;
        match run.next_action() {
            SilenceAction::Wait(wait) => now += wait,
            SilenceAction::Search => {
                now += search;
                searched = now;
                counts.searches += 1;
            }
        }
    }
    counts
}

#[test]
fn silent_run_causes_few_searches() {
    // Guards against repeating failed searches every millisecond.
    const LASTS: Duration = Duration::from_secs(10);
    const MAX_SEARCHES: u32 = 20;
    for search in [0, 1, 110, 600, 3_000].map(ms) {
        let silent = simulate(LASTS, search, |_| false);
        assert!((1..=MAX_SEARCHES).contains(&silent.searches), "{search:?}: {}", silent.searches);
        let flickers = simulate(LASTS, search, |now| now.as_millis() % 300 < 150);
        assert!(flickers.searches <= MAX_SEARCHES, "{search:?}: {}", flickers.searches);
        assert!(flickers.steps <= 10 * MAX_SEARCHES, "{search:?}: {} steps", flickers.steps);
    }
    let at_work = simulate(LASTS, Duration::ZERO, |_| true);
    assert_eq!(at_work.searches, 0);
    assert!(at_work.steps <= 100, "{} steps in {LASTS:?}", at_work.steps);
}
