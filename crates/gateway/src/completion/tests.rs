//! Incomplete answers that must not appear complete.

use crate::testing::{BackendBehavior, DOCUMENT, TestGateway};

/// Guards against a truncated answer that appears complete.
#[test]
fn stream_without_finish_reason_is_incomplete() {
    let document = DOCUMENT.replace(r#"["puget", "columbia", "inland"]"#, r#"["columbia"]"#);
    let gateway = TestGateway::new(&document, true, BackendBehavior::Unfinished);
    let ask =
        r#"{"model":"ballast","stream":true,"messages":[{"role":"user","content":"Quote."}]}"#;
    let (head, body) = gateway.post_with_key("/v1/chat/completions", ask);
    assert!(gateway.client.sends.get() > 0, "{head:?}");
    assert_eq!(body, None, "{head:?}");
}
