//! Runs that are silent, replaced or out of time: what else may end or blame one that is at work.

mod support;

use {
    futures::future::{join, join_all},
    gullglade_dispatch::{BackendInfo, Decision, Scheduler, SchedulerSettings, TicketId, WorkItem},
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::{ColdRules, RequestKind, ServicePool, TrafficRoute},
    gullglade_units::{
        BackendName, FailureDomain, Incarnation, MonotonicTime, RegionName, ServiceName, VmName,
    },
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    support::{BedSettings, Deed, Script, TestBed, take},
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

fn numbered(bed: &TestBed, id: &str) -> CallerRequest {
    CallerRequest { id: CallerRequestId::try_from(id).expect("an id"), ..bed.call() }
}

/// Many events, a millisecond apart.
fn steady(count: usize) -> Script {
    let pieces: Vec<&'static str> =
        (1..=count).map(|id| &*format!("id: {id}\ndata: a\n\n").leak()).collect();
    Script::events(&pieces)
}

#[test]
fn a_stream_that_reaches_its_deadline_blames_no_backend_server() {
    // A backend server that sent an event a millisecond before was left alone as if it hung.
    let bed = TestBed::new(&BedSettings { backends: (1, 0), ..BedSettings::of(RESUMABLE) });
    bed.script(0, &[Deed::Answer(steady(500)), Deed::Answer(Script::events(&[ALL]))]);
    let short = CallerRequest { caller_timeout: Some(ms(60)), ..bed.call() };
    let cut = bed.serve(short);
    assert!(cut.is_broken && cut.body.len() > 100, "{cut:?}");
    let began = bed.world.now();
    let next = bed.serve(bed.call());
    assert_eq!((next.status, next.body.as_str()), (200, ALL), "{:?}", bed.events.lines());
    let took = bed.world.now().since(began);
    assert!(took < ms(100), "the next request waited {took:?} for a suspect");
}

#[test]
fn a_search_sends_nothing_that_is_held_back() {
    // A request under which three backend servers had ended was sent to another one.
    let bed = TestBed::new(&BedSettings { backends: (40, 0), ..BedSettings::of(RESUMABLE) });
    let poison = |id: &str| CallerRequest { body: "ends engines".into(), ..numbered(&bed, id) };
    let silent = Script::events(&[FIRST, REST]).paused(1, MINUTE);
    bed.script(0, &[Deed::Answer(silent.header("id", "silent"))]);
    let clock = bed.clock();
    let ends = async {
        clock.sleep(ms(100)).await;
        // Two attempts each.
        for id in ["one", "two"] {
            let deed = Deed::Answer(Script::events(&[]).header("id", id).broken());
            bed.script(0, &[deed.clone(), deed]);
            take(bed.proxy(), poison(id)).await;
        }
        clock.sleep(ms(300)).await;
        let sent = bed.backends(0).arrivals.borrow().len();
        bed.script(0, &[Deed::Hang, Deed::Hang]);
        let held = take(bed.proxy(), poison("three")).await;
        assert_eq!(held.status, 502, "{held:?}");
        assert_eq!(bed.backends(0).arrivals.borrow().len(), sent, "held back");
        sent
    };
    let (_, sent) = bed.world.run_until(join(take(bed.proxy(), poison("silent")), ends));
    assert_eq!(bed.backends(0).arrivals.borrow().len(), sent, "sent by the search");
}

#[test]
fn a_search_does_not_outlast_the_time_of_its_request() {
    // A stream ended long after the caller's deadline: its search waited for another region.
    for delay in [55, 250, 2_000] {
        let bed = TestBed::new(&BedSettings { backends: (1, 1), ..BedSettings::of(RESUMABLE) });
        let silent = Script::events(&[FIRST, REST]).paused(1, MINUTE);
        bed.script(0, &[Deed::Answer(silent)]);
        bed.script(1, &[Deed::Hang, Deed::Hang]);
        let began = bed.world.now();
        bed.link.set_delay(ms(delay));
        let call = CallerRequest { caller_timeout: Some(ms(1_500)), ..bed.call() };
        bed.serve(call);
        let took = bed.world.now().since(began);
        assert!(took <= ms(1_550), "link of {delay} ms: ended after {took:?}");
    }
}

#[test]
fn a_run_that_hangs_alone_is_replaced() {
    // A run that hung at a backend server that answers others was waited for to the deadline.
    let bed = TestBed::new(&BedSettings { backends: (2, 0), ..BedSettings::of(RESUMABLE) });
    let silent = Script::events(&[FIRST, REST]).paused(1, MINUTE);
    bed.script(0, &[Deed::Answer(silent.header("id", "hung"))]);
    let clock = bed.clock();
    let others = async {
        clock.sleep(ms(50)).await;
        // The hung run's replacement is one of them.
        let deed = |id: &str| Deed::Answer(Script::events(&[ALL]).header("id", id));
        for round in 0..18 {
            let ids: Vec<String> = (0..4).map(|n| format!("other-{round}-{n}")).collect();
            bed.backends(0).forget_deeds();
            bed.script(0, &ids.iter().map(|id| deed(id)).collect::<Vec<_>>());
            join_all(ids.iter().map(|id| take(bed.proxy(), numbered(&bed, id)))).await;
            let rest = Script::events(&[REST]).header("id", "hung");
            bed.script(0, &[Deed::Answer(rest)]);
            clock.sleep(ms(200)).await;
        }
    };
    let hung = take(bed.proxy(), numbered(&bed, "hung"));
    let (served, ()) = bed.world.run_until(join(hung, others));
    assert!(!served.is_broken && served.body.contains("id: 3"), "{served:?}");
}

#[test]
fn a_backend_server_that_hung_gets_no_work_at_once_again() {
    // The next request went to the backend server from which nothing had come.
    for (backends, there) in [((2, 0), 0), ((0, 2), 1)] {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(IDEMPOTENT) });
        let good = Deed::Answer(Script::signed(200, &["good"]));
        bed.script(there, &[Deed::Hang, good.clone()]);
        let served = bed.serve(bed.call());
        assert_eq!((served.status, served.body.as_str()), (200, "good"), "{backends:?}");
        bed.script(there, &vec![good; 4]);
        let served = bed.serve_together(0, 4);
        assert!(served.iter().all(|served| served.status == 200));
        let arrivals = bed.backends(there).arrivals.borrow();
        let again = arrivals[1..].iter().filter(|a| a.address == arrivals[0].address).count();
        assert_eq!(again, 0, "{backends:?}");
    }
}

