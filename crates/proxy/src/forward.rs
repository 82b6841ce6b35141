//! Forwarding of requests to other gateways, client side: to those of other regions, and to those
//! of the own region while this gateway has no path to its backend servers.

use {
    crate::{
        Dispatcher,
        forward_message::{ForwardFrame, ForwardRequest, unpack_headers},
        gateway_choice::{CountedForward, ForwardCounts, GatewayOption, choose_gateways},
        liveness::{RemoteLiveness, RunLiveness},
        outcome::{AttemptOutcome, AttemptTarget, NotRunReason, UnknownReason},
        response::{AttemptResponse, ResponseBody},
    },
    bytes::Bytes,
    futures::{
        channel::oneshot,
        future::{Either, select},
    },
    gullglade_dispatch::{FirstByteTimes, HandoverTimes},
    gullglade_event::{EventDraft, EventSink, Level},
    gullglade_fleet::{
        FleetFollower, GatewayProfile, GatewayRow, are_equal_weights, gateway_weights,
    },
    gullglade_http::BodyError,
    gullglade_peer::{PeerError, PeerFault, PeerStream, PeerTransport},
    gullglade_units::{
        ProcessContext, RegionName, ServiceName, VmName, decode, encode, rendezvous::score, timeout,
    },
    http::StatusCode,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
};

/// Prefix of the peer methods that gateways serve to each other.
pub(crate) const PROXY_PREFIX: &str = "proxy";

/// Peer method: makes one attempt at a request in the region of the called gateway.
pub(crate) const FORWARD: &str = "proxy.forward";

/// Peer method: commits a place that a [`FORWARD`] reserved, so that the request is sent there.
/// After a [`LEASE`] it lets the run continue.
pub(crate) const COMMIT: &str = "proxy.commit";

/// Peer method: uses such a place for a run that is to replace one that has not ended. The run ends
/// by itself unless a [`COMMIT`] comes in time.
pub(crate) const LEASE: &str = "proxy.lease";

/// Peer method: does nothing, and keeps a session alive.
pub(crate) const KEEP_ALIVE: &str = "proxy.warm";

/// The other gateway confirms at once that a request has arrived. If no confirmation comes within
/// the usual round trip multiplied by this factor, the gateway is considered lost.
const ACCEPT_FACTOR: u32 = 4;

/// Minimum time to wait for that confirmation: a lost packet is retransmitted after 0.2 s.
const MIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(450);

/// Time for which a gateway gets no work after it could not be reached, and a region after the path
/// to it broke.
const BROKEN_PATH_PAUSE: Duration = Duration::from_millis(1_500);

/// Time for which a region gets no work of a service that it refused.
const REFUSED_SERVICE_PAUSE: Duration = Duration::from_millis(200);

/// Number of gateways in each other region to which sessions are kept. One of them may just have
/// been lost while another one is stopping.
const PREFERRED_GATEWAYS: usize = 3;

/// Timeout of a call that keeps a session alive.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time to wait for another gateway to reserve a place.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most calls of one command about a reserved place until it is acknowledged.
const COMMAND_TRIES: u32 = 2;

/// Most gateways of a region that are tried for one request. Each try takes a connection that may
/// hang until its timeout.
const MAX_GATEWAYS_TRIED: usize = 2;

/// Forwards requests to other gateways.
pub(crate) struct Forwarder {
    pub(crate) transport: Rc<dyn PeerTransport>,
    pub(crate) fleet: Rc<FleetFollower>,
    pub(crate) context: ProcessContext,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) events: Rc<dyn EventSink>,
    /// Requests of this gateway in progress at others.
    pub(crate) counts: ForwardCounts,
}

impl Forwarder {
    /// Forwards a request to a gateway of `region`, which makes one attempt.
    pub(crate) async fn send(
        &self,
        region: &RegionName,
        mut request: ForwardRequest,
        may_repeat: bool,
        liveness: RunLiveness,
    ) -> AttemptOutcome {
        match self.open(region, &mut request).await {
            OpenedForward::Stream(gateway, stream) => {
                let mut frames = FrameStream { stream, liveness };
                let target = ForwardTarget { region, gateway: &gateway, service: &request.service };
                let accepted =
                    self.await_accepted(target, request.left, &mut frames, may_repeat).await;
                let Some(first) = accepted else {
                    return AttemptOutcome::Unknown(UnknownReason::LostAway);
                };
                self.read_head(target, request.left, frames, first).await
            }
            OpenedForward::Lost => AttemptOutcome::Unknown(UnknownReason::LostAway),
            OpenedForward::NotSent => AttemptOutcome::NotRun(NotRunReason::RefusedAway, None),
        }
    }

