//! Simulated network: the processes by their addresses.

use {
    super::{
        endpoint::FakeTransport,
        policy::{FakePolicy, MessageAction, MessagePath},
    },
    crate::{HandlerTable, PeerIdentity},
    gullglade_units::{HybridClock, ProcessContext},
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// Process on a [`FakeNetwork`].
#[derive(Clone)]
pub struct FakeNode {
    /// Listening address.
    pub address: SocketAddr,
    /// Identity presented to peers.
    pub identity: PeerIdentity,
    /// Spawner and clocks of the process; handlers run in its tasks.
    pub context: ProcessContext,
    /// Hybrid clock of the process.
    pub clock: Rc<HybridClock>,
    /// Handlers of the process.
    pub handlers: Rc<HandlerTable>,
}

/// Simulated network between the processes of a test.
#[derive(Clone)]
pub struct FakeNetwork {
    shared: Rc<NetworkShared>,
}

struct NetworkShared {
    policy: Rc<dyn FakePolicy>,
    nodes: RefCell<HashMap<SocketAddr, Rc<FakeNode>>>,
}

impl FakeNetwork {
    /// Creates a network without processes.
    pub fn new(policy: Rc<dyn FakePolicy>) -> Self {
        Self { shared: Rc::new(NetworkShared { policy, nodes: RefCell::default() }) }
    }

    /// Adds a process, replacing any process at the same address, and returns its transport. A test
    /// that kills the process must also call [`leave`](Self::leave).
    pub fn join(&self, node: FakeNode) -> FakeTransport {
        let node = Rc::new(node);
        self.shared.nodes.borrow_mut().insert(node.address, node.clone());
        FakeTransport::new(self.clone(), node)
    }

    /// Removes the process at `address`; calls to it are refused from now on.
    pub fn leave(&self, address: SocketAddr) {
        self.shared.nodes.borrow_mut().remove(&address);
    }

    pub(super) fn node(&self, address: SocketAddr) -> Option<Rc<FakeNode>> {
        self.shared.nodes.borrow().get(&address).cloned()
    }

    pub(super) fn cancel_delay(&self) -> Duration {
        self.shared.policy.cancel_delay()
    }

    pub(super) fn action(&self, path: MessagePath<'_>) -> MessageAction {
        self.shared.policy.action(path)
    }
}
