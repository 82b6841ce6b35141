//! What control processes hear, and what a gateway makes of it.

use {
    bytes::Bytes,
    gullglade_fleet::{
        BackendRecord, BackendStanding, DepartedRun, FleetBook, FleetSettings, FleetView,
        GatewayPhase, GatewayProfile, GatewayPulse, GatewayStanding, ServiceOffer, ServingState,
        SyncReply, TrafficSnapshot,
    },
    gullglade_poison::CrashNews,
    gullglade_traffic::{
        CallerLimits, RawRoute, RawService, RawTraffic, RequestKind, TrafficError, TrafficFormat,
        WarmupRules,
    },
    gullglade_units::{
        BackendName, BootTime, FailureDomain, Incarnation, MonotonicTime, RegionName, ServiceName,
        VmName, WallMillis,
    },
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
};

const INTERVAL: Duration = Duration::from_millis(1_200);

/// The time of day of a goodbye.
const WALL: WallMillis = WallMillis(50_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

/// The same moment on the clock of a VM that started a minute before.
fn boot(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(60_000 + millis))
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8_080))
}

fn region(name: &str) -> RegionName {
    RegionName::try_from(name).expect("a name")
}

fn record(name: &str, sequence: u64, state: ServingState) -> BackendRecord {
    BackendRecord {
        name: BackendName::try_from(name).expect("a name"),
        service: ServiceName::try_from("pool").expect("a name"),
        address: address(9),
        region: region("puget"),
        domain: FailureDomain::try_from("puget-a").expect("a name"),
        slots: 8,
        state,
        cold_for: Duration::ZERO,
        incarnation: Incarnation(0),
        sequence,
    }
}

fn pulse(vm: &str, place: &str, phase: GatewayPhase) -> GatewayPulse {
    let host = vm.bytes().last().unwrap_or(0);
    GatewayPulse {
        profile: GatewayProfile {
            vm: VmName::try_from(vm).expect("a name"),
            run: 1,
            region: region(place),
            domain: FailureDomain::try_from("d").expect("a name"),
            caller_address: address(host),
            peer_address: address(host),
        },
        phase,
    }
}

/// Reads a version from its digits; anything else is no configuration.
struct DigitFormat;

