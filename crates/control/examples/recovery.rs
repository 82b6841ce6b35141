//! Measures the cost of the log: a restart after many changes, many documents on disk and in memory,
//! and the first configuration of an empty gateway. It uses real files and the real clock; with a
//! single voter, no network is involved. Filling and reading are separate runs, so that reading
//! starts with an empty process, as after a restart:
//!
//! `cargo run --release -p gullglade-control --example recovery -- fill FOLDER 10000 100`
//! `cargo run --release -p gullglade-control --example recovery -- read FOLDER`
//!
//! A third run configures an empty gateway over real sessions with a one-way link delay in
//! milliseconds:
//!
//! `cargo run --release -p gullglade-control --example recovery -- far FOLDER 55`

use {
    bytes::Bytes,
    futures::future::join_all,
    gullglade_control::{
        ChangeOutcome, ChangeRequest, ConfigReplica, ControlConfig, ControlNode, FileFolder,
        InitialVoter, RegionPeers, ReplicaConfig,
    },
    gullglade_document::{ConfigSource, ServiceDocument, TokenHash},
    gullglade_event::NullSink,
    gullglade_peer::{
        HandlerTable, LinkShaper, PeerConfig, PeerError, PeerIdentity, PeerPool, PeerSecret,
        PeerServer, PeerStream, PeerTransport,
    },
    gullglade_units::{
        ChangeId, ClusterName, FailureDomain, HybridClock, Incarnation, LocalFuture,
        ProcessContext, RegionName, ServiceName, VmName,
    },
    monoio::{LegacyDriver, RuntimeBuilder},
    std::{
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The number of concurrent changes while the log is filled.
const IN_FLIGHT: u64 = 64;

/// The number of workspaces in a document, whose text then has about 2 kB.
const WORKSPACES: u64 = 16;

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text} is a name"))
}

/// Returns the voter's peer address, which is part of the membership in the filled folder.
fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 47_811))
}

/// A transport that calls this process's own handlers.
struct LoopbackTransport {
    handlers: HandlerTable,
    identity: PeerIdentity,
}

impl LoopbackTransport {
    fn new() -> Rc<Self> {
        let identity = PeerIdentity {
            vm: name("vm-a"),
            region: name("puget"),
            domain: name::<FailureDomain>("a"),
            incarnation: Incarnation(1),
        };
        Rc::new(Self { handlers: HandlerTable::new(), identity })
    }
}

impl PeerTransport for LoopbackTransport {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        _limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(async move {
            let refused = PeerError::Connect { address: to, reason: "not here".to_owned() };
            let handler = self.handlers.find(method).ok_or(refused)?;
            Ok(handler.call(&self.identity, method, body).await?)
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        _method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        let reason = "no streams".to_owned();
        Box::pin(async move { Err(PeerError::Connect { address: to, reason }) })
    }
}

fn document(service: &str, version: u64) -> Rc<str> {
    let mut text = format!(
        "service = \"{service}\"\nregions = [\"puget\"]\n[[models]]\nname = \"quote\"\n\
         # version {version}\n"
    );
    for workspace in 0..WORKSPACES {
        let token = TokenHash::of(&format!("{service} {workspace}"));
        text += &format!(
            "[[workspaces]]\nname = \"w{workspace}\"\ntoken_sha256 = [\"{token}\"]\nshare = 1\n"
        );
    }
    text.into()
}

fn change(number: u64, services: u64) -> ChangeRequest {
    let service = format!("service-{}", number % services);
    let base = number / services;
    ChangeRequest {
        id: change_id(number),
        text: Some(document(&service, base)),
        service: name::<ServiceName>(&service),
        base,
        author: "clerk".to_owned(),
    }
}

fn change_id(number: u64) -> ChangeId {
    ChangeId::try_from(format!("change-{number:08}-of-the-recovery-bench")).expect("an id")
}

async fn open(path: &Path, transport: &Rc<LoopbackTransport>) -> ControlNode {
    let voters = vec![InitialVoter { vm: name("vm-a"), address: address() }];
    let config = ControlConfig::new("bench", name("vm-a"), name("puget"), voters);
    let folder = Rc::new(FileFolder::open(path).expect("the folder opens"));
    let context = ProcessContext::system();
    let shared_transport = Rc::clone(transport) as Rc<dyn PeerTransport>;
    let node = ControlNode::start(config, context, shared_transport, folder, Rc::new(NullSink))
        .await
        .expect("the node starts");
    node.serve(&transport.handlers);
    node
}

async fn fill(node: &ControlNode, changes: u64, services: u64) {
    for first in (0..changes).step_by(IN_FLIGHT as usize) {
        let batch = first..(first + IN_FLIGHT).min(changes);
        let outcomes = join_all(batch.map(|number| node.change(change(number, services)))).await;
        assert!(outcomes.iter().all(|o| matches!(o, Ok(ChangeOutcome::Accepted(_)))));
    }
}

fn size_of(path: &Path) -> u64 {
    let files = fs::read_dir(path).expect("a folder");
    files.map(|f| f.expect("a file").metadata().expect("its size").len()).sum()
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()).expect("a number");
    pages * 4_096
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().expect("a runtime");
    runtime.block_on(work)
}

