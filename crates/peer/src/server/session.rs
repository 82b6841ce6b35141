//! Server side of a session: handshake, then calls until either side ends the session.

use {
    super::{ServerShared, reply::CallTask},
    crate::{
        PeerIdentity, SessionRefusal,
        activity::{ActivityStream, LastReceived},
        handshake::{
            Admission, Challenge, HELLO_PATH, Hello, MAX_HANDSHAKE_BYTES, PROOF_PATH, Proof,
            ProofRole, ProofTranscript, Welcome, validate_hello,
        },
        keepalive::monitor_peer,
        signal::Signal,
        wire::{FrameReader, encode_handshake_frame},
    },
    bytes::Bytes,
    futures::future::{Either, poll_fn, select},
    gullglade_event::EventDraft,
    gullglade_units::timeout,
    h2::{
        RecvStream,
        server::{Connection, SendResponse},
    },
    http::{Request, Response},
    monoio::net::TcpStream,
    monoio_compat::StreamWrapper,
    serde::Serialize,
    std::{future::Future, net::SocketAddr, pin::pin, rc::Rc, task::Poll, time::Duration},
};

type PeerConnection = Connection<ActivityStream<StreamWrapper<TcpStream>>, Bytes>;
type IncomingCall = (Request<RecvStream>, SendResponse<Bytes>);

/// Time for a refused peer to read the reason before its connection is dropped.
const REFUSAL_LINGER: Duration = Duration::from_millis(500);

/// Maximum size of the header list of a call. Calls have a path and three short header fields.
const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;

/// Server side of a session.
pub(super) struct ServerSession {
    pub(super) shared: Rc<ServerShared>,
    pub(super) stop: Signal,
    pub(super) from: SocketAddr,
}

/// Guard that counts a session in [`ServerShared::sessions`] while it exists.
struct SessionCountGuard<'a>(&'a ServerShared);

impl<'a> SessionCountGuard<'a> {
    fn new(shared: &'a ServerShared) -> Self {
        shared.sessions.set(shared.sessions.get() + 1);
        Self(shared)
    }
}

impl Drop for SessionCountGuard<'_> {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}

impl ServerSession {
    /// Performs the handshake on `stream` and serves calls until either side ends the session.
    pub(super) async fn run(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let clock = self.shared.context.clock.clone();
        let (stream, last_received) = ActivityStream::new(StreamWrapper::new(stream), clock);
        let pending_handshake = timeout(
            &*self.shared.context.clock,
            self.shared.config.connect_timeout,
            self.accept_handshake(stream),
        );
        let (id, evicted) = self.shared.handshakes.borrow_mut().add();
        let handshake = match select(pin!(pending_handshake), pin!(evicted.raised())).await {
            Either::Left((handshake, _)) => handshake.flatten(),
            Either::Right(_) => None,
        };
        self.shared.handshakes.borrow_mut().by_age.remove(&id);
        let Some((mut connection, handshake_result)) = handshake else {
            self.emit(EventDraft::new("peer.handshake_lost").field("address", self.from));
            return;
        };
        match handshake_result {
            Ok(peer) => {
                let _counted = SessionCountGuard::new(&self.shared);
                self.serve(connection, peer, last_received).await;
            }
            Err(refusal) => {
                let event = EventDraft::new("peer.refused").field("address", self.from);
                self.emit(event.error("reason", &refusal));
                connection.graceful_shutdown();
                let clock = &*self.shared.context.clock;
                let closed = poll_fn(|cx| connection.poll_closed(cx));
                timeout(clock, REFUSAL_LINGER, closed).await;
            }
        }
    }

    async fn accept_handshake(
        &self,
        stream: ActivityStream<StreamWrapper<TcpStream>>,
    ) -> Option<(PeerConnection, Result<PeerIdentity, SessionRefusal>)> {
        let config = &self.shared.config;
        let mut connection = h2::server::Builder::new()
            .initial_window_size(config.stream_window)
            .initial_connection_window_size(config.session_window)
            .max_concurrent_streams(config.stream_limit)
            .max_send_buffer_size(config.stream_window as usize)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            // h2 closes the whole connection with ENHANCE_YOUR_CALM when its limits against abuse
            // by untrusted peers are exceeded. Peers are authenticated here, and a relay that
            // cancels a few hundred streams at once, or slowly reads a stream of tiny messages,
            // must not break the thousands of other calls of the session.
            .max_local_error_reset_streams(None)
            .max_concurrent_reset_streams(config.stream_limit as usize)
            .max_pending_accept_reset_streams(config.stream_limit as usize)
            .data_frame_budget(usize::MAX)
            .handshake(stream)
            .await
            .ok()?;
        let handshake_result = self.perform_handshake(&mut connection).await?;
        Some((connection, handshake_result))
    }