impl TrafficFormat for DigitFormat {
    fn read(&self, text: &[u8]) -> Result<RawTraffic, TrafficError> {
        let text = String::from_utf8_lossy(text);
        let version =
            text.parse().map_err(|_| TrafficError::Malformed { reason: "no digits".to_owned() })?;
        let service = RawService {
            name: "pool".to_owned(),
            health_path: String::new(),
            connection_limit: 10,
            warmup: WarmupRules { duration: Duration::ZERO, requests_per_second: 0.0 },
            engine: None,
        };
        let route = RawRoute {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            kind: RequestKind::Idempotent,
            timeout: Duration::from_secs(1),
            objective: Duration::from_secs(1),
            priority: 0,
            targets: vec![("pool".to_owned(), 1)],
            max_attempts: 1,
            has_affinity: false,
            gap_objective: None,
            event_timeout: None,
            homes: Vec::new(),
            is_public: false,
        };
        let limits = CallerLimits {
            head_bytes: 1 << 14,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        Ok(RawTraffic {
            version,
            routes: vec![route],
            services: vec![service],
            workspaces: Vec::new(),
            limits,
        })
    }
}

fn reply() -> SyncReply {
    SyncReply {
        run: 1,
        cursor: 1,
        backends: Vec::new(),
        departed: Vec::new(),
        gateways: Vec::new(),
        gateway_total: 0,
        crashes: CrashNews::default(),
        regions: Vec::new(),
        traffic: None,
        confirmed_ago: None,
        held: Duration::ZERO,
        controls: Vec::new(),
    }
}

fn departed(name: &str, last: u64) -> DepartedRun {
    let name = BackendName::try_from(name).expect("a name");
    DepartedRun { name, last: Incarnation(last) }
}

fn told(record: BackendRecord, is_silent: bool) -> SyncReply {
    SyncReply {
        backends: vec![BackendStanding { record, is_silent, is_recalled: false }],
        ..reply()
    }
}

fn configured(index: u64, version: u64) -> SyncReply {
    let text = Some(Bytes::from(version.to_string()));
    let traffic =
        TrafficSnapshot { index, version: Some(version), text, evacuated: BTreeSet::new() };
    SyncReply { traffic: Some(traffic), confirmed_ago: Some(Duration::ZERO), ..reply() }
}

fn view() -> FleetView {
    FleetView::new(Rc::new(DigitFormat))
}

#[test]
fn late_announcements_change_nothing() {
    // Symptom: a backend server that leaves gets work again. Sequence: an announcement is delayed
    // by a network partition and arrives after later ones, or after the goodbye. Cause: the order
    // of arrival is not that of sending.
    struct Case {
        before: Vec<(u64, ServingState)>,
        has_left: bool,
        late: (u64, ServingState),
        expected: Option<ServingState>,
    }
    let (serving, leaving) = (ServingState::Serving, ServingState::Leaving);
    let cases = [
        Case { before: Vec::new(), has_left: false, late: (1, serving), expected: Some(serving) },
        Case {
            before: vec![(1, serving), (3, leaving)],
            has_left: false,
            late: (2, serving),
            expected: Some(leaving),
        },
        Case { before: vec![(1, serving)], has_left: true, late: (2, serving), expected: None },
        Case { before: Vec::new(), has_left: true, late: (1, serving), expected: None },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
        for (sequence, state) in &case.before {
            book.announce(record("i-1", *sequence, *state), at(10));
        }
        if case.has_left {
            assert!(book.leave(&BackendName::try_from("i-1").expect("a name"), WALL, at(20)));
        }
        book.announce(record("i-1", case.late.0, case.late.1), at(30));
        let known = book.backends_after(0, at(40));
        let state = known.first().map(|standing| standing.record.state);
        assert_eq!(state, case.expected, "case {index}");
        assert_eq!(book.departed_after(0).len(), usize::from(case.has_left), "case {index}");
    }
}

#[test]
fn gateways_are_told_only_what_they_lack() {
    let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
    book.announce(record("i-1", 1, ServingState::Serving), at(10));
    let cursor = book.last_change();
    book.announce(record("i-1", 2, ServingState::Serving), at(1_200));
    assert_eq!(book.last_change(), cursor, "the same again is no news");
    book.announce(record("i-2", 1, ServingState::Serving), at(1_300));
    let news = book.backends_after(cursor, at(1_300));
    let names: Vec<_> = news.iter().map(|s| s.record.name.as_str()).collect();
    assert_eq!(names, ["i-2"]);
}

#[test]
fn silence_is_noticed_once_and_ends_with_a_word() {
    let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
    book.announce(record("i-1", 1, ServingState::Serving), at(0));
    book.pulse(&pulse("edge-1", "puget", GatewayPhase::Ready), at(0));
    assert_eq!(book.tick(at(1_500)), (Vec::new(), Vec::new()));
    assert_eq!(book.tick(at(2_000)).1.len(), 1, "a gateway calls every 0.6 s");
    assert_eq!(book.tick(at(5_000)).0.len(), 1, "four intervals");
    assert_eq!(book.tick(at(5_300)), (Vec::new(), Vec::new()));
    let back = book.announce(record("i-1", 2, ServingState::Serving), at(5_400));
    assert!(back.is_some_and(|standing| !standing.is_silent));
    assert_eq!(book.heard(), (1, 0));
}

#[test]
fn callers_are_sent_to_ready_gateways_of_their_region_then_to_homes() {
    struct Case {
        place: &'static str,
        homes: &'static [&'static str],
        expected: &'static [u8],
    }
    let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
    let (ready, starting) = (GatewayPhase::Ready, GatewayPhase::Starting);
    for (vm, place, phase) in [
        ("a", "puget", ready),
        ("b", "puget", GatewayPhase::Stopping),
        ("c", "columbia", ready),
        ("d", "inland", ready),
        ("e", "south", starting),
        ("f", "north", GatewayPhase::Stopping),
    ] {
        book.pulse(&pulse(vm, place, phase), at(0));
    }
    let cases = [
        Case { place: "puget", homes: &["columbia"], expected: b"a" },
        Case { place: "south", homes: &["columbia"], expected: b"c" },
        Case { place: "south", homes: &["puget", "columbia", "inland"], expected: b"acd" },
        Case { place: "south", homes: &["nowhere"], expected: b"" },
        Case { place: "north", homes: &["nowhere"], expected: b"f" },
        Case { place: "south", homes: &["north"], expected: b"f" },
    ];
    for case in cases {
        let is_home = |region: &RegionName| case.homes.contains(&region.as_str());
        let found = book.entry_addresses(&region(case.place), is_home);
        let expected: Vec<_> = case.expected.iter().map(|host| address(*host)).collect();
        assert_eq!(found, expected, "{} {:?}", case.place, case.homes);
    }
}

