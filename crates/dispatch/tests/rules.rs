//! Invariants of a scheduler under any load: shared limits, suspects, ended runs, allowed regions.

mod support;

use {
    gullglade_dispatch::{
        AllowanceShare, BackendHint, BackendInfo, Decision, FirstByteTimes, LimitUpdate,
        RefusalReason, RegionInfo, RepeatBudget, RequestUpdate, Scheduler, TicketId, WorkItem,
        WorkOutcome,
    },
    gullglade_traffic::{RequestKind, TrafficRoute},
    gullglade_units::{Incarnation, MonotonicTime, RandomSource, SeededRandom},
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{
        at, backend, backend_info, gateway, item, pool, prompt, region, route, scheduler,
        sent_hint, service,
    },
};

fn place(scheduler: &mut Scheduler, now: MonotonicTime) -> (TicketId, Option<Decision>) {
    let work =
        item(&route(1, 800, 10_000), Some(prompt(1, 5_000, 1_000, now.0.as_millis() as u64)), now);
    let ticket = scheduler.submit(work, now);
    let decision = scheduler.poll(now).into_iter().find(|(t, _)| *t == ticket);
    (ticket, decision.map(|(_, decision)| decision))
}

fn sent_to(decision: &Option<Decision>) -> Option<&str> {
    match decision {
        Some(Decision::Send { run, .. }) => Some(run.backend.as_str()),
        _ => None,
    }
}

#[test]
fn cold_rate_holds_for_all_gateways_together() {
    // Guards against a stalled gateway that sends at the end of one window, right before those of
    // the next.
    const PER_SECOND: f64 = 3.3;
    const ALLOWED: usize = 7;
    for gateways in [1, 2, 4, 7, 12, 30] {
        for seed in 0..20 {
            let random = SeededRandom::new(seed);
            let mut arrivals = Vec::new();
            for index in 0..gateways {
                let mut scheduler = scheduler(index, gateways, 1, PER_SECOND);
                let mut cold = backend_info(0);
                cold.cold_until = at(60_000);
                scheduler.set_backends([cold], at(0));
                let mut stall = 0;
                for ms in (0..9_000).step_by(5) {
                    if random.below(200) == 0 {
                        stall = ms + random.below(300);
                    }
                    let (ticket, decision) = place(&mut scheduler, at(ms));
                    if sent_to(&decision).is_some() {
                        arrivals.push(ms.max(stall));
                        scheduler.end(ticket, WorkOutcome::Answered, at(ms));
                    }
                    scheduler.withdraw(ticket);
                }
            }
            arrivals.sort_unstable();
            let most = (0..arrivals.len())
                .map(|i| arrivals[i..].iter().take_while(|at| **at < arrivals[i] + 1_000).count())
                .max();
            assert!(most <= Some(ALLOWED), "{gateways} gateways, seed {seed}: {most:?}");
            assert!(most >= Some(1), "{gateways} gateways send nothing at all");
        }
    }
}

#[test]
fn engines_of_a_returned_failure_domain_count_as_cold() {
    // Guards against crashes of engines that restarted during an evacuation and have not announced
    // yet that they are cold.
    let mut scheduler = scheduler(0, 1, 1, 3.3);
    let domain = backend_info(0).domain;
    let evacuated = Rc::new(BTreeSet::from([domain]));
    scheduler.set_configuration([pool(3.3)], &evacuated, at(0));
    let (_, decision) = place(&mut scheduler, at(10_010));
    assert!(matches!(decision, Some(Decision::Refuse { reason: RefusalReason::NoBackend, .. })));
    scheduler.set_configuration([pool(3.3)], &Rc::new(BTreeSet::new()), at(11_000));
    let sends = (0..20).filter(|i| {
        let (ticket, decision) = place(&mut scheduler, at(11_000 + i));
        scheduler.withdraw(ticket);
        sent_to(&decision).is_some()
    });
    assert_eq!(sends.count(), 1);
}