#[test]
fn a_request_in_the_queue_of_another_region_is_no_silent_run() {
    // A request that waited for its turn in another region was taken for one that hung there.
    let bed = TestBed::new(&BedSettings {
        backends: (0, 1),
        objective: Duration::from_secs(2),
        ..BedSettings::of(IDEMPOTENT)
    });
    let busy = Script::signed(200, &["busy"]).header("id", "busy").after(ms(1_800));
    let good = Script::signed(200, &["good"]).after(ms(300));
    bed.script(1, &vec![Deed::Answer(busy); 16]);
    bed.script(1, &vec![Deed::Answer(good); 2]);
    let fill = join_all((0..16).map(|_| take(bed.gateway(1), numbered(&bed, "busy"))));
    let clock = bed.clock();
    let own = async {
        clock.sleep(ms(50)).await;
        take(bed.proxy(), bed.call()).await
    };
    let (_, served) = bed.world.run_until(join(fill, own));
    assert_eq!((served.status, served.body.as_str()), (200, "good"), "{served:?}");
    let lines = bed.events.lines();
    let own = || lines.iter().filter(|line| line.contains("request=call-1"));
    let repeats = own().filter(|line| line.starts_with("request.repeat_granted")).count();
    let arrivals = bed.backends(1).arrivals.borrow().len();
    let told: Vec<_> = own().collect();
    assert_eq!((arrivals, repeats), (17, 0), "arrivals and repeats: {told:#?}");
}

