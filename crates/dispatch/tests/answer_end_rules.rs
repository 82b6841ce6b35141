//! Rules on the expected end of answers, one decision each.

mod support;

use {
    gullglade_dispatch::{
        BackendHint, BackendReport, Decision, LimitUpdate, PromptShape, RefusalReason,
        RequestUpdate, Scheduler,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation},
    support::{at, backend, backend_info, item, prompt, route, scheduler},
};

/// The encoded pace of an engine with steps of 5 and of 20 ms, and prefill chunks of 20 ms.
const FAST: [u8; 2] = [100, 135];
const SLOW: [u8; 2] = [135, 135];

/// Returns the hint of another gateway that an answer of engine `index` began.
fn begun(index: usize, slowdown_percent: Option<u32>, pace: [u8; 2]) -> BackendHint {
    let load = BackendReport { running: 1, waiting: 0, slots: 32, slowdown_percent };
    BackendHint {
        run: BackendRun { backend: backend(index), incarnation: Incarnation(0) },
        request: 2_000_000 + index as u64,
        priority: 0,
        sent_ago_us: 100_000,
        news: RequestUpdate::Begun {
            ago_us: 0,
            load: Some(load),
            limit: LimitUpdate { limit: None, ago_us: 0 },
            pace,
        },
    }
}

/// Returns the decision on a prompt with a hint of `answer` tokens and 4 s to its deadline.
fn decide(run: &mut Scheduler, answer: Option<u32>, ms: u64) -> Option<Decision> {
    let shape = PromptShape {
        answer_tokens: 20_000,
        expected_answer_tokens: answer,
        ..prompt(1, 100, 100, ms)
    };
    let ticket = run.submit(item(&route(0, 1_200, 4_000), Some(shape), at(ms)), at(ms));
    let mut decisions = run.poll(at(ms)).into_iter();
    decisions.find_map(|(decided, decision)| (decided == ticket).then_some(decision))
}

fn chosen(decision: Option<Decision>) -> Option<BackendName> {
    match decision {
        Some(Decision::Send { run, .. }) => Some(run.backend),
        _ => None,
    }
}

fn is_refused(decision: &Option<Decision>) -> bool {
    matches!(decision, Some(Decision::Refuse { reason: RefusalReason::CannotEnd, .. }))
}

#[test]
fn long_answers_go_to_fast_engines() {
    // Guards against a choice by the first byte alone: at the slow engine the answer would take
    // twice the time to its deadline.
    for (paces, fast) in [([FAST, SLOW], 0), ([SLOW, FAST], 1)] {
        let mut run = scheduler(0, 2, 2, 0.0);
        let hints = paces.iter().enumerate().map(|(i, pace)| begun(i, Some(100), *pace));
        run.note_hints(hints.collect(), at(1_000));
        let decision = decide(&mut run, Some(400), 1_100);
        assert_eq!(chosen(decision), Some(backend(fast)), "{paces:?}");
    }
}

#[test]
fn implausible_slowdowns_are_ignored() {
    // Guards against an engine that states nonsense, which must not switch the rule on or mislead
    // it. A plausible figure does: an answer of 10,000 tokens cannot end within 4 s.
    let cases = [None, Some(0), Some(24), Some(1_001), Some(u32::MAX)];
    let cases = cases.map(|percent| (percent, false));
    for (percent, is_used) in
        cases.into_iter().chain([25, 100, 250, 1_000].map(|percent| (Some(percent), true)))
    {
        let mut run = scheduler(0, 2, 1, 0.0);
        run.note_hints(vec![begun(0, percent, FAST)], at(1_000));
        let decision = decide(&mut run, Some(10_000), 1_100);
        assert_eq!(is_refused(&decision), is_used, "{percent:?}: {decision:?}");
    }
}

#[test]
fn only_answers_that_cannot_end_are_refused() {
    // Guards against refusals by an uncertain length: half of the expected length has to be too
    // long, at the fastest engine, and the pace of each engine has to be known.
    struct Case {
        name: &'static str,
        paces: [Option<[u8; 2]>; 2],
        answer: Option<u32>,
        is_refused: bool,
    }
    let cases = [
        Case { name: "too long", paces: [Some(SLOW); 2], answer: Some(600), is_refused: true },
        Case { name: "half ends", paces: [Some(SLOW); 2], answer: Some(300), is_refused: false },
        Case {
            name: "ends at the fast one",
            paces: [Some(SLOW), Some(FAST)],
            answer: Some(600),
            is_refused: false,
        },
        Case {
            name: "one is unknown",
            paces: [Some(SLOW), None],
            answer: Some(600),
            is_refused: false,
        },
        Case { name: "no hint", paces: [Some(SLOW); 2], answer: None, is_refused: false },
    ];
    for Case { name, paces, answer, is_refused: expected } in cases {
        let mut run = scheduler(0, 2, 2, 0.0);
        let known = paces.iter().enumerate().filter_map(|(i, pace)| Some((i, (*pace)?)));
        run.note_hints(known.map(|(i, pace)| begun(i, Some(100), pace)).collect(), at(1_000));
        let decision = decide(&mut run, answer, 1_100);
        assert_eq!(is_refused(&decision), expected, "{name}: {decision:?}");
    }
}

#[test]
fn nothing_is_known_of_an_engine_that_restarted_under_its_name() {
    // Guards against the pace of an earlier run, also if hints of that run arrive late.
    let mut run = scheduler(0, 2, 1, 0.0);
    run.note_hints(vec![begun(0, Some(100), SLOW)], at(1_000));
    assert!(is_refused(&decide(&mut run, Some(600), 1_100)));
    let restarted =
        gullglade_dispatch::BackendInfo { incarnation: Incarnation(1), ..backend_info(0) };
    run.set_backends([restarted], at(1_200));
    run.note_hints(vec![begun(0, Some(100), SLOW)], at(1_210));
    let decision = decide(&mut run, Some(600), 1_300);
    assert_eq!(chosen(decision), Some(backend(0)));
}
