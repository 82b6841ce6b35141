//! Requests whose callers disconnect before the first event.

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

/// Guards against giving up after the caller has left, or long before.
#[test]
fn first_byte_deadline_precedes_the_departure_of_the_caller() {
    struct Case {
        deadline: u64,
        event_timeout: Option<u64>,
        first_byte_deadline: u64,
    }
    let cases = [
        Case { deadline: 12_000, event_timeout: None, first_byte_deadline: 12_000 },
        Case { deadline: 12_000, event_timeout: Some(4_800), first_byte_deadline: 4_000 },
        Case { deadline: 3_000, event_timeout: Some(4_800), first_byte_deadline: 3_000 },
        Case { deadline: 12_000, event_timeout: Some(2_400), first_byte_deadline: 2_000 },
        Case { deadline: 12_000, event_timeout: Some(600), first_byte_deadline: 500 },
        Case { deadline: 12_000, event_timeout: Some(0), first_byte_deadline: 0 },
    ];
    for Case { deadline, event_timeout, first_byte_deadline } in cases {
        let arrived = MonotonicTime(ms(1_000));
        let found = deadline_for_first_byte(arrived, arrived + ms(deadline), event_timeout.map(ms));
        assert_eq!(found, arrived + ms(first_byte_deadline), "{deadline} {event_timeout:?}");
    }
}

/// Guards against callers that wait in a queue for longer than their timeout.
#[test]
fn request_is_refused_at_once_if_its_answer_would_begin_too_late() {
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
        // The prefill of the requests of other gateways takes the engines most of a second.
        let hints = (0..ENGINES).map(|index| sent_hint(index, 60_000, &[])).collect();
        scheduler.note_hints(hints, at(1_000));
        let mut work = item(&route(1, 2_000, 10_000), Some(prompt(1, 5_000, 6_000, 1)), at(1_000));
        work.first_byte_deadline = at(1_000) + ms(first_byte_deadline);
        let ticket = scheduler.submit(work, at(1_000));
        let decision = scheduler.poll(at(1_001)).into_iter().find(|(t, _)| *t == ticket);
        let reason = decision.map(|(_, decision)| match decision {
            Decision::Refuse { reason, .. } => reason,
            decision => panic!("{first_byte_deadline}: {decision:?}"),
        });
        assert_eq!(reason, is_refused.then_some(RefusalReason::TooLate), "{first_byte_deadline}");
    }
}