    /// Performs the handshake. Returns `None` if the connection is lost, and `Err` if the peer was
    /// refused and has been sent the reason.
    async fn perform_handshake(
        &self,
        connection: &mut PeerConnection,
    ) -> Option<Result<PeerIdentity, SessionRefusal>> {
        let shared = &*self.shared;
        let config = &shared.config;
        let (hello, respond) = read_step::<Hello>(connection, HELLO_PATH).await?;
        let hello = match hello.and_then(|hello| self.admit(&hello).map(|()| hello)) {
            Ok(hello) => hello,
            Err(refusal) => return refuse(respond, refusal),
        };
        let mut transcript = ProofTranscript {
            role: ProofRole::Server,
            cluster: &config.cluster,
            dialer: &hello.identity,
            server: &config.identity,
            challenges: [hello.challenge, Challenge::new(&*shared.context.random)],
        };
        let welcome = Welcome {
            identity: config.identity.clone(),
            challenge: transcript.challenges[1],
            proof: transcript.prove(&config.secret),
        };
        respond_step(respond, Ok(welcome))?;
        let (proof, respond) = read_step::<Proof>(connection, PROOF_PATH).await?;
        transcript.role = ProofRole::Dialer;
        if let Err(refusal) = proof.and_then(|proof| transcript.verify(&config.secret, &proof)) {
            return refuse(respond, refusal);
        }
        let stamp = shared.clock.stamp(shared.context.clock.wall());
        respond_step(respond, Ok(Admission { stamp }))?;
        Some(Ok(hello.identity))
    }

    fn admit(&self, hello: &Hello) -> Result<(), SessionRefusal> {
        let limit = self.shared.config.session_limit;
        if self.shared.sessions.get() >= limit {
            return Err(SessionRefusal::Busy { limit });
        }
        validate_hello(hello, &self.shared.config)
    }

    async fn serve(
        &self,
        mut connection: PeerConnection,
        peer: PeerIdentity,
        last_received: LastReceived,
    ) {
        let shared = &self.shared;
        self.emit(session_event("peer.accepted", &peer).field("address", self.from));
        let peer = Rc::new(peer);
        let Some(pings) = connection.ping_pong() else {
            return;
        };
        let clock = &*shared.context.clock;
        let lost = monitor_peer(pings, last_received, shared.config.server_keepalive(), clock);
        let accepting = async {
            let mut stopping = pin!(self.stop.raised());
            let mut stopped = false;
            loop {
                let accepted = poll_fn(|cx| {
                    if !stopped && stopping.as_mut().poll(cx).is_ready() {
                        stopped = true;
                        connection.graceful_shutdown();
                    }
                    connection.poll_accept(cx)
                });
                let Some(Ok(call)) = accepted.await else {
                    return;
                };
                self.start_call(call, peer.clone());
            }
        };
        let event = session_event("peer.left", &peer);
        let event = match select(pin!(accepting), pin!(lost)).await {
            Either::Left(_) => event.field("reason", "closed"),
            Either::Right(_) => event.field("reason", "no-ping-answer"),
        };
        self.emit(event);
    }

    fn emit(&self, event: EventDraft) {
        self.shared.config.events.emit(event);
    }

    fn start_call(&self, (request, respond): IncomingCall, peer: Rc<PeerIdentity>) {
        let task = CallTask { shared: self.shared.clone(), peer };
        self.shared.context.spawner.spawn(Box::pin(task.run(request, respond)));
    }
}

fn session_event(kind: &'static str, peer: &PeerIdentity) -> EventDraft {
    EventDraft::new(kind)
        .field("peer", &peer.vm)
        .field("peer_region", &peer.region)
        .field("incarnation", peer.incarnation)
}

/// Reads one handshake step, whose request must have the path `path`. Polling for the next stream
/// drives the connection meanwhile; another stream before the step is complete ends the handshake.
async fn read_step<T: serde::de::DeserializeOwned>(
    connection: &mut PeerConnection,
    path: &str,
) -> Option<(Result<T, SessionRefusal>, SendResponse<Bytes>)> {
    let (request, respond) = connection.accept().await?.ok()?;
    let found = request.uri().path().to_owned();
    if found != path {
        let reason = format!("received a request for {found:?}, expected {path:?}");
        return Some((Err(SessionRefusal::Malformed { reason }), respond));
    }
    let mut reader = FrameReader::new(request.into_body(), MAX_HANDSHAKE_BYTES);
    let mut reading = pin!(reader.next_as::<T>("of the handshake"));
    let step = poll_fn(|cx| match reading.as_mut().poll(cx) {
        Poll::Ready(step) => Poll::Ready(Some(step)),
        Poll::Pending => connection.poll_accept(cx).map(|_| None),
    });
    let step = step.await?;
    let refuse = |e: crate::wire::FrameError| SessionRefusal::Malformed { reason: e.to_string() };
    Some((step.map_err(refuse), respond))
}

/// Responds to one handshake step. Returns `None` if the stream is lost.
fn respond_step<T: Serialize>(
    mut respond: SendResponse<Bytes>,
    outcome: Result<T, SessionRefusal>,
) -> Option<()> {
    let mut body = respond.send_response(Response::new(()), false).ok()?;
    body.send_data(encode_handshake_frame(&outcome), true).ok()
}

/// Refuses the session and sends the reason to the peer.
fn refuse(
    respond: SendResponse<Bytes>,
    refusal: SessionRefusal,
) -> Option<Result<PeerIdentity, SessionRefusal>> {
    respond_step::<()>(respond, Err(refusal.clone()))?;
    Some(Err(refusal))
}