#[test]
fn ended_run_gets_no_requests_while_still_announced() {
    // Guards against a refresh of the announcements that brings back a run known to have ended.
    let mut scheduler = scheduler(0, 1, 2, 0.0);
    let (ticket, decision) = place(&mut scheduler, at(0));
    let first = sent_to(&decision).expect("sent").to_owned();
    scheduler.end(ticket, WorkOutcome::Misdirected, at(1));
    scheduler.set_backends((0..2).map(backend_info), at(0));
    for ms in 2..40 {
        let (_, decision) = place(&mut scheduler, at(ms));
        assert_ne!(sent_to(&decision), Some(first.as_str()));
    }
}

#[test]
fn suspect_is_avoided_and_retried() {
    struct Case {
        outcome: WorkOutcome,
        is_suspect: bool,
    }
    let cases = [
        Case { outcome: WorkOutcome::Broken, is_suspect: true },
        Case { outcome: WorkOutcome::Unreachable, is_suspect: true },
        Case { outcome: WorkOutcome::Garbled, is_suspect: true },
        Case { outcome: WorkOutcome::Overdue { waited: Duration::ZERO }, is_suspect: true },
        Case { outcome: WorkOutcome::Failed, is_suspect: false },
        Case { outcome: WorkOutcome::Cancelled, is_suspect: false },
    ];
    for case in cases {
        let mut scheduler = scheduler(0, 1, 2, 0.0);
        let (ticket, decision) = place(&mut scheduler, at(0));
        let bad = sent_to(&decision).expect("sent").to_owned();
        scheduler.end(ticket, case.outcome, at(1));
        let mut later = Vec::new();
        for ms in 0..10 {
            let (ticket, decision) = place(&mut scheduler, at(10 + ms));
            later.push(sent_to(&decision).map(str::to_owned));
            scheduler.end(ticket, WorkOutcome::Answered, at(11 + ms));
        }
        let is_used = later.iter().flatten().any(|name| *name == bad);
        assert_eq!(is_used, !case.is_suspect, "{:?}: {later:?}", case.outcome);
        let (ticket, _) = place(&mut scheduler, at(1_000));
        scheduler.end(ticket, WorkOutcome::Answered, at(1_001));
        let probes: Vec<_> = scheduler.connection_probes(at(4_000));
        let probed: Vec<_> = probes.iter().map(|(run, _)| run.backend.as_str()).collect();
        let is_unreachable = case.outcome == WorkOutcome::Unreachable;
        let expected = is_unreachable.then_some(bad.as_str());
        assert_eq!(probed, expected.as_slice(), "{:?}", case.outcome);
        probes.iter().for_each(|(run, _)| scheduler.note_connected(run, at(4_001)));
        let used: BTreeSet<_> = (0..40)
            .filter_map(|i| sent_to(&place(&mut scheduler, at(5_000 + i)).1).map(str::to_owned))
            .collect();
        assert_eq!(used.len(), 2, "{:?}: after a while both are used", case.outcome);
    }
}

