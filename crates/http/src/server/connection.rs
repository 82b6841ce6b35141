//! One connection: its requests, one after the other.

use {
    super::{
        accept::ServerShared,
        connection_table::ConnectionStatus,
        exchange::ExchangeState,
        guard::{GuardParts, GuardedStream},
        reply_buffers::ReplyShare,
        wire_body::WireBody,
    },
    crate::{
        ApiError, BodyBudget, BodyError, ClientBody, LocalStream, ReplyBody, RequestBody, RunState,
        request::ReadBounds, strip_hop_by_hop,
    },
    bytes::{Bytes, BytesMut},
    gullglade_units::LocalFuture,
    http::{
        HeaderValue, Method, Request, Response, StatusCode, Version,
        header::{CONNECTION, CONTENT_LENGTH},
    },
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    monoio::{
        io::IntoPollIo,
        net::{TcpStream, tcp::stream_poll::TcpStreamPoll},
    },
    monoio_compat::hyper::MonoioIo,
    std::{convert::Infallible, future::poll_fn, net::SocketAddr, pin::pin, rc::Rc},
};

/// What `hyper` may buffer beyond a head that was already checked against its limit.
const BUFFER_SLACK: usize = 8 << 10;

/// The task of one connection.
pub(crate) struct ConnectionTask {
    pub(crate) shared: Rc<ServerShared>,
    pub(crate) remote: SocketAddr,
    /// Why the connection is refused whatever it asks.
    pub(crate) refusal: Option<ApiError>,
    pub(crate) status: Rc<ConnectionStatus>,
}

impl ConnectionTask {
    /// Serves `stream` until it ends, gives way to another connection, or the server is aborted.
    pub(crate) async fn run(self, stream: TcpStream) {
        let abort = self.shared.handle.abort.clone();
        let status = Rc::clone(&self.status);
        let lane = self.shared.config.work_lane.clone();
        let clock = Rc::clone(&self.shared.context.clock);
        let mut served = pin!(self.serve(stream));
        let charged = pin!(poll_fn(|context| {
            if !status.is_bulk() {
                return served.as_mut().poll(context);
            }
            let began = clock.now();
            let outcome = served.as_mut().poll(context);
            let now = clock.now();
            lane.charge(now.since(began), now);
            outcome
        }));
        abort.guard(pin!(status.eviction.guard(charged))).await;
    }

    async fn serve(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let Ok(stream) = stream.into_poll_io() else { return };
        let clock = Rc::clone(&self.shared.context.clock);
        let exchange = Rc::new(ExchangeState::new(Rc::clone(&self.status), clock));
        let share = ReplyShare::new(&self.shared.buffers);
        let stream = self.guarded(MonoioIo::new(stream), &exchange, &share);
        let server = ExchangeServer { shared: self.shared, remote: self.remote, exchange, share };
        let server = Rc::new(server);
        let service = service_fn(|mut request: Request<Incoming>| {
            // Taken here and not in the future: this runs as soon as the head is parsed, so a
            // refusal cannot be taken for that of another request.
            let refusal = server.exchange.take_refusal();
            if let Some(headers) = server.exchange.take_headers() {
                *request.headers_mut() = headers;
            }
            let server = Rc::clone(&server);
            // Boxed, so that it is freed when the reply begins: `hyper` keeps the place of this
            // future for as long as the connection lives.
            let answer: LocalFuture<'static, _> =
                Box::pin(async move { Ok::<_, Infallible>(server.answer(request, refusal).await) });
            answer
        });
        // The guarded stream keeps the times; `hyper` keeps none, so it needs no timer.
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(server.shared.config.head_limit + BUFFER_SLACK)
            .serve_connection(stream, service);
        // An error here is a broken connection: the reply's stream is dropped with it, which tells
        // the handler, and there is no one left to tell otherwise.
        let _: Result<(), hyper::Error> = connection.await;
    }

