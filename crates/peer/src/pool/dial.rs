//! Dialing: TCP connect, HTTP/2 setup and session handshake.

use {
    super::{PoolShared, delay::wait_until_healed, session::ClientSession},
    crate::{
        PeerError, PeerIdentity, SessionRefusal,
        activity::{ActivityStream, LastReceived},
        handshake::{
            Admission, Challenge, HELLO_PATH, Hello, MAX_HANDSHAKE_BYTES, PROOF_PATH, ProofRole,
            ProofTranscript, Welcome,
        },
        wire::{FrameReader, PROTOCOL_VERSION, encode_handshake_frame},
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

/// HTTP/2 connection of a dialed session.
pub(super) type PeerConnection = Connection<ActivityStream<StreamWrapper<TcpStream>>, Bytes>;

/// Connection whose session handshake is complete.
pub(super) struct DialedPeer {
    pub(super) sender: SendRequest<Bytes>,
    pub(super) peer: PeerIdentity,
    pub(super) connection: PeerConnection,
    pub(super) last_received: LastReceived,
}

/// Number of one-way trips before the first call: the TCP connect and the two handshake steps.
const DIAL_ONE_WAY_TRIPS: u32 = 6;

/// Interval after which a further connection attempt starts in parallel. It must exceed a handshake
/// over links with a one-way delay of 55 ms, which takes 0.33 s, and stay below the 1 s after which
/// TCP retransmits a lost SYN.
const HEDGE_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Snafu)]
enum DialError {
    #[snafu(display("{reason}"))]
    ConnectionLost { reason: String },
    #[snafu(context(false), display("{source}"))]
    Refused { source: SessionRefusal },
}

fn connection_lost(reason: impl Display) -> DialError {
    DialError::ConnectionLost { reason: reason.to_string() }
}

/// Establishes a session with the process at `address` and starts its task.
pub(super) async fn dial(
    address: SocketAddr,
    shared: &Rc<PoolShared>,
) -> Result<Rc<ClientSession>, PeerError> {
    let limit = shared.config.connect_timeout;
    let dialing = timeout(&*shared.context.clock, limit, connect_hedged(address, shared));
    let outcome = match select(pin!(dialing), pin!(shared.abort.raised())).await {
        Either::Left((Some(outcome), _)) => outcome,
        Either::Left((None, _)) => Err(connection_lost(format!("no handshake within {limit:?}"))),
        Either::Right(_) => Err(connection_lost("this process is stopping")),
    };
    match outcome {
        Ok(dialed) => Ok(ClientSession::start(address, dialed, shared)),
        Err(DialError::ConnectionLost { reason }) => Err(PeerError::Connect { address, reason }),
        Err(DialError::Refused { source }) => Err(PeerError::Refused { address, refusal: source }),
    }
}

/// Hedged connect: starts a further attempt every [`HEDGE_DELAY`] while none has succeeded, and
/// returns the first success.
///
/// TCP retransmits a SYN that was lost, or sent to a VM without power, only after 1 s. After a
/// power loss in all regions, a single attempt left gateways without a session to the control
/// process on their VM for 0.8 s after that process had started.
async fn connect_hedged(address: SocketAddr, shared: &PoolShared) -> Result<DialedPeer, DialError> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect(address, shared));
        let mut failure = None;
        let attempts_result = timeout(&*shared.context.clock, HEDGE_DELAY, async {
            while let Some(outcome) = attempts.next().await {
                match outcome {
                    Ok(dialed) => return Some(dialed),
                    Err(error) => failure = Some(error),
                }
            }
            None
        });
        match (attempts_result.await, failure) {
            (Some(Some(dialed)), _) => return Ok(dialed),
            // All attempts have failed. The caller applies the backoff.
            (Some(None), Some(error)) => return Err(error),
            (Some(None), None) | (None, _) => {}
        }
    }
}

