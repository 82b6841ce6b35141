//! Equality of content fingerprints.

use {
    gullglade_poison::{FingerprintKey, RequestContent},
    std::collections::BTreeSet,
};

const REQUEST: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "h.example",
    target: "/a/b?c=d",
    credentials: b"Bearer one",
    body: b"question",
};

#[test]
fn requests_with_different_content_have_different_fingerprints() {
    struct Case {
        name: &'static str,
        request: RequestContent<'static>,
    }
    let cases = [
        Case { name: "unchanged", request: REQUEST },
        Case { name: "another method", request: RequestContent { method: "PUT", ..REQUEST } },
        Case {
            name: "another workspace's host",
            request: RequestContent { host: "g.example", ..REQUEST },
        },
        Case { name: "another query", request: RequestContent { target: "/a/b?c=e", ..REQUEST } },
        Case {
            name: "another caller",
            request: RequestContent { credentials: b"Bearer two", ..REQUEST },
        },
        Case { name: "no credentials", request: RequestContent { credentials: b"", ..REQUEST } },
        Case { name: "another body", request: RequestContent { body: b"questions", ..REQUEST } },
        Case {
            name: "bytes moved from one field to the next",
            request: RequestContent { credentials: b"Bearer oneq", body: b"uestion", ..REQUEST },
        },
        Case {
            name: "a path that ends where the host began",
            request: RequestContent { host: "h.example/a", target: "/b?c=d", ..REQUEST },
        },
    ];
    let key = FingerprintKey::from([7; 32]);
    let mut seen = BTreeSet::new();
    for case in cases {
        let fingerprint = key.fingerprint(&case.request);
        assert!(seen.insert(fingerprint), "{}", case.name);
        assert_eq!(fingerprint, key.fingerprint(&case.request), "{}", case.name);
    }
}

#[test]
fn fingerprints_depend_on_the_secret() {
    let (one, two) = (FingerprintKey::from([7; 32]), FingerprintKey::from([8; 32]));
    assert_ne!(one.fingerprint(&REQUEST), two.fingerprint(&REQUEST));
    assert_eq!(format!("{one:?}"), "FingerprintKey(..)");
}
