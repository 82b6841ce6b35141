//! Client-side interface.

use {
    crate::PeerError,
    bytes::Bytes,
    futures::stream::{Stream, StreamExt},
    gullglade_units::{Clock, LocalFuture, timeout},
    std::{
        cell::Cell,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Makes calls to other processes.
pub trait PeerTransport {
    /// Calls `method` of the process at `to` and waits up to `limit` for the single reply message,
    /// including the time to connect. Dropping the future cancels the handler.
    fn call<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
        limit: Duration,
    ) -> LocalFuture<'a, Result<Bytes, PeerError>>;

    /// Calls `method` of the process at `to`, which replies with a stream of messages. Completes
    /// when the call is sent; later errors are items of the stream. If the future is dropped before
    /// it completes, nothing has been sent.
    fn open<'a>(
        &'a self,
        to: SocketAddr,
        method: &'a str,
        body: Bytes,
    ) -> LocalFuture<'a, Result<PeerStream, PeerError>>;
}

/// Stream of the messages of a reply, with message boundaries preserved. Dropping it cancels the
/// handler.
pub struct PeerStream {
    messages: Pin<Box<dyn Stream<Item = Result<Bytes, PeerError>>>>,
    end: Option<Result<(), PeerError>>,
}

impl PeerStream {
    /// Wraps `messages`, which must return `None` only after the end marker of the peer.
    pub fn new(messages: impl Stream<Item = Result<Bytes, PeerError>> + 'static) -> Self {
        Self { messages: Box::pin(messages), end: None }
    }

    /// Returns the next message, or `None` if the reply is complete. An error is returned again by
    /// every further call, so a broken reply cannot be mistaken for a complete one.
    pub async fn next(&mut self) -> Option<Result<Bytes, PeerError>> {
        StreamExt::next(self).await
    }
}

impl Stream for PeerStream {
    type Item = Result<Bytes, PeerError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, PeerError>>> {
        if let Some(end) = &self.end {
            return Poll::Ready(end.clone().err().map(Err));
        }
        let item = std::task::ready!(self.messages.as_mut().poll_next(cx));
        match &item {
            Some(Ok(_)) => {}
            Some(Err(error)) => self.end = Some(Err(error.clone())),
            None => self.end = Some(Ok(())),
        }
        Poll::Ready(item)
    }
}

/// Runs `calling` with a time limit. On a timeout, `sent` is true if bytes of the call may
/// have been sent.
pub(crate) async fn call_with_limit(
    clock: &dyn Clock,
    address: SocketAddr,
    limit: Duration,
    sent: &Cell<bool>,
    call: impl Future<Output = Result<Bytes, PeerError>>,
) -> Result<Bytes, PeerError> {
    let answer = timeout(clock, limit, call).await;
    answer.unwrap_or(Err(PeerError::Timeout { address, limit, sent: sent.get() }))
}
