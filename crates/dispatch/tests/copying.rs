//! Shared parts that are copied from another engine.

mod support;

use {
    gullglade_dispatch::{BackendInfo, Decision, PromptCopy, Scheduler, WorkItem, WorkOutcome},
    gullglade_traffic::{EngineProfile, ServicePool},
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{at, facts, item, pool, prompt, route, scheduler, sent_hint},
};

/// Tokens that an engine copies in a millisecond.
const COPY_RATE: f64 = 2_000.0;

/// The tokens of a shared part.
const SHARED: u32 = 13_000;

fn copying_scheduler(engines: usize, rate: f64) -> Scheduler {
    let mut scheduler = scheduler(0, 1, engines, 0.0);
    let engine = EngineProfile {
        slots: 32,
        memory_tokens: 470_000,
        tokens_per_event: 9,
        copied_tokens_per_ms: rate,
    };
    let pool = ServicePool { engine: Some(engine), ..(*pool(0.0)).clone() };
    scheduler.set_configuration([Rc::new(pool)], &Rc::new(BTreeSet::new()), at(0));
    scheduler
}

fn work(id: u64, now: MonotonicTime) -> WorkItem {
    item(&route(1, 1_200, 10_000), Some(prompt(7, SHARED, 2_000, id)), now)
}

/// Where a request is sent, and what is copied.
fn place(scheduler: &mut Scheduler, id: u64, now: MonotonicTime) -> (String, Option<PromptCopy>) {
    let ticket = scheduler.submit(work(id, now), now);
    let verdict = scheduler.poll(now).into_iter().find(|(t, _)| *t == ticket).map(|(_, v)| v);
    let Some(Decision::Send { run, copy, expected_ms, .. }) = verdict else {
        panic!("{verdict:?}")
    };
    // The first byte comes when it was expected, so that nothing else is learned from it.
    let first_byte = MonotonicTime(now.0 + Duration::from_secs_f64(expected_ms / 1_000.0));
    scheduler.note_progress(ticket, first_byte);
    scheduler.end(ticket, WorkOutcome::Answered, first_byte);
    (run.backend.as_str().to_owned(), copy)
}

#[test]
fn an_engine_copies_what_another_one_holds() {
    // The load: the engine that holds a long shared part is full at a peak. Symptom without: the
    // part is read again at another engine, 217 ms in which nothing else there gets on.
    struct Case {
        what: &'static str,
        rate: f64,
        /// Whether the holder is full when the second request comes.
        is_full: bool,
        /// Whether the holder is gone from the region then.
        is_gone: bool,
        expected_tokens: Option<u32>,
    }
    let cases = [
        Case {
            what: "the holder has room",
            rate: COPY_RATE,
            is_full: false,
            is_gone: false,
            expected_tokens: None,
        },
        Case {
            what: "the holder is full",
            rate: COPY_RATE,
            is_full: true,
            is_gone: false,
            expected_tokens: Some(SHARED),
        },
        Case {
            what: "these engines copy nothing",
            rate: 0.0,
            is_full: true,
            is_gone: false,
            expected_tokens: None,
        },
        Case {
            what: "the holder is gone",
            rate: COPY_RATE,
            is_full: false,
            is_gone: true,
            expected_tokens: None,
        },
    ];
    for case in cases {
        let mut scheduler = copying_scheduler(2, case.rate);
        let (holder, _) = place(&mut scheduler, 1, at(0));
        let holder: usize = holder[2..].parse().expect("engines are numbered");
        if case.is_full {
            scheduler.note_hints(vec![sent_hint(holder, 120_000, &[])], at(1_000));
        }
        if case.is_gone {
            scheduler.set_backends([facts(1 - holder)], at(0));
        }
        let (_, copy) = place(&mut scheduler, 2, at(1_000));
        let tokens = copy.map(|copy| copy.tokens);
        assert_eq!(tokens, case.expected_tokens, "{}", case.what);
        if let Some(copy) = copy {
            assert_eq!(copy.from, facts(holder).address, "{}", case.what);
            // 6.5 ms of copying are 390 tokens of reading.
            assert!((380..=400).contains(&copy.cost_tokens), "{}: {copy:?}", case.what);
        }
    }
}

#[test]
fn a_gateway_that_knows_of_no_holder_asks_the_likely_one() {
    // The load: gateways were restarted and know nothing; the engine to which they all would send
    // a shared part is full. What is only likely is copied where it is there, and counted as
    // reading.
    let mut before = copying_scheduler(4, COPY_RATE);
    let (holder, _) = place(&mut before, 1, at(0));
    let holder: usize = holder[2..].parse().expect("engines are numbered");

    let mut restarted = copying_scheduler(4, COPY_RATE);
    restarted.note_hints(vec![sent_hint(holder, 120_000, &[])], at(10));
    let (other, copy) = place(&mut restarted, 2, at(10));
    assert_ne!(other, format!("i-{holder}"));
    let copy = copy.expect("a copy is tried");
    assert_eq!((copy.from, copy.cost_tokens), (facts(holder).address, SHARED));

    // A suspect is asked for nothing.
    let mut restarted = copying_scheduler(4, COPY_RATE);
    restarted.set_backends(
        (0..4).map(|index| {
            let is_silent = index == holder;
            BackendInfo { is_silent, ..facts(index) }
        }),
        at(0),
    );
    let (_, copy) = place(&mut restarted, 3, at(10));
    assert!(copy.is_none_or(|copy| copy.from != facts(holder).address), "{copy:?}");
}