    fn guarded(
        &self,
        stream: MonoioIo<TcpStreamPoll>,
        exchange: &Rc<ExchangeState>,
        share: &Rc<ReplyShare>,
    ) -> GuardedStream<MonoioIo<TcpStreamPoll>> {
        let parts = GuardParts {
            config: self.shared.config.clone(),
            clock: Rc::clone(&self.shared.context.clock),
            scratch: self.shared.scratch.clone(),
            stop: self.shared.handle.stop.clone(),
            exchange: Rc::clone(exchange),
            share: Rc::clone(share),
            lingers: self.shared.lingers.clone(),
        };
        match &self.refusal {
            None => GuardedStream::new(stream, parts),
            Some(error) => GuardedStream::refusing(stream, parts, error.clone()),
        }
    }
}

/// Answers the requests of one connection.
struct ExchangeServer {
    shared: Rc<ServerShared>,
    remote: SocketAddr,
    exchange: Rc<ExchangeState>,
    share: Rc<ReplyShare>,
}

impl ExchangeServer {
    async fn answer(
        &self,
        request: Request<Incoming>,
        refusal: Option<ApiError>,
    ) -> Response<WireBody> {
        let (method, version) = (request.method().clone(), request.version());
        let response = match refusal {
            Some(error) => error.into_response(),
            None => {
                let bounds = self.read_bounds();
                let request = request.map(|incoming| RequestBody::from_wire(incoming, bounds));
                self.shared.handler.handle(request, self.remote).await
            }
        };
        let response = match version {
            Version::HTTP_10 => self.without_chunks(response).await,
            _ => response,
        };
        self.outgoing(&method, response)
    }

    /// The reply as it goes over the wire.
    fn outgoing(&self, method: &Method, mut response: Response<ReplyBody>) -> Response<WireBody> {
        let whole = matches!(response.body(), ReplyBody::Full(_));
        let headers = response.headers_mut();
        strip_hop_by_hop(headers);
        if whole && method != Method::HEAD {
            // `hyper` sets the length from the body; a copied one could disagree.
            headers.remove(CONTENT_LENGTH);
        }
        // A handler that states nothing has not shown that the request did not run.
        headers.entry(RunState::HEADER).or_insert_with(|| RunState::Unknown.to_value());
        if self.exchange.is_last() || self.shared.handle.retiring() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|body| {
            let (exchange, share) = (Rc::clone(&self.exchange), Rc::clone(&self.share));
            WireBody::new(body, exchange, share)
        })
    }

    fn read_bounds(&self) -> ReadBounds {
        let config = &self.shared.config;
        ReadBounds {
            clock: Rc::clone(&self.shared.context.clock),
            budget: config.body_budget.clone(),
            size: config.request_limits().body_bytes,
            pause: config.body_timeout,
            total: config.body_total_timeout,
        }
    }

    /// The reply with its stream collected. HTTP/1.0 has no chunks, so a stream would end with the
    /// connection, and one that broke would look whole to the caller.
    async fn without_chunks(&self, response: Response<ReplyBody>) -> Response<ReplyBody> {
        let (head, body) = response.into_parts();
        let stream = match body {
            ReplyBody::Full(_) => return Response::from_parts(head, body),
            ReplyBody::Stream(stream) => stream,
        };
        match self.collect(stream).await {
            Ok(bytes) => Response::from_parts(head, ReplyBody::full(bytes)),
            Err(error) => {
                let run = head.headers.get(RunState::HEADER).and_then(RunState::from_value);
                let message = format!("{error}; replies of unknown length need HTTP/1.1, use that");
                ApiError::new(StatusCode::BAD_GATEWAY, "reply_broken", message)
                    .run(run.unwrap_or(RunState::Unknown))
                    .into_response()
            }
        }
    }

    /// Collects a reply, whose memory counts like that of a request's body.
    async fn collect(&self, stream: LocalStream) -> Result<Bytes, BodyError> {
        let config = &self.shared.config;
        let mut lease = config.body_budget.as_ref().map(BodyBudget::lease);
        let mut body = ClientBody::from_stream(stream);
        let mut whole = BytesMut::new();
        while let Some(piece) = body.next().await {
            let piece = piece?;
            let size = whole.len() + piece.len();
            if size as u64 > config.body_limit {
                return Err(BodyError::TooLarge { limit: config.body_limit });
            }
            if let Some(lease) = &mut lease {
                lease.grow_to(size.next_power_of_two())?;
            }
            whole.extend_from_slice(&piece);
        }
        Ok(match lease {
            Some(lease) => lease.attach(whole.freeze()),
            None => whole.freeze(),
        })
    }
}
