//! Retry budget across gateways and regions.

mod support;

use {
    futures::future::join_all,
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::RequestKind,
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, time::Duration},
    support::{BackendAction, BedSettings, Overrides, ScriptedResponse, TestBed, fetch},
};

/// The retries of all gateways together are limited to this share of the callers' requests plus a
/// constant.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 50.0;
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;

/// Guards against counting a request again with each placement and handover, which would allow more
/// retries.
#[test]
fn retries_are_limited_to_a_share_of_callers_requests() {
    struct Case {
        what: &'static str,
        /// Gateways that callers use in turn.
        callers_use: &'static [usize],
        /// Outcome of each send.
        actions: Vec<BackendAction>,
        backends: (u8, u8),
    }
    const REQUESTS: usize = 2_400;
    const PAUSE: Duration = Duration::from_millis(5);
    let failure = BackendAction::Answer(ScriptedResponse::signed(500, &["sorry"]).without("id"));
    let cases = [
        Case {
            what: "every engine fails",
            callers_use: &[0],
            actions: vec![failure.clone()],
            backends: (150, 0),
        },
        Case {
            what: "every second engine cannot be reached",
            callers_use: &[0],
            actions: vec![BackendAction::Unreachable, failure.clone()],
            backends: (150, 0),
        },
        Case {
            what: "half is forwarded by the region without engines",
            callers_use: &[0, 1],
            actions: vec![failure],
            backends: (150, 0),
        },
    ];
    let mut exceeded = Vec::new();
    for Case { what, callers_use, actions, backends } in cases {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(IDEMPOTENT) });
        let script: Vec<BackendAction> = actions.into_iter().cycle().take(REQUESTS * 8).collect();
        (0..2).for_each(|region| bed.script(region, &script));
        let began = bed.world.now();
        let sent: Vec<_> =
            (0..REQUESTS).map(|n| began + PAUSE * u32::try_from(n).expect("few")).collect();
        let requests = (0..REQUESTS).map(|number| {
            let id = format!("call-{number}");
            let request = CallerRequest {
                id: CallerRequestId::try_from(id.as_str()).expect("an id"),
                key: None,
                body: id.clone().into(),
                ..bed.request()
            };
            let proxy = bed.gateway(callers_use[number % callers_use.len()]);
            let wait = sent[number].since(began);
            let clock = bed.clock();
            async move {
                clock.sleep(wait).await;
                fetch(proxy, request).await
            }
        });
        bed.world.run_until(join_all(requests));
        let retries = retries(&bed);
        assert!(!retries.is_empty(), "{what}: some are retried");
        let mut worst = 0.0_f64;
        for end in &retries {
            let count = count_within_window(&retries, *end, Duration::ZERO);
            let callers = [Duration::ZERO, BUDGET_WINDOW / 2, BUDGET_WINDOW]
                .map(|ago| count_within_window(&sent, *end, ago));
            let most = callers.into_iter().max().unwrap_or_default();
            let allowed = RETRY_RATIO * most as f64 + RETRY_SLACK;
            worst = worst.max(count as f64 / allowed);
        }
        if worst > 1.0 {
            exceeded.push(format!("{what}: {worst:.2} of what is allowed in some window"));
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// Returns the times of all arrivals beyond the first one of each request.
fn retries(bed: &TestBed) -> Vec<MonotonicTime> {
    let of = |region| bed.backends(region).arrivals.borrow().clone();
    let mut arrivals: Vec<_> = (0..2).flat_map(of).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut firsts = BTreeSet::new();
    arrivals.retain(|arrival| !firsts.insert(arrival.body.clone()));
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

/// Returns the number of `times` in the window that ends `ago` before `end`.
fn count_within_window(times: &[MonotonicTime], end: MonotonicTime, ago: Duration) -> usize {
    let age = |at: &MonotonicTime| end.0.saturating_sub(ago).checked_sub(at.0);
    times.iter().filter(|at| age(at).is_some_and(|age| age < BUDGET_WINDOW)).count()
}

/// Guards against retries that are granted while engines are full, count in the window of the
/// grant, and arrive in the next window together with that window's retries.
#[test]
fn queued_retry_counts_when_it_is_sent() {
    const PLACES: usize = 32;
    const BUSY: Duration = Duration::from_millis(500);
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let shed = ScriptedResponse::signed(503, &[]).header("not-run", "1");
    let slow = ScriptedResponse { after: BUSY, ..ScriptedResponse::signed(200, &["late"]) };
    bed.script(0, &[BackendAction::Answer(shed)]);
    bed.script(0, &vec![BackendAction::Answer(slow); 2 * PLACES]);
    let requests = (0..PLACES + 1).map(|number| {
        let request = CallerRequest { body: format!("question {number}").into(), ..bed.request() };
        fetch(bed.proxy(), request)
    });
    bed.world.run_until(join_all(requests));
    let retries = retries(&bed);
    let first = bed.backends(0).arrivals.borrow()[0].at;
    let waited = retries.first().expect("the failed request is retried").since(first);
    assert!(waited >= BUSY / 2, "it waits for a slot: {waited:?}");
    let granted = grant_ages(&bed);
    let [age] = granted[..] else { panic!("one retry is granted: {granted:?}") };
    let apart = waited.max(age) - waited.min(age);
    assert!(apart < BUSY / 10, "granted after {age:?}, sent after {waited:?}");
}

/// Guards against an unconfirmed send that counts only in its own window and arrives in a later one
/// together with that window's retries.
#[test]
fn retry_counts_until_all_sends_are_confirmed() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        /// Outcomes of the two sends of the first request.
        actions: [BackendAction; 2],
        /// Number of retries granted within one window after that, and within two.
        granted: [usize; 2],
    }
    let shed = || BackendAction::Answer(ScriptedResponse::signed(503, &[]).header("not-run", "1"));
    let whole = || BackendAction::Answer(ScriptedResponse::signed(200, &["whole"]));
    let once = RequestKind::AtMostOnce;
    let cases = [
        Case { what: "answered", kind: once, actions: [shed(), whole()], granted: [2, 3] },
        Case { what: "rejected", kind: once, actions: [shed(), shed()], granted: [2, 3] },
        Case {
            what: "broken",
            kind: once,
            actions: [shed(), BackendAction::Close],
            granted: [2, 3],
        },
        Case {
            what: "abandoned",
            kind: once,
            actions: [shed(), BackendAction::Hang],
            granted: [1, 2],
        },
        Case {
            what: "the first send was abandoned",
            kind: IDEMPOTENT,
            actions: [BackendAction::Hang, whole()],
            granted: [1, 2],
        },
    ];
    for Case { what, kind, actions, granted } in cases {
        let bed = TestBed::new(&BedSettings { repeat_slack: 3.0, ..BedSettings::of(kind) });
        bed.world.run_for(BUDGET_WINDOW);
        let ask = |actions: &[BackendAction]| {
            bed.backends(0).actions.borrow_mut().clear();
            bed.script(0, actions);
            let caller_timeout = Some(Duration::from_secs(1));
            bed.world
                .run_until(fetch(bed.proxy(), CallerRequest { caller_timeout, ..bed.request() }));
        };
        ask(&actions);
        let counts = [(); 2].map(|()| {
            bed.world.run_for(BUDGET_WINDOW + BUDGET_WINDOW / 10);
            ask(&[shed(), whole()]);
            grant_ages(&bed).len()
        });
        assert_eq!(counts, granted, "{what}: {:#?}", bed.events.lines());
    }
}

