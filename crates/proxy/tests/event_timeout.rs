//! Time limit for the first event of a stream.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BackendAction, BedSettings, ScriptedResponse, TestBed},
};

const EVENT_TIMEOUT: Duration = Duration::from_secs(2);

const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const ONCE_ONLY: RequestKind = RequestKind::Stream { resumable: false };

struct EventTimeoutCase {
    name: &'static str,
    kind: RequestKind,
    /// Backend servers in the own and in the other region.
    backends: (u8, u8),
    actions: Vec<BackendAction>,
}

fn slow_event() -> BackendAction {
    BackendAction::Answer(
        ScriptedResponse::events(&["id: 1\ndata: a\n\n"]).paused(0, Duration::from_secs(30)),
    )
}

/// Guards against runs for callers that have left, since a busy gateway notices a disconnect late.
#[test]
fn run_without_first_event_ends_before_caller_leaves() {
    let cases = [
        EventTimeoutCase {
            name: "no head",
            kind: ONCE_ONLY,
            backends: (1, 0),
            actions: vec![BackendAction::Hang],
        },
        EventTimeoutCase {
            name: "a head and no event",
            kind: ONCE_ONLY,
            backends: (1, 0),
            actions: vec![slow_event()],
        },
        EventTimeoutCase {
            name: "in another region",
            kind: ONCE_ONLY,
            backends: (0, 1),
            actions: vec![BackendAction::Hang],
        },
        EventTimeoutCase {
            name: "replaced by another silent one",
            kind: RESUMABLE,
            backends: (2, 0),
            actions: vec![BackendAction::Hang; 2],
        },
        EventTimeoutCase {
            name: "replaced in another region",
            kind: RESUMABLE,
            backends: (0, 2),
            actions: vec![slow_event(), slow_event()],
        },
    ];
    for EventTimeoutCase { name, kind, backends, actions } in cases {
        let settings =
            BedSettings { backends, event_timeout: Some(EVENT_TIMEOUT), ..BedSettings::of(kind) };
        let bed = TestBed::new(&settings);
        let region = usize::from(backends.0 == 0);
        bed.script(region, &actions);
        let began = bed.clock().now();
        let response = bed.serve(bed.request());
        let responded_after = bed.clock().now().since(began);
        bed.world.run_for(Duration::from_secs(1));
        assert_eq!(response.status, 504, "{name}");
        assert!(
            responded_after < EVENT_TIMEOUT - Duration::from_millis(250),
            "{name}: responded after {responded_after:?}"
        );
        let ended = bed.backends(region).cancelled_at.borrow();
        assert_eq!(ended.len(), bed.backends(region).arrivals.borrow().len(), "{name}");
        for end in ended.iter().map(|end| end.since(began)) {
            assert!(
                end < EVENT_TIMEOUT - Duration::from_millis(250),
                "{name}: ended after {end:?}"
            );
        }
    }
}

/// Guards against a run in another region that continues because its cancellation is late.
#[test]
fn remote_run_ends_by_itself_over_slow_link() {
    for action in [BackendAction::Hang, slow_event()] {
        let settings = BedSettings {
            backends: (0, 1),
            event_timeout: Some(EVENT_TIMEOUT),
            ..BedSettings::of(ONCE_ONLY)
        };
        let bed = TestBed::new(&settings);
        bed.script(1, std::slice::from_ref(&action));
        bed.link.set_cancel_delay(Duration::from_secs(2));
        let began = bed.clock().now();
        bed.serve(bed.request());
        bed.world.run_for(Duration::from_secs(4));
        let ended = bed.backends(1).cancelled_at.borrow();
        let ended: Vec<Duration> = ended.iter().map(|end| end.since(began)).collect();
        assert!(ended.len() == 1 && ended[0] < EVENT_TIMEOUT, "{action:?}: {ended:?}");
    }
}

/// Guards against cutting off a stream whose caller keeps waiting for it.
#[test]
fn begun_stream_is_read_to_its_end() {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    for kind in [ONCE_ONLY, RESUMABLE] {
        let settings = BedSettings {
            backends: (1, 0),
            event_timeout: Some(EVENT_TIMEOUT),
            ..BedSettings::of(kind)
        };
        let bed = TestBed::new(&settings);
        let script =
            ScriptedResponse::events(&events).paused(1, EVENT_TIMEOUT + Duration::from_secs(1));
        bed.script(0, &[BackendAction::Answer(script)]);
        let response = bed.serve(bed.request());
        assert_eq!((response.status, response.is_incomplete), (200, false), "{kind:?}");
        assert_eq!(response.body, events.concat(), "{kind:?}");
    }
}

/// Guards against a stream from another region that is cut off before its caller's deadline,
/// because the gateway there deducts more transit time than the request took.
#[test]
fn remote_stream_lasts_to_caller_deadline_after_slow_link() {
    const DEADLINE: Duration = Duration::from_secs(3);
    for slow_ms in [100, 200, 400] {
        let settings = BedSettings { backends: (0, 1), ..BedSettings::of(ONCE_ONLY) };
        let bed = TestBed::new(&settings);
        let events: Vec<&'static str> =
            (1..=5_000).map(|id| &*format!("id: {id}\ndata: a\n\n").leak()).collect();
        let request = || CallerRequest { caller_timeout: Some(DEADLINE), ..bed.request() };
        bed.script(1, &vec![BackendAction::Answer(ScriptedResponse::events(&events[..1])); 12]);
        for _ in 0..2 {
            assert_eq!(bed.serve(request()).status, 200);
        }
        bed.link.set_delay(Duration::from_millis(slow_ms));
        for _ in 0..10 {
            bed.serve(request());
        }
        bed.link.set_delay(Duration::from_millis(55));
        bed.world.run_for(Duration::from_secs(2));
        bed.backends(1).clear_actions();
        bed.script(1, &[BackendAction::Answer(ScriptedResponse::events(&events))]);
        let began = bed.clock().now();
        let response = bed.serve(request());
        let lasted = bed.clock().now().since(began);
        assert_eq!((response.status, response.is_incomplete), (200, true), "{slow_ms} ms");
        let early = DEADLINE.saturating_sub(lasted);
        let what = format!("{slow_ms} ms: cut {early:?} too early, {:#?}", bed.events.lines());
        assert!(early < Duration::from_millis(20), "{what}");
        bed.world.run_for(Duration::from_secs(1));
        let ended = bed.backends(1).cancelled_at.borrow().last().expect("cut").since(began);
        assert!(ended < DEADLINE + Duration::from_millis(400), "{slow_ms} ms: ran {ended:?}");
    }
}
