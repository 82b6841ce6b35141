//! What gateways of a region tell each other of their placements.

mod support;

use {
    gullglade_dispatch::{PromptPart, PromptShape},
    gullglade_peer::MAX_NOTICE_BYTES,
    gullglade_proxy::CallerRequest,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed, address},
};

fn bed() -> TestBed {
    let kind = RequestKind::Stream { resumable: false };
    TestBed::new(&BedSettings { has_neighbour: true, ..BedSettings::of(kind) })
}

/// A call with a prompt of `parts` parts.
fn prompted(bed: &TestBed, parts: u64) -> CallerRequest {
    let parts: Vec<_> = (0..parts).map(|id| PromptPart { id, tokens: 500 }).collect();
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    let prompt = PromptShape { parts, prompt_tokens, answer_tokens: 10 };
    CallerRequest { prompt: Some(prompt), ..bed.call() }
}

/// An answer whose first byte comes after the hint of its send has gone out.
fn late_answer() -> Deed {
    let after = Duration::from_millis(60);
    Deed::Answer(Script { after, ..Script::events(&["id: 1\ndata: x\n\n"]) })
}

/// Serves a call at the first gateway, and lets its hints go out.
fn serve(bed: &TestBed, call: CallerRequest) {
    bed.script(0, &[late_answer()]);
    bed.serve(call);
    bed.world.run_for(Duration::from_millis(100));
}

#[test]
fn only_the_gateways_of_the_region_are_told() {
    let bed = bed();
    serve(&bed, prompted(&bed, 3));
    let notices = bed.notices(0);
    let told: Vec<_> = notices.iter().map(|(to, _)| to.clone()).collect();
    // Of the send, and of the first byte.
    assert_eq!(told, [vec![address(4)], vec![address(4)]]);
}

#[test]
fn a_prompt_of_more_parts_than_fit_into_a_notice_is_told_without_them() {
    let bed = bed();
    serve(&bed, prompted(&bed, 2_000));
    let notices = bed.notices(0);
    // Of the send, and of the first byte.
    assert_eq!(notices.len(), 2);
    let sizes: Vec<_> = notices.iter().map(|(_, body)| body.len()).collect();
    assert!(sizes.iter().all(|size| *size <= MAX_NOTICE_BYTES), "{sizes:?} bytes");
}

#[test]
fn a_neighbour_that_is_told_uses_another_backend_server() {
    // Both gateways would send their first long prompt to the same of two idle backend servers. The
    // first one is still read when the second comes.
    let bed = bed();
    serve(&bed, prompted(&bed, 20));
    let first = bed.backends(0).arrivals.borrow()[0].address;
    let (_, body) = bed.notices(0).remove(0);
    bed.tell(2, &body);
    bed.script(2, &[Deed::Answer(Script::events(&["id: 1\ndata: x\n\n"]))]);
    let call = prompted(&bed, 2);
    bed.world.run_until(support::take(bed.gateway(2), call));
    let second = bed.backends(2).arrivals.borrow()[0].address;
    assert_ne!(first, second);
}

/// Guards against gateways that avoid a backend server whose prompts have long been read.
#[test]
fn a_neighbour_is_told_when_an_answer_begins() {
    let bed = bed();
    serve(&bed, prompted(&bed, 20));
    let first = bed.backends(0).arrivals.borrow()[0].address;
    for (_, body) in bed.notices(0) {
        bed.tell(2, &body);
    }
    bed.script(2, &[Deed::Answer(Script::events(&["id: 1\ndata: x\n\n"]))]);
    let call = prompted(&bed, 20);
    bed.world.run_until(support::take(bed.gateway(2), call));
    let second = bed.backends(2).arrivals.borrow()[0].address;
    assert_eq!(first, second, "it holds the shared parts and has nothing to read");
}

#[test]
fn a_notice_that_cannot_be_read_is_told_of_and_changes_nothing() {
    let bed = bed();
    bed.tell(2, b"\xff\xff\xff");
    let lines = bed.events.lines();
    assert!(lines.iter().any(|l| l.starts_with("gateway.notice_unreadable")), "{lines:#?}");
}
