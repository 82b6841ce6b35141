//! Holds, releases and expiry of the crash tracker of one process.

use {
    gullglade_poison::{
        ContentFingerprint, CrashSuspect, CrashTracker, CrashTrackerSettings, CrashUpdate,
        FingerprintKey, RawCrashTrackerSettings, RequestContent, UpdateScope,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    std::time::Duration,
};

const HOLD: Duration = Duration::from_secs(600);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn fingerprint(number: u64) -> ContentFingerprint {
    let body = number.to_le_bytes();
    let view =
        RequestContent { method: "POST", host: "h", target: "/", credentials: b"", body: &body };
    FingerprintKey::from([1; 32]).fingerprint(&view)
}

fn run(number: u64) -> BackendRun {
    let backend = BackendName::try_from(format!("i-{number}")).expect("a name");
    BackendRun { backend, incarnation: Incarnation(1) }
}

fn tracker() -> CrashTracker {
    CrashTracker::new(CrashTrackerSettings::default())
}

/// An event recorded by the tracker.
#[derive(Clone, Copy)]
enum Event {
    /// Request, run, time.
    CutOff(u64, u64, u64),
    /// Request, time.
    Answer(u64, u64),
    /// Run, send time of the answered request.
    Alive(u64, u64),
    /// Request, time.
    Release(u64, u64),
}

fn record(tracker: &mut CrashTracker, event: Event) {
    match event {
        Event::CutOff(request, of, time) => {
            let sent = at(time.saturating_sub(100));
            tracker.record_cut_off(fingerprint(request), run(of), sent, at(time));
        }
        Event::Answer(request, time) => tracker.record_answer(fingerprint(request), time, at(time)),
        Event::Alive(of, sent) => {
            tracker.record_alive(&run(of), at(sent));
        }
        Event::Release(request, time) => {
            tracker.release(CrashSuspect::Content(fingerprint(request)), at(time));
        }
    }
}

#[test]
fn holds_requests_by_their_crash_history() {
    use Event::{Alive, Answer, CutOff, Release};
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        held: Vec<u64>,
    }
    let third = |request| {
        [CutOff(request, 1, 1_000), CutOff(request, 2, 2_000), CutOff(request, 3, 3_000)].to_vec()
    };
    let cases = [
        Case { name: "nothing", events: vec![], held: vec![] },
        Case { name: "three crashes", events: third(1), held: vec![1] },
        Case { name: "two crashes", events: third(1)[..2].to_vec(), held: vec![] },
        Case {
            name: "one crash, reported by three gateways",
            events: vec![CutOff(1, 1, 1_000), CutOff(1, 1, 2_000), CutOff(1, 1, 3_000)],
            held: vec![],
        },
        Case {
            name: "the loss of a failure domain interrupts three sends of one request",
            events: vec![CutOff(1, 1, 1_000), CutOff(1, 2, 1_050), CutOff(1, 3, 1_090)],
            held: vec![],
        },
        Case {
            name: "retried at once after each crash",
            events: vec![CutOff(1, 1, 1_000), CutOff(1, 2, 1_120), CutOff(1, 3, 1_240)],
            held: vec![1],
        },
        Case {
            name: "answered in between",
            events: vec![
                CutOff(1, 1, 1_000),
                CutOff(1, 2, 2_000),
                Answer(1, 2_500),
                CutOff(1, 3, 3_000),
            ],
            held: vec![],
        },
        Case {
            name: "answered in between, with more crashes than answers",
            events: [&third(1)[..], &[Answer(1, 3_500), CutOff(1, 4, 4_000)]].concat(),
            held: vec![1],
        },
        Case {
            name: "answered by a send from before the hold",
            events: [&third(1)[..], &[Answer(1, 3_500)]].concat(),
            held: vec![],
        },
        Case {
            name: "a run that answers a later request had only lost a connection",
            events: [&third(1)[..], &[Alive(2, 3_500)]].concat(),
            held: vec![],
        },
        Case {
            name: "a run that answered a request sent right before its crash",
            events: [&third(1)[..], &[Alive(2, 2_100)]].concat(),
            held: vec![1],
        },
        Case {
            name: "an unrelated request on two of the crashed runs and on one of another request",
            events: [
                &third(1)[..],
                &[CutOff(1, 4, 4_000)],
                &[CutOff(2, 1, 1_000), CutOff(2, 2, 2_000), CutOff(2, 9, 9_000)],
            ]
            .concat(),
            held: vec![1],
        },
        Case {
            name: "two causes that shared one engine, which only one of them crashed",
            events: [
                &third(1)[..],
                &[CutOff(2, 1, 1_000), CutOff(2, 5, 5_000), CutOff(2, 6, 6_000)],
                &[CutOff(2, 7, 7_000), CutOff(1, 4, 8_000)],
            ]
            .concat(),
            held: vec![1, 2],
        },
        Case {
            name: "released by an operator",
            events: [&third(1)[..], &[Release(1, 4_000)]].concat(),
            held: vec![],
        },
        Case {
            name: "released, followed by three more crashes",
            events: [
                &third(1)[..],
                &[Release(1, 4_000)],
                &[CutOff(1, 4, 5_000), CutOff(1, 5, 6_000), CutOff(1, 6, 7_000)],
            ]
            .concat(),
            held: vec![1],
        },
    ];
    for Case { name, events, held } in cases {
        let mut tracker = tracker();
        events.iter().for_each(|event| record(&mut tracker, *event));
        let found: Vec<u64> =
            (1..3).filter(|n| tracker.hold(&fingerprint(*n), at(10_000)).is_some()).collect();
        assert_eq!(found, held, "{name}");
    }
}

