//! Work for another region: the gateway here.

use {
    crate::{
        CallerRequest, CallerRequestId, Dispatcher,
        answer::{AnswerBody, AttemptAnswer},
        liveness::{RemoteLiveness, RunLiveness},
        outcome::{AttemptEnd, AttemptPlace, NotRunReason, UnknownReason},
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_dispatch::{FirstByteTimes, HandoverTimes, PromptShape, WorkItem},
    gullglade_fleet::{FleetFollower, GatewayRow},
    gullglade_http::BodyError,
    gullglade_peer::{PeerError, PeerFault, PeerStream, PeerTransport},
    gullglade_poison::ContentFingerprint,
    gullglade_units::{
        BackendName, MonotonicTime, ProcessContext, RegionName, ServiceName, WorkspaceName, decode,
        encode, rendezvous::score, timeout,
    },
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, pin::pin, rc::Rc, time::Duration},
};

/// The prefix of the methods that gateways serve to each other.
pub(crate) const PROXY_PREFIX: &str = "proxy";

/// Makes one attempt at a request in the region of the gateway that is called.
pub(crate) const FORWARD: &str = "proxy.forward";

/// Has a place used for good that a [`FORWARD`] reserved: the request is sent there. After a
/// [`LEASE`] its run goes on.
pub(crate) const COMMIT: &str = "proxy.commit";

/// Has such a place used for a run that is to replace one that has not ended. It ends by itself
/// where no [`COMMIT`] comes in time.
pub(crate) const LEASE: &str = "proxy.lease";

/// Does nothing, and keeps a session in use.
pub(crate) const WARM: &str = "proxy.warm";

/// A gateway of another region says at once that it has a request. Without that word after so many
/// times its usual time, the path to the region is taken for broken.
const ACCEPT_FACTOR: u32 = 4;

/// The least time for that word: a lost packet is sent again after 0.2 s.
const LEAST_ACCEPT: Duration = Duration::from_millis(450);

/// A region to which the path is broken gets no work for this long.
const BROKEN_PAUSE: Duration = Duration::from_millis(1_500);

/// A region that turned work of a service away gets no more of it for this long.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// The gateways of each other region to which a gateway keeps sessions. One of them may just have
/// been lost, and another be stopping.
const USUAL_GATEWAYS: usize = 3;

/// The limit on a call that keeps a session.
const WARM_LIMIT: Duration = Duration::from_secs(2);

/// How long a gateway of another region is waited for that looks for a place to reserve.
const MOST_RESERVE: Duration = Duration::from_secs(1);

/// How often a gateway is told something of a place that it reserved, until it answers.
const WORD_CALLS: u32 = 2;

/// The most gateways of a region that are tried for one request. Each takes a connection that may
/// hang until its time is up.
const MOST_GATEWAYS: usize = 2;

/// A request on its way to another region. It goes no further from there.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardCall {
    pub(crate) id: CallerRequestId,
    pub(crate) method: String,
    pub(crate) host: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    pub(crate) body: Bytes,
    pub(crate) service: ServiceName,
    /// The workspace of its caller. The gateway that the caller called has checked the key.
    pub(crate) workspace: Option<WorkspaceName>,
    /// How long it has been on its way.
    pub(crate) waited: Duration,
    /// How much longer anyone waits for its answer.
    pub(crate) left: Duration,
    pub(crate) prompt: Option<PromptShape>,
    pub(crate) resume_after: Option<u64>,
    /// Its fingerprint, where it was made.
    pub(crate) print: Option<ContentFingerprint>,
    /// Backend servers that it was sent to and that are not to be tried again.
    pub(crate) tried: Vec<BackendName>,
    /// The only backend server that may get it, where it goes back to one.
    pub(crate) returns_to: Option<BackendName>,
    /// Where given, the place is reserved until [`COMMIT`] names this number.
    pub(crate) reservation: Option<u64>,
}

/// What comes back. The end of the stream is the end of a whole body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ForwardPiece {
    /// The request has arrived, and this is what the region offers of its service: milliseconds
    /// until a first byte, by priority. None where it offers nothing of it.
    Accepted(Vec<u32>),
    Head {
        status: u16,
        headers: Vec<(String, Bytes)>,
        backend: BackendName,
    },
    Chunk(Bytes),
    NotRun(NotRunReason, Option<Duration>),
    Unknown(UnknownReason),
    /// A place is reserved for it.
    Placed,
    /// It waits for a place.
    Queued,
    /// Nothing has come from the backend server for a while.
    Waiting {
        backend: BackendName,
        /// Whether it has answered anybody lately, or nothing is overdue yet.
        is_at_work: bool,
    },
}

