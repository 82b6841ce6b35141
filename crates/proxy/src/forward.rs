//! Work for another region: the gateway here.

use {
    crate::{
        CallId, CallerCall,
        answer::{AnswerBody, AnswerSource, AttemptAnswer},
        outcome::{AttemptEnd, NotRunReason, UnknownReason},
    },
    bytes::Bytes,
    gullglade_dispatch::{PromptShape, WorkItem},
    gullglade_fleet::{FleetFollower, GatewayRow},
    gullglade_http::BodyError,
    gullglade_peer::{PeerError, PeerStream, PeerTransport},
    gullglade_units::{
        BackendName, MonotonicTime, ProcessContext, RegionName, ServiceName, decode, encode,
        timeout,
    },
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
};

/// The prefix of the methods that gateways serve to each other.
pub(crate) const PROXY_PREFIX: &str = "proxy";

/// Makes one attempt at a request in the region of the gateway that is called.
pub(crate) const FORWARD: &str = "proxy.forward";

/// The most gateways of a region that are tried for one request. Each takes a connection that may
/// hang until its time is up.
const MOST_GATEWAYS: usize = 2;

/// A request on its way to another region. It goes no further from there.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardCall {
    pub(crate) id: CallId,
    pub(crate) method: String,
    pub(crate) host: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, Bytes)>,
    pub(crate) body: Bytes,
    pub(crate) service: ServiceName,
    /// How long it has been on its way.
    pub(crate) waited: Duration,
    /// How much longer anyone waits for its answer.
    pub(crate) left: Duration,
    pub(crate) prompt: Option<PromptShape>,
    pub(crate) resume_after: Option<u64>,
}

/// What comes back. The end of the stream is the end of a whole body.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ForwardPiece {
    Head { status: u16, headers: Vec<(String, Bytes)>, backend: BackendName },
    Chunk(Bytes),
    NotRun(NotRunReason, Option<Duration>),
    Unknown(UnknownReason),
}

impl ForwardCall {
    pub(crate) fn new(
        call: &CallerCall,
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
            waited: now.since(item.arrived),
            left: item.ends.since(now),
            prompt: call.prompt.clone(),
            resume_after,
        }
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
}

impl Forwarder {
    /// Has a gateway of `region` make one attempt.
    pub(crate) async fn send(&self, region: &RegionName, call: &ForwardCall) -> AttemptEnd {
        let body = Bytes::from(encode(call));
        for gateway in self.some_gateways(region) {
            let to = gateway.profile.peer_address;
            let opening = self.transport.open(to, FORWARD, body.clone());
            match timeout(&*self.context.clock, call.left, opening).await {
                Some(Ok(stream)) => return self.first_piece(region, stream, call.left).await,
                Some(Err(error)) if error.nothing_sent() => {}
                // Without a session nothing was sent; with one, the time was up in its queue.
                Some(Err(_)) | None => return AttemptEnd::Unknown(UnknownReason::LostAway),
            }
        }
        AttemptEnd::NotRun(NotRunReason::RefusedAway, None)
    }

    /// A few gateways of the region, drawn so that all gateways' work spreads over them.
    fn some_gateways(&self, region: &RegionName) -> Vec<GatewayRow> {
        let now = self.context.clock.now();
        let mut rows = self.fleet.read(|view| view.ready_gateways(region, now));
        let mut drawn = Vec::new();
        while drawn.len() < MOST_GATEWAYS && !rows.is_empty() {
            let at = self.context.random.below(rows.len() as u64) as usize;
            drawn.push(rows.swap_remove(at));
        }
        drawn
    }

    async fn first_piece(
        &self,
        region: &RegionName,
        mut stream: PeerStream,
        left: Duration,
    ) -> AttemptEnd {
        let first = timeout(&*self.context.clock, left, stream.next()).await;
        let Some(first) = first else { return AttemptEnd::Unknown(UnknownReason::Overdue) };
        match first.map(read_piece) {
            Some(Ok(ForwardPiece::Head { status, headers, backend: _ })) => {
                let Ok(status) = StatusCode::from_u16(status) else {
                    return AttemptEnd::Unknown(UnknownReason::LostAway);
                };
                AttemptEnd::Answer(AttemptAnswer {
                    source: AnswerSource::Region(region.clone()),
                    status,
                    headers: unpack_headers(headers),
                    body: AnswerBody::Forward(ForwardBody { stream }),
                })
            }
            Some(Ok(ForwardPiece::NotRun(reason, wait))) => AttemptEnd::NotRun(reason, wait),
            Some(Ok(ForwardPiece::Unknown(reason))) => AttemptEnd::Unknown(reason),
            Some(Ok(ForwardPiece::Chunk(_)) | Err(_)) | None => {
                AttemptEnd::Unknown(UnknownReason::LostAway)
            }
        }
    }
}

/// A body that comes from another region.
pub(crate) struct ForwardBody {
    stream: PeerStream,
}

impl ForwardBody {
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        let lost = |reason: String| Some(Err(BodyError::Incomplete { reason }));
        match self.stream.next().await.map(read_piece) {
            None => None,
            Some(Ok(ForwardPiece::Chunk(bytes))) => Some(Ok(bytes)),
            Some(Ok(ForwardPiece::Unknown(reason))) => lost(format!("there: {reason}")),
            Some(Ok(_)) => lost("a second head came".to_owned()),
            Some(Err(error)) => lost(error.to_string()),
        }
    }
}

fn read_piece(piece: Result<Bytes, PeerError>) -> Result<ForwardPiece, PeerError> {
    let bytes = piece?;
    decode(&bytes).map_err(|e| gullglade_peer::PeerFault::malformed(e).into())
}