/// Crashes before an expired hold must still count: counting from zero would let a caller that
/// never stops retrying crash three engines every ten minutes.
#[test]
fn each_crash_after_a_hold_doubles_the_next_hold() {
    let mut tracker = tracker();
    (1..=3).for_each(|n| record(&mut tracker, Event::CutOff(1, n, n * 1_000)));
    let mut end = 3_000;
    for doubling in 0..4 {
        let hold = HOLD * 2_u32.pow(doubling);
        let over = end + u64::try_from(hold.as_millis()).expect("a short time");
        tracker.expire(at(over - 1));
        assert!(tracker.hold(&fingerprint(1), at(over - 1)).is_some(), "{doubling}");
        tracker.expire(at(over + 1));
        assert!(tracker.hold(&fingerprint(1), at(over + 1)).is_none(), "{doubling}: retried");
        end = over + 1_000;
        record(&mut tracker, Event::CutOff(1, 10 + u64::from(doubling), end));
        assert!(tracker.hold(&fingerprint(1), at(end)).is_some(), "{doubling}: held at once");
    }
}

#[test]
fn a_single_crash_expires() {
    let mut tracker = tracker();
    record(&mut tracker, Event::CutOff(1, 1, 1_000));
    tracker.expire(at(1_000) + HOLD);
    assert!(tracker.is_empty());
}

/// A caller that keeps inventing new requests must neither evict held requests nor grow the
/// tracker.
#[test]
fn a_flood_of_new_causes_does_not_evict_held_requests() {
    let raw = RawCrashTrackerSettings { requests: Some(512), ..RawCrashTrackerSettings::default() };
    let settings = CrashTrackerSettings::try_from(raw).expect("good settings");
    let mut tracker = CrashTracker::new(settings);
    (1..=3).for_each(|n| record(&mut tracker, Event::CutOff(1, n, n * 1_000)));
    for number in 0..30_000 {
        record(&mut tracker, Event::CutOff(1_000 + number, 1_000 + number, 4_000 + number * 2));
    }
    assert!(tracker.hold(&fingerprint(1), at(64_000)).is_some());
    let reported = tracker.updates_after(0, UpdateScope::Own, at(64_000));
    assert!(reported.reports.len() <= 512, "{} tracked", reported.reports.len());
    assert!(tracker.is_tracked(&fingerprint(30_999)), "the newest is tracked");
    // The evicted record had one of three crashes, so at most three more are needed for a hold.
    (1..=3)
        .for_each(|n| record(&mut tracker, Event::CutOff(1_000, 50_000 + n, 64_000 + n * 1_000)));
    assert!(tracker.hold(&fingerprint(1_000), at(68_000)).is_some());
}

