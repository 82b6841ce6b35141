//! Snapshot of a control process's previous run, and its use by a gateway.

use {
    gullglade_control::{DataFolder, DiskError, FileStat},
    gullglade_event::{MemorySink, MetricSet},
    gullglade_fleet::{
        BackendObservation, BackendRecord, FleetRegistry, FleetServer, FleetSettings,
        FleetSnapshot, FleetView, ServingState, SyncReply, TrafficSnapshot, TrafficSource,
    },
    gullglade_poison::{
        CrashSuspect, CrashTrackerSettings, CrashUpdate, FingerprintKey, RequestContent,
        SharedCrashTracker, SuspectState,
    },
    gullglade_traffic::{RawTraffic, TrafficError, TrafficFormat},
    gullglade_units::{
        BackendName, BackendRun, BootTime, FailureDomain, Incarnation, LocalFuture, MonotonicTime,
        ProcessContext, RegionName, ServiceName, WallMillis, fake::FakeWorld,
    },
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
};

const INTERVAL: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(millis))
}

/// The same time on the boot clock of a VM that started a minute earlier.
fn boot(millis: u64) -> BootTime {
    BootTime(Duration::from_millis(60_000 + millis))
}

fn control(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 8_080))
}

fn name(text: &str) -> BackendName {
    BackendName::try_from(text).expect("a name")
}

fn record(text: &str, sequence: u64) -> BackendRecord {
    BackendRecord {
        name: name(text),
        service: ServiceName::try_from("pool").expect("a name"),
        address: control(9),
        region: RegionName::try_from("puget").expect("a name"),
        domain: FailureDomain::try_from("puget-a").expect("a name"),
        slots: 8,
        state: ServingState::Serving,
        cold_for: Duration::ZERO,
        incarnation: Incarnation(0),
        sequence,
    }
}

/// Format for tests without configurations.
struct NoFormat;

impl TrafficFormat for NoFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        Err(TrafficError::Malformed { reason: "there is no configuration".to_owned() })
    }
}

struct NoSource;

impl TrafficSource for NoSource {
    fn newer(&self, _index: u64, _version: Option<u64>) -> Option<TrafficSnapshot> {
        None
    }

    fn changed<'a>(&'a self, _index: u64) -> LocalFuture<'a, ()> {
        Box::pin(std::future::pending())
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        None
    }

    fn controls(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
}

/// Disk that outlives the processes that use it.
#[derive(Default)]
struct MemoryFolder {
    files: RefCell<BTreeMap<String, Vec<u8>>>,
    is_full: std::cell::Cell<bool>,
}

impl DataFolder for MemoryFolder {
    fn list(&self) -> LocalFuture<'_, Result<Vec<FileStat>, DiskError>> {
        let stat = |(name, bytes): (&String, &Vec<u8>)| FileStat {
            name: name.clone(),
            size: bytes.len() as u64,
        };
        let stats = self.files.borrow().iter().map(stat).collect();
        Box::pin(async { Ok(stats) })
    }

    fn read<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Vec<u8>, DiskError>> {
        let bytes = self.files.borrow().get(name).cloned();
        let missing = || DiskError::Missing { name: name.to_owned() };
        Box::pin(async move { bytes.ok_or_else(missing) })
    }

    fn append<'a>(
        &'a self,
        name: &'a str,
        bytes: Vec<u8>,
    ) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async move {
            if self.is_full.get() {
                return Err(DiskError::Full { name: name.to_owned() });
            }
            self.files.borrow_mut().entry(name.to_owned()).or_default().extend(bytes);
            Ok(())
        })
    }

    fn sync<'a>(&'a self, _name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        Box::pin(async { Ok(()) })
    }

    fn rename<'a>(&'a self, from: &'a str, to: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        let moved = self.files.borrow_mut().remove(from);
        self.files.borrow_mut().insert(to.to_owned(), moved.unwrap_or_default());
        Box::pin(async { Ok(()) })
    }

    fn remove<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<(), DiskError>> {
        self.files.borrow_mut().remove(name);
        Box::pin(async { Ok(()) })
    }

    fn sync_folder(&self) -> LocalFuture<'_, Result<(), DiskError>> {
        Box::pin(async { Ok(()) })
    }
}