#[test]
fn unreachable_backends_are_probed_by_connections_only() {
    // Guards against requests that wait for a connection timeout to find out whether a path is back,
    // and against a herd of them when it was lost to many backend servers.
    struct Case {
        name: &'static str,
        /// Outcomes of the first requests, each at another engine.
        outcomes: &'static [WorkOutcome],
        /// Whether the engines that were not tried get requests.
        are_others_used: bool,
    }
    const UNREACHABLE: WorkOutcome = WorkOutcome::Unreachable;
    const ANSWERED: WorkOutcome = WorkOutcome::Answered;
    let cases = [
        Case { name: "one", outcomes: &[UNREACHABLE], are_others_used: true },
        Case {
            name: "two in a row",
            outcomes: &[UNREACHABLE, UNREACHABLE],
            are_others_used: false,
        },
        Case {
            name: "answer between",
            outcomes: &[UNREACHABLE, ANSWERED, UNREACHABLE],
            are_others_used: true,
        },
        Case {
            name: "answer after",
            outcomes: &[UNREACHABLE, UNREACHABLE, ANSWERED],
            are_others_used: true,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler(0, 1, 6, 0.0);
        // All are placed before the first one ends.
        let mut sent = Vec::new();
        for index in 0..case.outcomes.len() {
            let mut work = item(&route(1, 800, 10_000), None, at(0));
            work.returns_to = Some(backend(index));
            sent.push(scheduler.submit(work, at(0)));
        }
        scheduler.poll(at(0));
        let mut unreachable = BTreeSet::new();
        for ((index, ticket), outcome) in sent.into_iter().enumerate().zip(case.outcomes) {
            if *outcome == UNREACHABLE {
                unreachable.insert(backend(index).to_string());
            }
            scheduler.end(ticket, *outcome, at(1));
        }
        for ms in [10, 1_000, 10_000] {
            let (ticket, decision) = place(&mut scheduler, at(ms));
            scheduler.withdraw(ticket);
            let to = sent_to(&decision);
            assert_eq!(to.is_some(), case.are_others_used, "{}: at {ms}", case.name);
            assert!(to.is_none_or(|to| !unreachable.contains(to)), "{}: at {ms}", case.name);
        }
        let mut probed = BTreeSet::new();
        for round in 0..8 {
            let now = at(11_000 + 1_000 * round);
            probed.extend(scheduler.connection_probes(now).into_iter().map(|(run, _)| run));
        }
        let names: BTreeSet<String> = probed.iter().map(|run| run.backend.to_string()).collect();
        match case.are_others_used {
            true => assert_eq!(names, unreachable, "{}", case.name),
            false => assert_eq!(names.len(), 6, "{}: all are probed in turn", case.name),
        }
        let (connected, _) = scheduler.connection_probes(at(30_000)).remove(0);
        scheduler.note_connected(&connected, at(30_000));
        let (_, decision) = place(&mut scheduler, at(30_001));
        assert!(sent_to(&decision).is_some(), "{}: path is back", case.name);
    }
}

#[test]
fn backends_that_take_no_requests_are_not_probed() {
    // Guards against a lost path that counts as restored by a backend server that is leaving.
    let mut scheduler = scheduler(0, 1, 3, 0.0);
    for index in 0..2 {
        let mut work = item(&route(1, 800, 10_000), None, at(0));
        work.returns_to = Some(backend(index));
        let ticket = scheduler.submit(work, at(0));
        scheduler.poll(at(0));
        scheduler.end(ticket, WorkOutcome::Unreachable, at(1));
    }
    let leaving = BackendInfo { is_serving: false, ..backend_info(2) };
    scheduler.set_backends([backend_info(0), backend_info(1), leaving], at(2));
    for round in 0..4 {
        let probes = scheduler.connection_probes(at(1_000 + 250 * round));
        assert!(probes.iter().all(|(run, _)| run.backend != backend(2)), "{probes:?}");
        assert_eq!(probes.len(), 2);
    }
}

#[test]
fn requests_wait_out_a_second_of_silence_of_all_backends() {
    // Guards against refusals while sound backend servers are silent for a moment and go on.
    for may_forward in [true, false] {
        let (refused, waiting) = simulate_silence(may_forward);
        assert_eq!(refused, 0, "may be forwarded: {may_forward}");
        assert_eq!(waiting, 0, "all are placed after the silence");
    }
}

/// Simulates two backend servers that are silent for 1.3 s. Returns the number of requests that
/// were refused and of those that still wait at the end.
fn simulate_silence(may_forward: bool) -> (usize, usize) {
    const SILENCE_MS: std::ops::Range<u64> = 1_000..2_300;
    let mut scheduler = scheduler(0, 1, 2, 0.0);
    let mut sent = Vec::new();
    let mut refused = 0;
    for ms in (0..4_000).step_by(20) {
        let now = at(ms);
        if !SILENCE_MS.contains(&ms) {
            for ticket in std::mem::take(&mut sent) {
                scheduler.note_progress(ticket, now);
                scheduler.end(ticket, WorkOutcome::Answered, now);
            }
        }
        let number = ms / 20;
        let shape = prompt(number % 5, 200, 300, number);
        let work = item(&route(0, 300, 5_000), Some(shape), now);
        scheduler.submit(WorkItem { may_forward, ..work }, now);
        for (ticket, decision) in scheduler.poll(now) {
            match decision {
                Decision::Send { .. } => sent.push(ticket),
                _ => refused += 1,
            }
        }
    }
    (refused, scheduler.counts().0)
}

#[test]
fn repeat_budget_holds_for_all_gateways_together() {
    const WINDOW: Duration = Duration::from_secs(10);
    for gateways in [1, 4, 20, 64] {
        let mut requests = 0;
        let mut repeats = 0;
        for _ in 0..gateways {
            let mut budget = RepeatBudget::new(WINDOW, 0.2, 50.0);
            let mut share = AllowanceShare::new(1);
            share.note_total(gateways, at(0));
            for ms in (10_000..20_000).step_by(100) {
                budget.note_request(at(ms), at(ms));
                requests += 1;
                repeats += (0..5).filter(|_| budget.take(&share, at(ms)).is_granted).count();
            }
        }
        let allowed = 0.2 * f64::from(requests) + 50.0;
        assert!((repeats as f64) <= allowed, "{gateways}: {repeats} of {allowed}");
        assert!(repeats > 0, "{gateways} gateways never repeat");
    }
}

#[test]
fn request_is_forwarded_only_if_it_is_served_better_elsewhere() {
    struct Case {
        engines: usize,
        remote_ms: Option<u32>,
        may_forward: bool,
        homes: &'static [&'static str],
        is_forwarded: bool,
    }
    let (any, near, far): (&[&str], &[&str], &[&str]) = (&[], &["puget"], &["columbia"]);
    let cases = [
        Case { engines: 1, remote_ms: Some(0), may_forward: true, homes: any, is_forwarded: false },
        Case { engines: 0, remote_ms: Some(0), may_forward: true, homes: any, is_forwarded: true },
        Case {
            engines: 0,
            remote_ms: Some(0),
            may_forward: false,
            homes: any,
            is_forwarded: false,
        },
        Case {
            engines: 0,
            remote_ms: Some(0),
            may_forward: true,
            homes: near,
            is_forwarded: false,
        },
        Case { engines: 1, remote_ms: Some(0), may_forward: true, homes: far, is_forwarded: true },
        Case { engines: 0, remote_ms: None, may_forward: true, homes: any, is_forwarded: false },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut scheduler = scheduler(0, 1, case.engines, 0.0);
        let offer = |first_byte_ms| RegionInfo {
            region: region("columbia"),
            service: service("pool"),
            backends: 3,
            first_byte: FirstByteTimes::from_millis(&[first_byte_ms]),
        };
        scheduler.set_regions(case.remote_ms.into_iter().map(offer).collect());
        let mut route = (*route(1, 800, 10_000)).clone();
        route.homes = case.homes.iter().map(|home| region(home)).collect();
        let mut work = item(&Rc::new(route), None, at(0));
        work.may_forward = case.may_forward;
        scheduler.submit(work, at(0));
        let decisions = scheduler.poll(at(0));
        let is_forwarded = matches!(decisions.first(), Some((_, Decision::Forward { .. })));
        assert_eq!(is_forwarded, case.is_forwarded, "case {index}: {decisions:?}");
    }
}