impl ForwardPiece {
    /// Whether it only tells that the request is in hand.
    fn is_progress(&self) -> bool {
        matches!(self, Self::Accepted(_) | Self::Queued | Self::Waiting { .. })
    }
}

impl ForwardCall {
    pub(crate) fn new(
        call: &CallerRequest,
        item: &WorkItem,
        resume_after: Option<u64>,
        now: MonotonicTime,
    ) -> Self {
        Self {
            id: call.id.clone(),
            method: call.method.to_string(),
            host: call.host.clone(),
            target: call.target.clone(),
            headers: pack_headers(&call.headers),
            body: call.body.clone(),
            service: item.service.clone(),
            workspace: item.workspace.as_ref().map(|workspace| workspace.name.clone()),
            waited: now.since(item.arrived),
            left: item.ends.since(now),
            prompt: call.prompt.clone(),
            resume_after,
            print: None,
            tried: item.tried.clone(),
            returns_to: item.returns_to.clone(),
            reservation: None,
        }
    }
}

impl ForwardCall {
    /// So much more of its time is over.
    fn spend(&mut self, time: Duration) {
        self.waited += time;
        self.left = self.left.saturating_sub(time);
    }
}

pub(crate) fn pack_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let pack = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(pack).collect()
}

/// The headers as they were packed. Gateways only pack what was parsed before, so nothing is lost
/// by leaving out what cannot be a header.
pub(crate) fn unpack_headers(packed: Vec<(String, Bytes)>) -> HeaderMap {
    let unpack = |(name, value): (String, Bytes)| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_maybe_shared(value).ok()?))
    };
    packed.into_iter().filter_map(unpack).collect()
}

/// Sends work to gateways of other regions.
pub(crate) struct Forwarder {
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) fleet: Rc<FleetFollower>,
    pub(crate) context: ProcessContext,
    pub(crate) dispatcher: Rc<Dispatcher>,
}

impl Forwarder {
    /// Has a gateway of `region` make one attempt.
    pub(crate) async fn send(
        &self,
        region: &RegionName,
        mut call: ForwardCall,
        may_repeat: bool,
        liveness: RunLiveness,
    ) -> AttemptEnd {
        match self.open(region, &mut call).await {
            OpenedForward::Stream(_, stream) => {
                let mut pieces = PieceStream { stream, liveness };
                let Some(first) =
                    self.accepted(region, &call.service, call.left, &mut pieces, may_repeat).await
                else {
                    return AttemptEnd::Unknown(UnknownReason::LostAway);
                };
                self.head(region, &call.service, call.left, pieces, first).await
            }
            OpenedForward::Lost => self.lost(region),
            OpenedForward::NotSent => AttemptEnd::NotRun(NotRunReason::RefusedAway, None),
        }
    }

    /// Has a gateway of `region` reserve a place for the request; `None` where it has none now, or
    /// says nothing. Dropped, it is given back.
    pub(crate) async fn reserve(
        &self,
        region: &RegionName,
        call: ForwardCall,
    ) -> Option<ReservedForward> {
        let token = self.context.random.next_u64();
        let mut call = ForwardCall { reservation: Some(token), ..call };
        let OpenedForward::Stream(gateway, stream) = self.open(region, &mut call).await else {
            return None;
        };
        let liveness = RunLiveness::Away(RemoteLiveness::new(&self.context.clock));
        let mut pieces = PieceStream { stream, liveness };
        let service = &call.service;
        let clock = &*self.context.clock;
        let asked = clock.now();
        let first = self.accepted(region, service, call.left, &mut pieces, true).await?;
        let round_trip = clock.now().since(asked);
        let answer = next_content(&mut pieces, first);
        match timeout(clock, call.left.min(MOST_RESERVE), answer).await? {
            Some(Ok(ForwardPiece::Placed)) => Some(ReservedForward {
                region: region.clone(),
                gateway,
                round_trip,
                token,
                stream: pieces.stream,
            }),
            Some(Ok(ForwardPiece::NotRun(NotRunReason::RefusedAway, _))) => {
                self.refused(region, service);
                None
            }
            _ => None,
        }
    }