fn crash_tracker(context: &ProcessContext) -> Rc<SharedCrashTracker> {
    SharedCrashTracker::new(
        CrashTrackerSettings::default(),
        Rc::clone(&context.clock),
        Rc::<MemorySink>::default(),
        Rc::new(MetricSet::new().expect("metrics")),
    )
}

/// The crashes must survive a complete restart. Otherwise no process would know the requests and
/// prompt parts, and each would crash three more backend servers.
#[test]
fn requests_that_crash_backend_servers_are_restored() {
    let (world, _) = FakeWorld::new(1);
    let folder: Rc<MemoryFolder> = Rc::default();
    let request = RequestContent {
        method: "POST",
        host: "h",
        target: "/",
        credentials: b"",
        body: b"question",
    };
    let fingerprint = FingerprintKey::from([1; 32]).fingerprint(&request);
    let part = FingerprintKey::from([1; 32]).part_fingerprint("pool", 7);
    let start = || {
        let process = world.process();
        let (context, events) = (process.context().clone(), Rc::<MemorySink>::default());
        let crashes = crash_tracker(&context);
        let settings = FleetSettings::new(INTERVAL);
        let server =
            FleetServer::new(settings, Rc::new(NoSource), Rc::clone(&crashes), context, events);
        world.run_until(server.restore_and_persist(Rc::clone(&folder) as _));
        (process, server, crashes)
    };
    let (process, server, crashes) = start();
    for number in 1..=3_u8 {
        let run = |kind| BackendRun {
            backend: name(&format!("{kind}-{number}")),
            incarnation: Incarnation(1),
        };
        crashes.record_cut_off(fingerprint, run("i"), world.now());
        let content = FingerprintKey::from([1; 32])
            .fingerprint(&RequestContent { body: &[number], ..request });
        crashes.record_parts_cut_off(&[part], content, &run("j"));
        world.run_for(Duration::from_secs(1));
    }
    // Any change of the backend servers saves the crashes as well.
    server.announce(record("i-4", 1));
    world.run_for(Duration::from_secs(1));
    process.kill();
    world.run_for(Duration::from_secs(30));
    let (_process, _server, crashes) = start();
    let held = |suspect| match crashes.state(&suspect, false) {
        SuspectState::Held(hold) => hold.ends,
        state => panic!("{suspect}: {state:?}"),
    };
    assert_eq!(held(CrashSuspect::Content(fingerprint)), 3);
    assert_eq!(held(CrashSuspect::Part(part)), 3);
}

/// Runs a control process over `folder` that observes `announced` and `left`, and returns the
/// number of backend servers that its next run restores.
fn restored_after_restart(
    folder: &Rc<MemoryFolder>,
    announced: &[BackendRecord],
    left: &[&str],
) -> usize {
    let (world, _) = FakeWorld::new(1);
    let start = |folder: &Rc<MemoryFolder>| {
        let process = world.process();
        let (context, events) = (process.context().clone(), Rc::<MemorySink>::default());
        let settings = FleetSettings::new(INTERVAL);
        let crashes = crash_tracker(&context);
        let server = FleetServer::new(settings, Rc::new(NoSource), crashes, context, events);
        world.run_until(server.restore_and_persist(Rc::clone(folder) as _));
        (process, server)
    };
    let (process, server) = start(folder);
    announced.iter().for_each(|record| server.announce(record.clone()));
    left.iter().for_each(|text| server.leave(&name(text)));
    world.run_for(Duration::from_secs(1));
    process.kill();
    let (_process, server) = start(folder);
    server.live_counts().0
}

