//! A gateway in a thread of its own.

use {
    crate::{
        DemoError, GatewayPlan,
        host::{ThreadBody, ThreadHost},
    },
    futures::channel::oneshot,
    gullglade_backend::BackendTarget,
    gullglade_claim::{ClaimSettings, GroupId, ReplicaGroup, ReplicaMember},
    gullglade_document::{ConfigSource, ConfigView, FixedConfig, ServiceDocument},
    gullglade_node::{GatewayNode, NodeAddresses, NodeDependencies, NodeSettings},
    gullglade_peer::{LinkShaper, PeerSecret},
    gullglade_units::{
        ClusterName, FailureDomain, Incarnation, ProcessContext, RegionName, VmName, WallMillis,
    },
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
};

/// The operators' token of every gateway of a demo.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";

/// The secret that the processes of a demo share.
const PEER_SECRET: &str = "demo-peer-secret-of-no-worth";

/// Events that a gateway of a demo keeps.
const EVENT_LIMIT: usize = 100_000;

/// What a gateway thread is started with.
pub(crate) struct GatewayInput {
    pub(crate) plan: GatewayPlan,
    pub(crate) documents: Vec<String>,
    pub(crate) listen: [SocketAddr; 3],
    pub(crate) seeds: Vec<SocketAddr>,
}

pub(crate) enum GatewayCommand {
    Neighbours(Box<NeighbourList>, oneshot::Sender<()>),
    Cut(Vec<SocketAddr>, bool, oneshot::Sender<()>),
    ShutDown(Duration, oneshot::Sender<bool>),
    Kill(oneshot::Sender<()>),
    Events(oneshot::Sender<String>),
    Backends(oneshot::Sender<BackendCount>),
    Counts(oneshot::Sender<GatewayCounts>),
}

/// What a gateway can send work to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCount {
    /// Backend servers of its own region.
    pub near: usize,
    /// Backend servers that other regions tell of.
    pub far: usize,
}

/// What a gateway counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayCounts {
    /// Requests of callers that ended.
    pub requests: f64,
    /// Attempts sent to other regions.
    pub sent_away: f64,
    /// Promises that it found broken.
    pub breaches: f64,
}

/// One gateway, as the others are told of it.
#[derive(Clone)]
pub(crate) struct NeighbourGateway {
    pub(crate) vm: VmName,
    pub(crate) region: RegionName,
    pub(crate) peer_address: SocketAddr,
}

/// What a gateway is told of the deployment around it.
#[derive(Clone)]
pub(crate) struct NeighbourList {
    pub(crate) gateways: Vec<NeighbourGateway>,
    pub(crate) created: WallMillis,
    pub(crate) region_delay: Duration,
}

/// A gateway that runs in a thread of its own.
pub struct GatewayThread {
    plan: GatewayPlan,
    addresses: NodeAddresses,
    host: ThreadHost<GatewayCommand>,
}

impl GatewayThread {
    pub(crate) async fn start(input: GatewayInput) -> Result<Self, DemoError> {
        let plan = input.plan.clone();
        let (host, addresses) =
            ThreadHost::start::<GatewayBody>(plan.vm.to_string(), input).await?;
        Ok(Self { plan, addresses, host })
    }

    /// What it was planned as.
    pub fn plan(&self) -> &GatewayPlan {
        &self.plan
    }

    /// Where it listens.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Tells it of the other gateways.
    pub(crate) async fn set_neighbours(&self, neighbours: NeighbourList) -> Result<(), DemoError> {
        self.host.ask(|reply| GatewayCommand::Neighbours(Box::new(neighbours), reply)).await
    }

    /// Cuts its links to `peers`, or heals them.
    pub async fn set_cut(&self, peers: Vec<SocketAddr>, cut: bool) -> Result<(), DemoError> {
        self.host.ask(|reply| GatewayCommand::Cut(peers, cut, reply)).await
    }

    /// Shuts it down gracefully; false where requests had to be cut off after `limit`.
    pub async fn shut_down(&self, limit: Duration) -> Result<bool, DemoError> {
        self.host.ask(|reply| GatewayCommand::ShutDown(limit, reply)).await
    }

    /// Kills it: every connection breaks.
    pub async fn kill(&self) -> Result<(), DemoError> {
        self.host.ask(GatewayCommand::Kill).await
    }

    /// Its events so far, one line each.
    pub async fn events(&self) -> Result<String, DemoError> {
        self.host.ask(GatewayCommand::Events).await
    }

    /// What it counted; that of a killed one too.
    pub async fn counts(&self) -> Result<GatewayCounts, DemoError> {
        self.host.ask(GatewayCommand::Counts).await
    }

    /// How many backend servers it can send work to.
    pub async fn backends(&self) -> Result<BackendCount, DemoError> {
        self.host.ask(GatewayCommand::Backends).await
    }
}

struct GatewayBody {
    node: GatewayNode,
    documents: Rc<dyn ConfigSource>,
    region: RegionName,
    link: Rc<LinkShaper>,
}

impl ThreadBody<GatewayCommand> for GatewayBody {
    type Input = GatewayInput;
    type Started = NodeAddresses;

    async fn start(input: GatewayInput) -> Result<(Self, NodeAddresses), String> {
        let context = ProcessContext::system();
        let region = input.plan.region.clone();
        let link = Rc::new(LinkShaper::new());
        let documents: Rc<dyn ConfigSource> =
            Rc::new(FixedConfig::new(parse_documents(&input.documents)?));
        let dependencies = NodeDependencies {
            documents: Rc::clone(&documents),
            link: Some(Rc::clone(&link) as _),
        };
        let settings = node_settings(&input, &context)?;
        let node = GatewayNode::start(&settings, context, dependencies)
            .map_err(|error| error.to_string())?;
        let addresses = node.addresses();
        Ok((Self { node, documents, region, link }, addresses))
    }

