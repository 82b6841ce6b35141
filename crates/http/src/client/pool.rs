//! The pool: idle connections by address, and the sending of requests.

use {
    super::{
        ClientConfig, ClientError, ClientReply, CloseObserver, CorrelationKey, FreshConnection,
        HeadTimeout, HttpClient, KeptWithin, SendPermit,
        connection::{ClientConnection, ConnectionLease},
        reply::{ClientBody, UnframedBody},
        wire_source::WireSource,
    },
    crate::{body::error_chain, headers::KEEP_ALIVE, strip_hop_by_hop},
    bytes::Bytes,
    gullglade_units::{LocalFuture, MonotonicTime, ProcessContext, timeout},
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version,
        header::{CONTENT_LENGTH, HOST, RANGE, TRANSFER_ENCODING},
    },
    http_body_util::Full,
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::{Rc, Weak},
        time::Duration,
    },
};

/// Time for which a server that sent bytes out of place is expected to do so again.
const MISPLACED_REPLY_MEMORY: Duration = Duration::from_secs(10);

/// Connections that no request uses, by address.
pub(super) struct ConnectionPool {
    pub(super) config: ClientConfig,
    pub(super) context: ProcessContext,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Addresses whose connections are not kept.
    retired: RefCell<HashSet<SocketAddr>>,
    /// Servers that sent bytes out of place, and until when they may do so again.
    misplacing: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    close_observer: RefCell<Option<CloseObserver>>,
    /// Whether a task closes idle connections in time.
    sweeping: Cell<bool>,
    /// Number of connections opened so far.
    opened: Cell<u64>,
}

struct IdleConnection {
    connection: ClientConnection,
    since: MonotonicTime,
    /// How long it may wait for its next request.
    limit: Duration,
}

/// What a request demands of a kept connection.
#[derive(Clone, Copy)]
struct ReuseConditions {
    within: Option<KeptWithin>,
    key: Option<CorrelationKey>,
}

impl ReuseConditions {
    fn of<B>(request: &Request<B>) -> Self {
        let extensions = request.extensions();
        Self { within: extensions.get().copied(), key: extensions.get().copied() }
    }

    fn are_met(self, kept: &IdleConnection, now: MonotonicTime) -> bool {
        let is_fresh = self.within.is_none_or(|within| now.since(kept.since) <= within.0);
        let has_carried = |key| kept.connection.carried_keys.contains(key);
        is_fresh && !self.key.is_some_and(has_carried)
    }
}

/// Bytes of a header's line beside its name and value.
const FIELD_BYTES: usize = ": \r\n".len();

/// Bytes of a request's first line beside method and target, and of the empty line.
const LINE_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();

/// What a reply must fit.
struct ReplyDemands {
    method: Method,
    /// Whether a part of the resource was asked for.
    has_range: bool,
    /// The least number of bytes that the request takes on the wire.
    min_size: u64,
}

impl ReplyDemands {
    fn of(request: &Request<Full<Bytes>>) -> Self {
        let has_range = request.headers().contains_key(RANGE);
        let method = request.method().clone();
        let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
        let fields = request.headers().iter();
        let fields: usize =
            fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES).sum();
        let head = method.as_str().len() + target + fields + LINE_BYTES;
        let body = request.body().size_hint().lower();
        let min_size = u64::try_from(head).unwrap_or(u64::MAX).saturating_add(body);
        Self { method, has_range, min_size }
    }

    /// Whether `status` can be that of a final answer: no other protocol was asked for, and a
    /// number above 599 has no meaning.
    fn allow(&self, status: StatusCode) -> bool {
        match status {
            StatusCode::PARTIAL_CONTENT => self.has_range,
            _ => !status.is_informational() && status.as_u16() < 600,
        }
    }
}

impl ConnectionPool {
    /// Opens a connection to `address`.
    async fn open(self: &Rc<Self>, address: SocketAddr) -> Result<ClientConnection, ClientError> {
        let number = self.opened.get();
        self.opened.set(number + 1);
        ClientConnection::open(self, address, number).await
    }

    /// Notes that the server at `address` sent bytes out of place.
    pub(super) fn note_misplaced_reply(&self, address: SocketAddr) {
        let now = self.context.clock.now();
        let mut misplacing = self.misplacing.borrow_mut();
        misplacing.retain(|_, until| *until > now);
        misplacing.insert(address, now + MISPLACED_REPLY_MEMORY);
    }

    fn is_misplacing(&self, address: SocketAddr) -> bool {
        let misplacing = self.misplacing.borrow();
        misplacing.get(&address).is_some_and(|until| *until > self.context.clock.now())
    }

