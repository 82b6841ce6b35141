//! Repeats, counted over gateways and regions.

mod support;

use {
    futures::future::join_all,
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::RequestKind,
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, time::Duration},
    support::{BedSettings, Deed, OwnParts, Script, TestBed, take},
};

/// What all gateways together may repeat, of the requests that callers sent and besides.
const RATIO: f64 = 0.2;
const SLACK: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(10);

const IDEMPOTENT: RequestKind = RequestKind::Idempotent;

/// A request counted again with each placement and handover, so that more repeats were allowed.
#[test]
fn repeats_are_a_part_of_what_callers_sent_however_often_it_is_placed_or_handed_over() {
    struct Case {
        what: &'static str,
        /// The gateways that callers use in turn.
        callers_use: &'static [usize],
        /// What becomes of each send.
        deeds: Vec<Deed>,
        backends: (u8, u8),
    }
    const REQUESTS: usize = 2_400;
    const PAUSE: Duration = Duration::from_millis(5);
    let failure = Deed::Answer(Script::signed(500, &["sorry"]).without("id"));
    let cases = [
        Case {
            what: "every engine fails",
            callers_use: &[0],
            deeds: vec![failure.clone()],
            backends: (150, 0),
        },
        Case {
            what: "every second engine cannot be reached",
            callers_use: &[0],
            deeds: vec![Deed::Unreachable, failure.clone()],
            backends: (150, 0),
        },
        Case {
            what: "half is handed over by the region without engines",
            callers_use: &[0, 1],
            deeds: vec![failure],
            backends: (150, 0),
        },
    ];
    let mut broken = Vec::new();
    for Case { what, callers_use, deeds, backends } in cases {
        let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(IDEMPOTENT) });
        let script: Vec<Deed> = deeds.into_iter().cycle().take(REQUESTS * 8).collect();
        (0..2).for_each(|region| bed.script(region, &script));
        let began = bed.world.now();
        let sent: Vec<_> =
            (0..REQUESTS).map(|n| began + PAUSE * u32::try_from(n).expect("few")).collect();
        let calls = (0..REQUESTS).map(|number| {
            let id = format!("call-{number}");
            let call = CallerRequest {
                id: CallerRequestId::try_from(id.as_str()).expect("an id"),
                key: None,
                body: id.clone().into(),
                ..bed.call()
            };
            let proxy = bed.gateway(callers_use[number % callers_use.len()]);
            let wait = sent[number].since(began);
            let clock = bed.clock();
            async move {
                clock.sleep(wait).await;
                take(proxy, call).await
            }
        });
        bed.world.run_until(join_all(calls));
        let repeats = repeats(&bed);
        assert!(!repeats.is_empty(), "{what}: some are repeated");
        let mut worst = 0.0_f64;
        for end in &repeats {
            let count = within(&repeats, *end, Duration::ZERO);
            let callers = [Duration::ZERO, WINDOW / 2, WINDOW].map(|ago| within(&sent, *end, ago));
            let most = callers.into_iter().max().unwrap_or_default();
            let allowed = RATIO * most as f64 + SLACK;
            worst = worst.max(count as f64 / allowed);
        }
        if worst > 1.0 {
            broken.push(format!("{what}: {worst:.2} of what is allowed in some window"));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// When each arrival came beyond the first of its request.
fn repeats(bed: &TestBed) -> Vec<MonotonicTime> {
    let of = |region| bed.backends(region).arrivals.borrow().clone();
    let mut arrivals: Vec<_> = (0..2).flat_map(of).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut firsts = BTreeSet::new();
    arrivals.retain(|arrival| !firsts.insert(arrival.body.clone()));
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

/// How many of `times` are in the window that ended `ago` before `end`.
fn within(times: &[MonotonicTime], end: MonotonicTime, ago: Duration) -> usize {
    let age = |at: &MonotonicTime| end.0.saturating_sub(ago).checked_sub(at.0);
    times.iter().filter(|at| age(at).is_some_and(|age| age < WINDOW)).count()
}

/// Repeats that were granted while engines were full counted in the window of the grant, and
/// arrived in the next one together with what that window granted.
#[test]
fn a_repeat_that_waits_for_room_counts_when_it_is_sent() {
    const PLACES: usize = 32;
    const BUSY: Duration = Duration::from_millis(500);
    let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
    let shed = Script::signed(503, &[]).header("not-run", "1");
    let slow = Script { after: BUSY, ..Script::signed(200, &["late"]) };
    bed.script(0, &[Deed::Answer(shed)]);
    bed.script(0, &vec![Deed::Answer(slow); 2 * PLACES]);
    let calls = (0..PLACES + 1).map(|number| {
        let call = CallerRequest { body: format!("question {number}").into(), ..bed.call() };
        take(bed.proxy(), call)
    });
    bed.world.run_until(join_all(calls));
    let repeats = repeats(&bed);
    let first = bed.backends(0).arrivals.borrow()[0].at;
    let waited = repeats.first().expect("the failed request is sent once more").since(first);
    assert!(waited >= BUSY / 2, "it waits for room: {waited:?}");
    let granted = granted_ages(&bed);
    let [age] = granted[..] else { panic!("one repeat is granted: {granted:?}") };
    let apart = waited.max(age) - waited.min(age);
    assert!(apart < BUSY / 10, "granted after {age:?}, sent after {waited:?}");
}

/// A send that nothing was heard of counted for its own window only, and arrived in a later one
/// together with what that window granted.
#[test]
fn a_repeat_counts_until_all_sends_of_its_request_are_known_to_have_arrived() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        /// What becomes of the two sends of the first request.
        deeds: [Deed; 2],
        /// The repeats that are granted by a window after that, and by two.
        granted: [usize; 2],
    }
    let shed = || Deed::Answer(Script::signed(503, &[]).header("not-run", "1"));
    let whole = || Deed::Answer(Script::signed(200, &["whole"]));
    let once = RequestKind::AtMostOnce;
    let cases = [
        Case { what: "answered", kind: once, deeds: [shed(), whole()], granted: [2, 3] },
        Case { what: "turned away", kind: once, deeds: [shed(), shed()], granted: [2, 3] },
        Case { what: "broken", kind: once, deeds: [shed(), Deed::Close], granted: [2, 3] },
        Case { what: "given up", kind: once, deeds: [shed(), Deed::Hang], granted: [1, 2] },
        Case {
            what: "the first send was given up",
            kind: IDEMPOTENT,
            deeds: [Deed::Hang, whole()],
            granted: [1, 2],
        },
    ];
    for Case { what, kind, deeds, granted } in cases {
        let bed = TestBed::new(&BedSettings { repeat_slack: 3.0, ..BedSettings::of(kind) });
        bed.world.run_for(WINDOW);
        let ask = |deeds: &[Deed]| {
            bed.backends(0).deeds.borrow_mut().clear();
            bed.script(0, deeds);
            let caller_timeout = Some(Duration::from_secs(1));
            bed.world.run_until(take(bed.proxy(), CallerRequest { caller_timeout, ..bed.call() }));
        };
        ask(&deeds);
        let counts = [(); 2].map(|()| {
            bed.world.run_for(WINDOW + WINDOW / 10);
            ask(&[shed(), whole()]);
            granted_ages(&bed).len()
        });
        assert_eq!(counts, granted, "{what}: {:#?}", bed.events.lines());
    }
}