    /// Has the request sent at the place that is reserved for it; with `times`, to replace a run
    /// that has not ended.
    pub(crate) async fn commit(
        &self,
        reserved: ReservedForward,
        service: &ServiceName,
        left: Duration,
        liveness: RunLiveness,
        times: Option<HandoverTimes>,
        begun: oneshot::Sender<()>,
    ) -> AttemptEnd {
        let ReservedForward { region, gateway, token, stream, .. } = reserved;
        let mut pieces = PieceStream { stream, liveness };
        let (method, body, limit, words) = match times {
            Some(times) => {
                (LEASE, encode(&(token, times.lease)), times.probe_timeout, times.probes)
            }
            None => (COMMIT, encode(&token), self.accept_limit(&region), 1),
        };
        let body = Bytes::from(body);
        let word = async {
            for _ in 0..words {
                match tell(&*self.transport, gateway, method, &body, limit.min(left)).await {
                    WordEnd::Heard => {}
                    end => return end,
                }
            }
            WordEnd::Heard
        };
        // Where an answer is lost, what comes of the request tells as much.
        let first = match select(pin!(pieces.next()), pin!(word)).await {
            Either::Left((first, _)) => Some(first),
            Either::Right((WordEnd::Heard, next)) => {
                // Nobody waits for it where no other run is to end.
                let _: Result<(), ()> = begun.send(());
                timeout(&*self.context.clock, left, next).await
            }
            Either::Right((WordEnd::Lost, _)) => return self.lost(&region),
            Either::Right((WordEnd::Refused, _)) => {
                return AttemptEnd::NotRun(NotRunReason::Revoked, None);
            }
        };
        match first {
            Some(first) => self.head(&region, service, left, pieces, first).await,
            None => AttemptEnd::Unknown(UnknownReason::Overdue),
        }
    }

    /// Has a run go on that was begun with a lease.
    pub(crate) fn keep(&self, run: LeasedRun) {
        let transport = Rc::clone(&self.transport);
        self.context.spawner.spawn(Box::pin(async move {
            let LeasedRun { gateway, token, limit } = run;
            let body = Bytes::from(encode(&token));
            // Where it is lost, the run ends, and its reply says so.
            let _: WordEnd = tell(&*transport, gateway, COMMIT, &body, limit).await;
        }));
    }

    /// Sends the request to a gateway of `region`.
    async fn open(&self, region: &RegionName, call: &mut ForwardCall) -> OpenedForward {
        // The time on the way there, which the gateway there cannot know. It cuts an answer at the
        // end of what is left, so of that no more is taken than the way takes at least.
        let least = self.dispatcher.with_scheduler(|scheduler, _| scheduler.min_region_rtt(region));
        call.waited += self.round_trip(region) / 2;
        call.left = call.left.saturating_sub(least / 2);
        for gateway in self.some_gateways(region) {
            let began = self.context.clock.now();
            let to = gateway.profile.peer_address;
            let opening = self.transport.open(to, FORWARD, Bytes::from(encode(call)));
            let limit = call.left.min(self.accept_limit(region));
            let opened = timeout(&*self.context.clock, limit, opening).await;
            call.spend(self.context.clock.now().since(began));
            match opened {
                Some(Ok(stream)) => return OpenedForward::Stream(to, stream),
                // A session that does not come about in this time has sent nothing.
                Some(Err(error)) if error.nothing_sent() => {}
                Some(Err(_)) => return OpenedForward::Lost,
                None => {}
            }
        }
        self.pause(region, BROKEN_PAUSE);
        OpenedForward::NotSent
    }

    /// How long the word of arrival may take.
    pub(crate) fn accept_limit(&self, region: &RegionName) -> Duration {
        LEAST_ACCEPT.max(self.round_trip(region) * ACCEPT_FACTOR)
    }

    /// The usual time of a word to the region and its answer.
    pub(crate) fn round_trip(&self, region: &RegionName) -> Duration {
        let usual_ms =
            self.dispatcher.with_scheduler(|scheduler, _| scheduler.region_rtt_ms(region));
        Duration::from_secs_f64(usual_ms / 1_000.0)
    }

    /// Notes what the region offers, where the first piece tells it.
    fn note_word(&self, region: &RegionName, service: &ServiceName, first: Option<&NextPiece>) {
        let Some(Ok(ForwardPiece::Accepted(offer))) = first else { return };
        if offer.is_empty() {
            return;
        }
        let word = FirstByteTimes::from_millis(offer);
        self.dispatcher.with_scheduler(|scheduler, now| {
            scheduler.note_region_offer(region, service, word, now);
        });
    }

    fn pause(&self, region: &RegionName, pause: Duration) {
        self.dispatcher.with_scheduler(|scheduler, now| scheduler.pause_region(region, pause, now));
    }

    fn lost(&self, region: &RegionName) -> AttemptEnd {
        self.pause(region, BROKEN_PAUSE);
        AttemptEnd::Unknown(UnknownReason::LostAway)
    }