    /// Keeps `connection` for the next request to `address`.
    pub(super) fn keep(
        self: &Rc<Self>,
        address: SocketAddr,
        connection: ClientConnection,
        stated: Option<Duration>,
    ) {
        let limit = self.idle_limit_of(stated);
        let is_retired = self.retired.borrow().contains(&address);
        let is_usable = connection.sender.is_ready() && !connection.carried_keys.is_full();
        if is_retired || !is_usable || limit.is_zero() {
            return;
        }
        let since = self.context.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|kept| self.usable(kept));
        if connections.len() < self.config.idle_limit {
            connection.set_idle(true);
            connections.push(IdleConnection { connection, since, limit });
        }
        if !self.sweeping.replace(true) {
            let pool = Rc::downgrade(self);
            self.context.spawner.spawn(Box::pin(sweep_until_empty(pool)));
        }
    }

    /// Notes that the other side has closed an idle connection to `address`.
    pub(super) fn note_closed(&self, address: SocketAddr) {
        let is_open = |kept: &IdleConnection| kept.connection.sender.is_ready();
        if self.idle.borrow().get(&address).is_some_and(|kept| kept.iter().any(is_open)) {
            return;
        }
        let observer = self.close_observer.borrow().clone();
        if let Some(observer) = observer {
            observer(address);
        }
    }

    /// How long a connection may be idle whose other side has stated a time.
    fn idle_limit_of(&self, stated: Option<Duration>) -> Duration {
        let own = self.config.idle_timeout;
        match (stated, self.config.keep_alive_margin) {
            (Some(stated), Some(margin)) => own.min(stated.saturating_sub(margin)),
            _ => own,
        }
    }

    /// Closes what was idle too long; whether anything is left.
    fn sweep(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|kept| self.usable(kept));
            !connections.is_empty()
        });
        !idle.is_empty()
    }

    /// The connection to `address` that was used last among those that are open and meet the
    /// `conditions`. The others stay for other requests.
    fn take(&self, address: SocketAddr, conditions: ReuseConditions) -> Option<ClientConnection> {
        if conditions.within.is_some() && self.is_misplacing(address) {
            return None;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = self.context.clock.now();
        let is_fit = |kept: &IdleConnection| self.usable(kept) && conditions.are_met(kept, now);
        let taken = connections.iter().rposition(is_fit).map(|at| connections.remove(at));
        if connections.is_empty() {
            idle.remove(&address);
        }
        let connection = taken?.connection;
        connection.set_idle(false);
        Some(connection)
    }

    fn usable(&self, kept: &IdleConnection) -> bool {
        let age = self.context.clock.now().since(kept.since);
        age < kept.limit && kept.connection.sender.is_ready()
    }
}

/// Closes idle connections in time, until none is left or the pool is gone.
async fn sweep_until_empty(pool: Weak<ConnectionPool>) {
    loop {
        let Some(sleep) = pool.upgrade().map(|pool| {
            let interval = pool.config.idle_timeout / 2;
            pool.context.clock.sleep(interval)
        }) else {
            return;
        };
        sleep.await;
        let Some(pool) = pool.upgrade() else { return };
        if !pool.sweep() {
            pool.sweeping.set(false);
            return;
        }
    }
}

/// An [`HttpClient`] that keeps connections for the next request.
#[derive(Clone)]
pub struct PooledClient {
    pool: Rc<ConnectionPool>,
}

impl PooledClient {
    /// A client without connections.
    pub fn new(config: ClientConfig, context: ProcessContext) -> Self {
        let pool = ConnectionPool {
            config,
            context,
            idle: RefCell::default(),
            retired: RefCell::default(),
            misplacing: RefCell::default(),
            close_observer: RefCell::default(),
            sweeping: Cell::new(false),
            opened: Cell::new(0),
        };
        Self { pool: Rc::new(pool) }
    }

