//! [`PeerError::nothing_sent`] of failed calls, including calls to listeners that do not implement
//! the protocol.

mod support;

use {
    bytes::Bytes,
    gullglade_peer::{PeerError, PeerTransport, SessionRefusal},
    monoio::{
        io::{AsyncReadRent, AsyncWriteRentExt},
        net::{TcpListener, TcpStream},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    support::{TEST_TIMEOUT, TestHandler, block_on, config, config_of, pool, serve},
};

/// Starts a listener that passes each connection to `serve`, and returns its address.
fn listen<F, S>(serve: S) -> SocketAddr
where
    S: Fn(TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve(stream));
        }
    });
    address
}

/// Returns an address that refuses connections, whose listener has been closed.
fn closed_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn close_connection(stream: TcpStream) {
    drop(stream);
}

async fn never_reply(mut stream: TcpStream) {
    let mut buffer = vec![0; 4096];
    loop {
        let (read, returned) = stream.read(buffer).await;
        if read.unwrap_or(0) == 0 {
            return;
        }
        buffer = returned;
    }
}

async fn reply_http1(mut stream: TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec()).await;
    never_reply(stream).await;
}

#[test]
fn call_without_a_session_reports_nothing_sent() {
    // Guards against callers that get `unknown` for an order that cannot have run, or `not run` for
    // one that has. If the peer's port is closed or another service listens on it, no session is
    // established, and only an established session can carry bytes of the call.
    struct Case {
        name: &'static str,
        address: fn() -> SocketAddr,
    }
    let cases = [
        Case { name: "closed port", address: closed_port },
        Case { name: "closes the connection", address: || listen(close_connection) },
        Case { name: "never replies", address: || listen(never_reply) },
        Case { name: "replies with HTTP/1.1", address: || listen(reply_http1) },
    ];
    block_on(async {
        for case in cases {
            let limit = Duration::from_millis(50);
            let pool = pool(config("a").connect_timeout(limit));
            let address = (case.address)();
            let error =
                pool.call(address, "test.echo", Bytes::new(), TEST_TIMEOUT).await.unwrap_err();
            let connect = matches!(&error, PeerError::Connect { .. });
            assert!(connect && error.nothing_sent(), "{}: {error:?}", case.name);
            let error = pool.open(address, "test.echo", Bytes::new()).await.err().unwrap();
            assert!(error.nothing_sent(), "{}: {error:?}", case.name);
        }
    });
}

#[test]
fn call_that_times_out_while_dialing_reports_nothing_sent() {
    block_on(async {
        let pool = pool(config("a").connect_timeout(TEST_TIMEOUT));
        let address = listen(never_reply);
        let limit = Duration::from_millis(20);
        let answer = pool.call(address, "test.echo", Bytes::new(), limit).await;
        assert_eq!(answer, Err(PeerError::Timeout { address, limit, sent: false }));
    });
}

#[test]
fn call_on_a_lost_session_reports_that_it_may_have_been_sent() {
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        let pool = pool(config("a"));
        let calling = pool.call(server.address, "test.never", Bytes::new(), TEST_TIMEOUT);
        let killing = async {
            handler.wait_until(|h| h.running.get() == 1).await;
            server.handle.abort();
        };
        let (answer, ()) = futures::join!(calling, killing);
        let error = answer.unwrap_err();
        assert!(matches!(error, PeerError::Broken { sent: true, .. }), "{error:?}");
        handler.wait_until(|h| h.running.get() == 0).await;
        server.handle.finished().await;

        let error = pool.call(server.address, "test.echo", Bytes::new(), TEST_TIMEOUT).await;
        assert!(matches!(error, Err(PeerError::Connect { .. })), "{error:?}");
    });
}

#[test]
fn unsendable_calls_report_the_reason() {
    struct Case {
        method: &'static str,
        body: usize,
        expected_text: &'static str,
    }
    let cases = [
        Case { method: "", body: 0, expected_text: "method names" },
        Case { method: "test/echo", body: 0, expected_text: "method names" },
        Case { method: "test.echo", body: 1_001, expected_text: "message limit of 1000" },
    ];
    block_on(async {
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let pool = pool(config("a").message_limit(1_000));
        for case in cases {
            let body = Bytes::from(vec![0; case.body]);
            let error =
                pool.call(server.address, case.method, body, TEST_TIMEOUT).await.unwrap_err();
            assert!(error.nothing_sent(), "{error:?}");
            assert!(error.to_string().contains(case.expected_text), "{error}");
        }
    });
}

