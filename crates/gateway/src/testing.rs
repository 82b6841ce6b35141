//! A gateway whose neighbours are fakes, for this crate's tests.

use {
    crate::{
        EntryAnswer, Gateway, GatewayConfig, GatewayParts, RegionDirectory, RegionRow,
        attempt::{OFFSET_HEADER, REQUEST_HEADER},
        call::ContentHeader,
        completion::collect,
        forward::{ForwardReply, ForwardRequest},
    },
    bytes::Bytes,
    futures::{Stream, StreamExt, stream},
    gullglade_admission::{AdmissionQueue, AdmissionSettings},
    gullglade_backend::{
        Announcement, BackendConfig, BackendRelay, BackendTable, GatewayProfile, OwnGateway,
        RelayConfig, RelaySeams,
    },
    gullglade_claim::{ClaimKeeper, ClaimSettings, LocalClaims},
    gullglade_document::{ConfigView, FixedConfig, ServiceDocument, ServiceTarget},
    gullglade_event::{MetricSet, NullSink},
    gullglade_http::{
        BodyError, ClientBody, ClientError, ClientReply, HeadTimeout, HttpClient, ReplyBody,
        RequestBody, RequestHandler,
    },
    gullglade_peer::{PeerError, PeerStream, PeerTransport},
    gullglade_units::{
        BackendName, Clock, FailureDomain, Incarnation, LocalFuture, MonotonicTime, ProcessContext,
        RegionName, VmName, decode, encode, fake::FakeWorld, timeout,
    },
    http::{
        HeaderMap, HeaderValue, Request, Response, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
        request::Builder,
        response::Parts,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The most bytes of a reply in these tests.
const BODY_LIMIT: usize = 1 << 20;

/// How long backend servers have served when a test begins.
const SETTLED: Duration = Duration::from_secs(15);

/// The gateway's region.
pub(crate) const HERE: &str = "columbia";

pub(crate) const DOCUMENT: &str = r#"
service = "ballast-order-desk"
regions = ["puget", "columbia", "inland"]
[[models]]
name = "ballast"
[[plain_services]]
name = "order-desk"
[[non_idempotent]]
method = "POST"
path = "/services/order-desk/orders"
[[workspaces]]
name = "roadmasters"
token_sha256 = ["e6b65e762ddebe3e893b84a5aa2f51f69965cf051c9015ef121d07e40c1c91ca"]
"#;

/// What the backend server does with a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BackendFate {
    Answers,
    Breaks,
    Loses,
    /// Streams one token and `[DONE]`, without a finish reason.
    Unfinished,
    /// Answers whole, after a pause.
    Pauses(AnswerPause),
    /// Streams a token out of order, and goes on without an end.
    Disorders,
    /// Answers whole, after a pause, and states this.
    States(&'static [StatedHeader], AnswerPause),
    /// Rejects so many requests and states this, then answers whole.
    Rejects(u32, StatusCode, &'static [StatedHeader]),
}

/// A header of an answer.
pub(crate) type StatedHeader = (&'static str, &'static str);

/// Where an answer stands still, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AnswerPause {
    /// 0: before its head; else before this piece of its body, counted from 1.
    pub(crate) before: usize,
    pub(crate) length: Duration,
}

impl AnswerPause {
    /// It comes at once.
    pub(crate) const NONE: Self = Self { before: 0, length: Duration::ZERO };

    /// The time before a part of the answer.
    fn at(self, part: usize) -> Duration {
        if part == self.before { self.length } else { Duration::ZERO }
    }
}

/// Runs that are at work.
#[derive(Default)]
pub(crate) struct RunCount {
    now: Cell<u32>,
    pub(crate) most: Cell<u32>,
}

/// One run, at work until it is dropped.
struct CountedRun(Rc<RunCount>);

impl CountedRun {
    fn begin(runs: &Rc<RunCount>) -> Self {
        runs.now.set(runs.now.get() + 1);
        runs.most.set(runs.most.get().max(runs.now.get()));
        Self(Rc::clone(runs))
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        self.0.now.set(self.0.now.get() - 1);
    }
}

/// A backend server that counts what reaches it.
pub(crate) struct CountedClient {
    pub(crate) sends: Cell<u32>,
    pub(crate) runs: Rc<RunCount>,
    /// When each request came to the first engine.
    pub(crate) came: RefCell<Vec<MonotonicTime>>,
    fate: BackendFate,
    clock: Rc<dyn Clock>,
}

impl CountedClient {
    /// What becomes of a request that comes now; the second engine always answers.
    fn take_fate(&self, address: SocketAddr) -> BackendFate {
        self.sends.set(self.sends.get() + 1);
        if address == second_address() {
            return BackendFate::Pauses(AnswerPause::NONE);
        }
        let mut came = self.came.borrow_mut();
        came.push(self.clock.now());
        match self.fate {
            BackendFate::Rejects(times, ..) if came.len() > times as usize => {
                BackendFate::Pauses(AnswerPause::NONE)
            }
            fate => fate,
        }
    }

    async fn pausing_reply(
        &self,
        address: SocketAddr,
        request: &Request<Bytes>,
        pause: AnswerPause,
    ) -> Result<ClientReply, ClientError> {
        let run = CountedRun::begin(&self.runs);
        let limit = request.extensions().get::<HeadTimeout>().unwrap().0;
        if timeout(&*self.clock, limit, self.clock.sleep(pause.at(0))).await.is_none() {
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
            false => whole_pieces(id),
        };
        let body = paced(pieces, pause, Rc::clone(&self.clock));
        let body = body.map(move |piece| {
            let _at_work = &run;
            Ok(piece)
        });
        Ok(ClientReply { head, body: ClientBody::from_stream(body) })
    }

    fn disordered_reply(&self, request: &Request<Bytes>) -> ClientReply {
        let run = CountedRun::begin(&self.runs);
        let (mut head, ()) = Response::new(()).into_parts();
        head.headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        let id = request.headers()[REQUEST_HEADER].to_str().unwrap();
        let body = stream::iter([Ok(token_event(id, 7))]).chain(stream::pending());
        let body = body.map(move |piece| {
            let _at_work = &run;
            piece
        });
        ClientReply { head, body: ClientBody::from_stream(body) }
    }
}

fn state(headers: &mut HeaderMap, stated: &[StatedHeader]) {
    for (name, value) in stated {
        headers.insert(*name, HeaderValue::from_static(value));
    }
}

/// How many tokens an answer has.
const TOKENS: u64 = 3;

fn is_streamed(body: &[u8]) -> bool {
    body.windows(13).any(|part| part == br#""stream":true"#)
}

fn token_event(id: &str, index: u64) -> Bytes {
    let choices = serde_json::json!([{"index": 0, "delta": {"content": "a"}}]);
    let event = serde_json::json!({"id": id, "token_index": index, "choices": choices});
    Bytes::from(format!("data: {event}\n\n"))
}

/// The pieces of a streamed answer.
fn event_pieces(id: &str, first: u64) -> Vec<Bytes> {
    let choices = serde_json::json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
    let last = serde_json::json!({"id": id, "choices": choices});
    let tokens = (first..TOKENS).map(|index| token_event(id, index));
    tokens.chain([Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"))]).collect()
}

/// The pieces of an answer that is not streamed.
fn whole_pieces(id: &str) -> Vec<Bytes> {
    let whole = Bytes::from(serde_json::json!({"id": id, "choices": []}).to_string());
    vec![whole.slice(..5), whole.slice(5..9), whole.slice(9..)]
}

/// The pieces with the pause between them.
fn paced(
    pieces: Vec<Bytes>,
    pause: AnswerPause,
    clock: Rc<dyn Clock>,
) -> impl Stream<Item = Bytes> + 'static {
    stream::iter(pieces.into_iter().enumerate()).then(move |(index, piece)| {
        let waiting = clock.sleep(pause.at(index + 1));
        async move {
            waiting.await;
            piece
        }
    })
}

impl HttpClient for CountedClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> LocalFuture<'a, Result<ClientReply, ClientError>> {
        let fate = self.take_fate(address);
        let (mut head, ()) = Response::new(()).into_parts();
        let cut = BodyError::Incomplete { reason: "reset".to_owned() };
        let reply = match fate {
            BackendFate::States(stated, pause) => {
                return Box::pin(async move {
                    let mut reply = self.pausing_reply(address, &request, pause).await?;
                    state(&mut reply.head.headers, stated);
                    Ok(reply)
                });
            }
            BackendFate::Rejects(_, status, stated) => {
                head.status = status;
                state(&mut head.headers, stated);
                Ok(ClientBody::from_bytes("{}"))
            }
            BackendFate::Pauses(pause) => {
                let reply = async move { self.pausing_reply(address, &request, pause).await };
                return Box::pin(reply);
            }
            BackendFate::Disorders => {
                return Box::pin(std::future::ready(Ok(self.disordered_reply(&request))));
            }
            BackendFate::Answers => Ok(ClientBody::from_bytes("{}")),
            BackendFate::Breaks => {
                Ok(ClientBody::from_stream(stream::iter([Ok(Bytes::from("{")), Err(cut)])))
            }
            BackendFate::Unfinished => {
                let value = HeaderValue::from_static("text/event-stream");
                head.headers.insert(CONTENT_TYPE, value);
                Ok(ClientBody::from_bytes(unfinished_stream(&request)))
            }
            BackendFate::Loses => Err(ClientError::Sent { address, reason: "reset".to_owned() }),
        };
        Box::pin(std::future::ready(reply.map(|body| ClientReply { head, body })))
    }
}

fn unfinished_stream(request: &Request<Bytes>) -> String {
    let id = request.headers()[REQUEST_HEADER].to_str().unwrap();
    let choices = serde_json::json!([{"index": 0, "delta": {"content": "a"}}]);
    let event = serde_json::json!({"id": id, "token_index": 0, "choices": choices});
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

/// What the gateways of other regions do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerFate {
    /// Their answer ends without a head.
    Ends,
    /// Certainly not run, after this time.
    Refuses(Duration),
    /// A backend server there answers whole, after a pause.
    Pauses(AnswerPause),
}

/// Counts the calls to other gateways.
pub(crate) struct CountedTransport {
    pub(crate) opened: Cell<u32>,
    fate: PeerFate,
    clock: Rc<dyn Clock>,
}

impl CountedTransport {
    fn reply(&self, request: &ForwardRequest) -> PeerStream {
        let (head, pieces, pause) = match self.fate {
            PeerFate::Ends => return PeerStream::new(stream::empty()),
            PeerFate::Refuses(after) => {
                let reason = "no slot".to_owned();
                let head = ForwardReply::NotRun { reason, retry_millis: 1_000 };
                (head, Vec::new(), AnswerPause { before: 0, length: after })
            }
            PeerFate::Pauses(pause) => self.answer(request, pause),
        };
        let waiting = self.clock.sleep(pause.at(0));
        let head = stream::once(async move {
            waiting.await;
            Bytes::from(encode(&head))
        });
        PeerStream::new(head.chain(paced(pieces, pause, Rc::clone(&self.clock))).map(Ok))
    }

    fn answer(
        &self,
        request: &ForwardRequest,
        pause: AnswerPause,
    ) -> (ForwardReply, Vec<Bytes>, AnswerPause) {
        let id = request.id.to_string();
        let (pieces, kind) = match request.streamed {
            true => (event_pieces(&id, request.offset), "text/event-stream"),
            false => (whole_pieces(&id), "application/json"),
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

impl PeerTransport for CountedTransport {
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
        _to: SocketAddr,
        _method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        self.opened.set(self.opened.get() + 1);
        let request = decode::<ForwardRequest>(&body).unwrap();
        Box::pin(std::future::ready(Ok(self.reply(&request))))
    }
}

/// Offers plenty of free engines in inland, from some time on.
struct InlandDirectory {
    from: MonotonicTime,
    clock: Rc<dyn Clock>,
}

impl RegionDirectory for InlandDirectory {
    fn offers(&self, _target: &ServiceTarget) -> Vec<RegionRow> {
        vec![RegionRow {
            region: region("inland"),
            reachable: self.clock.now() >= self.from,
            link: Duration::from_millis(1),
            slots: 64,
            free_slots: 64,
            prefill_tokens: 0,
            prefill_rate: 50_000.0,
            age: Duration::ZERO,
            since_return: Duration::from_secs(3_600),
            share: 1.0,
        }]
    }

    fn gateways(&self, _region: &RegionName) -> Vec<SocketAddr> {
        vec![address()]
    }

    fn entry(&self, _regions: &[RegionName]) -> EntryAnswer {
        EntryAnswer { ttl_ms: 0, gateways: Vec::new() }
    }

    fn note_failure(&self, _address: SocketAddr) {}
}

/// How the neighbours of a gateway under test behave.
pub(crate) struct TestSetup<'a> {
    pub(crate) document: &'a str,
    /// Whether an engine and a plain service have announced themselves.
    pub(crate) engines: bool,
    pub(crate) fate: BackendFate,
    pub(crate) peers: PeerFate,
    /// Since when another region offers itself, counted from the begin of the test.
    pub(crate) offers_from: Duration,
    pub(crate) attempt_limit: u32,
    /// Whether there is a second engine, which always answers.
    pub(crate) has_second: bool,
}

impl Default for TestSetup<'_> {
    fn default() -> Self {
        Self {
            document: DOCUMENT,
            engines: true,
            fate: BackendFate::Answers,
            peers: PeerFate::Ends,
            offers_from: Duration::ZERO,
            attempt_limit: 4,
            has_second: false,
        }
    }
}

/// A gateway in [`HERE`] whose neighbours are fakes.
pub(crate) struct TestGateway {
    pub(crate) world: FakeWorld,
    pub(crate) gateway: Gateway,
    pub(crate) client: Rc<CountedClient>,
    pub(crate) transport: Rc<CountedTransport>,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) context: ProcessContext,
}

impl TestGateway {
    pub(crate) fn new(document: &str, engines: bool, fate: BackendFate) -> Self {
        Self::with_claims(document, engines, fate, |context| {
            Rc::new(LocalClaims::first_start(context, ClaimSettings::default()))
        })
    }

    pub(crate) fn with_claims(
        document: &str,
        engines: bool,
        fate: BackendFate,
        claims: impl FnOnce(ProcessContext) -> Rc<dyn ClaimKeeper>,
    ) -> Self {
        let setup = TestSetup { document, engines, fate, ..TestSetup::default() };
        Self::with_setup(&setup, claims)
    }

    /// A gateway as `setup` wants it, with claims of its own.
    pub(crate) fn with(setup: &TestSetup<'_>) -> Self {
        let gateway = Self::with_setup(setup, |context| {
            Rc::new(LocalClaims::first_start(context, ClaimSettings::default()))
        });
        // A backend server that has just joined is trusted with a part of its slots only.
        for sequence in 2..=4 {
            gateway.world.run_for(SETTLED / 3);
            if setup.engines {
                announce(&gateway.gateway.backends, 1, sequence);
            }
            if setup.has_second {
                gateway.announce_second(sequence);
            }
        }
        gateway
    }

    fn with_setup(
        setup: &TestSetup<'_>,
        claims: impl FnOnce(ProcessContext) -> Rc<dyn ClaimKeeper>,
    ) -> Self {
        let TestSetup { document, engines, fate, peers, offers_from, attempt_limit, has_second: _ } =
            *setup;
        let (world, context) = FakeWorld::new(1);
        let clock = Rc::clone(&context.clock);
        let transport = Rc::new(CountedTransport {
            opened: Cell::new(0),
            fate: peers,
            clock: Rc::clone(&clock),
        });
        let client = Rc::new(CountedClient {
            sends: Cell::new(0),
            runs: Rc::default(),
            came: RefCell::default(),
            fate,
            clock: Rc::clone(&clock),
        });
        let metrics = Rc::new(MetricSet::new().unwrap());
        let backends = Rc::new(BackendTable::new(region(HERE), BackendConfig::default(), clock));
        if engines {
            announce(&backends, 1, 1);
        }
        let own = own_gateway();
        let mut config = GatewayConfig::new(own.vm.clone(), region(HERE), domain());
        config.attempt_limit = attempt_limit;
        let seams = RelaySeams {
            transport: Rc::clone(&transport) as _,
            events: Rc::new(NullSink),
            context: context.clone(),
        };
        let relay = BackendRelay::new(own, Rc::clone(&backends), RelayConfig::default(), seams);
        let document = Rc::new(ServiceDocument::try_from(document).unwrap());
        let parts = GatewayParts {
            documents: Rc::new(FixedConfig::new(ConfigView::new(1, [document]))),
            backends,
            relay,
            directory: Rc::new(InlandDirectory {
                from: MonotonicTime(SETTLED + offers_from),
                clock: Rc::clone(&context.clock),
            }),
            claims: claims(context.clone()),
            admission: AdmissionQueue::new(AdmissionSettings::default(), context.clone()),
            client: Rc::clone(&client) as _,
            transport: Rc::clone(&transport) as _,
            events: Rc::new(NullSink),
            metrics: Rc::clone(&metrics),
            context: context.clone(),
        };
        let gateway = Gateway::new(config, parts);
        gateway.backends_changed();
        Self { world, gateway, client, transport, metrics, context }
    }

    /// Sends a request of the workspace `roadmasters` and returns the reply's head, and its body
    /// where that is whole.
    pub(crate) fn post(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        let (request, body) = caller_request(path, body);
        let request = request.header("idempotency-key", "order-1");
        self.world.run_until(self.reply((request, body)))
    }

    /// The same for a request that may be repeated.
    pub(crate) fn ask(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        self.world.run_until(self.answer(path, body))
    }

    /// Lets the engines announce themselves anew, as serving.
    pub(crate) fn renew(&self, incarnation: u64, sequence: u64) {
        announce(&self.gateway.backends, incarnation, sequence);
        self.announce_second(sequence);
        self.gateway.backends_changed();
    }

    /// Lets the first engine announce that it leaves.
    pub(crate) fn announce_leaving(&self, sequence: u64) {
        let run = ("engine-1", 1, sequence);
        let text = announcement(run, "engine", address()).replace("serving", "leaving");
        announce_one(&self.gateway.backends, &text);
        self.gateway.backends_changed();
    }

    fn announce_second(&self, sequence: u64) {
        let text = announcement(("engine-2", 1, sequence), "engine", second_address());
        announce_one(&self.gateway.backends, &text);
    }

    /// The reply to a request that may be repeated.
    pub(crate) async fn answer(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        self.reply(caller_request(path, body)).await
    }

    /// Keeps the retry budget empty for some seconds, unless it is to be had.
    pub(crate) async fn spend_budget(&self, has_budget: bool) {
        let view = self.gateway.documents.current().unwrap();
        let document = Rc::clone(view.documents().next().unwrap());
        let budget = self.gateway.retry_budget(&document);
        for _ in 0..600 {
            while !has_budget && budget.try_retry(self.context.clock.now()) {}
            self.context.clock.sleep(Duration::from_millis(10)).await;
        }
    }

    async fn reply(&self, (request, body): (Builder, Bytes)) -> (Parts, Option<Bytes>) {
        let request = request.body(RequestBody::from_bytes(body)).unwrap();
        let (head, body) = self.gateway.handle(request, address()).await.into_parts();
        let body = match body {
            ReplyBody::Full(bytes) => Some(bytes),
            ReplyBody::Stream(mut pieces) => collect(&mut pieces, BODY_LIMIT).await,
        };
        (head, body)
    }
}

fn caller_request(path: &str, body: &str) -> (Builder, Bytes) {
    let request = Request::post(path).header(AUTHORIZATION, "Bearer demo-roadmasters");
    (request, Bytes::from(body.to_owned()))
}

pub(crate) fn region(name: &str) -> RegionName {
    RegionName::try_from(name).unwrap()
}

pub(crate) fn domain() -> FailureDomain {
    FailureDomain::try_from("a").unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// Where the second engine takes requests.
fn second_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10))
}