/// Returns the ages of requests at which the budget granted them a retry.
fn grant_ages(bed: &TestBed) -> Vec<Duration> {
    let lines = bed.events.lines();
    let granted = lines.iter().filter(|line| line.starts_with("request.repeat_granted "));
    let age = |line: &String| {
        let millis = line.split(" age_ms=").nth(1)?.split(' ').next()?.parse::<f64>().ok()?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    };
    granted.filter_map(age).collect()
}

/// Guards against breaking off a stream for lack of a retry that becomes available in time.
#[test]
fn begun_stream_waits_for_retry_that_comes_in_time() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        caller_timeout: Duration,
        lost: BackendAction,
        /// True if the response is complete; it ends at once otherwise.
        is_complete: bool,
    }
    const STREAM: RequestKind = RequestKind::Stream { resumable: true };
    const FIRST: &str = "id: 1\ndata: a\n\n";
    const REST: &str = "id: 2\ndata: b\n\n";
    let begun = || BackendAction::Answer(ScriptedResponse::events(&[FIRST]).incomplete());
    let case = |what, kind, caller_timeout, lost, is_complete| {
        let caller_timeout = Duration::from_secs(caller_timeout);
        Case { what, kind, caller_timeout, lost, is_complete }
    };
    let cases = [
        case("a stream with time left", STREAM, 8, begun(), true),
        case("a stream with too little time", STREAM, 2, begun(), false),
        case("a stream without an event", STREAM, 8, BackendAction::Close, false),
        case("a plain request", IDEMPOTENT, 8, BackendAction::Close, false),
    ];
    for Case { what, kind, caller_timeout, lost, is_complete } in cases {
        let bed = TestBed::new(&BedSettings {
            backends: (4, 0),
            timeout: Duration::from_secs(9),
            // The share of one of two gateways is one retry per window.
            repeat_slack: 2.4,
            ..BedSettings::of(kind)
        });
        bed.script(0, &[BackendAction::Close, BackendAction::Close]);
        assert_eq!(bed.serve(bed.request()).status, 502, "{what}: two sends");
        bed.world.run_for(BUDGET_WINDOW - Duration::from_secs(3));
        let again = ScriptedResponse::events(&[REST]);
        bed.script(0, &[lost, BackendAction::Answer(again)]);
        let began = bed.world.now();
        let request = CallerRequest {
            caller_timeout: Some(caller_timeout),
            body: "another".into(),
            ..bed.request()
        };
        let response = bed.serve(request);
        let took = bed.world.now().since(began);
        let lines = bed.events.lines();
        let is_answered =
            response.status == 200 && !response.is_incomplete && response.body.ends_with(REST);
        assert_eq!(is_answered, is_complete, "{what}: {response:?}, {lines:#?}");
        assert!(is_complete || took < Duration::from_millis(100), "{what}: {took:?}, {lines:#?}");
        let awaited = lines.iter().filter(|line| line.starts_with("request.repeat_awaited"));
        assert_eq!(awaited.count(), usize::from(is_complete), "{what}: {lines:#?}");
    }
}

/// Guards against a stream that waits for a retry although the budget has one, with a clock that
/// advances while the gateway works.
#[test]
fn broken_stream_is_resumed_at_once_when_retry_is_available() {
    let bed = TestBed::new(&BedSettings {
        overrides: Overrides { has_advancing_clock: true, ..Overrides::default() },
        ..BedSettings::of(RequestKind::Stream { resumable: true })
    });
    let [first, rest] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    bed.script(0, &[BackendAction::Answer(ScriptedResponse::events(&[first]).incomplete())]);
    bed.script(0, &[BackendAction::Answer(ScriptedResponse::events(&[rest]))]);
    let began = bed.world.now();
    let response = bed.serve(bed.request());
    let took = bed.world.now().since(began);
    let got = (response.status, response.is_incomplete, response.body);
    assert_eq!(got, (200, false, format!("{first}{rest}")), "{:#?}", bed.events.lines());
    assert!(took < Duration::from_millis(100), "resumed after {took:?}");
}
