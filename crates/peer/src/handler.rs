//! Server-side interface: handlers registered by method prefix, and the sink for streamed replies.

use {
    crate::{PeerFault, PeerIdentity},
    bytes::Bytes,
    gullglade_units::LocalFuture,
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// Serves the methods of one prefix. The returned futures are dropped when the caller abandons the
/// call, so work that must outlive the call belongs in a separate task.
pub trait PeerHandler {
    /// Handles a call and returns a single message.
    fn call<'a>(
        &'a self,
        from: &'a PeerIdentity,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<Bytes, PeerFault>>;

    /// Handles a call and sends any number of messages to the reply sink. Returning `Ok` completes
    /// the reply. The sink must only be used inside this future.
    fn stream<'a>(
        &'a self,
        _from: &'a PeerIdentity,
        method: &'a str,
        _body: Bytes,
        _reply: PeerReplySink,
    ) -> LocalFuture<'a, Result<(), PeerFault>> {
        let fault = PeerFault::unknown_method(method);
        Box::pin(async move { Err(fault) })
    }
}

/// Transport side of a [`PeerReplySink`].
pub trait ReplySender {
    /// Completes once the transport's bounded buffer has accepted `message`. Fails if the caller
    /// has abandoned the call.
    fn send(&mut self, message: Bytes) -> LocalFuture<'_, Result<(), PeerFault>>;
}

/// Sink for the messages of a streamed reply.
pub struct PeerReplySink {
    sender: Box<dyn ReplySender>,
}

impl PeerReplySink {
    /// Creates a sink that writes to `sender`.
    pub fn new(sender: impl ReplySender + 'static) -> Self {
        Self { sender: Box::new(sender) }
    }

    /// Sends one message. Applies backpressure: waits while the caller has not read earlier
    /// messages.
    pub async fn send(&mut self, message: Bytes) -> Result<(), PeerFault> {
        self.sender.send(message).await
    }
}

/// Handlers of a process, keyed by the part of the method name before the first dot.
#[derive(Default)]
pub struct HandlerTable {
    handlers: RefCell<BTreeMap<&'static str, Rc<dyn PeerHandler>>>,
}

impl HandlerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Routes the methods `prefix` and `prefix.*` to `handler`, replacing an earlier registration.
    /// Takes effect from the next call.
    pub fn register(&self, prefix: &'static str, handler: Rc<dyn PeerHandler>) {
        self.handlers.borrow_mut().insert(prefix, handler);
    }

    /// Returns the handler of `method`, or `None` if its prefix is not registered.
    pub fn find(&self, method: &str) -> Option<Rc<dyn PeerHandler>> {
        let prefix = method.split_once('.').map_or(method, |(prefix, _)| prefix);
        self.handlers.borrow().get(prefix).cloned()
    }
}
