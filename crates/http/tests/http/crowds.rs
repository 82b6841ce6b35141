//! Many connections, and connections that send much: who gives way, and how bodies and heads with
//! very many parts are read.

use {
    crate::common::{RawPeer, count_body, run, serve},
    gullglade_http::{ReplyBody, RequestLimits, ServerConfig, SharedLimits},
    gullglade_units::ProcessContext,
    http::Response,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{cell::Cell, rc::Rc, time::Duration},
};

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Connections that do nothing kept out callers with requests.
#[test]
fn idle_connections_give_way_to_new_ones() {
    run(async {
        let config = ServerConfig::new().connection_limit(10).per_address_limit(10);
        let server = serve(config, ProcessContext::system(), count_body);
        let mut busy = RawPeer::connect(server.address).await;
        busy.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nx").await;
        let mut idle = Vec::new();
        for _ in 0..30 {
            idle.push(RawPeer::connect(server.address).await);
            let mut caller = RawPeer::connect(server.address).await;
            caller.send(GET).await;
            assert!(caller.read_until("0 bytes").await.starts_with("HTTP/1.1 200 "));
        }
        busy.send("x").await;
        assert!(busy.read_until("2 bytes").await.starts_with("HTTP/1.1 200 "));
        assert_eq!(idle[0].read_to_end().await, "");
    });
}

/// A body in many small chunks cost far more than its bytes, and a body was cut at a chunk's end.
#[test]
fn chunks_of_any_size_make_the_same_body() {
    run(async {
        let server = serve(ServerConfig::new(), ProcessContext::system(), |request| async {
            let body = request.into_body().collect(1 << 20).await.expect("a whole body");
            Response::new(ReplyBody::full(body))
        });
        for seed in 0..40 {
            let mut random = StdRng::seed_from_u64(seed);
            let length = random.random_range(0..60_000);
            let body: String = (0..length).map(|_| random.random_range('a'..='z')).collect();
            let mut framed = String::new();
            let mut rest = body.as_str();
            while !rest.is_empty() {
                let longest = rest.len().min(1 << random.random_range(0..12));
                let size = random.random_range(1..=longest);
                let extension = if random.random_bool(0.1) { ";name=\"value\"" } else { "" };
                framed.push_str(&format!("{size:X}{extension}\r\n{}\r\n", &rest[..size]));
                rest = &rest[size..];
            }
            framed.push_str("000\r\ntrailer: x\r\n\r\n");
            let mut peer = RawPeer::connect(server.address).await;
            peer.send("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n").await;
            let mut sent = framed.as_bytes();
            while !sent.is_empty() {
                let (piece, later) = sent.split_at(random.random_range(1..=sent.len()));
                peer.send(piece).await;
                sent = later;
            }
            let reply = peer.read_to_end().await;
            let (_, received) = reply.split_once("\r\n\r\n").expect("a whole head");
            assert!(received == body, "seed {seed}: {} of {length} bytes", received.len());
        }
    });
}

/// A head with over 100 fields was refused although it was within the limit on its size.
#[test]
fn heads_of_any_number_of_fields_are_served() {
    for count in [100, 101, 3_000, 10_000] {
        run(async {
            let fields = Rc::new(Cell::new(0));
            let seen = Rc::clone(&fields);
            let server = serve(ServerConfig::new(), ProcessContext::system(), move |request| {
                seen.set(request.headers().get_all("x").iter().count());
                count_body(request)
            });
            let mut peer = RawPeer::connect(server.address).await;
            let head = format!(
                "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n{}\r\n",
                "x:\r\n".repeat(count)
            );
            for _ in 0..2 {
                peer.send(head.clone() + "abc").await;
                let reply = peer.read_until("3 bytes").await;
                assert!(reply.starts_with("HTTP/1.1 200 "), "{count}: {reply}");
                assert_eq!(fields.take(), count);
            }
        });
    }
}

/// Limits of a configuration that came while a listener served had no effect.
#[test]
fn shared_limits_apply_from_when_they_are_set() {
    struct Case {
        request: String,
        status: &'static str,
    }
    let cases = [
        Case { request: GET.to_owned(), status: "200" },
        Case {
            request: format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(900)),
            status: "431",
        },
        Case {
            request: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\n01234567890"
                .to_owned(),
            status: "413",
        },
        Case { request: "GET / HTTP/1.1\r\n".to_owned(), status: "408" },
    ];
    run(async {
        let limits = SharedLimits::default();
        let config = ServerConfig::new().shared_limits(&limits);
        let server = serve(config, ProcessContext::system(), count_body);
        for case in &cases[..3] {
            let mut peer = RawPeer::connect(server.address).await;
            peer.send(case.request.clone()).await;
            assert!(peer.read_until("bytes").await.starts_with("HTTP/1.1 200 "));
        }
        limits.set(RequestLimits {
            head_bytes: 800,
            body_bytes: 10,
            head_timeout: Duration::from_millis(100),
            idle_timeout: Duration::from_millis(100),
        });
        for Case { request, status } in cases {
            let mut peer = RawPeer::connect(server.address).await;
            peer.send(request).await;
            let reply = peer.read_to_end().await;
            assert!(reply.starts_with(&format!("HTTP/1.1 {status} ")), "{reply}");
        }
    });
}

/// A caller that sent requests ahead and read nothing was served without an end.
#[test]
fn requests_sent_far_ahead_are_not_served() {
    run(async {
        let served = Rc::new(Cell::new(0));
        let count = Rc::clone(&served);
        let server = serve(ServerConfig::new(), ProcessContext::system(), move |request| {
            count.set(count.get() + 1);
            count_body(request)
        });
        let mut peer = RawPeer::connect(server.address).await;
        peer.send(GET.repeat(2_000)).await;
        let replies = peer.read_to_end().await;
        let answered = replies.matches("HTTP/1.1 200 ").count();
        assert_eq!(served.get(), answered);
        assert!((1..2_000).contains(&answered), "{answered}");
        assert!(replies.contains("connection: close"), "{replies}");
    });
}
