//! Binding and the accept loop.

use {
    super::{
        RequestHandler, ServerConfig, StopHandle,
        connection::ConnectionTask,
        connection_table::{ConnectionSlot, ConnectionTable},
        linger_slots::LingerSlots,
        refusal,
        reply_buffers::ReplyBuffers,
        scratch::ScratchBuffer,
    },
    crate::ApiError,
    futures::channel::oneshot,
    gullglade_units::{MonotonicTime, ProcessContext},
    monoio::net::{ListenerOpts, TcpListener, TcpStream},
    snafu::{ResultExt, Snafu},
    std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration},
};

/// Connections that wait to be accepted; the kernel's own bound is 4,096. When a neighbour fails,
/// its callers all come at once, and a connection that finds no room is tried again only after
/// a second.
const ACCEPT_BACKLOG: i32 = 4_096;

/// Bytes that the kernel receives ahead of the server on each connection. Left to itself, it grows the
/// buffers of fast callers to megabytes, which nothing here could count.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Pause after a failed accept. Without it a process that ran out of file descriptors would spin
/// on the listener, which stays readable, and starve the connections that could free some.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections accepted before other tasks and timers have their turn.
const ACCEPTS_PER_TURN: usize = 32;

/// Pause after so many.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// The most connections over a limit that are told so at once; more are closed without a word.
/// Without this bound the refusals of a flood would be the flood's way round the limit.
const REFUSAL_LIMIT: usize = 64;

/// Why a server does not listen.
#[derive(Debug, Snafu)]
pub enum BindError {
    /// The address cannot be bound.
    #[snafu(display(
        "cannot listen on {address}: {source}; choose a free port and an address of this VM"
    ))]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// The operating system's words.
        source: std::io::Error,
    },
}

/// A server that listens; [`run`](Self::run) serves.
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    shared: Rc<ServerShared>,
}

/// What all connections of a server share.
pub(crate) struct ServerShared {
    pub(crate) config: ServerConfig,
    pub(crate) context: ProcessContext,
    pub(crate) handler: Rc<dyn RequestHandler>,
    pub(crate) handle: StopHandle,
    pub(crate) scratch: ScratchBuffer,
    pub(crate) buffers: Rc<ReplyBuffers>,
    pub(crate) lingers: LingerSlots,
}

impl HttpServer {
    /// Listens on `address`; port 0 takes a free one. To be called inside a monoio runtime.
    pub fn bind(
        address: SocketAddr,
        config: ServerConfig,
        context: ProcessContext,
        handler: Rc<dyn RequestHandler>,
    ) -> Result<Self, BindError> {
        let options = ListenerOpts::new()
            .reuse_port(config.reuse_port)
            .reuse_addr(true)
            .backlog(ACCEPT_BACKLOG)
            .recv_buf_size(RECEIVE_BUFFER_BYTES);
        let listener =
            TcpListener::bind_with_config(address, &options).context(BindSnafu { address })?;
        let bound = listener.local_addr().context(BindSnafu { address })?;
        let handle = StopHandle::new();
        let buffers = ReplyBuffers::new(config.unread_limit);
        let shared = Rc::new(ServerShared {
            config,
            context,
            handler,
            handle,
            scratch: ScratchBuffer::new(),
            buffers,
            lingers: LingerSlots::default(),
        });
        Ok(Self { listener, address: bound, shared })
    }

    /// The address listened on, with its real port.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// A function that returns how many bytes of replies the server holds because callers
    /// have not read them.
    pub fn unread_bytes(&self) -> impl Fn() -> usize + 'static {
        let buffers = Rc::clone(&self.shared.buffers);
        move || buffers.held()
    }

    /// The handle that stops this server.
    pub fn stop_handle(&self) -> StopHandle {
        self.shared.handle.clone()
    }

    /// Serves until stopped and the last connection is closed.
    pub async fn run(self) {
        let Self { listener, shared, .. } = self;
        let (alive, all_closed) = oneshot::channel::<()>();
        {
            let accepting = pin!(accept_all(&listener, &shared, Rc::new(alive)));
            shared.handle.stop.guard(accepting).await;
        }
        drop(listener);
        // Every connection holds a clone of the sender; the receiver completes with the last.
        let _: Result<(), oneshot::Canceled> = all_closed.await;
        shared.handle.finished.give();
    }
}

async fn accept_all(
    listener: &TcpListener,
    shared: &Rc<ServerShared>,
    alive: Rc<oneshot::Sender<()>>,
) {
    let gate = AcceptGate::new(shared);
    loop {
        for _ in 0..ACCEPTS_PER_TURN {
            match listener.accept().await {
                Ok((stream, remote)) => start(stream, remote, shared, &gate, &alive),
                Err(_) => shared.context.clock.sleep(ACCEPT_PAUSE).await,
            }
        }
        shared.context.clock.sleep(TURN_PAUSE).await;
    }
}

fn start(
    stream: TcpStream,
    remote: SocketAddr,
    shared: &Rc<ServerShared>,
    gate: &AcceptGate,
    alive: &Rc<oneshot::Sender<()>>,
) {
    let now = shared.context.clock.now();
    let Some((slot, refusal)) = gate.admit(remote, now) else { return };
    let status = Rc::clone(&slot.status);
    let task = ConnectionTask { shared: Rc::clone(shared), remote, refusal, status };
    let alive = Rc::clone(alive);
    shared.context.spawner.spawn(Box::pin(async move {
        task.run(stream).await;
        drop(slot);
        drop(alive);
    }));
}

/// Decides about accepted connections.
struct AcceptGate {
    served: Rc<ConnectionTable>,
    refused: Rc<ConnectionTable>,
}

impl AcceptGate {
    fn new(shared: &ServerShared) -> Self {
        let config = &shared.config;
        Self {
            served: ConnectionTable::new(config.connection_limit, config.per_address_limit),
            refused: ConnectionTable::new(REFUSAL_LIMIT, REFUSAL_LIMIT),
        }
    }

    /// The slot of a connection that is to be served or told why not; `None` where so many are
    /// being told that this one is just closed.
    fn admit(
        &self,
        remote: SocketAddr,
        now: MonotonicTime,
    ) -> Option<(ConnectionSlot, Option<ApiError>)> {
        let reached = match self.served.take(remote.ip(), now) {
            Ok(slot) => return Some((slot, None)),
            Err(reached) => reached,
        };
        let slot = self.refused.take(remote.ip(), now).ok()?;
        Some((slot, Some(refusal::too_many_connections(reached))))
    }
}
