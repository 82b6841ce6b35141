//! Replays of overload in virtual time: the goodput at several times the capacity, caused by one
//! workspace or by many, and the rules that keep it up.

mod support;

use {
    gullglade_dispatch::{
        BackendHint, BackendInfo, BackendReport, Decision, LimitUpdate, RefusalReason,
        RequestUpdate, Scheduler, SchedulerSettings, TicketId, WorkItem, WorkOutcome,
    },
    gullglade_traffic::{QuotaUnit, TrafficRoute, TrafficWorkspace, WorkspaceQuota},
    gullglade_units::WorkspaceName,
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{
        at, backend_info,
        deployment::{Deployment, KindModel, Outcome, RegionModel, WorkspaceModel, stream_route},
        engine::EngineModel,
        gateway, item, pool, prompt, route, sent_hint, settings,
    },
};

/// Requests per second up to which nearly all are served in time, measured with these replays.
const CAPACITY: f64 = 95.0;

const SECONDS: u64 = 6;

/// The usual load, as a multiple of the capacity.
const USUAL: f64 = 0.8;

/// The engines of the deployment whose callers compete for too little capacity.
fn engine() -> EngineModel {
    EngineModel {
        slots: 12,
        memory_tokens: 484_627,
        step_ms: 2.97,
        slot_ms: 0.0145,
        context_ms: 0.00762,
        prefill_rate: 101.0,
        chunk: 1_024.0,
        attention_ms: 0.275,
        tokens_per_event: 12,
        copy_rate: 570.0,
    }
}

const LONG: usize = 0;
const SHORT: usize = 1;

fn kinds() -> Vec<KindModel> {
    vec![
        KindModel {
            hints: None,
            route: stream_route(2, 1_500, 10_000, 400, &[], false),
            share: 0.165,
            chain: vec![(3, 512.0), (247, 4_870.0)],
            own: (6_610.0, 1.0, 30_000.0),
            events: (32.0, 0.5, 100.0),
            worth: 2.5,
            late_worth: 1.1,
        },
        KindModel {
            hints: None,
            route: stream_route(0, 500, 2_500, 400, &[], true),
            share: 0.835,
            chain: vec![(10, 341.0), (1_203, 227.0)],
            own: (1_800.0, 1.0, 6_870.0),
            events: (1.9, 0.8, 8.0),
            worth: 2.3,
            late_worth: 0.27,
        },
    ]
}

fn workspace(index: usize, share: f64, usual: f64, priority: Option<u8>) -> WorkspaceModel {
    let name = WorkspaceName::try_from(format!("team-{index}")).expect("a name");
    let quota = WorkspaceQuota {
        unit: QuotaUnit::Tokens { default_cost: 1_000 },
        rate: usual * 1e6,
        burst: 1e6,
    };
    WorkspaceModel {
        workspace: Rc::new(TrafficWorkspace {
            name,
            keys: Vec::new(),
            priority,
            homes: Vec::new(),
            quota: Some(quota),
        }),
        share,
    }
}

/// The usual shares of eight workspaces. The first is large.
const USUAL_SHARES: [f64; 8] = [0.28, 0.2, 0.12, 0.1, 0.1, 0.1, 0.05, 0.05];

/// Who causes the load beyond the usual one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cause {
    /// The first workspace alone.
    One,
    /// All in proportion to their usual rates.
    Many,
}

/// Returns one region at `load` times its capacity, whose workspaces have this priority.
fn replay(load: f64, cause: Cause, priority: Option<u8>, overload_control: bool) -> Deployment {
    let greedy = (load - USUAL * (1.0 - USUAL_SHARES[0])) / load;
    let shares = USUAL_SHARES.iter().enumerate().map(|(index, usual)| match (cause, index) {
        (Cause::Many, _) => *usual,
        (Cause::One, 0) => greedy,
        (Cause::One, _) => usual * USUAL / load,
    });
    let workspaces = shares.zip(USUAL_SHARES).enumerate();
    Deployment {
        weighs_cached_prefixes: false,
        machines: None,
        regions: vec![RegionModel {
            name: "puget",
            gateways: 8,
            engines: 6,
            per_second: vec![load * CAPACITY],
        }],
        kinds: kinds(),
        workspaces: workspaces
            .map(|(i, (share, usual))| workspace(i, share, usual, priority))
            .collect(),
        engine: engine(),
        seconds: SECONDS,
        crash: None,
        seed: 7,
        loses_hints: false,
        overload_control,
    }
}

