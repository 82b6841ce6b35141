//! Replies that many callers do not read.

use {
    crate::common::{FnHandler, RawPeer, any_port, run},
    bytes::Bytes,
    futures::{StreamExt, stream},
    gullglade_http::{HttpServer, ReplyBody, ServerConfig},
    gullglade_units::ProcessContext,
    http::Response,
    std::{cell::Cell, rc::Rc, time::Duration},
};

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const PIECE: usize = 32 << 10;
/// More than the sockets of one connection hold.
const PIECES: usize = 400;
const CALLERS: usize = 10;
const SMALL_LIMIT: usize = 128 << 10;
const LARGE_LIMIT: usize = 64 << 20;

/// Guards against a VM that runs out of memory because many callers read nothing: each may hold
/// little, but all together hold more than the VM has. Those that read on get their whole reply.
#[test]
fn unread_replies_are_bounded_in_sum() {
    for (limit, is_bounded) in [(SMALL_LIMIT, true), (LARGE_LIMIT, false)] {
        run(async {
            let produced = Rc::new(Cell::new(0));
            let count = Rc::clone(&produced);
            let handler = FnHandler(move |_| {
                let count = Rc::clone(&count);
                // Like an engine: each piece wakes its connection, which may then take it in.
                let pieces = stream::iter(0..PIECES).then(move |_| {
                    count.set(count.get() + 1);
                    async {
                        monoio::time::sleep(Duration::from_millis(1)).await;
                        Ok(Bytes::from(vec![b'x'; PIECE]))
                    }
                });
                let body = ReplyBody::stream(pieces);
                async { Response::new(body) }
            });
            let config = ServerConfig::new().unread_limit(limit);
            let context = ProcessContext::system();
            let server = HttpServer::bind(any_port(), config, context, Rc::new(handler)).unwrap();
            let (address, held) = (server.local_addr(), server.unread_bytes());
            monoio::spawn(server.run());
            let mut peers = Vec::new();
            for _ in 0..CALLERS {
                let mut peer = RawPeer::connect(address).await;
                peer.send(GET).await;
                peers.push(peer);
            }
            let mut most = 0;
            let mut unchanged = 0;
            // Until the sockets are full.
            while unchanged < 10 {
                let before = produced.get();
                monoio::time::sleep(Duration::from_millis(20)).await;
                unchanged = if produced.get() == before { unchanged + 1 } else { 0 };
                most = most.max(held());
            }
            let bound = SMALL_LIMIT + CALLERS * PIECE;
            assert_eq!(most <= bound, is_bounded, "limit {limit}: {most} bytes held");
            for mut peer in peers {
                let reply = peer.read_to_end().await;
                assert!(reply.len() >= PIECES * PIECE, "limit {limit}: {} bytes", reply.len());
            }
            assert_eq!(held(), 0, "limit {limit}");
        });
    }
}
