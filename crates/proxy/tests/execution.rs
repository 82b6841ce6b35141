//! Execution of requests: which are retried, and which responses reach callers.

mod support;

use {
    futures::future::join,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;
const ONCE: RequestKind = RequestKind::AtMostOnce;
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const STREAM: RequestKind = RequestKind::Stream { resumable: false };

fn response(status: u16, body: &'static str) -> BackendAction {
    BackendAction::Answer(ScriptedResponse::signed(status, &[body]))
}

#[test]
fn plain_requests_are_retried_only_when_safe() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        actions: Vec<BackendAction>,
        status: u16,
        body: Option<&'static str>,
    }
    let good = || response(200, "good");
    let shed = || BackendAction::Answer(ScriptedResponse::signed(503, &[]).header("not-run", "1"));
    let other =
        || BackendAction::Answer(ScriptedResponse::signed(421, &[]).header("other-run", "1"));
    let late = || {
        BackendAction::Answer(ScriptedResponse::signed(200, &["other's"]).header("id", "call-0"))
    };
    let unsigned =
        || BackendAction::Answer(ScriptedResponse::signed(200, &["made up"]).without("signed"));
    let encoded = || {
        BackendAction::Answer(
            ScriptedResponse::signed(200, &["zip"]).header("content-encoding", "gzip"),
        )
    };
    let incomplete = || BackendAction::Answer(ScriptedResponse::signed(200, &["go"]).incomplete());
    let busy = || BackendAction::Answer(ScriptedResponse::signed(503, &["busy"]).without("signed"));
    let signed_busy = || response(503, "busy");
    let cases = vec![
        Case { what: "good", kind: ONCE, actions: vec![good()], status: 200, body: Some("good") },
        Case {
            what: "shed, then good",
            kind: ONCE,
            actions: vec![shed(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "another instance, then good",
            kind: ONCE,
            actions: vec![other(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "unreachable, then good",
            kind: ONCE,
            actions: vec![BackendAction::Unreachable, good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "closed",
            kind: ONCE,
            actions: vec![BackendAction::Close],
            status: 502,
            body: None,
        },
        Case {
            what: "closed, then good",
            kind: IDEMPOTENT,
            actions: vec![BackendAction::Close, good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "response to another request",
            kind: ONCE,
            actions: vec![late()],
            status: 502,
            body: None,
        },
        Case {
            what: "response to another request, then good",
            kind: IDEMPOTENT,
            actions: vec![late(), good()],
            status: 200,
            body: Some("good"),
        },
        Case { what: "unsigned", kind: ONCE, actions: vec![unsigned()], status: 502, body: None },
        Case { what: "encoded", kind: ONCE, actions: vec![encoded()], status: 502, body: None },
        Case {
            what: "incomplete",
            kind: ONCE,
            actions: vec![incomplete()],
            status: 502,
            body: None,
        },
        Case {
            what: "incomplete, then good",
            kind: IDEMPOTENT,
            actions: vec![incomplete(), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "backend error",
            kind: ONCE,
            actions: vec![response(500, "sorry")],
            status: 500,
            body: Some("sorry"),
        },
        Case {
            what: "backend error, then good",
            kind: IDEMPOTENT,
            actions: vec![response(500, "sorry"), good()],
            status: 200,
            body: Some("good"),
        },
        Case {
            what: "backend error twice",
            kind: IDEMPOTENT,
            actions: vec![response(500, "sorry"), response(500, "again")],
            status: 500,
            body: Some("again"),
        },
        Case {
            what: "backend error, then closed",
            kind: IDEMPOTENT,
            actions: vec![response(500, "sorry"), BackendAction::Close],
            status: 500,
            body: Some("sorry"),
        },
        Case {
            what: "a status that implies not run without stating it",
            kind: ONCE,
            actions: vec![signed_busy()],
            status: 502,
            body: None,
        },
        Case {
            what: "the same, unsigned",
            kind: ONCE,
            actions: vec![busy()],
            status: 502,
            body: None,
        },
        Case {
            what: "client error of the backend",
            kind: ONCE,
            actions: vec![response(404, "no such order")],
            status: 404,
            body: Some("no such order"),
        },
        Case {
            what: "shed by all",
            kind: ONCE,
            actions: vec![shed(), shed(), shed(), shed()],
            status: 503,
            body: None,
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings::of(case.kind));
        bed.script(0, &case.actions);
        let response = bed.serve(bed.request());
        assert_eq!(response.status, case.status, "{}: {response:?}", case.what);
        assert!(!response.is_incomplete, "{}", case.what);
        if let Some(body) = case.body {
            assert_eq!(response.body, body, "{}", case.what);
        }
        let promises = matches!(response.status, 429 | 503);
        assert_eq!(response.headers.contains_key("retry-after"), promises, "{}", case.what);
        let reachable =
            case.actions.iter().filter(|d| !matches!(d, BackendAction::Unreachable)).count();
        assert_eq!(bed.backends(0).arrivals.borrow().len(), reachable, "{}: sends", case.what);
    }
}

/// Guards against a late reply to another request that states no id and is taken for the reply to
/// this one.
#[test]
fn replies_without_an_id_count_only_on_connections_without_an_earlier_request() {
    struct Case {
        what: &'static str,
        response: ScriptedResponse,
        status: u16,
        sends: usize,
    }
    let rejection = || ScriptedResponse::signed(503, &[]).header("not-run", "1").without("id");
    let misdirected = || ScriptedResponse::signed(421, &[]).header("other-run", "1").without("id");
    let failure = || ScriptedResponse::signed(500, &["sorry"]).without("id");
    let cases = [
        Case { what: "rejection", response: rejection(), status: 200, sends: 2 },
        Case { what: "late rejection", response: rejection().carried(1), status: 502, sends: 1 },
        Case { what: "421", response: misdirected(), status: 200, sends: 2 },
        Case { what: "late 421", response: misdirected().carried(1), status: 502, sends: 1 },
        Case { what: "error", response: failure(), status: 500, sends: 1 },
        Case { what: "late error", response: failure().carried(1), status: 502, sends: 1 },
        Case {
            what: "rejection with its id on a used connection",
            response: rejection().header("id", "call-1").carried(1),
            status: 200,
            sends: 2,
        },
    ];
    for Case { what, response, status, sends } in cases {
        let bed = TestBed::new(&BedSettings::of(ONCE));
        bed.script(0, &[BackendAction::Answer(response), self::response(200, "good")]);
        assert_eq!(bed.serve(bed.request()).status, status, "{what}");
        assert_eq!(bed.backends(0).arrivals.borrow().len(), sends, "{what}");
    }
}

#[test]
fn request_is_sent_unchanged() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    bed.script(0, &[response(200, "good")]);
    bed.serve(bed.request());
    let arrivals = bed.backends(0).arrivals.borrow();
    let arrival = &arrivals[0];
    assert_eq!((arrival.target.as_str(), &arrival.body[..]), ("/a/b?c=d", &b"question"[..]));
    assert_eq!(arrival.headers["own"], "kept");
    assert!(arrival.headers["run"].to_str().is_ok_and(|run| run.starts_with("i-")));
    let left: u64 = arrival.headers["left"].to_str().expect("text").parse().expect("a number");
    assert!((3_500..=4_000).contains(&left), "{left}");
}

#[test]
fn unmatched_route_gets_404() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    let mut request = bed.request();
    request.target = "/other".to_owned();
    assert_eq!(bed.serve(request).status, 404);
}

/// Guards against callers that wait for longer than the timeout of their route.
#[test]
fn hung_request_ends_at_route_timeout() {
    let settings = BedSettings { timeout: Duration::from_secs(2), ..BedSettings::of(ONCE) };
    let bed = TestBed::new(&settings);
    bed.script(0, &[BackendAction::Hang]);
    let began = bed.world.now();
    assert_eq!(bed.serve(bed.request()).status, 504);
    let took = bed.world.now().since(began);
    assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(2_100), "{took:?}");
    assert_eq!(bed.backends(0).cancelled.get(), 1, "the run is cancelled");
}

#[test]
fn hung_repeatable_request_is_retried_elsewhere() {
    let bed = TestBed::new(&BedSettings::of(IDEMPOTENT));
    bed.script(0, &[BackendAction::Hang, response(200, "good")]);
    let began = bed.world.now();
    assert_eq!(bed.serve(bed.request()).status, 200);
    assert!(bed.world.now().since(began) < Duration::from_millis(500));
    let arrivals = bed.backends(0).arrivals.borrow();
    assert_ne!(arrivals[0].address, arrivals[1].address);
    assert_eq!(bed.backends(0).cancelled.get(), 1);
}

/// Guards against runs that continue in any region after their caller has disconnected.
#[test]
fn caller_disconnect_cancels_run() {
    for backends in [(2, 0), (0, 2)] {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(ONCE) });
        let there = usize::from(backends.0 == 0);
        bed.script(there, &[BackendAction::Hang]);
        let proxy = bed.proxy().clone();
        let mut serving = Box::pin(proxy.serve(bed.request()));
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
fn streams_are_relayed_in_complete_ordered_events() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        actions: Vec<BackendAction>,
        body: &'static str,
        is_incomplete: bool,
        resumed_after: Option<&'static str>,
    }
    let events = |chunks: &[&'static str]| BackendAction::Answer(ScriptedResponse::events(chunks));
    let cut = |chunks: &[&'static str]| {
        BackendAction::Answer(ScriptedResponse::events(chunks).incomplete())
    };
    let all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    let cases = vec![
        Case {
            what: "whole",
            kind: STREAM,
            actions: vec![events(&[
                "id: 1\ndata: a\n\nid: 2\nda",
                "ta: b\n\n",
                "id: 3\ndata: c\n\n",
            ])],
            body: all,
            is_incomplete: false,
            resumed_after: None,
        },
        Case {
            what: "cut off inside an event, resumed",
            kind: RESUMABLE,
            actions: vec![
                cut(&["id: 1\ndata: a\n\nid: 2\ndata"]),
                events(&["id: 2\ndata: b\n\nid: 3\ndata: c\n\n"]),
            ],
            body: all,
            is_incomplete: false,
            resumed_after: Some("1"),
        },
        Case {
            what: "ended inside an event, resumed",
            kind: RESUMABLE,
            actions: vec![
                events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"]),
                events(&["id: 3\ndata: c\n\n"]),
            ],
            body: all,
            is_incomplete: false,
            resumed_after: Some("2"),
        },
        Case {
            what: "cut off before its first event, retried",
            kind: RESUMABLE,
            actions: vec![cut(&[]), events(&[all])],
            body: all,
            is_incomplete: false,
            resumed_after: None,
        },
        Case {
            what: "the second run repeats an event",
            kind: RESUMABLE,
            actions: vec![cut(&["id: 1\ndata: a\n\n"]), events(&["id: 1\ndata: a\n\n"])],
            body: "id: 1\ndata: a\n\n",
            is_incomplete: true,
            resumed_after: Some("1"),
        },
        Case {
            what: "cut off, may not be resumed",
            kind: STREAM,
            actions: vec![cut(&["id: 1\ndata: a\n\nid: 2\ndata"])],
            body: "id: 1\ndata: a\n\n",
            is_incomplete: true,
            resumed_after: None,
        },
        Case {
            what: "cut off twice",
            kind: RESUMABLE,
            actions: vec![cut(&["id: 1\ndata: a\n\n"]), cut(&["id: 2\ndata: b\n\n"])],
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            is_incomplete: true,
            resumed_after: Some("1"),
        },
    ];
    for case in cases {
        let bed = TestBed::new(&BedSettings::of(case.kind));
        bed.script(0, &case.actions);
        let response = bed.serve(bed.request());
        assert_eq!(response.status, 200, "{}", case.what);
        assert_eq!(response.body, case.body, "{}", case.what);
        assert_eq!(response.is_incomplete, case.is_incomplete, "{}", case.what);
        let arrivals = bed.backends(0).arrivals.borrow();
        assert_eq!(arrivals.len(), case.actions.len(), "{}", case.what);
        let after = arrivals.last().and_then(|a| a.headers.get("after")?.to_str().ok());
        assert_eq!(after, case.resumed_after, "{}", case.what);
    }
}

#[test]
fn region_without_backends_uses_other_region() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        homes: &'static [&'static str],
        actions: Vec<BackendAction>,
        status: u16,
    }
    let cases = [
        Case {
            what: "served in the other region",
            kind: ONCE,
            homes: &[],
            actions: vec![response(200, "good")],
            status: 200,
        },
        Case {
            what: "home region is the other one",
            kind: ONCE,
            homes: &["east"],
            actions: vec![response(200, "good")],
            status: 200,
        },
        Case {
            what: "home region is this one",
            kind: ONCE,
            homes: &["west"],
            actions: vec![],
            status: 503,
        },
        Case {
            what: "closed in the other region",
            kind: ONCE,
            homes: &[],
            actions: vec![BackendAction::Close],
            status: 502,
        },
        Case {
            what: "closed in the other region, then good",
            kind: IDEMPOTENT,
            homes: &[],
            actions: vec![BackendAction::Close, response(200, "good")],
            status: 200,
        },
    ];
    for case in cases {
        let settings =
            BedSettings { homes: case.homes, backends: (0, 2), ..BedSettings::of(case.kind) };
        let bed = TestBed::new(&settings);
        bed.script(1, &case.actions);
        let response = bed.serve(bed.request());
        assert_eq!(response.status, case.status, "{}: {response:?}", case.what);
        assert_eq!(bed.backends(1).arrivals.borrow().len(), case.actions.len(), "{}", case.what);
    }
}

