//! Link emulation: delays and partitions.

mod support;

use {
    bytes::Bytes,
    futures::future::join_all,
    gullglade_peer::{LinkShaper, PeerConfig, PeerError, PeerPool, PeerTransport},
    gullglade_units::ProcessContext,
    monoio::{
        io::{Splitable, copy},
        net::{TcpListener, TcpStream},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    support::{TEST_TIMEOUT, TestHandler, block_on, config, manual_context, serve},
};

const DELAY: Duration = Duration::from_millis(20);

fn shaped_pool(config: PeerConfig, shaper: &Rc<LinkShaper>) -> PeerPool {
    PeerPool::with_link(config, ProcessContext::system(), Rc::default(), shaper.clone())
}

#[test]
fn delays_preserve_order_and_throughput() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let shaper = Rc::new(LinkShaper::new());
        shaper.set_delay(server.address, DELAY);
        let pool = shaped_pool(config("a"), &shaper);
        let call = |n: u8| {
            let body = Bytes::from(vec![n]);
            pool.call(server.address, "test.echo", body, TEST_TIMEOUT)
        };
        call(0).await.unwrap();

        let start = Instant::now();
        for (n, answer) in join_all((0..=255).map(call)).await.into_iter().enumerate() {
            assert_eq!(answer.unwrap(), vec![n as u8]);
        }
        assert!(start.elapsed() >= 2 * DELAY);
        assert!(start.elapsed() < 128 * DELAY, "256 concurrent calls: {:?}", start.elapsed());

        let start = Instant::now();
        let body = Bytes::from_static(&[200]);
        let mut stream = pool.open(server.address, "test.count", body).await.unwrap();
        for number in 0..200_u8 {
            let message = stream.next().await.unwrap().unwrap();
            assert_eq!(message.len(), usize::from(number));
        }
        assert_eq!(stream.next().await, None);
        assert!(start.elapsed() >= 2 * DELAY);
        assert!(start.elapsed() < 100 * DELAY, "200 messages in order: {:?}", start.elapsed());
    });
}

#[test]
fn partition_breaks_streams_and_calls_succeed_after_healing() {
    // Guards against callers that wait for minutes on a stream from a partitioned region.
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let shaper = Rc::new(LinkShaper::new());
        let short = Duration::from_millis(30);
        let config = config("a")
            .ping_interval(short)
            .ping_timeout(short)
            .connect_timeout(short)
            .backoff(short, short);
        let (context, clock) = manual_context();
        let pool = PeerPool::with_link(config, context, Rc::default(), shaper.clone());
        let call = |limit| pool.call(server.address, "test.echo", Bytes::new(), limit);
        let body = Bytes::from_static(b"x");
        let mut stream = pool.open(server.address, "test.half", body).await.unwrap();
        stream.next().await.unwrap().unwrap();

        shaper.set_partitioned(server.address, true);
        let limit = Duration::from_millis(1);
        let (answer, ()) = futures::join!(call(limit), clock.advance_past_sleep(limit));
        let timeout = PeerError::Timeout { address: server.address, limit, sent: true };
        assert_eq!(answer, Err(timeout));
        clock.advance(2 * short);
        let broken = stream.next().await.unwrap().unwrap_err();
        assert!(broken.to_string().contains("cut off"), "{broken}");
        let (answer, ()) = futures::join!(call(TEST_TIMEOUT), clock.advance_past_sleep(short));
        let error = answer.unwrap_err();
        assert!(error.nothing_sent(), "no session can be established: {error:?}");

        shaper.set_partitioned(server.address, false);
        clock.advance(short);
        assert_eq!(call(TEST_TIMEOUT).await, Ok(Bytes::new()));
    });
}

#[test]
fn messages_held_by_a_short_partition_are_delivered_after_healing() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let shaper = Rc::new(LinkShaper::new());
        let pool = shaped_pool(config("a").ping_interval(TEST_TIMEOUT), &shaper);
        let call =
            || pool.call(server.address, "test.echo", Bytes::from_static(b"x"), TEST_TIMEOUT);
        call().await.unwrap();
        shaper.set_partitioned(server.address, true);
        let healing = async {
            monoio::time::sleep(DELAY).await;
            shaper.set_partitioned(server.address, false);
        };
        let start = Instant::now();
        let (answer, ()) = futures::join!(call(), healing);
        assert_eq!(answer, Ok(Bytes::from_static(b"x")));
        assert!(start.elapsed() >= DELAY);
    });
}

#[test]
fn in_flight_messages_arrive_after_a_graceful_stop() {
    // Guards against truncated replies when the serving gateway stops gracefully: it sends the last
    // messages and closes the session while they are in flight. The link emulation must deliver
    // in-flight messages after the session has ended.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let shaper = Rc::new(LinkShaper::new());
        shaper.set_delay(server.address, DELAY);
        let pool = shaped_pool(config("a"), &shaper);
        let body = Bytes::from_static(&[3]);
        let mut stream = pool.open(server.address, "test.count", body).await.unwrap();
        handler.wait_until(|h| h.calls.get() == 1).await;
        server.handle.stop();
        server.handle.finished().await;
        for _ in 0..3 {
            stream.next().await.unwrap().unwrap();
        }
        assert_eq!(stream.next().await, None);
    });
}

#[test]
fn dial_succeeds_on_a_second_attempt_when_the_first_hangs() {
    // Guards against slow reconnects after a power loss in all regions. The gateway starts first
    // and its SYN goes to a VM without power; TCP retransmits it only after 1 s. With a single
    // attempt, the gateway had no session to a control process that had been running for 0.8 s.
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let front = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = front.local_addr().unwrap();
        monoio::spawn(async move {
            // The first connection is accepted but never served; later ones are forwarded to the
            // server.
            let _silent = front.accept().await.unwrap();
            loop {
                let (near, _) = front.accept().await.unwrap();
                let far = TcpStream::connect_addr(server.address).await.unwrap();
                forward_both_ways(near, far);
            }
        });
        let start = Instant::now();
        let pool = PeerPool::new(config("a"), ProcessContext::system(), Rc::default());
        let body = Bytes::from_static(b"hello");
        let answer = pool.call(address, "test.echo", body.clone(), TEST_TIMEOUT).await;
        assert_eq!(answer.unwrap(), body);
        assert!(start.elapsed() < Duration::from_millis(1_000), "{:?}", start.elapsed());
    });
}

/// Forwards bytes in both directions between two connections.
fn forward_both_ways(near: TcpStream, far: TcpStream) {
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    // Each direction ends when its connection closes.
    monoio::spawn(async move { drop(copy(&mut near_in, &mut far_out).await) });
    monoio::spawn(async move { drop(copy(&mut far_in, &mut near_out).await) });
}
