//! What happens to each message.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    time::Duration,
};

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageDirection {
    /// The call.
    Request,
    /// The answer, a message of a streamed answer, or its end.
    Reply,
}

/// One message on its way.
#[derive(Clone, Copy, Debug)]
pub struct MessagePath<'a> {
    /// The sender.
    pub from: SocketAddr,
    /// The receiver.
    pub to: SocketAddr,
    /// The method called.
    pub method: &'a str,
    /// The way it goes.
    pub direction: MessageDirection,
}

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageAction {
    /// It arrives after the delay.
    Deliver(Duration),
    /// A request arrives twice, as when a caller resends after a lost answer: the handler runs
    /// twice, and the first run's answer counts. For a reply it is the first delivery only.
    Duplicate(Duration, Duration),
    /// It is lost and the caller waits for its limit; a streamed reply breaks.
    Drop,
    /// A request is refused before any byte leaves; a reply is lost with its connection, at once.
    Refuse,
}

/// Decides the fate of every message.
pub trait FakePolicy {
    /// The fate of the message on `path`.
    fn action(&self, path: MessagePath<'_>) -> MessageAction;

    /// How long the word takes that nobody waits for a reply any more.
    fn cancel_delay(&self) -> Duration {
        Duration::ZERO
    }
}

/// One delay for all, and cuts between pairs of addresses, both ways.
#[derive(Debug, Default)]
pub struct FakeLink {
    delay: Cell<Duration>,
    cancel_delay: Cell<Duration>,
    cuts: RefCell<HashSet<(SocketAddr, SocketAddr)>>,
}

impl FakeLink {
    /// A link of `delay` one way.
    pub fn new(delay: Duration) -> Self {
        Self { delay: Cell::new(delay), ..Self::default() }
    }

    /// Sets the one-way delay.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Sets how long it takes to cancel a call. Default: no time.
    pub fn set_cancel_delay(&self, delay: Duration) {
        self.cancel_delay.set(delay);
    }

    /// Loses everything between `a` and `b` from now on.
    pub fn partition(&self, a: SocketAddr, b: SocketAddr) {
        self.cuts.borrow_mut().extend([(a, b), (b, a)]);
    }

    /// Ends the cut between `a` and `b`.
    pub fn heal(&self, a: SocketAddr, b: SocketAddr) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.remove(&(a, b));
        cuts.remove(&(b, a));
    }

    /// Loses everything between `address` and each of `others`.
    pub fn isolate(&self, address: SocketAddr, others: &[SocketAddr]) {
        others
            .iter()
            .filter(|other| **other != address)
            .for_each(|other| self.partition(address, *other));
    }

    /// Ends every cut.
    pub fn heal_all(&self) {
        self.cuts.borrow_mut().clear();
    }
}

impl FakePolicy for FakeLink {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        if self.cuts.borrow().contains(&(path.from, path.to)) {
            return MessageAction::Drop;
        }
        MessageAction::Deliver(self.delay.get())
    }

    fn cancel_delay(&self) -> Duration {
        self.cancel_delay.get()
    }
}
