//! A request that ends each backend server that runs it.

mod support;

use {
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::RequestKind,
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, time::Duration},
    support::{BedSettings, Deed, Script, TestBed, take},
};

/// The gateways of a bed that has a neighbour: two of one region, and one of another region that
/// has no backend server of its own.
const GATEWAYS: usize = 3;

/// Has the backend servers do `deed` with the next request, whichever gateway sends it, and with
/// its repeat.
fn script_all(bed: &TestBed, deed: &Deed) {
    for index in 0..GATEWAYS {
        bed.backends(index).forget_deeds();
        bed.script(index, &[deed.clone(), deed.clone()]);
    }
}

fn bed() -> TestBed {
    let kind = RequestKind::Stream { resumable: false };
    TestBed::new(&BedSettings { backends: (40, 0), has_neighbour: true, ..BedSettings::of(kind) })
}

/// The request that ends backend servers; each attempt has an id of its own.
fn poison(bed: &TestBed, attempt: usize) -> CallerRequest {
    let id = CallerRequestId::try_from(format!("attempt-{attempt}").as_str()).expect("an id");
    CallerRequest { id, body: "a body that ends whoever reads it".into(), ..bed.call() }
}

/// What a backend server does with it: its answer begins, and the process ends.
fn end_of_process(attempt: usize) -> Deed {
    let id = format!("attempt-{attempt}");
    Deed::Answer(Script::events(&[]).header("id", &id).broken())
}

fn arrivals_of(bed: &TestBed, body: &[u8]) -> Vec<String> {
    let of = |index| bed.backends(index).arrivals.borrow().clone();
    let all = (0..GATEWAYS).flat_map(of).filter(|arrival| &*arrival.body == body);
    all.map(|a| a.headers["run"].to_str().expect("a name").to_owned()).collect()
}

/// Callers lost a fifth of their quotes while one engine after the other ended, 15 to 18 of them
/// in a quarter of a minute, each back after some seconds and ended again. One caller's request
/// crashed every engine that began to run it. Its route allows one attempt, so each gateway told
/// the caller 502 and forgot it; the caller sent the same body again under a new id, to another
/// gateway, for which it was a new request. Nothing counted over ids and gateways.
///
/// What settled it were the lines of 18 engines, each with one `request.cut_off` of the same
/// fingerprint, `sends=1` and an id of its own, at eight of nine gateways:
///
///     kind=request.placed request=00e0b7db06c763f7 backend=i-fca8ac10aa version=36 send=1
///     kind=request.unknown request=00e0b7db06c763f7 age_ms=379.766 sends=1 reason=incomplete
///
/// while the engine's own record says of the same moment that its run began 79 ms before it ended,
/// and that three engines had ended under this request more than 5 s earlier.
#[test]
fn a_request_under_which_three_backend_servers_ended_is_sent_three_times_more_at_most() {
    /// How long after the third end gateways in touch with each other have to know of it.
    const WINDOW: Duration = Duration::from_secs(5);
    const PAUSE: Duration = Duration::from_millis(800);
    let bed = bed();
    let mut third_end: Option<MonotonicTime> = None;
    let mut before_window = 0;
    for attempt in 0..20 {
        let index = attempt % GATEWAYS;
        script_all(&bed, &end_of_process(attempt));
        let call = poison(&bed, attempt);
        let body = call.body.clone();
        let served = bed.world.run_until(take(bed.gateway(index), call));
        assert_ne!(served.status, 200, "attempt {attempt}: {served:?}");
        let now = bed.world.now();
        let ended = arrivals_of(&bed, &body);
        if third_end.is_none() && ended.iter().collect::<BTreeSet<_>>().len() >= 3 {
            third_end = Some(now);
        }
        if third_end.is_none_or(|at| now.since(at) < WINDOW) {
            before_window = ended.len();
        }
        // A bystander of the same caller and path is served all the while.
        let id = format!("other-{attempt}");
        let answer = Script::events(&["id: 1\n\n"]).header("id", &id);
        script_all(&bed, &Deed::Answer(answer));
        let id = CallerRequestId::try_from(id.as_str()).expect("an id");
        let other = CallerRequest { id, ..bed.call() };
        let served = bed.world.run_until(take(bed.gateway(index), other));
        assert_eq!((served.status, served.is_broken), (200, false), "attempt {attempt}");
        bed.world.run_for(PAUSE);
    }
    let body = poison(&bed, 0).body;
    let more = arrivals_of(&bed, &body).len() - before_window;
    assert!(more <= 3, "sent {more} times more, later than {WINDOW:?} after three had ended");
}