fn own_gateway() -> OwnGateway {
    let profile = GatewayProfile {
        region: region(HERE),
        domain: domain(),
        peer_address: address(),
        caller_address: address(),
        limit: 64,
    };
    let vm = VmName::try_from("columbia-1").unwrap();
    OwnGateway { vm, incarnation: Incarnation(1), profile }
}

/// Announces an engine and a plain service.
fn announce(backends: &BackendTable, incarnation: u64, sequence: u64) {
    for (name, kind) in [("engine-1", "engine"), ("desk-1", "service")] {
        let run = (name, incarnation, sequence);
        announce_one(backends, &announcement(run, kind, address()));
    }
}

fn announce_one(backends: &BackendTable, text: &str) {
    let announcement = Announcement::try_from(text.as_bytes()).unwrap();
    backends.announce(&announcement).unwrap();
}

fn announcement(
    (name, incarnation, sequence): (&str, u64, u64),
    kind: &str,
    address: SocketAddr,
) -> String {
    let (models, services) = match kind {
        "engine" => (vec!["ballast"], vec![]),
        _ => (vec![], vec!["order-desk"]),
    };
    serde_json::json!({
        "name": name, "incarnation": incarnation, "sequence": sequence, "state": "serving",
        "profile": {
            "region": HERE, "domain": "a", "address": address, "kind": kind,
            "models": models, "services": services,
            "capacity": {
                "slots": 4, "tokens_per_second": 100, "prefill_tokens_per_second": 10_000,
            },
        },
    })
    .to_string()
}
