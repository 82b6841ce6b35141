//! The timeline of a complete session, compared with golden files. `GULLGLADE_BLESS=1 cargo test`
//! rewrites the files; review the difference before committing it.

use {
    crate::support::Process,
    gullglade_event::{EventDraft, EventFilter, Level, Timeline},
    gullglade_units::{BackendName, ChangeId, RegionName, RequestId, ServiceName, VmName},
    std::{collections::BTreeMap, fmt, fs, path::PathBuf},
};

/// The true time at which the session begins: 2026-03-02 08:00 UTC.
const START_MILLIS: u64 = 1_772_438_400_000;

const REQUEST: &str = "0195544a-8c00-7000-8000-000000000001";

/// The processes of a session, with simulated time and messages.
struct Session {
    processes: BTreeMap<&'static str, (i64, Process)>,
    now: u64,
}

impl Session {
    /// Creates processes whose wall clocks are off by the given milliseconds.
    fn new(skews: &[(&'static str, i64)]) -> Self {
        let process = |(name, skew): &(&'static str, i64)| (*name, (*skew, Process::new(name, 99)));
        Self { processes: skews.iter().map(process).collect(), now: START_MILLIS }
    }

    fn process(&self, vm: &str) -> &Process {
        let (skew, process) = &self.processes[vm];
        process.clock.0.set(self.now.checked_add_signed(*skew).unwrap());
        process
    }

    fn emit(&mut self, vm: &str, event: EventDraft) {
        self.now += 1;
        self.process(vm).emit(event);
    }

    /// Sends a message that takes `millis` milliseconds.
    fn message(&mut self, from: &str, to: &str, millis: u64) {
        let stamp = self.process(from).stamp_message();
        self.now += millis;
        self.process(to).hybrid.observe(stamp);
    }

    fn timeline(&self) -> Timeline {
        let mut timeline = Timeline::default();
        for (vm, (_, process)) in &self.processes {
            timeline.add(vm, &process.text());
        }
        timeline.sort();
        timeline
    }
}

#[derive(Debug)]
struct LinkError;

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection reset <script>alert(1)</script>\nstamp=1.0000 vm=forged")
    }
}

impl std::error::Error for LinkError {}

/// A configuration change reaches two regions; then a request is forwarded to another region, its
/// engine crashes after the first tokens, and the answer is resumed on another engine.
fn play_failover(session: &mut Session) {
    let change = ChangeId::try_from("raise-share-7".to_owned()).unwrap();
    let request: RequestId = REQUEST.parse().unwrap();
    let service = ServiceName::try_from("quotes").unwrap();
    let engine = |name| BackendName::try_from(name).unwrap();
    let away = RegionName::try_from("inland").unwrap();

    let of_change = |kind| EventDraft::new(kind).field("change", &change).field("index", 41);
    session.emit("columbia-1", of_change("control.accepted").field("service", &service));
    for (vm, delay) in [("puget-1", 55), ("inland-1", 55)] {
        session.message("columbia-1", vm, delay);
        session.emit(vm, of_change("config.in_force"));
    }

    let of_request = |kind| EventDraft::new(kind).field("request", request);
    session.emit("puget-1", of_request("request.received").field("service", &service));
    session.emit("puget-1", of_request("request.sent_away").field("region", &away));
    session.message("puget-1", "inland-1", 55);
    session.emit("inland-1", of_request("request.forwarded_in").field("vm_from", "puget-1"));
    let first = engine("engine-3");
    session.emit("inland-1", of_request("request.dispatched").field("backend", &first));
    let lost = EventDraft::new("backend.lost").level(Level::Warn).field("backend", &first);
    session.emit("inland-1", lost.error("reason", &LinkError));
    let resumed = of_request("request.resumed").level(Level::Warn).field("offset", 38);
    session.emit("inland-1", resumed.field("backend", engine("engine-5")));
    session.emit("inland-1", of_request("request.relayed").field("run", "run"));
    session.message("inland-1", "puget-1", 55);
    session.emit("puget-1", of_request("request.answered").field("tokens", 412));
    let unrelated = EventDraft::new("backend.joined").field("backend", engine("engine-9"));
    session.emit("columbia-1", unrelated);
}

fn failover_timeline(skews: &[(&'static str, i64)]) -> Timeline {
    let mut session = Session::new(skews);
    play_failover(&mut session);
    session.timeline()
}

/// Clock offsets in milliseconds, up to 10 s apart: every message goes from a VM whose clock is
/// ahead to one whose clock is behind, or back.
const SKEWED_CLOCKS: [(&str, i64); 3] =
    [("puget-1", 5_000), ("columbia-1", 0), ("inland-1", -5_000)];

fn expect_golden(name: &str, actual: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/event/golden").join(name);
    if std::env::var_os("GULLGLADE_BLESS").is_some() {
        fs::write(&path, actual).unwrap();
    }
    let expected = fs::read_to_string(&path).unwrap();
    assert!(expected == actual, "{name} differs; found:\n{actual}");
}

#[test]
fn failover_timeline_matches_golden_files() {
    struct Case {
        name: &'static str,
        skews: [(&'static str, i64); 3],
    }
    let synchronized = [("puget-1", 0), ("columbia-1", 0), ("inland-1", 0)];
    let cases = [
        Case { name: "failover-clocks-agree", skews: synchronized },
        Case { name: "failover-clocks-apart", skews: SKEWED_CLOCKS },
    ];
    for case in cases {
        let timeline = failover_timeline(&case.skews);
        let events = timeline.select(&EventFilter::default());
        expect_golden(&format!("{}.txt", case.name), &timeline.text(&events));
        expect_golden(&format!("{}.html", case.name), &timeline.html(case.name, &events));
    }
}

#[test]
fn causes_precede_effects_with_skewed_clocks() {
    // Guards against sorting by wall time, which shows the answer before the request, and a change
    // in force before it was accepted. puget's clock is 5 s ahead and inland's is 5 s behind, so a
    // message can arrive earlier, by the receiver's wall clock, than it was sent.
    let timeline = failover_timeline(&SKEWED_CLOCKS);
    let events = timeline.select(&EventFilter::default());
    let position = |kind: &str, vm: &str| {
        let index = events.iter().position(|e| e.kind == kind && e.vm.as_str() == vm);
        index.unwrap_or_else(|| panic!("no {kind} of {vm}"))
    };
    let chain = [
        ("control.accepted", "columbia-1"),
        ("config.in_force", "puget-1"),
        ("request.received", "puget-1"),
        ("request.sent_away", "puget-1"),
        ("request.forwarded_in", "inland-1"),
        ("request.dispatched", "inland-1"),
        ("backend.lost", "inland-1"),
        ("request.resumed", "inland-1"),
        ("request.relayed", "inland-1"),
        ("request.answered", "puget-1"),
    ];
    let positions: Vec<usize> = chain.iter().map(|(kind, vm)| position(kind, vm)).collect();
    assert!(positions.is_sorted(), "{positions:?}");
    let by_wall = |kind: &str| events[position(kind, "inland-1")].stamp.wall.0;
    assert!(
        by_wall("request.dispatched") > START_MILLIS + 5_000,
        "stamps must follow the VM whose clock is ahead"
    );
}

#[test]
fn filters_select_matching_events() {
    struct Case {
        filter: EventFilter,
        kinds: &'static [&'static str],
    }
    let filter = EventFilter::default;
    let vm = VmName::try_from("puget-1").unwrap();
    let cases = [
        Case {
            filter: filter().request(Some(REQUEST.to_owned())).vm(Some(vm)),
            kinds: &[
                "request.received",
                "request.sent_away",
                "request.forwarded_in",
                "request.answered",
            ],
        },
        Case {
            filter: filter().request(Some(REQUEST.to_owned())).context(true),
            kinds: &[
                "request.received",
                "request.sent_away",
                "request.forwarded_in",
                "request.dispatched",
                "backend.lost",
                "request.resumed",
                "request.relayed",
                "request.answered",
            ],
        },
        Case {
            filter: filter().change(Some("raise-share-7".to_owned())),
            kinds: &["control.accepted", "config.in_force", "config.in_force"],
        },
        Case {
            filter: filter().backend(Some("engine-3".to_owned())),
            kinds: &["request.dispatched", "backend.lost"],
        },
        Case {
            filter: filter().kind(Some("backend".to_owned())),
            kinds: &["backend.joined", "backend.lost"],
        },
        Case { filter: filter().kind(Some("back".to_owned())), kinds: &[] },
        Case { filter: filter().context(true).request(Some("none".to_owned())), kinds: &[] },
    ];
    let timeline = failover_timeline(&SKEWED_CLOCKS);
    for case in cases {
        let kinds: Vec<&str> =
            timeline.select(&case.filter).iter().map(|e| e.kind.as_str()).collect();
        assert_eq!(kinds, case.kinds, "{:?}", case.filter);
    }
}

#[test]
fn duplicates_are_removed_and_missing_data_is_noted() {
    let mut timeline = Timeline::default();
    let event = "stamp=5.0000 vm=a level=info kind=test.one\n";
    timeline.add("a.log", event);
    timeline.add("http://a", &format!("# older events are gone\n{event}"));
    timeline.add("other.log", "hello\nstamp=6.0000 vm=a level=info\n\n");
    timeline.sort();
    let events = timeline.select(&EventFilter::default());
    assert_eq!(events.len(), 1, "an event from both a file and a live process must appear once");
    let notes = timeline.notes();
    assert_eq!(notes.len(), 2);
    assert_eq!(notes[0], "http://a: older events are gone");
    assert!(notes[1].starts_with("other.log: 2 lines are not events"), "{}", notes[1]);
    assert!(timeline.text(&events).ends_with(&format!("# {}\n", notes[1])));
}

#[test]
fn values_cannot_inject_markup_into_the_page() {
    // Guards against unescaped values in the page or the log: an error message of a backend server
    // may contain a script, which would run in the operator's browser, or a forged second line.
    let timeline = failover_timeline(&SKEWED_CLOCKS);
    let events = timeline.select(&EventFilter::default());
    let page = timeline.html("<b>title</b>", &events);
    assert!(!page.contains("<script"));
    assert!(!page.contains("<b>title"));
    assert!(page.contains("default-src 'none'"));
    assert!(events.iter().all(|e| e.vm.as_str() != "forged"));
}
