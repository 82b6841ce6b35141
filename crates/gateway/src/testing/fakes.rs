//! Fake backend servers and fake gateways of other regions.

use {
    super::{remote_gateway_address, second_engine_address},
    crate::{
        attempt::{OFFSET_HEADER, REQUEST_HEADER},
        call::ContentHeader,
        forward::{ForwardReply, ForwardRequest},
    },
    bytes::Bytes,
    futures::{Stream, StreamExt, stream},
    gullglade_http::{
        BodyError, ClientBody, ClientError, ClientReply, ExchangeTrace, HeadTimeout, HttpClient,
        SendPermit,
    },
    gullglade_peer::{PeerError, PeerStream, PeerTransport},
    gullglade_units::{BackendName, Clock, LocalFuture, MonotonicTime, decode, encode, timeout},
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The behavior of the first backend server.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BackendBehavior {
    Answers,
    BreaksOff,
    LosesConnection,
    /// Streams one token and `[DONE]`, without a finish reason.
    Unfinished,
    /// Sends a complete answer, with a pause.
    Pauses(AnswerPause),
    /// Sends this text again and again, a millisecond apart; answers of models are streams.
    Unending(&'static str),
    /// Streams a token out of order and then nothing, without an end.
    OutOfOrder,
    /// Sends a complete answer with these headers, with a pause.
    SendsHeaders(&'static [HeaderPair], AnswerPause),
    /// Rejects this number of requests with this status and these headers, then sends complete
    /// answers.
    Rejects(u32, StatusCode, &'static [HeaderPair]),
    /// Sends the first answer with this status and these headers after the delay, and accepts the
    /// connections of all other requests after twice the delay. The second engine answers after the
    /// delay.
    AcceptsLate(StatusCode, &'static [HeaderPair], Duration),
}

/// Name and value of a reply header.
pub(crate) type HeaderPair = (&'static str, &'static str);

/// Position and length of a pause in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AnswerPause {
    /// 0: before the head; otherwise before this piece of the body, counted from 1.
    pub(crate) before: usize,
    pub(crate) length: Duration,
}

impl AnswerPause {
    /// No pause.
    pub(crate) const NONE: Self = Self { before: 0, length: Duration::ZERO };

    /// Returns the delay before a part of the answer.
    fn delay_before(self, part: usize) -> Duration {
        if part == self.before { self.length } else { Duration::ZERO }
    }
}

/// Number of active runs, and its maximum.
#[derive(Default)]
pub(crate) struct RunCounter {
    pub(crate) current: Cell<u32>,
    pub(crate) max: Cell<u32>,
}

/// An active run; it ends on drop.
struct ActiveRun(Rc<RunCounter>);

impl ActiveRun {
    fn begin(runs: &Rc<RunCounter>) -> Self {
        runs.current.set(runs.current.get() + 1);
        runs.max.set(runs.max.get().max(runs.current.get()));
        Self(Rc::clone(runs))
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        self.0.current.set(self.0.current.get() - 1);
    }
}

/// Fake client that counts the requests sent to backend servers.
pub(crate) struct FakeClient {
    pub(crate) sends: Cell<u32>,
    pub(crate) runs: Rc<RunCounter>,
    /// Arrival times of the requests at the first engine.
    pub(crate) arrivals: RefCell<Vec<MonotonicTime>>,
    /// Number of requests that the connections of rejections carried before.
    pub(crate) carried: Cell<u32>,
    has_sent_first_reply: Cell<bool>,
    behavior: BackendBehavior,
    clock: Rc<dyn Clock>,
}

impl FakeClient {
    pub(super) fn new(behavior: BackendBehavior, clock: &Rc<dyn Clock>) -> Self {
        Self {
            sends: Cell::new(0),
            runs: Rc::default(),
            arrivals: RefCell::default(),
            carried: Cell::default(),
            has_sent_first_reply: Cell::new(false),
            behavior,
            clock: Rc::clone(clock),
        }
    }

    /// Returns the behavior for a request that is sent now. The second engine always answers.
    fn next_behavior(&self, address: SocketAddr) -> BackendBehavior {
        self.sends.set(self.sends.get() + 1);
        let is_second = address == second_engine_address();
        match self.behavior {
            BackendBehavior::AcceptsLate(.., after) if is_second => {
                return BackendBehavior::Pauses(AnswerPause { before: 0, length: after });
            }
            BackendBehavior::AcceptsLate(..) => return self.behavior,
            _ if is_second => return BackendBehavior::Pauses(AnswerPause::NONE),
            _ => {}
        }
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.push(self.clock.now());
        match self.behavior {
            BackendBehavior::Rejects(times, ..) if arrivals.len() > times as usize => {
                BackendBehavior::Pauses(AnswerPause::NONE)
            }
            behavior => behavior,
        }
    }

    /// Returns the reply to a request whose connection may be accepted late.
    async fn late_accepted_reply(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
        (status, stated, after): (StatusCode, &[HeaderPair], Duration),
    ) -> Result<ClientReply, ClientError> {
        let is_first = !self.has_sent_first_reply.replace(true);
        if !is_first {
            self.clock.sleep(after * 2).await;
        }
        if request.extensions().get::<SendPermit>().is_some_and(|permit| !permit.begin()) {
            return Err(ClientError::Revoked { address });
        }
        self.arrivals.borrow_mut().push(self.clock.now());
        let length = if is_first { after } else { Duration::ZERO };
        let pause = AnswerPause { before: 0, length };
        let mut reply = self.pausing_reply(address, request, pause).await?;
        if is_first {
            reply.head.status = status;
            insert_headers(&mut reply.head.headers, stated);
        }
        Ok(reply)
    }

    async fn pausing_reply(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
        pause: AnswerPause,
    ) -> Result<ClientReply, ClientError> {
        let run = ActiveRun::begin(&self.runs);
        let limit = request.extensions().get::<HeadTimeout>().unwrap().0;
        if timeout(&*self.clock, limit, self.clock.sleep(pause.delay_before(0))).await.is_none() {
            return Err(ClientError::HeadTimeout { address, limit });
        }
        let (mut head, ()) = Response::new(()).into_parts();
        if is_streamed(request.body()) {
            head.headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        }
        let header = |name| request.headers().get(name)?.to_str().ok();
        let id = header(REQUEST_HEADER).unwrap();
        let first = header(OFFSET_HEADER).map_or(0, |offset| offset.parse().unwrap());
        let pieces = match is_streamed(request.body()) {
            true => event_pieces(id, first),
            false => buffered_pieces(id),
        };
        let body = with_pause(pieces, pause, Rc::clone(&self.clock));
        let body = body.map(move |piece| {
            let _active_run = &run;
            Ok(piece)
        });
        Ok(ClientReply { head, body: ClientBody::from_stream(body) })
    }

    fn unending_body(&self, text: &'static str) -> ClientBody {
        let run = ActiveRun::begin(&self.runs);
        let clock = Rc::clone(&self.clock);
        ClientBody::from_stream(stream::unfold(run, move |run| {
            let pause = clock.sleep(Duration::from_millis(1));
            async move {
                pause.await;
                Some((Ok(Bytes::from_static(text.as_bytes())), run))
            }
        }))
    }

    fn out_of_order_reply(&self, request: &Request<Bytes>) -> ClientReply {
        let run = ActiveRun::begin(&self.runs);
        let (mut head, ()) = Response::new(()).into_parts();
        head.headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        let id = request.headers()[REQUEST_HEADER].to_str().unwrap();
        let body = stream::iter([Ok(token_event(id, 7))]).chain(stream::pending());
        let body = body.map(move |piece| {
            let _active_run = &run;
            piece
        });
        ClientReply { head, body: ClientBody::from_stream(body) }
    }
}

fn insert_headers(headers: &mut HeaderMap, stated: &[HeaderPair]) {
    for (name, value) in stated {
        headers.insert(*name, HeaderValue::from_static(value));
    }
}

/// Number of tokens of a complete answer.
const TOKENS: u64 = 3;

fn is_streamed(body: &[u8]) -> bool {
    body.windows(13).any(|part| part == br#""stream":true"#)
}

fn token_event(id: &str, index: u64) -> Bytes {
    let choices = serde_json::json!([{"index": 0, "delta": {"content": "a"}}]);
    let event = serde_json::json!({"id": id, "token_index": index, "choices": choices});
    Bytes::from(format!("data: {event}\n\n"))
}

/// Returns the pieces of a streamed answer, starting at the token `first`.
fn event_pieces(id: &str, first: u64) -> Vec<Bytes> {
    let choices = serde_json::json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
    let last = serde_json::json!({"id": id, "choices": choices});
    let tokens = (first..TOKENS).map(|index| token_event(id, index));
    tokens.chain([Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))]).collect()
}

/// Returns the pieces of an answer that is not streamed.
fn buffered_pieces(id: &str) -> Vec<Bytes> {
    let answer = Bytes::from(serde_json::json!({"id": id, "choices": []}).to_string());
    vec![answer.slice(..5), answer.slice(5..9), answer.slice(9..)]
}

/// Yields the pieces with the pause between them.
fn with_pause(
    pieces: Vec<Bytes>,
    pause: AnswerPause,
    clock: Rc<dyn Clock>,
) -> impl Stream<Item = Bytes> + 'static {
    stream::iter(pieces.into_iter().enumerate()).then(move |(index, piece)| {
        let waiting = clock.sleep(pause.delay_before(index + 1));
        async move {
            waiting.await;
            piece
        }
    })
}

impl HttpClient for FakeClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        let behavior = self.next_behavior(address);
        let (mut head, ()) = Response::new(()).into_parts();
        let reset_error = BodyError::Incomplete { reason: "reset".to_owned() };
        let reply = match behavior {
            BackendBehavior::SendsHeaders(stated, pause) => {
                return Box::pin(async move {
                    let mut reply = self.pausing_reply(address, &request, pause).await?;
                    insert_headers(&mut reply.head.headers, stated);
                    Ok(reply)
                });
            }
            BackendBehavior::Rejects(_, status, stated) => {
                head.status = status;
                insert_headers(&mut head.headers, stated);
                head.extensions.insert(ExchangeTrace {
                    connection: 0,
                    carried: self.carried.get(),
                    connection_age: Duration::ZERO,
                    written: 1,
                    reply_after: Duration::ZERO,
                });
                Ok(ClientBody::from_bytes("{}"))
            }
            BackendBehavior::AcceptsLate(status, stated, after) => {
                let first = (status, stated, after);
                return Box::pin(async move {
                    self.late_accepted_reply(address, &request, first).await
                });
            }
            BackendBehavior::Pauses(pause) => {
                let reply = async move { self.pausing_reply(address, &request, pause).await };
                return Box::pin(reply);
            }
            BackendBehavior::OutOfOrder => {
                return Box::pin(std::future::ready(Ok(self.out_of_order_reply(&request))));
            }
            BackendBehavior::Unending(text) => {
                if is_streamed(request.body()) {
                    let value = HeaderValue::from_static("text/event-stream");
                    head.headers.insert(CONTENT_TYPE, value);
                }
                Ok(self.unending_body(text))
            }
            BackendBehavior::Answers => Ok(ClientBody::from_bytes("{}")),
            BackendBehavior::BreaksOff => {
                Ok(ClientBody::from_stream(stream::iter([Ok(Bytes::from("{")), Err(reset_error)])))
            }
            BackendBehavior::Unfinished => {
                let value = HeaderValue::from_static("text/event-stream");
                head.headers.insert(CONTENT_TYPE, value);
                Ok(ClientBody::from_bytes(stream_without_finish_reason(&request)))
            }
            BackendBehavior::LosesConnection => {
                Err(ClientError::Sent { address, reason: "reset".to_owned() })
            }
        };
        Box::pin(std::future::ready(reply.map(|body| ClientReply { head, body })))
    }
}

