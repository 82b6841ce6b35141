//! One connection of the client: connecting, driving, and lending it to a request.

use {
    super::{
        ClientError, CorrelationKey, ExchangeTrace, body_turn::BodyTurn, correlation::CarriedKeys,
        interim_heads::InterimHeads, pool::ConnectionPool,
    },
    bytes::Bytes,
    futures::{
        FutureExt,
        channel::oneshot,
        future::{poll_fn, select},
    },
    gullglade_units::{MonotonicTime, timeout},
    http_body_util::Full,
    hyper::{
        client::conn::http1::{Builder, SendRequest},
        rt::{Read, ReadBufCursor, Write},
    },
    monoio::{
        io::IntoPollIo,
        net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
    },
    monoio_compat::hyper::MonoioIo,
    socket2::{Domain, Protocol, Socket, Type},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        pin::Pin,
        rc::{Rc, Weak},
        task::{Context, Poll},
        time::Duration,
    },
};

/// The error of a connect that goes on (`EINPROGRESS` of Linux), for which the standard library
/// has no stable name.
const IN_PROGRESS: i32 = 115;

/// What `hyper` calls bytes that belong to no reply. It has no predicate for this error.
const STRAY_BYTES: &str = "received unexpected message from connection";

/// An open connection that no request uses. Dropped, it closes the socket at once, however many
/// other tasks are to run before the one that drives it.
pub(super) struct ClientConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    number: u64,
    opened: MonotonicTime,
    carried: u32,
    pub(super) carried_keys: CarriedKeys,
    socket: Rc<SharedSocket>,
    /// Dropped, it ends the task that drives the connection.
    _cancel: oneshot::Sender<()>,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        // From now on its end is not one by the other side.
        self.socket.is_idle.set(false);
        self.socket.stream.take();
    }
}

/// A connection in use by one request. Dropped, it closes the connection.
pub(super) struct ConnectionLease {
    pub(super) connection: ClientConnection,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) address: SocketAddr,
    /// How long the other side says that it keeps an idle connection.
    pub(super) stated: Option<Duration>,
}

/// What becomes known about a connection after the end of a reply.
#[derive(Clone)]
pub(super) struct ReplyAftermath(Rc<SharedSocket>);

impl ReplyAftermath {
    /// Whether bytes that belong to no reply have arrived.
    pub(super) fn has_stray_bytes(&self) -> bool {
        self.0.has_stray_bytes.get()
    }

    /// Has `callback` called if such bytes arrive before the connection's next request.
    pub(super) fn on_stray_bytes(&self, callback: Box<dyn FnOnce()>) {
        self.0.on_stray_bytes.replace(Some(callback));
    }
}

impl ConnectionLease {
    /// Keeps the connection for the next request: the reply was read to its end.
    pub(super) fn keep(self) {
        self.pool.keep(self.address, self.connection, self.stated);
    }
}

impl ClientConnection {
    /// Connects to `address` within the time allowed. `number` identifies the connection in traces.
    pub(super) async fn open(
        pool: &Rc<ConnectionPool>,
        address: SocketAddr,
        number: u64,
    ) -> Result<Self, ClientError> {
        let ConnectionPool { config, context, .. } = &**pool;
        let limit = config.connect_timeout;
        let stream = timeout(&*context.clock, limit, connect(address, config.silence_timeout))
            .await
            .ok_or(ClientError::ConnectTimeout { address, limit })?
            .map_err(|e| connect_error(address, &e))?;
        stream.set_nodelay(true).map_err(|e| connect_error(address, &e))?;
        let stream = stream.into_poll_io().map_err(|e| connect_error(address, &e))?;
        let stream = RefCell::new(Some(MonoioIo::new(stream)));
        let socket = Rc::new(SharedSocket {
            stream,
            written: Cell::new(0),
            interim_heads: InterimHeads::default(),
            turn: Rc::new(BodyTurn::new(config.work_lane.clone(), Rc::clone(&context.clock))),
            is_idle: Cell::new(false),
            has_stray_bytes: Cell::new(false),
            on_stray_bytes: RefCell::new(None),
            pool: Rc::downgrade(pool),
            address,
        });
        let (sender, connection) = Builder::new()
            .max_buf_size(config.head_limit)
            .handshake(CountedStream(Rc::clone(&socket)))
            .await
            .map_err(|e| ClientError::Connect { address, reason: e.to_string() })?;
        let (cancel, cancelled) = oneshot::channel::<()>();
        let driven = Rc::clone(&socket);
        let turn = Rc::clone(&socket.turn);
        let mut connection = connection.map(move |outcome| driven.note_end(outcome));
        let connection = poll_fn(move |context| turn.run(|| connection.poll_unpin(context)));
        // Either outcome ends the connection; who waits for a reply is told by `hyper`. No `async`
        // block: it would keep room for the connection twice, see `OnceSignal::guard`.
        context.spawner.spawn(Box::pin(select(connection, cancelled).map(drop)));
        let opened = context.clock.now();
        Ok(Self {
            sender,
            number,
            opened,
            carried: 0,
            carried_keys: CarriedKeys::default(),
            socket,
            _cancel: cancel,
        })
    }

