//! Hints between the gateways of a region about sent requests.

mod support;

use {
    gullglade_dispatch::{PromptPart, PromptShape},
    gullglade_peer::MAX_NOTICE_BYTES,
    gullglade_proxy::CallerRequest,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, address},
};

fn bed() -> TestBed {
    let kind = RequestKind::Stream { resumable: false };
    TestBed::new(&BedSettings { has_neighbour: true, ..BedSettings::of(kind) })
}

/// Returns a request with a prompt of `parts` parts.
fn request_with_prompt(bed: &TestBed, parts: u64) -> CallerRequest {
    let parts: Vec<_> = (0..parts).map(|id| PromptPart { id, tokens: 500 }).collect();
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    let prompt =
        PromptShape { parts, prompt_tokens, answer_tokens: 10, expected_answer_tokens: None };
    CallerRequest { prompt: Some(prompt), ..bed.request() }
}

/// A response whose first byte comes after the hint about its request was sent.
fn late_response() -> BackendAction {
    let after = Duration::from_millis(60);
    BackendAction::Answer(ScriptedResponse {
        after,
        ..ScriptedResponse::events(&["id: 1\ndata: x\n\n"])
    })
}

/// Serves a request at the first gateway, and lets its hints go out.
fn serve(bed: &TestBed, request: CallerRequest) {
    bed.script(0, &[late_response()]);
    bed.serve(request);
    bed.world.run_for(Duration::from_millis(100));
}

#[test]
fn hints_go_only_to_gateways_of_the_region() {
    let bed = bed();
    serve(&bed, request_with_prompt(&bed, 3));
    let notices = bed.notices(0);
    let recipients: Vec<_> = notices.iter().map(|(to, _)| to.clone()).collect();
    // One hint for the send and one for the first byte.
    assert_eq!(recipients, [vec![address(4)], vec![address(4)]]);
}

#[test]
fn oversized_prompt_hint_is_sent_without_parts() {
    let bed = bed();
    serve(&bed, request_with_prompt(&bed, 2_000));
    let notices = bed.notices(0);
    // One hint for the send and one for the first byte.
    assert_eq!(notices.len(), 2);
    let sizes: Vec<_> = notices.iter().map(|(_, body)| body.len()).collect();
    assert!(sizes.iter().all(|size| *size <= MAX_NOTICE_BYTES), "{sizes:?} bytes");
}

#[test]
fn hinted_gateway_uses_another_backend() {
    // Without hints both gateways would send their first long prompt to the same one of two idle
    // backend servers. The first prompt is still being read when the second one arrives.
    let bed = bed();
    serve(&bed, request_with_prompt(&bed, 20));
    let first = bed.backends(0).arrivals.borrow()[0].address;
    let (_, body) = bed.notices(0).remove(0);
    bed.deliver_notice(2, &body);
    bed.script(2, &[BackendAction::Answer(ScriptedResponse::events(&["id: 1\ndata: x\n\n"]))]);
    let request = request_with_prompt(&bed, 2);
    bed.world.run_until(support::fetch(bed.gateway(2), request));
    let second = bed.backends(2).arrivals.borrow()[0].address;
    assert_ne!(first, second);
}

/// Guards against gateways that avoid a backend server although it has finished reading its
/// prompts.
#[test]
fn hint_reports_begun_response() {
    let bed = bed();
    serve(&bed, request_with_prompt(&bed, 20));
    let first = bed.backends(0).arrivals.borrow()[0].address;
    for (_, body) in bed.notices(0) {
        bed.deliver_notice(2, &body);
    }
    bed.script(2, &[BackendAction::Answer(ScriptedResponse::events(&["id: 1\ndata: x\n\n"]))]);
    let request = request_with_prompt(&bed, 20);
    bed.world.run_until(support::fetch(bed.gateway(2), request));
    let second = bed.backends(2).arrivals.borrow()[0].address;
    assert_eq!(first, second, "it holds the shared parts and has nothing to read");
}

#[test]
fn unreadable_notice_is_logged_and_ignored() {
    let bed = bed();
    bed.deliver_notice(2, b"\xff\xff\xff");
    let lines = bed.events.lines();
    assert!(lines.iter().any(|l| l.starts_with("gateway.notice_unreadable")), "{lines:#?}");
}