async fn connect(address: SocketAddr, shared: &PoolShared) -> Result<DialedPeer, DialError> {
    if let Some(link) = &shared.link {
        shared.context.clock.sleep(link.one_way_delay(address) * DIAL_ONE_WAY_TRIPS).await;
        wait_until_healed(&**link, address, &*shared.context.clock).await;
    }
    let stream = TcpStream::connect_addr(address).await.map_err(connection_lost)?;
    stream.set_nodelay(true).map_err(connection_lost)?;
    let clock = shared.context.clock.clone();
    let (stream, last_received) = ActivityStream::new(StreamWrapper::new(stream), clock);
    let (sender, mut connection) = start_http2(stream, shared).await.map_err(connection_lost)?;
    let pending_handshake = perform_handshake(sender.clone(), shared);
    // An h2 connection makes progress only while polled, so it is polled during the handshake.
    let peer = match select(pin!(pending_handshake), &mut connection).await {
        Either::Left((peer, _)) => peer?,
        Either::Right((end, pending_handshake)) => {
            // A refusal and the end of the connection can arrive together; prefer the refusal,
            // which is the more specific error.
            if let Some(Err(refusal)) = pending_handshake.now_or_never() {
                return Err(refusal);
            }
            let reason = end
                .map_or_else(|e| e.to_string(), |()| "the peer closed the connection".to_owned());
            return Err(connection_lost(reason));
        }
    };
    Ok(DialedPeer { sender, peer, connection, last_received })
}

async fn start_http2(
    stream: ActivityStream<StreamWrapper<TcpStream>>,
    shared: &PoolShared,
) -> Result<(SendRequest<Bytes>, PeerConnection), h2::Error> {
    let config = &shared.config;
    h2::client::Builder::new()
        .initial_window_size(config.stream_window)
        .initial_connection_window_size(config.session_window)
        .max_send_buffer_size(config.stream_window as usize)
        .enable_push(false)
        // h2 closes the whole connection with ENHANCE_YOUR_CALM when its limits against abuse by
        // untrusted peers are exceeded. Peers are authenticated here, and a relay that cancels a
        // few hundred streams at once, or slowly reads a stream of tiny messages, must not break
        // the thousands of other calls of the session.
        .max_local_error_reset_streams(None)
        .max_concurrent_reset_streams(config.stream_limit as usize)
        .max_pending_accept_reset_streams(config.stream_limit as usize)
        .data_frame_budget(usize::MAX)
        .handshake(stream)
        .await
}

async fn perform_handshake(
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
    let welcome: Welcome = exchange(&mut sender, HELLO_PATH, &hello).await??;
    let mut transcript = ProofTranscript {
        role: ProofRole::Server,
        cluster: &config.cluster,
        dialer: &config.identity,
        server: &welcome.identity,
        challenges: [hello.challenge, welcome.challenge],
    };
    transcript.verify(&config.secret, &welcome.proof)?;
    transcript.role = ProofRole::Dialer;
    let proof = transcript.prove(&config.secret);
    let admission: Admission = exchange(&mut sender, PROOF_PATH, &proof).await??;
    shared.clock.observe(admission.stamp);
    Ok(welcome.identity)
}

/// Performs one handshake step: sends `message` and reads the server's response or refusal.
async fn exchange<Q: Serialize, A: DeserializeOwned>(
    sender: &mut SendRequest<Bytes>,
    path: &str,
    message: &Q,
) -> Result<Result<A, SessionRefusal>, DialError> {
    let request = Request::post(format!("http://peer{path}")).body(()).map_err(connection_lost)?;
    let (response, mut body) = sender.send_request(request, false).map_err(connection_lost)?;
    body.send_data(encode_handshake_frame(message), true).map_err(connection_lost)?;
    let mut reader =
        FrameReader::new(response.await.map_err(connection_lost)?.into_body(), MAX_HANDSHAKE_BYTES);
    reader.next_as("of the handshake").await.map_err(connection_lost)
}