/// Guards against a shutdown that waits only for its own callers and cuts off forwarded requests.
#[test]
fn shutdown_waits_for_forwarded_requests() {
    const ANSWER: Duration = Duration::from_millis(900);
    let bed = TestBed::new(&BedSettings { backends: (0, 2), ..BedSettings::of(STREAM) });
    let script =
        ScriptedResponse { after: ANSWER, ..ScriptedResponse::events(&["id: 1\ndata: a\n\n"]) };
    bed.script(1, &[BackendAction::Answer(script)]);
    let began = bed.world.now();
    let stop = async {
        bed.other_proxy().wait_for_forwards().await;
        let idle = bed.world.now().since(began);
        assert!(idle < Duration::from_millis(200), "nothing to wait for, but it took {idle:?}");
        bed.other_proxy().wait_for_forwards().await;
        bed.world.now().since(began)
    };
    let caller = async {
        let pause = Duration::from_millis(110);
        bed.world.process().context().clock.sleep(pause).await;
        support::fetch(bed.proxy(), bed.request()).await
    };
    let (stopped, response) = bed.world.run_until(join(stop, caller));
    assert_eq!((response.status, response.is_incomplete), (200, false), "{response:?}");
    assert!(stopped >= ANSWER, "the shutdown waited only {stopped:?}");
}

