//! What one call on a kept peer session costs beyond its message, over real sockets.

use {
    crate::usage::processor_time,
    bytes::Bytes,
    gullglade_peer::{
        HandlerTable, PeerConfig, PeerFault, PeerHandler, PeerIdentity, PeerPool, PeerSecret,
        PeerServer, PeerTransport,
    },
    gullglade_units::{HybridClock, Incarnation, LocalFuture, ProcessContext},
    monoio::{LegacyDriver, RuntimeBuilder},
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        thread,
        time::Duration,
    },
};

const CALLS: u64 = 2_000;
const PACED_CALLS: u64 = 10;
const FAST_CALLS: u64 = 50_000;
const LIMIT: Duration = Duration::from_secs(5);

/// Bytes each way and the reads that carried them, about the number of packets at a low rate.
#[derive(Default)]
struct LinkCount {
    bytes: [AtomicU64; 2],
    reads: [AtomicU64; 2],
}

impl LinkCount {
    fn values(&self) -> [u64; 4] {
        [&self.bytes[0], &self.bytes[1], &self.reads[0], &self.reads[1]]
            .map(|count| count.load(Ordering::Relaxed))
    }
}

struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        _method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move { Ok(body) })
    }
}

fn config(vm: &str) -> PeerConfig {
    let name = |text: &str| text.parse().expect("a name");
    let identity = PeerIdentity {
        vm: vm.parse().expect("a name"),
        region: "puget".parse().expect("a name"),
        domain: name("puget-a"),
        incarnation: Incarnation(1),
    };
    let secret = PeerSecret::try_from("a secret of the measurement").expect("long enough");
    PeerConfig::new(identity, "capacity".parse().expect("a name"), secret)
}

fn on_runtime<T>(work: impl Future<Output = T>) -> T {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime starts")
        .block_on(work)
}

fn start_server() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        on_runtime(async move {
            let handlers = Rc::new(HandlerTable::new());
            handlers.register("echo", Rc::new(EchoHandler));
            let address = "127.0.0.1:0".parse().expect("an address");
            let clock = Rc::new(HybridClock::default());
            let context = ProcessContext::system();
            let server = PeerServer::bind(address, config("server"), context, clock, handlers)
                .expect("a free port");
            sender.send(server.local_addr()).expect("the measurement waits");
            server.run().await;
        });
    });
    receiver.recv().expect("the server starts")
}

/// Puts a counting relay before `target`.
fn start_counter(target: SocketAddr, count: Arc<LinkCount>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(target).expect("the server listens");
            for stream in [&client, &server] {
                stream.set_nodelay(true).expect("a TCP socket");
            }
            let ends = |s: &TcpStream| s.try_clone().expect("a socket");
            let (from, to, counted) = (ends(&client), ends(&server), count.clone());
            thread::spawn(move || copy(from, to, &counted, 0));
            let counted = count.clone();
            thread::spawn(move || copy(server, client, &counted, 1));
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, count: &LinkCount, way: usize) {
    let mut buffer = [0; 16_384];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        count.bytes[way].fetch_add(length as u64, Ordering::Relaxed);
        count.reads[way].fetch_add(1, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn pool() -> PeerPool {
    let clock = Rc::new(HybridClock::default());
    PeerPool::new(config("client"), ProcessContext::system(), clock)
}

async fn call_all(pool: &PeerPool, address: SocketAddr, calls: u64, body: &Bytes) {
    for _ in 0..calls {
        let answer = pool.call(address, "echo.a", body.clone(), LIMIT).await;
        answer.expect("the server answers");
    }
}

pub(crate) fn run() {
    let server = start_server();
    let count = Arc::new(LinkCount::default());
    let counted = start_counter(server, count.clone());
    println!("one call after the other on a kept session; the server echoes the message");
    println!("message B  B/call out  B/call back  reads/call out  reads/call back");
    on_runtime(async {
        let pool = pool();
        for length in [0, 100, 1_000] {
            let body = Bytes::from(vec![7; length]);
            call_all(&pool, counted, 50, &body).await;
            let before = count.values();
            call_all(&pool, counted, CALLS, &body).await;
            let after = count.values();
            let each = |index: usize| (after[index] - before[index]) as f64 / CALLS as f64;
            println!(
                "{length:9}  {:10.1}  {:11.1}  {:14.2}  {:15.2}",
                each(0),
                each(1),
                each(2),
                each(3)
            );
        }
        let before = count.values();
        monoio::time::sleep(Duration::from_secs(10)).await;
        let after = count.values();
        let bytes = (after[0] - before[0] + after[1] - before[1]) as f64 / 10.0;
        println!("idle session, both ways: {bytes:.1} B/s");
        let body = Bytes::from(vec![7; 100]);
        let before = count.values();
        for _ in 0..PACED_CALLS {
            call_all(&pool, counted, 1, &body).await;
            monoio::time::sleep(Duration::from_secs(1)).await;
        }
        let after = count.values();
        let each = |index: usize| (after[index] - before[index]) as f64 / PACED_CALLS as f64;
        println!(
            "session with one call of 100 B a second: {:.1} B/s out, {:.1} B/s back, {:.2} and \
             {:.2} reads/s",
            each(0),
            each(1),
            each(2),
            each(3)
        );
        let before = processor_time();
        call_all(&pool, server, FAST_CALLS, &body).await;
        let spent = processor_time() - before;
        println!(
            "processor time a call of 100 B, both ends: {:.1} µs",
            spent.as_secs_f64() * 1e6 / FAST_CALLS as f64
        );
    });
}
