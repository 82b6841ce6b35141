//! Responses that end with their connection, and streams that end inside an event.

mod support;

use {
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed, fetch},
};

/// Guards against a backend server that crashes before or inside an event of a response without
/// framing: its connection ends like that of a whole response.
#[test]
fn unframed_streams_are_whole_only_after_complete_events() {
    struct Case {
        what: &'static str,
        response: ScriptedResponse,
        /// Status, and whether the caller sees that the response is incomplete.
        expected: (u16, bool),
        is_cut_off: bool,
    }
    let events = ScriptedResponse::events;
    let cases = [
        Case {
            what: "complete events",
            response: events(&["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"]).unframed(),
            expected: (200, false),
            is_cut_off: false,
        },
        Case {
            what: "no event",
            response: events(&[]).unframed(),
            expected: (502, false),
            is_cut_off: true,
        },
        Case {
            what: "only a comment",
            response: events(&[": busy\n\n"]).unframed(),
            expected: (200, true),
            is_cut_off: true,
        },
        Case {
            what: "inside the first event",
            response: events(&["id: 1\nda"]).unframed(),
            expected: (502, false),
            is_cut_off: true,
        },
        Case {
            what: "inside a later event",
            response: events(&["id: 1\ndata: x\n\n", "id: 2\n"]).unframed(),
            expected: (200, true),
            is_cut_off: true,
        },
        Case {
            what: "framed, inside a later event",
            response: events(&["id: 1\ndata: x\n\n", "id: 2\n"]),
            expected: (200, true),
            is_cut_off: true,
        },
        Case {
            what: "framed, without an event",
            response: events(&[]),
            expected: (200, false),
            is_cut_off: false,
        },
        Case {
            what: "a plain answer",
            response: ScriptedResponse::signed(200, &["all of it"]).unframed(),
            expected: (200, false),
            is_cut_off: false,
        },
    ];
    // Backend servers in the gateway's region, and in another one only.
    for backends in [(2, 0), (0, 2)] {
        for Case { what, response, expected, is_cut_off } in &cases {
            let kind = RequestKind::Stream { resumable: false };
            let bed = TestBed::new(&BedSettings { backends, ..BedSettings::of(kind) });
            let index = usize::from(backends.0 == 0);
            bed.script(index, &[BackendAction::Answer(response.clone())]);
            let received = bed.world.run_until(fetch(bed.gateway(0), bed.request()));
            bed.world.run_for(Duration::from_millis(500));
            let actual = (received.status, received.is_incomplete);
            assert_eq!(actual, *expected, "{what}, {backends:?}: {received:?}");
            let is_counted = bed.events.count("request.cut_off") > 0;
            assert_eq!(is_counted, *is_cut_off, "{what}, {backends:?}: counted as cut off");
        }
    }
}

/// Guards against a resumable stream whose backend server crashes inside an event without framing:
/// the caller would miss the rest.
#[test]
fn unframed_stream_that_broke_off_is_resumed() {
    let kind = RequestKind::Stream { resumable: true };
    for broken in [&["id: 1\ndata: x\n\n", "id: 2\nda"][..], &[]] {
        let bed = TestBed::new(&BedSettings::of(kind));
        let first = ScriptedResponse::events(broken).unframed();
        let second = ScriptedResponse::events(&["id: 2\ndata: y\n\n"]).unframed();
        bed.script(0, &[BackendAction::Answer(first), BackendAction::Answer(second)]);
        let received = bed.world.run_until(fetch(bed.gateway(0), bed.request()));
        assert_eq!((received.status, received.is_incomplete), (200, false), "{broken:?}");
        assert!(received.body.ends_with("id: 2\ndata: y\n\n"), "{broken:?}: {received:?}");
        assert_eq!(bed.backends(0).arrivals.borrow().len(), 2, "{broken:?}");
    }
}
