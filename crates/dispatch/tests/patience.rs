//! Requests whose callers leave before the first event.

mod support;

use {
    gullglade_dispatch::{Decision, RefusalReason, deadline_for_first_byte},
    gullglade_units::MonotonicTime,
    std::time::Duration,
    support::{at, item, prompt, route, scheduler, sent_hint},
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a moment to give up that comes after the caller has left, or long before.
#[test]
fn an_answer_begins_before_its_caller_leaves_or_is_given_up() {
    struct Case {
        ends: u64,
        patience: Option<u64>,
        first_byte_deadline: u64,
    }
    let cases = [
        Case { ends: 12_000, patience: None, first_byte_deadline: 12_000 },
        Case { ends: 12_000, patience: Some(4_800), first_byte_deadline: 4_000 },
        Case { ends: 3_000, patience: Some(4_800), first_byte_deadline: 3_000 },
        Case { ends: 12_000, patience: Some(2_400), first_byte_deadline: 2_000 },
        Case { ends: 12_000, patience: Some(600), first_byte_deadline: 500 },
        Case { ends: 12_000, patience: Some(0), first_byte_deadline: 0 },
    ];
    for Case { ends, patience, first_byte_deadline } in cases {
        let arrived = MonotonicTime(ms(1_000));
        let found = deadline_for_first_byte(arrived, arrived + ms(ends), patience.map(ms));
        assert_eq!(found, arrived + ms(first_byte_deadline), "{ends} {patience:?}");
    }
}

/// Guards against callers who wait in a queue that is longer than their patience.
#[test]
fn a_request_that_would_begin_after_its_caller_has_left_is_turned_away_at_once() {
    struct Case {
        first_byte_deadline: u64,
        is_refused: bool,
    }
    const ENGINES: usize = 8;
    let cases = [
        Case { first_byte_deadline: 9_000, is_refused: false },
        Case { first_byte_deadline: 4_400, is_refused: false },
        Case { first_byte_deadline: 300, is_refused: true },
        Case { first_byte_deadline: 10, is_refused: true },
    ];
    for Case { first_byte_deadline, is_refused } in cases {
        let mut scheduler = scheduler(0, 22, ENGINES, 0.0);
        // Reading what others have sent takes the engines most of a second.
        let hints = (0..ENGINES).map(|index| sent_hint(index, 60_000, &[])).collect();
        scheduler.note_hints(hints, at(1_000));
        let mut work = item(&route(1, 2_000, 10_000), Some(prompt(1, 5_000, 6_000, 1)), at(1_000));
        work.first_byte_deadline = at(1_000) + ms(first_byte_deadline);
        let ticket = scheduler.submit(work, at(1_000));
        let verdict = scheduler.poll(at(1_001)).into_iter().find(|(t, _)| *t == ticket);
        let reason = verdict.map(|(_, verdict)| match verdict {
            Decision::Refuse { reason, .. } => reason,
            verdict => panic!("{first_byte_deadline}: {verdict:?}"),
        });
        assert_eq!(reason, is_refused.then_some(RefusalReason::TooLate), "{first_byte_deadline}");
    }
}
