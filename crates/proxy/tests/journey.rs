//! Requests on their way: what is sent again, what callers get, and what they never get.

mod support;

use {
    futures::future::join,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed},
};

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const ONCE: RequestKind = RequestKind::AtMostOnce;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const STREAM: RequestKind = RequestKind::Stream { resumable: false };

fn answer(status: u16, body: &'static str) -> Deed {
    Deed::Answer(Script::signed(status, &[body]))
}

#[test]
fn plain_requests_are_sent_again_only_where_that_does_no_harm() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        deeds: Vec<Deed>,
        status: u16,
        body: Option<&'static str>,
    }
    let good = || answer(200, "good");
    let shed = || Deed::Answer(Script::signed(503, &[]).header("not-run", "1"));
    let other = || Deed::Answer(Script::signed(421, &[]).header("other-run", "1"));
    let late = || Deed::Answer(Script::signed(200, &["other's"]).header("id", "call-0"));
    let unsigned = || Deed::Answer(Script::signed(200, &["made up"]).without("signed"));
    let encoded = || Deed::Answer(Script::signed(200, &["zip"]).header("content-encoding", "gzip"));
    let broken = || Deed::Answer(Script::signed(200, &["go"]).broken());
    let busy = || Deed::Answer(Script::signed(503, &["busy"]).without("signed"));
    let signed_busy = || answer(503, "busy");
    let cases = vec![
        Case { what: "good", kind: ONCE, deeds: vec![good()], status: 200, body: Some("good") },
        Case {
            what: "shed, then good",
            kind: ONCE,
            deeds: vec![shed(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "another run, then good",
            kind: ONCE,
            deeds: vec![other(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "unreachable, then good",
            kind: ONCE,
            deeds: vec![Deed::Unreachable, good()],
            status: 200,
            body: Some("good"),
        },
        Case { what: "closed", kind: ONCE, deeds: vec![Deed::Close], status: 502, body: None },
        Case {
            what: "closed, then good",
            kind: IDEMPOTENT,
            deeds: vec![Deed::Close, good()],
            status: 200,
            body: Some("good"),
        },
        Case { what: "another's", kind: ONCE, deeds: vec![late()], status: 502, body: None },
        Case {
            what: "another's, then good",
            kind: IDEMPOTENT,
            deeds: vec![late(), good()],
            status: 200,
            body: Some("good"),
        },
        Case { what: "unsigned", kind: ONCE, deeds: vec![unsigned()], status: 502, body: None },
        Case { what: "encoded", kind: ONCE, deeds: vec![encoded()], status: 502, body: None },
        Case { what: "half", kind: ONCE, deeds: vec![broken()], status: 502, body: None },
        Case {
            what: "half, then good",
            kind: IDEMPOTENT,
            deeds: vec![broken(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "its own failure",
            kind: ONCE,
            deeds: vec![answer(500, "sorry")],
            status: 500,
            body: Some("sorry"),
        },
        Case {
            what: "its own failure, then good",
            kind: IDEMPOTENT,
            deeds: vec![answer(500, "sorry"), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "its own failure twice",
            kind: IDEMPOTENT,
            deeds: vec![answer(500, "sorry"), answer(500, "again")],
            status: 500,
            body: Some("again"),
        },
        Case {
            what: "its own failure, then closed",
            kind: IDEMPOTENT,
            deeds: vec![answer(500, "sorry"), Deed::Close],
            status: 500,
            body: Some("sorry"),
        },
        Case {
            what: "a status that promises what it did not say",
            kind: ONCE,
            deeds: vec![signed_busy()],
            status: 502,
            body: None,
        },
        Case {
            what: "the same unsigned",
            kind: ONCE,
            deeds: vec![busy()],
            status: 502,
            body: None,
        },
        Case {
            what: "a refusal of its own",
            kind: ONCE,
            deeds: vec![answer(404, "no such order")],
            status: 404,
            body: Some("no such order"),
        },
        Case {
            what: "shed by all",
            kind: ONCE,
            deeds: vec![shed(), shed(), shed(), shed()],
            status: 503,
            body: None,
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings::of(case.kind));
        bed.script(0, &case.deeds);
        let served = bed.serve(bed.call());
        assert_eq!(served.status, case.status, "{}: {served:?}", case.what);
        assert!(!served.is_broken, "{}", case.what);
        if let Some(body) = case.body {
            assert_eq!(served.body, body, "{}", case.what);
        }
        let promises = matches!(served.status, 429 | 503);
        assert_eq!(served.headers.contains_key("retry-after"), promises, "{}", case.what);
        let reachable = case.deeds.iter().filter(|d| !matches!(d, Deed::Unreachable)).count();
        assert_eq!(bed.backends(0).arrivals.borrow().len(), reachable, "{}: sends", case.what);
    }
}

#[test]
fn a_request_passes_through_unchanged() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    bed.script(0, &[answer(200, "good")]);
    bed.serve(bed.call());
    let arrivals = bed.backends(0).arrivals.borrow();
    let arrival = &arrivals[0];
    assert_eq!((arrival.target.as_str(), &arrival.body[..]), ("/a/b?c=d", &b"question"[..]));
    assert_eq!(arrival.headers["own"], "kept");
    assert!(arrival.headers["run"].to_str().is_ok_and(|run| run.starts_with("i-")));
    let left: u64 = arrival.headers["left"].to_str().expect("text").parse().expect("a number");
    assert!((3_500..=4_000).contains(&left), "{left}");
}

#[test]
fn what_no_route_covers_is_told_so() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    let mut call = bed.call();
    call.target = "/other".to_owned();
    assert_eq!(bed.serve(call).status, 404);
}

/// Guards against callers who wait for longer than their route allows.
#[test]
fn the_routes_timeout_ends_what_hangs() {
    let settings = BedSettings { timeout: Duration::from_secs(2), ..BedSettings::of(ONCE) };
    let bed = TestBed::new(&settings);
    bed.script(0, &[Deed::Hang]);
    let began = bed.world.now();
    assert_eq!(bed.serve(bed.call()).status, 504);
    let took = bed.world.now().since(began);
    assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(2_100), "{took:?}");
    assert_eq!(bed.backends(0).cancelled.get(), 1, "nobody works on it any more");
}

#[test]
fn a_repeatable_request_that_hangs_is_asked_for_elsewhere() {
    let bed = TestBed::new(&BedSettings::of(IDEMPOTENT));
    bed.script(0, &[Deed::Hang, answer(200, "good")]);
    let began = bed.world.now();
    assert_eq!(bed.serve(bed.call()).status, 200);
    assert!(bed.world.now().since(began) < Duration::from_millis(500));
    let arrivals = bed.backends(0).arrivals.borrow();
    assert_ne!(arrivals[0].address, arrivals[1].address);
    assert_eq!(bed.backends(0).cancelled.get(), 1);
}

/// Guards against backend servers that work for callers who have hung up, in any region.
#[test]
fn a_caller_who_leaves_cancels_the_work() {
    for backends in [(2, 0), (0, 2)] {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(ONCE) });
        let there = usize::from(backends.0 == 0);
        bed.script(there, &[Deed::Hang]);
        let proxy = bed.proxy().clone();
        let mut serving = Box::pin(proxy.serve(bed.call()));
        bed.world.run_until(futures::future::poll_fn(|context| {
            assert!(serving.as_mut().poll(context).is_pending());
            std::task::Poll::Ready(())
        }));
        bed.world.run_for(Duration::from_millis(200));
        bed.world.run_until(futures::future::poll_fn(|context| {
            assert!(serving.as_mut().poll(context).is_pending());
            std::task::Poll::Ready(())
        }));
        bed.world.run_for(Duration::from_millis(200));
        assert_eq!(bed.backends(there).arrivals.borrow().len(), 1, "{backends:?}");
        drop(serving);
        bed.world.run_for(Duration::from_millis(400));
        assert_eq!(bed.backends(there).cancelled.get(), 1, "{backends:?}");
    }
}

#[test]
fn streams_reach_the_caller_in_whole_events_and_in_order() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        deeds: Vec<Deed>,
        body: &'static str,
        is_broken: bool,
        resumed_after: Option<&'static str>,
    }
    let events = |pieces: &[&'static str]| Deed::Answer(Script::events(pieces));
    let cut = |pieces: &[&'static str]| Deed::Answer(Script::events(pieces).broken());
    let all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    let cases = vec![
        Case {
            what: "whole",
            kind: STREAM,
            deeds: vec![events(&[
                "id: 1\ndata: a\n\nid: 2\nda",
                "ta: b\n\n",
                "id: 3\ndata: c\n\n",
            ])],
            body: all,
            is_broken: false,
            resumed_after: None,
        },
        Case {
            what: "broken inside an event, resumed",
            kind: RESUMABLE,
            deeds: vec![
                cut(&["id: 1\ndata: a\n\nid: 2\ndata"]),
                events(&["id: 2\ndata: b\n\nid: 3\ndata: c\n\n"]),
            ],
            body: all,
            is_broken: false,
            resumed_after: Some("1"),
        },
        Case {
            what: "ended inside an event, resumed",
            kind: RESUMABLE,
            deeds: vec![
                events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"]),
                events(&["id: 3\ndata: c\n\n"]),
            ],
            body: all,
            is_broken: false,
            resumed_after: Some("2"),
        },
        Case {
            what: "broken before its first event, asked for again",
            kind: RESUMABLE,
            deeds: vec![cut(&[]), events(&[all])],
            body: all,
            is_broken: false,
            resumed_after: None,
        },
        Case {
            what: "the second run repeats an event",
            kind: RESUMABLE,
            deeds: vec![cut(&["id: 1\ndata: a\n\n"]), events(&["id: 1\ndata: a\n\n"])],
            body: "id: 1\ndata: a\n\n",
            is_broken: true,
            resumed_after: Some("1"),
        },
        Case {
            what: "broken, may not be resumed",
            kind: STREAM,
            deeds: vec![cut(&["id: 1\ndata: a\n\nid: 2\ndata"])],
            body: "id: 1\ndata: a\n\n",
            is_broken: true,
            resumed_after: None,
        },
        Case {
            what: "broken twice",
            kind: RESUMABLE,
            deeds: vec![cut(&["id: 1\ndata: a\n\n"]), cut(&["id: 2\ndata: b\n\n"])],
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            is_broken: true,
            resumed_after: Some("1"),
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings::of(case.kind));
        bed.script(0, &case.deeds);
        let served = bed.serve(bed.call());
        assert_eq!(served.status, 200, "{}", case.what);
        assert_eq!(served.body, case.body, "{}", case.what);
        assert_eq!(served.is_broken, case.is_broken, "{}", case.what);
        let arrivals = bed.backends(0).arrivals.borrow();
        assert_eq!(arrivals.len(), case.deeds.len(), "{}", case.what);
        let after = arrivals.last().and_then(|a| a.headers.get("after")?.to_str().ok());
        assert_eq!(after, case.resumed_after, "{}", case.what);
    }
}

#[test]
fn a_region_without_backend_servers_has_its_requests_served_by_the_other() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        homes: &'static [&'static str],
        deeds: Vec<Deed>,
        status: u16,
    }
    let cases = [
        Case {
            what: "served there",
            kind: ONCE,
            homes: &[],
            deeds: vec![answer(200, "good")],
            status: 200,
        },
        Case {
            what: "its home is there",
            kind: ONCE,
            homes: &["east"],
            deeds: vec![answer(200, "good")],
            status: 200,
        },
        Case { what: "its home is here", kind: ONCE, homes: &["west"], deeds: vec![], status: 503 },
        Case {
            what: "closed there",
            kind: ONCE,
            homes: &[],
            deeds: vec![Deed::Close],
            status: 502,
        },
        Case {
            what: "closed there, then good",
            kind: IDEMPOTENT,
            homes: &[],
            deeds: vec![Deed::Close, answer(200, "good")],
            status: 200,
        },
    ];
    for case in cases {
        let settings =
            BedSettings { homes: case.homes, backends: (0, 2), ..BedSettings::of(case.kind) };
        let bed = TestBed::new(&settings);
        bed.script(1, &case.deeds);
        let served = bed.serve(bed.call());
        assert_eq!(served.status, case.status, "{}: {served:?}", case.what);
        assert_eq!(bed.backends(1).arrivals.borrow().len(), case.deeds.len(), "{}", case.what);
    }
}

