//! Which requests are the same.

use {
    gullglade_poison::{PrintKey, RequestView},
    std::collections::BTreeSet,
};

const VIEW: RequestView<'static> = RequestView {
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
        view: RequestView<'static>,
    }
    let cases = [
        Case { what: "as it is", view: VIEW },
        Case { what: "another method", view: RequestView { method: "PUT", ..VIEW } },
        Case { what: "another workspace's host", view: RequestView { host: "g.example", ..VIEW } },
        Case { what: "another query", view: RequestView { target: "/a/b?c=e", ..VIEW } },
        Case { what: "another caller", view: RequestView { credentials: b"Bearer two", ..VIEW } },
        Case { what: "no credentials", view: RequestView { credentials: b"", ..VIEW } },
        Case { what: "another body", view: RequestView { body: b"questions", ..VIEW } },
        Case {
            what: "bytes moved from one field to the next",
            view: RequestView { credentials: b"Bearer oneq", body: b"uestion", ..VIEW },
        },
        Case {
            what: "a path that ends where the host began",
            view: RequestView { host: "h.example/a", target: "/b?c=d", ..VIEW },
        },
    ];
    let key = PrintKey::from([7; 32]);
    let mut seen = BTreeSet::new();
    for case in cases {
        let print = key.print(&case.view);
        assert!(seen.insert(print), "{}", case.what);
        assert_eq!(print, key.print(&case.view), "{}", case.what);
    }
}

#[test]
fn a_fleet_with_another_secret_has_other_fingerprints() {
    let (one, two) = (PrintKey::from([7; 32]), PrintKey::from([8; 32]));
    assert_ne!(one.print(&VIEW), two.print(&VIEW));
    assert_eq!(format!("{one:?}"), "PrintKey(..)");
}
