//! Copies of shared prompt parts from another engine.

mod support;

use {
    gullglade_dispatch::{BackendInfo, Decision, PromptCopy, Scheduler, WorkItem, WorkOutcome},
    gullglade_traffic::{EngineProfile, ServicePool},
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{at, backend_info, item, pool, prompt, route, scheduler, sent_hint},
};

/// Tokens that an engine copies per millisecond.
const COPY_RATE: f64 = 2_000.0;

/// Length of the shared part in tokens.
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

/// Places a request. Returns the backend server and the copy.
fn place(scheduler: &mut Scheduler, id: u64, now: MonotonicTime) -> (String, Option<PromptCopy>) {
    let ticket = scheduler.submit(work(id, now), now);
    let decision = scheduler.poll(now).into_iter().find(|(t, _)| *t == ticket).map(|(_, v)| v);
    let Some(Decision::Send { run, copy, expected_ms, .. }) = decision else {
        panic!("{decision:?}")
    };
    // The first byte arrives as predicted, so the scheduler learns no offset from it.
    let first_byte = MonotonicTime(now.0 + Duration::from_secs_f64(expected_ms / 1_000.0));
    scheduler.note_progress(ticket, first_byte);
    scheduler.end(ticket, WorkOutcome::Answered, first_byte);
    (run.backend.as_str().to_owned(), copy)
}

#[test]
fn shared_part_is_copied_from_a_full_engine() {
    // The load: the engine that holds a long shared part is full at a peak. Without copies the
    // prefill is repeated on another engine, which blocks it for 217 ms.
    struct Case {
        name: &'static str,
        rate: f64,
        /// Whether the holder is full when the second request arrives.
        is_full: bool,
        /// Whether the holder has left the region by then.
        is_gone: bool,
        expected_tokens: Option<u32>,
    }
    let cases = [
        Case {
            name: "the holder has room",
            rate: COPY_RATE,
            is_full: false,
            is_gone: false,
            expected_tokens: None,
        },
        Case {
            name: "the holder is full",
            rate: COPY_RATE,
            is_full: true,
            is_gone: false,
            expected_tokens: Some(SHARED),
        },
        Case {
            name: "these engines copy nothing",
            rate: 0.0,
            is_full: true,
            is_gone: false,
            expected_tokens: None,
        },
        Case {
            name: "the holder is gone",
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
            scheduler.set_backends([backend_info(1 - holder)], at(0));
        }
        let (_, copy) = place(&mut scheduler, 2, at(1_000));
        let tokens = copy.map(|copy| copy.tokens);
        assert_eq!(tokens, case.expected_tokens, "{}", case.name);
        if let Some(copy) = copy {
            assert_eq!(copy.from, backend_info(holder).address, "{}", case.name);
            // The copy takes 6.5 ms, the prefill time of 390 tokens.
            assert!((380..=400).contains(&copy.cost_tokens), "{}: {copy:?}", case.name);
        }
    }
}

#[test]
fn restarted_gateway_copies_from_the_likely_holder() {
    // The load: gateways were restarted and know nothing, and the engine that they would all select
    // for a shared part is full. A copy from this likely holder is tried, and its cost is that of a
    // prefill.
    let mut before = copying_scheduler(4, COPY_RATE);
    let (holder, _) = place(&mut before, 1, at(0));
    let holder: usize = holder[2..].parse().expect("engines are numbered");

    let mut restarted = copying_scheduler(4, COPY_RATE);
    restarted.note_hints(vec![sent_hint(holder, 120_000, &[])], at(10));
    let (other, copy) = place(&mut restarted, 2, at(10));
    assert_ne!(other, format!("i-{holder}"));
    let copy = copy.expect("a copy is tried");
    assert_eq!((copy.from, copy.cost_tokens), (backend_info(holder).address, SHARED));

    // Nothing is copied from a suspect.
    let mut restarted = copying_scheduler(4, COPY_RATE);
    restarted.set_backends(
        (0..4).map(|index| {
            let is_silent = index == holder;
            BackendInfo { is_silent, ..backend_info(index) }
        }),
        at(0),
    );
    let (_, copy) = place(&mut restarted, 3, at(10));
    assert!(copy.is_none_or(|copy| copy.from != backend_info(holder).address), "{copy:?}");
}