    async fn serve(&mut self, command: GatewayCommand) -> bool {
        match command {
            GatewayCommand::Neighbours(neighbours, reply) => {
                self.set_neighbours(*neighbours);
                answer(reply, ());
            }
            GatewayCommand::Cut(peers, cut, reply) => {
                peers.into_iter().for_each(|peer| self.link.set_partitioned(peer, cut));
                answer(reply, ());
            }
            GatewayCommand::ShutDown(limit, reply) => {
                answer(reply, self.node.shut_down(limit).await);
            }
            GatewayCommand::Kill(reply) => {
                self.node.abort();
                answer(reply, ());
            }
            GatewayCommand::Events(reply) => {
                answer(reply, self.node.events().page(None, EVENT_LIMIT).into_text());
            }
            GatewayCommand::Counts(reply) => answer(reply, self.counts()),
            GatewayCommand::Backends(reply) => answer(reply, self.usable_backends()),
        }
        true
    }
}

impl GatewayBody {
    fn set_neighbours(&self, list: NeighbourList) {
        for neighbour in list.gateways.iter().filter(|n| n.region != self.region) {
            self.link.set_delay(neighbour.peer_address, list.region_delay);
        }
        for region in regions_of(&list.gateways) {
            self.node.adopt_claim_group(claim_group(region, &list));
        }
    }

    fn counts(&self) -> GatewayCounts {
        let metrics = self.node.metrics();
        GatewayCounts {
            requests: metrics.total("gullglade_requests_total"),
            sent_away: metrics.total("gullglade_requests_away_total"),
            breaches: metrics.total("gullglade_promise_breaches_total"),
        }
    }

    /// Backend servers that can get work for something that a document uses.
    fn usable_backends(&self) -> BackendCount {
        let mut count = BackendCount::default();
        let Some(view) = self.documents.current() else { return count };
        for document in view.documents() {
            let models = document.models.iter().map(|m| BackendTarget::Model(&m.name));
            let plain = document.plain_services.iter().map(|p| BackendTarget::Service(&p.name));
            for target in models.chain(plain) {
                count.near += self.node.backends().with_candidates(target, |views| views.len());
                let far = self.node.relay().summaries(target);
                let reachable = far.iter().filter(|region| region.is_reachable);
                count.far += reachable.map(|region| region.totals.engines as usize).sum::<usize>();
            }
        }
        count
    }
}

fn regions_of(neighbours: &[NeighbourGateway]) -> BTreeSet<RegionName> {
    neighbours.iter().map(|n| n.region.clone()).collect()
}

/// A region's gateways decide its claims; a region of two takes a third member from elsewhere, so
/// that it can lose one VM.
fn claim_group(region: RegionName, list: &NeighbourList) -> ReplicaGroup {
    let member = |n: &NeighbourGateway| ReplicaMember {
        vm: n.vm.clone(),
        region: n.region.clone(),
        address: n.peer_address,
    };
    let (inside, outside): (Vec<_>, Vec<_>) =
        list.gateways.iter().partition(|n| n.region == region);
    let mut members: Vec<ReplicaMember> = inside.into_iter().map(member).collect();
    if members.len() == 2 {
        members.extend(outside.into_iter().next().map(member));
    }
    ReplicaGroup::first(GroupId { region, number: 0 }, Some(list.created), members)
}

fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    // Who asked may be gone, and then nobody misses the answer.
    let _gone = reply.send(value);
}

fn parse_documents(texts: &[String]) -> Result<ConfigView, String> {
    let documents = texts
        .iter()
        .map(|text| ServiceDocument::try_from(text.as_str()).map(Rc::new))
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| error.to_string())?;
    Ok(ConfigView::new(1, documents))
}

fn node_settings(input: &GatewayInput, context: &ProcessContext) -> Result<NodeSettings, String> {
    let [caller, operator, peer] = input.listen;
    Ok(NodeSettings {
        vm: input.plan.vm.clone(),
        region: input.plan.region.clone(),
        domain: FailureDomain::try_from(input.plan.region.as_str()).map_err(|e| e.to_string())?,
        incarnation: Incarnation(context.clock.wall().0),
        cluster: ClusterName::try_from("demo").map_err(|e| e.to_string())?,
        secret: PeerSecret::try_from(PEER_SECRET).map_err(|e| e.to_string())?,
        caller_address: caller,
        operator_address: operator,
        peer_address: peer,
        operator_token: OPERATOR_TOKEN.to_owned(),
        connection_limit: 20_000,
        per_address_limit: 20_000,
        event_limit: EVENT_LIMIT,
        seeds: input.seeds.clone(),
        // All threads read one clock.
        claims: ClaimSettings::default().clock_error(Duration::ZERO),
    })
}

/// The three ports of gateway `number`: free ones, or three of a row that begins at `base`.
pub(crate) fn listen_ports(base: Option<u16>, number: usize) -> [SocketAddr; 3] {
    let port = |offset: u16| match base {
        None => 0,
        Some(base) => base + u16::try_from(number * 3).unwrap_or(u16::MAX) + offset,
    };
    [0, 1, 2].map(|offset| SocketAddr::from((Ipv4Addr::LOCALHOST, port(offset))))
}
