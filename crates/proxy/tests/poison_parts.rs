//! A part of a prompt that crashes each backend server that begins an answer on it.

mod support;

use {
    gullglade_dispatch::{PromptPart, PromptShape},
    gullglade_poison::{FingerprintKey, RequestContent},
    gullglade_proxy::{CallerRequest, CallerRequestId},
    gullglade_traffic::RequestKind,
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    http::{HeaderMap, HeaderValue},
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, fetch},
};

/// Gateways of a test bed with a neighbour: two in one region, and one in a region without backend
/// servers.
const GATEWAYS: usize = 3;

/// Part that all requests begin with, and parts of which each request has one.
const COMMON_PART: u64 = 0xa0;
const SOUND_PART: u64 = 0xb1;
const POISON_PART: u64 = 0xbad;

/// Service of the test bed's route.
const SERVICE: &str = "pool";

/// Time after the fifth crash by which connected gateways must know of it.
const WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of requests with the part that may be sent later than [`WINDOW`].
const MAX_LATE_SENDS: usize = 3;

fn bed() -> TestBed {
    let kind = RequestKind::Stream { resumable: false };
    TestBed::new(&BedSettings { backends: (40, 0), has_neighbour: true, ..BedSettings::of(kind) })
}

/// Has the backend servers of all gateways perform `action` with the next request and its retry.
fn script_all(bed: &TestBed, action: &BackendAction) {
    for index in 0..GATEWAYS {
        bed.backends(index).clear_actions();
        bed.script(index, &[action.clone(), action.clone()]);
    }
}

/// Returns a request with these shared parts; its id, body and last part are its own.
fn request(bed: &TestBed, number: usize, shared: &[u64]) -> CallerRequest {
    let id = CallerRequestId::try_from(format!("call-{number}").as_str()).expect("an id");
    let own = 0x1_0000 + number as u64;
    let parts: Vec<PromptPart> =
        shared.iter().chain([&own]).map(|id| PromptPart { id: *id, tokens: 10 }).collect();
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    let prompt =
        PromptShape { parts, prompt_tokens, answer_tokens: 20, expected_answer_tokens: None };
    let body = format!("question {number}").into();
    CallerRequest { id, body, prompt: Some(prompt), ..bed.request() }
}