/// The ages of requests at which the budget granted them a repeat.
fn granted_ages(bed: &TestBed) -> Vec<Duration> {
    let lines = bed.events.lines();
    let granted = lines.iter().filter(|line| line.starts_with("request.repeat_granted "));
    let age = |line: &String| {
        let millis = line.split(" age_ms=").nth(1)?.split(' ').next()?.parse::<f64>().ok()?;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    };
    granted.filter_map(age).collect()
}

/// Guards against a stream that is broken off for want of a repeat that comes in its time.
#[test]
fn a_stream_that_has_begun_waits_for_a_repeat_that_comes_in_time() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
        caller_timeout: Duration,
        lost: Deed,
        /// Whether it is answered whole; it ends at once otherwise.
        is_whole: bool,
    }
    const STREAM: RequestKind = RequestKind::Stream { resumable: true };
    const FIRST: &str = "id: 1\ndata: a\n\n";
    const REST: &str = "id: 2\ndata: b\n\n";
    let begun = || Deed::Answer(Script::events(&[FIRST]).broken());
    let case = |what, kind, caller_timeout, lost, is_whole| {
        let caller_timeout = Duration::from_secs(caller_timeout);
        Case { what, kind, caller_timeout, lost, is_whole }
    };
    let cases = [
        case("a stream with time left", STREAM, 8, begun(), true),
        case("a stream with too little time", STREAM, 2, begun(), false),
        case("a stream without an event", STREAM, 8, Deed::Close, false),
        case("a plain request", IDEMPOTENT, 8, Deed::Close, false),
    ];
    for Case { what, kind, caller_timeout, lost, is_whole } in cases {
        let bed = TestBed::new(&BedSettings {
            backends: (4, 0),
            timeout: Duration::from_secs(9),
            // The part of one gateway of two is one repeat a window.
            repeat_slack: 2.4,
            ..BedSettings::of(kind)
        });
        bed.script(0, &[Deed::Close, Deed::Close]);
        assert_eq!(bed.serve(bed.call()).status, 502, "{what}: two sends");
        bed.world.run_for(WINDOW - Duration::from_secs(3));
        let again = Script::events(&[REST]);
        bed.script(0, &[lost, Deed::Answer(again)]);
        let began = bed.world.now();
        let call = CallerRequest {
            caller_timeout: Some(caller_timeout),
            body: "another".into(),
            ..bed.call()
        };
        let served = bed.serve(call);
        let took = bed.world.now().since(began);
        let lines = bed.events.lines();
        let got_whole = served.status == 200 && !served.is_broken && served.body.ends_with(REST);
        assert_eq!(got_whole, is_whole, "{what}: {served:?}, {lines:#?}");
        assert!(is_whole || took < Duration::from_millis(100), "{what}: {took:?}, {lines:#?}");
        let awaited = lines.iter().filter(|line| line.starts_with("request.repeat_awaited"));
        assert_eq!(awaited.count(), usize::from(is_whole), "{what}: {lines:#?}");
    }
}

/// Guards against a stream that waits for a repeat which its service has, on a clock that moves
/// while a gateway works.
#[test]
fn a_stream_that_breaks_off_is_resumed_at_once_where_there_is_a_repeat() {
    let bed = TestBed::new(&BedSettings {
        own: OwnParts { has_running_clock: true, ..OwnParts::default() },
        ..BedSettings::of(RequestKind::Stream { resumable: true })
    });
    let [first, rest] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    bed.script(0, &[Deed::Answer(Script::events(&[first]).broken())]);
    bed.script(0, &[Deed::Answer(Script::events(&[rest]))]);
    let began = bed.world.now();
    let served = bed.serve(bed.call());
    let took = bed.world.now().since(began);
    let got = (served.status, served.is_broken, served.body);
    assert_eq!(got, (200, false, format!("{first}{rest}")), "{:#?}", bed.events.lines());
    assert!(took < Duration::from_millis(100), "resumed after {took:?}");
}
