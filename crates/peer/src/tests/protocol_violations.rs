//! Replies and handshakes that violate the protocol.

use {
    super::raw::{
        RawCall, TEST_TIMEOUT, block_on, config, dialer_proof, hello, pool, raw_server, send_step,
    },
    crate::{
        HandlerTable, PeerError, PeerServer, PeerTransport, SessionRefusal,
        handshake::{Admission, HELLO_PATH, Hello, PROOF_PATH, Proof, Welcome},
        wire::{PROTOCOL_VERSION, ReplyFrame, ReplyTrailer, append_reply_frame},
    },
    bytes::{Bytes, BytesMut},
    gullglade_units::{HybridStamp, ProcessContext},
    h2::{Reason, client::SendRequest},
    http::{Request, Response},
    monoio::net::TcpStream,
    monoio_compat::StreamWrapper,
    std::{net::SocketAddr, rc::Rc},
};

/// Protocol violation that a raw server commits in reply to each call.
#[derive(Clone, Copy)]
enum Violation {
    /// Sends the parts and ends the stream.
    End(&'static [ReplyPart]),
    /// Sends the parts and resets the stream.
    Reset(&'static [ReplyPart]),
    /// Sends the parts and drops the connection.
    Drop(&'static [ReplyPart]),
}

#[derive(Clone, Copy)]
enum ReplyPart {
    Header,
    Message,
    Trailer,
    Raw(&'static [u8]),
}

fn encode_parts(parts: &[ReplyPart]) -> Bytes {
    let mut bytes = BytesMut::new();
    for part in parts {
        let stamp = HybridStamp::default();
        let frame = match part {
            ReplyPart::Header => ReplyFrame::Header(stamp),
            ReplyPart::Message => ReplyFrame::Message(Bytes::from_static(b"message")),
            ReplyPart::Trailer => ReplyFrame::Trailer(ReplyTrailer { stamp, outcome: Ok(()) }),
            ReplyPart::Raw(raw) => {
                bytes.extend_from_slice(raw);
                continue;
            }
        };
        append_reply_frame(&frame, &mut bytes);
    }
    bytes.freeze()
}

/// Replies to a call with `violation`. Returns true if the connection must be dropped.
fn violate_protocol(violation: Violation, (_, mut respond): RawCall) -> bool {
    let mut body = respond.send_response(Response::new(()), false).unwrap();
    match violation {
        Violation::End(parts) => body.send_data(encode_parts(parts), true).unwrap(),
        Violation::Reset(parts) => {
            body.send_data(encode_parts(parts), false).unwrap();
            body.send_reset(Reason::INTERNAL_ERROR);
        }
        Violation::Drop(parts) => {
            body.send_data(encode_parts(parts), false).unwrap();
            return true;
        }
    }
    false
}

fn violating_server(violation: Violation) -> SocketAddr {
    raw_server(move |mut connection| async move {
        while let Some(Ok(call)) = connection.accept().await {
            if violate_protocol(violation, call) {
                connection.abrupt_shutdown(Reason::INTERNAL_ERROR);
            }
        }
    })
}

#[test]
fn reply_without_trailer_is_broken() {
    // Guards against truncated replies that look complete to a caller. If a process dies or fails
    // after part of a reply, the HTTP/2 stream may end normally; only the trailer marks the end.
    use ReplyPart::{Header, Message, Raw, Trailer};
    struct Case {
        name: &'static str,
        violation: Violation,
        /// Number of messages that a streaming caller gets before the error.
        messages: usize,
    }
    let case = |name, violation, messages| Case { name, violation, messages };
    let cases = [
        case("empty", Violation::End(&[Raw(b"")]), 0),
        case("header only", Violation::End(&[Header]), 0),
        case("no trailer", Violation::End(&[Header, Message]), 1),
        case("half a length", Violation::End(&[Header, Message, Raw(&[0, 0])]), 1),
        case("half a frame", Violation::End(&[Header, Message, Raw(&[0, 0, 0, 9, 1, 1])]), 1),
        case("unknown kind", Violation::End(&[Header, Raw(&[0, 0, 0, 1, 9]), Trailer]), 0),
        case("frame without kind", Violation::End(&[Header, Raw(&[0, 0, 0, 0]), Trailer]), 0),
        case(
            "malformed trailer",
            Violation::End(&[Header, Message, Raw(&[0, 0, 0, 2, 2, 255])]),
            1,
        ),
        case("too long", Violation::End(&[Header, Raw(&[255, 255, 255, 255]), Trailer]), 0),
        case("reset", Violation::Reset(&[Header]), 0),
        case("lost connection", Violation::Drop(&[Header]), 0),
    ];
    block_on(async {
        for Case { name, violation, messages } in cases {
            let dialer = pool(config("a"));
            let address = violating_server(violation);
            let error =
                dialer.call(address, "test.it", Bytes::new(), TEST_TIMEOUT).await.unwrap_err();
            let broken = matches!(error, PeerError::Broken { sent: true, .. });
            assert!(broken && !error.nothing_sent(), "{name}: {error:?}");

            let dialer = pool(config("a"));
            let address = violating_server(violation);
            let mut stream = dialer.open(address, "test.it", Bytes::new()).await.unwrap();
            for _ in 0..messages {
                assert_eq!(stream.next().await.unwrap().unwrap(), "message", "{name}");
            }
            let error = stream.next().await.unwrap().unwrap_err();
            assert!(matches!(error, PeerError::Broken { sent: true, .. }), "{name}: {error:?}");
            assert_eq!(stream.next().await, Some(Err(error)), "{name}: the error must repeat");
        }
    });
}

#[test]
fn single_reply_must_have_exactly_one_message() {
    use ReplyPart::{Header, Message, Trailer};
    let cases: [&[ReplyPart]; 2] = [&[Header, Trailer], &[Header, Message, Message, Trailer]];
    block_on(async {
        for parts in cases {
            let address = violating_server(Violation::End(parts));
            let answer =
                pool(config("a")).call(address, "test.it", Bytes::new(), TEST_TIMEOUT).await;
            assert!(matches!(answer, Err(PeerError::Broken { .. })), "{answer:?}");
        }
    });
}

fn server() -> SocketAddr {
    let context = ProcessContext::system();
    let handlers = Rc::new(HandlerTable::new());
    let any = "127.0.0.1:0".parse().unwrap();
    let server = PeerServer::bind(any, config("b"), context, Rc::default(), handlers).unwrap();
    let address = server.local_addr();
    monoio::spawn(server.run());
    address
}

async fn raw_client(address: SocketAddr) -> SendRequest<Bytes> {
    let stream = TcpStream::connect_addr(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(StreamWrapper::new(stream)).await.unwrap();
    monoio::spawn(async move {
        let _ = connection.await;
    });
    sender
}

#[test]
fn protocol_version_mismatch_reports_both_versions() {
    block_on(async {
        let mut sender = raw_client(server()).await;
        let other = PROTOCOL_VERSION + 1;
        let answer: Result<Welcome, _> =
            send_step(&mut sender, HELLO_PATH, &Hello { protocol: other, ..hello() }).await;
        let refusal = SessionRefusal::Protocol { ours: other, theirs: PROTOCOL_VERSION };
        assert_eq!(answer, Err(refusal));
    });
}

#[test]
fn replayed_proof_is_refused() {
    // Guards against replay attacks: an attacker resends the recorded hello and proof of a dialer.
    // The proof must cover the server's challenge, which differs for each session.
    block_on(async {
        let address = server();
        let hello = hello();
        let mut sender = raw_client(address).await;
        let welcome: Welcome = send_step(&mut sender, HELLO_PATH, &hello).await.unwrap();
        let proof = dialer_proof(&hello, &welcome);
        let admission: Result<Admission, _> = send_step(&mut sender, PROOF_PATH, &proof).await;
        assert!(admission.is_ok());

        let mut sender = raw_client(address).await;
        let _: Welcome = send_step(&mut sender, HELLO_PATH, &hello).await.unwrap();
        let admission: Result<Admission, _> = send_step(&mut sender, PROOF_PATH, &proof).await;
        assert_eq!(admission, Err(SessionRefusal::Secret));
    });
}

#[test]
fn reflected_server_proof_is_refused() {
    block_on(async {
        let mut sender = raw_client(server()).await;
        let welcome: Welcome = send_step(&mut sender, HELLO_PATH, &hello()).await.unwrap();
        let proof: Proof = welcome.proof;
        let admission: Result<Admission, _> = send_step(&mut sender, PROOF_PATH, &proof).await;
        assert_eq!(admission, Err(SessionRefusal::Secret));
    });
}

#[test]
fn calls_before_the_handshake_are_refused() {
    struct Case {
        path: &'static str,
        body: &'static [u8],
    }
    let cases = [
        Case { path: "/test.echo", body: &[0, 0, 0, 0] },
        Case { path: PROOF_PATH, body: &[0, 0, 0, 0] },
        Case { path: HELLO_PATH, body: b"not a frame" },
        Case { path: HELLO_PATH, body: &[0, 0, 0, 1, 200] },
        Case { path: HELLO_PATH, body: &[0, 0, 255, 255] },
    ];
    block_on(async {
        for case in cases {
            let mut sender = raw_client(server()).await;
            let uri = format!("http://peer{}", case.path);
            let request = Request::post(uri).body(()).unwrap();
            let (response, mut body) = sender.send_request(request, false).unwrap();
            body.send_data(Bytes::from_static(case.body), true).unwrap();
            let body = response.await.unwrap().into_body();
            let mut reader = crate::wire::FrameReader::new(body, 1_000);
            let answer: Result<Welcome, SessionRefusal> =
                reader.next_as("of the test").await.unwrap();
            let refused = matches!(answer, Err(SessionRefusal::Malformed { .. }));
            assert!(refused, "{} {:?}: {answer:?}", case.path, case.body);
        }
    });
}