/// Ends three backend servers, each time through the first gateway, and waits until all know.
fn end_three(bed: &TestBed) {
    for attempt in 0..3 {
        script_all(bed, &end_of_process(attempt));
        bed.world.run_until(take(bed.gateway(0), poison(bed, attempt)));
        bed.world.run_for(Duration::from_secs(1));
    }
    bed.world.run_for(Duration::from_secs(2));
    script_all(bed, &Deed::Answer(Script::events(&["id: 1\n\n"]).without("id")));
}

/// Callers read 503 and 429 as the promise that a request has not run, and repeat at once what
/// failed without a word. This one has run three times, and repeating it ends another engine.
#[test]
fn a_request_that_is_held_back_is_told_so_at_every_gateway() {
    struct Case {
        what: &'static str,
        kind: RequestKind,
    }
    let cases = [
        Case { what: "stream", kind: RequestKind::Stream { resumable: false } },
        Case { what: "resumable stream", kind: RequestKind::Stream { resumable: true } },
        Case { what: "idempotent", kind: RequestKind::Idempotent },
        Case { what: "at most once", kind: RequestKind::AtMostOnce },
    ];
    for Case { what, kind } in cases {
        let settings =
            BedSettings { backends: (40, 0), has_neighbour: true, ..BedSettings::of(kind) };
        let bed = TestBed::new(&settings);
        end_three(&bed);
        let lines_before = bed.events.count("request.held_back");
        for index in 0..GATEWAYS {
            let before = arrivals_of(&bed, &poison(&bed, 0).body).len();
            let served = bed.world.run_until(take(bed.gateway(index), poison(&bed, 9)));
            let told = format!("{what}, gateway {index}: {served:?}");
            assert_eq!(served.status, 502, "{told}");
            assert_eq!(served.headers["gullglade-run"], "run", "{told}");
            let after: f64 =
                served.headers["retry-after"].to_str().expect("text").parse().expect("s");
            assert!(after > 60.0, "{told}");
            assert!(served.body.contains("fingerprint"), "{told}");
            assert_eq!(arrivals_of(&bed, &poison(&bed, 0).body).len(), before, "{told}");
        }
        let lines = bed.events.count("request.held_back") - lines_before;
        assert_eq!(lines, GATEWAYS, "{what}: one line for each");
    }
}

/// A stream that broke was resumed at another engine, which ended as well, while the count of the
/// first gateway already stood at three.
#[test]
fn a_stream_under_which_the_third_backend_server_ends_breaks_off_and_is_not_resumed() {
    let kind = RequestKind::Stream { resumable: true };
    let bed = TestBed::new(&BedSettings { backends: (40, 0), ..BedSettings::of(kind) });
    let breaks = |id: &str, event| Deed::Answer(Script::events(&[event]).header("id", id).broken());
    // Both attempts of the first call end a backend server, and the first one of the second.
    for (call, sends) in [(1, 2), (2, 1)] {
        let id = format!("attempt-{call}");
        bed.backends(0).forget_deeds();
        bed.script(0, &[breaks(&id, "id: 1\n\n"), breaks(&id, "id: 2\n\n")]);
        let before = bed.backends(0).arrivals.borrow().len();
        let served = bed.world.run_until(take(bed.gateway(0), poison(&bed, call)));
        assert!(served.is_broken, "call {call}: {served:?}");
        let arrivals = bed.backends(0).arrivals.borrow().len() - before;
        assert_eq!(arrivals, sends, "call {call}: {served:?}");
        bed.world.run_for(Duration::from_secs(1));
    }
}

/// The control process was started again with nothing, and a gateway that was just started had
/// only it to ask. What gateways know they tell again.
#[test]
fn what_is_held_back_outlives_the_control_processes() {
    let mut bed = bed();
    end_three(&bed);
    bed.restart_control();
    bed.world.run_for(Duration::from_secs(4));
    let news = bed.control_crashes().updates_after(0, gullglade_poison::UpdateScope::Suspects);
    assert_eq!(news.reports.len(), 1, "{news:?}");
}