    /// Has a gateway of `region` reserve a place for the request. Returns `None` if it has no place
    /// now or does not reply. Dropping the reservation releases the place.
    pub(crate) async fn reserve(
        &self,
        region: &RegionName,
        request: ForwardRequest,
    ) -> Option<ReservedForward> {
        let token = self.context.random.next_u64();
        let mut request = ForwardRequest { reservation: Some(token), ..request };
        let OpenedForward::Stream(gateway, stream) = self.open(region, &mut request).await else {
            return None;
        };
        let liveness = RunLiveness::Remote(RemoteLiveness::new(&self.context.clock));
        let mut frames = FrameStream { stream, liveness };
        let service = &request.service;
        let clock = &*self.context.clock;
        let sent_at = clock.now();
        let target = ForwardTarget { region, gateway: &gateway, service };
        let first = self.await_accepted(target, request.left, &mut frames, true).await?;
        let round_trip = clock.now().since(sent_at);
        let content = next_content(&mut frames, first);
        match timeout(clock, request.left.min(RESERVE_TIMEOUT), content).await? {
            Some(Ok(ForwardFrame::Placed)) => Some(ReservedForward {
                region: region.clone(),
                gateway,
                round_trip,
                token,
                stream: frames.stream,
            }),
            Some(Ok(ForwardFrame::NotRun(reason, _))) => {
                self.note_refusal(target, reason);
                None
            }
            _ => None,
        }
    }

    /// Has the request sent to the place that is reserved for it; with `times`, to replace a run
    /// that has not ended.
    pub(crate) async fn commit(
        &self,
        reserved: ReservedForward,
        service: &ServiceName,
        left: Duration,
        liveness: RunLiveness,
        times: Option<HandoverTimes>,
        begun: oneshot::Sender<()>,
    ) -> AttemptOutcome {
        let ReservedForward { region, gateway, token, stream, .. } = reserved;
        let mut frames = FrameStream { stream, liveness };
        let (method, body, limit, commands) = match times {
            Some(times) => {
                (LEASE, encode(&(token, times.lease)), times.probe_timeout, times.probes)
            }
            None => (COMMIT, encode(&token), self.accept_timeout(&region), 1),
        };
        let body = Bytes::from(body);
        let command = async {
            for _ in 0..commands {
                let to = gateway.peer_address;
                match send_command(&*self.transport, to, method, &body, limit.min(left)).await {
                    CommandOutcome::Acknowledged => {}
                    end => return end,
                }
            }
            CommandOutcome::Acknowledged
        };
        // If the acknowledgement is lost, the frames of the reply show as well that the command
        // arrived.
        let first = match select(pin!(frames.next()), pin!(command)).await {
            Either::Left((first, _)) => Some(first),
            Either::Right((CommandOutcome::Acknowledged, next)) => {
                // The receiver is gone if there is no other run to end.
                let _: Result<(), ()> = begun.send(());
                timeout(&*self.context.clock, left, next).await
            }
            Either::Right((CommandOutcome::Lost, _)) => return self.mark_lost(&region, &gateway),
            Either::Right((CommandOutcome::Rejected, _)) => {
                return AttemptOutcome::NotRun(NotRunReason::Revoked, None);
            }
        };
        match first {
            Some(first) => {
                let target = ForwardTarget { region: &region, gateway: &gateway, service };
                self.read_head(target, left, frames, first).await
            }
            None => AttemptOutcome::Unknown(UnknownReason::Overdue),
        }
    }

    /// Lets a run continue that began with a lease.
    pub(crate) fn keep_run(&self, run: LeasedRun) {
        let transport = Rc::clone(&self.transport);
        self.context.spawner.spawn(Box::pin(async move {
            let LeasedRun { gateway, token, limit } = run;
            let body = Bytes::from(encode(&token));
            // If the command is lost, the run ends and its reply says so.
            let _: CommandOutcome = send_command(&*transport, gateway, COMMIT, &body, limit).await;
        }));
    }

