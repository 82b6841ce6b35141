//! Replacement of silent runs, and limits on searches for another place.

mod support;

use {
    futures::future::{join, join_all},
    gullglade_dispatch::{BackendInfo, Decision, Scheduler, SchedulerSettings, TicketId, WorkItem},
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::{RequestKind, ServicePool, TrafficRoute, WarmupRules},
    gullglade_units::{
        BackendName, FailureDomain, Incarnation, MonotonicTime, RegionName, ServiceName, VmName,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, fetch},
};

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };

const ALL: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";

const MINUTE: Duration = Duration::from_secs(60);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request_with_id(bed: &TestBed, id: &str) -> CallerRequest {
    CallerRequest { id: CallerRequestId::try_from(id).expect("an id"), ..bed.request() }
}

/// A stream of many events, a millisecond apart.
fn steady_stream(count: usize) -> ScriptedResponse {
    let chunks: Vec<&'static str> =
        (1..=count).map(|id| &*format!("id: {id}\ndata: a\n\n").leak()).collect();
    ScriptedResponse::events(&chunks)
}

#[test]
fn stream_deadline_does_not_mark_backend_suspect() {
    // Guards against a backend server that is treated as hung although it sent an event just before
    // the deadline of a stream.
    let bed = TestBed::new(&BedSettings { backends: (1, 0), ..BedSettings::of(RESUMABLE) });
    bed.script(
        0,
        &[
            BackendAction::Answer(steady_stream(500)),
            BackendAction::Answer(ScriptedResponse::events(&[ALL])),
        ],
    );
    let short = CallerRequest { caller_timeout: Some(ms(60)), ..bed.request() };
    let cut = bed.serve(short);
    assert!(cut.is_incomplete && cut.body.len() > 100, "{cut:?}");
    let began = bed.world.now();
    let next = bed.serve(bed.request());
    assert_eq!((next.status, next.body.as_str()), (200, ALL), "{:?}", bed.events.lines());
    let took = bed.world.now().since(began);
    assert!(took < ms(100), "the next request waited {took:?} for a suspect backend server");
}

#[test]
fn search_does_not_send_held_back_request() {
    // Guards against a search that sends a request under which three backend servers have ended to
    // another one.
    let bed = TestBed::new(&BedSettings { backends: (40, 0), ..BedSettings::of(RESUMABLE) });
    let poison_request =
        |id: &str| CallerRequest { body: "ends engines".into(), ..request_with_id(&bed, id) };
    let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, MINUTE);
    bed.script(0, &[BackendAction::Answer(silent.header("id", "silent"))]);
    let clock = bed.clock();
    let ends = async {
        clock.sleep(ms(100)).await;
        // Two attempts each.
        for id in ["one", "two"] {
            let action =
                BackendAction::Answer(ScriptedResponse::events(&[]).header("id", id).incomplete());
            bed.script(0, &[action.clone(), action]);
            fetch(bed.proxy(), poison_request(id)).await;
        }
        clock.sleep(ms(300)).await;
        let sent = bed.backends(0).arrivals.borrow().len();
        bed.script(0, &[BackendAction::Hang, BackendAction::Hang]);
        let held = fetch(bed.proxy(), poison_request("three")).await;
        assert_eq!(held.status, 502, "{held:?}");
        assert_eq!(bed.backends(0).arrivals.borrow().len(), sent, "held back");
        sent
    };
    let (_, sent) = bed.world.run_until(join(fetch(bed.proxy(), poison_request("silent")), ends));
    assert_eq!(bed.backends(0).arrivals.borrow().len(), sent, "sent by the search");
}

#[test]
fn search_ends_with_request_deadline() {
    // Guards against a stream that outlasts its deadline while its search waits for another region.
    for delay in [55, 250, 2_000] {
        let bed = TestBed::new(&BedSettings { backends: (1, 1), ..BedSettings::of(RESUMABLE) });
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, MINUTE);
        bed.script(0, &[BackendAction::Answer(silent)]);
        bed.script(1, &[BackendAction::Hang, BackendAction::Hang]);
        let began = bed.world.now();
        bed.link.set_delay(ms(delay));
        let request = CallerRequest { caller_timeout: Some(ms(1_500)), ..bed.request() };
        bed.serve(request);
        let took = bed.world.now().since(began);
        assert!(took <= ms(1_550), "link of {delay} ms: ended after {took:?}");
    }
}

