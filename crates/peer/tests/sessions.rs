//! Sessions: flow control, limits, idle timeout, shutdown, dialing and backoff.

mod support;

use {
    bytes::Bytes,
    futures::{FutureExt, channel::oneshot, future::join_all},
    gullglade_event::MemorySink,
    gullglade_peer::{FaultKind, PeerError, PeerPool, PeerStream, PeerTransport},
    gullglade_units::WallMillis,
    monoio::net::TcpListener,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    support::{TEST_TIMEOUT, TestHandler, TestServer, block_on, config, pool, serve, serve_at},
};

async fn echo(pool: &PeerPool, server: &TestServer) -> Result<Bytes, PeerError> {
    pool.call(server.address, "test.echo", Bytes::from_static(b"echo"), TEST_TIMEOUT).await
}

/// Makes enough round trips on a session for all previously queued data to be processed.
async fn drain_queued(pool: &PeerPool, server: &TestServer) {
    for _ in 0..50 {
        echo(pool, server).await.unwrap();
    }
}

/// Opens a stream that has delivered its only message and stays open until its session is lost.
async fn open_stalled_stream(pool: &PeerPool, server: &TestServer) -> PeerStream {
    let body = Bytes::from_static(b"here");
    let mut stream = pool.open(server.address, "test.half", body).await.unwrap();
    stream.next().await.unwrap().unwrap();
    stream
}

fn is_pending(mut stalled_stream: PeerStream) -> bool {
    stalled_stream.next().now_or_never().is_none()
}

#[test]
fn slow_reader_applies_backpressure_to_the_sender() {
    // Guards against unbounded memory use in gateways when an engine generates faster than a caller
    // on a slow link reads. A sender must wait for capacity in the reader's flow-control window.
    const MESSAGE: usize = 1_000;
    const WINDOW: usize = 64 << 10;
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b").stream_window(WINDOW as u32), handler.clone());
        let pool = pool(config("a").stream_window(WINDOW as u32));
        let body = Bytes::from(vec![1; MESSAGE]);
        let mut stream = pool.open(server.address, "test.flood", body).await.unwrap();
        handler.wait_until(|h| h.sent.get() * MESSAGE > WINDOW / 2).await;
        drain_queued(&pool, &server).await;
        let stalled = handler.sent.get();
        assert!(stalled * MESSAGE <= 2 * WINDOW, "{stalled} messages sent, none read");
        drain_queued(&pool, &server).await;
        assert_eq!(handler.sent.get(), stalled, "the sender must wait");

        for _ in 0..stalled {
            assert_eq!(stream.next().await.unwrap().unwrap().len(), MESSAGE);
        }
        handler.wait_until(|h| h.sent.get() > stalled).await;
    });
}

#[test]
fn mass_cancellation_does_not_break_the_session() {
    // Guards against the loss of all streams between two gateways when one of them resets hundreds
    // of streams at once, with messages in flight or before the server has accepted the calls. With
    // its default limits, h2 treats both as an attack and closes the session with
    // ENHANCE_YOUR_CALM.
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let pool = pool(config("a"));
        let stalled_stream = open_stalled_stream(&pool, &server).await;
        for _ in 0..8 {
            let body = Bytes::from(vec![1; 1_000]);
            let open = |_| pool.open(server.address, "test.flood", body.clone());
            let mut streams = join_all((0..300).map(open)).await;
            streams[0].as_mut().unwrap().next().await.unwrap().unwrap();
            drop(streams);
            drop(join_all((0..300).map(open)).await);
            drain_queued(&pool, &server).await;
        }
        assert!(is_pending(stalled_stream));
    });
}

#[test]
fn slow_readers_of_tiny_messages_do_not_break_the_session() {
    // Guards against the loss of all streams between two gateways when a few callers slowly read
    // messages of a byte or two. With its default limits, h2 sums the overhead of small unread DATA
    // frames per session and closes it with ENHANCE_YOUR_CALM at half of the session's window.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a").session_window(1 << 20));
        let stalled_stream = open_stalled_stream(&pool, &server).await;
        let open = |_| pool.open(server.address, "test.flood", Bytes::from_static(b"x"));
        let streams = join_all((0..8).map(open)).await;
        handler.wait_until(|h| h.sent.get() > 20_000).await;
        drain_queued(&pool, &server).await;
        assert!(is_pending(stalled_stream));
        drop(streams);
    });
}

