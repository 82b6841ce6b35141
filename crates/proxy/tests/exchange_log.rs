//! Log lines of sends that bring no response for the caller.

mod support;

use {
    gullglade_traffic::RequestKind,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

/// Guards against outcomes of sends whose reason cannot be found in the logs afterwards.
#[test]
fn sends_without_a_response_state_why_their_outcome_was_believed() {
    struct Case {
        what: &'static str,
        action: BackendAction,
        /// Fields of the line and their values.
        expected: &'static [(&'static str, &'static str)],
    }
    let rejected = || ScriptedResponse::signed(503, &[]).header("not-run", "1");
    let cases = [
        Case {
            what: "a rejection",
            action: BackendAction::Answer(rejected()),
            expected: &[("cause", "not_run"), ("status", "503"), ("reply_to", "call-1")],
        },
        Case {
            what: "a reply to another request",
            action: BackendAction::Answer(rejected().header("id", "call-0")),
            expected: &[("cause", "other_request"), ("reply_to", "call-0")],
        },
        Case {
            what: "a success without a signature",
            action: BackendAction::Answer(ScriptedResponse::signed(200, &["x"]).without("signed")),
            expected: &[("cause", "unverified"), ("status", "200")],
        },
        Case {
            what: "an unasserted status",
            action: BackendAction::Answer(ScriptedResponse::signed(503, &[]).without("signed")),
            expected: &[("cause", "misleading"), ("status", "503")],
        },
        Case {
            what: "no connection",
            action: BackendAction::Unreachable,
            expected: &[("nothing_sent", "true")],
        },
        Case {
            what: "a connection that broke",
            action: BackendAction::Close,
            expected: &[("nothing_sent", "false")],
        },
    ];
    for Case { what, action, expected } in cases {
        let bed = TestBed::new(&BedSettings::of(RequestKind::AtMostOnce));
        let answer = BackendAction::Answer(ScriptedResponse::signed(200, &["done"]));
        bed.script(0, &[action, answer]);
        bed.serve(bed.request());
        let lines = bed.events.lines();
        let is_failure = |line: &&String| line.starts_with("request.exchange_failed ");
        let failures: Vec<_> = lines.iter().filter(is_failure).collect();
        assert_eq!(failures.len(), 1, "{what}: {lines:#?}");
        for (key, value) in expected {
            let field = format!(" {key}={value}");
            assert!(failures[0].contains(&field), "{what}: {field} in {failures:?}");
        }
    }
}
