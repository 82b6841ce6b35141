//! Announcing a stand-in to the gateways of its region, with renewals and `leaving`.

use {
    bytes::Bytes,
    futures::{
        StreamExt,
        channel::mpsc,
        future::{Either, select},
    },
    gullglade_backend::{
        AnnounceReply, Announcement, BackendProfile, CacheEvents, LoadReport, ServingState,
    },
    gullglade_http::HttpClient,
    gullglade_units::{BackendName, Incarnation, ProcessContext, timeout},
    snafu::Snafu,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// The longest wait for a gateway's answer.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);

/// The wait after every gateway failed once.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// The most bytes of a gateway's answer.
const REPLY_LIMIT: usize = 4_096;

/// The most cache events in one announcement.
const EVENTS_AT_ONCE: usize = 512;

/// How long a server that leaves still takes requests from gateways that have not heard of it.
pub(crate) const DEFAULT_LEAVE_GRACE: Duration = Duration::from_secs(2);

/// What an announcement says about a backend server.
pub(crate) trait AnnounceSource {
    /// The rarely changing part.
    fn profile(&self) -> BackendProfile;

    /// The load as reported: late.
    fn load(&self) -> LoadReport;

    /// The next cache events from number `since` on.
    fn cache_events(&self, since: u64, limit: usize) -> Option<CacheEvents>;
}

/// Who announces, and to whom.
pub(crate) struct AnnouncerConfig {
    pub(crate) name: BackendName,
    pub(crate) incarnation: Incarnation,
    pub(crate) gateways: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
}

/// Why an announcement was not acknowledged.
#[derive(Debug, Snafu)]
enum AnnounceFailure {
    #[snafu(display("{gateway} did not answer within {ANNOUNCE_LIMIT:?}"))]
    Silent { gateway: SocketAddr },
    #[snafu(display("{gateway} cannot be reached: {reason}"))]
    Unreachable { gateway: SocketAddr, reason: String },
    #[snafu(display("{gateway} refused the announcement: {status} {body}"))]
    Refused { gateway: SocketAddr, status: u16, body: String },
}

/// Keeps one backend server announced.
pub(crate) struct BackendAnnouncer {
    config: AnnouncerConfig,
    source: Rc<dyn AnnounceSource>,
    client: Rc<dyn HttpClient>,
    context: ProcessContext,
    incarnation: Cell<Incarnation>,
    state: Cell<ServingState>,
    stopped: Cell<bool>,
    sequence: Cell<u64>,
    current: Cell<usize>,
    next_event: Cell<u64>,
    told: RefCell<Option<BackendProfile>>,
    wake: mpsc::UnboundedSender<()>,
    acknowledged: Cell<u64>,
}

impl BackendAnnouncer {
    /// Starts the task that announces.
    pub(crate) fn start(
        config: AnnouncerConfig,
        source: Rc<dyn AnnounceSource>,
        client: Rc<dyn HttpClient>,
        context: ProcessContext,
    ) -> Rc<Self> {
        let (wake, woken) = mpsc::unbounded();
        let announcer = Rc::new(Self {
            incarnation: Cell::new(config.incarnation),
            config,
            source,
            client,
            context: context.clone(),
            state: Cell::new(ServingState::Serving),
            stopped: Cell::new(false),
            sequence: Cell::new(0),
            current: Cell::new(0),
            next_event: Cell::new(0),
            told: RefCell::new(None),
            wake,
            acknowledged: Cell::new(0),
        });
        if !announcer.config.gateways.is_empty() {
            context.spawner.spawn(Box::pin(announcer.clone().run(woken)));
        }
        announcer
    }

    /// Announcements that a gateway acknowledged.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.get()
    }

    /// Announces at once, after a change.
    pub(crate) fn announce_now(&self) {
        let _ = self.wake.unbounded_send(());
    }

    /// Says `leaving` at once and in every renewal after.
    pub(crate) fn leave(&self) {
        self.state.set(ServingState::Leaving);
        self.announce_now();
    }

    /// Falls silent.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.announce_now();
    }

    async fn run(self: Rc<Self>, mut woken: mpsc::UnboundedReceiver<()>) {
        while !self.stopped.get() {
            let pause = self.announce_round().await;
            let sleep = self.context.clock.sleep(pause);
            match select(sleep, woken.next()).await {
                Either::Left(_) | Either::Right(_) => {}
            }
            while woken.try_recv().is_ok() {}
        }
    }

    /// Announces to the current gateway, or to the first after it that answers; how long to wait
    /// then.
    async fn announce_round(&self) -> Duration {
        for _ in 0..self.config.gateways.len() {
            match self.announce_once().await {
                Ok(AnnounceReply { superseded_by: Some(other), .. }) => {
                    self.yield_to(other);
                    return ROUND_PAUSE;
                }
                Ok(reply) if reply.profile_wanted => return Duration::ZERO,
                Ok(reply) => return Duration::from_millis(reply.renew_millis),
                Err(_) => self.current.set((self.current.get() + 1) % self.config.gateways.len()),
            }
        }
        ROUND_PAUSE
    }

    async fn announce_once(&self) -> Result<AnnounceReply, AnnounceFailure> {
        let gateway = self.config.gateways[self.current.get()];
        let announcement = self.compose();
        let next_event =
            announcement.cache_events.as_ref().map(|run| run.first + run.events.len() as u64);
        let reply = self.post(gateway, &announcement).await?;
        if reply.superseded_by.is_some() {
            return Ok(reply);
        }
        self.acknowledged.set(self.acknowledged.get() + 1);
        if let Some(next) = next_event {
            self.next_event.set(next);
        }
        if reply.profile_wanted {
            self.told.borrow_mut().take();
        } else if announcement.profile.is_some() {
            *self.told.borrow_mut() = announcement.profile;
        }
        Ok(reply)
    }

    /// The name is held by a higher incarnation. Before the first lease that is an earlier run
    /// whose clock was ahead; afterwards it is a replacement, and this server falls silent.
    fn yield_to(&self, other: Incarnation) {
        if self.acknowledged.get() > 0 {
            self.stop();
            return;
        }
        self.incarnation.set(Incarnation(other.0 + 1));
        self.sequence.set(0);
    }

    fn compose(&self) -> Announcement {
        self.sequence.set(self.sequence.get() + 1);
        let profile = self.source.profile();
        let known = self.told.borrow().as_ref() == Some(&profile);
        Announcement {
            name: self.config.name.clone(),
            incarnation: self.incarnation.get(),
            sequence: self.sequence.get(),
            state: self.state.get(),
            load: self.source.load(),
            profile: (!known).then_some(profile),
            cache_events: self.source.cache_events(self.next_event.get(), EVENTS_AT_ONCE),
        }
    }

    async fn post(
        &self,
        gateway: SocketAddr,
        announcement: &Announcement,
    ) -> Result<AnnounceReply, AnnounceFailure> {
        let body = serde_json::to_vec(announcement).expect("an announcement is plain data");
        let mut request = http::Request::post("/v1/announce")
            .header(http::header::HOST, gateway.to_string())
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.config.token {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request.body(Bytes::from(body)).expect("the head is made of valid parts");
        let exchange = self.exchange(gateway, request);
        timeout(&*self.context.clock, ANNOUNCE_LIMIT, exchange)
            .await
            .unwrap_or(Err(AnnounceFailure::Silent { gateway }))
    }

    async fn exchange(
        &self,
        gateway: SocketAddr,
        request: http::Request<Bytes>,
    ) -> Result<AnnounceReply, AnnounceFailure> {
        let unreachable = |reason: String| AnnounceFailure::Unreachable { gateway, reason };
        let reply =
            self.client.send(gateway, request).await.map_err(|e| unreachable(e.to_string()))?;
        let status = reply.head.status;
        let body = reply.body.collect(REPLY_LIMIT).await.map_err(|e| unreachable(e.to_string()))?;
        serde_json::from_slice(&body).ok().filter(|_| status.is_success()).ok_or_else(|| {
            let body = String::from_utf8_lossy(&body).into_owned();
            AnnounceFailure::Refused { gateway, status: status.as_u16(), body }
        })
    }
}