#[test]
fn overloaded_region_forwards_late_requests() {
    let mut scheduler = scheduler(0, 1, 1, 0.0);
    scheduler.set_regions(vec![RegionInfo {
        region: region("columbia"),
        service: service("pool"),
        backends: 3,
        first_byte: FirstByteTimes::from_millis(&[20]),
    }]);
    let route = route(1, 800, 10_000);
    let decisions: Vec<_> = (0..40)
        .flat_map(|i| {
            scheduler.submit(item(&route, Some(prompt(i, 5_000, 6_000, i)), at(0)), at(0));
            scheduler.poll(at(0))
        })
        .map(|(_, decision)| matches!(decision, Decision::Forward { .. }))
        .collect();
    assert!(!decisions[0], "the first one is served here");
    assert!(decisions.iter().filter(|is_forwarded| **is_forwarded).count() > 25, "{decisions:?}");
}

#[test]
fn refused_callers_get_spread_retry_times() {
    let mut scheduler = scheduler(0, 1, 0, 0.0);
    let waits: BTreeSet<Duration> = (0..20)
        .filter_map(|ms| match place(&mut scheduler, at(ms)).1 {
            Some(Decision::Refuse { retry_after, .. }) => Some(retry_after),
            _ => None,
        })
        .collect();
    assert_eq!(waits.len(), 20, "each another time: {waits:?}");
    assert!(waits.iter().all(|w| *w >= Duration::from_millis(250) && *w < Duration::from_secs(1)));
}