    /// Keeps sessions to this gateway's usual gateways of other regions. Without one the first
    /// request to a region waits for a dial and a handshake: 0.4 s over links of 55 ms.
    pub(crate) fn keep_sessions_alive(&self) {
        let own = &self.fleet.profile().region;
        let regions: BTreeSet<RegionName> = self.fleet.read(|view| {
            let gateways = view.gateways(self.context.clock.now());
            gateways.map(|g| g.profile.region).filter(|region| region != own).collect()
        });
        for gateway in regions.iter().flat_map(|region| self.usual_gateways(region)) {
            let transport = Rc::clone(&self.transport);
            self.context.spawner.spawn(Box::pin(async move {
                let to = gateway.profile.peer_address;
                // The transport tells of sessions that are lost and regained.
                let _: Result<Bytes, PeerError> =
                    transport.call(to, WARM, Bytes::new(), WARM_LIMIT).await;
            }));
        }
    }

    /// The gateways of the region that this one usually sends to: the same ones as long as they
    /// are ready, and others for each gateway, so that all of them get their share.
    fn usual_gateways(&self, region: &RegionName) -> Vec<GatewayRow> {
        let now = self.context.clock.now();
        let mut rows = self.fleet.read(|view| view.serving_gateways(region, now));
        let own = &self.fleet.profile().vm;
        rows.sort_by_cached_key(|row| Reverse(score(own.as_str(), row.profile.vm.as_str())));
        rows.truncate(USUAL_GATEWAYS);
        rows
    }

    /// A few of them in a random order.
    fn some_gateways(&self, region: &RegionName) -> Vec<GatewayRow> {
        let mut rows = self.usual_gateways(region);
        let mut drawn = Vec::new();
        while drawn.len() < MOST_GATEWAYS && !rows.is_empty() {
            let at = self.context.random.below(rows.len() as u64) as usize;
            drawn.push(rows.swap_remove(at));
        }
        drawn
    }

    /// The first piece of the reply, which tells that the request has arrived. `None` where the
    /// path is taken for broken, as only for a request that may be repeated.
    async fn accepted(
        &self,
        region: &RegionName,
        service: &ServiceName,
        left: Duration,
        pieces: &mut PieceStream,
        may_repeat: bool,
    ) -> Option<FirstPiece> {
        let clock = &*self.context.clock;
        let began = clock.now();
        let limit = left.min(self.accept_limit(region));
        let mut first = timeout(clock, limit, pieces.next()).await;
        if first.is_none() {
            // Other requests need not find out for themselves.
            self.pause(region, BROKEN_PAUSE);
            let rest = if may_repeat { limit } else { left };
            first = timeout(clock, rest, pieces.next()).await;
        }
        if let Some(first) = &first {
            let took = clock.now().since(began);
            self.dispatcher.with_scheduler(|scheduler, _| scheduler.note_region_rtt(region, took));
            self.note_word(region, service, first.as_ref());
        }
        first
    }

    /// The head of the answer, or how the attempt ended without one.
    async fn head(
        &self,
        region: &RegionName,
        service: &ServiceName,
        left: Duration,
        mut pieces: PieceStream,
        first: FirstPiece,
    ) -> AttemptEnd {
        let content = next_content(&mut pieces, first);
        let Some(content) = timeout(&*self.context.clock, left, content).await else {
            return AttemptEnd::Unknown(UnknownReason::Overdue);
        };
        match content {
            Some(Ok(ForwardPiece::Head { status, headers, backend: _ })) => {
                let Ok(status) = StatusCode::from_u16(status) else { return self.lost(region) };
                AttemptEnd::Answer(Box::new(AttemptAnswer {
                    place: AttemptPlace::Away(region.clone()),
                    liveness: pieces.liveness.clone(),
                    status,
                    headers: unpack_headers(headers),
                    body: AnswerBody::Forward(ForwardBody { pieces }),
                }))
            }
            Some(Ok(ForwardPiece::NotRun(reason, wait))) => {
                if reason == NotRunReason::RefusedAway {
                    self.refused(region, service);
                }
                AttemptEnd::NotRun(reason, wait)
            }
            Some(Ok(ForwardPiece::Unknown(reason))) => AttemptEnd::Unknown(reason),
            _ => self.lost(region),
        }
    }

    /// The region turned work of a service away.
    fn refused(&self, region: &RegionName, service: &ServiceName) {
        self.dispatcher.with_scheduler(|scheduler, now| {
            scheduler.pause_service(region, service, REFUSED_PAUSE, now);
        });
    }
}

/// What became of a request that is sent to another region.
enum OpenedForward {
    /// It was sent to this gateway, and this will bring the reply.
    Stream(SocketAddr, PeerStream),
    /// It may have been sent.
    Lost,
    /// It certainly was not.
    NotSent,
}

