//! Holds and releases of prompt parts by the crash tracker of one process.

use {
    gullglade_poison::{
        ContentFingerprint, CrashSuspect, CrashTracker, CrashTrackerSettings, CrashUpdate,
        FingerprintKey, PartFingerprint, RawCrashTrackerSettings, RequestContent, UpdateScope,
    },
    gullglade_units::{BackendName, BackendRun, Incarnation, MonotonicTime},
    std::time::Duration,
};

const HOLD: Duration = Duration::from_secs(600);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

fn key() -> FingerprintKey {
    FingerprintKey::from([1; 32])
}

fn content(number: u64) -> ContentFingerprint {
    let body = number.to_le_bytes();
    key().fingerprint(&RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        credentials: b"",
        body: &body,
    })
}

fn part(number: u64) -> PartFingerprint {
    key().part_fingerprint("pool", number)
}

fn run(number: u64) -> BackendRun {
    let backend = BackendName::try_from(format!("i-{number}")).expect("a name");
    BackendRun { backend, incarnation: Incarnation(1) }
}

fn tracker() -> CrashTracker {
    CrashTracker::new(CrashTrackerSettings::default())
}

/// An event recorded by the tracker.
#[derive(Clone)]
enum Event {
    /// Parts, content, run, time: the run crashed before it had answered.
    CutOff(Vec<u64>, u64, u64, u64),
    /// Parts, time: an answer began.
    Answer(Vec<u64>, u64),
    /// Part, time.
    Release(u64, u64),
}

fn record(tracker: &mut CrashTracker, event: &Event) {
    let parts = |numbers: &[u64]| numbers.iter().map(|n| part(*n)).collect::<Vec<_>>();
    match event {
        Event::CutOff(numbers, request, of, time) => {
            let (sent, now) = (at(time.saturating_sub(100)), at(*time));
            tracker.record_parts_cut_off(&parts(numbers), content(*request), &run(*of), now);
            tracker.record_cut_off(content(*request), run(*of), sent, now);
        }
        Event::Answer(numbers, time) => {
            tracker.record_parts_answered(&parts(numbers), *time, at(*time));
        }
        Event::Release(number, time) => {
            tracker.release(CrashSuspect::Part(part(*number)), at(*time));
        }
    }
}

fn held_parts(tracker: &CrashTracker, now: MonotonicTime) -> Vec<u64> {
    (0..10).filter(|number| tracker.part_hold(&part(*number), now).is_some()).collect()
}

/// Crashes of `count` runs, one a second from the first on, each under another request.
fn crashes(parts: &[u64], first: u64, count: u64) -> Vec<Event> {
    (first..first + count).map(|n| Event::CutOff(parts.to_vec(), n, n, n * 1_000)).collect()
}

#[test]
fn holds_parts_by_their_crash_history() {
    use Event::{Answer, CutOff, Release};
    struct Case {
        name: &'static str,
        events: Vec<Event>,
        held: Vec<u64>,
    }
    let cases = [
        Case { name: "two crashes", events: crashes(&[1], 1, 2), held: vec![] },
        Case { name: "three crashes", events: crashes(&[1], 1, 3), held: vec![1] },
        Case {
            name: "one request, repeated, is held itself and its parts are not",
            events: (1..=5).map(|n| CutOff(vec![1, 2], 7, n, n * 1_000)).collect(),
            held: vec![],
        },
        Case {
            name: "two requests, each repeated",
            events: (1..=6).map(|n| CutOff(vec![1], n % 2, n, n * 1_000)).collect(),
            held: vec![],
        },
        Case {
            name: "requests of one run count once",
            events: (1..=5).map(|n| CutOff(vec![1], n, 1, n * 1_000)).collect(),
            held: vec![],
        },
        Case {
            name: "crashes at the same moment count once",
            events: (1..=5).map(|n| CutOff(vec![1], n, n, 1_000 + n)).collect(),
            held: vec![],
        },
        Case {
            name: "a part that is answered in between",
            events: vec![
                CutOff(vec![1], 1, 1, 1_000),
                Answer(vec![1], 1_500),
                CutOff(vec![1], 2, 2, 2_000),
                Answer(vec![1], 2_500),
                CutOff(vec![1], 3, 3, 3_000),
            ],
            held: vec![],
        },
        Case {
            name: "answers after the hold end it",
            events: [crashes(&[1], 1, 3), vec![Answer(vec![1], 3_500)]].concat(),
            held: vec![],
        },
        Case {
            name: "the part that is on more crashes explains the others",
            events: [crashes(&[1, 2], 1, 3), crashes(&[2], 4, 2)].concat(),
            held: vec![2],
        },
        Case {
            name: "of a part that was answered before and one that was not",
            events: [vec![Answer(vec![1], 500)], crashes(&[1, 2], 1, 3)].concat(),
            held: vec![2],
        },
        Case {
            name: "a part that was answered before takes six crashes: five",
            events: [vec![Answer(vec![1], 500)], crashes(&[1], 1, 5)].concat(),
            held: vec![],
        },
        Case {
            name: "a part that was answered before takes six crashes: six",
            events: [vec![Answer(vec![1], 500)], crashes(&[1], 1, 6)].concat(),
            held: vec![1],
        },
        Case {
            name: "released",
            events: [crashes(&[1], 1, 3), vec![Release(1, 3_500)]].concat(),
            held: vec![],
        },
        Case {
            name: "two parts, one after the other",
            events: [crashes(&[1], 1, 3), crashes(&[2], 4, 3)].concat(),
            held: vec![1, 2],
        },
    ];
    for Case { name, events, held } in cases {
        let mut tracker = tracker();
        events.iter().for_each(|event| record(&mut tracker, event));
        assert_eq!(held_parts(&tracker, at(7_000)), held, "{name}");
    }
}