fn stream_without_finish_reason(request: &Request<Bytes>) -> String {
    let id = request.headers()[REQUEST_HEADER].to_str().unwrap();
    let choices = serde_json::json!([{"index": 0, "delta": {"content": "a"}}]);
    let event = serde_json::json!({"id": id, "token_index": 0, "choices": choices});
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

/// The behavior of the gateways of other regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerBehavior {
    /// The reply stream ends without a head.
    Ends,
    /// States after this time that the request did not run.
    Refuses(Duration),
    /// This number of gateways states that the request did not run; the others relay a complete
    /// answer.
    SomeRefuse(u16),
    /// Relays a complete answer, with a pause.
    Pauses(AnswerPause),
}

/// Fake transport that counts the calls to other gateways.
pub(crate) struct FakeTransport {
    pub(crate) opened: Cell<u32>,
    behavior: PeerBehavior,
    clock: Rc<dyn Clock>,
}

impl FakeTransport {
    pub(super) fn new(behavior: PeerBehavior, clock: &Rc<dyn Clock>) -> Self {
        Self { opened: Cell::new(0), behavior, clock: Rc::clone(clock) }
    }

    fn reply(&self, to: SocketAddr, request: &ForwardRequest) -> PeerStream {
        let behavior = match self.behavior {
            PeerBehavior::SomeRefuse(count)
                if (0..count).any(|i| to == remote_gateway_address(i)) =>
            {
                PeerBehavior::Refuses(Duration::ZERO)
            }
            PeerBehavior::SomeRefuse(_) => PeerBehavior::Pauses(AnswerPause::NONE),
            behavior => behavior,
        };
        let (head, pieces, pause) = match behavior {
            PeerBehavior::Ends | PeerBehavior::SomeRefuse(_) => {
                return PeerStream::new(stream::empty());
            }
            PeerBehavior::Refuses(after) => {
                let reason = "no slot".to_owned();
                let head = ForwardReply::NotRun { reason, retry_millis: 1_000 };
                (head, Vec::new(), AnswerPause { before: 0, length: after })
            }
            PeerBehavior::Pauses(pause) => self.answer(request, pause),
        };
        let waiting = self.clock.sleep(pause.delay_before(0));
        let head = stream::once(async move {
            waiting.await;
            Bytes::from(encode(&head))
        });
        PeerStream::new(head.chain(with_pause(pieces, pause, Rc::clone(&self.clock))).map(Ok))
    }

    fn answer(
        &self,
        request: &ForwardRequest,
        pause: AnswerPause,
    ) -> (ForwardReply, Vec<Bytes>, AnswerPause) {
        let id = request.id.to_string();
        let (pieces, kind) = match request.streamed {
            true => (event_pieces(&id, request.offset), "text/event-stream"),
            false => (buffered_pieces(&id), "application/json"),
        };
        let value = kind.as_bytes().to_vec();
        let head = ForwardReply::Answer {
            id: request.id,
            status: 200,
            headers: vec![ContentHeader { name: CONTENT_TYPE.to_string(), value }],
            backend: BackendName::try_from("engine-9").unwrap(),
            ran: true,
        };
        (head, pieces, pause)
    }
}

impl PeerTransport for FakeTransport {
    fn call<'a>(
        &'a self,
        _to: SocketAddr,
        _method: &'a str,
        _body: Bytes,
        _limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(std::future::pending())
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        _method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        self.opened.set(self.opened.get() + 1);
        let request = decode::<ForwardRequest>(&body).unwrap();
        Box::pin(std::future::ready(Ok(self.reply(to, &request))))
    }
}
