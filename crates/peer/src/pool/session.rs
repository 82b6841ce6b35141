//! Client side of a session.

use {
    super::{
        PoolShared,
        delay::{ShapedLink, wait_until_partitioned_for},
        dial::{DialedPeer, PeerConnection},
        reply::ReplyReader,
    },
    crate::{
        PeerError, PeerIdentity,
        activity::LastReceived,
        keepalive::monitor_peer,
        signal::signal,
        wire::{CallHeader, encode_call},
    },
    bytes::Bytes,
    futures::future::{Either, select},
    gullglade_event::EventDraft,
    gullglade_units::MonotonicTime,
    h2::{PingPong, client::SendRequest},
    http::Request,
    snafu::Snafu,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// Reason for which a session accepts no more calls.
#[derive(Clone, Debug, Snafu)]
enum SessionEnd {
    #[snafu(display("the peer closed the session"))]
    Closed,
    #[snafu(display("the session was lost: {reason}"))]
    Lost { reason: String },
    #[snafu(display("the peer takes no more calls: {reason}"))]
    Draining { reason: String },
    #[snafu(display("no answer to a ping within {limit:?}; the peer is frozen or cut off"))]
    Unresponsive { limit: Duration },
    #[snafu(display("the session was idle"))]
    Idle,
    #[snafu(display("this process is stopping"))]
    Stopping,
}

/// Client side of a session with a peer.
pub(super) struct ClientSession {
    /// Address that was dialed.
    pub(super) address: SocketAddr,
    /// Identity of the peer.
    pub(super) peer: PeerIdentity,
    /// Emulated link, if the pool has a link policy.
    pub(super) link: Option<ShapedLink>,
    sender: SendRequest<Bytes>,
    shared: Rc<PoolShared>,
    active_calls: Cell<usize>,
    last_used: Cell<MonotonicTime>,
    end_reason: RefCell<Option<SessionEnd>>,
}

/// Guard of a call in progress; the session is not closed as idle while one exists.
pub(super) struct ActiveCall {
    pub(super) session: Rc<ClientSession>,
}

impl ActiveCall {
    fn new(session: &Rc<ClientSession>) -> Self {
        session.active_calls.set(session.active_calls.get() + 1);
        Self { session: session.clone() }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        let session = &self.session;
        session.active_calls.set(session.active_calls.get() - 1);
        session.last_used.set(session.shared.context.clock.now());
    }
}

impl ClientSession {
    /// Creates the session and spawns the task that drives its connection.
    pub(super) fn start(
        address: SocketAddr,
        dialed: DialedPeer,
        shared: &Rc<PoolShared>,
    ) -> Rc<Self> {
        let DialedPeer { sender, peer, connection, last_received } = dialed;
        let (closing, closed) = signal();
        let link = shared.link.as_ref();
        let session = Rc::new(Self {
            address,
            peer,
            link: link.map(|link| ShapedLink::new(address, link, &shared.context, &closed)),
            sender,
            shared: shared.clone(),
            active_calls: Cell::new(0),
            last_used: Cell::new(shared.context.clock.now()),
            end_reason: RefCell::new(None),
        });
        let event = session.event("peer.connected").field("incarnation", session.peer.incarnation);
        shared.config.events.emit(event);
        let task = session.clone();
        shared.context.spawner.spawn(Box::pin(async move {
            task.run(connection, last_received).await;
            closing.raise();
        }));
        session
    }

    /// Returns true while the session accepts calls.
    pub(super) fn is_open(&self) -> bool {
        self.end_reason.borrow().is_none()
    }

    fn event(&self, kind: &'static str) -> EventDraft {
        EventDraft::new(kind)
            .field("peer", &self.peer.vm)
            .field("peer_region", &self.peer.region)
            .field("address", self.address)
    }

    /// Drives the connection until either side ends the session.
    async fn run(&self, mut connection: PeerConnection, last_received: LastReceived) {
        let Some(pings) = connection.ping_pong() else {
            return self.close(SessionEnd::Closed);
        };
        let end = {
            let local_end = pin!(self.wait_for_local_end(pings, last_received));
            match select(&mut connection, local_end).await {
                Either::Left((Ok(()), _)) => SessionEnd::Closed,
                Either::Left((Err(error), _)) => SessionEnd::Lost { reason: error.to_string() },
                Either::Right((end, _)) => end,
            }
        };
        let event = self.event("peer.disconnected").error("reason", &end);
        self.shared.config.events.emit(event);
        self.close(end);
    }

    /// Completes when this side must end the session: keepalive failure, partition, idle timeout or
    /// abort of the pool.
    async fn wait_for_local_end(&self, pings: PingPong, last_received: LastReceived) -> SessionEnd {
        let shared = &self.shared;
        let (config, clock) = (&shared.config, &*shared.context.clock);
        let partitioned = async {
            match &shared.link {
                Some(link) => {
                    let limit = config.ping_interval + config.ping_timeout;
                    wait_until_partitioned_for(limit, &**link, self.address, clock).await;
                }
                None => std::future::pending().await,
            }
        };
        let silent = pin!(monitor_peer(pings, last_received, config.dialer_keepalive(), clock));
        let partitioned = pin!(partitioned);
        let unresponsive = select(silent, partitioned);
        let idle = pin!(self.wait_until_idle());
        let stopping = pin!(shared.abort.raised());
        match select(unresponsive, select(idle, stopping)).await {
            Either::Left(_) => SessionEnd::Unresponsive { limit: config.ping_timeout },
            Either::Right((Either::Left(_), _)) => SessionEnd::Idle,
            Either::Right((Either::Right(_), _)) => SessionEnd::Stopping,
        }
    }

    /// Stops accepting calls. Calls in progress continue while the connection is driven.
    fn close(&self, end: SessionEnd) {
        self.end_reason.borrow_mut().get_or_insert(end);
    }

    /// Creates the error of a call whose bytes may have reached the peer. The reason for which the
    /// session ended takes precedence over `reason`.
    pub(super) fn broken(&self, reason: impl ToString) -> PeerError {
        let end = self.end_reason.borrow().as_ref().map(ToString::to_string);
        let reason = end.unwrap_or_else(|| reason.to_string());
        PeerError::Broken { address: self.address, reason, sent: true }
    }

    /// Completes once the session has had no calls for the idle timeout.
    async fn wait_until_idle(&self) {
        let clock = &self.shared.context.clock;
        let limit = self.shared.config.idle_timeout;
        loop {
            let idle_time = match self.active_calls.get() {
                0 => clock.now().since(self.last_used.get()),
                _ => Default::default(),
            };
            if idle_time >= limit {
                return;
            }
            clock.sleep(limit - idle_time).await;
        }
    }

    /// Sends a call. Sets `sent` to true before any byte of it can be sent.
    pub(super) async fn start_call(
        self: &Rc<Self>,
        method: &str,
        header: &CallHeader,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<ReplyReader, PeerError> {
        let call = ActiveCall::new(self);
        let address = self.address;
        let unsendable = |reason: String| PeerError::Unsendable { method: method.into(), reason };
        let limit = self.sender.current_max_send_streams();
        if self.active_calls.get() > limit {
            return Err(unsendable(format!(
                "{limit} calls to {address} are in progress, the session's limit; raise the \
                 stream limit or send less"
            )));
        }
        let request = Request::post(format!("http://peer/{method}"))
            .body(())
            .map_err(|error| unsendable(error.to_string()))?;
        let bytes = encode_call(header, body);
        if let Some(link) = &self.link {
            // A call in flight on a delayed link counts as sent, since it cannot be recalled.
            sent.set(true);
            link.outbound.traverse().await.map_err(|_| self.broken("the session was closed"))?;
        }
        let unsent = |error: h2::Error| {
            self.close(SessionEnd::Draining { reason: error.to_string() });
            PeerError::Broken { address, reason: error.to_string(), sent: sent.get() }
        };
        let mut sender = self.sender.clone().ready().await.map_err(unsent)?;
        let (response, mut stream) = sender.send_request(request, false).map_err(unsent)?;
        sent.set(true);
        stream.send_data(bytes, true).map_err(|error| self.broken(error))?;
        Ok(ReplyReader::new(call, response, self.shared.clone()))
    }
}