/// Requests served in time per second.
fn goodput(outcome: &Outcome) -> f64 {
    outcome.kinds.iter().map(|kind| kind.in_time as f64).sum::<f64>() / SECONDS as f64
}

fn in_time_share(outcome: &Outcome, kind: usize) -> f64 {
    outcome.kinds[kind].in_time as f64 / outcome.kinds[kind].submitted as f64
}

/// The share of requests served in time of all workspaces but the first.
fn share_of_others(outcome: &Outcome) -> f64 {
    let others = outcome.workspaces[1..].iter().flatten();
    let (in_time, submitted) = others.fold((0, 0), |(t, s), w| (t + w.in_time, s + w.submitted));
    in_time as f64 / submitted as f64
}

fn show(name: &str, load: f64, outcome: &Outcome) {
    println!(
        "{name}, load {load}: {:.1}/s in time ({:.2} of the long, {:.2} of the short), \
         {:.3} of the others, worth {:.3}, {} preempted",
        goodput(outcome),
        in_time_share(outcome, LONG),
        in_time_share(outcome, SHORT),
        share_of_others(outcome),
        outcome.worth(),
        outcome.preempted,
    );
}

struct CurveCase {
    name: &'static str,
    cause: Cause,
    priority: Option<u8>,
}

const CURVES: [CurveCase; 4] = [
    CurveCase { name: "one greedy workspace", cause: Cause::One, priority: None },
    CurveCase { name: "all workspaces", cause: Cause::Many, priority: None },
    CurveCase { name: "one, priorities of workspaces", cause: Cause::One, priority: Some(1) },
    CurveCase { name: "all, priorities of workspaces", cause: Cause::Many, priority: Some(1) },
];

#[test]
fn goodput_holds_beyond_the_capacity() {
    // Guards against a load beyond the capacity at which less is served in time than at a lower
    // one, because slots and prefill go to requests that are late whatever is decided. Beyond the
    // capacity the number still rises, as short requests replace long ones.
    for CurveCase { name, cause, priority } in CURVES {
        let mut peak: f64 = 0.0;
        for load in [0.5, 1.0, 1.5, 2.0, 4.0] {
            let outcome = replay(load, cause, priority, true).simulate();
            show(name, load, &outcome);
            let goodput = goodput(&outcome);
            assert!(goodput >= 0.9 * peak, "{name}: {goodput} at {load} after {peak}");
            peak = peak.max(goodput);
            let all = goodput / (load * CAPACITY);
            for kind in [LONG, SHORT] {
                let share = in_time_share(&outcome, kind);
                assert!(share >= 0.25 * all, "{name}: {share} of kind {kind} at {load}, {all}");
            }
        }
        let previous = replay(4.0, cause, priority, false).simulate();
        show("previous rules", 4.0, &previous);
        assert!(goodput(&previous) < 0.9 * peak, "not an overload");
    }
}

#[test]
fn workspaces_at_their_usual_rate_keep_their_goodput_beside_a_greedy_one() {
    // Guards against one workspace at six times its usual rate whose requests take the capacity
    // of all others.
    let greedy = USUAL * (1.0 + 5.0 * USUAL_SHARES[0]);
    for priority in [None, Some(1)] {
        let usual = share_of_others(&replay(USUAL, Cause::Many, priority, true).simulate());
        let outcome = replay(greedy, Cause::One, priority, true).simulate();
        show("greedy", greedy, &outcome);
        let beside = share_of_others(&outcome);
        assert!(beside > usual - 0.05, "{beside} of {usual} with priority {priority:?}");
        let previous = share_of_others(&replay(greedy, Cause::One, priority, false).simulate());
        println!("usual {usual:.3}, beside a greedy one {beside:.3}, before {previous:.3}");
        assert!(previous < usual - 0.2, "the workspace is not greedy");
    }
}

