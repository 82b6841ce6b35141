//! Backend servers that say with their answers that they leave.

mod support;

use {
    gullglade_dispatch::{
        BackendInfo, BackendStatements, Decision, Scheduler, TicketId, WorkOutcome,
    },
    gullglade_units::Incarnation,
    support::{at, backend, facts, item, place_prompt, route, scheduler},
};

const LEAVING: BackendStatements =
    BackendStatements { is_signed: true, load: None, limit: None, backoff: None, is_leaving: true };

/// Has engine 0 of `engines` say to `run` that it leaves.
fn leave(run: &mut Scheduler, engines: usize, ms: u64) -> TicketId {
    run.set_backends([facts(0)], at(ms));
    let (ticket, _) = place_prompt(run, ms).expect("the only one");
    run.note_statements(ticket, &LEAVING, at(ms));
    run.note_progress(ticket, at(ms));
    run.set_backends((0..engines).map(facts), at(ms));
    ticket
}

/// Requests to engine 0 while `run` has many in progress everywhere.
fn requests_there(run: &mut Scheduler, from_ms: u64) -> usize {
    let places = (0..40).filter_map(|step| place_prompt(run, from_ms + step));
    places.filter(|(_, name)| *name == backend(0)).count()
}

/// An engine that said with an answer that it leaves was given work until its announcement said so.
#[test]
fn a_run_that_said_that_it_leaves_gets_nothing_new() {
    struct Case {
        what: &'static str,
        /// What happens after it said so.
        then: fn(&mut Scheduler),
        gets_work: bool,
    }
    let cases = [
        Case { what: "nothing", then: |_| {}, gets_work: false },
        Case {
            what: "announced as serving",
            then: |run| run.set_backends([facts(0), facts(1)], at(10_500)),
            gets_work: false,
        },
        Case {
            what: "not announced for a while",
            then: |run| {
                run.set_backends([facts(1)], at(10_500));
                run.set_backends([facts(0), facts(1)], at(11_000));
            },
            gets_work: false,
        },
        Case {
            what: "told by another answer that it serves",
            then: |run| {
                let (ticket, _) = place_prompt(run, 10_100).expect("the other one");
                let stated = BackendStatements { is_leaving: false, ..LEAVING };
                run.note_statements(ticket, &stated, at(10_200));
            },
            gets_work: false,
        },
        Case {
            what: "another run under its name",
            then: |run| {
                let later = BackendInfo { incarnation: Incarnation(1), ..facts(0) };
                run.set_backends([later, facts(1)], at(10_500));
            },
            gets_work: true,
        },
    ];
    for Case { what, then, gets_work } in cases {
        let mut run = scheduler(0, 1, 2, 0.0);
        leave(&mut run, 2, 10_000);
        then(&mut run);
        let there = requests_there(&mut run, 12_000);
        assert_eq!(there > 0, gets_work, "{what}: {there}");
    }
}

/// A departure was known to the gateway alone that had passed the answer on.
#[test]
fn other_gateways_learn_of_a_departure() {
    let mut first = scheduler(0, 2, 2, 0.0);
    leave(&mut first, 2, 10_000);
    let hints = first.take_hints(at(10_010));
    for is_announced in [true, false] {
        let mut second = scheduler(1, 2, 2, 0.0);
        if !is_announced {
            second.set_backends([facts(1)], at(0));
        }
        second.note_hints(hints.clone(), at(10_020));
        second.set_backends([facts(0), facts(1)], at(10_030));
        assert_eq!(requests_there(&mut second, 11_000), 0, "announced before: {is_announced}");
    }
}

/// What ran at an engine that leaves was given up.
#[test]
fn what_runs_at_an_engine_that_leaves_ends_as_usual() {
    let mut run = scheduler(0, 1, 2, 0.0);
    let ticket = leave(&mut run, 2, 10_000);
    assert_eq!(run.counts(), (0, 1));
    run.end(ticket, WorkOutcome::Answered, at(10_900));
    assert_eq!(run.counts(), (0, 0));
}

/// All that there were left, and requests waited for them until their time was over.
#[test]
fn where_all_leave_a_request_is_turned_away_at_once() {
    let mut run = scheduler(0, 1, 1, 0.0);
    leave(&mut run, 1, 10_000);
    let ticket = run.submit(item(&route(0, 1_200, 2_500), None, at(10_500)), at(10_500));
    let verdicts = run.poll(at(10_500));
    let [(refused, Decision::Refuse { .. })] = &verdicts[..] else { panic!("{verdicts:?}") };
    assert_eq!(*refused, ticket);
    assert!(run.offers(at(10_500)).is_empty(), "nothing is offered to other regions");
}
