//! Which requests are the same.

use {
    gullglade_poison::{FingerprintKey, RequestContent},
    std::collections::BTreeSet,
};

const VIEW: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "h.example",
    target: "/a/b?c=d",
    credentials: b"Bearer one",
    body: b"question",
};

#[test]
fn requests_that_differ_in_what_they_ask_have_fingerprints_of_their_own() {
    struct Case {
        what: &'static str,
        view: RequestContent<'static>,
    }
    let cases = [
        Case { what: "as it is", view: VIEW },
        Case { what: "another method", view: RequestContent { method: "PUT", ..VIEW } },
        Case {
            what: "another workspace's host",
            view: RequestContent { host: "g.example", ..VIEW },
        },
        Case { what: "another query", view: RequestContent { target: "/a/b?c=e", ..VIEW } },
        Case {
            what: "another caller",
            view: RequestContent { credentials: b"Bearer two", ..VIEW },
        },
        Case { what: "no credentials", view: RequestContent { credentials: b"", ..VIEW } },
        Case { what: "another body", view: RequestContent { body: b"questions", ..VIEW } },
        Case {
            what: "bytes moved from one field to the next",
            view: RequestContent { credentials: b"Bearer oneq", body: b"uestion", ..VIEW },
        },
        Case {
            what: "a path that ends where the host began",
            view: RequestContent { host: "h.example/a", target: "/b?c=d", ..VIEW },
        },
    ];
    let key = FingerprintKey::from([7; 32]);
    let mut seen = BTreeSet::new();
    for case in cases {
        let fingerprint = key.fingerprint(&case.view);
        assert!(seen.insert(fingerprint), "{}", case.what);
        assert_eq!(fingerprint, key.fingerprint(&case.view), "{}", case.what);
    }
}

#[test]
fn a_fleet_with_another_secret_has_other_fingerprints() {
    let (one, two) = (FingerprintKey::from([7; 32]), FingerprintKey::from([8; 32]));
    assert_ne!(one.fingerprint(&VIEW), two.fingerprint(&VIEW));
    assert_eq!(format!("{one:?}"), "FingerprintKey(..)");
}