#[test]
fn lost_hints_cost_workspaces_little() {
    // Guards against shares and limits that harm workspaces at their usual rate, or make engines
    // interrupt more requests, where gateways know only their own requests. Measured: 0.887 and
    // 0.871 of the others' requests in time with one greedy workspace, 0.810 and 0.862 with load by
    // all, and up to 6 more interruptions among some 1,100 requests. With priorities of workspaces,
    // 0.376 and 0.191, and 0.215 and 0.188.
    for CurveCase { name, cause, priority } in CURVES {
        let [previous, outcome] = [false, true].map(|overload_control| {
            let model = replay(2.0, cause, priority, overload_control);
            Deployment { loses_hints: true, ..model }.simulate()
        });
        show("previous rules", 2.0, &previous);
        show(name, 2.0, &outcome);
        assert!(share_of_others(&outcome) > share_of_others(&previous) - 0.06, "{name}");
        assert!(outcome.preempted <= previous.preempted + 11, "{name}: {}", outcome.preempted);
    }
}

/// Returns the first of eight gateways, with one engine of ten slots.
fn gateway_of_one_engine(overload_control: bool) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings { overload_control, ..settings(0) });
    scheduler.set_configuration([pool(0.0)], &Rc::new(BTreeSet::new()), at(0));
    scheduler.set_backends([BackendInfo { slots: SLOTS, ..backend_info(0) }], at(0));
    scheduler.set_gateways((0..8).map(gateway), at(0));
    scheduler.set_gateway_total(8, at(0));
    scheduler
}

const SLOTS: u32 = 10;

/// Returns a request with a prompt of `tokens` tokens that arrived at `ms`.
fn request(route: &Rc<TrafficRoute>, tokens: u32, id: u64, ms: u64) -> WorkItem {
    item(route, Some(prompt(1, 0, tokens, id)), at(ms))
}

/// Returns the numbers of sent and of refused requests.
fn counts(decisions: &[(TicketId, Decision)]) -> (usize, usize) {
    let sent = decisions.iter().filter(|(_, decision)| decision.is_sent()).count();
    (sent, decisions.len() - sent)
}

#[test]
fn late_requests_go_behind_timely_ones_of_all_priorities() {
    // Guards against a free slot that goes to an urgent request that is late anyway, whereupon a
    // timely one is late, too.
    let (urgent, long) = (route(0, 500, 5_000), route(2, 1_500, 10_000));
    for (overload_control, expected) in [(false, 0), (true, 1)] {
        let mut scheduler = gateway_of_one_engine(overload_control);
        // 0.3 of the objective of the urgent one are left.
        let late = scheduler.submit(request(&urgent, 36_000, 1, 0), at(350));
        let timely = scheduler.submit(request(&long, 36_000, 2, 300), at(350));
        let decisions = scheduler.poll(at(350));
        let first = decisions.first().filter(|(_, decision)| decision.is_sent());
        let first = first.map(|(ticket, _)| *ticket);
        assert_eq!(first, Some([late, timely][expected]), "overload control {overload_control}");
    }
}

