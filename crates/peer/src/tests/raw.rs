//! Peers implemented directly on the wire format, so that tests can make them violate the protocol.

use {
    crate::{
        PeerConfig, PeerIdentity, PeerPool, PeerSecret, SessionRefusal,
        handshake::{
            Admission, Challenge, HELLO_PATH, Hello, MAX_HANDSHAKE_BYTES, PROOF_PATH, Proof,
            ProofRole, ProofTranscript, Welcome,
        },
        wire::{FrameReader, PROTOCOL_VERSION, encode_handshake_frame},
    },
    bytes::Bytes,
    futures::future::{poll_fn, select},
    gullglade_units::{
        ClusterName, FailureDomain, HybridStamp, Incarnation, ProcessContext, RegionName, VmName,
    },
    h2::{
        RecvStream,
        client::SendRequest,
        server::{Connection, SendResponse},
    },
    http::{Request, Response},
    monoio::{
        LegacyDriver, RuntimeBuilder,
        net::{TcpListener, TcpStream},
    },
    monoio_compat::StreamWrapper,
    serde::{Serialize, de::DeserializeOwned},
    std::{future::Future, net::SocketAddr, pin::pin, rc::Rc, time::Duration},
};

/// Time limit of a test, far longer than any test takes.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on the runtime that is used in production.
pub(super) fn block_on<F: Future>(future: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        monoio::time::timeout(TEST_TIMEOUT, future).await.expect("the test hangs")
    })
}

pub(super) fn identity(vm: &str) -> PeerIdentity {
    PeerIdentity {
        vm: VmName::try_from(vm).unwrap(),
        region: RegionName::try_from("puget").unwrap(),
        domain: FailureDomain::try_from("puget-a").unwrap(),
        incarnation: Incarnation(7),
    }
}

pub(super) fn config(vm: &str) -> PeerConfig {
    let cluster = ClusterName::try_from("ballast").unwrap();
    let secret = PeerSecret::try_from("a secret for tests only").unwrap();
    PeerConfig::new(identity(vm), cluster, secret)
}

pub(super) fn pool(config: PeerConfig) -> PeerPool {
    PeerPool::new(config, ProcessContext::system(), Rc::default())
}

pub(super) type RawConnection = Connection<StreamWrapper<TcpStream>, Bytes>;
pub(super) type RawCall = (Request<RecvStream>, SendResponse<Bytes>);

/// Accepts one session on a new address, performs a valid handshake and passes the connection to
/// `serve`.
pub(super) fn raw_server<F: Future<Output = ()> + 'static>(
    serve: impl FnOnce(RawConnection) -> F + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    monoio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(StreamWrapper::new(stream)).await.unwrap();
        accept_handshake(&mut connection).await;
        serve(connection).await;
    });
    address
}

async fn accept_handshake(connection: &mut RawConnection) {
    let config = config("raw");
    let (hello, respond) = read_step::<Hello>(connection, HELLO_PATH).await;
    let transcript = ProofTranscript {
        role: ProofRole::Server,
        cluster: &config.cluster,
        dialer: &hello.identity,
        server: &config.identity,
        challenges: [hello.challenge, hello.challenge],
    };
    let proof = transcript.prove(&config.secret);
    let (identity, challenge) = (config.identity.clone(), hello.challenge);
    respond_step(respond, &Ok(Welcome { identity, challenge, proof }));
    let (_, respond) = read_step::<Proof>(connection, PROOF_PATH).await;
    respond_step(respond, &Ok(Admission { stamp: HybridStamp::default() }));
}

async fn read_step<T: DeserializeOwned>(
    connection: &mut RawConnection,
    path: &str,
) -> (T, SendResponse<Bytes>) {
    let (request, respond) = connection.accept().await.unwrap().unwrap();
    assert_eq!(request.uri().path(), path);
    let mut reader = FrameReader::new(request.into_body(), MAX_HANDSHAKE_BYTES);
    let reading = pin!(reader.next_as("of the handshake"));
    let connection_end = poll_fn(|cx| connection.poll_accept(cx));
    match select(reading, connection_end).await {
        futures::future::Either::Left((step, _)) => (step.unwrap(), respond),
        futures::future::Either::Right(_) => panic!("the connection ended in the handshake"),
    }
}

fn respond_step<T: Serialize>(
    mut respond: SendResponse<Bytes>,
    answer: &Result<T, SessionRefusal>,
) {
    let mut body = respond.send_response(Response::new(()), false).unwrap();
    body.send_data(encode_handshake_frame(answer), true).unwrap();
}

/// Returns a hello that a server accepts.
pub(super) fn hello() -> Hello {
    let config = config("raw");
    Hello {
        protocol: PROTOCOL_VERSION,
        cluster: config.cluster,
        identity: config.identity,
        challenge: Challenge::new(&*ProcessContext::system().random),
    }
}

/// Sends one handshake message and reads the response.
pub(super) async fn send_step<Q: Serialize, A: DeserializeOwned>(
    sender: &mut SendRequest<Bytes>,
    path: &str,
    message: &Q,
) -> Result<A, SessionRefusal> {
    let request = Request::post(format!("http://peer{path}")).body(()).unwrap();
    let (response, mut body) = sender.send_request(request, false).unwrap();
    body.send_data(encode_handshake_frame(message), true).unwrap();
    let mut reader = FrameReader::new(response.await.unwrap().into_body(), MAX_HANDSHAKE_BYTES);
    reader.next_as("of the handshake").await.unwrap()
}

/// Computes the dialer's proof in response to `welcome`.
pub(super) fn dialer_proof(hello: &Hello, welcome: &Welcome) -> Proof {
    let transcript = ProofTranscript {
        role: ProofRole::Dialer,
        cluster: &hello.cluster,
        dialer: &hello.identity,
        server: &welcome.identity,
        challenges: [hello.challenge, welcome.challenge],
    };
    transcript.prove(&config("raw").secret)
}