#[test]
fn calls_beyond_the_stream_limit_are_not_sent() {
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b").stream_limit(2), handler.clone());
        let pool = pool(config("a"));
        echo(&pool, &server).await.unwrap();
        let first = open_stalled_stream(&pool, &server).await;
        let _second = open_stalled_stream(&pool, &server).await;
        let error = echo(&pool, &server).await.unwrap_err();
        assert!(error.nothing_sent() && error.to_string().contains("stream limit"), "{error}");
        drop(first);
        handler.wait_until(|h| h.running.get() == 1).await;
        echo(&pool, &server).await.unwrap();
    });
}

#[test]
fn oversized_message_is_an_error_that_names_the_limit() {
    struct Case {
        dialer: usize,
        server: usize,
        fault: Option<FaultKind>,
        expected_text: &'static str,
    }
    let cases = [
        Case {
            dialer: 1 << 20,
            server: 1_000,
            fault: Some(FaultKind::Malformed),
            expected_text: "longer than the limit of 1000 bytes",
        },
        Case {
            dialer: 2_000,
            server: 1 << 20,
            fault: None,
            expected_text: "longer than the limit of 2000 bytes",
        },
    ];
    block_on(async {
        for case in cases {
            let handler = Rc::new(TestHandler::default());
            let server = serve(config("b").message_limit(case.server), handler.clone());
            let pool = pool(config("a").message_limit(case.dialer));
            // The reply to `test.double` is twice as long as the body of the call.
            let body = Bytes::from(vec![1; 1_500]);
            let error =
                pool.call(server.address, "test.double", body, TEST_TIMEOUT).await.unwrap_err();
            let fault = match &error {
                PeerError::Fault { source } => Some(source.kind),
                PeerError::Broken { sent: true, .. } => None,
                other => panic!("{other:?}"),
            };
            assert_eq!(fault, case.fault, "{error}");
            assert!(error.to_string().contains(case.expected_text), "{error}");
            echo(&pool, &server).await.unwrap();
        }
    });
}

/// Starts a listener that closes every connection; returns the connection count and the address.
fn start_dial_counter() -> (Rc<Cell<usize>>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            drop(stream);
        }
    });
    (count, address)
}

#[test]
fn concurrent_calls_share_one_dial_and_failed_dials_back_off() {
    // Guards against a thundering herd that overloads a restarted VM: without a shared dial and a
    // backoff, each call without a session dials, and each failed call is retried immediately.
    block_on(async {
        let (dials, address) = start_dial_counter();
        let pool = pool(config("a").backoff(TEST_TIMEOUT, TEST_TIMEOUT));
        for _ in 0..3 {
            let call = |_| pool.call(address, "test.echo", Bytes::new(), TEST_TIMEOUT);
            for answer in join_all((0..100).map(call)).await {
                assert!(answer.unwrap_err().nothing_sent());
            }
        }
        assert_eq!(dials.get(), 1);
    });
}

#[test]
fn restarted_peer_is_redialed() {
    block_on(async {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let backoff = Duration::from_millis(2);
        let pool = pool(config("a").backoff(backoff, backoff));
        let call = || pool.call(address, "test.echo", Bytes::new(), TEST_TIMEOUT);
        assert!(call().await.unwrap_err().nothing_sent());
        let first = serve_at(address, config("b"), Rc::new(TestHandler::default()));
        while call().await.is_err() {
            monoio::time::sleep(backoff).await;
        }
        first.handle.abort();
        first.handle.finished().await;
        let _second = serve_at(address, config("b"), Rc::new(TestHandler::default()));
        while call().await.is_err() {
            monoio::time::sleep(backoff).await;
        }
    });
}

#[test]
fn idle_session_is_closed_and_active_session_is_kept() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let idle = Duration::from_millis(20);
        let pool = pool(config("a").idle_timeout(idle));
        let stalled_stream = open_stalled_stream(&pool, &server).await;
        monoio::time::sleep(3 * idle).await;
        assert!(
            pool.connected_peer(server.address).is_some(),
            "an open stream must keep the session open"
        );
        assert!(is_pending(stalled_stream));
        while pool.connected_peer(server.address).is_some() {
            monoio::time::sleep(idle).await;
        }
        echo(&pool, &server).await.unwrap();
    });
}

