//! Which gateway a caller uses: asks `GET /v1/entry` and keeps the answer for its time to live.

use {
    crate::load::plan::LoadTarget,
    bytes::Bytes,
    gullglade_http::HttpClient,
    gullglade_units::{MonotonicTime, ProcessContext, ServiceName},
    http::{Request, Uri, header::AUTHORIZATION},
    serde::Deserialize,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The most bytes of an entry answer.
const ANSWER_LIMIT: usize = 1 << 20;

/// How long a gateway that could not be reached is left alone.
const AVOID_TIME: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct EntryAnswer {
    gateways: Vec<EntryGateway>,
    ttl_ms: u64,
}

#[derive(Clone, Deserialize)]
struct EntryGateway {
    url: String,
    rank: u32,
    weight: u32,
}

/// A gateway to choose from; the lowest rank is used as long as one of it can be reached.
struct GatewayChoice {
    address: SocketAddr,
    rank: u32,
    weight: u64,
}

impl TryFrom<EntryGateway> for GatewayChoice {
    type Error = ();

    /// Refuses what callers here cannot use: a name in place of an IP number, or no port.
    fn try_from(gateway: EntryGateway) -> Result<Self, ()> {
        let uri: Uri = gateway.url.parse().map_err(drop)?;
        let authority = uri.authority().ok_or(())?;
        let address = authority.as_str().parse().map_err(drop)?;
        Ok(Self { address, rank: gateway.rank, weight: gateway.weight.into() })
    }
}

/// The gateways that a caller knows.
pub(crate) struct EntryDirectory {
    target: LoadTarget,
    token: Option<String>,
    client: Rc<dyn HttpClient>,
    context: ProcessContext,
    known: RefCell<Vec<GatewayChoice>>,
    avoided: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    valid_until: Cell<Option<MonotonicTime>>,
    turn: Cell<usize>,
}

impl EntryDirectory {
    pub(crate) fn new(
        target: LoadTarget,
        token: Option<String>,
        client: Rc<dyn HttpClient>,
        context: ProcessContext,
    ) -> Self {
        Self {
            target,
            token,
            client,
            context,
            known: RefCell::default(),
            avoided: RefCell::default(),
            valid_until: Cell::new(None),
            turn: Cell::new(0),
        }
    }

    /// The gateway for the next call; `None` where no gateway is known.
    pub(crate) async fn choose(&self) -> Option<SocketAddr> {
        match &self.target {
            LoadTarget::Fixed(addresses) => {
                let usable: Vec<_> =
                    addresses.iter().filter(|address| self.usable(**address)).collect();
                let turn = self.turn.get();
                self.turn.set(turn.wrapping_add(1));
                usable.get(turn % usable.len().max(1)).map(|address| **address)
            }
            LoadTarget::Entry { ask, service } => {
                if self.valid_until.get().is_none_or(|until| self.context.clock.now() >= until) {
                    self.refresh(ask, service.as_ref()).await;
                }
                self.draw()
            }
        }
    }

    /// Takes a gateway that could not be reached out of use for a while, and asks again who there
    /// is. Without it callers that retry together keep meeting the dead gateway in their turns.
    pub(crate) fn avoid(&self, address: SocketAddr) {
        let until = self.context.clock.now() + AVOID_TIME;
        self.avoided.borrow_mut().insert(address, until);
        self.valid_until.set(None);
    }

    fn usable(&self, address: SocketAddr) -> bool {
        let now = self.context.clock.now();
        self.avoided.borrow().get(&address).is_none_or(|until| now >= *until)
    }

    async fn refresh(&self, ask: &[SocketAddr], service: Option<&ServiceName>) {
        for address in ask {
            let Some(answer) = self.ask(*address, service).await else { continue };
            let ttl = Duration::from_millis(answer.ttl_ms);
            self.valid_until.set(Some(self.context.clock.now() + ttl));
            let gateways = answer.gateways.into_iter();
            *self.known.borrow_mut() = gateways.filter_map(|g| g.try_into().ok()).collect();
            return;
        }
    }

    async fn ask(&self, address: SocketAddr, service: Option<&ServiceName>) -> Option<EntryAnswer> {
        let path = service.map_or("/v1/entry".to_owned(), |s| format!("/v1/entry?service={s}"));
        let mut request = Request::get(path);
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Bytes::new()).ok()?;
        let reply = self.client.send(address, request).await.ok()?;
        let body = reply.body.collect(ANSWER_LIMIT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// One of the best known gateways that are not avoided, by weight.
    fn draw(&self) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let usable = known.iter().filter(|gateway| self.usable(gateway.address));
        let best = usable.clone().map(|gateway| gateway.rank).min()?;
        let group: Vec<_> = usable.filter(|gateway| gateway.rank == best).collect();
        let sum = group.iter().map(|gateway| gateway.weight).sum();
        let mut left = self.context.random.below(sum);
        let chosen = group.iter().find(|gateway| {
            let found = left < gateway.weight;
            left = left.saturating_sub(gateway.weight);
            found
        });
        chosen.or(group.first()).map(|gateway| gateway.address)
    }
}
