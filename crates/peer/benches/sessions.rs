//! Benchmarks of calls and streamed messages over one loopback session, with both ends on one
//! thread. The same exchange over bare h2 is the baseline that shows the overhead of the session.

mod support;

use {
    bytes::Bytes,
    criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main},
    futures::future::{join_all, poll_fn},
    gullglade_peer::PeerTransport,
    h2::{RecvStream, client::SendRequest},
    http::{Request, Response},
    monoio::{
        LegacyDriver, RuntimeBuilder,
        net::{TcpListener, TcpStream},
    },
    monoio_compat::StreamWrapper,
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    support::{BODY, LIMIT, pool, serve},
};

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

/// Measures the time of `total` calls, `concurrency` at a time.
async fn time_calls(total: u64, concurrency: u64) -> Duration {
    let address = serve();
    let pool = pool();
    let body = Bytes::from(vec![1; BODY]);
    let call = || pool.call(address, "test.echo", body.clone(), LIMIT);
    call().await.unwrap();
    let start = Instant::now();
    let workers = (0..concurrency).map(|_| async {
        for _ in 0..total.div_ceil(concurrency) {
            call().await.unwrap();
        }
    });
    join_all(workers).await;
    start.elapsed()
}

/// Measures the time of `total` messages over `concurrency` streams.
async fn time_messages(total: u64, concurrency: u64) -> Duration {
    let address = serve();
    let pool = pool();
    let read = |count: u64| {
        let body = Bytes::from(count.to_le_bytes().to_vec());
        let opening = pool.open(address, "test.messages", body);
        async {
            let mut stream = opening.await.unwrap();
            while let Some(message) = stream.next().await {
                message.unwrap();
            }
        }
    };
    read(1).await;
    let start = Instant::now();
    join_all((0..concurrency).map(|_| read(total.div_ceil(concurrency)))).await;
    start.elapsed()
}

/// Measures the time of `total` exchanges over bare h2, `concurrency` at a time.
async fn time_bare_calls(total: u64, concurrency: u64) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let mut connection = h2::server::handshake(StreamWrapper::new(stream)).await.unwrap();
        while let Some(Ok((request, mut respond))) = connection.accept().await {
            monoio::spawn(async move {
                let body = read_all(request.into_body()).await;
                let mut reply = respond.send_response(Response::new(()), false).unwrap();
                reply.send_data(body, true).unwrap();
            });
        }
    });
    let stream = TcpStream::connect_addr(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = h2::client::handshake(StreamWrapper::new(stream)).await.unwrap();
    monoio::spawn(async move {
        let _ = connection.await;
    });
    let start = Instant::now();
    let workers = (0..concurrency).map(|_| async {
        for _ in 0..total.div_ceil(concurrency) {
            bare_call(sender.clone()).await;
        }
    });
    join_all(workers).await;
    start.elapsed()
}

async fn bare_call(sender: SendRequest<Bytes>) {
    let mut sender = sender.ready().await.unwrap();
    let request = Request::post("http://peer/bench.echo").body(()).unwrap();
    let (response, mut body) = sender.send_request(request, false).unwrap();
    body.send_data(Bytes::from(vec![1; BODY]), true).unwrap();
    read_all(response.await.unwrap().into_body()).await;
}

async fn read_all(mut body: RecvStream) -> Bytes {
    let mut last = Bytes::new();
    while let Some(data) = poll_fn(|cx| body.poll_data(cx)).await {
        last = data.unwrap();
        body.flow_control().release_capacity(last.len()).unwrap();
    }
    last
}

fn sessions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("peer");
    group.throughput(Throughput::Elements(1));
    for concurrency in [1, 32] {
        group.bench_function(BenchmarkId::new("bare_h2_call", concurrency), |bencher| {
            bencher.iter_custom(|total| block_on(time_bare_calls(total, concurrency)));
        });
        group.bench_function(BenchmarkId::new("call", concurrency), |bencher| {
            bencher.iter_custom(|total| block_on(time_calls(total, concurrency)));
        });
    }
    for concurrency in [1, 64] {
        group.bench_function(BenchmarkId::new("message", concurrency), |bencher| {
            bencher.iter_custom(|total| block_on(time_messages(total, concurrency)));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(3)).sample_size(20);
    targets = sessions
}
criterion_main!(benches);
