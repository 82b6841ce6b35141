//! What a control process recalls of its run before, and what a gateway makes of it.

use {
    gullglade_control::{DataFolder, DiskError, FileStat},
    gullglade_event::{MemorySink, MetricSet},
    gullglade_fleet::{
        BackendRecord, BackendStanding, FleetBook, FleetMemory, FleetServer, FleetSettings,
        FleetView, ServingState, SyncReply, TrafficSnapshot, TrafficSource,
    },
    gullglade_poison::{AccountSettings, CrashLedger, CrashNews, PrintKey, RequestView},
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

/// The same moment on the clock of a VM that started a minute before.
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

/// No configuration: these tests are about backend servers alone.
struct NoFormat;

impl TrafficFormat for NoFormat {
    fn read(&self, _text: &[u8]) -> Result<RawTraffic, TrafficError> {
        Err(TrafficError::Malformed { reason: "there is none".to_owned() })
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

/// A disk that outlives the processes that use it.
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

fn ledger(context: &ProcessContext) -> Rc<CrashLedger> {
    CrashLedger::new(
        AccountSettings::default(),
        Rc::clone(&context.clock),
        Rc::<MemorySink>::default(),
        Rc::new(MetricSet::new().expect("metrics")),
    )
}

/// After a loss of power everywhere no process knew any more under which requests backend servers
/// had ended, and each of them ended three more.
#[test]
fn requests_that_end_backend_servers_are_recalled() {
    let (world, _) = FakeWorld::new(1);
    let folder: Rc<MemoryFolder> = Rc::default();
    let view =
        RequestView { method: "POST", host: "h", target: "/", credentials: b"", body: b"question" };
    let print = PrintKey::from([1; 32]).print(&view);
    let start = || {
        let process = world.process();
        let (context, events) = (process.context().clone(), Rc::<MemorySink>::default());
        let crashes = ledger(&context);
        let settings = FleetSettings::new(INTERVAL);
        let server =
            FleetServer::new(settings, Rc::new(NoSource), Rc::clone(&crashes), context, events);
        world.run_until(server.remember(Rc::clone(&folder) as _));
        (process, server, crashes)
    };
    let (process, server, crashes) = start();
    for number in 1..=3 {
        let (backend, incarnation) = (name(&format!("i-{number}")), Incarnation(1));
        crashes.note_cut_off(print, BackendRun { backend, incarnation }, world.now());
        world.run_for(Duration::from_secs(1));
    }
    // Anything that is kept is kept with all of it.
    server.announce(record("i-4", 1));
    world.run_for(Duration::from_secs(1));
    process.kill();
    world.run_for(Duration::from_secs(30));
    let (_process, _server, crashes) = start();
    let hold = crashes.hold(&print).expect("it is held back");
    assert_eq!(hold.ends, 3);
}

/// A control process over `folder` that hears `said` and ends; what it then recalls at its start.
fn heard_after_restart(folder: &Rc<MemoryFolder>, said: &[BackendRecord], left: &[&str]) -> usize {
    let (world, _) = FakeWorld::new(1);
    let start = |folder: &Rc<MemoryFolder>| {
        let process = world.process();
        let (context, events) = (process.context().clone(), Rc::<MemorySink>::default());
        let settings = FleetSettings::new(INTERVAL);
        let crashes = ledger(&context);
        let server = FleetServer::new(settings, Rc::new(NoSource), crashes, context, events);
        world.run_until(server.remember(Rc::clone(folder) as _));
        (process, server)
    };
    let (process, server) = start(folder);
    said.iter().for_each(|record| server.announce(record.clone()));
    left.iter().for_each(|text| server.leave(&name(text)));
    world.run_for(Duration::from_secs(1));
    process.kill();
    let (_process, server) = start(folder);
    server.heard().0
}

#[test]
fn a_control_process_recalls_whom_it_heard() {
    // Symptom: after a loss of power everywhere, gateways know some backend servers and give these
    // everything; the others stand idle for a second. Sequence: control processes and gateways are
    // restarted, backend servers announce themselves one after the other. Cause: a control process
    // began with an empty book.
    struct Case {
        what: &'static str,
        said: Vec<BackendRecord>,
        left: Vec<&'static str>,
        is_full: bool,
        /// What the file holds before, where it is not what a process wrote.
        file: Option<Vec<u8>>,
        recalled: usize,
    }
    let said = || vec![record("i-1", 3), record("i-2", 1)];
    let case = |what, left, is_full, file, recalled| Case {
        what,
        said: said(),
        left,
        is_full,
        file,
        recalled,
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
        let found = heard_after_restart(&folder, &case.said, &case.left);
        assert_eq!(found, case.recalled, "{}", case.what);
    }
}

#[test]
fn what_is_recalled_is_a_hint() {
    // Symptom: a backend server that crashed or left gets work again. Sequence: a control process
    // that was down meanwhile is back and recalls it. Cause: what was heard long ago was told as
    // if it were heard now.
    struct Case {
        what: &'static str,
        /// What another control process has said before: silence or not, `None` for nothing.
        told: Option<bool>,
        has_left: bool,
        /// When the view is asked, milliseconds after the hint.
        asked: u64,
        /// Whether it is known, and as silent.
        expected: Option<bool>,
    }
    let case =
        |what, told, has_left, asked, expected| Case { what, told, has_left, asked, expected };
    let cases = [
        case("nothing else is known", None, false, 100, Some(false)),
        case("it has not announced itself since", None, false, 3_100, Some(true)),
        case("others call it silent", Some(true), false, 100, Some(true)),
        case("others hear it", Some(false), false, 100, Some(false)),
        case("it has left", Some(false), true, 100, None),
    ];
    for case in cases {
        let mut before = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
        before.announce(record("i-1", 5), at(10));
        let memory: FleetMemory = before.memory(at(20));
        let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
        book.recall(memory, at(10_000));

        let mut view = FleetView::new(Rc::new(NoFormat));
        let reply = |backends, departed| SyncReply {
            run: 1,
            cursor: 1,
            backends,
            departed,
            gateways: Vec::new(),
            gateway_total: 0,
            crashes: CrashNews::default(),
            regions: Vec::new(),
            traffic: None,
            confirmed_ago: None,
            held: Duration::ZERO,
            controls: Vec::new(),
        };
        if let Some(is_silent) = case.told {
            let record = record("i-1", 7);
            let told = BackendStanding { record, is_silent, is_recalled: false };
            view.merge(control(2), true, reply(vec![told], Vec::new()), boot(9_000), at(9_000))
                .expect("merged");
        }
        if case.has_left {
            let mut other = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
            other.leave(&name("i-1"), WallMillis(50_000), at(9_500));
            let departed = reply(Vec::new(), other.departed_after(0));
            view.merge(control(2), false, departed, boot(9_500), at(9_500)).expect("merged");
        }
        let hint = reply(book.backends_after(0, at(10_000)), book.departed_after(0));
        view.merge(control(1), true, hint, boot(10_000), at(10_000)).expect("merged");
        let row = view.backends(at(10_000 + case.asked)).next();
        assert_eq!(row.map(|row| row.is_silent), case.expected, "{}", case.what);
    }

    // An announcement makes a hint a fact, whatever its count.
    let mut book = FleetBook::new(FleetSettings::new(INTERVAL), at(0));
    book.recall(
        FleetMemory {
            backends: vec![record("i-1", 5)],
            departed: Vec::new(),
            crashes: CrashNews::default(),
        },
        at(0),
    );
    let standing = book.announce(record("i-1", 6), at(900)).expect("it is news");
    assert!(!standing.is_recalled);
    book.tick(at(4_000));
    assert_eq!(book.backends_after(0, at(4_000)).len(), 1);
}