    /// Opens a forward stream to a gateway of `region`, and sends the request.
    async fn open(&self, region: &RegionName, request: &mut ForwardRequest) -> OpenedForward {
        // The gateway there cannot know the time in transit. It cuts off a response when no time is
        // left, so no more than the minimum transit time is deducted from that.
        let min_delay =
            self.dispatcher.with_scheduler(|scheduler, _| scheduler.min_region_rtt(region));
        request.waited += self.round_trip(region) / 2;
        request.left = request.left.saturating_sub(min_delay / 2);
        let gateways = self.pick_gateways(region, &request.service);
        if gateways.is_empty() {
            self.note_refused(region, &request.service);
            return OpenedForward::NotSent;
        }
        for gateway in gateways {
            let began = self.context.clock.now();
            let to = gateway.profile.peer_address;
            let opening = self.transport.open(to, FORWARD, Bytes::from(encode(request)));
            let accept_timeout = self.accept_timeout(region);
            let limit = request.left.min(accept_timeout);
            let opened = timeout(&*self.context.clock, limit, opening).await;
            request.deduct_time(self.context.clock.now().since(began));
            match opened {
                Some(Ok(stream)) => {
                    let counted = self.counts.begin(&gateway.profile.vm);
                    let stream = CountedStream { stream, _counted: counted };
                    return OpenedForward::Stream(Box::new(gateway.profile), stream);
                }
                // If no session is established within this time, nothing has been sent.
                Some(Err(error)) if error.nothing_sent() => {}
                Some(Err(_)) => {
                    self.note_lost(region, &gateway.profile);
                    return OpenedForward::Lost;
                }
                // The request has no time left, which says nothing about the gateway.
                None if limit < accept_timeout => return OpenedForward::NotSent,
                None => {}
            }
            self.note_lost(region, &gateway.profile);
        }
        OpenedForward::NotSent
    }

    /// Returns the time limit for the confirmation of arrival.
    pub(crate) fn accept_timeout(&self, region: &RegionName) -> Duration {
        MIN_ACCEPT_TIMEOUT.max(self.round_trip(region) * ACCEPT_FACTOR)
    }

    /// Returns the usual round trip to the region.
    pub(crate) fn round_trip(&self, region: &RegionName) -> Duration {
        let usual_ms =
            self.dispatcher.with_scheduler(|scheduler, _| scheduler.region_rtt_ms(region));
        Duration::from_secs_f64(usual_ms / 1_000.0)
    }

    /// Records the offer of the region, if the first frame contains one.
    fn note_offer(&self, region: &RegionName, service: &ServiceName, first: Option<&NextFrame>) {
        let Some(Ok(ForwardFrame::Accepted(offer))) = first else { return };
        if offer.is_empty() {
            return;
        }
        let first_byte = FirstByteTimes::from_millis(offer);
        self.dispatcher.with_scheduler(|scheduler, now| {
            scheduler.note_region_offer(region, service, first_byte, now);
        });
    }

    /// Records that a gateway of `region` could not be reached.
    fn note_lost(&self, region: &RegionName, gateway: &GatewayProfile) {
        let count = self.preferred_gateways(region, |_| true).len();
        self.dispatcher.with_scheduler(|scheduler, now| {
            scheduler.note_gateway_lost(region, &gateway.vm, count, BROKEN_PATH_PAUSE, now);
        });
    }

    fn mark_lost(&self, region: &RegionName, gateway: &GatewayProfile) -> AttemptOutcome {
        self.note_lost(region, gateway);
        AttemptOutcome::Unknown(UnknownReason::LostAway)
    }