#[test]
fn process_of_another_cluster_or_secret_is_refused_with_the_remedy() {
    struct Case {
        dialer: (&'static str, &'static str),
        refusal: SessionRefusal,
        expected_text: &'static str,
    }
    const SECRET: &str = "a secret for tests only";
    let cluster =
        SessionRefusal::Cluster { ours: "pipeline".to_owned(), theirs: "ballast".to_owned() };
    let cases = [
        Case { dialer: ("pipeline", SECRET), refusal: cluster, expected_text: "same cluster name" },
        Case {
            dialer: ("ballast", "another secret, as long"),
            refusal: SessionRefusal::Secret,
            expected_text: "same secret file",
        },
    ];
    block_on(async {
        let handler = Rc::new(TestHandler::default());
        let server = serve(config("b"), handler.clone());
        for case in cases {
            let pool = pool(config_of("a", case.dialer.0, case.dialer.1));
            let error = pool.call(server.address, "test.echo", Bytes::new(), TEST_TIMEOUT).await;
            let error = error.unwrap_err();
            let address = server.address;
            assert_eq!(error, PeerError::Refused { address, refusal: case.refusal });
            assert!(
                error.nothing_sent() && error.to_string().contains(case.expected_text),
                "{error}"
            );
        }
        assert_eq!(handler.calls.get(), 0);
    });
}

#[test]
fn server_refuses_sessions_beyond_its_limit() {
    block_on(async {
        let server = serve(config("b").session_limit(1), Rc::new(TestHandler::default()));
        let call = |pool: gullglade_peer::PeerPool| async move {
            let answer = pool.call(server.address, "test.echo", Bytes::new(), TEST_TIMEOUT).await;
            (answer, pool)
        };
        let (answer, _first) = call(pool(config("a"))).await;
        assert_eq!(answer, Ok(Bytes::new()));
        let (answer, _second) = call(pool(config("c"))).await;
        let refusal = SessionRefusal::Busy { limit: 1 };
        assert_eq!(answer, Err(PeerError::Refused { address: server.address, refusal }));
    });
}

#[test]
fn secret_is_never_sent() {
    // Guards against disclosure of the secret to an attacker who records the traffic, or who
    // listens on the former address of a peer. The handshake must send a proof of the secret
    // instead.
    block_on(async {
        let received = Rc::new(RefCell::new(Vec::new()));
        let server = serve(config("b"), Rc::new(TestHandler::default()));
        let (record, target) = (received.clone(), server.address);
        let address = listen(move |stream| relay_and_record(stream, target, record.clone()));
        let pool = pool(config("a"));
        let answer =
            pool.call(address, "test.echo", Bytes::from_static(b"in clear"), TEST_TIMEOUT).await;
        assert_eq!(answer, Ok(Bytes::from_static(b"in clear")));
        let received = received.borrow();
        let has = |text: &[u8]| received.windows(text.len()).any(|part| part == text);
        assert!(has(b"in clear"), "the record must contain the transmitted body");
        assert!(!has(b"a secret for tests only"));
    });
}

async fn relay_and_record(inner: TcpStream, target: SocketAddr, record: Rc<RefCell<Vec<u8>>>) {
    let outer = TcpStream::connect_addr(target).await.unwrap();
    let (inner_read, inner_write) = monoio::io::Splitable::into_split(inner);
    let (outer_read, outer_write) = monoio::io::Splitable::into_split(outer);
    let outgoing = copy_and_record(inner_read, outer_write, record.clone());
    futures::join!(outgoing, copy_and_record(outer_read, inner_write, record));
}

async fn copy_and_record(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRentExt,
    record: Rc<RefCell<Vec<u8>>>,
) {
    loop {
        let (read, mut buffer) = from.read(vec![0; 4096]).await;
        let Ok(read @ 1..) = read else {
            return;
        };
        buffer.truncate(read);
        record.borrow_mut().extend_from_slice(&buffer);
        if to.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}