#[test]
fn less_urgent_requests_wait_behind_urgent_ones() {
    let mut scheduler = scheduler(0, 1, 1, 0.0);
    let mut small = backend_info(0);
    small.slots = 1;
    scheduler.set_backends([small], at(0));
    let (first, _) = place(&mut scheduler, at(0));
    let mut submit =
        |priority, ms| scheduler.submit(item(&route(priority, 800, 10_000), None, at(ms)), at(ms));
    let later = submit(2, 1);
    let urgent = submit(0, 2);
    assert!(scheduler.poll(at(3)).is_empty());
    scheduler.end(first, WorkOutcome::Answered, at(4));
    let order: Vec<_> = scheduler.poll(at(4)).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(order, [urgent]);
    scheduler.end(urgent, WorkOutcome::Answered, at(5));
    assert_eq!(scheduler.poll(at(5)).first().map(|(ticket, _)| *ticket), Some(later));
    assert_eq!((gateway(0).as_str(), backend(0).as_str()), ("edge-0", "i-0"));
}

#[test]
fn unrepeatable_requests_avoid_recent_failures() {
    // Guards against placing unrepeatable requests on an engine that breaks some of its answers.
    struct Case {
        name: &'static str,
        kind: RequestKind,
        /// Time of the placement after the failure, milliseconds.
        at: u64,
        avoids: bool,
    }
    let (stream, resumable) =
        (RequestKind::Stream { resumable: false }, RequestKind::Stream { resumable: true });
    let cases = [
        Case { name: "once only, soon after", kind: stream, at: 1_500, avoids: true },
        Case {
            name: "once only, a plain one",
            kind: RequestKind::AtMostOnce,
            at: 1_500,
            avoids: true,
        },
        Case { name: "may be resumed, soon after", kind: resumable, at: 1_500, avoids: false },
        Case { name: "once only, long after", kind: stream, at: 20_000, avoids: false },
    ];
    for Case { name, kind, at: millis, avoids } in cases {
        // The first of two engines breaks an answer and then gives a good one.
        let mut scheduler = scheduler(0, 1, 1, 0.0);
        for (ms, outcome) in [(0, WorkOutcome::Broken), (1_000, WorkOutcome::Answered)] {
            let (ticket, decision) = place(&mut scheduler, at(ms));
            assert_eq!(sent_to(&decision), Some("i-0"), "{name}");
            scheduler.end(ticket, outcome, at(ms + 10));
        }
        scheduler.set_backends([backend_info(0), backend_info(1)], at(0));
        // The other engine has 200 ms of prefill ahead.
        scheduler.note_hints(vec![sent_hint(1, 12_000, &[])], at(millis));
        let route = TrafficRoute { kind, ..(*route(1, 800, 10_000)).clone() };
        let shape = prompt(7, 500, 500, 7);
        let ticket = scheduler.submit(item(&Rc::new(route), Some(shape), at(millis)), at(millis));
        let decisions = scheduler.poll(at(millis));
        let decision = decisions.into_iter().find(|(t, _)| *t == ticket).map(|(_, v)| v);
        let expected = if avoids { "i-1" } else { "i-0" };
        assert_eq!(sent_to(&decision), Some(expected), "{name}");
    }
}

#[test]
fn new_incarnation_starts_with_a_clean_record() {
    // Guards against attributing load, suspicion and cache contents of a crashed run to the next
    // one.
    struct Case {
        what: &'static str,
        /// The outcome of the send to the earlier run, before or after the later one is announced.
        outcome: WorkOutcome,
        is_before: bool,
        /// Prefill tokens that another gateway reports as sent to the earlier run.
        late_hint: u32,
    }
    let cases = [
        Case { what: "suspicion", outcome: WorkOutcome::Broken, is_before: true, late_hint: 0 },
        Case { what: "late failure", outcome: WorkOutcome::Broken, is_before: false, late_hint: 0 },
        Case {
            what: "late report that another run answers there",
            outcome: WorkOutcome::Misdirected,
            is_before: false,
            late_hint: 0,
        },
        Case {
            what: "late hint",
            outcome: WorkOutcome::Answered,
            is_before: false,
            late_hint: 600_000,
        },
    ];
    for case in cases {
        let mut scheduler = scheduler(0, 1, 1, 0.0);
        let (ticket, decision) = place(&mut scheduler, at(0));
        assert_eq!(sent_to(&decision), Some("i-0"), "{}", case.what);
        if case.is_before {
            scheduler.end(ticket, case.outcome, at(10));
        }
        let later = Incarnation(20);
        scheduler.set_backends([BackendInfo { incarnation: later, ..backend_info(0) }], at(0));
        if !case.is_before {
            scheduler.end(ticket, case.outcome, at(20));
        }
        let parts = prompt(1, 5_000, 1_000, 0);
        let hint = sent_hint(0, case.late_hint, parts.shared_parts());
        scheduler.note_hints(vec![hint], at(25));
        let (_, decision) = place(&mut scheduler, at(30));
        let Some(Decision::Send { expected_ms, .. }) = decision else {
            panic!("{}: {decision:?}", case.what)
        };
        // All 6,000 tokens at the initial rate of 60 per millisecond, with nothing cached and
        // nothing ahead.
        assert!((99.0..101.0).contains(&expected_ms), "{}: {expected_ms}", case.what);
    }
}