/// A place that a gateway of another region has reserved for a request. Dropped, it is given back.
pub(crate) struct ReservedForward {
    pub(crate) region: RegionName,
    /// How long the word took that the call for it had arrived.
    pub(crate) round_trip: Duration,
    gateway: SocketAddr,
    token: u64,
    stream: PeerStream,
}

impl ReservedForward {
    /// What keeps the run that begins there with a lease.
    pub(crate) fn leased(&self, times: HandoverTimes) -> LeasedRun {
        let Self { gateway, token, .. } = *self;
        LeasedRun { gateway, token, limit: times.commit_timeout }
    }
}

/// A run in another region that ends by itself unless its gateway is told to keep it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeasedRun {
    gateway: SocketAddr,
    token: u64,
    /// How long the answer to one word is waited for.
    limit: Duration,
}

/// What became of a word to a gateway of another region.
enum WordEnd {
    /// It was heard and obeyed.
    Heard,
    /// It was not obeyed: nothing is reserved under that number.
    Refused,
    /// It may have been heard.
    Lost,
}

/// The first piece of a reply; `None` where it ended without one.
type FirstPiece = Option<NextPiece>;

/// One piece of a reply, or why there is none.
type NextPiece = Result<ForwardPiece, PeerError>;

/// A reply from another region, piece by piece.
pub(crate) struct PieceStream {
    stream: PeerStream,
    liveness: RunLiveness,
}

impl PieceStream {
    /// The next piece; `None` after the last one of a whole reply.
    async fn next(&mut self) -> Option<NextPiece> {
        let bytes = match self.stream.next().await? {
            Ok(bytes) => bytes,
            Err(error) => return Some(Err(error)),
        };
        let piece = decode(&bytes).map_err(|e| PeerFault::malformed(e).into());
        if let (Ok(piece), RunLiveness::Away(liveness)) = (&piece, &self.liveness) {
            note_liveness(liveness, piece);
        }
        Some(piece)
    }

    /// The next piece that is not only a sign of life.
    async fn next_content(&mut self) -> Option<NextPiece> {
        loop {
            match self.next().await {
                Some(Ok(piece)) if piece.is_progress() => {}
                piece => return piece,
            }
        }
    }
}

/// Takes note of what a piece says of the run.
fn note_liveness(liveness: &RemoteLiveness, piece: &ForwardPiece) {
    match piece {
        ForwardPiece::Waiting { backend, is_at_work } => {
            liveness.note_backend(backend.clone());
            liveness.note(*is_at_work);
        }
        ForwardPiece::Head { backend, .. } => {
            liveness.note_backend(backend.clone());
            liveness.note(true);
        }
        _ => liveness.note(true),
    }
}

/// Tells a gateway something of a place that it reserved, again where no answer comes.
async fn tell(
    transport: &dyn PeerTransport,
    gateway: SocketAddr,
    method: &'static str,
    body: &Bytes,
    limit: Duration,
) -> WordEnd {
    let mut is_certain = true;
    for _ in 0..WORD_CALLS {
        match transport.call(gateway, method, body.clone(), limit).await {
            Ok(answer) => match decode(&answer) {
                Ok(false) if is_certain => return WordEnd::Refused,
                Ok(true) => return WordEnd::Heard,
                // The word before this one may have been heard.
                Ok(false) | Err(_) => return WordEnd::Lost,
            },
            Err(PeerError::Fault { .. }) => return WordEnd::Refused,
            Err(error) if error.nothing_sent() && is_certain => return WordEnd::Refused,
            Err(_) => is_certain = false,
        }
    }
    WordEnd::Lost
}

/// The piece after the word that the request has arrived. `first`: what came in time for it.
async fn next_content(pieces: &mut PieceStream, first: FirstPiece) -> FirstPiece {
    match first {
        Some(Ok(piece)) if piece.is_progress() => pieces.next_content().await,
        first => first,
    }
}

/// A body that comes from another region.
pub(crate) struct ForwardBody {
    pieces: PieceStream,
}

impl ForwardBody {
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let lost = |reason: String| Some(Err(BodyError::Incomplete { reason }));
        match self.pieces.next_content().await {
            None => None,
            Some(Ok(ForwardPiece::Chunk(bytes))) => Some(Ok(bytes)),
            Some(Ok(ForwardPiece::Unknown(reason))) => lost(format!("there: {reason}")),
            Some(Ok(_)) => lost("a second head came".to_owned()),
            Some(Err(error)) => lost(error.to_string()),
        }
    }
}
