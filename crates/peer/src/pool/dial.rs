//! Connects to an address and shakes hands.

use {
    super::{PoolShared, delay::wait_uncut, session::ClientSession},
    crate::{
        PeerError, PeerIdentity, SessionRefusal,
        handshake::{
            Admission, Challenge, HANDSHAKE_LIMIT, HELLO_PATH, Hello, PROOF_PATH, ProofRole,
            ProofText, Welcome,
        },
        heard::{HeardStream, LastHeard},
        wire::{FrameReader, PROTOCOL_VERSION, encode_plain},
    },
    bytes::Bytes,
    futures::{
        future::{Either, FutureExt, select},
        stream::{FuturesUnordered, StreamExt},
    },
    gullglade_units::timeout,
    h2::client::{Connection, SendRequest},
    http::Request,
    monoio::net::TcpStream,
    monoio_compat::StreamWrapper,
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
    std::{fmt::Display, net::SocketAddr, pin::pin, rc::Rc, time::Duration},
};

/// The HTTP/2 connection of a dialed session.
pub(super) type PeerConnection = Connection<HeardStream<StreamWrapper<TcpStream>>, Bytes>;

/// A session whose handshake is done.
pub(super) struct DialedPeer {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) peer: PeerIdentity,
    pub(super) connection: PeerConnection,
    pub(super) heard: LastHeard,
}

/// One-way trips before the first call: TCP's connect and the two steps of the handshake.
const DIAL_TRIPS: u32 = 6;

/// How long one attempt to connect is alone. A handshake over links of 55 ms takes 0.33 s, and TCP
/// sends a lost opening packet again after 1 s.
const DIAL_AGAIN: Duration = Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum DialError {
    #[snafu(display("{reason}"))]
    Lost { reason: String },
    #[snafu(context(false), display("{source}"))]
    Refused { source: SessionRefusal },
}

fn lost(reason: impl Display) -> DialError {
    DialError::Lost { reason: reason.to_string() }
}

/// A session with the process at `address`, whose task runs already.
pub(super) async fn dial(
    address: SocketAddr,
    shared: &Rc<PoolShared>,
) -> Result<Rc<ClientSession>, PeerError> {
    let limit = shared.config.connect_timeout;
    let dialing = timeout(&*shared.context.clock, limit, connect_again(address, shared));
    let outcome = match select(pin!(dialing), pin!(shared.abort.raised())).await {
        Either::Left((Some(outcome), _)) => outcome,
        Either::Left((None, _)) => Err(lost(format!("no handshake within {limit:?}"))),
        Either::Right(_) => Err(lost("this process is stopping")),
    };
    match outcome {
        Ok(dialed) => Ok(ClientSession::start(address, dialed, shared)),
        Err(DialError::Lost { reason }) => Err(PeerError::Connect { address, reason }),
        Err(DialError::Refused { source }) => Err(PeerError::Refused { address, refusal: source }),
    }
}

/// Connects, and once more beside it each [`DIAL_AGAIN`]; the first one to succeed counts.
///
/// The opening packet to a VM that has no power yet, or over a link that loses packets, is sent
/// again only after a second. After a loss of power everywhere gateways had no session to the
/// control process beside them for 0.8 s after its start, for want of one packet.
async fn connect_again(address: SocketAddr, shared: &PoolShared) -> Result<DialedPeer, DialError> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect(address, shared));
        let mut failure = None;
        let ended = timeout(&*shared.context.clock, DIAL_AGAIN, async {
            while let Some(outcome) = attempts.next().await {
                match outcome {
                    Ok(dialed) => return Some(dialed),
                    Err(error) => failure = Some(error),
                }
            }
            None
        });
        match (ended.await, failure) {
            (Some(Some(dialed)), _) => return Ok(dialed),
            // Every attempt so far has been answered, and badly: that is for the caller to judge.
            (Some(None), Some(error)) => return Err(error),
            (Some(None), None) | (None, _) => {}
        }
    }
}