#[test]
fn a_place_that_is_held_is_not_used_at_a_backend_server_that_leaves() {
    // A request was sent to a backend server that had said that it leaves.
    for after in [260, 280, 300, 320, 340, 360] {
        let bed = TestBed::new(&BedSettings {
            backends: (1, 1),
            east_names: "e-",
            ..BedSettings::of(RESUMABLE)
        });
        let silent = Script::events(&[FIRST, REST]).paused(1, ms(2_000));
        bed.script(0, &[Deed::Answer(silent)]);
        let leaving = Script::events(&[ALL]).header("id", "other").header("leaving", "1");
        bed.script(1, &[Deed::Answer(leaving.after(ms(after))), Deed::Hang]);
        let clock = bed.clock();
        let other = async {
            clock.sleep(ms(1_000)).await;
            take(bed.other_proxy(), numbered(&bed, "other")).await
        };
        let (_, other) = bed.world.run_until(join(take(bed.proxy(), bed.call()), other));
        assert_eq!(other.status, 200);
        let arrivals = bed.backends(1).arrivals.borrow().len();
        assert_eq!(arrivals, 1, "said {after} ms after the second: {:#?}", bed.events.lines());
    }
}

#[test]
fn a_run_whose_backend_server_is_at_work_again_is_not_replaced() {
    // The backend server answered others again before the place was found.
    let bed = TestBed::new(&BedSettings {
        backends: (1, 1),
        east_names: "e-",
        ..BedSettings::of(RESUMABLE)
    });
    let silent = Script::events(&[FIRST, REST]).paused(1, ms(2_000));
    let other = Script::events(&[ALL]).header("id", "other").after(ms(265));
    bed.script(0, &[Deed::Answer(silent), Deed::Answer(other)]);
    bed.script(1, &[Deed::Hang]);
    let clock = bed.clock();
    let other = async {
        clock.sleep(ms(1_000)).await;
        take(bed.proxy(), numbered(&bed, "other")).await
    };
    let (served, other) = bed.world.run_until(join(take(bed.proxy(), bed.call()), other));
    assert_eq!(other.body, ALL);
    assert_eq!((served.is_broken, served.body.as_str()), (false, ALL), "{:#?}", bed.events.lines());
}

#[test]
fn a_stream_survives_a_link_that_breaks_while_its_run_is_replaced() {
    // The old run was ended, and the word that the new one may begin was lost.
    for cut_after in [1_300, 1_320, 1_340, 1_360, 1_380] {
        let bed = TestBed::new(&BedSettings {
            backends: (1, 1),
            east_names: "e-",
            ..BedSettings::of(RESUMABLE)
        });
        let silent = Script::events(&[FIRST, REST]).paused(1, ms(2_000));
        bed.script(0, &[Deed::Answer(silent)]);
        bed.script(1, &[Deed::Hang, Deed::Hang]);
        let clock = bed.clock();
        let cut = async {
            clock.sleep(ms(cut_after)).await;
            bed.link.partition(support::address(2), support::address(3));
        };
        let (served, ()) = bed.world.run_until(join(take(bed.proxy(), bed.call()), cut));
        let got = (served.is_broken, served.body.as_str());
        assert_eq!(got, (false, ALL), "cut after {cut_after} ms: {:#?}", bed.events.lines());
    }
}

#[test]
fn a_long_answer_ends_with_the_time_of_its_request() {
    // A plain answer of more than a megabyte that stopped half way was waited for without end.
    let bed = TestBed::new(&BedSettings::of(IDEMPOTENT));
    let long: &'static str = "x".repeat(3 << 20).leak();
    let script = Script::signed(200, &[long, "rest"]).paused(1, ms(10_000));
    bed.script(0, &[Deed::Answer(script)]);
    let began = bed.world.now();
    bed.serve(bed.call());
    let took = bed.world.now().since(began);
    assert!(took <= ms(4_500), "ended {took:?} after it came, with 4 s to live");
}

#[test]
fn a_backend_server_that_is_announced_no_more_is_at_work_while_it_answers() {
    // A stream of a backend server that leaves was taken for silent at its first pause.
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
        cold_over: 1.5,
        cold_slack: 3.0,
    });
    let pool = ServicePool {
        name: service.clone(),
        health_path: String::new(),
        connection_limit: 100,
        cold: ColdRules { duration: Duration::ZERO, requests_per_second: 0.0 },
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
    assert!(scheduler.is_at_work(ticket, now(50)), "a piece came 10 ms ago");
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
        event_patience: None,
        homes: vec![],
        is_public: true,
    };
    WorkItem {
        service: service.clone(),
        route: Rc::new(route),
        workspace: None,
        arrived: now,
        ends: now + Duration::from_secs(5),
        first_byte_deadline: now + Duration::from_secs(5),
        prompt: None,
        tried: vec![],
        returns_to: None,
        may_forward: true,
        is_new: true,
    }
}