    /// Keeps sessions to this gateway's preferred gateways of other regions alive. Without a
    /// session, the first request to a region waits for a connection and a handshake: 0.4 s over
    /// links of 55 ms.
    pub(crate) fn keep_sessions_alive(&self) {
        let own = &self.fleet.profile().region;
        let regions: BTreeSet<RegionName> = self.fleet.read(|view| {
            let gateways = view.gateways(self.context.clock.now());
            gateways.map(|g| g.profile.region).filter(|region| region != own).collect()
        });
        let any = |_: &GatewayRow| true;
        for gateway in regions.iter().flat_map(|region| self.preferred_gateways(region, any)) {
            let transport = Rc::clone(&self.transport);
            self.context.spawner.spawn(Box::pin(async move {
                let to = gateway.profile.peer_address;
                // The transport logs sessions that are lost and regained.
                let _: Result<Bytes, PeerError> =
                    transport.call(to, KEEP_ALIVE, Bytes::new(), KEEP_ALIVE_TIMEOUT).await;
            }));
        }
    }

    /// Returns the gateways of the region that this one prefers: a stable selection by rendezvous
    /// hashing among those that `is_usable` allows, while they are ready. It is different for each
    /// gateway so that the load is spread.
    fn preferred_gateways(
        &self,
        region: &RegionName,
        is_usable: impl Fn(&GatewayRow) -> bool,
    ) -> Vec<GatewayRow> {
        let now = self.context.clock.now();
        let mut rows = self.fleet.read(|view| view.serving_gateways(region, now));
        let own = &self.fleet.profile().vm;
        rows.retain(|row| row.profile.vm != *own && is_usable(row));
        rows.sort_by_cached_key(|row| Reverse(score(own.as_str(), row.profile.vm.as_str())));
        rows.truncate(PREFERRED_GATEWAYS);
        rows
    }

    /// Returns a few of the preferred gateways with a path to `service`, in the order in which they
    /// are tried: random, or by capacity in a region of different VMs.
    fn pick_gateways(&self, region: &RegionName, service: &ServiceName) -> Vec<GatewayRow> {
        let has_path = |row: &GatewayRow| {
            self.dispatcher.with_scheduler(|scheduler, now| {
                scheduler.may_forward_to(&row.profile.vm, service, now)
            })
        };
        let mut rows = self.preferred_gateways(region, has_path);
        if let Some(weights) = self.region_weights(region) {
            let option = |row: &GatewayRow| GatewayOption {
                weight: weights.get(&row.profile.vm).copied().unwrap_or(1.0),
                in_progress: self.counts.at(&row.profile.vm),
            };
            let options: Vec<_> = rows.iter().map(option).collect();
            let chosen = choose_gateways(&options, &*self.context.random);
            return chosen.into_iter().map(|index| rows[index].clone()).collect();
        }
        let mut picked = Vec::new();
        while picked.len() < MAX_GATEWAYS_TRIED && !rows.is_empty() {
            let at = self.context.random.below(rows.len() as u64) as usize;
            picked.push(rows.swap_remove(at));
        }
        picked
    }

    /// Returns the weights of the known gateways of the region; `None` if they are equal.
    fn region_weights(&self, region: &RegionName) -> Option<BTreeMap<VmName, f64>> {
        let now = self.context.clock.now();
        let rows = self.fleet.read(|view| view.serving_gateways(region, now));
        let capacities: Vec<_> = rows.iter().map(|row| row.profile.capacity).collect();
        let weights = gateway_weights(&capacities);
        let is_mixed = !are_equal_weights(&weights);
        is_mixed.then(|| rows.into_iter().map(|row| row.profile.vm).zip(weights).collect())
    }

    /// Waits for the first frame of the reply, which confirms that the request has arrived. Returns
    /// `None` if the path is considered broken, which only happens for a request that may be
    /// repeated.
    async fn await_accepted(
        &self,
        target: ForwardTarget<'_>,
        left: Duration,
        frames: &mut FrameStream,
        may_repeat: bool,
    ) -> Option<FirstFrame> {
        let ForwardTarget { region, gateway, service } = target;
        let clock = &*self.context.clock;
        let began = clock.now();
        let accept_timeout = self.accept_timeout(region);
        let limit = left.min(accept_timeout);
        let mut first = timeout(clock, limit, frames.next()).await;
        if first.is_none() {
            // Spares other requests from waiting for the same gateway.
            if limit == accept_timeout {
                self.note_lost(region, gateway);
            }
            let rest = if may_repeat { limit } else { left };
            first = timeout(clock, rest, frames.next()).await;
        }
        if let Some(first) = &first {
            let took = clock.now().since(began);
            self.dispatcher.with_scheduler(|scheduler, _| {
                scheduler.note_region_rtt(region, took);
                if matches!(first, Some(Ok(_))) {
                    scheduler.note_gateway_contact(region, &gateway.vm);
                }
            });
            self.note_offer(region, service, first.as_ref());
        }
        first
    }

