//! Client-side session pool: one persistent session per address.

mod delay;
mod dial;
mod reply;
mod session;
mod slot;

#[cfg(test)]
pub(crate) use slot::backoff;

use {
    crate::{
        LinkPolicy, PeerConfig, PeerError, PeerIdentity, PeerStream, PeerTransport,
        signal::{Signal, SignalSource, signal},
        transport::call_with_limit,
        wire::{CallHeader, CallKind},
    },
    bytes::Bytes,
    gullglade_units::{HybridClock, HybridStamp, LocalFuture, ProcessContext},
    reply::ReplyReader,
    slot::PeerSlot,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Pool of client sessions. Dials an address at its first call, reuses the session for later calls,
/// and redials lost sessions with exponential backoff.
#[derive(Clone)]
pub struct PeerPool {
    shared: Rc<PoolShared>,
}

/// State shared by all sessions of a pool.
struct PoolShared {
    config: PeerConfig,
    context: ProcessContext,
    clock: Rc<HybridClock>,
    link: Option<Rc<dyn LinkPolicy>>,
    slots: RefCell<HashMap<SocketAddr, Rc<PeerSlot>>>,
    abort_source: RefCell<Option<SignalSource>>,
    abort: Signal,
}

impl PoolShared {
    fn stamp(&self) -> HybridStamp {
        self.clock.stamp(self.context.clock.wall())
    }
}

impl PeerPool {
    /// Creates an empty pool without link emulation.
    pub fn new(config: PeerConfig, context: ProcessContext, clock: Rc<HybridClock>) -> Self {
        Self::build(config, context, clock, None)
    }

    /// Creates an empty pool that applies the delays and partitions of `link`, for the demo and for
    /// tests.
    pub fn with_link(
        config: PeerConfig,
        context: ProcessContext,
        clock: Rc<HybridClock>,
        link: Rc<dyn LinkPolicy>,
    ) -> Self {
        Self::build(config, context, clock, Some(link))
    }

    fn build(
        config: PeerConfig,
        context: ProcessContext,
        clock: Rc<HybridClock>,
        link: Option<Rc<dyn LinkPolicy>>,
    ) -> Self {
        let (source, abort) = signal();
        let shared = PoolShared {
            config,
            context,
            clock,
            link,
            slots: RefCell::default(),
            abort_source: RefCell::new(Some(source)),
            abort,
        };
        Self { shared: Rc::new(shared) }
    }

    /// Returns the identity of the peer at `address`, or `None` without an open session.
    pub fn connected_peer(&self, address: SocketAddr) -> Option<PeerIdentity> {
        let slot = self.shared.slots.borrow().get(&address)?.clone();
        slot.connected().map(|session| session.peer.clone())
    }

    /// Drops all sessions immediately, as a kill of the process would, and fails further dials.
    /// Without this, sessions outlive the pool until their idle timeout.
    pub fn abort(&self) {
        if let Some(source) = self.shared.abort_source.borrow_mut().take() {
            source.raise();
        }
    }

    fn slot(&self, to: SocketAddr) -> Rc<PeerSlot> {
        let mut slots = self.shared.slots.borrow_mut();
        if !slots.contains_key(&to) {
            let now = self.shared.context.clock.now();
            slots.retain(|_, slot| !slot.is_stale(now));
        }
        slots.entry(to).or_insert_with(|| PeerSlot::new(to)).clone()
    }

    /// Sends a call. Sets `sent` to true before any byte of it can be sent.
    async fn start_call(
        &self,
        to: SocketAddr,
        method: &str,
        kind: CallKind,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<ReplyReader, PeerError> {
        self.validate_call(method, &body)?;
        let slot = self.slot(to);
        loop {
            let session = slot.session(&self.shared).await?;
            let header = CallHeader { stamp: self.shared.stamp(), kind };
            match session.start_call(method, &header, body.clone(), sent).await {
                Ok(reply) => return Ok(reply),
                // The session was lost before any byte was written, so a retry on a new one is
                // safe.
                Err(error) if error.nothing_sent() && !session.is_open() => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn validate_call(&self, method: &str, body: &Bytes) -> Result<(), PeerError> {
        let limit = self.shared.config.message_limit;
        let is_valid_name =
            method.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
        let reason = if method.is_empty() || !is_valid_name {
            "method names have letters, digits, '.', '_' and '-'".to_owned()
        } else if body.len() > limit {
            format!("its {} bytes exceed the message limit of {limit}", body.len())
        } else {
            return Ok(());
        };
        Err(PeerError::Unsendable { method: method.to_owned(), reason })
    }

    async fn call_single(
        &self,
        to: SocketAddr,
        method: &str,
        body: Bytes,
        sent: &Cell<bool>,
    ) -> Result<Bytes, PeerError> {
        self.start_call(to, method, CallKind::Single, body, sent).await?.single().await
    }
}

impl PeerTransport for PeerPool {
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>> {
        Box::pin(async move {
            let sent = Cell::new(false);
            let calling = self.call_single(to, method, body, &sent);
            call_with_limit(&*self.shared.context.clock, to, limit, &sent, calling).await
        })
    }

    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>> {
        Box::pin(async move {
            let sent = Cell::new(false);
            let reply = self.start_call(to, method, CallKind::Stream, body, &sent).await?;
            Ok(reply.into_stream())
        })
    }
}
