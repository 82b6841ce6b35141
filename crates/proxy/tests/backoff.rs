//! Back-off that backend servers request with their rejections.

mod support;

use {
    futures::future::join_all,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed, take},
};

/// A rejection with a time to wait was like one without: the next requests went there again.
#[test]
fn a_rejection_with_a_time_to_wait_keeps_requests_away_until_it_is_over() {
    const BACKOFF: Duration = Duration::from_secs(3);
    const PAUSE: Duration = Duration::from_millis(100);
    const ROUNDS: usize = 60;
    // More than one of the two backend servers has places for.
    const TOGETHER: usize = 24;
    let bed = TestBed::new(&BedSettings::of(RequestKind::Idempotent));
    let full = Script::signed(503, &[]).header("not-run", "1");
    bed.script(0, &[Deed::Answer(full.header("backoff", "3"))]);
    bed.script(0, &vec![Deed::Answer(Script::signed(200, &["yes"])); ROUNDS * TOGETHER + 1]);
    assert_eq!(bed.serve(bed.call()).status, 200);
    for _ in 0..ROUNDS {
        let served = bed.serve_together(0, TOGETHER);
        assert!(served.iter().all(|served| served.status == 200));
        bed.world.run_for(PAUSE);
    }
    let lines = bed.events.lines();
    let told = lines.iter().filter(|line| line.starts_with("backend.backoff_requested ")).count();
    assert_eq!(told, 1);
    let arrivals = bed.backends(0).arrivals.borrow();
    let (rejecting, began) = (arrivals[0].address, arrivals[0].at);
    let there = arrivals.iter().skip(1).filter(|arrival| arrival.address == rejecting);
    let after: Vec<Duration> = there.map(|arrival| arrival.at.since(began)).collect();
    let first = after.first().expect("work again after the back-off");
    assert!(*first >= BACKOFF, "sent there after {first:?}");
    assert!(*first < BACKOFF + Duration::from_secs(1), "work again soon: {first:?}");
}

/// Requests that were placed before the rejection and still waited for a connection went there.
#[test]
fn what_waits_for_a_connection_during_a_backoff_goes_elsewhere() {
    const TOGETHER: usize = 12;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full = Script::signed(503, &[]).header("not-run", "1").header("backoff", "3");
    let good = Script::signed(200, &["yes"]);
    bed.script(0, &[Deed::Answer(full)]);
    let slow = Deed::Accept(Duration::from_millis(800), good.clone());
    bed.script(0, &vec![slow; TOGETHER - 1]);
    bed.script(0, &vec![Deed::Answer(good); TOGETHER]);
    let served = bed.serve_together(0, TOGETHER);
    assert!(served.iter().all(|served| served.status == 200));
    let lines = bed.events.lines();
    assert!(lines.iter().any(|line| line.contains("reason=revoked")), "some waited there");
    let arrivals = bed.backends(0).arrivals.borrow();
    let rejecting = arrivals[0].address;
    let there = arrivals.iter().filter(|arrival| arrival.address == rejecting).count();
    assert_eq!(there, 1, "nothing after the rejection");
}

/// Guards against a send to a backend server whose back-off came between the verdict and the send.
#[test]
fn a_place_that_was_given_in_the_turn_of_a_rejection_is_not_used() {
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
        // The bodies of the others end, and give their places away, as the rejection comes.
        let good = Script::signed(200, &["yes"]).after(REJECTED - Duration::from_millis(2));
        let full = Script::signed(503, &[]).header("not-run", "1").header("backoff", "3");
        bed.script(0, &vec![Deed::Answer(good.clone()); RUNNING - 1]);
        bed.script(0, &[Deed::Answer(full.after(REJECTED))]);
        bed.script(0, &vec![Deed::Answer(good); 3 * waiting]);
        let clock = bed.clock();
        let began = clock.now();
        // Those that wait are polled before those that run.
        let starts = vec![Duration::from_millis(10); waiting];
        let starts = starts.into_iter().chain([Duration::ZERO; RUNNING]);
        let calls = starts.map(|start| {
            let clock = bed.clock();
            let (proxy, call) = (bed.proxy(), bed.call());
            async move {
                clock.sleep(start).await;
                take(proxy, call).await
            }
        });
        bed.world.run_until(join_all(calls));
        let arrivals = bed.backends(0).arrivals.borrow();
        let after: Vec<Duration> = arrivals.iter().map(|a| a.at.since(began)).collect();
        let early = after.iter().filter(|at| (REJECTED..REJECTED + BACKOFF).contains(*at)).count();
        assert_eq!(early, 0, "{kind:?}, {waiting} waiting: {after:?}");
    }
}

/// Two statements in a row were passed on for days before anybody saw that nobody reads them.
#[test]
fn a_header_of_rejections_that_nobody_reads_is_told_once() {
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full = Script::signed(503, &[]).header("not-run", "1").header("content-length", "0");
    let full = full.header("server-wish", "less").header("limit", "5");
    let good = Script::signed(200, &["yes"]).header("server-mood", "good");
    for _ in 0..3 {
        bed.script(0, &[Deed::Answer(full.clone()), Deed::Answer(good.clone())]);
        assert_eq!(bed.serve(bed.call()).status, 200);
    }
    let lines = bed.events.lines();
    let told = lines.iter().filter(|line| line.starts_with("backend.unread_header "));
    let told: Vec<&String> = told.collect();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains("header=server-wish"), "{told:?}");
}

/// Callers waited until their time was over for backend servers that had said when they come back.
#[test]
fn where_all_request_a_backoff_a_caller_is_told_at_once_when_to_come_back() {
    const BACKOFF_S: f64 = 30.0;
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let full = Script::signed(503, &[]).header("not-run", "1").header("backoff", "30");
    bed.script(0, &vec![Deed::Answer(full); 2]);
    let begun = bed.clock().now();
    for _ in 0..2 {
        let served = bed.serve(bed.call());
        assert_eq!(served.status, 503);
        let wait = served.headers.get("retry-after").and_then(|v| v.to_str().ok());
        let wait: f64 = wait.and_then(|text| text.parse().ok()).expect("seconds");
        assert!((BACKOFF_S - 1.0..BACKOFF_S + 1.0).contains(&wait), "{wait} s");
    }
    let took = bed.clock().now().since(begun);
    assert!(took < Duration::from_millis(100), "told after {took:?}");
    assert_eq!(bed.backends(0).arrivals.borrow().len(), 2, "one for each");
    let lines = bed.events.lines();
    assert!(lines.iter().any(|line| line.contains("reason=backoff")), "{lines:?}");
}