#[test]
fn less_urgent_requests_leave_slots_free() {
    // Guards against long streams in all slots of an engine, which are interrupted, and their
    // prompts processed again, when urgent requests arrive.
    struct Case {
        name: &'static str,
        overload_control: bool,
        is_urgent_seen: bool,
        sent: usize,
    }
    let cases = [
        Case { name: "off", overload_control: false, is_urgent_seen: true, sent: 9 },
        Case { name: "two kinds", overload_control: true, is_urgent_seen: true, sent: 5 },
        Case { name: "one kind", overload_control: true, is_urgent_seen: false, sent: 10 },
    ];
    let (urgent, long) = (route(0, 500, 5_000), route(2, 1_500, 10_000));
    for Case { name, overload_control, is_urgent_seen, sent } in cases {
        let mut scheduler = gateway_of_one_engine(overload_control);
        if is_urgent_seen {
            scheduler.submit(request(&urgent, 10, 1, 0), at(0));
            assert_eq!(counts(&scheduler.poll(at(0))), (1, 0), "{name}");
        }
        for id in 0..12 {
            scheduler.submit(request(&long, 10, 10 + id, 1), at(1));
        }
        assert_eq!(counts(&scheduler.poll(at(1))).0, sent, "{name}");
        // The rest is for urgent requests.
        for id in 0..3 {
            scheduler.submit(request(&urgent, 10, 30 + id, 2), at(2));
        }
        let expected = if name == "two kinds" { 3 } else { 0 };
        assert_eq!(counts(&scheduler.poll(at(2))).0, expected, "{name}");
    }
}

#[test]
fn prefill_backlog_follows_the_shortest_objective() {
    // Guards against urgent prompts behind half a second of prefill, which is their whole
    // objective.
    let urgent = route(0, 500, 5_000);
    // The assumed rate is 60 tokens per millisecond.
    for (overload_control, tokens, sent) in
        [(false, 12_000, 1), (true, 12_000, 0), (true, 6_000, 1)]
    {
        let mut scheduler = gateway_of_one_engine(overload_control);
        scheduler.note_hints(vec![sent_hint(0, tokens, &[])], at(0));
        scheduler.submit(request(&urgent, 100, 1, 0), at(0));
        assert_eq!(counts(&scheduler.poll(at(0))).0, sent, "{tokens} tokens ahead");
    }
}

#[test]
fn long_streams_of_other_gateways_count_until_they_end() {
    // Guards against an engine full of long streams that looks idle after half a second, because
    // the count of other gateways' requests decays.
    let long = route(0, 1_500, 10_000);
    for overload_control in [false, true] {
        let mut scheduler = gateway_of_one_engine(overload_control);
        let hint = |request: u64, news: RequestUpdate| BackendHint {
            request,
            news,
            ..sent_hint(0, 0, &[])
        };
        let sent = RequestUpdate::Sent {
            answer: None,
            tokens: Some(10),
            parts: Vec::new(),
            holds_slot: true,
            workspace: None,
        };
        let held = (0..u64::from(SLOTS)).map(|id| hint(id, sent.clone()));
        scheduler.note_hints(held.collect(), at(0));
        let begun = RequestUpdate::Begun {
            pace: [0; 2],
            ago_us: 0,
            load: Some(BackendReport {
                running: SLOTS,
                waiting: 0,
                slots: SLOTS,
                slowdown_percent: None,
            }),
            limit: LimitUpdate { limit: None, ago_us: 0 },
        };
        scheduler.note_hints(vec![hint(u64::from(SLOTS) - 1, begun)], at(60));
        scheduler.submit(request(&long, 10, 1, 2_000), at(2_000));
        let is_sent = counts(&scheduler.poll(at(2_000))).0 == 1;
        assert_eq!(is_sent, !overload_control, "two seconds later");
        scheduler.note_hints(vec![hint(3, RequestUpdate::Ended)], at(2_010));
        assert_eq!(
            counts(&scheduler.poll(at(2_010))).0,
            usize::from(overload_control),
            "a free slot"
        );
    }
}