    /// Forgets the callback of the reply before, as a request with `key` is about to be sent at
    /// `now`. Returns the trace of the exchange as far as it is known.
    pub(super) fn begin_request(
        &mut self,
        key: Option<CorrelationKey>,
        now: MonotonicTime,
    ) -> ExchangeTrace {
        self.socket.on_stray_bytes.take();
        if let Some(key) = key {
            self.carried_keys.add(key);
        }
        let carried = self.carried;
        self.carried += 1;
        ExchangeTrace {
            connection: self.number,
            carried,
            connection_age: now.since(self.opened),
            written: 0,
            reply_after: Duration::ZERO,
        }
    }

    pub(super) fn aftermath(&self) -> ReplyAftermath {
        ReplyAftermath(Rc::clone(&self.socket))
    }

    /// Notes whether it is kept for a later request.
    pub(super) fn set_idle(&self, is_idle: bool) {
        self.socket.is_idle.set(is_idle);
    }

    /// The turn of the connection, for the body of its current reply.
    pub(super) fn body_turn(&self) -> Rc<BodyTurn> {
        Rc::clone(&self.socket.turn)
    }

    /// Counts of the interim heads before the current reply.
    pub(super) fn interim_heads(&self) -> &InterimHeads {
        &self.socket.interim_heads
    }

    /// Bytes written to the socket since the connection was opened.
    pub(super) fn written(&self) -> u64 {
        self.socket.written.get()
    }
}

/// Connects; the connection breaks where the other side acknowledges nothing for `silence`.
///
/// The option has to be set before the socket is the runtime's, which gives out no safe handle to
/// it, so the socket is made here and handed over while it connects.
async fn connect(address: SocketAddr, silence: Option<Duration>) -> io::Result<TcpStream> {
    let Some(silence) = silence else { return TcpStream::connect_addr(address).await };
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_user_timeout(Some(silence))?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if is_in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    let handle = socket.try_clone()?;
    let stream = TcpStream::from_std(socket.into())?;
    stream.writable(false).await?;
    match handle.take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(IN_PROGRESS) || error.kind() == io::ErrorKind::WouldBlock
}

fn connect_error(address: SocketAddr, error: &io::Error) -> ClientError {
    ClientError::Connect { address, reason: error.to_string() }
}

/// The socket of a connection, shared by the task that drives it and whoever may close it.
struct SharedSocket {
    /// `None` once it is closed.
    stream: RefCell<Option<MonoioIo<TcpStreamPoll>>>,
    written: Cell<u64>,
    interim_heads: InterimHeads,
    turn: Rc<BodyTurn>,
    /// Whether it is kept for a later request.
    is_idle: Cell<bool>,
    /// Whether bytes arrived that belong to no reply. They end the connection.
    has_stray_bytes: Cell<bool>,
    on_stray_bytes: RefCell<Option<Box<dyn FnOnce()>>>,
    pool: Weak<ConnectionPool>,
    address: SocketAddr,
}

impl SharedSocket {
    fn note_end(&self, outcome: Result<(), hyper::Error>) {
        // The pool may still hold the connection, and the other side would go on sending.
        self.stream.take();
        if self.is_idle.get()
            && let Some(pool) = self.pool.upgrade()
        {
            pool.note_closed(self.address);
        }
        if outcome.is_err_and(|error| error.to_string() == STRAY_BYTES) {
            self.has_stray_bytes.set(true);
            if let Some(pool) = self.pool.upgrade() {
                pool.note_misplaced_reply(self.address);
            }
            let callback = self.on_stray_bytes.take();
            if let Some(callback) = callback {
                callback();
            }
        }
    }

    fn poll<T>(
        &self,
        operation: impl FnOnce(Pin<&mut MonoioIo<TcpStreamPoll>>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut *self.stream.borrow_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

/// Counts the bytes that the operating system took for sending. A request that fails while the
/// count stands still was certainly not sent.
struct CountedStream(Rc<SharedSocket>);

impl Read for CountedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // `hyper` drops each interim head and reads on within one poll, so no timer could end it.
        if self.0.interim_heads.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let outcome = self.0.poll(|stream| stream.poll_read(context, buffer));
        if outcome.is_pending() {
            self.0.turn.note_drained();
        }
        outcome
    }
}

impl Write for CountedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = self.0.poll(|stream| stream.poll_write(context, bytes));
        if let Poll::Ready(Ok(length)) = &outcome {
            let written = &self.0.written;
            written.set(written.get() + u64::try_from(*length).unwrap_or(u64::MAX));
        }
        outcome
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_shutdown(context))
    }
}
