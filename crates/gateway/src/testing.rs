//! A gateway with fake backend servers and peers, for the tests of this crate.

mod fakes;

use {
    crate::{
        EntryAnswer, Gateway, GatewayConfig, GatewayDependencies, RegionDirectory, RegionStatus,
        completion::collect_body,
    },
    bytes::Bytes,
    gullglade_admission::{AdmissionQueue, AdmissionSettings},
    gullglade_backend::{
        Announcement, BackendConfig, BackendRelay, BackendTable, GatewayProfile, LocalGateway,
        RelayConfig, RelayDependencies,
    },
    gullglade_claim::{ClaimCoordinator, ClaimSettings, LocalClaims},
    gullglade_document::{ConfigView, FixedConfig, ServiceDocument, ServiceTarget},
    gullglade_event::{MetricSet, NullSink},
    gullglade_http::{ReplyBody, RequestBody, RequestHandler},
    gullglade_units::{
        Clock, FailureDomain, Incarnation, MonotonicTime, ProcessContext, RegionName, VmName,
        fake::FakeWorld,
    },
    http::{Request, header::AUTHORIZATION, request::Builder, response::Parts},
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

pub(crate) use fakes::{
    AnswerPause, BackendBehavior, FakeClient, FakeTransport, HeaderPair, PeerBehavior,
};

/// Maximum size of a reply body.
const BODY_LIMIT: usize = 1 << 20;

/// Time for which backend servers have been serving when a test begins.
const WARM_UP: Duration = Duration::from_secs(15);

/// Region of the gateway under test.
pub(crate) const LOCAL_REGION: &str = "columbia";

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

/// Reports the region inland as reachable, with ample free capacity, from a given time on.
struct InlandDirectory {
    from: MonotonicTime,
    clock: Rc<dyn Clock>,
    gateways: u16,
}

impl RegionDirectory for InlandDirectory {
    fn region_statuses(&self, _target: &ServiceTarget) -> Vec<RegionStatus> {
        vec![RegionStatus {
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

    fn gateway_addresses(&self, _region: &RegionName) -> Vec<SocketAddr> {
        (0..self.gateways).map(remote_gateway_address).collect()
    }

    fn entry(&self, _regions: &[RegionName]) -> EntryAnswer {
        EntryAnswer { ttl_ms: 0, gateways: Vec::new() }
    }

    fn note_failure(&self, _address: SocketAddr) {}
}

/// Configuration of a gateway under test and its fakes.
pub(crate) struct TestSetup<'a> {
    pub(crate) document: &'a str,
    /// Set if an engine and a plain service have announced themselves.
    pub(crate) has_engines: bool,
    pub(crate) behavior: BackendBehavior,
    pub(crate) peers: PeerBehavior,
    /// Time from the start of the test after which another region is reachable.
    pub(crate) remote_reachable_after: Duration,
    /// Number of gateways of that region.
    pub(crate) remote_gateways: u16,
    pub(crate) attempt_limit: u32,
    /// Set if there is a second engine, which always answers.
    pub(crate) has_second_engine: bool,
}

impl Default for TestSetup<'_> {
    fn default() -> Self {
        Self {
            document: DOCUMENT,
            has_engines: true,
            behavior: BackendBehavior::Answers,
            peers: PeerBehavior::Ends,
            remote_reachable_after: Duration::ZERO,
            remote_gateways: 1,
            attempt_limit: 4,
            has_second_engine: false,
        }
    }
}

/// A gateway in [`LOCAL_REGION`] with fake backend servers and peers.
pub(crate) struct TestGateway {
    pub(crate) world: FakeWorld,
    pub(crate) gateway: Gateway,
    pub(crate) client: Rc<FakeClient>,
    pub(crate) transport: Rc<FakeTransport>,
    pub(crate) metrics: Rc<MetricSet>,
    pub(crate) context: ProcessContext,
}

impl TestGateway {
    pub(crate) fn new(document: &str, has_engines: bool, behavior: BackendBehavior) -> Self {
        Self::with_claims(document, has_engines, behavior, |context| {
            Rc::new(LocalClaims::first_start(context, ClaimSettings::default()))
        })
    }

    pub(crate) fn with_claims(
        document: &str,
        has_engines: bool,
        behavior: BackendBehavior,
        claims: impl FnOnce(ProcessContext) -> Rc<dyn ClaimCoordinator>,
    ) -> Self {
        let setup = TestSetup { document, has_engines, behavior, ..TestSetup::default() };
        Self::with_setup(&setup, claims)
    }

    /// Creates a gateway from `setup`, with local claims, after the warm-up of its backend servers.
    pub(crate) fn warmed_up(setup: &TestSetup<'_>) -> Self {
        let gateway = Self::with_setup(setup, |context| {
            Rc::new(LocalClaims::first_start(context, ClaimSettings::default()))
        });
        // Only a fraction of the slots of a backend server is used while it warms up.
        for sequence in 2..=4 {
            gateway.world.run_for(WARM_UP / 3);
            if setup.has_engines {
                announce(&gateway.gateway.backends, 1, sequence);
            }
            if setup.has_second_engine {
                gateway.announce_second_engine(sequence);
            }
        }
        gateway
    }

    fn with_setup(
        setup: &TestSetup<'_>,
        claims: impl FnOnce(ProcessContext) -> Rc<dyn ClaimCoordinator>,
    ) -> Self {
        let TestSetup {
            document,
            has_engines,
            behavior,
            peers,
            remote_reachable_after,
            remote_gateways,
            attempt_limit,
            has_second_engine: _,
        } = *setup;
        let (world, context) = FakeWorld::new(1);
        let clock = Rc::clone(&context.clock);
        let transport = Rc::new(FakeTransport::new(peers, &clock));
        let client = Rc::new(FakeClient::new(behavior, &clock));
        let metrics = Rc::new(MetricSet::new().unwrap());
        let backends =
            Rc::new(BackendTable::new(region(LOCAL_REGION), BackendConfig::default(), clock));
        if has_engines {
            announce(&backends, 1, 1);
        }
        let own = own_gateway();
        let mut config = GatewayConfig::new(own.vm.clone(), region(LOCAL_REGION), domain());
        config.attempt_limit = attempt_limit;
        let relay_dependencies = RelayDependencies {
            transport: Rc::clone(&transport) as _,
            events: Rc::new(NullSink),
            context: context.clone(),
        };
        let relay = BackendRelay::new(
            own,
            Rc::clone(&backends),
            RelayConfig::default(),
            relay_dependencies,
        );
        let document = Rc::new(ServiceDocument::try_from(document).unwrap());
        let dependencies = GatewayDependencies {
            documents: Rc::new(FixedConfig::new(ConfigView::new(1, [document]))),
            backends,
            relay,
            directory: Rc::new(InlandDirectory {
                from: MonotonicTime(WARM_UP + remote_reachable_after),
                clock: Rc::clone(&context.clock),
                gateways: remote_gateways,
            }),
            claims: claims(context.clone()),
            admission: AdmissionQueue::new(AdmissionSettings::default(), context.clone()),
            client: Rc::clone(&client) as _,
            transport: Rc::clone(&transport) as _,
            events: Rc::new(NullSink),
            metrics: Rc::clone(&metrics),
            context: context.clone(),
        };
        let gateway = Gateway::new(config, dependencies);
        gateway.backends_changed();
        Self { world, gateway, client, transport, metrics, context }
    }

    /// Sends a request of the workspace `roadmasters` with an idempotency key. Returns the head of
    /// the reply, and its body if it is complete.
    pub(crate) fn post_with_key(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        let (request, body) = caller_request(path, body);
        let request = request.header("idempotency-key", "order-1");
        self.world.run_until(self.handle((request, body)))
    }

    /// Sends a request without a key and waits for the reply.
    pub(crate) fn post_without_key(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        self.world.run_until(self.send(path, body))
    }

    /// Renews the announcements of the engines, in the state serving.
    pub(crate) fn renew(&self, incarnation: u64, sequence: u64) {
        announce(&self.gateway.backends, incarnation, sequence);
        self.announce_second_engine(sequence);
        self.gateway.backends_changed();
    }

    /// Announces that the first engine is leaving.
    pub(crate) fn announce_leaving(&self, sequence: u64) {
        let run = ("engine-1", 1, sequence);
        let text = announcement(run, "engine", address()).replace("serving", "leaving");
        announce_one(&self.gateway.backends, &text);
        self.gateway.backends_changed();
    }

    fn announce_second_engine(&self, sequence: u64) {
        let text = announcement(("engine-2", 1, sequence), "engine", second_engine_address());
        announce_one(&self.gateway.backends, &text);
    }

    /// Sends a request without a key.
    pub(crate) async fn send(&self, path: &str, body: &str) -> (Parts, Option<Bytes>) {
        self.handle(caller_request(path, body)).await
    }

    /// Takes all retries that the budget allows now.
    pub(crate) fn drain_retry_budget(&self) {
        let view = self.gateway.documents.current().unwrap();
        let document = Rc::clone(view.documents().next().unwrap());
        let budget = self.gateway.retry_budget(&document);
        while budget.try_retry(self.context.clock.now()) {}
    }

    /// Keeps the retry budget empty for six seconds, unless `has_budget` is set.
    pub(crate) async fn keep_retry_budget_empty(&self, has_budget: bool) {
        let view = self.gateway.documents.current().unwrap();
        let document = Rc::clone(view.documents().next().unwrap());
        let budget = self.gateway.retry_budget(&document);
        for _ in 0..600 {
            while !has_budget && budget.try_retry(self.context.clock.now()) {}
            self.context.clock.sleep(Duration::from_millis(10)).await;
        }
    }

    async fn handle(&self, (request, body): (Builder, Bytes)) -> (Parts, Option<Bytes>) {
        let request = request.body(RequestBody::from_bytes(body)).unwrap();
        let (head, body) = self.gateway.handle(request, address()).await.into_parts();
        let body = match body {
            ReplyBody::Full(bytes) => Some(bytes),
            ReplyBody::Stream(mut pieces) => collect_body(&mut pieces, BODY_LIMIT).await,
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

/// Address of a gateway of another region, by its position in the directory.
fn remote_gateway_address(position: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 9 + position))
}

/// Address of the second engine.
fn second_engine_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10))
}

fn own_gateway() -> LocalGateway {
    let profile = GatewayProfile {
        region: region(LOCAL_REGION),
        domain: domain(),
        peer_address: address(),
        caller_address: address(),
        limit: 64,
    };
    let vm = VmName::try_from("columbia-1").unwrap();
    LocalGateway { vm, incarnation: Incarnation(1), profile }
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
            "region": LOCAL_REGION, "domain": "a", "address": address, "kind": kind,
            "models": models, "services": services,
            "capacity": {
                "slots": 4, "tokens_per_second": 100, "prefill_tokens_per_second": 10_000,
            },
        },
    })
    .to_string()
}