    /// How many idle connections to `address` are kept.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.pool.idle.borrow().get(&address).map_or(0, Vec::len)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<ClientReply, ClientError> {
        let request = outgoing(address, request)?;
        self.pool.retired.borrow_mut().remove(&address);
        let fresh = request.extensions().get::<FreshConnection>().is_some();
        let conditions = ReuseConditions::of(&request);
        let kept = if fresh { None } else { self.pool.take(address, conditions) };
        if let Some(connection) = kept {
            match self.exchange(address, connection, request.clone()).await {
                // The kept connection had been closed meanwhile and nothing was sent: a new one
                // is as good.
                Err(ClientError::Unsent { .. }) => (),
                outcome => return outcome,
            }
        }
        let connection = self.pool.open(address).await?;
        self.exchange(address, connection, request).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: ClientConnection,
        mut request: Request<Full<Bytes>>,
    ) -> Result<ClientReply, ClientError> {
        if request.extensions().get::<SendPermit>().is_some_and(|permit| !permit.begin()) {
            return Err(ClientError::Revoked { address });
        }
        let limit = self.head_timeout(&request);
        let demands = ReplyDemands::of(&request);
        let clock = &*self.pool.context.clock;
        let (before, began) = (connection.written(), clock.now());
        let key = request.extensions().get().copied();
        let mut trace = connection.begin_request(key, began);
        connection.interim_heads().watch(&mut request);
        let pool = Rc::clone(&self.pool);
        let mut lease = ConnectionLease { connection, pool, address, stated: None };
        let sending = lease.connection.sender.send_request(request);
        let outcome = timeout(clock, limit, sending).await;
        trace.written = lease.connection.written() - before;
        trace.reply_after = clock.now().since(began);
        let sent = trace.written > 0;
        if sent && lease.connection.interim_heads().is_exceeded() {
            let reason = "too many interim heads, or too large ones".to_owned();
            return Err(ClientError::Malformed { address, reason });
        }
        match outcome {
            Some(Ok(mut response)) => {
                response.extensions_mut().insert(trace);
                self.reply(&demands, before, response, lease)
            }
            Some(Err(e)) if sent && e.is_parse() => {
                Err(ClientError::Malformed { address, reason: error_chain(&e) })
            }
            Some(Err(e)) if sent => Err(ClientError::Sent { address, reason: error_chain(&e) }),
            Some(Err(e)) => Err(ClientError::Unsent { address, reason: error_chain(&e) }),
            None if sent => Err(ClientError::HeadTimeout { address, limit }),
            None => Err(ClientError::Unsent { address, reason: format!("no byte in {limit:?}") }),
        }
    }

    fn head_timeout(&self, request: &Request<Full<Bytes>>) -> Duration {
        let own = request.extensions().get::<HeadTimeout>();
        own.map_or(self.pool.config.head_timeout, |limit| limit.0)
    }

    fn reply(
        &self,
        demands: &ReplyDemands,
        written_before: u64,
        response: Response<Incoming>,
        mut lease: ConnectionLease,
    ) -> Result<ClientReply, ClientError> {
        let status = response.status();
        if !demands.allow(status) {
            let reason = format!("status {} is no answer to this request", status.as_u16());
            return Err(ClientError::Malformed { address: lease.address, reason });
        }
        lease.stated = keep_alive_time(response.headers());
        let is_framed = is_framed(&demands.method, &response);
        if !self.pool.config.takes_unframed && !is_framed {
            return Err(ClientError::Unframed { address: lease.address });
        }
        let (mut head, incoming) = response.into_parts();
        if !is_framed {
            head.extensions.insert(UnframedBody);
        }
        strip_hop_by_hop(&mut head.headers);
        let clock = Rc::clone(&self.pool.context.clock);
        let pause = self.pool.config.body_timeout;
        // An error that comes early may stop the request; an answer needs all of it.
        let needs_all = !is_framed && status.is_success();
        let needed = if needs_all { written_before + demands.min_size } else { 0 };
        let body = ClientBody::from_wire(WireSource::new(incoming, lease, needed, clock, pause));
        Ok(ClientReply { head, body })
    }
}

impl HttpClient for PooledClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        Box::pin(self.send_to(address, request))
    }

    fn connect<'a>(&'a self, address: SocketAddr) -> LocalFuture<'a, Result<(), ClientError>> {
        Box::pin(async move {
            let mut connection = self.pool.open(address).await?;
            // Only a connection that its task drives can be kept.
            connection
                .sender
                .ready()
                .await
                .map_err(|e| ClientError::Connect { address, reason: error_chain(&e) })?;
            self.pool.keep(address, connection, None);
            Ok(())
        })
    }

    fn retire(&self, address: SocketAddr) {
        self.pool.retired.borrow_mut().insert(address);
        self.pool.idle.borrow_mut().remove(&address);
    }

    fn observe_closes(&self, observer: CloseObserver) {
        self.pool.close_observer.replace(Some(observer));
    }

    fn note_misplaced_reply(&self, address: SocketAddr) {
        self.pool.note_misplaced_reply(address);
    }
}

/// The time that a `keep-alive` header states.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let stated = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    stated.trim().parse().ok().map(Duration::from_secs)
}

/// Whether the end of the reply's body can be told from a break of the connection.
fn is_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let status = response.status();
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// The request as it goes over the wire: origin form, one host, no hop-by-hop headers.
fn outgoing(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let invalid = |reason: String| ClientError::Invalid { address, reason };
    let (mut head, body) = request.into_parts();
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    head.uri = Uri::try_from(target).map_err(|e| invalid(e.to_string()))?;
    head.version = Version::HTTP_11;
    strip_hop_by_hop(&mut head.headers);
    // `hyper` sets the length from the body; a copied one could disagree.
    head.headers.remove(CONTENT_LENGTH);
    if !head.headers.contains_key(HOST) {
        let host =
            HeaderValue::try_from(address.to_string()).map_err(|e| invalid(e.to_string()))?;
        head.headers.insert(HOST, host);
    }
    Ok(Request::from_parts(head, Full::new(body)))
}