#[test]
fn what_a_region_offers_is_the_mean_of_its_ready_gateways() {
    let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
    let offer = |first_byte_ms: [u32; 2]| ServiceOffer {
        service: ServiceName::try_from("pool").expect("a name"),
        backends: 4,
        first_byte_ms: Vec::from(first_byte_ms),
    };
    for (vm, phase, wait) in [
        ("a", GatewayPhase::Ready, [100, 400]),
        ("b", GatewayPhase::Ready, [300, 800]),
        ("c", GatewayPhase::Stopping, [9_000, 9_000]),
    ] {
        let pulse = pulse(vm, "puget", phase);
        book.pulse(&pulse, at(0));
        book.note_offers(&pulse.profile.vm, vec![offer(wait)]);
    }
    let offers = book.region_offers();
    assert_eq!(offers.len(), 1);
    assert_eq!(offers[0].offer, offer([200, 600]));
}

#[test]
fn the_configuration_in_force_never_gets_older() {
    // Symptom: a gateway obeys an older configuration after a newer one. Sequence: it hears of the
    // newer one from one control process, and then from one that is behind. Cause: control
    // processes apply the log at their own pace.
    let mut view = view();
    let newer = view.merge(address(1), true, configured(9, 5), boot(0), at(0)).expect("readable");
    assert!(newer.traffic);
    let older = view.merge(address(2), true, configured(7, 4), boot(10), at(10)).expect("readable");
    assert!(!older.traffic);
    assert_eq!(view.traffic().map(|t| (t.index, t.config.version())), Some((9, 5)));
}

#[test]
fn an_unreadable_configuration_leaves_the_one_in_force() {
    let mut view = view();
    view.merge(address(1), true, configured(9, 5), boot(0), at(0)).expect("readable");
    let mut broken = configured(10, 6);
    if let Some(traffic) = &mut broken.traffic {
        traffic.text = Some(Bytes::from_static(b"{"));
    }
    assert!(view.merge(address(1), false, broken, boot(10), at(10)).is_err());
    assert_eq!(view.traffic().map(|t| t.config.version()), Some(5));
}

/// A gateway without contact served keys that had been taken away for longer than promised: the time
/// that a confirmation was held or on its way did not count.
#[test]
fn a_confirmation_is_not_younger_than_its_call() {
    struct Case {
        what: &'static str,
        ago: u64,
        held: u64,
        arrived: u64,
        confirmed: u64,
    }
    let cases = [
        Case { what: "at once", ago: 0, held: 0, arrived: 1_001, confirmed: 1_000 },
        Case {
            what: "old at the control process",
            ago: 700,
            held: 0,
            arrived: 1_001,
            confirmed: 300,
        },
        Case { what: "held there", ago: 100, held: 600, arrived: 1_601, confirmed: 1_500 },
        Case { what: "late on its way", ago: 0, held: 0, arrived: 9_000, confirmed: 1_000 },
    ];
    for case in cases {
        let mut view = view();
        let reply = SyncReply {
            confirmed_ago: Some(Duration::from_millis(case.ago)),
            held: Duration::from_millis(case.held),
            ..configured(3, 1)
        };
        view.merge(address(1), true, reply, boot(1_000), at(case.arrived)).expect("readable");
        assert_eq!(view.confirmed(), Some(boot(case.confirmed)), "{}", case.what);
    }
}

#[test]
fn a_configuration_is_confirmed_by_who_has_nothing_newer() {
    struct Case {
        what: &'static str,
        told: SyncReply,
        is_confirmed: bool,
    }
    let confirmed = |reply: SyncReply| SyncReply { confirmed_ago: Some(Duration::ZERO), ..reply };
    let newer =
        TrafficSnapshot { index: 9, version: Some(4), text: None, evacuated: BTreeSet::new() };
    let cases = [
        Case { what: "nothing newer", told: confirmed(reply()), is_confirmed: true },
        Case { what: "an older one, late", told: configured(2, 1), is_confirmed: true },
        Case {
            what: "a newer one that cannot be taken",
            told: confirmed(SyncReply { traffic: Some(newer), ..reply() }),
            is_confirmed: false,
        },
    ];
    for case in cases {
        let mut view = view();
        let held = SyncReply { confirmed_ago: None, ..configured(3, 2) };
        view.merge(address(1), true, held, boot(0), at(0)).expect("readable");
        view.merge(address(2), true, case.told, boot(100), at(100)).expect("readable");
        assert_eq!(view.confirmed().is_some(), case.is_confirmed, "{}", case.what);
    }
}