#[test]
fn a_control_process_restores_its_observations() {
    // After a complete restart, backend servers announce themselves one after the other. With an
    // empty registry, gateways would send everything to the first ones while the others stay idle
    // for a second.
    struct Case {
        description: &'static str,
        announced: Vec<BackendRecord>,
        left: Vec<&'static str>,
        is_full: bool,
        /// Initial content of the file, if it was not written by a process.
        file: Option<Vec<u8>>,
        restored: usize,
    }
    let announced = || vec![record("i-1", 3), record("i-2", 1)];
    let case = |description, left, is_full, file, restored| Case {
        description,
        announced: announced(),
        left,
        is_full,
        file,
        restored,
    };
    let cases = [
        case("both", vec![], false, None, 2),
        case("one has left", vec!["i-1"], false, None, 1),
        case("the disk is full", vec![], true, None, 0),
        case("the file was unreadable", vec![], false, Some(vec![0xff; 40]), 2),
    ];
    for case in cases {
        let folder = Rc::new(MemoryFolder::default());
        folder.is_full.set(case.is_full);
        if let Some(bytes) = case.file {
            folder.files.borrow_mut().insert("fleet".to_owned(), bytes);
        }
        let found = restored_after_restart(&folder, &case.announced, &case.left);
        assert_eq!(found, case.restored, "{}", case.description);
    }
}

#[test]
fn restored_observations_are_hints() {
    // A control process that was down must not report its restored observations as current, or a
    // backend server that crashed or left meanwhile gets work again.
    struct Case {
        description: &'static str,
        /// Earlier report of another control process: silent or not, or `None` for no report.
        reported: Option<bool>,
        has_left: bool,
        /// Time of the query, in milliseconds after the hint.
        queried_after_ms: u64,
        /// Whether the member is silent; `None` if it is unknown.
        expected: Option<bool>,
    }
    let case = |description, reported, has_left, queried_after_ms, expected| Case {
        description,
        reported,
        has_left,
        queried_after_ms,
        expected,
    };
    let cases = [
        case("nothing else is known", None, false, 100, Some(false)),
        case("it has not announced itself since", None, false, 3_100, Some(true)),
        case("another process reports it as silent", Some(true), false, 100, Some(true)),
        case("another process observes it", Some(false), false, 100, Some(false)),
        case("it has left", Some(false), true, 100, None),
    ];
    for case in cases {
        let mut previous = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
        previous.announce(record("i-1", 5), at(10));
        let snapshot: FleetSnapshot = previous.snapshot(at(20));
        let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
        registry.restore(snapshot, at(10_000));

        let mut view = FleetView::new(Rc::new(NoFormat));
        let reply = |backends, departed| SyncReply {
            run: 1,
            cursor: 1,
            backends,
            departed,
            gateways: Vec::new(),
            gateway_total: 0,
            crashes: CrashUpdate::default(),
            regions: Vec::new(),
            traffic: None,
            confirmed_ago: None,
            held: Duration::ZERO,
            controls: Vec::new(),
        };
        if let Some(is_silent) = case.reported {
            let record = record("i-1", 7);
            let reported = BackendObservation { record, is_silent, is_recalled: false };
            view.merge(control(2), true, reply(vec![reported], Vec::new()), boot(9_000), at(9_000))
                .expect("merged");
        }
        if case.has_left {
            let mut other = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
            other.leave(&name("i-1"), WallMillis(50_000), at(9_500));
            let departed = reply(Vec::new(), other.departed_after(0));
            view.merge(control(2), false, departed, boot(9_500), at(9_500)).expect("merged");
        }
        let hint = reply(registry.backends_after(0, at(10_000)), registry.departed_after(0));
        view.merge(control(1), true, hint, boot(10_000), at(10_000)).expect("merged");
        let row = view.backends(at(10_000 + case.queried_after_ms)).next();
        assert_eq!(row.map(|row| row.is_silent), case.expected, "{}", case.description);
    }

    // An announcement turns the hint into an observation, whatever its sequence number.
    let mut registry = FleetRegistry::new(FleetSettings::new(INTERVAL), at(0));
    registry.restore(
        FleetSnapshot {
            backends: vec![record("i-1", 5)],
            departed: Vec::new(),
            crashes: CrashUpdate::default(),
        },
        at(0),
    );
    let observation =
        registry.announce(record("i-1", 6), at(900)).expect("the observation changed");
    assert!(!observation.is_recalled);
    registry.tick(at(4_000));
    assert_eq!(registry.backends_after(0, at(4_000)).len(), 1);
}
