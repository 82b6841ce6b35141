//! A request that ends each backend server that runs it.

mod support;

use {
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::RequestKind,
    gullglade_units::MonotonicTime,
    std::{collections::BTreeSet, time::Duration},
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, fetch},
};

/// Gateways of a test bed with a neighbour: two in one region, and one in a region without backend
/// servers.
const GATEWAYS: usize = 3;

/// Has the backend servers of all gateways perform `action` with the next request and its retry.
fn script_all(bed: &TestBed, action: &BackendAction) {
    for index in 0..GATEWAYS {
        bed.backends(index).clear_actions();
        bed.script(index, &[action.clone(), action.clone()]);
    }
}

fn bed() -> TestBed {
    let kind = RequestKind::Stream { resumable: false };
    TestBed::new(&BedSettings { backends: (40, 0), has_neighbour: true, ..BedSettings::of(kind) })
}

/// Returns the request that ends backend servers; each attempt has its own id.
fn poison_request(bed: &TestBed, attempt: usize) -> CallerRequest {
    let id = CallerRequestId::try_from(format!("attempt-{attempt}").as_str()).expect("an id");
    CallerRequest { id, body: "a body that ends whoever reads it".into(), ..bed.request() }
}

/// The backend server's process ends after the head of its response.
fn backend_crash(attempt: usize) -> BackendAction {
    let id = format!("attempt-{attempt}");
    BackendAction::Answer(ScriptedResponse::events(&[]).header("id", &id).incomplete())
}

fn arrivals_of(bed: &TestBed, body: &[u8]) -> Vec<String> {
    let of = |index| bed.backends(index).arrivals.borrow().clone();
    let all = (0..GATEWAYS).flat_map(of).filter(|arrival| &*arrival.body == body);
    all.map(|a| a.headers["run"].to_str().expect("a name").to_owned()).collect()
}

/// Guards against a request that ends one backend server after another. Its route allows one
/// attempt, so each gateway reports the failure and forgets the request; the caller sends the same
/// body again with a new id to another gateway, which treats it as a new request. The ends must
/// therefore be counted across ids and gateways.
#[test]
fn request_that_ended_three_backends_is_sent_at_most_three_more_times() {
    /// Time after the third end by which connected gateways must know of it.
    const WINDOW: Duration = Duration::from_secs(5);
    const PAUSE: Duration = Duration::from_millis(800);
    let bed = bed();
    let mut third_end: Option<MonotonicTime> = None;
    let mut before_window = 0;
    for attempt in 0..20 {
        let index = attempt % GATEWAYS;
        script_all(&bed, &backend_crash(attempt));
        let request = poison_request(&bed, attempt);
        let body = request.body.clone();
        let response = bed.world.run_until(fetch(bed.gateway(index), request));
        assert_ne!(response.status, 200, "attempt {attempt}: {response:?}");
        let now = bed.world.now();
        let ended = arrivals_of(&bed, &body);
        if third_end.is_none() && ended.iter().collect::<BTreeSet<_>>().len() >= 3 {
            third_end = Some(now);
        }
        if third_end.is_none_or(|at| now.since(at) < WINDOW) {
            before_window = ended.len();
        }
        // Another request of the same caller and path is served all the time.
        let id = format!("other-{attempt}");
        let answer = ScriptedResponse::events(&["id: 1\n\n"]).header("id", &id);
        script_all(&bed, &BackendAction::Answer(answer));
        let id = CallerRequestId::try_from(id.as_str()).expect("an id");
        let other = CallerRequest { id, ..bed.request() };
        let response = bed.world.run_until(fetch(bed.gateway(index), other));
        assert_eq!((response.status, response.is_incomplete), (200, false), "attempt {attempt}");
        bed.world.run_for(PAUSE);
    }
    let body = poison_request(&bed, 0).body;
    let more = arrivals_of(&bed, &body).len() - before_window;
    assert!(more <= 3, "sent {more} times more, later than {WINDOW:?} after three had ended");
}

/// Ends three backend servers through the first gateway, and waits until all gateways know.
fn end_three_backends(bed: &TestBed) {
    for attempt in 0..3 {
        script_all(bed, &backend_crash(attempt));
        bed.world.run_until(fetch(bed.gateway(0), poison_request(bed, attempt)));
        bed.world.run_for(Duration::from_secs(1));
    }
    bed.world.run_for(Duration::from_secs(2));
    script_all(bed, &BackendAction::Answer(ScriptedResponse::events(&["id: 1\n\n"]).without("id")));
}

/// Callers take 503 and 429 for a guarantee that a request has not run, and retry at once a failure
/// without a status. This request has run three times, and retrying it would end another engine.
#[test]
fn held_back_request_is_reported_at_every_gateway() {
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
        end_three_backends(&bed);
        let lines_before = bed.events.count("request.held_back");
        for index in 0..GATEWAYS {
            let before = arrivals_of(&bed, &poison_request(&bed, 0).body).len();
            let response = bed.world.run_until(fetch(bed.gateway(index), poison_request(&bed, 9)));
            let context = format!("{what}, gateway {index}: {response:?}");
            assert_eq!(response.status, 502, "{context}");
            assert_eq!(response.headers["gullglade-run"], "run", "{context}");
            let after: f64 =
                response.headers["retry-after"].to_str().expect("text").parse().expect("s");
            assert!(after > 60.0, "{context}");
            assert!(response.body.contains("fingerprint"), "{context}");
            assert_eq!(arrivals_of(&bed, &poison_request(&bed, 0).body).len(), before, "{context}");
        }
        let lines = bed.events.count("request.held_back") - lines_before;
        assert_eq!(lines, GATEWAYS, "{what}: one line for each");
    }
}

/// Guards against resuming a broken stream at another engine, which ends as well, when three ends
/// are already known.
#[test]
fn stream_is_not_resumed_after_third_backend_end() {
    let kind = RequestKind::Stream { resumable: true };
    let bed = TestBed::new(&BedSettings { backends: (40, 0), ..BedSettings::of(kind) });
    let breaks = |id: &str, event| {
        BackendAction::Answer(ScriptedResponse::events(&[event]).header("id", id).incomplete())
    };
    // Both attempts of the first request end a backend server, and so does the first attempt of the
    // second.
    for (request, sends) in [(1, 2), (2, 1)] {
        let id = format!("attempt-{request}");
        bed.backends(0).clear_actions();
        bed.script(0, &[breaks(&id, "id: 1\n\n"), breaks(&id, "id: 2\n\n")]);
        let before = bed.backends(0).arrivals.borrow().len();
        let response = bed.world.run_until(fetch(bed.gateway(0), poison_request(&bed, request)));
        assert!(response.is_incomplete, "request {request}: {response:?}");
        let arrivals = bed.backends(0).arrivals.borrow().len() - before;
        assert_eq!(arrivals, sends, "request {request}: {response:?}");
        bed.world.run_for(Duration::from_secs(1));
    }
}

/// Guards against a hold that is lost when the control process restarts without data, while a newly
/// started gateway can only ask the control process. The gateways must report it again.
#[test]
fn holds_survive_control_process_restart() {
    let mut bed = bed();
    end_three_backends(&bed);
    bed.restart_control();
    bed.world.run_for(Duration::from_secs(4));
    let news = bed.control_crash_ledger().updates_after(0, gullglade_poison::UpdateScope::Suspects);
    assert_eq!(news.reports.len(), 1, "{news:?}");
}