#[test]
fn graceful_stop_completes_calls_in_progress_and_rejects_new_ones() {
    // Guards against replies that are truncated by a planned restart of a gateway: a stop that
    // arrives while calls are in progress must not close sessions before their streams have ended.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let (open_gate, gate) = oneshot::channel();
        handler.gate.replace(Some(gate));
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let body = Bytes::from_static(b"answer");
        let in_progress = pool.call(server.address, "test.gate", body.clone(), TEST_TIMEOUT);
        let stopping = async {
            handler.wait_until(|h| h.running.get() == 1).await;
            server.handle.stop();
            // A call sent before the GOAWAY arrives is still served.
            let error = loop {
                if let Err(error) = echo(&pool, &server).await {
                    break error;
                }
            };
            assert!(error.nothing_sent(), "{error:?}");
            assert!(server.handle.finished().now_or_never().is_none());
            open_gate.send(()).unwrap();
        };
        let (answer, ()) = futures::join!(in_progress, stopping);
        assert_eq!(answer, Ok(body));
        server.handle.finished().await;
    });
}

#[test]
fn aborted_pool_breaks_its_streams_and_rejects_calls() {
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let mut stalled_stream = open_stalled_stream(&pool, &server).await;
        pool.abort();
        let item = stalled_stream.next().await;
        assert!(matches!(item, Some(Err(PeerError::Broken { sent: true, .. }))), "{item:?}");
        assert_eq!(stalled_stream.next().await, item, "the error must repeat");
        handler.wait_until(|h| h.running.get() == 0).await;
        assert!(echo(&pool, &server).await.unwrap_err().nothing_sent());
    });
}

#[test]
fn calls_advance_both_hybrid_clocks() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let pool_clock = Rc::<gullglade_units::HybridClock>::default();
        let context = gullglade_units::ProcessContext::system();
        let pool = PeerPool::new(config("a"), context, pool_clock.clone());
        let future = WallMillis(9_000_000_000_000);
        let ahead = server.clock.stamp(future);
        echo(&pool, &server).await.unwrap();
        assert!(pool_clock.stamp(WallMillis(0)) > ahead);
        let further = pool_clock.stamp(WallMillis(future.0 + 1_000));
        echo(&pool, &server).await.unwrap();
        assert!(server.clock.stamp(WallMillis(0)) > further);
    });
}

#[test]
fn session_starts_and_ends_are_reported_as_events() {
    block_on(async {
        let (dialed, served) = (Rc::new(MemorySink::default()), Rc::new(MemorySink::default()));
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let backoff = Duration::from_millis(2);
        let pool = pool(config("a").events(dialed.clone()).backoff(backoff, backoff));
        let call = || pool.call(address, "test.echo", Bytes::new(), TEST_TIMEOUT);
        assert!(call().await.is_err());
        assert_eq!(dialed.count("peer.unreachable"), 1);
        let handler = Rc::new(TestHandler::default());
        let server = serve_at(address, config("b").events(served.clone()), handler);
        while call().await.is_err() {
            monoio::time::sleep(backoff).await;
        }
        server.handle.stop();
        server.handle.finished().await;
        while dialed.count("peer.disconnected") == 0 {
            monoio::time::sleep(backoff).await;
        }
        let lines = [dialed.lines(), served.lines()].concat();
        let has_line = |text: &str| lines.iter().any(|line| line.starts_with(text));
        let connected = format!("peer.connected peer=b peer_region=puget address={address}");
        assert!(has_line(&connected), "{lines:?}");
        assert!(has_line("peer.accepted peer=a peer_region=puget incarnation=1"), "{lines:?}");
        assert!(has_line("peer.left peer=a"), "{lines:?}");
        let other_cluster_pool =
            support::pool(support::config_of("c", "pipeline", "a secret for tests only"));
        let server = serve(config("b").events(served.clone()), Rc::new(TestHandler::default()));
        assert!(echo(&other_cluster_pool, &server).await.is_err());
        assert_eq!(served.count("peer.refused"), 1);
    });
}