    /// Waits for the head of the response, or for the outcome of the attempt without one.
    async fn read_head(
        &self,
        target: ForwardTarget<'_>,
        left: Duration,
        mut frames: FrameStream,
        first: FirstFrame,
    ) -> AttemptOutcome {
        let region = target.region;
        let content = next_content(&mut frames, first);
        let Some(content) = timeout(&*self.context.clock, left, content).await else {
            return AttemptOutcome::Unknown(UnknownReason::Overdue);
        };
        match content {
            Some(Ok(ForwardFrame::Head { status, headers, backend: _ })) => {
                let Ok(status) = StatusCode::from_u16(status) else {
                    return self.mark_lost(region, target.gateway);
                };
                let ForwardTarget { gateway, service, .. } = target;
                self.dispatcher.with_scheduler(|scheduler, _| {
                    scheduler.note_gateway_with_path(&gateway.vm, service);
                });
                AttemptOutcome::Response(Box::new(AttemptResponse {
                    target: AttemptTarget::Remote(region.clone()),
                    liveness: frames.liveness.clone(),
                    status,
                    headers: unpack_headers(headers),
                    body: ResponseBody::Forward(ForwardBody { frames }),
                }))
            }
            Some(Ok(ForwardFrame::NotRun(reason, wait))) => {
                self.note_refusal(target, reason);
                AttemptOutcome::NotRun(reason, wait)
            }
            Some(Ok(ForwardFrame::Unknown(reason))) => AttemptOutcome::Unknown(reason),
            _ => self.mark_lost(region, target.gateway),
        }
    }

    /// Records why a gateway refused a request: a gateway without a path speaks for itself only.
    fn note_refusal(&self, target: ForwardTarget<'_>, reason: NotRunReason) {
        let ForwardTarget { region, gateway, service } = target;
        match reason {
            NotRunReason::NoPath => {
                let is_news = self.dispatcher.with_scheduler(|scheduler, now| {
                    scheduler.note_gateway_without_path(&gateway.vm, service, now)
                });
                if is_news {
                    let event = EventDraft::new("gateway.without_path").level(Level::Warn);
                    let event = event.field("gateway", &gateway.vm).field("region", region);
                    self.events.emit(event.field("service", service));
                }
            }
            NotRunReason::RefusedAway => self.note_refused(region, service),
            _ => {}
        }
    }

    /// Records that the region refused work of a service.
    fn note_refused(&self, region: &RegionName, service: &ServiceName) {
        self.dispatcher.with_scheduler(|scheduler, now| {
            scheduler.pause_service(region, service, REFUSED_SERVICE_PAUSE, now);
        });
    }
}

/// The gateway that a request of a service is forwarded to.
#[derive(Clone, Copy)]
struct ForwardTarget<'a> {
    region: &'a RegionName,
    gateway: &'a GatewayProfile,
    service: &'a ServiceName,
}

/// The reply of another gateway to a request, which is in progress there until this is dropped.
struct CountedStream {
    stream: PeerStream,
    _counted: CountedForward,
}

/// Result of forwarding a request.
enum OpenedForward {
    /// The request was sent to this gateway, whose reply comes on the stream.
    Stream(Box<GatewayProfile>, CountedStream),
    /// The request may have been sent.
    Lost,
    /// The request was certainly not sent.
    NotSent,
}

/// A place reserved for a request by another gateway. Dropping it releases the place.
pub(crate) struct ReservedForward {
    pub(crate) region: RegionName,
    /// Round trip of the call that reserved the place.
    pub(crate) round_trip: Duration,
    gateway: Box<GatewayProfile>,
    token: u64,
    stream: CountedStream,
}

impl ReservedForward {
    /// Returns the handle that keeps the run after its lease.
    pub(crate) fn leased(&self, times: HandoverTimes) -> LeasedRun {
        let gateway = self.gateway.peer_address;
        LeasedRun { gateway, token: self.token, limit: times.commit_timeout }
    }
}

