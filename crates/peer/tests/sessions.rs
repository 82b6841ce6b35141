//! Sessions: bounds of memory and number, idle and stopped ones, dials and backoff.

mod support;

use {
    bytes::Bytes,
    futures::{FutureExt, channel::oneshot, future::join_all},
    gullglade_event::MemorySink,
    gullglade_peer::{FaultKind, PeerError, PeerPool, PeerStream, PeerTransport},
    gullglade_units::WallMillis,
    monoio::net::TcpListener,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    support::{LONG, TestHandler, TestServer, block_on, config, pool, serve, serve_at},
};

async fn echo(pool: &PeerPool, server: &TestServer) -> Result<Bytes, PeerError> {
    pool.call(server.address, "test.echo", Bytes::from_static(b"echo"), LONG).await
}

/// Enough round trips on a session for everything queued before on it to have moved.
async fn settle(pool: &PeerPool, server: &TestServer) {
    for _ in 0..50 {
        echo(pool, server).await.unwrap();
    }
}

/// A stream that has given its one message and waits; it breaks when its session does.
async fn witness(pool: &PeerPool, server: &TestServer) -> PeerStream {
    let body = Bytes::from_static(b"here");
    let mut stream = pool.open(server.address, "test.half", body).await.unwrap();
    stream.next().await.unwrap().unwrap();
    stream
}

fn still_waits(mut witness: PeerStream) -> bool {
    witness.next().now_or_never().is_none()
}

#[test]
fn a_slow_reader_bounds_the_senders_memory() {
    // Symptom: a gateway's memory grows with each caller on a slow link.
    // Events: an engine answers faster than the caller reads, through two gateways.
    // Cause: a relay that accepts messages without room in the reader's window.
    const MESSAGE: usize = 1_000;
    const WINDOW: usize = 64 << 10;
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b").stream_window(WINDOW as u32), handler.clone());
        let pool = pool(config("a").stream_window(WINDOW as u32));
        let body = Bytes::from(vec![1; MESSAGE]);
        let mut stream = pool.open(server.address, "test.flood", body).await.unwrap();
        handler.changed_until(|h| h.sent.get() * MESSAGE > WINDOW / 2).await;
        settle(&pool, &server).await;
        let stalled = handler.sent.get();
        assert!(stalled * MESSAGE <= 2 * WINDOW, "{stalled} messages sent, none read");
        settle(&pool, &server).await;
        assert_eq!(handler.sent.get(), stalled, "the sender waits");

        for _ in 0..stalled {
            assert_eq!(stream.next().await.unwrap().unwrap().len(), MESSAGE);
        }
        handler.changed_until(|h| h.sent.get() > stalled).await;
    });
}

#[test]
fn mass_cancellation_does_not_break_the_session() {
    // Symptom: all streams between two gateways break at once.
    // Events: a gateway loses some hundred callers in one moment and resets their streams, whose
    // messages are on the way; or resets calls that the far side has not yet taken up.
    // Cause: h2 counts both as attacks and closes the session with ENHANCE_YOUR_CALM.
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let pool = pool(config("a"));
        let witness = witness(&pool, &server).await;
        for _ in 0..8 {
            let body = Bytes::from(vec![1; 1_000]);
            let open = |_| pool.open(server.address, "test.flood", body.clone());
            let mut streams = join_all((0..300).map(open)).await;
            streams[0].as_mut().unwrap().next().await.unwrap().unwrap();
            drop(streams);
            drop(join_all((0..300).map(open)).await);
            settle(&pool, &server).await;
        }
        assert!(still_waits(witness));
    });
}

#[test]
fn slow_readers_of_tiny_messages_do_not_break_the_session() {
    // Symptom: all streams between two gateways break at once.
    // Events: a few callers read slowly while their engines send messages of a byte or two.
    // Cause: h2 counts the overhead of small unread DATA frames over a whole session, and closes
    // it with ENHANCE_YOUR_CALM when half of the session's window is used up.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a").session_window(1 << 20));
        let witness = witness(&pool, &server).await;
        let open = |_| pool.open(server.address, "test.flood", Bytes::from_static(b"x"));
        let streams = join_all((0..8).map(open)).await;
        handler.changed_until(|h| h.sent.get() > 20_000).await;
        settle(&pool, &server).await;
        assert!(still_waits(witness));
        drop(streams);
    });
}

#[test]
fn a_session_carries_no_more_calls_than_its_limit() {
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b").stream_limit(2), handler.clone());
        let pool = pool(config("a"));
        echo(&pool, &server).await.unwrap();
        let first = witness(&pool, &server).await;
        let _second = witness(&pool, &server).await;
        let error = echo(&pool, &server).await.unwrap_err();
        assert!(error.nothing_sent() && error.to_string().contains("stream limit"), "{error}");
        drop(first);
        handler.changed_until(|h| h.running.get() == 1).await;
        echo(&pool, &server).await.unwrap();
    });
}

