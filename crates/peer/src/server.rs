//! Server: one task per session and one per call.

mod reply;
mod session;

use {
    crate::{
        HandlerTable, PeerConfig,
        signal::{Signal, SignalSource, signal},
    },
    futures::{channel::mpsc, future::select, stream::StreamExt},
    gullglade_units::{HybridClock, ProcessContext},
    monoio::net::{TcpListener, TcpStream},
    session::ServerSession,
    snafu::{ResultExt, Snafu},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        io,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// Error of binding the listener of a [`PeerServer`].
#[derive(Debug, Snafu)]
#[snafu(display(
    "cannot listen for peers on {address}: {source}; is the address this VM's and the port free?"
))]
pub struct BindError {
    address: SocketAddr,
    source: io::Error,
}

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections accepted before other tasks and timers have their turn.
const ACCEPTS_PER_TURN: usize = 32;

/// Pause after so many.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Connections that may be in their handshake at once. A further one takes the place of the oldest,
/// so that strangers that never identify themselves do not keep peers out.
const HANDSHAKE_LIMIT: usize = 256;

/// State shared by all sessions of a server.
struct ServerShared {
    config: PeerConfig,
    context: ProcessContext,
    clock: Rc<HybridClock>,
    handlers: Rc<HandlerTable>,
    sessions: Cell<usize>,
    handshakes: RefCell<PendingHandshakes>,
}

/// Connections that have not identified themselves yet, by age.
#[derive(Default)]
struct PendingHandshakes {
    by_age: BTreeMap<u64, SignalSource>,
    next_id: u64,
}

impl PendingHandshakes {
    /// Adds a connection, and returns its id and the signal that it has to give way.
    fn add(&mut self) -> (u64, Signal) {
        if self.by_age.len() >= HANDSHAKE_LIMIT {
            // Dropping a signal source raises its signal.
            drop(self.by_age.pop_first());
        }
        let (source, evicted) = signal();
        let id = self.next_id;
        self.next_id += 1;
        self.by_age.insert(id, source);
        (id, evicted)
    }
}

/// Accepts sessions of peers and serves their calls.
pub struct PeerServer {
    listener: TcpListener,
    address: SocketAddr,
    shared: Rc<ServerShared>,
    handle: PeerStopHandle,
    signals: ServerSignals,
    finished: SignalSource,
}

#[derive(Clone)]
struct ServerSignals {
    stop: Signal,
    abort: Signal,
}

/// Handle that stops a [`PeerServer`].
#[derive(Clone)]
pub struct PeerStopHandle {
    stop: Rc<RefCell<Option<SignalSource>>>,
    abort: Rc<RefCell<Option<SignalSource>>>,
    finished: Signal,
}

impl PeerStopHandle {
    /// Stops gracefully: closes the listener and sends GOAWAY on all sessions. Calls in progress
    /// complete.
    pub fn stop(&self) {
        if let Some(source) = self.stop.borrow_mut().take() {
            source.raise();
        }
    }

    /// Drops the listener and all sessions immediately, as a kill of the process would.
    pub fn abort(&self) {
        if let Some(source) = self.abort.borrow_mut().take() {
            source.raise();
        }
    }

    /// Completes once the server has stopped and all its sessions have ended.
    pub async fn finished(&self) {
        self.finished.raised().await;
    }
}

impl PeerServer {
    /// Listens on `address`. Handlers may be added to `handlers` at any time.
    pub fn bind(
        address: SocketAddr,
        config: PeerConfig,
        context: ProcessContext,
        clock: Rc<HybridClock>,
        handlers: Rc<HandlerTable>,
    ) -> Result<Self, BindError> {
        let listener = TcpListener::bind(address).context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let (stop_source, stop) = signal();
        let (abort_source, abort) = signal();
        let (finished_source, finished) = signal();
        let shared = ServerShared {
            config,
            context,
            clock,
            handlers,
            sessions: Cell::new(0),
            handshakes: RefCell::default(),
        };
        Ok(Self {
            listener,
            address,
            shared: Rc::new(shared),
            handle: PeerStopHandle {
                stop: Rc::new(RefCell::new(Some(stop_source))),
                abort: Rc::new(RefCell::new(Some(abort_source))),
                finished,
            },
            signals: ServerSignals { stop, abort },
            finished: finished_source,
        })
    }

    /// Returns the listening address, with the actual port if port 0 was requested.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that stops the server.
    pub fn stop_handle(&self) -> PeerStopHandle {
        self.handle.clone()
    }

    /// Serves until the server is stopped and the last session has ended.
    pub async fn run(self) {
        let Self { listener, shared, handle, signals, finished, .. } = self;
        let (session_guard, mut sessions_ended) = mpsc::channel::<()>(0);
        {
            let accepting = accept_sessions(listener, shared, &signals, session_guard);
            let stop = pin!(signals.stop.raised());
            let abort = pin!(signals.abort.raised());
            select(pin!(accepting), select(stop, abort)).await;
        }
        while sessions_ended.next().await.is_some() {}
        finished.raise();
        // Dropping a signal source raises its signal, so the handle must outlive the sessions.
        drop(handle);
    }
}

async fn accept_sessions(
    listener: TcpListener,
    shared: Rc<ServerShared>,
    signals: &ServerSignals,
    session_guard: mpsc::Sender<()>,
) {
    loop {
        for _ in 0..ACCEPTS_PER_TURN {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let session =
                        ServerSession { shared: shared.clone(), stop: signals.stop.clone(), from };
                    start_session(session, stream, signals.abort.clone(), session_guard.clone());
                }
                Err(_) => shared.context.clock.sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        shared.context.clock.sleep(TURN_PAUSE).await;
    }
}

fn start_session(
    session: ServerSession,
    stream: TcpStream,
    abort: Signal,
    session_guard: mpsc::Sender<()>,
) {
    let spawner = session.shared.context.spawner.clone();
    spawner.spawn(Box::pin(async move {
        {
            select(pin!(session.run(stream)), pin!(abort.raised())).await;
        }
        drop(session_guard);
    }));
}