#[test]
fn ends_of_long_streams_are_reported() {
    // Guards against slots that other gateways count as held for ever, and against a message for
    // the end of each short request.
    let long = route(0, 1_500, 10_000);
    for (overload_control, held_ms, ends) in [(false, 900, 0), (true, 100, 0), (true, 900, 1)] {
        let mut scheduler = gateway_of_one_engine(overload_control);
        let mut reported = 0;
        // The first one shows how long slots are held.
        for (id, ms) in [(1, 0), (2, 2_000)] {
            let ticket = scheduler.submit(request(&long, 10, id, ms), at(ms));
            assert_eq!(counts(&scheduler.poll(at(ms))).0, 1);
            scheduler.note_progress(ticket, at(ms + 50));
            scheduler.end(ticket, WorkOutcome::Answered, at(ms + held_ms));
            let hints = scheduler.take_hints(at(ms + held_ms));
            reported += hints.iter().filter(|hint| hint.news == RequestUpdate::Ended).count();
        }
        assert_eq!(reported, ends, "{held_ms} ms, overload control {overload_control}");
    }
}

#[test]
fn most_urgent_requests_are_refused_once_they_are_late() {
    // Guards against urgent requests that wait for up to three times their objective, and then take
    // the slots of timely ones.
    struct Case {
        name: &'static str,
        overload_control: bool,
        is_long_seen: bool,
        refused: usize,
    }
    let cases = [
        Case { name: "off", overload_control: false, is_long_seen: true, refused: 0 },
        Case { name: "two kinds", overload_control: true, is_long_seen: true, refused: 1 },
        Case { name: "one kind", overload_control: true, is_long_seen: false, refused: 0 },
    ];
    let (urgent, long) = (route(0, 500, 5_000), route(2, 1_500, 10_000));
    for Case { name, overload_control, is_long_seen, refused } in cases {
        let mut scheduler = gateway_of_one_engine(overload_control);
        // 600 ms of prefill ahead, after which the first byte would be late.
        scheduler.note_hints(vec![sent_hint(0, 36_000, &[])], at(0));
        if is_long_seen {
            scheduler.submit(request(&long, 10, 1, 0), at(0));
        }
        let ticket = scheduler.submit(request(&urgent, 10, 2, 0), at(0));
        let decisions = scheduler.poll(at(0));
        let decided: Vec<&Decision> =
            decisions.iter().filter(|(t, _)| *t == ticket).map(|(_, d)| d).collect();
        assert_eq!(decided.len(), refused, "{name}");
        let is_too_late =
            |d: &&Decision| matches!(d, Decision::Refuse { reason: RefusalReason::TooLate, .. });
        assert!(decided.iter().all(is_too_late), "{name}");
    }
}

#[test]
fn refused_requests_are_told_different_times() {
    // Guards against hundreds of refused callers that return together and are refused again.
    let urgent = route(0, 500, 600);
    let mut scheduler = gateway_of_one_engine(true);
    scheduler.note_hints(vec![sent_hint(0, 60_000, &[])], at(0));
    let mut by_period = [0; 6];
    for id in 0..40 {
        scheduler.submit(request(&urgent, 10, id, 0), at(0));
    }
    let refused = scheduler.poll(at(0));
    assert_eq!(refused.len(), 40);
    for (_, decision) in refused {
        let Decision::Refuse { retry_after, .. } = decision else { continue };
        assert!((250..=2_500).contains(&retry_after.as_millis()), "{retry_after:?}");
        by_period[retry_after.as_millis() as usize / 500] += 1;
    }
    println!("{by_period:?}");
    // Nothing was placed yet, so one retry is expected in each period but the last.
    assert!(by_period[..3].iter().all(|count| *count <= 2), "{by_period:?}");
    // A caller that returns at once is recognised by its prompt and gets the rest of its time.
    let again = |scheduler: &mut Scheduler, ms: u64| {
        scheduler.submit(request(&urgent, 10, 0, ms), at(ms));
        match scheduler.poll(at(ms)).pop() {
            Some((_, Decision::Refuse { retry_after, .. })) => retry_after,
            other => panic!("{other:?}"),
        }
    };
    let first = again(&mut scheduler, 10);
    assert!(first < Duration::from_millis(1_000), "{first:?}");
}