/// Guards against a stop that waits for its own callers only and cuts those of other regions.
#[test]
fn a_stop_waits_for_answers_to_other_regions() {
    const ANSWER: Duration = Duration::from_millis(900);
    let bed = TestBed::new(&BedSettings { backends: (0, 2), ..BedSettings::of(STREAM) });
    let script = Script { after: ANSWER, ..Script::events(&["id: 1\ndata: a\n\n"]) };
    bed.script(1, &[Deed::Answer(script)]);
    let began = bed.world.now();
    let stop = async {
        bed.other_proxy().wait_for_forwards().await;
        let idle = bed.world.now().since(began);
        assert!(idle < Duration::from_millis(200), "nothing to wait for, but {idle:?}");
        bed.other_proxy().wait_for_forwards().await;
        bed.world.now().since(began)
    };
    let caller = async {
        let pause = Duration::from_millis(110);
        bed.world.process().context().clock.sleep(pause).await;
        support::take(bed.proxy(), bed.call()).await
    };
    let (stopped, served) = bed.world.run_until(join(stop, caller));
    assert_eq!((served.status, served.is_broken), (200, false), "{served:?}");
    assert!(stopped >= ANSWER, "the stop waited only {stopped:?}");
}

/// Guards against requests that wait to their end for a region that is cut off.
#[test]
fn a_forward_into_a_broken_link_is_given_up_soon() {
    for (kind, status) in [(IDEMPOTENT, 503), (ONCE, 504)] {
        let bed = TestBed::new(&BedSettings { backends: (0, 2), ..BedSettings::of(kind) });
        bed.link.isolate(support::address(3), &[support::address(2)]);
        let began = bed.world.now();
        let served = bed.serve(bed.call());
        let took = bed.world.now().since(began);
        assert_ne!(served.status, 200);
        if kind == IDEMPOTENT {
            assert!(took < Duration::from_millis(1_000), "{took:?}");
        }
        // What may have arrived there is never told as not run, unless it may be repeated.
        assert!(kind == IDEMPOTENT || served.status != 503, "{served:?}, expected {status}");
    }
}