/// Guards against a victim that is held in place of the cause: its caller sent it again after each
/// crash, so it was on as many crashed runs as the part.
#[test]
fn retried_victim_of_a_poison_part_is_not_held() {
    let mut tracker = tracker();
    for n in 1..=3 {
        record(&mut tracker, &Event::CutOff(vec![1, 2], n, n, n * 1_000));
        record(&mut tracker, &Event::CutOff(vec![3], 100, n, n * 1_000));
        record(&mut tracker, &Event::Answer(vec![2, 3], n * 1_000 + 500));
    }
    assert_eq!(held_parts(&tracker, at(3_500)), [1]);
    assert!(tracker.hold(&content(100), at(3_500)).is_none());
}

#[test]
fn hold_doubles_with_each_crash_after_it() {
    let mut tracker = tracker();
    crashes(&[1], 1, 5).iter().for_each(|event| record(&mut tracker, event));
    assert_eq!(tracker.part_hold(&part(1), at(5_000)).expect("held").left, HOLD);
    let later = 5_000 + u64::try_from(HOLD.as_millis()).expect("fits") + 1_000;
    assert!(tracker.part_hold(&part(1), at(later)).is_none());
    tracker.expire(at(later));
    record(&mut tracker, &Event::CutOff(vec![1], 9, 9, later));
    assert_eq!(tracker.part_hold(&part(1), at(later)).expect("held").left, HOLD * 2);
}

/// Updates may arrive in any order, repeatedly or through another process, and are older than a
/// process that has just started.
#[test]
fn merging_updates_of_parts_is_commutative() {
    let updates: Vec<CrashUpdate> = (1..=4)
        .map(|n| {
            let mut tracker = tracker();
            record(&mut tracker, &Event::CutOff(vec![1, 2], n, n, n * 1_000));
            record(&mut tracker, &Event::Answer(vec![2], n * 1_000 + 100));
            tracker.updates_after(0, UpdateScope::Own, at(10_000))
        })
        .collect();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]] {
        let mut tracker = tracker();
        for index in order.into_iter().chain([0, 1, 2, 3]) {
            tracker.merge(updates[index].clone(), at(1));
        }
        assert_eq!(held_parts(&tracker, at(1)), [1], "{order:?}");
        let known = tracker.last_change();
        assert!(!tracker.merge(updates[0].clone(), at(1)), "{order:?}: known already");
        assert_eq!(tracker.last_change(), known, "{order:?}");
    }
}

#[test]
fn gateways_are_told_of_parts_that_crashed_two_runs_and_of_their_answers() {
    let mut control = tracker();
    let reports = |control: &CrashTracker, cursor| {
        control.updates_after(cursor, UpdateScope::Suspects, at(9_000)).reports.len()
    };
    record(&mut control, &Event::CutOff(vec![1], 1, 1, 1_000));
    assert_eq!(reports(&control, 0), 0);
    record(&mut control, &Event::CutOff(vec![1], 2, 2, 2_000));
    assert_ne!(reports(&control, 0), 0);
    let cursor = control.last_change();
    assert_eq!(reports(&control, cursor), 0, "told once");
    record(&mut control, &Event::Answer(vec![1], 2_500));
    assert_ne!(reports(&control, cursor), 0, "an answer clears the part elsewhere, too");
}

#[test]
fn a_flood_of_new_parts_does_not_evict_held_ones() {
    let raw = RawCrashTrackerSettings { requests: Some(512), ..RawCrashTrackerSettings::default() };
    let mut tracker =
        CrashTracker::new(CrashTrackerSettings::try_from(raw).expect("good settings"));
    crashes(&[1], 1, 3).iter().for_each(|event| record(&mut tracker, event));
    for number in 0..2_000 {
        let time = 4_000 + number * 2;
        tracker.record_parts_cut_off(&[part(100 + number)], content(number), &run(9), at(time));
    }
    assert!(tracker.part_hold(&part(1), at(9_000)).is_some());
    let reported = tracker.updates_after(0, UpdateScope::Own, at(9_000));
    assert!(reported.reports.len() <= 2 * 512, "{} reported", reported.reports.len());
}

#[test]
fn names_of_suspects_are_parsed_as_they_are_written() {
    struct Case {
        suspect: CrashSuspect,
        text: &'static str,
    }
    let cases = [
        Case { suspect: CrashSuspect::Part(part(1)), text: "part-" },
        Case { suspect: CrashSuspect::Content(content(1)), text: "" },
    ];
    for Case { suspect, text } in cases {
        let name = suspect.to_string();
        assert!(name.starts_with(text), "{name}");
        assert_eq!(CrashSuspect::try_from(name.as_str()), Ok(suspect));
    }
    for text in ["part-", "part-12", "part-0123456789abc", "part-0123456789xy", "", "12"] {
        assert!(CrashSuspect::try_from(text).is_err(), "{text}");
    }
    assert_ne!(part(1), key().part_fingerprint("other", 1), "another service");
}