#[test]
fn single_hung_run_is_replaced() {
    // Guards against waiting until the deadline for a run that hangs at a backend server that
    // responds to others.
    let bed = TestBed::new(&BedSettings { backends: (2, 0), ..BedSettings::of(RESUMABLE) });
    let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, MINUTE);
    bed.script(0, &[BackendAction::Answer(silent.header("id", "hung"))]);
    let clock = bed.clock();
    let others = async {
        clock.sleep(ms(50)).await;
        // The replacement of the hung run is one of these actions.
        let action =
            |id: &str| BackendAction::Answer(ScriptedResponse::events(&[ALL]).header("id", id));
        for round in 0..18 {
            let ids: Vec<String> = (0..4).map(|n| format!("other-{round}-{n}")).collect();
            bed.backends(0).clear_actions();
            bed.script(0, &ids.iter().map(|id| action(id)).collect::<Vec<_>>());
            join_all(ids.iter().map(|id| fetch(bed.proxy(), request_with_id(&bed, id)))).await;
            let rest = ScriptedResponse::events(&[REST]).header("id", "hung");
            bed.script(0, &[BackendAction::Answer(rest)]);
            clock.sleep(ms(200)).await;
        }
    };
    let hung = fetch(bed.proxy(), request_with_id(&bed, "hung"));
    let (response, ()) = bed.world.run_until(join(hung, others));
    assert!(!response.is_incomplete && response.body.contains("id: 3"), "{response:?}");
}

#[test]
fn hung_backend_gets_no_immediate_work() {
    // Guards against sending the next request to a backend server that has just hung.
    for (backends, there) in [((2, 0), 0), ((0, 2), 1)] {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(IDEMPOTENT) });
        let good = BackendAction::Answer(ScriptedResponse::signed(200, &["good"]));
        bed.script(there, &[BackendAction::Hang, good.clone()]);
        let response = bed.serve(bed.request());
        assert_eq!((response.status, response.body.as_str()), (200, "good"), "{backends:?}");
        bed.script(there, &vec![good; 4]);
        let response = bed.serve_concurrently(0, 4);
        assert!(response.iter().all(|response| response.status == 200));
        let arrivals = bed.backends(there).arrivals.borrow();
        let again = arrivals[1..].iter().filter(|a| a.address == arrivals[0].address).count();
        assert_eq!(again, 0, "{backends:?}");
    }
}

#[test]
fn request_queued_in_other_region_is_not_a_silent_run() {
    // Guards against a request that is queued in another region and taken for a hung one.
    let bed = TestBed::new(&BedSettings {
        backends: (0, 1),
        objective: Duration::from_secs(2),
        ..BedSettings::of(IDEMPOTENT)
    });
    let busy = ScriptedResponse::signed(200, &["busy"]).header("id", "busy").after(ms(1_800));
    let good = ScriptedResponse::signed(200, &["good"]).after(ms(300));
    bed.script(1, &vec![BackendAction::Answer(busy); 16]);
    bed.script(1, &vec![BackendAction::Answer(good); 2]);
    let fill = join_all((0..16).map(|_| fetch(bed.gateway(1), request_with_id(&bed, "busy"))));
    let clock = bed.clock();
    let own = async {
        clock.sleep(ms(50)).await;
        fetch(bed.proxy(), bed.request()).await
    };
    let (_, response) = bed.world.run_until(join(fill, own));
    assert_eq!((response.status, response.body.as_str()), (200, "good"), "{response:?}");
    let lines = bed.events.lines();
    let own = || lines.iter().filter(|line| line.contains("request=call-1"));
    let retries = own().filter(|line| line.starts_with("request.repeat_granted")).count();
    let arrivals = bed.backends(1).arrivals.borrow().len();
    let logged: Vec<_> = own().collect();
    assert_eq!((arrivals, retries), (17, 0), "arrivals and retries: {logged:#?}");
}

#[test]
fn reserved_place_at_leaving_backend_is_not_used() {
    // Guards against sending a request to a place whose backend server has announced meanwhile that
    // it leaves.
    for after in [260, 280, 300, 320, 340, 360] {
        let bed = TestBed::new(&BedSettings {
            backends: (1, 1),
            east_names: "e-",
            ..BedSettings::of(RESUMABLE)
        });
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, ms(2_000));
        bed.script(0, &[BackendAction::Answer(silent)]);
        let leaving = ScriptedResponse::events(&[ALL]).header("id", "other").header("leaving", "1");
        bed.script(1, &[BackendAction::Answer(leaving.after(ms(after))), BackendAction::Hang]);
        let clock = bed.clock();
        let other = async {
            clock.sleep(ms(1_000)).await;
            fetch(bed.other_proxy(), request_with_id(&bed, "other")).await
        };
        let (_, other) = bed.world.run_until(join(fetch(bed.proxy(), bed.request()), other));
        assert_eq!(other.status, 200);
        let arrivals = bed.backends(1).arrivals.borrow().len();
        assert_eq!(
            arrivals,
            1,
            "announced {after} ms after the second request: {:#?}",
            bed.events.lines()
        );
    }
}

#[test]
fn run_is_not_replaced_when_backend_responds_again() {
    // The backend server responds to others again before the place is found.
    let bed = TestBed::new(&BedSettings {
        backends: (1, 1),
        east_names: "e-",
        ..BedSettings::of(RESUMABLE)
    });
    let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, ms(2_000));
    let other = ScriptedResponse::events(&[ALL]).header("id", "other").after(ms(265));
    bed.script(0, &[BackendAction::Answer(silent), BackendAction::Answer(other)]);
    bed.script(1, &[BackendAction::Hang]);
    let clock = bed.clock();
    let other = async {
        clock.sleep(ms(1_000)).await;
        fetch(bed.proxy(), request_with_id(&bed, "other")).await
    };
    let (response, other) = bed.world.run_until(join(fetch(bed.proxy(), bed.request()), other));
    assert_eq!(other.body, ALL);
    assert_eq!(
        (response.is_incomplete, response.body.as_str()),
        (false, ALL),
        "{:#?}",
        bed.events.lines()
    );
}