#[test]
fn a_failure_is_told_with_its_id_and_reason() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    bed.script(0, &[Deed::Close]);
    bed.serve(bed.call());
    let lines = bed.events.lines();
    let has = |kind: &str, part: &str| {
        lines
            .iter()
            .any(|l| l.starts_with(kind) && l.contains("request=call-1") && l.contains(part))
    };
    assert!(has("request.placed", "backend=i-"), "{lines:#?}");
    assert!(has("request.attempt_failed", "reason=broken"), "{lines:#?}");
    assert!(has("request.unknown", "reason=broken"), "{lines:#?}");
}

/// Guards against refusals by gateways that start and will have a configuration in a moment.
#[test]
fn what_comes_before_the_configuration_waits_for_it() {
    struct Case {
        what: &'static str,
        /// How long after the request the control process is there, milliseconds.
        control_ms: u64,
        patience_ms: u64,
        status: u16,
        /// The longest that the caller may be kept, milliseconds.
        within_ms: u64,
    }
    let case = |what, control_ms, patience_ms, status, within_ms| Case {
        what,
        control_ms,
        patience_ms,
        status,
        within_ms,
    };
    let cases = [
        case("the configuration is there", 0, 4_000, 200, 50),
        case("it comes in time", 400, 4_000, 200, 800),
        case("it comes too late for anyone", 3_000, 9_000, 503, 1_050),
        case("it comes too late for this one", 900, 1_200, 503, 450),
    ];
    for case in cases {
        let settings = BedSettings {
            control_after: Duration::from_millis(case.control_ms),
            ..BedSettings::of(ONCE)
        };
        let bed = TestBed::new(&settings);
        bed.script(0, &[answer(200, "good")]);
        let mut call = bed.call();
        call.caller_timeout = Some(Duration::from_millis(case.patience_ms));
        let began = bed.world.now();
        let served = bed.serve(call);
        let took = bed.world.now().since(began);
        assert_eq!(served.status, case.status, "{}: {served:?}", case.what);
        assert!(took <= Duration::from_millis(case.within_ms), "{}: {took:?}", case.what);
        let is_told = served.headers.contains_key("retry-after");
        assert_eq!(is_told, case.status == 503, "{}", case.what);
    }
}
