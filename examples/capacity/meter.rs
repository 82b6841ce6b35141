//! Counts what crosses a transport.

use {
    bytes::Bytes,
    gullglade_peer::{PeerError, PeerStream, PeerTransport},
    gullglade_units::LocalFuture,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Messages and their bytes at one process, without framing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Calls made.
    pub(crate) calls: u64,
    /// Calls served.
    pub(crate) served: u64,
    /// Bytes of requests and replies sent.
    pub(crate) sent: u64,
    /// Bytes of requests and replies received.
    pub(crate) received: u64,
}

/// The traffic of every process of a measurement.
#[derive(Clone, Default)]
pub(crate) struct TrafficMeter {
    running: Rc<Cell<bool>>,
    by_address: Rc<RefCell<HashMap<SocketAddr, Traffic>>>,
}

impl TrafficMeter {
    /// Forgets what was counted and counts from now on.
    pub(crate) fn restart(&self) {
        self.by_address.borrow_mut().clear();
        self.running.set(true);
    }

    /// What the process at `address` did.
    pub(crate) fn of(&self, address: SocketAddr) -> Traffic {
        self.by_address.borrow().get(&address).copied().unwrap_or_default()
    }

    /// The most bytes that one process sent.
    pub(crate) fn most_sent(&self) -> u64 {
        self.by_address.borrow().values().map(|t| t.sent).max().unwrap_or(0)
    }

    /// What all processes did together.
    pub(crate) fn total(&self) -> Traffic {
        let add = |a: Traffic, b: &Traffic| Traffic {
            calls: a.calls + b.calls,
            served: a.served + b.served,
            sent: a.sent + b.sent,
            received: a.received + b.received,
        };
        self.by_address.borrow().values().fold(Traffic::default(), add)
    }

    fn note(&self, address: SocketAddr, count: impl FnOnce(&mut Traffic)) {
        if self.running.get() {
            count(self.by_address.borrow_mut().entry(address).or_default());
        }
    }
}

/// A transport whose calls are counted at both ends.
pub(crate) struct MeteredTransport<T> {
    pub(crate) own: SocketAddr,
    pub(crate) inner: T,
    pub(crate) meter: TrafficMeter,
}

impl<T: PeerTransport> PeerTransport for MeteredTransport<T> {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(async move {
            let length = body.len() as u64;
            self.meter.note(self.own, |t| (t.calls, t.sent) = (t.calls + 1, t.sent + length));
            self.meter.note(to, |t| (t.served, t.received) = (t.served + 1, t.received + length));
            let answer = self.inner.call(to, method, body, limit).await?;
            let length = answer.len() as u64;
            self.meter.note(to, |t| t.sent += length);
            self.meter.note(self.own, |t| t.received += length);
            Ok(answer)
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        self.inner.open(to, method, body)
    }
}