#[test]
fn long_prompt_overtakes_urgent_ones_that_have_time() {
    // Guards against long prompts that begin seconds late at a peak while urgent ones have time
    // left.
    struct Case {
        name: &'static str,
        /// The objective of the urgent route, milliseconds.
        urgent_objective: u64,
        /// Number of tokens in the long prompt.
        tokens: u32,
        expected: u8,
    }
    let cases = [
        Case { name: "they have time", urgent_objective: 1_000, tokens: 12_000, expected: 0 },
        Case { name: "they have none", urgent_objective: 300, tokens: 12_000, expected: 1 },
        Case { name: "late all the same", urgent_objective: 10_000, tokens: 60_000, expected: 1 },
    ];
    for Case { name, urgent_objective, tokens, expected } in cases {
        let mut scheduler = scheduler(0, 1, 1, 0.0);
        let urgent = route(0, urgent_objective, 10_000);
        scheduler.submit(item(&urgent, Some(prompt(1, 500, 2_500, 1)), at(0)), at(0));
        scheduler.poll(at(0));
        let work = item(&route(1, 800, 10_000), Some(prompt(2, 500, tokens - 500, 2)), at(0));
        let ticket = scheduler.submit(work, at(0));
        let decisions = scheduler.poll(at(0));
        let sent = decisions.iter().find(|(t, _)| *t == ticket).map(|(_, decision)| decision);
        let Some(Decision::Send { priority, .. }) = sent else { panic!("{name}: {sent:?}") };
        assert_eq!(*priority, expected, "{name}");
    }
}

#[test]
fn stalled_engine_gets_no_requests() {
    // Guards against a stalled engine that looks idle and gets more requests.
    struct Case {
        name: &'static str,
        /// When a first-byte hint of another gateway for that engine arrives, if any.
        hint_ms: Option<u64>,
        /// When the next request arrives.
        at_ms: u64,
        avoids: bool,
    }
    let cases = [
        Case { name: "at once", hint_ms: None, at_ms: 200, avoids: false },
        Case { name: "overdue", hint_ms: None, at_ms: 1_000, avoids: true },
        Case { name: "others are answered", hint_ms: Some(900), at_ms: 1_000, avoids: false },
    ];
    for Case { name, hint_ms, at_ms, avoids } in cases {
        let mut scheduler = scheduler(0, 2, 1, 0.0);
        let (_, decision) = place(&mut scheduler, at(0));
        assert_eq!(sent_to(&decision), Some("i-0"), "{name}");
        if let Some(ms) = hint_ms {
            let limit = LimitUpdate { limit: None, ago_us: 0 };
            let news = RequestUpdate::Begun { ago_us: 0, load: None, limit, pace: [0; 2] };
            scheduler.note_hints(vec![BackendHint { news, ..sent_hint(0, 0, &[]) }], at(ms));
        }
        // The other engine has nothing cached, so a healthy first one is preferred.
        scheduler.set_backends([backend_info(0), backend_info(1)], at(0));
        let (_, decision) = place(&mut scheduler, at(at_ms));
        let expected = if avoids { "i-1" } else { "i-0" };
        assert_eq!(sent_to(&decision), Some(expected), "{name}");
    }
}
