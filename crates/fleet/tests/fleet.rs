//! Registry of a control process, and the merged view of a gateway.

use {
    bytes::Bytes,
    gullglade_fleet::{
        BackendObservation, BackendRecord, DepartedRun, FleetRegistry, FleetSettings, FleetView,
        GatewayAnnouncement, GatewayObservation, GatewayPhase, GatewayProfile, GatewayRow,
        RawVmCapacity, ServiceOffer, ServingState, SyncReply, TrafficSnapshot, VmCapacity,
    },
    gullglade_poison::CrashUpdate,
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

/// Wall-clock time of a departure.
const WALL: WallMillis = WallMillis(50_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

/// The same time on the boot clock of a VM that started a minute earlier.
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

fn gateway_announcement(vm: &str, place: &str, phase: GatewayPhase) -> GatewayAnnouncement {
    let host = vm.bytes().last().unwrap_or(0);
    GatewayAnnouncement {
        profile: GatewayProfile {
            vm: VmName::try_from(vm).expect("a name"),
            run: 1,
            region: region(place),
            domain: FailureDomain::try_from("d").expect("a name"),
            caller_address: address(host),
            peer_address: address(host),
            capacity: VmCapacity::default(),
        },
        phase,
    }
}

/// Format whose text is the version in digits; any other text is invalid.
struct DigitFormat;

impl TrafficFormat for DigitFormat {
    fn read(&self, text: &[u8]) -> Result<RawTraffic, TrafficError> {
        let text = String::from_utf8_lossy(text);
        let version = text
            .parse()
            .map_err(|_| TrafficError::Malformed { reason: "not a number".to_owned() })?;
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
        crashes: CrashUpdate::default(),
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

fn reply_with(record: BackendRecord, is_silent: bool) -> SyncReply {
    SyncReply {
        backends: vec![BackendObservation { record, is_silent, is_recalled: false }],
        ..reply()
    }
}

fn reply_with_configuration(index: u64, version: u64) -> SyncReply {
    let text = Some(Bytes::from(version.to_string()));
    let traffic =
        TrafficSnapshot { index, version: Some(version), text, evacuated: BTreeSet::new() };
    SyncReply { traffic: Some(traffic), confirmed_ago: Some(Duration::ZERO), ..reply() }
}

fn view() -> FleetView {
    FleetView::new(Rc::new(DigitFormat))
}

#[test]
fn late_announcements_are_ignored() {
    // Announcements may arrive out of order: one that a network partition delays until after later
    // ones, or after the departure, must not make a leaving backend server get work again.
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
        let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
        for (sequence, state) in &case.before {
            registry.announce(record("i-1", *sequence, *state), at(10));
        }
        if case.has_left {
            assert!(registry.leave(&BackendName::try_from("i-1").expect("a name"), WALL, at(20)));
        }
        registry.announce(record("i-1", case.late.0, case.late.1), at(30));
        let known = registry.backends_after(0, at(40));
        let state = known.first().map(|observation| observation.record.state);
        assert_eq!(state, case.expected, "case {index}");
        assert_eq!(registry.departed_after(0).len(), usize::from(case.has_left), "case {index}");
    }
}

#[test]
fn updates_contain_only_changes_after_the_cursor() {
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
    registry.announce(record("i-1", 1, ServingState::Serving), at(10));
    let cursor = registry.last_change();
    registry.announce(record("i-1", 2, ServingState::Serving), at(1_200));
    assert_eq!(registry.last_change(), cursor, "a repeated announcement is no change");
    registry.announce(record("i-2", 1, ServingState::Serving), at(1_300));
    let changed = registry.backends_after(cursor, at(1_300));
    let names: Vec<_> = changed.iter().map(|s| s.record.name.as_str()).collect();
    assert_eq!(names, ["i-2"]);
}

#[test]
fn silence_is_reported_once_and_ends_with_an_announcement() {
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
    registry.announce(record("i-1", 1, ServingState::Serving), at(0));
    registry.announce_gateway(&gateway_announcement("edge-1", "puget", GatewayPhase::Ready), at(0));
    assert_eq!(registry.tick(at(1_500)), (Vec::new(), Vec::new()));
    assert_eq!(registry.tick(at(2_000)).1.len(), 1, "a gateway calls every 0.6 s");
    assert_eq!(registry.tick(at(5_000)).0.len(), 1, "four intervals");
    assert_eq!(registry.tick(at(5_300)), (Vec::new(), Vec::new()));
    let observation = registry.announce(record("i-1", 2, ServingState::Serving), at(5_400));
    assert!(observation.is_some_and(|observation| !observation.is_silent));
    assert_eq!(registry.live_counts(), (1, 0));
}

#[test]
fn callers_get_ready_gateways_of_their_region_or_else_of_home_regions() {
    struct Case {
        place: &'static str,
        homes: &'static [&'static str],
        expected: &'static [u8],
    }
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
    let (ready, starting) = (GatewayPhase::Ready, GatewayPhase::Starting);
    for (vm, place, phase) in [
        ("a", "puget", ready),
        ("b", "puget", GatewayPhase::Stopping),
        ("c", "columbia", ready),
        ("d", "inland", ready),
        ("e", "south", starting),
        ("f", "north", GatewayPhase::Stopping),
    ] {
        registry.announce_gateway(&gateway_announcement(vm, place, phase), at(0));
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
        let found = registry.entry_addresses(&region(case.place), is_home);
        let expected: Vec<_> = case.expected.iter().map(|host| address(*host)).collect();
        assert_eq!(found, expected, "{} {:?}", case.place, case.homes);
    }
}

/// Guards against weights that stay relative to a VM that is gone: while the only large gateway is
/// silent, the others are listed with equal weights, and it has none.
#[test]
fn weights_follow_the_ready_gateways_and_their_changed_capacity() {
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
    let announcement = |vm: &str, link: f64| {
        let mut announcement = gateway_announcement(vm, "puget", GatewayPhase::Ready);
        let raw = RawVmCapacity { link_mbps: Some(link), ..RawVmCapacity::default() };
        announcement.profile.capacity = VmCapacity::try_from(raw).expect("valid");
        announcement
    };
    let weights = |registry: &FleetRegistry| -> Vec<Option<f64>> {
        registry.gateway_listings().into_iter().map(|listing| listing.weight).collect()
    };
    let small = ["a", "b"].map(|vm| announcement(vm, 10.0));
    small.iter().for_each(|small| drop(registry.announce_gateway(small, at(0))));
    registry.announce_gateway(&announcement("c", 10.0), at(0));
    assert_eq!(weights(&registry), [Some(1.0), Some(1.0), Some(1.0)]);
    let change = registry.announce_gateway(&announcement("c", 40.0), at(10));
    assert!(change.is_some(), "a changed capacity reaches the gateways");
    assert_eq!(weights(&registry), [Some(0.5), Some(0.5), Some(2.0)]);
    small.iter().for_each(|small| drop(registry.announce_gateway(small, at(1_500))));
    registry.tick(at(2_000));
    assert_eq!(weights(&registry), [Some(1.0), Some(1.0), None]);
}

#[test]
fn the_offer_of_a_region_is_the_mean_of_its_ready_gateways() {
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
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
        let announcement = gateway_announcement(vm, "puget", phase);
        registry.announce_gateway(&announcement, at(0));
        registry.record_offers(&announcement.profile.vm, vec![offer(wait)]);
    }
    let offers = registry.region_offers();
    assert_eq!(offers.len(), 1);
    assert_eq!(offers[0].offer, offer([200, 600]));
}

#[test]
fn the_active_configuration_never_gets_older() {
    // Control processes apply the log at different speeds. A gateway that has a newer configuration
    // from one of them must not return to an older one from another.
    let mut view = view();
    let newer = view
        .merge(address(1), true, reply_with_configuration(9, 5), boot(0), at(0))
        .expect("readable");
    assert!(newer.traffic);
    let older = view
        .merge(address(2), true, reply_with_configuration(7, 4), boot(10), at(10))
        .expect("readable");
    assert!(!older.traffic);
    assert_eq!(view.traffic().map(|t| (t.index, t.config.version())), Some((9, 5)));
}

#[test]
fn an_unreadable_configuration_is_ignored() {
    let mut view = view();
    view.merge(address(1), true, reply_with_configuration(9, 5), boot(0), at(0)).expect("readable");
    let mut broken = reply_with_configuration(10, 6);
    if let Some(traffic) = &mut broken.traffic {
        traffic.text = Some(Bytes::from_static(b"{"));
    }
    assert!(view.merge(address(1), false, broken, boot(10), at(10)).is_err());
    assert_eq!(view.traffic().map(|t| t.config.version()), Some(5));
}

/// The time that a confirmation was held or in transit must count towards its age. Otherwise a
/// gateway without contact serves revoked keys for longer than allowed.
#[test]
fn a_confirmation_is_at_least_as_old_as_its_call() {
    struct Case {
        description: &'static str,
        ago: u64,
        held: u64,
        arrived: u64,
        confirmed: u64,
    }
    let cases = [
        Case { description: "immediate", ago: 0, held: 0, arrived: 1_001, confirmed: 1_000 },
        Case {
            description: "old at the control process",
            ago: 700,
            held: 0,
            arrived: 1_001,
            confirmed: 300,
        },
        Case { description: "held there", ago: 100, held: 600, arrived: 1_601, confirmed: 1_500 },
        Case {
            description: "delayed in transit",
            ago: 0,
            held: 0,
            arrived: 9_000,
            confirmed: 1_000,
        },
    ];
    for case in cases {
        let mut view = view();
        let reply = SyncReply {
            confirmed_ago: Some(Duration::from_millis(case.ago)),
            held: Duration::from_millis(case.held),
            ..reply_with_configuration(3, 1)
        };
        view.merge(address(1), true, reply, boot(1_000), at(case.arrived)).expect("readable");
        assert_eq!(view.confirmed(), Some(boot(case.confirmed)), "{}", case.description);
    }
}

#[test]
fn a_configuration_is_confirmed_by_replies_with_nothing_newer() {
    struct Case {
        description: &'static str,
        reply_with: SyncReply,
        is_confirmed: bool,
    }
    let confirmed = |reply: SyncReply| SyncReply { confirmed_ago: Some(Duration::ZERO), ..reply };
    let newer =
        TrafficSnapshot { index: 9, version: Some(4), text: None, evacuated: BTreeSet::new() };
    let cases = [
        Case { description: "nothing newer", reply_with: confirmed(reply()), is_confirmed: true },
        Case {
            description: "an older one, late",
            reply_with: reply_with_configuration(2, 1),
            is_confirmed: true,
        },
        Case {
            description: "a newer one that cannot be applied",
            reply_with: confirmed(SyncReply { traffic: Some(newer), ..reply() }),
            is_confirmed: false,
        },
    ];
    for case in cases {
        let mut view = view();
        let held = SyncReply { confirmed_ago: None, ..reply_with_configuration(3, 2) };
        view.merge(address(1), true, held, boot(0), at(0)).expect("readable");
        view.merge(address(2), true, case.reply_with, boot(100), at(100)).expect("readable");
        assert_eq!(view.confirmed().is_some(), case.is_confirmed, "{}", case.description);
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
        let reply = SyncReply { confirmed_ago: case.ago, ..reply_with_configuration(3, 1) };
        view.merge(address(1), true, reply, boot(0), at(0)).expect("readable");
        assert_eq!(view.confirmed().is_some(), case.is_confirmed, "{:?}", case.ago);
    }
}

#[test]
fn a_backend_server_is_live_while_any_control_process_observes_it() {
    let mut view = view();
    let is_silent = |view: &FleetView, now| view.backends(now).next().map(|row| row.is_silent);
    let serving = |sequence| record("i-1", sequence, ServingState::Serving);
    view.merge(address(1), true, reply_with(serving(1), false), boot(0), at(0)).expect("merged");
    view.merge(address(2), true, reply_with(serving(2), false), boot(10), at(10)).expect("merged");
    view.merge(address(1), false, reply_with(serving(1), true), boot(5_000), at(5_000))
        .expect("merged");
    assert_eq!(is_silent(&view, at(5_000)), Some(false));
    view.merge(address(2), false, reply_with(serving(2), true), boot(9_000), at(9_000))
        .expect("merged");
    assert_eq!(is_silent(&view, at(9_000)), Some(true));
}

#[test]
fn restarted_control_processes_do_not_empty_the_view() {
    // Restarted control processes report empty registries. Their lack of observations must not
    // remove members, or gateways would know no backend server for seconds after all control
    // processes restart at once.
    let mut view = view();
    let serving = record("i-1", 1, ServingState::Serving);
    view.merge(address(1), true, reply_with(serving, false), boot(0), at(0)).expect("merged");
    view.merge(address(1), true, SyncReply { run: 2, ..reply() }, boot(1_000), at(1_000))
        .expect("merged");
    let rows: Vec<_> = view.backends(at(3_000)).collect();
    assert!(rows.iter().any(|row| !row.is_silent), "{rows:?}");
    assert!(view.backends(at(20_000)).all(|row| row.is_silent));
}

#[test]
fn a_departure_reported_by_any_control_process_is_final() {
    let mut view = view();
    let departure = SyncReply { departed: vec![departed("i-1", 0)], ..reply() };
    view.merge(address(1), true, departure, boot(0), at(0)).expect("merged");
    let late = record("i-1", 9, ServingState::Serving);
    view.merge(address(2), true, reply_with(late, false), boot(10), at(10)).expect("merged");
    assert_eq!(view.backends(at(10)).count(), 0);
}

#[test]
fn reports_about_a_new_gateway_run_replace_those_about_the_previous_one() {
    let mut view = view();
    let observation = |run, phase, is_silent| {
        let mut profile = gateway_announcement("a", "puget", phase).profile;
        profile.run = run;
        SyncReply { gateways: vec![GatewayObservation { profile, phase, is_silent }], ..reply() }
    };
    let ready = GatewayPhase::Ready;
    view.merge(address(1), true, observation(1, ready, false), boot(0), at(0)).expect("merged");
    view.merge(address(2), true, observation(2, GatewayPhase::Starting, false), boot(10), at(10))
        .expect("merged");
    assert_eq!(view.ready_gateways(&region("puget"), at(10)).len(), 0);
    view.merge(address(1), false, observation(1, ready, true), boot(2_000), at(2_000))
        .expect("merged");
    view.merge(address(2), false, observation(2, ready, false), boot(2_100), at(2_100))
        .expect("merged");
    assert_eq!(view.ready_gateways(&region("puget"), at(2_100)).len(), 1);
}

/// Guards against limits of backend servers that are exceeded by gateways that stop together: each
/// still sends, and must be counted by the others.
#[test]
fn gateways_that_stop_count_among_those_that_send() {
    struct Case {
        phase: GatewayPhase,
        is_silent: bool,
        is_ready: bool,
        is_sending: bool,
    }
    let case =
        |phase, is_silent, is_ready, is_sending| Case { phase, is_silent, is_ready, is_sending };
    let cases = [
        case(GatewayPhase::Starting, false, false, false),
        case(GatewayPhase::Ready, false, true, true),
        case(GatewayPhase::Stopping, false, false, true),
        case(GatewayPhase::Ready, true, false, false),
        case(GatewayPhase::Stopping, true, false, false),
    ];
    for Case { phase, is_silent, is_ready, is_sending } in cases {
        let mut view = view();
        let profile = gateway_announcement("a", "puget", phase).profile;
        let gateways = vec![GatewayObservation { profile, phase, is_silent }];
        view.merge(address(1), true, SyncReply { gateways, ..reply() }, boot(0), at(0))
            .expect("merged");
        let listed = |rows: Vec<GatewayRow>| !rows.is_empty();
        let what = format!("{phase}, silent: {is_silent}");
        let puget = region("puget");
        assert_eq!(listed(view.ready_gateways(&puget, at(10))), is_ready, "{what}");
        assert_eq!(listed(view.sending_gateways(&puget, at(10))), is_sending, "{what}");
        assert!(view.sending_gateways(&region("inland"), at(10)).is_empty(), "{what}");
    }
}

/// A report of a control process on a backend server.
enum Report {
    Announced { control: u8, incarnation: u64, sequence: u64, state: ServingState },
    Departed { control: u8, last: u64 },
    Silent { control: u8, incarnation: u64, sequence: u64 },
}

#[test]
fn a_restarted_run_replaces_the_previous_one_of_its_name() {
    // Runs must be told apart by incarnation, not by name alone. Otherwise a backend server that
    // crashed and restarted under its name is never used, because the sequence numbers of the new
    // run start over, or because a departure, silence or leaving state of the earlier run is
    // applied to it.
    struct Case {
        description: &'static str,
        reports: Vec<Report>,
        /// Incarnation, state and silence of the member at the end.
        expected: Option<(u64, ServingState, bool)>,
    }
    use Report::{Announced, Departed, Silent};
    let (serving, leaving) = (ServingState::Serving, ServingState::Leaving);
    let announced =
        |control, incarnation, sequence, state| Announced { control, incarnation, sequence, state };
    let cases = [
        Case {
            description: "its sequence numbers start over",
            reports: vec![announced(1, 10, 90, serving), announced(1, 20, 1, serving)],
            expected: Some((20, serving, false)),
        },
        Case {
            description: "a late report of the earlier run changes nothing",
            reports: vec![announced(1, 20, 1, serving), announced(2, 10, 90, leaving)],
            expected: Some((20, serving, false)),
        },
        Case {
            description: "the earlier run was leaving",
            reports: vec![announced(1, 10, 5, leaving), announced(1, 20, 1, serving)],
            expected: Some((20, serving, false)),
        },
        Case {
            description: "the earlier run departed",
            reports: vec![
                announced(1, 10, 5, serving),
                Departed { control: 1, last: 15 },
                announced(2, 20, 1, serving),
            ],
            expected: Some((20, serving, false)),
        },
        Case {
            description: "its departure is reported again after the later run is known",
            reports: vec![announced(2, 20, 1, serving), Departed { control: 1, last: 15 }],
            expected: Some((20, serving, false)),
        },
        Case {
            description: "a departure ends the run that it names",
            reports: vec![announced(2, 20, 1, serving), Departed { control: 1, last: 25 }],
            expected: None,
        },
        Case {
            description: "a control process that only knows the earlier run calls it silent",
            reports: vec![
                announced(1, 10, 5, serving),
                announced(2, 20, 1, serving),
                Silent { control: 1, incarnation: 10, sequence: 5 },
            ],
            expected: Some((20, serving, false)),
        },
    ];
    for case in cases {
        let mut view = view();
        for (index, report) in case.reports.into_iter().enumerate() {
            let run = |incarnation, sequence, state| BackendRecord {
                incarnation: Incarnation(incarnation),
                ..record("i-1", sequence, state)
            };
            let (control, reply) = match report {
                Announced { control, incarnation, sequence, state } => {
                    (control, reply_with(run(incarnation, sequence, state), false))
                }
                Departed { control, last } => {
                    (control, SyncReply { departed: vec![departed("i-1", last)], ..reply() })
                }
                Silent { control, incarnation, sequence } => {
                    (control, reply_with(run(incarnation, sequence, serving), true))
                }
            };
            view.merge(address(control), false, reply, boot(index as u64), at(index as u64))
                .expect("merged");
        }
        let row = view.backends(at(100)).next();
        let found = row.map(|r| (r.record.incarnation.0, r.record.state, r.is_silent));
        assert_eq!(found, case.expected, "{}", case.description);
    }
}

#[test]
fn a_registry_distinguishes_runs_of_one_name() {
    // As above, for the registry of one control process.
    struct Case {
        description: &'static str,
        before: Option<u64>,
        has_left: bool,
        after: u64,
        expected: Option<u64>,
    }
    let cases = [
        Case {
            description: "later",
            before: Some(10),
            has_left: false,
            after: 20,
            expected: Some(20),
        },
        Case {
            description: "earlier",
            before: Some(20),
            has_left: false,
            after: 10,
            expected: Some(20),
        },
        Case {
            description: "departed",
            before: Some(10),
            has_left: true,
            after: 10,
            expected: None,
        },
        Case {
            description: "started after the departure",
            before: Some(10),
            has_left: true,
            after: WALL.0 + 1,
            expected: Some(WALL.0 + 1),
        },
        Case {
            description: "late report of a run observed elsewhere, after its departure here",
            before: None,
            has_left: true,
            after: 10,
            expected: None,
        },
        Case {
            description: "its clock is ahead of this process's",
            before: Some(WALL.0 + 900),
            has_left: true,
            after: WALL.0 + 900,
            expected: None,
        },
    ];
    let announced = |incarnation, sequence| BackendRecord {
        incarnation: Incarnation(incarnation),
        ..record("i-1", sequence, ServingState::Serving)
    };
    for case in cases {
        let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
        if let Some(incarnation) = case.before {
            registry.announce(announced(incarnation, 40), at(10));
        }
        if case.has_left {
            assert!(registry.leave(&BackendName::try_from("i-1").expect("a name"), WALL, at(20)));
        }
        // The sequence numbers continue within a run and start over in another one.
        let sequence = if case.before == Some(case.after) { 41 } else { 1 };
        registry.announce(announced(case.after, sequence), at(30));
        let known = registry.backends_after(0, at(40));
        let found = known.first().map(|observation| observation.record.incarnation.0);
        assert_eq!(found, case.expected, "{}", case.description);
    }
}