/// A run at another gateway that ends by itself unless its gateway gets a [`COMMIT`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeasedRun {
    gateway: SocketAddr,
    token: u64,
    /// Timeout of one call.
    limit: Duration,
}

/// Result of a command to another gateway.
enum CommandOutcome {
    /// The command was carried out.
    Acknowledged,
    /// The command was not carried out: nothing is reserved under the token.
    Rejected,
    /// The command may have been carried out.
    Lost,
}

/// The first frame of a reply; `None` if the reply ended without one.
type FirstFrame = Option<NextFrame>;

/// A frame of a reply, or the error of the stream.
type NextFrame = Result<ForwardFrame, PeerError>;

/// The reply of another gateway as a stream of frames.
pub(crate) struct FrameStream {
    stream: CountedStream,
    liveness: RunLiveness,
}

impl FrameStream {
    /// Returns the next frame; `None` after the last one of a complete reply.
    async fn next(&mut self) -> Option<NextFrame> {
        let bytes = match self.stream.stream.next().await? {
            Ok(bytes) => bytes,
            Err(error) => return Some(Err(error)),
        };
        let frame = decode(&bytes).map_err(|e| PeerFault::malformed(e).into());
        if let (Ok(frame), RunLiveness::Remote(liveness)) = (&frame, &self.liveness) {
            note_liveness(liveness, frame);
        }
        Some(frame)
    }

    /// Returns the next frame that carries more than progress.
    async fn next_content(&mut self) -> Option<NextFrame> {
        loop {
            match self.next().await {
                Some(Ok(frame)) if frame.is_progress() => {}
                frame => return frame,
            }
        }
    }
}

/// Updates the liveness of the run from a frame.
fn note_liveness(liveness: &RemoteLiveness, frame: &ForwardFrame) {
    match frame {
        ForwardFrame::Waiting { backend, is_at_work } => {
            liveness.note_backend(backend.clone());
            liveness.note_report(*is_at_work);
        }
        ForwardFrame::Head { backend, .. } => {
            liveness.note_backend(backend.clone());
            liveness.note_report(true);
        }
        _ => liveness.note_report(true),
    }
}

/// Sends a command about a reserved place to its gateway, and repeats it if no reply comes.
async fn send_command(
    transport: &dyn PeerTransport,
    gateway: SocketAddr,
    method: &'static str,
    body: &Bytes,
    limit: Duration,
) -> CommandOutcome {
    let mut is_certain = true;
    for _ in 0..COMMAND_TRIES {
        match transport.call(gateway, method, body.clone(), limit).await {
            Ok(reply) => match decode(&reply) {
                Ok(false) if is_certain => return CommandOutcome::Rejected,
                Ok(true) => return CommandOutcome::Acknowledged,
                // An earlier call of this command may have been carried out.
                Ok(false) | Err(_) => return CommandOutcome::Lost,
            },
            Err(PeerError::Fault { .. }) => return CommandOutcome::Rejected,
            Err(error) if error.nothing_sent() && is_certain => return CommandOutcome::Rejected,
            Err(_) => is_certain = false,
        }
    }
    CommandOutcome::Lost
}

/// Returns the first frame with content after the confirmation of arrival. `first` is the frame
/// that came in time for it.
async fn next_content(frames: &mut FrameStream, first: FirstFrame) -> FirstFrame {
    match first {
        Some(Ok(frame)) if frame.is_progress() => frames.next_content().await,
        first => first,
    }
}

/// A response body from another gateway.
pub(crate) struct ForwardBody {
    frames: FrameStream,
}

impl ForwardBody {
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let lost = |reason: String| Some(Err(BodyError::Incomplete { reason }));
        match self.frames.next_content().await {
            None => None,
            Some(Ok(ForwardFrame::Chunk(bytes))) => Some(Ok(bytes)),
            Some(Ok(ForwardFrame::Unknown(UnknownReason::Garbled))) => {
                let reason = "the backend server of the other region broke the protocol".to_owned();
                Some(Err(BodyError::Malformed { reason }))
            }
            Some(Ok(ForwardFrame::Unknown(reason))) => {
                lost(format!("in the other region: {reason}"))
            }
            Some(Ok(_)) => lost("unexpected frame after the head of the response".to_owned()),
            Some(Err(error)) => lost(error.to_string()),
        }
    }
}