/// Restarted processes receive crashes from before their start. On a clock that cannot go below
/// zero they would coincide, and three crashes would count as one.
#[test]
fn crashes_before_the_start_of_a_process_count_separately() {
    let mut previous = tracker();
    (1..=3).for_each(|n| record(&mut previous, Event::CutOff(1, n, n * 1_000)));
    let update = previous.updates_after(0, UpdateScope::Suspects, at(60_000));
    let mut fresh = tracker();
    assert!(fresh.merge(update.clone(), at(10)));
    assert!(fresh.hold(&fingerprint(1), at(10)).is_some());
    assert!(!fresh.merge(update, at(500)), "a repeated update changes nothing");
}

#[test]
fn updates_contain_only_relevant_records() {
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        /// Whether the record is reported to a control process, and by a control process to
        /// gateways.
        reported: (bool, bool),
    }
    let cases = [
        Case {
            name: "one crash",
            events: vec![Event::CutOff(1, 1, 1_000)],
            reported: (true, false),
        },
        Case {
            name: "two crashes",
            events: vec![Event::CutOff(1, 1, 1_000), Event::CutOff(1, 2, 2_000)],
            reported: (true, true),
        },
        Case {
            name: "only an answer",
            events: vec![Event::Answer(1, 1_000)],
            reported: (false, false),
        },
        Case {
            name: "only a sign of life",
            events: vec![Event::Alive(1, 1_000)],
            reported: (false, false),
        },
        Case {
            name: "released",
            events: vec![Event::CutOff(1, 1, 1_000), Event::Release(1, 2_000)],
            reported: (true, true),
        },
    ];
    for Case { name, events, reported } in cases {
        let mut tracker = tracker();
        events.iter().for_each(|event| record(&mut tracker, *event));
        let is_reported = |scope| !tracker.updates_after(0, scope, at(3_000)).reports.is_empty();
        assert_eq!(
            (is_reported(UpdateScope::Own), is_reported(UpdateScope::Suspects)),
            reported,
            "{name}"
        );
        let cursor = tracker.last_change();
        let rest = tracker.updates_after(cursor, UpdateScope::Own, at(3_000));
        if cursor > 0 {
            assert_eq!(
                rest,
                CrashUpdate { cursor, ..CrashUpdate::default() },
                "{name}: reported once"
            );
        }
    }
}

/// Updates may arrive in any order, repeatedly or through another process. Processes that received
/// the same updates hold the same requests.
#[test]
fn merging_updates_is_commutative() {
    let parts: Vec<CrashUpdate> = (1..=4)
        .map(|n| {
            let mut tracker = tracker();
            record(&mut tracker, Event::CutOff(1, n, n * 1_000));
            record(&mut tracker, Event::CutOff(2, n, n * 1_000 + 50));
            tracker.updates_after(0, UpdateScope::Own, at(10_000))
        })
        .collect();
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]];
    let held = |order: [usize; 4]| {
        let mut tracker = tracker();
        for index in order.into_iter().chain([0, 1, 2, 3]) {
            tracker.merge(parts[index].clone(), at(10_000));
        }
        tracker.holds(at(10_000))
    };
    let first = held(orders[0]);
    assert!(!first.is_empty());
    orders.into_iter().for_each(|order| assert_eq!(held(order), first, "{order:?}"));
}

#[test]
fn settings_are_validated() {
    struct Case {
        raw: RawCrashTrackerSettings,
        error: Option<&'static str>,
    }
    let raw = RawCrashTrackerSettings::default();
    let cases = [
        Case { raw, error: None },
        Case {
            raw: RawCrashTrackerSettings { ends: Some(2), hold_seconds: Some(10), ..raw },
            error: None,
        },
        Case {
            raw: RawCrashTrackerSettings { ends: Some(1), ..raw },
            error: Some("ends=1 is not from 2 to 16"),
        },
        Case {
            raw: RawCrashTrackerSettings { hold_seconds: Some(0), ..raw },
            error: Some("hold seconds=0 is not from 10 to 86400; leave it out for 600"),
        },
        Case {
            raw: RawCrashTrackerSettings { requests: Some(10), ..raw },
            error: Some("requests=10 is not from 256 to 131072; leave it out for 4096"),
        },
    ];
    for Case { raw, error } in cases {
        let checked = CrashTrackerSettings::try_from(raw);
        match error {
            None => assert!(checked.is_ok(), "{raw:?}"),
            Some(text) => assert!(checked.unwrap_err().to_string().starts_with(text), "{raw:?}"),
        }
    }
}
