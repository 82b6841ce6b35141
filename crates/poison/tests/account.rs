//! What the account of one process holds back, lets go and forgets.

use {
    gullglade_poison::{
        ContentFingerprint, CrashTracker, CrashTrackerSettings, CrashUpdate, FingerprintKey,
        RawCrashTrackerSettings, RequestContent, UpdateScope,
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

fn account() -> CrashTracker {
    CrashTracker::new(CrashTrackerSettings::default())
}

/// One thing that is noted.
#[derive(Clone, Copy)]
enum Note {
    /// Request, run, when.
    CutOff(u64, u64, u64),
    /// Request, when.
    Answer(u64, u64),
    /// Run, when the request was sent that it answered.
    Life(u64, u64),
    /// Request, when.
    LetGo(u64, u64),
}

fn note(account: &mut CrashTracker, what: Note) {
    match what {
        Note::CutOff(request, of, time) => {
            let sent = at(time.saturating_sub(100));
            account.note_cut_off(fingerprint(request), run(of), sent, at(time));
        }
        Note::Answer(request, time) => account.note_answer(fingerprint(request), time, at(time)),
        Note::Life(of, sent) => {
            account.note_alive(&run(of), at(sent));
        }
        Note::LetGo(request, time) => {
            account.release(fingerprint(request), at(time));
        }
    }
}

#[test]
fn what_is_held_back_after_which_notes() {
    use Note::{Answer, CutOff, LetGo, Life};
    struct Case {
        what: &'static str,
        notes: Vec<Note>,
        held: Vec<u64>,
    }
    let third = |request| {
        [CutOff(request, 1, 1_000), CutOff(request, 2, 2_000), CutOff(request, 3, 3_000)].to_vec()
    };
    let cases = [
        Case { what: "nothing", notes: vec![], held: vec![] },
        Case { what: "three ends", notes: third(1), held: vec![1] },
        Case { what: "two ends", notes: third(1)[..2].to_vec(), held: vec![] },
        Case {
            what: "one end, seen by three gateways",
            notes: vec![CutOff(1, 1, 1_000), CutOff(1, 1, 2_000), CutOff(1, 1, 3_000)],
            held: vec![],
        },
        Case {
            what: "a failure domain is lost with three sends of a request that many callers make",
            notes: vec![CutOff(1, 1, 1_000), CutOff(1, 2, 1_050), CutOff(1, 3, 1_090)],
            held: vec![],
        },
        Case {
            what: "sent at once again after each end",
            notes: vec![CutOff(1, 1, 1_000), CutOff(1, 2, 1_120), CutOff(1, 3, 1_240)],
            held: vec![1],
        },
        Case {
            what: "answered in between",
            notes: vec![
                CutOff(1, 1, 1_000),
                CutOff(1, 2, 2_000),
                Answer(1, 2_500),
                CutOff(1, 3, 3_000),
            ],
            held: vec![],
        },
        Case {
            what: "answered in between, and ended more than it was answered",
            notes: [&third(1)[..], &[Answer(1, 3_500), CutOff(1, 4, 4_000)]].concat(),
            held: vec![1],
        },
        Case {
            what: "answered by one that was sent before it was held back",
            notes: [&third(1)[..], &[Answer(1, 3_500)]].concat(),
            held: vec![],
        },
        Case {
            what: "a run that answered a later request had only lost a connection",
            notes: [&third(1)[..], &[Life(2, 3_500)]].concat(),
            held: vec![],
        },
        Case {
            what: "a run that answered what was sent right before its end",
            notes: [&third(1)[..], &[Life(2, 2_100)]].concat(),
            held: vec![1],
        },
        Case {
            what: "a bystander of two of the ends, and of the end of another request",
            notes: [
                &third(1)[..],
                &[CutOff(1, 4, 4_000)],
                &[CutOff(2, 1, 1_000), CutOff(2, 2, 2_000), CutOff(2, 9, 9_000)],
            ]
            .concat(),
            held: vec![1],
        },
        Case {
            what: "two causes that were on one engine once, which only one of them ended",
            notes: [
                &third(1)[..],
                &[CutOff(2, 1, 1_000), CutOff(2, 5, 5_000), CutOff(2, 6, 6_000)],
                &[CutOff(2, 7, 7_000), CutOff(1, 4, 8_000)],
            ]
            .concat(),
            held: vec![1, 2],
        },
        Case {
            what: "let go by an operator",
            notes: [&third(1)[..], &[LetGo(1, 4_000)]].concat(),
            held: vec![],
        },
        Case {
            what: "let go, and ends three more",
            notes: [
                &third(1)[..],
                &[LetGo(1, 4_000)],
                &[CutOff(1, 4, 5_000), CutOff(1, 5, 6_000), CutOff(1, 6, 7_000)],
            ]
            .concat(),
            held: vec![1],
        },
    ];
    for Case { what, notes, held } in cases {
        let mut account = account();
        notes.iter().for_each(|what| note(&mut account, *what));
        let found: Vec<u64> =
            (1..3).filter(|n| account.hold(&fingerprint(*n), at(10_000)).is_some()).collect();
        assert_eq!(found, held, "{what}");
    }
}

/// A hold that ended by itself and was then counted from nothing let a caller that never stops end
/// three engines every ten minutes.
#[test]
fn a_request_that_is_tried_again_and_ends_one_more_is_held_back_for_twice_as_long() {
    let mut account = account();
    (1..=3).for_each(|n| note(&mut account, Note::CutOff(1, n, n * 1_000)));
    let mut end = 3_000;
    for doubling in 0..4 {
        let hold = HOLD * 2_u32.pow(doubling);
        let over = end + u64::try_from(hold.as_millis()).expect("a short time");
        account.expire(at(over - 1));
        assert!(account.hold(&fingerprint(1), at(over - 1)).is_some(), "{doubling}");
        account.expire(at(over + 1));
        assert!(account.hold(&fingerprint(1), at(over + 1)).is_none(), "{doubling}: tried again");
        end = over + 1_000;
        note(&mut account, Note::CutOff(1, 10 + u64::from(doubling), end));
        assert!(account.hold(&fingerprint(1), at(end)).is_some(), "{doubling}: held back at once");
    }
}

#[test]
fn an_end_that_is_never_followed_by_another_is_forgotten() {
    let mut account = account();
    note(&mut account, Note::CutOff(1, 1, 1_000));
    account.expire(at(1_000) + HOLD);
    assert!(account.is_empty());
}

/// A caller that invents a new request each time must not push out what is held back, nor make the
/// account grow.
#[test]
fn five_hundred_new_causes_a_second_for_a_minute_leave_what_is_held_back() {
    let raw = RawCrashTrackerSettings { requests: Some(512), ..RawCrashTrackerSettings::default() };
    let settings = CrashTrackerSettings::try_from(raw).expect("good settings");
    let mut account = CrashTracker::new(settings);
    (1..=3).for_each(|n| note(&mut account, Note::CutOff(1, n, n * 1_000)));
    for number in 0..30_000 {
        note(&mut account, Note::CutOff(1_000 + number, 1_000 + number, 4_000 + number * 2));
    }
    assert!(account.hold(&fingerprint(1), at(64_000)).is_some());
    let told = account.updates_after(0, UpdateScope::Own, at(64_000));
    assert!(told.reports.len() <= 512, "{} remembered", told.reports.len());
    assert!(account.knows(&fingerprint(30_999)), "the newest is remembered");
    // Forgotten is one end of three: it takes two more to be held back, and a third at most.
    (1..=3).for_each(|n| note(&mut account, Note::CutOff(1_000, 50_000 + n, 64_000 + n * 1_000)));
    assert!(account.hold(&fingerprint(1_000), at(68_000)).is_some());
}

/// All processes of a region were restarted, and were told of three ends from before their start.
/// On a clock that cannot go below zero the three fell together, and counted as one.
#[test]
fn ends_from_before_the_start_of_a_process_count_each() {
    let mut old = account();
    (1..=3).for_each(|n| note(&mut old, Note::CutOff(1, n, n * 1_000)));
    let news = old.updates_after(0, UpdateScope::Suspects, at(60_000));
    let mut fresh = account();
    assert!(fresh.merge(news.clone(), at(10)));
    assert!(fresh.hold(&fingerprint(1), at(10)).is_some());
    assert!(!fresh.merge(news, at(500)), "told again, it is no news");
}

#[test]
fn what_is_told_and_what_is_not() {
    struct Case {
        what: &'static str,
        notes: Vec<Note>,
        /// Whether it is told to a control process, and by one to gateways.
        told: (bool, bool),
    }
    let cases = [
        Case { what: "one end", notes: vec![Note::CutOff(1, 1, 1_000)], told: (true, false) },
        Case {
            what: "two ends",
            notes: vec![Note::CutOff(1, 1, 1_000), Note::CutOff(1, 2, 2_000)],
            told: (true, true),
        },
        Case { what: "an answer alone", notes: vec![Note::Answer(1, 1_000)], told: (false, false) },
        Case { what: "life alone", notes: vec![Note::Life(1, 1_000)], told: (false, false) },
        Case {
            what: "let go",
            notes: vec![Note::CutOff(1, 1, 1_000), Note::LetGo(1, 2_000)],
            told: (true, true),
        },
    ];
    for Case { what, notes, told } in cases {
        let mut account = account();
        notes.iter().for_each(|what| note(&mut account, *what));
        let is_told = |scope| !account.updates_after(0, scope, at(3_000)).reports.is_empty();
        assert_eq!((is_told(UpdateScope::Own), is_told(UpdateScope::Suspects)), told, "{what}");
        let cursor = account.last_change();
        let rest = account.updates_after(cursor, UpdateScope::Own, at(3_000));
        if cursor > 0 {
            assert_eq!(rest, CrashUpdate { cursor, ..CrashUpdate::default() }, "{what}: told once");
        }
    }
}

/// News comes in any order, twice, or by way of another process, and some of it never. Whoever
/// has heard the same holds back the same.
#[test]
fn the_order_of_news_does_not_matter() {
    let parts: Vec<CrashUpdate> = (1..=4)
        .map(|n| {
            let mut account = account();
            note(&mut account, Note::CutOff(1, n, n * 1_000));
            note(&mut account, Note::CutOff(2, n, n * 1_000 + 50));
            account.updates_after(0, UpdateScope::Own, at(10_000))
        })
        .collect();
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]];
    let held = |order: [usize; 4]| {
        let mut account = account();
        for index in order.into_iter().chain([0, 1, 2, 3]) {
            account.merge(parts[index].clone(), at(10_000));
        }
        account.holds(at(10_000))
    };
    let first = held(orders[0]);
    assert!(!first.is_empty());
    orders.into_iter().for_each(|order| assert_eq!(held(order), first, "{order:?}"));
}

#[test]
fn settings_are_checked() {
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