fn response(number: usize, events: &[&'static str]) -> ScriptedResponse {
    ScriptedResponse::events(events).header("id", &format!("call-{number}"))
}

fn arrivals(bed: &TestBed) -> usize {
    (0..GATEWAYS).map(|index| bed.backends(index).arrivals.borrow().len()).sum()
}

/// Sends a request through a gateway; `action` is what each backend server does with it.
fn send(
    bed: &TestBed,
    gateway: usize,
    request: CallerRequest,
    action: ScriptedResponse,
) -> (u16, bool, HeaderMap) {
    script_all(bed, &BackendAction::Answer(action));
    let response = bed.world.run_until(fetch(bed.gateway(gateway), request));
    (response.status, response.is_incomplete, response.headers)
}

/// Guards against a prompt part that ends one backend server after another: no two requests with it
/// are alike, so crashes that are counted for whole requests never add up.
#[test]
fn prompt_part_that_ended_five_backends_is_sent_at_most_three_more_times() {
    let bed = bed();
    let mut fifth_crash: Option<MonotonicTime> = None;
    let (mut crashes, mut late, mut number) = (0, 0, 0);
    for round in 0..30 {
        let gateway = round % GATEWAYS;
        let before = arrivals(&bed);
        let poison = request(&bed, number, &[COMMON_PART, POISON_PART]);
        let (status, ..) = send(&bed, gateway, poison, response(number, &[]).incomplete());
        number += 1;
        assert_ne!(status, 200, "round {round}");
        let sent = arrivals(&bed) - before;
        let now = bed.world.now();
        if fifth_crash.is_some_and(|at| now.since(at) > WINDOW) {
            late += sent;
        }
        crashes += sent;
        if crashes >= 5 {
            fifth_crash.get_or_insert(now);
        }
        // Sound requests that share the caller and the other parts are served all the time.
        for shared in [[COMMON_PART, SOUND_PART].as_slice(), &[COMMON_PART]] {
            let sound = request(&bed, number, shared);
            let (status, is_incomplete, _) =
                send(&bed, gateway, sound, response(number, &["id: 1\ndata: x\n\n"]));
            number += 1;
            assert_eq!((status, is_incomplete), (200, false), "round {round}, {shared:x?}");
        }
        bed.world.run_for(Duration::from_millis(700));
    }
    assert!(crashes >= 3, "the backend servers must have been given a chance to crash");
    assert!(late <= MAX_LATE_SENDS, "sent {late} times more, {crashes} in all");
}

/// Ends `count` backend servers with requests that have the part, and waits until all gateways know.
fn end_backends(bed: &TestBed, count: usize) {
    for number in 0..count {
        let poison = request(bed, number, &[COMMON_PART, POISON_PART]);
        send(bed, 0, poison, response(number, &[]).incomplete());
        let sound = request(bed, 1_000 + number, &[COMMON_PART]);
        send(bed, 0, sound, response(1_000 + number, &["id: 1\ndata: x\n\n"]));
        bed.world.run_for(Duration::from_secs(1));
    }
    bed.world.run_for(Duration::from_secs(2));
}

/// Guards against a wrong statement about a new request with such a part, which has not run: its
/// caller may send it elsewhere, but gains nothing by a retry before the hold ends.
#[test]
fn request_with_held_prompt_part_is_refused_as_not_run() {
    let bed = bed();
    end_backends(&bed, 3);
    for gateway in 0..GATEWAYS {
        let before = arrivals(&bed);
        let number = 100 + gateway;
        let poison = request(&bed, number, &[COMMON_PART, POISON_PART]);
        let (status, _, headers) = send(&bed, gateway, poison, response(number, &["id: 1\n\n"]));
        assert_eq!(status, 503, "gateway {gateway}");
        assert_eq!(headers["gullglade-run"], HeaderValue::from_static("not-run"));
        let after: f64 = headers["retry-after"].to_str().expect("text").parse().expect("s");
        assert!(after > 60.0, "gateway {gateway}: {after}");
        assert_eq!(arrivals(&bed), before, "gateway {gateway}");
    }
}

/// Reports three crashes of backend servers that have been replaced since, and waits until all
/// gateways know.
fn report_crashes(bed: &TestBed) {
    let key = FingerprintKey::from([1; 32]);
    let parts = [key.part_fingerprint(SERVICE, POISON_PART)];
    for number in 0..3_u8 {
        let content = key.fingerprint(&RequestContent {
            method: "POST",
            host: "h",
            target: "/",
            credentials: b"",
            body: &[number],
        });
        let backend = BackendName::try_from(format!("replaced-{number}").as_str()).expect("a name");
        let run = BackendRun { backend, incarnation: Incarnation(1) };
        bed.control_crash_ledger().record_parts_cut_off(&parts, content, &run);
        bed.world.run_for(Duration::from_secs(1));
    }
    bed.world.run_for(Duration::from_secs(2));
}

/// Guards against all gateways sending a part at once when its hold ends: each would crash a backend
/// server before the first crash is known.
#[test]
fn one_request_of_all_gateways_probes_a_part_whose_hold_has_ended() {
    let bed = bed();
    report_crashes(&bed);
    let before = arrivals(&bed);
    bed.world.run_for(Duration::from_secs(600));
    let (mut number, mut refused) = (100, 0);
    for round in 0..1_200 {
        let poison = request(&bed, number, &[COMMON_PART, POISON_PART]);
        let crash = response(number, &[]).incomplete();
        let (status, ..) = send(&bed, round % GATEWAYS, poison, crash);
        refused += usize::from(status == 503);
        number += 1;
        bed.world.run_for(Duration::from_millis(50));
    }
    assert_eq!(arrivals(&bed) - before, 1, "one probe");
    assert_eq!(refused, 1_199, "all others are told that they have not run");
    assert_eq!(bed.events.count("poison.probed"), 1);
}

/// Guards against a part that stays held although backend servers answer it again.
#[test]
fn answered_probe_ends_the_hold_at_all_gateways() {
    let bed = bed();
    report_crashes(&bed);
    bed.world.run_for(Duration::from_secs(600));
    let mut number = 100;
    for round in 0..1_200 {
        let sound = request(&bed, number, &[COMMON_PART, POISON_PART]);
        send(&bed, round % GATEWAYS, sound, response(number, &["id: 1\ndata: x\n\n"]));
        number += 1;
        bed.world.run_for(Duration::from_millis(50));
    }
    for gateway in 0..GATEWAYS {
        let sound = request(&bed, number, &[COMMON_PART, POISON_PART]);
        let answer = response(number, &["id: 1\ndata: x\n\n"]);
        assert_eq!(send(&bed, gateway, sound, answer).0, 200, "gateway {gateway}");
        number += 1;
    }
}