#[test]
fn only_a_confirmed_configuration_counts_as_the_newest() {
    struct Case {
        ago: Option<Duration>,
        is_confirmed: bool,
    }
    let cases = [
        Case { ago: None, is_confirmed: false },
        Case { ago: Some(Duration::from_secs(5)), is_confirmed: false },
        Case { ago: Some(Duration::from_millis(200)), is_confirmed: true },
    ];
    for case in cases {
        let mut view = view();
        let reply = SyncReply { confirmed_ago: case.ago, ..configured(3, 1) };
        view.merge(address(1), true, reply, boot(0), at(0)).expect("readable");
        assert_eq!(view.confirmed().is_some(), case.is_confirmed, "{:?}", case.ago);
    }
}

#[test]
fn a_backend_server_is_heard_while_any_control_process_hears_it() {
    let mut view = view();
    let is_silent = |view: &FleetView, now| view.backends(now).next().map(|row| row.is_silent);
    let serving = |sequence| record("i-1", sequence, ServingState::Serving);
    view.merge(address(1), true, told(serving(1), false), boot(0), at(0)).expect("merged");
    view.merge(address(2), true, told(serving(2), false), boot(10), at(10)).expect("merged");
    view.merge(address(1), false, told(serving(1), true), boot(5_000), at(5_000)).expect("merged");
    assert_eq!(is_silent(&view, at(5_000)), Some(false));
    view.merge(address(2), false, told(serving(2), true), boot(9_000), at(9_000)).expect("merged");
    assert_eq!(is_silent(&view, at(9_000)), Some(true));
}

#[test]
fn restarted_control_processes_do_not_empty_the_view() {
    // Symptom: gateways know no backend server for seconds after all control processes were
    // restarted at once. Sequence: each comes back with an empty book and says so. Cause: silence
    // of somebody who knows nothing is not news.
    let mut view = view();
    let serving = record("i-1", 1, ServingState::Serving);
    view.merge(address(1), true, told(serving, false), boot(0), at(0)).expect("merged");
    view.merge(address(1), true, SyncReply { run: 2, ..reply() }, boot(1_000), at(1_000))
        .expect("merged");
    let rows: Vec<_> = view.backends(at(3_000)).collect();
    assert!(rows.iter().any(|row| !row.is_silent), "{rows:?}");
    assert!(view.backends(at(20_000)).all(|row| row.is_silent));
}

#[test]
fn a_departure_heard_anywhere_is_final() {
    let mut view = view();
    let gone = SyncReply { departed: vec![departed("i-1", 0)], ..reply() };
    view.merge(address(1), true, gone, boot(0), at(0)).expect("merged");
    let late = record("i-1", 9, ServingState::Serving);
    view.merge(address(2), true, told(late, false), boot(10), at(10)).expect("merged");
    assert_eq!(view.backends(at(10)).count(), 0);
}

#[test]
fn another_run_of_a_gateway_ends_the_word_on_the_one_before() {
    let mut view = view();
    let standing = |run, phase, is_silent| {
        let mut profile = pulse("a", "puget", phase).profile;
        profile.run = run;
        SyncReply { gateways: vec![GatewayStanding { profile, phase, is_silent }], ..reply() }
    };
    let ready = GatewayPhase::Ready;
    view.merge(address(1), true, standing(1, ready, false), boot(0), at(0)).expect("merged");
    view.merge(address(2), true, standing(2, GatewayPhase::Starting, false), boot(10), at(10))
        .expect("merged");
    assert_eq!(view.ready_gateways(&region("puget"), at(10)).len(), 0);
    view.merge(address(1), false, standing(1, ready, true), boot(2_000), at(2_000))
        .expect("merged");
    view.merge(address(2), false, standing(2, ready, false), boot(2_100), at(2_100))
        .expect("merged");
    assert_eq!(view.ready_gateways(&region("puget"), at(2_100)).len(), 1);
}

/// What a backend server said, and who heard it.
enum Word {
    Announced { control: u8, incarnation: u64, sequence: u64, state: ServingState },
    Departed { control: u8, last: u64 },
    Silent { control: u8, incarnation: u64, sequence: u64 },
}