#[test]
fn stream_survives_link_failure_during_replacement() {
    // Guards against cancelling the old run when the command to start the new one is lost.
    for cut_after in [1_300, 1_320, 1_340, 1_360, 1_380] {
        let bed = TestBed::new(&BedSettings {
            backends: (1, 1),
            east_names: "e-",
            ..BedSettings::of(RESUMABLE)
        });
        let silent = ScriptedResponse::events(&[FIRST, REST]).paused(1, ms(2_000));
        bed.script(0, &[BackendAction::Answer(silent)]);
        bed.script(1, &[BackendAction::Hang, BackendAction::Hang]);
        let clock = bed.clock();
        let cut = async {
            clock.sleep(ms(cut_after)).await;
            bed.link.partition(support::address(2), support::address(3));
        };
        let (response, ()) = bed.world.run_until(join(fetch(bed.proxy(), bed.request()), cut));
        let got = (response.is_incomplete, response.body.as_str());
        assert_eq!(got, (false, ALL), "cut after {cut_after} ms: {:#?}", bed.events.lines());
    }
}

#[test]
fn long_response_ends_at_request_deadline() {
    // Guards against waiting without limit for a plain response of more than 1 MiB that stalls
    // half-way.
    let bed = TestBed::new(&BedSettings::of(IDEMPOTENT));
    let long: &'static str = "x".repeat(3 << 20).leak();
    let script = ScriptedResponse::signed(200, &[long, "rest"]).paused(1, ms(10_000));
    bed.script(0, &[BackendAction::Answer(script)]);
    let began = bed.world.now();
    bed.serve(bed.request());
    let took = bed.world.now().since(began);
    assert!(took <= ms(4_500), "ended after {took:?} with a timeout of 4 s");
}

#[test]
fn unannounced_backend_is_at_work_while_it_responds() {
    // Guards against a stream of a leaving backend server that is taken for silent at its first
    // pause.
    let now = |millis: u64| MonotonicTime::default() + ms(1_000 + millis);
    let service = ServiceName::try_from("pool").expect("a name");
    let region = RegionName::try_from("west").expect("a name");
    let mut scheduler = Scheduler::new(SchedulerSettings {
        own: VmName::try_from("vm-1").expect("a name"),
        region,
        regions: 1,
        repeat_ratio: 0.2,
        repeat_slack: 50.0,
        repeat_window: Duration::from_secs(10),
        cold_rate_factor: 1.5,
        cold_rate_slack: 3.0,
        overload_control: false,
        weighs_cached_prefixes: false,
    });
    let pool = ServicePool {
        name: service.clone(),
        health_path: String::new(),
        connection_limit: 100,
        warmup: WarmupRules { duration: Duration::ZERO, requests_per_second: 0.0 },
        engine: None,
    };
    scheduler.set_configuration([Rc::new(pool)], &Rc::new(BTreeSet::new()), now(0));
    let facts = BackendInfo {
        name: BackendName::try_from("i-0").expect("a name"),
        incarnation: Incarnation(0),
        service: service.clone(),
        address: support::address(100),
        domain: FailureDomain::try_from("d").expect("a name"),
        slots: 8,
        is_serving: true,
        is_silent: false,
        cold_until: now(0),
    };
    scheduler.set_backends([facts], now(0));
    let ticket: TicketId = scheduler.submit(item(&service, now(0)), now(0));
    let verdicts = scheduler.poll(now(0));
    assert!(matches!(verdicts[0].1, Decision::Send { .. }));
    scheduler.note_progress(ticket, now(10));
    assert!(scheduler.is_at_work(ticket, now(20)));
    scheduler.set_backends([], now(30));
    scheduler.note_progress(ticket, now(40));
    assert!(scheduler.is_at_work(ticket, now(50)), "a chunk came 10 ms ago");
}

fn item(service: &ServiceName, now: MonotonicTime) -> WorkItem {
    let route = TrafficRoute {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/a/".to_owned(),
        kind: RESUMABLE,
        timeout: Duration::from_secs(5),
        objective: ms(300),
        priority: 0,
        targets: vec![],
        max_attempts: 2,
        has_affinity: false,
        gap_objective: Some(ms(300)),
        event_timeout: None,
        homes: vec![],
        is_public: true,
    };
    WorkItem {
        service: service.clone(),
        route: Rc::new(route),
        workspace: None,
        arrived: now,
        deadline: now + Duration::from_secs(5),
        first_byte_deadline: now + Duration::from_secs(5),
        prompt: None,
        tried: vec![],
        unreachable: vec![],
        returns_to: None,
        may_forward: true,
        is_new: true,
    }
}
