//! Streams that their callers leave before the first event.

mod support;

use {
    gullglade_proxy::CallerRequest,
    gullglade_traffic::RequestKind,
    std::time::Duration,
    support::{BedSettings, Deed, Script, TestBed},
};

const PATIENCE: Duration = Duration::from_secs(2);

const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const ONCE_ONLY: RequestKind = RequestKind::Stream { resumable: false };

struct PatienceCase {
    name: &'static str,
    kind: RequestKind,
    /// Backend servers in the own and in the other region.
    backends: (u8, u8),
    deeds: Vec<Deed>,
}

fn slow_event() -> Deed {
    Deed::Answer(Script::events(&["id: 1\ndata: a\n\n"]).paused(0, Duration::from_secs(30)))
}

/// Guards against backend servers that work on for callers who have left, since a busy gateway reads
/// late that they have.
#[test]
fn a_run_without_a_first_event_ends_before_its_caller_leaves() {
    let cases = [
        PatienceCase {
            name: "no head",
            kind: ONCE_ONLY,
            backends: (1, 0),
            deeds: vec![Deed::Hang],
        },
        PatienceCase {
            name: "a head and no event",
            kind: ONCE_ONLY,
            backends: (1, 0),
            deeds: vec![slow_event()],
        },
        PatienceCase {
            name: "in another region",
            kind: ONCE_ONLY,
            backends: (0, 1),
            deeds: vec![Deed::Hang],
        },
        PatienceCase {
            name: "replaced by another silent one",
            kind: RESUMABLE,
            backends: (2, 0),
            deeds: vec![Deed::Hang; 2],
        },
        PatienceCase {
            name: "replaced in another region",
            kind: RESUMABLE,
            backends: (0, 2),
            deeds: vec![slow_event(), slow_event()],
        },
    ];
    for PatienceCase { name, kind, backends, deeds } in cases {
        let settings =
            BedSettings { backends, event_patience: Some(PATIENCE), ..BedSettings::of(kind) };
        let bed = TestBed::new(&settings);
        let region = usize::from(backends.0 == 0);
        bed.script(region, &deeds);
        let began = bed.clock().now();
        let served = bed.serve(bed.call());
        let told = bed.clock().now().since(began);
        bed.world.run_for(Duration::from_secs(1));
        assert_eq!(served.status, 504, "{name}");
        assert!(told < PATIENCE - Duration::from_millis(250), "{name}: told after {told:?}");
        let ended = bed.backends(region).cancelled_at.borrow();
        assert_eq!(ended.len(), bed.backends(region).arrivals.borrow().len(), "{name}");
        for end in ended.iter().map(|end| end.since(began)) {
            assert!(end < PATIENCE - Duration::from_millis(250), "{name}: ended after {end:?}");
        }
    }
}

/// Guards against a run in another region that goes on as the word to end it comes late.
#[test]
fn a_run_in_another_region_ends_by_itself_over_a_slow_link() {
    for deed in [Deed::Hang, slow_event()] {
        let settings = BedSettings {
            backends: (0, 1),
            event_patience: Some(PATIENCE),
            ..BedSettings::of(ONCE_ONLY)
        };
        let bed = TestBed::new(&settings);
        bed.script(1, std::slice::from_ref(&deed));
        bed.link.set_cancel_delay(Duration::from_secs(2));
        let began = bed.clock().now();
        bed.serve(bed.call());
        bed.world.run_for(Duration::from_secs(4));
        let ended = bed.backends(1).cancelled_at.borrow();
        let ended: Vec<Duration> = ended.iter().map(|end| end.since(began)).collect();
        assert!(ended.len() == 1 && ended[0] < PATIENCE, "{deed:?}: {ended:?}");
    }
}

/// Guards against a stream that is cut as its caller goes on waiting for it.
#[test]
fn a_stream_that_has_begun_is_read_to_its_end() {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    for kind in [ONCE_ONLY, RESUMABLE] {
        let settings = BedSettings {
            backends: (1, 0),
            event_patience: Some(PATIENCE),
            ..BedSettings::of(kind)
        };
        let bed = TestBed::new(&settings);
        let script = Script::events(&events).paused(1, PATIENCE + Duration::from_secs(1));
        bed.script(0, &[Deed::Answer(script)]);
        let served = bed.serve(bed.call());
        assert_eq!((served.status, served.is_broken), (200, false), "{kind:?}");
        assert_eq!(served.body, events.concat(), "{kind:?}");
    }
}

/// Guards against a stream from another region that is cut before its caller's deadline, as its
/// gateway there counts more time on the way than the request took.
#[test]
fn a_stream_from_another_region_lasts_to_its_callers_deadline_over_a_link_that_was_slow() {
    const DEADLINE: Duration = Duration::from_secs(3);
    for slow_ms in [100, 200, 400] {
        let settings = BedSettings { backends: (0, 1), ..BedSettings::of(ONCE_ONLY) };
        let bed = TestBed::new(&settings);
        let events: Vec<&'static str> =
            (1..=5_000).map(|id| &*format!("id: {id}\ndata: a\n\n").leak()).collect();
        let call = || CallerRequest { caller_timeout: Some(DEADLINE), ..bed.call() };
        bed.script(1, &vec![Deed::Answer(Script::events(&events[..1])); 12]);
        for _ in 0..2 {
            assert_eq!(bed.serve(call()).status, 200);
        }
        bed.link.set_delay(Duration::from_millis(slow_ms));
        for _ in 0..10 {
            bed.serve(call());
        }
        bed.link.set_delay(Duration::from_millis(55));
        bed.world.run_for(Duration::from_secs(2));
        bed.backends(1).forget_deeds();
        bed.script(1, &[Deed::Answer(Script::events(&events))]);
        let began = bed.clock().now();
        let served = bed.serve(call());
        let lasted = bed.clock().now().since(began);
        assert_eq!((served.status, served.is_broken), (200, true), "{slow_ms} ms");
        let early = DEADLINE.saturating_sub(lasted);
        let what = format!("{slow_ms} ms: cut {early:?} too early, {:#?}", bed.events.lines());
        assert!(early < Duration::from_millis(20), "{what}");
        bed.world.run_for(Duration::from_secs(1));
        let ended = bed.backends(1).cancelled_at.borrow().last().expect("cut").since(began);
        assert!(ended < DEADLINE + Duration::from_millis(400), "{slow_ms} ms: ran {ended:?}");
    }
}