#[test]
fn a_message_beyond_either_ends_limit_is_an_error_that_names_it() {
    struct Case {
        dialer: usize,
        server: usize,
        fault: Option<FaultKind>,
        words: &'static str,
    }
    let cases = [
        Case {
            dialer: 1 << 20,
            server: 1_000,
            fault: Some(FaultKind::Malformed),
            words: "longer than the limit of 1000 bytes",
        },
        Case {
            dialer: 2_000,
            server: 1 << 20,
            fault: None,
            words: "longer than the limit of 2000 bytes",
        },
    ];
    block_on(async {
        for case in cases {
            let handler = Rc::new(TestHandler::default());
            let server = serve(config("b").message_limit(case.server), handler.clone());
            let pool = pool(config("a").message_limit(case.dialer));
            // The server's reply to `test.double` is twice as long as the call.
            let body = Bytes::from(vec![1; 1_500]);
            let error = pool.call(server.address, "test.double", body, LONG).await.unwrap_err();
            let fault = match &error {
                PeerError::Fault { source } => Some(source.kind),
                PeerError::Broken { sent: true, .. } => None,
                other => panic!("{other:?}"),
            };
            assert_eq!(fault, case.fault, "{error}");
            assert!(error.to_string().contains(case.words), "{error}");
            echo(&pool, &server).await.unwrap();
        }
    });
}

/// A listener that closes every connection, how many it had, and its address.
fn count_dials() -> (Rc<Cell<usize>>, SocketAddr) {
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
fn many_calls_share_one_dial_and_a_failed_one_is_not_repeated_at_once() {
    // Symptom: a restarted VM is met by thousands of connections and falls over again.
    // Events: every call that finds no session dials; every failed call is tried again.
    // Cause: dials without one owner and without backoff.
    block_on(async {
        let (dials, address) = count_dials();
        let pool = pool(config("a").backoff(LONG, LONG));
        for _ in 0..3 {
            let call = |_| pool.call(address, "test.echo", Bytes::new(), LONG);
            for answer in join_all((0..100).map(call)).await {
                assert!(answer.unwrap_err().nothing_sent());
            }
        }
        assert_eq!(dials.get(), 1);
    });
}

#[test]
fn a_peer_that_comes_back_is_dialed_again() {
    block_on(async {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let backoff = Duration::from_millis(2);
        let pool = pool(config("a").backoff(backoff, backoff));
        let call = || pool.call(address, "test.echo", Bytes::new(), LONG);
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
fn an_idle_session_is_closed_and_a_used_one_kept() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let idle = Duration::from_millis(20);
        let pool = pool(config("a").idle_timeout(idle));
        let witness = witness(&pool, &server).await;
        monoio::time::sleep(3 * idle).await;
        assert!(pool.connected_peer(server.address).is_some(), "a stream uses the session");
        assert!(still_waits(witness));
        while pool.connected_peer(server.address).is_some() {
            monoio::time::sleep(idle).await;
        }
        echo(&pool, &server).await.unwrap();
    });
}

#[test]
fn a_graceful_stop_finishes_calls_in_progress_and_takes_no_more() {
    // Symptom: a planned restart of a gateway cuts off answers.
    // Events: stop is asked for while a call runs and others arrive.
    // Cause: closing sessions before their streams have ended.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let (open_gate, gate) = oneshot::channel();
        handler.gate.replace(Some(gate));
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let body = Bytes::from_static(b"answer");
        let in_progress = pool.call(server.address, "test.gate", body.clone(), LONG);
        let stopping = async {
            handler.changed_until(|h| h.running.get() == 1).await;
            server.handle.stop();
            // A call may overtake the news of the stop; then it is served.
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
fn an_aborted_pool_breaks_its_streams_and_dials_no_more() {
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let mut witness = witness(&pool, &server).await;
        pool.abort();
        let item = witness.next().await;
        assert!(matches!(item, Some(Err(PeerError::Broken { sent: true, .. }))), "{item:?}");
        assert_eq!(witness.next().await, item, "broken stays broken");
        handler.changed_until(|h| h.running.get() == 0).await;
        assert!(echo(&pool, &server).await.unwrap_err().nothing_sent());
    });
}

#[test]
fn stamps_move_both_hybrid_clocks_forward() {
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
fn beginnings_and_ends_of_sessions_are_events() {
    block_on(async {
        let (dialed, served) = (Rc::new(MemorySink::default()), Rc::new(MemorySink::default()));
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let backoff = Duration::from_millis(2);
        let pool = pool(config("a").events(dialed.clone()).backoff(backoff, backoff));
        let call = || pool.call(address, "test.echo", Bytes::new(), LONG);
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
        let begins = |text: &str| lines.iter().any(|line| line.starts_with(text));
        let connected = format!("peer.connected peer=b peer_region=puget address={address}");
        assert!(begins(&connected), "{lines:?}");
        assert!(begins("peer.accepted peer=a peer_region=puget incarnation=1"), "{lines:?}");
        assert!(begins("peer.left peer=a"), "{lines:?}");
        let stranger =
            support::pool(support::config_of("c", "pipeline", "a secret for tests only"));
        let server = serve(config("b").events(served.clone()), Rc::new(TestHandler::default()));
        assert!(echo(&stranger, &server).await.is_err());
        assert_eq!(served.count("peer.refused"), 1);
    });
}