/// Guards against requests that wait until their deadline for a region that cannot be reached.
#[test]
fn forward_over_broken_link_fails_fast() {
    for (kind, status) in [(IDEMPOTENT, 503), (ONCE, 504)] {
        let bed = TestBed::new(&BedSettings { backends: (0, 2), ..BedSettings::of(kind) });
        bed.link.isolate(support::address(3), &[support::address(2)]);
        let began = bed.world.now();
        let response = bed.serve(bed.request());
        let took = bed.world.now().since(began);
        assert_ne!(response.status, 200);
        if kind == IDEMPOTENT {
            assert!(took < Duration::from_millis(1_000), "{took:?}");
        }
        // A request that may have arrived is never reported as not run, unless it may be repeated.
        assert!(kind == IDEMPOTENT || response.status != 503, "{response:?}, expected {status}");
    }
}

#[test]
fn failure_is_logged_with_id_and_reason() {
    let bed = TestBed::new(&BedSettings::of(ONCE));
    bed.script(0, &[BackendAction::Close]);
    bed.serve(bed.request());
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

/// Guards against refusals by gateways that are starting and will soon have a configuration.
#[test]
fn request_waits_for_first_configuration() {
    struct Case {
        what: &'static str,
        /// Time in milliseconds after the request at which the control process starts.
        control_ms: u64,
        caller_timeout_ms: u64,
        status: u16,
        /// Longest time to the response, in milliseconds.
        within_ms: u64,
    }
    let case = |what, control_ms, caller_timeout_ms, status, within_ms| Case {
        what,
        control_ms,
        caller_timeout_ms,
        status,
        within_ms,
    };
    let cases = [
        case("the configuration is there", 0, 4_000, 200, 50),
        case("the configuration comes in time", 400, 4_000, 200, 800),
        case("the configuration comes too late for any request", 3_000, 9_000, 503, 1_050),
        case("the configuration comes too late for this request", 900, 1_200, 503, 450),
    ];
    for case in cases {
        let settings = BedSettings {
            control_after: Duration::from_millis(case.control_ms),
            ..BedSettings::of(ONCE)
        };
        let bed = TestBed::new(&settings);
        bed.script(0, &[response(200, "good")]);
        let mut request = bed.request();
        request.caller_timeout = Some(Duration::from_millis(case.caller_timeout_ms));
        let began = bed.world.now();
        let response = bed.serve(request);
        let took = bed.world.now().since(began);
        assert_eq!(response.status, case.status, "{}: {response:?}", case.what);
        assert!(took <= Duration::from_millis(case.within_ms), "{}: {took:?}", case.what);
        let has_retry_after = response.headers.contains_key("retry-after");
        assert_eq!(has_retry_after, case.status == 503, "{}", case.what);
    }
}
