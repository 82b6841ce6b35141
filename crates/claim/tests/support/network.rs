//! A network between fake processes that loses, delays and duplicates messages by a seeded random
//! source.

use {
    bytes::Bytes,
    futures::channel::oneshot,
    gullglade_peer::{PeerError, PeerFault, PeerHandler, PeerIdentity, PeerStream, PeerTransport},
    gullglade_units::{LocalFuture, ProcessContext, RandomSource, fake::FakeProcess, timeout},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Prefix of every answer of a test's backend server.
pub(crate) const ANSWER_TEXT: &str = "answer to send";

/// One-way delay inside a region.
const NEAR: Duration = Duration::from_millis(1);

/// One-way delay between regions.
const FAR: Duration = Duration::from_millis(55);

/// Maximum additional delay of a late message in milliseconds.
const MAX_EXTRA_DELAY_MS: u64 = 20_000;

struct FakeNode {
    process: FakeProcess,
    handler: Rc<dyn PeerHandler>,
    region: String,
}

/// All nodes and the links between them.
pub(crate) struct FakeNetwork {
    nodes: RefCell<BTreeMap<SocketAddr, FakeNode>>,
    cuts: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    /// Delays of individual links, one way, that replace the default.
    slow: RefCell<BTreeMap<(SocketAddr, SocketAddr), Duration>>,
    random: Rc<dyn RandomSource>,
    /// Of a thousand messages, how many are lost, how many are late, and how many are duplicated.
    pub(crate) faults: Cell<u64>,
    /// Processes that received a message containing the text of an answer.
    pub(crate) answer_holders: RefCell<BTreeSet<SocketAddr>>,
    pub(crate) messages: Cell<u64>,
    pub(crate) bytes: Cell<u64>,
}

impl FakeNetwork {
    pub(crate) fn new(context: &ProcessContext) -> Rc<Self> {
        Rc::new(Self {
            nodes: RefCell::default(),
            cuts: RefCell::default(),
            slow: RefCell::default(),
            random: Rc::clone(&context.random),
            faults: Cell::new(0),
            answer_holders: RefCell::default(),
            messages: Cell::new(0),
            bytes: Cell::new(0),
        })
    }

    pub(crate) fn register(
        &self,
        address: SocketAddr,
        process: &FakeProcess,
        handler: Rc<dyn PeerHandler>,
        region: &str,
    ) {
        let node = FakeNode { process: process.clone(), handler, region: region.to_owned() };
        self.nodes.borrow_mut().insert(address, node);
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.nodes.borrow_mut().remove(&address);
    }

    /// Cuts or restores the link between two processes in both directions.
    pub(crate) fn set_cut(&self, one: SocketAddr, other: SocketAddr, cut: bool) {
        let mut cuts = self.cuts.borrow_mut();
        for link in [(one, other), (other, one)] {
            if cut {
                cuts.insert(link)
            } else {
                cuts.remove(&link)
            };
        }
    }

    /// Sets the delay of messages from one process to another that are sent from now on.
    pub(crate) fn set_slow(&self, from: SocketAddr, to: SocketAddr, delay: Duration) {
        self.slow.borrow_mut().insert((from, to), delay);
    }

    fn delay(&self, from: SocketAddr, to: SocketAddr) -> Duration {
        if let Some(delay) = self.slow.borrow().get(&(from, to)) {
            return *delay;
        }
        let nodes = self.nodes.borrow();
        let region = |address| nodes.get(&address).map(|node| node.region.clone());
        if region(from) == region(to) { NEAR } else { FAR }
    }

    /// Returns the delay of a message, or `None` if it is lost at random or its link is cut.
    fn delivery_delay(&self, from: SocketAddr, to: SocketAddr, body: &Bytes) -> Option<Duration> {
        self.messages.set(self.messages.get() + 1);
        self.bytes.set(self.bytes.get() + body.len() as u64);
        if body.windows(ANSWER_TEXT.len()).any(|part| part == ANSWER_TEXT.as_bytes()) {
            self.answer_holders.borrow_mut().insert(to);
        }
        let is_lost = self.random.below(1000) < self.faults.get();
        let is_cut = self.cuts.borrow().contains(&(from, to));
        let is_late = self.random.below(1000) < self.faults.get();
        let extra = if is_late { self.random.below(MAX_EXTRA_DELAY_MS) } else { 0 };
        (!is_lost && !is_cut).then(|| self.delay(from, to) + Duration::from_millis(extra))
    }

    fn is_duplicated(&self) -> bool {
        self.random.below(1000) < self.faults.get()
    }

    fn target(&self, to: SocketAddr) -> Option<(FakeProcess, Rc<dyn PeerHandler>)> {
        let nodes = self.nodes.borrow();
        nodes.get(&to).map(|node| (node.process.clone(), Rc::clone(&node.handler)))
    }
}

/// One process's transport.
pub(crate) struct FakeLink {
    pub(crate) network: Rc<FakeNetwork>,
    pub(crate) address: SocketAddr,
    pub(crate) identity: PeerIdentity,
    pub(crate) context: ProcessContext,
}

impl FakeLink {
    /// Delivers one message and returns its reply, in a task of the sending process.
    fn transmit(
        &self,
        to: SocketAddr,
        method: &str,
        body: Bytes,
        reply: oneshot::Sender<Result<Bytes, PeerFault>>,
    ) -> LocalFuture<'static, ()> {
        let (network, from) = (Rc::clone(&self.network), self.identity.clone());
        let (address, method) = (self.address, method.to_owned());
        let clock = Rc::clone(&self.context.clock);
        Box::pin(async move {
            let Some(delay) = network.delivery_delay(address, to, &body) else { return };
            clock.sleep(delay).await;
            let Some((process, handler)) = network.target(to) else { return };
            let (done, answer) = oneshot::channel();
            process.context().spawner.spawn(Box::pin(async move {
                let _gone = done.send(handler.call(&from, &method, body).await);
            }));
            let Ok(answer) = answer.await else { return };
            let body = answer.clone().unwrap_or_default();
            let Some(delay) = network.delivery_delay(to, address, &body) else { return };
            clock.sleep(delay).await;
            let _gone = reply.send(answer);
        })
    }
}

impl PeerTransport for FakeLink {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        let (reply, answer) = oneshot::channel();
        let spawner = Rc::clone(&self.context.spawner);
        spawner.spawn(self.transmit(to, method, body.clone(), reply));
        if self.network.is_duplicated() {
            let (discarded_reply, _) = oneshot::channel();
            spawner.spawn(self.transmit(to, method, body, discarded_reply));
        }
        let clock = Rc::clone(&self.context.clock);
        Box::pin(async move {
            let lost = PeerError::Timeout { address: to, limit, sent: true };
            match timeout(&*clock, limit, answer).await {
                Some(Ok(answer)) => answer.map_err(PeerError::from),
                Some(Err(_)) | None => Err(lost),
            }
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        _body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        let reason = "claims use no streams".to_owned();
        let error = PeerError::Unsendable { method: format!("{method} at {to}"), reason };
        Box::pin(std::future::ready(Err(error)))
    }
}
