//! Memory of open streams: `cargo run --release -p gullglade-http --example open_streams -- 4000`.
//!
//! Opens that many (a multiple of 100) streamed replies, each with one chunk sent and more awaited, and prints what
//! the resident memory of the process grew by. First with raw sockets as callers, which shows the
//! server's part; then with the pooled client, which shows both parts.

use {
    bytes::Bytes,
    futures::{StreamExt, future::join_all, stream},
    gullglade_http::{
        ClientConfig, ClientReply, HttpClient, HttpServer, PooledClient, ReplyBody, RequestBody,
        RequestHandler, ServerConfig,
    },
    gullglade_units::{LocalFuture, ProcessContext},
    http::{Request, Response},
    monoio::{
        LegacyDriver, RuntimeBuilder,
        io::{AsyncReadRent, AsyncWriteRentExt},
        net::TcpStream,
    },
    std::{fs, net::SocketAddr, rc::Rc},
};

const DEFAULT_STREAMS: usize = 4_000;
const AT_ONCE: usize = 100;
const PAGE_BYTES: usize = 4_096;
const CHUNK: &[u8] = &[b'x'; 160];

struct StreamHandler;

impl RequestHandler for StreamHandler {
    fn handle<'a>(
        &'a self,
        _request: Request<RequestBody>,
        _remote: SocketAddr,
    ) -> LocalFuture<'a, Response<ReplyBody>> {
        let first = stream::iter([Ok(Bytes::from_static(CHUNK))]);
        let body = ReplyBody::stream(first.chain(stream::pending()));
        Box::pin(async { Response::new(body) })
    }
}

fn start_server(streams: usize) -> SocketAddr {
    let (address, context) = ("127.0.0.1:0".parse().unwrap(), ProcessContext::system());
    let config = ServerConfig::new().connection_limit(streams).per_address_limit(streams);
    let server = HttpServer::bind(address, config, context, Rc::new(StreamHandler)).unwrap();
    let address = server.local_addr();
    monoio::spawn(server.run());
    address
}

async fn open_raw(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.0.unwrap();
    let mut received = 0;
    while received < CHUNK.len() {
        received += stream.read(vec![0; 512]).await.0.unwrap();
    }
    stream
}

async fn open_pooled(client: &PooledClient, address: SocketAddr) -> ClientReply {
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let mut reply = client.send(address, request).await.unwrap();
    reply.body.next().await.unwrap().unwrap();
    reply
}

/// Resident memory of this process, bytes; the second number of `/proc/self/statm` counts pages.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    text.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE_BYTES
}

fn report(part: &str, streams: usize, before: usize) {
    let grown = resident().saturating_sub(before);
    println!("{part}: {streams} streams, {grown} bytes, {} bytes a stream", grown / streams);
}

async fn measure(streams: usize) {
    let address = start_server(2 * streams);
    drop(open_raw(address).await);
    let before = resident();
    let mut raw = Vec::with_capacity(streams);
    for _ in 0..streams / AT_ONCE {
        raw.extend(join_all((0..AT_ONCE).map(|_| open_raw(address))).await);
    }
    report("server", streams, before);

    let client = PooledClient::new(ClientConfig::new(), ProcessContext::system());
    let before = resident();
    let mut replies = Vec::with_capacity(streams);
    for _ in 0..streams / AT_ONCE {
        replies.extend(join_all((0..AT_ONCE).map(|_| open_pooled(&client, address))).await);
    }
    report("server and client", streams, before);
    drop((raw, replies));
}

fn main() {
    let streams = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(measure(streams.unwrap_or(DEFAULT_STREAMS)));
}