async fn connect(address: SocketAddr, shared: &PoolShared) -> Result<DialedPeer, DialError> {
    if let Some(link) = &shared.link {
        shared.context.clock.sleep(link.one_way_delay(address) * DIAL_TRIPS).await;
        wait_uncut(&**link, address, &*shared.context.clock).await;
    }
    let stream = TcpStream::connect_addr(address).await.map_err(lost)?;
    stream.set_nodelay(true).map_err(lost)?;
    let clock = shared.context.clock.clone();
    let (stream, heard) = HeardStream::new(StreamWrapper::new(stream), clock);
    let (sender, mut connection) = begin_http2(stream, shared).await.map_err(lost)?;
    let shaking = shake_hands(sender.clone(), shared);
    // The connection moves bytes only while it is polled, so it runs beside the handshake.
    let peer = match select(pin!(shaking), &mut connection).await {
        Either::Left((peer, _)) => peer?,
        Either::Right((end, shaking)) => {
            // A refusal and the end of the connection can arrive together; the refusal says more.
            if let Some(Err(refusal)) = shaking.now_or_never() {
                return Err(refusal);
            }
            let reason = end.map_or_else(|e| e.to_string(), |()| "the peer hung up".to_owned());
            return Err(lost(reason));
        }
    };
    Ok(DialedPeer { sender, peer, connection, heard })
}

async fn begin_http2(
    stream: HeardStream<StreamWrapper<TcpStream>>,
    shared: &PoolShared,
) -> Result<(SendRequest<Bytes>, PeerConnection), h2::Error> {
    let config = &shared.config;
    h2::client::Builder::new()
        .initial_window_size(config.stream_window)
        .initial_connection_window_size(config.session_window)
        .max_send_buffer_size(config.stream_window as usize)
        .enable_push(false)
        // h2 closes a whole session with ENHANCE_YOUR_CALM when counters that guard against
        // strangers overflow. Here the peer has proved itself, and one relay that cancels a few
        // hundred streams at once, or reads a stream of tiny messages slowly, must not break
        // the session's thousands of other calls.
        .max_local_error_reset_streams(None)
        .max_concurrent_reset_streams(config.stream_limit as usize)
        .max_pending_accept_reset_streams(config.stream_limit as usize)
        .data_frame_budget(usize::MAX)
        .handshake(stream)
        .await
}

async fn shake_hands(
    mut sender: SendRequest<Bytes>,
    shared: &PoolShared,
) -> Result<PeerIdentity, DialError> {
    let config = &shared.config;
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        cluster: config.cluster.clone(),
        identity: config.identity.clone(),
        challenge: Challenge::new(&*shared.context.random),
    };
    let welcome: Welcome = step(&mut sender, HELLO_PATH, &hello).await??;
    let mut text = ProofText {
        role: ProofRole::Server,
        cluster: &config.cluster,
        dialer: &config.identity,
        server: &welcome.identity,
        challenges: [hello.challenge, welcome.challenge],
    };
    text.check(&config.secret, &welcome.proof)?;
    text.role = ProofRole::Dialer;
    let proof = text.prove(&config.secret);
    let admission: Admission = step(&mut sender, PROOF_PATH, &proof).await??;
    shared.clock.observe(admission.stamp);
    Ok(welcome.identity)
}

/// One step of the handshake: a message out, and the server's answer or refusal.
async fn step<Q: Serialize, A: DeserializeOwned>(
    sender: &mut SendRequest<Bytes>,
    path: &str,
    message: &Q,
) -> Result<Result<A, SessionRefusal>, DialError> {
    let request = Request::post(format!("http://peer{path}")).body(()).map_err(lost)?;
    let (response, mut body) = sender.send_request(request, false).map_err(lost)?;
    body.send_data(encode_plain(message), true).map_err(lost)?;
    let mut reader = FrameReader::new(response.await.map_err(lost)?.into_body(), HANDSHAKE_LIMIT);
    reader.typed("of the handshake").await.map_err(lost)
}
