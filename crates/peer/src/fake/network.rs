//! Which process listens at which address.

use {
    super::{
        endpoint::FakeTransport,
        policy::{FakePolicy, MessageAction, MessagePath},
    },
    crate::{HandlerTable, PeerIdentity},
    gullglade_units::{HybridClock, ProcessContext},
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
};

/// A process on the network.
#[derive(Clone)]
pub struct FakeNode {
    /// Where it listens.
    pub address: SocketAddr,
    /// Who it says it is.
    pub identity: PeerIdentity,
    /// Its tasks and clocks; its handlers run in its tasks.
    pub context: ProcessContext,
    /// Its hybrid clock.
    pub clock: Rc<HybridClock>,
    /// What it serves.
    pub handlers: Rc<HandlerTable>,
}

/// Carries messages between the processes of a test.
#[derive(Clone)]
pub struct FakeNetwork {
    shared: Rc<NetworkShared>,
}

struct NetworkShared {
    policy: Rc<dyn FakePolicy>,
    nodes: RefCell<HashMap<SocketAddr, Rc<FakeNode>>>,
}

impl FakeNetwork {
    /// A network without processes.
    pub fn new(policy: Rc<dyn FakePolicy>) -> Self {
        Self { shared: Rc::new(NetworkShared { policy, nodes: RefCell::default() }) }
    }

    /// Puts a process on the network, in place of any that listened at its address before, and
    /// gives it its transport. When the process is killed, [`leave`](Self::leave) is due too.
    pub fn join(&self, node: FakeNode) -> FakeTransport {
        let node = Rc::new(node);
        self.shared.nodes.borrow_mut().insert(node.address, node.clone());
        FakeTransport::new(self.clone(), node)
    }

    /// Nobody listens at `address` any more; calls to it are refused.
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
