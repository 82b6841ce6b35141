//! Peers that stop responding without closing the connection.

use {
    super::raw::{
        TEST_TIMEOUT, block_on, config, dialer_proof, hello, pool, raw_server, send_step,
    },
    crate::{
        HandlerTable, PeerError, PeerFault, PeerHandler, PeerIdentity, PeerServer, PeerTransport,
        handshake::{Admission, HELLO_PATH, PROOF_PATH, Welcome},
        wire::{CallHeader, CallKind, encode_call},
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_units::{HybridStamp, LocalFuture, ProcessContext},
    http::Request,
    monoio::net::TcpStream,
    monoio_compat::StreamWrapper,
    std::{cell::RefCell, pin::pin, rc::Rc, time::Duration},
};

const PING_TIMEOUT: Duration = Duration::from_millis(20);

#[test]
fn unresponsive_server_breaks_its_calls() {
    // Guards against calls that wait for minutes, until their own time limit, after the peer has
    // stopped (a debugger, a blocked disk) or lost its network. The TCP connection stays open, so
    // only an unacknowledged ping distinguishes such a peer from an idle one.
    block_on(async {
        let address = raw_server(|mut connection| async move {
            let call = connection.accept().await;
            // Keeps the call and the connection open without polling them.
            std::future::pending::<()>().await;
            drop((call, connection));
        });
        let pool = pool(config("a").ping_interval(PING_TIMEOUT).ping_timeout(PING_TIMEOUT));
        let error = pool.call(address, "test.it", Bytes::new(), TEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(&error, PeerError::Broken { sent: true, .. }), "{error:?}");
        assert!(error.to_string().contains("no answer to a ping"), "{error}");
    });
}

/// Handler that reports when its call starts and when its future is dropped.
struct DropReportingHandler {
    started: RefCell<Option<oneshot::Sender<()>>>,
    dropped: RefCell<Option<oneshot::Sender<()>>>,
}

impl PeerHandler for DropReportingHandler {
    fn call<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        _method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>> {
        Box::pin(async move {
            let drop_reporter = self.dropped.take();
            let _ = self.started.take().unwrap().send(());
            std::future::pending::<()>().await;
            drop(drop_reporter);
            Ok(Bytes::new())
        })
    }
}

#[test]
fn unresponsive_dialer_cancels_its_handlers() {
    block_on(async {
        let (start, started) = oneshot::channel();
        let (drop_end, dropped) = oneshot::channel::<()>();
        let handler = DropReportingHandler {
            started: RefCell::new(Some(start)),
            dropped: RefCell::new(Some(drop_end)),
        };
        let handlers = Rc::new(HandlerTable::new());
        handlers.register("test", Rc::new(handler));
        let config = config("b").ping_interval(PING_TIMEOUT).ping_timeout(PING_TIMEOUT);
        let any = "127.0.0.1:0".parse().unwrap();
        let context = ProcessContext::system();
        let server = PeerServer::bind(any, config, context, Rc::default(), handlers).unwrap();
        let address = server.local_addr();
        monoio::spawn(server.run());

        let stream = TcpStream::connect_addr(address).await.unwrap();
        let handshake = h2::client::handshake(StreamWrapper::new(stream));
        let (mut sender, mut connection) = handshake.await.unwrap();
        let calling = pin!(async {
            let hello = hello();
            let welcome: Welcome = send_step(&mut sender, HELLO_PATH, &hello).await.unwrap();
            let proof = dialer_proof(&hello, &welcome);
            let _: Admission = send_step(&mut sender, PROOF_PATH, &proof).await.unwrap();
            let request = Request::post("http://peer/test.it").body(()).unwrap();
            let (response, mut body) = sender.send_request(request, false).unwrap();
            let header = CallHeader { stamp: HybridStamp::default(), kind: CallKind::Single };
            body.send_data(encode_call(&header, Bytes::new()), true).unwrap();
            started.await.unwrap();
            (response, body)
        });
        // From here on the connection is open but not polled, so it acknowledges no pings.
        let unfinished_call = match select(calling, &mut connection).await {
            Either::Left((unfinished_call, _)) => unfinished_call,
            Either::Right((end, _)) => panic!("the server closed the session: {end:?}"),
        };
        assert!(dropped.await.is_err(), "the handler's future must be dropped");
        drop((unfinished_call, connection));
    });
}
