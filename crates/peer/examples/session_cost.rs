//! Measures the memory use per session and per open stream, and the network traffic of an idle
//! session, for docs/CAPACITY.md. Both ends run in this process, so the figures include both.

#[path = "../benches/support/mod.rs"]
mod support;

use {
    bytes::Bytes,
    futures::join,
    gullglade_peer::{PeerPool, PeerStream, PeerTransport},
    monoio::{
        LegacyDriver, RuntimeBuilder,
        io::{AsyncReadRent, AsyncWriteRentExt, Splitable},
        net::{TcpListener, TcpStream},
    },
    std::{cell::Cell, fs, net::SocketAddr, rc::Rc, time::Duration},
    support::{LIMIT, pool, serve},
};

const SESSIONS: usize = 1_000;
const STREAMS: usize = 10_000;
const IDLE_PERIOD: Duration = Duration::from_secs(30);

/// Returns the resident set size (RSS) of this process in KB.
fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

async fn open(pool: &PeerPool, address: SocketAddr) -> PeerStream {
    let mut stream = pool.open(address, "test.wait", Bytes::new()).await.unwrap();
    stream.next().await.unwrap().unwrap();
    stream
}

async fn memory() {
    let address = serve();
    let before = resident_kb();
    let mut pools = Vec::new();
    for _ in 0..SESSIONS {
        let pool = pool();
        pool.call(address, "test.echo", Bytes::new(), LIMIT).await.unwrap();
        pools.push(pool);
    }
    let sessions = resident_kb();
    println!("session, both ends: {:.1} KB", (sessions - before) / SESSIONS as f64);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        streams.push(open(&pools[0], address).await);
    }
    println!("open stream, both ends: {:.2} KB", (resident_kb() - sessions) / STREAMS as f64);
}

/// Forwards bytes and counts them.
async fn relay(mut from: impl AsyncReadRent, mut to: impl AsyncWriteRentExt, count: &Cell<usize>) {
    loop {
        let (read, mut buffer) = from.read(vec![0; 4096]).await;
        let Ok(read @ 1..) = read else {
            return;
        };
        buffer.truncate(read);
        count.set(count.get() + read);
        if to.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}

async fn idle_bytes() {
    let target = serve();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let counts = Rc::new([Cell::new(0), Cell::new(0)]);
    let counted = counts.clone();
    monoio::spawn(async move {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect_addr(target).await.unwrap();
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        join!(relay(near_read, far_write, &counted[0]), relay(far_read, near_write, &counted[1]));
    });
    let pool = pool();
    pool.call(address, "test.echo", Bytes::new(), LIMIT).await.unwrap();
    let before = [counts[0].get(), counts[1].get()];
    println!("handshake and one call: {} bytes out, {} back", before[0], before[1]);
    monoio::time::sleep(IDLE_PERIOD).await;
    let rate = |way: usize| (counts[way].get() - before[way]) as f64 / IDLE_PERIOD.as_secs_f64();
    println!("idle session: {:.1} bytes/s out, {:.1} back, above TCP", rate(0), rate(1));
}

fn main() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        memory().await;
        idle_bytes().await;
    });
}