/// Fills an empty folder.
fn fill_folder(path: &Path, changes: u64, services: u64) {
    let began = Instant::now();
    run(async {
        let transport = LoopbackTransport::new();
        let node = open(path, &transport).await;
        fill(&node, changes, services).await;
    });
    println!("{changes} changes of {services} services: filled in {:.2?}", began.elapsed());
}

/// Opens a folder as a restart does, then configures an empty gateway from it.
fn read_folder(path: &Path) {
    let disk = size_of(path);
    let before = resident_bytes();
    run(async {
        let transport = LoopbackTransport::new();
        let began = Instant::now();
        let node = open(path, &transport).await;
        let opened = began.elapsed();
        node.catch_up().await.expect("one voter is a quorum");
        let ready = began.elapsed();
        let memory = resident_bytes().saturating_sub(before);
        let (configured, replica) = first_configuration(&transport).await;
        println!(
            "  {disk} bytes on disk, read in {opened:.1?}, leads after {ready:.2?}, {memory} bytes \
             resident; empty gateway configured in {configured:.1?}, {replica} bytes resident"
        );
        assert!(opened < Duration::from_secs(1), "a restart takes {opened:?}");
    });
}

fn peer_config(vm: &str) -> PeerConfig {
    let identity = PeerIdentity {
        vm: name(vm),
        region: name("puget"),
        domain: name::<FailureDomain>("a"),
        incarnation: Incarnation(1),
    };
    let secret = PeerSecret::try_from("a secret of the recovery bench").expect("long enough");
    PeerConfig::new(identity, name::<ClusterName>("bench"), secret)
}

/// Configures an empty gateway over loopback sessions with a link delay.
fn configure_remote_gateway(path: &Path, delay: Duration) {
    run(async {
        let transport = LoopbackTransport::new();
        let node = open(path, &transport).await;
        node.catch_up().await.expect("one voter is a quorum");
        let context = ProcessContext::system();
        let handlers = Rc::new(HandlerTable::new());
        node.serve(&handlers);
        let clock = Rc::new(HybridClock::default());
        let server =
            PeerServer::bind(address(), peer_config("vm-a"), context.clone(), clock, handlers)
                .expect("a port");
        context.spawner.spawn(Box::pin(server.run()));
        let link = Rc::new(LinkShaper::new());
        link.set_default_delay(delay);
        let clock = Rc::new(HybridClock::default());
        let pool = PeerPool::with_link(peer_config("vm-b"), context.clone(), clock, link);
        let (elapsed, _) = configure(Rc::new(pool), address()).await;
        println!("  empty gateway {delay:?} away configured in {elapsed:.2?}");
    });
}

struct NoPeers;

impl RegionPeers for NoPeers {
    fn addresses(&self) -> Vec<SocketAddr> {
        Vec::new()
    }
}

/// Configures an empty gateway in the same process, without a network. Returns the time until the
/// whole configuration is in force, and the memory that the replica uses, in bytes.
async fn first_configuration(transport: &Rc<LoopbackTransport>) -> (Duration, u64) {
    configure(Rc::clone(transport) as _, address()).await
}

async fn configure(transport: Rc<dyn PeerTransport>, control: SocketAddr) -> (Duration, u64) {
    let (vm, region): (VmName, RegionName) = (name("vm-b"), name("puget"));
    let own = SocketAddr::from(([127, 0, 0, 1], 2));
    let config = ReplicaConfig::new(vm, region, own, vec![control]);
    let context = ProcessContext::system();
    let replica = ConfigReplica::new(config, context.clone());
    let before = resident_bytes();
    let began = Instant::now();
    replica.start(transport, Rc::new(NoPeers), Rc::new(NullSink));
    while replica.current().is_none() {
        context.clock.sleep(Duration::from_millis(1)).await;
    }
    let (elapsed, memory) = (began.elapsed(), resident_bytes().saturating_sub(before));
    let view = replica.current().expect("a view");
    let document = view.documents().next().cloned().expect("a document");
    let began = Instant::now();
    let next = view.with_changes(view.index() + 1, [(document.name.clone(), Some(document))]);
    let changed = began.elapsed();
    println!("  a changed view of {} documents takes {changed:.1?}", next.documents().count());
    (elapsed, memory)
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let number = |at: usize| arguments[at].parse().expect("a number");
    match arguments.get(1).map(String::as_str) {
        Some("parse") => parse(),
        Some("fill") => fill_folder(&PathBuf::from(&arguments[2]), number(3), number(4)),
        Some("read") => read_folder(&PathBuf::from(&arguments[2])),
        Some("far") => {
            configure_remote_gateway(
                &PathBuf::from(&arguments[2]),
                Duration::from_millis(number(3)),
            );
        }
        _ => eprintln!("give: parse | fill FOLDER CHANGES SERVICES | read FOLDER | far FOLDER MS"),
    }
}

fn parse() {
    let text = document("service-1", 1);
    let began = Instant::now();
    let parsed = (0..1_000).filter(|_| ServiceDocument::try_from(&*text).is_ok()).count();
    println!("a document has {} bytes; {parsed} parsed in {:.1?}", text.len(), began.elapsed());
}
