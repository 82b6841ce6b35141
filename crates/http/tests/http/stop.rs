//! Stopping a server gracefully and at once.

use {
    crate::common::{RawPeer, count_body, manual_context, run, serve},
    bytes::Bytes,
    futures::{StreamExt, channel::mpsc},
    gullglade_http::{ReplyBody, ServerConfig},
    gullglade_units::ProcessContext,
    http::Response,
    std::{cell::RefCell, time::Duration},
};

const GET: &str = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

// Symptom: a stream is cut off when its gateway is restarted for an upgrade.
// Sequence: a caller reads a stream; the server is told to stop; the stream's source goes on.
// Cause: a stop that closes connections without regard to requests in progress.
#[test]
fn stop_lets_streams_finish_and_closes_idle_connections() {
    run(async {
        let (source, pieces) = mpsc::unbounded::<&'static str>();
        let pieces = RefCell::new(Some(pieces));
        let server = serve(ServerConfig::new(), ProcessContext::system(), move |_| {
            let pieces = pieces.borrow_mut().take().unwrap();
            let stream = pieces.map(|text| Ok(Bytes::from(text)));
            async { Response::new(ReplyBody::stream(stream)) }
        });
        let mut idle = RawPeer::connect(server.address).await;
        let mut busy = RawPeer::connect(server.address).await;
        busy.send(GET).await;
        source.unbounded_send("first").unwrap();
        busy.read_until("first").await;

        server.handle.stop();
        assert_eq!(idle.read_to_end().await, "");
        source.unbounded_send("second").unwrap();
        drop(source);
        assert!(busy.read_to_end().await.ends_with(&format!("second\r\n{LAST_CHUNK}")));
        server.handle.finished().await;
    });
}

// Symptom: after a kill a caller takes half an answer for a whole one.
// Sequence: a caller reads a stream; the process dies.
// Cause: an end of the connection that looks like the end of the body.
#[test]
fn abort_cuts_a_stream_visibly() {
    run(async {
        let server = serve(ServerConfig::new(), ProcessContext::system(), |_| async {
            let first = futures::stream::iter([Ok(Bytes::from("first"))]);
            Response::new(ReplyBody::stream(first.chain(futures::stream::pending())))
        });
        let mut peer = RawPeer::connect(server.address).await;
        peer.send(GET).await;
        peer.read_until("first").await;
        server.handle.abort();
        assert!(!peer.read_to_end().await.contains(LAST_CHUNK));
        server.handle.finished().await;
    });
}

// Symptom: requests that arrive while a VM shuts down get no answer, so nobody knows their fate.
// Sequence: part of a request has arrived when the server is told to stop; the rest follows, or
// not.
// Cause: a stop that closes whatever is not yet with a handler.
#[test]
fn requests_on_their_way_at_a_stop_are_answered() {
    struct Case {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        expected: [&'static str; 3],
    }
    let cases = [
        Case {
            name: "half a head",
            before: "GET / HTTP/1.1\r\nho",
            after: "",
            expected: ["HTTP/1.1 503 ", "gullglade-run: not-run", "\"stopping\""],
        },
        Case {
            name: "half a body",
            before: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab",
            after: "cd",
            expected: ["HTTP/1.1 200 ", "connection: close", "4 bytes"],
        },
    ];
    for Case { name, before, after, expected } in cases {
        run(async {
            let (context, clock) = manual_context();
            let server = serve(ServerConfig::new(), context, count_body);
            let mut peer = RawPeer::connect(server.address).await;
            peer.send(before).await;
            // Somebody waits for the rest: the head timeout is 10 s, that of the body 15 s.
            let wait = if after.is_empty() { 10 } else { 15 };
            clock.sleeping(Duration::from_secs(wait)).await;
            server.handle.stop();
            peer.send(after).await;
            let reply = peer.read_to_end().await;
            assert!(expected.iter().all(|part| reply.contains(part)), "{name}: {reply}");
            drop(peer);
            server.handle.finished().await;
        });
    }
}

// Symptom: callers get errors while a gateway is replaced, although others could take them.
// Sequence: the gateway is told to stop; callers still come until they learn of other gateways.
// Cause: a stop that refuses connections at once.
#[test]
fn a_retiring_server_serves_on_and_asks_callers_to_leave() {
    run(async {
        let server = serve(ServerConfig::new(), ProcessContext::system(), |_| async {
            Response::new(ReplyBody::full("ok"))
        });
        let mut old = RawPeer::connect(server.address).await;
        server.handle.retire();
        let mut new = RawPeer::connect(server.address).await;
        for peer in [&mut old, &mut new] {
            peer.send(GET).await;
            let reply = peer.read_to_end().await;
            assert!(reply.contains("connection: close"), "{reply}");
            assert!(reply.ends_with("ok"), "{reply}");
        }
        server.handle.stop();
        server.handle.finished().await;
    });
}
