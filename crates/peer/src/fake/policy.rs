//! Fault injection: decides what happens to each message.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    time::Duration,
};

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageDirection {
    /// A call.
    Request,
    /// A single reply, a message of a streamed reply, or the end of one.
    Reply,
}

/// Addressing of a message, on which a [`FakePolicy`] decides.
#[derive(Clone, Copy, Debug)]
pub struct MessagePath<'a> {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Method of the call.
    pub method: &'a str,
    /// Direction of the message.
    pub direction: MessageDirection,
}

/// Action that a [`FakePolicy`] applies to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageAction {
    /// Deliver the message after the delay.
    Deliver(Duration),
    /// Deliver a request twice, after the two delays, as if a caller resent it after a lost reply:
    /// the handler runs twice, and the caller gets the reply of the delivery with the first delay.
    /// A reply is delivered once, after the first delay.
    Duplicate(Duration, Duration),
    /// Drop the message: a call runs into its time limit, and a streamed reply breaks.
    Drop,
    /// Refuse a request before any byte is sent. A reply breaks immediately, as if its connection
    /// were lost.
    Refuse,
}

/// Fault-injection policy of a [`FakeNetwork`](super::FakeNetwork).
pub trait FakePolicy {
    /// Returns the action for a message on `path`.
    fn action(&self, path: MessagePath<'_>) -> MessageAction;

    /// Returns the delay until a handler is cancelled after its caller has dropped the call.
    fn cancel_delay(&self) -> Duration {
        Duration::ZERO
    }
}

/// [`FakePolicy`] with a uniform delay and bidirectional partitions between pairs of addresses.
#[derive(Debug, Default)]
pub struct FakeLink {
    delay: Cell<Duration>,
    cancel_delay: Cell<Duration>,
    partitions: RefCell<HashSet<(SocketAddr, SocketAddr)>>,
}

impl FakeLink {
    /// Creates a link with a one-way delay.
    pub fn new(delay: Duration) -> Self {
        Self { delay: Cell::new(delay), ..Self::default() }
    }

    /// Sets the one-way delay.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Sets the delay of cancellations. Default: zero.
    pub fn set_cancel_delay(&self, delay: Duration) {
        self.cancel_delay.set(delay);
    }

    /// Partitions `a` from `b`: messages in both directions are dropped.
    pub fn partition(&self, a: SocketAddr, b: SocketAddr) {
        self.partitions.borrow_mut().extend([(a, b), (b, a)]);
    }

    /// Removes the partition between `a` and `b`.
    pub fn heal(&self, a: SocketAddr, b: SocketAddr) {
        let mut partitions = self.partitions.borrow_mut();
        partitions.remove(&(a, b));
        partitions.remove(&(b, a));
    }

    /// Partitions `address` from each of `others`.
    pub fn isolate(&self, address: SocketAddr, others: &[SocketAddr]) {
        others
            .iter()
            .filter(|other| **other != address)
            .for_each(|other| self.partition(address, *other));
    }

    /// Removes all partitions.
    pub fn heal_all(&self) {
        self.partitions.borrow_mut().clear();
    }
}

impl FakePolicy for FakeLink {
    fn action(&self, path: MessagePath<'_>) -> MessageAction {
        if self.partitions.borrow().contains(&(path.from, path.to)) {
            return MessageAction::Drop;
        }
        MessageAction::Deliver(self.delay.get())
    }

    fn cancel_delay(&self) -> Duration {
        self.cancel_delay.get()
    }
}
