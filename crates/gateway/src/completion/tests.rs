//! Answers that must not be shown as whole.

use crate::testing::{BackendBehavior, DOCUMENT, TestGateway};

/// Guards against an answer without its last words that looks whole.
#[test]
fn a_stream_without_a_finish_reason_is_not_whole() {
    let document = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    let gateway = TestGateway::new(&document, true, BackendBehavior::Unfinished);
    let ask =
        r#"{"model":"ballast","stream":true,"messages":[{"role":"user","content":"Quote."}]}"#;
    let (head, body) = gateway.post_with_key("/v1/chat/completions", ask);
    assert!(gateway.client.sends.get() > 0, "{head:?}");
    assert_eq!(body, None, "{head:?}");
}
