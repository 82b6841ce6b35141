//! Calls and streamed replies over real sockets.

mod support;

use {
    bytes::Bytes,
    gullglade_peer::{FaultKind, PeerError, PeerFault, PeerTransport},
    std::rc::Rc,
    support::{TEST_TIMEOUT, TestHandler, block_on, config, identity, pool, serve},
};

#[test]
fn calls_are_routed_by_method_prefix() {
    struct Case {
        method: &'static str,
        body: Vec<u8>,
        answer: Result<Vec<u8>, FaultKind>,
    }
    let cases = [
        Case { method: "test.echo", body: vec![], answer: Ok(vec![]) },
        Case { method: "test.echo", body: vec![7; 10], answer: Ok(vec![7; 10]) },
        Case { method: "test.echo", body: vec![7; 3 << 20], answer: Ok(vec![7; 3 << 20]) },
        Case { method: "test.fault", body: vec![], answer: Err(FaultKind::Refused) },
        Case { method: "test.what", body: vec![], answer: Err(FaultKind::UnknownMethod) },
        Case { method: "other.echo", body: vec![], answer: Err(FaultKind::UnknownMethod) },
    ];
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        for case in cases {
            let answer =
                pool.call(server.address, case.method, Bytes::from(case.body), TEST_TIMEOUT).await;
            let answer = answer.map(Vec::from).map_err(|error| match error {
                PeerError::Fault { source: PeerFault { kind, .. } } => kind,
                other => panic!("{}: {other}", case.method),
            });
            assert_eq!(answer, case.answer, "{}", case.method);
        }
        assert_eq!(*handler.from.borrow(), Some(identity("a")));
        assert_eq!(pool.connected_peer(server.address), Some(identity("b")));
    });
}

#[test]
fn streamed_messages_keep_their_boundaries() {
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let pool = pool(config("a"));
        let body = Bytes::from_static(&[200]);
        let mut stream = pool.open(server.address, "test.count", body).await.unwrap();
        for number in 0..200_u8 {
            let message = stream.next().await.unwrap().unwrap();
            assert_eq!(message, vec![number; usize::from(number)]);
        }
        assert_eq!(stream.next().await, None);
        assert_eq!(stream.next().await, None, "the end must repeat");
    });
}

#[test]
fn dropping_a_stream_or_call_cancels_the_handler() {
    // Guards against engines that continue to generate for callers that have disconnected. A
    // gateway drops the relayed reply, or its call times out, while the handler waits and writes
    // nothing. A failed write alone would not stop the handler, so the stream reset must drop its
    // future.
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let body = Bytes::from_static(b"one");
        let mut stream = pool.open(server.address, "test.half", body).await.unwrap();
        assert_eq!(stream.next().await, Some(Ok(Bytes::from_static(b"one"))));
        assert_eq!(handler.running.get(), 1);
        drop(stream);
        handler.wait_until(|h| h.running.get() == 0).await;

        let limit = std::time::Duration::from_millis(20);
        let answer = pool.call(server.address, "test.never", Bytes::new(), limit).await;
        let address = server.address;
        assert_eq!(answer, Err(PeerError::Timeout { address, limit, sent: true }));
        handler.wait_until(|h| h.running.get() == 0).await;
    });
}