#[test]
fn a_run_that_starts_again_under_its_name_replaces_the_one_before() {
    // Symptom: a backend server that crashed and started again under its name is never used, or
    // the earlier run's goodbye, silence or leaving is held against it. Sequence: as in each case.
    // Cause: runs were told apart by name alone, and counts of the new one start anew.
    struct Case {
        what: &'static str,
        words: Vec<Word>,
        /// Incarnation, state and silence of what is known in the end.
        expected: Option<(u64, ServingState, bool)>,
    }
    use Word::{Announced, Departed, Silent};
    let (serving, leaving) = (ServingState::Serving, ServingState::Leaving);
    let said =
        |control, incarnation, sequence, state| Announced { control, incarnation, sequence, state };
    let cases = [
        Case {
            what: "its counts start anew",
            words: vec![said(1, 10, 90, serving), said(1, 20, 1, serving)],
            expected: Some((20, serving, false)),
        },
        Case {
            what: "a late word of the earlier run changes nothing",
            words: vec![said(1, 20, 1, serving), said(2, 10, 90, leaving)],
            expected: Some((20, serving, false)),
        },
        Case {
            what: "the earlier run was leaving",
            words: vec![said(1, 10, 5, leaving), said(1, 20, 1, serving)],
            expected: Some((20, serving, false)),
        },
        Case {
            what: "the earlier run said goodbye",
            words: vec![
                said(1, 10, 5, serving),
                Departed { control: 1, last: 15 },
                said(2, 20, 1, serving),
            ],
            expected: Some((20, serving, false)),
        },
        Case {
            what: "its goodbye is told again, after the later run is known",
            words: vec![said(2, 20, 1, serving), Departed { control: 1, last: 15 }],
            expected: Some((20, serving, false)),
        },
        Case {
            what: "a goodbye ends the run that it names",
            words: vec![said(2, 20, 1, serving), Departed { control: 1, last: 25 }],
            expected: None,
        },
        Case {
            what: "a control process that only knows the earlier run calls it silent",
            words: vec![
                said(1, 10, 5, serving),
                said(2, 20, 1, serving),
                Silent { control: 1, incarnation: 10, sequence: 5 },
            ],
            expected: Some((20, serving, false)),
        },
    ];
    for case in cases {
        let mut view = view();
        for (index, word) in case.words.into_iter().enumerate() {
            let run = |incarnation, sequence, state| BackendRecord {
                incarnation: Incarnation(incarnation),
                ..record("i-1", sequence, state)
            };
            let (control, reply) = match word {
                Announced { control, incarnation, sequence, state } => {
                    (control, told(run(incarnation, sequence, state), false))
                }
                Departed { control, last } => {
                    (control, SyncReply { departed: vec![departed("i-1", last)], ..reply() })
                }
                Silent { control, incarnation, sequence } => {
                    (control, told(run(incarnation, sequence, serving), true))
                }
            };
            view.merge(address(control), false, reply, boot(index as u64), at(index as u64))
                .expect("merged");
        }
        let row = view.backends(at(100)).next();
        let found = row.map(|r| (r.record.incarnation.0, r.record.state, r.is_silent));
        assert_eq!(found, case.expected, "{}", case.what);
    }
}

#[test]
fn a_control_process_tells_runs_of_one_name_apart() {
    // Symptom and cause as above, in what one control process hears itself.
    struct Case {
        what: &'static str,
        before: Option<u64>,
        has_left: bool,
        after: u64,
        expected: Option<u64>,
    }
    let cases = [
        Case { what: "later", before: Some(10), has_left: false, after: 20, expected: Some(20) },
        Case { what: "earlier", before: Some(20), has_left: false, after: 10, expected: Some(20) },
        Case { what: "gone", before: Some(10), has_left: true, after: 10, expected: None },
        Case {
            what: "started after the goodbye",
            before: Some(10),
            has_left: true,
            after: WALL.0 + 1,
            expected: Some(WALL.0 + 1),
        },
        Case {
            what: "late word of a run that was heard elsewhere, after its goodbye here",
            before: None,
            has_left: true,
            after: 10,
            expected: None,
        },
        Case {
            what: "its clock is ahead of this process's",
            before: Some(WALL.0 + 900),
            has_left: true,
            after: WALL.0 + 900,
            expected: None,
        },
    ];
    let said = |incarnation, sequence| BackendRecord {
        incarnation: Incarnation(incarnation),
        ..record("i-1", sequence, ServingState::Serving)
    };
    for case in cases {
        let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
        if let Some(incarnation) = case.before {
            book.announce(said(incarnation, 40), at(10));
        }
        if case.has_left {
            assert!(book.leave(&BackendName::try_from("i-1").expect("a name"), WALL, at(20)));
        }
        // Of one run the counts go on; another one begins anew.
        let sequence = if case.before == Some(case.after) { 41 } else { 1 };
        book.announce(said(case.after, sequence), at(30));
        let known = book.backends_after(0, at(40));
        let found = known.first().map(|standing| standing.record.incarnation.0);
        assert_eq!(found, case.expected, "{}", case.what);
    }
}
