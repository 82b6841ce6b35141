//! Back-off requested by backend servers in rejections.

mod support;

use {
    futures::future::join_all,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, fetch},
};

/// Guards against ignoring the back-off time of a rejection and sending the next requests to the
/// same backend server.
#[test]
fn backoff_keeps_requests_away_until_it_ends() {
    const BACKOFF: Duration = Duration::from_secs(3);
    const PAUSE: Duration = Duration::from_millis(100);
    const ROUNDS: usize = 60;
    // More requests than one of the two backend servers has slots for.
    const CONCURRENT_REQUESTS: usize = 24;
    let bed = TestBed::new(&BedSettings::of(RequestKind::Idempotent));
    let full = ScriptedResponse::signed(503, &[]).header("not-run", "1");
    bed.script(0, &[BackendAction::Answer(full.header("backoff", "3"))]);
    bed.script(
        0,
        &vec![
            BackendAction::Answer(ScriptedResponse::signed(200, &["yes"]));
            ROUNDS * CONCURRENT_REQUESTS + 1
        ],
    );
    assert_eq!(bed.serve(bed.request()).status, 200);
    for _ in 0..ROUNDS {
        let response = bed.serve_concurrently(0, CONCURRENT_REQUESTS);
        assert!(response.iter().all(|response| response.status == 200));
        bed.world.run_for(PAUSE);
    }
    let lines = bed.events.lines();
    let logged = lines.iter().filter(|line| line.starts_with("backend.backoff_requested ")).count();
    assert_eq!(logged, 1);
    let arrivals = bed.backends(0).arrivals.borrow();
    let (rejecting, began) = (arrivals[0].address, arrivals[0].at);
    let there = arrivals.iter().skip(1).filter(|arrival| arrival.address == rejecting);
    let after: Vec<Duration> = there.map(|arrival| arrival.at.since(began)).collect();
    let first = after.first().expect("requests after the back-off");
    assert!(*first >= BACKOFF, "sent there after {first:?}");
    assert!(*first < BACKOFF + Duration::from_secs(1), "requests again soon: {first:?}");
}

/// Guards against sending requests that were placed before the rejection and still wait for a
/// connection.
#[test]
fn requests_waiting_for_connection_during_backoff_are_moved() {
    const CONCURRENT_REQUESTS: usize = 12;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full = ScriptedResponse::signed(503, &[]).header("not-run", "1").header("backoff", "3");
    let good = ScriptedResponse::signed(200, &["yes"]);
    bed.script(0, &[BackendAction::Answer(full)]);
    let slow = BackendAction::Accept(Duration::from_millis(800), good.clone());
    bed.script(0, &vec![slow; CONCURRENT_REQUESTS - 1]);
    bed.script(0, &vec![BackendAction::Answer(good); CONCURRENT_REQUESTS]);
    let response = bed.serve_concurrently(0, CONCURRENT_REQUESTS);
    assert!(response.iter().all(|response| response.status == 200));
    let lines = bed.events.lines();
    assert!(lines.iter().any(|line| line.contains("reason=revoked")), "some requests waited there");
    let arrivals = bed.backends(0).arrivals.borrow();
    let rejecting = arrivals[0].address;
    let there = arrivals.iter().filter(|arrival| arrival.address == rejecting).count();
    assert_eq!(there, 1, "nothing after the rejection");
}

/// Guards against a send to a backend server whose back-off came between the verdict and the send.
#[test]
fn place_granted_before_backoff_is_not_used() {
    struct Case {
        kind: RequestKind,
        waiting: usize,
    }
    const BACKOFF: Duration = Duration::from_secs(3);
    const REJECTED: Duration = Duration::from_millis(50);
    const RUNNING: usize = 8;
    let cases = [
        Case { kind: RequestKind::AtMostOnce, waiting: 12 },
        Case { kind: RequestKind::Idempotent, waiting: 12 },
        Case { kind: RequestKind::Idempotent, waiting: 20 },
    ];
    for Case { kind, waiting } in cases {
        let bed = TestBed::new(&BedSettings { backends: (1, 0), ..BedSettings::of(kind) });
        // The bodies of the other responses end, and free their slots, just as the rejection
        // arrives.
        let good =
            ScriptedResponse::signed(200, &["yes"]).after(REJECTED - Duration::from_millis(2));
        let full = ScriptedResponse::signed(503, &[]).header("not-run", "1").header("backoff", "3");
        bed.script(0, &vec![BackendAction::Answer(good.clone()); RUNNING - 1]);
        bed.script(0, &[BackendAction::Answer(full.after(REJECTED))]);
        bed.script(0, &vec![BackendAction::Answer(good); 3 * waiting]);
        let clock = bed.clock();
        let began = clock.now();
        // Waiting requests are polled before running ones.
        let starts = vec![Duration::from_millis(10); waiting];
        let starts = starts.into_iter().chain([Duration::ZERO; RUNNING]);
        let requests = starts.map(|start| {
            let clock = bed.clock();
            let (proxy, request) = (bed.proxy(), bed.request());
            async move {
                clock.sleep(start).await;
                fetch(proxy, request).await
            }
        });
        bed.world.run_until(join_all(requests));
        let arrivals = bed.backends(0).arrivals.borrow();
        let after: Vec<Duration> = arrivals.iter().map(|a| a.at.since(began)).collect();
        let early = after.iter().filter(|at| (REJECTED..REJECTED + BACKOFF).contains(*at)).count();
        assert_eq!(early, 0, "{kind:?}, {waiting} waiting: {after:?}");
    }
}

/// Guards against statements of backend servers that are relayed to callers and go unnoticed.
#[test]
fn unread_rejection_header_is_logged_once() {
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full =
        ScriptedResponse::signed(503, &[]).header("not-run", "1").header("content-length", "0");
    let full = full.header("server-wish", "less").header("limit", "5");
    let good = ScriptedResponse::signed(200, &["yes"]).header("server-mood", "good");
    for _ in 0..3 {
        bed.script(0, &[BackendAction::Answer(full.clone()), BackendAction::Answer(good.clone())]);
        assert_eq!(bed.serve(bed.request()).status, 200);
    }
    let lines = bed.events.lines();
    let logged = lines.iter().filter(|line| line.starts_with("backend.unread_header "));
    let logged: Vec<&String> = logged.collect();
    assert_eq!(logged.len(), 1, "{logged:?}");
    assert!(logged[0].contains("header=server-wish"), "{logged:?}");
}

/// Guards against callers that wait until their deadline for backend servers whose back-off time is
/// known.
#[test]
fn backoff_of_all_backends_is_reported_at_once() {
    const BACKOFF_S: f64 = 30.0;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full = ScriptedResponse::signed(503, &[]).header("not-run", "1").header("backoff", "30");
    bed.script(0, &vec![BackendAction::Answer(full); 2]);
    let begun = bed.clock().now();
    for _ in 0..2 {
        let response = bed.serve(bed.request());
        assert_eq!(response.status, 503);
        let wait = response.headers.get("retry-after").and_then(|v| v.to_str().ok());
        let wait: f64 = wait.and_then(|text| text.parse().ok()).expect("seconds");
        assert!((BACKOFF_S - 1.0..BACKOFF_S + 1.0).contains(&wait), "{wait} s");
    }
    let took = bed.clock().now().since(begun);
    assert!(took < Duration::from_millis(100), "responded after {took:?}");
    assert_eq!(bed.backends(0).arrivals.borrow().len(), 2, "one arrival per request");
    let lines = bed.events.lines();
    assert!(lines.iter().any(|line| line.contains("reason=backoff")), "{lines:?}");
}
